"""Forwards requests to servers: admission, sending, retries and answers."""

import asyncio
from collections.abc import Callable
import random

from clementinegw.direct import _events
from clementinegw.direct import admit
from clementinegw.direct import attempt as attempts
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import budget as budgets
from clementinegw.direct import buffer_budget
from clementinegw.direct import channel
from clementinegw.direct import crash_guard
from clementinegw.direct import expiry as expiry_lib
from clementinegw.direct import finisher
from clementinegw.direct import header_codec
from clementinegw.direct import job as jobs
from clementinegw.direct import outcomes
from clementinegw.direct import placement
from clementinegw.direct import queue
from clementinegw.direct import retry_budgets
from clementinegw.direct import server as servers
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.direct import version_timeouts
from clementinegw.scheduling import slot_shares
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms as histograms_lib
from clementinegw.telemetry import logs

Reason = outcomes.RefusalReason

# The most times that one request is sent. It also bounds the retries of a
# request that servers reject without running it, though each of them is charged
# to the retry budget.
_MAX_SENDS = 4
# Reasons to withdraw a request right before it is sent. The retry budget is not
# charged for these, so that only counting them keeps a request from choosing
# servers in a tight loop.
_WITHDRAWN_REASONS = frozenset(
    {
        outcomes.NotRunReason.BACKOFF,
        outcomes.NotRunReason.LEFT,
        outcomes.NotRunReason.LIMITED,
        outcomes.NotRunReason.TOO_OLD,
        outcomes.NotRunReason.EVACUATED,
        outcomes.NotRunReason.NOT_ALLOWED,
        outcomes.NotRunReason.SUSPECT,
    }
)
# Reasons for which an entry gives up an attempt that the server may get later.
_GIVEN_UP_REASONS = frozenset(
    {outcomes.LostReason.SILENT, outcomes.LostReason.OUTDATED}
)
# A server that rejected a request unrun is skipped for this long, in seconds.
_FULL_BACKOFF_S = 0.15
# A server whose start differs from the listed one is skipped for this long, in
# seconds.
_WRONG_SERVER_BACKOFF_S = 0.3
# A server works until the deadline that it is given; this is set aside for its
# answer's way back, in seconds.
_ANSWER_TRANSIT_S = 0.02
# Pause before each further server for a request that was withdrawn often, in
# seconds.
_WITHDRAWN_PAUSE_S = 0.1
# Interval between checks for a free retry budget, in seconds.
_BUDGET_CHECK_S = 0.1
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504

_Outcome = outcomes.Delivered | outcomes.Failed | outcomes.Refusal


