"""Dispatches the queued requests of one service to its workers."""

import asyncio
import collections
import dataclasses
import random

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import admit
from clementinegw.requests import fair_queue
from clementinegw.requests import prefix
from clementinegw.requests import retry
from clementinegw.requests import route
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import workers as workers_lib
from clementinegw.scheduling import demand

# Interval between checks of the queue when no event triggers one: workers warm
# up, cooldowns end and deadlines pass without an event. Seconds.
RECHECK_INTERVAL_S = 0.05
# The number of queued requests that a free worker may choose from. Choosing the
# one whose prompt is cached delays no other by more than one turn.
LOOK_AHEAD = 8
# The round trip to a worker, during which a freed slot would stay unused.
_ROUND_TRIP_S = 0.002
_NO_BACKEND_RETRY_S = 1.0
_MEAN_TOKENS_SMOOTHING = 0.02
_MIN_COST = 0.1
_MIN_RUN_S = 1e-3
# Customers above their share slow the others down not only in the queue but
# also at the workers, because full workers are slower. This share of the
# capacity stays free; it is withheld from customers above their share only.
_RESERVED_SHARE = 0.25
_MIN_RUN_TIMES = 50
_MAX_RUN_TIMES = 200
_MAX_COST = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request that needs a worker.

    Attributes:
      name: Identifies it among the requests at a worker.
      ticket: Its ticket in the queue.
      query: What the choice of the worker depends on.
      worker: The assigned worker.
      rejection: Why it was rejected.
      error: The unexpected error that its placement raised.
      waiter: Resolves when it is assigned, rejected or failed; None unless it
        waits.
      queued_at_worker: Whether the worker was full when it was assigned.
    """

    name: str
    ticket: fair_queue.Ticket
    query: route.RoutingQuery
    worker: workers_lib.Worker | None = None
    rejection: admit.Rejection | None = None
    error: Exception | None = None
    waiter: asyncio.Future[None] | None = None
    queued_at_worker: bool = False

    @property
    def resolved(self) -> bool:
        """Whether it was assigned to a worker, rejected or failed."""
        return (
            self.worker is not None
            or self.rejection is not None
            or self.error is not None
        )


class Dispatcher:
    """Dispatches the queued requests of one service to its workers.

    Attributes:
      workers: The workers of the service.
      retry_budget: Limits the retries of the service.
    """

    def __init__(
        self,
        place: types.Place,
        rules: rules_lib.Rules,
        clock: clock_lib.Clock,
        rng: random.Random,
    ):
        """Starts without workers.

        Args:
          place: The location of this entry.
          rules: The settings of the service.
          clock: The source of time.
          rng: Breaks ties and randomizes delays.
        """
        self._clock = clock
        self._rng = rng
        self._rules = rules
        self._policy = route.make_policy(rules.policy, rng)
        self._queue = fair_queue.FairQueue()
        self._admission = admit.Admission(self._queue, rng)
        self._demand = demand.DemandTracker()
        self._run_times: collections.deque[float] = collections.deque(
            maxlen=_MAX_RUN_TIMES
        )
        self._jobs: dict[fair_queue.Ticket, Job] = {}
        self._recheck_timer: asyncio.TimerHandle | None = None
        self._mean_tokens = 0.0
        self._entries_per_worker = 1.0
        self._context = route.RoutingContext()
        self.workers = workers_lib.Workers(place)
        self.retry_budget = retry.RetryBudget()
        self.configure(rules)

    @property
    def index(self) -> prefix.PrefixIndex | None:
        """The index of cached prefixes; None if the policy has none."""
        if isinstance(self._policy, route.CacheAware):
            return self._policy.index
        return None

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a worker."""
        return len(self._queue)

    @property
    def ready(self) -> bool:
        """Whether any worker is ready and not leaving."""
        return any(w.ready and not w.leaving for w in self.workers)

    def set_policy(self, policy: route.Policy) -> None:
        """Replaces the routing policy."""
        self._policy = policy

    def configure(self, rules: rules_lib.Rules) -> None:
        """Applies the settings of the service."""
        if rules.policy != self._rules.policy:
            self._policy = route.make_policy(rules.policy, self._rng)
        self._rules = rules
        self._limits = admit.AdmissionLimits(
            rules.max_queue, rules.target_s, rules.interval_s
        )
        self._update_context()

    def set_entries_per_worker(self, entries_per_worker: float) -> None:
        """Sets the mean number of entries that share each worker."""
        self._entries_per_worker = max(1.0, entries_per_worker)
        self._update_context()

    def cost(self, tokens: int) -> float:
        """Returns the cost of a request, in units of one mean request."""
        if tokens <= 0:
            return 1.0
        if self._mean_tokens <= 0:
            return 1.0
        return min(_MAX_COST, max(_MIN_COST, tokens / self._mean_tokens))

    def ticket(
        self,
        customer: str,
        weight: float,
        priority: types.Priority,
        tokens: int,
        deadline: float,
    ) -> fair_queue.Ticket:
        """Returns a ticket for a new request.

        Args:
          customer: The name of the customer.
          weight: The customer's weight.
          priority: The priority of the request.
          tokens: The maximum number of tokens of the answer; 0 for a plain
            service.
          deadline: The deadline, in monotonic seconds.
        """
        if tokens > 0:
            smoothing = _MEAN_TOKENS_SMOOTHING if self._mean_tokens else 1.0
            self._mean_tokens += smoothing * (tokens - self._mean_tokens)
        cost = self.cost(tokens)
        now = self._clock.now()
        if self._demand.is_due(now):
            # The capacity is this entry's fair share of the slots rather than
            # the slots in use. Otherwise an entry that uses more than its share
            # would consider its heavy customers to be within their share, and
            # use even more.
            run_s = max(_MIN_RUN_S, self._admission.mean_run_s)
            self._demand.end_period(self._context.fair_share / run_s, now)
        self._demand.record_request(customer, weight, cost, now)
        return fair_queue.Ticket(customer, weight, priority, cost, deadline)

    def check_arrival(
        self, ticket: fair_queue.Ticket
    ) -> admit.Rejection | None:
        """Returns the rejection of a new request; None if it is accepted."""
        return self._admission.check_arrival(
            ticket, self._limits, self._clock.now()
        )

    async def acquire(self, job: Job, requeued: bool = False) -> None:
        """Waits until the job is assigned to a worker or rejected.

        Args:
          job: The job.
          requeued: Whether it was sent before and goes to the front of its
            customer's queue.

        Raises:
          Exception: Its placement raised this unexpected error.
        """
        if not self.ready:
            job.rejection = _no_backend()
            return
        job.ticket.queued_at = self._clock.now()
        self._queue.push(job.ticket, requeued=requeued)
        self._jobs[job.ticket] = job
        self.dispatch()
        if not job.resolved:
            self._enforce_queue_limit()
            await self._wait(job)
        if job.error is not None:
            raise job.error

    async def _wait(self, job: Job) -> None:
        job.waiter = asyncio.get_running_loop().create_future()
        self._schedule_recheck()
        try:
            if not job.resolved:
                await job.waiter
        except asyncio.CancelledError:
            if job.worker is not None:
                self.release(job, False)
            raise
        finally:
            job.waiter = None
            self._jobs.pop(job.ticket, None)
            self._queue.remove(job.ticket)

    def release(
        self,
        job: Job,
        answered: bool,
        tokens: int = 0,
        reported_load: int | None = None,
    ) -> None:
        """Releases the worker of a job and dispatches queued requests.

        Args:
          job: The job.
          answered: Whether it was answered.
          tokens: The number of tokens used; 0 if unknown.
          reported_load: The agent's load as reported with the answer, in
            requests; None if it was not reported.
        """
        worker = job.worker
        assert worker is not None
        now = self._clock.now()
        started_at, _ = worker.running.get(job.name, (now, 0.0))
        cost = self.cost(tokens) if tokens else None
        self.workers.record_ended(
            worker, job.name, now, answered, cost, reported_load
        )
        # The time in a worker's queue is not run time. If it counted, the
        # capacity would seem to shrink as the workers become busier.
        has_run_time = answered and not job.queued_at_worker
        if answered:
            self._run_times.append(now - started_at)
        self._admission.record_ended(
            job.ticket, now - started_at if has_run_time else None
        )
        job.worker = None
        self.dispatch()

    def late_after_s(self, quantile: float) -> float | None:
        """Returns the time after which an attempt is late, in seconds.

        Args:
          quantile: The share of attempts that are not late.

        Returns:
          The time; None until enough attempts were answered.
        """
        if len(self._run_times) < _MIN_RUN_TIMES:
            return None
        ordered = sorted(self._run_times)
        return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]

    def dispatch(self) -> None:
        """Dispatches queued requests to workers that have capacity."""
        while self._dispatch_next():
            pass

    def workers_changed(self) -> None:
        """Handles workers that joined, left or reported."""
        self._update_context()
        if self._jobs:
            self.dispatch()

    def _dispatch_next(self) -> bool:
        if not len(self._queue):
            return False
        candidates = self._queue.candidates(LOOK_AHEAD)
        if self._dispatch_one(candidates):
            return True
        if all(
            self._demand.is_within_share(ticket.customer)
            for ticket in candidates
        ):
            return False
        # No worker has capacity for the next requests. A customer within its
        # share may use reserved capacity and does not wait behind the others.
        return self._dispatch_one(
            self._queue.candidates(LOOK_AHEAD, self._demand.is_within_share)
        )

    def _dispatch_one(self, candidates: list[fair_queue.Ticket]) -> bool:
        """Dispatches one of the candidates; returns whether it could."""
        if not candidates:
            return False
        now = self._clock.now()
        queries = [self._jobs[ticket].query for ticket in candidates]
        for ticket, query in zip(candidates, queries, strict=True):
            query.within_share = self._demand.is_within_share(ticket.customer)
        try:
            choice = self._policy.choose(
                self.workers, queries, self._context, now
            )
        except Exception as error:
            # Its cause is one of these requests, not the one whose end made
            # room for them and which runs this code.
            if len(candidates) > 1:
                return self._dispatch_one(candidates[:1])
            self._queue.remove(candidates[0])
            self._resolve(self._jobs[candidates[0]], error=error)
            return True
        if choice is None:
            return False
        ticket = candidates[choice.index]
        job = self._jobs[ticket]
        self._queue.serve(ticket, candidates[: choice.index])
        self._admission.record_started(ticket)
        self.workers.record_started(choice.worker, job.name, ticket.cost, now)
        job.queued_at_worker = choice.worker.load > choice.worker.capacity
        self._resolve(job, worker=choice.worker)
        return True

    def _resolve(
        self,
        job: Job,
        worker: workers_lib.Worker | None = None,
        rejection: admit.Rejection | None = None,
        error: Exception | None = None,
    ) -> None:
        job.worker = worker
        job.rejection = rejection
        job.error = error
        self._jobs.pop(job.ticket, None)
        if job.waiter is not None and not job.waiter.done():
            job.waiter.set_result(None)

    def _enforce_queue_limit(self) -> None:
        """Rejects the least urgent requests above the queue limit."""
        while len(self._jobs) > self._limits.max_queue:
            ticket = max(self._jobs, key=lambda t: (-t.priority, t.queued_at))
            self._reject(ticket, self._admission.queue_full_rejection())

    def _reject(
        self, ticket: fair_queue.Ticket, rejection: admit.Rejection
    ) -> None:
        self._queue.remove(ticket)
        self._resolve(self._jobs[ticket], rejection=rejection)

    def _schedule_recheck(self) -> None:
        if self._recheck_timer is None:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_later(
                RECHECK_INTERVAL_S, self._recheck
            )

    def _recheck(self) -> None:
        self._recheck_timer = None
        now = self._clock.now()
        for ticket in list(self._jobs):
            rejection = self._admission.check_waiting(ticket, self._limits, now)
            if not self.ready:
                rejection = _no_backend()
            if rejection is not None:
                self._reject(ticket, rejection)
        self.dispatch()
        if self._jobs:
            self._schedule_recheck()

    def _update_context(self) -> None:
        capacity = sum(w.capacity for w in self.workers if w.ready)
        self._context = route.RoutingContext(
            slow_start_s=self._rules.slow_start_s,
            spill_load=self._rules.spill_load,
            fair_share=max(1.0, capacity / self._entries_per_worker),
            reserved_share=_RESERVED_SHARE if self._demand.mixed else 0.0,
            headroom=min(
                1.0, _ROUND_TRIP_S / max(_MIN_RUN_S, self._admission.mean_run_s)
            ),
        )


def _no_backend() -> admit.Rejection:
    return admit.Rejection(types.NotRunReason.NO_BACKEND, _NO_BACKEND_RETRY_S)
