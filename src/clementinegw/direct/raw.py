"""Topics of the platform's store as bytes, before anything is decoded."""

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
      value: As the store keeps it; empty when the key is gone.
      offset: Where it stands in the log. Items of a whole reading have the
        offset before its end.
    """

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """What one call returned.

    Attributes:
      items: In the order of the log.
      next_offset: The offset to go on from.
      has_more: Whether more was there than one answer holds. Then it proves
        nothing of what it leaves out.
    """

    items: tuple[Item, ...]
    next_offset: int
    has_more: bool = False


class Topic(Protocol):
    """One topic of the platform's store."""

    async def snapshot(self) -> Batch:
        """Returns the newest value of each key.

        Raises:
          exceptions.PlatformError: No whole answer came.
        """

    async def changes(self, offset: int, wait_s: float) -> Batch:
        """Returns what was added from an offset on.

        Args:
          offset: Where to begin.
          wait_s: How long the platform may wait for a first record, in seconds.

        Raises:
          topic_watch.HistoryLost: Those records are deleted.
          exceptions.PlatformError: No whole answer came.
        """

    def decoded(self, items: Iterable[Item]) -> tuple[topic_watch.Record, ...]:
        """Returns the records that can be read."""


class ReaderGroup(Protocol):
    """Who reads the store for the processes of a failure domain."""

    async def join(self) -> int:
        """Offers this process as a reader, or keeps it one.

        Returns:
          A number that grows with each change among the readers.

        Raises:
          exceptions.PlatformError: The platform did not answer.
        """

    async def candidates(self) -> tuple[types.Address, ...]:
        """Returns where readers listen; the first one should read.

        Raises:
          exceptions.PlatformError: The platform did not answer.
        """


class Platform(Protocol):
    """The topics that every process follows, and who reads them."""

    def operators(self) -> Topic:
        """Returns the operators' declarations."""

    def servers(self) -> Topic:
        """Returns the list of backend servers."""

    def reader_group(self, own_address: types.Address | None) -> ReaderGroup:
        """Returns the readers of this process's failure domain.

        Args:
          own_address: Where this process answers others; None when it only
            asks.
        """
