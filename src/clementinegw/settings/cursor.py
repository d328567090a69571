"""Decides what to read from the log next and whether to accept it.

A state machine without I/O: `next_read` returns what to read, and `on_page`
handles the page that was read. The revision in force never decreases. If the
log is older than the fold, was replaced, or lacks records, it is refused and
the refusal is reported; the fold is kept until the log or a peer continues it.
"""

import dataclasses
import enum

from clementinegw.platform import log as log_lib
from clementinegw.settings import _pages
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import results
from clementinegw.settings import snapshots

PAGE_RECORDS = 500
FIRST_WINDOW_RECORDS = 512
WINDOW_GROWTH_FACTOR = 8


RefuseReason = _pages.RefuseReason


class Mode(enum.StrEnum):
    """The phase of reading that a cursor is in.

    SURVEY: determine which offsets the log has. SEARCH: look for a snapshot to
    start from. CATCH_UP: fold a candidate up to the end of the log. FOLLOW:
    wait for a new record. VERIFY: read on, starting with the last folded
    record, to check that the log still has it.
    """

    SURVEY = "survey"
    SEARCH = "search"
    CATCH_UP = "catch_up"
    FOLLOW = "follow"
    VERIFY = "verify"


class Repair(enum.StrEnum):
    """How a refused log can be repaired.

    RESTORE: the fold of the log lacks accepted changes that this process has;
    a snapshot restores them. REBASE: no process without settings can fold the
    log; if that lasts, a snapshot to start from is appended.
    """

    NONE = "none"
    RESTORE = "restore"
    REBASE = "rebase"


class Adoption(enum.StrEnum):
    """The result of offering a peer's fold to the cursor."""

    ADOPTED = "adopted"
    NOT_NEWER = "not_newer"
    LACKS_CHANGES = "lacks_changes"


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A read of the log.

    Attributes:
      offset: The first offset to read.
      limit: The maximum number of records to read.
      wait: Whether the log may delay its answer until there is a record.
    """

    offset: int
    limit: int
    wait: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """A record was folded into the settings in force.

    Attributes:
      offset: The offset of the record.
      time: When the log accepted the record, epoch seconds.
      value: The record.
      fingerprint_before: The fingerprint of the record before it.
      result: The result of folding it.
    """

    offset: int
    time: float
    value: bytes
    fingerprint_before: bytes
    result: results.Result


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """A fold that was rebuilt from the log came into force.

    Attributes:
      revision: Its revision.
      diverged: Whether the previous fold had different settings under the
        same revision, which is a defect.
    """

    revision: int
    diverged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The log was refused; the settings in force are kept.

    Attributes:
      reason: Why it was refused.
      detail: Offsets and revisions, for the log line.
      repair: How this process may repair the log.
    """

    reason: RefuseReason
    detail: str
    repair: Repair = Repair.NONE


Event = Folded | Adopted | Refused


