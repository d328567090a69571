"""Chunk fetchers of a rollout measurement: the swarm and its baselines."""

import asyncio
import random

from clementinegw import exceptions
from clementinegw import types
from clementinegw.bench import _rollout_node as nodes
from clementinegw.bench import _rollout_types as types_
from clementinegw.weights import bitset
from clementinegw.weights import manifest as manifests
from clementinegw.weights import swarm
from clementinegw.weights import transfer
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

_FAN_OUT = {
    types_.Policy.TREE: 2,
    types_.Policy.CHAIN: 1,
    types_.Policy.STRIPES: 2,
}
_STRIPES = {types_.Policy.STRIPES: 2}
_ORIGIN_CONCURRENCY = 2
_PARENT_CONCURRENCY = 2
_RETRY_INTERVAL_S = 0.05


def make(node: nodes.Node) -> nodes.ChunkFetcher:
    """Returns the chunk fetcher of a node for its plan's policy."""
    if node.plan.policy is types_.Policy.SWARM:
        return _swarm(node)
    if node.plan.policy is types_.Policy.ORIGIN:
        return OriginFetcher(node)
    return TreeFetcher(node)


def limits(plan: types_.Plan) -> swarm.Limits:
    """Returns swarm limits scaled to the rate of the plan's links."""
    chunk_s = plan.chunk_s
    values = {
        "draw_deadline_s": 12 * chunk_s,
        "settle_s": chunk_s,
        "origin_bytes_per_s": plan.origin_rate,
        "link_bytes_per_s": plan.link_rate,
        "stall_floor_s": 4 * chunk_s,
        "aside_s": 30 * chunk_s,
        "advert_s": 0.1 * chunk_s,
    }
    return swarm.Limits(**(values | plan.swarm_overrides))


