"""Spreads the members of `bench settings` over several processes.

Hundreds of members that share one processor core wait for one another, which
those of a real deployment do not. Each host process here runs some of them,
over the same loopback TCP; the log has a process, and the operators stay in the
first one. The processes are started by the shell; see `coordinator`.
"""

import asyncio
import dataclasses
from multiprocessing import connection as sockets
import random
import time
from typing import Any

import aiohttp

from clementinegw import clock as clocks
from clementinegw import types
from clementinegw.bench import _settings_judge as judges
from clementinegw.bench import _settings_network as networks
from clementinegw.bench import _settings_platform as platforms
from clementinegw.bench import _settings_run as runs
from clementinegw.bench import coordinator as coordinators
from clementinegw.platform import log as log_lib
from clementinegw.settings import changes
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import records
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.testing import memory

_START_S = 30.0
_STATUS_S = 0.2
_STATUS, _FINAL, _STOP = "status", "final", "stop"


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """What one host process runs.

    Attributes:
      members: Names and failure domains.
      log_addresses: The log's base URL by failure domain.
      seed: The seed of its random choices.
    """

    members: tuple[tuple[str, str], ...]
    log_addresses: dict[str, str]
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a host process saw.

    Attributes:
      states: Revision and digest by member.
      seen: When each change came into force, monotonic seconds, by member.
      reverted: See `judges.Verdict`.
      usage: What its members asked of the log.
      cpu_s: Processor time since the members had started.
    """

    states: dict[str, tuple[int, str]]
    seen: dict[str, dict[str, float]]
    reverted: int
    usage: platforms.Usage
    cpu_s: float


class _Host:
    """The members of one host process."""

    def __init__(self, spec: Spec, pipe: sockets.Connection):
        self._spec = spec
        self._pipe = pipe
        self._rng = random.Random(spec.seed)
        self._clock = clocks.SystemClock()
        self._network = networks.Network()
        self._judge = judges.Judge()
        self._usage = platforms.Usage()
        self._cpu_s = 0.0

    async def run(self) -> None:
        """Answers the first process until it says stop."""
        for name, domain in self._spec.members:
            member = networks.Member(name, domain)
            await networks.listen(member, self._rng)
            self._network.add(member)
        members = self._network.members.values()
        ports = {m.name: m.address.port for m in members if m.address}
        self._pipe.send(ports)
        async with platforms.session() as session:
            await self._start(await self._receive(), session)
            while (asked := await self._receive()) != _STOP:
                self._pipe.send(self._report(asked == _FINAL))
            for member in self._network.members.values():
                if member.follower is not None:
                    await member.follower.stop()
                if member.endpoint is not None:
                    await member.endpoint.close(0.0)

    async def _receive(self) -> Any:
        return await asyncio.to_thread(self._pipe.recv)

    async def _start(self, book: dict[str, tuple[str, int]], session) -> None:
        own = list(self._network.members.values())
        for name, (domain, port) in book.items():
            if name in self._network.members:
                continue
            address = types.Address("127.0.0.1", port)
            self._network.add(
                networks.Member(name, domain, address=address, remote=True)
            )
        for member in own:
            client = platforms.CountingLog(
                platforms.http_log(
                    self._spec.log_addresses[member.domain], session
                ),
                self._usage,
                self._clock,
                self._rng,
                0.0,
            )
            await runs.start_member(
                member,
                client,
                networks.TcpLink(self._network, member),
                self._judge,
                self._clock,
                random.Random(self._rng.random()),
            )
        self._cpu_s = time.process_time()

    def _report(self, final: bool) -> Report:
        states = {}
        for member in self._network.members.values():
            if member.follower is not None:
                fold = member.follower.fold
                # Digests take a while, and the members would wait for them.
                digest = fold.digest if fold and final else ""
                states[member.name] = (member.follower.revision, digest)
        return Report(
            states,
            self._judge.seen,
            self._judge.reverted,
            self._usage,
            time.process_time() - self._cpu_s,
        )


def _main(spec: Spec, pipe: sockets.Connection) -> None:
    logs.configure(events.Level.ERROR)
    asyncio.run(_Host(spec, pipe).run())


async def _serve_log(domains: list[str], pipe: sockets.Connection) -> None:
    """Runs the log stand-in until it is told to stop."""
    platform = platforms.HttpPlatform(clocks.SystemClock(), domains)
    await platform.start(domains)
    names = [*domains, platforms.OPERATORS]
    pipe.send({name: platform.address(name) for name in names})
    await asyncio.to_thread(pipe.recv)
    await platform.stop()


def _log_main(domains: list[str], pipe: sockets.Connection) -> None:
    logs.configure(events.Level.ERROR)
    asyncio.run(_serve_log(domains, pipe))


class _RemotePlatform:
    """The log in a process of its own; see `platforms.Platform`."""

    def __init__(self, coordinator: coordinators.Coordinator) -> None:
        self._coordinator = coordinator
        self._worker: coordinators.HostConnection | None = None
        self._addresses: dict[str, str] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def records(self) -> memory.MemoryLog:
        """The records, which are out of reach."""
        raise NotImplementedError

    async def start(self, domains: list[str]) -> None:
        """Gives the log to a host."""
        self._worker = await self._coordinator.assign(_log_main, domains)
        self._addresses = await self._worker.receive()
        self._session = platforms.session()

    async def stop(self) -> None:
        """Ends the process."""
        if self._session is not None:
            await self._session.close()
        if self._worker is not None:
            self._worker.send(_STOP)

    def client(self, domain: str) -> log_lib.LogClient:
        """Returns the client of a failure domain."""
        assert self._session is not None
        return platforms.http_log(self._addresses[domain], self._session)

    def address(self, domain: str) -> str:
        """Returns the log's base URL for a failure domain."""
        return self._addresses[domain]

    def set_down(self, down: bool) -> None:
        """Is not offered."""
        raise NotImplementedError

    def cut(self, domain: str, is_cut: bool) -> None:
        """Is not offered."""
        raise NotImplementedError


