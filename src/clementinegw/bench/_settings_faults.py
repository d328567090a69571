"""What goes wrong in `bench settings`, and when."""

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
    """Brings faults about until it is cancelled.

    Attributes:
      kinds: Which.
      platform: The log.
      network: The members.
      checker: Is told when members could not be told of changes.
      clock: The source of time.
      rng: Chooses when and what.
      domains: The failure domains.
      mean_duration_s: Mean length of an outage or partition, in seconds.
      restart: Replaces a member by an empty one.
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
        """Runs all kinds side by side."""
        coroutines = []
        if self.kinds & {Fault.LOG_DOWN, Fault.TRUNCATE}:
            coroutines.append(self._outages())
        if Fault.PARTITION in self.kinds:
            coroutines.append(self._partitions())
        if Fault.RESTART in self.kinds:
            coroutines.append(self._restarts())
        await asyncio.gather(*coroutines)

    async def _outages(self) -> None:
        """The log goes down and may come back without its last records."""
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
        """Loses the end of the log, or lets its beginning expire."""
        log = self.platform.records
        kept = log.all(records.STREAM)
        if len(kept) <= _MAX_LOST_RECORDS:
            return
        lost = self.rng.randint(1, _MAX_LOST_RECORDS)
        if self.rng.random() < 0.75:
            log.roll_back(records.STREAM, kept[-lost].offset)
        else:
            log.truncate(records.STREAM, kept[-lost].offset)

    async def _restarts(self) -> None:
        """Members are replaced, one after the other."""
        names = sorted(self.network.members)
        while True:
            await asyncio.sleep(self.rng.expovariate(_RESTARTS_PER_S))
            await self.restart(self.network.members[self.rng.choice(names)])

    async def _partitions(self) -> None:
        """A failure domain is cut off from the log and from the others."""
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
