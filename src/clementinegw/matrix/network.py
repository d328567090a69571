"""A network in memory under the real connections and datagrams.

The loop's `create_connection`, `create_server` and `create_datagram_endpoint`
lead here, so that `wire.connection` and `membership.service` run unchanged.
Each write is one frame, and the world may drop, hold or repeat it.
"""

import asyncio
from collections.abc import Callable
import contextvars
import dataclasses
from typing import Any

from clementinegw.matrix import hosts
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.frame import ttypes

_PREFIX_BYTES = 4
LATENCY_S = 0.001
_APART_S = 1e-7

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Passage:
    """A frame on its way.

    Attributes:
      kind: What it is.
      source: The sending host.
      target: The receiving host.
    """

    kind: ttypes.Kind
    source: hosts.Host
    target: hosts.Host


@dataclasses.dataclass(slots=True)
class Treatment:
    """What happens to a frame.

    Attributes:
      drop: It never arrives.
      copies: How often it arrives.
      delay_s: How much later than usual; later frames overtake it.
      crossed: It arrives in another call of the same connection.
    """

    drop: bool = False
    copies: int = 1
    delay_s: float = 0.0
    crossed: bool = False


class Transport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(
        self,
        network: "Network",
        host: hosts.Host,
        protocol: Any,
        context: contextvars.Context,
    ):
        super().__init__()
        self.host = host
        self.protocol = protocol
        self.context = context
        self.peer: Transport | None = None
        self.stalled = False
        self.arrives_at = 0.0
        self.calls: list[int] = []
        self._held: list[bytes] = []
        self._network = network
        self._closed = False

    def write(self, data) -> None:
        """Sends one frame."""
        if self._closed or self.peer is None:
            return
        if self.stalled:
            self._held.append(bytes(data))
            return
        self._network.carry(self, self.peer, bytes(data))

    def flow(self) -> None:
        """Ends a stall: what was held arrives now."""
        self.stalled = False
        held, self._held = self._held, []
        for data in held:
            self.write(data)

    def close(self) -> None:
        """Ends the connection after what was written has arrived."""
        self.abort()

    def abort(self) -> None:
        """Ends the connection; the peer notices after the latency."""
        if self._closed:
            return
        self._network.part(self)

    def is_closing(self) -> bool:
        """Whether it has ended."""
        return self._closed

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Nothing is known besides."""
        return default

    def lose(self) -> None:
        """Tells this end's code that the connection is over."""
        if self._closed:
            return
        self._closed = True
        loop = self._network.loop
        loop.call_soon(
            self.protocol.connection_lost, None, context=self.context
        )

    def deliver(self, data: bytes) -> None:
        """Hands arrived bytes to this end's code."""
        if not self._closed:
            self.protocol.data_received(data)


