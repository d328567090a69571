"""Which server a request goes to, and what it waits for until then."""

from collections.abc import Callable
import dataclasses
import random

from clementinegw.direct import admit
from clementinegw.direct import attempt as attempts
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import latency_estimator
from clementinegw.direct import outcomes
from clementinegw.direct import queue
from clementinegw.direct import types
from clementinegw.direct import version_policy

Reason = outcomes.RefusalReason

# What room a server must have, as a part of its slots. An engine runs as many
# as it has slots, and what waits behind them is late soon; plain servers take
# turns so quickly that a few may wait there. Late ones take what is left over.
_ENGINE_POLICY = queue.Policy(
    max_utilization=1.0, late_limit_high=0.9, late_limit_low=0.3
)
_PLAIN_POLICY = queue.Policy(
    max_utilization=3.0, late_limit_high=2.0, late_limit_low=1.0
)
# What is believed of the time to a first event before any has come, and the
# longest that is believed, in passes of a full engine: the pass under way, its
# own and what is read beside take that long at one that is half full, and at
# one that is full.
_FIRST_EVENT_PASSES = 4.0
_MAX_FIRST_EVENT_PASSES = 6.0
# A new request counts as one that can be on time for at least this part of its
# objective: a large prompt would else be late from the start whenever engines
# are full, and be passed over for all smaller ones.
_MIN_START_SHARE = 0.1
# How long a request that came back waits for room, and any one for connections
# that do not come up, as a part of its time.
_RETRIED_WAIT_SHARE = 0.3
# A request whose server will serve within this part of its time waits for it.
_READY_WAIT_SHARE = 0.4
# The longest that one waits for such a server and for room there, as a part of
# its time: beyond it the answer itself would not be whole in time.
_MAX_WAIT_SHARE = 0.5
# When to come back, as a part of the caller's time: when servers have no room,
# and when none serves.
# Callers wait for a third of their time at most; what is refused twice is lost.
_RETRY_FULL = (admit.MIN_RETRY_SHARE, 0.3)
_RETRY_NOT_READY = (0.27, 0.33)
# What crashes servers does so again: its caller gets no second chance.
_RETRY_NEVER = (1.0, 1.0)
_RETRY_SHARES = {
    Reason.BUSY: _RETRY_FULL,
    Reason.LIMITED: _RETRY_FULL,
    Reason.NO_BUDGET: _RETRY_FULL,
    Reason.ATTEMPTS_USED: _RETRY_FULL,
    Reason.CRASHES_SERVERS: _RETRY_NEVER,
}
_BAD_GATEWAY = 502


