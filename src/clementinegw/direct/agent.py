"""The agent of the direct path, which updates the weights of one server.

An agent runs on the same host as its backend server. It fetches new versions
of the weights, orders the server to load them, and reports the server's load
and state to the entries.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import random
from typing import Protocol

import mode

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import process_age
from clementinegw import types as shared_types
from clementinegw.direct import _events
from clementinegw.direct import agent_interfaces
from clementinegw.direct import crash_trackers
from clementinegw.direct import declarations
from clementinegw.direct import evacuation_watch
from clementinegw.direct import fetcher as fetcher_lib
from clementinegw.direct import instance as instances
from clementinegw.direct import raw
from clementinegw.direct import relay
from clementinegw.direct import reports
from clementinegw.direct import server_records
from clementinegw.direct import steps
from clementinegw.direct import suspicion_codec
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import updater
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import histograms
from clementinegw.telemetry import logs

# Entries forward a new declaration to agents within a second, so an agent can
# afford to notice late that its own connection to the platform is stalled.
_POLL_TIMINGS = topic_watch.PollTimings(
    operators=topic_watch.PollTiming(wait_s=6.0, pause_s=0.0),
    servers=topic_watch.PollTiming(wait_s=10.0, pause_s=3.0),
)
# How often the local server is polled and the update loops run, in seconds. A
# poll is cheap for the server and bounds the age of the load that entries
# balance by. The three loops wake up at the same moments: separate timers cost
# a kernel poll each.
_TICK_INTERVAL_S = 0.1
# How often entries get reports of requests that crash servers, in seconds.
# Every entry must know of such a request before it has been repeated a few
# times.
_SUSPICIONS_INTERVAL_S = 0.5
# The same for those that nothing new was learned of for a while, and how long
# that is, in seconds.
_OLD_SUSPICIONS_INTERVAL_S = 2.0
_RECENT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Cold:
    """Until when a start of the server is cold, in monotonic seconds."""

    start: types.ServerStart = types.ServerStart("")
    until: float = 0.0
    sequence: int = -1

    def updated(self, server: types.Server, now: float) -> "_Cold":
        """Returns the state after a record of the server."""
        if server.cold_s is None:
            return self
        if not self.start.matches(server.start):
            # The record of a former server at the address may be read last.
            known = not server.cold_s
        else:
            # A record that is read again says nothing about the present.
            known = server.sequence <= self.sequence
        if known:
            return self
        return _Cold(server.start, now + server.cold_s, server.sequence)

    def left_s(self, start: types.ServerStart, now: float) -> float:
        """Returns how much longer a start is cold, in seconds."""
        return max(0.0, self.until - now) if self.start.matches(start) else 0.0


class Platform(raw.Platform, Protocol):
    """The platform calls that an agent makes."""

    def local_server(
        self, address: shared_types.Address, model: str
    ) -> agent_interfaces.LocalServer:
        """Returns a client of the backend server that the agent serves."""

    def origin(self, address: shared_types.Address) -> agent_interfaces.Origin:
        """Returns a client of the origin, which stores the weights."""


class Agent(mode.Service):
    """The agent process of one backend server."""

    def __init__(
        self,
        instance: instances.Instance,
        platform: Platform,
        log: logs.Log,
        counters: counters_lib.Counters,
        rng: random.Random | None = None,
        clock: clocks.Clock | None = None,
        boot_clock: Callable[[], float] = topic_watch.boot_time,
        process_age_s: float = process_age.TYPICAL_START_S,
    ):
        """Creates the agent; see `entry.Entry` for the arguments."""
        super().__init__()
        assert instance.backend is not None
        self._instance = instance
        self._platform = platform
        self._log = log
        self._counters = counters
        self._backend = instance.backend
        self._clock = asyncio.get_running_loop().time
        self._relay = relay.Relay(
            instance,
            shared_types.Role.AGENT,
            platform,
            _POLL_TIMINGS,
            log,
            counters,
            boot_clock,
        )
        topics = topic_watch.TopicWatchers(
            self._relay,
            _POLL_TIMINGS,
            self._on_operators,
            self._on_servers,
            log,
            counters,
            boot_clock,
        )
        self._operators, self._server_list = topics.operators, topics.servers
        self._evacuations = evacuation_watch.EvacuationWatch(
            lambda: self._instance.regions,
            lambda: self._operators.age_s,
            log,
            counters,
        )
        self._me = self._agent_instance(instance.host, instance.place)
        rng = rng or random.Random()
        self._fetcher = fetcher_lib.Fetcher(
            self._me,
            instance.link_bytes_per_s,
            rng,
            log,
            counters,
            clock or clocks.SystemClock(),
            boot_clock,
        )
        self._declared = declarations.Declarations(
            instance.bounds.weights_ms / 1e3,
            instance.bounds.settled_ms / 1e3,
            boot_clock,
            process_age_s,
        )
        self._process_age_s = process_age_s
        self._suspects = crash_trackers.Trackers()
        self._suspicions_sent_at = 0.0
        self._reporter = reports.Reporter(
            self._on_declared,
            self._ages_report,
            self._on_suspicions,
            lambda: len(self._context.servers),
            rng,
        )
        self.histograms = histograms.Histograms()
        self._origin_address: shared_types.Address | None = None
        self._context = updater.Context(instance)
        self._updater = updater.WeightsUpdater(
            self._context,
            self._fetcher,
            log,
            counters,
            self.histograms,
            self._declared,
        )
        self._initialized = asyncio.Event()
        self._server_records = server_records.ServerRecords(log)
        self._knows_servers = False
        self._cold = _Cold()
        self._steps = steps.Steps(log, counters)

    async def on_start(self) -> None:
        """Starts to listen for agents and entries and follows the platform."""
        await self._fetcher.listen()
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._reporter,
            local_addr=(self._instance.host, self._instance.peer_ports[0]),
        )
        await self.add_runtime_dependency(self._fetcher.transfer)
        await self.add_runtime_dependency(self._relay)
        await self.add_runtime_dependency(self._operators)
        await self.add_runtime_dependency(self._server_list)
        self._log.write(
            events.PROCESS_STARTED, age_s=round(self._process_age_s, 2)
        )

    def reload(self, instance: instances.Instance) -> None:
        """Applies a changed instance file; its addresses are not re-read."""
        self._instance = instance
        self._context.instance = instance
        self._declared.due_s = instance.bounds.weights_ms / 1e3

    async def drain(self) -> None:
        """Logs that the process stops; staged chunks stay with the server."""
        self._log.write(events.PROCESS_STOPPING)

    async def on_shutdown(self) -> None:
        """Closes all connections."""
        self._reporter.close()
        await self._fetcher.close()
        self._log.write(events.PROCESS_STOPPED)

    # Records from the platform.

    def _on_operators(
        self, batch: topic_watch.Batch, is_snapshot: bool
    ) -> None:
        self._evacuations.apply(batch, is_snapshot)
        self._evacuations.update()
        for record in batch.records:
            if isinstance(record.value, types.Configuration):
                self._apply_configuration(record.value)
        # Declarations come second: the configuration names the server's model.
        for record in batch.records:
            if isinstance(record.value, types.DeclaredVersion):
                declared = record.value
                self._apply_declared(
                    declared.model,
                    declared.version,
                    self._operators.lag_s,
                    declarations.Source.STORE,
                )

    def _apply_configuration(self, configuration: types.Configuration) -> None:
        own_service = configuration.services.get(self._instance.service)
        if own_service is not None and own_service.engine is not None:
            self._context.engine = own_service.engine
        for service in configuration.services.values():
            if service.origin is not None:
                address = service.origin.address
                if address != self._origin_address:
                    self._origin_address = address
                    self._context.origin = self._platform.origin(address)
                self._fetcher.set_origin_rate(service.origin.link_bytes_per_s)
        self._update_initialized()

    def _on_declared(self, declared: reports.DeclaredVersions) -> None:
        """Merges the declarations that an entry knows."""
        entry = declarations.Source.ENTRY
        for model, ages_s in declared.ages_s.items():
            changes = self._declared.merge_ages(model, ages_s, entry)
            self._publish_changes(changes)
        newest = self._declared.newest()
        for model, version in declared.newest.items():
            # The entry reported no age, and this process has not read the
            # version itself, so it may have been declared at any time since
            # this process last knew that it had read every record.
            if version > newest.get(model, 0):
                age_s = self._operators.age_s
                self._apply_declared(model, version, age_s, entry)

    def _apply_declared(
        self,
        model: str,
        version: int,
        lag_s: float,
        source: declarations.Source,
    ) -> None:
        change = self._declared.record(model, version, lag_s, source)
        self._publish_changes([change] if change else [])

    def _publish_changes(self, changes: list[declarations.Change]) -> None:
        """Logs significant changes and reports them to the entries at once."""
        significant = [change for change in changes if change.is_significant]
        for change in significant:
            if change.model == self._context.model:
                declarations.log_change(
                    self._log,
                    change,
                    self._declared.now,
                    change.declaration.declared_at + self._declared.due_s,
                )
        if significant:
            self._reporter.send_ages_now()

    def _ages_report(self) -> reports.Report | None:
        """Returns a report with ages only; None if no age is known."""
        model = self._context.model
        ages_s = self._declared.ages_s(model)
        if not ages_s:
            return None
        return reports.Report("", 0, 0, 1, model, ages_s=ages_s)

    def _on_suspicions(
        self, suspicions: tuple[suspicion_codec.Suspicion, ...]
    ) -> None:
        self._suspects.merge(suspicions, self._clock())

    def _suspicions(self) -> tuple[suspicion_codec.Suspicion, ...]:
        """Returns the suspicions to send now; empty if some were just sent."""
        now = self._clock()
        is_recent = now - self._suspects.parts.changed_at < _RECENT_S
        interval_s = (
            _SUSPICIONS_INTERVAL_S
            if is_recent or not self._suspects.requests.idle
            else _OLD_SUSPICIONS_INTERVAL_S
        )
        if now - self._suspicions_sent_at < interval_s:
            return ()
        self._suspicions_sent_at = now
        return self._suspects.confirmed_suspicions(now)

    def _on_servers(self, batch: topic_watch.Batch, is_snapshot: bool) -> None:
        if is_snapshot:
            listed = {record.key for record in batch.records}
            for key in set(self._context.servers) - listed:
                del self._context.servers[key]
        for record in batch.records:
            self._apply_server(record)
        others = {
            server.address.host: self._agent_instance(
                server.address.host,
                shared_types.Place(
                    self._instance.regions.get(server.failure_domain, ""),
                    server.failure_domain,
                ),
            )
            for server in self._context.servers.values()
        }
        others.pop(self._instance.host, None)
        self._fetcher.set_fleet(list(others.values()))
        self._knows_servers = True
        self._update_initialized()

    def _apply_server(self, record: topic_watch.Record) -> None:
        if not isinstance(record.value, types.Server):
            self._context.servers.pop(record.key, None)
            return
        server = self._server_records.accept(record.value)
        if server is not None and server.service == self._instance.service:
            if server.address == self._instance.backend:
                self._cold = self._cold.updated(server, self._clock())
            # Re-inserted so that the most recently listed server comes last.
            self._context.servers.pop(record.key, None)
            self._context.servers[record.key] = server

    def _update_initialized(self) -> None:
        if not self._context.model:
            return
        if self._context.local_server is None:
            self._context.local_server = self._platform.local_server(
                self._backend, self._context.model
            )
        if self._context.origin is not None and self._knows_servers:
            self._initialized.set()

    def _agent_instance(
        self, host: str, place: shared_types.Place
    ) -> shared_types.Instance:
        return shared_types.Instance(
            f"agent-{host}",
            shared_types.Role.AGENT,
            place,
            shared_types.Address(host, self._instance.peer_ports[0]),
        )

    # The local server.

    @mode.Service.task
    async def _poll_loop(self) -> None:
        while not self.should_stop:
            await self._tick()
            if self._context.local_server is not None:
                with self._steps.guard("poll"):
                    await self._poll_server(self._context.local_server)

    async def _poll_server(
        self, local_server: agent_interfaces.LocalServer
    ) -> None:
        former = self._context.state
        try:
            self._context.state = await local_server.state()
        except exceptions.BackendError as error:
            self._context.state = None
            self._counters.add("direct.state.failed")
            if former is not None:
                self._log.write(_events.SERVER_SILENT, reason=error.message)
            # The server may have crashed under a request.
            self._reporter.relay(self._suspicions())
            return
        if (
            former is not None
            and former.started_ms != self._context.state.started_ms
        ):
            self._updater.on_server_restart()
        if former is None or former.held != self._context.state.held:
            self._log.write(
                _events.SERVER_HOLDS,
                held=[
                    (h.model, h.version, h.layers)
                    for h in self._context.state.held
                ],
                busy=self._context.state.busy,
                sequence=self._context.state.sequence,
                born=self._context.state.started_ms,
            )
        self._send_report(self._context.state)

    def _send_report(self, state: agent_interfaces.ServerState) -> None:
        start = self._context.start
        held = [h for h in state.held if h.model == self._context.model]
        best = max(held, key=lambda h: h.version, default=None)
        self._reporter.send(
            reports.Report(
                server_id=start.server_id,
                started_ms=start.started_ms,
                running=state.running,
                waiting=state.waiting,
                slots=self._context.engine.slots if self._context.engine else 1,
                model=self._context.model,
                version=best.version if best else 0,
                whole=best is not None and self._updater.is_complete(best),
                loading=state.busy,
                pace=state.pace,
                yielding=self._updater.yielding,
                entries=self._reporter.entries,
                followers=self._reporter.followers,
                demand=self._reporter.demand,
                ready_in_s=self._updater.ready_in_s(
                    best is not None and self._updater.is_complete(best)
                ),
                ages_s=self._declared.ages_s(self._context.model),
                evacuated=self._instance.place.failure_domain
                in self._evacuations.domains,
                cold_s=self._cold.left_s(start, self._clock()),
                memory_used=state.memory_used,
            ),
            self._suspicions(),
        )

    # Weights.

    @mode.Service.task
    async def _fetch_loop(self) -> None:
        await self._initialized.wait()
        while not self.should_stop:
            await self._step(self._updater.bring)

    @mode.Service.task
    async def _load_loop(self) -> None:
        await self._initialized.wait()
        while not self.should_stop:
            await self._step(self._updater.load_newest)

    async def _step(self, step: Callable[[], Awaitable[None]]) -> None:
        """Runs one step of a loop, then sleeps until the next tick."""
        with self._steps.guard(step.__name__):
            try:
                await step()
            except exceptions.ClementineError as error:
                self._log.write(_events.WEIGHTS_WAIT, reason=error.message)
        await self._tick()

    async def _tick(self) -> None:
        """Sleeps until the next tick, at which all loops wake up."""
        left_s = _TICK_INTERVAL_S - self._clock() % _TICK_INTERVAL_S
        if left_s < _TICK_INTERVAL_S / 2:
            left_s += _TICK_INTERVAL_S
        await asyncio.sleep(left_s)
