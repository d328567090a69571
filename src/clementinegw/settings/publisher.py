"""Publishes a change and determines its result."""

import asyncio
import dataclasses
import random
import uuid

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw.platform import log as log_lib
from clementinegw.settings import changes
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import records
from clementinegw.settings import results

DEADLINE_S = 30.0
_FIRST_PAUSE_S = 0.2
_MAX_PAUSE_S = 2.0


def new_change(
    base: int,
    who: str,
    why: str,
    operations: tuple[changes.Operation, ...],
    clock: clocks.Clock | None = None,
) -> changes.Change:
    """Returns a change with a new random id.

    Args:
      base: The revision that the change is based on.
      who: The operator.
      why: The reason.
      operations: The operations of the change.
      clock: The source of the time of the change.
    """
    wall = (clock or clocks.SystemClock()).wall()
    return changes.Change(
        uuid.uuid4().hex, base, who, why, wall, operations, records.SCHEMA
    )


async def read_fold(
    log: log_lib.LogClient, cursor: cursor_lib.Cursor | None = None
) -> fold_lib.Fold:
    """Reads the log to its end and returns its fold.

    Args:
      log: The client of the log.
      cursor: A cursor that has read the log before; a new one by default.

    Returns:
      The fold of all records.

    Raises:
      exceptions.PlatformUnavailable: The log did not answer, or is refused at
        present.
      exceptions.PlatformError: The log has a record of a later version of the
        program.
    """
    cursor = cursor or cursor_lib.Cursor()
    cursor.require_verification()
    refusals = 0
    while not cursor.at_end:
        read = cursor.next_read()
        page = await log.read(records.STREAM, read.offset, read.limit, 0.0)
        for event in cursor.on_page(page):
            refusals += isinstance(event, cursor_lib.Refused)
            # The second pass also accepts a snapshot that rebases the log.
            if isinstance(event, cursor_lib.Refused) and refusals > 1:
                raise exceptions.PlatformUnavailable(
                    f"settings log refused, {event.reason}: {event.detail}"
                )
    fold = cursor.fold
    assert fold is not None
    if fold.halted is not None:
        raise exceptions.PlatformError(
            f"settings log: record {fold.position} has schema {fold.halted},"
            f" this version knows {records.SCHEMA}; install a later version"
        )
    return fold


async def publish(
    log: log_lib.LogClient,
    change: changes.Change,
    cursor: cursor_lib.Cursor | None = None,
    clock: clocks.Clock | None = None,
    rng: random.Random | None = None,
    deadline_s: float = DEADLINE_S,
) -> results.Accepted | results.Rejected:
    """Appends a change to the log and reads its result.

    If the answer to the append is lost, the record may or may not be in the
    log, and may even appear there later. So the log is read. A change that is
    not in it is appended again under the same id, which the fold counts once.

    Args:
      log: The client of the log.
      change: The change.
      cursor: A cursor that has read the log before; a new one by default.
      clock: The source of time.
      rng: The source of the jitter of pauses.
      deadline_s: The time after which to give up, in seconds.

    Returns:
      The result of the change, which is the same in all processes.

    Raises:
      exceptions.PlatformUnavailable: The result could not be determined in
        time. The message has the id of the change; publishing it again is
        safe.
      exceptions.PlatformError: The log has a record of a later version of the
        program.
      exceptions.SettingsError: The change is too large, or every process
        would skip its record. Nothing was appended.
    """
    clock = clock or clocks.SystemClock()
    rng = rng or random.Random()
    cursor = cursor or cursor_lib.Cursor()
    end = clock.now() + deadline_s
    pause_s = _FIRST_PAUSE_S
    attempt = _Attempt(log, cursor, change.change_id, _encode(change))
    while True:
        result = await attempt.run()
        if result is not None:
            return result
        if clock.now() + pause_s >= end:
            raise exceptions.PlatformUnavailable(
                f"change {change.change_id}: unknown whether it was"
                " published; it is safe to publish the same id again:"
                f" {attempt.problem}"
            )
        await asyncio.sleep(rng.uniform(pause_s / 2, pause_s))
        pause_s = min(pause_s * 2, _MAX_PAUSE_S)


def _encode(change: changes.Change) -> bytes:
    value = change.encode()
    if len(value) > records.MAX_CHANGE_BYTES:
        raise exceptions.SettingsError(
            f"change: expected at most {records.MAX_CHANGE_BYTES} bytes,"
            f" found {len(value)}"
        )
    # Every fold skips such a record and never records its id. The append would
    # look lost, and be repeated until the deadline.
    problem = records.describe_problem(value)
    if problem:
        raise exceptions.SettingsError(f"change: {problem}")
    return value


@dataclasses.dataclass(slots=True)
class _Attempt:
    """Appends a change unless it is in the log, and reads its result there.

    Attributes:
      log: The client of the log.
      cursor: The cursor that reads the log.
      change_id: The id of the change.
      value: The record of the change.
      appended: Whether an append was answered.
      problem: Why the result is not known yet.
    """

    log: log_lib.LogClient
    cursor: cursor_lib.Cursor
    change_id: str
    value: bytes
    appended: bool = False
    problem: str = ""

    async def run(self) -> results.Accepted | results.Rejected | None:
        """Returns the result; None if it is not known yet."""
        try:
            if not self.appended:
                self.appended = await _append(self.log, self.value)
            fold = await read_fold(self.log, self.cursor)
        except exceptions.PlatformUnavailable as error:
            self.problem = error.message
            return None
        result = fold.result_of(self.change_id)
        if result is None:
            self.appended = False
            self.problem = "the record is not in the log"
        return result


async def _append(log: log_lib.LogClient, value: bytes) -> bool:
    """Returns whether the append was answered."""
    try:
        await log.append(records.STREAM, value)
    except exceptions.PlatformUnavailable:
        return False
    return True
