"""Tracks requests that may crash backend servers, from the stream `suspects`.

An agent reports the requests that were in flight when its backend server
crashed. A request that was in flight at one crash since it last completed is a
suspect: it runs alone, on one server at a time in the whole fleet. After a
second crash it is refused by all entries. A request that merely shared a batch
is cleared when it completes. See docs/design/suspects.md.
"""

import dataclasses

from clementinegw.requests import types as request_types
from clementinegw.wire.gen.requests import ttypes

_CRASHES_TO_REFUSE = 2
_MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How long and how many requests are remembered.

    Attributes:
      retention_s: How long a request is remembered after its latest crash, in
        seconds.
      max_fingerprints: The maximum number of remembered requests.
    """

    retention_s: float = 86_400.0
    max_fingerprints: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashId:
    """Identifies one crash.

    Attributes:
      instance_id: The instance id of the agent that observed it.
      incarnation: The incarnation of that agent.
      sequence: The number of the crash among those that this incarnation
        observed.
    """

    instance_id: str
    incarnation: int
    sequence: int


@dataclasses.dataclass(slots=True)
class _RequestRecord:
    """The crashes at which a request was in flight, by epoch seconds."""

    crashes: dict[CrashId, float] = dataclasses.field(default_factory=dict)

    @property
    def last_crash_at(self) -> float:
        return max(self.crashes.values())


class SuspectTracker:
    """Tracks which requests were in flight at crashes, by fingerprint.

    Records may arrive repeatedly and in any order: from the log, and earlier in
    notices.
    """

    def __init__(self, limits: Limits | None = None):
        """Initializes the tracker without any suspects.

        Args:
          limits: How long and how many requests are remembered.
        """
        self._limits = limits or Limits()
        self._records: dict[bytes, _RequestRecord] = {}
        # When a request last completed, for crashes that are reported late.
        self._completed_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Returns whether a request is a suspect or refused."""
        return fingerprint in self._records

    def record_crash(self, report: ttypes.CrashReport) -> tuple[bytes, ...]:
        """Records a crash.

        Returns:
          The fingerprints for which this crash was not known yet.
        """
        crash = CrashId(report.instance_id, report.incarnation, report.sequence)
        time = report.time_ms / _MS_PER_S
        self._expire(time)
        new_fingerprints = []
        for fingerprint in report.fingerprints:
            # The request completed after the crash, which cleared it.
            if self._completed_at.get(fingerprint, 0.0) >= time:
                continue
            record = self._records.setdefault(fingerprint, _RequestRecord())
            if crash not in record.crashes:
                record.crashes[crash] = time
                new_fingerprints.append(fingerprint)
        self._evict_excess()
        return tuple(new_fingerprints)

    def record_completion(self, message: ttypes.Cleared) -> None:
        """Records that requests completed."""
        time = message.time_ms / _MS_PER_S
        for fingerprint in message.fingerprints:
            self._complete(fingerprint, time)

    def verdict(self, fingerprint: bytes) -> request_types.SuspectVerdict:
        """Returns how a request may run."""
        record = self._records.get(fingerprint)
        if record is None:
            return request_types.Clear()
        if len(record.crashes) >= _CRASHES_TO_REFUSE:
            return request_types.Refuse()
        return request_types.RunAlone()

    def _complete(self, fingerprint: bytes, time: float) -> None:
        self._completed_at.pop(fingerprint, None)
        self._completed_at[fingerprint] = time
        while len(self._completed_at) > self._limits.max_fingerprints:
            del self._completed_at[next(iter(self._completed_at))]
        record = self._records.get(fingerprint)
        if record is None:
            return
        later = {c: t for c, t in record.crashes.items() if t > time}
        record.crashes = later
        if not later:
            del self._records[fingerprint]

    def _expire(self, time: float) -> None:
        oldest = time - self._limits.retention_s
        expired = [
            f
            for f, record in self._records.items()
            if record.last_crash_at < oldest
        ]
        for fingerprint in expired:
            del self._records[fingerprint]

    def _evict_excess(self) -> None:
        excess = len(self._records) - self._limits.max_fingerprints
        if excess <= 0:
            return
        # Refused requests are evicted last: without their record they would
        # crash two more servers, a suspect only one.
        order = sorted(
            self._records,
            key=lambda f: (
                len(self._records[f].crashes) >= _CRASHES_TO_REFUSE,
                self._records[f].last_crash_at,
            ),
        )
        for fingerprint in order[:excess]:
            del self._records[fingerprint]
