"""How one model engine spends its time, in passes, without sockets or tokens.

Policies that decide which request an engine gets are compared by their effect
on callers, and that hangs on how engines batch: prompts are read in parts
between the token steps of all others, so what one request adds is paid for by
everyone beside it. The model takes its figures from what the operators publish.
"""

import asyncio
from collections.abc import Callable
import dataclasses

# What a step costs besides, for each request that is writing. Seconds.
_STEP_PER_REQUEST_S = 0.04e-3


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What an engine takes for its work.

    Attributes:
      slots: Requests that it runs at once.
      step_s: A token step, in seconds.
      steps_per_pass: Token steps from one event of a stream to the next.
      prefill_tokens_per_s: How fast prompts are read.
      prefill_tokens_per_step: Prompt tokens that are read between two steps
        at most.
    """

    slots: int = 16
    step_s: float = 8.87e-3
    steps_per_pass: int = 5
    prefill_tokens_per_s: float = 19_100.0
    prefill_tokens_per_step: int = 2_048

    def step_at(self, writers: int) -> float:
        """Returns how long a step takes while so many write, in seconds."""
        return self.step_s + _STEP_PER_REQUEST_S * writers


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """One request at an engine.

    Attributes:
      prompt_tokens: What is left to read.
      events: What is left to write.
      on_event: Called at each event.
      on_end: Called after the last event.
    """

    prompt_tokens: int
    events: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]


class Engine:
    """One engine; runs in the loop that it is made in."""

    def __init__(self, figures: Figures):
        """Starts idle.

        Args:
          figures: What its work takes.
        """
        self._figures = figures
        self._waiting: list[Work] = []
        self._running: list[Work] = []
        self._work = asyncio.Event()
        self._task = asyncio.ensure_future(self._run())

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for the batch."""
        return len(self._waiting)

    def submit(self, work: Work) -> None:
        """Takes a request in."""
        self._waiting.append(work)
        self._work.set()

    def drop(self, work: Work) -> None:
        """Ends a request whose caller has left."""
        for works in (self._waiting, self._running):
            if work in works:
                works.remove(work)

    def stop(self) -> None:
        """Ends the engine."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            if not self._waiting and not self._running:
                self._work.clear()
                await self._work.wait()
            await self._pass()

    async def _pass(self) -> None:
        """Reads prompts between the steps of one event of each stream.

        Who is admitted is settled as a pass begins: what comes meanwhile waits
        for the next one.
        """
        while self._waiting and self.running < self._figures.slots:
            self._running.append(self._waiting.pop(0))
        writers = [w for w in self._running if not w.prompt_tokens]
        steps = self._figures.steps_per_pass if writers else 1
        for _ in range(steps):
            step_s = self._figures.step_at(len(writers))
            await asyncio.sleep(self._read() + step_s)
        for work in self._running[:]:
            if not work.prompt_tokens:
                self._write(work)

    def _read(self) -> float:
        """Reads prompts in the order of arrival; returns the time it takes."""
        left = self._figures.prefill_tokens_per_step
        for work in self._running:
            part = min(left, work.prompt_tokens)
            work.prompt_tokens -= part
            left -= part
        read = self._figures.prefill_tokens_per_step - left
        return read / self._figures.prefill_tokens_per_s

    def _write(self, work: Work) -> None:
        work.events -= 1
        work.on_event()
        if work.events <= 0 and work in self._running:
            self._running.remove(work)
            work.on_end()
