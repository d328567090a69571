"""Connects the gate to entries and to the backend server."""

import asyncio
from collections.abc import Callable
import weakref

import mode

from clementinegw import clock as clock_lib
from clementinegw import types as shared
from clementinegw.gate import _calls
from clementinegw.gate import _context
from clementinegw.gate import _crash_reports
from clementinegw.gate import _events
from clementinegw.gate import _monitor
from clementinegw.gate import _run
from clementinegw.gate import backends
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import types
from clementinegw.platform import log as platform_log
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
Timing = _context.Timing
_MS = 1000.0
_TICK_INTERVAL_S = 0.05
_MIN_SLEEP_S = 0.001
_EXPIRY_INTERVAL_S = 5.0


class GateService(mode.Service):
    """Handles SUBMIT, TOMBSTONE and CANCEL; reports status to entries."""

    def __init__(
        self,
        endpoint: connection_lib.Endpoint,
        backend: backends.Backend,
        service_name: str,
        limits: types.Limits | None = None,
        timing: Timing | None = None,
        clock: clock_lib.Clock | None = None,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
        log_client: platform_log.LogClient | None = None,
    ):
        """Initializes the service and registers its handlers.

        Args:
          endpoint: This agent's connections to its peers.
          backend: The backend server.
          service_name: The service's name in the settings tree.
          limits: The gate's bounds.
          timing: The intervals and timeouts.
          clock: The source of time.
          log: Receives the events.
          counters: Counts refusals and failures.
          log_client: The platform's log, for crash reports; None appends none.
        """
        super().__init__()
        self._service_name = service_name
        self._timing = timing or Timing()
        self._clock = clock or clock_lib.SystemClock()
        self._log = log or logs.Log(instance=endpoint.identity.instance_id)
        self._counters = counters or counters_lib.Counters()
        plain = backend.kind is shared.ServiceKind.PLAIN
        self._gate = gate_lib.Gate(
            limits or types.Limits(),
            endpoint.identity.incarnation,
            ready=plain,
        )
        now = self._clock.now()
        self._backend_state = _context.BackendState(
            serving_since=now, heard_at=now
        )
        self._crash_reporter = _crash_reports.CrashReporter(
            endpoint, service_name, self._clock, self._log, log_client
        )
        self._set_up(endpoint, backend)
        self._calls: dict[types.AttemptId, _calls.SubmitCall] = {}
        self._peers: weakref.WeakKeyDictionary[
            connection_lib.Connection, _Peer
        ] = weakref.WeakKeyDictionary()
        self._call_ended = asyncio.Event()
        self._queued = asyncio.Event()

    def _set_up(
        self, endpoint: connection_lib.Endpoint, backend: backends.Backend
    ) -> None:
        context = _context.Context(
            self._gate,
            backend,
            self._backend_state,
            self._timing,
            self._clock,
            self._log,
            self._counters,
            self._apply,
        )
        self._runner = _run.Runner(context)
        self._monitor = _monitor.Monitor(endpoint, self._service_name, context)
        endpoint.on_call(Kind.SUBMIT, self._on_submit)
        endpoint.on_call(Kind.TOMBSTONE, self._on_tombstone)
        endpoint.on_call(Kind.CANCEL, self._on_cancel)
        endpoint.on_connected(self._monitor.send_status)
        endpoint.on_disconnected(self._on_disconnected)

    @property
    def ready(self) -> bool:
        """Whether new attempts are accepted."""
        return self._gate.ready

    @property
    def load(self) -> gate_lib.Load:
        """The gate's load."""
        return self._gate.load

    @property
    def version(self) -> str:
        """The served version; empty for a plain service."""
        return self._backend_state.version

    def status(self) -> ttypes.AgentStatus:
        """Returns this agent's load and state."""
        return self._monitor.status()

    async def drain(self, timeout_s: float) -> bool:
        """Refuses new attempts and waits for those in flight.

        Args:
          timeout_s: How long to wait, in seconds.

        Returns:
          Whether all attempts ended in time.
        """
        self._log.write(_events.GATE_DRAINING)
        self._apply(self._gate.drain(self._clock.now()))
        self._monitor.push_status()
        return await self._wait_idle(timeout_s)

    def resume(self, version: str = "", digest: str = "") -> None:
        """Accepts attempts again, after a load was verified.

        Args:
          version: The version that the engine serves; empty for a plain
            service.
          digest: The content digest that the engine reported.
        """
        now = self._clock.now()
        self._backend_state.version = version
        self._backend_state.digest = digest
        self._backend_state.serving_since = now
        self._backend_state.heard_at = now
        self._log.write(_events.BACKEND_READY, version=version)
        self._apply(self._gate.on_loaded(now))
        self._monitor.push_full_status()

    async def leave(self, timeout_s: float | None = None) -> bool:
        """Refuses new attempts for good and waits for those in flight.

        Args:
          timeout_s: How long to wait, in seconds; None waits without limit.

        Returns:
          Whether all attempts ended in time.
        """
        self._log.write(_events.GATE_LEAVING)
        self._apply(self._gate.leave(self._clock.now()))
        self._monitor.push_status()
        return await self._wait_idle(timeout_s)

    async def on_stop(self) -> None:
        """Cancels the background tasks."""
        self._runner.stop()

    async def _wait_idle(self, timeout_s: float | None) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                while not self._gate.idle or self._calls:
                    self._call_ended.clear()
                    await self._call_ended.wait()
        except TimeoutError:
            return False
        return True

    async def _on_submit(
        self,
        connection: connection_lib.Connection,
        exchange: connection_lib.Exchange,
        frame: connection_lib.Frame,
    ) -> None:
        submit = codec.decode(ttypes.Submit, frame.body)
        now = self._clock.now()
        peer = self._peer(connection)
        delay_s = peer.delay_estimator.estimate_s(submit.sent_ms or 0, now)
        attempt = _calls.build_attempt(submit, self._service_name, delay_s, now)
        call = _calls.SubmitCall(exchange, submit)
        if self._calls.setdefault(call.id, call) is not call:
            # A duplicate of an attempt that is open here. Only this call
            # fails; the first one continues.
            await call.send_failed(types.FailureReason.DUPLICATE)
            return
        peer.open_attempts.add(call.id)
        try:
            self._apply(self._gate.submit(attempt, now))
            if self._gate.load.queued:
                self._queued.set()
            await self._answer(call)
        finally:
            del self._calls[call.id]
            peer.open_attempts.discard(call.id)
            self._call_ended.set()

    async def _answer(self, call: _calls.SubmitCall) -> None:
        decision: _calls.Decision | None = await call.decision()
        if isinstance(decision, types.HandOver):
            decision = await self._runner.run(call)
        if isinstance(decision, types.Refuse):
            self._counters.add(f"gate.refused.{decision.reason.value}")
            await call.send_refused(decision)
        elif isinstance(decision, types.Fail):
            self._counters.add(f"gate.failed.{decision.reason.value}")
            await call.send_failed(decision.reason)
        elif isinstance(decision, types.FailDuplicate):
            self._counters.add("gate.failed.duplicate")
            await call.send_failed(types.FailureReason.DUPLICATE)

    async def _on_cancel(
        self,
        connection: connection_lib.Connection,
        exchange: connection_lib.Exchange,
        frame: connection_lib.Frame,
    ) -> None:
        del connection, exchange
        message = codec.decode(ttypes.Tombstone, frame.body)
        self._cancel(types.AttemptId(message.request_id, message.attempt))

    def _on_disconnected(self, connection: connection_lib.Connection) -> None:
        peer = self._peers.pop(connection, None)
        if peer is not None:
            for attempt_id in tuple(peer.open_attempts):
                self._cancel(attempt_id)

    def _cancel(self, attempt_id: types.AttemptId) -> None:
        self._counters.add("gate.cancelled")
        self._apply(self._gate.cancel(attempt_id, self._clock.now()))

    async def _on_tombstone(
        self,
        connection: connection_lib.Connection,
        exchange: connection_lib.Exchange,
        frame: connection_lib.Frame,
    ) -> None:
        del connection
        message = codec.decode(ttypes.Tombstone, frame.body)
        now = self._clock.now()
        age_ms = -1 if message.age_ms is None else message.age_ms
        proved, actions = self._gate.tombstone(
            types.AttemptId(message.request_id, message.attempt),
            bool(message.whole_request),
            message.incarnation or 0,
            now - age_ms / _MS if age_ms >= 0 else None,
            now,
        )
        self._apply(actions)
        self._counters.add(f"gate.tombstone.{_PROOF_LABELS[proved]}")
        reply = ttypes.Tombstoned(
            request_id=message.request_id,
            attempt=message.attempt,
            proved=proved,
        )
        await exchange.send(Kind.TOMBSTONED, codec.encode(reply))

    def _peer(self, connection: connection_lib.Connection) -> "_Peer":
        peer = self._peers.get(connection)
        if peer is None:
            peer = self._peers[connection] = _Peer()
        return peer

    def _apply(self, actions: list[types.Action]) -> None:
        for action in actions:
            _ACTION_HANDLERS[type(action)](self, action)

    def _decide(self, action: _calls.Decision) -> None:
        call = self._calls.get(action.id)
        if call is not None:
            call.decide(action)

    def _fail(self, action: types.Fail) -> None:
        call = self._calls.get(action.id)
        if call is not None:
            call.decide(action)
            call.abort(action.reason)

    def _cancel_backend(self, action: types.CancelBackend) -> None:
        self._runner.cancel(action.id)

    def _report_crash(self, action: types.ReportCrash) -> None:
        self._crash_reporter.report_crash(action)
        self._monitor.push_status()

    def _report_cleared(self, action: types.ReportCleared) -> None:
        self._crash_reporter.report_cleared(action)

    @mode.Service.task
    async def _push_loop(self) -> None:
        """Sends changes to the entries while a probe takes long."""
        while not self.should_stop:
            left_s = (
                self._timing.max_notify_delay_s
                - self._monitor.since_last_check_s()
            )
            if left_s <= 0:
                self._monitor.push_changes()
                left_s = self._timing.max_notify_delay_s
            # A remainder below the clock's resolution would never elapse, and
            # the loop would use a whole core.
            await self.sleep(max(left_s, _MIN_SLEEP_S))

    @mode.Service.task
    async def _tick_loop(self) -> None:
        """Refuses overdue queued attempts and drops expired records."""
        while not self.should_stop:
            try:
                async with asyncio.timeout(_EXPIRY_INTERVAL_S):
                    await self._queued.wait()
            except TimeoutError:
                pass
            self._apply(self._gate.on_tick(self._clock.now()))
            if self._gate.load.queued:
                await self.sleep(_TICK_INTERVAL_S)
            else:
                self._queued.clear()

    @mode.Service.task
    async def _report_loop(self) -> None:
        """Appends crash reports to the log."""
        await self._crash_reporter.run()

    @mode.Service.task
    async def _probe_loop(self) -> None:
        """Probes the backend server and sends changes to the entries."""
        while not self.should_stop:
            await self._monitor.probe()
            # At once, since entries route only to prefixes reported to them.
            self._monitor.push_changes()
            await self.sleep(self._timing.probe_interval_s)


class _Peer:
    """The state of one connection from an entry."""

    def __init__(self) -> None:
        self.delay_estimator = _calls.DelayEstimator()
        self.open_attempts: set[types.AttemptId] = set()


_PROOF_LABELS = {True: "proved", False: "unproved"}

_ACTION_HANDLERS: dict[type, Callable[..., None]] = {
    types.HandOver: GateService._decide,
    types.Refuse: GateService._decide,
    types.FailDuplicate: GateService._decide,
    types.Fail: GateService._fail,
    types.CancelBackend: GateService._cancel_backend,
    types.ReportCrash: GateService._report_crash,
    types.ReportCleared: GateService._report_cleared,
}
