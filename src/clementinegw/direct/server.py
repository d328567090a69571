"""An HTTP server for callers: reads requests, sends answers and streams.

A connection serves one request after the other. Invalid HTTP is answered with
an error status and closes its connection; other connections are not affected.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import enum

import h11

from clementinegw import types
from clementinegw.direct import _events
from clementinegw.direct import buffer_budget
from clementinegw.direct import channel as channels
from clementinegw.direct import client
from clementinegw.direct import request_reader
from clementinegw.direct import types as direct_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import errors
from clementinegw.telemetry import logs

# How long a caller may accept no byte of an answer that waits to be sent, in
# seconds.
_WRITE_TIMEOUT_S = 10.0
# The same while the process is short of memory, in seconds.
_SHORT_WRITE_TIMEOUT_S = 2.0
# Interval between checks for a caller that accepts nothing, in seconds.
_WRITE_CHECK_S = 1.0
# The kernel's limit for the same is longer, so that the one above applies.
_KERNEL_TIMEOUT_S = _WRITE_TIMEOUT_S + 2.0
# The bound on the bodies of all requests together, in bytes: a share of the
# memory that a small instance has for this process.
_MAX_BODIES_BYTES = 48 << 20
# The largest head of a request that a limit may allow, in bytes. The limit in
# force, which changes while connections are open, applies within it.
_MAX_HEAD_BYTES = 1 << 20
# After a refused body its rest is read and discarded for this long, so that the
# caller can read the answer before the connection closes. Seconds.
_LINGER_S = 0.3
# How long a stopping server waits until answers are sent, in seconds.
_FLUSH_TIMEOUT_S = 0.25
_REQUEST_TIMEOUT = 408
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503


class Departure(enum.StrEnum):
    """How the connection to a caller ended before its answer was complete.

    Attributes:
      CLOSED: The caller closed it in order.
      RESET: It broke.
      SLOW: The caller did not read the answer for too long.
      STOPPED: The process ends.
    """

    CLOSED = "closed"
    RESET = "reset"
    SLOW = "slow"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes:
      method: Such as GET.
      target: The path and the query as received.
      host: The host of the Host header, in lower case, without a port.
      headers: The headers as received, with their letter case.
      body: The complete body.
      arrived_at: When the request was complete, in the event loop's seconds.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


class Responder:
    """Sends the answer to one request.

    Attributes:
      begun: Whether the head of the answer was passed to the connection.
      ended: Whether the whole answer was passed to the connection.
      aborted: Whether the handler broke the answer off.
    """

    def __init__(self, session: "_Session", method: str):
        self._session = session
        self._method = method
        self.begun = False
        self.ended = False
        self.aborted = False

    @property
    def incomplete(self) -> bool:
        """Whether a part of the answer was sent, but not all of it."""
        return self.begun and not self.ended

    @property
    def disconnected(self) -> asyncio.Future:
        """A future that is done once the caller has disconnected.

        It is also done if the caller has only closed its sending side, which
        looks the same. Such a caller can still be answered.
        """
        return self._session.channel.disconnected

    @property
    def departure(self) -> Departure:
        """How the connection to the caller ended."""
        return self._session.departure

    async def answer(
        self,
        status: int,
        headers: client.Headers,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Sends a complete answer.

        Args:
          status: The HTTP status.
          headers: The headers; those that frame the body are replaced.
          body: The complete body.
          close: Whether to announce that the connection closes.

        Raises:
          channels.ChannelClosed: The caller has left.
        """
        sized = client.without_headers(headers, _FRAMING_HEADERS)
        sized.append((b"content-length", str(len(body)).encode()))
        await self._begin(status, sized, close)
        if body and self._method != "HEAD":
            await self._session.send(h11.Data(data=body))
        await self.end()

    async def begin(self, status: int, headers: client.Headers) -> None:
        """Sends the head of an answer whose body follows in parts.

        Args:
          status: The HTTP status.
          headers: The headers; those that frame the body are left out.

        Raises:
          channels.ChannelClosed: The caller has left.
        """
        await self._begin(
            status, client.without_headers(headers, _FRAMING_HEADERS), False
        )

    async def send(self, data: bytes) -> None:
        """Sends a part of the body.

        Raises:
          channels.ChannelClosed: The caller has left, or is too slow.
        """
        await self._session.send(h11.Data(data=data))

    async def end(self) -> None:
        """Ends the body: the answer is complete.

        Raises:
          channels.ChannelClosed: The caller has left, or is too slow.
        """
        data = self._session.encode(h11.EndOfMessage())
        self.ended = True
        await self._session.write(data)

    def abort(self) -> None:
        """Breaks the connection, so that the answer counts as incomplete.

        A complete answer is still sent to its end. A caller that has closed its
        sending side and got no byte yet is told status 500.
        """
        self.aborted = True
        channel = self._session.channel
        if self.ended:
            channel.close()
        elif channel.ended and not self.begun:
            channel.write_last(_bare_answer(_INTERNAL_ERROR))
        else:
            self._session.break_off()

    async def _begin(
        self, status: int, headers: client.Headers, close: bool
    ) -> None:
        if close or self._session.closing:
            headers = [*headers, (b"connection", b"close")]
        data = self._session.encode(
            h11.Response(status_code=status, headers=headers)
        )
        self.begun = True
        await self._session.write(data)


