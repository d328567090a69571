"""What an entry knows of the workers of one service.

A worker is an agent with its backend server. Facts come from three sources of
different age: this entry's own requests (at once), the load told with each
answer and status (a moment old), and membership (seconds old).
"""

from collections.abc import Iterable
import dataclasses
import statistics

from clementinegw import types

DEFAULT_CAPACITY = 4
_SMOOTHING_FACTOR = 0.2
_MIN_SAMPLES = 3
# A worker this much slower than the median is left out.
SLOW_RATIO = 2.5
_SLOW_AGE_RATIO = 4.0
_MIN_PROBE_INTERVAL_S = 5.0
_MAX_PROBE_INTERVAL_S = 60.0
# Failures in a row after which a worker is left out for a while.
_MAX_CONSECUTIVE_FAILURES = 3
_MIN_COOLDOWN_S = 1.0
_MAX_COOLDOWN_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """An agent's own word on itself.

    Attributes:
      version: The model version it serves.
      mark_leaving: Whether it takes no new work.
      ready: Whether it serves.
      load: Requests in flight and in its queue, of all entries.
      capacity: Requests that run at once.
      serving_s: Seconds since it began to serve the version.
      incarnation: Grows with each start of the agent.
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
    """One worker as this entry sees it.

    Attributes:
      instance: Who and where it is.
      tier: 0 in this failure domain, 1 in this region, 2 elsewhere.
      set_connected: Whether there is a connection to it.
      mark_leaving: Whether anybody has said that it leaves.
      ready: Whether it said that it serves.
      version: The version it serves.
      incarnation: Of the agent that reported last.
      capacity: Requests that run at once.
      other_requests: Its requests of other entries, by its last report.
      serving_since: When it began to serve, monotonic seconds.
      record_started: This entry's requests there, by id: start time and cost.
      seconds_per_cost: Smoothed seconds a unit of cost; 0 without samples.
      samples: Answers that the pace rests on.
      failures: Failed attempts in a row.
      cooldown_until: No work before, after failures.
      next_probe_at: When a slow worker may be tried again.
      probe_interval_s: The present distance of such trials.
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
        """The agent's instance id."""
        return self.instance.instance_id

    @property
    def own_requests(self) -> int:
        """This entry's requests there."""
        return len(self.running)

    @property
    def load(self) -> int:
        """All requests there, as far as known."""
        return len(self.running) + self.other_requests

    def usable(self, now: float) -> bool:
        """Returns whether new work may go there at all."""
        return (
            self.connected
            and self.ready
            and not self.leaving
            and self.cooldown_until <= now
        )

    def effective_capacity(self, now: float, slow_start_s: float) -> float:
        """Returns how many requests it may run at once just now.

        A worker that has just loaded a version has a cold cache and compiles
        on first use. Given its whole share at once it would answer late; one
        would notice it as a peak of latency after each rollout.
        """
        serving_s = now - self.serving_since
        if serving_s >= slow_start_s or not slow_start_s:
            return float(self.capacity)
        return max(1.0, self.capacity * serving_s / slow_start_s)

    def record_probe(self, now: float) -> None:
        """Notes that this slow worker is being tried again."""
        self.next_probe_at = now + self.probe_interval_s
        self.probe_interval_s = min(
            _MAX_PROBE_INTERVAL_S, self.probe_interval_s * 2
        )


class Workers:
    """The workers of one service."""

    def __init__(self, place: types.Place):
        """Starts empty.

        Args:
          place: Where this entry stands.
        """
        self._place = place
        self._workers: dict[str, Worker] = {}
        self._median_seconds_per_cost = 0.0

    @property
    def median_seconds_per_cost(self) -> float:
        """The median seconds a unit of cost; 0 without samples."""
        return self._median_seconds_per_cost

    def __iter__(self):
        """Iterates over the workers."""
        return iter(self._workers.values())

    def __len__(self) -> int:
        """Returns how many there are."""
        return len(self._workers)

    def get(self, name: str) -> Worker | None:
        """Returns a worker by its instance id."""
        return self._workers.get(name)

    def set_subset(self, chosen: Iterable[types.Instance]) -> None:
        """Sets who belongs to this entry's subset.

        Requests that still run at a worker outside it go on to their end.
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
        """Notes that the connection to a worker is up or down."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.connected = connected
            worker.ready = worker.ready and connected

    def apply_report(self, name: str, report: Report, now: float) -> bool:
        """Takes an agent's own word.

        Returns:
          Whether the worker serves another version than before.
        """
        worker = self._workers.get(name)
        if worker is None:
            return False
        changed = worker.version != report.version
        worker.connected = True
        worker.version = report.version
        if report.incarnation != worker.incarnation:
            # A new process at the same address: what its predecessor said of
            # leaving and how fast it was no longer holds.
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
        """Takes an agent's load alone, between two reports.

        Args:
          name: The agent's instance id.
          incarnation: Of the agent that says so.
          load: Requests in flight and in its queue, of all entries.

        Returns:
          Whether it counts: the load of another incarnation than the one that
          reported last says nothing of this worker.
        """
        worker = self._workers.get(name)
        if worker is None or worker.incarnation != incarnation:
            return False
        worker.other_requests = max(0, load - worker.own_requests)
        return True

    def mark_leaving(self, name: str) -> None:
        """Notes that a worker leaves, whoever says so."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.leaving = True

    def record_started(
        self, worker: Worker, request_id: str, cost: float, now: float
    ) -> None:
        """Notes that a request of this entry goes there."""
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
        """Notes that a request of this entry ended there.

        Args:
          worker: The worker.
          request_id: The request.
          now: Monotonic seconds.
          answered: Whether it was answered.
          cost: What it turned out to cost; None keeps the estimate.
          reported_load: The agent's load as told with the answer.
        """
        start, estimate = worker.running.pop(request_id, (now, 0.0))
        if reported_load is not None:
            worker.other_requests = max(0, reported_load - worker.own_requests)
        if not answered:
            return
        worker.failures = 0
        units = cost if cost is not None else estimate
        if units > 0:
            self._sample(worker, (now - start) / units)

    def record_failure(self, worker: Worker, now: float) -> None:
        """Notes a failed attempt; several in a row pause the worker."""
        worker.failures += 1
        excess = worker.failures - _MAX_CONSECUTIVE_FAILURES
        if excess >= 0:
            cooldown_s = min(_MAX_COOLDOWN_S, _MIN_COOLDOWN_S * 2**excess)
            worker.cooldown_until = now + cooldown_s

    def is_slow(self, worker: Worker, now: float) -> bool:
        """Returns whether a worker is an outlier.

        Either its answers take far longer than the others', or its oldest open
        request is far overdue: a stalled worker gives no answers to judge by.
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
