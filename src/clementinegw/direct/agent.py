"""The agent of the direct path: weights onto the server beside it."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
import math
import random
from typing import Protocol

import mode

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types as places
from clementinegw.direct import _events
from clementinegw.direct import backing
from clementinegw.direct import bring
from clementinegw.direct import follow
from clementinegw.direct import instance as instances
from clementinegw.direct import plan
from clementinegw.direct import reports
from clementinegw.direct import turns
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import histograms
from clementinegw.telemetry import logs

# Entries pass a new declaration on within a second, so a connection to the
# platform that went silent may go unnoticed for a while.
_OPERATOR_PACE = follow.Pace(wait_s=6.0, pause_s=0.0)
_SERVER_PACE = follow.Pace(wait_s=10.0, pause_s=2.0)
# How often the server beside is asked, in seconds. It costs nothing there and
# bounds the age of what entries balance by.
_STATE_S = 0.1
# Between two steps towards the wanted version, and after an order until the
# server's state shows it, in seconds.
_STEP_S = 0.1
_ORDER_S = 0.3
# Servers swap in groups, so that most serve at any time; the last group must
# have ended its requests when the version is due.
_TURNS = turns.Terms(groups=3, first_s=0.0, step_s=0.8)
# How long a server gets no new requests before it is ordered to load, and how
# long it takes to load and to be known to serve again, in seconds.
_DRAIN_S = 1.0
_LOAD_S = 0.6
_SWAP_S = _DRAIN_S + _LOAD_S
# How much longer than at the links' limit a version takes to come.
_BRING_FACTOR = 1.22
# How long an agent that has every piece goes on sending that version.
_LINGER_S = 0.25
_VERSIONS_KEPT = 3
# Without any new piece for so long, a version that was begun before is taken
# up again, and the one that stalled is left aside for so long. Seconds.
_STALL_S = 1.0
_ASIDE_S = 4.0


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
        clock: clocks.Clock | None = None,
        boot_clock: Callable[[], float] = follow.boot_time,
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
            boot_clock,
        )
        self._listing = follow.Follower(
            "servers",
            platform.servers(),
            _SERVER_PACE,
            self._on_servers,
            log,
            counters,
            boot_clock,
        )
        self._me = self._agent_at(instance.host, instance.place)
        self._bringer = bring.Bringer(
            self._me,
            instance.link_bytes_per_s,
            rng or random.Random(),
            log,
            counters,
            clock or clocks.SystemClock(),
        )
        self._reporter = reports.Reporter(self._on_declared)
        self.histograms = histograms.Histograms()
        self._engine: types.Engine | None = None
        self._origin: backing.Origin | None = None
        self._origin_address: places.Address | None = None
        self._declared: list[plan.Declaration] = []
        self._digests: dict[int, backing.Digests] = {}
        self._here_at: dict[int, float] = {}
        self._aside: dict[int, float] = {}
        self._last_left = 1.0
        self._moved_at = 0.0
        self._whole_at = math.inf
        self._yielding = False
        self._yields_since = 0.0
        self._servers: dict[str, types.Server] = {}
        self._state: backing.State | None = None
        self._beside: backing.Beside | None = None
        self._known = asyncio.Event()

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

    def reload(self, instance: instances.Instance) -> None:
        """Takes over a changed instance file; addresses stay as they are."""
        self._instance = instance

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
        # Only now: the configuration says which model this server is for.
        for record in batch.records:
            if isinstance(record.value, types.Declared):
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
        self._tell_known()

    def _on_declared(self, declared: Mapping[str, int]) -> None:
        version = declared.get(self.model, 0)
        if self._declared and version <= self._declared[-1].version:
            return
        if version <= 0:
            return
        self._declared.append(plan.Declaration(version, self._clock()))
        del self._declared[:-_VERSIONS_KEPT]
        self._log.write(
            _events.WEIGHTS_DECLARED, model=self.model, version=version
        )

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
        self._tell_known()

    def _tell_known(self) -> None:
        if not self.model:
            return
        if self._beside is None:
            self._beside = self._platform.beside(self._backend, self.model)
        if self._origin is not None and self._listing.known:
            self._known.set()

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
            if self._beside is not None:
                await self._look(self._beside)

    async def _look(self, beside: backing.Beside) -> None:
        former = self._state
        try:
            self._state = await beside.state()
        except exceptions.BackendError as error:
            self._state = None
            if former is not None:
                self._log.write(_events.SERVER_SILENT, reason=error.message)
            return
        if former is None or former.held != self._state.held:
            self._log.write(
                _events.SERVER_HOLDS,
                held=[(h.model, h.version, h.layers) for h in self._state.held],
                busy=self._state.busy,
                sequence=self._state.sequence,
            )
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
                whole=best is not None and self._whole(best),
                loading=state.busy,
                pace=state.pace,
                yielding=self._yielding,
                entries=self._reporter.entries,
                ready_in_s=self._ready_in_s(
                    best is not None and self._whole(best)
                ),
            )
        )

    def _ready_in_s(self, serves: bool) -> float:
        """Returns about when the server serves; negative when unknown."""
        if serves:
            return 0.0
        if self._state is not None and self._state.busy:
            return _LOAD_S
        if self._bringer.digests is None:
            return -1.0
        return self._bringer.left * self._bring_s() + _LOAD_S

    def _server_id(self) -> str:
        for server in self._servers.values():
            if server.address == self._backend:
                return server.server_id
        return ""

    # Weights.

    def _versions(self) -> list[plan.Declaration]:
        """Returns what is to be served: declared, or what others have.

        Before the first declaration the servers that were there from the
        start hold the first version, and an empty one must get it.
        """
        if self._declared:
            return self._declared
        held = [
            h.version
            for server in self._servers.values()
            for h in server.held
            if h.model == self.model and self._whole(h)
        ]
        return [plan.Declaration(max(held, default=1), -math.inf)]

    def _whole(self, held: types.Held) -> bool:
        return self._engine is not None and held.layers >= self._engine.layers

    def _serves(self, version: int) -> bool:
        return self._state is not None and any(
            h.model == self.model and self._whole(h) and h.version >= version
            for h in self._state.held
        )

    @mode.Service.task
    async def _keep_bringing(self) -> None:
        await self._known.wait()
        while not self.should_stop:
            await self._step(self._bring)

    @mode.Service.task
    async def _keep_loading(self) -> None:
        await self._known.wait()
        while not self.should_stop:
            await self._step(self._load_newest)

    async def _step(self, step: Callable[[], Awaitable[None]]) -> None:
        """Takes a step, then waits for a change or a while."""
        try:
            await step()
        except exceptions.ClementineError as error:
            self._log.write(_events.WEIGHTS_WAIT, reason=error.message)
        except Exception as error:
            # A defect in one step must not end the loop in silence: the
            # process would live on and never load anything again.
            self._log.write(
                _events.STEP_FAILED,
                step=step.__name__,
                error=f"{type(error).__name__}: {error}",
            )
        await asyncio.sleep(_STEP_S)

    async def _bring(self) -> None:
        """Begins to bring the version that the plan names."""
        digests = self._bringer.digests
        current = None
        if digests is not None:
            current = plan.Progress(digests.version, self._left())
            if self._stalled():
                self._aside[digests.version] = self._clock() + _ASIDE_S
        version = plan.choose(
            self._versions(),
            current,
            self._terms(),
            self._clock(),
            self._set_aside(),
        )
        if digests is not None and digests.version == version:
            return
        if not version:
            return
        assert self._origin is not None
        found = self._digests.get(version)
        if found is None:
            found = await self._origin.digests(self.model, version)
        if found.version != version or not found.digests:
            raise exceptions.PlatformUnavailable("another manifest")
        self._digests[version] = found
        for old in sorted(self._digests)[:-_VERSIONS_KEPT]:
            del self._digests[old]
        staged = 0
        if self._beside is not None:
            staged = await self._bringer.take_staged(self._beside, found)
        self._log.write(
            _events.WEIGHTS_WANTED,
            version=version,
            pieces=len(found.digests),
            staged=staged,
        )
        self._moved_at = self._clock()
        self._bringer.want(self._origin, found)

    def _left(self) -> float:
        """Returns the part of the pieces that is missing here or at peers.

        An agent that has all goes on sending for a while: whoever lacks the
        last piece would have to draw it from the origin again.
        """
        left = self._bringer.left
        now = self._clock()
        if left > 0:
            self._whole_at = math.inf
        elif self._whole_at > now:
            self._whole_at = now
        return left if now - self._whole_at >= _LINGER_S else max(left, 0.01)

    def _stalled(self) -> bool:
        """Returns whether no piece has come for a while."""
        left = self._bringer.left
        now = self._clock()
        if left != self._last_left:
            self._last_left = left
            self._moved_at = now
        return left > 0 and now - self._moved_at > _STALL_S

    def _set_aside(self) -> set[int]:
        """Returns the versions that stall, and those that are served.

        None stalls for good: where no other is left, they are tried again.
        """
        now = self._clock()
        stalled = {v for v, until in self._aside.items() if until > now}
        served = {v for v in self._digests if self._serves(v)}
        return stalled | served if stalled else set()

    def _terms(self) -> plan.Terms:
        due_s = self._instance.bounds.weights_ms / 1e3
        return plan.Terms(self._bring_s(), _SWAP_S, due_s)

    def _bring_s(self) -> float:
        """Returns how long the links take to bring a version everywhere."""
        if self._engine is None:
            return 0.0
        size = self._engine.chunks * self._engine.chunk_bytes
        return size / self._instance.link_bytes_per_s * _BRING_FACTOR

    async def _load_newest(self) -> None:
        """Orders the newest version that is here, if it is not served."""
        if self._state is None or self._beside is None or self._state.busy:
            return
        yielded, self._yielding = self._yielding, False
        for version in sorted(self._digests, reverse=True):
            if self._serves(version):
                return
            empty = not any(self._whole(h) for h in self._state.held)
            if not empty and self._clock() < self._turn_at(version):
                continue
            self._yielding = not empty
            if not yielded:
                self._yields_since = self._clock()
            if self._bringer.holds(self._digests[version]):
                await self._load(self._digests[version])
                return

    async def _load(self, digests: backing.Digests) -> None:
        assert self._beside is not None
        if not await self._bringer.stage(self._beside, digests):
            return
        state = await self._beside.state()
        if state.busy:
            return
        yielded_s = self._clock() - self._yields_since
        if (
            state.running
            and yielded_s < _DRAIN_S
            and self._spare_s(digests.version) > 0
        ):
            return
        # Streams last for seconds; what is left of them goes on at another
        # server, which takes a quarter of a second.
        begun = await self._beside.load(
            self.model, digests.version, state.sequence, cut=True
        )
        self._counters.add("weights.orders")
        self.histograms.add(
            "weights.declared_to_order",
            self._clock() - self._at(digests.version),
        )
        self._log.write(
            _events.WEIGHTS_ORDERED,
            version=digests.version,
            sequence=state.sequence,
            begun=begun,
            running=state.running,
            yielded_s=round(yielded_s, 3),
            after_s=round(self._clock() - self._at(digests.version), 3),
            received_bytes=self._counters.value("weights.received_bytes"),
            from_afar_bytes=self._counters.value("weights.cross_domain_bytes"),
            drawn_bytes=self._counters.value("weights.drawn_bytes"),
        )
        await asyncio.sleep(_ORDER_S)

    def _at(self, version: int) -> float:
        """Returns when a version was declared; now when it never was."""
        for declared in self._declared:
            if declared.version == version:
                return declared.at
        return self._clock()

    def _turn_at(self, version: int) -> float:
        """Returns when this server may begin to yield for a version.

        The first group yields while the last pieces come, so that its requests
        have ended when they are there. The others follow in steps, but none so
        late that it would not serve when the version is due.
        """
        same = [
            server.server_id
            for server in self._servers.values()
            if not server.leaving
        ]
        now = self._clock()
        if self._bringer.holds(self._digests[version]):
            here_at = self._here_at.setdefault(version, now)
        else:
            here_at = now + self._bringer.left * self._bring_s()
        delay_s = turns.delay_s(self._server_id(), same, version, _TURNS)
        # The last group's turn, if it is to serve in time, and the part of
        # the steps that fits before.
        latest = self._due_at(version) - _SWAP_S
        first = min(here_at - _DRAIN_S, latest)
        span_s = (_TURNS.groups - 1) * _TURNS.step_s
        return first + delay_s * min(1.0, (latest - first) / span_s)

    def _due_at(self, version: int) -> float:
        return self._at(version) + self._instance.bounds.weights_ms / 1e3

    def _spare_s(self, version: int) -> float:
        """Returns how long an order may wait so that it serves in time."""
        return self._due_at(version) - _LOAD_S - self._clock()
