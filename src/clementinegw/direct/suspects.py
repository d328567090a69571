"""Detects requests that crash the servers that run them.

Such a request is sent repeatedly, at any entry, with the same method, target,
customer and body. A request is refused once it was running at two crashes and
has not been answered since; requests that merely shared a server with it at one
crash are not, and crashes that a part of prompts accounts for do not count. A
server that answers again as the same start did not crash: its answers were
lost.

Each entry reports its own observations and merges those of others. They travel
in datagrams that may be lost, duplicated or late. Therefore a crash is
identified by the server start that it ended and reported with its age, and
merging it twice counts once.
"""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import hashlib
import math

from clementinegw.direct import refusals
from clementinegw.direct import server as servers

# The most requests that are remembered.
_MAX_REQUESTS = 4_096
# How long a crash is remembered, in seconds, and the number of remembered
# crashes from which on a request is refused.
_RETENTION_S = 60.0
_CRASHES_TO_REFUSE = 2
# The most crashes kept for one request, and the most server starts kept that
# answered after a supposed crash.
_MAX_CRASHES = 4
_MAX_SURVIVORS = 1_024
# The most suspicions in one datagram; they take about a kilobyte.
MAX_SUSPICIONS = 12
# For how long an entry reports its own observations, in seconds: several
# datagrams to each agent, which remembers them and passes them to all entries.
_PUBLISH_S = 5.0
# A crash in a datagram is dated back by the time that the datagram may have
# taken, in seconds. Otherwise a server that has answered since would seem to
# have crashed again.
MAX_TRANSIT_S = 0.25
_FINGERPRINT_BYTES = 16
START_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A connection that broke while a request ran.

    Attributes:
      start: The digest of the server's start.
      age_s: How long ago it was, in seconds.
    """

    start: bytes
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What was observed of one request, as entries and agents exchange it.

    Attributes:
      fingerprint: Identifies the request.
      crashes: The broken connections while it ran.
      completed_age_s: How long ago a server completed it, in seconds; None if
        none did.
      refusal: When it was refused; None if it is not.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...]
    completed_age_s: float | None = None
    refusal: refusals.RefusalAges | None = None


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    """A crash as the tracker keeps it.

    Attributes:
      crashed_at: When it happened, in monotonic seconds.
      local: Whether this process observed it itself.
    """

    crashed_at: float
    local: bool


class _RequestRecord:
    """What the tracker keeps of one request.

    Attributes:
      crashes: The crashes by the digest of the server's start.
      completed_at: When it was last completed, in monotonic seconds.
      completed_locally: Whether this process observed a completion itself.
      refusal: When it was refused, by any entry.
    """

    def __init__(self) -> None:
        self.crashes: dict[bytes, _CrashRecord] = {}
        self.completed_at = -math.inf
        self.completed_locally = False
        self.refusal = refusals.Refusal()

    @property
    def last_crash_at(self) -> float:
        """When the newest crash happened, in monotonic seconds."""
        crashed_at = (crash.crashed_at for crash in self.crashes.values())
        return max(crashed_at, default=-math.inf)

    @property
    def last_changed_at(self) -> float:
        """When it last crashed or was refused; without crashes, completed."""
        if not self.crashes:
            return self.completed_at
        return max(self.last_crash_at, self.refusal.refused_at)

    def recent_crashes(self, now: float) -> tuple[Crash, ...]:
        """Returns the crashes that are not forgotten."""
        return tuple(
            Crash(start, max(0.0, now - crash.crashed_at))
            for start, crash in self.crashes.items()
            if now - max(crash.crashed_at, self.refusal.refused_at)
            < _RETENTION_S
        )

    def new_crashes(self, now: float) -> tuple[Crash, ...]:
        """Returns the crashes that this process observed a short while ago."""
        return tuple(
            Crash(start, max(0.0, now - crash.crashed_at))
            for start, crash in self.crashes.items()
            if crash.local and now - crash.crashed_at < _PUBLISH_S
        )


class SuspectTracker:
    """Tracks which requests were running when servers crashed."""

    def __init__(
        self, is_explained: Callable[[bytes], bool] = lambda start: False
    ) -> None:
        """Starts without any request.

        Args:
          is_explained: Returns whether something else is known to have crashed
            a server, by the digest of its start.
        """
        self._is_explained = is_explained
        self._records: collections.OrderedDict[bytes, _RequestRecord]
        self._records = collections.OrderedDict()
        self._requests_by_start: dict[bytes, set[bytes]] = {}
        self._survived_at: collections.OrderedDict[bytes, float]
        self._survived_at = collections.OrderedDict()

    @property
    def idle(self) -> bool:
        """Whether no request is remembered."""
        return not self._records

    def record_crash(
        self,
        request: servers.Request,
        customer_name: str,
        start: str,
        now: float,
    ) -> None:
        """Records a connection that broke while a request ran.

        Args:
          request: The request.
          customer_name: The name of its customer.
          start: The text that names the server's start.
          now: Monotonic seconds.
        """
        key = fingerprint(request, customer_name)
        self._add(key, digest_start(start), _CrashRecord(now, local=True))
        self._evict_oldest()

    def record_completion(
        self, request: servers.Request, customer_name: str, now: float
    ) -> None:
        """Clears a request that a server completed.

        Many callers send the same request; without this, two lost answers
        within a minute would make it refused for all of them.
        """
        if not self._records:
            return
        key = fingerprint(request, customer_name)
        record = self._records.get(key)
        if record is not None:
            record.completed_locally = True
            self._complete(key, record, now)

    def record_survival(self, start: str, sent_at: float) -> None:
        """Records that a server start answered a request.

        The start was running when the request was sent, so no crash before that
        had ended it.

        Args:
          start: The text that names the server's start.
          sent_at: When the request was sent, in monotonic seconds.
        """
        if not self._requests_by_start:
            return
        digest = digest_start(start)
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

    def is_refused(self, key: bytes, now: float) -> bool:
        """Returns whether a request was running at too many crashes.

        Args:
          key: The request's fingerprint.
          now: Monotonic seconds.
        """
        record = self._records.get(key)
        if record is None:
            return False
        crashes = record.recent_crashes(now)
        if len(crashes) < _CRASHES_TO_REFUSE:
            return False
        unexplained = [c for c in crashes if not self._is_explained(c.start)]
        return len(unexplained) >= _CRASHES_TO_REFUSE

    def record_refusal(self, key: bytes, now: float) -> None:
        """Records that a request was refused: it still comes."""
        self._records[key].refusal.record(now)

    def take_probe(self, key: bytes, now: float) -> bool:
        """Returns whether a refused request may be let through.

        Only one entry of the fleet is to ask.
        """
        record = self._records[key]
        return record.refusal.take_probe(record.last_crash_at, now)

    def local_suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Returns this process's own recent observations, for the agents.

        Entries do not forward the observations of others: at each step the ages
        would be off by the transit time of a datagram.
        """
        self._expire(now)

        def reported(record: _RequestRecord) -> tuple[tuple[Crash, ...], bool]:
            if record.refusal.is_published(now):
                crashes = record.recent_crashes(now)
            else:
                crashes = record.new_crashes(now)
            return crashes, record.completed_locally

        return self._select(reported, now)

    def confirmed_suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Returns refused and cleared requests, whoever observed them.

        Each entry reports to all agents, so each agent knows all observations.
        Requests with one crash are left out: they include every request that
        merely ran at the same time as a crashing one.
        """
        self._expire(now)

        def reported(record: _RequestRecord) -> tuple[tuple[Crash, ...], bool]:
            crashes = record.recent_crashes(now)
            return (crashes if len(crashes) >= _CRASHES_TO_REFUSE else (), True)

        return self._select(reported, now)

    def refused_suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Returns what is known of the requests that are refused."""
        return tuple(
            Suspicion(
                key, record.recent_crashes(now), None, record.refusal.ages(now)
            )
            for key, record in self._records.items()
            if record.refusal.refused_at > now - _RETENTION_S
            and self.is_refused(key, now)
        )

    def _select(
        self,
        reported: Callable[[_RequestRecord], tuple[tuple[Crash, ...], bool]],
        now: float,
    ) -> tuple[Suspicion, ...]:
        """Returns suspicions for the newest records with something to report.

        Args:
          reported: Returns the crashes of a record to report, and whether to
            report its completion.
          now: Monotonic seconds.
        """
        suspicions = []
        for key, record in reversed(self._records.items()):
            crashes, completed = reported(record)
            age_s = now - record.completed_at
            completed_age_s = (
                age_s if completed and age_s < _PUBLISH_S else None
            )
            if crashes or completed_age_s is not None:
                refusal = record.refusal.ages(now) if crashes else None
                suspicions.append(
                    Suspicion(key, crashes, completed_age_s, refusal)
                )
            if len(suspicions) == MAX_SUSPICIONS:
                break
        return tuple(suspicions)

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> None:
        """Merges observations of others; ignores malformed and too old ones."""
        for suspicion in suspicions:
            key = suspicion.fingerprint
            if len(key) != _FINGERPRINT_BYTES:
                continue
            age_s = suspicion.completed_age_s
            if age_s is not None and 0.0 <= age_s < _RETENTION_S:
                self._complete(key, self._record(key), now - age_s)
            refusal = suspicion.refusal
            if refusal is not None and not refusal.is_valid:
                continue
            # What is still refused has older crashes.
            max_age_s = _RETENTION_S if refusal is None else math.inf
            for crash in suspicion.crashes[:_MAX_CRASHES]:
                fits = len(crash.start) == START_DIGEST_BYTES
                if fits and 0.0 <= crash.age_s < max_age_s:
                    at = now - crash.age_s - MAX_TRANSIT_S
                    self._add(key, crash.start, _CrashRecord(at, local=False))
            if refusal is not None and key in self._records:
                self._records[key].refusal.merge(refusal, now)
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
        if not record.crashes:
            record.refusal = refusals.Refusal()

    def _drop_crash(self, key: bytes, start: bytes) -> None:
        """Removes a crash from its record and from the index by start."""
        del self._records[key].crashes[start]
        keys = self._requests_by_start[start]
        keys.discard(key)
        if not keys:
            del self._requests_by_start[start]

    def _drop(self, key: bytes) -> None:
        for start in list(self._records[key].crashes):
            self._drop_crash(key, start)
        del self._records[key]

    def _evict_oldest(self) -> None:
        while len(self._records) > _MAX_REQUESTS:
            self._drop(next(iter(self._records)))

    def _expire(self, now: float) -> None:
        expired = [
            key
            for key, record in self._records.items()
            if now - record.last_changed_at >= _RETENTION_S
        ]
        for key in expired:
            self._drop(key)


def _merged(
    known_crash: _CrashRecord | None, crash: _CrashRecord
) -> _CrashRecord:
    """Returns which record is kept of a crash that is reported once more.

    A start crashes only once. The process's own observation is more accurate
    than a report. Of two reports the earlier time is kept: repeated reports
    arrive a little later each time, so the latest time would never expire.
    """
    if known_crash is None or crash.local > known_crash.local:
        return crash
    if (
        known_crash.local > crash.local
        or known_crash.crashed_at <= crash.crashed_at
    ):
        return known_crash
    return crash


def fingerprint(request: servers.Request, customer_name: str) -> bytes:
    """Returns the digest by which processes name a request to each other."""
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


def digest_start(start: str) -> bytes:
    """Returns the digest by which processes name a server's start."""
    encoded = start.encode()
    return hashlib.blake2b(encoded, digest_size=START_DIGEST_BYTES).digest()
