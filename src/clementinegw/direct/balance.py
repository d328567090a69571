"""Selects the backend server for each request."""

from collections.abc import Callable, Collection, Iterable
import dataclasses
import math
import random

from clementinegw import types as shared_types
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import begin_estimate
from clementinegw.direct import cooldown
from clementinegw.direct import fleet
from clementinegw.direct import transit
from clementinegw.direct import types
from clementinegw.scheduling import headroom
from clementinegw.scheduling import places
from clementinegw.scheduling import server_memory

# Costs added to the load of servers in the same failure domain, another one of
# the region and another region, as fractions of their slots. Traffic between
# them is paid for, and load reports from another region are four times as old;
# but a full server costs more than the distance.
_DISTANCE_COSTS = (0.0, 0.15, 0.6)
# Weight of the failure rate in a server's load. A server that fails half of its
# requests gets only a few, which still suffice to detect its recovery.
_FAILURE_WEIGHT = 12.0
# This many unread prompt tokens count as one more request: requests behind them
# wait for about 30 ms.
_TOKENS_PER_REQUEST = 1_000.0
# Range of the random number added to each load, as a fraction of the slots.
# Without it all entries would send to the server with the lowest reported load
# until the next reports arrive.
_JITTER = 0.4
# Servers that requests take longer to reach are used only if no other has
# capacity, in seconds: many round trips between regions, and a part of the
# shortest objectives.
_MAX_TRANSIT_S = 0.1
# A server is not waited for if it is this much later than its agent predicted,
# in seconds: 1.5 times the longest report interval. Otherwise the prediction of
# a frozen agent would hold forever.
_READY_GRACE_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request needs of a server.

    Attributes:
      service: Name of the service.
      layers: Number of layers of its model; 0 for a plain service.
      min_version: Minimum version of the weights.
      preferred_version: Servers with at least this version are preferred.
      max_utilization: Only servers below this utilization are eligible.
      allow_cooldown: Whether a server in cooldown is eligible if all others
        are in cooldown, too.
      regions: Regions that its server may be in; None for any.
      memory: The memory that it needs; None if servers tell no memory.
      kept: Part of a server's slots that is kept for more urgent requests.
      upcoming_version: Minimum version from `upcoming_at` on.
      upcoming_at: When it is required, in monotonic seconds.
      prompt: Its prompt if it cannot be withdrawn from a server; None if it can
        be, or if no version is upcoming.
    """

    service: str
    layers: int = 0
    min_version: int = 0
    preferred_version: int = 0
    max_utilization: float = 3.0
    allow_cooldown: bool = True
    regions: places.Regions = None
    memory: server_memory.Need | None = None
    kept: float = 0.0
    upcoming_version: int = 0
    upcoming_at: float = math.inf
    prompt: begin_estimate.Prompt | None = None

    def min_version_at(self, arrival_at: float) -> int:
        """Returns the minimum version for a request that arrives at a time.

        Args:
          arrival_at: When it reaches the server, in monotonic seconds.
        """
        if arrival_at < self.upcoming_at:
            return max(1, self.min_version)
        return max(1, self.min_version, self.upcoming_version)


class Balancer:
    """Selects servers by their load and state as known to this entry.

    Attributes:
      evacuated: Failure domains whose servers get no requests.
    """

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
        self.evacuated: frozenset[str] = frozenset()

    @property
    def entries(self) -> int:
        """Number of entries as reported by agents; 0 if none reports it."""
        return max((b.entries for b in self._servers.all()), default=0)

    @property
    def possible_entries(self) -> int:
        """Number of entries that may be running; 0 if it is not known.

        Agents know the entries that reach them, once they have run for long
        enough to tell an entry its position. Failure domains of which no agent
        has been heard may be cut off and have as many entries.
        """
        positions = [
            (b.server.failure_domain, b.signals.entry_position.entries)
            for b in self._servers.all()
            if b.signals.entry_position is not None
        ]
        if not positions:
            return 0
        heard = {domain for domain, _ in positions}
        domains = heard.union(self._regions)
        entries = max(entries for _, entries in positions)
        return math.ceil(entries * len(domains) / len(heard))

    def set_regions(self, regions: dict[str, str]) -> None:
        """Sets the region of each failure domain."""
        self._regions = regions
        self._distances.clear()

    def is_evacuated(self, backend: backend_lib.Backend) -> bool:
        """Returns whether a server is in an evacuated failure domain."""
        return backend.server.failure_domain in self.evacuated

    def is_allowed(
        self, backend: backend_lib.Backend, regions: places.Regions
    ) -> bool:
        """Returns whether a request may be served by a server, busy or not.

        Args:
          backend: The server.
          regions: Regions that the request may be served in.
        """
        domain = backend.server.failure_domain
        return places.is_allowed(domain, regions, self._regions)

    def is_barred(self, service: str, regions: places.Regions = None) -> bool:
        """Returns whether operators allow no server of a service.

        This is false if none is listed.

        Args:
          service: Name of the service.
          regions: Regions that the requests may be served in.
        """
        if regions is None and not self.evacuated:
            return False
        if any(not b.retired for b in self._usable(service, regions)):
            return False
        return any(not b.retired for b in self._servers.of(service))

    def size(self, service: str) -> headroom.Fleet:
        """Returns the size of the fleet that serves a service."""
        servers = [b for b in self._servers.of(service) if not b.retired]
        slots = sum(b.server.slots for b in servers)
        return headroom.Fleet(
            max(1, self.entries), len(servers), slots / max(1, len(servers))
        )

    def ready_in_s(self, service: str, regions: places.Regions = None) -> float:
        """Returns the estimated time until a server is ready, in seconds.

        This is infinite if no agent predicts it, or if the predicted time has
        passed.

        Args:
          service: Name of the service.
          regions: Regions that the server may be in.
        """
        now = self._clock()
        at = min(
            (
                backend.ready_at
                for backend in self._usable(service, regions)
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
        now = self._clock()
        return [
            backend
            for backend in self._usable(
                requirements.service, requirements.regions
            )
            if not backend.retired
            and (
                not requirements.layers
                or backend.serves(
                    _min_version(requirements, backend, now),
                    requirements.layers,
                )
            )
        ]

    def choose(
        self,
        requirements: Requirements,
        tried: Collection[types.ServerStart] = (),
    ) -> backend_lib.Backend | None:
        """Returns the server to send to; None if none has capacity.

        Args:
          requirements: Requirements of the request.
          tried: Server starts that already received it.
        """
        now = self._clock()
        candidates = self.candidates(requirements)
        if tried:
            candidates = [b for b in candidates if b.server.start not in tried]
        available = [
            backend
            for backend in self._reachable(candidates, requirements, now)
            if not backend.loading
            and backend.full_until <= now
            and backend.accepts(now)
            and not backend.pool.full
            and self.utilization(backend, now) < requirements.max_utilization
            and (
                requirements.memory is None
                or backend.has_memory(requirements.memory, now)
            )
        ]
        for preferred in self._preferences(requirements, now):
            available = [b for b in available if preferred(b)] or available
        # Checked after the preferences: a request waits for the next report
        # rather than go to a server that will soon interrupt it.
        kept = requirements.kept
        with_share = [b for b in available if b.has_share(now, kept)]
        return min(with_share, key=lambda b: self._score(b, now), default=None)

    def has_capacity(self, service: str, kept: float = 0.0) -> bool:
        """Returns whether this entry may use a slot of any server.

        Call this before choosing servers for several requests. It is cheap, and
        under overload almost every dispatch ends here.

        Args:
          service: Name of the service.
          kept: The smallest part of a server's slots that is kept from any of
            the requests.
        """
        now = self._clock()
        return any(
            b.has_share(now, kept)
            and b.accepts(now)
            and not self.is_evacuated(b)
            for b in self._servers.of(service)
        )

    def record_sent(
        self, backend: backend_lib.Backend, tokens: int = 0
    ) -> None:
        """Records that a request is sent to a server, and its tokens."""
        now = self._clock()
        self._cooldowns.record_sent(backend, now)
        backend.record_sent(now, tokens)

    def cooldown_ends_in_s(self, requirements: Requirements) -> float:
        """Returns the time until the first cooldown ends, in seconds.

        This is 0 if a server that could run the request is not in cooldown, or
        if there is none.
        """
        now = self._clock()
        return self._cooldowns.ends_in_s(self.candidates(requirements), now)

    def backoff_ends_in_s(self, requirements: Requirements) -> float:
        """Returns the time until the first requested backoff ends, in seconds.

        This is 0 if a server that could run the request has not asked for a
        backoff, or if there is none.
        """
        now = self._clock()
        ends = (b.signals.backoff_until for b in self.candidates(requirements))
        return max(0.0, min(ends, default=now) - now)

    def is_limited(self, requirements: Requirements) -> bool:
        """Returns whether all servers for a request have a rate limit."""
        candidates = self.candidates(requirements)
        return bool(candidates) and all(b.signals.limited for b in candidates)

    def is_cold(self, requirements: Requirements) -> bool:
        """Returns whether all servers for a request are cold."""
        candidates = self.candidates(requirements)
        return bool(candidates) and all(b.signals.cold for b in candidates)

    def has_restricted(self, service: str) -> bool:
        """Returns whether a server is unavailable or rate-limited.

        Args:
          service: Name of the service.
        """
        now = self._clock()
        if self.is_barred(service):
            return True
        return any(
            b.cooldown_until > now
            or b.signals.backoff_until > now
            or b.signals.limited
            for b in self._servers.of(service)
        )

    def is_restricted(self, requirements: Requirements) -> bool:
        """Returns whether all servers are unavailable or rate-limited."""
        now = self._clock()
        candidates = self.candidates(requirements)
        if not candidates:
            return self.is_barred(requirements.service, requirements.regions)
        return all(
            b.available_at(now) > now or b.signals.limited for b in candidates
        )

    def capacity_until(self, requirements: Requirements, until: float) -> float:
        """Returns the most requests that may be sent up to a given time.

        This is infinite if a server without a rate limit is available by then.

        Args:
          requirements: Requirements of the requests.
          until: The time, in monotonic seconds.
        """
        now = self._clock()
        within_s = until - now
        return sum(
            b.signals.limiter.slots_within(within_s)
            for b in self.candidates(requirements)
            if b.available_at(now) < until
        )

    def _usable(
        self, service: str, regions: places.Regions = None
    ) -> Iterable[backend_lib.Backend]:
        """Returns the servers that may get requests, leaving ones included.

        Every selection of a server starts from these.
        """
        backends = self._servers.of(service)
        if regions is None and not self.evacuated:
            return backends
        usable = {
            domain
            for domain in {b.server.failure_domain for b in backends}
            if domain not in self.evacuated
            and places.is_allowed(domain, regions, self._regions)
        }
        return [b for b in backends if b.server.failure_domain in usable]

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
        """Returns predicates for preferred servers, most important first.

        They are preferences only: a silent server may still answer, and a
        server that is about to load serves if no other has capacity.
        """
        return (
            lambda b: not b.is_silent(now),
            lambda b: b.transit.estimate_s(now) < _MAX_TRANSIT_S,
            lambda b: not b.yielding,
            lambda b: b.serves(
                requirements.preferred_version, requirements.layers
            ),
        )

    def utilization(self, backend: backend_lib.Backend, now: float) -> float:
        """Returns a server's requests as a fraction of its slots."""
        return backend.estimated_requests(now) / max(1, backend.server.slots)

    def _score(self, backend: backend_lib.Backend, now: float) -> float:
        requests = backend.estimated_requests(now) + 1.0
        requests += backend.unread_tokens / _TOKENS_PER_REQUEST
        load = requests / max(1, backend.server.slots)
        load *= backend.estimated_pace(now)
        load *= 1.0 + _FAILURE_WEIGHT * backend.failure_rate
        load += self._distance_cost(backend.server.failure_domain)
        return load + self._rng.random() * _JITTER

    def _distance_cost(self, domain: str) -> float:
        """Returns the load added for the distance to a failure domain."""
        cost = self._distances.get(domain)
        if cost is None:
            distance = distance_to(self._regions, self._place, domain)
            cost = self._distances[domain] = _DISTANCE_COSTS[distance]
        return cost


