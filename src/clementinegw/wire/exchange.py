"""One call on a connection: the frames that belong together, in order."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses

from clementinegw import exceptions
from clementinegw.wire.gen.frame import ttypes

# A peer that reads slowly must not hold memory without bound. One would notice
# it as resident memory that grows with one slow caller.
MAX_QUEUED_BYTES = 8 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """What one frame of a call says.

    Attributes:
      kind: The message's kind.
      body: The encoded message or raw bytes.
    """

    kind: ttypes.Kind
    body: bytes


class Exchange:
    """One side of a call that is open on a connection."""

    def __init__(
        self,
        call: int,
        write: Callable[[ttypes.Kind, int, bytes], None],
        drain: Callable,
        on_close: Callable[[int], None],
    ):
        """Opens this side; connections make exchanges, users do not."""
        self._call = call
        self._write = write
        self._drain = drain
        self._on_close = on_close
        self._frames: collections.deque[Frame] = collections.deque()
        self._queued_bytes = 0
        self._waiter: asyncio.Future | None = None
        self._error: exceptions.ConnectionLost | None = None
        self._closed = False

    @property
    def call(self) -> int:
        """The number that the frames of this call carry."""
        return self._call

    @property
    def closed(self) -> bool:
        """Whether this side has closed the call."""
        return self._closed

    async def send(self, kind: ttypes.Kind, body: bytes = b"") -> None:
        """Sends one frame and waits while the connection is congested.

        Raises:
          exceptions.ConnectionLost: The connection broke; the frame may or may
            not have arrived.
        """
        if self._error is not None:
            raise self._error
        self._write(kind, self._call, body)
        await self._drain()

    async def receive(self, timeout: float | None = None) -> Frame:
        """Returns the next frame of the call.

        Args:
          timeout: Seconds to wait; None waits until the connection breaks.

        Raises:
          exceptions.ConnectionLost: No further frame can come.
          TimeoutError: None came in time; the call stays open.
        """
        if not self._frames and self._error is None:
            await self._wait(timeout)
        if self._frames:
            frame = self._frames.popleft()
            self._queued_bytes -= len(frame.body)
            return frame
        if self._error is not None:
            raise self._error
        raise TimeoutError("no frame in time")

    def close(self) -> None:
        """Closes this side; frames that still come are dropped and counted."""
        if not self._closed:
            self._closed = True
            self._on_close(self._call)

    def deliver(self, frame: Frame) -> bool:
        """Takes a frame from the connection.

        Returns:
          False when the receiver is too far behind; the call is then broken.
        """
        if self._queued_bytes + len(frame.body) > MAX_QUEUED_BYTES:
            self.fail(exceptions.ConnectionLost("the receiver is too slow"))
            return False
        self._frames.append(frame)
        self._queued_bytes += len(frame.body)
        self._wake()
        return True

    def fail(self, error: exceptions.ConnectionLost) -> None:
        """Tells the receiver that no further frame can come."""
        if self._error is None:
            self._error = error
        self._wake()

    async def _wait(self, timeout: float | None) -> None:
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiter = waiter
        handle = None
        if timeout is not None:
            handle = loop.call_later(max(0.0, timeout), _resolve, waiter)
        try:
            await waiter
        finally:
            self._waiter = None
            if handle is not None:
                handle.cancel()

    def _wake(self) -> None:
        if self._waiter is not None:
            _resolve(self._waiter)


def _resolve(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)
