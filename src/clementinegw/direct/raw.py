"""Interfaces to topics of the platform's store before records are decoded."""

from collections.abc import Iterable
import dataclasses
from typing import Protocol

from clementinegw import types
from clementinegw.direct import topic_watch


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One value of a key.

    Attributes:
      key: The key.
      value: The bytes in the store; empty if the key is deleted.
      position: Where it is in the log; see `log_position`. Items of a snapshot
        have the position before `next_position` of the snapshot.
    """

    key: str
    value: bytes
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """The result of one call to the store.

    Attributes:
      items: The items in log order.
      next_position: The position at which the next call starts.
      has_more: Whether the log has more items than fit into one answer. The
        answer then does not show that the copy is current.
    """

    items: tuple[Item, ...]
    next_position: int
    has_more: bool = False


class Topic(Protocol):
    """A topic of the platform's store."""

    async def snapshot(self) -> Batch:
        """Returns the newest value of each key.

        Raises:
          exceptions.PlatformError: No complete answer arrived.
        """

    async def changes(self, position: int, wait_s: float) -> Batch:
        """Returns the items that were added since a position.

        Args:
          position: The first position to read.
          wait_s: How long the platform may wait for a first record, in seconds.

        Raises:
          topic_watch.HistoryLost: The records at this position are deleted.
          exceptions.PlatformError: No complete answer arrived.
        """

    def decoded(self, items: Iterable[Item]) -> tuple[topic_watch.Record, ...]:
        """Returns the records of all items that can be decoded."""


class Values(Protocol):
    """Values by key that last in the platform's store."""

    @property
    def epoch(self) -> int:
        """The newest known epoch of the store, which may have lost values."""

    async def read(self) -> dict[str, bytes]:
        """Returns all values.

        Raises:
          exceptions.PlatformError: No complete answer arrived.
        """

    async def write(self, key: str, value: bytes) -> None:
        """Writes a value; an empty one deletes the key.

        Raises:
          exceptions.PlatformError: The platform did not confirm it; it may have
            taken effect.
        """


class ReaderGroup(Protocol):
    """The processes that read the store for their failure domain."""

    async def join(self) -> int:
        """Registers this process as a reader or renews its registration.

        Returns:
          The generation of the group, which grows whenever its readers change.

        Raises:
          exceptions.PlatformError: The platform did not answer.
        """

    async def candidates(self) -> tuple[types.Address, ...]:
        """Returns the addresses of the readers, the preferred one first.

        Raises:
          exceptions.PlatformError: The platform did not answer.
        """


class Platform(Protocol):
    """The topics that every process watches, and the group that reads them."""

    def operators(self) -> Topic:
        """Returns the operators' declarations."""

    def servers(self) -> Topic:
        """Returns the list of backend servers."""

    def reader_group(self, own_address: types.Address | None) -> ReaderGroup:
        """Returns the reader group of this process's failure domain.

        Args:
          own_address: Where this process answers its peers; None if it only
            queries them.
        """
