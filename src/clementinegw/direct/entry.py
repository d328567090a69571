"""The entry daemon of the direct path, which connects its components."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Protocol

import mode

from clementinegw import process_age
from clementinegw import types as shared_types
from clementinegw.direct import _events
from clementinegw.direct import admit
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import budget
from clementinegw.direct import buffer_budget
from clementinegw.direct import catalog as catalogs
from clementinegw.direct import declarations
from clementinegw.direct import epoch_proof
from clementinegw.direct import evacuation_watch
from clementinegw.direct import fleet as fleets
from clementinegw.direct import forward
from clementinegw.direct import header_codec as header_codec_lib
from clementinegw.direct import instance as instances
from clementinegw.direct import outage
from clementinegw.direct import raw
from clementinegw.direct import refusal_archive
from clementinegw.direct import relay
from clementinegw.direct import reports
from clementinegw.direct import server as servers
from clementinegw.direct import steps
from clementinegw.direct import subscriptions
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.scheduling import cold_starts
from clementinegw.scheduling import server_memory
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import histograms
from clementinegw.telemetry import logs

# Timing of the long polls of the topics. The platform answers as soon as
# something changes, so the wait only bounds how long a silent connection goes
# unnoticed and how old the proof of a key's validity gets. Calls are billed, so
# the wait is not shorter.
_POLL_TIMINGS = topic_watch.PollTimings(
    operators=topic_watch.PollTiming(wait_s=2.0, pause_s=0.0),
    servers=topic_watch.PollTiming(wait_s=2.0, pause_s=0.9),
)
# Shares of the time within which a revoked key must be refused. A key is
# accepted while the last read of the configuration is younger than the first
# share. After the second one the process is not ready for new callers, since
# other entries may have got a more recent answer from the platform.
_MAX_KEY_PROOF_SHARE = 0.9
_MAX_READY_SHARE = 0.55
# While the platform's last answer is younger than this, an unknown route is
# refused as final, in seconds.
_ROUTES_FRESH_S = 1.9
_MAINTENANCE_INTERVAL_S = 0.2
# A lag of the event loop that is logged, in seconds: the shortest silence after
# which a server counts as unreachable is a little longer.
_MAX_LOOP_LAG_S = 0.3
# How often subscriptions to agents' reports are renewed, in seconds.
_SUBSCRIBE_INTERVAL_S = 1.0
# How often an entry looks whether there is something to write to the archive of
# refusals, in seconds: all processes may end soon after.
_ARCHIVE_INTERVAL_S = 0.25
# How often an entry looks whether the store's epoch has settled, in seconds.
_EPOCH_CHECK_S = 0.05
# After SIGTERM the process still accepts connections, in seconds, until the
# load balancer has checked its readiness twice.
_ACCEPT_WHILE_LEAVING_S = 2.4
# Draining ends this long before the process must end, in seconds.
_SHUTDOWN_MARGIN_S = 0.4


class Platform(raw.Platform, Protocol):
    """What the daemon needs from the platform adapter."""

    def header_codec(self) -> header_codec_lib.HeaderCodec:
        """Returns the codec for the platform's headers."""

    def refusals(self) -> raw.Values:
        """Returns what entries refuse, as it lasts in the store."""

    def epochs(self) -> raw.Values:
        """Returns which epoch of the store has settled, as the store has it."""


