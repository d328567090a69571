"""A complete deployment in one process, over real loopback sockets.

It consists of the platform, backend servers, agents and entries, at one of the
sizes in `testing.sizes`. Users test their own settings against it; the demo
and the benchmarks run it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import random
from typing import Any

import aiohttp

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.daemons import agent as agent_lib
from clementinegw.daemons import entry as entry_lib
from clementinegw.platform import log as log_lib
from clementinegw.settings import changes as changes_lib
from clementinegw.settings import model as model_lib
from clementinegw.settings import publisher
from clementinegw.settings import results
from clementinegw.testing import engine as engine_lib
from clementinegw.testing import ledger as ledger_lib
from clementinegw.testing import plain as plain_lib
from clementinegw.testing import platform as platform_lib
from clementinegw.testing import sizes

_HOST = "127.0.0.1"
_ANY_PORT = f"{_HOST}:0"
OPERATOR = "operator"

BackendServer = engine_lib.EngineStandIn | plain_lib.PlainStandIn


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """The options of a deployment.

    Attributes:
      limits: The platform's limits.
      engine: Size and speed of each engine.
      plain: Capacity and speed of each plain service.
      defaults: Defaults at the root of the settings tree, as JSON.
      clock: The source of time of every component; the system clock by
        default.
      seed: Seed for every daemon's random numbers; None for random seeds.
    """

    limits: platform_lib.Limits = dataclasses.field(
        default_factory=platform_lib.Limits
    )
    engine: engine_lib.EngineSettings = dataclasses.field(
        default_factory=engine_lib.EngineSettings
    )
    plain: plain_lib.PlainSettings = dataclasses.field(
        default_factory=plain_lib.PlainSettings
    )
    defaults: dict[str, Any] = dataclasses.field(default_factory=dict)
    clock: clock_lib.Clock | None = None
    seed: int | None = None


@dataclasses.dataclass(slots=True)
class Worker:
    """A backend server and the agent beside it.

    Attributes:
      service: The service it belongs to.
      place: The region and failure domain of both.
      server: The backend server's stand-in.
      agent: The agent daemon.
    """

    service: sizes.ServiceSize
    place: types.Place
    server: BackendServer
    agent: agent_lib.Agent


class Deployment:
    """All processes of a deployment.

    Attributes:
      size: The components of the deployment.
      platform: The platform's stand-in.
      ledger: The runs recorded by the backend servers.
      workers: The backend servers with their agents.
      entries: The entry daemons.
    """

    def __init__(self, size: sizes.Size, options: Options | None = None):
        """Creates a deployment that is not started yet."""
        self.size = size
        self._options = options or Options()
        self.platform = platform_lib.PlatformStandIn(
            self._options.clock,
            limits=self._options.limits,
            places=[place.failure_domain for place in size.places],
        )
        self.ledger = ledger_lib.Ledger()
        self.workers: list[Worker] = []
        self.entries: list[entry_lib.Entry] = []
        self._session: aiohttp.ClientSession | None = None

    @property
    def engines(self) -> list[engine_lib.EngineStandIn]:
        """The model engines."""
        return [
            worker.server
            for worker in self.workers
            if isinstance(worker.server, engine_lib.EngineStandIn)
        ]

    @property
    def session(self) -> aiohttp.ClientSession:
        """The HTTP session of this deployment's operators and callers."""
        assert self._session is not None
        return self._session

    @property
    def log(self) -> log_lib.HttpLog:
        """A client of the platform's log, as used by an operator."""
        return log_lib.HttpLog(self.platform.log_address, self.session)

    async def start(self) -> None:
        """Starts the platform, backend servers, agents and entries."""
        self._session = aiohttp.ClientSession()
        await self.platform.start()
        for service in self.size.services:
            for number in range(service.workers):
                self.workers.append(await self._start_worker(service, number))
        for number in range(self.size.entries):
            self.entries.append(await self._start_entry(number))

    async def stop(self) -> None:
        """Stops all components, starting with the entries."""
        await asyncio.gather(*(entry.stop() for entry in self.entries))
        await asyncio.gather(*(w.agent.stop() for w in self.workers))
        await asyncio.gather(*(w.server.stop() for w in self.workers))
        await self.platform.stop()
        await self.session.close()

    async def change_settings(
        self, why: str, *operations: changes_lib.Operation
    ) -> int:
        """Publishes a settings change, as an operator does.

        Args:
          why: The reason recorded with the change.
          *operations: The operations of the change.

        Returns:
          The revision at which the change was accepted.
        """
        fold = await publisher.read_fold(self.log)
        clock = self._options.clock
        change = publisher.new_change(
            fold.revision, OPERATOR, why, operations, clock
        )
        result = await publisher.publish(
            self.log, change, clock=clock, rng=self._rng(OPERATOR)
        )
        assert isinstance(result, results.Accepted), result
        return result.revision

    def tree(self, models: dict[str, Any] | None = None) -> dict[str, Any]:
        """Returns the settings tree for this deployment's size.

        Args:
          models: The declared model of each model service, as JSON.
        """
        models = models or {}
        services: dict[str, Any] = {}
        for service in self.size.services:
            services[service.name] = self._service_node(service)
            if service.name in models:
                services[service.name]["model"] = models[service.name]
        return {
            "schema": 1,
            "defaults": self._options.defaults,
            "regions": {place.region: {} for place in self.size.places},
            "failure_domains": {
                place.failure_domain: {"region": place.region}
                for place in self.size.places
            },
            "services": services,
            "customers": {
                name: {"weight": weight} for name, weight in self.size.customers
            },
        }

    def tree_operations(
        self, models: dict[str, Any] | None = None
    ) -> tuple[changes_lib.Operation, ...]:
        """Returns the operations that set the complete tree of `tree`."""
        tree = self.tree(models)
        return tuple(
            changes_lib.Set(path, value)
            for path, value in tree.items()
            if path != "schema"
        )

    def entry_place(self, number: int) -> types.Place:
        """Returns the place of the `number`-th entry."""
        return self.size.place(number)

    def instance_file(
        self,
        instance_id: str,
        role: types.Role,
        place: types.Place,
        backend: dict[str, Any] | None = None,
    ) -> model_lib.InstanceFile:
        """Returns the instance file of one process of this deployment."""
        addresses = self.platform.addresses(place.failure_domain)
        data = {
            "instance_id": instance_id,
            "role": role.value,
            "place": {
                "region": place.region,
                "failure_domain": place.failure_domain,
            },
            "listen": {
                "http": _ANY_PORT,
                "peer": _ANY_PORT,
                "admin": _ANY_PORT,
            },
            "platform": dataclasses.asdict(addresses),
            "seeds": [str(seed) for seed in self._seeds()],
        }
        if backend is not None:
            data["backend"] = backend
        return model_lib.parse_json(
            model_lib.InstanceFile,
            json.dumps(data),
            instance_id,
        )

    def _rng(self, name: str) -> random.Random | None:
        """Returns the random generator of one process; None without a seed."""
        if self._options.seed is None:
            return None
        return random.Random(f"{self._options.seed}/{name}")

    def _seeds(self) -> list[types.Address]:
        first = [worker.agent.core for worker in self.workers[:3]]
        return [core.instance.address for core in first]

    def _service_node(self, service: sizes.ServiceSize) -> dict[str, Any]:
        operations = [
            {"method": "POST", "path": path, "idempotent": False}
            for path in ("/bookings", "/quotations")
        ]
        return {
            "kind": service.kind.value,
            "workers": service.workers,
            "checks_fencing": service.checks_fencing,
            "operations": operations,
        }

    async def _start_worker(
        self, service: sizes.ServiceSize, number: int
    ) -> Worker:
        place = self.size.place(number)
        name = f"{service.name}-{number}"
        server = self._make_server(service, name)
        await server.start()
        file = self.instance_file(
            f"agent-{name}",
            types.Role.AGENT,
            place,
            {
                "service": service.name,
                "kind": service.kind.value,
                "url": server.base_url,
            },
        )
        rng = self._rng(file.instance_id)
        agent = agent_lib.Agent(file, self._options.clock, rng)
        await agent.start()
        return Worker(service, place, server, agent)

    def _make_server(
        self, service: sizes.ServiceSize, name: str
    ) -> BackendServer:
        if service.kind is types.ServiceKind.PLAIN:
            return plain_lib.PlainStandIn(
                name, self.ledger, self._options.plain, self._options.clock
            )
        settings = dataclasses.replace(
            self._options.engine, checks_fencing=service.checks_fencing
        )
        return engine_lib.EngineStandIn(
            name, self.ledger, settings, self._options.clock
        )

    async def _start_entry(self, number: int) -> entry_lib.Entry:
        file = self.instance_file(
            f"entry-{number}", types.Role.ENTRY, self.entry_place(number)
        )
        rng = self._rng(file.instance_id)
        entry = entry_lib.Entry(file, self._options.clock, rng)
        await entry.start()
        return entry


@contextlib.asynccontextmanager
async def running(
    size: sizes.Size, options: Options | None = None
) -> AsyncIterator[Deployment]:
    """Runs a deployment for the duration of an `async with` block."""
    deployment = Deployment(size, options)
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.stop()
