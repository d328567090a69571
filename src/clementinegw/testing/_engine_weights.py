"""Staging memory and weights of an engine stand-in.

Nothing here trusts a name: digests are computed again from the bytes, so that
partial, mixed or damaged weights show in the report and in every answer.
"""

import asyncio
from collections.abc import Iterable
import dataclasses

import blake3

from clementinegw.backend import types
from clementinegw.testing import _engine_faults

NO_DIGEST = ""


def chunk_digest(data: bytes) -> str:
    """Returns the digest of a chunk's bytes."""
    return blake3.blake3(data).hexdigest()


class StagingMemory:
    """Chunks in the memory of the engine's host."""

    def __init__(self, limit_bytes: int):
        """Starts empty.

        Args:
          limit_bytes: The memory's size.
        """
        self._limit_bytes = limit_bytes
        self._chunks: dict[str, bytes] = {}
        self._used_bytes = 0

    def put(self, digest: str, data: bytes) -> types.StageResult:
        """Stores a chunk if its bytes have the digest and there is room."""
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
        """Returns a chunk; None when it is not there."""
        return self._chunks.get(digest)

    def remove(self, digest: str) -> None:
        """Takes a chunk out."""
        data = self._chunks.pop(digest, b"")
        self._used_bytes -= len(data)

    def clear(self) -> None:
        """Forgets all chunks."""
        self._chunks.clear()
        self._used_bytes = 0

    def missing(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Returns those digests that are not staged, each once."""
        return tuple(dict.fromkeys(d for d in digests if d not in self._chunks))

    def status(self) -> types.StagingStatus:
        """Returns what is staged."""
        return types.StagingStatus(
            tuple(self._chunks), self._used_bytes, self._limit_bytes
        )


@dataclasses.dataclass(slots=True)
class Weights:
    """What the engine computes with at this moment.

    Attributes:
      model: The model's name as the last order gave it.
      version: The version's name as the last order gave it.
      chunk_digests: Recomputed from the bytes in place, in order.
      digest: `content_digest` of those; empty without weights.
      loading: The version being loaded; empty without a load.
    """

    model: str = ""
    version: str = ""
    chunk_digests: list[str] = dataclasses.field(default_factory=list)
    digest: str = NO_DIGEST
    loading: str = ""

    def update_digest(self) -> None:
        """Computes the digest of what is in place."""
        self.digest = types.content_digest(self.chunk_digests)


class Loader:
    """Replaces the weights in place, chunk by chunk.

    The old weights are overwritten while the load goes on, as in an engine
    whose memory holds one copy. Requests that are let through meanwhile are
    answered by the mixture, and their answers tell.
    """

    def __init__(
        self,
        staging: StagingMemory,
        faults: _engine_faults.Faults,
        bytes_per_s: float,
    ):
        """Starts without weights.

        Args:
          staging: Where chunks come from.
          faults: Slowness and corruption.
          bytes_per_s: How fast chunks go into the accelerator.
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
