"""Where manifests come from: staging, peers, the store, the origin.

A manifest is small, but hundreds of agents ask for it in the same second.
Each waits a random time before it turns to the store, and goes on asking its
peers, also while the store makes it wait, so that few draw it and the others
have it from those.
"""

import asyncio
from collections.abc import Sequence
import random

from clementinegw import exceptions
from clementinegw import types
from clementinegw.platform import blobs
from clementinegw.platform import retries
from clementinegw.telemetry import counters as metrics
from clementinegw.telemetry import logs
from clementinegw.weights import _events
from clementinegw.weights import manifest as manifests
from clementinegw.weights import store as chunk_stores
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

PEER_TIMEOUT_S = 0.5
PEER_RETRY_S = 0.2
PEERS_PER_ROUND = 3
MAX_CACHED = 4
# By this time for each peer: the store is asked by a few in each 0.2 s, in
# which the first of them hands it on.
SPREAD_PER_PEER_S = 0.01
RETRIES = retries.RetryPolicy(base_s=0.5, max_s=5.0)


class ManifestSource:
    """Finds manifests by digest and hands them on to peers."""

    def __init__(
        self,
        staging: chunk_stores.Staging,
        sources: Sequence[blobs.BlobStore],
        endpoint: connections.Endpoint | None,
        rng: random.Random,
        log: logs.Log,
        counters: metrics.Counters,
    ):
        """Registers the handler for peers that ask.

        Args:
          staging: The engine's client: an agent that is started anew finds
            the manifest there, also when nothing else can be reached.
          sources: The weight store, then the origin.
          endpoint: This agent's connections; None without peers.
          rng: Spreads the reads of the store.
          log: Where events go.
          counters: Counts where manifests came from.
        """
        self._staging = staging
        self._sources = sources
        self._endpoint = endpoint
        self._rng = rng
        self._log = log
        self._counters = counters
        self._cached: dict[str, manifests.Manifest] = {}
        if endpoint is not None:
            endpoint.on_call(connections.Kind.MANIFEST_GET, self._on_get)

    async def fetch(self, digest: str) -> manifests.Manifest:
        """Returns a manifest, however long it takes to find one."""
        tried = 0
        while True:
            found = await self.find(digest)
            if found is not None:
                return found
            tried += 1
            self._log.write(_events.MANIFEST_MISSING, digest=digest)
            await asyncio.sleep(RETRIES.pause_s(min(tried, 8), self._rng))

    async def find(self, digest: str) -> manifests.Manifest | None:
        """Asks every place once; None when none has it."""
        cached = self._cached.get(digest)
        if cached is not None:
            return cached
        found = await self._from_staging(digest)
        found = found or await self._from_peers(digest)
        found = found or await self._from_sources_or_peers(digest)
        if found is not None:
            self._add_to_cache(found)
        return found

    async def _from_sources_or_peers(
        self, digest: str
    ) -> manifests.Manifest | None:
        """Returns what the store or a peer gives first."""
        from_sources = asyncio.create_task(self._from_sources(digest))
        from_peers = asyncio.create_task(self._poll_peers(digest))
        try:
            await asyncio.wait(
                (from_sources, from_peers), return_when=asyncio.FIRST_COMPLETED
            )
            return (
                from_peers.result()
                if from_peers.done()
                else from_sources.result()
            )
        finally:
            from_sources.cancel()
            from_peers.cancel()

    async def _poll_peers(self, digest: str) -> manifests.Manifest:
        while True:
            await asyncio.sleep(PEER_RETRY_S)
            found = await self._from_peers(digest)
            if found is not None:
                return found

    async def stage(self, manifest: manifests.Manifest) -> None:
        """Puts a manifest into the staging memory, for a later agent."""
        try:
            await self._staging.stage_chunk(manifest.digest, manifest.encode())
        except exceptions.BackendError:
            self._counters.add("weights.manifest.not_staged")

    def _add_to_cache(self, manifest: manifests.Manifest) -> None:
        self._cached[manifest.digest] = manifest
        while len(self._cached) > MAX_CACHED:
            del self._cached[next(iter(self._cached))]

    async def _from_staging(self, digest: str) -> manifests.Manifest | None:
        try:
            data = await self._staging.get_staged_chunk(digest)
        except exceptions.BackendError:
            return None
        return self._decode(data or b"", digest, "staging")

    async def _from_peers(self, digest: str) -> manifests.Manifest | None:
        peers = self._peers()
        body = codec.encode(ttypes.ManifestGet(digest=digest))
        for peer in self._rng.sample(peers, min(PEERS_PER_ROUND, len(peers))):
            try:
                frame = await connections.call(
                    peer, connections.Kind.MANIFEST_GET, body, PEER_TIMEOUT_S
                )
            except (exceptions.ConnectionLost, TimeoutError):
                continue
            found = self._decode(frame.body, digest, "peer")
            if found is not None:
                return found
        return None

    def _peers(self) -> list[connections.Connection]:
        if self._endpoint is None:
            return []
        return [
            connection
            for connection in self._endpoint.connections()
            if connection.peer.role is types.Role.AGENT
        ]

    async def _from_sources(self, digest: str) -> manifests.Manifest | None:
        spread_s = SPREAD_PER_PEER_S * len(self._peers())
        await asyncio.sleep(self._rng.uniform(0.0, spread_s))
        for source in self._sources:
            try:
                data = await source.get(manifests.manifest_blob_name(digest))
            except exceptions.PlatformError:
                continue
            found = self._decode(data, digest, "store")
            if found is not None:
                return found
        return None

    def _decode(
        self, data: bytes, digest: str, place: str
    ) -> manifests.Manifest | None:
        if not data:
            return None
        try:
            found = manifests.decode(data, digest)
        except exceptions.DecodeError:
            self._counters.add(f"weights.manifest.refused.{place}")
            return None
        self._counters.add(f"weights.manifest.from.{place}")
        return found

    async def _on_get(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        del connection
        asked = codec.decode(ttypes.ManifestGet, frame.body)
        cached = self._cached.get(asked.digest)
        body = cached.encode() if cached is not None else b""
        await exchange.send(connections.Kind.MANIFEST_DATA, body)