class Entry(mode.Service):
    """An entry: accepts callers' requests and forwards them to servers."""

    def __init__(
        self,
        instance: instances.Instance,
        platform: Platform,
        log: logs.Log,
        counters: counters_lib.Counters,
        rng: random.Random | None = None,
        boot_clock: Callable[[], float] = topic_watch.boot_time,
        wall_clock: Callable[[], float] = time.time,
        process_age_s: float = process_age.TYPICAL_START_S,
    ):
        """Creates the components of the daemon without starting them.

        Args:
          instance: The settings of the instance.
          platform: The adapter to the platform.
          log: Receives the log events.
          counters: Counts refusals and retries.
          rng: Breaks ties.
          boot_clock: Returns seconds that include the time in which the
            machine was suspended.
          wall_clock: Returns Unix time, in seconds.
          process_age_s: How long ago the process was started, in seconds.
        """
        super().__init__()
        assert instance.callers is not None
        rng = rng or random.Random()
        clock = asyncio.get_running_loop().time
        self._instance = instance
        self._callers_address = instance.callers
        self._log = log
        self._counters = counters
        self._clock = clock
        bounds = instance.bounds
        self._relay = relay.Relay(
            instance,
            shared_types.Role.ENTRY,
            platform,
            _POLL_TIMINGS,
            log,
            counters,
            boot_clock,
        )
        self._epoch_proof = epoch_proof.EpochProof(
            platform.epochs(), boot_clock, log, counters
        )
        topics = self._topics = topic_watch.TopicWatchers(
            self._relay,
            _POLL_TIMINGS,
            self._on_operators,
            self._on_servers,
            log,
            counters,
            boot_clock,
            self._epoch_proof,
        )
        self._operators, self._server_list = topics.operators, topics.servers
        self._config_view = admit.ConfigView(
            None,
            lambda: self._operators.age_s,
            bounds.keys_ms / 1e3 * _MAX_KEY_PROOF_SHARE,
            _ROUTES_FRESH_S,
            lambda: self._operators.settled_age_s,
        )
        self._fleet = fleets.Fleet(
            log,
            self._max_connections,
            rng,
            _listing_times(bounds),
            entry=instance.name,
            wall_clock=wall_clock,
            counters=counters,
            cold_start=self._cold_start,
        )
        self._fleet.cold_bound = _cold_bound(bounds)
        self._buffers = buffer_budget.BufferBudget(
            buffer_budget.limit_for(instance.memory_bytes)
        )
        self._fleet.buffers = self._buffers
        self._process_age_s = process_age_s
        self._versions = version_policy.VersionPolicy(
            bounds.weights_ms / 1e3,
            boot_clock,
            bounds.settled_ms / 1e3,
            process_age_s,
        )
        self._balancer = balance.Balancer(
            self._fleet, instance.place, instance.regions, rng, clock
        )
        self._evacuations = evacuation_watch.EvacuationWatch(
            lambda: self._instance.regions,
            lambda: self._operators.age_s,
            log,
            counters,
        )
        self.histograms = histograms.Histograms()
        self._forwarder = forward.Forwarder(
            platform.header_codec(),
            self._config_view,
            self._balancer,
            self._versions,
            _retry_limits(bounds),
            rng,
            clock,
            log,
            counters,
            self.histograms,
            self._buffers,
        )
        self._archive = refusal_archive.RefusalArchive(
            self._forwarder.guard,
            platform.refusals(),
            self._has_new_servers,
            clock,
            wall_clock,
            log,
            counters,
        )
        self._server = servers.Server(
            self._forwarder.handle, log, counters, self._buffers
        )
        self._health = servers.Server(self._answer_readiness, log, counters)
        self._reports = reports.Listener(
            instance.name,
            self._on_report,
            on_suspicions=self._forwarder.guard.merge,
        )
        self._subscriptions = subscriptions.Subscriptions(
            instance,
            self._config_view,
            self._fleet,
            self._versions,
            self._reports,
            self._forwarder.guard.suspicions,
            clock,
            log,
            counters,
            self._forwarder.arrivals,
            lambda: self._balancer.evacuated,
        )
        self._steps = steps.Steps(log, counters)
        self._leaving = False
        self._ready = False
        self._unknown_regions: frozenset[str] = frozenset()
        self._new_servers: bool | None = None

    @property
    def ready(self) -> bool:
        """Whether the entry accepts new callers."""
        keys_s = self._instance.bounds.keys_ms / 1e3
        return (
            not self._leaving
            and self._config_view.catalog is not None
            and self._server_list.has_snapshot
            and self._operators.age_s < keys_s * _MAX_READY_SHARE
            and self._config_view.accepts_keys
        )

    async def on_start(self) -> None:
        """Starts listening at once, so that early callers get a refusal."""
        await self._server.listen(self._callers_address)
        if self._instance.ready is not None:
            await self._health.listen(self._instance.ready)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._reports,
            local_addr=(self._instance.host, self._instance.peer_ports[1]),
        )
        await self.add_runtime_dependency(self._relay)
        await self.add_runtime_dependency(self._operators)
        await self.add_runtime_dependency(self._server_list)
        self._log.write(
            events.PROCESS_STARTED, age_s=round(self._process_age_s, 2)
        )

    def reload(self, instance: instances.Instance) -> None:
        """Applies a changed instance file, except for its addresses."""
        self._instance = instance
        bounds = instance.bounds
        self._config_view.max_key_age_s = (
            bounds.keys_ms / 1e3 * _MAX_KEY_PROOF_SHARE
        )
        self._versions.due_s = bounds.weights_ms / 1e3
        self._fleet.listing_expiry.times = _listing_times(bounds)
        self._fleet.cold_bound = _cold_bound(bounds)
        self._buffers.limit_bytes = buffer_budget.limit_for(
            instance.memory_bytes
        )
        self._forwarder.set_retry_limits(_retry_limits(bounds))
        self._balancer.set_regions(instance.regions)

    async def drain(self) -> None:
        """Stops accepting callers and finishes the requests in progress."""
        self._log.write(
            events.PROCESS_STOPPING, busy=self._server.open_requests
        )
        self._leaving = True
        started = self._clock()
        end = started + self._instance.bounds.grace_s - _SHUTDOWN_MARGIN_S
        self._server.announce_close()
        # The load balancer sends callers until it has checked twice.
        await asyncio.sleep(_ACCEPT_WHILE_LEAVING_S)
        self._server.close_idle()
        try:
            async with asyncio.timeout_at(end):
                await self._server.wait_idle()
        except TimeoutError:
            self._log.write(_events.CUT_OFF, busy=self._server.open_requests)

    async def on_shutdown(self) -> None:
        """Closes the remaining connections and servers."""
        self._reports.close()
        await self._server.stop()
        await self._health.stop()
        self._log.write(events.PROCESS_STOPPED)

    @mode.Service.task
    async def _run_maintenance(self) -> None:
        while not self.should_stop:
            due = self._clock() + _MAINTENANCE_INTERVAL_S
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._record_lag(self._clock() - due)
            with self._steps.guard("maintain_servers"):
                self._maintain_servers()
            with self._steps.guard("update_evacuated"):
                self._update_evacuated()
            with self._steps.guard("check_clock"):
                self._forwarder.check_clock()
            with self._steps.guard("refresh_subscriptions"):
                self._subscriptions.refresh()
            with self._steps.guard("publish_suspicions"):
                if self._forwarder.guard.take_news():
                    self._subscriptions.publish_suspicions()
            self._log_readiness()

    def _maintain_servers(self) -> None:
        self._fleet.drop_missing(self._server_list.available_s, self._clock())
        self._fleet.prune()
        self._fleet.update_position()
        self._fleet.update_cold(self._clock())
        self._counters.gauge("direct.servers.limited", self._fleet.limited)
        self._counters.gauge("direct.servers.cold", self._fleet.cold)
        self._counters.gauge("direct.buffers", self._buffers.held_bytes)
        self._counters.gauge("direct.slots_kept", self._forwarder.kept)

    def _record_lag(self, lag_s: float) -> None:
        """Records by how much the event loop was late, in seconds."""
        self.histograms.add("direct.loop_lag", lag_s)
        if lag_s > _MAX_LOOP_LAG_S:
            self._counters.add("direct.loop_stalled")
            self._log.write(
                _events.LOOP_STALLED,
                for_s=round(lag_s, 3),
                busy=self._server.open_requests,
            )

    @mode.Service.task
    async def _subscribe(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_SUBSCRIBE_INTERVAL_S)
            with self._steps.guard("renew_subscriptions"):
                self._subscriptions.renew()

    @mode.Service.task
    async def _keep_refusals(self) -> None:
        while not self.should_stop:
            with self._steps.guard("keep_refusals"):
                await self._archive.update()
            await asyncio.sleep(_ARCHIVE_INTERVAL_S)

    @mode.Service.task
    async def _prove_epoch(self) -> None:
        while not self.should_stop:
            with self._steps.guard("prove_epoch"):
                await self._epoch_proof.update()
            await asyncio.sleep(_EPOCH_CHECK_S)

    def _has_new_servers(self) -> bool:
        """Returns whether servers had just started when this entry was ready.

        They may have crashed on a request that this process knows nothing of.
        """
        if self._new_servers is None and self.ready:
            self._new_servers = any(map(self._is_new, self._fleet.all()))
        return bool(self._new_servers)

    def _is_new(self, backend: backend_lib.Backend) -> bool:
        """Returns whether a server is cold or without whole weights."""
        engine = self._config_view.engine(backend.server.service)
        is_empty = engine is not None and not backend.held_version(
            engine.layers
        )
        return is_empty or backend.cold_until > self._clock()

    def _on_report(self, host: str, report: reports.Report) -> None:
        if report.ages_s:
            changes = self._versions.merge_ages(report.model, report.ages_s)
            self._log_declarations(changes)
        backend = self._fleet.match_report(report, host)
        self._forwarder.guard.record_rank(report.rank)
        if backend is None:
            return
        self._forwarder.guard.record_report(backend)
        was_evacuated = backend.evacuated
        service = backend.server.service
        backend.apply_report(
            report,
            self._clock(),
            self._typical_prefill_s(service),
            self._report_lag_s(service),
            self._memory_requests(service),
        )
        if report.cold_s:
            self._fleet.update_cold_of(backend, self._clock())
        if backend.evacuated != was_evacuated:
            self._update_evacuated()
        self._forwarder.dispatch_for(backend)

    def _report_lag_s(self, service: str) -> float:
        """Returns the age of reported loads; 0 if it is not to be used."""
        engine = self._config_view.engine(service)
        if engine is None or not self._instance.share_by_demand:
            return 0.0
        return engine.report_lag_s

    def _typical_prefill_s(self, service: str) -> float:
        """Returns the prefill time of a typical prompt; 0 if it is unknown."""
        engine = self._config_view.engine(service)
        if engine is None or not engine.prefill_tokens_per_s:
            return 0.0
        return engine.typical_prompt_tokens / engine.prefill_tokens_per_s

    def _memory_requests(self, service: str) -> float:
        """Returns how many typical requests a server's memory holds."""
        engine = self._config_view.engine(service)
        if engine is None:
            return float("inf")
        return server_memory.typical_requests(
            engine.memory_tokens,
            engine.typical_prompt_tokens,
            engine.typical_answer_tokens,
        )

    def _log_readiness(self) -> None:
        if self.ready == self._ready:
            return
        self._ready = self.ready
        self._log.write(
            _events.READY_CHANGED,
            ready=self._ready,
            leaving=self._leaving,
            age_s=round(min(self._operators.age_s, 9_999.0), 3),
        )

    async def _answer_readiness(
        self, request: servers.Request, responder: servers.Responder
    ) -> None:
        del request
        await responder.answer(200 if self.ready else 503, [], b"")

    def _on_operators(
        self, batch: topic_watch.Batch, is_snapshot: bool
    ) -> None:
        self._evacuations.apply(batch, is_snapshot)
        self._update_evacuated()
        for record in batch.records:
            if isinstance(record.value, types.Configuration):
                self._apply_configuration(record.value)
            elif isinstance(record.value, types.DeclaredVersion):
                self._apply_declared_version(record.value)

    def _update_evacuated(self) -> None:
        """Applies a change of the evacuated failure domains."""
        # An entry that is cut off from the operators' records still hears the
        # agents. One report counts for the whole failure domain, since plain
        # servers have no agent.
        reported = {
            backend.server.failure_domain
            for backend in self._fleet.all()
            if backend.evacuated
        }
        if self._evacuations.update(reported):
            self._balancer.evacuated = self._evacuations.domains
            self._subscriptions.subscribe_changed()
            self._forwarder.dispatch()

    def _apply_declared_version(self, declared: types.DeclaredVersion) -> None:
        lag_s = self._operators.lag_s
        change = self._versions.record_declared(declared, lag_s)
        self._log_declarations([change] if change else [])

    def _log_declarations(self, changes: list[declarations.Change]) -> None:
        for change in changes:
            if not change.is_significant:
                continue
            at = self._versions.required_at(change.declaration)
            declarations.log_change(self._log, change, self._versions.now, at)
        if changes:
            self._forwarder.on_versions_changed()

    def _apply_configuration(self, configuration: types.Configuration) -> None:
        catalog = self._config_view.catalog
        if catalog is not None and configuration.version <= catalog.version:
            if configuration.version < catalog.version:
                # After the platform lost its history, records may be read
                # again; going back would serve routes that were removed.
                self._log.write(
                    _events.CONFIGURATION_OLD,
                    found=configuration.version,
                    in_force=catalog.version,
                )
            return
        self._config_view.catalog = catalogs.Catalog(configuration)
        self._server.limits = configuration.limits
        self._log.write(
            _events.CONFIGURATION_TAKEN,
            version=configuration.version,
            routes=len(configuration.routes),
            keys=len(configuration.customers),
            was=catalog.version if catalog else None,
        )
        self._log_unknown_regions()

    def _log_unknown_regions(self) -> None:
        """Logs regions that restrict requests and that no server is in."""
        catalog = self._config_view.catalog
        restricting = catalog.restricting_regions if catalog else frozenset()
        unknown = restricting.difference(self._instance.regions.values())
        if unknown and unknown != self._unknown_regions:
            self._log.write(_events.REGIONS_UNKNOWN, regions=sorted(unknown))
        self._unknown_regions = unknown

    def _on_servers(self, batch: topic_watch.Batch, is_snapshot: bool) -> None:
        self._fleet.apply(
            batch,
            is_snapshot,
            self._server_list.available_s,
            self._server_list.outage_s,
            self._clock(),
            self._topics.restored_s,
        )
        self._subscriptions.subscribe_changed()

    def _max_connections(self, service: str) -> int:
        known = self._config_view.service(service)
        return known.max_connections if known else 32

    def _cold_start(self, service: str) -> types.ColdStart | None:
        known = self._config_view.service(service)
        return known.cold_start if known else None


def _cold_bound(bounds: instances.Bounds) -> cold_starts.Bound:
    default = cold_starts.Bound()
    return cold_starts.Bound(
        default.ratio if bounds.cold_ratio is None else bounds.cold_ratio,
        default.slack if bounds.cold_slack is None else bounds.cold_slack,
    )


def _listing_times(bounds: instances.Bounds) -> outage.ListingTimes:
    return outage.ListingTimes(bounds.drain_ms / 1e3, bounds.listing_ms / 1e3)


def _retry_limits(bounds: instances.Bounds) -> budget.Limits:
    return budget.Limits(
        bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window_s
    )