def _min_version(
    requirements: Requirements, backend: backend_lib.Backend, now: float
) -> int:
    """Returns the minimum version for a request that is sent now."""
    arrival_at = now
    # The way only matters shortly before a version is required.
    if requirements.upcoming_at <= now + transit.MAX_ESTIMATE_S:
        arrival_at += backend.transit.estimate_s(now)
    if requirements.prompt is not None:
        ahead = begin_estimate.Ahead(
            backend.unread_tokens, backend.estimated_requests(now)
        )
        arrival_at += requirements.prompt.lead_s(backend, ahead, now)
    return requirements.min_version_at(arrival_at)


def distance_to(
    regions: dict[str, str], place: shared_types.Place, domain: str
) -> int:
    """Returns 0 for the same failure domain, 1 the same region, 2 another.

    Args:
      regions: Region of each failure domain.
      place: Location of this process.
      domain: The failure domain.
    """
    if domain == place.failure_domain:
        return 0
    return 1 if regions.get(domain) == place.region else 2


def draw_service(
    route: types.Route,
    rng: random.Random,
    is_barred: Callable[[str], bool] = lambda service: False,
) -> str:
    """Returns a service of a route, drawn at random by weight.

    Args:
      route: The route.
      rng: Draws the service.
      is_barred: Returns whether operators allow no server of a service; it is
        drawn only if that holds for all.
    """
    targets = route.targets
    if len(targets) > 1:
        targets = (
            tuple(t for t in targets if not is_barred(t.service)) or targets
        )
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    if sum(weights) <= 0:
        return targets[0].service
    return rng.choices(targets, weights)[0].service
