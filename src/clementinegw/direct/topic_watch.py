"""Follows the platform's records and knows how old that knowledge is.

One follower a topic: it reads the newest record of each key once, then only
what is added. What it knows has an age: the time since the question was asked
whose answer last proved it right.
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
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# The first pause after a failed call and the longest one, in seconds. Short
# beside the two seconds in which a change must be in force.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
# Answers in a row that bring nothing and come at once, though the platform may
# wait, or say that history is lost. So many are usual: a whole reading, a proof
# behind news. More would be asked for as quickly as the platform answers.
_MAX_EMPTY_ANSWERS = 4
# An answer that came sooner did not wait, in seconds.
_IMMEDIATE_S = 0.05


class HistoryLost(exceptions.PlatformError):
    """The records that were asked for are deleted; read the newest anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The newest value of a key.

    Attributes:
      key: The key, such as a server's id.
      value: A decoded record of `direct.types`; None when the key is gone.
    """

    key: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """What one call returned.

    Attributes:
      records: In the order of the log.
      next_offset: The offset to go on from.
      freshness: Its age; None when the time of the call says it.
      billed: Whether the call is paid for, so that the next one should wait.
    """

    records: tuple[Record, ...]
    next_offset: int
    freshness: freshness_lib.Freshness | None = None
    billed: bool = True


class Source(Protocol):
    """One topic of the platform's store."""

    async def snapshot(self) -> Batch:
        """Returns the newest record of each key.

        Raises:
          exceptions.PlatformError: No whole answer came.
        """

    async def changes(self, offset: int, wait_s: float) -> Batch:
        """Returns what was added from an offset on.

        Args:
          offset: Where to begin.
          wait_s: How long the platform may wait for a first record.

        Raises:
          HistoryLost: Those records are deleted.
          exceptions.PlatformError: No whole answer came.
        """


class Platform(Protocol):
    """The topics that every process follows."""

    def operators(self) -> Source:
        """Returns the operators' declarations."""

    def servers(self) -> Source:
        """Returns the list of backend servers."""


