"""The model versions of a scenario: made-up weights, published at the start."""

from collections.abc import Mapping
import random
from typing import Any

from clementinegw.scenario import types
from clementinegw.weights import manifest as manifests

_MODEL = "scenario-model"
_CHUNK_BYTES = 16 * 1024
_CHUNKS = 24
# Chunks that every version has in common.
_SHARED_CHUNKS = 4


class Releases:
    """All versions that a scenario declares.

    Versions belong to no service: two services may declare the same one.
    """

    def __init__(self, scenario: types.Scenario, first: str):
        """Makes up the weights.

        Args:
          scenario: Names the versions and seeds their bytes.
          first: The version that is served before the scenario begins.
        """
        names = [first]
        for event in scenario.events:
            for action in event.actions:
                if isinstance(action, types.Declare):
                    names.append(action.version)
        self._chunks: dict[bytes, bytes] = {}
        self._manifests: dict[str, manifests.Manifest] = {}
        shared = _random_chunks(f"{scenario.seed}", _SHARED_CHUNKS)
        for name in dict.fromkeys(names):
            own = _random_chunks(
                f"{scenario.seed}/{name}", _CHUNKS - _SHARED_CHUNKS
            )
            self._manifests[name] = self._add(name, shared + own)

    @property
    def versions(self) -> tuple[str, ...]:
        """The versions' names."""
        return tuple(self._manifests)

    @property
    def version_bytes(self) -> int:
        """The bytes of one version."""
        return _CHUNKS * _CHUNK_BYTES

    def put_into(self, blobs: dict[str, bytes]) -> None:
        """Publishes all versions into an origin's blobs."""
        for digest, data in self._chunks.items():
            blobs[manifests.chunk_blob_name(digest)] = data
        for manifest in self._manifests.values():
            blobs[manifest.blob_name] = manifest.encode()

    def model(self, version: str) -> dict[str, Any]:
        """Returns what the settings declare for a version."""
        return {
            "name": _MODEL,
            "version": version,
            "manifest": self._manifests[version].digest,
        }

    def digest(self, version: str) -> str:
        """Returns the content digest; a text that fits none if unknown."""
        if version not in self._manifests:
            return "no such version"
        return self._manifests[version].content_digest

    def copies(self, version: str, drawn: Mapping[str, int]) -> float:
        """Returns bytes drawn of a version's own chunks, as copies of them."""
        chunks = self._manifests[version].chunks[_SHARED_CHUNKS:]
        total = sum(chunk.size for chunk in chunks)
        return sum(drawn.get(chunk.blob_name, 0) for chunk in chunks) / total

    def _add(self, name: str, chunks: list[bytes]) -> manifests.Manifest:
        digests = [manifests.digest_of(chunk) for chunk in chunks]
        self._chunks.update(zip(digests, chunks, strict=True))
        file = manifests.File("weights", sum(map(len, chunks)))
        return manifests.build(_MODEL, name, _CHUNK_BYTES, (file,), digests)


def _random_chunks(seed: str, count: int) -> list[bytes]:
    rng = random.Random(seed)
    return [rng.randbytes(_CHUNK_BYTES) for _ in range(count)]
