"""The fold of a service's swap leases: who may be out for loading.

Every process that has read the same records of `swaps-SERVICE` holds the same
state, without a word to the others: the offset of a record is its time. No
clock takes part, so that a clock that jumps cannot grant a lease too many.
"""

import collections
import dataclasses

from clementinegw import exceptions
from clementinegw.platform import log
from clementinegw.wire import codec
from clementinegw.wire.gen.swaps import ttypes

# Leases that ended are remembered so that a copy of an ASK that reaches the
# log late does not open its lease again.
_MAX_ENDED = 4_096


@dataclasses.dataclass(slots=True)
class Lease:
    """One worker's place among those that may be out.

    Attributes:
      lease_id: Chosen at random by the asker.
      instance_id: The asker.
      max_out: How many may be out, by the asker's settings.
      ttl_s: How long it lasts from `since_offset` on, in seconds.
      since_offset: The offset from which it lasts: of its newest record, or of
        the record by which it was granted.
      sequence: Of its newest renewal; 0 before the first.
      asked_offset: The offset of its ASK; 0 when that was not read.
      granted: Whether its worker may be out; else it waits.
      seen_at: When this process read the record at `since_offset`, by its own
        clock; not part of what all agree on.
    """

    lease_id: bytes
    instance_id: str
    max_out: int
    ttl_s: float
    since_offset: int
    sequence: int = 0
    asked_offset: int = 0
    granted: bool = False
    seen_at: float = 0.0


class Leases:
    """The state after a prefix of the stream."""

    def __init__(self) -> None:
        self._next_offset = 1
        self._complete = True
        self._granted: dict[bytes, Lease] = {}
        self._waiting: dict[bytes, Lease] = {}
        self._instances: dict[str, bytes] = {}
        self._ended: collections.OrderedDict[bytes, None]
        self._ended = collections.OrderedDict()
        self._changed: list[Lease] = []
        self._appliers = {
            ttypes.SwapKind.ASK: self._apply_ask,
            ttypes.SwapKind.RENEW: self._apply_renew,
            ttypes.SwapKind.RELEASE: self._apply_release,
            ttypes.SwapKind.EXPIRE: self._apply_expire,
        }

    @property
    def next_offset(self) -> int:
        """The offset to read from."""
        return self._next_offset

    @property
    def granted(self) -> list[Lease]:
        """The leases whose workers may be out, oldest first."""
        return list(self._granted.values())

    @property
    def waiting(self) -> list[Lease]:
        """The leases that wait, the next one first."""
        return list(self._waiting.values())

    def find(self, lease_id: bytes) -> Lease | None:
        """Returns a lease that waits or is granted."""
        return self._granted.get(lease_id) or self._waiting.get(lease_id)

    def has_ended(self, lease_id: bytes) -> bool:
        """Returns whether a lease was released or expired."""
        return lease_id in self._ended

    def find_by_instance(self, instance_id: str) -> Lease | None:
        """Returns an instance's lease; it has one at most."""
        return self.find(self._instances.get(instance_id, b""))

    def queue_position(self, lease_id: bytes) -> int:
        """Returns how many wait before a lease; 0 when it does not wait."""
        if lease_id not in self._waiting:
            return 0
        return list(self._waiting).index(lease_id)

    def take_changed(self) -> list[Lease]:
        """Returns the granted leases that changed since the last call.

        A lease has changed if its `since_offset` has. It may be one that has
        ended again.
        """
        changed, self._changed = self._changed, []
        return changed

    def skip_to(self, offset: int) -> None:
        """Goes on at a later offset: the records before it have expired."""
        self._next_offset = offset
        self._complete = False

    def apply(self, record: log.Record) -> None:
        """Applies the next record; one that makes no sense changes nothing."""
        self._next_offset = record.offset + 1
        try:
            parsed = codec.decode(ttypes.SwapRecord, record.value)
        except exceptions.DecodeError:
            return
        applier = self._appliers.get(parsed.kind)
        if applier is None or parsed.max_out < 1 or parsed.ttl_ms < 1:
            return
        applier(parsed, record.offset)
        self._grant(record.offset)

    def _apply_ask(self, parsed: ttypes.SwapRecord, offset: int) -> None:
        # One lease an instance. Were the older one replaced, an ASK that
        # reaches the log late would end the lease of a worker that is out,
        # and another would be granted its place.
        if parsed.instance_id in self._instances:
            return
        if parsed.lease_id in self._ended:
            return
        lease = _new_lease(parsed, offset)
        lease.asked_offset = offset
        self._waiting[lease.lease_id] = lease
        self._instances[lease.instance_id] = lease.lease_id

    def _apply_renew(self, parsed: ttypes.SwapRecord, offset: int) -> None:
        lease = self.find(parsed.lease_id)
        if lease is None:
            self._restore(parsed, offset)
            return
        if parsed.sequence <= lease.sequence:
            return
        lease.sequence = parsed.sequence
        lease.max_out = parsed.max_out
        if lease.granted:
            lease.ttl_s = parsed.ttl_ms / 1000.0
            lease.since_offset = offset
            self._changed.append(lease)

    def _restore(self, parsed: ttypes.SwapRecord, offset: int) -> None:
        # The ASK may have been among records that expired before this process
        # began to read. Left out, its worker would be out uncounted; taken in
        # wrongly, a lease that had ended holds its place until it expires.
        if self._complete or parsed.lease_id in self._ended:
            return
        if parsed.instance_id in self._instances:
            return
        lease = _new_lease(parsed, offset)
        lease.granted = True
        self._changed.append(lease)
        self._granted[lease.lease_id] = lease
        self._instances[lease.instance_id] = lease.lease_id

    def _apply_release(self, parsed: ttypes.SwapRecord, offset: int) -> None:
        del offset
        self._remove(parsed.lease_id)

    def _apply_expire(self, parsed: ttypes.SwapRecord, offset: int) -> None:
        del offset
        lease = self.find(parsed.lease_id)
        # An observer that was paused may not have seen a renewal. Its word
        # would end the lease of a live holder, and one too many would be out.
        if lease is not None and lease.since_offset <= parsed.seen:
            self._remove(parsed.lease_id)

    def _remove(self, lease_id: bytes) -> None:
        lease = self.find(lease_id)
        if lease is not None:
            del self._instances[lease.instance_id]
            (self._granted if lease.granted else self._waiting).pop(lease_id)
        self._ended[lease_id] = None
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def _grant(self, offset: int) -> None:
        """Grants in the order of asking, as far as all those out allow.

        Workers may have settings of different revisions; the smallest number
        among those out and the next one counts.
        """
        while self._waiting:
            lease = next(iter(self._waiting.values()))
            out = len(self._granted)
            others = self._granted.values()
            if out >= lease.max_out or any(out >= o.max_out for o in others):
                return
            del self._waiting[lease.lease_id]
            self._granted[lease.lease_id] = lease
            lease.granted = True
            lease.since_offset = offset
            self._changed.append(lease)


def _new_lease(parsed: ttypes.SwapRecord, offset: int) -> Lease:
    return Lease(
        lease_id=parsed.lease_id,
        instance_id=parsed.instance_id,
        max_out=parsed.max_out,
        ttl_s=parsed.ttl_ms / 1000.0,
        since_offset=offset,
        sequence=parsed.sequence,
    )
