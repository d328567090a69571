"""Fetches the chunks of a version into the staging memory."""

import asyncio
from collections.abc import Callable, Sequence
import random
from typing import Protocol

from clementinegw import exceptions
from clementinegw.platform import blobs
from clementinegw.platform import retries
from clementinegw.telemetry import counters as metrics
from clementinegw.telemetry import logs
from clementinegw.weights import _events
from clementinegw.weights import bitset
from clementinegw.weights import manifest as manifests
from clementinegw.weights import store as chunk_stores

MAX_CONCURRENT_FETCHES = 4
POLL_INTERVAL_S = 1.0
RETRY_POLICY = retries.RetryPolicy(base_s=0.5, max_s=5.0)


class Exchange(Protocol):
    """The exchange of chunks between agents, as `transfer.Transfer`."""

    @property
    def complete(self) -> bool:
        """Whether every chunk of the target was stored."""

    def set_target(self, manifest: manifests.Manifest) -> None:
        """Sets the version to fetch; a previous target is abandoned."""

    def recheck(self) -> None:
        """Fetches again the chunks that the store has lost."""

    def on_complete(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for the digest of each completed manifest."""


class Fetcher:
    """Fetches through the exchange, or directly from the sources."""

    def __init__(
        self,
        store: chunk_stores.StagedStore,
        sources: Sequence[blobs.BlobStore],
        exchange: Exchange | None,
        rng: random.Random,
        log: logs.Log,
        counters: metrics.Counters,
    ):
        """Initializes the fetcher.

        Args:
          store: Where fetched chunks are staged.
          sources: The weight store, then the origin.
          exchange: The exchange between agents; None to fetch every chunk from
            the sources.
          rng: Shuffles the order of fetches and adds jitter to pauses.
          log: Where events are logged.
          counters: Counts failures.
        """
        self._store = store
        self._sources = sources
        self._exchange = exchange
        self._rng = rng
        self._log = log
        self._counters = counters
        self._changed = asyncio.Event()
        if exchange is not None:
            exchange.on_complete(lambda digest: self._changed.set())

    async def recover(self, wanted: Sequence[manifests.Manifest]) -> None:
        """Verifies chunks that are already staged and drops unwanted ones."""
        self._store.retain(wanted)
        attempts = 0
        while True:
            try:
                for manifest in wanted:
                    await self._store.recover(manifest)
                await self._store.drop_unretained()
                return
            except exceptions.BackendError as error:
                attempts += 1
                await self._pause(attempts, error.message)

    async def fetch(self, manifest: manifests.Manifest) -> None:
        """Returns once every chunk is staged; it may be cancelled."""
        if self._exchange is not None:
            await self._fetch_by_exchange(self._exchange, manifest)
        await self._fetch_missing(manifest)

    async def _fetch_by_exchange(
        self, exchange: Exchange, manifest: manifests.Manifest
    ) -> None:
        exchange.set_target(manifest)
        exchange.recheck()
        while not exchange.complete and not self._store.holds_all(manifest):
            self._changed.clear()
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _fetch_missing(self, manifest: manifests.Manifest) -> None:
        attempts = 0
        while not self._store.holds_all(manifest):
            held = self._store.held(manifest)
            indices = bitset.missing(held, len(manifest.chunks))
            chunks = list(dict.fromkeys(manifest.chunks[i] for i in indices))
            self._rng.shuffle(chunks)
            limit = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
            async with asyncio.TaskGroup() as group:
                for chunk in chunks:
                    group.create_task(self._fetch_chunk(chunk, limit))
            if not self._store.holds_all(manifest):
                attempts += 1
                await self._pause(attempts, "chunks missing")

    async def _fetch_chunk(
        self, chunk: manifests.Chunk, limit: asyncio.Semaphore
    ) -> None:
        async with limit:
            for source in self._sources:
                if await self._fetch_chunk_from(source, chunk):
                    return

    async def _fetch_chunk_from(
        self, source: blobs.BlobStore, chunk: manifests.Chunk
    ) -> bool:
        try:
            data = await source.get(chunk.blob_name)
            stored = await self._store.put(chunk.digest, data)
        except exceptions.PlatformError:
            self._counters.add("weights.draw.failed")
            return False
        except exceptions.BackendError:
            self._counters.add("weights.staging.failed")
            return False
        if not stored:
            self._counters.add("weights.draw.corrupt")
            self._log.write(_events.CHUNK_REJECTED, digest=chunk.digest.hex())
        return stored

    async def _pause(self, attempts: int, detail: str) -> None:
        self._counters.add("weights.fetch.retry")
        self._log.write(_events.STAGING_FAILED, detail=detail)
        await asyncio.sleep(RETRY_POLICY.pause_s(min(attempts, 8), self._rng))
