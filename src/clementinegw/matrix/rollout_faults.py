"""What can go wrong in a rollout, and the guards against it."""

from collections.abc import Callable
import dataclasses
import functools
from typing import Any

from clementinegw.backend import types as backend
from clementinegw.gate import _monitor
from clementinegw.gate import _run
from clementinegw.gate import service as gate_service
from clementinegw.matrix import guards
from clementinegw.matrix import rollout
from clementinegw.matrix import types
from clementinegw.testing import memory
from clementinegw.weights import _engine_calls
from clementinegw.weights import _engine_view
from clementinegw.weights import swap

Scene = rollout.RolloutScene
Fault = types.Fault

_FETCH_STEPS = ("declared", "chunk_staged")
_SWAP_STEPS = (
    "append_sent",
    "append_taken",
    "draining",
    "order_sent",
    "loading",
    "order_done",
    "served",
)
_APPENDS = frozenset({"append_sent"})
_ORDERS = frozenset({"order_sent"})
_SHORT_S = 1.5
# Longer than a lease of a draining worker lasts.
_LONG_S = 15.0
_RESTART_S = 0.5


def _kill_agent(scene: Scene) -> None:
    scene.fleet.kill_agent(scene.trouble(scene.agent))


def _kill_engine(scene: Scene) -> None:
    agent = scene.trouble(scene.agent)
    scene.fleet.engine_of(agent).die(_RESTART_S)
    agent.backend.crash(_RESTART_S)


def _kill_machine(scene: Scene) -> None:
    agent = scene.agent
    _kill_engine(scene)
    scene.fleet.kill_agent(scene.trouble(agent))


def _pause(seconds: float) -> Callable[[Scene], None]:
    def strike(scene: Scene) -> None:
        agent = scene.trouble(scene.agent)
        scene.world.pause(agent.host, seconds)

    return strike


def _stall_links(scene: Scene) -> None:
    for transport in scene.world.network.of(scene.agent.host):
        transport.stalled = True
        scene.world.later(_SHORT_S, transport.flow)


def _break_links(scene: Scene) -> None:
    for transport in scene.world.network.of(scene.agent.host):
        transport.abort()


def _partition(scene: Scene) -> None:
    """Cuts one failure domain off from the others and from the platform."""
    for domain in ("groningen-hal", "utrecht-hal"):
        scene.world.partition("eindhoven-hal", domain, _LONG_S)
    for agent in scene.fleet.agents:
        if agent.host.place.failure_domain == "eindhoven-hal":
            faults = scene.fleet.logs[agent.host.name].faults
            faults.stalled = True
            scene.world.later(_LONG_S, setattr, faults, "stalled", False)


def _log(name: str, value: object, after: object) -> Callable[[Scene], None]:
    def strike(scene: Scene) -> None:
        for client in scene.fleet.logs.values():
            setattr(client.faults, name, value)
            scene.world.later(_LONG_S, setattr, client.faults, name, after)

    return strike


def _log_answer_lost(scene: Scene) -> None:
    for client in scene.fleet.logs.values():
        client.faults.answer_lost = 1


def _origin_down(scene: Scene) -> None:
    faults: memory.Faults = scene.fleet.origin.faults
    faults.down = True
    scene.world.later(_LONG_S, setattr, faults, "down", False)


def _origin_corrupt(scene: Scene) -> None:
    scene.fleet.origin.faults.corrupt = 2


def _staging_corrupt(scene: Scene) -> None:
    scene.fleet.engine_of(scene.agent).faults.corrupt_reads = 2


def _answer_lost(scene: Scene) -> None:
    scene.fleet.engine_of(scene.agent).faults.answers_lost = 1


def _order_late(scene: Scene) -> None:
    scene.fleet.engine_of(scene.agent).faults.late_s = 2.0


def _load_corrupt(scene: Scene) -> None:
    scene.trouble(scene.agent)
    scene.fleet.engine_of(scene.agent).faults.corrupt_loads = 1


