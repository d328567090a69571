"""The inputs of the gate and the actions that it returns."""

import dataclasses
import enum
from typing import NamedTuple

from clementinegw import types


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The gate's bounds.

    Attributes:
      capacity: How many attempts may be at the backend server at once, until
        it reports its own capacity.
      max_queued: How many attempts may wait for the backend server.
      retention_s: How long a record is kept, in seconds: for an attempt that
        was accepted from its deadline or its end on, whichever is later, for a
        refused attempt or a tombstone from its arrival on.
      max_records: How many records are kept of each kind: of attempts that
        were or may have been handed over, and of those that were not.
      retry_after_s: The delay that refusals recommend before a retry, in
        seconds.
    """

    capacity: int = 8
    max_queued: int = 32
    retention_s: float = 120.0
    max_records: int = 65_536
    retry_after_s: float = 0.5


class AttemptId(NamedTuple):
    """Identifies one attempt of one request.

    A named tuple, since it is the key of all tables of the gate and hashing it
    costs a third of hashing a dataclass.

    Attributes:
      request_id: The request's id.
      attempt: The attempt's number, never used for two submissions.
    """

    request_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class Attempt:
    """The properties of a submitted attempt that decisions depend on.

    Attributes:
      id: Its id.
      deadline: Its deadline, monotonic seconds at the agent.
      priority: Larger values are handed over first.
      idempotent: Whether it may run more than once.
      alone: Whether no other attempt may run at the same time.
      fingerprint: A hash that is equal for equal requests.
      key: The customer and the idempotency key; empty without a key.
      claim_offset: The fencing token; 0 without a claim.
      shard: The number of the claims' stream that the offset refers to.
      incarnation: The incarnation of the agent that it is addressed to; 0 for
        any.
      sent_at: When it was sent, in seconds on this agent's monotonic clock;
        None if unknown.
    """

    id: AttemptId
    deadline: float
    priority: types.Priority = types.Priority.NORMAL
    idempotent: bool = True
    alone: bool = False
    fingerprint: bytes = b""
    key: str = ""
    claim_offset: int = 0
    shard: int = 0
    incarnation: int = 0
    sent_at: float | None = None


class RefusalReason(enum.StrEnum):
    """Why an attempt was not handed over.

    Each has a counter `gate.refused.REASON`.
    """

    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    LOADING = "loading"
    NOT_READY = "not_ready"
    TOMBSTONED = "tombstoned"
    FORGOTTEN = "forgotten"
    INCARNATION = "incarnation"
    NO_CLAIM = "no_claim"
    FENCED = "fenced"
    ALREADY_RUN = "already_run"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    DECLINED = "declined"
    WRONG_VERSION = "wrong_version"


class FailureReason(enum.StrEnum):
    """Why the outcome of a handed-over attempt is unknown.

    Each has a counter `gate.failed.REASON`.
    """

    CRASHED = "backend_crashed"
    STALLED = "backend_stalled"
    LOST = "connection_lost"
    TRUNCATED = "answer_truncated"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    DUPLICATE = "duplicate"
    WRONG_WEIGHTS = "wrong_weights"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Hand the attempt to the backend server now."""

    id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send proof that the attempt was not and will not be handed over.

    Attributes:
      id: The attempt.
      reason: Why it was refused.
      retry_after_s: The delay before a retry may succeed, in seconds.
    """

    id: AttemptId
    reason: RefusalReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Send that the attempt was handed over and its outcome is unknown.

    Attributes:
      id: The attempt.
      reason: Why the outcome is unknown.
    """

    id: AttemptId
    reason: FailureReason


@dataclasses.dataclass(frozen=True, slots=True)
class FailDuplicate:
    """Fail a second submission of an attempt that was handed over.

    The first submission continues.
    """

    id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class CancelBackend:
    """Stop the attempt at the backend server."""

    id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Report the requests that were in flight at a crash.

    Attributes:
      sequence: The number of the crash since this agent started, from 1.
      fingerprints: The fingerprints of the attempts in flight, each once.
    """

    sequence: int
    fingerprints: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCleared:
    """Report requests that completed after a crash.

    Attributes:
      fingerprints: The fingerprints of those requests.
    """

    fingerprints: tuple[bytes, ...]


Action = (
    HandOver
    | Refuse
    | Fail
    | FailDuplicate
    | CancelBackend
    | ReportCrash
    | ReportCleared
)
