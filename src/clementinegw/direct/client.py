"""An HTTP client for backend servers and the platform, with connection pools.

A connection makes one call at a time. One that received any byte outside the
awaited answer is closed and never reused. Client libraries with a pool of their
own may hand such bytes to the next caller, or repeat a call by themselves.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import itertools
import re

import h11

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import buffer_budget
from clementinegw.direct import channel as channels
from clementinegw.direct import expiry as expiry_lib
from clementinegw.direct import timeouts as timeouts_lib

Headers = list[tuple[bytes, bytes]]

# The largest head of an answer, in bytes.
_MAX_HEAD_BYTES = 64 << 10
# More interim answers than this are no answer: a server may send them without
# end.
_MAX_INTERIM_ANSWERS = 100

# Inside a header it is the begin of the next answer: the head was cut, and the
# two look like one.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")

_connection_numbers = itertools.count(1)


class ConnectFailed(exceptions.BackendUnreachable):
    """No connection could be opened: nothing was sent."""


class AnswerBroken(exceptions.BackendLost):
    """The answer is incomplete or not valid HTTP."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer.

    Attributes:
      status: The HTTP status.
      headers: The headers in the order received, names in lower case.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def framed(self) -> bool:
        """Whether the body has a length or chunks.

        Any other body ends with its connection.
        """
        return (
            self.get(b"content-length") is not None
            or self.get(b"transfer-encoding") is not None
        )

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; its name is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Connection:
    """An HTTP connection that makes one call at a time.

    Attributes:
      number: Identifies it among all connections of the process.
      calls: How many calls were sent on it.
      idle_since: When its last call ended, in the event loop's seconds.
      keep_alive_s: How long the server keeps it open when idle, in seconds;
        None if the server does not say.
    """

    def __init__(self, channel: channels.Channel):
        self._channel = channel
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._keep_alive = True
        self.number = next(_connection_numbers)
        self.calls = 0
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether another call may be made on the connection.

        A second answer, or bytes after the first one, are still unread here;
        they would be taken for the answer to the next call.
        """
        return (
            self._keep_alive
            and not self._channel.closed
            and not self._channel.has_unread
            and not self._channel.unsent_bytes
            and self._http.our_state is h11.IDLE
        )

    @property
    def unread_bytes(self) -> int:
        """The number of bytes that were received and are not parsed yet."""
        return self._channel.unread_bytes + len(self._http.trailing_data[0])

    def count_buffers(self, budget: buffer_budget.BufferBudget) -> None:
        """Counts the bytes that wait in the connection's buffers."""
        self._channel.budget = budget

    def start_next_call(self) -> None:
        """Prepares for another call after a complete answer."""
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
        self.calls += 1
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
        """Returns the head of the answer; interim answers are skipped.

        Raises:
          AnswerBroken: No head arrived, or it is not valid HTTP.
        """
        for _ in range(_MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AnswerBroken("no head")
            if _is_run_together(event):
                raise AnswerBroken("a cut head before another one")
            return Head(event.status_code, tuple(event.headers))
        raise AnswerBroken("interim answers without end")

    async def data(self) -> bytes | None:
        """Returns the next bytes of the body; None at its end.

        Raises:
          AnswerBroken: The body is incomplete.
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
        """Returns the complete body.

        Args:
          limit: The largest body that is accepted, in bytes.
          on_progress: Called whenever bytes arrive, with the number received
            so far.

        Raises:
          AnswerBroken: The body is incomplete, or larger than `limit` bytes.
        """
        received = bytearray()
        while (data := await self.data()) is not None:
            received += data
            if len(received) > limit:
                raise AnswerBroken("too large")
            if on_progress is not None:
                on_progress(len(received))
        return bytes(received)

    def close(self) -> None:
        """Closes the connection in order; the peer sees it."""
        self._keep_alive = False
        self._channel.abort()

    def reset(self) -> None:
        """Resets the connection: what the peer has not received is dropped.

        The kernel goes on sending the rest of a request on a connection that is
        closed in order, and a server would run it.
        """
        self._keep_alive = False
        self._channel.reset()

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
                # reset it is unknown whether the body was complete.
                if not error.clean:
                    raise AnswerBroken("reset") from error
                self._http.receive_data(b"")
            except h11.RemoteProtocolError as error:
                raise AnswerBroken(f"no HTTP: {error}") from error


def _is_run_together(head: h11.Response) -> bool:
    """Returns whether a head continues in the head of another answer."""
    texts = (head.reason, *(value for _, value in head.headers))
    return any(_STATUS_LINE.search(text) for text in texts)


async def connect(address: types.Address, timeout_s: float) -> Connection:
    """Opens a connection and returns it.

    Args:
      address: Where to connect to.
      timeout_s: How long opening may take, in seconds.

    Raises:
      ConnectFailed: The connection failed or timed out; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    opening = asyncio.ensure_future(
        loop.create_connection(channels.Channel, address.host, address.port)
    )
    channel: channels.Channel | None = None
    try:
        if not await _ends_within(opening, timeout_s):
            raise ConnectFailed(f"{address}: no connection")
        _, channel = opening.result()
    except OSError as error:
        raise ConnectFailed(f"{address}: {error.strerror or error}") from error
    finally:
        if channel is None:
            opening.cancel()
            opening.add_done_callback(_abort_opened)
    return Connection(channel)


async def _ends_within(task: asyncio.Task, timeout_s: float) -> bool:
    """Returns whether a task ends in time; waits twice if the loop stalls.

    After a stall of the event loop a timer ends before the task has seen what
    happened meanwhile.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + timeout_s
    await asyncio.wait({task}, timeout=timeout_s)
    if not task.done() and loop.time() - due > timeouts_lib.MAX_LAG_S:
        await asyncio.wait({task}, timeout=timeout_s)
    return task.done()


def _abort_opened(opening: asyncio.Task) -> None:
    """Closes a connection that was opened after it was given up."""
    if not opening.cancelled() and opening.exception() is None:
        transport, _ = opening.result()
        transport.abort()


class Pool:
    """A pool of connections to one address that reuses the last one first."""

    def __init__(
        self,
        address: types.Address,
        max_open: int,
        connect_timeout_s: float,
        idle_s: float,
        buffers: buffer_budget.BufferBudget | None = None,
    ):
        """Starts without connections.

        Args:
          address: Where to connect to.
          max_open: The most connections to open; `acquire` does not enforce it,
            callers check `full` first.
          connect_timeout_s: How long opening one may take, in seconds.
          idle_s: How long one is kept when idle, in seconds.
          buffers: Counts the bytes in the connections' buffers.
        """
        self._buffers = buffers
        self._address = address
        self._max_open = max_open
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: list[Connection] = []
        self._open = 0
        self._closed = False

    @property
    def full(self) -> bool:
        """Whether all connections are in use and no more are to be opened."""
        return self._open >= self._max_open and not self._idle

    @property
    def open_connections(self) -> int:
        """The number of connections in use or idle."""
        return self._open

    async def acquire(
        self, may_reuse: Callable[[Connection], bool] = lambda _: True
    ) -> tuple[Connection, bool]:
        """Returns a connection, and whether it was used before.

        Args:
          may_reuse: Returns whether a connection that was used before will do.

        Raises:
          ConnectFailed: A new connection failed or timed out.
        """
        connection = self._take_idle(may_reuse)
        if connection is not None:
            return connection, True
        if self._idle and self._open >= self._max_open:
            self._close(self._idle.pop(0))
        self._open += 1
        try:
            connection = await connect(self._address, self._connect_timeout_s)
        except BaseException:
            self._open -= 1
            raise
        if self._buffers is not None:
            connection.count_buffers(self._buffers)
        return connection, False

    async def call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        limit: int,
        timeouts: timeouts_lib.Timeouts,
        expiry: expiry_lib.Expiry | None = None,
        reuse: bool = True,
    ) -> tuple[Head, bytes]:
        """Makes one call and returns the answer's head and body.

        Answers have no id, so a late second answer to one call may be taken for
        the answer to the next one on its connection.

        Args:
          method: Such as GET.
          target: The path and the query.
          headers: The request's headers.
          body: The request's body.
          limit: The largest body of an answer that is accepted, in bytes.
          timeouts: Limit the time to the answer's head and between its bytes.
          expiry: Until when the request may be sent; None for any time.
          reuse: Whether a connection that was used before will do.

        Raises:
          ConnectFailed: No connection could be opened: nothing was sent.
          exceptions.CallExpired: It expired before: nothing was sent.
          AnswerBroken: The answer is incomplete, or over `limit` bytes.
          TimeoutError: A timeout expired.
        """
        async with timeouts_lib.Watchdog(timeouts) as watchdog:
            return await self._call(
                method, target, headers, body, limit, watchdog, expiry, reuse
            )

    async def _call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        limit: int,
        watchdog: timeouts_lib.Watchdog,
        expiry: expiry_lib.Expiry | None,
        reuse: bool,
    ) -> tuple[Head, bytes]:
        connection, _ = await self.acquire(lambda _: reuse)
        complete = False
        try:
            # Opening a connection takes time.
            if expiry is not None and expiry.expired:
                raise exceptions.CallExpired(f"{target}: expired")
            await connection.send(method, target, headers, body)
            head = await connection.head()
            watchdog.head_received()
            data = await connection.body(limit, watchdog.body_progress)
            complete = True
            return head, data
        finally:
            # A connection whose answer was lost cannot be reused.
            if complete:
                self.release(connection)
            else:
                self.discard(connection)

    def release(self, connection: Connection) -> None:
        """Keeps a reusable connection for another call; closes any other."""
        connection.start_next_call()
        if self._closed or not connection.reusable:
            self._close(connection)
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Resets a connection whose call failed or was cancelled."""
        connection.reset()
        self._close(connection)

    def prune(self) -> None:
        """Closes idle connections that have expired or are not reusable."""
        now = asyncio.get_running_loop().time()
        kept = []
        for connection in self._idle:
            if self._is_usable(connection, now):
                kept.append(connection)
            else:
                self._close(connection)
        self._idle = kept

    def close(self) -> None:
        """Closes idle connections now and the others when they are released."""
        self._closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Closes all idle connections: a fault of one may affect all."""
        for connection in self._idle:
            self._close(connection)
        self._idle = []

    def _take_idle(
        self, may_reuse: Callable[[Connection], bool]
    ) -> Connection | None:
        """Returns the last used idle connection that will do, if any."""
        now = asyncio.get_running_loop().time()
        for connection in reversed(self._idle.copy()):
            if not self._is_usable(connection, now):
                self._idle.remove(connection)
                self._close(connection)
            elif may_reuse(connection):
                self._idle.remove(connection)
                return connection
        return None

    def _is_usable(self, connection: Connection, now: float) -> bool:
        return connection.reusable and now < self._idle_deadline(connection)

    def _idle_deadline(self, connection: Connection) -> float:
        keep_alive_s = self._idle_s
        if connection.keep_alive_s is not None:
            # The server closes the connection at that time; a request that is
            # under way then is lost, so the last second is not used.
            keep_alive_s = min(keep_alive_s, connection.keep_alive_s - 1.0)
        return connection.idle_since + keep_alive_s

    def _close(self, connection: Connection) -> None:
        connection.close()
        self._open -= 1


def without_headers(
    headers: Iterable[tuple[bytes, bytes]], names: frozenset
) -> Headers:
    """Returns the headers whose names are not among `names`.

    Args:
      headers: Pairs of a name and a value.
      names: The names to leave out, in lower case.
    """
    return [(k, v) for k, v in headers if k.lower() not in names]
