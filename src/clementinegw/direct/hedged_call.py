"""Makes the same call to several targets, one more whenever an answer is late.

A caller that asks the next reader only after one has failed waits for the
timeout of each. With three readers that the store had silently cut off, this
took longer than a change may take to be in force.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import dataclasses
import math
from typing import Generic, TypeVar

from clementinegw import exceptions

_Target = TypeVar("_Target")
_Answer = TypeVar("_Answer")
# How much earlier than requested a timer may seem to end, in seconds.
_TIMER_TOLERANCE_S = 0.001
# A target that fails within this time took none of the time of the others, in
# seconds: its machine is up and refuses connections.
_QUICK_FAILURE_S = 0.1
# How long no further target is called after bytes of a large answer arrived, in
# seconds.
_POSTPONE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeTiming:
    """When further targets are called.

    Attributes:
      overdue_s: The time without an answer after which the first target is
        overdue, in seconds; infinite if the next one is called only after a
        failure.
      interval_s: The time between calls to further targets, in seconds.
    """

    overdue_s: float
    interval_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result(Generic[_Target, _Answer]):
    """The first answer to a hedged call.

    Attributes:
      target: The target that answered.
      answer: The answer.
      overdue: The targets that were overdue without an answer.
      error: The last failure before the answer, if any.
    """

    target: _Target
    answer: _Answer
    overdue: tuple[_Target, ...]
    error: exceptions.PlatformError | None


class HedgedCall(Generic[_Target, _Answer]):
    """One call that is made to several targets until the first answer."""

    def __init__(
        self,
        ask: Callable[[_Target], Awaitable[_Answer]],
        final: type[exceptions.PlatformError],
    ):
        """Makes no calls before `run`.

        Args:
          ask: Calls one target; it is cancelled once another one has answered.
          final: A failure that ends the call, as it would be the same at every
            target.
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
        """Calls only this target, unless a call to it is in progress."""
        if target in self._running.values():
            return
        self._cancel_all()
        self._pending.clear()
        self._start(target)
        self._changed.set()

    def postpone(self) -> None:
        """Delays calls to further targets because an answer is arriving."""
        self._postponed_until = asyncio.get_running_loop().time() + _POSTPONE_S

    async def run(
        self,
        order: Sequence[_Target],
        timing: HedgeTiming,
        further: Callable[[], Sequence[_Target]] = tuple,
    ) -> Result[_Target, _Answer]:
        """Returns the first answer.

        Args:
          order: The targets in the order in which they are called.
          timing: When further targets are called.
          further: Returns further targets after a quick failure, which are
            called before the last one in `order`.

        Raises:
          exceptions.PlatformError: All targets failed; this is the last
            failure, or one of the type `final`.
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
                    self._extend(further())
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

    def _extend(self, further: Sequence[_Target]) -> None:
        """Adds targets before the last one if a call failed quickly."""
        called_at = max(self._started_at.values())
        failed_after_s = asyncio.get_running_loop().time() - called_at
        if failed_after_s < _QUICK_FAILURE_S:
            known = {*self._started_at, *self._pending}
            self._pending[-1:-1] = [t for t in further if t not in known]

    def _start_next(self) -> None:
        if self._pending:
            self._start(self._pending.pop(0))

    def _start(self, target: _Target) -> None:
        self._started_at[target] = asyncio.get_running_loop().time()
        self._running[asyncio.ensure_future(self._ask(target))] = target

    async def _wait(self, timeout_s: float) -> bool:
        """Waits for an answer, a failure or a change of the targets.

        Returns:
          Whether the time ran out before any of these.
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
        """Cancels all calls in progress."""
        for running in self._running:
            running.cancel()
            running.add_done_callback(_consume_exception)
        self._running.clear()

    def _first_answer(
        self, overdue_before: float
    ) -> Result[_Target, _Answer] | None:
        """Returns the first answer that has arrived and stores failures.

        Args:
          overdue_before: Targets that were called no later than this time, in
            seconds, are overdue.
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
        """Returns the targets called before a time that have not answered."""
        return tuple(
            target
            for target in self._running.values()
            if self._started_at[target] <= since
        )


def _consume_exception(running: asyncio.Future) -> None:
    """Retrieves a failure of a cancelled call, which asyncio would log."""
    if not running.cancelled():
        running.exception()