class Datagrams(asyncio.DatagramTransport):
    """A datagram socket in memory."""

    def __init__(self, network: "Network", address: Address, protocol: Any):
        super().__init__()
        self.address = address
        self.protocol = protocol
        self.host = hosts.current()
        self.context = contextvars.copy_context()
        self._network = network

    def sendto(self, data, addr=None) -> None:
        """Sends one datagram."""
        self._network.carry_datagram(self, addr, bytes(data))

    def close(self) -> None:
        """Stops receiving."""
        self._network.datagrams.pop(self.address, None)

    def abort(self) -> None:
        """Stops receiving."""
        self.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns the address as `sockname`."""
        return self.address if name == "sockname" else default


class _Socket:
    def __init__(self, address: Address):
        self._address = address

    def getsockname(self) -> Address:
        return self._address


class _Server:
    """What `create_server` returns."""

    def __init__(self, network: "Network", address: Address):
        self.sockets = [_Socket(address)]
        self._network = network
        self._address = address

    def close(self) -> None:
        """Stops accepting."""
        self._network.servers.pop(self._address, None)

    async def wait_closed(self) -> None:
        """Returns at once."""


class Network:
    """Connects hosts; knows which are cut off from each other."""

    def __init__(self, loop: hosts.HostLoop):
        """Starts whole, without any host listening."""
        self.loop = loop
        self.servers: dict[Address, tuple[Any, hosts.Host, Any]] = {}
        self.datagrams: dict[Address, Datagrams] = {}
        self.transports: list[Transport] = []
        self.on_send: Callable[[Passage], Treatment | None] = _unchanged
        self.on_arrival: Callable[[Passage], Treatment | None] = _unchanged
        self._cuts: set[frozenset[str]] = set()
        self._next_port = 10_000

    def cut(self, one: str, other: str) -> None:
        """Separates two failure domains; nothing is closed."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends all partitions. What was sent meanwhile is lost."""
        self._cuts.clear()

    def reachable(self, one: hosts.Host, other: hosts.Host) -> bool:
        """Whether two hosts can talk."""
        pair = (one.place.failure_domain, other.place.failure_domain)
        return frozenset(pair) not in self._cuts

    def of(self, host: hosts.Host) -> list[Transport]:
        """Returns a host's ends of its connections."""
        return [t for t in self.transports if t.host is host]

    def kill(self, host: hosts.Host) -> None:
        """Ends a host as a crash does: its peers see connections break."""
        for transport in self.of(host):
            transport.abort()
        self.servers = {
            address: server
            for address, server in self.servers.items()
            if server[1] is not host
        }
        self.datagrams = {
            address: datagrams
            for address, datagrams in self.datagrams.items()
            if datagrams.host is not host
        }
        self.loop.kill(host)

    def listen(self, factory, address: Address) -> _Server:
        """Accepts connections for the host whose code runs."""
        host = hosts.current()
        assert host is not None
        if address[1] == 0:
            address = (address[0], self._port())
        self.servers[address] = (factory, host, contextvars.copy_context())
        return _Server(self, address)

    async def connect(self, factory, address: Address):
        """Connects the host whose code runs to a listening one."""
        host = hosts.current()
        assert host is not None
        await asyncio.sleep(LATENCY_S)
        server = self.servers.get(address)
        if server is None:
            raise ConnectionRefusedError(f"{address}: nobody listens")
        accept, other, other_context = server
        if not self.reachable(host, other):
            await asyncio.sleep(3600)
        context = contextvars.copy_context()
        here = Transport(self, host, factory(), context)
        there = Transport(self, other, None, other_context)
        here.peer, there.peer = there, here
        self.transports += (here, there)
        self.loop.call_soon(_accept, there, accept, context=other_context)
        here.protocol.connection_made(here)
        return here, here.protocol

    def bind(self, factory, address: Address):
        """Opens a datagram socket for the host whose code runs."""
        if address[1] == 0:
            address = (address[0], self._port())
        protocol = factory()
        datagrams = Datagrams(self, address, protocol)
        self.datagrams[address] = datagrams
        protocol.connection_made(datagrams)
        return datagrams, protocol

    def carry(self, source: Transport, target: Transport, data: bytes) -> None:
        """Carries a frame, or loses it in a partition."""
        frame = codec.decode(ttypes.Frame, data[_PREFIX_BYTES:])
        source.calls.append(frame.call)
        passage = Passage(frame.kind, source.host, target.host)
        treatment = self.on_send(passage) or Treatment()
        if treatment.drop or not self.reachable(source.host, target.host):
            return
        if treatment.crossed:
            data = _crossed(frame, target.calls)
        for _ in range(treatment.copies):
            self.loop.call_at(
                self._arrival(target, treatment.delay_s),
                self._arrive,
                passage,
                target,
                data,
                context=target.context,
            )

    def carry_datagram(
        self, source: Datagrams, address: Address, data: bytes
    ) -> None:
        """Carries a datagram, or loses it."""
        target = self.datagrams.get((address[0], address[1]))
        if target is None or source.host is None or target.host is None:
            return
        if not self.reachable(source.host, target.host):
            return
        self.loop.call_later(
            LATENCY_S,
            target.protocol.datagram_received,
            data,
            source.address,
            context=target.context,
        )

    def part(self, transport: Transport) -> None:
        """Ends a connection; a peer behind a partition does not notice."""
        peer = transport.peer
        transport.lose()
        if peer is None or not self.reachable(transport.host, peer.host):
            return
        self.loop.call_at(
            self._arrival(peer, 0.0), peer.lose, context=peer.context
        )

    def _arrival(self, target: Transport, delay_s: float) -> float:
        at = self.loop.time() + LATENCY_S
        if delay_s:
            return at + delay_s
        # Timers of equal times run in any order, but a connection keeps it.
        at = max(at, target.arrives_at + _APART_S)
        target.arrives_at = at
        return at

    def _arrive(self, passage: Passage, target: Transport, data: bytes) -> None:
        treatment = self.on_arrival(passage)
        if passage.target.dead or (treatment is not None and treatment.drop):
            return
        target.deliver(data)

    def _port(self) -> int:
        self._next_port += 1
        return self._next_port


class NetworkLoop(hosts.HostLoop):
    """A loop whose connections run over a `Network`."""

    def __init__(self, clock: clocks.VirtualClock):
        super().__init__(clock)
        self.network = Network(self)

    async def create_server(  # type: ignore
        self, factory, host=None, port=None, **options
    ):
        """Listens in the memory network."""
        return self.network.listen(factory, (host, port))

    async def create_connection(  # type: ignore
        self, factory, host=None, port=None, **options
    ):
        """Connects in the memory network."""
        return await self.network.connect(factory, (host, port))

    async def create_datagram_endpoint(  # type: ignore
        self, factory, local_addr=None, **options
    ):
        """Opens a datagram socket in the memory network."""
        return self.network.bind(factory, local_addr)


def _accept(transport: Transport, factory) -> None:
    transport.protocol = factory()
    transport.protocol.connection_made(transport)


def _crossed(frame: ttypes.Frame, calls: list[int]) -> bytes:
    """Returns the frame in the last call but its own that was opened."""
    others = [call for call in calls if call not in (0, frame.call)]
    frame.call = others[-1] if others else frame.call
    body = codec.encode(frame)
    return len(body).to_bytes(_PREFIX_BYTES, "big") + body


def _unchanged(passage: Passage) -> Treatment | None:
    return None
