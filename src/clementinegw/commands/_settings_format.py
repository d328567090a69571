"""How the settings command shows things to a person."""

import json
import time

from clementinegw.settings import changes
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import tree as tree_lib


def format_differences(found: list[changes.Difference]) -> str:
    """Returns one line a difference."""
    return "\n".join(str(difference) for difference in found) or "no difference"


def format_history(entries: list[fold_lib.HistoryEntry]) -> str:
    """Returns the changes with what they did, the oldest first."""
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


def format_explained(path: str, found: tree_lib.Explained) -> str:
    """Returns the value, where it comes from, and what it overrides."""
    lines = [f"{path} = {_format_value(found.value)}  from {found.level}"]
    for level, value in found.overridden:
        lines.append(f"    overrides {_format_value(value)}  from {level}")
    return "\n".join(lines)


def _format_value(value: object) -> str:
    return json.dumps(value, default=str)
