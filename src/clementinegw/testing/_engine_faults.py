"""Faults of the backend servers' stand-ins, switched while they run."""

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
    """What goes wrong at one stand-in from now on.

    Attributes:
      slow_factor: All work takes this many times as long.
      down: Connections are dropped before anything is done.
      delay_s: Each answer waits this long before it begins, in seconds.
      stall_after_tokens: A stream stalls once it has sent so many tokens;
        None for never.
      answers_to_drop: How many answers of an operation are dropped after its
        effect; operations are named as in the stand-in's routes.
      corrupt_staged: Staged chunks that are read come with one byte changed.
      corrupt_loaded: Loads change one byte of each version on its way.
      crash_marker: A request whose body holds it crashes the server; empty
        for none.
      restart_s: How long the server is away after a crash, in seconds.
      keep_weights: Weights and staging memory outlive a crash.
      cache_event_delay_s: How late cache events appear, in seconds.
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
        """While true, nothing is sent and no connection is closed."""
        return not self._not_stalled.is_set()

    @stall.setter
    def stall(self, stalled: bool) -> None:
        if stalled:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()

    def consume_answer_drop(self, operation: str) -> bool:
        """Returns whether this answer is to be lost, and counts it off."""
        if self.answers_to_drop[operation] <= 0:
            return False
        self.answers_to_drop[operation] -= 1
        return True

    def triggers_crash(self, body: bytes) -> bool:
        """Returns whether a request with this body crashes the server."""
        return bool(self.crash_marker) and self.crash_marker in body

    async def wait_before_answer(self) -> None:
        """Waits out delays, and a stall for as long as it is on."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self._not_stalled.wait()


def abort_connection(request: web.Request) -> None:
    """Drops the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()


def corrupt_middle_byte(data: bytes) -> bytes:
    """Returns the bytes with the middle one changed."""
    middle = len(data) // 2
    changed = bytes([data[middle] ^ 0xFF])
    return data[:middle] + changed + data[middle + 1 :]
