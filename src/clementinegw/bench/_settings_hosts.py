"""Distributes the members of `bench settings` over several processes.

Hundreds of members on one processor core wait for one another, which members of
a real deployment do not. Each host process runs some of the members over
loopback TCP. The log has a process of its own, and the operators run in the
first process. The processes are started by the shell; see `coordinator`.
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
from clementinegw.bench import _settings_checker as checkers
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

_START_TIMEOUT_S = 30.0
_STATUS_INTERVAL_S = 0.2
_STATUS, _FINAL, _STOP = "status", "final", "stop"


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """The members and addresses that one host process receives.

    Attributes:
      members: Pairs of a member's name and its failure domain.
      log_addresses: Base URL of the log by failure domain.
      seed: Seed of its random choices.
    """

    members: tuple[tuple[str, str], ...]
    log_addresses: dict[str, str]
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The state and measurements of the members of a host process.

    Attributes:
      states: Revision and digest by member; the digest is empty until the
        final report.
      seen: Monotonic seconds at which each change came into force, by change
        and member.
      reverted: See `checkers.Verdict`.
      usage: The calls of its members to the log.
      cpu_s: Processor time since the members started, in seconds.
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
        self._checker = checkers.ConsistencyChecker()
        self._usage = platforms.Usage()
        self._cpu_s = 0.0

    async def run(self) -> None:
        """Runs the members and sends reports until `_STOP` is received."""
        for name, domain in self._spec.members:
            member = networks.Member(name, domain)
            await networks.listen(member, self._rng)
            self._network.add(member)
        members = self._network.members.values()
        ports = {m.name: m.address.port for m in members if m.address}
        self._pipe.send(ports)
        async with platforms.session() as session:
            await self._start(await self._receive(), session)
            while (command := await self._receive()) != _STOP:
                self._pipe.send(self._report(command == _FINAL))
            for member in self._network.members.values():
                if member.follower is not None:
                    await member.follower.stop()
                if member.endpoint is not None:
                    await member.endpoint.close(0.0)

    async def _receive(self) -> Any:
        return await asyncio.to_thread(self._pipe.recv)

    async def _start(
        self, endpoints: dict[str, tuple[str, int]], session
    ) -> None:
        own = list(self._network.members.values())
        for name, (domain, port) in endpoints.items():
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
                self._checker,
                self._clock,
                random.Random(self._rng.random()),
            )
        self._cpu_s = time.process_time()

    def _report(self, final: bool) -> Report:
        states = {}
        for member in self._network.members.values():
            if member.follower is not None:
                fold = member.follower.fold
                # Computing a digest blocks the members, so only the final
                # report has it.
                digest = fold.digest if fold and final else ""
                states[member.name] = (member.follower.revision, digest)
        return Report(
            states,
            self._checker.seen,
            self._checker.reverted,
            self._usage,
            time.process_time() - self._cpu_s,
        )


def _main(spec: Spec, pipe: sockets.Connection) -> None:
    logs.configure(events.Level.ERROR)
    asyncio.run(_Host(spec, pipe).run())


async def _serve_log(domains: list[str], pipe: sockets.Connection) -> None:
    """Runs the log stand-in until the first process sends a message."""
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
    """A `platforms.Platform` whose log runs in a separate process."""

    def __init__(self, coordinator: coordinators.Coordinator) -> None:
        self._coordinator = coordinator
        self._worker: coordinators.HostConnection | None = None
        self._addresses: dict[str, str] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def records(self) -> memory.MemoryLog:
        """Not supported, since the records are in another process."""
        raise NotImplementedError

    async def start(self, domains: list[str]) -> None:
        """Starts the log in a host process."""
        self._worker = await self._coordinator.assign(_log_main, domains)
        self._addresses = await self._worker.receive()
        self._session = platforms.session()

    async def stop(self) -> None:
        """Stops the process of the log."""
        if self._session is not None:
            await self._session.close()
        if self._worker is not None:
            self._worker.send(_STOP)

    def client(self, domain: str) -> log_lib.LogClient:
        """Returns the client for a failure domain."""
        assert self._session is not None
        return platforms.http_log(self._addresses[domain], self._session)

    def address(self, domain: str) -> str:
        """Returns the base URL of the log for a failure domain."""
        return self._addresses[domain]

    def set_down(self, down: bool) -> None:
        """Not supported."""
        raise NotImplementedError

    def cut(self, domain: str, is_cut: bool) -> None:
        """Not supported."""
        raise NotImplementedError


class HostedRun(runs.Run):
    """A run without faults whose members are in other processes."""

    def __init__(
        self,
        plan: runs.Plan,
        clock: clocks.Clock,
        hosts: int,
        coordinator: coordinators.Coordinator,
    ):
        """Creates a run; `execute` starts the host processes.

        Args:
          plan: Parameters of the run.
          clock: The clock of the machine, which all processes share.
          hosts: Number of processes for members.
          coordinator: Accepts the connections of these processes and of one more
            for the log.
        """
        super().__init__(plan, clock)
        self.platform = _RemotePlatform(coordinator)
        self._hosts = hosts
        self._coordinator = coordinator
        self._workers: list[coordinators.HostConnection] = []
        self._reports: list[Report] = []

    @property
    def cpu_s(self) -> float:
        """Processor seconds of all hosts since their members started."""
        return sum(report.cpu_s for report in self._reports)

    async def _start_members(self) -> None:
        addresses = {d: self.platform.address(d) for d in self.domains}
        members = [
            (f"m{n}", self.domains[n % len(self.domains)])
            for n in range(self.plan.processes)
        ]
        for number in range(self._hosts):
            assigned = tuple(members[number :: self._hosts])
            spec = Spec(assigned, addresses, self.plan.seed * 1000 + number)
            self._workers.append(await self._coordinator.assign(_main, spec))
        domains = dict(members)
        endpoints = {}
        for worker in self._workers:
            ports = await worker.receive()
            endpoints.update(
                {n: (domains[n], port) for n, port in ports.items()}
            )
        for worker in self._workers:
            worker.send(endpoints)
        await self._wait(lambda: self._min_revision() > 0, _START_TIMEOUT_S)

    async def _wait_for_convergence(self) -> None:
        accepted = set(self.checker.accepted)
        await self._wait(
            lambda: accepted <= self._changes_in_force_everywhere(),
            _START_TIMEOUT_S,
        )
        await self._request_reports(_FINAL)
        self._merge_usage()
        await self._read_append_times()

    def _appended_at(self, change: changes.Change) -> float:
        """Returns the current time; `_read_append_times` corrects it later."""
        return self.clock.now()

    async def _read_append_times(self) -> None:
        client = self.platform.client(platforms.OPERATORS)
        offset_s = self.clock.now() - self.clock.wall()
        page = await client.read(records.STREAM, 1)
        for record in page.records:
            parsed = records.parse(record.value)
            if not isinstance(parsed, changes.Change):
                continue
            if parsed.change_id in self.checker.accepted:
                append_time = record.time + offset_s
                self.checker.on_accepted(parsed.change_id, append_time)

    async def _wait(self, condition, timeout_s: float) -> None:
        end = self.clock.now() + timeout_s
        while self.clock.now() < end:
            await self._request_reports(_STATUS)
            if condition():
                return
            await asyncio.sleep(_STATUS_INTERVAL_S)

    async def _request_reports(self, command: str) -> None:
        self._reports = [await w.request(command) for w in self._workers]

    def _min_revision(self) -> int:
        return min(s[0] for r in self._reports for s in r.states.values())

    def _changes_in_force_everywhere(self) -> set[str]:
        """Returns the ids of the changes that are in force at every member."""
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

    def _evaluate(self, fold: fold_lib.Fold) -> checkers.Verdict:
        states = {}
        for report in self._reports:
            states.update(report.states)
            self.checker.add_seen(report.seen, report.reverted)
        return self.checker.evaluate(fold, states)

    async def _stop_members(self) -> None:
        for worker in self._workers:
            worker.send(_STOP)
