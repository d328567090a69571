"""Decides when to append a snapshot and which one a fold may start from.

The log keeps records for a limited time. A snapshot has to be appended before
the records that it replaces expire, or no process could start any more. Any
process that follows the log may append it. A random wait lets one of them be
the first; the others read its record and do not append another.
"""

import collections
import dataclasses
import math
import random

from clementinegw import exceptions
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import knobs
from clementinegw.settings import records

_MAX_CANDIDATES = 8
# Avoids parsing every change. A snapshot that is serialized differently is not
# a candidate, which does no harm.
_SNAPSHOT_MARKER = b'"kind":"snapshot"'


class SnapshotSchedule:
    """Decides when this process appends a snapshot to the log."""

    def __init__(self, rng: random.Random):
        """Initializes the schedule with no snapshot due.

        Args:
          rng: The source of the random wait.
        """
        self._rng = rng
        self._due_at: float | None = None

    def seconds_until_due(self, now: float) -> float:
        """Returns the seconds until `due` should be called again; may be inf.

        If it were called only when a long poll ends, all processes that follow
        the log would append at that moment.
        """
        return (
            math.inf if self._due_at is None else max(self._due_at - now, 0.0)
        )

    def due(
        self,
        fold: fold_lib.Fold,
        first_offset: int,
        settings: knobs.Replication,
        now: float,
        wall: float,
    ) -> bool:
        """Returns whether to append `fold.snapshot()` now.

        Args:
          fold: A fold that has reached the end of the log.
          first_offset: The oldest offset that the log has.
          settings: The knobs that determine how often to append.
          now: The current time, monotonic seconds.
          wall: The current time, epoch seconds.
        """
        if not _is_needed(fold, first_offset, settings, wall):
            self._due_at = None
            return False
        if self._due_at is None:
            self._due_at = now + self._rng.uniform(
                0, settings.snapshot_jitter_s
            )
        if now < self._due_at:
            return False
        # The append may be lost. It is repeated at this interval until the
        # snapshot has been read from the log.
        self._due_at = now + settings.snapshot_jitter_s
        return True


def _is_needed(
    fold: fold_lib.Fold,
    first_offset: int,
    settings: knobs.Replication,
    wall: float,
) -> bool:
    if fold.revision == 0 or fold.halted is not None:
        return False
    seen = fold.seen_snapshot
    if first_offset > 1 and (seen is None or seen.position <= first_offset):
        return True
    if fold.accepted_since_snapshot >= settings.snapshot_changes:
        return True
    history = fold.history()
    since = seen.time if seen else history[0].time
    return wall - since >= settings.snapshot_age_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    offset: int
    value: bytes
    snapshot: records.Snapshot


class Search:
    """Searches the end of the log for a snapshot to start from."""

    def __init__(self, start: int):
        """Initializes the search.

        Args:
          start: The first offset that is read.
        """
        self._start = start
        self._fingerprints: dict[int, bytes] = {}
        self._candidates: collections.deque[_Candidate] = collections.deque(
            maxlen=_MAX_CANDIDATES
        )

    @property
    def start(self) -> int:
        """The first offset that was read."""
        return self._start

    def add(self, offset: int, value: bytes) -> None:
        """Adds a record; records are added in the order of their offsets."""
        self._fingerprints[offset] = records.fingerprint(value)
        if _SNAPSHOT_MARKER not in value:
            return
        parsed = records.parse(value)
        if isinstance(parsed, records.Snapshot):
            self._candidates.append(_Candidate(offset, value, parsed))

    def best(self, allow_rebase: bool) -> fold_lib.Fold | None:
        """Returns the fold of the newest usable snapshot.

        A snapshot is usable if the record before its position is still in the
        log and is the same record as when the snapshot was made. Without this
        check, a fold could start from a snapshot made before the log lost its
        end, and would mix two histories.

        Args:
          allow_rebase: Whether a rebasing snapshot is preferred. If there is
            no other, a rebasing snapshot is used in any case.
        """
        usable = [self._start_from(c) for c in reversed(self._candidates)]
        rebasing = [self._rebase_from(c) for c in reversed(self._candidates)]
        choices = rebasing + usable if allow_rebase else usable + rebasing
        return next((fold for fold in choices if fold is not None), None)

    def _start_from(self, candidate: _Candidate) -> fold_lib.Fold | None:
        if not self._continues(candidate):
            return None
        try:
            return fold_lib.Fold.from_snapshot(candidate.value)
        except exceptions.DecodeError:
            return None

    def _rebase_from(self, candidate: _Candidate) -> fold_lib.Fold | None:
        if not candidate.snapshot.rebase:
            return None
        try:
            return fold_lib.Fold.rebased(candidate.offset, candidate.value)
        except exceptions.DecodeError:
            return None

    def _continues(self, candidate: _Candidate) -> bool:
        snapshot = candidate.snapshot
        if snapshot.position > candidate.offset:
            return False
        before = self._fingerprints.get(snapshot.position - 1)
        return before is not None and before == snapshot.fingerprint
