"""The table of members with their digests and tombstones."""

import bisect
from collections.abc import Iterator

from clementinegw import types
from clementinegw.membership import _records
from clementinegw.wire.gen.membership import ttypes

_SIGNED_64 = 1 << 63


class DomainTable:
    """The present members of one failure domain and their digest.

    Attributes:
      region: The region it belongs to; empty until that is known.
      entries: The number of present entries.
      changed_at: When the digest last changed, in monotonic seconds.
    """

    def __init__(self, region: str):
        self.region = region
        self.changed_at = 0.0
        self.entries = 0
        self._hash = 0
        # Sorted by (key, id); each member probes its successors on the ring.
        self._ring: list[tuple[int, str]] = []

    @property
    def digest(self) -> int:
        """The signed 64-bit hash over all present members."""
        return self._hash - _SIGNED_64

    @property
    def ring(self) -> list[tuple[int, str]]:
        """The present members in ring order, as (key, id)."""
        return self._ring

    def toggle_fingerprint(self, fingerprint: int, now: float) -> None:
        """Adds a member's fingerprint to the digest or removes it."""
        self._hash ^= fingerprint
        self.changed_at = now

    def insert(self, key: int, instance_id: str) -> None:
        """Inserts a member into the ring."""
        place = bisect.bisect_left(self._ring, (key, instance_id))
        if self._ring[place : place + 1] != [(key, instance_id)]:
            self._ring.insert(place, (key, instance_id))

    def remove(self, key: int, instance_id: str) -> None:
        """Removes a member from the ring."""
        place = bisect.bisect_left(self._ring, (key, instance_id))
        if self._ring[place : place + 1] == [(key, instance_id)]:
            del self._ring[place]

    def successors(self, key: int, instance_id: str) -> Iterator[str]:
        """Yields the other members in ring order, the next one first."""
        place = bisect.bisect_right(self._ring, (key, instance_id))
        for _, other in self._ring[place:]:
            yield other
        for _, other in self._ring[:place]:
            if other != instance_id:
                yield other


class Table:
    """All members known to this process."""

    def __init__(self):
        self._records: dict[str, _records.Record] = {}
        self._by_key: dict[int, _records.Record] = {}
        self._domains: dict[str, DomainTable] = {}
        self._tombstones: set[str] = set()

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[_records.Record]:
        return iter(self._records.values())

    @property
    def domains(self) -> dict[str, DomainTable]:
        """The failure domains by name."""
        return self._domains

    def domain(self, name: str, region: str = "") -> DomainTable:
        """Returns a failure domain's table; creates it if needed."""
        table = self._domains.get(name)
        if table is None:
            table = self._domains[name] = DomainTable(region)
        table.region = table.region or region
        return table

    def get(self, instance_id: str) -> _records.Record | None:
        """Returns the record of a member, tombstones included."""
        return self._records.get(instance_id)

    def apply(self, member: ttypes.Member, now: float) -> bool:
        """Applies an update if it supersedes the known record.

        Args:
          member: The update.
          now: Monotonic seconds.

        Returns:
          Whether the update was applied.
        """
        known = self._records.get(member.instance_id)
        if known is not None:
            if not _records.supersedes(member, known.member):
                return False
            self._unindex(known, now)
        record = _records.record_of(member, now)
        if known is not None:
            record.report = known.report
        self._records[member.instance_id] = record
        self._by_key[record.key] = record
        self._index(record, now)
        return True

    def apply_report(self, report: ttypes.Report) -> bool:
        """Applies a report if it is newer; returns whether it was applied."""
        record = self._by_key.get(report.member_key)
        if record is None:
            return False
        known = record.report
        if known is not None and (
            (known.incarnation, known.sequence)
            >= (report.incarnation, report.sequence)
        ):
            return False
        record.report = report
        return True

    def drop_tombstones(self, before: float) -> list[str]:
        """Drops old tombstones.

        Args:
          before: Tombstones older than this are dropped, monotonic seconds.

        Returns:
          The ids of the members that were dropped.
        """
        old = [
            instance_id
            for instance_id in self._tombstones
            if self._records[instance_id].changed_at < before
        ]
        for instance_id in old:
            self._tombstones.discard(instance_id)
            record = self._records.pop(instance_id)
            self._by_key.pop(record.key, None)
        return old

    def present(self, failure_domain: str) -> list[_records.Record]:
        """Returns the present members of a failure domain in ring order."""
        ring = self.domain(failure_domain).ring
        return [self._records[instance_id] for _, instance_id in ring]

    def _index(self, record: _records.Record, now: float) -> None:
        member = record.member
        if not record.present:
            self._tombstones.add(member.instance_id)
            return
        domain = self.domain(member.failure_domain, member.region)
        domain.insert(record.key, member.instance_id)
        domain.entries += member.role == types.Role.ENTRY
        domain.toggle_fingerprint(record.fingerprint, now)

    def _unindex(self, record: _records.Record, now: float) -> None:
        member = record.member
        if not record.present:
            self._tombstones.discard(member.instance_id)
            return
        domain = self.domain(member.failure_domain, member.region)
        domain.remove(record.key, member.instance_id)
        domain.entries -= member.role == types.Role.ENTRY
        domain.toggle_fingerprint(record.fingerprint, now)
