"""The answer of one request, collected over one or more attempts.

An answer that is not streamed is held until its end. A streamed one is passed
on in whole events, so that it can go on from another engine after a death: the
events already passed on say how many tokens the caller has.
"""

from clementinegw import types
from clementinegw.requests import types as request_types

_EVENT_END = b"\n\n"
_ID = b"id:"


class AnswerCollector:
    """Collects one answer and, for a stream, passes it on."""

    def __init__(self, sink: request_types.Sink | None):
        """Starts empty.

        Args:
          sink: Where a streamed answer goes; None holds it until its end.
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
        """Whether what the caller has can be gone on with."""
        return bool(self.version) and not self._damaged

    @property
    def tokens(self) -> int:
        """Tokens that were passed on to the caller."""
        return self._tokens

    @property
    def version(self) -> str:
        """The version the stream began with; empty before its head."""
        if self._sink is None or self._head is None:
            return ""
        return self._head.version

    @property
    def begun(self) -> bool:
        """Whether the caller has been sent anything."""
        return self._sink is not None and self._head is not None

    @property
    def attempt_bytes(self) -> int:
        """Bytes that the present attempt has delivered."""
        return self._attempt_bytes

    async def start(self, head: request_types.Head) -> bool:
        """Takes the head of an attempt.

        Returns:
          False when the caller already has the beginning of an answer by
          another version: the two must not be joined.
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
        """Takes bytes of the body."""
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
        """Notes that the bytes do not add up: some may be missing inside."""
        self._damaged = True

    async def finish(self) -> types.Answered:
        """Takes the explicit end and returns the whole answer."""
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
    """Returns the number in the last event id; engines count tokens by it."""
    start = events.rfind(_ID)
    if start < 0 or (start > 0 and events[start - 1 : start] != b"\n"):
        return previous
    end = events.find(b"\n", start)
    number = events[start + len(_ID) : end].strip()
    return int(number) if number.isdigit() else previous
