"""TCP in memory and in virtual time: the real endpoints over fake sockets.

`MemoryLoop` answers `create_server` and `create_connection` with transports
that hand bytes to each other after a delay. Everything above the socket is the
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

# The host that the running code stands for; tasks inherit it.
CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar(
    "host", default=""
)


class _Transport(asyncio.Transport):
    """One side of a connection in memory."""

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
        """Delivers bytes to the other side after the network's delay."""
        if not self._closing:
            self._schedule(_Delivery(bytes(data)))

    def close(self) -> None:
        """Ends both sides after what was written has arrived."""
        self._close_both_sides()

    def abort(self) -> None:
        """Ends both sides."""
        self._close_both_sides()

    def is_closing(self) -> bool:
        """Returns whether this side has ended."""
        return self._closing

    def get_extra_info(self, name, default=None):
        """Returns nothing: there is no socket."""
        return default

    def receive(self, data: bytes) -> None:
        """Takes bytes from the other side."""
        if not self._closing:
            self.protocol.data_received(data)  # type: ignore[union-attr]

    def finish(self) -> None:
        """Tells the protocol, once, that the connection ended."""
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
        # Bytes of one connection never overtake each other; the loop does not
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
        # TCP sends again what a partition swallowed: bytes come late and in
        # order, or the connection is given up, but none is ever left out.
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
    """Delivers bytes."""

    data: bytes

    def __call__(self, peer: _Transport) -> None:
        peer.receive(self.data)


class _Server:
    """What `create_server` returns: enough for an endpoint."""

    def __init__(self, loop: "MemoryLoop", port: int):
        self._loop = loop
        self._port = port
        self.sockets = [_Socket(port)]

    def close(self) -> None:
        """Stops accepting."""
        self._loop.listeners.pop(self._port, None)


class _Socket:
    def __init__(self, port: int):
        self._port = port

    def getsockname(self) -> tuple[str, int]:
        """Returns the address that the server listens on."""
        return "127.0.0.1", self._port


class MemoryLoop(clock_lib.VirtualTimeLoop):
    """A virtual-time loop whose connections stay in memory."""

    def __init__(self, clock: clock_lib.VirtualClock, delay: Delay):
        """Starts without listeners.

        Args:
          clock: The clock to advance.
          delay: Returns the seconds one way between two named hosts.
        """
        super().__init__(clock)
        self._delay = delay
        self._heal_callbacks: list[Callable[[], None]] = []
        self._cut: set[frozenset[str]] = set()
        self._ports = itertools.count(1)
        self._contexts: dict[int, contextvars.Context] = {}
        self.listeners: dict[int, Callable[[], asyncio.BaseProtocol]] = {}

    def delay(self, host: str, other_host: str) -> float:
        """Returns the seconds one way between two hosts."""
        return self._delay(host, other_host)

    def is_partitioned(self, host: str, other_host: str) -> bool:
        """Returns whether two hosts cannot reach each other."""
        return bool(self._cut) and frozenset((host, other_host)) in self._cut

    def set_partitioned(
        self, host: str, other_host: str, on: bool = True
    ) -> None:
        """Cuts two hosts off from each other, or joins them again."""
        pair = frozenset((host, other_host))
        if on:
            self._cut.add(pair)
            return
        self._cut.discard(pair)
        self._run_heal_callbacks()

    def heal(self) -> None:
        """Joins all hosts again."""
        self._cut.clear()
        self._run_heal_callbacks()

    def on_heal(self, release: Callable[[], None]) -> None:
        """Calls back when hosts are joined again."""
        self._heal_callbacks.append(release)

    def _run_heal_callbacks(self) -> None:
        callbacks, self._heal_callbacks = self._heal_callbacks, []
        for release in callbacks:
            release()

    async def create_server(  # type: ignore[override]
        self, protocol_factory, host=None, port=None, **kwargs
    ):
        """Listens in memory."""
        port = port or next(self._ports)
        self.listeners[port] = protocol_factory
        self._contexts[port] = contextvars.copy_context()
        return _Server(self, port)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory, host=None, port=None, **kwargs
    ):
        """Connects in memory.

        Raises:
          ConnectionRefusedError: Nobody listens on the port.
        """
        local_host = CURRENT_HOST.get()
        context = self._contexts.get(port, contextvars.Context())
        remote_host = context.get(CURRENT_HOST, "")
        await asyncio.sleep(self.delay(local_host, remote_host))
        if self.is_partitioned(local_host, remote_host):
            # Nobody refuses and nobody answers; the endpoint's timeout ends it.
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
