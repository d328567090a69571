"""A request from its head to its final answer: admit, send, repeat, answer."""

import asyncio
from collections.abc import Callable
import random

from clementinegw.direct import _events
from clementinegw.direct import admit
from clementinegw.direct import attempt as attempts
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import budget as budgets
from clementinegw.direct import channel
from clementinegw.direct import dialect as dialects
from clementinegw.direct import finals
from clementinegw.direct import outcomes
from clementinegw.direct import placing
from clementinegw.direct import recalls
from clementinegw.direct import server as servers
from clementinegw.direct import suspects as suspects_lib
from clementinegw.direct import types
from clementinegw.direct import versions as versions_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms as histograms_lib
from clementinegw.telemetry import logs

Reason = outcomes.RefusalReason

# Refusals before a server has run a request are repeated this often at most:
# each is an arrival that the retry budget pays for.
_MOST_SENDS = 4
# What ends an attempt right before its request is sent. Nobody pays for such a
# one, so only its number keeps a request from choosing servers without a pause.
_UNSENT = frozenset(
    {
        outcomes.NotRunReason.BACKOFF,
        outcomes.NotRunReason.LEFT,
        outcomes.NotRunReason.LIMITED,
        outcomes.NotRunReason.TOO_OLD,
    }
)
# A server that said it is full is passed over for this long, in seconds.
_FULL_S = 0.15
# One that is another start than the list says, for this long, in seconds.
_WRONG_SERVER_S = 0.3
# A server stops at the time that it is given; the answer needs the way back.
_WAY_BACK_S = 0.02
_GATEWAY_TIMEOUT = 504


