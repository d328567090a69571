"""The paths of weights: a rollout with its swap, under live requests."""

import asyncio
import random

from clementinegw import types
from clementinegw.gate import service as gate_service
from clementinegw.matrix import backends
from clementinegw.matrix import engines
from clementinegw.matrix import fleet as fleets
from clementinegw.matrix import hosts
from clementinegw.matrix import requests
from clementinegw.matrix import types as matrix_types
from clementinegw.matrix import world as worlds
from clementinegw.telemetry import counters
from clementinegw.testing import ledger as ledgers
from clementinegw.testing import memory
from clementinegw.weights import manifest as manifests
from clementinegw.weights import service as weights_service
from clementinegw.weights import store as stores
from clementinegw.weights import swarm
from clementinegw.weights import transfer
from clementinegw.wire import connection

V1, _BLOBS1 = engines.version_of("v1", b"a", b"b", b"c", b"d")
V2, _BLOBS2 = engines.version_of("v2", b"a", b"f", b"g", b"h")
V3, _BLOBS3 = engines.version_of("v3", b"a", b"f", b"i", b"j")
_VERSIONS = (V1, V2, V3)
_NAMES = {m.content_digest: m.version for m in _VERSIONS}
MAX_OUT = 1
# A rollout without faults takes less, and so does the rest after the faults.
CALM_S = 30.0
SETTLED_S = 150.0
_TRAFFIC_S = 0.25
_SAMPLE_S = 0.1
_TELL_S = 0.05
_AFTER_S = 3.0
# Which agent's engine checks fencing numbers; the others obey any order.
_CHECKING = 2
# An agent finds out by then that its engine has lost its weights.
_NOTICED_S = 8.0
_ORIGIN_S = 0.01
_CACHE_BYTES = 1 << 20
_LINK_BYTES_PER_S = 20.0 * engines.CHUNK
_LOAD_LIMIT_S = 20.0
_COPIES = 1.3


class RolloutFleet(fleets.Fleet):
    """Three agents with the real weights service and exchange."""

    def __init__(self, world: worlds.World, tracked: str):
        """Prepares the processes and publishes three versions."""
        self.engines: dict[str, engines.MemoryEngine] = {}
        self.weights: dict[str, weights_service.Weights] = {}
        self.logs: dict[str, worlds.HookedLog] = {}
        self.origin = memory.MemoryStore(memory.Faults(slow_s=_ORIGIN_S))
        for blobs in (_BLOBS1, _BLOBS2, _BLOBS3):
            self.origin.blobs.update(blobs)
        self.declared = (V1, 1)
        self.previous: manifests.Manifest | None = None
        self.served = False
        super().__init__(world, types.ServiceKind.MODEL_ENGINE, tracked)
        self.agents.append(self._agent("agent-3", "utrecht-hal", tracked))
        for number, agent in enumerate(self.agents):
            engine = engines.MemoryEngine(
                world, agent.backend.host, number == _CHECKING, dict(_NAMES)
            )
            self.engines[agent.host.name] = engine
            agent.backend.weights = engine

    def declare(self, manifest: manifests.Manifest) -> None:
        """Declares another version; agents hear of it one after the other."""
        self.previous = self.declared[0]
        self.declared = (manifest, self.declared[1] + 1)
        for number, agent in enumerate(self.agents):
            self._world.later(_TELL_S * number, self._tell, agent)

    def engine_of(self, agent: fleets.Agent) -> engines.MemoryEngine:
        """Returns an agent's engine."""
        return self.engines[agent.host.name]

    async def _start_weights(
        self,
        agent: fleets.Agent,
        gate: gate_service.GateService,
        endpoint: connection.Endpoint,
    ) -> None:
        world, name = self._world, agent.host.name
        rng = random.Random(f"{name} {agent.incarnation}")
        engine = self.engines[name]
        kept = counters.Counters()
        store = stores.StagedStore(engine, _CACHE_BYTES, kept)
        exchange = self._exchange(agent, endpoint, store, rng, kept)
        log = worlds.HookedLog(world, world.log, "swaps-")
        self.logs[name] = log
        weights = weights_service.Weights(
            name,
            fleets.SERVICE,
            engine,
            _HookedGate(world, gate),
            log,
            [self.origin],
            store,
            exchange=exchange,
            endpoint=endpoint,
            checks_fencing=engine.checks_fencing,
            policy=weights_service.SwapPolicy(
                0.34, len(self.agents), _LOAD_LIMIT_S, _LOAD_LIMIT_S
            ),
            clock=world.clock,
            rng=rng,
            log=world.silent,
            counters=kept,
        )
        self.weights[name] = weights
        weights.on_serving(self._on_serving)
        await exchange.start()
        await weights.start()
        self._tell(agent)

    def _exchange(
        self,
        agent: fleets.Agent,
        endpoint: connection.Endpoint,
        store: stores.StagedStore,
        rng: random.Random,
        kept: counters.Counters,
    ) -> transfer.Transfer:
        exchange = transfer.Transfer(
            self._instance(agent.host, types.Role.AGENT),
            endpoint,
            store,
            self.origin,
            swarm.Limits(link_bytes_per_s=_LINK_BYTES_PER_S),
            rng,
            clock=self._world.clock,
            log=self._world.silent,
            counters=kept,
        )
        exchange.set_fleet(
            self._instance(a.host, types.Role.AGENT) for a in self.agents
        )
        return exchange

    def _tell(self, agent: fleets.Agent) -> None:
        weights = self.weights.get(agent.host.name)
        if weights is None or agent.host.dead:
            return
        manifest, revision = self.declared
        previous = None
        if self.previous is not None:
            previous = _declared(self.previous, revision)
        self._world.start(
            agent.host, _want(weights, _declared(manifest, revision), previous)
        )

    def _on_serving(self, version: str, digest: str) -> None:
        del digest
        if version == V2.version:
            self._world.reached("served")


