"""Watches topics of the platform's store and tracks how fresh the copy is.

There is one watcher per topic. It reads a snapshot, which is the newest record
of each key, and then only changes. The age of its copy is the time since the
last moment at which an answer showed that the copy was current.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import time
from typing import Any, Protocol

import mode

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import freshness as freshness_lib
from clementinegw.direct import log_position
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import errors
from clementinegw.telemetry import events
from clementinegw.telemetry import logs

# Backoff after failed calls, in seconds: short compared with the two seconds
# within which a change must take effect.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
# Consecutive answers that are immediate and empty or report lost history, after
# which calls back off. A few are normal, such as a snapshot and the immediate
# poll after a change; without a limit the watcher would poll in a busy loop.
_MAX_EMPTY_ANSWERS = 4
# A poll fails at most this long after the end of its wait, in seconds.
_HELD_GRACE_S = 0.5
# An answer that took less than this, in seconds, was not held by the platform.
_IMMEDIATE_S = 0.05


class HistoryLost(exceptions.PlatformError):
    """The requested records are deleted; a new snapshot must be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The newest value of a key.

    Attributes:
      key: The key, such as a server's id.
      value: A decoded record of `direct.types`; None if the key is deleted.
    """

    key: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """The result of one call to a source.

    Attributes:
      records: The records in log order.
      next_position: The position at which the next call starts.
      freshness: How fresh the answer is; None if it follows from the time of
        the call.
      billed: Whether the platform charges for the call, so that the next one
        should be delayed.
    """

    records: tuple[Record, ...]
    next_position: int
    freshness: freshness_lib.Freshness | None = None
    billed: bool = True


class Source(Protocol):
    """A topic of the platform's store with decoded records."""

    async def snapshot(self) -> Batch:
        """Returns the newest record of each key.

        Raises:
          exceptions.PlatformError: No complete answer arrived.
        """

    async def changes(self, position: int, wait_s: float) -> Batch:
        """Returns the records that were added since a position.

        Args:
          position: The first position to read.
          wait_s: How long the platform may wait for a first record, in seconds.

        Raises:
          HistoryLost: The records at this position are deleted.
          exceptions.PlatformError: No complete answer arrived.
        """


class Epochs(Protocol):
    """Knows in which epochs of the store a copy can be current."""

    def observe(self, epoch: int) -> None:
        """Records an epoch that an answer was of."""

    def is_settled(self, epoch: int) -> bool:
        """Returns whether all that was written before an epoch is there."""


class AllEpochs:
    """Epochs of a topic whose copies may lack what was written shortly before.

    Implements `Epochs`.
    """

    def observe(self, epoch: int) -> None:
        """See `Epochs`."""

    def is_settled(self, epoch: int) -> bool:
        """See `Epochs`."""
        del epoch
        return True


class Platform(Protocol):
    """The topics that every process watches."""

    def operators(self) -> Source:
        """Returns the operators' declarations."""

    def servers(self) -> Source:
        """Returns the list of backend servers."""


