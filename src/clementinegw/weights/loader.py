"""Decides which order the engine gets next and what is served meanwhile.

The module does no I/O: each method takes one event and the time and returns
the actions to perform. Only one order is open at a time. What the engine has
loaded is known from its own reports alone. While the outcome of the last order
is unknown, nothing is served and no other order is sent.
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
    """The state machine that loads weights into one engine."""

    def __init__(
        self,
        checks_fencing: bool,
        rng: random.Random,
        counters: metrics.Counters,
        timing: Timing | None = None,
    ):
        """Initializes the loader with the engine's state unknown.

        Args:
          checks_fencing: Whether the engine refuses old fencing numbers.
          rng: The source of jitter for retry delays.
          counters: The counters of failures by reason.
          timing: The time settings.
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
        """What the loader is waiting for."""
        return self._phase

    @property
    def reason(self) -> Reason:
        """Why the declared version is not served; empty if it is."""
        return self._reason

    @property
    def serving(self) -> Target | None:
        """The version that is served.

        While the gate drains, this is the version of the requests in flight.
        """
        return self._serving.target

    @property
    def target(self) -> Target | None:
        """The latest declared version."""
        return self._target

    @property
    def wake_at(self) -> float:
        """When `on_tick` must be called next, in monotonic seconds."""
        return self._wake_at

    def start(self, now: float) -> Actions:
        """Starts by querying what the engine has loaded."""
        del now
        return self._enter_asking()

    def on_declared(
        self, now: float, target: Target, previous: Target | None
    ) -> Actions:
        """Handles a declaration in the settings.

        Args:
          now: The current time, in monotonic seconds.
          target: The version to serve.
          previous: The version before it, which may be served until the target
            is loaded.
        """
        current = self._target
        if current is not None and target.revision < current.revision:
            # An order that follows outdated settings would load an abandoned
            # version again.
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
        """Handles a change of the manifests whose chunks are all staged."""
        self._staged = manifests
        return self._decide_if_idle(now)

    def on_permit_granted(self, now: float) -> Actions:
        """Handles the grant of the permit to leave service."""
        del now
        self._serving.record_grant()
        if self._phase is not Phase.QUEUED:
            return []
        return self._drain()

    def on_permit_lost(self, now: float) -> Actions:
        """Handles the expiry of the permit.

        Before the order is sent, the worker serves again. Afterwards the load
        cannot be aborted and continues.
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
        """Handles a permit that covers the load if it is ordered in time.

        Args:
          now: The current time, in monotonic seconds.
          send_before: The latest time to send the order, in monotonic seconds.
        """
        if self._phase is not Phase.COVERING:
            return []
        return self._send_order(now, send_before)

    def on_drained(self, now: float, number: int, clean: bool) -> Actions:
        """Handles the end of a drain.

        Args:
          now: The current time, in monotonic seconds.
          number: The number of the `Drain` action.
          clean: Whether all requests have finished; otherwise the drain timed
            out.
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
        """Handles the engine's report on an order that it carried out.

        Args:
          now: The current time, in monotonic seconds.
          number: The number of the `SendOrder` action.
          digest: The content digest of the model that was loaded; empty if the
            order was for adapters only.
          adapters: The names and versions of the adapters that were loaded with
            the right digest.
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
        """Handles a refusal of an order; the engine has changed nothing."""
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
        """Handles a lost answer to an order.

        The order may have taken effect or may still do so.
        """
        ordered = self._close_order(number)
        if ordered is None:
            return []
        self._engine.leave_open(ordered, now)
        return self._fail(now, Reason.ANSWER_LOST)

    def on_not_sent(self, now: float, number: int) -> Actions:
        """Handles an order that was not sent and so had no effect.

        It was too late, or the engine was unreachable.
        """
        if self._close_order(number) is None:
            return []
        return self._fail(now, Reason.NOT_SENT)

    def on_status(
        self, now: float, number: int, status: backend.EngineStatus
    ) -> Actions:
        """Handles the engine's answer to a status query."""
        if number != self._number:
            return []
        if self._phase is Phase.ASKING:
            return self._apply_status(now, status)
        if self._phase not in _IDLE_PHASES:
            return []
        self._wake_at = now + self._timing.verify_s
        if not self._engine.contradicts(status):
            return self._decide(now)
        # Another process has sent the engine an order, or an order of this
        # agent that was believed lost has arrived late. Serving stops so that
        # no request is answered with unverified weights.
        self._count(Reason.DIGEST_CHANGED)
        self._phase = Phase.ASKING
        return self._serving.stop(Reason.DIGEST_CHANGED) + self._apply_status(
            now, status
        )

    def on_no_status(self, now: float, number: int) -> Actions:
        """Handles a status query that the engine did not answer."""
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
        """Handles a crash of the engine, which restarts without weights."""
        if self._open_order is not None:
            self._engine.leave_open(self._open_order, now)
        self._open_order = None
        self._count(Reason.ENGINE_CRASHED)
        self._engine.record_crash()
        self._staged = frozenset()
        return self._serving.stop(Reason.ENGINE_CRASHED) + self._enter_asking()

    def on_tick(self, now: float) -> Actions:
        """Performs the steps that are due."""
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
        """Chooses the next step when no order and no query is open."""
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
        # A worker whose engine crashed or failed to load is out of service in
        # any case. If it had to wait for a permit, it could not return to
        # service during an outage of the log. A worker that could serve needs
        # a permit, even if it was drained under an earlier, expired one.
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
        """Serves the loaded version if it is declared, and waits."""
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
        """Serves the version that the engine reported last.

        Args:
          release: Whether to release the permit.
        """
        target = self._engine.loaded_target
        if target is None:
            return self._serving.stop(Reason.CHUNKS_MISSING)
        return self._serving.serve(target, release)

    def _drain(self) -> Actions:
        self._phase = Phase.DRAINING
        self._serving.record_drain()
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
        """Delays the next load and queries what may be served meanwhile.

        The engine may have crashed since the last query. If the gate resumed
        without a new one, it would pass requests to unknown weights.
        """
        self._count(reason)
        self._reason = reason
        self._retry_delay.record_failure(now, reason)
        return self._enter_asking()

    def _count(self, reason: Reason) -> None:
        self._counters.add(f"weights.load.{reason}")