_FRAMING_HEADERS = frozenset(
    {
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"keep-alive",
        b"trailer",
        b"upgrade",
        b"proxy-connection",
    }
)

Handler = Callable[[Request, Responder], Awaitable[None]]


class Server:
    """Accepts connections and passes each request to a handler.

    Attributes:
      limits: Bounds of requests and connections.
      closing: Whether answers announce that their connection closes.
      closes_idle: Whether connections close as soon as they are idle.
      stopped: Whether `stop` was called.
      requests: How many requests were passed to the handler.
    """

    def __init__(
        self,
        handler: Handler,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
        buffers: buffer_budget.BufferBudget | None = None,
    ):
        """Accepts nothing before `listen`.

        Args:
          handler: Answers each request. If it raises an error or returns
            without a complete answer, the server answers with status 500, or
            breaks the connection if the answer has begun.
          log: Receives the log events; a log without fields by default.
          counters: Count requests that are refused or get no answer.
          buffers: Bounds the bytes held for callers; unbounded by default.
        """
        self._handler = handler
        self._buffers = buffers or buffer_budget.BufferBudget()
        self.log = log or logs.Log()
        self.counters = counters or counters_lib.Counters()
        self._server: asyncio.Server | None = None
        self._sessions: dict[_Session, asyncio.Task] = {}
        self._channels: set[channels.Channel] = set()
        self.stopped = False
        self._body_bytes = 0
        self._changed = asyncio.Event()
        self.limits = direct_types.Limits()
        self.closing = False
        self.closes_idle = False
        self.requests = 0

    @property
    def open_requests(self) -> int:
        """The number of requests whose handler is running."""
        return sum(session.busy for session in self._sessions)

    @property
    def write_timeout_s(self) -> float:
        """How long a caller may accept no byte that waits, in seconds."""
        short = self._buffers.short
        return _SHORT_WRITE_TIMEOUT_S if short else _WRITE_TIMEOUT_S

    @property
    def _working(self) -> bool:
        return not all(session.idle for session in self._sessions) or any(
            channel.closing for channel in self._channels
        )

    async def listen(self, address: types.Address) -> None:
        """Starts accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerChannel(self._start_session, self._on_lost),
            address.host,
            address.port,
            backlog=512,
        )

    async def wait_idle(self) -> None:
        """Waits until all requests are answered and the answers are sent.

        A request of which a part was received is waited for as well.
        """
        while self._working:
            self._changed.clear()
            await self._changed.wait()

    def announce_close(self) -> None:
        """Makes all further answers announce that their connection closes."""
        self.closing = True

    def close_idle(self) -> None:
        """Stops accepting connections and closes those without a request.

        The others close as soon as they are idle.
        """
        self.closes_idle = True
        if self._server is not None:
            self._server.close()
        for session in self._sessions:
            if session.idle:
                session.channel.close()

    async def stop(self) -> None:
        """Stops accepting connections and ends all of them.

        Waits until all handlers have ended. Answers have only a short time to
        be sent, as the process may be killed if it takes longer to end.
        """
        self.stopped = True
        self.close_idle()
        tasks = list(self._sessions.values())
        for task in tasks:
            task.cancel()
        try:
            async with asyncio.timeout(_FLUSH_TIMEOUT_S):
                await self.wait_idle()
        except TimeoutError:
            for channel in self._channels:
                channel.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_request_ended(self) -> None:
        """Wakes `wait_idle`; called when a request's handler has ended."""
        self._changed.set()

    def reserve(self, count: int) -> bool:
        """Reserves bytes for a body; returns False if they exceed the bound."""
        if self._body_bytes + count > _MAX_BODIES_BYTES:
            return False
        if not self._buffers.reserve_new(count):
            return False
        self._body_bytes += count
        return True

    def release(self, count: int) -> None:
        """Releases reserved bytes."""
        self._body_bytes -= count
        self._buffers.change(-count)

    def record_refused(
        self, status: int, reason: request_reader.Reason, target: str
    ) -> None:
        """Records that a request was refused before it was whole.

        Args:
          status: The HTTP status that the caller is told.
          reason: Why it was refused.
          target: The request's target; empty if it was not read.
        """
        self.counters.add(f"direct.request_invalid.{reason}")
        self.log.write(
            _events.REQUEST_INVALID,
            status=status,
            reason=reason.value,
            target=target[:120],
        )

    def record_slow(self) -> None:
        """Records that a caller accepted nothing for too long."""
        cause = "memory" if self._buffers.short else "time"
        self.counters.add(f"direct.caller_slow.{cause}")

    def record_unanswered(
        self,
        target: str,
        responder: Responder | None,
        error: BaseException | None,
    ) -> None:
        """Records that a request got no answer, or none without an error.

        Args:
          target: The request's target; empty if it was not read.
          responder: Its responder; None if the handler was not called.
          error: What was raised; None if the handler returned.
        """
        self.counters.add("direct.request_unanswered")
        self.log.write(
            _events.REQUEST_UNANSWERED,
            target=target[:120],
            begun=responder is not None and responder.begun,
            ended=responder is not None and responder.ended,
            **errors.describe(error),
        )

    def _start_session(self, channel: channels.Channel) -> None:
        if self.stopped:
            channel.abort()
            return
        self._channels.add(channel)
        channel.budget = self._buffers
        session = _Session(self, channel)
        task = asyncio.ensure_future(session.run(self._handler))
        self._sessions[session] = task
        task.add_done_callback(lambda _: self._on_session_ended(session))

    def _on_session_ended(self, session: "_Session") -> None:
        del self._sessions[session]
        self._changed.set()

    def _on_lost(self, channel: channels.Channel) -> None:
        self._channels.discard(channel)
        self._changed.set()


