"""Fetches chunks of a newer version while an older one is still exchanged.

The origin's link is idle once it has sent one copy, long before the agents have
exchanged it. Chunks of the next version that are fetched meanwhile are already
distributed over the agents when that version becomes the target, and stay
available if the origin becomes unreachable by then.
"""

import asyncio

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import agent_interfaces
from clementinegw.direct import fetcher as fetcher_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs


class Prefetcher:
    """Fetches the chunks of a later version that are assigned to this agent."""

    def __init__(
        self,
        fetcher: fetcher_lib.Fetcher,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Creates an idle prefetcher.

        Args:
          fetcher: Fetches and stores the chunks.
          log: Where events go.
          counters: Counts the fetched chunks.
        """
        self._fetcher = fetcher
        self._log = log
        self._counters = counters
        self._version = 0
        self._stopping = False
        self._task: asyncio.Task | None = None

    def start(
        self, origin: agent_interfaces.Origin, model: str, version: int
    ) -> None:
        """Starts to fetch a version, unless busy or started for it before."""
        if version <= self._version or self._busy:
            return
        self._version = version
        self._stopping = False
        self._task = asyncio.ensure_future(self._fetch(origin, model, version))

    async def stop(self) -> None:
        """Stops after the current chunk and waits for it.

        Otherwise the exchange would fetch that chunk from the origin again.
        """
        self._stopping = True
        task, self._task = self._task, None
        if task is not None:
            await task

    @property
    def _busy(self) -> bool:
        return self._task is not None and not self._task.done()

    async def _fetch(
        self, origin: agent_interfaces.Origin, model: str, version: int
    ) -> None:
        fetched = 0
        try:
            manifest = await self._fetcher.fetch_manifest(
                origin, model, version
            )
            for number in self._fetcher.assigned_chunks(manifest):
                if self._stopping:
                    break
                fetched += await self._fetcher.fetch_from_origin(
                    origin, manifest, number
                )
        except exceptions.ClementineError as error:
            self._log.write(_events.WEIGHTS_WAIT, reason=error.message)
        self._counters.add("weights.drawn_ahead", fetched)
