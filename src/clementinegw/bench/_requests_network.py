"""In-memory TCP connections in virtual time.

`MemoryLoop` implements `create_server` and `create_connection` with transports
that deliver bytes to each other after a delay. All code above the socket is the
code that runs in production.
"""

import asyncio
from collections.abc import Callable
import contextvars
import dataclasses
import itertools

from clementinegw.testing import clock as clock_lib

_MIN_SPACING_S = 1e-9
_HANG_S = 86_400.0
Delay = Callable[[str, str], float]

# Name of the host that the current code simulates; tasks inherit it.
CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar(
    "host", default=""
)


class _Transport(asyncio.Transport):
    """One side of an in-memory connection."""

    def __init__(
        self,
        loop: "MemoryLoop",
        name: str,
        peer_name: str,
        context: contextvars.Context,
    ):
        super().__init__()
        self._loop = loop
        self._name = name
        self._peer_name = peer_name
        self._closing = False
        self._last_arrival = 0.0
        self._context = context
        self._held: list[tuple[Callable[[_Transport], None], _Transport]] = []
        self.protocol: asyncio.BaseProtocol | None = None
        self.peer: _Transport | None = None

    def write(self, data) -> None:
        """Delivers bytes to the other side after the delay of the network."""
        if not self._closing:
            self._schedule(_Delivery(bytes(data)))

    def close(self) -> None:
        """Closes both sides after all written bytes were delivered."""
        self._close_both_sides()

    def abort(self) -> None:
        """Closes both sides, like `close`."""
        self._close_both_sides()

    def is_closing(self) -> bool:
        """Returns whether this side is closed."""
        return self._closing

    def get_extra_info(self, name, default=None):
        """Returns the default, since there is no socket."""
        return default

    def receive(self, data: bytes) -> None:
        """Passes bytes from the other side to the protocol."""
        if not self._closing:
            self.protocol.data_received(data)  # type: ignore[union-attr]

    def finish(self) -> None:
        """Notifies the protocol once that the connection is closed."""
        if not self._closing:
            self._closing = True
            self._loop.call_soon(
                self.protocol.connection_lost,  # type: ignore[union-attr]
                None,
                context=self._context,
            )

    def _close_both_sides(self) -> None:
        if self._closing:
            return
        self._schedule(lambda peer: peer.finish())
        self.finish()

    def _schedule(self, deliver: Callable[["_Transport"], None]) -> None:
        delay = self._loop.delay(self._name, self._peer_name)
        # Keeps the bytes of a connection in order, because the loop does not
        # keep the order of timers that end at the same time.
        at = max(self._loop.time() + delay, self._last_arrival + _MIN_SPACING_S)
        self._last_arrival = at
        peer = self.peer
        assert peer is not None
        self._loop.call_at(
            at, self._deliver_or_hold, deliver, peer, context=peer._context
        )

    def _deliver_or_hold(
        self,
        deliver: Callable[["_Transport"], None],
        peer: "_Transport",
    ) -> None:
        if not self._held and not self._loop.is_partitioned(
            self._name, self._peer_name
        ):
            deliver(peer)
            return
        # TCP retransmits bytes lost in a partition. They arrive late and in
        # order, or the connection is closed, but no bytes are skipped.
        if not self._held:
            self._loop.on_heal(self._release)
        self._held.append((deliver, peer))

    def _release(self) -> None:
        if self._loop.is_partitioned(self._name, self._peer_name):
            self._loop.on_heal(self._release)
            return
        held, self._held = self._held, []
        for deliver, peer in held:
            peer._context.copy().run(deliver, peer)


@dataclasses.dataclass(frozen=True, slots=True)
class _Delivery:
    """Passes bytes to the receiving transport."""

    data: bytes

    def __call__(self, peer: _Transport) -> None:
        peer.receive(self.data)


class _Server:
    """The subset of `asyncio.Server` that an endpoint uses."""

    def __init__(self, loop: "MemoryLoop", port: int):
        self._loop = loop
        self._port = port
        self.sockets = [_Socket(port)]

    def close(self) -> None:
        """Stops accepting connections."""
        self._loop.listeners.pop(self._port, None)


class _Socket:
    def __init__(self, port: int):
        self._port = port

    def getsockname(self) -> tuple[str, int]:
        """Returns the host and port of the server."""
        return "127.0.0.1", self._port


class MemoryLoop(clock_lib.VirtualTimeLoop):
    """An event loop in virtual time whose connections stay in memory."""

    def __init__(self, clock: clock_lib.VirtualClock, delay: Delay):
        """Creates a loop without listeners.

        Args:
          clock: The clock to advance.
          delay: Returns the one-way delay between two hosts, in seconds.
        """
        super().__init__(clock)
        self._delay = delay
        self._heal_callbacks: list[Callable[[], None]] = []
        self._cut: set[frozenset[str]] = set()
        self._ports = itertools.count(1)
        self._contexts: dict[int, contextvars.Context] = {}
        self.listeners: dict[int, Callable[[], asyncio.BaseProtocol]] = {}

    def delay(self, host: str, other_host: str) -> float:
        """Returns the one-way delay between two hosts, in seconds."""
        return self._delay(host, other_host)

    def is_partitioned(self, host: str, other_host: str) -> bool:
        """Returns whether a partition separates two hosts."""
        return bool(self._cut) and frozenset((host, other_host)) in self._cut

    def set_partitioned(
        self, host: str, other_host: str, on: bool = True
    ) -> None:
        """Starts or ends a partition between two hosts."""
        pair = frozenset((host, other_host))
        if on:
            self._cut.add(pair)
            return
        self._cut.discard(pair)
        self._run_heal_callbacks()

    def heal(self) -> None:
        """Ends all partitions."""
        self._cut.clear()
        self._run_heal_callbacks()

    def on_heal(self, release: Callable[[], None]) -> None:
        """Registers a callback for the end of the next partition."""
        self._heal_callbacks.append(release)

    def _run_heal_callbacks(self) -> None:
        callbacks, self._heal_callbacks = self._heal_callbacks, []
        for release in callbacks:
            release()

    async def create_server(  # type: ignore[override]
        self, protocol_factory, host=None, port=None, **kwargs
    ):
        """Starts an in-memory listener."""
        port = port or next(self._ports)
        self.listeners[port] = protocol_factory
        self._contexts[port] = contextvars.copy_context()
        return _Server(self, port)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory, host=None, port=None, **kwargs
    ):
        """Opens an in-memory connection.

        Raises:
          ConnectionRefusedError: The port has no listener.
        """
        local_host = CURRENT_HOST.get()
        context = self._contexts.get(port, contextvars.Context())
        remote_host = context.get(CURRENT_HOST, "")
        await asyncio.sleep(self.delay(local_host, remote_host))
        if self.is_partitioned(local_host, remote_host):
            # A partition drops packets; the endpoint's timeout ends the call.
            await asyncio.sleep(_HANG_S)
        accept = self.listeners.get(port)
        if accept is None:
            raise ConnectionRefusedError(f"port {port}")
        client_side = _Transport(
            self, local_host, remote_host, contextvars.copy_context()
        )
        server_side = _Transport(self, remote_host, local_host, context)
        client_side.peer, server_side.peer = server_side, client_side
        client_side.protocol = protocol_factory()
        server_side.protocol = context.copy().run(accept)
        context.copy().run(server_side.protocol.connection_made, server_side)
        client_side.protocol.connection_made(client_side)
        return client_side, client_side.protocol
