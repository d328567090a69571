"""Draws pieces of a newer version while an older one still comes.

The origin's link is idle as soon as one copy is out, long before the agents
have exchanged it. Drawn meanwhile, the pieces of the next version are spread
over the agents when its turn comes, and outlive an origin that is cut off then.
"""

import asyncio

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import agent_interfaces
from clementinegw.direct import fetcher as fetcher_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs


class Prefetcher:
    """An agent's own part of one version, fetched before its turn."""

    def __init__(
        self,
        fetcher: fetcher_lib.Fetcher,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Draws nothing before `start`.

        Args:
          fetcher: Keeps the pieces.
          log: Where events go.
          counters: Counts the pieces.
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
        """Begins to draw a version; each is begun once."""
        if version <= self._version or self._busy:
            return
        self._version = version
        self._stopping = False
        self._task = asyncio.ensure_future(self._fetch(origin, model, version))

    async def stop(self) -> None:
        """Ends the drawing; a piece under way is awaited.

        The exchange would else draw that piece a second time.
        """
        self._stopping = True
        if self._task is not None:
            await self._task
            self._task = None

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
            for number in self._fetcher.assigned_pieces(manifest):
                if self._stopping:
                    break
                fetched += await self._fetcher.fetch_from_origin(
                    origin, manifest, number
                )
        except exceptions.ClementineError as error:
            self._log.write(_events.WEIGHTS_WAIT, reason=error.message)
        self._counters.add("weights.drawn_ahead", fetched)
