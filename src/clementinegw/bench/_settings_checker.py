"""Judges a run of `bench settings`: in force when, reverted, diverged."""

import collections
import dataclasses
import math

from clementinegw.settings import fold as fold_lib
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import results

_RECENT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A time in which a failure domain could not be told of changes.

    Attributes:
      domain: The failure domain; empty for an outage of the log, in which a
        change that nobody has read yet can reach nobody.
      start: Monotonic seconds.
      end: Monotonic seconds.
    """

    domain: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a run showed.

    Attributes:
      in_force_s: Seconds from the log's record to force, a change and member
        each, without windows in which the member could not be told.
      raw_in_force_s: The same with those windows.
      missing: Pairs of a change and a member where it never came into force.
      reverted: Times at which an accepted change was no longer accepted or a
        revision fell, in force at some member.
      lost_by_log: Changes named accepted that the log lost before any member
        had read them.
      diverged: Members whose settings at the end are not those of the log.
    """

    in_force_s: list[float]
    raw_in_force_s: list[float]
    missing: int
    reverted: int
    lost_by_log: int
    diverged: int


class ConsistencyChecker:
    """Watches every member."""

    def __init__(self) -> None:
        """Starts with nothing seen."""
        self.unreachable_windows: list[Window] = []
        self._accepted: dict[str, float] = {}
        self._seen: dict[str, dict[str, float]] = collections.defaultdict(dict)
        self._recent: dict[str, collections.deque[str]] = {}
        self._revision: dict[str, int] = {}
        self._domains: dict[str, str] = {}
        self._reverted = 0

    @property
    def accepted(self) -> dict[str, float]:
        """When the log took each change that was named accepted."""
        return self._accepted

    @property
    def seen(self) -> dict[str, dict[str, float]]:
        """When each change came into force, by member."""
        return self._seen

    @property
    def reverted(self) -> int:
        """See `Verdict`."""
        return self._reverted

    def add_seen(
        self, seen: dict[str, dict[str, float]], reverted: int
    ) -> None:
        """Takes what the judge of another process saw."""
        for change_id, moments in seen.items():
            self._seen[change_id].update(moments)
        self._reverted += reverted

    def on_accepted(self, change_id: str, time: float) -> None:
        """Notes that an operator was told that a change is accepted."""
        self._accepted[change_id] = time

    def on_state(
        self,
        name: str,
        domain: str,
        follower: follower_lib.Follower,
        now: float,
    ) -> None:
        """Takes a member's newer settings."""
        fold = follower.fold
        assert fold is not None
        self._domains[name] = domain
        if fold.revision < self._revision.get(name, 0):
            self._reverted += 1
        self._revision[name] = fold.revision
        recent = self._recent.setdefault(
            name, collections.deque(maxlen=_RECENT)
        )
        known = set(recent)
        for entry in fold.history()[-_RECENT:]:
            if entry.change_id not in known:
                self._seen[entry.change_id].setdefault(name, now)
                recent.append(entry.change_id)
        self._reverted += sum(
            _is_not_accepted(fold, change_id) for change_id in recent
        )

    def complete(self, members: int) -> bool:
        """Returns whether all accepted changes were in force everywhere."""
        return all(
            len(self._seen[change_id]) >= members
            for change_id in self._accepted
        )

    def evaluate(
        self, log_fold: fold_lib.Fold, states: dict[str, tuple[int, str]]
    ) -> Verdict:
        """Returns what the run showed.

        Args:
          log_fold: The fold of the whole log at the end.
          states: Each member's revision and digest.
        """
        timed, raw, missing, lost = [], [], 0, 0
        for change_id, time in self._accepted.items():
            seen = self._seen[change_id]
            is_lost = log_fold.result_of(change_id) is None
            if is_lost and not seen:
                lost += 1
                continue
            if _is_not_accepted(log_fold, change_id):
                self._reverted += 1
            missing += len(states) - len(seen)
            for name, when in seen.items():
                raw.append(when - time)
                timed.append(when - self._start(time, name, when, seen))
        expected = (log_fold.revision, log_fold.digest)
        diverged = sum(state != expected for state in states.values())
        return Verdict(timed, raw, missing, self._reverted, lost, diverged)

    def _start(
        self, time: float, name: str, when: float, seen: dict[str, float]
    ) -> float:
        """Returns from when on the member could have been told."""
        start = time
        domain = self._domains.get(name, "")
        for window in sorted(self.unreachable_windows, key=lambda w: w.start):
            if window.domain not in ("", domain) or window.start >= when:
                continue
            first = min(
                (
                    moment
                    for other, moment in seen.items()
                    if window.domain in ("", self._domains[other])
                ),
                default=math.inf,
            )
            if window.end > start and first >= window.start:
                start = min(window.end, when)
        return start


def _is_not_accepted(fold: fold_lib.Fold, change_id: str) -> bool:
    return not isinstance(fold.result_of(change_id), results.Accepted)


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
