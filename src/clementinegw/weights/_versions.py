"""The declared versions of one service and their manifests."""

import asyncio
import enum

from clementinegw.weights import _manifest_source
from clementinegw.weights import _orders
from clementinegw.weights import _service_types
from clementinegw.weights import manifest as manifests

FORMER_S = 3.0

DeclaredVersion = _service_types.DeclaredVersion
DeclaredAdapter = _service_types.DeclaredAdapter


class Change(enum.Enum):
    """What a declaration changes."""

    OLD = enum.auto()  # it is older than the one that is known
    NOTHING = enum.auto()  # only the settings revision
    WEIGHTS = enum.auto()


class Versions:
    """The newest declaration, and what has been found of it."""

    def __init__(self, source: _manifest_source.ManifestSource):
        """Starts without a declaration.

        Args:
          source: Where manifests come from.
        """
        self._source = source
        self._target: DeclaredVersion | None = None
        self._previous: DeclaredVersion | None = None
        self._declared_adapters: tuple[DeclaredAdapter, ...] = ()
        self._model: manifests.Manifest | None = None
        self._former: manifests.Manifest | None = None
        self._adapters: tuple[_orders.Adapter, ...] = ()

    @property
    def declared(self) -> DeclaredVersion | None:
        """The version to serve."""
        return self._target

    @property
    def target(self) -> _orders.Target | None:
        """The version to serve; None until all its manifests are found."""
        if self._target is None or self._model is None:
            return None
        return _orders.Target(
            self._model, self._target.revision, self._adapters
        )

    @property
    def former(self) -> _orders.Target | None:
        """The version before; None without one or its manifest."""
        if self._target is None or self._former is None:
            return None
        return _orders.Target(self._former, self._target.revision)

    @property
    def wanted(self) -> list[manifests.Manifest]:
        """All manifests whose chunks are to be near."""
        found = [adapter.manifest for adapter in self._adapters]
        if self._model is not None:
            found.append(self._model)
        if self._former is not None:
            found.append(self._former)
        return found

    def declare(
        self,
        target: DeclaredVersion,
        previous: DeclaredVersion | None,
        adapters: tuple[DeclaredAdapter, ...],
    ) -> Change:
        """Takes in a declaration."""
        if self._target and target.revision < self._target.revision:
            return Change.OLD
        before = self._digests()
        self._target = target
        self._previous = previous
        self._declared_adapters = adapters
        if self._digests() == before:
            return Change.NOTHING
        self._model = self._former = None
        self._adapters = ()
        return Change.WEIGHTS

    async def find_target(self) -> None:
        """Finds the manifests of what is to be served."""
        if self._target is None:
            return
        adapters = await asyncio.gather(
            *map(self._find_adapter, self._declared_adapters)
        )
        self._model = await self._source.fetch(self._target.manifest)
        self._adapters = tuple(adapters)

    async def find_former(self) -> None:
        """Finds the manifest of the version before, if anyone has it."""
        if self._previous is None:
            return
        # An agent that served it finds it at once. Another one must not wait
        # for a store that stalls before it fetches what is to be served.
        try:
            async with asyncio.timeout(FORMER_S):
                self._former = await self._source.find(self._previous.manifest)
        except TimeoutError:
            pass

    async def stage(self) -> None:
        """Puts the manifests beside their chunks, for a later agent."""
        for manifest in self.wanted:
            await self._source.stage(manifest)

    def bundle(self) -> manifests.Manifest | None:
        """Returns all chunks of the target as one manifest.

        Agents exchange the chunks of one manifest at a time. This one is the
        same at each agent that has the same declaration; it is never sent.
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

    async def _find_adapter(self, declared: DeclaredAdapter) -> _orders.Adapter:
        manifest = await self._source.fetch(declared.manifest)
        return _orders.Adapter(declared.name, manifest)

    def _digests(self) -> tuple[object, ...]:
        return (
            self._target and self._target.manifest,
            self._previous and self._previous.manifest,
            self._declared_adapters,
        )
