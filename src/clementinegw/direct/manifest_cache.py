"""What versions consist of, told between agents.

The digests of a version come from the origin. An agent that starts while the
origin is down got them only when it was back, and then had all pieces still to
take: six servers that were replaced then served four seconds after the others,
though every agent beside them held nine tenths of the pieces.

In a large fleet a few agents ask the origin, and the others ask these. Asked by
102 agents at the same moment, an origin that takes 48 connections reset the
rest, and draws among them.
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

# Agents that are asked one after the other, and how long each may take in
# seconds: all that have begun a version know it, and a frozen one answers not.
_MAX_ASKED = 3
_ANSWER_TIMEOUT_S = 0.3
# Versions that are told of: those whose pieces are kept, and one more.
_MAX_CACHED = 4


class ManifestCache:
    """The digests of versions that one agent knows, and asks others for."""

    def __init__(
        self,
        endpoint: connections.Endpoint,
        rng: random.Random,
        counters: counters_lib.Counters,
    ):
        """Registers with the endpoint.

        Args:
          endpoint: Where agents connect.
          rng: Draws whom to ask.
          counters: Counts what others told, and what they could not.
        """
        self._endpoint = endpoint
        self._rng = rng
        self._counters = counters
        self._manifests: dict[str, agent_interfaces.VersionManifest] = {}
        endpoint.on_call(connections.Kind.MANIFEST_GET, self._on_get)

    def add(self, manifest: agent_interfaces.VersionManifest) -> None:
        """Remembers a version, to tell others."""
        self._manifests[_key(manifest.model, manifest.version)] = manifest
        while len(self._manifests) > _MAX_CACHED:
            del self._manifests[next(iter(self._manifests))]

    def get(
        self, model: str, version: int
    ) -> agent_interfaces.VersionManifest | None:
        """Returns a version that this agent knows."""
        return self._manifests.get(_key(model, version))

    async def fetch(
        self, model: str, version: int, preferred: Collection[str] = ()
    ) -> agent_interfaces.VersionManifest | None:
        """Returns a version as another agent knows it; None when none does.

        Wrong digests do no harm beyond delay: no piece would match them.

        Args:
          model: The model's name.
          version: The version.
          preferred: The ids of agents that are asked before all others.
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
            found = self.decode(frame.body, model, version)
            if found is not None:
                self._counters.add("weights.digests.from_agents")
                return found
        return None

    def decode(
        self, body: bytes, model: str, version: int
    ) -> agent_interfaces.VersionManifest | None:
        """Returns what another agent told; None when it tells nothing."""
        if not body:
            return None
        try:
            found = manifests.decode(body, manifests.digest_of(body).hex())
        except exceptions.DecodeError:
            self._counters.add("weights.digests.unreadable")
            return None
        if (found.model, found.version) != (model, str(version)):
            self._counters.add("weights.digests.unreadable")
            return None
        names = tuple(chunk.digest for chunk in found.chunks)
        return agent_interfaces.VersionManifest(
            model, version, found.chunk_bytes, names
        )

    async def _on_get(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        del connection
        asked = codec.decode(ttypes.ManifestGet, frame.body)
        cached = self._manifests.get(asked.digest)
        body = to_swarm_manifest(cached).encode() if cached is not None else b""
        await exchange.send(connections.Kind.MANIFEST_DATA, body)


def to_swarm_manifest(
    manifest: agent_interfaces.VersionManifest,
) -> manifests.Manifest:
    """Returns the product's manifest of a version."""
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
