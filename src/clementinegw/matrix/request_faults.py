"""What can go wrong with a request, and the paths it goes wrong on."""

from collections.abc import Callable
import dataclasses
import functools

from clementinegw import types
from clementinegw.matrix import network as networks
from clementinegw.matrix import requests
from clementinegw.matrix import types as matrix_types

Scene = requests.RequestScene
Fault = matrix_types.Fault

_STEPS = (
    "submit_sent",
    "submit_arrived",
    "handed_over",
    "ran",
    "head_sent",
    "end_sent",
    "end_arrived",
)
_KEYED_STEPS = ("append_sent", "append_taken", *_STEPS)
_STREAM_STEPS = (
    "submit_sent",
    "submit_arrived",
    "handed_over",
    "head_sent",
    "streaming",
    "ran",
    "end_sent",
    "end_arrived",
)
_LEAVE_STEPS = (
    "submit_sent",
    "handed_over",
    "leave_told",
    "left",
)
_FRAMES = frozenset({"submit_sent", "head_sent", "end_sent"})
_RUNNING = frozenset({"handed_over", "streaming"})
_APPENDS = frozenset({"append_sent"})
_LONG_S = 8.0


def _stall_links(scene: Scene) -> None:
    for transport in scene.world.network.of(scene.agent.host):
        transport.stalled = True
        scene.world.later(2.0, transport.flow)
        if transport.peer is not None:
            transport.peer.stalled = True
            scene.world.later(2.0, transport.peer.flow)


def _break_links(scene: Scene) -> None:
    for transport in scene.world.network.of(scene.agent.host):
        transport.abort()


def _treat(treatment: networks.Treatment) -> Callable[[Scene], None]:
    def strike(scene: Scene) -> None:
        scene.treatment = treatment

    return strike


def _cross_refusal(scene: Scene) -> None:
    """The submission comes late, is refused, and the refusal goes astray."""
    scene.cross_refusals = True
    scene.treatment = networks.Treatment(delay_s=0.02)
    scene.world.later(0.015, scene.fleet.leave, scene.agent)


def _cut_answer(scene: Scene) -> None:
    scene.agent.backend.cut_answers += 1


def _partition(scene: Scene) -> None:
    mine = scene.entry.host.place.failure_domain
    others = {agent.host.place.failure_domain for agent in scene.fleet.agents}
    for other in others:
        scene.world.partition(mine, other, 4.0)
    _log_down(scene)


def _log_down(scene: Scene) -> None:
    faults = scene.entry.log.faults
    faults.down = True
    scene.world.later(4.0, setattr, faults, "down", False)


def _log_slow(scene: Scene) -> None:
    faults = scene.entry.log.faults
    faults.slow_s = 0.8
    scene.world.later(4.0, setattr, faults, "slow_s", 0.0)


def _log_answer_lost(scene: Scene) -> None:
    scene.entry.log.faults.answer_lost += 1


def _replace_log(scene: Scene) -> None:
    for number in range(4):
        scene.world.log.truncate(f"claims-{number}")


_DIE = (
    Fault("agent_dies", lambda s: s.fleet.kill_agent(s.agent)),
    Fault("backend_dies", lambda s: s.agent.backend.crash(0.5)),
    Fault("entry_dies", lambda s: s.fleet.kill_entry(s.entry)),
)
_PAUSE = (
    Fault("agent_pauses", lambda s: s.world.pause(s.agent.host, 1.5)),
    Fault("agent_sleeps", lambda s: s.world.pause(s.agent.host, _LONG_S)),
    Fault("entry_pauses", lambda s: s.world.pause(s.entry.host, 1.5)),
    Fault("entry_sleeps", lambda s: s.world.pause(s.entry.host, _LONG_S)),
    Fault("backend_stalls", lambda s: s.agent.backend.stall(2.0)),
)
_LINKS = (
    Fault("link_stalls", _stall_links),
    Fault("link_breaks", _break_links),
    Fault("partition", _partition),
    Fault(
        "frame_repeated",
        _treat(networks.Treatment(copies=2)),
        _FRAMES,
        "a frame is repeated where it is sent",
    ),
    Fault(
        "frame_late",
        _treat(networks.Treatment(delay_s=1.0)),
        _FRAMES,
        "a frame is delayed where it is sent",
    ),
    Fault(
        "frame_lost",
        _treat(networks.Treatment(drop=True)),
        _FRAMES,
        "a frame is lost where it is sent",
    ),
)
_SERVER = (
    Fault("leaves", lambda s: s.fleet.leave(s.agent), graceful=True),
    Fault(
        "version_changes",
        lambda s: s.fleet.change_version(s.agent),
        graceful=True,
    ),
    Fault(
        "refusal_crossed",
        _cross_refusal,
        frozenset({"submit_sent"}),
        "an agent refuses a submission only as it arrives",
    ),
    Fault(
        "answer_cut",
        _cut_answer,
        frozenset({"handed_over", "streaming", "ran"}),
        "only a backend server that answers can cut its answer",
    ),
    Fault(
        "poison_request",
        lambda s: None,
        frozenset({"handed_over"}),
        "a request crashes a backend server only by running on it",
    ),
)
_CALLER = (
    Fault("caller_leaves", lambda s: s.abandon()),
    Fault("caller_repeats", lambda s: s.repeat_elsewhere(), graceful=True),
)
_LOG = (
    Fault("log_down", _log_down),
    Fault("log_slow", _log_slow),
    Fault(
        "log_answer_lost",
        _log_answer_lost,
        _APPENDS,
        "only the answer of an append can be lost",
    ),
    Fault("log_expires", _replace_log),
)

_NO_CLAIM = (*_DIE, *_PAUSE, *_LINKS, *_SERVER, _CALLER[0])
_KEYED = (*_DIE, *_PAUSE, *_LINKS, *_SERVER, *_CALLER, *_LOG)

# With one agent leaving, a change at the other leaves none to serve.
_LEAVE = (
    *_DIE,
    *_PAUSE,
    *_LINKS,
    dataclasses.replace(_SERVER[1], graceful=False),
)

_PLAIN = types.ServiceKind.PLAIN
_ENGINE = types.ServiceKind.MODEL_ENGINE


@functools.cache
def paths() -> tuple[matrix_types.Path, ...]:
    """Returns the paths of requests."""
    return (
        matrix_types.Path(
            "request",
            _STEPS,
            _NO_CLAIM,
            requests.scene_of(requests.Kind(_PLAIN, True)),
        ),
        matrix_types.Path(
            "booking",
            _STEPS,
            _NO_CLAIM,
            requests.scene_of(requests.Kind(_PLAIN, False)),
        ),
        matrix_types.Path(
            "keyed_request",
            _KEYED_STEPS,
            _KEYED,
            requests.scene_of(requests.Kind(_PLAIN, False, "key-1")),
        ),
        matrix_types.Path(
            "stream",
            _STREAM_STEPS,
            _NO_CLAIM,
            requests.scene_of(requests.Kind(_ENGINE, True, stream=True)),
        ),
        matrix_types.Path("leave", _LEAVE_STEPS, _LEAVE, requests.leave_scene),
    )
