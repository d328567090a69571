"""Computes how fresh an answer is, and how long its records lay unread."""

import dataclasses
import math

# The share of a wait that is credited to an empty answer. The wait is measured
# by the platform's clock, which may run slightly faster than the local one.
_CREDITED_WAIT_SHARE = 0.95
# An answer that took more than this, in seconds, was held until a record came.
_IMMEDIATE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """How fresh an answer is, as reported by a source that processes share.

    Attributes:
      current_at: The latest time at which the copy is known to have been
        current, in boot seconds.
      lag_s: The maximum time the records lay unread in the store, in seconds.
      available_s: How long the platform has answered without a failure, in
        seconds.
      outage_s: The length of the outage before that, in seconds.
    """

    current_at: float
    lag_s: float
    available_s: float
    outage_s: float = 0.0


def current_at(asked_at: float, now: float, wait_s: float) -> float:
    """Returns the latest time at which an answer shows the copy was current.

    An empty answer was held for the whole wait, so it confirms the state at the
    end of the wait and not at its beginning.

    Args:
      asked_at: When the call was sent, in seconds.
      now: When its answer arrived, in seconds.
      wait_s: How long the answer may have been held, in seconds; 0 if it has
        records.
    """
    return asked_at + min(now - asked_at, wait_s) * _CREDITED_WAIT_SHARE


def lag_s(
    asked_at: float, now: float, wait_s: float, last_complete: float | None
) -> float:
    """Returns the maximum time the records of an answer lay unread.

    A held answer brings records that were added just then. An immediate one may
    bring anything added since the last answer, which may be long ago if a
    connection was stalled in between. An answer that could not be held counts
    as immediate, however long it took.

    Args:
      asked_at: When the call was sent, in seconds.
      now: When its answer arrived, in seconds.
      wait_s: How long the answer may have been held, in seconds; 0 for a
        snapshot.
      last_complete: The time up to which all records had been read before, in
        seconds; None for the first answer.

    Returns:
      The time in seconds; infinite for the first answer.
    """
    if last_complete is None:
        return math.inf
    if wait_s and now - asked_at > _IMMEDIATE_S:
        return 0.0
    return now - last_complete


def complete_until(
    asked_at: float, now: float, wait_s: float, has_records: bool
) -> float:
    """Returns the estimated time up to which an answer includes all records.

    Unlike `current_at` this is not a lower bound. Of the estimates of when a
    version was declared, the earliest one of all processes counts, and one that
    is a second too early would cost all of them a second of the time that they
    have for the version.

    Args:
      asked_at: When the call was sent, in seconds.
      now: When its answer arrived, in seconds.
      wait_s: How long the answer may have been held, in seconds.
      has_records: Whether the answer has records.
    """
    return now if has_records else min(now, asked_at + wait_s)
