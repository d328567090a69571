"""Cooldown of servers after failed connections, and probes during it.

A server enters cooldown when a connection to it fails, longer each time, and
requests go to other servers meanwhile. If all servers are in cooldown, requests
probe them to detect recovery, one request per server at a time.
"""

from collections.abc import Sequence
import weakref

from clementinegw.direct import backend as backend_lib

# Interval between probes of a server in cooldown, in seconds: the connection
# timeout. It also applies if the server refuses connections immediately, as
# requests would otherwise reconnect in a tight loop.
_PROBE_INTERVAL_S = 0.25


class Cooldowns:
    """Times of the last request to each server."""

    def __init__(self) -> None:
        # Weak keys drop servers that are gone together with their backend.
        self._sent_at: weakref.WeakKeyDictionary[backend_lib.Backend, float]
        self._sent_at = weakref.WeakKeyDictionary()

    def record_sent(self, backend: backend_lib.Backend, now: float) -> None:
        """Records that a request is sent to a server."""
        self._sent_at[backend] = now

    def available(
        self, backends: Sequence[backend_lib.Backend], now: float
    ) -> list[backend_lib.Backend]:
        """Returns the servers that are not in cooldown."""
        return [b for b in backends if b.cooldown_until <= now]

    def probe_candidates(
        self, backends: Sequence[backend_lib.Backend], now: float
    ) -> list[backend_lib.Backend]:
        """Returns the servers that may be probed during their cooldown."""
        return [
            backend
            for backend in backends
            if now - self._sent_at.get(backend, -_PROBE_INTERVAL_S)
            >= _PROBE_INTERVAL_S
        ]

    def ends_in_s(
        self, backends: Sequence[backend_lib.Backend], now: float
    ) -> float:
        """Returns the time until the first cooldown ends, in seconds.

        This is 0 if a server is not in cooldown.
        """
        at = min((b.cooldown_until for b in backends), default=now)
        return max(0.0, at - now)
