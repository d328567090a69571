"""Checks a run of `bench settings` for delays, reverts and divergence."""

import collections
import dataclasses
import math

from clementinegw.settings import fold as fold_lib
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import results

_MAX_RECENT_CHANGES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A period in which a failure domain could not receive changes.

    Attributes:
      domain: The failure domain; empty for an outage of the log, in which a
        change that no member has read yet cannot reach any member.
      start: Start in monotonic seconds.
      end: End in monotonic seconds.
    """

    domain: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The results of checking a run.

    Attributes:
      in_force_s: Seconds from appending a change to the log until it came into
        force, for each change and member, excluding the windows in which the
        member was unreachable.
      raw_in_force_s: The same, including those windows.
      missing: Number of pairs of a change and a member at which it never came
        into force.
      reverted: Number of times that an accepted change was no longer accepted
        or the revision decreased, in force at some member.
      lost_by_log: Number of changes reported as accepted that the log lost
        before any member had read them.
      diverged: Number of members whose settings at the end differ from those
        of the log.
    """

    in_force_s: list[float]
    raw_in_force_s: list[float]
    missing: int
    reverted: int
    lost_by_log: int
    diverged: int


class ConsistencyChecker:
    """Records when changes come into force at members and checks them."""

    def __init__(self) -> None:
        """Creates a checker without observations."""
        self.unreachable_windows: list[Window] = []
        self._accepted: dict[str, float] = {}
        self._seen: dict[str, dict[str, float]] = collections.defaultdict(dict)
        self._recent: dict[str, collections.deque[str]] = {}
        self._revision: dict[str, int] = {}
        self._domains: dict[str, str] = {}
        self._reverted = 0

    @property
    def accepted(self) -> dict[str, float]:
        """The append time of each change that was reported as accepted."""
        return self._accepted

    @property
    def seen(self) -> dict[str, dict[str, float]]:
        """The time at which each change came into force, by member."""
        return self._seen

    @property
    def reverted(self) -> int:
        """The number of reverts; see `Verdict`."""
        return self._reverted

    def add_seen(
        self, seen: dict[str, dict[str, float]], reverted: int
    ) -> None:
        """Adds the observations of a checker in another process."""
        for change_id, times in seen.items():
            self._seen[change_id].update(times)
        self._reverted += reverted

    def on_accepted(self, change_id: str, time: float) -> None:
        """Records that a change was reported as accepted to an operator."""
        self._accepted[change_id] = time

    def on_state(
        self,
        name: str,
        domain: str,
        follower: follower_lib.Follower,
        now: float,
    ) -> None:
        """Records new settings of a member."""
        fold = follower.fold
        assert fold is not None
        self._domains[name] = domain
        if fold.revision < self._revision.get(name, 0):
            self._reverted += 1
        self._revision[name] = fold.revision
        recent = self._recent.setdefault(
            name, collections.deque(maxlen=_MAX_RECENT_CHANGES)
        )
        known = set(recent)
        for entry in fold.history()[-_MAX_RECENT_CHANGES:]:
            if entry.change_id not in known:
                self._seen[entry.change_id].setdefault(name, now)
                recent.append(entry.change_id)
        self._reverted += sum(
            _is_not_accepted(fold, change_id) for change_id in recent
        )

    def complete(self, members: int) -> bool:
        """Returns whether every accepted change came into force everywhere."""
        return all(
            len(self._seen[change_id]) >= members
            for change_id in self._accepted
        )

    def evaluate(
        self, log_fold: fold_lib.Fold, states: dict[str, tuple[int, str]]
    ) -> Verdict:
        """Returns the results of checking the run.

        Args:
          log_fold: The fold of the whole log at the end.
          states: Revision and digest of each member.
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
        """Returns the time from which on the member could receive a change."""
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
    """Returns the quantile of a fraction, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
