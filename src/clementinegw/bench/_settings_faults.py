"""Fault injection for `bench settings`."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import enum
import random

from clementinegw import clock as clocks
from clementinegw.bench import _settings_checker as checkers
from clementinegw.bench import _settings_network as networks
from clementinegw.bench import _settings_platform as platforms
from clementinegw.settings import records

_MAX_LOST_RECORDS = 3
_RESTARTS_PER_S = 0.5


class Fault(enum.StrEnum):
    """A kind of fault."""

    LOG_DOWN = "logdown"
    LOST_ACK = "lostack"
    TRUNCATE = "truncate"
    PARTITION = "partition"
    RESTART = "restart"


@dataclasses.dataclass(slots=True)
class FaultInjector:
    """Injects faults until it is cancelled.

    Attributes:
      kinds: The kinds of faults to inject.
      platform: The platform that serves the log.
      network: The members and the partitions between them.
      checker: Receives the time windows in which members were unreachable.
      clock: The source of time.
      rng: Chooses the times and the affected parts.
      domains: Names of the failure domains.
      mean_duration_s: Mean duration of an outage or partition, in seconds.
      restart: Replaces a member with one that has no state.
    """

    kinds: frozenset[Fault]
    platform: platforms.Platform
    network: networks.Network
    checker: checkers.ConsistencyChecker
    clock: clocks.Clock
    rng: random.Random
    domains: list[str]
    mean_duration_s: float
    restart: Callable[[networks.Member], Awaitable[None]]

    async def run(self) -> None:
        """Injects all kinds of faults concurrently."""
        coroutines = []
        if self.kinds & {Fault.LOG_DOWN, Fault.TRUNCATE}:
            coroutines.append(self._outages())
        if Fault.PARTITION in self.kinds:
            coroutines.append(self._partitions())
        if Fault.RESTART in self.kinds:
            coroutines.append(self._restarts())
        await asyncio.gather(*coroutines)

    async def _outages(self) -> None:
        """Makes the log unavailable and possibly removes records meanwhile."""
        while True:
            await asyncio.sleep(
                self.rng.uniform(0.5, 1.5) * self.mean_duration_s
            )
            start = self.clock.now()
            self.platform.set_down(True)
            try:
                if Fault.LOG_DOWN in self.kinds:
                    duration_s = (
                        self.rng.uniform(0.5, 1.5) * self.mean_duration_s
                    )
                    await asyncio.sleep(duration_s)
                if Fault.TRUNCATE in self.kinds:
                    self._truncate()
            finally:
                self.platform.set_down(False)
                window = checkers.Window("", start, self.clock.now())
                self.checker.unreachable_windows.append(window)

    def _truncate(self) -> None:
        """Removes the last records of the log, or expires its first ones."""
        log = self.platform.records
        stored = log.all(records.STREAM)
        if len(stored) <= _MAX_LOST_RECORDS:
            return
        lost_count = self.rng.randint(1, _MAX_LOST_RECORDS)
        if self.rng.random() < 0.75:
            log.roll_back(records.STREAM, stored[-lost_count].offset)
        else:
            log.truncate(records.STREAM, stored[-lost_count].offset)

    async def _restarts(self) -> None:
        """Replaces members, one at a time."""
        names = sorted(self.network.members)
        while True:
            await asyncio.sleep(self.rng.expovariate(_RESTARTS_PER_S))
            await self.restart(self.network.members[self.rng.choice(names)])

    async def _partitions(self) -> None:
        """Partitions a failure domain from the log and the other domains."""
        while True:
            await asyncio.sleep(
                self.rng.uniform(0.5, 1.5) * self.mean_duration_s
            )
            domain = self.rng.choice(self.domains)
            start = self.clock.now()
            self.platform.cut(domain, True)
            self.network.cut.add(domain)
            try:
                duration_s = self.rng.uniform(0.5, 1.5) * self.mean_duration_s
                await asyncio.sleep(duration_s)
            finally:
                self.platform.cut(domain, False)
                self.network.cut.discard(domain)
                window = checkers.Window(domain, start, self.clock.now())
                self.checker.unreachable_windows.append(window)
