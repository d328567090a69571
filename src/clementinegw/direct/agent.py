"""The agent of the direct path: weights onto the server beside it."""

import asyncio
from collections.abc import Mapping
import random
from typing import Protocol

import mode

from clementinegw import exceptions
from clementinegw import types as places
from clementinegw.direct import _events
from clementinegw.direct import backing
from clementinegw.direct import bring
from clementinegw.direct import follow
from clementinegw.direct import instance as instances
from clementinegw.direct import reports
from clementinegw.direct import turns
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import logs

# Entries pass a new declaration on within a second, so the platform is asked
# seldom; the list of servers names the peers and changes seldom as well.
_OPERATOR_PACE = follow.Pace(wait_s=3.0, pause_s=0.0)
_SERVER_PACE = follow.Pace(wait_s=0.0, pause_s=2.0)
# How often the server beside is asked, in seconds. It costs nothing there and
# bounds the age of what entries balance by.
_STATE_S = 0.2
_RETRY_S = 0.25
# When the first group of servers swaps, in seconds after the declaration: the
# links need about this long to bring a version everywhere. Later groups follow
# in steps; the last one must have ended its requests when the version is due.
_TURNS = turns.Terms(groups=3, first_s=0.0, step_s=0.8)


class Platform(Protocol):
    """What the daemon needs of the platform."""

    def operators(self) -> follow.Source:
        """Returns the operators' declarations."""

    def servers(self) -> follow.Source:
        """Returns the list of backend servers."""

    def beside(self, address: places.Address, model: str) -> backing.Beside:
        """Returns the server beside the agent."""

    def origin(self, address: places.Address) -> backing.Origin:
        """Returns the origin of weights."""


