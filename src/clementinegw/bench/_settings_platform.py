"""The log for `bench settings`, in virtual time or over HTTP."""

import asyncio
import dataclasses
import random
from typing import Protocol

import aiohttp

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw.platform import log as log_lib
from clementinegw.testing import memory
from clementinegw.testing import platform as stand_ins

OPERATORS = "operators"
_CALL_DURATION_S = 0.002
_POLL_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class Usage:
    """Counts of the calls of all processes to the log.

    Attributes:
      appends: Number of appends that reached the log, by second.
      reads: Number of reads.
      polls: Number of open long polls.
      most_polls: Maximum number of long polls that were open at once.
    """

    appends: dict[int, int] = dataclasses.field(default_factory=dict)
    reads: int = 0
    polls: int = 0
    most_polls: int = 0


class CountingLog:
    """A log client that counts calls and loses some answers to appends."""

    def __init__(
        self,
        inner: log_lib.LogClient,
        usage: Usage,
        clock: clocks.Clock,
        rng: random.Random,
        lost_share: float,
    ):
        """Creates a client that wraps another one.

        Args:
          inner: The wrapped client.
          usage: Receives the counts.
          clock: The source of time.
          rng: Chooses the lost answers.
          lost_share: Fraction of appends without an answer; half of them take
            effect and half do not.
        """
        self._inner = inner
        self._usage = usage
        self._clock = clock
        self._rng = rng
        self._lost_share = lost_share

    async def append(self, stream: str, value: bytes) -> int:
        """Appends; see `log.LogClient`."""
        lost = self._rng.random() < self._lost_share
        if lost and self._rng.random() < 0.5:
            raise exceptions.PlatformUnavailable("append: no answer")
        second = int(self._clock.now())
        offset = await self._inner.append(stream, value)
        appends = self._usage.appends
        appends[second] = appends.get(second, 0) + 1
        if lost:
            raise exceptions.PlatformUnavailable("append: no answer")
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> log_lib.Page:
        """Reads; see `log.LogClient`."""
        usage = self._usage
        usage.reads += 1
        polls = int(wait_s > 0)
        usage.polls += polls
        usage.most_polls = max(usage.most_polls, usage.polls)
        try:
            return await self._inner.read(stream, offset, limit, wait_s)
        finally:
            usage.polls -= polls


class Platform(Protocol):
    """A log whose faults can be set."""

    @property
    def records(self) -> memory.MemoryLog:
        """The stored records, for fault injection and for the checker."""

    async def start(self, domains: list[str]) -> None:
        """Starts the log."""

    async def stop(self) -> None:
        """Stops the log."""

    def client(self, domain: str) -> log_lib.LogClient:
        """Returns the client for a failure domain, or for `OPERATORS`."""

    def address(self, domain: str) -> str:
        """Returns the base URL of the log for a failure domain."""

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage of the log."""

    def cut(self, domain: str, is_cut: bool) -> None:
        """Starts or ends a partition between a failure domain and the log."""


class VirtualPlatform:
    """An in-memory log with a fixed duration of each call."""

    def __init__(self, clock: clocks.Clock):
        """Creates an empty log."""
        self._records = memory.MemoryLog(clock)
        self._clients: dict[str, memory.MemoryLog] = {}
        self._down = False
        self._cut: set[str] = set()

    @property
    def records(self) -> memory.MemoryLog:
        """The records; see `Platform`."""
        return self._records

    async def start(self, domains: list[str]) -> None:
        """Creates a client for each failure domain and for the operators."""
        for domain in [*domains, OPERATORS]:
            client = self.records.client()
            client.faults.slow_s = _CALL_DURATION_S
            client.faults.timeout_s = _POLL_TIMEOUT_S
            self._clients[domain] = client

    async def stop(self) -> None:
        """Does nothing."""

    def client(self, domain: str) -> log_lib.LogClient:
        """Returns a client; see `Platform`."""
        return self._clients[domain]

    def address(self, domain: str) -> str:
        """Returns an empty string, since there is no server."""
        return ""

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; see `Platform`."""
        self._down = down
        self._set_faults()

    def cut(self, domain: str, is_cut: bool) -> None:
        """Starts or ends a partition; see `Platform`."""
        (self._cut.add if is_cut else self._cut.discard)(domain)
        self._set_faults()

    def _set_faults(self) -> None:
        for domain, client in self._clients.items():
            client.faults.down = self._down
            # During a partition, connections hang and are not refused.
            client.faults.stalled = domain in self._cut


class HttpPlatform:
    """The log stand-in, served over HTTP on the loopback interface."""

    def __init__(self, clock: clocks.Clock, domains: list[str]):
        """Creates the stand-in with one port for each failure domain."""
        self._stand_in = stand_ins.PlatformStandIn(
            clock, places=[*domains, OPERATORS]
        )
        self._session: aiohttp.ClientSession | None = None

    @property
    def records(self) -> memory.MemoryLog:
        """The records; see `Platform`."""
        return self._stand_in.log.log

    async def start(self, domains: list[str]) -> None:
        """Starts the server and opens a client session."""
        del domains
        await self._stand_in.start()
        self._session = session()

    async def stop(self) -> None:
        """Closes the client session and stops the server."""
        if self._session is not None:
            await self._session.close()
        await asyncio.sleep(0)
        await self._stand_in.stop()

    def client(self, domain: str) -> log_lib.LogClient:
        """Returns a client; see `Platform`."""
        assert self._session is not None
        return http_log(self.address(domain), self._session)

    def address(self, domain: str) -> str:
        """Returns the base URL of the log for a failure domain."""
        return self._stand_in.log.listener(domain).address

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; see `Platform`."""
        self._stand_in.log.faults.down = down

    def cut(self, domain: str, is_cut: bool) -> None:
        """Starts or ends a partition; see `Platform`."""
        self._stand_in.log.listener(domain).faults.stalled = is_cut


def session() -> aiohttp.ClientSession:
    """Returns a session without a limit on connections.

    Each member may have an open long poll.
    """
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


def http_log(
    address: str, client_session: aiohttp.ClientSession
) -> log_lib.LogClient:
    """Returns a client for the log at a base URL."""
    return log_lib.HttpLog(address, client_session)
