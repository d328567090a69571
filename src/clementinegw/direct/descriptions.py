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
from clementinegw.direct import backing
from clementinegw.telemetry import counters as counters_lib
from clementinegw.weights import manifest as manifests
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

# Agents that are asked one after the other, and how long each may take in
# seconds: all that have begun a version know it, and a frozen one answers not.
_MOST_ASKED = 3
_ANSWER_S = 0.3
# Versions that are told of: those whose pieces are kept, and one more.
_KEPT = 4


class Descriptions:
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
        self._known: dict[str, backing.Digests] = {}
        endpoint.on_call(connections.Kind.MANIFEST_GET, self._on_get)

    def keep(self, digests: backing.Digests) -> None:
        """Remembers a version, to tell others."""
        self._known[_name(digests.model, digests.version)] = digests
        while len(self._known) > _KEPT:
            del self._known[next(iter(self._known))]

    def find(self, model: str, version: int) -> backing.Digests | None:
        """Returns a version that this agent knows."""
        return self._known.get(_name(model, version))

    async def ask(
        self, model: str, version: int, first: Collection[str] = ()
    ) -> backing.Digests | None:
        """Returns a version as another agent knows it; None when none does.

        Wrong digests do no harm beyond delay: no piece would match them.

        Args:
          model: The model's name.
          version: The version.
          first: The ids of agents that are asked before all others.
        """
        agents = [
            connection
            for connection in self._endpoint.connections()
            if connection.peer.role is types.Role.AGENT
        ]
        body = codec.encode(ttypes.ManifestGet(digest=_name(model, version)))
        self._rng.shuffle(agents)
        agents.sort(key=lambda agent: agent.peer.instance_id not in first)
        for agent in agents[:_MOST_ASKED]:
            try:
                frame = await connections.call(
                    agent, connections.Kind.MANIFEST_GET, body, _ANSWER_S
                )
            except (exceptions.ConnectionLost, TimeoutError):
                self._counters.add("weights.digests.unanswered")
                continue
            found = self.read(frame.body, model, version)
            if found is not None:
                self._counters.add("weights.digests.from_agents")
                return found
        return None

    def read(
        self, body: bytes, model: str, version: int
    ) -> backing.Digests | None:
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
        return backing.Digests(model, version, found.chunk_bytes, names)

    async def _on_get(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        del connection
        asked = codec.decode(ttypes.ManifestGet, frame.body)
        known = self._known.get(asked.digest)
        body = manifest_of(known).encode() if known is not None else b""
        await exchange.send(connections.Kind.MANIFEST_DATA, body)


def manifest_of(digests: backing.Digests) -> manifests.Manifest:
    """Returns the product's manifest of a version."""
    size = digests.chunk_bytes * len(digests.digests)
    return manifests.Manifest(
        model=digests.model,
        version=str(digests.version),
        chunk_bytes=digests.chunk_bytes,
        total_bytes=size,
        files=(manifests.File("weights", size),),
        chunks=tuple(
            manifests.Chunk(digest, digests.chunk_bytes)
            for digest in digests.digests
        ),
    )


def _name(model: str, version: int) -> str:
    return f"{model}/{version}"
