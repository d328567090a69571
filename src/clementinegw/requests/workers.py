"""The state of the workers of one service as known to an entry.

A worker is an agent with its backend server. The state comes from three sources
of different age: this entry's own requests (immediate), the load reported with
each answer and status (recent), and membership (seconds old).
"""

from collections.abc import Iterable
import dataclasses
import statistics

from clementinegw import types

DEFAULT_CAPACITY = 4
_SMOOTHING_FACTOR = 0.2
_MIN_SAMPLES = 3
# A worker slower than the median by this factor is excluded.
SLOW_RATIO = 2.5
_SLOW_AGE_RATIO = 4.0
_MIN_PROBE_INTERVAL_S = 5.0
_MAX_PROBE_INTERVAL_S = 60.0
# Consecutive failures after which a worker is in cooldown.
_MAX_CONSECUTIVE_FAILURES = 3
_MIN_COOLDOWN_S = 1.0
_MAX_COOLDOWN_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A report of an agent about itself.

    Attributes:
      version: The model version it serves.
      leaving: Whether it accepts no new requests.
      ready: Whether it can serve requests.
      load: The number of requests in flight and queued, of all entries.
      capacity: The number of requests that can run concurrently.
      serving_s: How long it has served the version, in seconds.
      incarnation: Increases with each start of the agent.
    """

    version: str
    leaving: bool
    ready: bool
    load: int
    capacity: int
    serving_s: float
    incarnation: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """The state of one worker as known to this entry.

    Attributes:
      instance: The instance of the agent.
      tier: 0 in this failure domain, 1 in this region, 2 elsewhere.
      connected: Whether there is a connection to it.
      leaving: Whether it was reported as leaving by any source.
      ready: Whether it reported that it can serve requests.
      version: The model version it serves.
      incarnation: The incarnation in its last report.
      capacity: The number of requests that can run concurrently.
      other_requests: The number of requests of other entries, according to its
        last report.
      serving_since: When it began to serve the version, in monotonic seconds.
      running: The start time and cost of this entry's requests there, by id.
      seconds_per_cost: The smoothed run time per unit of cost, in seconds; 0
        without samples.
      samples: The number of answers in `seconds_per_cost`.
      failures: The number of consecutive failed attempts.
      cooldown_until: When it may receive requests again after failures, in
        monotonic seconds.
      next_probe_at: When it may be probed next if it is slow, in monotonic
        seconds.
      probe_interval_s: The delay between the next probe and the one after it,
        in seconds.
    """

    instance: types.Instance
    tier: int
    connected: bool = False
    leaving: bool = False
    ready: bool = False
    version: str = ""
    incarnation: int = 0
    capacity: int = DEFAULT_CAPACITY
    other_requests: int = 0
    serving_since: float = 0.0
    running: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    seconds_per_cost: float = 0.0
    samples: int = 0
    failures: int = 0
    cooldown_until: float = 0.0
    next_probe_at: float = 0.0
    probe_interval_s: float = _MIN_PROBE_INTERVAL_S

    @property
    def name(self) -> str:
        """The instance id of the agent."""
        return self.instance.instance_id

    @property
    def own_requests(self) -> int:
        """The number of this entry's requests there."""
        return len(self.running)

    @property
    def load(self) -> int:
        """The known number of requests there, of all entries."""
        return len(self.running) + self.other_requests

    def usable(self, now: float) -> bool:
        """Returns whether it may receive new requests."""
        return (
            self.connected
            and self.ready
            and not self.leaving
            and self.cooldown_until <= now
        )

    def effective_capacity(self, now: float, slow_start_s: float) -> float:
        """Returns its capacity, reduced during the slow start.

        A worker that has just loaded a version has a cold cache and compiles on
        first use. With its full share of requests it would answer late. The
        symptom would be a latency peak after each rollout.

        Args:
          now: The current time, in monotonic seconds.
          slow_start_s: How long the capacity increases to its full value, in
            seconds.
        """
        serving_s = now - self.serving_since
        if serving_s >= slow_start_s or not slow_start_s:
            return float(self.capacity)
        return max(1.0, self.capacity * serving_s / slow_start_s)

    def record_probe(self, now: float) -> None:
        """Records a probe of this slow worker and schedules the next one."""
        self.next_probe_at = now + self.probe_interval_s
        self.probe_interval_s = min(
            _MAX_PROBE_INTERVAL_S, self.probe_interval_s * 2
        )


