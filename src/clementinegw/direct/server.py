"""Callers' HTTP: whole requests in, answers and streams out.

A connection serves one request after the other. Bytes that break HTTP end the
connection with a clear answer and touch no other one.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses

import h11

from clementinegw import types
from clementinegw.direct import channel as channels
from clementinegw.direct import client
from clementinegw.direct import request_reader
from clementinegw.direct import types as direct_types

# How long a caller may go without taking any byte of its answer, in seconds.
_WRITE_TIMEOUT_S = 10.0
# The bodies of all requests at once, in bytes: a share of the memory that a
# small instance has for this process.
_MAX_BODIES_BYTES = 48 << 20
# After a refused body the rest is read and thrown away for so long, so that
# the caller reads the answer before the connection breaks. Seconds.
_LINGER_S = 0.3
_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
      method: Such as GET.
      target: Path and query as they came.
      host: The host it names, in lower case, without a port.
      headers: As they came, with their letter case.
      body: The whole body.
      arrived_at: When its head had come, in monotonic seconds.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class Responder:
    """Answers one request."""

    def __init__(self, session: "_Session"):
        self._session = session
        self.begun = False
        self.ended = False

    @property
    def disconnected(self) -> asyncio.Future:
        """Done once the caller has closed its connection."""
        return self._session.channel.disconnected

    async def answer(
        self,
        status: int,
        headers: client.Headers,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Sends a whole answer.

        Raises:
          channels.ChannelClosed: The caller has left.
        """
        sized = client.without_headers(headers, _FRAMING_HEADERS)
        sized.append((b"content-length", str(len(body)).encode()))
        await self._begin(status, sized, close)
        if body:
            await self._session.send(h11.Data(data=body))
        await self.end()

    async def begin(self, status: int, headers: client.Headers) -> None:
        """Sends the head of an answer whose body follows in parts.

        Raises:
          channels.ChannelClosed: The caller has left.
        """
        await self._begin(
            status, client.without_headers(headers, _FRAMING_HEADERS), False
        )

    async def send(self, data: bytes) -> None:
        """Sends a part of the body.

        Raises:
          channels.ChannelClosed: The caller has left, or takes nothing.
        """
        await self._session.send(h11.Data(data=data))

    async def end(self) -> None:
        """Ends the answer as whole."""
        await self._session.send(h11.EndOfMessage())
        self.ended = True

    def abort(self) -> None:
        """Breaks the connection, so that no part is taken for the whole."""
        self._session.channel.abort()

    async def _begin(
        self, status: int, headers: client.Headers, close: bool
    ) -> None:
        self.begun = True
        if close or self._session.closing:
            headers = [*headers, (b"connection", b"close")]
        await self._session.send(
            h11.Response(status_code=status, headers=headers)
        )


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
    """Listens for callers."""

    def __init__(self, handler: Handler):
        """Does nothing before `listen`.

        Args:
          handler: Answers each request; what it leaves without a whole answer
            ends as a broken connection.
        """
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._sessions: dict[_Session, asyncio.Task] = {}
        self._body_bytes = 0
        self._request_ended = asyncio.Event()
        self.limits = direct_types.Limits()
        self.closing = False
        self.requests = 0

    @property
    def open_requests(self) -> int:
        """Requests that are not answered yet."""
        return sum(session.busy for session in self._sessions)

    async def listen(self, address: types.Address) -> None:
        """Takes connections from now on."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerChannel(self._start_session),
            address.host,
            address.port,
            backlog=512,
        )

    async def wait_idle(self) -> None:
        """Returns once no request is waiting for its answer."""
        while self.open_requests:
            self._request_ended.clear()
            await self._request_ended.wait()

    def announce_close(self) -> None:
        """Answers from now on carry the wish to close."""
        self.closing = True

    def close_idle(self) -> None:
        """Takes no connection any more and closes those without a request."""
        if self._server is not None:
            self._server.close()
        for session in self._sessions:
            if session.idle:
                session.channel.close()

    async def stop(self) -> None:
        """Ends every connection."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._sessions.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_request_ended(self) -> None:
        """Notes that a request has its answer, or its caller has left."""
        self._request_ended.set()

    def reserve(self, count: int) -> bool:
        """Counts bytes of bodies; False when all bodies are too many."""
        if self._body_bytes + count > _MAX_BODIES_BYTES:
            return False
        self._body_bytes += count
        return True

    def release(self, count: int) -> None:
        """Gives counted bytes back."""
        self._body_bytes -= count

    def _start_session(self, channel: channels.Channel) -> None:
        session = _Session(self, channel)
        task = asyncio.ensure_future(session.run(self._handler))
        self._sessions[session] = task
        task.add_done_callback(lambda _: self._sessions.pop(session, None))


