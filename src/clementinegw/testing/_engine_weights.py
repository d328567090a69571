"""Staging memory and weights of an engine stand-in.

All digests are computed from the bytes themselves, so that partial, mixed or
corrupted weights change the reported digest and every answer.
"""

import asyncio
from collections.abc import Iterable
import dataclasses

import blake3

from clementinegw.backend import types
from clementinegw.testing import _engine_faults

NO_DIGEST = ""


def chunk_digest(data: bytes) -> str:
    """Returns the digest of a chunk."""
    return blake3.blake3(data).hexdigest()


class StagingMemory:
    """The chunks in the memory of the engine's host."""

    def __init__(self, limit_bytes: int):
        """Creates an empty staging memory.

        Args:
          limit_bytes: The size of the memory, in bytes.
        """
        self._limit_bytes = limit_bytes
        self._chunks: dict[str, bytes] = {}
        self._used_bytes = 0

    def put(self, digest: str, data: bytes) -> types.StageResult:
        """Stores a chunk if its digest matches and there is enough memory."""
        if chunk_digest(data) != digest:
            return types.StageResult.CORRUPT
        if digest in self._chunks:
            return types.StageResult.STORED
        if self._used_bytes + len(data) > self._limit_bytes:
            return types.StageResult.FULL
        self._chunks[digest] = data
        self._used_bytes += len(data)
        return types.StageResult.STORED

    def get(self, digest: str) -> bytes | None:
        """Returns a chunk, or None if it is not staged."""
        return self._chunks.get(digest)

    def remove(self, digest: str) -> None:
        """Removes a chunk if it is staged."""
        data = self._chunks.pop(digest, b"")
        self._used_bytes -= len(data)

    def clear(self) -> None:
        """Removes all chunks."""
        self._chunks.clear()
        self._used_bytes = 0

    def missing(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Returns the digests that are not staged, without duplicates."""
        return tuple(dict.fromkeys(d for d in digests if d not in self._chunks))

    def status(self) -> types.StagingStatus:
        """Returns the digests of the staged chunks and the memory usage."""
        return types.StagingStatus(
            tuple(self._chunks), self._used_bytes, self._limit_bytes
        )


@dataclasses.dataclass(slots=True)
class Weights:
    """The weights that the engine currently uses.

    Attributes:
      model: The name of the model in the last order.
      version: The name of the version in the last order.
      chunk_digests: The digests computed from the loaded chunks, in order.
      digest: The `content_digest` of `chunk_digests`; empty without weights.
      loading: The version that is being loaded; empty if there is none.
    """

    model: str = ""
    version: str = ""
    chunk_digests: list[str] = dataclasses.field(default_factory=list)
    digest: str = NO_DIGEST
    loading: str = ""

    def update_digest(self) -> None:
        """Recomputes `digest` from the loaded chunks."""
        self.digest = types.content_digest(self.chunk_digests)


class Loader:
    """Replaces the weights in place, chunk by chunk.

    The old weights are overwritten during the load, as in an engine whose
    memory has room for one copy only. Requests that run during the load are
    answered with a mixture of both versions, which their answers show.
    """

    def __init__(
        self,
        staging: StagingMemory,
        faults: _engine_faults.Faults,
        bytes_per_s: float,
    ):
        """Creates a loader without weights.

        Args:
          staging: The staging memory that chunks are loaded from.
          faults: The faults that slow down loads or corrupt them.
          bytes_per_s: The rate at which chunks are loaded, in bytes per second.
        """
        self.weights = Weights()
        self._staging = staging
        self._faults = faults
        self._bytes_per_s = bytes_per_s

    async def load(self, order: types.LoadOrder) -> None:
        """Loads an order's chunks, all of which must be staged."""
        weights = self.weights
        chunks = [self._staging.get(digest) for digest in order.chunks]
        weights.loading = order.version
        try:
            for index, data in enumerate(chunks):
                await self._load_chunk(index, data or b"")
            del weights.chunk_digests[len(chunks) :]
            weights.update_digest()
            weights.model = order.model
            weights.version = order.version
        finally:
            weights.loading = ""

    async def _load_chunk(self, index: int, data: bytes) -> None:
        seconds = len(data) / self._bytes_per_s * self._faults.slow_factor
        await asyncio.sleep(seconds)
        if self._faults.corrupt_loaded and index == 0:
            data = _engine_faults.corrupt_middle_byte(data)
        digest = chunk_digest(data)
        loaded_digests = self.weights.chunk_digests
        if index < len(loaded_digests):
            loaded_digests[index] = digest
        else:
            loaded_digests.append(digest)
        self.weights.update_digest()
