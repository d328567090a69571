"""Checks whether a change can be accepted: its base and the resulting tree."""

from clementinegw import exceptions
from clementinegw.settings import _recheck
from clementinegw.settings import _state
from clementinegw.settings import changes
from clementinegw.settings import knobs
from clementinegw.settings import model
from clementinegw.settings import results


def find_conflict(
    state: _state.State, change: changes.Change
) -> results.Rejected | None:
    """Returns a rejection if a change conflicts with changes after its base.

    A change is also rejected if its base is unknown, or too old to tell.
    """
    revision = state.revision
    if change.base > revision:
        return results.Rejected(
            results.RejectReason.UNKNOWN_BASE,
            detail=f"made for revision {change.base}, newest is {revision}",
        )
    if change.base < revision and change.base <= state.floor:
        return results.Rejected(
            results.RejectReason.STALE_BASE,
            detail=f"made for revision {change.base}, too long ago",
        )
    paths = [operation.path for operation in change.operations]
    conflicting = [
        (revision, path, other)
        for path, (revision, other) in state.touched.items()
        if revision > change.base and _overlaps_any(path, paths)
    ]
    if not conflicting:
        return None
    # Reports the newest one, so that the result does not depend on the order in
    # which this process received the changes.
    latest, path, other = max(conflicting)
    return results.Rejected(
        results.RejectReason.CONFLICT,
        other,
        latest,
        f"{path} was changed at revision {latest}",
    )


def _overlaps_any(path: str, others: list[str]) -> bool:
    return any(changes.overlap(path, other) for other in others)


def check(
    tree: changes.Json, checked: model.Tree, change: changes.Change
) -> results.Rejected | tuple[changes.Json, model.Tree]:
    """Applies a change's operations and checks the resulting tree.

    Args:
      tree: The tree before the change, as JSON.
      checked: The same tree, checked.
      change: The change to apply.

    Returns:
      The tree after the change, as JSON and checked, or a rejection if the
      change is invalid.
    """
    try:
        _refuse_newer_knobs(change)
        raw = changes.apply(tree, change.operations)
        paths = [changes.split(o.path) for o in change.operations]
        return raw, _recheck.recheck(checked, raw, paths)
    except (exceptions.SettingsError, ValueError) as error:
        return results.Rejected(results.RejectReason.INVALID, detail=str(error))


def _refuse_newer_knobs(change: changes.Change) -> None:
    """Refuses knobs that the change's schema does not have.

    Processes of the version that introduced the schema refuse such knobs as
    unknown. If a process of a later version accepted them, its settings would
    diverge from those.

    Raises:
      exceptions.SettingsError: The change sets such a knob.
    """
    newer = knobs.newer_than(change.schema)
    if not newer:
        return
    for operation in change.operations:
        value = operation.value if isinstance(operation, changes.Set) else None
        for path in changes.leaves(value, operation.path):
            keys = changes.split(path)
            for pair in zip(keys, keys[1:], strict=False):
                if pair in newer:
                    raise exceptions.SettingsError(
                        f"$.{path}: expected a knob of schema {change.schema}"
                    )
