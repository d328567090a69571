"""Brings one agent's engine to the declared version of the weights.

The service carries out what `loader` and `swap` decide. The chunks are fetched
by `_fetch` and the exchange between agents.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import random
from typing import Any

import mode

from clementinegw import clock as clocks
from clementinegw.platform import blobs
from clementinegw.platform import log as platform_log
from clementinegw.telemetry import counters as metrics
from clementinegw.telemetry import logs
from clementinegw.weights import _engine_calls
from clementinegw.weights import _events
from clementinegw.weights import _fetch
from clementinegw.weights import _loader_types
from clementinegw.weights import _manifest_source
from clementinegw.weights import _service_types
from clementinegw.weights import _swap_runner
from clementinegw.weights import _versions
from clementinegw.weights import loader as loaders
from clementinegw.weights import status as statuses
from clementinegw.weights import store as chunk_stores
from clementinegw.weights import swap as swaps
from clementinegw.wire import connection as connections

Exchange = _fetch.Exchange
Engine = _service_types.Engine
Drainable = _service_types.Drainable
DeclaredVersion = _service_types.DeclaredVersion
DeclaredAdapter = _service_types.DeclaredAdapter
SwapPolicy = _service_types.SwapPolicy

# The rate at which a fleet that is ready at once asks for its leases. It is
# well below the capacity of the log, which also carries the claims of live
# requests.
MAX_ASKS_PER_S = 100.0
_MAX_SEND_DELAY_S = 2.0
_MAX_SLEEP_S = 1.0
_MIN_SLEEP_S = 0.01


class Weights(mode.Service):
    """Loads and serves the declared weights on one engine."""

    def __init__(
        self,
        instance_id: str,
        service: str,
        engine: Engine,
        gate: Drainable,
        log_client: platform_log.LogClient,
        sources: Sequence[blobs.BlobStore],
        store: chunk_stores.StagedStore,
        exchange: Exchange | None = None,
        endpoint: connections.Endpoint | None = None,
        checks_fencing: bool = False,
        policy: SwapPolicy | None = None,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
        log: logs.Log | None = None,
        counters: metrics.Counters | None = None,
        loader_timing: loaders.Timing | None = None,
        swap_timing: swaps.Timing | None = None,
    ):
        """Connects the components; nothing runs before `start`.

        Args:
          instance_id: The agent's instance id.
          service: The name of the engine's service.
          engine: The engine's client.
          gate: The gate, drained before a load and resumed after it.
          log_client: The client of the platform's log, for the swap leases.
          sources: The weight store, then the origin.
          store: The store of chunks, shared with the exchange.
          exchange: The exchange of chunks between agents; None to fetch from
            the sources only.
          endpoint: This agent's connections, for manifests from peers.
          checks_fencing: Whether the engine refuses old fencing numbers.
          policy: The limits of the swap; see `set_policy`.
          clock: The source of time.
          rng: The source of jitter and lease ids.
          log: The log to which events are written.
          counters: The counters of refusals and retries.
          loader_timing: The time settings of the loader.
          swap_timing: The time settings of the swap leases.
        """
        super().__init__()
        self._clock = clock or clocks.SystemClock()
        self._log = log or logs.Log(instance=instance_id)
        self._counters = counters or metrics.Counters()
        rng = rng or random.Random()
        self._gate = gate
        self._store = store
        self._policy = policy or SwapPolicy()
        self._loader = loaders.Loader(
            checks_fencing, rng, self._counters, loader_timing
        )
        self._calls = _engine_calls.EngineCalls(
            engine, self._loader, self._clock, self._log
        )
        self._swap = _swap_runner.SwapRunner(
            swaps.Swap(instance_id, rng, swap_timing),
            log_client,
            service,
            self._clock,
            self._counters,
            self._on_swap_action,
        )
        self._versions = _versions.DeclaredVersions(
            _manifest_source.ManifestSource(
                engine, sources, endpoint, rng, self._log, self._counters
            )
        )
        self._fetcher = _fetch.Fetcher(
            store, sources, exchange, rng, self._log, self._counters
        )
        self._swap.set_max_load_s(self._policy.load_timeout_s)
        self._fetch_task: asyncio.Future | None = None
        self._gate_sequence = 0
        self._loader_changed = asyncio.Event()
        self._on_serving: Callable[[str, str], None] = lambda v, d: None
        self._handlers: dict[type, Callable[[Any], None]] = {
            _loader_types.QueryStatus: self._query_status,
            _loader_types.AcquirePermit: self._acquire_permit,
            _loader_types.CoverLoad: self._cover_load,
            _loader_types.ReleasePermit: lambda action: self._swap.release(),
            _loader_types.Drain: self._drain,
            _loader_types.SendOrder: self._send_order,
            _loader_types.Serve: self._serve,
            _loader_types.StopServing: self._stop_serving,
            _loader_types.ChunksLost: self._on_chunks_lost,
        }

    def status(self) -> statuses.WeightsStatus:
        """Returns this agent's progress in the rollout."""
        declared = self._versions.declared
        manifest = self._versions.combined_manifest()
        serving = self._loader.serving
        out, queued_before = self._swap.queue_counts
        return statuses.WeightsStatus(
            target=declared.version if declared else "",
            target_digest=declared.manifest if declared else "",
            held=self._store.count(manifest) if manifest else 0,
            total=len(manifest.chunks) if manifest else 0,
            serving_version=serving.version if serving else "",
            serving_digest=serving.content_digest if serving else "",
            state=self._state(),
            reason=self._loader.reason.value,
            revision=declared.revision if declared else 0,
            out=out,
            queued_before=queued_before,
            cached_bytes=self._store.cached_bytes,
            staged_bytes=self._store.staged_bytes,
            adapters=tuple(sorted(serving.adapter_keys)) if serving else (),
        )

    def set_declared(
        self,
        target: DeclaredVersion,
        previous: DeclaredVersion | None = None,
        adapters: tuple[DeclaredAdapter, ...] = (),
    ) -> None:
        """Sets the declared version; an outdated declaration is ignored.

        Args:
          target: The version to serve.
          previous: The version before it, whose chunks stay staged.
          adapters: The adapters to load with the target, which is not served
            without them.
        """
        change = self._versions.declare(target, previous, adapters)
        if change is _versions.Change.OUTDATED:
            self._counters.add("weights.want.old_revision")
        elif change is _versions.Change.NONE:
            self._report_declared()
        else:
            self._log.write(
                _events.VERSION_WANTED,
                version=target.version,
                manifest=target.manifest,
                revision=target.revision,
            )
            # Ensures that the abandoned version is no longer ordered.
            self._perform(
                self._loader.on_staged(self._clock.now(), frozenset())
            )
            self._restart_fetch()

    def set_policy(self, policy: SwapPolicy) -> None:
        """Applies a changed policy."""
        changed = policy != self._policy
        self._policy = policy
        self._swap.set_max_load_s(policy.load_timeout_s)
        if changed and self._loader.phase is loaders.Phase.QUEUED:
            self._acquire_permit(_loader_types.AcquirePermit())

    def on_engine_crash(self) -> None:
        """Handles a crash of the engine, which may lose its staging memory."""
        self._store.forget()
        self._perform(self._loader.on_crash(self._clock.now()))
        self._restart_fetch()

    def on_serving(self, callback: Callable[[str, str], None]) -> None:
        """Registers a callback for changes of the served version and digest.

        Both are empty when no version is served.
        """
        self._on_serving = callback

    async def on_start(self) -> None:
        """Queries the engine's status and starts to fetch."""
        self._perform(self._loader.start(self._clock.now()))
        self._restart_fetch()

    async def on_stop(self) -> None:
        """Releases the permit unless the engine may be loading under it.

        The engine's next agent would find it still loading while another worker
        may already use the released permit, and one too many would be out.
        """
        if self._loader.serving is not None:
            await self._swap.close()

    @mode.Service.task
    async def _run_swap(self) -> None:
        await self._swap.run()

    @mode.Service.task
    async def _tick_loop(self) -> None:
        while not self.should_stop:
            now = self._clock.now()
            self._perform(self._loader.on_tick(now))
            wait_s = self._loader.wake_at - now
            wait_s = max(_MIN_SLEEP_S, min(wait_s, _MAX_SLEEP_S))
            self._loader_changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._loader_changed.wait()
            except TimeoutError:
                pass

    def _state(self) -> statuses.State:
        if self._versions.declared is None:
            return statuses.State.IDLE
        if self._loader.phase is not loaders.Phase.STEADY:
            return _STATE_BY_PHASE[self._loader.phase]
        target = self._versions.target
        if target is not None and target.same_weights(self._loader.serving):
            return statuses.State.SERVING
        if self._loader.reason is loaders.Reason.CHUNKS_MISSING:
            return statuses.State.FETCHING
        return statuses.State.RETRYING

    def _perform(self, actions: list[loaders.Action]) -> None:
        for action in actions:
            self._handlers[type(action)](action)
        self._loader_changed.set()

    # Fetching.

    def _restart_fetch(self) -> None:
        if self._fetch_task is not None:
            self._fetch_task.cancel()
        if self.started and self._versions.declared is not None:
            self._fetch_task = self.add_future(self._run_fetch())

    async def _run_fetch(self) -> None:
        """Fetches the declared versions and stages their chunks."""
        await self._versions.find_target()
        self._report_declared()
        await self._versions.find_previous()
        self._report_declared()
        await self._fetcher.recover(self._versions.wanted_manifests)
        await self._versions.stage()
        self._report_staged()
        manifest = self._versions.combined_manifest()
        if manifest is None:
            return
        while self._state() is statuses.State.SERVING:
            if self._store.holds_all(manifest):
                break
            # The engine has already loaded the version. Its chunks are not
            # fetched again just to be staged.
            await asyncio.sleep(_MAX_SLEEP_S)
        await self._fetcher.fetch(manifest)
        self._report_staged()

    def _report_declared(self) -> None:
        target = self._versions.target
        if target is not None:
            now = self._clock.now()
            self._perform(
                self._loader.on_declared(now, target, self._versions.previous)
            )

    def _report_staged(self) -> None:
        complete = filter(
            self._store.holds_all, self._versions.wanted_manifests
        )
        staged = frozenset(manifest.digest for manifest in complete)
        self._perform(self._loader.on_staged(self._clock.now(), staged))

    def _on_chunks_lost(self, action: _loader_types.ChunksLost) -> None:
        self._counters.add("weights.staging.lost", len(action.digests))
        self._store.forget(bytes.fromhex(name) for name in action.digests)
        self._restart_fetch()

    # The engine and the gate.

    def _query_status(self, action: _loader_types.QueryStatus) -> None:
        self.add_future(self._perform_result(self._calls.query_status(action)))

    def _send_order(self, action: _loader_types.SendOrder) -> None:
        timeout_s = self._policy.load_timeout_s
        self.add_future(
            self._perform_result(self._calls.send_order(action, timeout_s))
        )

    async def _perform_result(self, call: Awaitable[loaders.Actions]) -> None:
        self._perform(await call)

    def _drain(self, action: _loader_types.Drain) -> None:
        self._gate_sequence += 1
        self.add_future(self._run_drain(action.number, self._gate_sequence))

    async def _run_drain(self, number: int, sequence: int) -> None:
        if sequence != self._gate_sequence:
            return
        clean = await self._gate.drain(self._policy.drain_timeout_s)
        self._perform(self._loader.on_drained(self._clock.now(), number, clean))

    def _serve(self, action: _loader_types.Serve) -> None:
        self._gate_sequence += 1
        target = action.target
        self._gate.resume(target.version, target.content_digest)
        self._log.write(
            _events.VERSION_SERVED,
            version=target.version,
            digest=target.content_digest,
        )
        self._on_serving(target.version, target.content_digest)

    def _stop_serving(self, action: _loader_types.StopServing) -> None:
        self._gate_sequence += 1
        self._log.write(_events.SERVING_STOPPED, reason=action.reason.value)
        self.add_future(self._close_gate(self._gate_sequence))
        self._on_serving("", "")

    async def _close_gate(self, sequence: int) -> None:
        # If a `Serve` followed at once, closing the gate now would leave it
        # closed.
        if sequence == self._gate_sequence:
            await self._gate.drain(0.0)

    # The swap.

    @property
    def _unlimited(self) -> bool:
        return self._policy.max_out_share >= 1.0

    def _acquire_permit(self, action: _loader_types.AcquirePermit) -> None:
        del action
        if self._unlimited:
            self._perform(self._loader.on_permit_granted(self._clock.now()))
            return
        policy = self._policy
        limit = swaps.max_out(policy.max_out_share, policy.workers)
        self._swap.acquire(limit, policy.workers / MAX_ASKS_PER_S)

    def _cover_load(self, action: _loader_types.CoverLoad) -> None:
        del action
        if self._unlimited:
            now = self._clock.now()
            self._perform(self._loader.on_covered(now, now + _MAX_SEND_DELAY_S))
            return
        self._swap.cover()

    def _on_swap_action(self, action: swaps.Action) -> None:
        now = self._clock.now()
        if isinstance(action, swaps.Granted):
            self._log.write(_events.SWAP_GRANTED)
            self._perform(self._loader.on_permit_granted(now))
        elif isinstance(action, swaps.Covered):
            self._perform(self._loader.on_covered(now, action.send_before))
        elif isinstance(action, swaps.Lost):
            self._log.write(_events.SWAP_LOST)
            self._perform(self._loader.on_permit_lost(now))


_STATE_BY_PHASE = {
    loaders.Phase.ASKING: statuses.State.RETRYING,
    loaders.Phase.QUEUED: statuses.State.WAITING,
    loaders.Phase.DRAINING: statuses.State.DRAINING,
    loaders.Phase.COVERING: statuses.State.DRAINING,
    loaders.Phase.LOADING: statuses.State.LOADING,
}