class Workers:
    """The workers of one service."""

    def __init__(self, place: types.Place):
        """Starts empty.

        Args:
          place: The location of this entry.
        """
        self._place = place
        self._workers: dict[str, Worker] = {}
        self._median_seconds_per_cost = 0.0

    @property
    def median_seconds_per_cost(self) -> float:
        """The median run time per unit of cost, in seconds; 0 if unknown."""
        return self._median_seconds_per_cost

    def __iter__(self):
        """Iterates over the workers."""
        return iter(self._workers.values())

    def __len__(self) -> int:
        """Returns the number of workers."""
        return len(self._workers)

    def get(self, name: str) -> Worker | None:
        """Returns a worker by its instance id; None if it is unknown."""
        return self._workers.get(name)

    def set_subset(self, chosen: Iterable[types.Instance]) -> None:
        """Sets the workers in this entry's subset.

        Requests that run at a removed worker continue to their end.
        """
        wanted = {instance.instance_id: instance for instance in chosen}
        for name, instance in wanted.items():
            worker = self._workers.get(name)
            if worker is None or _moved(worker.instance, instance):
                worker = Worker(instance, self._tier(instance.place))
                self._workers[name] = worker
            worker.instance = instance
        for name in [n for n in self._workers if n not in wanted]:
            del self._workers[name]

    def set_connected(self, name: str, connected: bool) -> None:
        """Sets whether there is a connection to a worker."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.connected = connected
            worker.ready = worker.ready and connected

    def apply_report(self, name: str, report: Report, now: float) -> bool:
        """Applies the report of an agent.

        Args:
          name: The instance id of the agent.
          report: The report.
          now: The current time, in monotonic seconds.

        Returns:
          Whether the version of the worker has changed.
        """
        worker = self._workers.get(name)
        if worker is None:
            return False
        changed = worker.version != report.version
        worker.connected = True
        worker.version = report.version
        if report.incarnation != worker.incarnation:
            # A new process at the same address: the reports and the speed of
            # its predecessor no longer apply.
            worker.incarnation = report.incarnation
            worker.leaving = False
            worker.failures = 0
            worker.cooldown_until = 0.0
            worker.samples = 0
        worker.leaving = worker.leaving or report.leaving
        worker.ready = report.ready
        worker.capacity = max(1, report.capacity)
        worker.other_requests = max(0, report.load - worker.own_requests)
        worker.serving_since = now - report.serving_s
        return changed

    def apply_load(self, name: str, incarnation: int, load: int) -> bool:
        """Applies the load of an agent, received between two reports.

        Args:
          name: The instance id of the agent.
          incarnation: The incarnation of the agent that sent it.
          load: The number of requests in flight and queued, of all entries.

        Returns:
          Whether it was applied. The load of an incarnation other than that of
          the last report does not apply to this worker.
        """
        worker = self._workers.get(name)
        if worker is None or worker.incarnation != incarnation:
            return False
        worker.other_requests = max(0, load - worker.own_requests)
        return True

    def mark_leaving(self, name: str) -> None:
        """Records that a worker is leaving, as reported by any source."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.leaving = True

    def record_started(
        self, worker: Worker, request_id: str, cost: float, now: float
    ) -> None:
        """Records that a request of this entry was sent to a worker."""
        worker.running[request_id] = (now, cost)

    def record_ended(
        self,
        worker: Worker,
        request_id: str,
        now: float,
        answered: bool,
        cost: float | None = None,
        reported_load: int | None = None,
    ) -> None:
        """Records that a request of this entry ended at a worker.

        Args:
          worker: The worker.
          request_id: The id of the request.
          now: The current time, in monotonic seconds.
          answered: Whether it was answered.
          cost: The actual cost; None uses the estimate.
          reported_load: The agent's load as reported with the answer, in
            requests; None if it was not reported.
        """
        start, estimate = worker.running.pop(request_id, (now, 0.0))
        if reported_load is not None:
            worker.other_requests = max(0, reported_load - worker.own_requests)
        if not answered:
            return
        worker.failures = 0
        known_cost = cost if cost is not None else estimate
        if known_cost > 0:
            self._sample(worker, (now - start) / known_cost)

    def record_failure(self, worker: Worker, now: float) -> None:
        """Records a failed attempt; consecutive ones lead to a cooldown."""
        worker.failures += 1
        excess = worker.failures - _MAX_CONSECUTIVE_FAILURES
        if excess >= 0:
            cooldown_s = min(_MAX_COOLDOWN_S, _MIN_COOLDOWN_S * 2**excess)
            worker.cooldown_until = now + cooldown_s

    def is_slow(self, worker: Worker, now: float) -> bool:
        """Returns whether a worker is much slower than the others.

        Either its answers take much longer than the median, or its oldest
        running request does: a stalled worker returns no answers to measure.
        """
        median = self._median_seconds_per_cost
        if median <= 0:
            return False
        if worker.samples >= _MIN_SAMPLES and (
            worker.seconds_per_cost > median * SLOW_RATIO
        ):
            return True
        for start, cost in worker.running.values():
            return now - start > _SLOW_AGE_RATIO * median * max(cost, 1.0)
        return False

    def _sample(self, worker: Worker, seconds_per_cost: float) -> None:
        weight = max(_SMOOTHING_FACTOR, 1.0 / (worker.samples + 1))
        worker.seconds_per_cost += weight * (
            seconds_per_cost - worker.seconds_per_cost
        )
        worker.samples += 1
        values = [w.seconds_per_cost for w in self if w.samples >= _MIN_SAMPLES]
        self._median_seconds_per_cost = (
            statistics.median_low(values) if values else 0.0
        )
        if worker.seconds_per_cost < SLOW_RATIO * self._median_seconds_per_cost:
            worker.probe_interval_s = _MIN_PROBE_INTERVAL_S

    def _tier(self, place: types.Place) -> int:
        if place.failure_domain == self._place.failure_domain:
            return 0
        return 1 if place.region == self._place.region else 2


def _moved(known: types.Instance, instance: types.Instance) -> bool:
    return known.address != instance.address
