"""Brings accepted changes back that the log has lost.

In a whole log a snapshot is never ahead of the fold, and knows no accepted
change that the fold does not know. One that does proves that the log went back
to an older state: whoever starts from it alone would run with settings that
were overridden long ago.

What the snapshot holds was accepted, and in force, before the log went back;
what the fold has besides came after. So the fold becomes the snapshot's with
its own later changes on top. A later change that would have been rejected, had
the log been whole, overrides what it touches; both operators were told that
theirs is accepted, and the later one holds.
"""

import dataclasses

from clementinegw.settings import _check
from clementinegw.settings import _state
from clementinegw.settings import changes
from clementinegw.settings import model
from clementinegw.settings import results


@dataclasses.dataclass(frozen=True, slots=True)
class Merged:
    """What came of a merge.

    Attributes:
      state: The state after it.
      tree: Its checked tree.
      refused: The refused changes that belong to it.
      kept: Ids of the changes that were applied again.
      lost: Ids of those that no longer fit.
    """

    state: _state.State
    tree: model.Tree
    refused: _state.Verdicts
    kept: tuple[str, ...]
    lost: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Side:
    """A state and the changes refused since its revision.

    Attributes:
      state: The state.
      refused: Those changes.
    """

    state: _state.State
    refused: _state.Verdicts

    def has_decided(self, entry: _state.HistoryEntry) -> bool:
        """Returns whether a change was decided on, or is too long ago."""
        return (
            entry.revision <= self.state.floor
            or entry.change_id in self.state.verdicts
            or entry.change_id in self.refused
        )


def merge(own: Side, snapshot: Side) -> Merged | None:
    """Returns what a fold becomes by a snapshot that it meets.

    Args:
      own: The fold's side; it may be changed.
      snapshot: The snapshot's side; it may be changed.

    Returns:
      The merged state; None when the snapshot holds nothing new.

    Raises:
      exceptions.SettingsError: The snapshot's tree does not fit.
    """
    ahead = snapshot.state.revision > own.state.revision
    if not ahead and all(own.has_decided(e) for e in snapshot.state.history):
        return None
    if not _is_complete(own.state, snapshot.state):
        moved = _changed_paths(own.state, snapshot.state)
        return _apply(own, snapshot.state, moved)
    newest = own.state.revision
    merged = _apply(snapshot, own.state, ())
    if not merged.kept and not ahead:
        # The content of the present revision changes, so it needs a new one.
        merged.state.revision = newest + 1
    return merged


def _is_complete(own: _state.State, snapshot: _state.State) -> bool:
    """Returns whether all that only the fold has is in its history.

    What the history forgot could not be applied again and would be undone.
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
    """Returns the paths touched after the last change that both know."""
    common = max(
        (
            own.verdicts[entry.change_id].revision
            for entry in snapshot.history
            if own.accepted(entry.change_id)
        ),
        default=0,
    )
    return tuple(p for p, (moved, _) in own.touched.items() if moved > common)


def _apply(
    earlier: Side, later: _state.State, protected_paths: tuple[str, ...]
) -> Merged:
    """Applies the changes that only one side has on top of the other."""
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
