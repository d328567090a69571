"""Typed changes of the settings tree and their application.

This module represents a tree as decoded JSON. It never modifies a tree in
place: an operation copies the objects on its path, so older trees stay valid.
"""

import dataclasses
import enum
from typing import Any

from clementinegw import exceptions
from clementinegw.settings import _errors

# Far more than the depth of the tree. The limit bounds the recursion, so that
# the result does not depend on a process's stack.
MAX_DEPTH = 16

Json = Any
Path = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Set:
    """Sets the value at a path; missing objects above it are created.

    Attributes:
      path: A dotted path such as `defaults.limits.requests_per_s`.
      value: The value, as decoded JSON.
    """

    path: str
    value: Json


@dataclasses.dataclass(frozen=True, slots=True)
class Unset:
    """Removes the value at a path and everything below it.

    Attributes:
      path: A dotted path.
    """

    path: str


Operation = Set | Unset


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator publishes.

    Attributes:
      change_id: The id that the publisher chose at random; a change with the
        same id is never applied twice.
      base: The revision that the change is based on.
      who: The operator.
      why: The reason, for the history.
      time: When the change was made, epoch seconds by the operator's clock.
      operations: The operations, applied in order, either all or none.
      schema: The schema of the change's record; see `records`.
    """

    change_id: str
    base: int
    who: str
    why: str
    time: float
    operations: tuple[Operation, ...]
    schema: int = 1

    def encode(self) -> bytes:
        """Returns the change as a record of the log."""
        return _errors.dump_json(
            {
                "schema": self.schema,
                "kind": "change",
                "id": self.change_id,
                "base": self.base,
                "who": self.who,
                "why": self.why,
                "time": self.time,
                "operations": [encode_operation(o) for o in self.operations],
            }
        )


def encode_operation(operation: Operation) -> dict[str, Json]:
    """Returns an operation as JSON."""
    if isinstance(operation, Set):
        return {"set": operation.path, "value": operation.value}
    return {"unset": operation.path}


def decode_operation(data: dict[str, Json]) -> Operation:
    """Returns the operation that `encode_operation` encoded."""
    if "set" in data:
        return Set(data["set"], data["value"])
    return Unset(data["unset"])


def split(path: str) -> Path:
    """Returns the keys of a dotted path.

    Raises:
      exceptions.SettingsError: A key is empty, or there are too many keys.
    """
    keys = tuple(path.split("."))
    if not all(keys) or len(keys) > MAX_DEPTH:
        raise exceptions.SettingsError(
            f"$.{path}: expected at most {MAX_DEPTH} keys joined by dots,"
            f' found "{path}"'
        )
    return keys


def overlap(one: str, other: str) -> bool:
    """Returns whether one path is equal to, above or below the other."""
    if len(one) > len(other):
        one, other = other, one
    if not other.startswith(one):
        return False
    return len(one) == len(other) or other[len(one)] == "."


def lookup(tree: Json, path: Path) -> Json:
    """Returns the value at a path.

    Raises:
      KeyError: The path has no value.
    """
    for key in path:
        if not isinstance(tree, dict):
            raise KeyError(key)
        tree = tree[key]
    return tree


def apply(tree: Json, operations: tuple[Operation, ...]) -> Json:
    """Returns the tree after all operations; the given tree is not modified.

    Raises:
      exceptions.SettingsError: A path leads through a value that is not an
        object.
    """
    for operation in operations:
        tree = _apply_at(tree, split(operation.path), operation)
    return tree


def _apply_at(tree: Json, path: Path, operation: Operation) -> Json:
    if not isinstance(tree, dict):
        raise exceptions.SettingsError(
            f"$.{operation.path}: expected an object above"
            f' "{".".join(path)}", found a value'
        )
    key, rest = path[0], path[1:]
    copy = dict(tree)
    if rest:
        if key in copy or isinstance(operation, Set):
            copy[key] = _apply_at(copy.get(key, {}), rest, operation)
    elif isinstance(operation, Set):
        copy[key] = operation.value
    else:
        copy.pop(key, None)
    return copy


def inverse(
    tree: Json, operations: tuple[Operation, ...]
) -> tuple[Operation, ...]:
    """Returns the operations that undo others.

    Args:
      tree: The tree before `operations`.
      operations: The operations to undo.
    """
    undo_operations: list[Operation] = []
    for operation in operations:
        undo = _inverse_of(tree, operation)
        if undo is not None:
            undo_operations.append(undo)
        tree = apply(tree, (operation,))
    return tuple(reversed(undo_operations))


def _inverse_of(tree: Json, operation: Operation) -> Operation | None:
    path = split(operation.path)
    for length in range(1, len(path) + 1):
        try:
            before = lookup(tree, path[:length])
        except KeyError:
            if isinstance(operation, Unset):
                return None
            return Unset(".".join(path[:length]))
    return Set(operation.path, before)


class DiffKind(enum.StrEnum):
    """How a leaf differs between two trees."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A leaf that differs between two trees.

    Attributes:
      kind: How it differs.
      path: Its dotted path.
      before: The value in the first tree; None if it was added.
      after: The value in the second tree; None if it was removed.
    """

    kind: DiffKind
    path: str
    before: Json
    after: Json

    def __str__(self) -> str:
        parts = {
            DiffKind.ADDED: f"{_dump(self.after)}",
            DiffKind.REMOVED: f"{_dump(self.before)}",
            DiffKind.CHANGED: f"{_dump(self.before)} -> {_dump(self.after)}",
        }
        return f"{self.kind} {self.path} = {parts[self.kind]}"


def _dump(value: Json) -> str:
    return _errors.dump_json(value).decode()


def leaves(tree: Json, prefix: str = "") -> dict[str, Json]:
    """Returns the leaf values of a tree by dotted path."""
    if not isinstance(tree, dict) or (prefix and not tree):
        return {prefix: tree}
    found: dict[str, Json] = {}
    for key in sorted(tree):
        found.update(leaves(tree[key], f"{prefix}.{key}" if prefix else key))
    return found


def diff(before: Json, after: Json) -> list[Difference]:
    """Returns the leaves that differ between two trees, sorted by path."""
    old, new = leaves(before), leaves(after)
    found = []
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            kind = DiffKind.ADDED
        elif path not in new:
            kind = DiffKind.REMOVED
        elif old[path] != new[path]:
            kind = DiffKind.CHANGED
        else:
            continue
        found.append(Difference(kind, path, old.get(path), new.get(path)))
    return found
