"""Settings between peers: what to answer, and what to believe of an answer."""

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
    """The other processes, as the follower needs them."""

    def domain(self) -> list[str]:
        """Returns the live members of the failure domain, with this one."""

    def others(self) -> list[str]:
        """Returns live members anywhere, without this one."""

    def newest_revision(self) -> int:
        """Returns the newest revision that a live member told of."""

    def ahead_of(self, revision: int) -> list[str]:
        """Returns the live members that told of a newer revision."""

    async def pull(
        self, peer: str, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        """Asks a peer.

        Raises:
          exceptions.ConnectionLost: It cannot be reached.
          exceptions.DecodeError: It sent something else.
          TimeoutError: It did not answer in time.
        """


class NoPeers:
    """A process without peers: it follows the log itself."""

    def domain(self) -> list[str]:
        """Returns nobody."""
        return []

    def others(self) -> list[str]:
        """Returns nobody."""
        return []

    def newest_revision(self) -> int:
        """Returns that nobody told of any."""
        return 0

    def ahead_of(self, revision: int) -> list[str]:
        """Returns nobody."""
        return []

    async def pull(
        self, peer: str, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        """Fails; there is nobody to ask."""
        raise exceptions.ConnectionLost(f"no peer {peer}")


@dataclasses.dataclass(frozen=True, slots=True)
class _TailRecord:
    offset: int
    time: float
    value: bytes
    fingerprint_before: bytes


class Tail:
    """The latest records folded, to pass them on without a snapshot."""

    def __init__(self) -> None:
        """Starts with none."""
        self._records: collections.deque[_TailRecord] = collections.deque(
            maxlen=MAX_TAIL_RECORDS
        )

    def add(
        self, offset: int, time: float, value: bytes, before: bytes
    ) -> None:
        """Takes a record that was folded.

        Args:
          offset: Its offset.
          time: When the log took it.
          value: The record.
          before: The fingerprint of the record before it.
        """
        if self._records and self._records[-1].offset + 1 != offset:
            self._records.clear()
        self._records.append(_TailRecord(offset, time, value, before))

    def clear(self) -> None:
        """Forgets all, when the fold was replaced."""
        self._records.clear()

    def records_from(
        self, position: int, fingerprint: bytes
    ) -> list[ttypes.LogRecord] | None:
        """Returns the records from a position on.

        Returns:
          The records; None when they are not kept or do not continue what the
          asker folded.
        """
        if not self._records or position < self._records[0].offset:
            return None
        wanted = list(self._records)[position - self._records[0].offset :]
        if not wanted or wanted[0].fingerprint_before != fingerprint:
            return None
        return [
            ttypes.LogRecord(kept.offset, kept.time, kept.value)
            for kept in wanted
        ]


def make_pull(
    fold: fold_lib.Fold | None, wait_s: float = 0.0
) -> ttypes.SettingsPull:
    """Returns the question of a process that has a fold, or none."""
    wait_ms = round(wait_s * 1000)
    if fold is None:
        return ttypes.SettingsPull(-1, 1, b"", wait_ms)
    return ttypes.SettingsPull(
        fold.revision, fold.position, fold.fingerprint, wait_ms
    )


def is_ahead(fold: fold_lib.Fold | None, pull: ttypes.SettingsPull) -> bool:
    """Returns whether there is something to answer at once."""
    if fold is None:
        return False
    return fold.revision > pull.revision or fold.position > pull.position


def answer(
    fold: fold_lib.Fold | None, tail: Tail, pull: ttypes.SettingsPull
) -> ttypes.SettingsState:
    """Returns the answer to a peer: records if they do, else a snapshot."""
    if fold is None:
        return ttypes.SettingsState(-1, b"", b"")
    state = ttypes.SettingsState(fold.revision, b"", b"", fold.position, [])
    following = None
    if pull.revision >= 0:
        following = tail.records_from(pull.position, pull.fingerprint)
    if following is not None:
        state.records = following
    elif is_ahead(fold, pull) and fold.revision >= pull.revision:
        # Also at the same revision: after a log that went back the asker has
        # the settings but not the place in the log, and would ask for ever.
        state.snapshot = fold.snapshot()
    if pull.revision == fold.revision and pull.position == fold.position:
        state.digest = bytes.fromhex(fold.digest)
    return state


class PullResult(enum.StrEnum):
    """What came of a peer's answer; each but the first two has a counter."""

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
    """Takes a peer's answer into the fold in force.

    Args:
      cursor: Holds the fold.
      state: The answer.
      newest: The newest revision that live members are known to have. A
        snapshot below it is refused: the log may be down for hours, and who
        started from a peer that was cut off would go back to its settings.
      adopt_position: Whether the peer knows the log better than this
        process, so that its place there is taken also at the same revision.

    Returns:
      What came of it, and the records that were folded.
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
    taken = _RESULT_BY_ADOPTION[cursor.adopt(theirs, adopt_position)]
    if taken is PullResult.NOTHING_NEW:
        return _compare(fold, state, adopt_position), []
    return taken, []


def _fold_records(
    cursor: cursor_lib.Cursor,
    fold: fold_lib.Fold,
    state: ttypes.SettingsState,
) -> tuple[PullResult, list[cursor_lib.Folded]]:
    folded = []
    for record in state.records:
        # Another answer may have been faster with the same records.
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
    further = fold is not None and (state.position or 0) > fold.position
    if further and adopt_position:
        # The peer is further but cannot pass on what lies between, as after
        # a log that went back. It answers at once each time: asked again, the
        # two would spin. One would notice a core that is busy with pulls.
        return PullResult.NOT_CONTINUED
    if fold is None or not state.digest or state.revision != fold.revision:
        return PullResult.NOTHING_NEW
    if state.digest.hex() != fold.digest:
        return PullResult.DIVERGED
    return PullResult.NOTHING_NEW
