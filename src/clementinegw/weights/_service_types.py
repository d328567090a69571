"""What the service of an agent's weights is given and told."""

import dataclasses
from typing import Protocol

from clementinegw.backend import types as backend
from clementinegw.weights import store as chunk_stores


class Engine(chunk_stores.Staging, Protocol):
    """What is needed of `backend.engine.EngineClient`."""

    async def load(
        self, order: backend.LoadOrder
    ) -> backend.LoadReport | backend.OrderRefused:
        """Orders a load and waits for the report."""

    async def load_adapter(
        self, order: backend.AdapterOrder
    ) -> backend.LoadReport | backend.OrderRefused:
        """Orders a load of an adapter and waits for the report."""

    async def status(self) -> backend.EngineStatus:
        """Returns what the engine says of itself."""


class Drainable(Protocol):
    """The gate, as `gate.service.GateService`."""

    async def drain(self, timeout_s: float) -> bool:
        """Takes nothing new; returns whether nothing is in flight any more."""

    def resume(self, version: str = "", digest: str = "") -> None:
        """Takes requests again, for a version whose load is proved."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """A version as the settings declare it.

    Attributes:
      version: Its name.
      manifest: The digest of its manifest.
      revision: The settings revision.
    """

    version: str
    manifest: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredAdapter:
    """An adapter as the settings declare it.

    Attributes:
      name: Its name, as requests give it.
      version: The version's name.
      manifest: The digest of its manifest.
    """

    name: str
    version: str
    manifest: str


@dataclasses.dataclass(frozen=True, slots=True)
class SwapPolicy:
    """Knobs of the swap.

    Attributes:
      max_out_share: The share of the workers that may be out for loading; 1.0
        lets all swap at once, without a word to one another.
      workers: The service's workers.
      drain_timeout_s: How long requests in flight may take to finish.
      load_timeout_s: The longest that a load may take.
    """

    max_out_share: float = 0.34
    workers: int = 1
    drain_timeout_s: float = 120.0
    load_timeout_s: float = 120.0
