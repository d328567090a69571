"""Connections that carry frames; a number in each identifies its call."""

import asyncio
from collections.abc import Callable
import dataclasses
import struct

from clementinegw import exceptions
from clementinegw import types
from clementinegw.wire import codec
from clementinegw.wire import exchange as exchange_lib
from clementinegw.wire.gen.frame import ttypes

MAX_FRAME_BYTES = 32 << 20
_LENGTH = struct.Struct(">I")
# The accelerated decoder leaves enum fields as plain numbers.
_KINDS = {int(kind): kind for kind in ttypes.Kind}


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a process, which peers exchange in the handshake.

    Attributes:
      instance_id: A name that is unique among live processes.
      role: What the process does.
      place: Its region and failure domain.
      incarnation: A number that increases with each start.
    """

    instance_id: str
    role: types.Role
    place: types.Place
    incarnation: int = 0


class Link(asyncio.Protocol):
    """Reads and writes frames on a transport, without interpreting them.

    Attributes:
      bytes_received: Bytes received so far.
      bytes_sent: Bytes of the frames written so far.
    """

    def __init__(
        self,
        on_frame: Callable[["Link", ttypes.Kind | None, int, bytes], None],
        on_lost: Callable[["Link"], None],
    ):
        """Initializes a link; asyncio then calls `connection_made`.

        Args:
          on_frame: Called with each complete frame; its kind is None if this
            release does not know it. After malformed data it is called with
            the call -1.
          on_lost: Called once when the connection has ended.
        """
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._writable: asyncio.Future | None = None
        self._closed = False
        self._closed_here = False
        self._closed_by_peer = False
        self._made_at = 0.0
        self._last_received_at = 0.0
        self.bytes_received = 0
        self.bytes_sent = 0

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    @property
    def closed_by_peer(self) -> bool:
        """Whether the other end closed or reset the connection."""
        return self._closed_by_peer

    @property
    def last_received_at(self) -> float:
        """Loop time at which data was last received, in seconds."""
        return self._last_received_at

    def connection_made(self, transport) -> None:
        """Called by asyncio when the connection is established."""
        self._transport = transport
        self._last_received_at = asyncio.get_running_loop().time()

    def connection_lost(self, exc) -> None:
        """Called by asyncio when the connection has ended."""
        self._closed = True
        # Other errors are caused by the path: no route, no acknowledgement.
        by_peer = exc is None or isinstance(exc, ConnectionResetError)
        self._closed_by_peer = by_peer and not self._closed_here
        self.resume_writing()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Called by asyncio when the send buffer is full."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Called by asyncio when the send buffer has drained."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        """Called by asyncio; parses the received bytes into frames."""
        self._last_received_at = asyncio.get_running_loop().time()
        self.bytes_received += len(data)
        self._buffer += data
        try:
            self._parse_frames()
        except exceptions.DecodeError:
            self._on_frame(self, ttypes.Kind.HELLO, -1, b"")
            self.abort()

    def write(self, kind: ttypes.Kind, call: int, body: bytes) -> None:
        """Queues one frame for sending.

        Raises:
          exceptions.ConnectionLost: The connection has ended.
        """
        if self._closed or self._transport is None:
            raise exceptions.ConnectionLost("the connection has ended")
        data = codec.encode(ttypes.Frame(kind=kind, call=call, body=body))
        self.bytes_sent += len(data) + _LENGTH.size
        self._transport.write(_LENGTH.pack(len(data)) + data)

    async def drain(self) -> None:
        """Waits until the send buffer is not full.

        Raises:
          exceptions.ConnectionLost: The connection ended while waiting.
        """
        if self._writable is not None:
            await asyncio.shield(self._writable)
        if self._closed:
            raise exceptions.ConnectionLost("the connection has ended")

    def close(self) -> None:
        """Ends the connection once what was queued has been sent."""
        self._closed_here = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Ends the connection at once."""
        self._closed_here = True
        if self._transport is not None:
            self._transport.abort()

    def _parse_frames(self) -> None:
        position = 0
        size = len(self._buffer)
        while size - position >= _LENGTH.size and not self._closed:
            (length,) = _LENGTH.unpack_from(self._buffer, position)
            if length > MAX_FRAME_BYTES:
                raise exceptions.DecodeError(
                    f"frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes"
                )
            end = position + _LENGTH.size + length
            if end > size:
                break
            data = bytes(self._buffer[position + _LENGTH.size : end])
            position = end
            frame = codec.decode(ttypes.Frame, data)
            kind = _KINDS.get(frame.kind)
            self._on_frame(self, kind, frame.call, frame.body)
        del self._buffer[:position]


class Connection:
    """An authenticated connection to one peer, shared by many calls."""

    def __init__(self, link: Link, peer: Identity, is_opener: bool):
        """Initializes a connection on a link whose handshake is complete.

        Args:
          link: The link that carries the frames.
          peer: The identity of the peer.
          is_opener: Whether this process opened the link. The opener's calls
            have odd numbers and the acceptor's even ones, so that both sides
            can open calls.
        """
        self._link = link
        self._peer = peer
        self._next_call = 1 if is_opener else 2
        self._exchanges: dict[int, exchange_lib.Exchange] = {}

    @property
    def peer(self) -> Identity:
        """The identity of the peer."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._link.closed

    @property
    def closed_by_peer(self) -> bool:
        """Whether the other end closed or reset the connection."""
        return self._link.closed_by_peer

    @property
    def open_calls(self) -> int:
        """How many calls are open on this connection."""
        return len(self._exchanges)

    @property
    def last_received_at(self) -> float:
        """Loop time at which data was last received, in seconds."""
        return self._link.last_received_at

    @property
    def bytes_received(self) -> int:
        """Bytes received so far."""
        return self._link.bytes_received

    @property
    def bytes_sent(self) -> int:
        """Bytes sent so far."""
        return self._link.bytes_sent

    def notify(self, kind: ttypes.Kind, body: bytes = b"") -> None:
        """Sends a frame outside of any call; does nothing once closed."""
        if not self._link.closed:
            self._link.write(kind, 0, body)

    def open(self) -> exchange_lib.Exchange:
        """Opens a call with a new number.

        Raises:
          exceptions.ConnectionLost: The connection has ended.
        """
        if self.closed:
            raise exceptions.ConnectionLost("the connection has ended")
        call = self._next_call
        self._next_call += 2
        return self.accept_call(call)

    def accept_call(self, call: int) -> exchange_lib.Exchange:
        """Opens this side of a call with a given number."""
        exchange = exchange_lib.Exchange(
            call, self._link.write, self._link.drain, self._forget
        )
        self._exchanges[call] = exchange
        return exchange

    def is_local_call(self, call: int) -> bool:
        """Returns whether this side opened the call."""
        return call % 2 == self._next_call % 2

    def find(self, call: int) -> exchange_lib.Exchange | None:
        """Returns the open call with this number; None if there is none."""
        return self._exchanges.get(call)

    def close(self) -> None:
        """Ends the connection once what was queued has been sent."""
        self._link.close()

    def abort(self) -> None:
        """Ends the connection at once."""
        self._link.abort()

    def fail_calls(self) -> None:
        """Fails all open calls; called once the link has ended."""
        error = exceptions.ConnectionLost(
            f"the connection to {self._peer.instance_id} broke"
        )
        for exchange in list(self._exchanges.values()):
            exchange.fail(error)
        self._exchanges.clear()

    def _forget(self, call: int) -> None:
        self._exchanges.pop(call, None)