class Agent(mode.Service):
    """One agent."""

    def __init__(
        self,
        instance: instances.Instance,
        platform: Platform,
        log: logs.Log,
        counters: counters_lib.Counters,
        rng: random.Random | None = None,
    ):
        """Prepares the daemon; see `entry.Entry`."""
        super().__init__()
        assert instance.backend is not None
        self._instance = instance
        self._platform = platform
        self._log = log
        self._counters = counters
        self._backend = instance.backend
        self._clock = asyncio.get_running_loop().time
        self._operators = follow.Follower(
            "operators",
            platform.operators(),
            _OPERATOR_PACE,
            self._on_operators,
            log,
            counters,
        )
        self._listing = follow.Follower(
            "servers",
            platform.servers(),
            _SERVER_PACE,
            self._on_servers,
            log,
            counters,
        )
        self._me = self._agent_at(instance.host, instance.place)
        self._bringer = bring.Bringer(
            self._me,
            instance.link_bytes_per_s,
            rng or random.Random(),
            log,
            counters,
        )
        self._reporter = reports.Reporter(self._on_declared)
        self._engine: types.Engine | None = None
        self._origin: backing.Origin | None = None
        self._origin_address: places.Address | None = None
        self._declared: dict[str, int] = {}
        self._declared_at = 0.0
        self._servers: dict[str, types.Server] = {}
        self._state: backing.State | None = None
        self._beside: backing.Beside | None = None
        self._changed = asyncio.Event()

    @property
    def model(self) -> str:
        """The model that the server beside serves; empty when unknown."""
        if self._engine is None or not self._engine.models:
            return ""
        return self._engine.models[0]

    async def on_start(self) -> None:
        """Listens for peers and entries, and follows the platform."""
        await self._bringer.listen()
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._reporter,
            local_addr=(self._instance.host, self._instance.peer_ports[0]),
        )
        await self.add_runtime_dependency(self._bringer.transfer)
        await self.add_runtime_dependency(self._operators)
        await self.add_runtime_dependency(self._listing)
        self._log.write(events.PROCESS_STARTED)

    async def drain(self) -> None:
        """Has nothing to finish: what it brought lies with the server."""
        self._log.write(events.PROCESS_STOPPING)

    async def on_shutdown(self) -> None:
        """Ends all connections."""
        self._reporter.close()
        await self._bringer.close()
        self._log.write(events.PROCESS_STOPPED)

    # What the platform says.

    def _on_operators(self, batch: follow.Batch, whole: bool) -> None:
        del whole
        for record in batch.records:
            if isinstance(record.value, types.Configuration):
                self._take_configuration(record.value)
            elif isinstance(record.value, types.Declared):
                declared = record.value
                self._on_declared({declared.model: declared.version})

    def _take_configuration(self, configuration: types.Configuration) -> None:
        mine = configuration.services.get(self._instance.service)
        if mine is not None and mine.engine is not None:
            self._engine = mine.engine
        for service in configuration.services.values():
            if service.origin is not None:
                address = service.origin.address
                if address != self._origin_address:
                    self._origin_address = address
                    self._origin = self._platform.origin(address)
        self._changed.set()

    def _on_declared(self, declared: Mapping[str, int]) -> None:
        for model, version in declared.items():
            if version <= self._declared.get(model, 0):
                continue
            self._declared[model] = version
            self._declared_at = self._clock()
            self._log.write(
                _events.WEIGHTS_DECLARED, model=model, version=version
            )
            self._changed.set()

    def _on_servers(self, batch: follow.Batch, whole: bool) -> None:
        if whole:
            self._servers = {}
        for record in batch.records:
            if record.value is None:
                self._servers.pop(record.key, None)
            elif record.value.service == self._instance.service:
                self._servers[record.key] = record.value
        others = {
            server.address.host: self._agent_at(
                server.address.host,
                places.Place(
                    self._instance.regions.get(server.failure_domain, ""),
                    server.failure_domain,
                ),
            )
            for server in self._servers.values()
        }
        others.pop(self._instance.host, None)
        self._bringer.set_fleet(list(others.values()))

    def _agent_at(self, host: str, place: places.Place) -> places.Instance:
        return places.Instance(
            f"agent-{host}",
            places.Role.AGENT,
            place,
            places.Address(host, self._instance.peer_ports[0]),
        )

    # The server beside.

    @mode.Service.task
    async def _watch_server(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_STATE_S)
            if self.model:
                await self._look()

    async def _look(self) -> None:
        if self._beside is None:
            self._beside = self._platform.beside(self._backend, self.model)
        former = self._state
        try:
            self._state = await self._beside.state()
        except exceptions.BackendError as error:
            self._state = None
            if former is not None:
                self._log.write(_events.SERVER_SILENT, reason=error.message)
            return
        if former is None or former.held != self._state.held:
            self._log.write(
                _events.SERVER_HOLDS,
                held=[(h.model, h.version, h.whole) for h in self._state.held],
                busy=self._state.busy,
                sequence=self._state.sequence,
            )
            self._changed.set()
        self._tell(self._state)

    def _tell(self, state: backing.State) -> None:
        held = [h for h in state.held if h.model == self.model]
        best = max(held, key=lambda h: h.version, default=None)
        self._reporter.tell(
            reports.Report(
                server_id=self._server_id(),
                running=state.running,
                waiting=state.waiting,
                slots=self._engine.slots if self._engine else 1,
                model=self.model,
                version=best.version if best else 0,
                whole=best.whole if best else False,
                loading=state.busy,
                pace=state.pace,
            )
        )

    def _server_id(self) -> str:
        for server in self._servers.values():
            if server.address == self._backend:
                return server.server_id
        return ""

    # Weights.

    def _wanted(self) -> int:
        """Returns the version to serve: the declared one or what others have.

        Before the first declaration the servers that were there from the
        start hold the first version, and an empty one must get it.
        """
        held = [
            h.version
            for server in self._servers.values()
            for h in server.held
            if h.model == self.model and h.whole
        ]
        return max([self._declared.get(self.model, 0), *held], default=0) or 1

    def _serves(self, version: int) -> bool:
        return self._state is not None and any(
            h.model == self.model and h.whole and h.version >= version
            for h in self._state.held
        )

    @mode.Service.task
    async def _keep_weights(self) -> None:
        await self._know()
        while not self.should_stop:
            self._changed.clear()
            try:
                await self._bring()
            except exceptions.ClementineError as error:
                self._log.write(_events.WEIGHTS_WAIT, reason=error.message)
                await asyncio.sleep(_RETRY_S)
                continue
            try:
                async with asyncio.timeout(_RETRY_S):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _know(self) -> None:
        while not (self.model and self._origin and self._listing.known):
            await asyncio.sleep(0.05)

    async def _bring(self) -> None:
        """Takes the next step towards the wanted version."""
        version = self._wanted()
        digests = self._bringer.digests
        assert self._origin is not None
        if digests is None or digests.version < version:
            found = await self._origin.digests(self.model, version)
            if found.version != version or not found.digests:
                raise exceptions.PlatformUnavailable("another manifest")
            if self._beside is not None:
                kept = await self._bringer.take_staged(self._beside, found)
                self._log.write(
                    _events.WEIGHTS_WANTED,
                    version=version,
                    pieces=len(found.digests),
                    staged=kept,
                )
            self._bringer.want(self._origin, found)
        if self._state is None or self._beside is None:
            return
        if not self._bringer.whole.is_set() or self._serves(version):
            return
        if self._state.busy:
            return
        await self._load(version)

    async def _load(self, version: int) -> None:
        assert self._beside is not None
        if not await self._bringer.stage(self._beside):
            return
        if any(h.whole for h in self._state.held) if self._state else False:
            if await self._wait_turn(version):
                return
            if not await self._bringer.stage(self._beside):
                return
        state = await self._beside.state()
        if state.busy:
            return
        begun = await self._beside.load(self.model, version, state.sequence)
        self._counters.add("weights.orders")
        self._log.write(
            _events.WEIGHTS_ORDERED,
            version=version,
            sequence=state.sequence,
            begun=begun,
            after_s=round(self._clock() - self._declared_at, 3),
        )
        await asyncio.sleep(_RETRY_S)

    async def _wait_turn(self, version: int) -> bool:
        """Waits for the turn to swap; True when something changed."""
        me = self._server_id()
        same = [
            server.server_id
            for server in self._servers.values()
            if not server.leaving
        ]
        delay = turns.delay_s(me, same, version, _TURNS)
        swarm_s = self._swarm_s()
        at = self._declared_at + swarm_s + delay
        left = at - self._clock()
        if left <= 0:
            return False
        try:
            async with asyncio.timeout(left):
                await self._changed.wait()
        except TimeoutError:
            return False
        return self._wanted() != version

    def _swarm_s(self) -> float:
        """Returns how long the links need to bring a version everywhere."""
        digests = self._bringer.digests
        if digests is None:
            return 0.0
        size = digests.chunk_bytes * len(digests.digests)
        return size / self._instance.link_bytes_per_s
