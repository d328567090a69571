"""The filters that a request passes, in order, and the outcome it gets.

resolve settings -> admit -> limit -> suspect -> claim -> route -> send ->
retry -> answer. Each filter passes the request on or ends it with an outcome.
"""

import asyncio
import random

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import _events
from clementinegw.requests import _null_filters
from clementinegw.requests import _run as run_lib
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import lane as lane_lib
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

_BYTES_A_TOKEN = 4
_RETRY_S = 1.0


class Pipeline:
    """Runs requests of callers at one entry."""

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
        """Joins the filters.

        Args:
          fleet: The services and their workers.
          sender: Sends attempts.
          limiter: Knows the customers' limits.
          rules: The settings in force.
          claims: Claims idempotency keys.
          suspects: Knows requests that crash servers.
          clock: The source of time.
          log: Where events go.
          counters: Where each outcome is counted.
          rng: Spreads waits.
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
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Requests that have not ended yet."""
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
          request: What the caller asks.
          sink: Takes the answer piece by piece; None holds it to its end.

        Returns:
          The outcome. After a streamed `Answered` the sink has all of it.
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
        """Refuses new requests and waits for those that run.

        Returns:
          Whether all of them ended in time.
        """
        self._draining = True
        self._log.write(_events.DRAINING, running=self._running)
        try:
            await asyncio.wait_for(self._idle.wait(), grace_s)
        except TimeoutError:
            self._log.write(_events.DRAIN_CUT, running=self._running)
            return False
        return True

    async def _run(
        self, request: Request, sink: request_types.Sink | None
    ) -> types.Outcome:
        rules = self._rules.rules(request.service, request.customer)
        if rules is None:
            return self._unresolved()
        if self._draining:
            return types.NotRun(types.NotRunReason.LEAVING, _RETRY_S)
        lane = self._fleet.lane(rules)
        ticket = lane.ticket(
            request.customer,
            rules.weight,
            request.priority,
            request.tokens,
            request.deadline,
        )
        shed = lane.refusal(ticket)
        if shed is not None:
            return types.NotRun(shed.reason, shed.retry_after_s)
        tokens = _tokens(request)
        limited = self._limiter.take(
            rules, request.customer, tokens, self._clock.now()
        )
        if limited is not None:
            return types.NotRun(limited.reason, limited.retry_after_s)
        run = run_lib.Run(request, rules, lane, ticket, stream.Answer(sink))
        outcome: types.Outcome | None = None
        try:
            outcome = await self._checked(run)
            return outcome
        finally:
            used = run.tokens + tokens - request.tokens
            ran = outcome is None or not isinstance(outcome, types.NotRun)
            self._limiter.done(rules, request.customer, tokens, used, ran)

    def _unresolved(self) -> types.NotRun:
        if not self._rules.ready():
            return types.NotRun(types.NotRunReason.NO_SETTINGS, _RETRY_S)
        return types.NotRun(types.NotRunReason.UNKNOWN_SERVICE)

    async def _checked(self, run: run_lib.Run) -> types.Outcome:
        """The suspect check."""
        verdict = self._suspects.check(run.request, self._clock.now())
        if isinstance(verdict, request_types.Refuse):
            return types.NotRun(types.NotRunReason.SUSPECT)
        return await self._claimed(run)

    async def _claimed(self, run: run_lib.Run) -> types.Outcome:
        """The claim, for a keyed request that must not run twice."""
        request = run.request
        if request.idempotent or not request.key:
            return await self._attempts(run)
        result = await self._claims.claim(request)
        if isinstance(result, request_types.Kept):
            self._counters.add("requests.kept_answers")
            return result.outcome
        if isinstance(result, request_types.ClaimRefused):
            return result.outcome
        run.claim_offset = result.offset
        outcome: types.Outcome = types.Unknown(types.UnknownReason.HOLDER_LOST)
        try:
            outcome = await self._attempts(run)
            return outcome
        finally:
            # Also when the caller goes away: a claim that nobody settles holds
            # its key until it expires.
            self._claims.settle(request, outcome)

    async def _attempts(self, run: run_lib.Run) -> types.Outcome:
        """Sends the request until it is answered or given up."""
        run.lane.budget.earn(run.rules.budget_ratio)
        while True:
            outcome, detail = await self._attempt_in_turn(run)
            if isinstance(outcome, types.Answered):
                self._suspects.completed(run.request)
                return outcome
            decision = retry.decide(
                outcome,
                detail,
                run.repeatable,
                run.attempt,
                run.request.deadline - self._clock.now(),
                run.rules,
                run.lane.budget,
                self._rng,
            )
            if isinstance(decision, retry.GiveUp):
                self._counters.add(f"requests.no_retry.{decision.stop.value}")
                return run.worst(outcome)
            run.note(outcome)
            self._counters.add(f"requests.retry.{decision.reason}")
            if decision.after_s > 0:
                await asyncio.sleep(decision.after_s)

    async def _attempt_in_turn(
        self, run: run_lib.Run
    ) -> tuple[types.Outcome, str]:
        """Sends one attempt; a suspect waits for its turn in the fleet.

        Checked before each attempt: the one before may have crashed a server.
        """
        verdict = self._suspects.check(run.request, self._clock.now())
        if isinstance(verdict, request_types.Clear):
            run.alone = False
            return await self._attempt(run)
        turn = await self._suspects.turn(run.request, run.rules.alone_timeout_s)
        if isinstance(turn, types.NotRun):
            return turn, "suspect"
        run.alone = turn is not None
        outcome, detail = await self._attempt(run)
        # After a crash the turn is left to lapse: given back, another entry
        # might take it before it has heard of the crash.
        if turn is not None and not isinstance(outcome, types.Unknown):
            self._suspects.end_turn(turn)
        return outcome, detail

    async def _attempt(self, run: run_lib.Run) -> tuple[types.Outcome, str]:
        """Sends one attempt, or two when the first is late and may be."""
        job = run.job()
        late_s = None
        if run.may_hedge:
            late_s = run.lane.late_after(run.rules.hedge_quantile)
        if late_s is None:
            return await self._attempt_with(run, job, run.answer)
        first = asyncio.ensure_future(
            self._attempt_with(run, job, stream.Answer(None))
        )
        tasks = {first}
        try:
            await asyncio.wait(tasks, timeout=late_s)
            if not first.done() and self._may_repeat(run, job):
                assert job.worker is not None
                self._counters.add("requests.hedges")
                second = run.hedge_job(job.worker.name)
                tasks.add(
                    asyncio.ensure_future(
                        self._attempt_with(run, second, stream.Answer(None))
                    )
                )
            return await _first_answered(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _may_repeat(self, run: run_lib.Run, job: lane_lib.Job) -> bool:
        """Whether a late attempt is at a worker and the budget allows two."""
        return job.worker is not None and run.lane.budget.spend()

    async def _attempt_with(
        self, run: run_lib.Run, job: lane_lib.Job, answer: stream.Answer
    ) -> tuple[types.Outcome, str]:
        """Waits for a worker and sends one attempt to it."""
        await run.lane.acquire(job, again=run.attempt > 0)
        if job.worker is None:
            assert job.shed is not None
            shed = job.shed
            return types.NotRun(
                shed.reason, shed.retry_after_s
            ), retry.NO_WORKER
        worker = job.worker
        run.attempt += 1
        resumed = answer.begun
        attempt = None
        try:
            attempt = await self._sender.send(
                send.Target(worker.name, worker.instance.address),
                run.request,
                run.order(),
                answer,
            )
        finally:
            ok = attempt is not None and isinstance(
                attempt.outcome, types.Answered
            )
            run.lane.release(
                job,
                ok,
                attempt.tokens if attempt else 0,
                attempt.reported if attempt else None,
            )
        self._judge(run, worker, attempt, resumed)
        run.tokens = max(run.tokens, attempt.tokens)
        return attempt.outcome, attempt.detail

    def _judge(self, run: run_lib.Run, worker, attempt, resumed: bool) -> None:
        """Draws conclusions about the worker from an attempt."""
        if isinstance(attempt.outcome, types.Answered):
            if resumed:
                self._counters.add("requests.streams_resumed")
                self._log.write(_events.STREAM_RESUMED, agent=worker.name)
            return
        run.avoid.add(worker.name)
        if attempt.detail == "leaving":
            worker.leaving = True
        elif attempt.detail in _NOT_READY:
            worker.ready = False
        elif isinstance(attempt.outcome, types.Unknown):
            run.lane.workers.failed(worker, self._clock.now())

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


_NOT_READY = frozenset({"not_ready", "loading", "unreachable"})


async def _first_answered(
    tasks: set[asyncio.Task[tuple[types.Outcome, str]]],
) -> tuple[types.Outcome, str]:
    """Returns the first answer; without one, what may have run at all."""
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


def _tokens(request: Request) -> int:
    if request.tokens <= 0:
        return 0
    return request.tokens + len(request.body) // _BYTES_A_TOKEN
