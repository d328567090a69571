"""The newest value of each key of a topic, so that others may be brought up."""

import dataclasses

from clementinegw.direct import follow
from clementinegw.direct import raw

# Keys that are gone and still told to those who are behind. Each is some ten
# bytes; whoever is further behind takes everything anew.
_MOST_GONE = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    item: raw.Item
    added_after: float


class Newest:
    """Keeps up with a topic's changes; knows nothing of who reads them."""

    def __init__(self) -> None:
        # In the order of the log: a key that changes moves to the end.
        self._kept: dict[str, _Kept] = {}
        self._gone = 0
        self._first = 0
        self._end: int | None = None

    @property
    def end(self) -> int | None:
        """The offset to go on from; None before a whole reading."""
        return self._end

    def replace(self, batch: raw.Batch, now: float) -> None:
        """Takes a whole reading; keys that it leaves out are gone."""
        self._kept = {
            item.key: _Kept(item, now) for item in batch.items if item.value
        }
        self._gone = 0
        self._first = self._end = batch.end

    def add(self, batch: raw.Batch, added_after: float) -> None:
        """Takes changes.

        Args:
          batch: The changes.
          added_after: The time in seconds before which none of them was added.
        """
        for item in batch.items:
            former = self._kept.pop(item.key, None)
            self._gone -= former is not None and not former.item.value
            self._gone += not item.value
            self._kept[item.key] = _Kept(item, added_after)
        self._end = batch.end
        if self._gone > _MOST_GONE:
            self._forget_gone()

    def all(self) -> tuple[raw.Item, ...]:
        """Returns the newest value of each key that is there."""
        return tuple(k.item for k in self._kept.values() if k.item.value)

    def since(self, offset: int) -> tuple[raw.Item, ...]:
        """Returns the newest value of each key that changed from an offset on.

        Raises:
          follow.HistoryLost: It is not known any more which ones did.
        """
        if offset < self._first:
            raise follow.HistoryLost("too far behind")
        return tuple(k.item for k in reversed(self._later(offset)))

    def added_after(self, offset: int) -> float:
        """Returns a time before which nothing from an offset on was added.

        In seconds; infinite when nothing was added.
        """
        return min(
            (k.added_after for k in self._later(offset)), default=float("inf")
        )

    def _later(self, offset: int) -> list[_Kept]:
        """Returns what changed from an offset on, the newest first."""
        found = []
        for kept in reversed(self._kept.values()):
            if kept.item.offset < offset:
                break
            found.append(kept)
        return found

    def _forget_gone(self) -> None:
        gone = [key for key, k in self._kept.items() if not k.item.value]
        for key in gone[: _MOST_GONE // 2]:
            kept = self._kept.pop(key)
            self._gone -= 1
            self._first = kept.item.offset + 1
