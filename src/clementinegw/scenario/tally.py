"""Counts over what the callers of a scenario saw."""

import collections
from collections.abc import Callable
import math

from clementinegw.scenario import types
from clementinegw.scenario import world as worlds
from clementinegw.testing import ledger as ledgers

_QUANTILE = 0.99


class Tally:
    """All requests of a run, as they end."""

    def __init__(self, ledger: ledgers.Ledger):
        """Starts empty.

        Args:
          ledger: What the backend servers saw.
        """
        self._ledger = ledger
        self._observed: list[tuple[str, worlds.Observed]] = []
        self._attempts: list[ledgers.CallerRecord] = []
        self._offered: dict[str, int] = {}
        self._never_ended = 0
        self._measures: dict[
            types.Measure, Callable[[types.Quantity], float]
        ] = {
            types.Measure.OFFERED: lambda q: self.offered(q.name),
            types.Measure.ANSWERED: self._told(ledgers.CallerOutcome.ANSWERED),
            types.Measure.NOT_RUN: self._told(ledgers.CallerOutcome.NOT_RUN),
            types.Measure.UNKNOWN: self._told(ledgers.CallerOutcome.UNKNOWN),
            types.Measure.LATE: self._late,
            types.Measure.P99: self._p99,
            types.Measure.WRONG: self._wrong,
            types.Measure.RUNS: self._runs,
            types.Measure.DOUBLED: self._broken("doubled"),
            types.Measure.LOST: self._broken("lost"),
            types.Measure.CROSSED: self._broken("crossed"),
            types.Measure.CUT_OFF: self._broken("cut_off"),
            types.Measure.FALSE_NOT_RUN: self._broken("false_not_run"),
        }
        self._deadlines: dict[str, float] = {}
        self._judged: tuple[tuple[int, int], ledgers.Violations] | None = None

    def covers(self, measure: types.Measure) -> bool:
        """Returns whether the measure is one of callers' outcomes."""
        return measure in self._measures

    def offer(self, load: types.Load) -> None:
        """Notes that a caller began to ask."""
        self._offered[load.name] = self._offered.get(load.name, 0) + 1
        if load.deadline_s is not None:
            self._deadlines[load.name] = load.deadline_s

    def end(self, load: types.Load, observed: worlds.Observed) -> None:
        """Notes what a caller was told in the end."""
        self._observed.append((load.name, observed))

    def retry(self, observed: worlds.Observed) -> None:
        """Notes what a caller was told that asks again."""
        self._attempts.append(observed.seen)

    def lose(self, count: int) -> None:
        """Notes requests that never ended."""
        self._never_ended += count

    def offered(self, name: str) -> int:
        """Returns how many requests a load, or all together, began."""
        if name:
            return self._offered.get(name, 0)
        return sum(self._offered.values())

    def outcomes(self) -> dict[str, int]:
        """Returns how many requests ended in each way, by load."""
        counts = collections.Counter(
            " ".join(
                filter(None, (load, observed.seen.outcome, observed.reason))
            )
            for load, observed in self._observed
        )
        return dict(sorted(counts.items()))

    def measure(self, quantity: types.Quantity) -> float:
        """Returns a quantity's value now."""
        return self._measures[quantity.measure](quantity)

    def _of(self, name: str) -> list[worlds.Observed]:
        return [o for load, o in self._observed if not name or load == name]

    def _told(
        self, told: ledgers.CallerOutcome
    ) -> Callable[[types.Quantity], float]:
        def _count(quantity: types.Quantity) -> float:
            return sum(
                observed.seen.outcome is told
                and quantity.detail in ("", observed.reason)
                for observed in self._of(quantity.name)
            )

        return _count

    def _late(self, quantity: types.Quantity) -> float:
        return sum(
            load in self._deadlines
            and observed.seen.outcome is ledgers.CallerOutcome.ANSWERED
            and observed.seconds > self._deadlines[load]
            for load, observed in self._observed
            if quantity.name in ("", load)
        )

    def _p99(self, quantity: types.Quantity) -> float:
        seconds = sorted(
            observed.seconds
            for observed in self._of(quantity.name)
            if observed.seen.outcome is ledgers.CallerOutcome.ANSWERED
        )
        if not seconds:
            return math.inf
        return seconds[math.ceil(len(seconds) * _QUANTILE) - 1]

    def _wrong(self, quantity: types.Quantity) -> float:
        return sum(observed.wrong for observed in self._of(quantity.name))

    def _runs(self, quantity: types.Quantity) -> float:
        ids = {o.seen.request_id for o in self._of(quantity.name)}
        return sum(run.request_id in ids for run in self._ledger.runs)

    def _broken(self, promise: str) -> Callable[[types.Quantity], float]:
        def _count(quantity: types.Quantity) -> float:
            del quantity
            never_ended = self._never_ended if promise == "lost" else 0
            return self._verdict().counts()[promise] + never_ended

        return _count

    def _verdict(self) -> ledgers.Violations:
        ended = len(self._observed) + len(self._attempts)
        state = (ended, len(self._ledger.runs))
        if self._judged is None or self._judged[0] != state:
            seen = [observed.seen for _, observed in self._observed]
            seen += self._attempts
            self._judged = (state, self._ledger.check(seen))
        return self._judged[1]
