"""Keeps up with who reads the store for a failure domain."""

import asyncio

import mode

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import raw
from clementinegw.direct import reader_selector
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# A reader that has gone is on the list for at most three of these, in seconds.
_JOIN_INTERVAL_S = 2.0
# Nobody waits longer than this for a list of readers; then the store is read
# by whoever needs it, in seconds.
_READY_TIMEOUT_S = 1.5
# A process that only asks looks again so soon while nobody reads, as at a
# start of all, and then less and less often; each look is paid for. Seconds.
_MIN_RETRY_S = 0.3
_MAX_RETRY_S = 5.0
# And so seldom once a reader has failed, in seconds.
_MIN_POLL_INTERVAL_S = 2.0


class ReaderDirectory(mode.Service):
    """Offers this process as a reader, and knows the others."""

    def __init__(
        self,
        reader_group: raw.ReaderGroup,
        joins: bool,
        selector: reader_selector.ReaderSelector,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Does nothing before `start`.

        Args:
          reader_group: The platform's list.
          joins: Whether others may ask this process.
          selector: Is told of the readers.
          log: Where events go.
          counters: Counts failures.
        """
        super().__init__()
        self._reader_group = reader_group
        self._joins = joins
        self._selector = selector
        self._log = log
        self._counters = counters
        self._generation = 0
        self._retry_s = _MIN_RETRY_S
        self._ready = asyncio.Event()
        self._stale = asyncio.Event()

    async def wait_ready(self) -> None:
        """Returns once there was a look at the list, or it takes too long."""
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                await self._ready.wait()
        except TimeoutError:
            self._counters.add("readers.late")

    def mark_stale(self) -> None:
        """Says that a reader failed, so the list may be old."""
        self._stale.set()

    def set_candidates(self, candidates: tuple) -> None:
        """Takes the list that another process knows."""
        if not self._joins and candidates:
            self._apply(candidates)

    @mode.Service.task
    async def _maintain(self) -> None:
        step = self._join if self._joins else self._poll
        while not self.should_stop:
            try:
                await step()
            except exceptions.PlatformError as error:
                self._counters.add("readers.failed")
                self._log.write(_events.READERS_UNKNOWN, reason=error.message)
                self._ready.set()
                await asyncio.sleep(_JOIN_INTERVAL_S)

    async def _join(self) -> None:
        generation = await self._reader_group.join()
        if generation != self._generation or self._stale.is_set():
            self._stale.clear()
            await self._refresh()
            self._generation = generation
        self._ready.set()
        await asyncio.sleep(_JOIN_INTERVAL_S)

    async def _poll(self) -> None:
        await self._refresh()
        if not self._selector.candidates:
            await asyncio.sleep(self._retry_s)
            self._retry_s = min(2 * self._retry_s, _MAX_RETRY_S)
            return
        self._retry_s = _MIN_RETRY_S
        self._ready.set()
        self._stale.clear()
        await asyncio.sleep(_MIN_POLL_INTERVAL_S)
        await self._stale.wait()

    async def _refresh(self) -> None:
        self._counters.add("readers.looks")
        self._apply(await self._reader_group.candidates())

    def _apply(self, candidates: tuple) -> None:
        if self._selector.set_candidates(candidates):
            self._log.write(
                _events.READERS_CHANGED, readers=[str(c) for c in candidates]
            )
