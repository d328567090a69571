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
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8
# Answers in a row that bring nothing and come at once, though the platform may
# wait, or say that history is lost. So many are usual: a whole reading, a proof
# behind news. More would be asked for as quickly as the platform answers.
_MOST_IN_VAIN = 4
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
      end: The offset to go on from.
      freshness: Its age; None when the time of the call says it.
      paid: Whether the call is paid for, so that the next one should wait.
    """

    records: tuple[Record, ...]
    end: int
    freshness: freshness_lib.Freshness | None = None
    paid: bool = True


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
class Pace:
    """How a topic is read.

    Attributes:
      wait_s: How long the platform may hold an answer, in seconds.
      pause_s: The pause after an answer with records, in seconds. Changes
        come in bursts, and each answer is paid for.
    """

    wait_s: float
    pause_s: float


class Follower(mode.Service):
    """Keeps up with one topic."""

    def __init__(
        self,
        name: str,
        source: Source,
        pace: Pace,
        on_batch: Callable[[Batch, bool], None],
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = boot_time,
    ):
        """Does nothing before `start`.

        Args:
          name: The topic's name in logs and counters.
          source: Reads it.
          pace: How often.
          on_batch: Takes each batch, and whether it is a whole reading: keys
            that a whole reading leaves out are gone.
          log: Where events go.
          counters: Counts calls and failures.
          clock: Seconds that also count while the machine is suspended.
        """
        super().__init__()
        self._name = name
        self._source = source
        self._pace = pace
        self._on_batch = on_batch
        self._log = log
        self._counters = counters
        self._clock = clock
        self._offset: int | None = None
        self._current_at: float | None = None
        self._complete_until: float | None = None
        self._failing_since: float | None = None
        self._failing_by = ""
        self._unproved = False
        self._lag_s = 0.0
        self._brought = False
        self._returned_at = clock()
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
        return self._clock() - self._returned_at

    @property
    def outage_s(self) -> float:
        """How long the last outage lasted, where the source tells; seconds."""
        return self._outage_s

    @mode.Service.task
    async def _run(self) -> None:
        pause_s = _FIRST_PAUSE_S
        in_vain = 0
        while not self.should_stop:
            asked_at = self._clock()
            try:
                news = await self._read()
            except HistoryLost:
                self._counters.add(f"platform.{self._name}.history_lost")
                self._log.write(_events.HISTORY_LOST, topic=self._name)
                self._offset = None
                in_vain += 1
            except exceptions.ClementineError as error:
                self._failed(error)
                in_vain = _MOST_IN_VAIN
            else:
                at_once = self._clock() - asked_at < _IMMEDIATE_S
                vain = at_once and not self._brought
                in_vain = in_vain + 1 if vain else 0
                if news or not self._pace.wait_s:
                    await asyncio.sleep(self._pace.pause_s)
            if in_vain < _MOST_IN_VAIN:
                pause_s = _FIRST_PAUSE_S
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)

    async def _read(self) -> bool:
        """Makes one call; returns whether there was anything new."""
        asked_at = self._clock()
        whole = self._offset is None
        self._counters.add(f"platform.{self._name}.calls")
        if self._offset is None:
            batch = await self._source.snapshot()
        else:
            wait_s = 0.0 if self._unproved else self._pace.wait_s
            batch = await self._source.changes(self._offset, wait_s)
        self._offset = batch.end
        self._brought = bool(batch.records)
        freshness = batch.freshness or self._freshness(batch, whole, asked_at)
        self._lag_s = freshness.lag_s
        self._succeeded(freshness)
        # An answer that waited and then brought news proves the time of its
        # question only. Asked again at once, the knowledge is as young as it
        # can be; else every change made the process look cut off for a while.
        self._unproved = bool(batch.records) and not self._pace.pause_s
        if whole or batch.records:
            self._on_batch(batch, whole)
        return bool(batch.records) and batch.paid

    def _freshness(
        self, batch: Batch, whole: bool, asked_at: float
    ) -> freshness_lib.Freshness:
        now = self._clock()
        at_once = whole or self._unproved
        wait_s = 0.0 if at_once else self._pace.wait_s
        lain = freshness_lib.lag_s(asked_at, now, wait_s, self._complete_until)
        self._complete_until = freshness_lib.complete_until(
            asked_at, now, wait_s, bool(batch.records)
        )
        if batch.records:
            wait_s = 0.0
        return freshness_lib.Freshness(
            freshness_lib.current_at(asked_at, now, wait_s),
            lain,
            math.inf,
        )

    def _succeeded(self, freshness: freshness_lib.Freshness) -> None:
        self._current_at = max(
            freshness.current_at, self._current_at or freshness.current_at
        )
        settled_at = self._clock() - freshness.available_s
        self._returned_at = max(self._returned_at, settled_at)
        self._outage_s = freshness.outage_s
        if self._failing_since is not None:
            lasted = self._clock() - self._failing_since
            self._failing_since = None
            self._returned_at = self._clock()
            self._log.write(
                _events.TOPIC_REGAINED,
                topic=self._name,
                lasted_s=round(lasted, 3),
            )

    def _failed(self, error: exceptions.ClementineError) -> None:
        self._counters.add(f"platform.{self._name}.failed")
        # The first answer after an outage must not wait for news: until it
        # comes the process refuses what it could serve.
        self._unproved = True
        now = self._clock()
        since = now if self._failing_since is None else self._failing_since
        # Another reason may tell what the first one does not, as a reader that
        # is gone before a store that is silent.
        by = getattr(error, "reason", "")
        if self._failing_since is None or by != self._failing_by:
            self._log.write(
                _events.TOPIC_LOST,
                topic=self._name,
                reason=error.message,
                for_s=round(now - since, 3),
            )
        self._failing_since = since
        self._failing_by = by


@dataclasses.dataclass(frozen=True, slots=True)
class Paces:
    """How the topics of a platform are read."""

    operators: Pace
    servers: Pace


class Topics:
    """Keeps up with all topics of a platform."""

    def __init__(
        self,
        platform: Platform,
        paces: Paces,
        on_operators: Callable[[Batch, bool], None],
        on_servers: Callable[[Batch, bool], None],
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = boot_time,
    ):
        """Does nothing before its followers start.

        Args:
          platform: Has the topics.
          paces: How often each is read.
          on_operators: Takes what operators declared; see `Follower`.
          on_servers: Takes changes of the list of servers.
          log: Where events go.
          counters: Counts calls and failures.
          clock: Seconds that also count while the machine is suspended.
        """
        self.operators = Follower(
            "operators",
            platform.operators(),
            paces.operators,
            on_operators,
            log,
            counters,
            clock,
        )
        self.servers = Follower(
            "servers",
            platform.servers(),
            paces.servers,
            on_servers,
            log,
            counters,
            clock,
        )
