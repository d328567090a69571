"""The queue, the workers and the routing policy of one service at one entry."""

import asyncio
import collections
import dataclasses
import random

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import admit
from clementinegw.requests import demand
from clementinegw.requests import fair_queue
from clementinegw.requests import prefix
from clementinegw.requests import retry
from clementinegw.requests import route
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import workers as workers_lib

# How often waiting requests are looked at when nothing else happens: workers
# warm up, pauses end, deadlines pass.
RECHECK_INTERVAL_S = 0.05
# Requests of different customers that a free worker may choose from. Taking
# the one whose prompt it has cached moves none by more than one turn.
LOOK_AHEAD = 8
# The way to a worker and back, during which a freed slot would stay empty.
_ROUND_TRIP_S = 0.002
_NO_BACKEND_RETRY_S = 1.0
_MEAN_TOKENS_SMOOTHING = 0.02
_MIN_COST = 0.1
_MIN_RUN_S = 1e-3
# Customers above their share take the speed of full workers from the others as
# well as their turns. What is left free costs them, and nobody else, this part.
_RESERVED_SHARE = 0.25
_MIN_RUN_TIMES = 50
_MAX_RUN_TIMES = 200
_MAX_COST = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request that wants a worker.

    Attributes:
      name: Names it among the requests at a worker.
      ticket: Its place in the queue.
      query: What the choice depends on.
      worker: The worker it was given.
      rejection: Why it was given none.
      waiter: Wakes it; None while it has not had to wait.
      queued: Whether its worker was full when it was sent there.
    """

    name: str
    ticket: fair_queue.Ticket
    query: route.RoutingQuery
    worker: workers_lib.Worker | None = None
    rejection: admit.Rejection | None = None
    waiter: asyncio.Future[None] | None = None
    queued_at_worker: bool = False

    @property
    def resolved(self) -> bool:
        """Whether it has a worker or was refused."""
        return self.worker is not None or self.rejection is not None


class Dispatcher:
    """Hands the waiting requests of one service to its workers."""

    def __init__(
        self,
        place: types.Place,
        rules: rules_lib.Rules,
        clock: clock_lib.Clock,
        rng: random.Random,
    ):
        """Starts without workers.

        Args:
          place: Where this entry stands.
          rules: The service's settings.
          clock: The source of time.
          rng: For ties and spread.
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
        """The prefixes that workers hold; None for a policy without."""
        if isinstance(self._policy, route.CacheAware):
            return self._policy.index
        return None

    @property
    def waiting(self) -> int:
        """How many requests wait for a worker."""
        return len(self._queue)

    @property
    def ready(self) -> bool:
        """Whether any worker serves."""
        return any(w.ready and not w.leaving for w in self.workers)

    def set_policy(self, policy: route.Policy) -> None:
        """Routes by a policy of the caller's making."""
        self._policy = policy

    def configure(self, rules: rules_lib.Rules) -> None:
        """Takes the service's settings."""
        if rules.policy != self._rules.policy:
            self._policy = route.make_policy(rules.policy, self._rng)
        self._rules = rules
        self._limits = admit.AdmissionLimits(
            rules.max_queue, rules.target_s, rules.interval_s
        )
        self._update_context()

    def set_entries_per_worker(self, entries_per_worker: float) -> None:
        """Sets how many entries share each worker."""
        self._entries_per_worker = max(1.0, entries_per_worker)
        self._update_context()

    def cost(self, tokens: int) -> float:
        """Returns a request's cost in units of one mean request."""
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
        """Returns a ticket for a request that has come."""
        if tokens > 0:
            smoothing = _MEAN_TOKENS_SMOOTHING if self._mean_tokens else 1.0
            self._mean_tokens += smoothing * (tokens - self._mean_tokens)
        cost = self.cost(tokens)
        now = self._clock.now()
        if self._demand.is_due(now):
            # By the share of the slots, not by those that are in use: an entry
            # that holds more would take its heavy customers for light ones and
            # come to hold more still.
            run_s = max(_MIN_RUN_S, self._admission.mean_run_s)
            self._demand.end_period(self._context.fair_share / run_s, now)
        self._demand.record_request(customer, weight, cost, now)
        return fair_queue.Ticket(customer, weight, priority, cost, deadline)

    def check_arrival(
        self, ticket: fair_queue.Ticket
    ) -> admit.Rejection | None:
        """Returns why a request that has come is not taken in, if so."""
        return self._admission.check_arrival(
            ticket, self._limits, self._clock.now()
        )

    async def acquire(self, job: Job, requeued: bool = False) -> None:
        """Waits until the job has a worker or is refused.

        Args:
          job: The request.
          requeued: Whether it has been sent before, and keeps its place.
        """
        if not self.ready:
            job.rejection = _no_backend()
            return
        job.ticket.queued_at = self._clock.now()
        self._queue.push(job.ticket, requeued=requeued)
        self._jobs[job.ticket] = job
        self.dispatch()
        if job.resolved:
            return
        self._enforce_queue_limit()
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
        """Notes that a job has left its worker, and serves the next.

        Args:
          job: The job.
          answered: Whether it was answered.
          tokens: What the answer took; 0 when that is not known.
          reported_load: The agent's load as told with the answer.
        """
        worker = job.worker
        assert worker is not None
        now = self._clock.now()
        started_at, _ = worker.running.get(job.name, (now, 0.0))
        cost = self.cost(tokens) if tokens else None
        self.workers.record_ended(
            worker, job.name, now, answered, cost, reported_load
        )
        # Time in a worker's queue is none that the request runs; taken for it,
        # the capacity would seem smaller the busier the workers are.
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
          quantile: The part of attempts that are not late.

        Returns:
          None before enough attempts have been answered.
        """
        if len(self._run_times) < _MIN_RUN_TIMES:
            return None
        ordered = sorted(self._run_times)
        return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]

    def dispatch(self) -> None:
        """Gives waiting requests to workers that have room."""
        while self._dispatch_next():
            pass

    def workers_changed(self) -> None:
        """Notes that workers came, went or reported."""
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
        # No room for those that are next. A customer within its share may use
        # room that others may not, and does not wait behind them.
        return self._dispatch_one(
            self._queue.candidates(LOOK_AHEAD, self._demand.is_within_share)
        )

    def _dispatch_one(self, candidates: list[fair_queue.Ticket]) -> bool:
        """Gives one of the tickets to a worker, if any has room."""
        if not candidates:
            return False
        now = self._clock.now()
        queries = [self._jobs[ticket].query for ticket in candidates]
        for ticket, query in zip(candidates, queries, strict=True):
            query.within_share = self._demand.is_within_share(ticket.customer)
        choice = self._policy.choose(self.workers, queries, self._context, now)
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
    ) -> None:
        job.worker = worker
        job.rejection = rejection
        self._jobs.pop(job.ticket, None)
        if job.waiter is not None and not job.waiter.done():
            job.waiter.set_result(None)

    def _enforce_queue_limit(self) -> None:
        """Refuses the least urgent requests beyond the queue's bound."""
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
