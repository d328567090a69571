"""Draws pieces of a newer version while an older one still comes.

The origin's link is idle as soon as one copy is out, long before the agents
have exchanged it. Drawn meanwhile, the pieces of the next version are spread
over the agents when its turn comes, and outlive an origin that is cut off then.
"""

import asyncio

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import backing
from clementinegw.direct import bring
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs


class Ahead:
    """An agent's own part of one version, drawn before its turn."""

    def __init__(
        self,
        bringer: bring.Bringer,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Draws nothing before `begin`.

        Args:
          bringer: Keeps the pieces.
          log: Where events go.
          counters: Counts the pieces.
        """
        self._bringer = bringer
        self._log = log
        self._counters = counters
        self._version = 0
        self._stopping = False
        self._task: asyncio.Task | None = None

    def begin(self, origin: backing.Origin, model: str, version: int) -> None:
        """Begins to draw a version; each is begun once."""
        if version <= self._version or self._busy:
            return
        self._version = version
        self._stopping = False
        self._task = asyncio.ensure_future(self._draw(origin, model, version))

    async def settle(self) -> None:
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

    async def _draw(
        self, origin: backing.Origin, model: str, version: int
    ) -> None:
        drawn = 0
        try:
            digests = await self._bringer.describe(origin, model, version)
            for number in self._bringer.own_part(digests):
                if self._stopping:
                    break
                drawn += await self._bringer.draw(origin, digests, number)
        except exceptions.ClementineError as error:
            self._log.write(_events.WEIGHTS_WAIT, reason=error.message)
        self._counters.add("weights.drawn_ahead", drawn)
