"""Which order the engine gets next, and what may be served meanwhile.

Decisions only: each method takes one event and the time and returns what to
do. There is one order at a time. What the engine has loaded is taken from its
own reports alone; as long as the last order's outcome is not known, nothing is
served and no other order is sent.
"""

import math
import random

from clementinegw.backend import types as backend
from clementinegw.telemetry import counters as metrics
from clementinegw.weights import _engine_view
from clementinegw.weights import _loader_types
from clementinegw.weights import _retry_delay
from clementinegw.weights import _serving_state

Timing = _loader_types.Timing
Target = _loader_types.Target
Phase = _loader_types.Phase
Reason = _loader_types.Reason
Action = _loader_types.Action
Actions = list[_loader_types.Action]

_IDLE_PHASES = (Phase.STEADY, Phase.QUEUED)
_DRAIN_PHASES = (Phase.DRAINING, Phase.COVERING)


class Loader:
    """The decisions for one engine."""

    def __init__(
        self,
        checks_fencing: bool,
        rng: random.Random,
        counters: metrics.Counters,
        timing: Timing | None = None,
    ):
        """Starts without knowledge of the engine.

        Args:
          checks_fencing: Whether the engine refuses old fencing numbers.
          rng: The source of the pauses' jitter.
          counters: Counts failures by reason.
          timing: The times.
        """
        self._counters = counters
        self._timing = timing or Timing()
        self._engine = _engine_view.EngineView(
            checks_fencing, self._timing.settle_s
        )
        self._retry_delay = _retry_delay.RetryDelay(self._timing.retries, rng)
        self._phase = Phase.ASKING
        self._reason = Reason.NO_TARGET
        self._target: Target | None = None
        self._staged: frozenset[str] = frozenset()
        self._serving = _serving_state.ServingState()
        self._open_order: Target | None = None
        self._number = 0
        self._wake_at = math.inf

    @property
    def phase(self) -> Phase:
        """What it waits for."""
        return self._phase

    @property
    def reason(self) -> Reason:
        """Why the declared version is not served; empty when it is."""
        return self._reason

    @property
    def serving(self) -> Target | None:
        """The version that requests are let through to.

        While the gate drains, the version that its last requests run on.
        """
        return self._serving.target

    @property
    def target(self) -> Target | None:
        """The version that was declared last."""
        return self._target

    @property
    def wake_at(self) -> float:
        """When `on_tick` has to be called, monotonic seconds."""
        return self._wake_at

    def start(self, now: float) -> Actions:
        """Begins by asking what the engine has loaded."""
        del now
        return self._enter_asking()

    def on_declared(
        self, now: float, target: Target, previous: Target | None
    ) -> Actions:
        """Takes in what the settings declare.

        Args:
          now: Monotonic seconds.
          target: The version to serve.
          previous: The version before it, which may be served until then.
        """
        current = self._target
        if current is not None and target.revision < current.revision:
            # An order that follows settings of the past would bring an
            # abandoned version back.
            self._count(Reason.OLD_REVISION)
            return []
        self._target = target
        self._engine.set_servable(
            target, previous, self.serving, self._open_order
        )
        if target.same_weights(current):
            return self._decide_if_idle(now)
        self._retry_delay.clear()
        return self._decide_if_idle(now)

    def on_staged(self, now: float, manifests: frozenset[str]) -> Actions:
        """Takes in which manifests the engine has all chunks of."""
        self._staged = manifests
        return self._decide_if_idle(now)

    def on_permit_granted(self, now: float) -> Actions:
        """The worker may leave service."""
        del now
        self._serving.record_grant()
        if self._phase is not Phase.QUEUED:
            return []
        return self._drain()

    def on_permit_lost(self, now: float) -> Actions:
        """The permit has lapsed.

        Before the order, the worker serves again. After it there is no way
        back, and the load goes on.
        """
        self._serving.record_loss()
        if (
            self._phase not in _DRAIN_PHASES
            or self._engine.loaded_target is None
        ):
            return []
        self._count(Reason.PERMIT_LOST)
        return self._enter_asking()

    def on_covered(self, now: float, send_before: float) -> Actions:
        """The permit covers a load whose order is sent in time."""
        if self._phase is not Phase.COVERING:
            return []
        return self._send_order(now, send_before)

    def on_drained(self, now: float, number: int, clean: bool) -> Actions:
        """The gate has stopped new work.

        Args:
          now: Monotonic seconds.
          number: As in the `Drain`.
          clean: Whether nothing runs any more; if not, time ran out.
        """
        if self._phase is not Phase.DRAINING or number != self._number:
            return []
        if not clean:
            return self._fail(now, Reason.DRAIN_TIMEOUT)
        if not self._should_load(now) or not self._may_load():
            return self._enter_asking()
        if not self._serving.has_permit:
            return self._send_order(now, now + self._timing.max_send_delay_s)
        self._phase = Phase.COVERING
        self._wake_at = now + self._timing.cover_timeout_s
        return [_loader_types.CoverLoad()]

    def on_report(
        self,
        now: float,
        number: int,
        digest: str,
        adapters: frozenset[tuple[str, str]] = frozenset(),
    ) -> Actions:
        """The engine has carried the order out.

        Args:
          now: Monotonic seconds.
          number: As in the `SendOrder`.
          digest: The content digest of the model that was loaded; empty when
            the order was for adapters only.
          adapters: Names and versions of those that were loaded rightly.
        """
        ordered = self._close_order(number)
        if ordered is None:
            return []
        self._engine.record_report(digest, adapters)
        if not self._engine.has_loaded(ordered):
            return self._fail(now, Reason.DIGEST_MISMATCH)
        return self._decide(now)

    def on_refusal(
        self, now: float, number: int, refusal: backend.OrderRefused
    ) -> Actions:
        """The engine has refused the order and changed nothing."""
        if self._close_order(number) is None:
            return []
        self._engine.record_refusal(refusal)
        actions: Actions = []
        if refusal.missing:
            self._staged = frozenset()
            actions.append(_loader_types.ChunksLost(refusal.missing))
        return actions + self._fail(
            now, _loader_types.REASON_BY_REFUSAL[refusal.reason]
        )

    def on_answer_lost(self, now: float, number: int) -> Actions:
        """No answer came: the order may have taken effect, or still may."""
        ordered = self._close_order(number)
        if ordered is None:
            return []
        self._engine.leave_open(ordered, now)
        return self._fail(now, Reason.ANSWER_LOST)

    def on_not_sent(self, now: float, number: int) -> Actions:
        """The order was too late or found no engine: it had no effect."""
        if self._close_order(number) is None:
            return []
        return self._fail(now, Reason.NOT_SENT)

    def on_status(
        self, now: float, number: int, status: backend.EngineStatus
    ) -> Actions:
        """The engine has told what it has loaded."""
        if number != self._number:
            return []
        if self._phase is Phase.ASKING:
            return self._apply_status(now, status)
        if self._phase not in _IDLE_PHASES:
            return []
        self._wake_at = now + self._timing.verify_s
        if not self._engine.contradicts(status):
            return self._decide(now)
        # Another process has given the engine an order, or an order of ours
        # that was thought lost came late. Seen in time, no request is
        # answered by weights that nobody verified.
        self._count(Reason.DIGEST_CHANGED)
        self._phase = Phase.ASKING
        return self._serving.stop(Reason.DIGEST_CHANGED) + self._apply_status(
            now, status
        )

    def on_no_status(self, now: float, number: int) -> Actions:
        """The engine did not answer the question."""
        if number != self._number:
            return []
        self._count(Reason.ENGINE_UNREACHABLE)
        if self._phase is Phase.ASKING:
            self._reason = Reason.ENGINE_UNREACHABLE
            self._retry_delay.record_failure(now, self._reason)
            self._wake_at = self._retry_delay.until
        elif self._phase in _IDLE_PHASES:
            self._wake_at = now + self._timing.verify_s
        return []

    def on_crash(self, now: float) -> Actions:
        """The engine has ended; it starts again without weights."""
        if self._open_order is not None:
            self._engine.leave_open(self._open_order, now)
        self._open_order = None
        self._count(Reason.ENGINE_CRASHED)
        self._engine.record_crash()
        self._staged = frozenset()
        return self._serving.stop(Reason.ENGINE_CRASHED) + self._enter_asking()

    def on_tick(self, now: float) -> Actions:
        """Does what is due."""
        if now < self._wake_at:
            return []
        if self._phase is Phase.COVERING:
            return self._fail(now, Reason.SWAP_LIMIT)
        return (
            self._query_status()
            if self._phase in _IDLE_PHASES
            else self._enter_asking()
        )

    def _apply_status(
        self, now: float, status: backend.EngineStatus
    ) -> Actions:
        if self._engine.update(status, now):
            return self._decide(now)
        if status.loading:
            self._reason = Reason.LOADING
        self._wake_at = now + self._timing.poll_s
        return []

    def _decide_if_idle(self, now: float) -> Actions:
        return self._decide(now) if self._phase in _IDLE_PHASES else []

    def _decide(self, now: float) -> Actions:
        """Chooses the next step when no order and no question is open."""
        if not self._should_load(now):
            return self._serve_and_wait(now)
        if self._may_load():
            return self._drain()
        if self._phase is Phase.QUEUED:
            return []
        actions = self._serve_loaded(release=False)
        self._phase = Phase.QUEUED
        self._reason = Reason.SWAP_LIMIT
        self._wake_at = now + self._timing.verify_s
        return [*actions, self._serving.acquire_permit()]

    def _may_load(self) -> bool:
        # A worker whose engine crashed or failed to load is out in any case:
        # made to wait for a permit, it could not come back in an outage of
        # the log. One that could serve needs the permit, also when it was
        # drained under an earlier one that has lapsed.
        return self._serving.has_permit or self._engine.loaded_target is None

    def _should_load(self, now: float) -> bool:
        target = self._target
        return (
            target is not None
            and not self._retry_delay.active(now)
            and not self._engine.has_loaded(target)
            and target.manifest_digests <= self._staged
            and not self._engine.would_refuse(target)
        )

    def _serve_and_wait(self, now: float) -> Actions:
        """Serves what is loaded, if that is declared, and waits."""
        actions = self._serve_loaded()
        self._phase = Phase.STEADY
        self._wake_at = now + self._timing.verify_s
        if self._retry_delay.active(now):
            self._wake_at = min(self._wake_at, self._retry_delay.until)
        self._reason = self._waiting_reason(now)
        if self._reason is Reason.NONE:
            self._retry_delay.clear()
        return actions

    def _waiting_reason(self, now: float) -> Reason:
        target = self._target
        if target is None:
            return Reason.NO_TARGET
        if self._engine.has_loaded(target):
            return Reason.NONE
        if self._engine.would_refuse(target):
            return Reason.REFUSED_FENCING
        if self._retry_delay.active(now):
            return self._retry_delay.reason
        return Reason.CHUNKS_MISSING

    def _serve_loaded(self, release: bool = True) -> Actions:
        """Serves what the engine reported last; gives the permit back."""
        target = self._engine.loaded_target
        if target is None:
            return self._serving.stop(Reason.CHUNKS_MISSING)
        return self._serving.serve(target, release)

    def _drain(self) -> Actions:
        self._phase = Phase.DRAINING
        self._serving.drain()
        self._reason = Reason.DRAINING
        self._wake_at = math.inf
        self._number += 1
        return [_loader_types.Drain(self._number)]

    def _send_order(self, now: float, send_before: float) -> Actions:
        if not self._should_load(now) or self._target is None:
            return self._enter_asking()
        self._phase = Phase.LOADING
        self._reason = Reason.LOADING
        self._wake_at = math.inf
        self._serving.record_overwrite()
        self._open_order = self._target
        self._number += 1
        model, adapters = self._engine.missing(self._target)
        return [
            _loader_types.SendOrder(
                self._number, self._target, model, adapters, send_before
            )
        ]

    def _close_order(self, number: int) -> Target | None:
        ordered = self._open_order
        if ordered is None or number != self._number:
            return None
        self._open_order = None
        return ordered

    def _enter_asking(self) -> Actions:
        self._phase = Phase.ASKING
        return self._query_status()

    def _query_status(self) -> Actions:
        self._wake_at = math.inf
        self._number += 1
        return [_loader_types.QueryStatus(self._number)]

    def _fail(self, now: float, reason: Reason) -> Actions:
        """Holds off the next load, and asks what may be served meanwhile.

        The engine may have crashed since it was last asked: resumed without
        the question, the gate would let requests in to whatever is there.
        """
        self._count(reason)
        self._reason = reason
        self._retry_delay.record_failure(now, reason)
        return self._enter_asking()

    def _count(self, reason: Reason) -> None:
        self._counters.add(f"weights.load.{reason}")
