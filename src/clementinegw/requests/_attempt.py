"""Sends one attempt to an agent and interprets the frames it returns."""

from collections.abc import Awaitable, Callable
import dataclasses
import math

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import stream as stream_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOptions:
    """Options of one attempt.

    Attributes:
      attempt: The number of the attempt, from 1.
      revision: The settings revision that applied when it was sent.
      claim_offset: The fencing number of the request's claim; 0 without one.
      alone: Whether the agent must run no other request at the same time.
      max_silence_s: The longest gap between frames of a streamed answer, in
        seconds.
    """

    attempt: int
    revision: int = 0
    claim_offset: int = 0
    alone: bool = False
    max_silence_s: float = math.inf


class AttemptCall:
    """One attempt on a connection to an agent.

    Attributes:
      request: The request to run.
      options: How to run it.
      version: The model version that answered; empty until the answer starts.
      tokens: Tokens used, as reported at the end of the answer.
      reported_load: The agent's requests in flight and queued, as reported at
        the end of the answer; None if it was not reported.
      detail: The agent's reason for a refusal or failure.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        counters: counters_lib.Counters,
        request: request_types.Request,
        options: AttemptOptions,
        answer: stream_lib.AnswerCollector,
        incarnation: int,
    ):
        self.request = request
        self.options = options
        self.version = ""
        self.tokens = 0
        self.reported_load: int | None = None
        self.detail = ""
        self._clock = clock
        self._counters = counters
        self._answer = answer
        self._incarnation = incarnation
        self._started = False
        self._sent_at = clock.now()

    @property
    def started(self) -> bool:
        """Whether the head of an answer was received."""
        return self._started

    def encoded_id(self) -> bytes:
        """Returns the encoded message that identifies this attempt."""
        age_s = self._clock.now() - self._sent_at
        return codec.encode(
            ttypes.Tombstone(
                request_id=self.request.request_id,
                attempt=self.options.attempt,
                incarnation=self._incarnation,
                age_ms=math.ceil(age_s * 1000),
            )
        )

    def unknown_reason(self, now: float) -> types.UnknownReason:
        """Returns why the outcome is unknown if nothing was proved."""
        if now >= self.request.deadline:
            return types.UnknownReason.DEADLINE
        return types.UnknownReason.CONNECTION_LOST

    def not_run_outcome(self, now: float) -> types.NotRun:
        """Returns the outcome after the agent proved that nothing ran."""
        if now >= self.request.deadline:
            return types.NotRun(types.NotRunReason.DEADLINE, 1.0)
        return types.NotRun(types.NotRunReason.TOMBSTONED, 0.0)

    async def collect(self, exchange: connection_lib.Exchange) -> types.Outcome:
        """Submits the request and returns the outcome of the attempt.

        Args:
          exchange: A new exchange on the connection to the agent.

        Raises:
          ConnectionLost: The connection failed.
          DecodeError: A frame was malformed.
          TimeoutError: The request's deadline passed.
        """
        await exchange.send(Kind.SUBMIT, codec.encode(self._submit()))
        while True:
            frame = await self._next_frame(exchange)
            if frame is None:
                self._counters.add("requests.streams_silent")
                return types.Unknown(types.UnknownReason.BACKEND_STALLED)
            handler = _FRAME_HANDLERS.get(frame.kind)
            if handler is None:
                self._counters.add("requests.frames_unexpected")
                continue
            outcome = await handler(self, frame.body)
            if outcome is not None:
                return outcome

    async def _next_frame(
        self, exchange: connection_lib.Exchange
    ) -> connection_lib.Frame | None:
        """Returns the next frame; None if a stream was silent for too long.

        An engine that stalls in the middle of an answer keeps its connection
        open. If only the deadline ended the attempt, the caller's stream would
        hang although another engine could resume it.
        """
        remaining_s = max(0.0, self.request.deadline - self._clock.now())
        timeout_s = remaining_s
        if self._started and self.request.stream:
            timeout_s = min(remaining_s, self.options.max_silence_s)
        try:
            return await exchange.receive(timeout_s)
        except TimeoutError:
            if timeout_s < remaining_s:
                return None
            raise

    def _submit(self) -> ttypes.Submit:
        request = self.request
        remaining_s = request.deadline - self._clock.now()
        return ttypes.Submit(
            request_id=request.request_id,
            attempt=self.options.attempt,
            customer=request.caller or request.customer,
            method=request.method,
            path=request.path,
            headers=[
                ttypes.Header(name=n, value=v) for n, v in request.headers
            ],
            body=request.body,
            deadline_ms=max(1, int(remaining_s * 1000)),
            priority=int(request.priority),
            idempotent=request.idempotent,
            stream=request.stream,
            fingerprint=request.fingerprint,
            revision=self.options.revision,
            claim_offset=self.options.claim_offset,
            idempotency_key=request.key,
            resume_tokens=self._answer.tokens,
            version=self._answer.version,
            alone=self.options.alone,
            incarnation=self._incarnation,
            sent_ms=int(self._sent_at * 1000),
        )

    def _names_this_attempt(self, message) -> bool:
        """Returns whether a frame belongs to this attempt.

        The call number normally ensures this. If an agent reused a number by
        mistake, an answer would reach the wrong caller; the ids in the frame
        prevent that.
        """
        matches = (
            message.request_id == self.request.request_id
            and message.attempt == self.options.attempt
        )
        if not matches:
            self._counters.add("requests.frames_crossed")
        return matches

    async def _on_head(self, body: bytes) -> types.Outcome | None:
        head = codec.decode(ttypes.AnswerHead, body)
        if not self._names_this_attempt(head):
            return None
        self.version = head.version
        headers = tuple((h.name, h.value) for h in head.headers)
        self._started = True
        if not await self._answer.start(
            request_types.Head(head.status, headers, head.version)
        ):
            return types.Unknown(
                types.UnknownReason.ANSWER_TRUNCATED,
                "the stream could not be resumed by the same version",
            )
        return None

    async def _on_data(self, body: bytes) -> types.Outcome | None:
        if not self._started:
            self._counters.add("requests.frames_unexpected")
            return None
        await self._answer.add(body)
        return None

    async def _on_end(self, body: bytes) -> types.Outcome | None:
        end = codec.decode(ttypes.AnswerEnd, body)
        if not self._names_this_attempt(end):
            return None
        if not self._started or end.body_bytes != self._answer.attempt_bytes:
            self._counters.add("requests.answers_truncated")
            self._answer.mark_damaged()
            return types.Unknown(types.UnknownReason.ANSWER_TRUNCATED)
        self.tokens = end.tokens
        if end.in_flight >= 0:
            self.reported_load = end.in_flight + max(0, end.queued)
        return await self._answer.finish()

    async def _on_refused(self, body: bytes) -> types.Outcome | None:
        refused = codec.decode(ttypes.Refused, body)
        if not self._names_this_attempt(refused):
            return None
        self.detail = refused.reason
        reason = _NOT_RUN_REASONS.get(
            refused.reason, types.NotRunReason.REFUSED_BY_AGENT
        )
        retry_after_s = refused.retry_after_ms / 1000.0
        return types.NotRun(reason, retry_after_s, refused.reason)

    async def _on_failed(self, body: bytes) -> types.Outcome | None:
        failed = codec.decode(ttypes.Failed, body)
        if not self._names_this_attempt(failed):
            return None
        self.detail = failed.reason
        reason = _UNKNOWN_REASONS.get(
            failed.reason, types.UnknownReason.BACKEND_CRASHED
        )
        return types.Unknown(reason, failed.reason)


_FRAME_HANDLERS: dict[
    int, Callable[[AttemptCall, bytes], Awaitable[types.Outcome | None]]
] = {
    Kind.ANSWER_HEAD: AttemptCall._on_head,
    Kind.ANSWER_DATA: AttemptCall._on_data,
    Kind.ANSWER_END: AttemptCall._on_end,
    Kind.REFUSED: AttemptCall._on_refused,
    Kind.FAILED: AttemptCall._on_failed,
}

# Reasons reported to callers by the agent's reason; REFUSED_BY_AGENT for any
# other.
_NOT_RUN_REASONS = {reason.value: reason for reason in types.NotRunReason} | {
    "loading": types.NotRunReason.NO_BACKEND,
    "not_ready": types.NotRunReason.NO_BACKEND,
    "unreachable": types.NotRunReason.NO_BACKEND,
    "no_claim": types.NotRunReason.CLAIM_LOST,
    "fenced": types.NotRunReason.CLAIM_LOST,
    "cancelled": types.NotRunReason.TOMBSTONED,
}
_UNKNOWN_REASONS = {reason.value: reason for reason in types.UnknownReason} | {
    "error": types.UnknownReason.HOLDER_LOST,
}
