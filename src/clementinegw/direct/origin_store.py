"""Requests the target version's chunks from the origin by their digests."""

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw.direct import agent_interfaces
from clementinegw.direct import staging
from clementinegw.telemetry import counters as counters_lib
from clementinegw.weights import manifest as manifests


class OriginStore:
    """Adapts the origin to a blob store that returns a chunk by its digest.

    Attributes:
      failing_since: When requests began to fail, in seconds; None if the last
        one succeeded.
      contradicts_manifest: Whether the origin has sent the same data twice for
        a chunk, and its digest is not the one in the manifest.
    """

    def __init__(self, counters: counters_lib.Counters, clock: clocks.Clock):
        self.failing_since: float | None = None
        self.contradicts_manifest = False
        # Digests of the last chunks that did not match, by their number.
        self._mismatches: dict[int, bytes] = {}
        self._clock = clock
        self._counters = counters
        self._origin: agent_interfaces.Origin | None = None
        self._manifest: agent_interfaces.VersionManifest | None = None
        self._numbers: dict[str, int] = {}

    def set_manifest(
        self,
        origin: agent_interfaces.Origin,
        manifest: agent_interfaces.VersionManifest,
    ) -> None:
        """Sets the version whose chunks are requested."""
        self._origin = origin
        self._manifest = manifest
        self.forget_mismatches()
        self._numbers = {
            manifests.chunk_blob_name(digest): number
            for number, digest in enumerate(manifest.digests)
        }

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """See `platform.blobs.BlobStore`."""
        del offset, length
        number = self._numbers.get(name)
        if self._origin is None or self._manifest is None or number is None:
            raise exceptions.BlobMissing(
                f"the origin has no chunk {name} of the target"
            )
        self._counters.add("weights.origin.calls")
        manifest = self._manifest
        try:
            data = await self._origin.chunk(
                manifest.model, manifest.version, number
            )
        except exceptions.PlatformError:
            if self.failing_since is None:
                self.failing_since = self._clock.now()
            raise
        self.failing_since = None
        self._compare(manifest, number, data)
        return data

    def forget_mismatches(self) -> None:
        """Forgets which chunks did not match the manifest."""
        self.contradicts_manifest = False
        self._mismatches.clear()

    def _compare(
        self,
        manifest: agent_interfaces.VersionManifest,
        number: int,
        data: bytes,
    ) -> None:
        digest = staging.digest_of(data)
        if manifest != self._manifest or digest == manifest.digests[number]:
            return
        if self._mismatches.get(number) == digest:
            self.contradicts_manifest = True
        self._mismatches[number] = digest

    async def put(self, name: str, data: bytes) -> None:
        """See `platform.blobs.BlobStore`; always refused."""
        raise exceptions.PlatformRefused("the origin is read-only")

    async def size(self, name: str) -> int:
        """See `platform.blobs.BlobStore`."""
        return len(await self.get(name))
