"""Decides which weights one server gets, and when it drains and loads."""

import asyncio
from collections.abc import Sequence
import dataclasses
import math

from clementinegw.direct import _events
from clementinegw.direct import agent_interfaces
from clementinegw.direct import declarations
from clementinegw.direct import fetcher as fetcher_lib
from clementinegw.direct import instance as instances
from clementinegw.direct import plan
from clementinegw.direct import prefetch
from clementinegw.direct import staging
from clementinegw.direct import swap_schedule
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms as histograms_lib
from clementinegw.telemetry import logs

# The least time that a load order is given to be accepted, in seconds.
_MIN_ORDER_S = 0.5
# How long after a load order the server's state reflects it, in seconds.
_ORDER_VISIBLE_S = 0.3
# Servers swap weights in groups, so that most of them serve at any time.
_SWAP_POLICY = swap_schedule.SwapPolicy(
    groups=3, step_s=0.8, drain_s=1.0, min_drain_s=0.3
)
# The time from a load order until entries know that the server serves again, in
# seconds.
_LOAD_S = 0.6
# The same if there is no time left to wait for running requests: the shortest
# drain and the load, in seconds.
_SWAP_S = _SWAP_POLICY.min_drain_s + _LOAD_S
# The time to fetch a version, relative to the time that the link needs at its
# full rate.
_FETCH_TIME_FACTOR = 1.22
_VERSIONS_KEPT = 3
# How long a version may get no new chunk before it counts as stalled and
# another declared version is fetched, in seconds. Agents abandon the newest
# version within a second of each other. An agent that abandoned an older one as
# quickly would leave it just as the others switch to it, and no version would
# ever be complete.
_STALL_TIMEOUT_S = 1.0
_OLDER_STALL_TIMEOUT_S = 3.0
# How long requests to the origin may fail before the newest version counts as
# stalled, in seconds. Chunks that have left the origin still arrive then, but
# others are missing at every agent.
_ORIGIN_FAILURE_TIMEOUT_S = 0.5
# The shortest time between two requests for the manifest of a stalled version,
# in seconds.
_RENEWAL_INTERVAL_S = 1.0
# How long a stalled version is excluded, in seconds.
_STALL_COOLDOWN_S = 4.0


# No agent has chunks of a version that was declared less than this ago, in
# seconds: the first chunk is requested from the origin after 0.1 s.
_NEW_VERSION_S = 0.3


@dataclasses.dataclass(slots=True)
class Context:
    """What an agent knows of its server, its service and the origin.

    Attributes:
      instance: The agent's own instance file.
      engine: The engine of the local server; None before the configuration.
      origin: The origin of the weights; None before the configuration.
      servers: The listed servers of the agent's service by id.
      state: The local server's last state; None while it does not answer.
      local_server: Calls the local server; None before the configuration.
    """

    instance: instances.Instance
    engine: types.Engine | None = None
    origin: agent_interfaces.Origin | None = None
    servers: dict[str, types.Server] = dataclasses.field(default_factory=dict)
    state: agent_interfaces.ServerState | None = None
    local_server: agent_interfaces.LocalServer | None = None

    @property
    def model(self) -> str:
        """The model that the local server serves; empty if unknown."""
        if self.engine is None or not self.engine.models:
            return ""
        return self.engine.models[0]

    @property
    def start(self) -> types.ServerStart:
        """The current start of the local server; without an id if unlisted.

        A crashed start stays listed for seconds next to its successor, with the
        same address. The server's own report is the first to distinguish them.
        """
        same_address = [
            server
            for server in self.servers.values()
            if server.address == self.instance.backend
        ]
        started_ms = self.state.started_ms if self.state is not None else 0
        # Prefers the start that the server reports, then the latest start, then
        # the most recently listed one.
        newest = max(
            enumerate(same_address),
            key=lambda indexed: (
                indexed[1].started_ms == started_ms,
                indexed[1].started_ms,
                indexed[0],
            ),
            default=None,
        )
        if newest is None:
            return types.ServerStart("")
        listed = newest[1].start
        return types.ServerStart(
            listed.server_id, started_ms or listed.started_ms
        )

    @property
    def server_id(self) -> str:
        """The id of the local server; empty if it is not listed."""
        return self.start.server_id


