"""A model engine in memory: staging, orders, and weights that show mixing."""

import asyncio
import dataclasses

from clementinegw import exceptions
from clementinegw.backend import types as backend
from clementinegw.matrix import hosts
from clementinegw.matrix import world as worlds
from clementinegw.weights import manifest as manifests

CHUNK = manifests.MIN_CHUNK_BYTES
MODEL = "gear"
LOAD_S = 0.6
_STAGE_S = 0.001
MIXED = "mixed"
STAGING_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """What goes wrong at the next order or read.

    Attributes:
      answers_lost: Orders whose answer is lost after the effect.
      late_s: When the next order arrives after its connection broke.
      corrupt_loads: Loads that change one byte on its way.
      corrupt_reads: Staged chunks that are read with one byte changed.
    """

    answers_lost: int = 0
    late_s: float = 0.0
    corrupt_loads: int = 0
    corrupt_reads: int = 0


class MemoryEngine:
    """One engine and its host's staging memory; a `weights.service.Engine`.

    It loads in place, so that its digest is of the mixture meanwhile.
    """

    def __init__(
        self,
        world: worlds.World,
        host: hosts.Host,
        checks_fencing: bool,
        names: dict[str, str],
    ):
        """Starts without weights.

        Args:
          world: Where it stands.
          host: Its own process, which outlives its agent's.
          checks_fencing: Whether it refuses older fencing numbers.
          names: The version of each content digest that was published.
        """
        self.faults = EngineFaults()
        self.down = False
        self._world = world
        self._host = host
        self.checks_fencing = checks_fencing
        self._names = names
        self._chunks: dict[str, bytes] = {}
        self._in_place: list[str] = []
        self._said_version = ""
        self._loading = ""
        self._fencing = 0
        self._life = 0
        self._one = asyncio.Lock()

    @property
    def digest(self) -> str:
        """Of the bytes in place; empty without weights."""
        if not self._in_place:
            return ""
        return backend.content_digest(self._in_place)

    @property
    def version(self) -> str:
        """The version whose bytes are in place, whatever the engine says."""
        digest = self.digest
        return self._names.get(digest, MIXED) if digest else ""

    def die(self, restart_s: float) -> None:
        """Loses weights and staging memory, and comes back."""
        self._life += 1
        self._chunks.clear()
        self._in_place = []
        self._said_version = self._loading = ""
        self._fencing = 0
        self._one = asyncio.Lock()
        self.down = True
        self._world.later(restart_s, setattr, self, "down", False)

    async def stage_chunk(
        self, chunk_digest: str, data: bytes
    ) -> backend.StageResult:
        """Puts a chunk in when it is whole."""
        await asyncio.sleep(_STAGE_S)
        self._reach()
        if manifests.digest_of(data).hex() != chunk_digest:
            return backend.StageResult.CORRUPT
        self._chunks[chunk_digest] = data
        self._world.reached("chunk_staged")
        return backend.StageResult.STORED

    async def get_staged_chunk(self, chunk_digest: str) -> bytes | None:
        """Returns a chunk, perhaps damaged."""
        await asyncio.sleep(_STAGE_S)
        self._reach()
        data = self._chunks.get(chunk_digest)
        if data and self.faults.corrupt_reads:
            self.faults.corrupt_reads -= 1
            return _changed(data)
        return data

    async def unstage_chunk(self, chunk_digest: str) -> None:
        """Takes a chunk out."""
        self._reach()
        self._chunks.pop(chunk_digest, None)

    async def staging_status(self) -> backend.StagingStatus:
        """Returns what is staged."""
        self._reach()
        used = sum(map(len, self._chunks.values()))
        return backend.StagingStatus(tuple(self._chunks), used, STAGING_BYTES)

    async def status(self) -> backend.EngineStatus:
        """Returns what the engine says of itself."""
        self._reach()
        return backend.EngineStatus(
            model=MODEL,
            version=self._said_version,
            digest=self.digest,
            adapters=(),
            role=backend.EngineRole.MIXED,
            fencing=self._fencing,
            load=0.0,
            running=0,
            waiting=0,
            capacity=8,
            loading=self._loading,
        )

    async def load_adapter(
        self, order: backend.AdapterOrder
    ) -> backend.OrderRefused:
        """Refuses: no scene declares adapters."""
        return backend.OrderRefused(
            backend.OrderRefusal.BAD_ORDER, self._fencing
        )

    async def load(
        self, order: backend.LoadOrder
    ) -> backend.LoadReport | backend.OrderRefused:
        """Carries an order out, also when nobody hears the answer."""
        self._reach()
        self._world.reached("order_sent")
        life, late_s = self._life, self.faults.late_s
        self.faults.late_s = 0.0
        task = self._world.start(self._host, self._load(order, late_s))
        if late_s:
            # It lies in the accept queue; the sender's connection is gone.
            raise exceptions.BackendLost("load: connection lost")
        answer = await asyncio.shield(task)
        if self._life != life:
            raise exceptions.BackendLost("load: the engine crashed")
        if self.faults.answers_lost:
            self.faults.answers_lost -= 1
            raise exceptions.BackendLost("load: answer lost")
        return answer

    async def _load(
        self, order: backend.LoadOrder, late_s: float
    ) -> backend.LoadReport | backend.OrderRefused:
        life = self._life
        await asyncio.sleep(late_s)
        async with self._one:
            refusal = self._refusal(order)
            if refusal is not None or self._life != life:
                return refusal or self._refused(backend.OrderRefusal.BAD_ORDER)
            self._fencing = order.fencing
            self._loading = order.version
            await self._replace(order.chunks, life)
            if self._life == life:
                self._loading, self._said_version = "", order.version
                self._world.reached("order_done")
            return backend.LoadReport(
                self._said_version, self.digest, self._fencing
            )

    async def _replace(self, chunks: tuple[str, ...], life: int) -> None:
        pieces = [self._chunks[digest] for digest in chunks]
        if self.faults.corrupt_loads:
            self.faults.corrupt_loads -= 1
            pieces[0] = _changed(pieces[0])
        del self._in_place[len(pieces) :]
        for index, piece in enumerate(pieces):
            await asyncio.sleep(LOAD_S / len(pieces))
            if life != self._life:
                return
            digest = manifests.digest_of(piece).hex()
            self._in_place[index : index + 1] = [digest]
            if index == 0:
                self._world.reached("loading")

    def _refusal(self, order: backend.LoadOrder) -> backend.OrderRefused | None:
        if self.checks_fencing and order.fencing < self._fencing:
            return self._refused(backend.OrderRefusal.FENCING)
        missing = tuple(c for c in order.chunks if c not in self._chunks)
        if missing:
            return self._refused(backend.OrderRefusal.CHUNK_MISSING, missing)
        return None

    def _refused(
        self, reason: backend.OrderRefusal, missing: tuple[str, ...] = ()
    ) -> backend.OrderRefused:
        return backend.OrderRefused(reason, self._fencing, missing)

    def _reach(self) -> None:
        if self.down:
            raise exceptions.BackendUnreachable(self._host.name)


def version_of(
    name: str, *parts: bytes
) -> tuple[manifests.Manifest, dict[str, bytes]]:
    """Returns a manifest and its blobs; each part fills one chunk."""
    data = [(part * CHUNK)[:CHUNK] for part in parts]
    digests = [manifests.digest_of(piece) for piece in data]
    file = manifests.File("weights", len(data) * CHUNK)
    manifest = manifests.build(MODEL, name, CHUNK, (file,), digests)
    blobs = {
        manifests.chunk_blob_name(digest): piece
        for digest, piece in zip(digests, data, strict=True)
    }
    blobs[manifest.blob_name] = manifest.encode()
    return manifest, blobs


def _changed(data: bytes) -> bytes:
    return bytes([data[0] ^ 0xFF]) + data[1:]
