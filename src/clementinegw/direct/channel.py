"""A TCP connection with awaitable reads and writes and bounded buffers."""

import asyncio
import socket
import struct

from clementinegw import exceptions
from clementinegw.direct import buffer_budget

# Reading pauses above this, so that a peer that sends faster than its data is
# consumed cannot exhaust the memory. Bytes.
_READ_HIGH_WATER_BYTES = 256 << 10
# The same, and the bytes to send above which writes wait, on connections that
# hold bytes while the process is short of memory.
_SHORT_HIGH_WATER_BYTES = 16 << 10
# Fewer received bytes are not counted: most are read in the same turn of the
# event loop.
_MIN_COUNTED_BYTES = 4 << 10
# The connection ends when sent bytes stay unacknowledged, or cannot be sent
# because the peer accepts none, for this long, in seconds. A machine that lost
# power does not answer, and the kernel's own limit is a quarter of an hour.
_KERNEL_TIMEOUT_S = 4.0
# The value of SO_LINGER that makes a close reset the connection.
_NO_LINGER = struct.pack("ii", 1, 0)


class ChannelClosed(exceptions.ClementineError):
    """The connection is closed.

    Attributes:
      clean: Whether the peer closed it in order, after all that it sent.
    """

    def __init__(self, clean: bool):
        super().__init__("the connection ended")
        self.clean = clean


class Channel(asyncio.Protocol):
    """Reads and writes the bytes of one connection.

    Attributes:
      budget: Counts the bytes in the buffers; None if they are not counted.
    """

    def __init__(
        self,
        half_close: bool = False,
        kernel_timeout_s: float = _KERNEL_TIMEOUT_S,
    ) -> None:
        """Creates a channel for a connection that is not yet open.

        Args:
          half_close: Whether bytes can be written after the peer has closed its
            sending side. This side then has to close the connection.
          kernel_timeout_s: How long the peer may acknowledge or accept nothing
            of what is sent, in seconds.
        """
        self.budget: buffer_budget.BufferBudget | None = None
        self._counted_bytes = 0
        self._limited = False
        self._kernel_timeout_s = kernel_timeout_s
        self._half_close = half_close
        self._lost = False
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future | None = None
        self._writable: asyncio.Future | None = None
        self._paused_writing = False
        self._ended = False
        self._clean = False
        self._disconnected: asyncio.Future | None = None

    @property
    def closed(self) -> bool:
        """Whether nothing can be written to the peer any more."""
        if self._transport is None or self._lost:
            return True
        return self._ended and not self._half_close

    @property
    def ended(self) -> bool:
        """Whether the peer sends nothing any more; bytes may be unread."""
        return self._ended

    @property
    def closing(self) -> bool:
        """Whether this side is closing the connection."""
        return self._transport is not None and self._transport.is_closing()

    @property
    def clean(self) -> bool:
        """Whether the peer closed the connection in order."""
        return self._clean

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received that have not been read."""
        return bool(self._buffer)

    @property
    def unread_bytes(self) -> int:
        """The number of bytes that were received and have not been read."""
        return len(self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """The number of buffered bytes to send; 0 once the channel closes."""
        if self._transport is None or self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def disconnected(self) -> asyncio.Future:
        """A future that is done once the peer closed or the link broke."""
        if self._disconnected is None:
            self._disconnected = asyncio.get_running_loop().create_future()
            if self._ended:
                self._disconnected.set_result(None)
        return self._disconnected

    async def read(self) -> bytes:
        """Returns the next bytes; waits for them if there are none.

        Raises:
          ChannelClosed: The connection ended and everything was read.
        """
        while not self._buffer:
            if self._ended:
                raise ChannelClosed(self._clean)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._counted_bytes:
            self._count_buffers()
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Sends bytes; returns once the write buffer has drained enough.

        Raises:
          ChannelClosed: The connection ended.
        """
        self.start_write(data)
        await self.drain()

    def start_write(self, data: bytes) -> None:
        """Sends or buffers bytes.

        Raises:
          ChannelClosed: The connection ended.
        """
        if self.closed or self._transport is None:
            raise ChannelClosed(self._clean)
        self._transport.write(data)
        self._count_buffers()

    async def drain(self) -> None:
        """Waits until the write buffer has drained enough.

        Raises:
          ChannelClosed: The connection ended meanwhile.
        """
        while self._paused_writing and not self.closed:
            self._writable = asyncio.get_running_loop().create_future()
            try:
                await self._writable
            finally:
                self._writable = None
        if self.closed:
            raise ChannelClosed(self._clean)

    def write_last(self, data: bytes) -> None:
        """Sends bytes, then closes the connection."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self._count_buffers()
        self.close()

    def close(self) -> None:
        """Closes the connection after the buffered bytes were sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once; drops what is not yet sent."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Closes the connection at once with a TCP reset.

        `abort` ends the bytes in order, which is enough for a peer that knows
        how many it is to receive.
        """
        if self._transport is not None and not self._lost:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.abort()

    # Methods of asyncio.Protocol.

    def connection_made(self, transport) -> None:
        """Sets the socket options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            option = getattr(socket, "TCP_USER_TIMEOUT", None)
            if option is not None:
                sock.setsockopt(
                    socket.IPPROTO_TCP,
                    option,
                    round(self._kernel_timeout_s * 1e3),
                )

    def data_received(self, data: bytes) -> None:
        """Buffers bytes until they are read."""
        self._buffer += data
        if self._counted_bytes or len(self._buffer) > _MIN_COUNTED_BYTES:
            self._count_buffers()
        if (
            len(self._buffer) > self._read_high_water_bytes
            and self._transport is not None
        ):
            self._transport.pause_reading()
        _wake(self._waiter)

    def eof_received(self) -> bool:
        """Ends reading; returns whether the transport stays open."""
        self._end(clean=True)
        return self._half_close

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends reading and writing."""
        self._lost = True
        self._count_buffers()
        self._end(clean=exc is None)
        _wake(self._writable)

    def pause_writing(self) -> None:
        """Makes `write` wait."""
        self._paused_writing = True

    def resume_writing(self) -> None:
        """Lets `write` return."""
        self._paused_writing = False
        self._count_buffers()
        _wake(self._writable)

    @property
    def _read_high_water_bytes(self) -> int:
        if self.budget is not None and self.budget.short:
            return _SHORT_HIGH_WATER_BYTES
        return _READ_HIGH_WATER_BYTES

    def _count_buffers(self) -> None:
        """Updates the budget from the sizes of the buffers."""
        if self.budget is None:
            return
        held = 0
        if self._transport is not None and not self._lost:
            held = len(self._buffer) + self._transport.get_write_buffer_size()
        self.budget.change(held - self._counted_bytes)
        self._counted_bytes = held
        if held and self.budget.short and not self._limited:
            self._limited = True
            assert self._transport is not None
            self._transport.set_write_buffer_limits(_SHORT_HIGH_WATER_BYTES)

    def _end(self, clean: bool) -> None:
        if not self._ended:
            self._ended = True
            self._clean = clean
        _wake(self._waiter)
        _wake(self._disconnected)


def _wake(future: asyncio.Future | None) -> None:
    """Completes a future that something may wait for."""
    if future is not None and not future.done():
        future.set_result(None)
