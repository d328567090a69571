"""Replicated state of a service's swap leases.

A worker that holds a granted lease may be out of service to load weights. The
state is computed from the records of the stream `swaps-SERVICE`: every process
that has read the same records holds the same state without further
communication. Offsets of records serve as time, and no clock is used, so a
clock that jumps cannot cause one lease too many to be granted.
"""

import collections
import dataclasses

from clementinegw import exceptions
from clementinegw.platform import log
from clementinegw.wire import codec
from clementinegw.wire.gen.swaps import ttypes

# Ended leases are remembered so that a duplicate ASK that is appended late does
# not open its lease again.
_MAX_ENDED = 4_096


@dataclasses.dataclass(slots=True)
class Lease:
    """One worker's permit to be out of service, or its place in the queue.

    Attributes:
      lease_id: A random id chosen by the worker.
      instance_id: The worker's instance id.
      max_out: How many workers may be out, by this worker's settings.
      ttl_s: How long the lease lasts from `since_offset` on, in seconds.
      since_offset: The offset at which the lease's time starts: that of its
        latest record, or of the record that caused it to be granted.
      sequence: The number of the latest renewal; 0 before the first.
      asked_offset: The offset of its ASK; 0 when the ASK was not read.
      granted: Whether the worker may be out; otherwise it waits.
      seen_at: When this process read the record at `since_offset`, in seconds
        of its own clock; not part of the replicated state.
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
    """The leases after the records of the stream read so far."""

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
        """The offset from which to read next."""
        return self._next_offset

    @property
    def granted(self) -> list[Lease]:
        """The granted leases, oldest first."""
        return list(self._granted.values())

    @property
    def waiting(self) -> list[Lease]:
        """The waiting leases in queue order."""
        return list(self._waiting.values())

    def find(self, lease_id: bytes) -> Lease | None:
        """Returns a waiting or granted lease, or None."""
        return self._granted.get(lease_id) or self._waiting.get(lease_id)

    def has_ended(self, lease_id: bytes) -> bool:
        """Returns whether a lease was released or expired."""
        return lease_id in self._ended

    def find_by_instance(self, instance_id: str) -> Lease | None:
        """Returns an instance's lease, of which it has at most one."""
        return self.find(self._instances.get(instance_id, b""))

    def queue_position(self, lease_id: bytes) -> int:
        """Returns how many leases wait before this one; 0 if not waiting."""
        if lease_id not in self._waiting:
            return 0
        return list(self._waiting).index(lease_id)

    def take_changed(self) -> list[Lease]:
        """Returns the granted leases that changed since the last call.

        A lease has changed if its `since_offset` has. The list may contain
        leases that have ended in the meantime.
        """
        changed, self._changed = self._changed, []
        return changed

    def skip_to(self, offset: int) -> None:
        """Continues at a later offset; the records before it have expired."""
        self._next_offset = offset
        self._complete = False

    def apply(self, record: log.Record) -> None:
        """Applies the next record; an invalid record changes nothing."""
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
        # Each instance has one lease. If a new ASK replaced the older lease, a
        # late ASK would end the lease of a worker that is out, and its place
        # would be granted to another worker.
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
        # The ASK may have expired from the log before this process began to
        # read. Ignoring the renewal would leave a worker that is out uncounted.
        # Accepting it wrongly only makes a lease that had ended hold its place
        # until it expires.
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
        # The process that appended the record may have been paused and missed
        # a renewal. Without this check it would end the lease of a live holder,
        # and one worker too many would be out.
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
        """Grants waiting leases in queue order up to the limit.

        Workers may have settings of different revisions, so the lowest limit
        among the granted leases and the next waiting one applies.
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
