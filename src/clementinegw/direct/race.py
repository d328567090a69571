"""Asks several for the same: one first, and more while it is overdue.

Whoever waits for one reader to fail before it asks the next one waits for the
whole patience of each: three readers that the store turned away silently took
longer than a change may take to be in force.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import dataclasses
import math
from typing import Generic, TypeVar

from clementinegw import exceptions

_Whom = TypeVar("_Whom")
_Answer = TypeVar("_Answer")
# By how much a timer may seem to end early, in seconds.
_CLOCK_S = 0.001
# For how long bytes of a large answer speak for its coming, in seconds.
_HELD_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """When more are asked.

    Attributes:
      overdue_s: After which time without an answer the first one is overdue,
        in seconds; infinite where the next one is asked only behind a failure.
      step_s: The time after which each further one is asked, in seconds.
    """

    overdue_s: float
    step_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Won(Generic[_Whom, _Answer]):
    """The first answer.

    Attributes:
      whom: Who gave it.
      answer: What it is.
      overdue: Who had not answered though it was overdue.
      error: The last failure before it, if any.
    """

    whom: _Whom
    answer: _Answer
    overdue: tuple[_Whom, ...]
    error: exceptions.PlatformError | None


class Race(Generic[_Whom, _Answer]):
    """One question to several, until the first answer."""

    def __init__(
        self,
        ask: Callable[[_Whom], Awaitable[_Answer]],
        final: type[exceptions.PlatformError],
    ):
        """Asks nobody yet.

        Args:
          ask: Asks one; it is cancelled once another one has answered.
          final: A failure that ends the race, as others would fail likewise.
        """
        self._ask = ask
        self._final = final
        self._running: dict[asyncio.Future, _Whom] = {}
        self._began_at: dict[_Whom, float] = {}
        self._left: list[_Whom] = []
        self._held_until = 0.0
        self._changed = asyncio.Event()
        self._error: exceptions.PlatformError | None = None

    def ask_only(self, whom: _Whom) -> None:
        """Asks one, and nobody else any more."""
        if whom in self._running.values():
            return
        self._drop_all()
        self._left.clear()
        self._begin(whom)
        self._changed.set()

    def hold(self) -> None:
        """Says that an answer is coming: for a while nobody else is asked."""
        self._held_until = asyncio.get_running_loop().time() + _HELD_S

    async def run(
        self, order: Sequence[_Whom], pace: Pace
    ) -> Won[_Whom, _Answer]:
        """Returns the first answer.

        Args:
          order: Whom to ask, the first one first.
          pace: When the next ones are asked.

        Raises:
          exceptions.PlatformError: All failed; the last failure.
        """
        self._left = list(order)
        loop = asyncio.get_running_loop()
        try:
            self._begin_next()
            until = loop.time() + pace.overdue_s
            while self._running:
                wait_s = until - loop.time() if self._left else math.inf
                waited = await self._wait(wait_s)
                won = self._answered(loop.time() - pace.overdue_s + _CLOCK_S)
                if won is not None:
                    return won
                if not self._running:
                    self._begin_next()
                    until = loop.time() + pace.overdue_s
                elif waited and loop.time() < self._held_until:
                    until = self._held_until
                elif waited:
                    self._begin_next()
                    until = loop.time() + pace.step_s
        finally:
            self._drop_all()
        assert self._error is not None
        raise self._error

    def _begin_next(self) -> None:
        if self._left:
            self._begin(self._left.pop(0))

    def _begin(self, whom: _Whom) -> None:
        self._began_at[whom] = asyncio.get_running_loop().time()
        self._running[asyncio.ensure_future(self._ask(whom))] = whom

    async def _wait(self, most_s: float) -> bool:
        """Waits for an answer, a failure or a change of who is asked.

        Returns:
          Whether nothing of that came within the time.
        """
        self._changed.clear()
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            done, _ = await asyncio.wait(
                {*self._running, changed},
                timeout=None if math.isinf(most_s) else most_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            changed.cancel()
        return not done

    def _drop_all(self) -> None:
        """Cancels all questions under way."""
        for running in self._running:
            running.cancel()
            running.add_done_callback(_look_at)
        self._running.clear()

    def _answered(self, overdue_since: float) -> Won[_Whom, _Answer] | None:
        """Returns the first answer that is there; keeps failures.

        Args:
          overdue_since: Who was asked no later than this is overdue.
        """
        for running in [r for r in self._running if r.done()]:
            whom = self._running.pop(running)
            try:
                answer = running.result()
            except self._final:
                raise
            except exceptions.PlatformError as error:
                self._error = error
                continue
            overdue = self._overdue(overdue_since)
            return Won(whom, answer, overdue, self._error)
        return None

    def _overdue(self, since: float) -> tuple[_Whom, ...]:
        """Returns who was asked before a time and has not answered."""
        return tuple(
            whom
            for whom in self._running.values()
            if self._began_at[whom] <= since
        )


def _look_at(running: asyncio.Future) -> None:
    """Takes note of a failure behind the first answer; it is of no use."""
    if not running.cancelled():
        running.exception()
