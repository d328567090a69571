"""A performance model of a model engine, without sockets or tokens.

Policies that assign requests to engines are compared by their effect on
callers. That effect depends on how engines batch: prompts are processed in
parts between the token steps of the other requests, so each request slows down
all others in its batch. The default parameters are those that the operators
publish.
"""

import asyncio
from collections.abc import Callable
import dataclasses

# The time that each decoding request adds to a token step, in seconds.
_STEP_TIME_PER_REQUEST_S = 0.04e-3
# The priority of a request that names none.
DEFAULT_PRIORITY = 5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineParameters:
    """The performance parameters of an engine.

    Attributes:
      slots: The number of requests that the engine runs concurrently.
      step_s: The minimum time of a token step, in seconds.
      steps_per_pass: The number of token steps between two events of a stream.
      prefill_tokens_per_s: The rate at which prompts are processed, in tokens
        per second.
      prefill_tokens_per_step: The maximum number of prompt tokens that are
        processed before each token step.
    """

    slots: int = 16
    step_s: float = 8.87e-3
    steps_per_pass: int = 5
    prefill_tokens_per_s: float = 19_100.0
    prefill_tokens_per_step: int = 2_048

    def step_duration_s(self, decoding: int) -> float:
        """Returns the time of a step with `decoding` requests, in seconds."""
        return self.step_s + _STEP_TIME_PER_REQUEST_S * decoding


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request at an engine.

    Attributes:
      remaining_prompt_tokens: The prompt tokens that are not yet processed.
      remaining_events: The stream events that are not yet sent.
      on_event: Called at each event.
      on_end: Called after the last event.
      priority: Waiting requests with smaller values are admitted first.
    """

    remaining_prompt_tokens: int
    remaining_events: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]
    priority: int = DEFAULT_PRIORITY


class Engine:
    """One engine, which runs in the event loop that creates it."""

    def __init__(self, parameters: EngineParameters):
        """Starts an idle engine.

        Args:
          parameters: The engine's performance parameters.
        """
        self._parameters = parameters
        self._waiting: list[Request] = []
        self._running: list[Request] = []
        self._work_available = asyncio.Event()
        self._task = asyncio.ensure_future(self._run())

    @property
    def running(self) -> int:
        """The number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._waiting)

    def submit(self, request: Request) -> None:
        """Queues a request."""
        self._waiting.append(request)
        self._work_available.set()

    def cancel(self, request: Request) -> None:
        """Removes a request whose caller has disconnected."""
        for requests in (self._waiting, self._running):
            if request in requests:
                requests.remove(request)

    def stop(self) -> None:
        """Stops the engine."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            if not self._waiting and not self._running:
                self._work_available.clear()
                await self._work_available.wait()
            await self._run_pass()

    async def _run_pass(self) -> None:
        """Runs the token steps up to the next event of each stream.

        Each step also processes part of the prompts. Requests are admitted only
        at the start of a pass; later ones wait for the next pass.
        """
        while self._waiting and self.running < self._parameters.slots:
            request = min(self._waiting, key=lambda r: r.priority)
            self._waiting.remove(request)
            self._running.append(request)
        decoding = [r for r in self._running if not r.remaining_prompt_tokens]
        steps = self._parameters.steps_per_pass if decoding else 1
        for _ in range(steps):
            step_s = self._parameters.step_duration_s(len(decoding))
            await asyncio.sleep(self._prefill() + step_s)
        for request in self._running[:]:
            if not request.remaining_prompt_tokens:
                self._emit_event(request)

    def _prefill(self) -> float:
        """Processes prompts in order of arrival; returns the time it takes."""
        budget = self._parameters.prefill_tokens_per_step
        for request in self._running:
            tokens = min(budget, request.remaining_prompt_tokens)
            request.remaining_prompt_tokens -= tokens
            budget -= tokens
        prefilled = self._parameters.prefill_tokens_per_step - budget
        return prefilled / self._parameters.prefill_tokens_per_s

    def _emit_event(self, request: Request) -> None:
        request.remaining_events -= 1
        request.on_event()
        if request.remaining_events <= 0 and request in self._running:
            self._running.remove(request)
            request.on_end()
