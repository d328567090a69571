"""One run of the requests bench in virtual time."""

import asyncio
import dataclasses
import random

from clementinegw import types
from clementinegw.bench import _requests_backend
from clementinegw.bench import _requests_cluster
from clementinegw.bench import _requests_faults
from clementinegw.bench import _requests_load
from clementinegw.bench import _requests_network
from clementinegw.bench import _requests_report
from clementinegw.requests import prefix
from clementinegw.requests import route
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clock_lib

_SAME_DOMAIN_DELAY_S = 0.0003
_SAME_REGION_DELAY_S = 0.0005
_CROSS_REGION_DELAY_S = 0.001
_BATCH_SLOWDOWN = 0.5
# Retries and fractions of requests in the traffic of a run with faults.
_FAULT_RUN_RETRIES = 3
_FAULT_RUN_KEYED_SHARE = 0.2
_FAULT_RUN_STREAMED_SHARE = 0.3
_FAULT_RUN_POISON_SHARE = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a run; the flags of the bench describe each field."""

    entries: int = 8
    workers: int = 12
    domains: int = 1
    load: float = 0.8
    policy: str = "cache_aware"
    seed: int = 1
    seconds: float = 60.0
    faults: tuple[str, ...] = ()
    heavy: float = 1.0
    heavy_customer: int = 0
    slow: float = 1.0
    repeat: int = 0
    capacity: int = 8
    hedging: bool = False


class _OracleIndex(prefix.PrefixIndex):
    """An index of the current caches: the upper bound for prefix affinity."""

    def __init__(self, agents: list[_requests_cluster.Agent]):
        super().__init__()
        self._agents = agents

    def matches(self, prefixes, now: float) -> dict[str, int]:
        """Returns the number of leading blocks that each worker has cached."""
        del now
        return {
            agent.instance.instance_id: agent.backend.cached(prefixes)
            for agent in self._agents
        }


def run(plan: Plan) -> _requests_report.Result:
    """Runs a plan in a new event loop and returns the result."""
    logs.configure(events.Level.ERROR)
    clock = clock_lib.VirtualClock()
    loop = _requests_network.MemoryLoop(clock, _delay_function(plan))
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(_run(plan, clock, loop))


async def _run(
    plan: Plan,
    clock: clock_lib.VirtualClock,
    loop: _requests_network.MemoryLoop,
) -> _requests_report.Result:
    rng = random.Random(plan.seed)
    config = _requests_cluster.ClusterConfig(
        entries=plan.entries,
        workers=plan.workers,
        domains=plan.domains,
        capacity=plan.capacity,
        speed=_requests_backend.ServiceTimes(batch_slowdown=_BATCH_SLOWDOWN),
    )
    cluster = _requests_cluster.Cluster(
        config, _rules(plan), clock, rng, keyed=bool(plan.faults)
    )
    await cluster.start()
    if plan.policy == "oracle":
        _use_oracle(cluster)
    cluster.agents[0].backend.slowness = plan.slow
    traffic = _traffic(plan, config)
    generator = _requests_load.LoadGenerator(
        traffic,
        _requests_cluster.SERVICE,
        plan.entries,
        random.Random(plan.seed),
        _Balancer(cluster).send,
        _expected_answer,
    )
    faults = _requests_faults.FaultInjector(
        cluster, loop, random.Random(plan.seed), plan.faults
    )
    started_at = clock.now()
    faults.start()
    await generator.run()
    await faults.stop()
    await cluster.stop()
    return _requests_report.measure(
        plan, traffic, generator, cluster, started_at
    )


class _Balancer:
    """Sends requests to the entries with the delay between regions."""

    def __init__(self, cluster: _requests_cluster.Cluster):
        self._cluster = cluster

    async def send(
        self,
        entry: int,
        request: request_types.Request,
        sink: request_types.Sink | None,
    ) -> types.Outcome:
        """Sends a request to an entry and returns its outcome."""
        await asyncio.sleep(_CROSS_REGION_DELAY_S)
        pipeline = self._cluster.entries[entry].service.pipeline
        outcome = await pipeline.run(request, sink)
        await asyncio.sleep(_CROSS_REGION_DELAY_S)
        return outcome


def _traffic(
    plan: Plan, config: _requests_cluster.ClusterConfig
) -> _requests_load.Traffic:
    service_time_s = _requests_load.mean_service_time_s(
        config.speed, _BATCH_SLOWDOWN
    )
    capacity = plan.workers * plan.capacity / service_time_s
    return _requests_load.Traffic(
        rate=plan.load * capacity,
        seconds=plan.seconds,
        heavy_factor=plan.heavy,
        heavy_customer=plan.heavy_customer,
        max_retries=plan.repeat or (_FAULT_RUN_RETRIES if plan.faults else 0),
        keyed_share=_FAULT_RUN_KEYED_SHARE if plan.faults else 0.0,
        streamed_share=_FAULT_RUN_STREAMED_SHARE if plan.faults else 0.0,
        poison_share=_FAULT_RUN_POISON_SHARE
        if "poison" in plan.faults
        else 0.0,
    )


def _expected_answer(request: request_types.Request, body: dict) -> bytes:
    if request.stream:
        return _requests_backend.streamed_answer(body)
    return _requests_backend.expected_answer(request.request_id, body)


def _use_oracle(cluster: _requests_cluster.Cluster) -> None:
    for entry in cluster.entries:
        for dispatcher in entry.service.fleet.dispatchers().values():
            dispatcher.set_policy(
                route.CacheAware(random.Random(0), _OracleIndex(cluster.agents))
            )


def _rules(plan: Plan) -> rules_lib.FixedRules:
    policy = "cache_aware" if plan.policy == "oracle" else plan.policy
    rules = rules_lib.Rules(
        _requests_cluster.SERVICE,
        types.ServiceKind.MODEL_ENGINE,
        version=_requests_backend.VERSION,
        policy=policy,
        hedging=plan.hedging,
    )
    customers = {
        f"customer-{index}": {"weight": share}
        for index, share in enumerate(_requests_load.CUSTOMER_WEIGHTS)
    }
    return rules_lib.FixedRules({rules.service: rules}, customers)


def _delay_function(plan: Plan) -> _requests_network.Delay:
    def domain(host: str) -> int:
        return int(host[1:]) % plan.domains if host else 0

    def seconds(one: str, other: str) -> float:
        """Returns the one-way delay between two hosts, in seconds."""
        here, there = domain(one), domain(other)
        if here == there:
            return _SAME_DOMAIN_DELAY_S
        if here // 2 == there // 2:
            return _SAME_REGION_DELAY_S
        return _CROSS_REGION_DELAY_S

    return seconds