class Cursor:
    """Follows the `settings` stream and keeps the fold in force."""

    def __init__(self) -> None:
        """Initializes the cursor without settings."""
        self._fold: fold_lib.Fold | None = None
        self._candidate: fold_lib.Fold | None = None
        self._search: snapshots.Search | None = None
        self._search_offset = 0
        self._mode = Mode.SURVEY
        self._first_offset = 1
        self._refused: RefuseReason | None = None
        self._allow_rebase = False
        self._handlers = {
            Mode.SURVEY: self._on_survey,
            Mode.SEARCH: self._on_search,
            Mode.CATCH_UP: self._on_catch_up,
            Mode.FOLLOW: self._on_follow,
            Mode.VERIFY: self._on_verify,
        }

    @property
    def fold(self) -> fold_lib.Fold | None:
        """The fold in force; None before the first."""
        return self._fold

    @property
    def mode(self) -> Mode:
        """The phase of reading that the cursor is in."""
        return self._mode

    @property
    def refused(self) -> RefuseReason | None:
        """Why the log is refused at present; None if it is not."""
        return self._refused

    @property
    def first_offset(self) -> int:
        """The oldest offset that the log had when it was last read."""
        return self._first_offset

    @property
    def at_end(self) -> bool:
        """Whether the fold had all records when the log was last read."""
        return self._mode is Mode.FOLLOW and self._refused is None

    def next_read(self) -> Read:
        """Returns what to read next."""
        if self._mode is Mode.SURVEY:
            return Read(1, 1)
        if self._mode is Mode.SEARCH:
            return Read(self._search_offset, PAGE_RECORDS)
        if self._mode is Mode.CATCH_UP:
            assert self._candidate is not None
            return _overlapping(self._candidate)
        assert self._fold is not None
        if self._mode is Mode.FOLLOW:
            return Read(self._fold.position, 1, wait=True)
        return _overlapping(self._fold)

    def on_page(self, page: log_lib.Page) -> list[Event]:
        """Handles the page that was read for `next_read`."""
        self._first_offset = page.first_offset
        return self._handlers[self._mode](page)

    def require_verification(self) -> None:
        """Verifies the log before it is followed again after a failed read."""
        if self._mode is Mode.FOLLOW:
            self._mode = Mode.VERIFY

    def adopt(
        self, fold: fold_lib.Fold, adopt_position: bool = True
    ) -> Adoption:
        """Adopts a peer's fold if it continues the one in force.

        Args:
          fold: The peer's fold.
          adopt_position: Whether a fold of the same revision is adopted if
            its position in the log is later.
        """
        if self._fold is not None:
            if not _continues(self._fold, fold, adopt_position):
                return Adoption.NOT_NEWER
            if missing_changes(self._fold, fold):
                # The peer follows a log that lost changes which are in force
                # here. A snapshot in the log merges the two; see `_merge`.
                return Adoption.LACKS_CHANGES
        self._fold = fold
        self._refused = None
        self._mode = Mode.VERIFY
        return Adoption.ADOPTED

    def fold_record(self, offset: int, time: float, value: bytes) -> Folded:
        """Folds a record that a peer forwarded; it must be the next one."""
        assert self._fold is not None
        before = self._fold.fingerprint
        result = self._fold.apply(offset, value, time)
        return Folded(offset, time, value, before, result)

    def _on_survey(self, page: log_lib.Page) -> list[Event]:
        self._start_search(
            max(page.first_offset, page.next_offset - FIRST_WINDOW_RECORDS, 1)
        )
        if page.next_offset <= max(page.first_offset, 1):
            return self._end_search(page)
        return []

    def _start_search(self, start: int) -> None:
        self._search = snapshots.Search(start)
        self._search_offset = start
        self._mode = Mode.SEARCH

    def _on_search(self, page: log_lib.Page) -> list[Event]:
        assert self._search is not None
        for record in page.records:
            self._search.add(record.offset, record.value)
            self._search_offset = record.offset + 1
        if page.records and self._search_offset < page.next_offset:
            return []
        return self._end_search(page)

    def _end_search(self, page: log_lib.Page) -> list[Event]:
        assert self._search is not None
        start = self._search.start
        candidate = self._search.best(self._allow_rebase)
        if candidate is None and start > max(page.first_offset, 1):
            window = (page.next_offset - start) * WINDOW_GROWTH_FACTOR
            self._start_search(
                max(page.first_offset, page.next_offset - window, 1)
            )
            return []
        if candidate is None and page.first_offset > 1:
            detail = f"the log begins at {page.first_offset}"
            repair = self._rebase_repair(page)
            return self._refuse(RefuseReason.NO_SNAPSHOT, detail, repair)
        self._search = None
        self._candidate = candidate or fold_lib.Fold()
        self._mode = Mode.CATCH_UP
        return []

    def _on_catch_up(self, page: log_lib.Page) -> list[Event]:
        candidate = self._candidate
        assert candidate is not None
        problem = _pages.check(candidate, page)
        if problem is not None:
            repair = Repair.NONE
            if problem is RefuseReason.GAP:
                self._allow_rebase = True
                repair = self._rebase_repair(page)
            return self._refuse(
                problem, _pages.describe(candidate, page), repair
            )
        for record in _pages.new_records(candidate, page):
            candidate.apply(record.offset, record.value, record.time)
        if candidate.position < page.next_offset and not candidate.halted:
            return []
        return self._adopt_or_refuse(candidate)

    def _rebase_repair(self, page: log_lib.Page) -> Repair:
        """Returns whether a snapshot of this process may rebase the log.

        It may not if records expired that this process has never read, because
        one of them may be a change that was accepted.
        """
        fold = self._fold
        if fold is None or fold.position < page.first_offset:
            return Repair.NONE
        return Repair.REBASE

    def _adopt_or_refuse(self, candidate: fold_lib.Fold) -> list[Event]:
        """Puts the fold of the log in force unless it lacks changes."""
        fold = self._fold
        self._candidate = None
        if fold is not None:
            older = candidate.revision < fold.revision
            if older or missing_changes(fold, candidate):
                detail = (
                    f"the log has revision {candidate.revision},"
                    f" {fold.revision} is in force"
                )
                reason = RefuseReason.OLDER if older else RefuseReason.REPLACED
                return self._refuse(reason, detail, Repair.RESTORE)
        self._fold = candidate
        self._refused = None
        self._allow_rebase = False
        self._mode = Mode.FOLLOW
        return [Adopted(candidate.revision, _diverges(fold, candidate))]

    def _on_follow(self, page: log_lib.Page) -> list[Event]:
        """Reads the new records again, with the record before them."""
        self._mode = Mode.VERIFY
        return []

    def _on_verify(self, page: log_lib.Page) -> list[Event]:
        fold = self._fold
        assert fold is not None
        problem = _pages.check(fold, page)
        if problem is not None:
            return self._refuse_continuation(
                problem, _pages.describe(fold, page)
            )
        self._refused = None
        events: list[Event] = [
            self.fold_record(record.offset, record.time, record.value)
            for record in _pages.new_records(fold, page)
        ]
        if fold.position >= page.next_offset or fold.halted:
            self._mode = Mode.FOLLOW
        return events

    def _refuse_continuation(
        self, reason: RefuseReason, detail: str
    ) -> list[Event]:
        """Refuses a log that does not continue the fold, and surveys it."""
        repeated = self._refused is not None
        self._mode = Mode.SURVEY
        self._refused = reason
        return [] if repeated else [Refused(reason, detail)]

    def _refuse(
        self,
        reason: RefuseReason,
        detail: str,
        repair: Repair = Repair.NONE,
    ) -> list[Event]:
        self._mode = Mode.SURVEY
        self._search = None
        self._candidate = None
        self._refused = reason
        return [Refused(reason, detail, repair)]


def _overlapping(fold: fold_lib.Fold) -> Read:
    return Read(max(fold.position - 1, 1), PAGE_RECORDS)


def missing_changes(
    before: fold_lib.Fold, after: fold_lib.Fold
) -> tuple[str, ...]:
    """Returns the changes accepted by one fold that another has not read."""
    return tuple(
        entry.change_id
        for entry in before.history()
        if entry.revision > after.floor
        and after.result_of(entry.change_id) is None
    )


def _continues(
    before: fold_lib.Fold, after: fold_lib.Fold, adopt_position: bool
) -> bool:
    """Returns whether a peer's fold is newer or at a later position."""
    if after.revision != before.revision or not adopt_position:
        return after.revision > before.revision
    return after.position > before.position and after.digest == before.digest


def _diverges(before: fold_lib.Fold | None, after: fold_lib.Fold) -> bool:
    return (
        before is not None
        and before.revision == after.revision
        and before.digest != after.digest
    )
