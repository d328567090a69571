"""The deterministic fold of the log's `settings` stream.

Every process that folds the same records gets the same tree, revision and
verdicts. A revision is the offset of the change that made it.
"""

import collections
import dataclasses

from clementinegw import exceptions
from clementinegw.settings import _check
from clementinegw.settings import _errors
from clementinegw.settings import _merge
from clementinegw.settings import _state
from clementinegw.settings import changes
from clementinegw.settings import model
from clementinegw.settings import records
from clementinegw.settings import results

MAX_VERDICTS = _state.MAX_VERDICTS
MAX_HISTORY_ENTRIES = _state.MAX_HISTORY_ENTRIES

HistoryEntry = _state.HistoryEntry


@dataclasses.dataclass(frozen=True, slots=True)
class SeenSnapshot:
    """The newest snapshot that the fold has read.

    Attributes:
      revision: Its revision.
      position: The first offset that is folded by a fold started from it.
      time: When the log accepted the record, epoch seconds.
    """

    revision: int
    position: int
    time: float


class Fold:
    """The settings that result from the records up to a position."""

    def __init__(self) -> None:
        """Initializes the fold before the first record."""
        self._state = _state.State()
        self._checked_tree = model.Tree()
        self._refused: collections.OrderedDict[str, _state.Verdict] = (
            collections.OrderedDict()
        )
        self._position = 1
        self._fingerprint = b""
        self._halted: int | None = None
        self._seen_snapshot: SeenSnapshot | None = None
        self._accepted_since_snapshot = 0
        self._digest: str | None = None

    @property
    def revision(self) -> int:
        """The newest accepted change's offset; 0 before the first."""
        return self._state.revision

    @property
    def position(self) -> int:
        """The next offset to fold."""
        return self._position

    @property
    def fingerprint(self) -> bytes:
        """The fingerprint of the record before `position`, or empty."""
        return self._fingerprint

    @property
    def floor(self) -> int:
        """Changes based on a revision up to this one are rejected.

        The current revision is an exception.
        """
        return self._state.floor

    @property
    def tree(self) -> model.Tree:
        """The checked tree."""
        return self._checked_tree

    @property
    def raw(self) -> changes.Json:
        """The tree as JSON."""
        return self._state.tree

    @property
    def halted(self) -> int | None:
        """The unknown schema that the fold halted at, if any."""
        return self._halted

    @property
    def seen_snapshot(self) -> SeenSnapshot | None:
        """The newest snapshot read from the log, if any."""
        return self._seen_snapshot

    @property
    def accepted_since_snapshot(self) -> int:
        """The number of changes accepted after the newest snapshot read."""
        return self._accepted_since_snapshot

    @property
    def digest(self) -> str:
        """The digest of the state, equal in all processes at the revision."""
        if self._digest is None:
            self._digest = _state.digest(self._state.encode())
        return self._digest

    def apply(self, offset: int, value: bytes, time: float) -> results.Result:
        """Folds the record at `position`.

        Args:
          offset: The record's offset.
          value: The record.
          time: When the log accepted the record, epoch seconds.

        Returns:
          The result of folding it.

        Raises:
          exceptions.InvariantError: The offset is not `position`.
        """
        if offset != self._position:
            raise exceptions.InvariantError(
                f"settings fold is at offset {self._position}, got {offset}"
            )
        if self._halted is not None:
            return results.Halted(self._halted)
        parsed = records.parse(value)
        if isinstance(parsed, records.UnknownSchema):
            self._halted = parsed.schema
            return results.Halted(parsed.schema)
        self._position = offset + 1
        self._fingerprint = records.fingerprint(value)
        if isinstance(parsed, records.Unusable):
            return results.Skipped(parsed.reason)
        if isinstance(parsed, records.Snapshot):
            return self._fold_snapshot(parsed, time)
        return self._decide(parsed, offset, time)

    def result_of(
        self, change_id: str
    ) -> results.Accepted | results.Rejected | None:
        """Returns the result of a change; None if the change is not known."""
        verdict = self._verdict(change_id)
        return _to_result(verdict) if verdict else None

    def history(self, path: str = "") -> list[HistoryEntry]:
        """Returns the accepted changes in the history that touch a path."""
        return [
            entry
            for entry in self._state.history
            if not path
            or any(changes.overlap(path, o.path) for o in entry.operations)
        ]

    def preview(
        self, change: changes.Change
    ) -> results.Accepted | results.Rejected:
        """Returns the result that a change would have as the next record."""
        rejected = _check.find_conflict(self._state, change)
        if rejected is not None:
            return rejected
        checked = _check.check(self._state.tree, self._checked_tree, change)
        if isinstance(checked, results.Rejected):
            return checked
        return results.Accepted(self._next_revision(self._position))

    def snapshot(self, rebase: bool = False) -> bytes:
        """Returns the fold as a snapshot record.

        Args:
          rebase: Whether the snapshot rebases the log; see `records.Snapshot`.
        """
        text = self._state.encode()
        self._digest = _state.digest(text)
        return _errors.dump_json(
            {
                "schema": self._state.schema,
                "kind": "snapshot",
                "rebase": rebase,
                "revision": self._state.revision,
                "position": self._position,
                "fingerprint": self._fingerprint.hex(),
                "refused": [v.to_json(i) for i, v in self._refused.items()],
                "digest": self._digest,
                "state": _state.pack(text),
            }
        )

    @classmethod
    def from_snapshot(cls, value: bytes) -> "Fold":
        """Returns the fold that wrote a snapshot, at the same position.

        Raises:
          exceptions.DecodeError: The value is not a snapshot, is damaged, or
            has a schema that this version does not know.
        """
        parsed = records.parse(value)
        if not isinstance(parsed, records.Snapshot):
            raise exceptions.DecodeError("not a settings snapshot")
        fold = cls()
        fold._adopt(parsed)
        fold._position = parsed.position
        fold._fingerprint = parsed.fingerprint
        return fold

    @classmethod
    def rebased(cls, offset: int, value: bytes) -> "Fold":
        """Returns the fold of a rebasing snapshot, at the offset after it.

        Args:
          offset: The snapshot's offset.
          value: The snapshot.

        Raises:
          exceptions.DecodeError: As for `from_snapshot`.
        """
        fold = cls.from_snapshot(value)
        fold._position = offset + 1
        fold._fingerprint = records.fingerprint(value)
        return fold

    def _adopt(self, snapshot: records.Snapshot) -> None:
        state = _state.decode(_state.unpack(snapshot.state, snapshot.digest))
        if state.revision != snapshot.revision:
            raise exceptions.DecodeError("settings snapshot: wrong revision")
        try:
            refused = _state.verdicts_from_json(snapshot.refused)
            checked = model.parse_tree(state.tree)
        except (TypeError, IndexError, exceptions.SettingsError) as error:
            raise exceptions.DecodeError(
                f"settings snapshot: {error}"
            ) from None
        self._state = state
        self._refused = refused
        self._checked_tree = checked
        self._digest = snapshot.digest

    def _fold_snapshot(
        self, snapshot: records.Snapshot, time: float
    ) -> results.Result:
        if (snapshot.revision, snapshot.digest) == (self.revision, self.digest):
            self._seen_snapshot = SeenSnapshot(
                self.revision, snapshot.position, time
            )
            self._accepted_since_snapshot = 0
            return results.Skipped(records.SkipReason.SNAPSHOT_AGREES)
        try:
            merged = _merge.merge(
                _merge.Side(self._state, self._refused),
                _merge.Side(
                    _state.decode(
                        _state.unpack(snapshot.state, snapshot.digest)
                    ),
                    _state.verdicts_from_json(snapshot.refused),
                ),
            )
        except (exceptions.ClementineError, TypeError, IndexError):
            return results.Skipped(records.SkipReason.SNAPSHOT_CORRUPT)
        if merged is None:
            if snapshot.revision < self.revision:
                return results.Skipped(records.SkipReason.SNAPSHOT_OLDER)
            return results.Skipped(records.SkipReason.SNAPSHOT_DIVERGES)
        self._state, self._checked_tree = merged.state, merged.tree
        self._refused = merged.refused
        self._digest = None
        # A process that starts must not go back to before this record.
        self._seen_snapshot = None
        return results.Restored(self.revision, merged.kept, merged.lost)

    def _next_revision(self, offset: int) -> int:
        """Returns an accepted change's revision: its offset.

        The revision is ahead of the offsets only in a log that was restored.
        """
        return max(offset, self.revision + 1)

    def _verdict(self, change_id: str) -> _state.Verdict | None:
        known = self._state.verdicts.get(change_id)
        return known or self._refused.get(change_id)

    def _decide(
        self, change: changes.Change, offset: int, time: float
    ) -> results.Result:
        known = self._verdict(change.change_id)
        if known is not None:
            return results.Duplicate(_to_result(known))
        refusal = _check.find_conflict(self._state, change)
        checked = refusal or _check.check(
            self._state.tree, self._checked_tree, change
        )
        if isinstance(checked, results.Rejected):
            self._record_rejection(change, checked)
            return checked
        raw, self._checked_tree = checked
        revision = self._next_revision(offset)
        self._state.accept(change, raw, revision, time, self._refused)
        self._accepted_since_snapshot += 1
        self._digest = None
        return results.Accepted(self.revision)

    def _record_rejection(
        self, change: changes.Change, rejected: results.Rejected
    ) -> None:
        self._refused[change.change_id] = _state.Verdict(
            self.revision,
            rejected.reason.value,
            rejected.conflicting_change,
            rejected.conflicting_revision,
        )
        if len(self._refused) > MAX_VERDICTS:
            self._refused.popitem(last=False)


def _to_result(verdict: _state.Verdict) -> results.Accepted | results.Rejected:
    if not verdict.reason:
        return results.Accepted(verdict.revision)
    return results.Rejected(
        results.RejectReason(verdict.reason),
        verdict.conflict,
        verdict.conflict_revision,
    )
