"""HTTP calls to backend servers and to the platform, one at a time.

Every byte that does not belong to the answer that is awaited spoils the
connection: it is closed and never used again. A client library that pools by
itself would hand such bytes to the next caller, or repeat a call on its own.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses

import h11

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import channel as channels
from clementinegw.direct import timeouts as timeouts_lib

Headers = list[tuple[bytes, bytes]]

# The most bytes of an answer's head.
_MAX_HEAD_BYTES = 64 << 10


class ConnectFailed(exceptions.BackendUnreachable):
    """No connection: nothing was handed over."""


class AnswerBroken(exceptions.BackendLost):
    """The answer did not come whole, or is no HTTP."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer.

    Attributes:
      status: The HTTP status.
      headers: As they came, names in lower case.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Returns the first header of that name, in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Connection:
    """One connection that makes one call at a time."""

    def __init__(self, channel: channels.Channel):
        self._channel = channel
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._keep_alive = True
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether another call may be made on it.

        A second answer, or bytes behind the whole one, show as unread bytes;
        they would be taken for the next call's answer.
        """
        return (
            self._keep_alive
            and not self._channel.closed
            and not self._channel.has_unread
            and not self._channel.unsent_bytes
            and self._http.our_state is h11.IDLE
        )

    def start_next_call(self) -> None:
        """Gets ready for another call after a whole answer."""
        done = (self._http.our_state, self._http.their_state)
        if done != (h11.DONE, h11.DONE) or self._http.trailing_data[0]:
            self._keep_alive = False
            return
        self._http.start_next_cycle()

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Sends one request.

        Raises:
          AnswerBroken: The connection ended; the request may have arrived.
        """
        try:
            data = self._http.send(
                h11.Request(method=method, target=target, headers=headers)
            )
            data = data or b""
            if body:
                data += self._http.send(h11.Data(data=body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
            await self._channel.write(data)
        except h11.LocalProtocolError as error:
            raise AnswerBroken(f"not to be sent: {error}") from error
        except channels.ChannelClosed as error:
            raise AnswerBroken(error.message) from error

    async def head(self) -> Head:
        """Returns the head of the answer; interim ones are passed over.

        Raises:
          AnswerBroken: None came, or what came is no HTTP.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AnswerBroken("no head")
            return Head(event.status_code, tuple(event.headers))

    async def data(self) -> bytes | None:
        """Returns the next bytes of the body; None at its end.

        Raises:
          AnswerBroken: The body is not whole.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerBroken("not whole")

    async def body(
        self, limit: int, on_progress: Callable[[int], None] | None = None
    ) -> bytes:
        """Returns the whole body.

        Args:
          limit: The most bytes that it may have.
          on_progress: Told at each arrival how many bytes have come so far.

        Raises:
          AnswerBroken: It is not whole, or larger than `limit` bytes.
        """
        whole = bytearray()
        while (data := await self.data()) is not None:
            whole += data
            if len(whole) > limit:
                raise AnswerBroken("too large")
            if on_progress is not None:
                on_progress(len(whole))
        return bytes(whole)

    def close(self) -> None:
        """Ends the connection; the other side sees it at once."""
        self._keep_alive = False
        self._channel.abort()

    async def _next_event(self):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerBroken(f"no HTTP: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            try:
                self._http.receive_data(await self._channel.read())
            except channels.ChannelClosed as error:
                self._keep_alive = False
                # A body without a length ends with its connection; after a
                # reset nobody knows whether it was whole.
                if not error.clean:
                    raise AnswerBroken("reset") from error
                self._http.receive_data(b"")
            except h11.RemoteProtocolError as error:
                raise AnswerBroken(f"no HTTP: {error}") from error


async def connect(address: types.Address, timeout_s: float) -> Connection:
    """Opens a connection.

    Raises:
      ConnectFailed: None came up in time; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(
                channels.Channel, address.host, address.port
            )
    except TimeoutError as error:
        raise ConnectFailed(f"{address}: no connection") from error
    except OSError as error:
        raise ConnectFailed(f"{address}: {error.strerror or error}") from error
    return Connection(channel)


class Pool:
    """The connections to one address; the last one used goes first."""

    def __init__(
        self,
        address: types.Address,
        max_open: int,
        connect_timeout_s: float,
        idle_s: float,
    ):
        """Starts without connections.

        Args:
          address: Where they go.
          max_open: The most that are open at once.
          connect_timeout_s: How long one may take to come up, in seconds.
          idle_s: The longest that one is kept idle, in seconds.
        """
        self._address = address
        self._max_open = max_open
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: list[Connection] = []
        self._open = 0
        self._closed = False

    @property
    def full(self) -> bool:
        """Whether a call would have to wait for a connection."""
        return self._open >= self._max_open and not self._idle

    @property
    def open_connections(self) -> int:
        """Connections in use or idle."""
        return self._open

    async def acquire(self) -> tuple[Connection, bool]:
        """Returns a connection, and whether it was used before.

        Raises:
          ConnectFailed: None came up in time.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and now < self._idle_deadline(connection):
                return connection, True
            self._close(connection)
        self._open += 1
        try:
            connection = await connect(self._address, self._connect_timeout_s)
        except BaseException:
            self._open -= 1
            raise
        return connection, False

    async def call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        limit: int,
        timeouts: timeouts_lib.Timeouts,
    ) -> tuple[int, bytes]:
        """Makes one call and returns status and body.

        Raises:
          ConnectFailed: No connection: nothing was sent.
          AnswerBroken: The answer is not whole, or over `limit` bytes.
          TimeoutError: A timeout expired.
        """
        async with timeouts_lib.Watchdog(timeouts) as watchdog:
            return await self._call(
                method, target, headers, body, limit, watchdog
            )

    async def _call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        limit: int,
        watchdog: timeouts_lib.Watchdog,
    ) -> tuple[int, bytes]:
        connection, _ = await self.acquire()
        whole = False
        try:
            await connection.send(method, target, headers, body)
            head = await connection.head()
            watchdog.head_received()
            data = await connection.body(limit, watchdog.body_progress)
            whole = True
            return head.status, data
        finally:
            # On a connection whose answer was lost nothing follows any more.
            if whole:
                self.release(connection)
            else:
                self._close(connection)

    def release(self, connection: Connection) -> None:
        """Keeps a connection for another call, if it may be used again."""
        connection.start_next_call()
        if self._closed or not connection.reusable:
            self._close(connection)
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Closes a connection whose call did not end well."""
        self._close(connection)

    def prune(self) -> None:
        """Closes idle connections that are over their time or spoilt."""
        now = asyncio.get_running_loop().time()
        kept = []
        for connection in self._idle:
            if connection.reusable and now < self._idle_deadline(connection):
                kept.append(connection)
            else:
                self._close(connection)
        self._idle = kept

    def close(self) -> None:
        """Closes all idle connections, and the others as they come back."""
        self._closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Closes all idle connections: what broke one may have broken all."""
        for connection in self._idle:
            self._close(connection)
        self._idle = []

    def _idle_deadline(self, connection: Connection) -> float:
        keep_alive_s = self._idle_s
        if connection.keep_alive_s is not None:
            # The server closes at its own time; a request that crosses that
            # close is lost, so the last second is left out.
            keep_alive_s = min(keep_alive_s, connection.keep_alive_s - 1.0)
        return connection.idle_since + keep_alive_s

    def _close(self, connection: Connection) -> None:
        connection.close()
        self._open -= 1


def without_headers(
    headers: Iterable[tuple[bytes, bytes]], names: frozenset
) -> Headers:
    """Returns the headers whose names, in lower case, are not among `names`."""
    return [(k, v) for k, v in headers if k.lower() not in names]
