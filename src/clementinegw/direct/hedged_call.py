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

_Target = TypeVar("_Target")
_Answer = TypeVar("_Answer")
# By how much a timer may seem to end early, in seconds.
_TIMER_TOLERANCE_S = 0.001
# For how long bytes of a large answer speak for its coming, in seconds.
_POSTPONE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeTiming:
    """When more are asked.

    Attributes:
      overdue_s: After which time without an answer the first one is overdue,
        in seconds; infinite where the next one is asked only behind a failure.
      interval_s: The time after which each further one is asked, in seconds.
    """

    overdue_s: float
    interval_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result(Generic[_Target, _Answer]):
    """The first answer.

    Attributes:
      target: Who gave it.
      answer: What it is.
      overdue: Who had not answered though it was overdue.
      error: The last failure before it, if any.
    """

    target: _Target
    answer: _Answer
    overdue: tuple[_Target, ...]
    error: exceptions.PlatformError | None


class HedgedCall(Generic[_Target, _Answer]):
    """One question to several, until the first answer."""

    def __init__(
        self,
        ask: Callable[[_Target], Awaitable[_Answer]],
        final: type[exceptions.PlatformError],
    ):
        """Asks nobody yet.

        Args:
          ask: Asks one; it is cancelled once another one has answered.
          final: A failure that ends the race, as others would fail likewise.
        """
        self._ask = ask
        self._final = final
        self._running: dict[asyncio.Future, _Target] = {}
        self._started_at: dict[_Target, float] = {}
        self._pending: list[_Target] = []
        self._postponed_until = 0.0
        self._changed = asyncio.Event()
        self._error: exceptions.PlatformError | None = None

    def switch_to(self, target: _Target) -> None:
        """Asks one, and nobody else any more."""
        if target in self._running.values():
            return
        self._cancel_all()
        self._pending.clear()
        self._start(target)
        self._changed.set()

    def postpone(self) -> None:
        """Says that an answer is coming: for a while nobody else is asked."""
        self._postponed_until = asyncio.get_running_loop().time() + _POSTPONE_S

    async def run(
        self, order: Sequence[_Target], timing: HedgeTiming
    ) -> Result[_Target, _Answer]:
        """Returns the first answer.

        Args:
          order: Whom to ask, the first one first.
          timing: When the next ones are asked.

        Raises:
          exceptions.PlatformError: All failed; the last failure.
        """
        self._pending = list(order)
        loop = asyncio.get_running_loop()
        try:
            self._start_next()
            until = loop.time() + timing.overdue_s
            while self._running:
                wait_s = until - loop.time() if self._pending else math.inf
                timed_out = await self._wait(wait_s)
                result = self._first_answer(
                    loop.time() - timing.overdue_s + _TIMER_TOLERANCE_S
                )
                if result is not None:
                    return result
                if not self._running:
                    self._start_next()
                    until = loop.time() + timing.overdue_s
                elif timed_out and loop.time() < self._postponed_until:
                    until = self._postponed_until
                elif timed_out:
                    self._start_next()
                    until = loop.time() + timing.interval_s
        finally:
            self._cancel_all()
        assert self._error is not None
        raise self._error

    def _start_next(self) -> None:
        if self._pending:
            self._start(self._pending.pop(0))

    def _start(self, target: _Target) -> None:
        self._started_at[target] = asyncio.get_running_loop().time()
        self._running[asyncio.ensure_future(self._ask(target))] = target

    async def _wait(self, timeout_s: float) -> bool:
        """Waits for an answer, a failure or a change of who is asked.

        Returns:
          Whether nothing of that came within the time.
        """
        self._changed.clear()
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            done, _ = await asyncio.wait(
                {*self._running, changed},
                timeout=None if math.isinf(timeout_s) else timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            changed.cancel()
        return not done

    def _cancel_all(self) -> None:
        """Cancels all questions under way."""
        for running in self._running:
            running.cancel()
            running.add_done_callback(_consume_exception)
        self._running.clear()

    def _first_answer(
        self, overdue_before: float
    ) -> Result[_Target, _Answer] | None:
        """Returns the first answer that is there; keeps failures.

        Args:
          overdue_before: Who was asked no later than this is overdue.
        """
        for running in [r for r in self._running if r.done()]:
            target = self._running.pop(running)
            try:
                answer = running.result()
            except self._final:
                raise
            except exceptions.PlatformError as error:
                self._error = error
                continue
            overdue = self._overdue(overdue_before)
            return Result(target, answer, overdue, self._error)
        return None

    def _overdue(self, since: float) -> tuple[_Target, ...]:
        """Returns who was asked before a time and has not answered."""
        return tuple(
            target
            for target in self._running.values()
            if self._started_at[target] <= since
        )


def _consume_exception(running: asyncio.Future) -> None:
    """Takes note of a failure behind the first answer; it is of no use."""
    if not running.cancelled():
        running.exception()
