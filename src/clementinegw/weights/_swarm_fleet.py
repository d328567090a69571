"""The agents that take part, also while some of them are out of sight."""

import math

from clementinegw.weights import origin_fetchers
from clementinegw.weights import peers as peers_lib

_DOMAIN = origin_fetchers.DrawPolicy.FAILURE_DOMAIN


class FleetView:
    """The fleet as the draws of one agent see it.

    A partition looks as if all agents of the other failure domains had died.
    Were their chunks drawn again, the origin would send a second copy of what
    they hold, in the very hour in which its link may be narrow. So domains
    that vanish whole stay in the fleet for a while, and an agent that reaches
    no other domain leaves the origin alone as long.
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
          policy: Within what group a chunk is drawn once.
          cut_off_s: How long a domain that vanished is waited for, in seconds.
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
        """All agents, those out of sight included."""
        return self._fleet

    @property
    def absent_since(self) -> dict[str, float]:
        """When each agent that is out of sight vanished, by id."""
        return {
            member.instance_id: vanished_at
            for domain, vanished_at in self._vanished_at.items()
            for member in self._fleet.group(_DOMAIN, domain)
        }

    def update(self, seen: origin_fetchers.Fleet, now: float) -> bool:
        """Takes the agents that are in sight; returns whether it matters."""
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
        """Returns until when nothing is drawn; a past time when it may be."""
        if not self._has_others() or any(not peer.local for peer in peers):
            self._isolated_since = None
            return -math.inf
        if self._isolated_since is None:
            self._isolated_since = now
        return self._isolated_since + self._cut_off_s

    def _has_others(self) -> bool:
        mine = origin_fetchers.group_of(self._me, self._policy)
        group = self._fleet.group(self._policy, mine)
        near = self._fleet.group(_DOMAIN, self._me.failure_domain)
        return len(group) > len(near)


def _domains(fleet: origin_fetchers.Fleet) -> set[str]:
    return {member.failure_domain for member in fleet.members}
