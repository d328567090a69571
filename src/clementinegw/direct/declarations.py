"""Estimates when each version of the weights was declared.

The deadline of a version runs from its declaration. A process that starts, is
disconnected or is suspended may learn of a declaration later than all others.
If it counted from then, it would use the former version for seconds too long.
So each process estimates the time of the declaration, and entries and agents
exchange their estimates.

A process that learned of a declaration earlier has the better estimate, so the
earliest one wins, regardless of the order and number of messages. Estimates are
sent as ages, which need no common clock. A datagram's transit time makes an
estimate late by a few milliseconds. An estimate can only be early because of
records that may have been unread for a while, by at most `MAX_LAG_S`.
"""

from collections.abc import Callable, Mapping
import dataclasses
import enum
import math

from clementinegw import process_age
from clementinegw.direct import _events
from clementinegw.telemetry import logs

# The maximum time by which a declaration is dated back, in seconds. New records
# may have been unread since this process last had them all, if its connection
# was stalled; this is how long a stalled connection takes to be noticed. After
# an outage of the platform for all processes the time starts again, as
# otherwise all servers would load at once.
MAX_LAG_S = 1.2
# Smaller changes of an estimate are not logged or reported, in seconds.
_MIN_LOGGED_SHIFT_S = 0.1
# How many versions are kept for each model. Older ones are not needed, as all
# versions declared since are due soon after them.
_MAX_VERSIONS = 8


