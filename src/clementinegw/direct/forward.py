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
from clementinegw.direct import finisher
from clementinegw.direct import header_codec
from clementinegw.direct import outcomes
from clementinegw.direct import placement
from clementinegw.direct import server as servers
from clementinegw.direct import suspects as suspects_lib
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.direct import version_timeouts
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms as histograms_lib
from clementinegw.telemetry import logs

Reason = outcomes.RefusalReason

# Refusals before a server has run a request are repeated this often at most:
# each is an arrival that the retry budget pays for.
_MAX_SENDS = 4
# What ends an attempt right before its request is sent. Nobody pays for such a
# one, so only its number keeps a request from choosing servers without a pause.
_WITHDRAWN_REASONS = frozenset(
    {
        outcomes.NotRunReason.BACKOFF,
        outcomes.NotRunReason.LEFT,
        outcomes.NotRunReason.LIMITED,
        outcomes.NotRunReason.TOO_OLD,
    }
)
# A server that said it is full is passed over for this long, in seconds.
_FULL_BACKOFF_S = 0.15
# One that is another start than the list says, for this long, in seconds.
_WRONG_SERVER_BACKOFF_S = 0.3
# A server stops at the time that it is given; the answer needs the way back.
_ANSWER_TRANSIT_S = 0.02
_GATEWAY_TIMEOUT = 504


