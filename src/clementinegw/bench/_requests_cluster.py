"""Entries and agents for the requests bench in virtual time."""

import asyncio
import contextvars
import dataclasses
import random
from typing import Any

import mode

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.bench import _requests_backend
from clementinegw.bench import _requests_network
from clementinegw.gate import service as gate_service
from clementinegw.gate import types as gate_types
from clementinegw.requests import claims_service
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import service as request_service
from clementinegw.requests import suspects_service
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import ledger as ledger_lib
from clementinegw.testing import memory
from clementinegw.wire import auth
from clementinegw.wire import connection as connection_lib

SERVICE = "assistent"
_KEYS = auth.single_key_ring(b"0" * 32)
_ANY_PORT = types.Address("127.0.0.1", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The size of the cluster.

    Attributes:
      entries: Number of entry instances.
      workers: Number of agents, each with a backend server.
      domains: Number of failure domains that both are distributed over.
      capacity: Maximum number of concurrent requests of a backend server.
      cache_blocks: Capacity of a backend server's cache, in prompt blocks.
      speed: The times that requests need.
    """

    entries: int = 8
    workers: int = 12
    domains: int = 1
    capacity: int = 8
    cache_blocks: int = 160
    speed: _requests_backend.ServiceTimes = _requests_backend.ServiceTimes()


@dataclasses.dataclass(slots=True)
class Entry:
    """One entry with its request service."""

    instance: types.Instance
    endpoint: connection_lib.Endpoint
    service: request_service.RequestService
    counters: counters_lib.Counters
    key_services: list[mode.Service]


@dataclasses.dataclass(slots=True)
class Agent:
    """One agent with its gate and its backend server."""

    instance: types.Instance
    endpoint: connection_lib.Endpoint
    gate: gate_service.GateService
    backend: _requests_backend.ModelBackend
    counters: counters_lib.Counters


class Cluster:
    """All entries and agents of one run."""

    def __init__(
        self,
        config: ClusterConfig,
        rules: rules_lib.RulesSource,
        clock: clock_lib.Clock,
        rng: random.Random,
        keyed: bool = False,
    ):
        """Creates an empty cluster; `start` starts its instances.

        Args:
          config: The size of the cluster.
          rules: The settings that are in force.
          clock: The virtual clock.
          rng: Seeds the random generator of each entry.
          keyed: Whether entries run the services for claims and suspects.
        """
        self._config = config
        self._rules = rules
        self._clock = clock
        self._rng = rng
        self._keyed = keyed
        self._next_agent = 0
        self.log = memory.MemoryLog(clock)
        self._log = logs.Log()
        self.ledger = ledger_lib.Ledger()
        self.entries: list[Entry] = []
        self.agents: list[Agent] = []
        self.members: list[fleet_lib.Member] = []

    async def start(self) -> None:
        """Starts all instances and waits for the entries to find the agents."""
        for _ in range(self._config.workers):
            await self.add_agent()
        for index in range(self._config.entries):
            self.entries.append(
                await self._run_on_host(f"e{index}", self._start_entry)
            )
        for entry in self.entries:
            entry.service.refresh()
        await asyncio.sleep(1.0)

    async def add_agent(self) -> Agent:
        """Starts and returns another agent with its backend server."""
        name = f"a{self._next_agent}"
        self._next_agent += 1
        agent = await self._run_on_host(name, self._start_agent)
        self.agents.append(agent)
        return agent

    def remove(self, agent: Agent) -> None:
        """Removes an agent from the list of members."""
        self.members = [m for m in self.members if m.instance != agent.instance]

    async def stop(self) -> None:
        """Stops all entries and agents."""
        for entry in self.entries:
            await entry.service.stop()
            for part in entry.key_services:
                await part.stop()
            await entry.endpoint.close()
        for agent in self.agents:
            await agent.gate.stop()
            await agent.endpoint.close()

    def place(self, index: int) -> types.Place:
        """Returns the place of the entry or agent with an index."""
        domain = index % self._config.domains
        return types.Place(f"region-{domain // 2}", f"domain-{domain}")

    async def _run_on_host(self, name: str, build) -> Any:
        def run() -> asyncio.Task:
            _requests_network.CURRENT_HOST.set(name)
            return asyncio.ensure_future(build(name))

        return await contextvars.copy_context().run(run)

    async def _start_agent(self, name: str) -> Agent:
        instance, endpoint, counters = await self._open_endpoint(
            name, types.Role.AGENT, SERVICE
        )
        backend = _requests_backend.ModelBackend(
            name,
            self.ledger,
            self._config.speed,
            self._config.cache_blocks,
            self._config.capacity,
        )
        gate = gate_service.GateService(
            endpoint,
            backend,
            SERVICE,
            gate_types.Limits(capacity=self._config.capacity),
            clock=self._clock,
            log=self._log,
            counters=counters,
            log_client=self.log.client(),
        )
        await gate.start()
        gate.resume(_requests_backend.VERSION, _requests_backend.DIGEST)
        return Agent(instance, endpoint, gate, backend, counters)

    async def _start_entry(self, name: str) -> Entry:
        instance, endpoint, counters = await self._open_endpoint(
            name, types.Role.ENTRY, ""
        )
        claims, suspects = None, None
        if self._keyed:
            claims = claims_service.ClaimsService(
                endpoint,
                self.log,
                self._live_entries,
                clock=self._clock,
                log=self._log,
                counters=counters,
            )
            suspects = suspects_service.SuspectsService(
                endpoint,
                self.log,
                claims,
                clock=self._clock,
                log=self._log,
                counters=counters,
            )
            await claims.start()
            await suspects.start()
        service = request_service.RequestService(
            instance,
            endpoint,
            self._rules,
            lambda: list(self.members),
            claims=claims,
            suspects=suspects,
            clock=self._clock,
            log=self._log,
            counters=counters,
            rng=random.Random(self._rng.random()),
        )
        await service.start()
        key_services = [part for part in (claims, suspects) if part is not None]
        return Entry(instance, endpoint, service, counters, key_services)

    def _live_entries(self) -> list[types.Instance]:
        return [entry.instance for entry in self.entries]

    async def _open_endpoint(self, name: str, role: types.Role, service: str):
        place = self.place(int(name[1:]))
        counters = counters_lib.Counters()
        identity = connection_lib.Identity(name, role, place, 1)
        endpoint = connection_lib.Endpoint(identity, _KEYS, self._log, counters)
        address = await endpoint.listen(_ANY_PORT)
        instance = types.Instance(name, role, place, address, 1, service)
        self.members.append(fleet_lib.Member(instance))
        return instance, endpoint, counters
