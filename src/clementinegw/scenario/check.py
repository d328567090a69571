"""What does not fit together in a scenario: names, times, numbers."""

from collections.abc import Iterable
import difflib
from typing import Any

from clementinegw import types as shared
from clementinegw.scenario import types

# All processes of a scenario run in one; more would take its memory.
_MAX_PROCESSES = 200
_MAX_REQUESTS = 100_000
_MODEL_LOADS = frozenset(
    {types.LoadKind.COMPLETIONS, types.LoadKind.STREAMS, types.LoadKind.POISON}
)
_OF_LOAD = frozenset(
    {
        types.Measure.OFFERED,
        types.Measure.ANSWERED,
        types.Measure.NOT_RUN,
        types.Measure.UNKNOWN,
        types.Measure.LATE,
        types.Measure.P99,
        types.Measure.RUNS,
    }
)
_OF_SERVICE = frozenset({types.Measure.SERVING, types.Measure.ORIGIN_COPIES})
_COUNTS_ALL = frozenset({types.Measure.SERVING, types.Measure.IN_FORCE})


def check(scenario: types.Scenario) -> None:
    """Checks a whole scenario.

    Raises:
      types.ScenarioError: At the first thing that does not fit.
    """
    _Checker(scenario).run()


class _Checker:
    """Holds the names that a scenario declares."""

    def __init__(self, scenario: types.Scenario):
        self._scenario = scenario
        self._places = [place.name for place in scenario.places]
        self._services = {s.name: s for s in scenario.services}
        self._loads = [load.name for load in scenario.loads]
        self._customers = [c.name for c in scenario.customers]
        self._entries = sum(e.count for e in scenario.entries)

    def run(self) -> None:
        """Checks every statement in the order of the file's sections."""
        scenario = self._scenario
        top = types.Position(_file_of(scenario), 1, 1)
        _need(bool(scenario.places), top, "expected at least one `place`")
        _need(bool(self._entries), top, "expected at least one entry")
        _need(
            bool(scenario.expectations), top, "expected at least one `expect`"
        )
        _check_twice("place", scenario.places)
        _check_twice("service", scenario.services)
        _check_twice("load", scenario.loads)
        processes = 0
        for entries in scenario.entries:
            _known("place", entries.place, self._places, entries.at)
            processes += entries.count
            _check_size(processes, entries.at)
        for service in scenario.services:
            _need(service.workers > 0, service.at, "expected 1 worker or more")
            processes += service.workers
            _check_size(processes, service.at)
        for load in scenario.loads:
            self._load(load)
        for event in scenario.events:
            self._event(event)
        for expectation in scenario.expectations:
            self._time(expectation.time_s, expectation.at)
            self._condition(expectation.condition)

    def _load(self, load: types.Load) -> None:
        _known("service", load.service, self._services, load.at)
        kind = self._services[load.service].kind
        is_model = kind is shared.ServiceKind.MODEL_ENGINE
        _need(
            is_model == (load.kind in _MODEL_LOADS),
            load.at,
            f"{load.kind} cannot be asked of {load.service}, a {kind}",
        )
        _need(load.rate > 0, load.at, "expected a rate above 0")
        _need(load.tries > 0, load.at, "expected 1 try or more")
        _need(load.start_s < load.end_s, load.at, "ends before it begins")
        requests = load.rate * (load.end_s - load.start_s)
        _need(
            requests <= _MAX_REQUESTS,
            load.at,
            f"{requests:.0f} requests are more than {_MAX_REQUESTS}",
        )
        self._time(load.end_s, load.at)
        if load.customer:
            _known("customer", load.customer, self._customers, load.at)
        if load.place:
            _known("place", load.place, self._places, load.at)

    def _event(self, event: types.Event) -> None:
        if event.time_s is not None:
            self._time(event.time_s, event.at)
        if event.condition is not None:
            self._condition(event.condition)
        for action in event.actions:
            self._action(action)

    def _action(self, action: types.Action) -> None:
        if isinstance(action, types.Declare):
            _known("service", action.service, self._services, action.at)
            kind = self._services[action.service].kind
            _need(
                kind is shared.ServiceKind.MODEL_ENGINE,
                action.at,
                f"{action.service} is a {kind} and has no version",
            )
        if isinstance(action, types.FaultProcess):
            self._process(action.process)
        if isinstance(action, types.Cut):
            _known("place", action.place, self._places, action.at)
            if action.other:
                _known("place", action.other, self._places, action.at)

    def _process(self, process: types.Process) -> None:
        count = self._entries
        if process.service:
            _known("service", process.service, self._services, process.at)
            count = self._services[process.service].workers
        _need(
            1 <= process.number <= count,
            process.at,
            f"there is no {process}; the last is {count}",
        )

    def _condition(self, condition: types.Condition) -> None:
        quantity = condition.quantity
        measure = quantity.measure
        if measure in _OF_LOAD and quantity.name:
            _known("load", quantity.name, self._loads, quantity.at)
        if measure in _OF_SERVICE:
            _known("service", quantity.name, self._services, quantity.at)
        if quantity.process is not None:
            self._process(quantity.process)
        _need(
            not condition.bound.everyone or measure in _COUNTS_ALL,
            quantity.at,
            f"`all` fits `serving` and `in-force`, not `{measure}`",
        )
        _need(
            not condition.bound.percent or measure in _OF_LOAD,
            quantity.at,
            f"a percentage is of requests offered; `{measure}` has none",
        )

    def _time(self, time_s: float, at: types.Position) -> None:
        _need(
            time_s <= self._scenario.duration_s,
            at,
            f"{time_s:g} s lies after the end at "
            f"{self._scenario.duration_s:g} s; see `run for`",
        )


def _check_size(processes: int, at: types.Position) -> None:
    _need(
        processes <= _MAX_PROCESSES,
        at,
        f"{processes} processes are more than {_MAX_PROCESSES}",
    )


def _need(fits: bool, at: types.Position, message: str) -> None:
    if not fits:
        raise types.ScenarioError(at, message)


def _known(
    kind: str, name: str, names: Iterable[str], at: types.Position
) -> None:
    names = list(names)
    if name in names:
        return
    near = difflib.get_close_matches(name, names, 1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    raise types.ScenarioError(at, f"no {kind} {name!r} is declared{hint}")


def _check_twice(
    kind: str,
    declared: Iterable[types.Place | types.Service | types.Load],
) -> None:
    seen: dict[str, int] = {}
    for one in declared:
        if one.name in seen:
            raise types.ScenarioError(
                one.at,
                f"{kind} {one.name!r} stands twice; the first is at line "
                f"{seen[one.name]}",
            )
        seen[one.name] = one.at.line


def _file_of(scenario: types.Scenario) -> str:
    sections: tuple[tuple[Any, ...], ...] = (
        scenario.places,
        scenario.entries,
        scenario.services,
        scenario.loads,
        scenario.expectations,
    )
    files = [one.at.file for section in sections for one in section]
    return files[0] if files else "scenario"
