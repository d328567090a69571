"""What can go wrong as a process joins, and the guards against it."""

from collections.abc import Callable
import functools
from typing import Any

from clementinegw.matrix import guards
from clementinegw.matrix import members
from clementinegw.matrix import types
from clementinegw.membership import _core

Scene = members.JoinScene
Fault = types.Fault

_STEPS = ("started", "first_heard", "first_known", "known", "left")
_SHORT_S = 1.5
# Longer than it takes to be held for dead.
_LONG_S = 15.0


def _pause(name: str, seconds: float) -> Callable[[Scene], None]:
    def strike(scene: Scene) -> None:
        scene.world.pause(getattr(scene, name).host, seconds)

    return strike


def _partition(scene: Scene) -> None:
    scene.world.partition(members.DOMAIN, members.OTHER_DOMAIN, _LONG_S)


def _lose(scene: Scene) -> None:
    scene.lossy = True
    scene.world.later(_LONG_S, setattr, scene, "lossy", False)


def _replay(scene: Scene) -> None:
    scene.world.later(_LONG_S, scene.replay)


_FAULTS = (
    Fault("newcomer_dies", lambda s: s.replace(s.newcomer)),
    Fault("newcomer_gone", lambda s: s.kill(s.newcomer)),
    Fault("seed_dies", lambda s: s.replace(s.seed)),
    Fault("seed_gone", lambda s: s.kill(s.seed)),
    Fault("newcomer_pauses", _pause("newcomer", _SHORT_S)),
    Fault("newcomer_sleeps", _pause("newcomer", _LONG_S)),
    Fault("seed_pauses", _pause("seed", _SHORT_S)),
    Fault("seed_sleeps", _pause("seed", _LONG_S)),
    Fault("partition", _partition),
    Fault("datagrams_lost", _lose),
    Fault("old_datagrams", _replay),
)


@functools.cache
def paths() -> tuple[types.Path, ...]:
    """Returns the path of joining."""
    return (types.Path("join", _STEPS, _FAULTS, members.JoinScene),)


def _silent(self, *args: Any) -> list[Any]:
    return []


GUARDS: tuple[guards.Guard, ...] = (
    guards.Guard(
        "no_refutation",
        "not_known",
        (guards.Patch(_core.Core, "_apply_own_update", _silent),),
        ("join",),
        ("newcomer_sleeps@started",),
    ),
)
