"""Collects the answer of one request over one or more attempts.

An answer that is not streamed is buffered until its end. A streamed answer is
forwarded in complete events, so that another engine can resume it after a
crash: the forwarded events show how many tokens the caller has received.
"""

from clementinegw import types
from clementinegw.requests import types as request_types

_EVENT_END = b"\n\n"
_ID = b"id:"


class AnswerCollector:
    """Collects one answer and forwards it if it is streamed."""

    def __init__(self, sink: request_types.Sink | None):
        """Starts empty.

        Args:
          sink: Receives a streamed answer; None buffers the answer.
        """
        self._sink = sink
        self._head: request_types.Head | None = None
        self._chunks: list[bytes] = []
        self._partial_event = b""
        self._tokens = 0
        self._forwarded_bytes = 0
        self._attempt_bytes = 0
        self._damaged = False

    @property
    def resumable(self) -> bool:
        """Whether another engine can resume the stream."""
        return bool(self.version) and not self._damaged

    @property
    def tokens(self) -> int:
        """The number of tokens that were forwarded to the caller."""
        return self._tokens

    @property
    def version(self) -> str:
        """The version that started the stream; empty before its head."""
        if self._sink is None or self._head is None:
            return ""
        return self._head.version

    @property
    def begun(self) -> bool:
        """Whether anything was sent to the caller."""
        return self._sink is not None and self._head is not None

    @property
    def attempt_bytes(self) -> int:
        """The number of body bytes received in the current attempt."""
        return self._attempt_bytes

    async def start(self, head: request_types.Head) -> bool:
        """Handles the head of an attempt's answer.

        Args:
          head: The head.

        Returns:
          False if the caller has already received the start of an answer of
          another version or status, which this one must not continue.
        """
        self._attempt_bytes = 0
        self._partial_event = b""
        if self._sink is None:
            self._head = head
            self._chunks.clear()
            return True
        if self._head is not None:
            return (
                head.version == self._head.version
                and head.status == self._head.status
            )
        self._head = head
        await self._sink.head(head)
        return True

    async def add(self, data: bytes) -> None:
        """Handles a part of the body."""
        self._attempt_bytes += len(data)
        if self._sink is None:
            self._chunks.append(data)
            return
        complete, separator, self._partial_event = (
            self._partial_event + data
        ).rpartition(_EVENT_END)
        if separator:
            await self._forward(complete + separator)

    def mark_damaged(self) -> None:
        """Records that the size is wrong, so that events may be missing."""
        self._damaged = True

    async def finish(self) -> types.Answered:
        """Handles the end of the answer and returns the answer.

        Returns:
          The answer, with an empty body if it was streamed.
        """
        assert self._head is not None
        if self._sink is not None and self._partial_event:
            await self._forward(self._partial_event)
            self._partial_event = b""
        body = b"".join(self._chunks) if self._sink is None else b""
        headers = self._head.headers
        if self._head.version:
            headers = (*headers, ("clementine-version", self._head.version))
        return types.Answered(self._head.status, headers, body)

    async def _forward(self, events: bytes) -> None:
        assert self._sink is not None
        await self._sink.data(events)
        self._forwarded_bytes += len(events)
        self._tokens = _last_token_number(events, self._tokens)


def _last_token_number(events: bytes, previous: int) -> int:
    """Returns the last event id, which is the engine's token count."""
    start = events.rfind(_ID)
    if start < 0 or (start > 0 and events[start - 1 : start] != b"\n"):
        return previous
    end = events.find(b"\n", start)
    number = events[start + len(_ID) : end].strip()
    return int(number) if number.isdigit() else previous
