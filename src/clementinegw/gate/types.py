"""What the gate is told, and what it asks for."""

import dataclasses
import enum
from typing import NamedTuple

from clementinegw import types


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The gate's bounds.

    Attributes:
      capacity: Attempts at the backend server at once, until it says itself
        how many it runs.
      max_queued: Attempts that may wait for it.
      retention_s: How long an attempt or a tombstone is remembered past its
        deadline, in seconds.
      max_records: Attempts and tombstones remembered at most.
      retry_after_s: When a refused attempt may come again, in seconds.
    """

    capacity: int = 8
    max_queued: int = 32
    retention_s: float = 120.0
    max_records: int = 65_536
    retry_after_s: float = 0.5


class AttemptId(NamedTuple):
    """Names one attempt of one request.

    A named tuple, since it is the key of every table here: its hash costs a
    third of a data class's.

    Attributes:
      request_id: The request.
      attempt: The attempt's number, never used for two submissions.
    """

    request_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class Attempt:
    """One submitted attempt, as far as decisions need it.

    Attributes:
      id: Its name.
      deadline: Monotonic seconds at the agent.
      priority: Larger is handed over first.
      idempotent: Whether it may run more than once.
      alone: Whether nothing may run beside it.
      fingerprint: Equal for equal requests.
      key: Names the idempotency key within the service; empty without one.
      claim_offset: The fencing number; 0 without a claim.
      shard: The stream of claims that the offset belongs to.
      incarnation: The agent's incarnation it is meant for; 0 for any.
      sent_at: When it was sent by this agent's clock; None when unknown.
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
    """Why an attempt was not handed over. Counters `gate.refused.REASON`."""

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
    """Why the end of a handed-over attempt is not known.

    Counters `gate.failed.REASON`.
    """

    CRASHED = "backend_crashed"
    STALLED = "backend_stalled"
    LOST = "connection_lost"
    TRUNCATED = "answer_truncated"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    DUPLICATE = "duplicate"
    WRONG_WEIGHTS = "wrong_weights"


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Hand the attempt to the backend server now."""

    id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with proof that the attempt was not and will not be handed over.

    Attributes:
      id: The attempt.
      reason: Why.
      retry_after_s: When another attempt may do better, in seconds.
    """

    id: AttemptId
    reason: RefusalReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the attempt was handed over and its end is not known.

    Attributes:
      id: The attempt.
      reason: Why.
    """

    id: AttemptId
    reason: FailureReason


@dataclasses.dataclass(frozen=True, slots=True)
class FailDuplicate:
    """Answer a second submission of an attempt that was handed over.

    The first submission goes on.
    """

    id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class CancelBackend:
    """Stop the attempt at the backend server."""

    id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Tell the fleet what was in flight at a crash.

    Attributes:
      sequence: Counts the crashes since this agent started.
      fingerprints: Of the attempts in flight, without repetitions.
    """

    sequence: int
    fingerprints: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCleared:
    """Tell the fleet of requests that completed after a crash.

    Attributes:
      fingerprints: Of those requests.
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
