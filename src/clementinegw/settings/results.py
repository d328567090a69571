"""The results of folding records of the `settings` stream."""

import dataclasses
import enum

from clementinegw.settings import records


class RejectReason(enum.StrEnum):
    """Why a change was rejected; each reason has a counter."""

    CONFLICT = "conflict"
    STALE_BASE = "stale_base"
    UNKNOWN_BASE = "unknown_base"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was applied to the tree.

    Attributes:
      revision: The revision that it made.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change was rejected; every process rejects it.

    Attributes:
      reason: Why it was rejected.
      conflicting_change: The id of the change it conflicts with, or empty.
      conflicting_revision: The revision that the conflicting change made, or
        0.
      detail: An explanation of one line for the operator.
    """

    reason: RejectReason
    conflicting_change: str = ""
    conflicting_revision: int = 0
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Skipped:
    """The record was skipped and has no effect.

    Attributes:
      reason: Why it was skipped.
    """

    reason: records.SkipReason


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The change is in the log again; only the first record counts.

    Attributes:
      first: The result of the first record.
    """

    first: Accepted | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Restored:
    """A snapshot restored accepted changes that the log had lost.

    Attributes:
      revision: The revision after the merge with the snapshot.
      kept: The ids of changes that were accepted in the shortened log and
        were applied again on top.
      lost: The ids of changes that could not be applied again, because they
        are invalid now or overlap with changes of the other side; their
        operators have to publish them again.
    """

    revision: int
    kept: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Halted:
    """The record has an unknown later schema; no record after it is folded.

    Attributes:
      schema: The record's schema.
    """

    schema: int


Result = Accepted | Rejected | Skipped | Duplicate | Restored | Halted
