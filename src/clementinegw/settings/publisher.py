"""Publishes a change and finds out what became of it."""

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
    """Returns a change with a fresh id.

    Args:
      base: The revision that the operator saw.
      who: The operator.
      why: The reason.
      operations: What to do.
      clock: The source of its time.
    """
    wall = (clock or clocks.SystemClock()).wall()
    return changes.Change(
        uuid.uuid4().hex, base, who, why, wall, operations, records.SCHEMA
    )


async def read_fold(
    log: log_lib.LogClient, cursor: cursor_lib.Cursor | None = None
) -> fold_lib.Fold:
    """Reads the log to its end.

    Args:
      log: The log.
      cursor: One that read it before; a new one by default.

    Returns:
      The fold of all records.

    Raises:
      exceptions.PlatformUnavailable: The log did not answer, or is not to be
        believed at present.
      exceptions.PlatformError: It holds a record of a later version of the
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
            # The second look also takes a snapshot that rebases the log.
            if isinstance(event, cursor_lib.Refused) and refusals > 1:
                raise exceptions.PlatformUnavailable(
                    f"settings log refused, {event.reason}: {event.detail}"
                )
    fold = cursor.fold
    assert fold is not None
    if fold.halted is not None:
        raise exceptions.PlatformError(
            f"settings log: record {fold.position} has schema {fold.halted},"
            f" this version knows {records.SCHEMA}; install a later one"
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
    """Appends a change and reads what became of it.

    When the append's answer is lost, the record may be in the log or not, and
    may even get there later. So the log is read; a change that is not there is
    appended again under the same id, which the fold counts once.

    Args:
      log: The log.
      change: The change.
      cursor: One that read the log before; a new one by default.
      clock: The source of time.
      rng: The source of the pauses' jitter.
      deadline_s: When to give up, seconds.

    Returns:
      What every process makes of the change.

    Raises:
      exceptions.PlatformUnavailable: It could not be found out in time. The
        message names the change's id; publishing it again is safe.
      exceptions.PlatformError: The log holds a record of a later version.
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
                f"change {change.change_id}: not known whether it was"
                " published, the same id may be published again:"
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
    # Every fold skips such a record and never meets its id. In the log it
    # would look like a lost append, and be appended again until the deadline.
    problem = records.describe_problem(value)
    if problem:
        raise exceptions.SettingsError(f"change: {problem}")
    return value


@dataclasses.dataclass(slots=True)
class _Attempt:
    """Appends a change unless it is in the log, and looks it up there.

    Attributes:
      log: The log.
      cursor: Reads it.
      change_id: The change's id.
      value: The change's record.
      appended: Whether an append was answered.
      problem: Why the result is not known.
    """

    log: log_lib.LogClient
    cursor: cursor_lib.Cursor
    change_id: str
    value: bytes
    appended: bool = False
    problem: str = ""

    async def run(self) -> results.Accepted | results.Rejected | None:
        """Returns the result; None when it is not known yet."""
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
