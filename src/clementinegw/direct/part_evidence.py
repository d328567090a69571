"""Which parts of prompts were in flight at crashes, and which were answered."""

import collections
from collections.abc import Iterable
import itertools
import math

from clementinegw.direct import part_records
from clementinegw.direct import suspects

# The most parts remembered with crashes and with answers, the most server
# starts remembered, and the most crashes of one part.
_MAX_PARTS = 4_096
_MAX_STARTS = 1_024
_MAX_CRASHES = 16


class PartEvidence:
    """The evidence on all parts.

    Attributes:
      records: The parts that were in flight at crashes since their last answer,
        by their digests, oldest first.
      answers: How many answers this process relayed since it knows of a crash.
    """

    def __init__(self) -> None:
        self.records: collections.OrderedDict[bytes, part_records.Record]
        self.records = collections.OrderedDict()
        self.answers = 0
        self._parts_by_start: dict[bytes, set[bytes]] = {}
        self._answered_at: collections.OrderedDict[bytes, float]
        self._answered_at = collections.OrderedDict()
        self._answered_before: collections.OrderedDict[bytes, None]
        self._answered_before = collections.OrderedDict()
        self._survived_at: collections.OrderedDict[bytes, float]
        self._survived_at = collections.OrderedDict()
        self._crashed_at: collections.OrderedDict[bytes, float]
        self._crashed_at = collections.OrderedDict()

    @property
    def has_crashes(self) -> bool:
        """Whether any server crashed, as far as is known."""
        return bool(self._crashed_at)

    def parts_at(self, starts: Iterable[bytes]) -> set[bytes]:
        """Returns the parts that were in flight at any of some crashes."""
        return set().union(
            *(self._parts_by_start.get(start, ()) for start in starts)
        )

    def answered_at(self, part: bytes) -> float:
        """Returns when a request with a part was last answered.

        In monotonic seconds; negative infinity if that is not known.
        """
        return self._answered_at.get(part, -math.inf)

    def share_of_crashes(self, counted: part_records.Crashes) -> float:
        """Returns the share of the crashes from the first to the last."""
        times = [crash.crashed_at for crash in counted.values()]
        first, last = min(times), max(times)
        others = sum(
            first <= at <= last and start not in counted
            for start, at in self._crashed_at.items()
        )
        return len(counted) / (len(counted) + others)

    def record_crash(self, start: bytes, at: float) -> None:
        """Records a crash, whatever was in flight."""
        self._crashed_at.setdefault(start, at)
        while len(self._crashed_at) > _MAX_STARTS:
            self._crashed_at.popitem(last=False)

    def add(self, part: bytes, start: bytes, crash: part_records.Crash) -> bool:
        """Adds a crash at which a part was in flight.

        Returns:
          Whether it is news: it was not known, and no answer refutes it.
        """
        # The report of another process dates a crash later than it was.
        late_s = 0.0 if crash.local else suspects.MAX_TRANSIT_S
        refuted_at = max(
            self.answered_at(part), self._survived_at.get(start, -math.inf)
        )
        if crash.crashed_at - late_s <= refuted_at:
            return False
        self.record_crash(start, crash.crashed_at)
        record = self.records.get(part)
        if record is None:
            record = self.records[part] = part_records.Record(self.answers)
        self.records.move_to_end(part)
        known = record.crashes.get(start)
        # The first report is the most accurate, but for an own observation.
        if known is not None and known.local >= crash.local:
            return False
        record.crashes[start] = crash
        self._parts_by_start.setdefault(start, set()).add(part)
        if len(record.crashes) > _MAX_CRASHES:
            oldest = min(
                record.crashes, key=lambda s: record.crashes[s].crashed_at
            )
            self._drop(part, oldest)
        return known is None

    def note_answered(self, parts: Iterable[bytes]) -> None:
        """Notes that a request was answered while nothing is suspected."""
        for part in parts:
            self._answered_before[part] = None
            self._answered_before.move_to_end(part)
        while len(self._answered_before) > _MAX_PARTS:
            self._answered_before.popitem(last=False)

    def was_answered_before(self, part: bytes) -> bool:
        """Returns whether a part was answered shortly before the first crash.

        That does not clear it: what crashes servers now may have been sound.
        """
        return part in self._answered_before

    def set_answered(self, part: bytes, at: float) -> None:
        """Records when a request with a part was answered."""
        self._answered_at[part] = max(at, self.answered_at(part))
        self._answered_at.move_to_end(part)
        while len(self._answered_at) > _MAX_PARTS:
            self._answered_at.popitem(last=False)

    def drop_before(self, part: bytes, at: float) -> bool:
        """Drops a part's crashes up to a time; returns whether there were."""
        record = self.records.get(part)
        if record is None:
            return False
        refuted = [s for s, c in record.crashes.items() if c.crashed_at <= at]
        for start in refuted:
            self._drop(part, start)
        return bool(refuted)

    def set_survived(self, start: bytes, at: float) -> None:
        """Records that a server start was running at a time."""
        if start not in self._parts_by_start:
            return
        self._survived_at[start] = max(at, self._survived_at.get(start, at))
        self._survived_at.move_to_end(start)
        while len(self._survived_at) > _MAX_STARTS:
            self._survived_at.popitem(last=False)

    def drop_survived(
        self, start: bytes, since: float, until: float
    ) -> list[bytes]:
        """Drops the crashes of a start that goes on running.

        Args:
          start: The digest of the start.
          since: When the first of them may have happened, in monotonic seconds.
          until: When it was seen running, in monotonic seconds.

        Returns:
          The parts that were in flight.
        """
        if since <= self._crashed_at.get(start, math.inf) <= until:
            del self._crashed_at[start]
        refuted = [
            part
            for part in self.parts_at([start])
            if since <= self.records[part].crashes[start].crashed_at <= until
        ]
        for part in refuted:
            self._drop(part, start)
        return refuted

    def remove(self, part: bytes) -> None:
        """Removes a part with its crashes."""
        for start in [*self.records[part].crashes]:
            self._drop(part, start)
        del self.records[part]

    def forget_crashes(self, now: float) -> None:
        """Forgets what crashed long ago; the parts keep their own crashes."""
        until = now - part_records.RETENTION_S
        while (
            self._crashed_at and next(iter(self._crashed_at.values())) <= until
        ):
            self._crashed_at.popitem(last=False)

    def forgotten(self, now: float) -> list[bytes]:
        """Returns the parts to remove: expired ones, and the oldest beyond.

        Refused ones stay as long as requests with them come.
        """
        expired = [p for p, r in self.records.items() if r.expires_at <= now]
        excess = len(self.records) - len(expired) - _MAX_PARTS
        if excess > 0:
            sound = (
                part
                for part, record in self.records.items()
                if not record.refused and record.expires_at > now
            )
            expired += itertools.islice(sound, excess)
        return expired

    def _drop(self, part: bytes, start: bytes) -> None:
        del self.records[part].crashes[start]
        parts = self._parts_by_start[start]
        parts.discard(part)
        if not parts:
            del self._parts_by_start[start]
