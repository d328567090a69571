"""Connects an engine's weights to settings, membership and the transfer."""

from collections.abc import Mapping
from typing import Any

import mode

from clementinegw import types
from clementinegw.backend import engine as engine_client
from clementinegw.daemons import core as core_lib
from clementinegw.gate import service as gate_lib
from clementinegw.platform import store as store_lib
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import knobs
from clementinegw.settings import model as model_lib
from clementinegw.weights import origin_fetchers
from clementinegw.weights import pacing as pacing_lib
from clementinegw.weights import service as weights_lib
from clementinegw.weights import store as chunk_stores
from clementinegw.weights import swarm
from clementinegw.weights import transfer as transfer_lib

_PEER_REFRESH_INTERVAL_S = 0.5
_BYTES_PER_MB = 1 << 20

# The policy `none` is absent: each agent then fetches for itself, without
# peers.
_DRAW_POLICIES = {
    knobs.DrawPolicy.FLEET: origin_fetchers.DrawPolicy.FLEET,
    knobs.DrawPolicy.REGION: origin_fetchers.DrawPolicy.REGION,
    knobs.DrawPolicy.FAILURE_DOMAIN: origin_fetchers.DrawPolicy.FAILURE_DOMAIN,
}


class EngineWeights(mode.Service):
    """Manages the weights of the engine that one agent serves."""

    def __init__(
        self,
        core: core_lib.Core,
        service: str,
        engine: engine_client.EngineClient,
        gate: gate_lib.GateService,
    ):
        """Initializes the service; `core` must be started.

        Args:
          core: The services shared by both daemons.
          service: The name of the service that the agent serves.
          engine: The engine's client.
          gate: The gate, drained before a load and resumed after it.
        """
        super().__init__()
        self._core = core
        self._service = service
        self._engine = engine
        self._gate = gate
        self._transfer: transfer_lib.Transfer | None = None
        self._weights: weights_lib.Weights | None = None
        self._state: follower_lib.State | None = None
        self._peers: frozenset[types.Instance] = frozenset()

    def as_json(self) -> Mapping[str, Any]:
        """Returns the weights for `/status`; empty before any settings."""
        if self._weights is None:
            return {}
        return self._weights.status().as_json()

    def apply(self, state: follower_lib.State) -> None:
        """Applies settings; the first ones start the child services."""
        self._state = state
        if self._weights is None:
            self.add_future(self._start_parts(state))
        else:
            self._declare_versions(self._weights, state)

    @mode.Service.task
    async def _refresh_peers_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(_PEER_REFRESH_INTERVAL_S)
            self._refresh_peers()

    async def _start_parts(self, state: follower_lib.State) -> None:
        settings = self._core.effective_settings(self._service).weights
        core = self._core
        platform = core.file.platform
        store = chunk_stores.StagedStore(
            self._engine, settings.memory_mb * _BYTES_PER_MB, core.counters
        )
        origin = store_lib.HttpStore(platform.origin, core.session)
        weight_store = store_lib.HttpStore(platform.store, core.session)
        if settings.draw_policy in _DRAW_POLICIES:
            self._transfer = self._make_transfer(settings, store, origin)
        self._weights = weights_lib.Weights(
            core.file.instance_id,
            self._service,
            self._engine,
            self._gate,
            core.log_client,
            (weight_store, origin),
            store,
            exchange=self._transfer,
            endpoint=core.endpoint,
            checks_fencing=self._declared_service(state).checks_fencing,
            policy=self._policy(),
            clock=core.clock,
            rng=core.rng,
            log=core.event_log,
            counters=core.counters,
        )
        self._refresh_peers()
        self._declare_versions(self._weights, self._state or state)
        if self._transfer is not None:
            await self.add_runtime_dependency(self._transfer)
        await self.add_runtime_dependency(self._weights)

    def _make_transfer(
        self,
        settings: knobs.Weights,
        store: chunk_stores.StagedStore,
        origin: store_lib.HttpStore,
    ) -> transfer_lib.Transfer:
        core = self._core
        limits = swarm.Limits(
            outstanding=settings.max_downloads,
            upload_slots=settings.max_uploads,
            draw_policy=_DRAW_POLICIES[settings.draw_policy],
            draw_deadline_s=settings.deadline_s,
            link_bytes_per_s=float(settings.download_rate),
            cross_copies=settings.cross_domain_copies,
        )
        rate = float("inf")
        if settings.pacing is not knobs.Pacing.NONE:
            rate = float(settings.upload_rate)
        return transfer_lib.Transfer(
            core.instance,
            core.endpoint,
            store,
            origin,
            limits,
            core.rng,
            pacing=pacing_lib.Pacing(rate, core.clock),
            clock=core.clock,
            log=core.event_log,
            counters=core.counters,
        )

    def _declared_service(self, state: follower_lib.State) -> model_lib.Service:
        declared = state.tree.services.get(self._service)
        if declared is not None:
            return declared
        return model_lib.Service(kind=types.ServiceKind.MODEL_ENGINE)

    def _policy(self) -> weights_lib.SwapPolicy:
        settings = self._core.effective_settings(self._service)
        state = self._state
        # The declared number of workers is the same everywhere, while views of
        # the membership differ for a while.
        workers = self._declared_service(state).workers if state else None
        return weights_lib.SwapPolicy(
            max_out_share=settings.weights.max_out_share,
            workers=workers or max(1, len(self._peers)),
            drain_timeout_s=settings.shutdown.grace_s,
            load_timeout_s=settings.weights.load_timeout_s,
        )

    def _declare_versions(
        self, weights: weights_lib.Weights, state: follower_lib.State
    ) -> None:
        weights.set_policy(self._policy())
        service = self._declared_service(state)
        if service.model is None:
            return
        previous = None
        if service.previous is not None:
            previous = _declared_version(service.previous, state.revision)
        target = _declared_version(service.model, state.revision)
        adapters = tuple(
            weights_lib.DeclaredAdapter(one.name, one.version, one.manifest)
            for one in service.adapters
        )
        weights.set_declared(target, previous, adapters)

    def _refresh_peers(self) -> None:
        """Applies the current set of the service's agents."""
        members = self._core.membership.members(
            role=types.Role.AGENT, service=self._service
        )
        peers = frozenset(member.instance for member in members)
        if peers == self._peers:
            return
        self._peers = peers
        if self._transfer is not None:
            self._transfer.set_fleet(peers)
        if self._weights is not None:
            self._weights.set_policy(self._policy())


def _declared_version(
    model: model_lib.ModelVersion, revision: int
) -> weights_lib.DeclaredVersion:
    return weights_lib.DeclaredVersion(model.version, model.manifest, revision)
