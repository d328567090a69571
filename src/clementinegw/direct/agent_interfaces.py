"""Interfaces of the services that an agent calls.

These are its local backend server and the origin of the weights.
"""

import dataclasses
from typing import Protocol

from clementinegw.direct import expiry as expiry_lib
from clementinegw.direct import types


@dataclasses.dataclass(frozen=True, slots=True)
class ServerState:
    """The state that a backend server reports.

    Attributes:
      held: The weights it has loaded.
      busy: Whether a load order is in progress.
      sequence: The number of orders accepted since it started.
      running: The number of requests that it processes.
      waiting: The number of requests in its queue.
      pace: How many times slower than usual it runs.
      started_ms: When it started, in Unix milliseconds; 0 if unreported.
      memory_used: The share of its memory that requests use; 0 if unreported.
    """

    held: tuple[types.HeldWeights, ...]
    busy: bool
    sequence: int
    running: int
    waiting: int
    pace: float
    started_ms: int = 0
    memory_used: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionManifest:
    """The chunks of one version of a model's weights.

    Attributes:
      model: The model's name.
      version: The version's number.
      chunk_bytes: The size of a chunk, in bytes.
      digests: The SHA-256 digest of each chunk.
    """

    model: str
    version: int
    chunk_bytes: int
    digests: tuple[bytes, ...]


class LocalServer(Protocol):
    """The backend server on the agent's host.

    Every method raises `exceptions.BackendError` if there is no answer; the
    call may have taken effect nevertheless.
    """

    async def state(self) -> ServerState:
        """Returns the server's current state."""

    async def staged(self) -> frozenset[int]:
        """Returns the numbers of the staged chunks."""

    async def read_staged(self, number: int) -> bytes | None:
        """Returns a staged chunk, unverified; None if it is missing."""

    async def stage(self, number: int, data: bytes) -> None:
        """Stages a chunk, replacing any with the same number."""

    async def load(
        self,
        model: str,
        version: int,
        sequence: int,
        abort_running: bool,
        expiry: expiry_lib.Expiry,
        layers: int | None = None,
    ) -> bool:
        """Orders the server to load the staged chunks.

        Args:
          model: The model's name.
          version: The version that is staged.
          sequence: The number of orders that the server must have accepted so
            far; it refuses the order otherwise.
          abort_running: Whether running requests are aborted; otherwise the
            load waits until they end.
          expiry: Until when the server may accept the order.
          layers: How many layers the server is to hold, from the first one
            on; None for all. It loads those of the version that it lacks.

        Returns:
          Whether the server has accepted the order or already carried it out.

        Raises:
          exceptions.CallExpired: It expired before it was sent.
        """


class Origin(Protocol):
    """The service that stores the weights of every version.

    Every method raises `exceptions.PlatformError` if there is no answer.
    """

    async def manifest(
        self, model: str, version: int | None
    ) -> VersionManifest:
        """Returns a version's manifest; the newest one's for version None."""

    async def chunk(self, model: str, version: int, number: int) -> bytes:
        """Returns a chunk, unverified."""
