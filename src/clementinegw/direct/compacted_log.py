"""The newest value of each key of a topic, so that others may be brought up."""

import dataclasses

from clementinegw.direct import raw
from clementinegw.direct import topic_watch

# Keys that are deleted and still told to those who are behind. Each is some ten
# bytes; whoever is further behind takes everything anew.
_MAX_TOMBSTONES = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class _LoggedItem:
    item: raw.Item
    added_after: float


class CompactedLog:
    """Keeps up with a topic's changes; knows nothing of who reads them."""

    def __init__(self) -> None:
        # In the order of the log: a key that changes moves to the end.
        self._log: dict[str, _LoggedItem] = {}
        self._tombstones = 0
        self._first_offset = 0
        self._next_offset: int | None = None

    @property
    def next_offset(self) -> int | None:
        """The offset to go on from; None before a whole reading."""
        return self._next_offset

    def replace(self, batch: raw.Batch, now: float) -> None:
        """Takes a whole reading; keys that it leaves out are gone."""
        self._log = {
            item.key: _LoggedItem(item, now)
            for item in batch.items
            if item.value
        }
        self._tombstones = 0
        self._first_offset = self._next_offset = batch.next_offset

    def add(self, batch: raw.Batch, added_after: float) -> None:
        """Takes changes.

        Args:
          batch: The changes.
          added_after: The time in seconds before which none of them was added.
        """
        for item in batch.items:
            previous = self._log.pop(item.key, None)
            self._tombstones -= previous is not None and not previous.item.value
            self._tombstones += not item.value
            self._log[item.key] = _LoggedItem(item, added_after)
        self._next_offset = batch.next_offset
        if self._tombstones > _MAX_TOMBSTONES:
            self._drop_tombstones()

    def all(self) -> tuple[raw.Item, ...]:
        """Returns the newest value of each key that is there."""
        return tuple(
            logged.item for logged in self._log.values() if logged.item.value
        )

    def since(self, offset: int) -> tuple[raw.Item, ...]:
        """Returns the newest value of each key that changed from an offset on.

        Raises:
          topic_watch.HistoryLost: It is not known any more which ones did.
        """
        if offset < self._first_offset:
            raise topic_watch.HistoryLost("too far behind")
        return tuple(
            logged.item for logged in reversed(self._changed_since(offset))
        )

    def added_after(self, offset: int) -> float:
        """Returns a time before which nothing from an offset on was added.

        In seconds; infinite when nothing was added.
        """
        return min(
            (logged.added_after for logged in self._changed_since(offset)),
            default=float("inf"),
        )

    def _changed_since(self, offset: int) -> list[_LoggedItem]:
        """Returns what changed from an offset on, the newest first."""
        changed = []
        for logged in reversed(self._log.values()):
            if logged.item.offset < offset:
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
            self._first_offset = logged.item.offset + 1
