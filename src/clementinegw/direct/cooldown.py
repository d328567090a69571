"""Servers that rest after a failure: which one is tried all the same.

A server rests after a connection that did not come up, longer after each, and
requests go to others meanwhile. Where all rest, somebody has to find out that
one is back: each is tried by one request at a time.
"""

from collections.abc import Sequence
import weakref

from clementinegw.direct import backend as backend_lib

# A server that rests is tried no more often than one whose connections time
# out would be, also where it refuses them at once: a request would connect over
# and over. Seconds, as long as a connection may take to come up.
_PROBE_INTERVAL_S = 0.25


class Cooldowns:
    """When each server was tried last."""

    def __init__(self) -> None:
        # Weak: a server that is gone is forgotten with its backend.
        self._sent_at: weakref.WeakKeyDictionary[backend_lib.Backend, float]
        self._sent_at = weakref.WeakKeyDictionary()

    def record_sent(self, backend: backend_lib.Backend, now: float) -> None:
        """Notes that a request goes to a server."""
        self._sent_at[backend] = now

    def available(
        self, backends: Sequence[backend_lib.Backend], now: float
    ) -> list[backend_lib.Backend]:
        """Returns the servers that do not rest."""
        return [b for b in backends if b.cooldown_until <= now]

    def probe_candidates(
        self, backends: Sequence[backend_lib.Backend], now: float
    ) -> list[backend_lib.Backend]:
        """Returns the servers that are tried though they may rest."""
        return [
            backend
            for backend in backends
            if now - self._sent_at.get(backend, -_PROBE_INTERVAL_S)
            >= _PROBE_INTERVAL_S
        ]

    def ends_in_s(
        self, backends: Sequence[backend_lib.Backend], now: float
    ) -> float:
        """Returns when the first rest is over, in seconds; 0 without one."""
        at = min((b.cooldown_until for b in backends), default=now)
        return max(0.0, at - now)
