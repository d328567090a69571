"""The processes of a scenario: a deployment whose parts can be ended."""

from collections.abc import Awaitable, Callable
from typing import Any

from clementinegw import types as shared
from clementinegw.daemons import core as cores
from clementinegw.daemons import entry as entries
from clementinegw.scenario import _callers
from clementinegw.scenario import types
from clementinegw.testing import clock as clocks
from clementinegw.testing import deployment
from clementinegw.testing import engine as engines
from clementinegw.testing import platform
from clementinegw.testing import processes
from clementinegw.testing import sizes

# In a burst the origin's link carries about four copies of a version and each
# machine's about two; a burst is taken to last so long.
_BURST_S = 20.0
_ORIGIN_COPIES = 4
_LINK_COPIES = 2
_RESTART_S = 1.0


class Fleet(deployment.Deployment):
    """A deployment of which each instance is a process of its own."""

    def __init__(
        self,
        scenario: types.Scenario,
        loop: processes.ProcessLoop,
        clock: clocks.VirtualClock,
        version_bytes: int,
    ):
        """Prepares a deployment that has not started.

        Args:
          scenario: Says what stands where.
          loop: Runs the processes.
          clock: The loop's clock.
          version_bytes: The size of one version, which the links' rates go by.
        """
        self._loop = loop
        self._entry_places = [
            place
            for group in scenario.entries
            for place in [_place(scenario, group.place)] * group.count
        ]
        self._workers: dict[tuple[str, int], deployment.Worker] = {}
        self._entries: dict[int, entries.Entry] = {}
        self._drained: set[int] = set()
        self._faults: dict[
            types.ProcessFault, Callable[[types.Process], Awaitable[None]]
        ] = {
            types.ProcessFault.KILL: self._kill,
            types.ProcessFault.START: self._start,
            types.ProcessFault.DRAIN: self._drain,
            types.ProcessFault.PAUSE: self._pause,
            types.ProcessFault.WAKE: self._wake,
            types.ProcessFault.CRASH: self._crash,
            types.ProcessFault.STALL: self._stall,
            types.ProcessFault.HEAL: self._heal,
        }
        rate = int(version_bytes * _LINK_COPIES / _BURST_S)
        options = deployment.Options(
            limits=platform.Limits(
                origin_bytes_per_s=version_bytes * _ORIGIN_COPIES / _BURST_S
            ),
            defaults={"weights": {"upload_rate": rate, "download_rate": rate}},
            clock=clock,
            seed=scenario.seed,
        )
        super().__init__(_size(scenario), options)

    @property
    def model_services(self) -> list[str]:
        """The names of the services that have versions."""
        return [
            service.name
            for service in self.size.services
            if service.kind is shared.ServiceKind.MODEL_ENGINE
        ]

    def workers_of(self, service: str) -> int:
        """Returns how many workers were declared, dead ones included."""
        return next(s.workers for s in self.size.services if s.name == service)

    def serving(self, service: str, version: str) -> int:
        """Returns how many workers serve a version, by agent and engine."""
        return sum(
            worker.agent.serving_version == version
            and isinstance(worker.server, engines.EngineStandIn)
            and worker.server.weights.version == version
            for (name, _), worker in self._workers.items()
            if name == service
        )

    def cores(self, process: types.Process | None = None) -> list[cores.Core]:
        """Returns the common parts of one process, or of all that live."""
        agents = {_worker(*k): w.agent.core for k, w in self._workers.items()}
        all_cores = agents | {
            _entry(n): e.core for n, e in self._entries.items()
        }
        if process is None:
            return list(all_cores.values())
        found = all_cores.get(_name(process))
        return [] if found is None else [found]

    def entries_in(self, place: str) -> list[entries.Entry]:
        """Returns the entries that the balancer sends callers of a place to.

        It leaves out those that are not ready, or told it that they leave.
        """
        return [
            entry
            for number, entry in sorted(self._entries.items())
            if number not in self._drained
            and entry.core.follower.current is not None
            and place in ("", self._entry_places[number - 1].failure_domain)
        ]

    def truncate_log(self) -> None:
        """Expires every record of every stream."""
        self.platform.log.log.truncate_all()

    async def fault(
        self, process: types.Process, fault: types.ProcessFault
    ) -> None:
        """Lets something happen to a process."""
        await self._faults[fault](process)

    async def stop(self) -> None:
        """Ends what lives; what was killed is cancelled with the loop."""
        self._loop.clear_faults()
        self.workers = list(self._workers.values())
        self.entries = list(self._entries.values())
        await super().stop()

    async def _start_worker(
        self, service: sizes.ServiceSize, number: int
    ) -> deployment.Worker:
        place = self.size.place(number)
        name = _worker(service.name, number + 1)
        worker = await self._loop.spawn(
            name, place.failure_domain, super()._start_worker(service, number)
        )
        if isinstance(worker.server, engines.EngineStandIn):
            worker.server.faults.crash_marker = _callers.POISON.encode()
        self._workers[service.name, number + 1] = worker
        return worker

    def entry_place(self, number: int) -> shared.Place:
        """Returns where the scenario puts an entry."""
        return self._entry_places[number]

    async def _start_entry(self, number: int) -> entries.Entry:
        place = self.entry_place(number)
        entry = await self._loop.spawn(
            _entry(number + 1),
            place.failure_domain,
            super()._start_entry(number),
        )
        self._entries[number + 1] = entry
        return entry

    async def _kill(self, process: types.Process) -> None:
        self._loop.kill(_name(process))
        if process.service:
            self._workers.pop((process.service, process.number), None)
        else:
            self._entries.pop(process.number, None)

    async def _start(self, process: types.Process) -> None:
        if not process.service:
            self._drained.discard(process.number)
            await self._start_entry(process.number - 1)
            return
        service = next(
            s for s in self.size.services if s.name == process.service
        )
        await self._start_worker(service, process.number - 1)

    async def _drain(self, process: types.Process) -> None:
        if not process.service:
            self._drained.add(process.number)
            entry = self._entries[process.number]
            await self._in(process, _drain(entry))
            self._entries.pop(process.number)
            return
        worker = self._workers[process.service, process.number]
        await self._in(process, _drain(worker.agent))
        self._workers.pop((process.service, process.number))
        await worker.server.stop()

    async def _pause(self, process: types.Process) -> None:
        self._loop.pause(_name(process))

    async def _wake(self, process: types.Process) -> None:
        self._loop.resume(_name(process))

    async def _crash(self, process: types.Process) -> None:
        self._worker(process).server.crash(_RESTART_S)

    async def _stall(self, process: types.Process) -> None:
        self._worker(process).server.faults.stall = True

    async def _heal(self, process: types.Process) -> None:
        self._worker(process).server.faults.stall = False

    def _worker(self, process: types.Process) -> deployment.Worker:
        return self._workers[process.service, process.number]

    async def _in(self, process: types.Process, work: Any) -> None:
        place = self._place_of(process).failure_domain
        await self._loop.spawn(_name(process), place, work)

    def _place_of(self, process: types.Process) -> shared.Place:
        if process.service:
            return self.size.place(process.number - 1)
        return self._entry_places[process.number - 1]


async def _drain(daemon: Any) -> None:
    await daemon.drain()
    await daemon.stop()


def _entry(number: int) -> str:
    return f"entry {number}"


def _worker(service: str, number: int) -> str:
    return f"worker {number} of {service}"


def _name(process: types.Process) -> str:
    return str(process)


def _place(scenario: types.Scenario, name: str) -> shared.Place:
    region = next(p.region for p in scenario.places if p.name == name)
    return shared.Place(region, name)


def _size(scenario: types.Scenario) -> sizes.Size:
    return sizes.Size(
        name=scenario.title,
        places=tuple(shared.Place(p.region, p.name) for p in scenario.places),
        entries=sum(group.count for group in scenario.entries),
        services=tuple(
            sizes.ServiceSize(s.name, s.kind, s.workers)
            for s in scenario.services
        ),
        customers=tuple((c.name, c.weight) for c in scenario.customers),
    )
