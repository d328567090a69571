"""Anti-entropy: two members whose digests differ exchange what differs.

The asker sends four bytes of the fingerprint of each member it knows; the
other answers with the records it misses, as many as the budget allows, and
with the fingerprints that it does not know itself. At rest only the digests
are compared.
"""

from collections.abc import Iterable
import dataclasses
import random

from clementinegw.membership import _records
from clementinegw.membership import parameters
from clementinegw.membership import table as tables
from clementinegw.wire.gen.membership import ttypes

_FINGERPRINT_BYTES = _records.SHORT_FINGERPRINT_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequest:
    """What a request says.

    Attributes:
      fingerprints: The short fingerprints of the members the asker knows.
      parts: In how many parts the failure domain is compared.
      part: Which of them this is.
    """

    fingerprints: bytes
    parts: int
    part: int


class Sync:
    """When to ask, and what to answer."""

    def __init__(
        self,
        table: tables.Table,
        options: parameters.Parameters,
        rng: random.Random,
    ):
        self._table = table
        self._options = options
        self._rng = rng
        self._requested_at: dict[str, float] = {}

    def needs_request(
        self, failure_domain: str, digest: int, settled: bool, now: float
    ) -> bool:
        """Compares with a peer's digest; returns whether to ask it now.

        Digests differ for a moment while an update spreads. A process that
        has taken one in just now waits until it has heard the rest; one that
        always takes something in asks seldom.

        Args:
          failure_domain: Whose members the digest is over.
          digest: The peer's digest.
          settled: Whether this process's view is settled.
          now: Monotonic seconds.
        """
        mine = self._table.domain(failure_domain)
        if mine.digest == digest:
            return False
        options = self._options
        quiet = now - mine.changed_at >= options.sync_quiet_s
        period = options.sync_s if quiet else options.sync_busy_s
        if not settled:
            period = options.sync_unsettled_s
        requested_at = self._requested_at.get(failure_domain)
        if requested_at is not None and now - requested_at < period:
            return False
        self._requested_at[failure_domain] = now
        return True

    def reset_request_times(self) -> None:
        """Lets the next difference be asked about, as after a pause."""
        self._requested_at.clear()

    def build_request(self, failure_domain: str) -> SyncRequest:
        """Returns a request for what one does not know."""
        size = len(self._table.domain(failure_domain).ring)
        # A larger datagram would be cut into fragments, and lost with any.
        parts = -(-size // self._options.fingerprints_per_request) or 1
        part = self._rng.randrange(parts)
        fingerprints = b"".join(
            record.short_fingerprint
            for record in self._part(failure_domain, parts, part)
        )
        return SyncRequest(fingerprints, parts, part)

    def missing_records(
        self, failure_domain: str, request: SyncRequest, datagrams: int
    ) -> list[list[ttypes.Member]]:
        """Returns the records that an asker lacks, for each datagram."""
        known = _split(request.fingerprints)
        members = [
            record.member
            for record in self._part(
                failure_domain, request.parts, request.part
            )
            if record.short_fingerprint not in known
        ]
        # Askers who start together are told different members first, and
        # then tell each other.
        self._rng.shuffle(members)
        size = self._options.records_per_sync
        return [
            members[start : start + size]
            for start in range(0, len(members), size)
        ][:datagrams]

    def unknown_fingerprints(
        self, failure_domain: str, request: SyncRequest
    ) -> bytes:
        """Returns the asker's fingerprints that one does not know."""
        mine = {
            record.short_fingerprint
            for record in self._part(
                failure_domain, request.parts, request.part
            )
        }
        return b"".join(_split(request.fingerprints) - mine)

    def members_by_fingerprint(
        self, failure_domain: str, fingerprints: bytes
    ) -> list[ttypes.Member]:
        """Returns one's own members with some short fingerprints."""
        wanted = _split(fingerprints)
        return [
            record.member
            for record in self._table.present(failure_domain)
            if record.short_fingerprint in wanted
        ]

    def _part(
        self, failure_domain: str, parts: int, part: int
    ) -> Iterable[_records.Record]:
        records = self._table.present(failure_domain)
        if parts == 1:
            return records
        return [r for r in records if r.key % parts == part]


def _split(fingerprints: bytes) -> set[bytes]:
    return {
        fingerprints[start : start + _FINGERPRINT_BYTES]
        for start in range(0, len(fingerprints), _FINGERPRINT_BYTES)
    }