class _HookedGate:
    """A gate that tells the world when it is drained for a load."""

    def __init__(self, world: worlds.World, gate: gate_service.GateService):
        self._world = world
        self._gate = gate

    async def drain(self, timeout_s: float) -> bool:
        """Takes nothing new and waits for what is in flight."""
        self._world.reached("draining")
        return await self._gate.drain(timeout_s)

    def resume(self, version: str = "", digest: str = "") -> None:
        """Takes requests again."""
        self._gate.resume(version, digest)


class RolloutScene(requests.RequestScene):
    """A new version is declared under live requests."""

    fleet: RolloutFleet

    def __init__(
        self,
        path: matrix_types.Path,
        injections: tuple[matrix_types.Injection, ...],
    ):
        """Prepares the processes; see `types.Path.scene`."""
        kind = requests.Kind(types.ServiceKind.MODEL_ENGINE, True, stream=True)
        super().__init__(kind, path, injections)
        self._troubled: dict[str, float] = {}
        self._most_out = 0
        self._ended = False

    @property
    def agent(self) -> fleets.Agent:
        """The agent whose code, or whose engine's, is running."""
        host = hosts.current()
        for agent in self.fleet.agents:
            if host in (agent.host, agent.backend.host):
                return agent
        return self.fleet.agents[0]

    def trouble(self, agent: fleets.Agent) -> fleets.Agent:
        """Notes that an agent may be out against its will."""
        self._troubled[agent.host.name] = self.world.clock.now() + _NOTICED_S
        return agent

    def _make_fleet(self) -> RolloutFleet:
        return RolloutFleet(self.world, requests.TRACKED)

    async def _play(self) -> tuple[str, ...]:
        self.world.armed = False
        await self.fleet.start()
        await self._until_served(SETTLED_S)
        self.fleet.origin.bytes_served = 0
        self.world.armed = True
        traffic = asyncio.ensure_future(self._send_traffic())
        sampling = asyncio.ensure_future(self._sample())
        self.fleet.declare(V2)
        self.world.reached("declared")
        in_time = await self._until_served(CALM_S)
        if not in_time:
            in_time = not self.world.calm and await self._until_served(
                SETTLED_S
            )
        # What comes late must not spoil what was reached.
        await asyncio.sleep(_AFTER_S)
        self._ended = True
        await traffic
        await asyncio.gather(*self._calls)
        sampling.cancel()
        return self._verdict_of(in_time)

    async def _until_served(self, limit_s: float) -> bool:
        """Waits until every agent serves the newest version."""
        end = self.world.clock.now() + limit_s
        while self.world.clock.now() < end:
            if all(map(self._serves_newest, self.fleet.agents)):
                return True
            await asyncio.sleep(_SAMPLE_S)
        return False

    def _serves_newest(self, agent: fleets.Agent) -> bool:
        manifest = self.fleet.declared[0]
        gate = agent.gate
        if gate is None or not agent.host.up or not gate.ready:
            return False
        engine = self.fleet.engine_of(agent)
        return gate.version == manifest.version == engine.version

    async def _send_traffic(self) -> None:
        number = 0
        while not self._ended:
            name = f"traffic-{number}"
            entry = self.fleet.entries[number % 2]
            request = self._request(name, name.encode(), True, "")
            self._calls.append(
                asyncio.ensure_future(self._call(entry, name, request))
            )
            number += 1
            await asyncio.sleep(_TRAFFIC_S)

    async def _sample(self) -> None:
        """Counts the workers that are out for loading by their own will."""
        while True:
            out = 0
            now = self.world.clock.now()
            for agent in self.fleet.agents:
                ready = agent.gate is not None and agent.gate.ready
                name = agent.host.name
                if ready and agent.host.up:
                    if self._troubled.get(name, 0.0) < now:
                        self._troubled.pop(name, None)
                elif name not in self._troubled:
                    out += 1
            self._most_out = max(self._most_out, out)
            await asyncio.sleep(_SAMPLE_S)

    def _verdict_of(self, in_time: bool) -> tuple[str, ...]:
        counts = self.world.ledger.check(self._seen).counts()
        broken = [name for name, count in counts.items() if count]
        if self.world.defective:
            broken.append("defect")
        if not in_time:
            broken.append("not_served")
        if self._most_out > MAX_OUT:
            broken.append("too_many_out")
        if any(self._is_mixed(seen) for seen in self._seen):
            broken.append("mixed")
        drawn = self.fleet.origin.bytes_served / V2.total_bytes
        if self.world.calm and drawn > _COPIES:
            broken.append("origin_overdrawn")
        return tuple(broken)

    def _is_mixed(self, seen: ledgers.CallerRecord) -> bool:
        if (
            seen.outcome is not ledgers.CallerOutcome.ANSWERED
            or not seen.answer
        ):
            return False
        whole = [
            backends.stream_of(seen.request_id.encode(), m.version)
            for m in _VERSIONS
        ]
        return seen.answer not in whole


async def _want(weights: weights_service.Weights, *declared) -> None:
    weights.set_declared(*declared)


def _declared(
    manifest: manifests.Manifest, revision: int
) -> weights_service.DeclaredVersion:
    return weights_service.DeclaredVersion(
        manifest.version, manifest.digest, revision
    )
