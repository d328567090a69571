"""Tracks which processes read the store for their failure domain."""

import asyncio

import mode

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import raw
from clementinegw.direct import reader_selector
from clementinegw.direct import steps
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# The interval at which a reader renews its registration, in seconds. A reader
# that is gone stays listed for at most three intervals.
_JOIN_INTERVAL_S = 2.0
# How long a process that starts waits for the list of readers, in seconds. It
# then reads the store itself.
_READY_TIMEOUT_S = 1.5
# How soon a process that is no reader itself fetches an empty list again, in
# seconds. The list is empty when all processes start at once. The delay is
# doubled up to the maximum, as the platform charges for each call.
_MIN_RETRY_S = 0.3
_MAX_RETRY_S = 5.0
# The minimum time between two fetches of a list that is not empty, in seconds.
# It is fetched again only after a reader has failed.
_MIN_POLL_INTERVAL_S = 2.0


class ReaderDirectory(mode.Service):
    """Registers this process as a reader and keeps the list of all readers."""

    def __init__(
        self,
        reader_group: raw.ReaderGroup,
        joins: bool,
        selector: reader_selector.ReaderSelector,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Makes no calls before `start`.

        Args:
          reader_group: The platform's list of readers.
          joins: Whether this process is a reader that others may query.
          selector: Receives the list.
          log: Receives events.
          counters: Counts calls and failures.
        """
        super().__init__()
        self._reader_group = reader_group
        self._joins = joins
        self._selector = selector
        self._log = log
        self._counters = counters
        self._steps = steps.Steps(log, counters)
        self._generation = 0
        self._retry_s = _MIN_RETRY_S
        self._ready = asyncio.Event()
        self._stale = asyncio.Event()

    async def wait_ready(self) -> None:
        """Returns once the list has been fetched, or after a timeout."""
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                await self._ready.wait()
        except TimeoutError:
            self._counters.add("readers.late")

    def mark_stale(self) -> None:
        """Requests a new list because a reader has failed."""
        self._stale.set()

    def set_candidates(self, candidates: tuple) -> None:
        """Takes the list from another process, unless this one is a reader."""
        if not self._joins and candidates:
            self._apply(candidates)

    @mode.Service.task
    async def _maintain(self) -> None:
        step = self._join if self._joins else self._poll
        while not self.should_stop:
            with self._steps.guard("update_readers"):
                try:
                    await step()
                    continue
                except exceptions.PlatformError as error:
                    self._counters.add("readers.failed")
                    self._log.write(
                        _events.READERS_UNKNOWN, reason=error.message
                    )
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
