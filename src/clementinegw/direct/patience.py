"""How long a call to another process may say nothing."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """How long a call may say nothing.

    A bound on the whole of a large answer would throw away what has come and
    ask for the same bytes again; on a link that many share it never gets
    free. So only silence ends a call, and a rate that no sound link has.

    Attributes:
      first_s: Until the head of the answer, in seconds.
      silent_s: Between two arrivals of bytes, in seconds.
      least_bytes_per_s: A body that comes more slowly than this, after
        `silent_s` of grace, is given up: its connection trickles, and another
        one may do better.
    """

    first_s: float
    silent_s: float
    least_bytes_per_s: float = 4_096.0


class Watch:
    """Gives a call up when its patience is over."""

    def __init__(self, patience: Patience):
        self._patience = patience
        self._clock = asyncio.get_running_loop().time
        self._timeout = asyncio.timeout(patience.first_s)
        self._begun_at = 0.0

    async def __aenter__(self) -> "Watch":
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._timeout.__aexit__(*error)

    def begun(self) -> None:
        """Notes that the head has come."""
        self._begun_at = self._clock()
        self.heard(0)

    def heard(self, size: int) -> None:
        """Notes how many bytes of the body have come so far."""
        patience = self._patience
        silent_at = self._clock() + patience.silent_s
        earned_s = patience.silent_s + size / patience.least_bytes_per_s
        self._timeout.reschedule(min(silent_at, self._begun_at + earned_s))