class Forwarder:
    """Forwards callers' requests to backend servers and answers the callers."""

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
        buffers: buffer_budget.BufferBudget | None = None,
    ):
        """Stores its collaborators; `handle` serves the requests.

        Args:
          codec: Translates the platform's headers.
          config_view: The configuration and its age.
          balancer: Ranks the servers.
          versions: Say which versions of weights may serve.
          retry_limits: What the operators allow of retries.
          rng: Draws services and servers.
          clock: Returns monotonic seconds.
          log: Takes the log events.
          counters: Count attempts, answers and refusals by reason.
          histograms: Take the times of answers.
          buffers: Bounds the bytes of answers; unbounded by default.
        """
        self._buffers = buffers or buffer_budget.BufferBudget()
        self._codec = codec
        self._config_view = config_view
        self._balancer = balancer
        self._versions = versions
        self._rng = rng
        self._clock = clock
        self._log = log
        self._counters = counters
        self._guard = crash_guard.CrashGuard(clock, log, counters)
        self._placer = placement.Placer(
            config_view,
            balancer,
            versions,
            rng,
            clock,
            is_suspect=self._guard.refuses_waiting,
        )
        self._attempt_runner = attempts.AttemptRunner(
            codec,
            clock,
            self._record_first_event,
            self._withdrawal_reason,
            self._guard.record_answering,
        )
        self._version_timeouts = version_timeouts.VersionTimeouts(
            versions, clock
        )
        self._finisher = finisher.RequestFinisher(
            codec, config_view, clock, log, counters, histograms
        )
        self._retry_budgets = retry_budgets.RetryBudgets(
            retry_limits,
            lambda: balancer.possible_entries,
            clock,
            log,
            counters,
        )
        self._caller_timeouts = admit.CallerTimeouts()

    async def handle(
        self, request: servers.Request, responder: servers.Responder
    ) -> None:
        """Forwards one request and answers its caller."""
        job: jobs.Job | None = None
        try:
            admitted = self._admit(request, responder)
            if isinstance(admitted, outcomes.Refusal):
                await self._finisher.refuse(request, responder, admitted, None)
                return
            job = admitted
            await self._handle_admitted(job)
        except Exception as error:
            await self._finisher.fail(request, responder, error, job)

    async def _handle_admitted(self, job: jobs.Job) -> None:
        self._guard.add_job(job)
        try:
            await self._answer(job)
        finally:
            self._guard.remove_job(job)
            job.answer_memory.release()

    async def _answer(self, job: jobs.Job) -> None:
        responder = job.responder
        task = asyncio.ensure_future(self._serve(job))
        try:
            await asyncio.wait(
                {task, responder.disconnected},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not task.done():
                raise channel.ChannelClosed(clean=False)
            await self._finish(job, task.result())
        except channel.ChannelClosed:
            self._record_departure(job)
            await _cancel(task)
        except asyncio.CancelledError:
            await self._stop(job, await _cancel(task))
            raise

    async def _stop(self, job: jobs.Job, outcome: _Outcome | None) -> None:
        """Ends a request because the process ends.

        Args:
          job: The request.
          outcome: Its outcome; None if it has none yet.
        """
        if outcome is None or job.responder.incomplete:
            await self._finisher.refuse_unfinished(
                job.request, job.responder, Reason.STOPPING, job
            )
            return
        try:
            await self._finish(job, outcome)
        except channel.ChannelClosed:
            self._record_departure(job)

    def _record_departure(self, job: jobs.Job) -> None:
        """Ends a request whose caller's connection has ended."""
        job.responder.abort()
        self._finisher.record_done(
            job, "caller_left", 0, job.responder.departure
        )

    async def _finish(self, job: jobs.Job, outcome: _Outcome) -> None:
        """Answers the caller, unless a server's answer was relayed already.

        Raises:
          channel.ChannelClosed: The caller has left.
        """
        if isinstance(outcome, outcomes.Refusal):
            await self._finisher.refuse(
                job.request, job.responder, outcome, job
            )
        elif isinstance(outcome, outcomes.Failed):
            status = outcome.head.status
            headers = self._codec.to_caller_headers(outcome.head)
            await job.responder.answer(status, headers, outcome.body)
            self._finisher.record_done(job, "failed_at_server", status)
        else:
            self._finisher.record_done(job, "answered", outcome.status)

    # Admission.

    def _admit(
        self, request: servers.Request, responder: servers.Responder
    ) -> jobs.Job | outcomes.Refusal:
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
        service = balance.draw_service(
            route,
            self._rng,
            lambda s: self._balancer.is_barred(s, matched.regions),
        )
        deadline = request.arrived_at + timeout_s
        job = jobs.Job(
            request,
            metadata,
            matched,
            service,
            responder,
            deadline,
            self._expiry(deadline),
            spent_s,
            answer_memory=buffer_budget.AnswerMemory(self._buffers),
        )
        self._retry_budgets.record_request(service, job.customer_name)
        return job

    def _expiry(self, deadline: float) -> expiry_lib.Expiry:
        """Returns a deadline that also counts while the machine is suspended.

        Args:
          deadline: The deadline, in monotonic seconds.
        """
        left_s = deadline - self._clock()
        return expiry_lib.Expiry(
            self._versions.now + left_s, lambda: self._versions.now
        )

    # Serving.

    async def _serve(self, job: jobs.Job) -> _Outcome:
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
                    if job.withdrawals >= _MAX_SENDS:
                        await asyncio.sleep(_WITHDRAWN_PAUSE_S)
        except TimeoutError:
            outcome = outcomes.Refusal(_GATEWAY_TIMEOUT, Reason.TIMEOUT)
        finally:
            if job.takeover is not None:
                job.takeover.reservation.release()
                self._retry_budgets.refund(job.takeover.charge)
        if job.responder.begun:
            if isinstance(outcome, outcomes.Failed):
                # Another server's events were sent: no second head can follow.
                return outcomes.Refusal(_BAD_GATEWAY, Reason.FAILED_AT_SERVER)
        elif isinstance(outcome, outcomes.Refusal) and failed is not None:
            # The server's own error is more informative than a refusal.
            return failed
        return outcome

    async def _attempt_once(
        self, job: jobs.Job
    ) -> outcomes.AttemptOutcome | outcomes.Refusal:
        reservation = await self._reserve(job)
        if isinstance(reservation, outcomes.Refusal):
            return reservation
        sends = job.sends
        outcome = None
        try:
            outcome = await self._send(job, reservation.backend)
            return outcome
        finally:
            reservation.release()
            self._settle(job, job.sends > sends, outcome)

    def _settle(
        self,
        job: jobs.Job,
        sent: bool,
        outcome: outcomes.AttemptOutcome | outcomes.Refusal | None,
    ) -> None:
        """Settles the charge of an attempt that has ended.

        Args:
          job: The request.
          sent: Whether anything was sent to the server.
          outcome: The attempt's outcome; None if it was cancelled.
        """
        charge, job.charge = job.charge, None
        if sent and not job.reached and _is_given_up(outcome):
            job.late_sends += 1
        if charge is None:
            return
        if not sent:
            self._retry_budgets.refund(charge)
        elif job.late_sends:
            job.late_sends -= 1
            self._retry_budgets.abandon(charge)
        else:
            charge.confirm()

    async def _reserve(
        self, job: jobs.Job
    ) -> queue.Reservation | outcomes.Refusal:
        """Returns a reservation for the next attempt, or a refusal."""
        takeover, job.takeover = job.takeover, None
        if takeover is not None:
            job.charge = takeover.charge
            return takeover.reservation
        if self._guard.refuses(job):
            return self._placer.refuse(job, Reason.CRASHES_SERVERS)
        begun = job.responder.begun
        while True:
            # A request that has begun cannot be refused any more, only broken
            # off, so it waits for the budget.
            if begun and not await self._wait_for_budget(job):
                return self._placer.refuse(job, Reason.NO_BUDGET)
            reservation = await self._placer.reserve(job)
            if isinstance(reservation, outcomes.Refusal) or not job.sends:
                return reservation
            job.charge = self._retry_budgets.try_acquire(
                job.service, job.customer_name
            )
            if job.charge is not None:
                return reservation
            reservation.release()
            if not begun:
                return self._placer.refuse(job, Reason.NO_BUDGET)

    async def _wait_for_budget(self, job: jobs.Job) -> bool:
        """Waits until the retry budget allows another attempt.

        Returns:
          False if it does not before the request can be resumed no more.
        """
        latest = self._placer.latest_resumption(job)
        while not self._retry_budgets.allows(job.service, job.customer_name):
            now = self._clock()
            if now >= latest:
                return False
            await asyncio.sleep(min(_BUDGET_CHECK_S, latest - now))
        return True

    def _take_over(self, job: jobs.Job, backend: backend_lib.Backend) -> bool:
        """Reserves another server for a request at a silent one.

        A request is only given up at one server once another one is certain to
        accept it: every condition of a further attempt is checked here.

        Returns:
          False if no other server may take the request over now.
        """
        service, customer = job.service, job.customer_name
        if (
            not self._may_run_again(job, job.runs + 1)
            or self._guard.refuses(job)
            or not self._retry_budgets.allows(service, customer)
        ):
            return False
        reservation = self._placer.reserve_alternative(job, backend)
        if reservation is None:
            return False
        charge = self._retry_budgets.try_acquire(service, customer)
        if charge is None:
            reservation.release()
            return False
        job.takeover = jobs.Takeover(reservation, charge)
        return True

    def _withdrawal_reason(
        self, job: jobs.Job, backend: backend_lib.Backend
    ) -> outcomes.NotRunReason | None:
        """Returns why a request may not be sent after all; None if it may."""
        if self._guard.refuses(job):
            return outcomes.NotRunReason.SUSPECT
        return self._placer.withdrawal_reason(job, backend)

    async def _send(
        self, job: jobs.Job, backend: backend_lib.Backend
    ) -> outcomes.AttemptOutcome | outcomes.Refusal:
        now = self._clock()
        model = self._placer.model(job)
        held = backend.held_version(self._placer.layers(job.service))
        forward_metadata = types.ForwardMetadata(
            backend.server.server_id,
            expiry_lib.Expiry(
                job.expiry.at - _ANSWER_TRANSIT_S, job.expiry.clock
            ),
            job.customer_name,
            self._versions.expected(model, held, self._versions.now),
            self._placer.server_priority(job),
            job.last_event_id,
        )
        job.begins_in_s = self._placer.begins_in_s(job, backend)
        outcome = await self._attempt_runner.run(
            job,
            backend,
            forward_metadata,
            lambda: self._take_over(job, backend),
            self._version_timeouts.create(
                model,
                held,
                job.match.route.idempotent,
                lambda: (
                    backend.transit.estimate_s(self._clock())
                    + self._placer.lead_s(job, backend)
                ),
            ),
        )
        if isinstance(outcome, outcomes.Delivered):
            self._guard.record_completion(job, backend, now)
        else:
            self._record_failure(job, backend, outcome)
        return outcome

    def _record_first_event(self, job: jobs.Job) -> None:
        self._placer.record_first_event(job)
        if job.begins_in_s is None or job.first_event_at is None:
            return
        self._counters.add("direct.begin.expected")
        begun_in_s = job.first_event_at - (job.sent_at or 0.0)
        self._placer.record_begin(job.service, job.begins_in_s, begun_in_s)
        if begun_in_s <= job.begins_in_s:
            return
        self._counters.add("direct.begin.late")
        self._log.write(
            _events.BEGUN_LATE,
            request=job.metadata.attempt_id,
            server=job.server_id,
            expected_ms=round(1e3 * job.begins_in_s),
            measured_ms=round(1e3 * begun_in_s),
        )

    @property
    def kept(self) -> float:
        """Largest part of a server's slots that is kept from a request."""
        return self._placer.kept

    def dispatch(self) -> None:
        """Sends waiting requests on after several servers reported load."""
        self._placer.dispatch()

    def dispatch_for(self, backend: backend_lib.Backend) -> None:
        """Sends waiting requests on after one server reported its load."""
        self._placer.dispatch_for(backend)

    def on_versions_changed(self) -> None:
        """Reschedules withdrawals and sends waiting requests on."""
        self._version_timeouts.reschedule_all()
        self.dispatch()

    def check_clock(self) -> None:
        """Withdraws requests that became overdue during a suspension."""
        self._version_timeouts.check_clock()

    @property
    def arrivals(self) -> slot_shares.ArrivalRates:
        """The requests that need a server, by service."""
        return self._placer.arrivals

    @property
    def guard(self) -> crash_guard.CrashGuard:
        """Refuses requests that would crash servers."""
        return self._guard

    def set_retry_limits(self, retry_limits: budgets.Limits) -> None:
        """Applies changed limits to all retry budgets."""
        self._retry_budgets.set_limits(retry_limits)

    def _record_failure(
        self,
        job: jobs.Job,
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
                # The server was restarted or loaded other weights: the list is
                # out of date and is updated within a heartbeat.
                backend.cooldown_until = now + _WRONG_SERVER_BACKOFF_S
        else:
            job.tried.add(backend.server.start)
        if not isinstance(outcome, outcomes.NotRun):
            job.runs += 1
        crash = _is_crash(outcome, backend)
        if crash:
            self._counters.add("direct.crash_observed")
            self._guard.record_crash(job, backend)
        self._log.write(
            _events.ATTEMPT_ENDED,
            request=job.metadata.attempt_id,
            server=backend.server.server_id,
            outcome=type(outcome).__name__,
            reason=str(reason),
            sends=job.sends,
            doubt=round(backend.failure_rate, 2),
            transit_ms=round(1e3 * backend.transit.estimate_s(now)),
            crash=crash,
            events=job.events,
            parts=job.metadata.shared_parts,
            **job.send_fields(now),
        )

    def _may_retry(
        self, job: jobs.Job, outcome: outcomes.AttemptOutcome
    ) -> bool:
        """Returns whether another attempt may be made; counts withdrawals."""
        if not self._may_send_again(job):
            return False
        if isinstance(outcome, outcomes.NotRun):
            if _is_not_run(outcome, outcomes.NotRunReason.EXPIRED):
                return False
            job.withdrawals += outcome.reason in _WITHDRAWN_REASONS
            if job.responder.begun:
                return True
            if _is_not_run(outcome, outcomes.NotRunReason.UNREACHABLE):
                return self._placer.may_reconnect(job)
            return job.withdrawals < _MAX_SENDS
        if isinstance(outcome, outcomes.Failed) and outcome.head.status < 500:
            return False
        return self._may_run_again(job, job.runs)

    def _may_send_again(self, job: jobs.Job) -> bool:
        """Returns whether a request may be sent to another server.

        One that has begun can only be broken off, so that the retry budget and
        its deadline bound how often it is sent.
        """
        if job.responder.begun:
            return self._is_resumable(job)
        return job.sends < _MAX_SENDS

    def _may_run_again(self, job: jobs.Job, runs: int) -> bool:
        """Returns whether a request may run again after that many runs."""
        route = job.match.route
        return (
            self._may_send_again(job)
            and route.idempotent
            and runs < route.max_attempts
        )

    def _give_up(
        self, job: jobs.Job, outcome: outcomes.AttemptOutcome
    ) -> outcomes.Failed | outcomes.Refusal:
        if isinstance(outcome, outcomes.Failed):
            return outcome
        if _is_not_run(outcome, outcomes.NotRunReason.EXPIRED):
            return outcomes.Refusal(_GATEWAY_TIMEOUT, Reason.TIMEOUT)
        if _is_not_run(outcome, outcomes.NotRunReason.UNREACHABLE):
            return self._placer.refuse_unreachable(job)
        if job.responder.begun and not self._is_resumable(job):
            return self._placer.refuse(job, Reason.NOT_RESUMABLE)
        if job.runs and not job.match.route.idempotent:
            return self._placer.refuse(job, Reason.NOT_REPEATABLE)
        return self._placer.refuse(job, Reason.ATTEMPTS_USED)

    def _is_resumable(self, job: jobs.Job) -> bool:
        """Returns whether another server may send the rest of an answer."""
        return job.match.route.idempotent and job.last_event_id is not None


def _is_crash(
    outcome: outcomes.AttemptOutcome, backend: backend_lib.Backend
) -> bool:
    """Returns whether an attempt counts as one at which its server crashed."""
    if not isinstance(outcome, outcomes.Lost):
        return False
    # A server that was ordered to load weights aborts its requests.
    expected = backend.yielding or backend.loading
    return outcome.reason is outcomes.LostReason.BROKEN and not expected


def _is_not_run(
    outcome: outcomes.AttemptOutcome, reason: outcomes.NotRunReason
) -> bool:
    """Returns whether nothing was sent in an attempt, for a given reason."""
    return isinstance(outcome, outcomes.NotRun) and outcome.reason is reason


def _is_given_up(
    outcome: outcomes.AttemptOutcome | outcomes.Refusal | None,
) -> bool:
    """Returns whether this entry ended an attempt before it was answered.

    Args:
      outcome: The attempt's outcome; None if it was cancelled.
    """
    if isinstance(outcome, outcomes.Lost):
        return outcome.reason in _GIVEN_UP_REASONS
    return outcome is None


async def _cancel(task: asyncio.Task[_Outcome]) -> _Outcome | None:
    """Cancels a task; returns its outcome if it had ended before."""
    task.cancel()
    await asyncio.wait({task})
    try:
        return task.result()
    except (asyncio.CancelledError, channel.ChannelClosed):
        return None