class Forwarder:
    """Serves requests."""

    def __init__(
        self,
        codec: header_codec.HeaderCodec,
        config_view: admit.ConfigView,
        balancer: balance.Balancer,
        versions: version_policy.VersionPolicy,
        retry_limits: budgets.Limits,
        rng: random.Random,
        clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
        histograms: histograms_lib.Histograms,
    ):
        self._codec = codec
        self._config_view = config_view
        self._balancer = balancer
        self._versions = versions
        self._retry_limits = retry_limits
        self._rng = rng
        self._clock = clock
        self._log = log
        self._counters = counters
        self._placer = placement.Placer(
            config_view, balancer, versions, rng, clock
        )
        self._attempt_runner = attempts.AttemptRunner(
            codec, clock, self._placer.record_first_event
        )
        self._version_timeouts = version_timeouts.VersionTimeouts(
            versions, clock
        )
        self._finisher = finisher.RequestFinisher(
            codec, config_view, clock, log, counters, histograms
        )
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._caller_timeouts = admit.CallerTimeouts()
        self._suspects = suspects_lib.SuspectTracker()

    async def handle(
        self, request: servers.Request, responder: servers.Responder
    ) -> None:
        """Answers one request."""
        admitted = self._admit(request, responder)
        if isinstance(admitted, outcomes.Refusal):
            await self._finisher.refuse(request, responder, admitted, None)
            return
        serving = asyncio.ensure_future(self._serve(admitted))
        await asyncio.wait(
            {serving, responder.disconnected},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not serving.done():
            serving.cancel()
        try:
            outcome = await serving
        except (asyncio.CancelledError, channel.ChannelClosed):
            responder.abort()
            self._finisher.record_done(admitted, "caller_left", 0)
            if responder.disconnected.done():
                return
            raise
        if isinstance(outcome, outcomes.Refusal):
            await self._finisher.refuse(request, responder, outcome, admitted)
        elif isinstance(outcome, outcomes.Failed):
            await responder.answer(
                outcome.head.status,
                self._codec.to_caller_headers(outcome.head),
                outcome.body,
            )
            self._finisher.record_done(
                admitted, "failed_at_server", outcome.head.status
            )
        else:
            self._finisher.record_done(admitted, "answered", outcome.status)

    # Admission.

    def _admit(
        self, request: servers.Request, responder: servers.Responder
    ) -> attempts.Job | outcomes.Refusal:
        try:
            metadata = self._codec.request_metadata(request.headers)
        except ValueError:
            return outcomes.Refusal(400, Reason.MALFORMED)
        if not metadata.attempt_id:
            return outcomes.Refusal(400, Reason.MALFORMED)
        matched = admit.match(self._config_view, request, metadata)
        if isinstance(matched, outcomes.Refusal):
            return matched
        route = matched.route
        timeout_s = route.timeout_s
        if metadata.timeout_s is not None:
            timeout_s = min(timeout_s, metadata.timeout_s)
        spent_s = self._caller_timeouts.spent_s(route.name, metadata.timeout_s)
        service = balance.draw_service(route, self._rng)
        self._budget(service).record_request(self._clock())
        return attempts.Job(
            request,
            metadata,
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
                    outcome = await self._attempt_once(job)
                    if isinstance(outcome, outcomes.Failed):
                        failed = outcome
                    if isinstance(
                        outcome, (outcomes.Refusal, outcomes.Delivered)
                    ):
                        break
                    if not self._may_retry(job, outcome):
                        outcome = self._give_up(job, outcome)
                        break
        except TimeoutError:
            outcome = outcomes.Refusal(_GATEWAY_TIMEOUT, Reason.TIMEOUT)
        if isinstance(outcome, outcomes.Refusal) and failed is not None:
            # The server's own failure says more than ours would.
            return failed
        return outcome

    async def _attempt_once(
        self, job: attempts.Job
    ) -> outcomes.AttemptOutcome | outcomes.Refusal:
        if self._suspects.is_refused(
            job.request, job.customer_name, self._clock()
        ):
            return self._placer.refuse(job, Reason.CRASHES_SERVERS)
        place = await self._placer.reserve(job)
        if isinstance(place, outcomes.Refusal):
            return place
        try:
            return await self._send(job, place.backend)
        finally:
            place.release()

    async def _send(
        self, job: attempts.Job, backend: backend_lib.Backend
    ) -> outcomes.AttemptOutcome | outcomes.Refusal:
        if job.sends and not self._budget(job.service).try_acquire(
            self._clock()
        ):
            return self._placer.refuse(job, Reason.NO_BUDGET)
        now = self._clock()
        model = self._placer.model(job)
        held = backend.held_version(self._placer.layers(job.service))
        sending = types.ForwardMetadata(
            backend.server.server_id,
            max(0.001, job.deadline - now - _ANSWER_TRANSIT_S),
            job.customer_name,
            self._versions.expected(model, held, self._versions.now),
            None,
            job.last_event_id,
        )
        outcome = await self._attempt_runner.run(
            job,
            backend,
            sending,
            lambda: self._placer.has_alternative(job, backend),
            self._version_timeouts.create(
                model, held, job.match.route.idempotent
            ),
        )
        if isinstance(outcome, outcomes.Delivered):
            self._suspects.record_survival(backend.server.start.text, now)
            self._suspects.record_completion(
                job.request, job.customer_name, self._clock()
            )
        else:
            self._record_failure(job, backend, outcome)
        return outcome

    def dispatch(self) -> None:
        """Looks for room for those who wait; servers told of their load."""
        self._placer.dispatch()

    def dispatch_for(self, backend: backend_lib.Backend) -> None:
        """Looks for room for those who wait; one server told of its load."""
        self._placer.dispatch_for(backend)

    def on_versions_changed(self) -> None:
        """Takes requests back by what is known of versions now."""
        self._version_timeouts.reschedule_all()
        self.dispatch()

    def check_clock(self) -> None:
        """Takes requests back that a suspended machine left at servers."""
        self._version_timeouts.check_clock()

    def suspicions(self) -> tuple[suspects_lib.Suspicion, ...]:
        """Returns what was seen here of requests that crash servers."""
        return self._suspects.local_suspicions(self._clock())

    def merge_suspicions(
        self, suspicions: tuple[suspects_lib.Suspicion, ...]
    ) -> None:
        """Takes in what other entries saw of requests that crash servers."""
        self._suspects.merge(suspicions, self._clock())

    def set_retry_limits(self, retry_limits: budgets.Limits) -> None:
        """Takes over what the operators allow of repeated sends."""
        self._retry_limits = retry_limits
        for found in self._budgets.values():
            found.limits = retry_limits

    def _record_failure(
        self,
        job: attempts.Job,
        backend: backend_lib.Backend,
        outcome: outcomes.AttemptOutcome,
    ) -> None:
        now = self._clock()
        reason = getattr(outcome, "reason", "failed")
        self._counters.add(f"direct.attempt.{reason}")
        if isinstance(outcome, outcomes.NotRun):
            if outcome.reason is outcomes.NotRunReason.SHED:
                backend.full_until = now + _FULL_BACKOFF_S
            if outcome.reason is outcomes.NotRunReason.WRONG_SERVER:
                # Another start of a server, or of its weights: the list is
                # behind, and catches up within a heartbeat.
                backend.cooldown_until = now + _WRONG_SERVER_BACKOFF_S
        else:
            job.tried.add(backend.server.start)
        if not isinstance(outcome, outcomes.NotRun):
            job.runs += 1
        if isinstance(outcome, outcomes.Lost):
            # A server that loads breaks off what it runs, by our own order.
            broken = outcome.reason is outcomes.LostReason.BROKEN
            if broken and not (backend.yielding or backend.loading):
                self._suspects.record_crash(
                    job.request,
                    job.customer_name,
                    backend.server.start.text,
                    now,
                )
        self._log.write(
            _events.ATTEMPT_ENDED,
            request=job.metadata.attempt_id,
            server=backend.server.server_id,
            outcome=type(outcome).__name__,
            reason=str(reason),
            sends=job.sends,
            doubt=round(backend.failure_rate, 2),
        )

    def _may_retry(
        self, job: attempts.Job, outcome: outcomes.AttemptOutcome
    ) -> bool:
        """Returns whether another attempt may be made."""
        if job.responder.begun and job.last_event_id is None:
            return False
        if job.sends >= _MAX_SENDS:
            return False
        if _is_unreachable(outcome):
            return self._placer.may_reconnect(job)
        if isinstance(outcome, outcomes.NotRun):
            job.withdrawals += outcome.reason in _WITHDRAWN_REASONS
            return job.withdrawals < _MAX_SENDS
        if isinstance(outcome, outcomes.Failed) and outcome.head.status < 500:
            return False
        route = job.match.route
        return route.idempotent and job.runs < route.max_attempts

    def _give_up(
        self, job: attempts.Job, outcome: outcomes.AttemptOutcome
    ) -> outcomes.Failed | outcomes.Refusal:
        if isinstance(outcome, outcomes.Failed):
            return outcome
        if _is_unreachable(outcome):
            return self._placer.refuse_unreachable(job)
        return self._placer.refuse(job, Reason.ATTEMPTS_USED)

    def _budget(self, service: str) -> budgets.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = budgets.RetryBudget(
                self._retry_limits
            )
        found.entries = self._balancer.entries
        return found


def _is_unreachable(outcome: outcomes.AttemptOutcome) -> bool:
    """Returns whether an attempt ended before anything was handed over."""
    return (
        isinstance(outcome, outcomes.NotRun)
        and outcome.reason is outcomes.NotRunReason.UNREACHABLE
    )
