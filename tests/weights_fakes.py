"""A fake engine and a fake gate for `weights.service`."""

import asyncio
import contextvars
import dataclasses

from clementinegw import exceptions
from clementinegw.backend import types as backend
from clementinegw.weights import manifest as manifests

CHUNK_BYTES = manifests.MIN_CHUNK_BYTES


def version_of(name: str, *parts: bytes):
    """Returns a manifest and its blobs; each part fills one chunk."""
    data = [(part * CHUNK_BYTES)[:CHUNK_BYTES] for part in parts]
    chunks = [manifests.digest_of(content) for content in data]
    file = manifests.File("weights", len(data) * CHUNK_BYTES)
    manifest = manifests.build("gear", name, CHUNK_BYTES, (file,), chunks)
    blobs = {
        manifests.chunk_blob_name(d): p
        for d, p in zip(chunks, data, strict=True)
    }
    return manifest, {**blobs, manifest.blob_name: manifest.encode()}


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults to inject.

    Attributes:
      answers_lost: How many of the next answers to load orders are lost.
      orders_late_s: The delays in seconds of the next orders, which take effect
        after their connection has broken.
      corrupt_loads: How many of the next loads corrupt a chunk.
      corrupt_adapters: How many of the next adapter reports have a wrong
        digest.
      down: Whether the engine is unreachable.
    """

    answers_lost: int = 0
    orders_late_s: list[float] = dataclasses.field(default_factory=list)
    corrupt_loads: int = 0
    corrupt_adapters: int = 0
    down: bool = False


class FakeEngine:
    """An engine that loads chunk by chunk, overwriting the loaded weights."""

    def __init__(self, checks_fencing: bool = True, load_s: float = 1.0):
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.faults = Faults()
        self.chunks: dict[str, bytes] = {}
        self.loaded_chunks: list[str] = []
        self.version = ""
        self.loading = ""
        self.fencing = 0
        self.orders: list[backend.LoadOrder] = []
        self.adapters: dict[str, str] = {}
        self.puts = 0
        self._generation = 0
        self._load_lock = asyncio.Lock()

    @property
    def digest(self) -> str:
        """The content digest of the weights that would answer a request now."""
        return (
            backend.content_digest(self.loaded_chunks)
            if self.loaded_chunks
            else ""
        )

    def crash(self) -> None:
        """Crashes and restarts the engine, losing all weights and chunks."""
        self._generation += 1
        self.chunks.clear()
        self.adapters.clear()
        self.loaded_chunks = []
        self.version = self.loading = ""
        self.fencing = 0
        self._load_lock = asyncio.Lock()

    async def stage_chunk(self, chunk_digest, data):
        """Stages a chunk."""
        self._check_reachable()
        if manifests.digest_of(data).hex() != chunk_digest:
            return backend.StageResult.CORRUPT
        self.chunks[chunk_digest] = data
        self.puts += 1
        return backend.StageResult.STORED

    async def get_staged_chunk(self, chunk_digest):
        """Returns a staged chunk, or None."""
        self._check_reachable()
        return self.chunks.get(chunk_digest)

    async def unstage_chunk(self, chunk_digest):
        """Removes a staged chunk."""
        self._check_reachable()
        self.chunks.pop(chunk_digest, None)

    async def staging_status(self):
        """Returns the status of the staging memory."""
        self._check_reachable()
        used = sum(map(len, self.chunks.values()))
        return backend.StagingStatus(tuple(self.chunks), used, 1 << 30)

    async def status(self):
        """Returns the engine's status."""
        self._check_reachable()
        return backend.EngineStatus(
            model="gear",
            version=self.version,
            digest=self.digest,
            adapters=tuple(self.adapters.items()),
            role=backend.EngineRole.MIXED,
            fencing=self.fencing,
            load=0.0,
            running=0,
            waiting=0,
            capacity=8,
            loading=self.loading,
        )

    async def load(self, order):
        """Carries out an order, even if its answer does not reach the agent."""
        self._check_reachable()
        generation = self._generation
        if self.faults.orders_late_s:
            # The order is in the accept queue; the agent's connection breaks.
            late_s = self.faults.orders_late_s.pop(0)
            _spawn_detached(self._load_later(order, late_s, generation))
            raise exceptions.BackendLost("load: connection lost")
        answer = await asyncio.shield(
            _spawn_detached(self._load(order, generation))
        )
        if self._generation != generation:
            raise exceptions.BackendLost("load: the engine crashed")
        if self.faults.answers_lost:
            self.faults.answers_lost -= 1
            raise exceptions.BackendLost("load: answer lost")
        return answer

    async def load_adapter(self, order):
        """Loads an adapter."""
        self._check_reachable()
        missing = tuple(c for c in order.chunks if c not in self.chunks)
        if missing:
            return backend.OrderRefused(
                backend.OrderRefusal.CHUNK_MISSING, self.fencing, missing
            )
        self.adapters[order.name] = order.version
        digest = backend.content_digest(order.chunks)
        if self.faults.corrupt_adapters:
            self.faults.corrupt_adapters -= 1
            digest = "0" * 64
        return backend.LoadReport(order.version, digest, order.fencing)

    async def _load_later(self, order, late_s, generation):
        await asyncio.sleep(late_s)
        if generation == self._generation:
            await self._load(order, generation)

    async def _load(self, order, generation):
        async with self._load_lock:
            self.orders.append(order)
            if self.checks_fencing and order.fencing < self.fencing:
                return self._refused(backend.OrderRefusal.FENCING)
            missing = tuple(c for c in order.chunks if c not in self.chunks)
            if missing:
                return self._refused(
                    backend.OrderRefusal.CHUNK_MISSING, missing
                )
            self.fencing = order.fencing
            self.loading = order.version
            await self._replace(order.chunks, generation)
            if generation == self._generation:
                self.loading, self.version = "", order.version
            return backend.LoadReport(self.version, self.digest, self.fencing)

    async def _replace(self, chunks, generation):
        corrupt = self.faults.corrupt_loads > 0
        self.faults.corrupt_loads -= corrupt
        chunk_data = [self.chunks[digest] for digest in chunks]
        del self.loaded_chunks[len(chunk_data) :]
        for index, data in enumerate(chunk_data):
            await asyncio.sleep(self.load_s / len(chunk_data))
            if generation != self._generation:
                return
            if corrupt and index == 0:
                data = b"?" + data[1:]
            self.loaded_chunks[index : index + 1] = [
                manifests.digest_of(data).hex()
            ]

    def _refused(self, reason, missing=()):
        return backend.OrderRefused(reason, self.fencing, missing)

    def _check_reachable(self):
        if self.faults.down:
            raise exceptions.BackendUnreachable("engine: down")


