"""The declared versions of one service and their manifests."""

import asyncio
import enum

from clementinegw.weights import _loader_types
from clementinegw.weights import _manifest_source
from clementinegw.weights import _service_types
from clementinegw.weights import manifest as manifests

PREVIOUS_TIMEOUT_S = 3.0

DeclaredVersion = _service_types.DeclaredVersion
DeclaredAdapter = _service_types.DeclaredAdapter


class Change(enum.Enum):
    """What a declaration changes."""

    OUTDATED = enum.auto()  # older than the current declaration; ignored
    NONE = enum.auto()  # at most the settings revision
    WEIGHTS = enum.auto()


class DeclaredVersions:
    """The latest declaration and the manifests found for it."""

    def __init__(self, source: _manifest_source.ManifestSource):
        """Initializes the object without a declaration.

        Args:
          source: The source of manifests.
        """
        self._source = source
        self._declared: DeclaredVersion | None = None
        self._declared_previous: DeclaredVersion | None = None
        self._declared_adapters: tuple[DeclaredAdapter, ...] = ()
        self._model_manifest: manifests.Manifest | None = None
        self._previous_manifest: manifests.Manifest | None = None
        self._adapters: tuple[_loader_types.Adapter, ...] = ()

    @property
    def declared(self) -> DeclaredVersion | None:
        """The declared version to serve."""
        return self._declared

    @property
    def target(self) -> _loader_types.Target | None:
        """The target to serve; None until all its manifests are found."""
        if self._declared is None or self._model_manifest is None:
            return None
        return _loader_types.Target(
            self._model_manifest, self._declared.revision, self._adapters
        )

    @property
    def previous(self) -> _loader_types.Target | None:
        """The previous version; None if there is none or no manifest of it."""
        if self._declared is None or self._previous_manifest is None:
            return None
        return _loader_types.Target(
            self._previous_manifest, self._declared.revision
        )

    @property
    def wanted_manifests(self) -> list[manifests.Manifest]:
        """All manifests whose chunks are to be staged."""
        found = [adapter.manifest for adapter in self._adapters]
        if self._model_manifest is not None:
            found.append(self._model_manifest)
        if self._previous_manifest is not None:
            found.append(self._previous_manifest)
        return found

    def declare(
        self,
        target: DeclaredVersion,
        previous: DeclaredVersion | None,
        adapters: tuple[DeclaredAdapter, ...],
    ) -> Change:
        """Records a declaration and returns what it changes.

        Args:
          target: The version to serve.
          previous: The version before it.
          adapters: The adapters to load with the target.
        """
        if self._declared and target.revision < self._declared.revision:
            return Change.OUTDATED
        before = self._digests()
        self._declared = target
        self._declared_previous = previous
        self._declared_adapters = adapters
        if self._digests() == before:
            return Change.NONE
        self._model_manifest = self._previous_manifest = None
        self._adapters = ()
        return Change.WEIGHTS

    async def find_target(self) -> None:
        """Finds the manifests of the target and its adapters."""
        if self._declared is None:
            return
        adapters = await asyncio.gather(
            *map(self._find_adapter, self._declared_adapters)
        )
        self._model_manifest = await self._source.fetch(self._declared.manifest)
        self._adapters = tuple(adapters)

    async def find_previous(self) -> None:
        """Finds the manifest of the previous version, if it is available."""
        if self._declared_previous is None:
            return
        # An agent that served the previous version finds its manifest at once.
        # Any other agent must not be kept from fetching the target by a store
        # that stalls.
        try:
            async with asyncio.timeout(PREVIOUS_TIMEOUT_S):
                self._previous_manifest = await self._source.find(
                    self._declared_previous.manifest
                )
        except TimeoutError:
            pass

    async def stage(self) -> None:
        """Stores the manifests in the staging memory for a restarted agent."""
        for manifest in self.wanted_manifests:
            await self._source.stage(manifest)

    def combined_manifest(self) -> manifests.Manifest | None:
        """Returns one manifest with all chunks of the target and its adapters.

        Agents exchange the chunks of one manifest at a time. The combined
        manifest is the same at every agent with the same declaration and is
        never sent.
        """
        target = self.target
        if target is None or not target.adapters:
            return target.manifest if target is not None else None
        parts = [target.manifest, *(a.manifest for a in target.adapters)]
        return manifests.Manifest(
            model=target.manifest.model,
            version="+".join(part.version for part in parts),
            chunk_bytes=target.manifest.chunk_bytes,
            total_bytes=sum(part.total_bytes for part in parts),
            files=tuple(file for part in parts for file in part.files),
            chunks=tuple(chunk for part in parts for chunk in part.chunks),
        )

    async def _find_adapter(
        self, declared: DeclaredAdapter
    ) -> _loader_types.Adapter:
        manifest = await self._source.fetch(declared.manifest)
        return _loader_types.Adapter(declared.name, manifest)

    def _digests(self) -> tuple[object, ...]:
        return (
            self._declared and self._declared.manifest,
            self._declared_previous and self._declared_previous.manifest,
            self._declared_adapters,
        )
