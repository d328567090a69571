"""Faults that tests inject into the stand-ins of backend servers."""

import asyncio
import collections
import dataclasses

from aiohttp import web


def _create_set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@dataclasses.dataclass(slots=True)
class Faults:
    """The active faults of one stand-in, which may change at any time.

    Attributes:
      slow_factor: The factor by which all work takes longer.
      down: Whether connections are closed before any processing.
      delay_s: The delay before the start of each answer, in seconds.
      stall_after_tokens: The number of tokens after which a stream stalls;
        None for never.
      answers_to_drop: The number of answers to drop after the operation has
        taken effect, by the name of the operation's route.
      corrupt_staged: Whether one byte of each staged chunk is changed when it
        is read.
      corrupt_loaded: Whether each load changes one byte of the version's first
        chunk.
      crash_marker: A request whose body contains these bytes crashes the
        server; empty for none.
      restart_s: The time from a crash to the restart, in seconds.
      keep_weights: Whether weights and staging memory survive a crash.
      cache_event_delay_s: The delay until cache events are visible, in seconds.
      cache_event_drop_interval: Every n-th cache event is lost; 0 for none.
    """

    slow_factor: float = 1.0
    down: bool = False
    delay_s: float = 0.0
    stall_after_tokens: int | None = None
    answers_to_drop: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    corrupt_staged: bool = False
    corrupt_loaded: bool = False
    crash_marker: bytes = b""
    restart_s: float = 1.0
    keep_weights: bool = False
    cache_event_delay_s: float = 0.0
    cache_event_drop_interval: int = 0
    _not_stalled: asyncio.Event = dataclasses.field(
        default_factory=_create_set_event
    )

    @property
    def stall(self) -> bool:
        """Whether the stand-in sends nothing but keeps its connections."""
        return not self._not_stalled.is_set()

    @stall.setter
    def stall(self, stalled: bool) -> None:
        if stalled:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()

    def consume_answer_drop(self, operation: str) -> bool:
        """Returns whether to drop this answer, and decrements its counter."""
        if self.answers_to_drop[operation] <= 0:
            return False
        self.answers_to_drop[operation] -= 1
        return True

    def triggers_crash(self, body: bytes) -> bool:
        """Returns whether a request with this body crashes the server."""
        return bool(self.crash_marker) and self.crash_marker in body

    async def wait_before_answer(self) -> None:
        """Waits for the configured delay and until any stall has ended."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self._not_stalled.wait()


def abort_connection(request: web.Request) -> None:
    """Closes the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()


def corrupt_middle_byte(data: bytes) -> bytes:
    """Returns the data with its middle byte changed."""
    middle = len(data) // 2
    changed = bytes([data[middle] ^ 0xFF])
    return data[:middle] + changed + data[middle + 1 :]
