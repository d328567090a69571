"""The agent of the direct path: weights onto the server beside it."""

import asyncio
from collections.abc import Awaitable, Callable
import random
from typing import Protocol

import mode

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types as shared_types
from clementinegw.direct import _events
from clementinegw.direct import backing
from clementinegw.direct import bring
from clementinegw.direct import declarations
from clementinegw.direct import follow
from clementinegw.direct import instance as instances
from clementinegw.direct import keep
from clementinegw.direct import raw
from clementinegw.direct import relay
from clementinegw.direct import reports
from clementinegw.direct import starts
from clementinegw.direct import suspects
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import histograms
from clementinegw.telemetry import logs

# Entries pass a new declaration on within a second, so a connection to the
# platform that went silent may go unnoticed for a while.
_PACES = follow.Paces(
    operators=follow.Pace(wait_s=6.0, pause_s=0.0),
    servers=follow.Pace(wait_s=10.0, pause_s=3.0),
)
# How often the server beside is asked, and a step is taken towards the wanted
# version, in seconds. A question costs nothing there and bounds the age of what
# entries balance by. All wake up at the same moments: on their own, each of the
# three cost a question to the kernel of its own.
_TICK_S = 0.1
# How often entries are told of requests that crash servers, in seconds: each
# must know before such a request has come again some times.
_ACCUSE_S = 0.5