class WeightsUpdater:
    """Fetches weights for the local server and orders it to load them."""

    def __init__(
        self,
        context: Context,
        fetcher: fetcher_lib.Fetcher,
        log: logs.Log,
        counters: counters_lib.Counters,
        histograms: histograms_lib.Histograms,
        declared: declarations.Declarations,
    ):
        """Creates an updater without any version.

        Args:
          context: What the agent knows; the agent keeps it up to date.
          fetcher: Fetches chunks.
          log: Where events go.
          counters: Counts load orders.
          histograms: Records the time from a declaration to the load order.
          declared: The declared versions, in boot time.
        """
        self._context = context
        self._fetcher = fetcher
        self._log = log
        self._counters = counters
        self._histograms = histograms
        # Stalls are measured with a clock that stops while the machine is
        # suspended, as no chunk can arrive then. Due times use boot time.
        self._clock = asyncio.get_running_loop().time
        self._declared = declared
        self._prefetcher = prefetch.Prefetcher(fetcher, log, counters)
        self._manifests: dict[int, agent_interfaces.VersionManifest] = {}
        self._complete_at: dict[int, float] = {}
        self._stalled_until: dict[int, float] = {}
        self._abandoned_missing: dict[int, float] = {}
        self._last_missing = 1.0
        self._progress_at = 0.0
        self._renewed_at = -math.inf
        self._yielding = False
        self._yielding_since = 0.0
        # The version of which chunks were last staged; 0 for none.
        self._staged_version = 0
        # The share of a version's layers that one order loads.
        self._load_share = 1.0

    @property
    def yielding(self) -> bool:
        """Whether the server drains before a load: others are preferred."""
        return self._yielding

    def on_server_restart(self) -> None:
        """Discards the drain that was begun before the server restarted."""
        self._yielding = False

    def ready_in_s(self, serves: bool) -> float:
        """Returns when the server will serve, in seconds; negative if unknown.

        If a version is being fetched, this is the time until that version
        serves: a caller that may use the current version finds a server without
        this estimate. When 0 was returned in that case, callers were held for
        1.5 s and then rejected, 500 of them while the origin was down.

        Args:
          serves: Whether the server has all layers of any version now.
        """
        manifest = self._fetcher.manifest
        if serves and (manifest is None or self._serves(manifest.version)):
            return 0.0
        if self._context.state is not None and self._context.state.busy:
            return _LOAD_S
        if manifest is None or self._halted:
            return -1.0
        return self._fetcher.missing_fraction * self._fetch_s() + _LOAD_S

    @property
    def _halted(self) -> bool:
        """Whether chunks are missing and none is arriving."""
        if self._fetcher.missing_fraction <= 0:
            return False
        quiet_s = self._clock() - self._progress_at
        return (
            quiet_s > _STALL_TIMEOUT_S
            or self._fetcher.origin_failing_s > _ORIGIN_FAILURE_TIMEOUT_S
        )

    def _versions(self) -> Sequence[plan.Declaration]:
        """Returns the newest declared versions, or the one that others hold.

        Before the first declaration, the initial servers hold the first version
        already, and an empty server must get the same one.
        """
        declared = self._declared.for_model(self._context.model)
        if declared:
            return declared[-_VERSIONS_KEPT:]
        held = [
            h.version
            for server in self._context.servers.values()
            for h in server.held
            if h.model == self._context.model and self.is_complete(h)
        ]
        return [plan.Declaration(max(held, default=1), -math.inf)]

    def is_complete(self, held: types.HeldWeights) -> bool:
        """Returns whether all layers of the held weights are loaded."""
        return (
            self._context.engine is not None
            and held.layers >= self._context.engine.layers
        )

    def _serves(self, version: int) -> bool:
        return self._context.state is not None and any(
            h.model == self._context.model
            and self.is_complete(h)
            and h.version >= version
            for h in self._context.state.held
        )

    async def bring(self) -> None:
        """Starts to fetch the version that `plan.choose` selects.

        The names of this method and of `load_newest` are logged as the step of
        `step_failed`.
        """
        manifest = self._fetcher.manifest
        current = None
        if manifest is not None:
            current = plan.Progress(
                manifest.version, self._fetcher.missing_fraction
            )
            if self._stalled():
                self._stalled_until[manifest.version] = (
                    self._clock() + _STALL_COOLDOWN_S
                )
        version = plan.choose(
            self._versions(),
            current,
            self._timing(),
            self._declared.now,
            self._excluded_versions(),
            self._abandoned_missing,
        )
        assert self._context.origin is not None
        if manifest is not None and self._must_finish_spreading(
            manifest.version, version
        ):
            await self._renew_doubted_manifest(manifest)
            return
        if manifest is not None and manifest.version == version:
            await self._renew_doubted_manifest(manifest)
            newest = self._versions()[-1].version
            if newest > version and not self._fetcher.unspread_fraction:
                self._prefetcher.start(
                    self._context.origin, self._context.model, newest
                )
            return
        if not version:
            return
        await self._prefetcher.stop()
        new_manifest = self._manifests.get(version)
        if new_manifest is None:
            new_manifest = await self._fetcher.fetch_manifest(
                self._context.origin, self._context.model, version
            )
        self._manifests[version] = new_manifest
        for old in sorted(self._manifests)[:-_VERSIONS_KEPT]:
            del self._manifests[old]
        staged = 0
        if self._context.local_server is not None:
            staged = await self._fetcher.stager.restore(
                self._context.local_server, new_manifest
            )
        self._log.write(
            _events.WEIGHTS_WANTED,
            version=version,
            pieces=len(new_manifest.digests),
            staged=staged,
            was=manifest.version if manifest is not None else 0,
            was_left=round(self._fetcher.missing_fraction, 3),
            was_unspread=round(self._fetcher.unspread_fraction, 3),
        )
        self._progress_at = self._clock()
        if manifest is not None:
            self._abandoned_missing[manifest.version] = (
                self._fetcher.missing_fraction
            )
            for old in sorted(self._abandoned_missing)[:-_VERSIONS_KEPT]:
                del self._abandoned_missing[old]
        is_new = any(
            declared.version == version
            and self._declared.now - declared.declared_at < _NEW_VERSION_S
            for declared in self._declared.for_model(self._context.model)
        )
        self._fetcher.set_target(self._context.origin, new_manifest, is_new)

    async def _renew_doubted_manifest(
        self, former: agent_interfaces.VersionManifest
    ) -> None:
        """Requests the target's manifest once more if it may be wrong.

        A digest that was corrupted on its way would keep its chunk, and so the
        version, from this agent and from those that got the manifest from it.

        Args:
          former: The target's manifest.

        Raises:
          exceptions.PlatformError: The origin did not answer.
        """
        if not self._fetcher.manifest_contradicted and not self._is_stuck():
            return
        assert self._context.origin is not None
        self._counters.add("weights.manifest.requested_again")
        try:
            manifest = await self._fetcher.renew_manifest(
                self._context.origin, former.model, former.version
            )
        finally:
            self._renewed_at = self._clock()
        if manifest is None or manifest == former:
            return
        self._log.write(_events.MANIFEST_RENEWED, version=manifest.version)
        self._manifests[manifest.version] = manifest
        self._complete_at.pop(manifest.version, None)
        self._progress_at = self._clock()
        self._fetcher.set_target(self._context.origin, manifest)

    def _is_stuck(self) -> bool:
        """Returns whether chunks of the target that nobody has do not arrive.

        Their digests may be wrong. False for a while after each renewal.
        """
        now = self._clock()
        return (
            self._fetcher.missing_fraction > 0
            and self._fetcher.unspread_fraction > 0
            and now - self._progress_at > _STALL_TIMEOUT_S
            and now - self._renewed_at > _RENEWAL_INTERVAL_S
        )

    def _must_finish_spreading(self, version: int, newer: int) -> bool:
        """Returns whether to finish a version's last chunks before a newer one.

        See `plan.should_finish_spreading`.
        """
        if (
            newer <= version
            or self._fetcher.origin_failing_s > _ORIGIN_FAILURE_TIMEOUT_S
        ):
            return False
        return plan.should_finish_spreading(
            plan.Declaration(version, self._declared_at(version)),
            plan.Declaration(newer, self._declared_at(newer)),
            self._fetcher.unspread_fraction * self._origin_copy_s(),
            self._timing(),
            self._declared.now,
        )

    def _origin_copy_s(self) -> float:
        """Returns how long the origin takes to send one copy, in seconds."""
        if self._context.engine is None:
            return math.inf
        size = self._context.engine.chunks * self._context.engine.chunk_bytes
        return size / self._fetcher.origin_bytes_per_s

    def _stalled(self) -> bool:
        """Returns whether the target has stalled, and records its progress."""
        missing = self._fetcher.missing_fraction
        now = self._clock()
        if missing != self._last_missing:
            self._last_missing = missing
            self._progress_at = now
        newest = self._versions()[-1].version
        manifest = self._fetcher.manifest
        older = manifest is not None and manifest.version < newest
        if (
            not older
            and self._fetcher.origin_failing_s > _ORIGIN_FAILURE_TIMEOUT_S
        ):
            return missing > 0
        timeout_s = _OLDER_STALL_TIMEOUT_S if older else _STALL_TIMEOUT_S
        return missing > 0 and now - self._progress_at > timeout_s

    def _excluded_versions(self) -> set[int]:
        """Returns the versions not to fetch: the stalled and the served ones.

        Empty if none is stalled. Exclusion is temporary: if no other version is
        left, `plan.choose` selects a stalled one again.
        """
        now = self._clock()
        stalled = {v for v, until in self._stalled_until.items() if until > now}
        served = {v for v in self._manifests if self._serves(v)}
        return stalled | served if stalled else set()

    def _timing(self) -> plan.RolloutTiming:
        return plan.RolloutTiming(
            self._fetch_s(), _SWAP_S, self._declared.due_s
        )

    def _fetch_s(self) -> float:
        """Returns how long the agents take to fetch a version, in seconds."""
        if self._context.engine is None:
            return 0.0
        size = self._context.engine.chunks * self._context.engine.chunk_bytes
        return (
            size / self._context.instance.link_bytes_per_s * _FETCH_TIME_FACTOR
        )

    async def load_newest(self) -> None:
        """Orders a load of the newest version that is complete and unserved."""
        if (
            self._context.state is None
            or self._context.local_server is None
            or self._context.state.busy
        ):
            return
        yielded, self._yielding = self._yielding, False
        for version in sorted(self._manifests, reverse=True):
            if self._serves(version):
                return
            empty = not any(
                self.is_complete(h) for h in self._context.state.held
            )
            times = self._swap_times(version)
            if not empty and self._declared.now < times.yield_at:
                continue
            self._yielding = not empty
            if not yielded:
                self._yielding_since = self._declared.now
            if self._fetcher.holds_all(self._manifests[version]):
                await self._load(self._manifests[version], times)
                return

    async def _load(
        self,
        manifest: agent_interfaces.VersionManifest,
        times: swap_schedule.SwapTimes,
    ) -> None:
        assert self._context.local_server is not None
        observed = self._context.state
        former = await self._context.local_server.state()
        is_staged = manifest.version == self._staged_version
        if is_staged and self._must_drain(former, manifest.version, times):
            return
        layers = self._next_layers(former, manifest.version)
        verification = await self._fetcher.stager.stage(
            self._context.local_server,
            manifest,
            staging.chunks_of(layers, self._layer_count, len(manifest.digests)),
        )
        if verification is None:
            return
        self._staged_version = manifest.version
        checks_s = self._declared.now - verification.oldest_read_at
        state = await self._context.local_server.state()
        # After a restart, the staged chunks and the state that led to this load
        # are gone.
        if state.busy or not _same_start(observed, former, state):
            return
        if self._must_drain(state, manifest.version, times):
            return
        fields = {
            "version": manifest.version,
            "layers": len(layers),
            "reads": verification.reads,
            "checks_s": round(checks_s, 3),
            "unverified_s": round(
                self._declared.now - verification.oldest_read_at, 3
            ),
        }
        if verification.expiry.left_s < _MIN_ORDER_S:
            self._counters.add("weights.unverified")
            self._log.write(_events.WEIGHTS_UNVERIFIED, **fields)
            if verification.limited and checks_s > staging.REREAD_AGE_S:
                self._load_share *= min(0.5, staging.REREAD_AGE_S / checks_s)
            return
        if 2 * checks_s < staging.REREAD_AGE_S:
            self._load_share = min(1.0, 2 * self._load_share)
        await self._order(manifest.version, state, verification, layers, fields)

    async def _order(
        self,
        version: int,
        state: agent_interfaces.ServerState,
        verification: staging.Verification,
        layers: range,
        fields: dict[str, float],
    ) -> None:
        """Orders a load and logs it.

        Args:
          version: The version.
          state: The server's state, which is that from before the chunks were
            staged: a server that restarted since refuses the order, as it has
            accepted none.
          verification: The verification of the chunks.
          layers: The layers to load.
          fields: What is logged besides.
        """
        assert self._context.local_server is not None
        now = self._declared.now
        # Running streams are aborted: they last for seconds, while resuming
        # them at another server takes a quarter of a second.
        begun = await self._context.local_server.load(
            self._context.model,
            version,
            state.sequence,
            abort_running=True,
            expiry=verification.expiry,
            layers=layers.stop if layers.stop < self._layer_count else None,
        )
        self._counters.add("weights.orders")
        after_s = self._declared.now - self._declared_at(version)
        self._histograms.add("weights.declared_to_order", after_s)
        self._log.write(
            _events.WEIGHTS_ORDERED,
            sequence=state.sequence,
            begun=begun,
            running=state.running,
            yielded_s=round(now - self._yielding_since, 3),
            order_s=round(self._declared.now - now, 3),
            after_s=round(after_s, 3),
            received_bytes=self._counters.value("weights.received_bytes"),
            from_afar_bytes=self._counters.value("weights.cross_domain_bytes"),
            drawn_bytes=self._counters.value("weights.drawn_bytes"),
            **fields,
        )
        await asyncio.sleep(_ORDER_VISIBLE_S)

    @property
    def _layer_count(self) -> int:
        """The number of layers of the model."""
        engine = self._context.engine
        return max(1, engine.layers if engine is not None else 1)

    def _next_layers(
        self, state: agent_interfaces.ServerState, version: int
    ) -> range:
        """Returns the layers that the next order loads.

        These are all layers, unless the server reads its staged chunks too
        slowly to verify all of them while the first readings are recent.
        """
        loaded = max(
            (
                h.layers
                for h in state.held
                if h.model == self._context.model and h.version == version
            ),
            default=0,
        )
        first = loaded if loaded < self._layer_count else 0
        count = max(1, int(self._load_share * self._layer_count))
        return range(first, min(first + count, self._layer_count))

    def _declared_at(self, version: int) -> float:
        """Returns when a version was declared; now if it never was."""
        for declared in self._declared.for_model(self._context.model):
            if declared.version == version:
                return declared.declared_at
        return self._declared.now

    def _swap_times(self, version: int) -> swap_schedule.SwapTimes:
        """Returns when this server drains and loads for a version."""
        server_ids = [
            server.server_id
            for server in self._context.servers.values()
            if not server.leaving
        ]
        now = self._declared.now
        if self._fetcher.holds_all(self._manifests[version]):
            complete_at = self._complete_at.setdefault(version, now)
        else:
            complete_at = now + self._fetcher.missing_fraction * self._fetch_s()
        latest_at = self._latest_load_at(version)
        server_id = self._context.server_id
        return swap_schedule.swap_times(
            server_id, server_ids, version, complete_at, latest_at, _SWAP_POLICY
        )

    def _must_drain(
        self,
        state: agent_interfaces.ServerState,
        version: int,
        times: swap_schedule.SwapTimes,
    ) -> bool:
        """Returns whether a load still waits for running requests."""
        deadline = self._drain_deadline(version, times)
        return state.running > 0 and self._declared.now < deadline

    def _drain_deadline(
        self, version: int, times: swap_schedule.SwapTimes
    ) -> float:
        """Returns the time at which the load no longer waits for requests.

        This may be later than planned: if the chunks arrived earlier than
        estimated, the server started to drain later than its schedule says.
        """
        yielded_at = self._yielding_since + times.load_at - times.yield_at
        return max(
            times.load_at, min(yielded_at, self._latest_load_at(version))
        )

    def _latest_load_at(self, version: int) -> float:
        """Returns the latest time to load for the version to serve when due."""
        return self._declared_at(version) + self._declared.due_s - _LOAD_S


def _same_start(*states: agent_interfaces.ServerState | None) -> bool:
    """Returns whether all states are of one start with the same orders."""
    return len({s and (s.started_ms, s.sequence) for s in states}) == 1