class _ServerChannel(channels.Channel):
    """A channel that reports when its connection opens and when it ended."""

    def __init__(
        self,
        on_open: Callable[[channels.Channel], None],
        on_lost: Callable[[channels.Channel], None],
    ):
        super().__init__(half_close=True, kernel_timeout_s=_KERNEL_TIMEOUT_S)
        self._on_open = on_open
        self._on_lost = on_lost

    def connection_made(self, transport) -> None:
        """Sets up the channel and reports it."""
        super().connection_made(transport)
        self._on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends reading and writing and reports it."""
        super().connection_lost(exc)
        self._on_lost(self)


class _Session:
    """The HTTP state of one caller's connection.

    Attributes:
      channel: The connection.
      busy: Whether a request's handler is running.
    """

    def __init__(self, server: Server, channel: channels.Channel):
        self._server = server
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=_MAX_HEAD_BYTES,
        )
        self._reader = request_reader.RequestReader(
            channel, self._http, lambda: server.limits, server, self.send
        )
        self.channel = channel
        self.busy = False
        self._slow = False
        self._responder: Responder | None = None

    @property
    def departure(self) -> Departure:
        """How the connection ended; `STOPPED` while the caller is there."""
        if self._slow:
            return Departure.SLOW
        if self._server.stopped or not self.channel.ended:
            return Departure.STOPPED
        return Departure.CLOSED if self.channel.clean else Departure.RESET

    @property
    def idle(self) -> bool:
        """Whether no byte of the next request has been received."""
        return (
            self._http.their_state is h11.IDLE
            and not self._http.trailing_data[0]
            and not self.channel.has_unread
        )

    @property
    def closing(self) -> bool:
        """Whether the connection closes after the current answer."""
        return self._server.closing

    async def run(self, handler: Handler) -> None:
        """Serves requests until either side closes the connection."""
        try:
            while await self._serve_one(handler):
                if self._server.closes_idle and self.idle:
                    break
        except channels.ChannelClosed:
            pass
        except request_reader.RequestRefused as refused:
            await self._refuse(refused)
        except Exception as error:
            self._server.record_unanswered(
                self._reader.target, self._responder, error
            )
            if self._responder is None:
                self.channel.write_last(_bare_answer(_INTERNAL_ERROR))
        finally:
            self._reader.release_body()
            self._close()

    def break_off(self) -> None:
        """Breaks the connection, so that the answer counts as incomplete."""
        if self._http.their_http_version == b"1.1":
            self.channel.abort()
        else:
            # Only the end of the connection tells where the answer ends.
            self.channel.reset()

    async def send(self, event: h11.Event) -> None:
        """Sends one event of an answer.

        Raises:
          channels.ChannelClosed: The caller has left, or is too slow.
        """
        await self.write(self.encode(event))

    def encode(self, event: h11.Event) -> bytes:
        """Returns the bytes of an event of an answer.

        Raises:
          h11.LocalProtocolError: The event is invalid at this point.
        """
        return self._http.send(event) or b""

    async def write(self, data: bytes) -> None:
        """Writes encoded events.

        Raises:
          channels.ChannelClosed: The caller has left, or is too slow.
        """
        if not data:
            return
        self.channel.start_write(data)
        # Checks are counted, as a loop that stood still says nothing about the
        # caller.
        unchanged = 0
        while unchanged < self._server.write_timeout_s / _WRITE_CHECK_S:
            unsent_bytes = self.channel.unsent_bytes
            try:
                async with asyncio.timeout(_WRITE_CHECK_S):
                    await self.channel.drain()
                return
            except TimeoutError:
                if self.channel.unsent_bytes < unsent_bytes:
                    unchanged = 0
                else:
                    unchanged += 1
        self._slow = True
        self._server.record_slow()
        self.break_off()
        raise channels.ChannelClosed(clean=False)

    async def _serve_one(self, handler: Handler) -> bool:
        request = await self._read()
        if request is None:
            return False
        self._responder = Responder(self, request.method)
        self.busy = True
        self._server.requests += 1
        try:
            answered = await self._call(handler, request, self._responder)
        finally:
            self.busy = False
            self._server.on_request_ended()
        self._reader.release_body()
        if not answered:
            return False
        self._responder = None
        if (self._http.our_state, self._http.their_state) != (
            h11.DONE,
            h11.DONE,
        ):
            return False
        self._http.start_next_cycle()
        self._reader.target = ""
        return True

    async def _read(self) -> Request | None:
        """Returns the next request; None if the connection ended before it."""
        try:
            head = await self._reader.head()
            if head is None:
                return None
            return _to_request(head, await self._reader.body())
        except channels.ChannelClosed as error:
            if self.idle:
                raise
            raise request_reader.RequestRefused(
                _REQUEST_TIMEOUT, request_reader.Reason.INCOMPLETE
            ) from error
        except asyncio.CancelledError:
            if not self.idle:
                self._server.record_refused(
                    _UNAVAILABLE,
                    request_reader.Reason.STOPPED,
                    self._reader.target,
                )
                self.channel.write_last(_bare_answer(_UNAVAILABLE))
            raise

    async def _call(
        self, handler: Handler, request: Request, responder: Responder
    ) -> bool:
        """Calls the handler; returns whether it answered without an error."""
        error: BaseException | None = None
        try:
            await handler(request, responder)
        except channels.ChannelClosed:
            raise
        except Exception as raised:
            error = raised
        except asyncio.CancelledError as raised:
            if _is_cancelled():
                raise
            # The handler waited for a task that another one cancelled.
            error = raised
        if error is None and responder.ended:
            return True
        left = responder.aborted or self.channel.ended
        if error is not None or not left:
            self._server.record_unanswered(request.target, responder, error)
        return False

    def _close(self) -> None:
        """Closes the connection; a request without an answer gets status 500.

        An answer that has begun and is incomplete is broken off.
        """
        responder = self._responder
        if responder is None or responder.ended:
            self.channel.close()
        elif responder.aborted:
            pass
        elif responder.begun:
            self.break_off()
        else:
            self.channel.write_last(_bare_answer(_INTERNAL_ERROR))

    async def _refuse(self, refused: request_reader.RequestRefused) -> None:
        """Answers an invalid request with a status; reads what follows it."""
        self._server.record_refused(
            refused.status, refused.reason, self._reader.target
        )
        try:
            await self.write(_bare_answer(refused.status))
            async with asyncio.timeout(_LINGER_S):
                while True:
                    await self.channel.read()
        except (channels.ChannelClosed, TimeoutError):
            pass


def _bare_answer(status: int) -> bytes:
    """Returns an answer without a body that announces the close."""
    lines = [f"HTTP/1.1 {status} ", "content-length: 0", "connection: close"]
    if status == _UNAVAILABLE:
        lines.append("retry-after: 1")
    return "\r\n".join([*lines, "", ""]).encode()


def _is_cancelled() -> bool:
    """Returns whether the current task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _to_request(head: h11.Request, body: bytes) -> Request:
    host = b""
    for name, value in head.headers:
        if name == b"host":
            host = value
    return Request(
        method=head.method.decode("ascii"),
        target=head.target.decode("ascii"),
        host=host.decode("ascii", "replace").partition(":")[0].lower(),
        headers=tuple(head.headers.raw_items()),
        body=body,
        arrived_at=asyncio.get_running_loop().time(),
    )
