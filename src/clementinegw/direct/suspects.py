"""Requests that crash the servers that run them.

Such a request comes again and again, at any entry, with the same method,
target, key and body. Those that merely shared a server with it at a crash are
let go: only what was there at two crashes in a row is refused.
"""

import collections
import hashlib

from clementinegw.direct import server as servers
from clementinegw.direct import types

_MOST_KEPT = 4_096
# How long a crash is remembered, in seconds, and at how many servers in a row
# a request must have been for it to be refused.
_MEMORY_S = 60.0
_CRASHES = 3


class Suspects:
    """Counts crashes by what was sent."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[bytes, dict[types.Start, float]]
        self._crashes = collections.OrderedDict()

    def crashed(
        self, request: servers.Request, start: types.Start, now: float
    ) -> None:
        """Counts a connection that broke while a request ran."""
        key = _fingerprint(request)
        self._crashes.setdefault(key, {})[start] = now
        self._crashes.move_to_end(key)
        while len(self._crashes) > _MOST_KEPT:
            self._crashes.popitem(last=False)

    def completed(self, request: servers.Request) -> None:
        """Clears a request that a server ran to its end.

        Many callers ask the same; three of their answers that are lost in a
        minute would else make it refused to all of them.
        """
        if self._crashes:
            self._crashes.pop(_fingerprint(request), None)

    def refused(self, request: servers.Request, now: float) -> bool:
        """Returns whether a request has crashed too many servers."""
        if not self._crashes:
            return False
        found = self._crashes.get(_fingerprint(request), {})
        recent = [at for at in found.values() if now - at < _MEMORY_S]
        return len(recent) >= _CRASHES


def _fingerprint(request: servers.Request) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        request.method.encode(),
        request.target.encode(),
        request.host.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
