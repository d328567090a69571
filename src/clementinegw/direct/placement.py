"""Selects a server for each request and queues the request until then."""

import collections
from collections.abc import Callable
import dataclasses
import math
import random

from clementinegw.direct import admit
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import begin_estimate
from clementinegw.direct import job as jobs
from clementinegw.direct import latency_estimator
from clementinegw.direct import outcomes
from clementinegw.direct import queue
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.scheduling import server_memory
from clementinegw.scheduling import slot_shares

Reason = outcomes.RefusalReason

# Utilization limits as fractions of a server's slots. An engine runs as many
# requests as it has slots, and requests queued behind those soon become late.
# Plain servers answer so quickly that a few requests may queue there. Late
# requests only use leftover capacity.
_ENGINE_POLICY = queue.Policy(
    max_utilization=1.0, late_limit_high=0.9, late_limit_low=0.3
)
_PLAIN_POLICY = queue.Policy(
    max_utilization=3.0, late_limit_high=2.0, late_limit_low=1.0
)
# Initial estimate of the time to the first event and its upper bound, in passes
# of a full engine. The current pass, the request's own pass and the other
# prompts read take about 4 passes at a half-full engine and 6 at a full one.
_FIRST_EVENT_PASSES = 4.0
_MAX_FIRST_EVENT_PASSES = 6.0
# A new request counts as able to be on time for at least this fraction of its
# objective. Otherwise a large prompt would be late on arrival whenever the
# engines are full, and every smaller prompt would be preferred to it.
_MIN_START_SHARE = 0.1
# Fraction of its time that a returning caller's request, or a request that was
# already sent, waits for capacity; also the limit on the time spent on failed
# connection attempts.
_RETRIED_WAIT_SHARE = 0.3
# A request waits for a server that becomes ready within this fraction of its
# time.
_READY_WAIT_SHARE = 0.4
# Upper bound on the wait for such a server and for capacity there, as a
# fraction of the request's time. After a longer wait the answer could not
# complete in time.
_MAX_WAIT_SHARE = 0.5
# Upper bound on the time that is set aside for the next event of a stream that
# is resumed, as a fraction of the request's time.
_MAX_RESUMPTION_SHARE = 0.2
# When the caller should retry, as a fraction of its remaining time: if all
# servers are full, and if no server is ready. Callers wait for at most a third
# of their time, and a request that is refused twice is lost.
_RETRY_FULL = (admit.MIN_RETRY_SHARE, 0.3)
_RETRY_NOT_READY = (0.27, 0.33)
# A request that crashes servers would crash them again, and one that exceeds
# their memory fits at no time, so neither is retried.
_RETRY_NEVER = (1.0, 1.0)
_RETRY_SHARES = {
    Reason.BUSY: _RETRY_FULL,
    Reason.LIMITED: _RETRY_FULL,
    Reason.NO_BUDGET: _RETRY_FULL,
    Reason.ATTEMPTS_USED: _RETRY_FULL,
    Reason.NOT_RESUMABLE: _RETRY_NEVER,
    Reason.NOT_REPEATABLE: _RETRY_NEVER,
    Reason.CRASHES_SERVERS: _RETRY_NEVER,
    Reason.TOO_LARGE: _RETRY_NEVER,
    Reason.NO_SERVER: _RETRY_NOT_READY,
    Reason.NO_ALLOWED_SERVER: _RETRY_NOT_READY,
    Reason.EVACUATED: _RETRY_NOT_READY,
    Reason.COLD: _RETRY_FULL,
    Reason.OUTRANKED: _RETRY_FULL,
    Reason.OVER_SHARE: _RETRY_FULL,
}
# A request that has begun stops waiting this long before its deadline, so that
# its line says what it waited for. Seconds.
_GIVE_UP_MARGIN_S = 0.1
_BAD_GATEWAY = 502


