"""The agents of a rollout, including those that are temporarily not visible."""

import math

from clementinegw.weights import origin_fetchers
from clementinegw.weights import peers as peers_lib

_DOMAIN = origin_fetchers.DrawPolicy.FAILURE_DOMAIN


class FleetView:
    """The fleet that one agent plans its origin fetches for.

    In a partition, all agents of the other failure domains seem to have died.
    If their chunks were fetched again, the origin would send a second copy of
    what they hold, possibly while its bandwidth is reduced. Domains that vanish
    as a whole therefore stay in the fleet for a while, and an agent that
    reaches no other domain does not use the origin for the same time.
    """

    def __init__(
        self,
        me: origin_fetchers.Member,
        policy: origin_fetchers.DrawPolicy,
        cut_off_s: float,
    ):
        """Starts with this agent alone.

        Args:
          me: This agent.
          policy: The group within which a chunk is fetched once.
          cut_off_s: How long a domain that vanished stays in the fleet, in
            seconds.
        """
        self._me = me
        self._policy = policy
        self._cut_off_s = cut_off_s
        self._fleet = origin_fetchers.Fleet([me])
        self._seen: tuple[origin_fetchers.Member, ...] = ()
        self._vanished_at: dict[str, float] = {}
        self._isolated_since: float | None = None

    @property
    def fleet(self) -> origin_fetchers.Fleet:
        """All agents, including those of vanished failure domains."""
        return self._fleet

    @property
    def absent_since(self) -> dict[str, float]:
        """When each agent that is no longer visible vanished, by id.

        Times are in monotonic seconds.
        """
        return {
            member.instance_id: vanished_at
            for domain, vanished_at in self._vanished_at.items()
            for member in self._fleet.group(_DOMAIN, domain)
        }

    def update(self, seen: origin_fetchers.Fleet, now: float) -> bool:
        """Sets the visible agents; returns whether anything changed."""
        members = list(seen.members)
        for name in _domains(self._fleet) - _domains(seen):
            vanished_at = self._vanished_at.setdefault(name, now)
            if now < vanished_at + self._cut_off_s:
                members += self._fleet.group(_DOMAIN, name)
        for name in _domains(seen):
            self._vanished_at.pop(name, None)
        before = (self._fleet.members, self._seen)
        self._fleet = origin_fetchers.Fleet(members)
        self._seen = seen.members
        return (self._fleet.members, self._seen) != before

    def avoid_origin_until(
        self, peers: list[peers_lib.Peer], now: float
    ) -> float:
        """Returns until when the origin is not used, in monotonic seconds.

        The time lies in the past if chunks may be fetched from the origin now.

        Args:
          peers: The connected peers.
          now: The current time in monotonic seconds.
        """
        if not self._has_others() or any(not peer.local for peer in peers):
            self._isolated_since = None
            return -math.inf
        if self._isolated_since is None:
            self._isolated_since = now
        return self._isolated_since + self._cut_off_s

    def _has_others(self) -> bool:
        own_group = origin_fetchers.group_of(self._me, self._policy)
        group = self._fleet.group(self._policy, own_group)
        same_domain = self._fleet.group(_DOMAIN, self._me.failure_domain)
        return len(group) > len(same_domain)


def _domains(fleet: origin_fetchers.Fleet) -> set[str]:
    return {member.failure_domain for member in fleet.members}