class HostedRun(runs.Run):
    """A run whose members live in other processes; without faults."""

    def __init__(
        self,
        plan: runs.Plan,
        clock: clocks.Clock,
        hosts: int,
        coordinator: coordinators.Coordinator,
    ):
        """Prepares it.

        Args:
          plan: What to run.
          clock: The machine's clock, which all processes share.
          hosts: How many processes.
          coordinator: Where they come; one more comes for the log.
        """
        super().__init__(plan, clock)
        self.platform = _RemotePlatform(coordinator)
        self._hosts = hosts
        self._coordinator = coordinator
        self._workers: list[coordinators.HostConnection] = []
        self._reports: list[Report] = []

    @property
    def cpu_s(self) -> float:
        """Processor time of all hosts since their members had started."""
        return sum(report.cpu_s for report in self._reports)

    async def _start_members(self) -> None:
        addresses = {d: self.platform.address(d) for d in self.domains}
        members = [
            (f"m{n}", self.domains[n % len(self.domains)])
            for n in range(self.plan.processes)
        ]
        for number in range(self._hosts):
            part = tuple(members[number :: self._hosts])
            spec = Spec(part, addresses, self.plan.seed * 1000 + number)
            self._workers.append(await self._coordinator.assign(_main, spec))
        domains = dict(members)
        book = {}
        for worker in self._workers:
            ports = await worker.receive()
            book.update({n: (domains[n], port) for n, port in ports.items()})
        for worker in self._workers:
            worker.send(book)
        await self._wait(lambda: self._lowest() > 0, _START_S)

    async def _settle(self) -> None:
        accepted = set(self.judge.accepted)
        await self._wait(lambda: accepted <= self._everywhere(), _START_S)
        await self._ask(_FINAL)
        self._merge_usage()
        await self._read_times()

    def _taken_at(self, change: changes.Change) -> float:
        """Returns now; the time is read from the log at the end."""
        return self.clock.now()

    async def _read_times(self) -> None:
        client = self.platform.client(platforms.OPERATORS)
        offset_s = self.clock.now() - self.clock.wall()
        page = await client.read(records.STREAM, 1)
        for record in page.records:
            parsed = records.parse(record.value)
            if not isinstance(parsed, changes.Change):
                continue
            if parsed.change_id in self.judge.accepted:
                moment = record.time + offset_s
                self.judge.on_accepted(parsed.change_id, moment)

    async def _wait(self, condition, within_s: float) -> None:
        end = self.clock.now() + within_s
        while self.clock.now() < end:
            await self._ask(_STATUS)
            if condition():
                return
            await asyncio.sleep(_STATUS_S)

    async def _ask(self, what: str) -> None:
        self._reports = [await w.request(what) for w in self._workers]

    def _lowest(self) -> int:
        return min(s[0] for r in self._reports for s in r.states.values())

    def _everywhere(self) -> set[str]:
        """Returns the changes that every member has."""
        common: set[str] | None = None
        for report in self._reports:
            complete = {
                change_id
                for change_id, seen in report.seen.items()
                if len(seen) == len(report.states)
            }
            common = complete if common is None else common & complete
        return common or set()

    def _merge_usage(self) -> None:
        for report in self._reports:
            self.usage.reads += report.usage.reads
            self.usage.most_polls += report.usage.most_polls
            for second, count in report.usage.appends.items():
                appends = self.usage.appends
                appends[second] = appends.get(second, 0) + count

    def _conclude(self, fold: fold_lib.Fold) -> judges.Verdict:
        states = {}
        for report in self._reports:
            states.update(report.states)
            self.judge.add_seen(report.seen, report.reverted)
        return self.judge.conclude(fold, states)

    async def _stop_members(self) -> None:
        for worker in self._workers:
            worker.send(_STOP)
