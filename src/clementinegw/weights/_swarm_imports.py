"""Which chunks an agent takes from other failure domains."""

import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import origin_fetchers
from clementinegw.weights import peers as peers_lib

# How many mean request times each in rank gives those before it.
_WAIT_FACTOR = 2.0
_DOMAIN = origin_fetchers.DrawPolicy.FAILURE_DOMAIN


class Imports:
    """The imports of one agent for one manifest."""

    def __init__(
        self,
        limits: types_.Limits,
        me: origin_fetchers.Member,
        peers: peers_lib.Neighbourhood,
    ):
        """Starts with nothing imported.

        Args:
          limits: The copies that may enter a domain.
          me: This agent.
          peers: The connected peers.
        """
        self._limits = limits
        self._me = me
        self._peers = peers
        self._imported = 0

    def reset(self) -> None:
        """Starts again with another manifest."""
        self._imported = 0

    def record_import(self) -> None:
        """Notes a chunk that came from another domain."""
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
        """Whether to take a chunk from another domain that nobody near has.

        The first in the domain's list always may. The others may help out when
        the first does not seem to bring the chunk, but all together only
        within the budget. Helping out whenever they had nothing else to do
        took 3.2 copies over three domains in place of 2.0, and no less time.

        Args:
          index: The chunk.
          digests: Of all chunks.
          fleet: All agents.
          mean_s: How long a request takes on average, in seconds.
          arrived_at: When a chunk last arrived here.
          now: Monotonic seconds.
        """
        rank = fleet.rank(digests[index], _DOMAIN, self._me)
        if not rank:
            return not self._peers.held_locally(index)
        if self._imported >= self._budget(len(digests), fleet):
            # The budget must not keep a chunk out that is nowhere near.
            return now >= arrived_at + self._limits.draw_deadline_s
        if self._peers.held_locally(index):
            return False
        group = self._me.failure_domain
        first = fleet.ranked(digests[index], _DOMAIN, group)[0]
        if self._peers.find(first) is None:
            # Nobody brings it who is waited for; each chunk of one that died
            # would else come later, and its next drawers draw later still.
            return True
        seen_at = self._peers.first_seen_remote_at(index, now)
        return now >= seen_at + _WAIT_FACTOR * (1 + rank) * mean_s

    def _budget(self, chunks: int, fleet: origin_fetchers.Fleet) -> int:
        near = len(fleet.group(_DOMAIN, self._me.failure_domain))
        return math.ceil(self._limits.cross_copies * chunks / max(1, near))
