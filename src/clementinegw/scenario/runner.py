"""Plays a scenario against a world and gives the verdict."""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
import operator
import random
from typing import Any

from clementinegw.scenario import tally as tallies
from clementinegw.scenario import types
from clementinegw.scenario import world as worlds
from clementinegw.testing import ledger as ledgers

# How often conditions are looked at.
_LOOK_S = 0.1
# How long requests may still take after the end before they count as lost.
_SETTLE_S = 60.0
# How long the world may take to end.
_STOP_S = 600.0
# How long a caller waits before it asks again.
_CALLER_PAUSE_S = 0.5
# The share of the pause between two requests by which each may be early.
_JITTER = 0.5

_COMPARE: dict[types.Comparison, Callable[[float, float], bool]] = {
    types.Comparison.EQUAL: operator.eq,
    types.Comparison.LESS: operator.lt,
    types.Comparison.AT_MOST: operator.le,
    types.Comparison.MORE: operator.gt,
    types.Comparison.AT_LEAST: operator.ge,
}
_TRIED_AGAIN = frozenset(
    {
        ledgers.CallerOutcome.NOT_RUN,
        ledgers.CallerOutcome.UNKNOWN,
        ledgers.CallerOutcome.NOTHING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Something that did not hold.

    Attributes:
      at: Where it stands in the file.
      text: What was expected.
      found: What was found.
    """

    at: types.Position
    text: str
    found: str

    def __str__(self) -> str:
        return f"{self.at}: {self.text}: found {self.found}"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A run's verdict.

    Attributes:
      title: The scenario's title.
      expectations: How many there were.
      failures: Those that did not hold, in the order of the file.
      seconds: Virtual seconds that the run took.
      offered: Requests that callers began.
      outcomes: How many of them ended in each way, by load.
    """

    title: str
    expectations: int
    failures: tuple[Failure, ...]
    seconds: float
    offered: int
    outcomes: dict[str, int]

    @property
    def held(self) -> bool:
        """Whether all expectations held."""
        return not self.failures


class Runner:
    """One run of one scenario."""

    def __init__(self, scenario: types.Scenario, world: worlds.World):
        """Prepares a run.

        Args:
          scenario: What to play.
          world: What to play it against; it is not started yet.
        """
        self._scenario = scenario
        self._world = world
        self._tally = tallies.Tally(world.ledger)
        self._failures: dict[types.Position, Failure] = {}
        self._start = 0.0
        self._requests: set[asyncio.Task[None]] = set()
        self._defects: list[BaseException] = []
        self._reached: set[types.Position] = set()

    async def run(self) -> Report:
        """Plays the scenario from its start to its end."""
        await self._world.start()
        try:
            self._start = self._world.clock.now()
            await self._play()
            await self._settle()
            self._judge_end()
        finally:
            # A shutdown that hangs would hold the run for ever, and in
            # virtual time with the processor busy.
            async with asyncio.timeout(_STOP_S):
                await self._world.stop()
        return Report(
            title=self._scenario.title,
            expectations=len(self._scenario.expectations),
            failures=tuple(
                self._failures[at]
                for at in sorted(
                    self._failures, key=lambda at: (at.line, at.column)
                )
            ),
            seconds=self._world.clock.now() - self._start,
            offered=self._tally.offered(""),
            outcomes=self._tally.outcomes(),
        )

    async def _play(self) -> None:
        parts: list[Coroutine[Any, Any, None]] = []
        parts += [self._load(load) for load in self._scenario.loads]
        parts += [self._event(event) for event in self._scenario.events]
        parts += [self._watch(e) for e in self._scenario.expectations]
        tasks = [asyncio.create_task(part) for part in parts]
        await self._until(self._scenario.duration_s)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self._defects.append(result)

    async def _load(self, load: types.Load) -> None:
        rng = random.Random(f"{self._scenario.seed}/{load.name}")
        count = int((load.end_s - load.start_s) * load.rate)
        for number in range(count):
            early = rng.random() * _JITTER
            moment = load.start_s + (number + 1 - early) / load.rate
            await self._until(moment)
            draws = [rng.random() for _ in range(load.tries)]
            task = asyncio.create_task(self._request(load, number, draws))
            self._requests.add(task)
            task.add_done_callback(self._request_done)

    def _request_done(self, task: asyncio.Task[None]) -> None:
        self._requests.discard(task)
        defect = None if task.cancelled() else task.exception()
        if defect is not None:
            self._defects.append(defect)

    async def _request(
        self, load: types.Load, number: int, draws: list[float]
    ) -> None:
        self._tally.offer(load)
        for attempt, draw in enumerate(draws):
            call = worlds.Call(load, number, attempt, draw)
            observed = await self._world.send(call)
            last = attempt + 1 == len(draws)
            if last or observed.seen.outcome not in _TRIED_AGAIN:
                break
            self._tally.retry(observed)
            await asyncio.sleep(_CALLER_PAUSE_S)
        self._tally.end(load, observed)

    async def _event(self, event: types.Event) -> None:
        if event.condition is None:
            assert event.time_s is not None
            await self._until(event.time_s)
        else:
            condition = event.condition
            await self._poll(lambda: self._holds(condition))
            self._reached.add(event.at)
        for action in event.actions:
            await self._world.act(action)

    async def _watch(self, expectation: types.Expectation) -> None:
        watchers = {
            types.When.ALWAYS: self._watch_always,
            types.When.BY: self._watch_by,
            types.When.AT: self._watch_at,
        }
        # An expectation on the end is looked at there.
        if expectation.when in watchers:
            await watchers[expectation.when](expectation)

    async def _watch_always(self, expectation: types.Expectation) -> None:
        await self._poll(lambda: not self._expect(expectation))

    async def _watch_by(self, expectation: types.Expectation) -> None:
        end = self._start + expectation.time_s

        def is_over() -> bool:
            return self._world.clock.now() >= end

        def holds() -> bool:
            return self._holds(expectation.condition)

        await self._poll(lambda: holds() or is_over())
        self._expect(expectation)

    async def _watch_at(self, expectation: types.Expectation) -> None:
        await self._until(expectation.time_s)
        self._expect(expectation)

    async def _settle(self) -> None:
        """Waits for requests under way; what does not end in time is lost."""
        if self._requests:
            await asyncio.wait(self._requests, timeout=_SETTLE_S)
        left = list(self._requests)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        self._tally.lose(len(left))
        # A broken runner must not pass for a scenario that held.
        for defect in self._defects:
            raise defect

    def _judge_end(self) -> None:
        for expectation in self._scenario.expectations:
            if expectation.when in (types.When.FINALLY, types.When.ALWAYS):
                self._expect(expectation)
        for event in self._scenario.events:
            self._check_reached(event)

    def _check_reached(self, event: types.Event) -> None:
        """A fault that never struck would let a scenario hold by accident."""
        if event.condition is not None and event.at not in self._reached:
            found = self._describe(event.condition)
            self._fail(event.at, "the condition of `when` never held", found)

    def _expect(self, expectation: types.Expectation) -> bool:
        if self._holds(expectation.condition):
            return True
        found = self._describe(expectation.condition)
        self._fail(expectation.at, expectation.text, found)
        return False

    def _fail(self, at: types.Position, text: str, found: str) -> None:
        moment = self._world.clock.now() - self._start
        self._failures.setdefault(
            at, Failure(at, text, f"{found} at {moment:.1f} s")
        )

    def _holds(self, condition: types.Condition) -> bool:
        compare = _COMPARE[condition.bound.comparison]
        return compare(self._value(condition.quantity), self._bound(condition))

    def _describe(self, condition: types.Condition) -> str:
        value = self._value(condition.quantity)
        if condition.bound.percent or condition.bound.everyone:
            return f"{value:g} (bound {self._bound(condition):g})"
        return f"{value:g}"

    def _value(self, quantity: types.Quantity) -> float:
        if self._tally.covers(quantity.measure):
            return self._tally.measure(quantity)
        return self._world.measure(quantity)

    def _bound(self, condition: types.Condition) -> float:
        bound = condition.bound
        if bound.everyone:
            return self._world.everyone(condition.quantity)
        if bound.percent:
            offered = self._tally.offered(condition.quantity.name)
            return bound.value * offered / 100.0
        return bound.value

    async def _poll(self, is_reached: Callable[[], bool]) -> None:
        # What is looked at is spread over all processes and stand-ins, which
        # have no common place to tell of a change.
        while not is_reached():  # noqa: ASYNC110
            await asyncio.sleep(_LOOK_S)

    async def _until(self, moment_s: float) -> None:
        wait_s = self._start + moment_s - self._world.clock.now()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
