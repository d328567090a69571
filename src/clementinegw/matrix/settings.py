"""The paths of settings: a change, and the snapshot that outlives it."""

import asyncio
import dataclasses
import random

from clementinegw import exceptions
from clementinegw.matrix import settings_processes as processes
from clementinegw.matrix import types as matrix_types
from clementinegw.matrix import world as worlds
from clementinegw.settings import changes
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import knobs
from clementinegw.settings import publisher
from clementinegw.settings import records
from clementinegw.settings import results
from clementinegw.telemetry import counters
from clementinegw.testing import memory

TRACKED = "change-tracked"
PATH = "defaults.limits.requests_per_s"
OTHER_PATH = "defaults.limits.tokens_per_s"
FIRST_VALUE = 100.0
VALUE = 50.0
RACING_VALUE = 75.0
# An accepted change is in force within this long, without faults.
CALM_S = 3.0
# And within this long after the last fault has ended: a log without a usable
# snapshot is given a new one only after a while.
SETTLED_S = 100.0
SNAPSHOT_AGE_S = 20.0
REPLACED_S = 0.3
_GOSSIP_S = 0.2
# Far more than one each `peer_period_s`: a process that spins.
_MAX_PULLS_PER_S = 5.0
_DEADLINE_S = 15.0
_REPLICATION = knobs.Replication(
    relays=1,
    poll_wait_s=5.0,
    peer_period_s=2.0,
    snapshot_age_s=SNAPSHOT_AGE_S,
    snapshot_jitter_s=2.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What an operator's command said in the end.

    Attributes:
      change: The change.
      result: Accepted, rejected, or None for not known.
    """

    change: changes.Change
    result: results.Accepted | results.Rejected | None


class SettingsScene:
    """Three followers in two failure domains and two operators."""

    def __init__(
        self,
        path: matrix_types.Path,
        injections: tuple[matrix_types.Injection, ...],
    ):
        """Prepares the processes; see `types.Path.scene`."""
        self.world = worlds.World(path, injections)
        self.processes = [
            self._process("entry-1", "groningen-hal"),
            self._process("agent-1", "groningen-hal"),
            self._process("entry-2", "eindhoven-hal"),
        ]
        self.operator = self._process("operator-1", "utrecht-hal")
        self.rival = self._process("operator-2", "utrecht-hal")
        self.operator.log.prefix = records.STREAM
        self.told: list[Told] = []
        self._races = 0
        self._tasks: list[asyncio.Task] = []
        self._next_change = 0

    def __repr__(self) -> str:
        states = [(p.host.name, p.revisions) for p in self.processes]
        return f"{states} {self.told}"

    @property
    def struck(self) -> int:
        """How many faults have struck."""
        return self.world.struck

    def play(self) -> tuple[str, ...]:
        """Plays it; returns the promises broken."""
        return self.world.run(self, self._play())

    def logs(self) -> list[worlds.HookedLog]:
        """Returns every process's client of the log."""
        processes = [*self.processes, self.operator, self.rival]
        return [process.log for process in processes]

    def replace(self, process: processes.Process) -> None:
        """Ends a process; another starts in its place without settings."""
        self.world.network.kill(process.host)
        process.host = self.world.replacement(process.host)
        process.follower = None
        process.revisions = []
        self.world.later(REPLACED_S, self._start, process)

    def race(self, path: str) -> None:
        """The other operator publishes a change at the same moment.

        Each race has a value of its own: were two alike, a rejected change
        could not be told from an accepted one that set the same.
        """
        value = RACING_VALUE + self._races
        self._races += 1
        change = self._change(self._base(), path, value)
        self._publish(self.rival, change)

    def repeat(self) -> None:
        """The same change is published a second time."""
        self._publish(self.rival, self._tracked)

    async def _play(self) -> tuple[str, ...]:
        self._began = self.world.clock.now()
        first = self._change(0, PATH, FIRST_VALUE)
        replication = changes.Set(
            "defaults.replication", _REPLICATION.model_dump()
        )
        first = dataclasses.replace(
            first, operations=(*first.operations, replication)
        )
        self.world.log.put(records.STREAM, first.encode())
        for process in self.processes:
            self._start(process)
        await asyncio.sleep(1.0)
        await self._act()
        in_force = self._tracked_in_force()
        late = self.world.calm and not in_force
        await asyncio.sleep(SETTLED_S / 2)
        # Whoever starts later has the log alone to learn from, or its peers.
        newcomer = self._process("agent-2", "mvd-sala-a")
        self.processes.append(newcomer)
        self._start(newcomer)
        await asyncio.sleep(SETTLED_S / 2)
        return (*self._verdict(late), *await self._check_log())

    async def _check_log(self) -> list[str]:
        """Compares what an operator reads with what is in force."""
        state = (
            self.processes[0].follower and self.processes[0].follower.current
        )
        if state is None:
            return []
        try:
            fold = await publisher.read_fold(self.world.log.client())
        except exceptions.PlatformError:
            return ["log_differs"]
        read = fold.tree.model_dump_json()
        return [] if read == state.tree.model_dump_json() else ["log_differs"]

    async def _act(self) -> None:
        """What the path is about."""
        self._tracked = self._change(self._base(), PATH, VALUE, TRACKED)
        self._publish(self.operator, self._tracked)
        await asyncio.sleep(CALM_S)

    def _process(self, name: str, domain: str) -> processes.Process:
        host = self.world.host(name, domain)
        return processes.Process(
            host, worlds.HookedLog(self.world, self.world.log, "")
        )

    def _start(self, process: processes.Process) -> None:
        follower = follower_lib.Follower(
            process.log,
            process.host.name,
            processes.Peers(self.world, self.processes, process),
            self.world.clock,
            random.Random(process.host.name),
            counters.Counters(),
            self.world.silent,
            _REPLICATION,
        )
        process.follower = follower
        follower.subscribe(lambda state: self._on_state(process, state))
        self.world.start(process.host, follower.start())

    def _on_state(
        self, process: processes.Process, state: follower_lib.State
    ) -> None:
        process.revisions.append(state.revision)
        if len(process.revisions) > 1 and _value(state) != FIRST_VALUE:
            self.world.reached("in_force")
        for other in self.processes:
            if other is not process and other.follower is not None:
                self.world.later(_GOSSIP_S, self._gossip, process, other)

    def _gossip(
        self, process: processes.Process, other: processes.Process
    ) -> None:
        follower = other.follower
        if follower is None or not processes.reaches(
            self.world, process, other
        ):
            return
        if process.follower is not None:
            follower.receive_revision(process.follower.revision)

    def _base(self) -> int:
        follower = self.processes[0].follower
        return follower.revision if follower is not None else 0

    def _change(
        self, base: int, path: str, value: float, change_id: str = ""
    ) -> changes.Change:
        self._next_change += 1
        return changes.Change(
            change_id or f"change-{self._next_change}",
            base,
            "operator",
            "matrix",
            self.world.clock.wall(),
            (changes.Set(path, value),),
            records.SCHEMA,
        )

    def _publish(
        self, operator: processes.Process, change: changes.Change
    ) -> None:
        if operator.host.dead:
            return
        task = self.world.start(
            operator.host, self._publish_as(operator, change)
        )
        self._tasks.append(task)

    async def _publish_as(
        self, operator: processes.Process, change: changes.Change
    ) -> None:
        try:
            result = await publisher.publish(
                operator.log,
                change,
                clock=self.world.clock,
                rng=random.Random(operator.host.name),
                deadline_s=_DEADLINE_S,
            )
        except exceptions.PlatformError:
            self.told.append(Told(change, None))
            return
        self.told.append(Told(change, result))
        self.world.reached("told")

    def _tracked_in_force(self) -> bool:
        states = [p.follower.current for p in self.processes if p.follower]
        return all(s is not None and _value(s) == VALUE for s in states)

    def _verdict(self, late: bool) -> tuple[str, ...]:
        broken = ["late"] if late else []
        if self.world.defective:
            broken.append("defect")
        seconds = self.world.clock.now() - self._began
        if any(p.pulls > _MAX_PULLS_PER_S * seconds for p in self.processes):
            broken.append("spins")
        if any(p.revisions != sorted(p.revisions) for p in self.processes):
            broken.append("reverted")
        states = [p.follower.current for p in self.processes if p.follower]
        folded = [s for s in states if s is not None]
        different = {(s.revision, s.tree.model_dump_json()) for s in folded}
        if len(different) != 1 or len(folded) != len(self.processes):
            return (*broken, "diverged")
        return (*broken, *self._check_words(folded[0].tree))

    def _check_words(self, tree) -> list[str]:
        """Compares what operators were told with what is in force."""
        broken = []
        accepted = [
            told.change
            for told in self.told
            if isinstance(told.result, results.Accepted)
        ]
        if _overwrites_unseen(accepted):
            broken.append("lost_update")
        for path in (PATH, OTHER_PATH):
            values = {
                change.operations[0].value  # type: ignore[union-attr]
                for change in accepted
                if change.operations[0].path == path
            }
            if values and _at(tree, path) not in values:
                broken.append("accepted_not_in_force")
        for told in self.told:
            change = told.change
            rejected = isinstance(told.result, results.Rejected)
            operation = change.operations[0]
            if rejected and change.change_id not in {
                other.change_id for other in accepted
            }:
                value = operation.value  # type: ignore[union-attr]
                if _at(tree, operation.path) == value:
                    broken.append("rejected_in_force")
        return sorted(set(broken))


def _value(state: follower_lib.State) -> float | None:
    return _at(state.tree, PATH)


def _at(tree, path: str) -> float | None:
    value = tree
    for key in path.split("."):
        value = getattr(value, key)
    return value


def _overwrites_unseen(accepted: list[changes.Change]) -> bool:
    """Whether two accepted changes of one path were made for one base."""
    made = {
        (change.change_id, change.base, change.operations[0].path)
        for change in accepted
    }
    bases = [(base, path) for _, base, path in made]
    return len(bases) != len(set(bases))


def log_faults(scene: SettingsScene) -> list[memory.Faults]:
    """Returns the switches of every client of the log."""
    return [log.faults for log in scene.logs()]