class _ServerChannel(channels.Channel):
    """A channel that tells of itself once it is up."""

    def __init__(self, on_open: Callable[[channels.Channel], None]):
        super().__init__()
        self._on_open = on_open

    def connection_made(self, transport) -> None:
        """Starts to serve it."""
        super().connection_made(transport)
        self._on_open(self)


class _Session:
    """One caller's connection."""

    def __init__(self, server: Server, channel: channels.Channel):
        self._server = server
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._reader = request_reader.RequestReader(
            channel, self._http, server, self.send
        )
        self.channel = channel
        self.busy = False
        self.idle = True

    @property
    def closing(self) -> bool:
        """Whether this is the last answer on the connection."""
        return self._server.closing

    async def run(self, handler: Handler) -> None:
        """Serves requests until either side ends the connection."""
        try:
            while await self._serve_one(handler):
                pass
            self.channel.close()
        except channels.ChannelClosed:
            self.channel.abort()
        except request_reader.RequestRefused as refused:
            await self._refuse(refused.status)
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint or _BAD_REQUEST)
        except asyncio.CancelledError:
            self.channel.abort()
            raise
        except BaseException:
            # A defect in one request must not leave its caller waiting.
            self.channel.abort()
            raise
        finally:
            self._reader.release_body()

    async def send(self, event: h11.Event) -> None:
        """Sends one event of the answer."""
        data = self._http.send(event)
        if not data:
            return
        try:
            async with asyncio.timeout(_WRITE_TIMEOUT_S):
                await self.channel.write(data)
        except TimeoutError as error:
            self.channel.abort()
            raise channels.ChannelClosed(clean=False) from error

    async def _serve_one(self, handler: Handler) -> bool:
        limits = self._server.limits
        self.idle = True
        head = await self._reader.head(limits)
        self.idle = False
        if head is None:
            return False
        body = await self._reader.body(limits)
        request = _to_request(head, body)
        responder = Responder(self)
        self.busy = True
        self._server.requests += 1
        try:
            await handler(request, responder)
        finally:
            self.busy = False
            self._server.on_request_ended()
        self._reader.release_body()
        if not responder.ended:
            self.channel.abort()
            return False
        if (self._http.our_state, self._http.their_state) != (
            h11.DONE,
            h11.DONE,
        ):
            return False
        self._http.start_next_cycle()
        return not self.closing

    async def _refuse(self, status: int) -> None:
        """Answers what is no proper request and ends the connection."""
        headers: client.Headers = [
            (b"content-length", b"0"),
            (b"connection", b"close"),
        ]
        if status == _UNAVAILABLE:
            headers.append((b"retry-after", b"1"))
        try:
            if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self.send(
                    h11.Response(status_code=status, headers=headers)
                )
                await self.send(h11.EndOfMessage())
                async with asyncio.timeout(_LINGER_S):
                    while True:
                        await self.channel.read()
        except (channels.ChannelClosed, TimeoutError, h11.ProtocolError):
            pass
        self.channel.close()


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
