"""Restores accepted changes that the log has lost.

In a complete log, a snapshot is never ahead of the fold and contains no
accepted change that the fold does not have. A snapshot that does proves that
the log was rolled back to an older state: a process that started from that log
alone would run with settings that were overridden long ago.

The changes in the snapshot were accepted and in force before the rollback.
The fold's other changes came after it. So the merged state is the snapshot's
state with the fold's later changes applied on top. A later change that would
have been rejected in a complete log overrides what it touches: both operators
received the result "accepted", and the later change wins.
"""

import dataclasses

from clementinegw.settings import _check
from clementinegw.settings import _state
from clementinegw.settings import changes
from clementinegw.settings import model
from clementinegw.settings import results


@dataclasses.dataclass(frozen=True, slots=True)
class Merged:
    """The result of a merge.

    Attributes:
      state: The merged state.
      tree: Its checked tree.
      refused: The changes rejected since the revision of the state.
      kept: Ids of the changes that were applied again.
      lost: Ids of the changes that could not be applied again.
    """

    state: _state.State
    tree: model.Tree
    refused: _state.Verdicts
    kept: tuple[str, ...]
    lost: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Side:
    """A state and the changes rejected since its revision.

    Attributes:
      state: The state.
      refused: The rejected changes.
    """

    state: _state.State
    refused: _state.Verdicts

    def has_decided(self, entry: _state.HistoryEntry) -> bool:
        """Returns whether a change is decided here or is too old to be."""
        return (
            entry.revision <= self.state.floor
            or entry.change_id in self.state.verdicts
            or entry.change_id in self.refused
        )


def merge(own: Side, snapshot: Side) -> Merged | None:
    """Merges a snapshot read from the log into a fold.

    Args:
      own: The fold's side; it may be modified.
      snapshot: The snapshot's side; it may be modified.

    Returns:
      The merged state; None if the snapshot contains nothing new.

    Raises:
      exceptions.SettingsError: The snapshot's tree is invalid.
    """
    ahead = snapshot.state.revision > own.state.revision
    if not ahead and all(own.has_decided(e) for e in snapshot.state.history):
        return None
    if not _is_complete(own.state, snapshot.state):
        changed = _changed_paths(own.state, snapshot.state)
        return _apply(own, snapshot.state, changed)
    newest = own.state.revision
    merged = _apply(snapshot, own.state, ())
    if not merged.kept and not ahead:
        # The content of the current revision changes, so it needs a new one.
        merged.state.revision = newest + 1
    return merged


def _is_complete(own: _state.State, snapshot: _state.State) -> bool:
    """Returns whether the history has every change that only the fold has.

    A change that was removed from the history cannot be applied again, so the
    merge would undo it.
    """
    if len(own.history) < _state.MAX_HISTORY_ENTRIES:
        return True
    oldest = own.history[0]
    return oldest.revision <= snapshot.floor or snapshot.accepted(
        oldest.change_id
    )


def _changed_paths(
    own: _state.State, snapshot: _state.State
) -> tuple[str, ...]:
    """Returns the paths touched after the last change that both sides have."""
    common = max(
        (
            own.verdicts[entry.change_id].revision
            for entry in snapshot.history
            if own.accepted(entry.change_id)
        ),
        default=0,
    )
    return tuple(p for p, (at, _) in own.touched.items() if at > common)


def _apply(
    earlier: Side, later: _state.State, protected_paths: tuple[str, ...]
) -> Merged:
    """Applies the changes that only `later` has on top of `earlier`."""
    state = earlier.state
    tree = model.parse_tree(state.tree)
    revision = max(state.revision, later.revision)
    kept, lost = [], []
    for entry in later.history:
        if entry.revision <= state.floor or state.accepted(entry.change_id):
            continue
        change = _rebase_change(entry, state)
        checked = _check.check(state.tree, tree, change)
        if isinstance(checked, results.Rejected) or _overlaps(
            change, protected_paths
        ):
            lost.append(entry.change_id)
            continue
        raw, tree = checked
        revision += 1
        state.accept(change, raw, revision, entry.time, earlier.refused)
        kept.append(entry.change_id)
    for change_id in lost:
        earlier.refused[change_id] = _state.Verdict(
            state.revision, results.RejectReason.CONFLICT.value
        )
    return Merged(state, tree, earlier.refused, tuple(kept), tuple(lost))


def _overlaps(change: changes.Change, paths: tuple[str, ...]) -> bool:
    return any(
        changes.overlap(path, operation.path)
        for path in paths
        for operation in change.operations
    )


def _rebase_change(
    entry: _state.HistoryEntry, state: _state.State
) -> changes.Change:
    return changes.Change(
        entry.change_id,
        state.revision,
        entry.who,
        entry.why,
        entry.time,
        entry.operations,
        state.schema,
    )