_PROCESSES = (
    Fault("agent_dies", _kill_agent),
    Fault("engine_dies", _kill_engine),
    Fault("machine_dies", _kill_machine),
    Fault("agent_pauses", _pause(_SHORT_S)),
    Fault("agent_sleeps", _pause(_LONG_S)),
)
_LINKS = (
    Fault("link_stalls", _stall_links),
    Fault("link_breaks", _break_links),
    Fault("partition", _partition),
    Fault("log_down", _log("down", True, False)),
    Fault("log_slow", _log("slow_s", 0.8, 0.0)),
    Fault(
        "log_answer_lost",
        _log_answer_lost,
        _APPENDS,
        "only the answer of an append can be lost",
    ),
    Fault("origin_down", _origin_down),
)
_BYTES = (
    Fault("origin_corrupts", _origin_corrupt),
    Fault("staging_corrupts", _staging_corrupt),
    Fault(
        "load_corrupts",
        _load_corrupt,
        _ORDERS,
        "bytes change on their way into the accelerator as an order runs",
    ),
)
_ORDER = (
    Fault(
        "order_answer_lost",
        _answer_lost,
        _ORDERS,
        "only the answer of an order can be lost",
    ),
    Fault(
        "order_late",
        _order_late,
        _ORDERS,
        "only an order that was sent can arrive late",
    ),
)
_OPERATORS = (
    Fault(
        "version_changes",
        lambda s: s.fleet.declare(rollout.V3),
    ),
    Fault(
        "version_returns",
        lambda s: s.fleet.declare(rollout.V1),
    ),
)


@functools.cache
def paths() -> tuple[types.Path, ...]:
    """Returns the paths of weights."""
    faults = (*_PROCESSES, *_LINKS, *_BYTES, *_ORDER, *_OPERATORS)
    return (
        types.Path("rollout", _FETCH_STEPS, faults, rollout.RolloutScene),
        types.Path("swap", _SWAP_STEPS, faults, rollout.RolloutScene),
    )


def _say_ordered(carry_out: Callable) -> Callable:
    """Takes each load for one of the right bytes."""

    async def _weaker(self, action: Any) -> Any:
        answer = await carry_out(self, action)
        if hasattr(answer, "digest"):
            answer.digest = action.target.content_digest
        return answer

    return _weaker


def _ignore_digest(on_head: Callable) -> Callable:
    async def _weaker(self, call: Any, head: backend.Head) -> Any:
        return await on_head(self, call, dataclasses.replace(head, digest=""))

    return _weaker


async def _no_drain(self, timeout_s: float) -> bool:
    return True


def _no_limit(share: float, workers: int) -> int:
    return workers


def _forget_open(self, *args: Any) -> None:
    return None


def _stay_open(self) -> None:
    return None


# The gate compares the digest of each answer and of each probe by itself.
_GATE_LOOKS_AWAY = (
    guards.around(_run.Runner, "_on_head", _ignore_digest),
    guards.Patch(_monitor.Monitor, "_close", _stay_open),
)

GUARDS: tuple[guards.Guard, ...] = (
    guards.Guard(
        "no_digest_check",
        "mixed",
        (
            guards.around(
                _engine_calls.EngineCalls, "_carry_out", _say_ordered
            ),
            *_GATE_LOOKS_AWAY,
        ),
        ("swap",),
        ("load_corrupts@order_sent",),
    ),
    guards.Guard(
        "no_drain",
        "mixed",
        (
            guards.Patch(gate_service.GateService, "drain", _no_drain),
            *_GATE_LOOKS_AWAY,
        ),
        ("swap",),
        ("log_slow@append_sent",),
    ),
    guards.Guard(
        "no_share_limit",
        "too_many_out",
        (guards.Patch(swap, "max_out", _no_limit),),
        ("swap",),
        ("link_breaks@append_sent",),
    ),
    guards.Guard(
        "no_open_order",
        "mixed",
        (
            guards.Patch(_engine_view.EngineView, "leave_open", _forget_open),
            *_GATE_LOOKS_AWAY,
        ),
        ("swap",),
        ("order_late@order_sent:version_changes@order_sent",),
    ),
)
