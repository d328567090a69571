"""One machine of a rollout measurement: agent, link, replica and load."""

import asyncio
import math
import random
from typing import Protocol

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types
from clementinegw.bench import _rollout_replica as replicas
from clementinegw.bench import _rollout_types as types_
from clementinegw.platform import blobs
from clementinegw.testing import links
from clementinegw.weights import manifest as manifests
from clementinegw.weights import pacing as pacing_lib
from clementinegw.weights import store as stores
from clementinegw.wire import auth
from clementinegw.wire import connection as connections

_KEY_RING = auth.single_key_ring(b"a key for measurements only")
# Hundreds of handshakes share one processor during the set-up of a run.
_TIMING = connections.Timing(
    connect_timeout_s=30.0, ping_after_s=20.0, idle_timeout_s=60.0
)
_STORE_VERSIONS = 3
_LINK_BURST_S = 0.01
_PACKETS_PER_PART = 4
_PACING_BURST_PARTS = 6


class ChunkFetcher(Protocol):
    """Fetches chunks for one replica; each policy has its own class."""

    @property
    def complete(self) -> bool:
        """Whether all chunks of the target are in the store."""

    async def start(self) -> None:
        """Starts the connections to peers."""

    async def stop(self) -> None:
        """Cancels every transfer."""

    def set_target(self, manifest: manifests.Manifest) -> None:
        """Replaces the target and fetches its missing chunks."""

    def set_fleet(self, instances: list[types.Instance]) -> None:
        """Replaces the agents that take part."""


class Partition:
    """A network partition between one failure domain and the others.

    Attributes:
      domain: The separated failure domain; empty without a partition.
      domains: Failure domain of each agent's address.
    """

    def __init__(self) -> None:
        self.domain = ""
        self.domains: dict[types.Address, str] = {}

    def separates(self, one: str, other: str) -> bool:
        """Returns whether two failure domains cannot reach each other."""
        return one != other and self.domain in (one, other)


class PartitionedEndpoint(connections.Endpoint):
    """An endpoint that cannot connect across a partition."""

    partition: Partition | None = None

    async def connect(self, address: types.Address) -> connections.Connection:
        """Connects, unless a partition separates the two.

        Raises:
          exceptions.ConnectionLost: A partition separates the two.
        """
        local_domain = self.identity.place.failure_domain
        if self.partition and self.partition.separates(
            local_domain, self.partition.domains[address]
        ):
            raise exceptions.ConnectionLost(
                f"{address}: separated by a partition"
            )
        return await super().connect(address)


class FaultyLink(links.ShapedLink):
    """A shaped link that can stall without closing."""

    def __init__(self, rate: float, shared: bool, clock: clocks.Clock):
        """Starts idle and without a fault."""
        super().__init__(
            rate, shared=shared, clock=clock, burst_s=_LINK_BURST_S
        )
        self._unblocked = asyncio.Event()
        self._unblocked.set()

    def stall(self, stalled: bool) -> None:
        """Blocks all transfers, or unblocks them."""
        if stalled:
            self._unblocked.clear()
        else:
            self._unblocked.set()

    async def send(self, count: int) -> None:
        """Waits until that many bytes have been sent."""
        await super().send(count)
        await self._unblocked.wait()

    async def receive(self, count: int) -> None:
        """Waits until that many bytes have been received."""
        await super().receive(count)
        await self._unblocked.wait()


class MeteredLink:
    """One traffic class on a machine's link, with its own byte counts.

    Transfers are split into packets, so that the traffic classes interleave.

    Attributes:
      sent: Bytes sent.
      received: Bytes received.
    """

    def __init__(self, link: FaultyLink, packet_bytes: int):
        """Starts with byte counts of zero."""
        self._link = link
        self._packet_bytes = packet_bytes
        self.sent = 0
        self.received = 0

    async def send(self, count: int) -> None:
        """Waits until that many bytes have been sent."""
        self.sent += count
        for start in range(0, count, self._packet_bytes):
            await self._link.send(min(self._packet_bytes, count - start))

    async def receive(self, count: int) -> None:
        """Waits until that many bytes have been received."""
        self.received += count
        for start in range(0, count, self._packet_bytes):
            await self._link.receive(min(self._packet_bytes, count - start))


