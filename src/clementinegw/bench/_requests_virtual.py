"""One run of the requests bench in virtual time."""

import asyncio
import dataclasses
import random

from clementinegw import types
from clementinegw.bench import _requests_backend
from clementinegw.bench import _requests_faults
from clementinegw.bench import _requests_load
from clementinegw.bench import _requests_network
from clementinegw.bench import _requests_report
from clementinegw.bench import _requests_world
from clementinegw.requests import prefix
from clementinegw.requests import route
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clock_lib

_IN_DOMAIN_S = 0.0003
_BETWEEN_DOMAINS_S = 0.0005
_BETWEEN_REGIONS_S = 0.001
_CROWDING = 0.5
# What is mixed into the traffic of a run with faults.
_REPEAT = 3
_KEYED = 0.2
_STREAMS = 0.3
_POISON = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to run; the flags of the bench say what each field means."""

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
    """Knows every cache as it is now: the bound for prefix affinity."""

    def __init__(self, agents: list[_requests_world.Agent]):
        super().__init__()
        self._agents = agents

    def matches(self, prefixes, now: float) -> dict[str, int]:
        """Returns the blocks that each worker has cached right now."""
        del now
        return {
            agent.instance.instance_id: agent.backend.cached(prefixes)
            for agent in self._agents
        }


def run(plan: Plan) -> _requests_report.Result:
    """Runs a plan in a loop of its own and returns what was measured."""
    logs.configure(events.Level.ERROR)
    clock = clock_lib.VirtualClock()
    loop = _requests_network.MemoryLoop(clock, _delays(plan))
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(_run(plan, clock, loop))


async def _run(
    plan: Plan,
    clock: clock_lib.VirtualClock,
    loop: _requests_network.MemoryLoop,
) -> _requests_report.Result:
    rng = random.Random(plan.seed)
    shape = _requests_world.Shape(
        entries=plan.entries,
        workers=plan.workers,
        domains=plan.domains,
        capacity=plan.capacity,
        speed=_requests_backend.Speed(crowding=_CROWDING),
    )
    world = _requests_world.World(
        shape, _rules(plan), clock, rng, keyed=bool(plan.faults)
    )
    await world.start()
    if plan.policy == "oracle":
        _use_oracle(world)
    world.agents[0].backend.slowness = plan.slow
    traffic = _traffic(plan, shape)
    callers = _requests_load.Callers(
        traffic,
        _requests_world.SERVICE,
        plan.entries,
        random.Random(plan.seed),
        _Balancer(world).send,
        _answer,
    )
    faults = _requests_faults.Faults(
        world, loop, random.Random(plan.seed), plan.faults
    )
    began = clock.now()
    faults.start()
    await callers.run()
    await faults.stop()
    await world.stop()
    return _requests_report.measure(plan, traffic, callers, world, began)


class _Balancer:
    """Brings callers' requests to the entries."""

    def __init__(self, world: _requests_world.World):
        self._world = world

    async def send(
        self,
        entry: int,
        request: request_types.Request,
        sink: request_types.Sink | None,
    ) -> types.Outcome:
        """Sends a request to an entry and brings its outcome back."""
        await asyncio.sleep(_BETWEEN_REGIONS_S)
        pipeline = self._world.entries[entry].service.pipeline
        outcome = await pipeline.run(request, sink)
        await asyncio.sleep(_BETWEEN_REGIONS_S)
        return outcome


def _traffic(
    plan: Plan, shape: _requests_world.Shape
) -> _requests_load.Traffic:
    work_s = _requests_load.mean_work(shape.speed, _CROWDING)
    capacity = plan.workers * plan.capacity / work_s
    return _requests_load.Traffic(
        rate=plan.load * capacity,
        seconds=plan.seconds,
        heavy=plan.heavy,
        heavy_customer=plan.heavy_customer,
        repeat=plan.repeat or (_REPEAT if plan.faults else 0),
        keyed=_KEYED if plan.faults else 0.0,
        streams=_STREAMS if plan.faults else 0.0,
        poison=_POISON if "poison" in plan.faults else 0.0,
    )


def _answer(request: request_types.Request, body: dict) -> bytes:
    if request.stream:
        return _requests_backend.stream_of(body)
    return _requests_backend.answer_of(request.request_id, body)


def _use_oracle(world: _requests_world.World) -> None:
    for entry in world.entries:
        for dispatcher in entry.service.fleet.dispatchers().values():
            dispatcher.set_policy(
                route.CacheAware(random.Random(0), _OracleIndex(world.agents))
            )


def _rules(plan: Plan) -> rules_lib.FixedRules:
    policy = "cache_aware" if plan.policy == "oracle" else plan.policy
    rules = rules_lib.Rules(
        _requests_world.SERVICE,
        types.ServiceKind.MODEL_ENGINE,
        version=_requests_backend.VERSION,
        policy=policy,
        hedging=plan.hedging,
    )
    customers = {
        f"customer-{index}": {"weight": share}
        for index, share in enumerate(_requests_load.SHARES)
    }
    return rules_lib.FixedRules({rules.service: rules}, customers)


def _delays(plan: Plan) -> _requests_network.Delay:
    def domain(host: str) -> int:
        return int(host[1:]) % plan.domains if host else 0

    def seconds(one: str, other: str) -> float:
        """Returns the seconds one way between two hosts."""
        here, there = domain(one), domain(other)
        if here == there:
            return _IN_DOMAIN_S
        if here // 2 == there // 2:
            return _BETWEEN_DOMAINS_S
        return _BETWEEN_REGIONS_S

    return seconds