def _swarm(node: nodes.Node) -> transfer.Transfer:
    assert node.instance is not None and node.origin is not None
    plan = node.plan
    return transfer.Transfer(
        node.instance,
        node.endpoint,
        node.store,
        node.origin,
        limits(plan),
        random.Random(f"{plan.seed}-swarm-{node.name}"),
        pacing=node.pacing,
        link=node.chunk_link,
        clock=node.clock,
        part_bytes=-(-plan.chunk_bytes // plan.parts),
    )


class _BaseFetcher:
    """Base of the baseline fetchers: fetches the chunks of one version."""

    def __init__(self, node: nodes.Node):
        """Starts without a target."""
        self._node = node
        self._manifest: manifests.Manifest | None = None
        self._tasks: list[asyncio.Task] = []
        self._arrived: dict[bytes, asyncio.Event] = {}

    @property
    def complete(self) -> bool:
        """Whether all chunks of the target are in the store."""
        manifest = self._manifest
        if manifest is None:
            return False
        held = self._node.store.held(manifest)
        return bitset.total(held) == len(manifest.chunks)

    async def start(self) -> None:
        """Does nothing; fetching starts with `set_target`."""

    async def stop(self) -> None:
        """Cancels every transfer."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_target(self, manifest: manifests.Manifest) -> None:
        """Replaces the target and fetches its missing chunks."""
        for task in self._tasks:
            task.cancel()
        self._manifest = manifest
        held = self._node.store.held(manifest)
        missing = bitset.missing(held, len(manifest.chunks))
        self._tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in self._fetch_coroutines(missing)
        ]

    def set_fleet(self, instances: list[types.Instance]) -> None:
        """Ignores the agents that take part."""

    def _fetch_coroutines(self, missing: list[int]) -> list:
        raise NotImplementedError

    async def _fetch_from_origin(self, chunk: manifests.Chunk) -> None:
        origin = self._node.origin
        assert origin is not None
        while True:
            try:
                data = await origin.get(chunk.blob_name)
            except exceptions.PlatformError:
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            await self._node.chunk_link.receive(len(data))
            if await self._store_chunk(chunk, data):
                return

    async def _store_chunk(self, chunk: manifests.Chunk, data: bytes) -> bool:
        stored = await self._node.store.put(chunk.digest, data)
        if stored:
            self._arrival_event(chunk.digest).set()
        return stored

    def _arrival_event(self, digest: bytes) -> asyncio.Event:
        return self._arrived.setdefault(digest, asyncio.Event())


class OriginFetcher(_BaseFetcher):
    """Fetches every chunk from the origin."""

    def _fetch_coroutines(self, missing: list[int]) -> list:
        queue = list(reversed(missing))
        return [self._fetch_all(queue) for _ in range(_ORIGIN_CONCURRENCY)]

    async def _fetch_all(self, queue: list[int]) -> None:
        assert self._manifest is not None
        while queue:
            await self._fetch_from_origin(self._manifest.chunks[queue.pop()])


class TreeFetcher(_BaseFetcher):
    """Fetches chunks along trees of fixed fan-out; a chain has fan-out 1.

    With several stripes each chunk is sent along one of several trees, and an
    inner node of one tree is a leaf of the others.
    """

    def __init__(self, node: nodes.Node):
        """Registers the handler for chunk requests with the endpoint."""
        super().__init__(node)
        self._instances: list[types.Instance] = []
        node.endpoint.on_call(connections.Kind.CHUNK_GET, self._on_get)

    def set_fleet(self, instances: list[types.Instance]) -> None:
        """Sets the agents of the trees; later changes are ignored."""
        if not self._instances:
            self._instances = list(instances)

    def _fetch_coroutines(self, missing: list[int]) -> list:
        stripes = _STRIPES.get(self._node.plan.policy, 1)
        coroutines = []
        for stripe in range(stripes):
            queue = [i for i in reversed(missing) if i % stripes == stripe]
            parent = self._parent(stripe, stripes)
            count = _PARENT_CONCURRENCY
            coroutines += [
                self._fetch_stripe(queue, parent) for _ in range(count)
            ]
        return coroutines

    def _parent(self, stripe: int, stripes: int) -> types.Instance | None:
        count = len(self._instances)
        shift = stripe * count // stripes
        position = (self._node.number + shift) % count
        if position == 0:
            return None
        parent_position = (position - 1) // _FAN_OUT[self._node.plan.policy]
        return self._instances[(parent_position - shift) % count]

    async def _fetch_stripe(
        self, queue: list[int], parent: types.Instance | None
    ) -> None:
        assert self._manifest is not None
        while queue:
            index = queue.pop()
            chunk = self._manifest.chunks[index]
            if parent is None:
                await self._fetch_from_origin(chunk)
            else:
                await self._fetch_from_parent(index, chunk, parent)

    async def _fetch_from_parent(
        self, index: int, chunk: manifests.Chunk, parent: types.Instance
    ) -> None:
        assert self._manifest is not None
        body = codec.encode(
            ttypes.ChunkGet(
                digest=self._manifest.digest,
                index=index,
                chunk_digest=chunk.digest,
                offset=0,
                length=chunk.size,
            )
        )
        while True:
            try:
                connection = await self._node.endpoint.connect(parent.address)
                data = await self._receive(connection, body, chunk.size)
            except exceptions.ConnectionLost:
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            if await self._store_chunk(chunk, data):
                return

    async def _receive(
        self, connection: connections.Connection, body: bytes, size: int
    ) -> bytes:
        exchange = connection.open()
        data = bytearray()
        try:
            await exchange.send(connections.Kind.CHUNK_GET, body)
            while len(data) < size:
                frame = await exchange.receive()
                self._count_imported(connection, len(frame.body))
                await self._node.chunk_link.receive(len(frame.body))
                data += frame.body
        finally:
            exchange.close()
        return bytes(data)

    def _count_imported(
        self, connection: connections.Connection, count: int
    ) -> None:
        local_domain = self._node.place.failure_domain
        if connection.peer.place.failure_domain != local_domain:
            self._node.imported_bytes += count

    async def _on_get(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        message = codec.decode(ttypes.ChunkGet, frame.body)
        await self._arrival_event(message.chunk_digest).wait()
        data = await self._node.store.get(message.chunk_digest)
        assert data is not None
        plan = self._node.plan
        part_bytes = -(-plan.chunk_bytes // plan.parts)
        for start in range(0, len(data), part_bytes):
            part = data[start : start + part_bytes]
            await self._node.chunk_link.send(len(part))
            await exchange.send(connections.Kind.CHUNK_DATA, part)
