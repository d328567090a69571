"""When each version of weights was declared, as far as that can be known.

A bound on a version runs from its declaration. A process that starts, is cut
off or is suspended learns of one late, alone among its neighbours; counting
from then it serves the former version seconds too long. So each process keeps
an estimate of the moment itself, and neighbours tell each other theirs.

A process that learned earlier is nearer to the truth, so the earliest estimate
wins, in whatever order they come and however often. What is told is an age, and
ages need no common clock. The way of a datagram makes an estimate late by as
much, a few milliseconds; nothing makes it early but the guess about records
that lay unread, by `MAX_UNREAD_S` at most.
"""

from collections.abc import Callable, Mapping
import dataclasses
import enum
import math

from clementinegw.direct import _events
from clementinegw.telemetry import logs

# Records that came at once may have lain unread since the last proof, where a
# connection had gone silent. After an outage of the platform for everybody the
# time counts anew: all servers would load at once else. So no more than what a
# silent connection takes to be noticed is taken off, in seconds.
MAX_UNREAD_S = 1.2
# A process is up about so long after it was started, in seconds.
_STARTUP_S = 0.5
# What is not worth a line, in seconds.
_MIN_LOGGED_SHIFT_S = 0.1
# Versions of a model that are kept. Older ones are of no use: each that was
# declared since is due soon after.
_MAX_VERSIONS = 8


class Source(enum.StrEnum):
    """Who told of a version."""

    STORE = "store"
    AGENT = "agent"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """A version that operators named.

    Attributes:
      version: Its number.
      declared_at: When it was named, in boot time, in seconds.
      time_known: Whether that is known. Else the process found it declared
        when it started, and `declared_at` is the moment that makes it due as
        soon as the process is bound.
    """

    version: int
    declared_at: float
    time_known: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What was learned.

    Attributes:
      model: The model's name.
      declaration: The estimate now.
      source: Who told.
      moved_s: How much later it was thought to be declared before; negative
        when earlier; None for a version that is new here.
    """

    model: str
    declaration: Declaration
    source: Source
    moved_s: float | None

    @property
    def is_new(self) -> bool:
        """Whether the version was not known here."""
        return self.moved_s is None

    @property
    def is_significant(self) -> bool:
        """Whether it is worth a line."""
        return self.moved_s is None or abs(self.moved_s) > _MIN_LOGGED_SHIFT_S


class Declarations:
    """The declared versions of every model."""

    def __init__(
        self, due_s: float, settled_s: float, clock: Callable[[], float]
    ):
        """Starts without any, as the process does.

        Args:
          due_s: How long after its declaration a version must serve.
          settled_s: How long a process must have run in calm to be bound.
          clock: Seconds that also count while the machine is suspended.
        """
        self.due_s = due_s
        self._clock = clock
        self._enforced_at = clock() + max(0.0, settled_s - _STARTUP_S)
        # Of each model the versions in order.
        self._models: dict[str, tuple[Declaration, ...]] = {}

    @property
    def now(self) -> float:
        """The boot time, in seconds."""
        return self._clock()

    def record(
        self,
        model: str,
        version: int,
        unread_s: float,
        source: Source = Source.STORE,
    ) -> Change | None:
        """Takes in a version that was found declared.

        Args:
          model: The model's name.
          version: Its number.
          unread_s: How long it may have been declared before, in seconds;
            infinite at the first reading.
          source: Where it was found.

        Returns:
          What changed; None when nothing did.
        """
        known = {d.version: d.time_known for d in self.for_model(model)}
        if not math.isinf(unread_s) and not known.get(version, True):
            # Read once more, as after lost history: it was there at the start.
            return None
        if math.isinf(unread_s):
            # Nobody may be able to tell, as after a loss of all power. It may
            # be due already; but the process isn't bound from its start on.
            found = Declaration(version, self._enforced_at - self.due_s, False)
        else:
            at = self._clock() - min(unread_s, MAX_UNREAD_S)
            found = Declaration(version, at)
        return self._update(model, found, source)

    def merge_ages(
        self, model: str, ages_s: Mapping[int, float], source: Source
    ) -> list[Change]:
        """Takes in what a neighbour knows; returns what changed.

        Args:
          model: The model's name.
          ages_s: By version, how long ago it was declared, in seconds.
          source: Who told.
        """
        now = self._clock()
        changes = [
            self._update(model, Declaration(version, now - age_s), source)
            for version, age_s in sorted(ages_s.items())
            if age_s >= 0
        ]
        return [change for change in changes if change is not None]

    def _update(
        self, model: str, found: Declaration, source: Source
    ) -> Change | None:
        if found.version <= 0:
            return None
        versions = {d.version: d for d in self.for_model(model)}
        former = versions.get(found.version)
        if former is not None and not _supersedes(found, former):
            return None
        versions[found.version] = found
        kept = _relevant(versions)
        if found not in kept:
            return None
        self._models[model] = kept
        moved_s = (
            None if former is None else found.declared_at - former.declared_at
        )
        return Change(model, found, source, moved_s)

    def for_model(self, model: str) -> tuple[Declaration, ...]:
        """Returns a model's versions, the newest last."""
        return self._models.get(model, ())

    def newest(self) -> dict[str, int]:
        """Returns the newest version of every model."""
        return {name: found[-1].version for name, found in self._models.items()}

    def ages_s(self, model: str) -> dict[int, float]:
        """Returns what neighbours are told: ages by version.

        That is the newest one, and those that are not due yet. Ages that are
        not known would be taken for known ones.
        """
        now = self._clock()
        found = self.for_model(model)
        return {
            d.version: now - d.declared_at
            for d in found
            if d.time_known
            and (d is found[-1] or now < d.declared_at + self.due_s)
        }

    def all_ages_s(self) -> dict[str, dict[int, float]]:
        """Returns what neighbours are told, by model."""
        found = {model: self.ages_s(model) for model in self._models}
        return {model: ages for model, ages in found.items() if ages}


def log_change(
    log: logs.Log, change: Change, now: float, required_at: float
) -> None:
    """Writes a line about a change.

    Args:
      log: Where it goes.
      change: What was learned.
      now: Boot seconds.
      required_at: From when on the former version no longer serves.
    """
    found = change.declaration
    event = _events.WEIGHTS_REDATED
    if change.moved_s is None:
        event = _events.WEIGHTS_DECLARED
    log.write(
        event,
        model=change.model,
        version=found.version,
        source=str(change.source),
        known=found.time_known,
        age_s=round(now - found.declared_at, 3),
        moved_s=change.moved_s and round(change.moved_s, 3),
        demanded_in_s=round(required_at - now, 3),
    )


def _relevant(versions: Mapping[int, Declaration]) -> tuple[Declaration, ...]:
    """Returns the versions that count, the newest last.

    One that is due no sooner than a newer one is of no use.
    """
    kept: list[Declaration] = []
    earliest_at = math.inf
    for version in sorted(versions, reverse=True)[:_MAX_VERSIONS]:
        found = versions[version]
        if found.declared_at < earliest_at:
            kept.append(found)
        if found.time_known:
            earliest_at = min(earliest_at, found.declared_at)
    return tuple(reversed(kept))


def _supersedes(found: Declaration, former: Declaration) -> bool:
    """Returns whether an estimate takes the place of another one."""
    if found.time_known != former.time_known:
        return found.time_known
    return found.declared_at < former.declared_at
