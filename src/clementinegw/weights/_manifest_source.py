"""Finds manifests in the staging memory, at peers, the store or the origin.

A manifest is small, but hundreds of agents need it in the same second. Each
waits a random time before it asks the store, and keeps polling its peers in
the meantime, also while the store is slow to answer. So only a few agents
fetch it from the store, and the others get it from those agents.
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
# The wait before asking the store is random, up to this time per peer. So only
# a few agents ask in each 0.2 s, the interval at which peers are polled.
SPREAD_PER_PEER_S = 0.01
RETRY_POLICY = retries.RetryPolicy(base_s=0.5, max_s=5.0)


class ManifestSource:
    """Finds manifests by digest and serves them to peers."""

    def __init__(
        self,
        staging: chunk_stores.Staging,
        sources: Sequence[blobs.BlobStore],
        endpoint: connections.Endpoint | None,
        rng: random.Random,
        log: logs.Log,
        counters: metrics.Counters,
    ):
        """Registers the handler for requests from peers.

        Args:
          staging: The engine's client. A restarted agent finds the manifest in
            the staging memory even when nothing else is reachable.
          sources: The weight store, then the origin.
          endpoint: This agent's connections; None without peers.
          rng: The source of randomness that spreads reads of the store.
          log: The log to which events are written.
          counters: The counters of where manifests were found.
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
        """Returns a manifest, retrying until it is found."""
        attempts = 0
        while True:
            found = await self.find(digest)
            if found is not None:
                return found
            attempts += 1
            self._log.write(_events.MANIFEST_MISSING, digest=digest)
            await asyncio.sleep(
                RETRY_POLICY.pause_s(min(attempts, 8), self._rng)
            )

    async def find(self, digest: str) -> manifests.Manifest | None:
        """Returns a manifest, or None if no source has it.

        The cache, the staging memory and the peers are tried in this order,
        then the store and the origin while peers are polled.
        """
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
        """Returns the first result of the sources and the peers."""
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
        """Stores a manifest in the staging memory for a restarted agent."""
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
        self, data: bytes, digest: str, source: str
    ) -> manifests.Manifest | None:
        if not data:
            return None
        try:
            found = manifests.decode(data, digest)
        except exceptions.DecodeError:
            self._counters.add(f"weights.manifest.refused.{source}")
            return None
        self._counters.add(f"weights.manifest.from.{source}")
        return found

    async def _on_get(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        del connection
        request = codec.decode(ttypes.ManifestGet, frame.body)
        cached = self._cached.get(request.digest)
        body = cached.encode() if cached is not None else b""
        await exchange.send(connections.Kind.MANIFEST_DATA, body)