class Forwarder:
    """Serves requests."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        knowledge: admit.Knowledge,
        balancer: balance.Balancer,
        versions: versions_lib.Versions,
        terms: budgets.Terms,
        rng: random.Random,
        clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
        histograms: histograms_lib.Histograms,
    ):
        self._dialect = dialect
        self._knowledge = knowledge
        self._balancer = balancer
        self._versions = versions
        self._terms = terms
        self._rng = rng
        self._clock = clock
        self._log = log
        self._counters = counters
        self._placing = placing.Placing(
            knowledge, balancer, versions, rng, clock
        )
        self._attempts = attempts.Attempts(dialect, clock, self._placing.began)
        self._recalls = recalls.Recalls(versions, clock)
        self._finals = finals.Finals(
            dialect, knowledge, clock, log, counters, histograms
        )
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._callers_time = admit.CallersTime()
        self._suspects = suspects_lib.Suspects()

    async def handle(
        self, request: servers.Request, responder: servers.Responder
    ) -> None:
        """Answers one request."""
        admitted = self._admit(request, responder)
        if isinstance(admitted, outcomes.Refusal):
            await self._finals.refuse(request, responder, admitted, None)
            return
        serving = asyncio.ensure_future(self._serve(admitted))
        await asyncio.wait(
            {serving, responder.gone}, return_when=asyncio.FIRST_COMPLETED
        )
        if not serving.done():
            serving.cancel()
        try:
            outcome = await serving
        except (asyncio.CancelledError, channel.ChannelClosed):
            responder.abort()
            self._finals.done(admitted, "caller_left", 0)
            if responder.gone.done():
                return
            raise
        if isinstance(outcome, outcomes.Refusal):
            await self._finals.refuse(request, responder, outcome, admitted)
        elif isinstance(outcome, outcomes.Failed):
            await responder.answer(
                outcome.head.status,
                self._dialect.handed_back(outcome.head),
                outcome.body,
            )
            self._finals.done(admitted, "failed_at_server", outcome.head.status)
        else:
            self._finals.done(admitted, "answered", outcome.status)

    # Admission.

    def _admit(
        self, request: servers.Request, responder: servers.Responder
    ) -> attempts.Job | outcomes.Refusal:
        try:
            facts = self._dialect.request_facts(request.headers)
        except ValueError:
            return outcomes.Refusal(400, Reason.MALFORMED)
        if not facts.attempt_id:
            return outcomes.Refusal(400, Reason.MALFORMED)
        matched = admit.match(self._knowledge, request, facts)
        if isinstance(matched, outcomes.Refusal):
            return matched
        route = matched.route
        timeout_s = route.timeout_s
        if facts.timeout_s is not None:
            timeout_s = min(timeout_s, facts.timeout_s)
        spent_s = self._callers_time.spent_s(route.name, facts.timeout_s)
        service = balance.draw_service(route, self._rng)
        self._budget(service).request(self._clock())
        return attempts.Job(
            request,
            facts,
            matched,
            service,
            responder,
            request.arrived_at + timeout_s,
            spent_s,
        )

    # Serving.

    async def _serve(
        self, job: attempts.Job
    ) -> outcomes.Delivered | outcomes.Failed | outcomes.Refusal:
        failed: outcomes.Failed | None = None
        try:
            async with asyncio.timeout_at(job.deadline):
                while True:
                    outcome = await self._once(job)
                    if isinstance(outcome, outcomes.Failed):
                        failed = outcome
                    if isinstance(
                        outcome, (outcomes.Refusal, outcomes.Delivered)
                    ):
                        break
                    if not self._again(job, outcome):
                        outcome = self._give_up(job, outcome)
                        break
        except TimeoutError:
            outcome = outcomes.Refusal(_GATEWAY_TIMEOUT, Reason.TIMEOUT)
        if isinstance(outcome, outcomes.Refusal) and failed is not None:
            # The server's own failure says more than ours would.
            return failed
        return outcome

    async def _once(
        self, job: attempts.Job
    ) -> outcomes.Attempt | outcomes.Refusal:
        if self._suspects.refused(job.request, job.caller, self._clock()):
            return self._placing.unserved(job, Reason.CRASHES_SERVERS)
        place = await self._placing.choose(job)
        if isinstance(place, outcomes.Refusal):
            return place
        try:
            return await self._send(job, place.backend)
        finally:
            place.free()

    async def _send(
        self, job: attempts.Job, backend: backend_lib.Backend
    ) -> outcomes.Attempt | outcomes.Refusal:
        if job.sends and not self._budget(job.service).allow(self._clock()):
            return self._placing.unserved(job, Reason.NO_BUDGET)
        now = self._clock()
        model = self._placing.model(job)
        held = backend.held(self._placing.layers(job.service))
        sending = types.ForwardMetadata(
            backend.server.server_id,
            max(0.001, job.deadline - now - _WAY_BACK_S),
            job.caller,
            self._versions.expected(model, held, self._versions.now),
            None,
            job.last_event,
        )
        outcome = await self._attempts.run(
            job,
            backend,
            sending,
            lambda: self._placing.elsewhere(job, backend),
            self._recalls.new(model, held, job.match.route.idempotent),
        )
        if isinstance(outcome, outcomes.Delivered):
            self._suspects.outlived(backend.server.start.text, now)
            self._suspects.completed(job.request, job.caller, self._clock())
        else:
            self._note(job, backend, outcome)
        return outcome

    def look(self) -> None:
        """Looks for room for those who wait; servers told of their load."""
        self._placing.look()

    def look_at(self, backend: backend_lib.Backend) -> None:
        """Looks for room for those who wait; one server told of its load."""
        self._placing.look_at(backend)

    def redate(self) -> None:
        """Takes requests back by what is known of versions now."""
        self._recalls.look()
        self.look()

    def check_clock(self) -> None:
        """Takes requests back that a suspended machine left at servers."""
        self._recalls.check()

    def suspicions(self) -> tuple[suspects_lib.Suspicion, ...]:
        """Returns what was seen here of requests that crash servers."""
        return self._suspects.told(self._clock())

    def take_suspicions(
        self, suspicions: tuple[suspects_lib.Suspicion, ...]
    ) -> None:
        """Takes in what other entries saw of requests that crash servers."""
        self._suspects.take(suspicions, self._clock())

    def set_terms(self, terms: budgets.Terms) -> None:
        """Takes over what the operators allow of repeated sends."""
        self._terms = terms
        for found in self._budgets.values():
            found.terms = terms

    def _note(
        self,
        job: attempts.Job,
        backend: backend_lib.Backend,
        outcome: outcomes.Attempt,
    ) -> None:
        now = self._clock()
        reason = getattr(outcome, "reason", "failed")
        self._counters.add(f"direct.attempt.{reason}")
        if isinstance(outcome, outcomes.NotRun):
            if outcome.reason is outcomes.NotRunReason.SHED:
                backend.full_until = now + _FULL_S
            if outcome.reason is outcomes.NotRunReason.WRONG_SERVER:
                # Another start of a server, or of its weights: the list is
                # behind, and catches up within a heartbeat.
                backend.rest_until = now + _WRONG_SERVER_S
        else:
            job.tried.add(backend.server.start)
        if not isinstance(outcome, outcomes.NotRun):
            job.runs += 1
        if isinstance(outcome, outcomes.Lost):
            # A server that loads breaks off what it runs, by our own order.
            broken = outcome.reason is outcomes.LostReason.BROKEN
            if broken and not (backend.yielding or backend.loading):
                self._suspects.crashed(
                    job.request, job.caller, backend.server.start.text, now
                )
        self._log.write(
            _events.ATTEMPT_ENDED,
            request=job.facts.attempt_id,
            server=backend.server.server_id,
            outcome=type(outcome).__name__,
            reason=str(reason),
            sends=job.sends,
            doubt=round(backend.doubt, 2),
        )

    def _again(self, job: attempts.Job, outcome: outcomes.Attempt) -> bool:
        """Returns whether another attempt may be made."""
        if job.responder.begun and job.last_event is None:
            return False
        if job.sends >= _MOST_SENDS:
            return False
        if _unreached(outcome):
            return self._placing.may_try(job)
        if isinstance(outcome, outcomes.NotRun):
            job.unsent += outcome.reason in _UNSENT
            return job.unsent < _MOST_SENDS
        if isinstance(outcome, outcomes.Failed) and outcome.head.status < 500:
            return False
        route = job.match.route
        return route.idempotent and job.runs < route.max_attempts

    def _give_up(
        self, job: attempts.Job, outcome: outcomes.Attempt
    ) -> outcomes.Failed | outcomes.Refusal:
        if isinstance(outcome, outcomes.Failed):
            return outcome
        if _unreached(outcome):
            return self._placing.out_of_reach(job)
        return self._placing.unserved(job, Reason.ATTEMPTS_USED)

    def _budget(self, service: str) -> budgets.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = budgets.RetryBudget(self._terms)
        found.entries = self._balancer.entries
        return found


def _unreached(outcome: outcomes.Attempt) -> bool:
    """Returns whether an attempt ended before anything was handed over."""
    return (
        isinstance(outcome, outcomes.NotRun)
        and outcome.reason is outcomes.NotRunReason.UNREACHABLE
    )
