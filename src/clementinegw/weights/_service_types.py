"""Dependencies and settings of the service of an agent's weights."""

import dataclasses
from typing import Protocol

from clementinegw.backend import types as backend
from clementinegw.weights import store as chunk_stores


class Engine(chunk_stores.Staging, Protocol):
    """The part of `backend.engine.EngineClient` that the service uses."""

    async def load(
        self, order: backend.LoadOrder
    ) -> backend.LoadReport | backend.OrderRefused:
        """Orders a load and waits for the report."""

    async def load_adapter(
        self, order: backend.AdapterOrder
    ) -> backend.LoadReport | backend.OrderRefused:
        """Orders a load of an adapter and waits for the report."""

    async def status(self) -> backend.EngineStatus:
        """Returns the status that the engine reports."""


class Drainable(Protocol):
    """The part of `gate.service.GateService` that the service uses."""

    async def drain(self, timeout_s: float) -> bool:
        """Rejects new requests; returns whether all requests have ended.

        Args:
          timeout_s: How long to wait for requests in flight, in seconds.
        """

    def resume(self, version: str = "", digest: str = "") -> None:
        """Accepts requests again, for a version whose load was verified.

        Args:
          version: The version's name.
          digest: The digest that the engine reported.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """A version as the settings declare it.

    Attributes:
      version: The version's name.
      manifest: The digest of the version's manifest.
      revision: The settings revision that declares it.
    """

    version: str
    manifest: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredAdapter:
    """An adapter as the settings declare it.

    Attributes:
      name: The adapter's name as requests specify it.
      version: The version's name.
      manifest: The digest of the version's manifest.
    """

    name: str
    version: str
    manifest: str


@dataclasses.dataclass(frozen=True, slots=True)
class SwapPolicy:
    """Settings of the swap.

    Attributes:
      max_out_share: The share of the service's instances that may be out of
        service to load; 1.0 lets all swap at once, without coordination.
      workers: The number of instances of the service.
      drain_timeout_s: How long requests in flight may take to finish, in
        seconds.
      load_timeout_s: How long a load may take, in seconds.
    """

    max_out_share: float = 0.34
    workers: int = 1
    drain_timeout_s: float = 120.0
    load_timeout_s: float = 120.0
