"""Keeps the newest value of each key of a topic to bring peers up to date."""

import dataclasses

from clementinegw.direct import raw
from clementinegw.direct import topic_watch

# The maximum number of deleted keys that are kept for peers that are behind.
# Each takes about ten bytes. A peer that is further behind needs a snapshot.
_MAX_TOMBSTONES = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class _LoggedItem:
    """An item and the time in seconds after which it was added."""

    item: raw.Item
    added_after: float


class CompactedLog:
    """A copy of a topic that keeps only the newest item of each key."""

    def __init__(self) -> None:
        # In log order: a key that changes moves to the end.
        self._log: dict[str, _LoggedItem] = {}
        self._tombstones = 0
        self._first_position = 0
        self._next_position: int | None = None

    @property
    def next_position(self) -> int | None:
        """Where the next call starts in the log; None before a snapshot."""
        return self._next_position

    def replace(self, batch: raw.Batch, now: float) -> None:
        """Replaces the copy by a snapshot.

        Args:
          batch: The snapshot.
          now: The time in seconds.
        """
        self._log = {
            item.key: _LoggedItem(item, now)
            for item in batch.items
            if item.value
        }
        self._tombstones = 0
        self._first_position = self._next_position = batch.next_position

    def add(self, batch: raw.Batch, added_after: float) -> None:
        """Applies changes.

        Args:
          batch: The changes.
          added_after: The time before which none of them was added, in seconds.
        """
        for item in batch.items:
            previous = self._log.pop(item.key, None)
            self._tombstones -= previous is not None and not previous.item.value
            self._tombstones += not item.value
            self._log[item.key] = _LoggedItem(item, added_after)
        self._next_position = batch.next_position
        if self._tombstones > _MAX_TOMBSTONES:
            self._drop_tombstones()

    def all(self) -> tuple[raw.Item, ...]:
        """Returns the newest item of each key that is not deleted."""
        return tuple(
            logged.item for logged in self._log.values() if logged.item.value
        )

    def since(self, position: int) -> tuple[raw.Item, ...]:
        """Returns the newest item of each key that changed since a position.

        Raises:
          topic_watch.HistoryLost: Not all changes since the position are known.
        """
        if position < self._first_position:
            raise topic_watch.HistoryLost("too far behind")
        return tuple(
            logged.item for logged in reversed(self._changed_since(position))
        )

    def added_after(self, position: int) -> float:
        """Returns a time before which no item since a position was added.

        Returns:
          The time in seconds; infinite if nothing was added.
        """
        return min(
            (logged.added_after for logged in self._changed_since(position)),
            default=float("inf"),
        )

    def _changed_since(self, position: int) -> list[_LoggedItem]:
        """Returns the items that changed since a position, the newest first."""
        changed = []
        for logged in reversed(self._log.values()):
            if logged.item.position < position:
                break
            changed.append(logged)
        return changed

    def _drop_tombstones(self) -> None:
        deleted = [
            key for key, logged in self._log.items() if not logged.item.value
        ]
        for key in deleted[: _MAX_TOMBSTONES // 2]:
            logged = self._log.pop(key)
            self._tombstones -= 1
            self._first_position = logged.item.position + 1
