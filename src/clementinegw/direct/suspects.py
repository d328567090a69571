"""Requests that crash the servers that run them.

Such a request comes again and again, at any entry, with the same method,
target, caller and body. Those that merely shared a server with it at a crash
are let go: only what was there at two crashes, and was never answered since, is
refused. A server that answers again as the same start did not crash; its
answers were lost.

Each entry tells what it saw itself and takes in what others tell, in datagrams
that get lost, come twice and come late. So a crash is named by the start of the
server that it ended, and told with its age; what is taken in twice counts once.
"""

import collections
from collections.abc import Iterable
import dataclasses
import hashlib
import math

from clementinegw.direct import server as servers
from clementinegw.direct import types

_MOST_KEPT = 4_096
# How long a crash is remembered, in seconds, and at how many a request must
# have been for it to be refused.
_MEMORY_S = 60.0
_CRASHES = 2
# Crashes kept of one request, and servers known to have outlived one.
_MOST_CRASHES = 4
_MOST_WELL = 1_024
# What is told at once: a part of a datagram, about a kilobyte.
MOST_TOLD = 12
# A crash that is told of is dated back by what its datagram may have taken, in
# seconds: else a server that has answered since would look crashed again.
_ON_THE_WAY_S = 0.25
_FINGERPRINT_BYTES = 16
_START_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A connection that broke while a request ran.

    Attributes:
      start: Names the server's start.
      age_s: How long ago, in seconds.
    """

    start: bytes
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known of one request.

    Attributes:
      fingerprint: Names the request.
      crashes: Where connections broke while it ran.
      completed_age_s: How long ago a server ran it to its end, in seconds; None
        when none did.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...]
    completed_age_s: float | None = None


@dataclasses.dataclass(slots=True)
class _Seen:
    """A crash as it is kept; `own` where this process saw it itself."""

    at: float
    own: bool


class _Record:
    """What is kept of one request."""

    def __init__(self) -> None:
        self.crashes: dict[bytes, _Seen] = {}
        self.completed_at = -math.inf
        self.completed_here = False

    @property
    def newest_at(self) -> float:
        """When something last happened, in monotonic seconds."""
        crashed_at = (seen.at for seen in self.crashes.values())
        return max(crashed_at, default=self.completed_at)

    def told(self, now: float, own: bool) -> tuple[Crash, ...]:
        """Returns the crashes to tell."""
        return tuple(
            Crash(start, max(0.0, now - seen.at))
            for start, seen in self.crashes.items()
            if (seen.own or not own) and now - seen.at < _MEMORY_S
        )


class Suspects:
    """Counts crashes by what was sent."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[bytes, _Record]
        self._records = collections.OrderedDict()
        self._at_start: dict[bytes, set[bytes]] = {}
        self._well: collections.OrderedDict[bytes, float]
        self._well = collections.OrderedDict()

    def crashed(
        self,
        request: servers.Request,
        caller: str,
        start: types.Start,
        now: float,
    ) -> None:
        """Counts a connection that broke while a request ran."""
        key = _fingerprint(request, caller)
        self._add(key, _name(start), _Seen(now, own=True))
        self._bound()

    def completed(
        self, request: servers.Request, caller: str, now: float
    ) -> None:
        """Clears a request that a server ran to its end.

        Many callers ask the same; two of their answers that are lost in a
        minute would else make it refused to all of them.
        """
        if not self._records:
            return
        key = _fingerprint(request, caller)
        record = self._records.get(key)
        if record is not None:
            record.completed_here = True
            self._complete(key, record, now)

    def outlived(self, server: types.Start, sent_at: float) -> None:
        """Takes in that a server answered what was sent to it at a time.

        The start was there then, so no crash before that had ended it.
        """
        if not self._at_start:
            return
        start = _name(server)
        if start not in self._at_start:
            return
        self._well[start] = max(sent_at, self._well.get(start, sent_at))
        self._well.move_to_end(start)
        while len(self._well) > _MOST_WELL:
            self._well.popitem(last=False)
        for key in list(self._at_start[start]):
            record = self._records[key]
            if record.crashes[start].at <= sent_at:
                self._drop_crash(key, start)
            if not record.crashes and math.isinf(record.completed_at):
                self._drop(key)

    def refused(
        self, request: servers.Request, caller: str, now: float
    ) -> bool:
        """Returns whether a request has crashed too many servers."""
        if not self._records:
            return False
        record = self._records.get(_fingerprint(request, caller))
        if record is None:
            return False
        return len(record.told(now, own=False)) >= _CRASHES

    def told(self, now: float, own: bool = True) -> tuple[Suspicion, ...]:
        """Returns what to tell others, the newest of it.

        Args:
          now: Monotonic seconds.
          own: Only what this process saw itself. Told on by all, ages would
            grow at each step by what a datagram takes; who tells for others
            must be told by none of them.
        """
        self._forget(now)
        found = []
        for key, record in reversed(self._records.items()):
            completed = record.completed_here or not own
            age_s = now - record.completed_at
            told = Suspicion(
                key,
                record.told(now, own),
                age_s if completed and age_s < _MEMORY_S else None,
            )
            if told.crashes or told.completed_age_s is not None:
                found.append(told)
            if len(found) == MOST_TOLD:
                break
        return tuple(found)

    def take(self, suspicions: Iterable[Suspicion], now: float) -> None:
        """Takes in what others tell; what is malformed or too old is not."""
        for suspicion in suspicions:
            key = suspicion.fingerprint
            if len(key) != _FINGERPRINT_BYTES:
                continue
            age_s = suspicion.completed_age_s
            if age_s is not None and 0.0 <= age_s < _MEMORY_S:
                self._complete(key, self._record(key), now - age_s)
            for crash in suspicion.crashes[:_MOST_CRASHES]:
                fits = len(crash.start) == _START_BYTES
                if fits and 0.0 <= crash.age_s < _MEMORY_S:
                    at = now - crash.age_s - _ON_THE_WAY_S
                    self._add(key, crash.start, _Seen(at, own=False))
        self._bound()

    def _record(self, key: bytes) -> _Record:
        record = self._records.setdefault(key, _Record())
        self._records.move_to_end(key)
        return record

    def _add(self, key: bytes, start: bytes, seen: _Seen) -> None:
        known = self._records.get(key)
        completed_at = known.completed_at if known else -math.inf
        if seen.at <= max(completed_at, self._well.get(start, -math.inf)):
            return
        record = self._record(key)
        former = record.crashes.get(start)
        record.crashes[start] = _merged(former, seen)
        self._at_start.setdefault(start, set()).add(key)
        if len(record.crashes) > _MOST_CRASHES:
            oldest = min(record.crashes, key=lambda s: record.crashes[s].at)
            self._drop_crash(key, oldest)

    def _complete(self, key: bytes, record: _Record, at: float) -> None:
        record.completed_at = max(record.completed_at, at)
        for start, seen in list(record.crashes.items()):
            if seen.at <= record.completed_at:
                self._drop_crash(key, start)

    def _drop_crash(self, key: bytes, start: bytes) -> None:
        """Takes one crash away, from the record and from the index."""
        del self._records[key].crashes[start]
        at_start = self._at_start[start]
        at_start.discard(key)
        if not at_start:
            del self._at_start[start]

    def _drop(self, key: bytes) -> None:
        for start in list(self._records[key].crashes):
            self._drop_crash(key, start)
        del self._records[key]

    def _bound(self) -> None:
        while len(self._records) > _MOST_KEPT:
            self._drop(next(iter(self._records)))

    def _forget(self, now: float) -> None:
        old = [
            key
            for key, record in self._records.items()
            if now - record.newest_at >= _MEMORY_S
        ]
        for key in old:
            self._drop(key)


def _merged(former: _Seen | None, seen: _Seen) -> _Seen:
    """Returns what is kept of a crash that is seen or told of once more.

    A start crashes once. What this process saw itself it knows better, and
    what is told again arrives a little later each time: by its newest time it
    would never be forgotten.
    """
    if former is None or seen.own > former.own:
        return seen
    if former.own > seen.own or former.at <= seen.at:
        return former
    return seen


def _fingerprint(request: servers.Request, caller: str) -> bytes:
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (
        request.method.encode(),
        request.target.encode(),
        request.host.encode(),
        caller.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _name(start: types.Start) -> bytes:
    encoded = start.text.encode()
    return hashlib.blake2b(encoded, digest_size=_START_BYTES).digest()