class Platform(raw.Platform, Protocol):
    """What the daemon needs of the platform."""

    def beside(
        self, address: shared_types.Address, model: str
    ) -> backing.Beside:
        """Returns the server beside the agent."""

    def origin(self, address: shared_types.Address) -> backing.Origin:
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
        assert instance.backend_address is not None
        self._instance = instance
        self._platform = platform
        self._log = log
        self._counters = counters
        self._backend = instance.backend_address
        self._clock = asyncio.get_running_loop().time
        self._relay = relay.Relay(
            instance,
            shared_types.Role.AGENT,
            platform,
            _PACES,
            log,
            counters,
            boot_clock,
        )
        topics = follow.Topics(
            self._relay,
            _PACES,
            self._on_operators,
            self._on_servers,
            log,
            counters,
            boot_clock,
        )
        self._operators, self._listing = topics.operators, topics.servers
        self._me = self._agent_at(instance.host, instance.place)
        self._bringer = bring.Bringer(
            self._me,
            instance.link_bytes_per_s,
            rng or random.Random(),
            log,
            counters,
            clock or clocks.SystemClock(),
        )
        self._declared = declarations.Declarations(
            instance.bounds.weights_ms / 1e3,
            instance.bounds.settled_ms / 1e3,
            boot_clock,
        )
        self._suspects = suspects.Suspects()
        self._accused_at = 0.0
        self._reporter = reports.Reporter(
            self._on_declared, self._ages, self._on_suspicions
        )
        self.histograms = histograms.Histograms()
        self._origin_address: shared_types.Address | None = None
        self._around = keep.Around(instance)
        self._weights = keep.Weights(
            self._around,
            self._bringer,
            log,
            counters,
            self.histograms,
            self._declared,
        )
        self._known = asyncio.Event()
        self._starts = starts.Starts(log)

    async def on_start(self) -> None:
        """Listens for peers and entries, and follows the platform."""
        await self._bringer.listen()
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._reporter,
            local_addr=(self._instance.host, self._instance.peer_ports[0]),
        )
        await self.add_runtime_dependency(self._bringer.transfer)
        await self.add_runtime_dependency(self._relay)
        await self.add_runtime_dependency(self._operators)
        await self.add_runtime_dependency(self._listing)
        self._log.write(events.PROCESS_STARTED)

    def reload(self, instance: instances.Instance) -> None:
        """Takes over a changed instance file; addresses stay as they are."""
        self._instance = instance
        self._around.instance = instance
        self._declared.due_s = instance.bounds.weights_ms / 1e3

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
            if isinstance(record.value, types.DeclaredVersion):
                declared = record.value
                self._take_declared(
                    declared.model,
                    declared.version,
                    self._operators.unread_s,
                    declarations.Source.STORE,
                )

    def _take_configuration(self, configuration: types.Configuration) -> None:
        mine = configuration.services.get(self._instance.service)
        if mine is not None and mine.engine is not None:
            self._around.engine = mine.engine
        for service in configuration.services.values():
            if service.origin is not None:
                address = service.origin.address
                if address != self._origin_address:
                    self._origin_address = address
                    self._around.origin = self._platform.origin(address)
                self._bringer.set_origin_rate(service.origin.link_bytes_per_s)
        self._tell_known()

    def _on_declared(self, declared: reports.Declared) -> None:
        """Takes in what an entry knows."""
        entry = declarations.Source.ENTRY
        for model, ages_s in declared.ages_s.items():
            changes = self._declared.told(model, ages_s, entry)
            self._note_declared(changes)
        newest = self._declared.newest()
        for model, version in declared.newest.items():
            # The entry knows no age, and this process has read of no version:
            # it may have been named since its own last proof.
            if version > newest.get(model, 0):
                age_s = self._operators.age_s
                self._take_declared(model, version, age_s, entry)

    def _take_declared(
        self,
        model: str,
        version: int,
        unread_s: float,
        source: declarations.Source,
    ) -> None:
        change = self._declared.read(model, version, unread_s, source)
        self._note_declared([change] if change else [])

    def _note_declared(self, changes: list[declarations.Change]) -> None:
        """Logs what changed, and tells the entries at once."""
        news = [change for change in changes if change.matters]
        for change in news:
            if change.model == self._around.model:
                declarations.note(
                    self._log,
                    change,
                    self._declared.now,
                    change.declaration.at + self._declared.due_s,
                )
        if news:
            self._reporter.news()

    def _ages(self) -> reports.Report | None:
        """Returns a report of ages only; None while none is known."""
        model = self._around.model
        ages_s = self._declared.ages_s(model)
        if not ages_s:
            return None
        return reports.Report("", 0, 0, 1, model, ages_s=ages_s)

    def _on_suspicions(
        self, suspicions: tuple[suspects.Suspicion, ...]
    ) -> None:
        self._suspects.take(suspicions, self._clock())

    def _suspicions(self) -> tuple[suspects.Suspicion, ...]:
        """Returns what entries are told this time of bad requests."""
        now = self._clock()
        if now - self._accused_at < _ACCUSE_S:
            return ()
        self._accused_at = now
        return self._suspects.proved(now)

    def _on_servers(self, batch: follow.Batch, whole: bool) -> None:
        if whole:
            listed = {record.key for record in batch.records}
            for key in set(self._around.servers) - listed:
                del self._around.servers[key]
        for record in batch.records:
            self._take_server(record)
        others = {
            server.address.host: self._agent_at(
                server.address.host,
                shared_types.Place(
                    self._instance.regions.get(server.failure_domain, ""),
                    server.failure_domain,
                ),
            )
            for server in self._around.servers.values()
        }
        others.pop(self._instance.host, None)
        self._bringer.set_fleet(list(others.values()))
        self._tell_known()

    def _take_server(self, record: follow.Record) -> None:
        if not isinstance(record.value, types.Server):
            self._around.servers.pop(record.key, None)
            return
        server = self._starts.take(record.value)
        if server is not None and server.service == self._instance.service:
            # The one that was heard of last stands last.
            self._around.servers.pop(record.key, None)
            self._around.servers[record.key] = server

    def _tell_known(self) -> None:
        if not self._around.model:
            return
        if self._around.beside is None:
            self._around.beside = self._platform.beside(
                self._backend, self._around.model
            )
        if self._around.origin is not None and self._listing.known:
            self._known.set()

    def _agent_at(
        self, host: str, place: shared_types.Place
    ) -> shared_types.Instance:
        return shared_types.Instance(
            f"agent-{host}",
            shared_types.Role.AGENT,
            place,
            shared_types.Address(host, self._instance.peer_ports[0]),
        )

    # The server beside.

    @mode.Service.task
    async def _watch_server(self) -> None:
        while not self.should_stop:
            await self._tick()
            if self._around.beside is not None:
                await self._look(self._around.beside)

    async def _look(self, beside: backing.Beside) -> None:
        former = self._around.state
        try:
            self._around.state = await beside.state()
        except exceptions.BackendError as error:
            self._around.state = None
            self._counters.add("direct.state.failed")
            if former is not None:
                self._log.write(_events.SERVER_SILENT, reason=error.message)
            return
        if former is not None and former.born != self._around.state.born:
            self._weights.restarted()
        if former is None or former.held != self._around.state.held:
            self._log.write(
                _events.SERVER_HOLDS,
                held=[
                    (h.model, h.version, h.layers)
                    for h in self._around.state.held
                ],
                busy=self._around.state.busy,
                sequence=self._around.state.sequence,
                born=self._around.state.born,
            )
        self._tell(self._around.state)

    def _tell(self, state: backing.State) -> None:
        start = self._around.start
        held = [h for h in state.held if h.model == self._around.model]
        best = max(held, key=lambda h: h.version, default=None)
        self._reporter.tell(
            reports.Report(
                server_id=start.server_id,
                born=start.started_ms,
                running=state.running,
                waiting=state.waiting,
                slots=self._around.engine.slots if self._around.engine else 1,
                model=self._around.model,
                version=best.version if best else 0,
                whole=best is not None and self._weights.whole(best),
                loading=state.busy,
                pace=state.pace,
                yielding=self._weights.yielding,
                entries=self._reporter.entries,
                followers=self._reporter.followers,
                ready_in_s=self._weights.ready_in_s(
                    best is not None and self._weights.whole(best)
                ),
                ages_s=self._declared.ages_s(self._around.model),
            ),
            self._suspicions(),
        )

    # Weights.

    @mode.Service.task
    async def _keep_bringing(self) -> None:
        await self._known.wait()
        while not self.should_stop:
            await self._step(self._weights.bring)

    @mode.Service.task
    async def _keep_loading(self) -> None:
        await self._known.wait()
        while not self.should_stop:
            await self._step(self._weights.load_newest)

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
        await self._tick()

    async def _tick(self) -> None:
        """Sleeps until the next moment at which all parts wake up."""
        left_s = _TICK_S - self._clock() % _TICK_S
        if left_s < _TICK_S / 2:
            left_s += _TICK_S
        await asyncio.sleep(left_s)