class FaultyStore(stores.MemoryStore):
    """A chunk store that can return corrupt chunks."""

    corrupting = False

    async def get(self, chunk_digest: bytes) -> bytes | None:
        """Returns a chunk, with one bit flipped while `corrupting` is set."""
        data = await super().get(chunk_digest)
        if data is None or not self.corrupting:
            return data
        return bytes((data[0] ^ 1,)) + data[1:]


class Node:
    """One machine: its endpoint, link, chunk store and replica."""

    def __init__(
        self,
        plan: types_.Plan,
        number: int,
        partition: Partition,
        clock: clocks.Clock,
    ):
        """Builds the components without listening."""
        domain = f"d{number % plan.domains}"
        self._plan = plan
        self.clock = clock
        self.number = number
        self.place = types.Place("r", domain)
        self.name = f"a{number:03}"
        self.rng = random.Random(f"{plan.seed}-{self.name}")
        self.link = FaultyLink(plan.link_rate, plan.shared, clock)
        packet_bytes = math.ceil(
            plan.chunk_bytes / plan.parts / _PACKETS_PER_PART
        )
        self.chunk_link = MeteredLink(self.link, packet_bytes)
        self.live_link = MeteredLink(self.link, packet_bytes)
        self.pacing = pacing_lib.Pacing(
            plan.link_rate * (1 - plan.headroom),
            clock,
            plan.shared,
            burst=_PACING_BURST_PARTS * plan.chunk_bytes / plan.parts,
        )
        self.store = FaultyStore(_STORE_VERSIONS * plan.total_bytes)
        self.endpoint = PartitionedEndpoint(
            connections.Identity(self.name, types.Role.AGENT, self.place),
            _KEY_RING,
            timing=_TIMING,
        )
        self.endpoint.partition = partition
        self.body_bytes = self._body_bytes()
        self.replica = replicas.Replica(
            self.live_link, self.pacing, self.body_bytes, self.rng
        )
        self.alive = True
        self.imported_bytes = 0
        self.loading_digest = ""
        self.serving_digest = ""
        self.served_at: dict[str, float] = {}
        self.fetcher: ChunkFetcher | None = None
        self.instance: types.Instance | None = None
        self.origin: blobs.BlobStore | None = None
        self.load_generator: replicas.LoadGenerator | None = None
        self._load_task: asyncio.Task | None = None

    @property
    def plan(self) -> types_.Plan:
        """The plan of the rollout."""
        return self._plan

    async def start(self) -> None:
        """Listens for peers and starts sending live requests."""
        loopback = types.Address("127.0.0.1", 0)
        address = await self.endpoint.listen(loopback)
        self.instance = types.Instance(
            self.name, types.Role.AGENT, self.place, address
        )
        load_generator = replicas.LoadGenerator(
            await self.replica.start(),
            self.body_bytes,
            self._plan.live_per_s,
            self.rng,
        )
        self.load_generator = load_generator
        self._load_task = asyncio.ensure_future(load_generator.run())

    async def stop(self) -> None:
        """Stops everything at once, as a crash of the machine does."""
        self.alive = False
        if self._load_task is not None:
            self._load_task.cancel()
        if self.fetcher is not None:
            await self.fetcher.stop()
        await self.endpoint.close()
        await self.replica.stop()

    async def load_version(
        self, manifest: manifests.Manifest, now: float
    ) -> None:
        """Loads a complete version with the replica out of service.

        The replica returns to service if the loaded content is correct.
        """
        self.loading_digest = manifest.digest
        chunks = []
        for chunk in manifest.chunks:
            data = await stores.MemoryStore.get(self.store, chunk.digest)
            assert data is not None
            chunks.append(data)
        self.replica.out_of_service = True
        content = await self.replica.load(chunks)
        digests = [chunk.digest for chunk in manifest.chunks]
        if content == replicas.content_digest(digests):
            self.replica.out_of_service = False
            self.serving_digest = manifest.digest
            self.served_at[manifest.digest] = now
        self.loading_digest = ""

    def _body_bytes(self) -> int:
        plan = self._plan
        size = plan.live_share * plan.link_rate / plan.live_per_s
        return max(replicas.MIN_BODY_BYTES, round(size))
