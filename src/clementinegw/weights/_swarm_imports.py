"""Which chunks an agent fetches from other failure domains."""

import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import origin_fetchers
from clementinegw.weights import peers as peers_lib

# How many mean request durations an agent waits for each one ranked before it.
_WAIT_FACTOR = 2.0
_DOMAIN = origin_fetchers.DrawPolicy.FAILURE_DOMAIN


class Imports:
    """The chunks that one agent imports for one manifest."""

    def __init__(
        self,
        limits: types_.Limits,
        me: origin_fetchers.Member,
        peers: peers_lib.Neighbourhood,
    ):
        """Starts with nothing imported.

        Args:
          limits: Bounds the copies that may enter a failure domain.
          me: This agent.
          peers: The connected peers.
        """
        self._limits = limits
        self._me = me
        self._peers = peers
        self._imported = 0

    def reset(self) -> None:
        """Resets the count for another manifest."""
        self._imported = 0

    def record_import(self) -> None:
        """Records a chunk that arrived from another failure domain."""
        self._imported += 1

    def is_allowed(
        self,
        index: int,
        digests: tuple[bytes, ...],
        fleet: origin_fetchers.Fleet,
        mean_s: float,
        arrived_at: float,
        now: float,
    ) -> bool:
        """Returns whether to import a chunk from another failure domain.

        The agent ranked first in its domain always may, unless a peer of the
        domain holds the chunk. The others may import it if the first does not
        seem to, but together only within the budget. Importing whenever they
        were idle took 3.2 copies across three domains instead of 2.0, and was
        no faster.

        Args:
          index: The chunk's index.
          digests: The digests of all chunks.
          fleet: All agents.
          mean_s: The mean duration of a request to a peer, in seconds.
          arrived_at: When a chunk last arrived at this agent, in monotonic
            seconds.
          now: The current time in monotonic seconds.
        """
        rank = fleet.rank(digests[index], _DOMAIN, self._me)
        if not rank:
            return not self._peers.held_locally(index)
        if self._imported >= self._budget(len(digests), fleet):
            # The budget must not exclude a chunk that no agent of this domain
            # can provide.
            return now >= arrived_at + self._limits.draw_deadline_s
        if self._peers.held_locally(index):
            return False
        group = self._me.failure_domain
        first = fleet.ranked(digests[index], _DOMAIN, group)[0]
        if self._peers.find(first) is None:
            # The first-ranked agent is not connected. Waiting for it would
            # delay each of its chunks if it is dead, and the other agents that
            # would fetch them from the origin even more.
            return True
        seen_at = self._peers.first_seen_remote_at(index, now)
        return now >= seen_at + _WAIT_FACTOR * (1 + rank) * mean_s

    def _budget(self, chunks: int, fleet: origin_fetchers.Fleet) -> int:
        domain_size = len(fleet.group(_DOMAIN, self._me.failure_domain))
        return math.ceil(
            self._limits.cross_copies * chunks / max(1, domain_size)
        )
