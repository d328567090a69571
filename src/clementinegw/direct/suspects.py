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
from collections.abc import Callable, Iterable
import dataclasses
import hashlib
import math

from clementinegw.direct import server as servers

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
# For how long an entry tells of what it saw, in seconds: some datagrams to each
# of those who tell all, who remember it.
_TELL_S = 5.0
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

    def recent(
        self, now: float, within_s: float = _MEMORY_S, own: bool = False
    ) -> tuple[Crash, ...]:
        """Returns the crashes of late; only what was seen here with `own`."""
        return tuple(
            Crash(start, max(0.0, now - seen.at))
            for start, seen in self.crashes.items()
            if (seen.own or not own) and now - seen.at < within_s
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
        self, request: servers.Request, caller: str, start: str, now: float
    ) -> None:
        """Counts a connection that broke while a request ran.

        Args:
          request: The request.
          caller: The customer's name.
          start: Names the server's start.
          now: Monotonic seconds.
        """
        key = _fingerprint(request, caller)
        self._add(key, _digest(start), _Seen(now, own=True))
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

    def outlived(self, start: str, sent_at: float) -> None:
        """Takes in that a server answered what was sent to it at a time.

        The start was there then, so no crash before that had ended it.
        """
        if not self._at_start:
            return
        digest = _digest(start)
        if digest not in self._at_start:
            return
        self._well[digest] = max(sent_at, self._well.get(digest, sent_at))
        self._well.move_to_end(digest)
        while len(self._well) > _MOST_WELL:
            self._well.popitem(last=False)
        for key in list(self._at_start[digest]):
            record = self._records[key]
            if record.crashes[digest].at <= sent_at:
                self._drop_crash(key, digest)
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
        return len(record.recent(now)) >= _CRASHES

    def told(self, now: float) -> tuple[Suspicion, ...]:
        """Returns what this process saw itself of late, for those who tell all.

        Told on by all, ages would grow at each step by what a datagram takes.
        """
        self._forget(now)
        return self._listed(
            lambda record: (
                record.recent(now, _TELL_S, own=True),
                record.completed_here,
            ),
            now,
        )

    def proved(self, now: float) -> tuple[Suspicion, ...]:
        """Returns what is refused, and what was cleared, whoever saw it.

        Each entry tells all agents, so each knows the whole. What was at one
        crash only is not told on: that is every request beside a bad one.
        """
        self._forget(now)

        def chosen(record: _Record) -> tuple[tuple[Crash, ...], bool]:
            found = record.recent(now)
            return (found if len(found) >= _CRASHES else (), True)

        return self._listed(chosen, now)

    def _listed(
        self,
        chosen: Callable[[_Record], tuple[tuple[Crash, ...], bool]],
        now: float,
    ) -> tuple[Suspicion, ...]:
        """Returns the newest records that have something to be told.

        Args:
          chosen: Returns a record's crashes to tell, and whether to tell that
            it was completed.
          now: Monotonic seconds.
        """
        found = []
        for key, record in reversed(self._records.items()):
            crashes, completed = chosen(record)
            age_s = now - record.completed_at
            told_s = age_s if completed and age_s < _TELL_S else None
            if crashes or told_s is not None:
                found.append(Suspicion(key, crashes, told_s))
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


def _digest(start: str) -> bytes:
    encoded = start.encode()
    return hashlib.blake2b(encoded, digest_size=_START_BYTES).digest()
