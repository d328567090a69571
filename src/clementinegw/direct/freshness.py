"""What an answer about a topic proves, and how old its records may be."""

import dataclasses
import math

# The part of a wait that counts as served by the platform's clock; the two
# clocks need not agree to the last percent.
_CREDITED_WAIT_SHARE = 0.95
# An answer that took longer had waited for its records, in seconds.
_IMMEDIATE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """What a source that reads for several says of an answer's age.

    Attributes:
      current_at: Up to when it proves that nothing else is new, in boot
        seconds.
      lag_s: How long its records may have lain unread, in seconds.
      available_s: How long the platform has answered without failure, in
        seconds.
      outage_s: How long it had given no answer before that, in seconds.
    """

    current_at: float
    lag_s: float
    available_s: float
    outage_s: float = 0.0


def current_at(asked_at: float, now: float, wait_s: float) -> float:
    """Returns up to when an answer proves that nothing else is new.

    An answer without records was kept back for the whole wait, so it speaks of
    the end of that wait and not of its beginning.

    Args:
      asked_at: When the question was asked, in seconds.
      now: When its answer was there.
      wait_s: For how long it may have been kept back; 0 for one with records.
    """
    return asked_at + min(now - asked_at, wait_s) * _CREDITED_WAIT_SHARE


def lag_s(
    asked_at: float, now: float, wait_s: float, last_complete: float | None
) -> float:
    """Returns how long the records of an answer may have lain unread.

    An answer that waited brings what was added just then. One that came at
    once may bring what was added since the last answer: long ago, where a
    connection had gone silent meanwhile. A question that the platform could
    not keep waiting never waited, however slow its answer was.

    Args:
      asked_at: When the question was asked, in seconds.
      now: When its answer was there.
      wait_s: For how long it may have been kept back; 0 for a whole reading.
      last_complete: Up to when all was known before; None at the first reading.

    Returns:
      Seconds; infinite at the first reading.
    """
    if last_complete is None:
        return math.inf
    if wait_s and now - asked_at > _IMMEDIATE_S:
        return 0.0
    return now - last_complete


def complete_until(
    asked_at: float, now: float, wait_s: float, has_records: bool
) -> float:
    """Returns up to when an answer brings all that was added.

    Unlike a proof it leans to no side: the earliest guess of all processes
    counts, and one that is early by a second would cost all of them as much of
    a version's time.

    Args:
      asked_at: When the question was asked, in seconds.
      now: When its answer was there.
      wait_s: For how long it may have been kept back.
      has_records: Whether it brought any.
    """
    return now if has_records else min(now, asked_at + wait_s)
