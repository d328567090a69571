"""Caches the manifests of versions and shares them between agents.

Manifests come from the origin. Without sharing, an agent that starts while the
origin is down gets one only after the origin recovers, and then still has to
fetch all chunks: six replaced servers served four seconds after the others,
although every other agent nearby held nine tenths of the chunks.

In a large fleet a few agents ask the origin and the others ask them. When 102
agents asked at once, an origin that accepts 48 connections reset the other
connections, including some that were transferring chunks.
"""

from collections.abc import Collection
import random

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import agent_interfaces
from clementinegw.telemetry import counters as counters_lib
from clementinegw.weights import manifest as manifests
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

# How many agents are asked in turn, and how long each may take to answer, in
# seconds. Every agent that has started on a version has its manifest, but a
# suspended one does not answer.
_MAX_ASKED = 3
_ANSWER_TIMEOUT_S = 0.3
# The number of cached manifests: one more than the versions whose chunks are
# kept.
_MAX_CACHED = 4


class ManifestCache:
    """The manifests that one agent has, and its requests for others."""

    def __init__(
        self,
        endpoint: connections.Endpoint,
        rng: random.Random,
        counters: counters_lib.Counters,
    ):
        """Creates an empty cache that answers requests at the endpoint.

        Args:
          endpoint: Connects to other agents.
          rng: Orders the agents to ask.
          counters: Counts answered, unanswered and unreadable requests.
        """
        self._endpoint = endpoint
        self._rng = rng
        self._counters = counters
        self._manifests: dict[str, agent_interfaces.VersionManifest] = {}
        endpoint.on_call(connections.Kind.MANIFEST_GET, self._on_get)

    def add(self, manifest: agent_interfaces.VersionManifest) -> None:
        """Caches a manifest so that other agents can request it."""
        self._manifests[_key(manifest.model, manifest.version)] = manifest
        while len(self._manifests) > _MAX_CACHED:
            del self._manifests[next(iter(self._manifests))]

    def get(
        self, model: str, version: int
    ) -> agent_interfaces.VersionManifest | None:
        """Returns the cached manifest of a version; None if there is none."""
        return self._manifests.get(_key(model, version))

    async def fetch(
        self, model: str, version: int, preferred: Collection[str] = ()
    ) -> agent_interfaces.VersionManifest | None:
        """Returns a manifest from another agent; None if no agent has it.

        Wrong digests cause no harm beyond a delay, as no chunk matches them.

        Args:
          model: The model's name.
          version: The version.
          preferred: The ids of the agents to ask first.
        """
        agents = [
            connection
            for connection in self._endpoint.connections()
            if connection.peer.role is types.Role.AGENT
        ]
        body = codec.encode(ttypes.ManifestGet(digest=_key(model, version)))
        self._rng.shuffle(agents)
        agents.sort(key=lambda agent: agent.peer.instance_id not in preferred)
        for agent in agents[:_MAX_ASKED]:
            try:
                frame = await connections.call(
                    agent,
                    connections.Kind.MANIFEST_GET,
                    body,
                    _ANSWER_TIMEOUT_S,
                )
            except (exceptions.ConnectionLost, TimeoutError):
                self._counters.add("weights.digests.unanswered")
                continue
            manifest = self.decode(frame.body, model, version)
            if manifest is not None:
                self._counters.add("weights.digests.from_agents")
                return manifest
        return None

    def decode(
        self, body: bytes, model: str, version: int
    ) -> agent_interfaces.VersionManifest | None:
        """Returns the manifest in an answer; None if it is empty or invalid."""
        if not body:
            return None
        try:
            manifest = manifests.decode(body, manifests.digest_of(body).hex())
        except exceptions.DecodeError:
            self._counters.add("weights.digests.unreadable")
            return None
        if (manifest.model, manifest.version) != (model, str(version)):
            self._counters.add("weights.digests.unreadable")
            return None
        digests = tuple(chunk.digest for chunk in manifest.chunks)
        return agent_interfaces.VersionManifest(
            model, version, manifest.chunk_bytes, digests
        )

    async def _on_get(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        del connection
        request = codec.decode(ttypes.ManifestGet, frame.body)
        cached = self._manifests.get(request.digest)
        body = to_swarm_manifest(cached).encode() if cached is not None else b""
        await exchange.send(connections.Kind.MANIFEST_DATA, body)


def to_swarm_manifest(
    manifest: agent_interfaces.VersionManifest,
) -> manifests.Manifest:
    """Returns a version's manifest in the format of the chunk exchange."""
    size = manifest.chunk_bytes * len(manifest.digests)
    return manifests.Manifest(
        model=manifest.model,
        version=str(manifest.version),
        chunk_bytes=manifest.chunk_bytes,
        total_bytes=size,
        files=(manifests.File("weights", size),),
        chunks=tuple(
            manifests.Chunk(digest, manifest.chunk_bytes)
            for digest in manifest.digests
        ),
    )


def _key(model: str, version: int) -> str:
    return f"{model}/{version}"