def boot_time() -> float:
    """Returns seconds since boot, including time while suspended.

    The monotonic clock stops during suspension. With it, a process that resumes
    would treat keys that were revoked in the meantime as recently confirmed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class PollTiming:
    """How a topic is polled.

    Attributes:
      wait_s: How long the platform may hold a poll, in seconds.
      pause_s: The pause after an answer with records, in seconds. Changes come
        in bursts, and the platform charges for each answer.
    """

    wait_s: float
    pause_s: float


class TopicWatcher(mode.Service):
    """Polls one topic and passes its records on."""

    def __init__(
        self,
        name: str,
        source: Source,
        timing: PollTiming,
        on_batch: Callable[[Batch, bool], None],
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = boot_time,
        epochs: Epochs | None = None,
    ):
        """Makes no calls before `start`.

        Args:
          name: The topic's name in logs and counters.
          source: Reads the topic.
          timing: How the topic is polled.
          on_batch: Called with each batch and whether it is a snapshot. Keys
            that are missing from a snapshot are deleted.
          log: Receives events.
          counters: Counts calls and failures.
          clock: Returns seconds, including time while suspended.
          epochs: The epochs in which a copy can be current; all by default.
        """
        super().__init__()
        self._epochs = epochs or AllEpochs()
        self._name = name
        self._source = source
        self._timing = timing
        self._on_batch = on_batch
        self._log = log
        self._counters = counters
        self._clock = clock
        self._position: int | None = None
        self._epoch: int | None = None
        self._restored_at = -math.inf
        self._current_at: float | None = None
        self._settled_at = -math.inf
        self._carried_epoch: int | None = None
        self._complete_until: float | None = None
        self._failing_since: float | None = None
        self._failure_reason = ""
        self._poll_at_once = False
        self._lag_s = 0.0
        self._unapplied_since: float | None = None
        self._had_records = False
        self._available_since = clock()
        self._outage_s = 0.0

    @property
    def has_snapshot(self) -> bool:
        """Whether a snapshot has been read and applied."""
        return self._current_at is not None

    @property
    def age_s(self) -> float:
        """The maximum age of the copy in seconds; infinite before any."""
        if self._current_at is None:
            return float("inf")
        return self._clock() - self._current_at

    @property
    def settled_age_s(self) -> float:
        """The maximum age of the last copy that shows all that was written.

        In seconds; infinite before any. A copy of an epoch that has not settled
        does not count: it may lack what was written before the epoch.
        """
        if self._current_at is not None and self._misses_nothing:
            return self.age_s
        return self._clock() - self._settled_at

    @property
    def _misses_nothing(self) -> bool:
        """Whether the copy shows all that was written before its epoch."""
        if self._carried_epoch == self._epoch:
            return True
        return self._epochs.is_settled(self.epoch)

    @property
    def lag_s(self) -> float:
        """The maximum time the last batch lay unread in the store, in seconds.

        Infinite for the first batch.
        """
        return self._lag_s

    @property
    def available_s(self) -> float:
        """How long reads of the same epoch have not failed, in seconds."""
        if self._failing_since is not None:
            return 0.0
        return min(self._clock() - self._available_since, self.restored_s)

    @property
    def epoch(self) -> int:
        """The epoch of the store that the copy is of; 0 before any."""
        return self._epoch or 0

    @property
    def restored_s(self) -> float:
        """How long ago a restoration of the store was noticed, in seconds."""
        return self._clock() - self._restored_at

    @property
    def outage_s(self) -> float:
        """The length of the last outage in seconds, if it is reported."""
        return self._outage_s

    @property
    def _unapplied_s(self) -> float:
        """How long records that are not applied may be in the store."""
        if self._unapplied_since is None:
            return 0.0
        return self._clock() - self._unapplied_since

    @mode.Service.task
    async def _run(self) -> None:
        pause_s = _MIN_BACKOFF_S
        empty_answers = 0
        has_failed = False
        while not self.should_stop:
            asked_at = self._clock()
            try:
                has_billed_records = await self._read()
            except HistoryLost:
                self._counters.add(f"platform.{self._name}.history_lost")
                self._log.write(_events.HISTORY_LOST, topic=self._name)
                self._position = None
                # The platform answers again, so that failures before do not
                # delay the snapshot.
                empty_answers = 1 if has_failed else empty_answers + 1
                has_failed = False
            except exceptions.ClementineError as error:
                self._on_unavailable(error)
                empty_answers = _MAX_EMPTY_ANSWERS
                has_failed = True
            except Exception as error:
                # One record that cannot be applied must not end the watching,
                # and with it all other services of the process.
                self._on_unexpected(error)
                empty_answers = _MAX_EMPTY_ANSWERS
            else:
                at_once = self._clock() - asked_at < _IMMEDIATE_S
                is_empty = at_once and not self._had_records
                empty_answers = empty_answers + 1 if is_empty else 0
                if has_billed_records or not self._timing.wait_s:
                    await asyncio.sleep(self._timing.pause_s)
            if empty_answers < _MAX_EMPTY_ANSWERS:
                pause_s = _MIN_BACKOFF_S
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_BACKOFF_S)

    async def _read(self) -> bool:
        """Polls once and returns whether a billed answer had records."""
        asked_at = self._clock()
        is_snapshot = self._position is None
        self._counters.add(f"platform.{self._name}.calls")
        if self._position is None:
            batch = await self._source.snapshot()
        else:
            wait_s = 0.0 if self._poll_at_once else self._timing.wait_s
            batch = await self._source.changes(self._position, wait_s)
        self._position = batch.next_position
        self._record_epoch(log_position.epoch(batch.next_position))
        self._had_records = bool(batch.records)
        freshness = batch.freshness or self._freshness(
            batch, is_snapshot, asked_at
        )
        self._lag_s = max(freshness.lag_s, self._unapplied_s)
        self._record_availability(freshness)
        # An answer that was held and then had records only shows that the copy
        # was current when the poll was sent. An immediate second poll brings
        # the age down; without it, the process would seem disconnected for a
        # while after every change.
        self._poll_at_once = bool(batch.records) and not self._timing.pause_s
        if is_snapshot or batch.records:
            self._unapplied_since = self._clock() - self._lag_s
            self._on_batch(batch, is_snapshot)
            self._unapplied_since = None
        # Records that were not applied do not make the copy any fresher.
        self._on_success(freshness)
        return bool(batch.records) and batch.billed

    def _record_epoch(self, epoch: int) -> None:
        if self._epoch is not None and epoch > self._epoch:
            self._restored_at = self._clock()
            if self._was_in_touch:
                self._carried_epoch = epoch
        self._epoch = epoch
        self._epochs.observe(epoch)

    @property
    def _was_in_touch(self) -> bool:
        """Whether a poll was open until reads of the epoch failed.

        It would have told of any change, so that nothing is missing here which
        a restored store has lost.
        """
        failed_s = 0.0
        if self._failing_since is not None:
            failed_s = self._clock() - self._failing_since
        held_s = self._timing.wait_s + _HELD_GRACE_S
        return self.settled_age_s - failed_s <= held_s

    def _freshness(
        self, batch: Batch, is_snapshot: bool, asked_at: float
    ) -> freshness_lib.Freshness:
        now = self._clock()
        at_once = is_snapshot or self._poll_at_once
        wait_s = 0.0 if at_once else self._timing.wait_s
        lag_s = freshness_lib.lag_s(asked_at, now, wait_s, self._complete_until)
        self._complete_until = freshness_lib.complete_until(
            asked_at, now, wait_s, bool(batch.records)
        )
        if batch.records:
            wait_s = 0.0
        return freshness_lib.Freshness(
            freshness_lib.current_at(asked_at, now, wait_s),
            lag_s,
            math.inf,
        )

    def _record_availability(self, freshness: freshness_lib.Freshness) -> None:
        available_since = self._clock() - freshness.available_s
        self._available_since = max(self._available_since, available_since)
        self._outage_s = freshness.outage_s

    def _on_success(self, freshness: freshness_lib.Freshness) -> None:
        self._current_at = max(
            freshness.current_at, self._current_at or freshness.current_at
        )
        if self._misses_nothing:
            self._settled_at = self._current_at
        if self._failing_since is not None:
            lasted_s = self._clock() - self._failing_since
            self._failing_since = None
            self._available_since = self._clock()
            self._log.write(
                _events.TOPIC_REGAINED,
                topic=self._name,
                lasted_s=round(lasted_s, 3),
            )

    def _on_unavailable(self, error: exceptions.ClementineError) -> None:
        """Records a read that the platform did not answer."""
        self._counters.add(f"platform.{self._name}.failed")
        # A later failure with another reason is logged too. The first one may
        # only say that a reader is gone, the next one that the store is silent.
        self._on_failure(
            _events.TOPIC_LOST,
            getattr(error, "reason", ""),
            {"reason": error.message},
        )

    def _on_unexpected(self, error: Exception) -> None:
        """Records an error in reading or applying records."""
        self._counters.add(f"platform.{self._name}.unexpected")
        # Some records of the batch may have been applied and others not.
        self._position = None
        if self._unapplied_since is None:
            # The records were read after those that the copy has.
            self._unapplied_since = (
                -math.inf if self._current_at is None else self._current_at
            )
        fields = errors.describe(error)
        self._on_failure(_events.TOPIC_FAILED, str(fields), fields)

    def _on_failure(
        self, event: events.Event, reason: str, fields: dict[str, str]
    ) -> None:
        # The first poll after an outage must not be held: until it is answered,
        # the process rejects requests that it could serve.
        self._poll_at_once = True
        now = self._clock()
        since = now if self._failing_since is None else self._failing_since
        if self._failing_since is None or reason != self._failure_reason:
            self._log.write(
                event,
                topic=self._name,
                for_s=round(now - since, 3),
                **fields,
            )
        self._failing_since = since
        self._failure_reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class PollTimings:
    """How the topics of a platform are polled."""

    operators: PollTiming
    servers: PollTiming


class TopicWatchers:
    """Holds one watcher for each topic of a platform.

    Attributes:
      operators: Watches the operators' declarations.
      servers: Watches the list of servers.
    """

    def __init__(
        self,
        platform: Platform,
        timings: PollTimings,
        on_operators: Callable[[Batch, bool], None],
        on_servers: Callable[[Batch, bool], None],
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = boot_time,
        operator_epochs: Epochs | None = None,
    ):
        """Creates the watchers; the caller starts them.

        Args:
          platform: Provides the topics.
          timings: How each topic is polled.
          on_operators: Called with the operators' declarations, as `on_batch`
            of `TopicWatcher`.
          on_servers: Called with changes of the list of servers, likewise.
          log: Receives events.
          counters: Counts calls and failures.
          clock: Returns seconds, including time while suspended.
          operator_epochs: The epochs in which a copy of the operators'
            declarations can be current; all by default.
        """
        self.operators = TopicWatcher(
            "operators",
            platform.operators(),
            timings.operators,
            on_operators,
            log,
            counters,
            clock,
            operator_epochs,
        )
        self.servers = TopicWatcher(
            "servers",
            platform.servers(),
            timings.servers,
            on_servers,
            log,
            counters,
            clock,
        )

    @property
    def restored_s(self) -> float:
        """How long ago any topic showed the last restoration, in seconds."""
        watchers = (self.operators, self.servers)
        epoch = max(watcher.epoch for watcher in watchers)
        return max(w.restored_s for w in watchers if w.epoch == epoch)
