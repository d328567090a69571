"""Runs attempts at the backend server and classifies how they end."""

import asyncio

from clementinegw import exceptions
from clementinegw.backend import types as backend_types
from clementinegw.gate import _calls
from clementinegw.gate import _context
from clementinegw.gate import _events
from clementinegw.gate import types
from clementinegw.telemetry import errors

_MS = 1000.0
_REFUSAL_BY_CODE = {"wrong_version": types.RefusalReason.WRONG_VERSION}

CloseAction = types.Refuse | types.Fail | None


class Runner:
    """Runs the attempts that the gate hands over."""

    def __init__(self, context: _context.Context):
        """Initializes the runner.

        Args:
          context: The service's shared objects.
        """
        self._gate = context.gate
        self._backend = context.backend
        self._backend_state = context.backend_state
        self._timing = context.timing
        self._clock = context.clock
        self._log = context.log
        self._counters = context.counters
        self._apply = context.apply
        self._disconnected: set[types.AttemptId] = set()
        self._background: set[asyncio.Task] = set()

    async def run(self, call: _calls.SubmitCall) -> CloseAction:
        """Runs an attempt at the backend server until it has ended.

        Returns:
          How to close the call; None if the answer was sent or if its entry
          is disconnected.
        """
        if call.aborted is not None:
            return types.Fail(call.id, call.aborted)
        task = asyncio.current_task()
        call.set_task(task)
        try:
            return await self._run_with_timeout(call)
        except asyncio.CancelledError:
            if call.aborted is None or task is None:
                raise
            task.uncancel()
            return types.Fail(call.id, call.aborted)
        except Exception as error:
            # Without an end, the attempt would hold its slot for good, and its
            # entry would wait until the deadline.
            self._log.write(
                _events.ATTEMPT_FAILED,
                request=call.id.request_id,
                attempt=call.id.attempt,
                **errors.describe(error),
            )
            self.cancel(call.id)
            return self._fail(call, types.FailureReason.ERROR)
        finally:
            call.set_task(None)
            self._disconnected.discard(call.id)

    def cancel(self, attempt_id: types.AttemptId) -> None:
        """Cancels an attempt at the backend server, without waiting."""
        task = asyncio.ensure_future(
            self._backend.cancel(attempt_id.request_id)
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def stop(self) -> None:
        """Cancels the background tasks."""
        for task in list(self._background):
            task.cancel()

    async def _run_with_timeout(self, call: _calls.SubmitCall) -> CloseAction:
        limit_s = call.submit.deadline_ms / _MS
        if not call.submit.idempotent:
            limit_s += self._timing.deadline_grace_s
        try:
            async with asyncio.timeout(limit_s):
                return await self._relay_answer(call)
        except TimeoutError:
            self.cancel(call.id)
            return self._fail(call, types.FailureReason.DEADLINE)
        except exceptions.BackendUnreachable:
            return self._on_not_begun(call, types.RefusalReason.UNREACHABLE)
        except exceptions.BackendStalled:
            return self._fail(call, types.FailureReason.STALLED)
        except exceptions.BackendLost:
            return await self._on_connection_lost(call)
        except exceptions.ConnectionLost:
            # The entry is disconnected.
            self.cancel(call.id)
            self._fail(call, types.FailureReason.CANCELLED)
            return None

    async def _relay_answer(self, call: _calls.SubmitCall) -> CloseAction:
        events = self._backend.start(call.submit)
        try:
            async for event in events:
                self._backend_state.heard_at = self._clock.now()
                if isinstance(event, backend_types.Data):
                    await call.send_data(event.data)
                elif isinstance(event, backend_types.End):
                    return await self._on_end(call, event)
                elif (closing := await self._on_head(call, event)) is not None:
                    return closing
        finally:
            await events.aclose()
        raise exceptions.BackendLost("the answer ended without its end")

    async def _on_head(
        self, call: _calls.SubmitCall, head: backend_types.Head
    ) -> CloseAction:
        if head.refused:
            reason = _REFUSAL_BY_CODE.get(
                head.refused, types.RefusalReason.DECLINED
            )
            return self._on_not_begun(call, reason)
        digest = self._backend_state.digest
        if digest and head.digest and head.digest != digest:
            # Someone else has loaded the engine since its load was verified.
            # The answer comes from unverified weights and is not passed on.
            self._log.write(_events.WRONG_WEIGHTS, version=head.version)
            self.cancel(call.id)
            return self._fail(call, types.FailureReason.WRONG_WEIGHTS)
        await call.send_head(head.status, head.headers, head.version)
        return None

    async def _on_end(
        self, call: _calls.SubmitCall, end: backend_types.End
    ) -> CloseAction:
        self._apply(self._gate.on_answered(call.id, self._clock.now()))
        self._counters.add("gate.answered")
        load = self._gate.load
        await call.send_end(end.tokens, load.in_flight, load.queued)
        return None

    async def _on_connection_lost(self, call: _calls.SubmitCall) -> CloseAction:
        """Determines whether only a connection broke or the server crashed."""
        self._disconnected.add(call.id)
        if not await self._has_crashed():
            return self._fail(call, types.FailureReason.LOST)
        if call.id in self._gate.in_flight:
            self._log.write(
                _events.BACKEND_CRASHED, in_flight=self._gate.load.in_flight
            )
            self._counters.add("gate.crashes")
            self._apply(self._gate.on_crash(self._clock.now()))
        return types.Fail(call.id, types.FailureReason.CRASHED)

    async def _has_crashed(self) -> bool:
        if await self._is_down():
            return True
        await asyncio.sleep(self._timing.crash_window_s)
        in_flight = set(self._gate.in_flight)
        # A server that restarts at once answers probes again, but it has
        # broken the connections of all attempts in flight.
        return len(in_flight) > 1 and in_flight <= self._disconnected

    async def _is_down(self) -> bool:
        try:
            async with asyncio.timeout(self._timing.probe_timeout_s):
                health = await self._backend.probe()
        except (exceptions.BackendStalled, TimeoutError):
            return False
        except exceptions.BackendError:
            return True
        digest = self._backend_state.digest
        return bool(digest) and health.digest != digest

    def _on_not_begun(
        self, call: _calls.SubmitCall, reason: types.RefusalReason
    ) -> CloseAction:
        actions = self._gate.on_not_begun(call.id, reason, self._clock.now())
        return self._apply_all_but_own(call, actions)

    def _fail(
        self, call: _calls.SubmitCall, reason: types.FailureReason
    ) -> CloseAction:
        actions = self._gate.on_failed(call.id, reason, self._clock.now())
        return self._apply_all_but_own(call, actions)

    def _apply_all_but_own(
        self, call: _calls.SubmitCall, actions: list[types.Action]
    ) -> CloseAction:
        """Applies the actions except the one that closes this call.

        Returns:
          The action that closes this call; None if there is none.
        """
        own: CloseAction = None
        others: list[types.Action] = []
        for action in actions:
            if (
                isinstance(action, types.Refuse | types.Fail)
                and action.id == call.id
            ):
                own = action
            else:
                others.append(action)
        self._apply(others)
        return own
