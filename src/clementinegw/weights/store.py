"""Bounded stores of verified chunks.

A store never keeps bytes whose digest differs from the one they were put under,
so every chunk that it returns is complete and correct.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
from typing import Protocol

from clementinegw import exceptions
from clementinegw.backend import types as backend
from clementinegw.telemetry import counters as metrics
from clementinegw.weights import bitset
from clementinegw.weights import manifest as manifests


class ChunkStore(Protocol):
    """Verified chunks by digest; versions share chunks with equal digests."""

    def held(self, manifest: manifests.Manifest) -> bytearray:
        """Returns which chunks of a manifest are held, as a `bitset`."""

    async def get(self, chunk_digest: bytes) -> bytes | None:
        """Returns a chunk, or None if it is not held (any more)."""

    async def put(self, chunk_digest: bytes, data: bytes) -> bool:
        """Stores a chunk; returns False and stores nothing if it is corrupt.

        Raises:
          exceptions.BackendError: The digest matches but the chunk cannot be
            stored for now.
        """


class MemoryStore:
    """Keeps chunks in memory and evicts the least recently used."""

    def __init__(
        self,
        limit_bytes: int,
        digest_of: Callable[[bytes], bytes] = manifests.digest_of,
    ):
        """Starts empty.

        Args:
          limit_bytes: The capacity in bytes of chunks.
          digest_of: Computes a chunk's digest; the publisher determines which.
        """
        self._limit_bytes = limit_bytes
        self._digest_of = digest_of
        self._chunks: collections.OrderedDict[bytes, bytes]
        self._chunks = collections.OrderedDict()
        self._used_bytes = 0
        self._evicted = 0

    @property
    def used_bytes(self) -> int:
        """The size of all stored chunks in bytes."""
        return self._used_bytes

    @property
    def limit_bytes(self) -> int:
        """The capacity in bytes of chunks."""
        return self._limit_bytes

    @property
    def evicted(self) -> int:
        """The number of chunks evicted to make room for others."""
        return self._evicted

    def held(self, manifest: manifests.Manifest) -> bytearray:
        """Returns which chunks of a manifest are held."""
        chunks = enumerate(manifest.chunks)
        return bitset.from_indices(
            len(manifest.chunks),
            (index for index, chunk in chunks if chunk.digest in self._chunks),
        )

    def holds(self, chunk_digest: bytes) -> bool:
        """Returns whether a chunk is held."""
        return chunk_digest in self._chunks

    async def get(self, chunk_digest: bytes) -> bytes | None:
        """Returns a chunk, or None if it is not held (any more)."""
        data = self._chunks.get(chunk_digest)
        if data is not None:
            self._chunks.move_to_end(chunk_digest)
        return data

    async def put(self, chunk_digest: bytes, data: bytes) -> bool:
        """Stores a chunk; returns False if it is corrupt or too large."""
        if self._digest_of(data) != chunk_digest:
            return False
        if len(data) > self._limit_bytes:
            return False
        self.drop(chunk_digest)
        self._chunks[chunk_digest] = bytes(data)
        self._used_bytes += len(data)
        while self._used_bytes > self._limit_bytes:
            least_recent = next(iter(self._chunks))
            self.drop(least_recent)
            self._evicted += 1
        return True

    def drop(self, chunk_digest: bytes) -> None:
        """Removes a chunk, if it is held."""
        data = self._chunks.pop(chunk_digest, None)
        if data is not None:
            self._used_bytes -= len(data)


class Staging(Protocol):
    """The staging memory of the engine's host.

    `backend.engine.EngineClient` implements it.
    """

    async def stage_chunk(
        self, chunk_digest: str, data: bytes
    ) -> backend.StageResult:
        """Writes a chunk to the staging memory."""

    async def get_staged_chunk(self, chunk_digest: str) -> bytes | None:
        """Returns a chunk, unverified, or None if it is not staged."""

    async def unstage_chunk(self, chunk_digest: str) -> None:
        """Removes a chunk from the staging memory."""

    async def staging_status(self) -> backend.StagingStatus:
        """Returns which chunks are staged."""


class StagedStore:
    """Keeps chunks in the staging memory that the engine loads them from.

    The agent's own memory holds an index and a bounded cache of chunks for
    requests of peers; the chunks of the target and the previous version are in
    the staging memory of the engine's host. Counters start with
    `weights.staging.`.
    """

    def __init__(
        self,
        staging: Staging,
        cache_bytes: int,
        counters: metrics.Counters,
    ):
        """Starts with an empty index; `recover` finds what is staged.

        Args:
          staging: The engine's client.
          cache_bytes: The capacity of the agent's cache in bytes.
          counters: Counts chunks that were lost, corrupt or could not be
            staged.
        """
        self._staging = staging
        self._cache = MemoryStore(cache_bytes)
        self._counters = counters
        self._index: dict[bytes, int] = {}
        self._retained: frozenset[bytes] = frozenset()

    @property
    def cached_bytes(self) -> int:
        """The size of the chunks in the agent's own memory, in bytes."""
        return self._cache.used_bytes

    @property
    def staged_bytes(self) -> int:
        """The size of all chunks known to be staged, in bytes."""
        return sum(self._index.values())

    def held(self, manifest: manifests.Manifest) -> bytearray:
        """Returns which chunks of a manifest are staged."""
        chunks = enumerate(manifest.chunks)
        return bitset.from_indices(
            len(manifest.chunks),
            (index for index, chunk in chunks if chunk.digest in self._index),
        )

    def count(self, manifest: manifests.Manifest) -> int:
        """Returns the number of chunks of a manifest that are staged."""
        return sum(chunk.digest in self._index for chunk in manifest.chunks)

    def holds_all(self, manifest: manifests.Manifest) -> bool:
        """Returns whether every chunk of a manifest is staged."""
        return all(chunk.digest in self._index for chunk in manifest.chunks)

    async def get(self, chunk_digest: bytes) -> bytes | None:
        """Returns a chunk, or None if it is not held (any more)."""
        if chunk_digest not in self._index:
            return None
        cached = await self._cache.get(chunk_digest)
        if cached is not None:
            return cached
        try:
            data = await self._staging.get_staged_chunk(chunk_digest.hex())
        except exceptions.BackendError:
            self._counters.add("weights.staging.unreachable")
            return None
        if data is not None and await self._cache.put(chunk_digest, data):
            return data
        reason = "lost" if data is None else "corrupt"
        self._counters.add(f"weights.staging.{reason}")
        self._index.pop(chunk_digest, None)
        return None

    async def put(self, chunk_digest: bytes, data: bytes) -> bool:
        """Stages a chunk; see `ChunkStore`."""
        if manifests.digest_of(data) != chunk_digest:
            return False
        if chunk_digest in self._index:
            return True
        result = await self._staging.stage_chunk(chunk_digest.hex(), data)
        if result is backend.StageResult.FULL:
            # Drops chunks of abandoned versions at once. Otherwise a change of
            # version in the middle of a rollout would wait forever.
            await self.drop_unretained()
            result = await self._staging.stage_chunk(chunk_digest.hex(), data)
        if result is not backend.StageResult.STORED:
            self._counters.add(f"weights.staging.{result}")
            raise exceptions.BackendError(f"staging memory: {result}")
        self._index[chunk_digest] = len(data)
        await self._cache.put(chunk_digest, data)
        return True

    def retain(self, wanted: Iterable[manifests.Manifest]) -> None:
        """Sets the versions to retain: the target and the previous one.

        Their manifests are staged alongside their chunks and are retained too.
        """
        versions = list(wanted)
        names = {bytes.fromhex(manifest.digest) for manifest in versions}
        for manifest in versions:
            names.update(chunk.digest for chunk in manifest.chunks)
        self._retained = frozenset(names)

    def forget(self, chunk_digests: Iterable[bytes] | None = None) -> None:
        """Marks chunks as not staged, as reported by the engine.

        Args:
          chunk_digests: The chunks' digests; None for all chunks.
        """
        if chunk_digests is None:
            self._index.clear()
            return
        for digest in chunk_digests:
            self._index.pop(digest, None)

    async def drop_unretained(self) -> None:
        """Removes from the staging memory what `retain` did not list.

        Raises:
          exceptions.BackendError: The engine's host did not answer.
        """
        status = await self._staging.staging_status()
        for name in status.digests:
            digest = bytes.fromhex(name)
            if digest not in self._retained:
                self._index.pop(digest, None)
                self._cache.drop(digest)
                await self._staging.unstage_chunk(name)
                self._counters.add("weights.staging.dropped")

    async def recover(self, manifest: manifests.Manifest) -> None:
        """Adds the chunks of a manifest that are staged already, if verified.

        A restarted agent continues where the previous process ended.

        Raises:
          exceptions.BackendError: The engine's host did not answer.
        """
        status = await self._staging.staging_status()
        staged_digests = {bytes.fromhex(name) for name in status.digests}
        for chunk in manifest.chunks:
            if (
                chunk.digest in staged_digests
                and chunk.digest not in self._index
            ):
                await self._recover_chunk(chunk)

    async def _recover_chunk(self, chunk: manifests.Chunk) -> None:
        name = chunk.digest.hex()
        data = await self._staging.get_staged_chunk(name)
        if data is None:
            return
        found = await asyncio.to_thread(manifests.digest_of, data)
        if found == chunk.digest:
            self._index[chunk.digest] = chunk.size
            self._counters.add("weights.staging.recovered")
            return
        self._counters.add("weights.staging.corrupt")
        await self._staging.unstage_chunk(name)