def boot_time() -> float:
    """Returns seconds that also count while the machine is suspended.

    The steady clock stands still then; keys that were taken away meanwhile
    would look fresh to a process that wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class PollTiming:
    """How a topic is read.

    Attributes:
      wait_s: How long the platform may hold an answer, in seconds.
      pause_s: The pause after an answer with records, in seconds. Changes
        come in bursts, and each answer is paid for.
    """

    wait_s: float
    pause_s: float


class TopicWatcher(mode.Service):
    """Keeps up with one topic."""

    def __init__(
        self,
        name: str,
        source: Source,
        timing: PollTiming,
        on_batch: Callable[[Batch, bool], None],
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = boot_time,
    ):
        """Does nothing before `start`.

        Args:
          name: The topic's name in logs and counters.
          source: Reads it.
          timing: How often.
          on_batch: Takes each batch, and whether it is a whole reading: keys
            that a whole reading leaves out are gone.
          log: Where events go.
          counters: Counts calls and failures.
          clock: Seconds that also count while the machine is suspended.
        """
        super().__init__()
        self._name = name
        self._source = source
        self._timing = timing
        self._on_batch = on_batch
        self._log = log
        self._counters = counters
        self._clock = clock
        self._offset: int | None = None
        self._current_at: float | None = None
        self._complete_until: float | None = None
        self._failing_since: float | None = None
        self._failure_reason = ""
        self._poll_at_once = False
        self._lag_s = 0.0
        self._had_records = False
        self._available_since = clock()
        self._outage_s = 0.0

    @property
    def has_snapshot(self) -> bool:
        """Whether a whole reading has come."""
        return self._current_at is not None

    @property
    def age_s(self) -> float:
        """How old the knowledge may be, in seconds; infinite before any."""
        if self._current_at is None:
            return float("inf")
        return self._clock() - self._current_at

    @property
    def lag_s(self) -> float:
        """How long the records of the last batch may have lain, in seconds.

        Infinite for the first reading of all.
        """
        return self._lag_s

    @property
    def available_s(self) -> float:
        """How long the platform has answered without failure, in seconds."""
        if self._failing_since is not None:
            return 0.0
        return self._clock() - self._available_since

    @property
    def outage_s(self) -> float:
        """How long the last outage lasted, where the source tells; seconds."""
        return self._outage_s

    @mode.Service.task
    async def _run(self) -> None:
        pause_s = _MIN_BACKOFF_S
        empty_answers = 0
        while not self.should_stop:
            asked_at = self._clock()
            try:
                has_news = await self._read()
            except HistoryLost:
                self._counters.add(f"platform.{self._name}.history_lost")
                self._log.write(_events.HISTORY_LOST, topic=self._name)
                self._offset = None
                empty_answers += 1
            except exceptions.ClementineError as error:
                self._on_failure(error)
                empty_answers = _MAX_EMPTY_ANSWERS
            else:
                at_once = self._clock() - asked_at < _IMMEDIATE_S
                is_empty = at_once and not self._had_records
                empty_answers = empty_answers + 1 if is_empty else 0
                if has_news or not self._timing.wait_s:
                    await asyncio.sleep(self._timing.pause_s)
            if empty_answers < _MAX_EMPTY_ANSWERS:
                pause_s = _MIN_BACKOFF_S
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_BACKOFF_S)

    async def _read(self) -> bool:
        """Makes one call; returns whether there was anything new."""
        asked_at = self._clock()
        is_snapshot = self._offset is None
        self._counters.add(f"platform.{self._name}.calls")
        if self._offset is None:
            batch = await self._source.snapshot()
        else:
            wait_s = 0.0 if self._poll_at_once else self._timing.wait_s
            batch = await self._source.changes(self._offset, wait_s)
        self._offset = batch.next_offset
        self._had_records = bool(batch.records)
        freshness = batch.freshness or self._freshness(
            batch, is_snapshot, asked_at
        )
        self._lag_s = freshness.lag_s
        self._on_success(freshness)
        # An answer that waited and then brought news proves the time of its
        # question only. Asked again at once, the knowledge is as young as it
        # can be; else every change made the process look cut off for a while.
        self._poll_at_once = bool(batch.records) and not self._timing.pause_s
        if is_snapshot or batch.records:
            self._on_batch(batch, is_snapshot)
        return bool(batch.records) and batch.billed

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

    def _on_success(self, freshness: freshness_lib.Freshness) -> None:
        self._current_at = max(
            freshness.current_at, self._current_at or freshness.current_at
        )
        available_since = self._clock() - freshness.available_s
        self._available_since = max(self._available_since, available_since)
        self._outage_s = freshness.outage_s
        if self._failing_since is not None:
            lasted_s = self._clock() - self._failing_since
            self._failing_since = None
            self._available_since = self._clock()
            self._log.write(
                _events.TOPIC_REGAINED,
                topic=self._name,
                lasted_s=round(lasted_s, 3),
            )

    def _on_failure(self, error: exceptions.ClementineError) -> None:
        self._counters.add(f"platform.{self._name}.failed")
        # The first answer after an outage must not wait for news: until it
        # comes the process refuses what it could serve.
        self._poll_at_once = True
        now = self._clock()
        since = now if self._failing_since is None else self._failing_since
        # Another reason may tell what the first one does not, as a reader that
        # is gone before a store that is silent.
        reason = getattr(error, "reason", "")
        if self._failing_since is None or reason != self._failure_reason:
            self._log.write(
                _events.TOPIC_LOST,
                topic=self._name,
                reason=error.message,
                for_s=round(now - since, 3),
            )
        self._failing_since = since
        self._failure_reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class PollTimings:
    """How the topics of a platform are read."""

    operators: PollTiming
    servers: PollTiming


class TopicWatchers:
    """Keeps up with all topics of a platform."""

    def __init__(
        self,
        platform: Platform,
        timings: PollTimings,
        on_operators: Callable[[Batch, bool], None],
        on_servers: Callable[[Batch, bool], None],
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = boot_time,
    ):
        """Does nothing before its followers start.

        Args:
          platform: Has the topics.
          timings: How often each is read.
          on_operators: Takes what operators declared; see `TopicWatcher`.
          on_servers: Takes changes of the list of servers.
          log: Where events go.
          counters: Counts calls and failures.
          clock: Seconds that also count while the machine is suspended.
        """
        self.operators = TopicWatcher(
            "operators",
            platform.operators(),
            timings.operators,
            on_operators,
            log,
            counters,
            clock,
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