def _spawn_detached(work):
    """Runs a coroutine outside the agent's process, which may be paused."""
    loop = asyncio.get_running_loop()
    return loop.create_task(work, context=contextvars.Context())


class FakeGate:
    """A gate whose requests run on the engine for some time."""

    def __init__(self, engine: FakeEngine, request_s: float = 0.5):
        self.engine = engine
        self.request_s = request_s
        self.open = False
        self.version = ""
        self.digest = ""
        self.in_flight = 0
        self.mixed = 0
        self.answers: dict[str, int] = {}
        self.generation = 0

    async def drain(self, timeout_s):
        """Stops accepting requests and waits for those in flight."""
        self.open = False
        waited = 0.0
        while self.in_flight and waited < timeout_s:
            await asyncio.sleep(0.05)
            waited += 0.05
        return not self.in_flight

    def resume(self, version="", digest=""):
        """Accepts requests again."""
        self.version, self.digest = version, digest
        self.open = True

    def crash(self):
        """Handles a crash of the engine: requests fail and the gate closes."""
        self.open = False
        self.generation += 1

    async def request(self):
        """Runs one request and checks that one version answers all of it."""
        if not self.open:
            return
        self.in_flight += 1
        served, generation = self.digest, self.generation
        try:
            for _ in range(5):
                if self.generation != generation:
                    return
                if self.engine.digest != served:
                    self.mixed += 1
                    return
                await asyncio.sleep(self.request_s / 5)
            self.answers[self.version] = self.answers.get(self.version, 0) + 1
        finally:
            self.in_flight -= 1

    async def traffic(self, every_s: float = 0.1):
        """Sends requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.request())
                await asyncio.sleep(every_s)
