"""Calls on a connection: the frames with the same call number, in order."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses

from clementinegw import exceptions
from clementinegw.wire.gen.frame import ttypes

# Bounds the memory of a call whose receiver reads slowly; without a bound, one
# slow caller would make the resident memory grow.
MAX_QUEUED_BYTES = 8 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One frame of a call.

    Attributes:
      kind: The kind of the message.
      body: The encoded message, or raw bytes.
    """

    kind: ttypes.Kind
    body: bytes


class Exchange:
    """One side of an open call on a connection."""

    def __init__(
        self,
        call: int,
        write: Callable[[ttypes.Kind, int, bytes], None],
        drain: Callable,
        on_close: Callable[[int], None],
    ):
        """Initializes an exchange; called by connections only.

        Args:
          call: The number of the call.
          write: Queues a frame for sending.
          drain: Waits until the send buffer is not full.
          on_close: Called once with the number when this side is closed.
        """
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
        """The number of the call, which all its frames carry."""
        return self._call

    @property
    def closed(self) -> bool:
        """Whether this side has closed the call."""
        return self._closed

    async def send(self, kind: ttypes.Kind, body: bytes = b"") -> None:
        """Sends one frame and waits until the send buffer is not full.

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
          timeout: How long to wait, in seconds; None waits until a frame
            arrives or the connection breaks.

        Raises:
          exceptions.ConnectionLost: No further frame can arrive.
          TimeoutError: No frame arrived in time; the call stays open.
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
        """Closes this side; later frames are dropped and counted."""
        if not self._closed:
            self._closed = True
            self._on_close(self._call)

    def deliver(self, frame: Frame) -> bool:
        """Queues a frame that the connection received.

        Returns:
          Whether it was queued; False if the queue is full, and then the call
          fails.
        """
        if self._queued_bytes + len(frame.body) > MAX_QUEUED_BYTES:
            self.fail(exceptions.ConnectionLost("the receiver is too slow"))
            return False
        self._frames.append(frame)
        self._queued_bytes += len(frame.body)
        self._wake()
        return True

    def fail(self, error: exceptions.ConnectionLost) -> None:
        """Fails the call; the first error counts."""
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
