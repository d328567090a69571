"""Requests that crash the servers that run them.

Such a request comes again and again, at any entry, with the same method,
target, customer and body. Those that merely shared a server with it at a crash
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

_MAX_REQUESTS = 4_096
# How long a crash is remembered, in seconds, and at how many a request must
# have been for it to be refused.
_RETENTION_S = 60.0
_CRASHES_TO_REFUSE = 2
# Crashes kept of one request, and servers known to have outlived one.
_MAX_CRASHES = 4
_MAX_SURVIVORS = 1_024
# What is told at once: a part of a datagram, about a kilobyte.
MAX_SUSPICIONS = 12
# For how long an entry tells of what it saw, in seconds: some datagrams to each
# of those who tell all, who remember it.
_PUBLISH_S = 5.0
# A crash that is told of is dated back by what its datagram may have taken, in
# seconds: else a server that has answered since would look crashed again.
_MAX_TRANSIT_S = 0.25
_FINGERPRINT_BYTES = 16
_START_DIGEST_BYTES = 8


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
class _CrashRecord:
    """A crash as it is kept; `local` where this process saw it itself."""

    crashed_at: float
    local: bool


class _RequestRecord:
    """What is kept of one request."""

    def __init__(self) -> None:
        self.crashes: dict[bytes, _CrashRecord] = {}
        self.completed_at = -math.inf
        self.completed_locally = False

    @property
    def last_changed_at(self) -> float:
        """When something last happened, in monotonic seconds."""
        crashed_at = (crash.crashed_at for crash in self.crashes.values())
        return max(crashed_at, default=self.completed_at)

    def recent_crashes(
        self, now: float, within_s: float = _RETENTION_S, local: bool = False
    ) -> tuple[Crash, ...]:
        """Returns the crashes of late; only what was seen here with `local`."""
        return tuple(
            Crash(start, max(0.0, now - crash.crashed_at))
            for start, crash in self.crashes.items()
            if (crash.local or not local) and now - crash.crashed_at < within_s
        )


class SuspectTracker:
    """Counts crashes by what was sent."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[bytes, _RequestRecord]
        self._records = collections.OrderedDict()
        self._requests_by_start: dict[bytes, set[bytes]] = {}
        self._survived_at: collections.OrderedDict[bytes, float]
        self._survived_at = collections.OrderedDict()

    def record_crash(
        self,
        request: servers.Request,
        customer_name: str,
        start: str,
        now: float,
    ) -> None:
        """Counts a connection that broke while a request ran.

        Args:
          request: The request.
          customer_name: The customer's name.
          start: Names the server's start.
          now: Monotonic seconds.
        """
        key = _fingerprint(request, customer_name)
        self._add(key, _digest_start(start), _CrashRecord(now, local=True))
        self._evict_oldest()

    def record_completion(
        self, request: servers.Request, customer_name: str, now: float
    ) -> None:
        """Clears a request that a server ran to its end.

        Many callers ask the same; two of their answers that are lost in a
        minute would else make it refused to all of them.
        """
        if not self._records:
            return
        key = _fingerprint(request, customer_name)
        record = self._records.get(key)
        if record is not None:
            record.completed_locally = True
            self._complete(key, record, now)

    def record_survival(self, start: str, sent_at: float) -> None:
        """Takes in that a server answered what was sent to it at a time.

        The start was there then, so no crash before that had ended it.
        """
        if not self._requests_by_start:
            return
        digest = _digest_start(start)
        if digest not in self._requests_by_start:
            return
        self._survived_at[digest] = max(
            sent_at, self._survived_at.get(digest, sent_at)
        )
        self._survived_at.move_to_end(digest)
        while len(self._survived_at) > _MAX_SURVIVORS:
            self._survived_at.popitem(last=False)
        for key in list(self._requests_by_start[digest]):
            record = self._records[key]
            if record.crashes[digest].crashed_at <= sent_at:
                self._drop_crash(key, digest)
            if not record.crashes and math.isinf(record.completed_at):
                self._drop(key)

    def is_refused(
        self, request: servers.Request, customer_name: str, now: float
    ) -> bool:
        """Returns whether a request has crashed too many servers."""
        if not self._records:
            return False
        record = self._records.get(_fingerprint(request, customer_name))
        if record is None:
            return False
        return len(record.recent_crashes(now)) >= _CRASHES_TO_REFUSE

    def local_suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Returns what this process saw itself of late, for those who tell all.

        Told on by all, ages would grow at each step by what a datagram takes.
        """
        self._expire(now)
        return self._select(
            lambda record: (
                record.recent_crashes(now, _PUBLISH_S, local=True),
                record.completed_locally,
            ),
            now,
        )

    def confirmed_suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Returns what is refused, and what was cleared, whoever saw it.

        Each entry tells all agents, so each knows the whole. What was at one
        crash only is not told on: that is every request beside a bad one.
        """
        self._expire(now)

        def reported(record: _RequestRecord) -> tuple[tuple[Crash, ...], bool]:
            found = record.recent_crashes(now)
            return (found if len(found) >= _CRASHES_TO_REFUSE else (), True)

        return self._select(reported, now)

    def _select(
        self,
        reported: Callable[[_RequestRecord], tuple[tuple[Crash, ...], bool]],
        now: float,
    ) -> tuple[Suspicion, ...]:
        """Returns the newest records that have something to be told.

        Args:
          reported: Returns a record's crashes to tell, and whether to tell that
            it was completed.
          now: Monotonic seconds.
        """
        found = []
        for key, record in reversed(self._records.items()):
            crashes, completed = reported(record)
            age_s = now - record.completed_at
            completed_age_s = (
                age_s if completed and age_s < _PUBLISH_S else None
            )
            if crashes or completed_age_s is not None:
                found.append(Suspicion(key, crashes, completed_age_s))
            if len(found) == MAX_SUSPICIONS:
                break
        return tuple(found)

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> None:
        """Takes in what others tell; what is malformed or too old is not."""
        for suspicion in suspicions:
            key = suspicion.fingerprint
            if len(key) != _FINGERPRINT_BYTES:
                continue
            age_s = suspicion.completed_age_s
            if age_s is not None and 0.0 <= age_s < _RETENTION_S:
                self._complete(key, self._record(key), now - age_s)
            for crash in suspicion.crashes[:_MAX_CRASHES]:
                fits = len(crash.start) == _START_DIGEST_BYTES
                if fits and 0.0 <= crash.age_s < _RETENTION_S:
                    at = now - crash.age_s - _MAX_TRANSIT_S
                    self._add(key, crash.start, _CrashRecord(at, local=False))
        self._evict_oldest()

    def _record(self, key: bytes) -> _RequestRecord:
        record = self._records.setdefault(key, _RequestRecord())
        self._records.move_to_end(key)
        return record

    def _add(self, key: bytes, start: bytes, crash: _CrashRecord) -> None:
        known = self._records.get(key)
        completed_at = known.completed_at if known else -math.inf
        if crash.crashed_at <= max(
            completed_at, self._survived_at.get(start, -math.inf)
        ):
            return
        record = self._record(key)
        known_crash = record.crashes.get(start)
        record.crashes[start] = _merged(known_crash, crash)
        self._requests_by_start.setdefault(start, set()).add(key)
        if len(record.crashes) > _MAX_CRASHES:
            oldest = min(
                record.crashes, key=lambda s: record.crashes[s].crashed_at
            )
            self._drop_crash(key, oldest)

    def _complete(self, key: bytes, record: _RequestRecord, at: float) -> None:
        record.completed_at = max(record.completed_at, at)
        for start, crash in list(record.crashes.items()):
            if crash.crashed_at <= record.completed_at:
                self._drop_crash(key, start)

    def _drop_crash(self, key: bytes, start: bytes) -> None:
        """Takes one crash away, from the record and from the index."""
        del self._records[key].crashes[start]
        requests = self._requests_by_start[start]
        requests.discard(key)
        if not requests:
            del self._requests_by_start[start]

    def _drop(self, key: bytes) -> None:
        for start in list(self._records[key].crashes):
            self._drop_crash(key, start)
        del self._records[key]

    def _evict_oldest(self) -> None:
        while len(self._records) > _MAX_REQUESTS:
            self._drop(next(iter(self._records)))

    def _expire(self, now: float) -> None:
        old = [
            key
            for key, record in self._records.items()
            if now - record.last_changed_at >= _RETENTION_S
        ]
        for key in old:
            self._drop(key)


def _merged(
    known_crash: _CrashRecord | None, crash: _CrashRecord
) -> _CrashRecord:
    """Returns what is kept of a crash that is seen or told of once more.

    A start crashes once. What this process saw itself it knows better, and
    what is told again arrives a little later each time: by its newest time it
    would never be forgotten.
    """
    if known_crash is None or crash.local > known_crash.local:
        return crash
    if (
        known_crash.local > crash.local
        or known_crash.crashed_at <= crash.crashed_at
    ):
        return known_crash
    return crash


def _fingerprint(request: servers.Request, customer_name: str) -> bytes:
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (
        request.method.encode(),
        request.target.encode(),
        request.host.encode(),
        customer_name.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _digest_start(start: str) -> bytes:
    encoded = start.encode()
    return hashlib.blake2b(encoded, digest_size=_START_DIGEST_BYTES).digest()
