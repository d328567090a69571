"""Runs requests through the filters of an entry.

resolve settings -> admit -> limit -> suspect -> claim -> route -> send ->
retry -> answer. Each filter passes the request on or ends it with an outcome.
"""

import asyncio
import random

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import _events
from clementinegw.requests import _null_filters
from clementinegw.requests import _request_state as request_state
from clementinegw.requests import dispatcher as dispatcher_lib
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import limit
from clementinegw.requests import retry
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import send
from clementinegw.requests import stream
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

Request = request_types.Request
NoClaims = _null_filters.NoClaims
NoSuspects = _null_filters.NoSuspects

_BYTES_PER_TOKEN = 4
_RETRY_S = 1.0


class Pipeline:
    """Runs the requests of callers at one entry."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        sender: send.Sender,
        limiter: limit.Limiter,
        rules: rules_lib.RulesSource,
        claims: request_types.Claims,
        suspects: request_types.Suspects,
        clock: clock_lib.Clock,
        log: logs.Log,
        counters: counters_lib.Counters,
        rng: random.Random,
    ):
        """Stores the filters.

        Args:
          fleet: The services and their workers.
          sender: Sends the attempts.
          limiter: Enforces the customers' limits.
          rules: The settings in force.
          claims: Claims idempotency keys.
          suspects: Tracks requests that may have crashed backend servers.
          clock: The source of time.
          log: Receives the log events.
          counters: Counts the outcomes and retries.
          rng: Randomizes the backoff.
        """
        self._fleet = fleet
        self._sender = sender
        self._limiter = limiter
        self._rules = rules
        self._claims = claims
        self._suspects = suspects
        self._clock = clock
        self._log = log
        self._counters = counters
        self._rng = rng
        self._running = 0
        self._draining = False
        self._scopes: set[asyncio.Timeout] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """The number of requests that have not ended."""
        return self._running

    @property
    def rules(self) -> rules_lib.RulesSource:
        """The settings in force."""
        return self._rules

    async def run(
        self, request: Request, sink: request_types.Sink | None = None
    ) -> types.Outcome:
        """Runs one request.

        Args:
          request: The request.
          sink: Receives a streamed answer; None buffers the whole answer.

        Returns:
          The outcome. After a streamed `Answered`, the sink has received the
          whole body.
        """
        self._running += 1
        self._idle.clear()
        try:
            outcome = await self._run(request, sink)
        finally:
            self._running -= 1
            if self._running == 0:
                self._idle.set()
        self._count(request, outcome)
        return outcome

    async def drain(self, grace_s: float) -> bool:
        """Refuses new requests and waits for the running ones.

        Requests that run longer, or still run if this call is cancelled, end
        with an outcome, so that their callers are answered.

        Args:
          grace_s: The maximum time to wait, in seconds.

        Returns:
          Whether all running requests ended in time.
        """
        self._draining = True
        self._log.write(_events.DRAINING, running=self._running)
        try:
            await asyncio.wait_for(self._idle.wait(), grace_s)
        except TimeoutError:
            self._end_running()
            return False
        except asyncio.CancelledError:
            self._end_running()
            raise
        return True

    def _end_running(self) -> None:
        self._log.write(_events.DRAIN_CUT, running=self._running)
        now = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now)

    async def _run(
        self, request: Request, sink: request_types.Sink | None
    ) -> types.Outcome:
        rules = self._rules.rules(request.service, request.customer)
        if rules is None:
            return self._reject_unresolved()
        if self._draining:
            return types.NotRun(types.NotRunReason.LEAVING, _RETRY_S)
        dispatcher = self._fleet.dispatcher(rules)
        ticket = dispatcher.ticket(
            request.customer,
            rules.weight,
            request.priority,
            request.tokens,
            request.deadline,
        )
        rejection = dispatcher.check_arrival(ticket)
        if rejection is not None:
            return types.NotRun(rejection.reason, rejection.retry_after_s)
        tokens = _estimate_tokens(request)
        exceeded = self._limiter.try_acquire(
            rules, request.customer, tokens, self._clock.now()
        )
        if exceeded is not None:
            return types.NotRun(exceeded.reason, exceeded.retry_after_s)
        state = request_state.RequestState(
            request, rules, dispatcher, ticket, stream.AnswerCollector(sink)
        )
        outcome: types.Outcome | None = None
        try:
            outcome = await self._run_until_stopped(state)
            return outcome
        finally:
            used = state.tokens + tokens - request.tokens
            ran = outcome is None or not isinstance(outcome, types.NotRun)
            self._limiter.release(rules, request.customer, tokens, used, ran)

    async def _run_until_stopped(
        self, state: request_state.RequestState
    ) -> types.Outcome:
        """Runs the request until it ends or the entry can wait no longer."""
        scope = asyncio.timeout(None)
        self._scopes.add(scope)
        try:
            async with scope:
                return await self._run_checked(state)
        except TimeoutError:
            if not scope.expired():
                raise
            return _interrupted(state)
        finally:
            self._scopes.discard(scope)

    def _reject_unresolved(self) -> types.NotRun:
        if not self._rules.ready():
            return types.NotRun(types.NotRunReason.NO_SETTINGS, _RETRY_S)
        return types.NotRun(types.NotRunReason.UNKNOWN_SERVICE)

    async def _run_checked(
        self, state: request_state.RequestState
    ) -> types.Outcome:
        """Runs the request unless it is known to crash backend servers."""
        verdict = self._suspects.check(state.request, self._clock.now())
        if isinstance(verdict, request_types.Refuse):
            return types.NotRun(types.NotRunReason.SUSPECT)
        return await self._run_claimed(state)

    async def _run_claimed(
        self, state: request_state.RequestState
    ) -> types.Outcome:
        """Runs the request, with a claim if it is keyed and not idempotent."""
        request = state.request
        if request.idempotent or not request.key:
            return await self._run_attempts(state)
        result = await self._claims.claim(request)
        if isinstance(result, request_types.KeptAnswer):
            self._counters.add("requests.kept_answers")
            return result.outcome
        if isinstance(result, request_types.ClaimRefused):
            return result.outcome
        state.claim_offset = result.offset
        outcome: types.Outcome | None = None
        try:
            outcome = await self._run_attempts(state)
            return outcome
        finally:
            # Also on cancellation: a claim that is not settled blocks its key
            # until it expires.
            self._claims.settle(request, outcome or _interrupted(state))

    async def _run_attempts(
        self, state: request_state.RequestState
    ) -> types.Outcome:
        """Sends the request until it is answered or no retry is allowed."""
        state.dispatcher.retry_budget.record_request(state.rules.budget_ratio)
        while True:
            outcome, detail = await self._run_attempt(state)
            if isinstance(outcome, types.Answered):
                self._suspects.completed(state.request)
                return outcome
            decision = retry.decide(
                outcome,
                detail,
                state.retryable,
                state.attempt,
                state.request.deadline - self._clock.now(),
                state.rules,
                state.dispatcher.retry_budget,
                self._rng,
            )
            if isinstance(decision, retry.GiveUp):
                self._counters.add(f"requests.no_retry.{decision.reason.value}")
                return state.combined_outcome(outcome)
            state.record_outcome(outcome)
            self._counters.add(f"requests.retry.{decision.reason}")
            if decision.after_s > 0:
                await asyncio.sleep(decision.after_s)

    async def _run_attempt(
        self, state: request_state.RequestState
    ) -> tuple[types.Outcome, str]:
        """Sends one attempt, under a fleet-wide lease if it is a suspect.

        The check is repeated before each attempt, because the previous attempt
        may have crashed a backend server.
        """
        verdict = self._suspects.check(state.request, self._clock.now())
        if isinstance(verdict, request_types.Clear):
            state.alone = False
            return await self._send_attempt(state)
        lease = await self._suspects.acquire_lease(
            state.request, state.rules.alone_timeout_s
        )
        if isinstance(lease, types.NotRun):
            return lease, "suspect"
        state.alone = lease is not None
        outcome, detail = await self._send_attempt(state)
        # After a crash the lease is left to expire. If it were released,
        # another entry could acquire it before it receives the crash report.
        if lease is not None and not isinstance(outcome, types.Unknown):
            self._suspects.release_lease(lease)
        return outcome, detail

    async def _send_attempt(
        self, state: request_state.RequestState
    ) -> tuple[types.Outcome, str]:
        """Sends one attempt, and a hedge if the first is late and may hedge."""
        job = state.make_job()
        late_s = None
        if state.may_hedge:
            late_s = state.dispatcher.late_after_s(state.rules.hedge_quantile)
        if late_s is None:
            return await self._send_to_worker(state, job, state.answer)
        first = asyncio.ensure_future(
            self._send_to_worker(state, job, stream.AnswerCollector(None))
        )
        tasks = {first}
        try:
            await asyncio.wait(tasks, timeout=late_s)
            if not first.done() and self._may_send_hedge(state, job):
                assert job.worker is not None
                self._counters.add("requests.hedges")
                second = state.make_hedge_job(job.worker.name)
                tasks.add(
                    asyncio.ensure_future(
                        self._send_to_worker(
                            state, second, stream.AnswerCollector(None)
                        )
                    )
                )
            return await _first_answered(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _may_send_hedge(
        self, state: request_state.RequestState, job: dispatcher_lib.Job
    ) -> bool:
        """Returns whether a late attempt may be hedged.

        The attempt must be at a worker. The hedge is charged to the retry
        budget.
        """
        return (
            job.worker is not None
            and state.dispatcher.retry_budget.try_acquire()
        )

    async def _send_to_worker(
        self,
        state: request_state.RequestState,
        job: dispatcher_lib.Job,
        answer: stream.AnswerCollector,
    ) -> tuple[types.Outcome, str]:
        """Waits for a worker and sends one attempt to it."""
        await state.dispatcher.acquire(job, requeued=state.attempt > 0)
        if job.worker is None:
            assert job.rejection is not None
            rejection = job.rejection
            return types.NotRun(
                rejection.reason, rejection.retry_after_s
            ), retry.NO_WORKER
        worker = job.worker
        state.attempt += 1
        resumed = answer.begun
        result = None
        try:
            result = await self._sender.send(
                send.Target(worker.name, worker.instance.address),
                state.request,
                state.attempt_options(),
                answer,
            )
        finally:
            answered = result is not None and isinstance(
                result.outcome, types.Answered
            )
            state.dispatcher.release(
                job,
                answered,
                result.tokens if result else 0,
                result.reported_load if result else None,
            )
        self._update_worker(state, worker, result, resumed)
        state.tokens = max(state.tokens, result.tokens)
        return result.outcome, result.detail

    def _update_worker(
        self, state: request_state.RequestState, worker, result, resumed: bool
    ) -> None:
        """Updates the state of the worker according to an attempt."""
        if isinstance(result.outcome, types.Answered):
            if resumed:
                self._counters.add("requests.streams_resumed")
                self._log.write(_events.STREAM_RESUMED, agent=worker.name)
            return
        state.avoid.add(worker.name)
        if result.detail == "leaving":
            worker.leaving = True
        elif result.detail in _NOT_READY:
            worker.ready = False
        elif isinstance(result.outcome, types.Unknown):
            state.dispatcher.workers.record_failure(worker, self._clock.now())

    def _count(self, request: Request, outcome: types.Outcome) -> None:
        if isinstance(outcome, types.Answered):
            self._counters.add("requests.answered")
        elif isinstance(outcome, types.NotRun):
            self._counters.add(f"requests.not_run.{outcome.reason.value}")
        else:
            self._counters.add(f"requests.unknown.{outcome.reason.value}")
            self._log.write(
                _events.REQUEST_UNKNOWN,
                request=request.request_id,
                service=request.service,
                reason=outcome.reason.value,
            )


def _interrupted(
    state: request_state.RequestState,
) -> types.NotRun | types.Unknown:
    """Returns the outcome of a request whose run was interrupted."""
    if state.attempt == 0:
        return types.NotRun(types.NotRunReason.LEAVING, _RETRY_S)
    return types.Unknown(
        types.UnknownReason.HOLDER_LOST, "the entry could not wait for its end"
    )


_NOT_READY = frozenset({"not_ready", "loading", "unreachable"})


async def _first_answered(
    tasks: set[asyncio.Task[tuple[types.Outcome, str]]],
) -> tuple[types.Outcome, str]:
    """Returns the first answer of the tasks.

    Without an answer, an unknown outcome takes precedence over "not run".
    """
    pending = tasks
    worst: tuple[types.Outcome, str] | None = None
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            outcome, _ = result = task.result()
            if isinstance(outcome, types.Answered):
                return result
            if worst is None or isinstance(outcome, types.Unknown):
                worst = result
    assert worst is not None
    return worst


def _estimate_tokens(request: Request) -> int:
    if request.tokens <= 0:
        return 0
    return request.tokens + len(request.body) // _BYTES_PER_TOKEN
