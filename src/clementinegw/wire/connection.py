"""Connections of a process to its peers, each shared by many calls.

An `Endpoint` listens and connects. Users register one handler for each kind of
frame that opens a call, and one for each kind of notice, a frame outside of any
call.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import ssl
from typing import Any

from clementinegw import exceptions
from clementinegw import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import errors
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
MAX_FRAME_BYTES = _link.MAX_FRAME_BYTES

CallHandler = Callable[[Connection, Exchange, Frame], Awaitable[None]]
NoticeHandler = Callable[[Connection, bytes], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """The timeouts of an endpoint, in seconds.

    Attributes:
      connect_timeout_s: For opening a connection, with its handshake.
      ping_after_s: Silence after which the peer is sent a PING.
      idle_timeout_s: Silence after which the connection is aborted.
    """

    connect_timeout_s: float = 2.0
    ping_after_s: float = 2.0
    idle_timeout_s: float = 6.0


class Endpoint:
    """The listening socket and all connections of one process."""

    def __init__(
        self,
        identity: Identity,
        keys: auth.KeyRing,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
        timing: Timing | None = None,
        tls: tuple[ssl.SSLContext, ssl.SSLContext] | None = None,
    ):
        """Initializes an endpoint that does not listen yet.

        Args:
          identity: The identity of this process.
          keys: The deployment's keys.
          log: Receives the events.
          counters: Counts refusals and errors.
          timing: The timeouts.
          tls: The TLS contexts for listening and for connecting; None for
            plain TCP in a trusted network.
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
        """The identity of this process."""
        return self._identity

    def set_keys(self, keys: auth.KeyRing) -> None:
        """Sets the keys for all further handshakes."""
        self._handshaker.keys = keys

    def on_call(self, kind: Kind, handler: CallHandler) -> None:
        """Registers the handler of calls that this kind of frame opens."""
        self._call_handlers[kind] = handler

    def on_notice(self, kind: Kind, handler: NoticeHandler) -> None:
        """Registers the handler of notices of this kind."""
        self._notice_handlers[kind] = handler

    def on_connected(self, handler: Callable[[Connection], None]) -> None:
        """Registers a handler that is called with each new connection."""
        self._connected_handlers.append(handler)

    def on_disconnected(self, handler: Callable[[Connection], None]) -> None:
        """Registers a handler that is called with each ended connection."""
        self._disconnected_handlers.append(handler)

    def connections(self) -> list[Connection]:
        """Returns all established connections."""
        return [c for c in self._links.values() if c is not None]

    async def listen(self, address: types.Address) -> types.Address:
        """Starts to accept connections.

        Args:
          address: The address to bind; with port 0 the kernel chooses a port.

        Returns:
          The address with the bound port.
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
        """Stops accepting connections; established ones stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def connect(self, address: types.Address) -> Connection:
        """Returns the open connection to a peer, or opens one.

        Raises:
          exceptions.ConnectionLost: The peer could not be reached in time or
            failed to prove that it holds the deployment's key.
        """
        if self._closing:
            raise exceptions.ConnectionLost("the endpoint is closing")
        task = self._connect_tasks.get(address)
        if task is None or _is_unusable(task):
            task = asyncio.ensure_future(self._connect(address))
            # Several callers may wait for the task, or none once it fails.
            task.add_done_callback(_consume_exception)
            self._connect_tasks[address] = task
        return await asyncio.shield(task)

    async def close(self, grace_s: float = 0.0) -> None:
        """Stops accepting, waits for open calls and closes all connections.

        Args:
          grace_s: How long to wait for handlers of open calls, in seconds.
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
        # Otherwise a port scanner or a stalled peer that never completes the
        # handshake would keep a file descriptor forever.
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
            self._run_callback("connected", handler, connection)
        return connection

    def _on_notice_frame(
        self, connection: Connection, kind: Kind, body: bytes
    ) -> None:
        if kind is Kind.PING:
            connection.notify(Kind.PONG)
            return
        if kind is Kind.PONG:
            # The link has already recorded when it was received.
            return
        handler = self._notice_handlers.get(kind)
        if handler is None:
            self._count_dropped(kind)
            return
        self._run_callback(kind.name, handler, connection, body)

    def _run_callback(
        self, name: str, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Calls a registered handler, whose errors must not end other work.

        An error raised into a transport's callback would end the connection
        and with it all calls that it carries.
        """
        try:
            callback(*arguments)
        except exceptions.DecodeError:
            self._counters.add("wire.malformed")
            self._log.write(events.FRAME_MALFORMED)
        except Exception as error:
            self._counters.add("wire.handler_failed")
            self._log.write(
                events.TASK_FAILED,
                task=name,
                **errors.describe(error),
            )

    def _on_call_frame(
        self, connection: Connection, call: int, frame: Frame
    ) -> None:
        exchange = connection.find(call)
        if exchange is not None:
            exchange.deliver(frame)
            return
        handler = self._call_handlers.get(frame.kind)
        if connection.is_local_call(call) or handler is None:
            # The call is closed on this side, and the frame is a late answer
            # or crossed a cancel. If it opened a call, another caller could
            # receive an answer to a request that is not its own.
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
            # A defect in one call must not end the process and its other calls.
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
            self._run_callback("disconnected", handler, connection)

    def _start_pings(self) -> None:
        if self._ping_task is None:
            self._ping_task = asyncio.ensure_future(self._ping_idle())

    async def _ping_idle(self) -> None:
        """Sends PINGs on idle connections and aborts those without response.

        TCP alone detects a cut cable or a frozen peer only after many minutes,
        and calls on such a connection would hang until their own deadlines.
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
    """Opens a call, sends one frame and returns the first answer.

    Args:
      connection: The connection to use.
      kind: The kind of the frame.
      body: The body of the frame.
      timeout: How long to wait for the answer, in seconds.

    Raises:
      exceptions.ConnectionLost: The connection broke before the answer.
      TimeoutError: No answer arrived in time.
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
