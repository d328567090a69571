"""Formats the output of the settings command for people."""

import json
import time

from clementinegw.settings import changes
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import tree as tree_lib


def format_differences(differences: list[changes.Difference]) -> str:
    """Returns one line per difference."""
    return (
        "\n".join(str(difference) for difference in differences)
        or "no difference"
    )


def format_history(entries: list[fold_lib.HistoryEntry]) -> str:
    """Returns the changes with their operations, oldest first."""
    lines = []
    for entry in entries:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.time))
        why = f": {entry.why}" if entry.why else ""
        lines.append(f"{entry.revision}  {when}Z  {entry.who}{why}")
        lines += [f"    {_format_operation(o)}" for o in entry.operations]
    return "\n".join(lines) or "no change in the history"


def _format_operation(operation: changes.Operation) -> str:
    if isinstance(operation, changes.Unset):
        return f"unset {operation.path}"
    return f"set {operation.path} = {json.dumps(operation.value)}"


def format_explained(path: str, explained: tree_lib.Explained) -> str:
    """Returns a value, the level it is set at, and the values it overrides."""
    lines = [
        f"{path} = {_format_value(explained.value)}  from {explained.level}"
    ]
    for level, value in explained.overridden:
        lines.append(f"    overrides {_format_value(value)}  from {level}")
    return "\n".join(lines)


def _format_value(value: object) -> str:
    return json.dumps(value, default=str)
