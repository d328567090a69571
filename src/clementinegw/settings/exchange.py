"""Exchanges settings between peers: pulls, answers and their application."""

import collections
import dataclasses
import enum
from typing import Protocol

from clementinegw import exceptions
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import fold as fold_lib
from clementinegw.wire.gen.settings import ttypes

MAX_TAIL_RECORDS = 256


class Peers(Protocol):
    """The other processes, as the follower accesses them."""

    def domain(self) -> list[str]:
        """Returns the live members of the failure domain, with this one."""

    def others(self) -> list[str]:
        """Returns the live members of all failure domains except this one."""

    def newest_revision(self) -> int:
        """Returns the newest revision that a live member advertised."""

    def ahead_of(self, revision: int) -> list[str]:
        """Returns the live members that advertised a newer revision."""

    async def pull(
        self, peer: str, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        """Requests settings from a peer and returns its answer.

        Args:
          peer: The peer's instance id.
          request: The state of this process.
          timeout_s: How long to wait for the answer, in seconds.

        Raises:
          exceptions.ConnectionLost: The peer cannot be reached.
          exceptions.DecodeError: The peer sent an invalid answer.
          TimeoutError: The peer did not answer in time.
        """


class NoPeers:
    """The peers of a process without any, which follows the log itself."""

    def domain(self) -> list[str]:
        """Returns an empty list."""
        return []

    def others(self) -> list[str]:
        """Returns an empty list."""
        return []

    def newest_revision(self) -> int:
        """Returns 0: no member advertised a revision."""
        return 0

    def ahead_of(self, revision: int) -> list[str]:
        """Returns an empty list."""
        return []

    async def pull(
        self, peer: str, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        """Raises ConnectionLost, because there are no peers."""
        raise exceptions.ConnectionLost(f"no peer {peer}")


@dataclasses.dataclass(frozen=True, slots=True)
class _TailRecord:
    offset: int
    time: float
    value: bytes
    fingerprint_before: bytes


class Tail:
    """Keeps the latest folded records, to send them instead of a snapshot."""

    def __init__(self) -> None:
        """Initializes the tail without records."""
        self._records: collections.deque[_TailRecord] = collections.deque(
            maxlen=MAX_TAIL_RECORDS
        )

    def add(
        self, offset: int, time: float, value: bytes, before: bytes
    ) -> None:
        """Adds a record that was folded.

        Args:
          offset: The offset of the record.
          time: When the log accepted the record, epoch seconds.
          value: The record.
          before: The fingerprint of the record before it.
        """
        if self._records and self._records[-1].offset + 1 != offset:
            self._records.clear()
        self._records.append(_TailRecord(offset, time, value, before))

    def clear(self) -> None:
        """Removes all records, as when the fold was replaced."""
        self._records.clear()

    def records_from(
        self, position: int, fingerprint: bytes
    ) -> list[ttypes.LogRecord] | None:
        """Returns the records from a position on.

        Args:
          position: The offset of the first record.
          fingerprint: The fingerprint of the record before it.

        Returns:
          The records; None if they are no longer kept or do not continue the
          fold of the process that requests them.
        """
        if not self._records or position < self._records[0].offset:
            return None
        wanted = list(self._records)[position - self._records[0].offset :]
        if not wanted or wanted[0].fingerprint_before != fingerprint:
            return None
        return [
            ttypes.LogRecord(record.offset, record.time, record.value)
            for record in wanted
        ]


def make_pull(
    fold: fold_lib.Fold | None, wait_s: float = 0.0
) -> ttypes.SettingsPull:
    """Returns the pull request of a process with a fold, or without one."""
    wait_ms = round(wait_s * 1000)
    if fold is None:
        return ttypes.SettingsPull(-1, 1, b"", wait_ms)
    return ttypes.SettingsPull(
        fold.revision, fold.position, fold.fingerprint, wait_ms
    )


def is_ahead(fold: fold_lib.Fold | None, pull: ttypes.SettingsPull) -> bool:
    """Returns whether a fold is newer than that of a pull request."""
    if fold is None:
        return False
    return fold.revision > pull.revision or fold.position > pull.position


def answer(
    fold: fold_lib.Fold | None, tail: Tail, pull: ttypes.SettingsPull
) -> ttypes.SettingsState:
    """Returns the answer to a peer: records if possible, else a snapshot."""
    if fold is None:
        return ttypes.SettingsState(-1, b"", b"")
    state = ttypes.SettingsState(fold.revision, b"", b"", fold.position, [])
    following = None
    if pull.revision >= 0:
        following = tail.records_from(pull.position, pull.fingerprint)
    if following is not None:
        state.records = following
    elif is_ahead(fold, pull) and fold.revision >= pull.revision:
        # Also at the same revision: after a rollback of the log, the requesting
        # process has the settings but not the position in the log, and would
        # send requests for ever.
        state.snapshot = fold.snapshot()
    if pull.revision == fold.revision and pull.position == fold.position:
        state.digest = bytes.fromhex(fold.digest)
    return state


class PullResult(enum.StrEnum):
    """The result of applying a peer's answer; each result has a counter."""

    NOTHING_NEW = "nothing_new"
    FOLDED = "folded"
    ADOPTED = "adopted"
    OLDER = "older"
    DAMAGED = "damaged"
    DIVERGED = "diverged"
    LACKS_CHANGES = "lacks_changes"
    NOT_CONTINUED = "not_continued"


_RESULT_BY_ADOPTION = {
    cursor_lib.Adoption.ADOPTED: PullResult.ADOPTED,
    cursor_lib.Adoption.NOT_NEWER: PullResult.NOTHING_NEW,
    cursor_lib.Adoption.LACKS_CHANGES: PullResult.LACKS_CHANGES,
}


def apply_answer(
    cursor: cursor_lib.Cursor,
    state: ttypes.SettingsState,
    newest: int,
    adopt_position: bool = True,
) -> tuple[PullResult, list[cursor_lib.Folded]]:
    """Applies a peer's answer to the fold in force.

    Args:
      cursor: The cursor that has the fold.
      state: The answer.
      newest: The newest revision that live members advertised. An older
        snapshot is refused: the log may be down for hours, and a process that
        started from a peer that was cut off would run with its old settings.
      adopt_position: Whether the peer is known to follow the log, so that its
        position in the log is adopted even at the same revision.

    Returns:
      The result, and the records that were folded.
    """
    fold = cursor.fold
    if state.records and fold is not None:
        return _fold_records(cursor, fold, state)
    if not state.snapshot:
        return _compare(fold, state, adopt_position), []
    own = -1 if fold is None else fold.revision
    if own < state.revision < newest:
        return PullResult.OLDER, []
    try:
        theirs = fold_lib.Fold.from_snapshot(state.snapshot)
    except exceptions.DecodeError:
        return PullResult.DAMAGED, []
    result = _RESULT_BY_ADOPTION[cursor.adopt(theirs, adopt_position)]
    if result is PullResult.NOTHING_NEW:
        return _compare(fold, state, adopt_position), []
    return result, []


def _fold_records(
    cursor: cursor_lib.Cursor,
    fold: fold_lib.Fold,
    state: ttypes.SettingsState,
) -> tuple[PullResult, list[cursor_lib.Folded]]:
    folded = []
    for record in state.records:
        # The same records may have arrived in another answer before.
        if record.offset == fold.position:
            folded.append(
                cursor.fold_record(record.offset, record.time, record.value)
            )
    return (PullResult.FOLDED if folded else PullResult.NOTHING_NEW), folded


def _compare(
    fold: fold_lib.Fold | None,
    state: ttypes.SettingsState,
    adopt_position: bool,
) -> PullResult:
    is_later = fold is not None and (state.position or 0) > fold.position
    if is_later and adopt_position:
        # The peer's position is later, but it cannot send the records between,
        # as after a rollback of the log. It answers each request at once, so
        # repeated requests would keep a core busy.
        return PullResult.NOT_CONTINUED
    if fold is None or not state.digest or state.revision != fold.revision:
        return PullResult.NOTHING_NEW
    if state.digest.hex() != fold.digest:
        return PullResult.DIVERGED
    return PullResult.NOTHING_NEW
