"""What can go wrong with a settings change, and the guards against it."""

from collections.abc import Callable
import functools
from typing import Any

from clementinegw import exceptions
from clementinegw.matrix import guards
from clementinegw.matrix import settings
from clementinegw.matrix import snapshot
from clementinegw.matrix import types
from clementinegw.settings import _check
from clementinegw.settings import _merge
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import publisher
from clementinegw.settings import records
from clementinegw.settings import results
from clementinegw.settings import snapshots

Scene = settings.SettingsScene
Fault = types.Fault

_STEPS = ("append_sent", "append_taken", "told", "in_force")
_SNAPSHOT_STEPS = ("append_sent", "append_taken", "expired", "joined")
_APPENDS = frozenset({"append_sent"})
# Before the record is there, or after some process has read it.
_ONCE_READ = frozenset(
    {"append_sent", "append_taken", "in_force", "expired", "joined"}
)
_UNREAD = (
    "a record that the log loses between its answer and the first read leaves"
    " nothing by which to notice it; the log keeps records for far longer"
)
_SHORT_S = 1.5
_LONG_S = 8.0


def _switch(name: str, value: Any, after: Any) -> Callable[[Scene], None]:
    """Sets a switch of every client of the log for a while."""

    def strike(scene: Scene) -> None:
        for faults in settings.log_faults(scene):
            setattr(faults, name, value)
            scene.world.later(_LONG_S, setattr, faults, name, after)

    return strike


def _answer_lost(scene: Scene) -> None:
    for faults in settings.log_faults(scene):
        faults.answer_lost = 1


def _refused(scene: Scene) -> None:
    for faults in settings.log_faults(scene):
        faults.refused = 1


def _partition(scene: Scene) -> None:
    """Cuts one failure domain off from the platform and from the others."""
    for domain in ("groningen-hal", "utrecht-hal"):
        scene.world.partition("eindhoven-hal", domain, _LONG_S)
    faults = scene.processes[2].log.faults
    faults.stalled = True
    scene.world.later(_LONG_S, setattr, faults, "stalled", False)


def _go_back(scene: Scene) -> None:
    """An older log is put in place: the newest record is gone from it."""
    everything = scene.world.log.all(records.STREAM)
    if everything:
        scene.world.log.roll_back(records.STREAM, everything[-1].offset)


def _expire(scene: Scene) -> None:
    scene.world.log.truncate(records.STREAM)


def _processes() -> tuple[Fault, ...]:
    return (
        Fault("relay_dies", lambda s: s.replace(s.processes[0])),
        Fault("follower_dies", lambda s: s.replace(s.processes[1])),
        Fault("operator_dies", lambda s: s.world.network.kill(s.operator.host)),
        Fault(
            "relay_pauses",
            lambda s: s.world.pause(s.processes[0].host, _SHORT_S),
        ),
        Fault(
            "relay_sleeps",
            lambda s: s.world.pause(s.processes[0].host, _LONG_S),
        ),
        Fault(
            "follower_sleeps",
            lambda s: s.world.pause(s.processes[1].host, _LONG_S),
        ),
        Fault(
            "operator_sleeps",
            lambda s: s.world.pause(s.operator.host, _LONG_S),
        ),
        Fault("partition", _partition),
    )


def _logs() -> tuple[Fault, ...]:
    return (
        Fault("log_down", _switch("down", True, False)),
        Fault("log_slow", _switch("slow_s", 0.8, 0.0)),
        Fault("log_stalls", _switch("stalled", True, False)),
        Fault(
            "log_answer_lost",
            _answer_lost,
            _APPENDS,
            "only the answer of an append can be lost",
        ),
        Fault(
            "log_refuses",
            _refused,
            _APPENDS,
            "only an append can be refused",
        ),
        Fault("log_goes_back", _go_back, _ONCE_READ, _UNREAD),
        Fault("log_expires", _expire, _ONCE_READ - {"append_taken"}, _UNREAD),
    )


def _operators() -> tuple[Fault, ...]:
    return (
        Fault("operators_race", lambda s: s.race(settings.PATH)),
        Fault("other_change", lambda s: s.race(settings.OTHER_PATH)),
        Fault("change_repeated", lambda s: s.repeat()),
    )


@functools.cache
def paths() -> tuple[types.Path, ...]:
    """Returns the paths of settings."""
    faults = (*_processes(), *_logs(), *_operators())
    return (
        types.Path("settings_change", _STEPS, faults, settings.SettingsScene),
        types.Path("snapshot", _SNAPSHOT_STEPS, faults, snapshot.SnapshotScene),
    )


def _no_conflict(*args: Any) -> None:
    return None


def _believe_any(self, candidate: fold_lib.Fold) -> list[cursor_lib.Event]:
    """Puts whatever the log shows in force."""
    self._candidate = None
    self._fold = candidate
    self._refused = None
    self._mode = cursor_lib.Mode.FOLLOW
    return [cursor_lib.Adopted(candidate.revision)]


def _never_due(self, *args: Any) -> bool:
    return False


def _leave_out(*args: Any) -> None:
    return None


def _take_lost_for_refused(publish: Callable) -> Callable:
    """An append whose answer is lost counts as one without effect."""

    async def _weaker(log, change, **options: Any) -> Any:
        try:
            await log.append(records.STREAM, change.encode())
        except exceptions.PlatformUnavailable:
            return results.Rejected(results.RejectReason.CONFLICT)
        return await publish(log, change, **options)

    return _weaker


GUARDS: tuple[guards.Guard, ...] = (
    guards.Guard(
        "no_revision_check",
        "lost_update",
        (guards.Patch(_check, "find_conflict", _no_conflict),),
        ("settings_change",),
        ("operators_race@append_sent",),
    ),
    guards.Guard(
        "no_log_check",
        "log_differs",
        (
            guards.Patch(cursor_lib.Cursor, "_adopt_or_refuse", _believe_any),
            guards.Patch(_merge, "merge", _leave_out),
        ),
        ("settings_change", "snapshot"),
        ("log_goes_back@in_force",),
    ),
    guards.Guard(
        "no_merge",
        "log_differs",
        (guards.Patch(_merge, "merge", _leave_out),),
        ("settings_change", "snapshot"),
        ("log_goes_back@in_force",),
    ),
    guards.Guard(
        "no_snapshot",
        "accepted_not_in_force",
        (guards.Patch(snapshots.SnapshotSchedule, "due", _never_due),),
        ("snapshot",),
        ("operators_race@expired",),
    ),
    guards.Guard(
        "no_settling",
        "rejected_in_force",
        (guards.around(publisher, "publish", _take_lost_for_refused),),
        ("settings_change",),
        ("log_answer_lost@append_sent",),
    ),
)
