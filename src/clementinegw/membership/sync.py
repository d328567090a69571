"""Anti-entropy: members with different digests exchange missing records.

The requester sends four bytes of the fingerprint of each member that it knows.
The peer answers with the records missing there, up to a limit, and with the
fingerprints that it does not know itself. While the views agree, only digests
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
    """The contents of a synchronisation request.

    Attributes:
      fingerprints: The short fingerprints of the members that the requester
        knows.
      parts: The number of parts in which the failure domain is compared.
      part: The index of this part.
    """

    fingerprints: bytes
    parts: int
    part: int


class Sync:
    """Decides when to send a request, and builds requests and answers."""

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
        """Returns whether to send a request to a peer with this digest now.

        Digests differ briefly while updates spread. So a process that has
        just applied an update sends requests less often.

        Args:
          failure_domain: The failure domain that the digest covers.
          digest: The peer's digest.
          settled: Whether this process's view is settled.
          now: Monotonic seconds.
        """
        own = self._table.domain(failure_domain)
        if own.digest == digest:
            return False
        options = self._options
        quiet = now - own.changed_at >= options.sync_quiet_s
        period = options.sync_s if quiet else options.sync_busy_s
        if not settled:
            period = options.sync_unsettled_s
        requested_at = self._requested_at.get(failure_domain)
        if requested_at is not None and now - requested_at < period:
            return False
        self._requested_at[failure_domain] = now
        return True

    def reset_request_times(self) -> None:
        """Allows a request at the next difference, for use after a pause."""
        self._requested_at.clear()

    def build_request(self, failure_domain: str) -> SyncRequest:
        """Returns a request for the records that this process lacks."""
        size = len(self._table.domain(failure_domain).ring)
        # A larger datagram would be fragmented, and lost with any fragment.
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
        """Returns the records that a requester lacks, for each datagram."""
        known = _split(request.fingerprints)
        members = [
            record.member
            for record in self._part(
                failure_domain, request.parts, request.part
            )
            if record.short_fingerprint not in known
        ]
        # Shuffling gives processes that start together different records
        # first; they then exchange these with each other.
        self._rng.shuffle(members)
        size = self._options.records_per_sync
        return [
            members[start : start + size]
            for start in range(0, len(members), size)
        ][:datagrams]

    def unknown_fingerprints(
        self, failure_domain: str, request: SyncRequest
    ) -> bytes:
        """Returns the requester's fingerprints unknown to this process."""
        own = {
            record.short_fingerprint
            for record in self._part(
                failure_domain, request.parts, request.part
            )
        }
        return b"".join(_split(request.fingerprints) - own)

    def members_by_fingerprint(
        self, failure_domain: str, fingerprints: bytes
    ) -> list[ttypes.Member]:
        """Returns the present members with one of some short fingerprints."""
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
