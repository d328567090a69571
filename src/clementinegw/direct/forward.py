"""A request from its head to its final answer: admit, send, repeat, answer."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from clementinegw.direct import _events
from clementinegw.direct import admit
from clementinegw.direct import attempt as attempts
from clementinegw.direct import balance
from clementinegw.direct import budget as budgets
from clementinegw.direct import channel
from clementinegw.direct import dialect as dialects
from clementinegw.direct import finals
from clementinegw.direct import fleet
from clementinegw.direct import outcomes
from clementinegw.direct import queue
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
# What room a server must have, as a part of its slots. An engine runs as many
# as it has slots, and what waits behind them is late soon; plain servers take
# turns so quickly that a few may wait there. Late ones take what is left over.
_ENGINE_TERMS = queue.Terms(most_busy=1.0, most_busy_late=0.9)
_PLAIN_TERMS = queue.Terms(most_busy=3.0, most_busy_late=2.0)
# How long an engine takes from a request's arrival to the first event beside
# reading its prompt, in seconds: the pass under way and the first of its own.
_FIRST_EVENT_S = 0.2
# How long a request that came back waits for room, as a part of its time.
_LATE_SHARE = 0.3
# A request whose server will serve within this part of its time waits for it.
_SOON_SHARE = 0.27
# A server that said it is full is passed over for this long, in seconds.
_FULL_S = 0.15
# One that is another start than the list says, for this long, in seconds.
_WRONG_SERVER_S = 0.3
# When to come back, as a part of the caller's time: when servers have no room,
# and when none serves.
# Callers wait for a third of their time at most; what is refused twice is lost.
_RETRY_FULL = (0.15, 0.3)
_RETRY_NONE = (0.27, 0.33)
# A server stops at the time that it is given; the answer needs the way back.
_WAY_BACK_S = 0.02
_BAD_GATEWAY = 502
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
        self._attempts = attempts.Attempts(dialect, clock)
        self._recalls = recalls.Recalls(versions, clock)
        self._finals = finals.Finals(
            dialect, knowledge, clock, log, counters, histograms
        )
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._queues: dict[str, queue.Queue] = {}
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
        if self._suspects.refused(job.request, self._clock()):
            return self._unserved(job, Reason.CRASHES_SERVERS, 1.0)
        place = await self._choose(job)
        if isinstance(place, outcomes.Refusal):
            return place
        try:
            return await self._send(job, place.backend)
        finally:
            place.free()

    async def _send(
        self, job: attempts.Job, backend: fleet.Backend
    ) -> outcomes.Attempt | outcomes.Refusal:
        if job.sends and not self._budget(job.service).allow(self._clock()):
            return self._unserved(
                job, Reason.NO_BUDGET, self._share(_RETRY_FULL)
            )
        now = self._clock()
        held = backend.held(self._layers(job.service))
        sending = types.Sending(
            backend.server.server_id,
            max(0.001, job.deadline - now - _WAY_BACK_S),
            job.match.customer.name if job.match.customer else "",
            self._versions.expected(job.facts.model, held, self._versions.now),
            None,
            job.last_event,
        )
        outcome = await self._attempts.run(
            job,
            backend,
            sending,
            lambda: self._elsewhere(job, backend),
            self._recalls.new(
                job.facts.model, held, job.match.route.idempotent
            ),
        )
        if isinstance(outcome, outcomes.Delivered):
            self._suspects.completed(job.request)
        else:
            self._note(job, backend, outcome)
        return outcome

    async def _choose(
        self, job: attempts.Job
    ) -> queue.Place | outcomes.Refusal:
        engine = self._knowledge.engine(job.service)
        arrived = job.request.arrived_at
        time_s = job.deadline - arrived
        on_time_until = arrived - job.spent_s + job.match.route.objective_s
        if engine is not None:
            reading_s = job.facts.prompt_tokens / engine.prefill_tokens_per_s
            on_time_until -= _FIRST_EVENT_S + reading_s
        # Who is late comes back in a while and costs nothing meanwhile; who
        # has come back is not sent away again while there is hope.
        until = max(arrived, on_time_until)
        if job.spent_s or job.sends:
            until = arrived + _LATE_SHARE * time_s
        if not self._balancer.candidates(self._wanted(job)):
            ready_in_s = self._balancer.ready_in_s(job.service)
            if ready_in_s > _SOON_SHARE * time_s:
                return self._unserved(
                    job, Reason.NO_SERVER, self._back_share(job, ready_in_s)
                )
            # Turned away, it would come back before the server does, and be
            # lost; a server that is nearly there still serves it, if late.
            until = self._clock() + ready_in_s + _SOON_SHARE * time_s
        began = self._clock()
        place = await self._queue(job.service).place(
            lambda: self._wanted(job),
            frozenset(job.tried),
            on_time_until,
            until,
        )
        now = self._clock()
        job.waited_s += now - began
        if place is not None:
            job.busy = self._balancer.busy(place.backend, now)
            job.server_id = place.backend.server.server_id
        if place is None:
            return self._unserved(job, Reason.BUSY, self._share(_RETRY_FULL))
        return place

    def _wanted(self, job: attempts.Job) -> balance.Wanted:
        """Returns what a request needs of a server that it is sent to now."""
        now = self._versions.now
        model = job.facts.model
        least = self._versions.demanded(model, now) or 0
        if job.runs:
            least = max(least, self._versions.lasting(model, now))
        return balance.Wanted(
            job.service,
            self._layers(job.service),
            least,
            self._versions.preferred(model, now),
        )

    def _back_share(self, job: attempts.Job, ready_in_s: float) -> float:
        """Returns when to come back, as a part of the time that is left."""
        left_s = max(0.001, job.deadline - self._clock())
        most = self._share(_RETRY_NONE)
        return min(most, max(_RETRY_FULL[0], ready_in_s / left_s))

    def _queue(self, service: str) -> queue.Queue:
        found = self._queues.get(service)
        if found is None:
            terms = (
                _ENGINE_TERMS
                if self._knowledge.engine(service)
                else _PLAIN_TERMS
            )
            found = queue.Queue(self._balancer, terms, self._clock)
            self._queues[service] = found
        return found

    def set_terms(self, terms: budgets.Terms) -> None:
        """Takes over what the operators allow of repeated sends."""
        self._terms = terms
        for found in self._budgets.values():
            found.terms = terms

    def look(self) -> None:
        """Looks for room for those who wait; servers told of their load."""
        for waiting in self._queues.values():
            waiting.look()

    def redate(self) -> None:
        """Takes requests back by what is known of versions now."""
        self._recalls.look()
        self.look()

    def check_clock(self) -> None:
        """Takes requests back that a suspended machine left at servers."""
        self._recalls.check()

    def _share(self, span: tuple[float, float]) -> float:
        """Returns a part of the caller's time, spread over a span."""
        return self._rng.uniform(*span)

    def _elsewhere(self, job: attempts.Job, backend: fleet.Backend) -> bool:
        """Returns whether another server could take a request over now."""
        if job.runs + 1 >= job.match.route.max_attempts:
            return False
        wanted = dataclasses.replace(self._wanted(job), most_busy=1.0)
        tried = {backend.server.server_id, *job.tried}
        return self._balancer.choose(wanted, tried) is not None

    def _note(
        self,
        job: attempts.Job,
        backend: fleet.Backend,
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
            job.tried.add(backend.server.server_id)
        if not isinstance(outcome, outcomes.NotRun):
            job.runs += 1
        if isinstance(outcome, outcomes.Lost):
            # A server that loads breaks off what it runs, by our own order.
            broken = outcome.reason is outcomes.LostReason.BROKEN
            if broken and not (backend.yielding or backend.loading):
                self._suspects.crashed(
                    job.request, backend.server.server_id, now
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
        if isinstance(outcome, outcomes.NotRun):
            return True
        if isinstance(outcome, outcomes.Failed) and outcome.head.status < 500:
            return False
        route = job.match.route
        return route.idempotent and job.runs < route.max_attempts

    def _give_up(
        self, job: attempts.Job, outcome: outcomes.Attempt
    ) -> outcomes.Failed | outcomes.Refusal:
        if isinstance(outcome, outcomes.Failed):
            return outcome
        return self._unserved(
            job, Reason.ATTEMPTS_USED, self._share(_RETRY_FULL)
        )

    def _unserved(
        self, job: attempts.Job, reason: Reason, share: float
    ) -> outcomes.Refusal:
        """Returns the answer to a request without one.

        Only a request that no server may have begun is told "not run".

        Args:
          job: The request.
          reason: Why.
          share: When to come back, as a part of the time that is left.
        """
        if job.runs:
            return outcomes.Refusal(_BAD_GATEWAY, Reason.MAY_HAVE_RUN)
        left_s = max(0.0, job.deadline - self._clock())
        return admit.later(reason, share * left_s)

    def _budget(self, service: str) -> budgets.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = budgets.RetryBudget(self._terms)
        found.entries = self._balancer.entries
        return found

    def _layers(self, service: str) -> int:
        engine = self._knowledge.engine(service)
        return engine.layers if engine else 0