class Source(enum.StrEnum):
    """Where a process learned of a version."""

    STORE = "store"
    AGENT = "agent"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """A version that operators declared.

    Attributes:
      version: The version's number.
      declared_at: When it was declared, in seconds of boot time.
      time_known: Whether that time is an estimate of the declaration. If not,
        the process found the version declared at its start, and `declared_at`
        is set so that it is due once deadlines apply to the process.
    """

    version: int
    declared_at: float
    time_known: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A new version or a new estimate of its declaration time.

    Attributes:
      model: The model's name.
      declaration: The declaration with the new estimate.
      source: Where the estimate came from.
      moved_s: The new estimate minus the former one, in seconds; None for a new
        version.
    """

    model: str
    declaration: Declaration
    source: Source
    moved_s: float | None

    @property
    def is_new(self) -> bool:
        """Whether the version was unknown before."""
        return self.moved_s is None

    @property
    def is_significant(self) -> bool:
        """Whether to log and report the change."""
        return self.moved_s is None or abs(self.moved_s) > _MIN_LOGGED_SHIFT_S


class Declarations:
    """The declared versions of each model, as far as a process knows them."""

    def __init__(
        self,
        due_s: float,
        settled_s: float,
        clock: Callable[[], float],
        process_age_s: float = process_age.TYPICAL_START_S,
    ):
        """Creates an empty collection; called when the process starts.

        Args:
          due_s: The time after its declaration by which a version must serve,
            in seconds.
          settled_s: How long a process must have run undisturbed before
            deadlines apply to it, in seconds.
          clock: Returns seconds that also count while the machine is suspended.
          process_age_s: How long ago the process was started, in seconds.
        """
        self.due_s = due_s
        self._clock = clock
        self._enforced_at = clock() + max(0.0, settled_s - process_age_s)
        # By model, its versions in ascending order.
        self._models: dict[str, tuple[Declaration, ...]] = {}

    @property
    def now(self) -> float:
        """The current boot time, in seconds."""
        return self._clock()

    def record(
        self,
        model: str,
        version: int,
        lag_s: float,
        source: Source = Source.STORE,
    ) -> Change | None:
        """Records that a version was found to be declared.

        Args:
          model: The model's name.
          version: The version's number.
          lag_s: For how long it may have been declared already, in seconds;
            infinite at the first reading.
          source: Where it was found.

        Returns:
          The change; None if there is none.
        """
        known = {d.version: d.time_known for d in self.for_model(model)}
        if not math.isinf(lag_s) and not known.get(version, True):
            # The store was read again, for example after it lost its history.
            # The version had been declared before the process started.
            return None
        if math.isinf(lag_s):
            # Perhaps no process knows the time, for example after a power
            # failure. The version may be due already, but deadlines do not
            # apply to this process right from its start.
            declaration = Declaration(
                version, self._enforced_at - self.due_s, False
            )
        else:
            at = self._clock() - min(lag_s, MAX_LAG_S)
            declaration = Declaration(version, at)
        return self._update(model, declaration, source)

    def merge_ages(
        self, model: str, ages_s: Mapping[int, float], source: Source
    ) -> list[Change]:
        """Merges the ages that another process reported; returns the changes.

        Args:
          model: The model's name.
          ages_s: By version, how long ago it was declared, in seconds.
          source: The kind of process that reported them.
        """
        now = self._clock()
        changes = [
            self._update(model, Declaration(version, now - age_s), source)
            for version, age_s in sorted(ages_s.items())
            if age_s >= 0
        ]
        return [change for change in changes if change is not None]

    def _update(
        self, model: str, declaration: Declaration, source: Source
    ) -> Change | None:
        if declaration.version <= 0:
            return None
        versions = {d.version: d for d in self.for_model(model)}
        former = versions.get(declaration.version)
        if former is not None and not _supersedes(declaration, former):
            return None
        versions[declaration.version] = declaration
        kept = _relevant(versions)
        if declaration not in kept:
            return None
        self._models[model] = kept
        moved_s = (
            None
            if former is None
            else declaration.declared_at - former.declared_at
        )
        return Change(model, declaration, source, moved_s)

    def for_model(self, model: str) -> tuple[Declaration, ...]:
        """Returns the declared versions of a model, the newest last."""
        return self._models.get(model, ())

    def newest(self) -> dict[str, int]:
        """Returns the newest declared version of each model."""
        return {
            name: declared[-1].version
            for name, declared in self._models.items()
        }

    def ages_s(self, model: str) -> dict[int, float]:
        """Returns the ages to report to other processes, in seconds by version.

        These are the ages of the newest version and of versions not due yet.
        Unknown ages are left out, as the receiver would take them for known.
        """
        now = self._clock()
        declared = self.for_model(model)
        return {
            d.version: now - d.declared_at
            for d in declared
            if d.time_known
            and (d is declared[-1] or now < d.declared_at + self.due_s)
        }

    def all_ages_s(self) -> dict[str, dict[int, float]]:
        """Returns the ages to report, in seconds by model and version."""
        ages_by_model = {model: self.ages_s(model) for model in self._models}
        return {model: ages for model, ages in ages_by_model.items() if ages}


def log_change(
    log: logs.Log, change: Change, now: float, required_at: float
) -> None:
    """Logs a change.

    Args:
      log: The log to write to.
      change: The change.
      now: The current boot time, in seconds.
      required_at: When the former version stops being served, in boot seconds.
    """
    declaration = change.declaration
    event = _events.WEIGHTS_REDATED
    if change.moved_s is None:
        event = _events.WEIGHTS_DECLARED
    log.write(
        event,
        model=change.model,
        version=declaration.version,
        source=str(change.source),
        known=declaration.time_known,
        age_s=round(now - declaration.declared_at, 3),
        moved_s=change.moved_s and round(change.moved_s, 3),
        demanded_in_s=round(required_at - now, 3),
    )


def _relevant(versions: Mapping[int, Declaration]) -> tuple[Declaration, ...]:
    """Returns the versions to keep, the newest last.

    A version that is not due before a newer one has no effect.
    """
    kept: list[Declaration] = []
    earliest_at = math.inf
    for version in sorted(versions, reverse=True)[:_MAX_VERSIONS]:
        declaration = versions[version]
        if declaration.declared_at < earliest_at:
            kept.append(declaration)
        if declaration.time_known:
            earliest_at = min(earliest_at, declaration.declared_at)
    return tuple(reversed(kept))


def _supersedes(declaration: Declaration, former: Declaration) -> bool:
    """Returns whether an estimate replaces the former one."""
    if declaration.time_known != former.time_known:
        return declaration.time_known
    return declaration.declared_at < former.declared_at
