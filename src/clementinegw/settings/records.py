"""The records of the log's `settings` stream and their parsing.

All processes must interpret a record in the same way, including those of an
older version of the program. So each record has the schema it is written in. A
process that does not know the schema halts there; every process skips any
other record that is invalid.
"""

import dataclasses
import enum
from typing import Any

import blake3
import pydantic
import pydantic_core

from clementinegw.settings import _errors
from clementinegw.settings import changes

STREAM = "settings"
SCHEMA = 1
MAX_CHANGE_BYTES = 65_536
MAX_SNAPSHOT_BYTES = 1_048_576
MAX_OPERATIONS = 256
FINGERPRINT_BYTES = 16


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, allow_inf_nan=False
    )


class _Operation(_Record):
    set: str | None = pydantic.Field(None, min_length=1, max_length=512)
    unset: str | None = pydantic.Field(None, min_length=1, max_length=512)
    value: Any = None

    @pydantic.model_validator(mode="after")
    def _check_set_or_unset(self) -> "_Operation":
        named = self.model_fields_set
        sets = named == {"set", "value"} and self.set is not None
        unsets = named == {"unset"} and self.unset is not None
        if not sets and not unsets:
            raise ValueError("expected set and value, or unset")
        return self


class _Change(_Record):
    schema_number: int = pydantic.Field(alias="schema", ge=1)
    kind: str = pydantic.Field(pattern="^change$")
    id: str = pydantic.Field(pattern=r"^[0-9a-zA-Z-]{8,64}$")
    base: int = pydantic.Field(ge=0)
    who: str = pydantic.Field(max_length=256)
    why: str = pydantic.Field(max_length=4096)
    time: float
    operations: list[_Operation] = pydantic.Field(
        min_length=1, max_length=MAX_OPERATIONS
    )


class _Snapshot(_Record):
    schema_number: int = pydantic.Field(alias="schema", ge=1)
    kind: str = pydantic.Field(pattern="^snapshot$")
    revision: int = pydantic.Field(ge=0)
    position: int = pydantic.Field(ge=1)
    fingerprint: str = pydantic.Field(pattern="^([0-9a-f]{2})*$")
    refused: list[list[Any]]
    digest: str = pydantic.Field(pattern="^[0-9a-f]{64}$")
    state: str
    rebase: bool = False


class SkipReason(enum.StrEnum):
    """Why a record has no effect; each reason has a counter."""

    NOT_JSON = "not_json"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"
    SNAPSHOT_AGREES = "snapshot_agrees"
    SNAPSHOT_OLDER = "snapshot_older"
    SNAPSHOT_DIVERGES = "snapshot_diverges"
    SNAPSHOT_CORRUPT = "snapshot_corrupt"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot in the log; see `snapshots`.

    Attributes:
      schema: The highest schema of the folded records.
      revision: Its revision, which determines the content of `state`.
      position: The next offset to fold.
      fingerprint: The fingerprint of the record before `position`; empty at
        the start of the log.
      refused: The changes rejected since the revision, up to `position`.
      digest: The digest of the state.
      state: The state of the fold, compressed.
      rebase: Whether a fold may start from the snapshot although it does not
        continue the records before it. Such a snapshot is appended to a log
        that no process can follow any more.
    """

    schema: int
    revision: int
    position: int
    fingerprint: bytes
    refused: tuple[tuple[Any, ...], ...]
    digest: str
    state: str
    rebase: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """A record that has no effect.

    Attributes:
      reason: Why it has none.
    """

    reason: SkipReason


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownSchema:
    """A record of a later version of the program.

    Attributes:
      schema: The record's schema.
    """

    schema: int


Parsed = changes.Change | Snapshot | Unusable | UnknownSchema


def fingerprint(value: bytes) -> bytes:
    """Returns a hash that identifies a record among those of one offset."""
    return blake3.blake3(value).digest(FINGERPRINT_BYTES)


def parse(value: bytes) -> Parsed:
    """Parses a record; the result is the same in all processes."""
    if len(value) > MAX_SNAPSHOT_BYTES:
        return Unusable(SkipReason.TOO_LARGE)
    try:
        # The nesting limit of this parser is fixed. That of the json module
        # depends on the caller's stack: one process would refuse a record that
        # another accepts, and their settings would diverge unnoticed.
        data = pydantic_core.from_json(value, allow_inf_nan=False)
    except ValueError:
        return Unusable(SkipReason.NOT_JSON)
    if not isinstance(data, dict):
        return Unusable(SkipReason.MALFORMED)
    schema = data.get("schema")
    if isinstance(schema, bool) or not isinstance(schema, int) or schema < 1:
        return Unusable(SkipReason.MALFORMED)
    if schema > SCHEMA:
        return UnknownSchema(schema)
    parser = _PARSERS.get(str(data.get("kind")))
    if parser is None:
        return Unusable(SkipReason.UNKNOWN_KIND)
    return parser(value, data)


def describe_problem(value: bytes) -> str:
    """Returns why a change's record would be skipped, in one line.

    Args:
      value: The record, as returned by `changes.Change.encode`.

    Returns:
      The error in the record; empty if it would not be skipped.
    """
    parsed = parse(value)
    if not isinstance(parsed, Unusable):
        return ""
    try:
        _Change.model_validate(pydantic_core.from_json(value))
    except pydantic.ValidationError as error:
        return _errors.describe(error, _Change)
    except ValueError:
        pass  # Not JSON; the reason says so.
    return str(parsed.reason)


def _parse_change(value: bytes, data: dict[str, Any]) -> Parsed:
    if len(value) > MAX_CHANGE_BYTES:
        return Unusable(SkipReason.TOO_LARGE)
    try:
        record = _Change.model_validate(data)
    except pydantic.ValidationError:
        return Unusable(SkipReason.MALFORMED)
    operations = tuple(_to_operation(o) for o in record.operations)
    return changes.Change(
        change_id=record.id,
        base=record.base,
        who=record.who,
        why=record.why,
        time=record.time,
        operations=operations,
        schema=record.schema_number,
    )


def _to_operation(operation: _Operation) -> changes.Operation:
    if operation.unset is not None:
        return changes.Unset(operation.unset)
    assert operation.set is not None
    return changes.Set(operation.set, operation.value)


def _parse_snapshot(value: bytes, data: dict[str, Any]) -> Parsed:
    del value
    try:
        record = _Snapshot.model_validate(data)
    except pydantic.ValidationError:
        return Unusable(SkipReason.MALFORMED)
    return Snapshot(
        schema=record.schema_number,
        revision=record.revision,
        position=record.position,
        fingerprint=bytes.fromhex(record.fingerprint),
        refused=tuple(tuple(entry) for entry in record.refused),
        digest=record.digest,
        state=record.state,
        rebase=record.rebase,
    )


_PARSERS = {"change": _parse_change, "snapshot": _parse_snapshot}
