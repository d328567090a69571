"""One submitted attempt that is open at this agent, and its caller's side."""

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

Decision = types.HandOver | types.Refuse | types.Fail | types.FailDuplicate


class SubmitCall:
    """An open SUBMIT call."""

    def __init__(
        self, exchange: connection_lib.Exchange, submit: ttypes.Submit
    ):
        """Wraps the call that a SUBMIT frame opened."""
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
        """The attempt's name."""
        return self._id

    @property
    def submit(self) -> ttypes.Submit:
        """What was submitted."""
        return self._submit

    @property
    def aborted(self) -> types.FailureReason | None:
        """Why the run was ended from outside; None when it was not."""
        return self._aborted

    def decide(self, decision: Decision) -> None:
        """Takes the gate's decision; the first one counts."""
        if not self._decision.done():
            self._decision.set_result(decision)

    async def decision(self) -> Decision:
        """Waits for the gate's decision."""
        return await self._decision

    def set_task(self, task: asyncio.Task | None) -> None:
        """Names the task that talks to the backend server; None when done."""
        self._task = task

    def abort(self, reason: types.FailureReason) -> None:
        """Ends the talk with the backend server."""
        if self._aborted is not None:
            return
        self._aborted = reason
        if self._task is not None:
            self._task.cancel()

    async def send_head(
        self, status: int, headers: tuple[tuple[str, str], ...], version: str
    ) -> None:
        """Sends the start of the answer."""
        message = ttypes.AnswerHead(
            request_id=self._id.request_id,
            attempt=self._id.attempt,
            status=status,
            headers=[ttypes.Header(name, value) for name, value in headers],
            version=version,
        )
        await self._send(connection_lib.Kind.ANSWER_HEAD, message)

    async def send_data(self, data: bytes) -> None:
        """Sends the next bytes of the answer."""
        self._body_bytes += len(data)
        await self._exchange.send(connection_lib.Kind.ANSWER_DATA, data)

    async def send_end(self, tokens: int, in_flight: int, queued: int) -> None:
        """Sends the explicit end of a whole answer, and the gate's load."""
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
        """Sends that the attempt was handed over and its end is unknown."""
        message = ttypes.Failed(
            request_id=self._id.request_id,
            attempt=self._id.attempt,
            reason=reason.value,
        )
        await self._send(connection_lib.Kind.FAILED, message)

    async def _send(self, kind: connection_lib.Kind, message) -> None:
        await self._exchange.send(kind, codec.encode(message))


class DelayEstimator:
    """How long frames of one connection were on their way.

    Clocks of two processes have nothing in common but their rate, so the
    smallest difference seen of late stands for no delay. A link that stalls
    and then delivers a submission with "3 s left" would otherwise make the
    agent run it long after its entry gave it up.

    Rates differ too, by some 50 millionths: against the smallest difference
    ever seen, every frame of a connection would be 4 s late after a day, and
    be refused. So only the present and the last window count.
    """

    _WINDOW_S = 60.0

    def __init__(self) -> None:
        self._window_end = -math.inf
        self._current_min = math.inf
        self._previous_min = math.inf

    def estimate_s(self, sent_ms: int, now: float) -> float:
        """Returns a frame's delay in seconds; 0.0 when it names no time."""
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
    """Returns what the gate decides by.

    Args:
      submit: The submission.
      service: The service behind this agent.
      delay_s: How long it was on its way.
      now: The time.
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
