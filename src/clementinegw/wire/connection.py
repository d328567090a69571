"""The place where a process meets its peers: one connection a pair, many calls.

An `Endpoint` listens and connects. Users register a handler for each kind of
frame that opens a call, and one for each kind that stands alone.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import ssl

from clementinegw import exceptions
from clementinegw import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.wire import _handshaker
from clementinegw.wire import _link
from clementinegw.wire import auth
from clementinegw.wire import exchange as exchange_lib
from clementinegw.wire.gen.frame import ttypes

Identity = _link.Identity
Connection = _link.Connection
Exchange = exchange_lib.Exchange
Frame = exchange_lib.Frame
Kind = ttypes.Kind

CallHandler = Callable[[Connection, Exchange, Frame], Awaitable[None]]
NoticeHandler = Callable[[Connection, bytes], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How long an endpoint waits.

    Attributes:
      connect_timeout_s: For a connection and its handshake, in seconds.
      ping_after_s: Silence after which a peer is asked for a sign of life.
      idle_timeout_s: Silence after which the connection is given up.
    """

    connect_timeout_s: float = 2.0
    ping_after_s: float = 2.0
    idle_timeout_s: float = 6.0


class Endpoint:
    """The listening and the opened connections of one process."""

    def __init__(
        self,
        identity: Identity,
        keys: auth.KeyRing,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
        timing: Timing | None = None,
        tls: tuple[ssl.SSLContext, ssl.SSLContext] | None = None,
    ):
        """Prepares an endpoint that is not listening yet.

        Args:
          identity: Who this process is.
          keys: The deployment's keys.
          log: Where events go.
          counters: Where refusals are counted.
          timing: How long it waits.
          tls: The contexts for listening and for connecting; None for plain
            TCP inside a network that the deployment trusts.
        """
        self._identity = identity
        self._handshaker = _handshaker.Handshaker(identity, keys)
        self._log = log or logs.Log(instance=identity.instance_id)
        self._counters = counters or counters_lib.Counters()
        self._timing = timing or Timing()
        self._tls = tls
        self._call_handlers: dict[Kind, CallHandler] = {}
        self._notice_handlers: dict[Kind, NoticeHandler] = {}
        self._connected_handlers: list[Callable[[Connection], None]] = []
        self._disconnected_handlers: list[Callable[[Connection], None]] = []
        self._server: asyncio.Server | None = None
        self._links: dict[_link.Link, Connection | None] = {}
        self._connect_tasks: dict[types.Address, asyncio.Task[Connection]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._ping_task: asyncio.Task | None = None
        self._closing = False

    @property
    def identity(self) -> Identity:
        """Who this process is."""
        return self._identity

    def set_keys(self, keys: auth.KeyRing) -> None:
        """Uses other keys from the next handshake on."""
        self._handshaker.keys = keys

    def on_call(self, kind: Kind, handler: CallHandler) -> None:
        """Registers what runs when a peer opens a call with this kind."""
        self._call_handlers[kind] = handler

    def on_notice(self, kind: Kind, handler: NoticeHandler) -> None:
        """Registers what takes frames of this kind that stand alone."""
        self._notice_handlers[kind] = handler

    def on_connected(self, handler: Callable[[Connection], None]) -> None:
        """Registers what is told of each new connection."""
        self._connected_handlers.append(handler)

    def on_disconnected(self, handler: Callable[[Connection], None]) -> None:
        """Registers what is told of each connection that ended."""
        self._disconnected_handlers.append(handler)

    def connections(self) -> list[Connection]:
        """Returns the connections that are up."""
        return [c for c in self._links.values() if c is not None]

    async def listen(self, address: types.Address) -> types.Address:
        """Accepts connections.

        Args:
          address: Where; port 0 lets the kernel choose.

        Returns:
          The address with the port that was taken.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_link,
            address.host,
            address.port,
            ssl=self._tls[0] if self._tls else None,
        )
        self._start_pings()
        port = self._server.sockets[0].getsockname()[1]
        return types.Address(address.host, port)

    async def stop_listening(self) -> None:
        """Accepts no more connections; those that are up stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def connect(self, address: types.Address) -> Connection:
        """Returns the kept connection to a peer, opening it when needed.

        Raises:
          exceptions.ConnectionLost: The peer cannot be reached in time or did
            not prove that it holds the deployment's key.
        """
        if self._closing:
            raise exceptions.ConnectionLost("the endpoint is closing")
        task = self._connect_tasks.get(address)
        if task is None or _is_unusable(task):
            task = asyncio.ensure_future(self._connect(address))
            # Several callers may wait for it, or none by the time it fails.
            task.add_done_callback(_consume_exception)
            self._connect_tasks[address] = task
        return await asyncio.shield(task)

    async def close(self, grace_s: float = 0.0) -> None:
        """Stops accepting, waits for open calls, ends all connections.

        Args:
          grace_s: How long open calls may take to finish, in seconds.
        """
        self._closing = True
        if self._server is not None:
            self._server.close()
        if self._tasks and grace_s > 0:
            await asyncio.wait(self._tasks, timeout=grace_s)
        if self._ping_task is not None:
            self._ping_task.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in list(self._links):
            link.close()
        await asyncio.sleep(0)

    def _new_link(self) -> _link.Link:
        link = _link.Link(self._on_frame, self._on_lost)
        self._links[link] = None
        loop = asyncio.get_running_loop()
        # A port scanner or a stalled peer that never finishes the handshake
        # would otherwise keep a descriptor for ever.
        loop.call_later(
            self._timing.connect_timeout_s, self._abort_unless_established, link
        )
        return link

    def _abort_unless_established(self, link: _link.Link) -> None:
        if link in self._links and self._links[link] is None:
            link.abort()

    async def _connect(self, address: types.Address) -> Connection:
        self._start_pings()
        try:
            async with asyncio.timeout(self._timing.connect_timeout_s):
                return await self._connect_once(address)
        except (OSError, TimeoutError) as error:
            self._counters.add("wire.connect_failed")
            raise exceptions.ConnectionLost(
                f"{address}: {error or 'no answer in time'}"
            ) from error

    async def _connect_once(self, address: types.Address) -> Connection:
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(
            self._new_link,
            address.host,
            address.port,
            ssl=self._tls[1] if self._tls else None,
        )
        try:
            return await self._handshaker.open(link)
        except BaseException:
            link.abort()
            raise

    def _on_frame(
        self, link: _link.Link, kind: Kind | None, call: int, body: bytes
    ) -> None:
        if call < 0:
            self._counters.add("wire.malformed")
            self._log.write(events.FRAME_MALFORMED)
            return
        if kind is None:
            self._counters.add("wire.frame_unknown")
            return
        connection = self._links.get(link)
        if connection is None:
            self._on_handshake_frame(link, kind, body)
        elif call == 0:
            self._on_notice_frame(connection, kind, body)
        else:
            self._on_call_frame(
                connection, call, exchange_lib.Frame(kind, body)
            )

    def _on_handshake_frame(
        self, link: _link.Link, kind: Kind, body: bytes
    ) -> None:
        try:
            result = self._handshaker.handle_frame(link, kind, body)
        except exceptions.ClementineError as error:
            self._counters.add("wire.handshake_refused")
            self._log.write(events.CONNECTION_REFUSED, reason=error.message)
            self._handshaker.fail(link, error.message)
            link.abort()
            return
        if result is not None:
            connection = self._establish(link, result.peer, result.is_opener)
            self._handshaker.complete(link, connection)

    def _establish(
        self, link: _link.Link, peer: Identity, is_opener: bool
    ) -> Connection:
        connection = Connection(link, peer, is_opener)
        self._links[link] = connection
        for handler in self._connected_handlers:
            handler(connection)
        return connection

    def _on_notice_frame(
        self, connection: Connection, kind: Kind, body: bytes
    ) -> None:
        if kind is Kind.PING:
            connection.notify(Kind.PONG)
            return
        if kind is Kind.PONG:
            # That it came is all it says; the link has noted the time.
            return
        handler = self._notice_handlers.get(kind)
        if handler is None:
            self._count_dropped(kind)
            return
        try:
            handler(connection, body)
        except exceptions.DecodeError:
            self._counters.add("wire.malformed")
            self._log.write(events.FRAME_MALFORMED)

    def _on_call_frame(
        self, connection: Connection, call: int, frame: Frame
    ) -> None:
        exchange = connection.find(call)
        if exchange is not None:
            exchange.deliver(frame)
            return
        handler = self._call_handlers.get(frame.kind)
        if connection.is_local_call(call) or handler is None:
            # The call was closed here: an answer that came too late, or one
            # that crossed a cancel. Were it taken, it could reach another
            # caller; one would notice it as an answer to a foreign request.
            self._count_dropped(frame.kind)
            return
        if self._closing:
            return
        exchange = connection.accept_call(call)
        task = asyncio.ensure_future(
            self._run_handler(handler, connection, exchange, frame)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_handler(
        self,
        handler: CallHandler,
        connection: Connection,
        exchange: Exchange,
        frame: Frame,
    ) -> None:
        try:
            await handler(connection, exchange, frame)
        except exceptions.ConnectionLost:
            self._counters.add("wire.call_lost")
        except exceptions.DecodeError:
            self._counters.add("wire.malformed")
            self._log.write(events.FRAME_MALFORMED)
            connection.abort()
        except Exception as error:
            # One call's defect must not end the process with the others' calls.
            self._counters.add("wire.call_failed")
            self._log.write(
                events.TASK_FAILED,
                task=frame.kind.name,
                error=f"{type(error).__name__}: {error}",
            )
        finally:
            exchange.close()

    def _count_dropped(self, kind: Kind) -> None:
        self._counters.add("wire.frame_dropped")
        self._log.write(events.FRAME_DROPPED, kind=int(kind))

    def _on_lost(self, link: _link.Link) -> None:
        connection = self._links.pop(link, None)
        self._handshaker.fail(link, "refused in the handshake")
        if connection is None:
            return
        connection.fail_calls()
        for handler in self._disconnected_handlers:
            handler(connection)

    def _start_pings(self) -> None:
        if self._ping_task is None:
            self._ping_task = asyncio.ensure_future(self._ping_idle())

    async def _ping_idle(self) -> None:
        """Gives up connections whose peer or path has stalled unclosed.

        TCP alone reports a cut cable or a frozen peer after many minutes.
        Calls on such a connection would hang until their own deadlines.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._timing.ping_after_s / 2)
            now = loop.time()
            for connection in self.connections():
                silence_s = now - connection.last_received_at
                if silence_s > self._timing.idle_timeout_s:
                    self._counters.add("wire.silent_closed")
                    connection.abort()
                elif silence_s > self._timing.ping_after_s:
                    connection.notify(Kind.PING)


async def call(
    connection: Connection, kind: Kind, body: bytes, timeout: float
) -> Frame:
    """Opens a call, sends one frame and returns the one that answers it.

    Raises:
      exceptions.ConnectionLost: The connection broke first.
      TimeoutError: No answer in `timeout` seconds.
    """
    exchange = connection.open()
    try:
        await exchange.send(kind, body)
        return await exchange.receive(timeout)
    finally:
        exchange.close()


def _is_unusable(task: asyncio.Task[Connection]) -> bool:
    if not task.done():
        return False
    if task.cancelled() or task.exception() is not None:
        return True
    return task.result().closed


def _consume_exception(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
