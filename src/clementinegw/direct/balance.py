"""Chooses the backend server for a request."""

from collections.abc import Callable, Collection
import dataclasses
import random

from clementinegw import types as shared_types
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import cooldown
from clementinegw.direct import fleet
from clementinegw.direct import types

# What a server's load, as a part of its slots, counts for in another failure
# domain and in another region. Bytes between places are paid for, and what is
# known of a server far away is four times as old; but a full server costs more.
_DISTANCE_COSTS = (0.0, 0.15, 0.6)
# How much a doubted server's load seems larger: one that fails half of its
# requests gets a few only, and still enough to show that it is well again.
_FAILURE_WEIGHT = 12.0
# So many prompt tokens that are not read yet count as one more request: what
# comes behind them waits for about 30 ms.
_TOKENS_PER_REQUEST = 1_000.0
# A draw is added to each load, as a part of the slots. Without it all entries
# send to the server that the last reports showed emptiest, until the next ones
# come.
_JITTER = 0.4
# A server that serves this much later than its agent told is not waited for, in
# seconds: the longest time between two reports and half as much. An agent that
# froze would else promise its server for ever.
_READY_GRACE_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request needs of a server.

    Attributes:
      service: The service.
      layers: The layers of its model; 0 for a plain service.
      least_version: Of at least this version.
      preferred_version: Servers with at least this version go first.
      max_utilization: Servers with this part of their slots taken are passed
        over.
      allow_cooldown: Whether one in cooldown after a failure will do, where all
        are.
    """

    service: str
    layers: int = 0
    least_version: int = 0
    preferred_version: int = 0
    max_utilization: float = 3.0
    allow_cooldown: bool = True


class Balancer:
    """Ranks the servers of a service by what this entry knows."""

    def __init__(
        self,
        servers: fleet.Fleet,
        place: shared_types.Place,
        regions: dict[str, str],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._servers = servers
        self._place = place
        self._regions = regions
        self._rng = rng
        self._clock = clock
        self._cooldowns = cooldown.Cooldowns()
        self._distances: dict[str, float] = {}

    @property
    def entries(self) -> int:
        """How many entries there are, as agents tell; 0 when none does."""
        return max((b.entries for b in self._servers.all()), default=0)

    def ready_in_s(self, service: str) -> float:
        """Returns about when a server of a service serves, in seconds.

        Infinite where no agent tells, or what it told has not come true.
        """
        now = self._clock()
        at = min(
            (
                backend.ready_at
                for backend in self._servers.of(service)
                if not backend.retired
                and backend.ready_at > now - _READY_GRACE_S
            ),
            default=float("inf"),
        )
        return max(0.0, at - now)

    def candidates(
        self, requirements: Requirements
    ) -> list[backend_lib.Backend]:
        """Returns the servers that could run the request, busy or not."""
        return [
            backend
            for backend in self._servers.of(requirements.service)
            if not backend.retired
            and (
                not requirements.layers
                or backend.serves(
                    max(1, requirements.least_version), requirements.layers
                )
            )
        ]

    def choose(
        self,
        requirements: Requirements,
        tried: Collection[types.ServerStart] = (),
    ) -> backend_lib.Backend | None:
        """Returns the server to send to; None when none has room.

        Args:
          requirements: What the request needs.
          tried: Starts of servers that have had it.
        """
        now = self._clock()
        fitting = self.candidates(requirements)
        if tried:
            fitting = [b for b in fitting if b.server.start not in tried]
        found = [
            backend
            for backend in self._reachable(fitting, requirements, now)
            if not backend.loading
            and backend.full_until <= now
            and backend.accepts(now)
            and not backend.pool.full
            and self.utilization(backend, now) < requirements.max_utilization
        ]
        for better in self._preferences(requirements, now):
            found = [b for b in found if better(b)] or found
        # Only now: a request waits for the next report rather than go where
        # it is broken off soon.
        sharing = [b for b in found if b.has_share(now)]
        return min(sharing, key=lambda b: self._score(b, now), default=None)

    def has_capacity(self, service: str) -> bool:
        """Returns whether this entry has a share left at any server.

        Whoever chooses for many asks this first, since it looks at nothing else
        of a server: in an overload almost every look ends here.
        """
        now = self._clock()
        return any(
            b.has_share(now) and b.accepts(now)
            for b in self._servers.of(service)
        )

    def record_sent(self, backend: backend_lib.Backend) -> None:
        """Notes that a request goes to a server."""
        self._cooldowns.record_sent(backend, self._clock())

    def cooldown_ends_in_s(self, requirements: Requirements) -> float:
        """Returns when the first server that could run a request rests no more.

        In seconds; 0 where one does not rest, or there is none at all.
        """
        now = self._clock()
        return self._cooldowns.ends_in_s(self.candidates(requirements), now)

    def backoff_ends_in_s(self, requirements: Requirements) -> float:
        """Returns when the first server's pause for a request ends.

        In seconds; 0 where one asked for none, or there is none at all.
        """
        now = self._clock()
        ends = (b.signals.backoff_until for b in self.candidates(requirements))
        return max(0.0, min(ends, default=now) - now)

    def is_limited(self, requirements: Requirements) -> bool:
        """Returns whether all servers for a request have a rate limit."""
        found = self.candidates(requirements)
        return bool(found) and all(b.signals.limited for b in found)

    def has_restricted(self, service: str) -> bool:
        """Returns whether any server of a service rests or is limited."""
        now = self._clock()
        return any(
            b.cooldown_until > now
            or b.signals.backoff_until > now
            or b.signals.limited
            for b in self._servers.of(service)
        )

    def is_restricted(self, requirements: Requirements) -> bool:
        """Returns whether all servers for a request rest or are limited."""
        now = self._clock()
        found = self.candidates(requirements)
        return bool(found) and all(
            b.available_at(now) > now or b.signals.limited for b in found
        )

    def capacity_until(self, requirements: Requirements, until: float) -> float:
        """Returns the most requests that servers may get up to a moment.

        Infinite where one takes them without a limit.

        Args:
          requirements: What the requests need.
          until: In monotonic seconds.
        """
        now = self._clock()
        within_s = until - now
        return sum(
            b.signals.limiter.slots_within(within_s)
            for b in self.candidates(requirements)
            if b.available_at(now) < until
        )

    def _reachable(
        self,
        backends: list[backend_lib.Backend],
        requirements: Requirements,
        now: float,
    ) -> list[backend_lib.Backend]:
        available = self._cooldowns.available(backends, now)
        if available or not requirements.allow_cooldown:
            return available
        return self._cooldowns.probe_candidates(backends, now)

    def _preferences(
        self, requirements: Requirements, now: float
    ) -> tuple[Callable[[backend_lib.Backend], bool], ...]:
        """Returns what a server should be, the most important first.

        Where no server is, one is chosen all the same: one that fell silent
        may answer, and one that is about to load still serves where no other
        has room.
        """
        return (
            lambda b: not b.is_silent(now),
            lambda b: not b.yielding,
            lambda b: b.serves(
                requirements.preferred_version, requirements.layers
            ),
        )

    def utilization(self, backend: backend_lib.Backend, now: float) -> float:
        """Returns a server's requests as a part of its slots."""
        return backend.estimated_requests(now) / max(1, backend.server.slots)

    def _score(self, backend: backend_lib.Backend, now: float) -> float:
        requests = backend.estimated_requests(now) + 1.0
        requests += backend.unread_tokens / _TOKENS_PER_REQUEST
        load = requests / max(1, backend.server.slots) * backend.pace
        load *= 1.0 + _FAILURE_WEIGHT * backend.failure_rate
        load += self._distance_cost(backend.server.failure_domain)
        return load + self._rng.random() * _JITTER

    def _distance_cost(self, domain: str) -> float:
        """Returns what a failure domain's distance counts for."""
        found = self._distances.get(domain)
        if found is None:
            distance = distance_to(self._regions, self._place, domain)
            found = self._distances[domain] = _DISTANCE_COSTS[distance]
        return found


def distance_to(
    regions: dict[str, str], place: shared_types.Place, domain: str
) -> int:
    """Returns 0 for the same failure domain, 1 the same region, 2 another."""
    if domain == place.failure_domain:
        return 0
    return 1 if regions.get(domain) == place.region else 2


def draw_service(route: types.Route, rng: random.Random) -> str:
    """Returns the service for one request of a route, by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if sum(weights) <= 0:
        return route.targets[0].service
    return rng.choices(route.targets, weights)[0].service
