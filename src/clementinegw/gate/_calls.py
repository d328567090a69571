"""Open SUBMIT calls: the messages of their answers, and delays of frames."""

import asyncio
import math

from clementinegw import types as shared
from clementinegw.gate import types
from clementinegw.requests import claim
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

_PRIORITIES = {int(priority): priority for priority in shared.Priority}
_MS = 1000.0
# The largest part of an answer in one frame. A frame above the limit of the
# wire ends the connection, and one above that of a call ends the call.
_MAX_DATA_BYTES = 256 << 10

Decision = types.HandOver | types.Refuse | types.Fail | types.FailDuplicate


class SubmitCall:
    """An open SUBMIT call of an entry."""

    def __init__(
        self, exchange: connection_lib.Exchange, submit: ttypes.Submit
    ):
        """Initializes the call that a SUBMIT frame opened."""
        self._exchange = exchange
        self._decision: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        self._task: asyncio.Task | None = None
        self._aborted: types.FailureReason | None = None
        self._body_bytes = 0
        self._submit = submit
        self._id = types.AttemptId(submit.request_id, submit.attempt)

    @property
    def id(self) -> types.AttemptId:
        """The id of the submitted attempt."""
        return self._id

    @property
    def submit(self) -> ttypes.Submit:
        """The submission."""
        return self._submit

    @property
    def aborted(self) -> types.FailureReason | None:
        """Why `abort` was called; None if it was not."""
        return self._aborted

    def decide(self, decision: Decision) -> None:
        """Sets the gate's decision; calls after the first have no effect."""
        if not self._decision.done():
            self._decision.set_result(decision)

    async def decision(self) -> Decision:
        """Waits for the gate's decision and returns it."""
        return await self._decision

    def set_task(self, task: asyncio.Task | None) -> None:
        """Sets the task that runs the attempt at the backend server.

        Args:
          task: The task; None once it is done.
        """
        self._task = task

    def abort(self, reason: types.FailureReason) -> None:
        """Cancels the task that runs the attempt; the first reason counts."""
        if self._aborted is not None:
            return
        self._aborted = reason
        if self._task is not None:
            self._task.cancel()

    async def send_head(
        self, status: int, headers: tuple[tuple[str, str], ...], version: str
    ) -> None:
        """Sends the status and headers of the answer."""
        message = ttypes.AnswerHead(
            request_id=self._id.request_id,
            attempt=self._id.attempt,
            status=status,
            headers=[ttypes.Header(name, value) for name, value in headers],
            version=version,
        )
        await self._send(connection_lib.Kind.ANSWER_HEAD, message)

    async def send_data(self, data: bytes) -> None:
        """Sends the next bytes of the answer's body."""
        self._body_bytes += len(data)
        for start in range(0, len(data), _MAX_DATA_BYTES):
            part = data[start : start + _MAX_DATA_BYTES]
            await self._exchange.send(connection_lib.Kind.ANSWER_DATA, part)

    async def send_end(self, tokens: int, in_flight: int, queued: int) -> None:
        """Sends the explicit end of a complete answer, and the gate's load."""
        message = ttypes.AnswerEnd(
            request_id=self._id.request_id,
            attempt=self._id.attempt,
            body_bytes=self._body_bytes,
            tokens=tokens,
            in_flight=in_flight,
            queued=queued,
        )
        await self._send(connection_lib.Kind.ANSWER_END, message)

    async def send_refused(self, refusal: types.Refuse) -> None:
        """Sends proof that the attempt was not handed over."""
        message = ttypes.Refused(
            request_id=self._id.request_id,
            attempt=self._id.attempt,
            reason=refusal.reason.value,
            retry_after_ms=int(refusal.retry_after_s * _MS),
        )
        await self._send(connection_lib.Kind.REFUSED, message)

    async def send_failed(self, reason: types.FailureReason) -> None:
        """Sends that the attempt was handed over and its outcome is unknown."""
        message = ttypes.Failed(
            request_id=self._id.request_id,
            attempt=self._id.attempt,
            reason=reason.value,
        )
        await self._send(connection_lib.Kind.FAILED, message)

    async def _send(self, kind: connection_lib.Kind, message) -> None:
        await self._exchange.send(kind, codec.encode(message))


class DelayEstimator:
    """Estimates how long the frames of one connection were in transit.

    The monotonic clocks of two processes have different origins. The smallest
    recent difference between them is therefore taken as zero delay. Without
    the estimate, a submission with 3 s left that a stalled link delivers late
    would run long after its entry has given it up.

    Clock rates differ by about 50 ppm. Compared with the smallest difference
    ever seen, every frame would appear 4 s late after a day and be refused.
    Only the current and the previous window are therefore compared.
    """

    _WINDOW_S = 60.0

    def __init__(self) -> None:
        self._window_end = -math.inf
        self._current_min = math.inf
        self._previous_min = math.inf

    def estimate_s(self, sent_ms: int, now: float) -> float:
        """Returns a frame's delay in seconds.

        Args:
          sent_ms: When it was sent, milliseconds on the sender's monotonic
            clock; 0 if unknown, and then the delay is 0.0.
          now: When it was received, seconds on this process's clock.
        """
        if sent_ms <= 0:
            return 0.0
        if now >= self._window_end:
            is_next = now < self._window_end + self._WINDOW_S
            self._previous_min = self._current_min if is_next else math.inf
            self._current_min = math.inf
            self._window_end = now + self._WINDOW_S
        difference = now - sent_ms / _MS
        self._current_min = min(self._current_min, difference)
        return difference - min(self._current_min, self._previous_min)


def build_attempt(
    submit: ttypes.Submit, service: str, delay_s: float, now: float
) -> types.Attempt:
    """Returns the attempt that a submission describes.

    Args:
      submit: The submission.
      service: The name of the service behind this agent.
      delay_s: How long the submission was in transit, in seconds.
      now: The current time, monotonic seconds.
    """
    shard = 0
    if submit.claim_offset:
        key = claim.hash_key(service, submit.customer, submit.idempotency_key)
        shard = claim.shard_number(key, claim.SHARDS)
    return types.Attempt(
        id=types.AttemptId(submit.request_id, submit.attempt),
        deadline=now + submit.deadline_ms / _MS - delay_s,
        priority=_PRIORITIES.get(submit.priority, shared.Priority.NORMAL),
        idempotent=submit.idempotent,
        alone=submit.alone,
        fingerprint=submit.fingerprint,
        key=_scoped_key(submit),
        claim_offset=submit.claim_offset,
        shard=shard,
        incarnation=submit.incarnation or 0,
        sent_at=now - delay_s if submit.sent_ms else None,
    )


def _scoped_key(submit: ttypes.Submit) -> str:
    if not submit.idempotency_key:
        return ""
    return f"{submit.customer}\0{submit.idempotency_key}"
