"""Transfers of chunks between agents over real loopback connections."""

import asyncio
import random

from clementinegw import types
from clementinegw.testing import memory
from clementinegw.weights import manifest as manifests
from clementinegw.weights import store as stores
from clementinegw.weights import swarm
from clementinegw.weights import transfer
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.weights import ttypes

KEYS = auth.single_key_ring(b"a key for tests only")
CHUNK = 4096
LIMITS = swarm.Limits(
    settle_s=0.1, stall_floor_s=0.5, advert_s=0.01, draw_deadline_s=2.0
)


class CorruptingStore(stores.MemoryStore):
    """Returns corrupt chunks, as a machine with faulty memory does."""

    async def get(self, chunk_digest):
        data = await super().get(chunk_digest)
        return None if data is None else bytes((data[0] ^ 1,)) + data[1:]


class Agent:
    def __init__(self, number, origin, store=None):
        self.place = types.Place("r", f"d{number % 2}")
        self.name = f"a{number}"
        identity = connection.Identity(self.name, types.Role.AGENT, self.place)
        self.endpoint = connection.Endpoint(identity, KEYS)
        self.store = store or stores.MemoryStore(1 << 20)
        self.origin = origin

    async def start(self):
        address = await self.endpoint.listen(types.Address("127.0.0.1", 0))
        self.instance = types.Instance(
            self.name, types.Role.AGENT, self.place, address
        )
        self.transfer = transfer.Transfer(
            self.instance,
            self.endpoint,
            self.store,
            self.origin,
            LIMITS,
            random.Random(self.name),
            part_bytes=CHUNK // 2,
        )
        self.completed = asyncio.Event()
        self.transfer.on_complete(lambda digest: self.completed.set())

    async def stop(self):
        await self.transfer.stop()
        await self.endpoint.close()


def make_version(origin, count=16, seed=0):
    rng = random.Random(seed)
    data = [rng.randbytes(CHUNK) for _ in range(count)]
    digests = [manifests.digest_of(chunk) for chunk in data]
    file = manifests.File("weights", count * CHUNK)
    manifest = manifests.build("m", f"v{seed}", CHUNK, (file,), digests)
    for chunk, held in zip(manifest.chunks, data, strict=True):
        origin.blobs[chunk.blob_name] = held
    return manifest


async def start_all(agents):
    for agent in agents:
        await agent.start()
    instances = [agent.instance for agent in agents]
    for agent in agents:
        agent.transfer.set_fleet(instances)
        await agent.transfer.start()


async def fill(agent, origin, manifest):
    for chunk in manifest.chunks:
        assert await agent.store.put(
            chunk.digest, origin.blobs[chunk.blob_name]
        )


async def wait_all(agents):
    async with asyncio.timeout(20):
        await asyncio.gather(*(agent.completed.wait() for agent in agents))


async def test_every_agent_receives_every_chunk_and_the_origin_sends_one_copy():
    origin = memory.MemoryStore()
    manifest = make_version(origin)
    agents = [Agent(number, origin) for number in range(5)]
    await start_all(agents)
    for agent in agents:
        agent.transfer.set_target(manifest)
    await wait_all(agents)
    assert origin.bytes_served == manifest.total_bytes
    for agent in agents:
        assert agent.transfer.progress == transfer.Progress(
            manifest.digest, 16, 16
        )
        for chunk in manifest.chunks:
            data = await agent.store.get(chunk.digest)
            assert manifests.digest_of(data) == chunk.digest
    for agent in agents:
        await agent.stop()


async def test_corrupt_chunks_are_neither_stored_nor_forwarded():
    # Guards against storing and forwarding corrupt weights: a machine with
    # faulty memory holds all chunks and sends them with a flipped bit, and
    # nothing else between two agents checks the bytes.
    origin = memory.MemoryStore()
    manifest = make_version(origin)
    corrupting = CorruptingStore(1 << 20)
    agents = [Agent(0, origin, corrupting), Agent(2, origin), Agent(4, origin)]
    await start_all(agents)
    await fill(agents[0], origin, manifest)
    for agent in agents:
        agent.transfer.set_target(manifest)
    await wait_all(agents[1:])
    for agent in agents[1:]:
        for chunk in manifest.chunks:
            data = await agent.store.get(chunk.digest)
            assert manifests.digest_of(data) == chunk.digest
    counters = [agent.transfer.counters for agent in agents[1:]]
    assert sum(c.value("weights.corrupt") for c in counters) >= 1
    assert sum(c.value("weights.put_aside.corrupt") for c in counters) >= 1
    for agent in agents:
        await agent.stop()


async def test_request_that_crosses_the_end_of_its_call_reserves_no_slot():
    # Every agent refused every chunk for ten seconds at a time: a receiver
    # requested a chunk's second part while the refusal of the first one was in
    # transit. The sender had ended the call, treated the late frame as a new
    # call and reserved an upload slot for it.
    origin = memory.MemoryStore()
    manifest = make_version(origin)
    sender, other = Agent(0, origin), Agent(2, origin)
    await start_all([sender, other])
    await fill(sender, origin, manifest)
    sender.transfer.set_target(manifest)
    link = await other.endpoint.connect(sender.instance.address)
    late_request = ttypes.ChunkGet(
        digest=manifest.digest,
        index=0,
        chunk_digest=manifest.chunks[0].digest,
        offset=CHUNK // 2,
        length=CHUNK // 2,
    )
    for _ in range(LIMITS.upload_slots):
        exchange = link.open()
        await exchange.send(
            connection.Kind.CHUNK_GET, codec.encode(late_request)
        )
    other.transfer.set_target(manifest)
    await wait_all([other])
    late_gets = sender.transfer.counters.value("weights.late_get")
    assert late_gets == LIMITS.upload_slots
    for agent in (sender, other):
        await agent.stop()
