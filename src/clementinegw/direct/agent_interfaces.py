"""What an agent asks of the server beside it and of the origin."""

import dataclasses
from typing import Protocol

from clementinegw.direct import types


@dataclasses.dataclass(frozen=True, slots=True)
class ServerState:
    """What the server says of itself.

    Attributes:
      held: The weights it has loaded.
      busy: Whether an order is in progress.
      sequence: Orders that it has accepted since it started.
      running: Requests that it works on.
      waiting: Requests in its queue.
      pace: How many times slower than usual it works.
      started_ms: When it started, in Unix milliseconds; 0 where that is not
        said.
    """

    held: tuple[types.HeldWeights, ...]
    busy: bool
    sequence: int
    running: int
    waiting: int
    pace: float
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionManifest:
    """What a version of a model consists of.

    Attributes:
      model: The model's name.
      version: The version's number.
      chunk_bytes: The size of a piece.
      digests: The SHA-256 digest of each piece.
    """

    model: str
    version: int
    chunk_bytes: int
    digests: tuple[bytes, ...]


class LocalServer(Protocol):
    """The server beside the agent.

    Every method raises `exceptions.BackendError` when no answer comes; the
    call may have taken effect all the same.
    """

    async def state(self) -> ServerState:
        """Returns what it says of itself."""

    async def staged(self) -> frozenset[int]:
        """Returns the numbers of the pieces that lie there."""

    async def read_staged(self, number: int) -> bytes | None:
        """Returns a piece as it lies there, unverified; None when missing."""

    async def stage(self, number: int, data: bytes) -> None:
        """Puts a piece there, over the one that lay there."""

    async def load(
        self, model: str, version: int, sequence: int, abort_running: bool
    ) -> bool:
        """Orders it to load what is staged.

        Args:
          model: The model.
          version: The version that is staged.
          sequence: Orders it must have accepted so far, else it refuses.
          abort_running: Whether what runs is broken off; else it ends first.

        Returns:
          Whether the order has begun or is in effect already.
        """


class Origin(Protocol):
    """Where weights come from first.

    Every method raises `exceptions.PlatformError` when no answer comes.
    """

    async def manifest(
        self, model: str, version: int | None
    ) -> VersionManifest:
        """Returns what a version consists of; of the newest without one."""

    async def piece(self, model: str, version: int, number: int) -> bytes:
        """Returns a piece, unverified."""