class Placer:
    """Finds servers for requests."""

    def __init__(
        self,
        config_view: admit.ConfigView,
        balancer: balance.Balancer,
        versions: version_policy.VersionPolicy,
        rng: random.Random,
        clock: Callable[[], float],
        engine_policy: queue.Policy = _ENGINE_POLICY,
    ):
        """Places nothing before a request comes.

        Args:
          config_view: How engines work.
          balancer: Ranks servers.
          versions: Which weights may serve.
          rng: Spreads the times to come back.
          clock: Monotonic seconds.
          engine_policy: How requests wait for engines.
        """
        self._engine_policy = engine_policy
        self._estimators: dict[str, latency_estimator.LatencyEstimator] = {}
        self._config_view = config_view
        self._balancer = balancer
        self._versions = versions
        self._rng = rng
        self._clock = clock
        self._queues: dict[str, queue.Queue] = {}

    async def reserve(
        self, job: attempts.Job
    ) -> queue.Reservation | outcomes.Refusal:
        """Returns a place at a server, or why there is none."""
        arrived = job.request.arrived_at
        time_s = job.deadline - arrived
        latest_start = self._latest_start(job)
        # Who is late comes back in a while and costs nothing meanwhile; who
        # has come back is not sent away again while there is hope.
        give_up_at = max(arrived, latest_start)
        if job.spent_s or job.sends:
            give_up_at = arrived + _RETRIED_WAIT_SHARE * time_s
        if not self._balancer.candidates(self._requirements(job)):
            ready_in_s = self._balancer.ready_in_s(job.service)
            if ready_in_s > _READY_WAIT_SHARE * time_s:
                return self._refuse_until_ready(
                    job, Reason.NO_SERVER, ready_in_s
                )
            # Turned away, it would come back before the server does, and be
            # lost; a server that is nearly there still serves it, if late.
            give_up_at = self._clock() + ready_in_s + _READY_WAIT_SHARE * time_s
            give_up_at = min(give_up_at, arrived + _MAX_WAIT_SHARE * time_s)
        began = self._clock()
        reservation = await self._queue(job.service).reserve(
            lambda: self._requirements(job),
            frozenset(job.tried),
            latest_start,
            give_up_at,
        )
        now = self._clock()
        job.waited_s += now - began
        if reservation is None:
            if self._balancer.cooldown_ends_in_s(self._requirements(job)):
                return self.refuse_unreachable(job)
            backoff_ends_in_s = self._balancer.backoff_ends_in_s(
                self._requirements(job)
            )
            if backoff_ends_in_s:
                return self._refuse_until_ready(
                    job, Reason.BACKOFF, backoff_ends_in_s
                )
            if self._balancer.is_limited(self._requirements(job)):
                return self.refuse(job, Reason.LIMITED)
            return self.refuse(job, Reason.BUSY)
        job.placed_at = now
        job.permitted = reservation.permitted
        job.utilization = self._balancer.utilization(reservation.backend, now)
        job.server_id = reservation.backend.server.server_id
        return reservation

    def dispatch(self) -> None:
        """Looks for room for those who wait; servers told of their load."""
        for waiters in self._queues.values():
            waiters.dispatch()

    def dispatch_for(self, backend: backend_lib.Backend) -> None:
        """Looks for room for those who wait; one server told of its load.

        Full servers tell so some hundred times a second. A report that leaves
        this entry no share makes room for nobody; what else it changes is seen
        by the queue's own looks soon.
        """
        if backend.has_share(self._clock()):
            self._queue(backend.server.service).dispatch()

    def has_alternative(
        self, job: attempts.Job, backend: backend_lib.Backend
    ) -> bool:
        """Returns whether another server could take a request over now."""
        if job.runs + 1 >= job.match.route.max_attempts:
            return False
        requirements = dataclasses.replace(
            self._requirements(job), max_utilization=1.0, allow_cooldown=False
        )
        tried = {backend.server.start, *job.tried}
        return self._balancer.choose(requirements, tried) is not None

    def record_first_event(self, job: attempts.Job) -> None:
        """Learns from the first event of a request's answer.

        Args:
          job: The request; its place was found by `reserve`.
        """
        engine = self._config_view.engine(job.service)
        if engine is None or job.first_event_at is None:
            return
        reading_s = job.metadata.prompt_tokens / engine.prefill_tokens_per_s
        latency_s = job.first_event_at - job.placed_at - reading_s
        self._estimator(job.service, engine).record(latency_s)

    def layers(self, service: str) -> int:
        """Returns the layers of a service's model; 0 for a plain one."""
        engine = self._config_view.engine(service)
        return engine.layers if engine else 0

    def model(self, job: attempts.Job) -> str:
        """Returns the model whose versions a request is held to.

        Empty for a plain service, which holds none: a model that a caller names
        there would make each of its servers too old for ever. A request that
        names none is for the model of its service.
        """
        engine = self._config_view.engine(job.service)
        if engine is None or not engine.models:
            return ""
        return job.metadata.model or engine.models[0]

    def refuse(self, job: attempts.Job, reason: Reason) -> outcomes.Refusal:
        """Returns the answer to a request without one."""
        return self._refusal(
            job, reason, self._draw_share(_RETRY_SHARES[reason])
        )

    def refuse_unreachable(self, job: attempts.Job) -> outcomes.Refusal:
        """Returns the answer where no connection to a server comes up."""
        cooldown_ends_in_s = self._balancer.cooldown_ends_in_s(
            self._requirements(job)
        )
        return self._refuse_until_ready(
            job, Reason.OUT_OF_REACH, cooldown_ends_in_s
        )

    def may_reconnect(self, job: attempts.Job) -> bool:
        """Returns whether another connection may be tried for a request.

        One that is refused costs no time, and its server rests; a request that
        loses its time with connections that time out could not come back.
        """
        time_s = job.deadline - job.request.arrived_at
        return job.failed_connect_s < _RETRIED_WAIT_SHARE * time_s

    def _refuse_until_ready(
        self, job: attempts.Job, reason: Reason, ready_in_s: float
    ) -> outcomes.Refusal:
        """Returns the answer where a server serves in a while only."""
        left_s = max(0.001, job.deadline - self._clock())
        most = self._draw_share(_RETRY_NOT_READY)
        share = min(most, max(_RETRY_FULL[0], ready_in_s / left_s))
        return self._refusal(job, reason, share)

    def _refusal(
        self, job: attempts.Job, reason: Reason, share: float
    ) -> outcomes.Refusal:
        """Returns a refusal.

        Only a request that no server may have begun is told "not run".

        Args:
          job: The request.
          reason: Why.
          share: When to come back, as a part of the time that is left.
        """
        if job.runs:
            return outcomes.Refusal(_BAD_GATEWAY, Reason.MAY_HAVE_RUN)
        left_s = max(0.0, job.deadline - self._clock())
        return admit.unavailable(reason, share * left_s)

    def _latest_start(self, job: attempts.Job) -> float:
        """Returns when a request must begin to be answered on time."""
        at = job.request.arrived_at - job.spent_s
        at += job.match.route.objective_s
        engine = self._config_view.engine(job.service)
        if engine is None:
            return at
        at -= self._estimator(job.service, engine).estimate_s
        at -= job.metadata.prompt_tokens / engine.prefill_tokens_per_s
        if job.spent_s or job.sends:
            return at
        min_start_s = _MIN_START_SHARE * job.match.route.objective_s
        return max(at, job.request.arrived_at + min_start_s)

    def _estimator(
        self, service: str, engine: types.Engine
    ) -> latency_estimator.LatencyEstimator:
        found = self._estimators.get(service)
        if found is None:
            pass_s = engine.pass_s
            found = latency_estimator.LatencyEstimator(
                _FIRST_EVENT_PASSES * pass_s, _MAX_FIRST_EVENT_PASSES * pass_s
            )
            self._estimators[service] = found
        return found

    def _requirements(self, job: attempts.Job) -> balance.Requirements:
        """Returns what a request needs of a server that it is sent to now."""
        now = self._versions.now
        model = self.model(job)
        least = self._versions.required(model, now) or 0
        if job.runs:
            least = max(least, self._versions.stable(model, now))
        return balance.Requirements(
            job.service,
            self.layers(job.service),
            least,
            self._versions.preferred(model, now),
        )

    def _queue(self, service: str) -> queue.Queue:
        found = self._queues.get(service)
        if found is None:
            policy = (
                self._engine_policy
                if self._config_view.engine(service)
                else _PLAIN_POLICY
            )
            found = queue.Queue(service, self._balancer, policy, self._clock)
            self._queues[service] = found
        return found

    def _draw_share(self, span: tuple[float, float]) -> float:
        """Returns a part of the caller's time, spread over a span."""
        return self._rng.uniform(*span)