class Placer:
    """Reserves servers for requests.

    Attributes:
      arrivals: The requests for a reservation, by service.
    """

    def __init__(
        self,
        config_view: admit.ConfigView,
        balancer: balance.Balancer,
        versions: version_policy.VersionPolicy,
        rng: random.Random,
        clock: Callable[[], float],
        engine_policy: queue.Policy = _ENGINE_POLICY,
        is_suspect: Callable[[jobs.Job], bool] = lambda job: False,
    ):
        """Initializes the placer without any queue.

        Args:
          config_view: Provides the engine parameters of each service.
          balancer: Selects servers.
          versions: Provides the model versions that may serve.
          rng: Randomizes retry times.
          clock: Returns monotonic seconds.
          engine_policy: Queueing policy for engines.
          is_suspect: Returns whether a request would crash its server.
        """
        self._is_suspect = is_suspect
        self._engine_policy = engine_policy
        self._estimators: dict[str, latency_estimator.LatencyEstimator] = {}
        self._config_view = config_view
        self._balancer = balancer
        self._versions = versions
        self._rng = rng
        self._clock = clock
        self._queues: dict[str, queue.Queue] = {}
        self._corrections: collections.defaultdict[
            str, begin_estimate.Correction
        ] = collections.defaultdict(begin_estimate.Correction)
        self.arrivals = slot_shares.ArrivalRates()

    @property
    def kept(self) -> float:
        """Largest part of a server's slots that is kept from a request."""
        return max((q.kept for q in self._queues.values()), default=0.0)

    async def reserve(
        self, job: jobs.Job
    ) -> queue.Reservation | outcomes.Refusal:
        """Returns a reservation of a server, or a refusal."""
        self.arrivals.record(job.service)
        job.memory = self._memory_need(job)
        if job.memory and job.memory.too_large and not job.responder.begun:
            return self.refuse(job, Reason.TOO_LARGE)
        arrived_at = job.request.arrived_at
        timeout_s = job.deadline - arrived_at
        latest_start = self._latest_start(job)
        # A new request that can no longer be on time is refused right away: it
        # retries later and uses no capacity until then. A retried request waits
        # longer, since it would be lost if it were refused again.
        give_up_at = max(arrived_at, latest_start)
        if job.spent_s or job.sends:
            give_up_at = arrived_at + _RETRIED_WAIT_SHARE * timeout_s
        if job.runs:
            # Its refusal would not say that it may be sent again.
            give_up_at = arrived_at + _MAX_WAIT_SHARE * timeout_s
        if job.responder.begun:
            # It cannot be refused any more, only broken off.
            give_up_at = self.latest_resumption(job)
        elif not self._balancer.candidates(self._requirements(job)):
            barred = self._barred_reason(job)
            if barred is not None:
                return self.refuse(job, barred)
            ready_in_s = self._balancer.ready_in_s(job.service, job.regions)
            if ready_in_s > _READY_WAIT_SHARE * timeout_s:
                return self._refuse_until_ready(
                    job, Reason.NO_SERVER, ready_in_s
                )
            # If refused, the caller would retry before the server is ready and
            # be lost. A server that is nearly ready can still serve it, though
            # late.
            give_up_at = (
                self._clock() + ready_in_s + _READY_WAIT_SHARE * timeout_s
            )
            give_up_at = min(
                give_up_at, arrived_at + _MAX_WAIT_SHARE * timeout_s
            )
        queued_at = self._clock()
        reservation = await self._queue(job.service).reserve(
            lambda: self._requirements(job),
            frozenset(job.tried),
            latest_start,
            give_up_at,
            begun=job.responder.begun,
            rank=job.rank,
            customer=job.customer_name,
            is_suspect=lambda: self._is_suspect(job),
        )
        now = self._clock()
        job.waited_s += now - queued_at
        if reservation is Reason.CRASHES_SERVERS:
            return self.refuse(job, reservation)
        if not isinstance(reservation, queue.Reservation):
            return self._refuse_unplaced(job, reservation or Reason.BUSY)
        self._assign(job, reservation)
        return reservation

    def dispatch(self) -> None:
        """Dispatches all queues after the load of several servers changed."""
        for waiters in self._queues.values():
            waiters.dispatch()

    def dispatch_for(self, backend: backend_lib.Backend) -> None:
        """Dispatches the queue of a server after its load report.

        Full servers send some hundred reports per second. A report that leaves
        this entry no share of free slots gives no request capacity. Other
        changes are picked up by the next periodic dispatch of the queue.
        """
        if backend.has_share(self._clock()):
            self._queue(backend.server.service).dispatch()

    def reserve_alternative(
        self, job: jobs.Job, backend: backend_lib.Backend
    ) -> queue.Reservation | None:
        """Returns a reservation of another server; None if none is free now.

        Args:
          job: The request.
          backend: The server that it is at.
        """
        requirements = dataclasses.replace(
            self._requirements(job), max_utilization=1.0, allow_cooldown=False
        )
        tried = {backend.server.start, *job.tried}
        alternative = self._balancer.choose(requirements, tried)
        if alternative is None:
            return None
        reservation = self._queue(job.service).reserve_server(
            alternative, job.memory
        )
        self._assign(job, reservation)
        return reservation

    def record_first_event(self, job: jobs.Job) -> None:
        """Updates the latency estimate from the first event of an answer.

        Args:
          job: The request; its server was reserved with `reserve`.
        """
        engine = self._config_view.engine(job.service)
        if engine is None or job.first_event_at is None:
            return
        reading_s = job.metadata.prompt_tokens / engine.prefill_tokens_per_s
        latency_s = job.first_event_at - job.placed_at - reading_s
        self._estimator(job.service, engine).record(latency_s)

    def layers(self, service: str) -> int:
        """Returns the number of layers of a service's model; 0 if plain."""
        engine = self._config_view.engine(service)
        return engine.layers if engine else 0

    def model(self, job: jobs.Job) -> str:
        """Returns the model whose version requirements apply to a request.

        This is empty for a plain service, which holds no model versions: a
        model named by a caller would make all its servers permanently too old.
        A request that names no model uses the model of its service.
        """
        engine = self._config_view.engine(job.service)
        if engine is None or not engine.models:
            return ""
        return job.metadata.model or engine.models[0]

    def withdrawal_reason(
        self, job: jobs.Job, backend: backend_lib.Backend
    ) -> outcomes.NotRunReason | None:
        """Returns why a request may not be sent to its server; None if it may.

        Operators may have decided so after the server was reserved.
        """
        if self._balancer.is_evacuated(backend):
            return outcomes.NotRunReason.EVACUATED
        if not self._balancer.is_allowed(backend, job.regions):
            return outcomes.NotRunReason.NOT_ALLOWED
        return None

    def _refuse_unplaced(
        self, job: jobs.Job, queue_reason: Reason
    ) -> outcomes.Refusal:
        """Returns the refusal of a request that found no server in its time.

        Args:
          job: The request.
          queue_reason: The reason if servers could be reached and none limits
            its requests.
        """
        requirements = self._requirements(job)
        barred = self._barred_reason(job)
        if job.responder.begun and not self._balancer.candidates(requirements):
            return self.refuse(job, barred or Reason.NO_SERVER)
        if barred is not None:
            return self.refuse(job, barred)
        if self._balancer.cooldown_ends_in_s(requirements):
            return self.refuse_unreachable(job)
        backoff_ends_in_s = self._balancer.backoff_ends_in_s(requirements)
        if backoff_ends_in_s:
            return self._refuse_until_ready(
                job, Reason.BACKOFF, backoff_ends_in_s
            )
        over_share = self._queue(job.service).is_over_share(job.customer_name)
        reasons = (
            (self._balancer.is_cold(requirements), Reason.COLD),
            (self._balancer.is_limited(requirements), Reason.LIMITED),
            (queue_reason is not Reason.BUSY, queue_reason),
            (over_share, Reason.OVER_SHARE),
        )
        applying = (reason for applies, reason in reasons if applies)
        return self.refuse(job, next(applying, Reason.BUSY))

    def _barred_reason(self, job: jobs.Job) -> Reason | None:
        """Returns why no listed server may get a request; None if one may.

        Waiting does not help: only the operators' next record changes it.
        """
        if not self._balancer.is_barred(job.service, job.regions):
            return None
        if job.regions is not None:
            return Reason.NO_ALLOWED_SERVER
        return Reason.EVACUATED

    def server_priority(self, job: jobs.Job) -> int | None:
        """Returns the priority of a request at its server, if it has one."""
        catalog = self._config_view.catalog
        if catalog is None:
            return None
        return catalog.server_priority(job.service, job.rank)

    def refuse(self, job: jobs.Job, reason: Reason) -> outcomes.Refusal:
        """Returns the refusal of a request that gets no server."""
        return self._refusal(
            job, reason, self._draw_share(_RETRY_SHARES[reason])
        )

    def refuse_unreachable(self, job: jobs.Job) -> outcomes.Refusal:
        """Returns the refusal of a request when no server can be connected."""
        cooldown_ends_in_s = self._balancer.cooldown_ends_in_s(
            self._requirements(job)
        )
        return self._refuse_until_ready(
            job, Reason.OUT_OF_REACH, cooldown_ends_in_s
        )

    def may_reconnect(self, job: jobs.Job) -> bool:
        """Returns whether another connection may be attempted for a request.

        A refused connection takes no time, and its server enters cooldown. But
        a request that spends its time on connection timeouts would have none
        left for a retry.
        """
        timeout_s = job.deadline - job.request.arrived_at
        return job.failed_connect_s < _RETRIED_WAIT_SHARE * timeout_s

    def _assign(self, job: jobs.Job, reservation: queue.Reservation) -> None:
        """Records in a request which server was reserved for it."""
        backend, now = reservation.backend, self._clock()
        job.placed_at = now
        job.permitted = reservation.permitted
        job.utilization = self._balancer.utilization(backend, now)
        job.server_id = backend.server.server_id

    def _refuse_until_ready(
        self, job: jobs.Job, reason: Reason, ready_in_s: float
    ) -> outcomes.Refusal:
        """Returns a refusal that asks to retry when a server is ready."""
        left_s = max(0.001, job.deadline - self._clock())
        max_share = self._draw_share(_RETRY_NOT_READY)
        share = min(max_share, max(_RETRY_FULL[0], ready_in_s / left_s))
        return self._refusal(job, reason, share)

    def _refusal(
        self, job: jobs.Job, reason: Reason, share: float
    ) -> outcomes.Refusal:
        """Returns a refusal.

        Only a request with a proof for each of its sends is reported as not
        run.

        Args:
          job: The request.
          reason: Reason of the refusal.
          share: When to retry, as a fraction of the remaining time.
        """
        if job.may_have_run:
            return outcomes.Refusal(
                _BAD_GATEWAY, Reason.MAY_HAVE_RUN, cause=reason
            )
        left_s = max(0.0, job.deadline - self._clock())
        return admit.unavailable(reason, share * left_s)

    def _latest_start(self, job: jobs.Job) -> float:
        """Returns the latest time at which a request can start and be on time.

        In monotonic seconds.
        """
        at = job.request.arrived_at - job.spent_s
        at += job.match.route.objective_s
        engine = self._config_view.engine(job.service)
        if engine is None:
            return at
        at -= self._first_event_s(job, engine)
        if job.spent_s or job.sends:
            return at
        min_start_s = _MIN_START_SHARE * job.match.route.objective_s
        return max(at, job.request.arrived_at + min_start_s)

    def latest_resumption(self, job: jobs.Job) -> float:
        """Returns the latest time at which a begun stream may be resumed.

        In monotonic seconds. A server that starts it later reads the prompt in
        vain.
        """
        engine = self._config_view.engine(job.service)
        needed_s = self._first_event_s(job, engine) if engine else 0.0
        timeout_s = job.deadline - job.request.arrived_at
        needed_s = min(needed_s, _MAX_RESUMPTION_SHARE * timeout_s)
        return job.deadline - max(_GIVE_UP_MARGIN_S, needed_s)

    def _first_event_s(self, job: jobs.Job, engine: types.Engine) -> float:
        """Returns the estimated time to the first event, in seconds."""
        return (
            self._estimator(job.service, engine).estimate_s
            + job.metadata.prompt_tokens / engine.prefill_tokens_per_s
        )

    def _estimator(
        self, service: str, engine: types.Engine
    ) -> latency_estimator.LatencyEstimator:
        estimator = self._estimators.get(service)
        if estimator is None:
            pass_s = engine.pass_s
            estimator = latency_estimator.LatencyEstimator(
                _FIRST_EVENT_PASSES * pass_s, _MAX_FIRST_EVENT_PASSES * pass_s
            )
            self._estimators[service] = estimator
        return estimator

    def _requirements(self, job: jobs.Job) -> balance.Requirements:
        """Returns the current requirements of a request on its server."""
        now = self._versions.now
        model = self.model(job)
        min_version = self._versions.required(model, now) or 0
        if job.runs:
            min_version = max(min_version, self._versions.stable(model, now))
        upcoming_version, upcoming_at = 0, math.inf
        upcoming = self._versions.upcoming(model, now)
        if upcoming is not None:
            upcoming_version = upcoming[0]
            # Rounded, so that requests have the same requirements.
            upcoming_at = round(self._clock() + upcoming[1] - now, 2)
        return balance.Requirements(
            job.service,
            self.layers(job.service),
            min_version,
            self._versions.preferred(model, now),
            regions=job.regions,
            memory=job.memory,
            upcoming_version=upcoming_version,
            upcoming_at=upcoming_at,
            prompt=self._bound_prompt(job),
        )

    def begins_in_s(
        self, job: jobs.Job, backend: backend_lib.Backend
    ) -> float | None:
        """Returns when its server is expected to begin a request, in seconds.

        This is None if the request can be withdrawn, or if no newer version is
        upcoming.

        Args:
          job: The request.
          backend: The server, reserved for the request but not sent to yet.
        """
        prompt = self._bound_prompt(job)
        if prompt is None:
            return None
        now = self._clock()
        ahead = self._ahead(backend, backend.unread_tokens)
        return prompt.begins_in_s(backend, ahead, now)

    def record_begin(
        self, service: str, expected_s: float, measured_s: float
    ) -> None:
        """Corrects later estimates by one request, with times in seconds."""
        self._corrections[service].record(expected_s, measured_s)

    def lead_s(self, job: jobs.Job, backend: backend_lib.Backend) -> float:
        """Returns how much earlier than others a request must arrive.

        In seconds.

        Args:
          job: The request.
          backend: Its server, whose unread tokens include the request's.
        """
        prompt = self._bound_prompt(job)
        if prompt is None:
            return 0.0
        others = backend.unread_tokens - job.metadata.prompt_tokens
        return prompt.lead_s(
            backend, self._ahead(backend, others), self._clock()
        )

    def _ahead(
        self, backend: backend_lib.Backend, unread_tokens: float
    ) -> begin_estimate.Ahead:
        """Returns what a server does before a request that reserved it."""
        requests = backend.estimated_requests(self._clock()) - 1.0
        return begin_estimate.Ahead(unread_tokens, max(0.0, requests))

    def _bound_prompt(self, job: jobs.Job) -> begin_estimate.Prompt | None:
        """Returns the prompt of a request that cannot be withdrawn.

        This is None for any other, and while no version is upcoming.
        """
        engine = self._config_view.engine(job.service)
        if engine is None or job.match.route.idempotent:
            return None
        if self._versions.upcoming(self.model(job), self._versions.now) is None:
            return None
        return begin_estimate.prompt_of(
            job.metadata.prompt_tokens,
            engine,
            self._corrections[job.service].factor,
        )

    def _memory_need(self, job: jobs.Job) -> server_memory.Need | None:
        """Returns the memory that a request needs; None if it is unknown."""
        engine = self._config_view.engine(job.service)
        if engine is None:
            return None
        return server_memory.need_of(
            job.metadata.prompt_tokens,
            job.metadata.output_tokens,
            engine.memory_tokens,
            engine.typical_prompt_tokens,
            engine.typical_answer_tokens,
        )

    def _queue(self, service: str) -> queue.Queue:
        service_queue = self._queues.get(service)
        if service_queue is None:
            policy = (
                self._engine_policy
                if self._config_view.engine(service)
                else _PLAIN_POLICY
            )
            service_queue = queue.Queue(
                service, self._balancer, policy, self._clock
            )
            self._queues[service] = service_queue
        return service_queue

    def _draw_share(self, span: tuple[float, float]) -> float:
        """Returns a random fraction from a range."""
        return self._rng.uniform(*span)
