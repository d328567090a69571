"""Limits how many workers of a service are out to load, by leases in the log.

The module does no I/O. A worker asks for a lease before it leaves service,
confirms the grant with a renewal of its own, and releases the lease once it
serves again. docs/design/weights.md explains the reasons and the assumptions
about the platform.

The holder measures a lease from before it sent a renewal, and only once it has
read that renewal back. All others measure it from when they read the renewal.
A lease is therefore never ended by others before its holder has given it up.
"""

import dataclasses
import math
import random

from clementinegw.platform import log
from clementinegw.weights import _leases
from clementinegw.weights import _swap_types
from clementinegw.wire import codec
from clementinegw.wire.gen.swaps import ttypes

_ID_BYTES = 8
_Kind = ttypes.SwapKind
Timing = _swap_types.Timing
Append = _swap_types.Append
Granted = _swap_types.Granted
Covered = _swap_types.Covered
Lost = _swap_types.Lost
Action = _swap_types.Action


@dataclasses.dataclass(slots=True)
class _PendingAppend:
    """The latest append, until its effect has been read back.

    Attributes:
      kind: The kind of the record.
      lease_id: The id of the lease that the record is about.
      sent_at: When the append was requested, before any of it was sent, in
        monotonic seconds.
      sequence: The number of a renewal; otherwise 0.
      seen_offset: The lease's `since_offset` as read when a RELEASE or an
        EXPIRE was appended; otherwise 0.
    """

    kind: ttypes.SwapKind
    lease_id: bytes
    sent_at: float
    sequence: int
    seen_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Renewal:
    """A renewal that was appended and not yet read back.

    Attributes:
      sent_at: When the append was requested, before any of it was sent, in
        monotonic seconds.
      ttl_s: The duration of the renewed lease, in seconds.
    """

    sent_at: float
    ttl_s: float


def max_out(share: float, workers: int) -> int:
    """Returns the share of the workers, rounded down but at least one."""
    # The addend corrects float errors: 0.29 * 100 is just below 29.
    return max(1, int(share * workers + 1e-9))


class Swap:
    """The lease of one worker."""

    def __init__(
        self,
        instance_id: str,
        rng: random.Random,
        timing: Timing | None = None,
    ):
        """Initializes the object without a lease.

        Args:
          instance_id: The instance id of the worker's agent.
          rng: The source of lease ids and of the random delay of ASKs.
          timing: The time settings of the protocol.
        """
        self._instance_id = instance_id
        self._rng = rng
        self._timing = timing or Timing()
        self._leases = _leases.Leases()
        self._wanted = False
        self._max_out = 1
        self._lease_id = b""
        self._released_id = b""
        self._ask_at = 0.0
        self._asked_at = 0.0
        self._ask_seen = False
        self._sequence = 0
        self._pending: _PendingAppend | None = None
        self._renewals: dict[int, _Renewal] = {}
        self._confirmed = -1
        self._held = False
        self._valid_until = 0.0
        self._renew_at = 0.0
        self._cover_wanted = False
        self._no_grant_until = 0.0
        # No other worker's lease can have expired before this time.
        self._expire_at = math.inf

    @property
    def active(self) -> bool:
        """Whether the stream must be followed."""
        return self._wanted or bool(self._released_id)

    @property
    def next_offset(self) -> int:
        """The offset from which to read next."""
        return self._leases.next_offset

    @property
    def held(self) -> bool:
        """Whether the worker may be out, as far as it knows."""
        return self._held

    @property
    def queue_counts(self) -> tuple[int, int]:
        """How many workers are out, and how many wait before this one."""
        return len(self._leases.granted), self._leases.queue_position(
            self._lease_id
        )

    @property
    def read_pause_s(self) -> float:
        """How long to wait before the next read, in seconds.

        Zero while the effect of an append is awaited. For a worker far back in
        the queue nothing changes soon, and hundreds of workers that read each
        record at once would be the main load on the log.
        """
        if self._pending is not None:
            return 0.0
        if self._held:
            return self._timing.max_read_pause_s
        pause_s = (
            self._timing.read_pause_per_place_s
            * self._leases.queue_position(self._lease_id)
        )
        return min(pause_s, self._timing.max_read_pause_s)

    def set_max_load_s(self, max_load_s: float) -> None:
        """Sets the longest time a load may take, in seconds."""
        self._timing = dataclasses.replace(self._timing, max_load_s=max_load_s)

    def acquire(self, now: float, limit: int, spread_s: float = 0.0) -> None:
        """Requests a lease; further calls only update the limit.

        Args:
          now: The current time, in monotonic seconds.
          limit: How many workers may be out; see `max_out`.
          spread_s: The ASK is sent at a random time within this many seconds,
            so that a fleet that is ready at once does not overload the log.
        """
        self._max_out = limit
        if self._wanted:
            return
        self._wanted = True
        self._cover_wanted = False
        self._renew_at = 0.0
        self._ask_at = now + self._rng.uniform(0.0, spread_s)

    def cover(self) -> None:
        """Requests that the lease cover a whole load; `Covered` follows."""
        self._cover_wanted = True

    def release(self) -> None:
        """Releases the lease or the place in the queue.

        The lease's id is not used again. If the log is slow, a RELEASE in
        flight can end the lease at any later time, also when the worker is out
        once more and would rely on it.
        """
        self._wanted = False
        self._held = False
        self._cover_wanted = False
        self._pending = None
        self._released_id = self._lease_id or self._released_id
        self._lease_id = b""

    def on_page(self, now: float, page: log.Page) -> list[Action]:
        """Handles a page that was read from `next_offset`.

        Args:
          now: The current time, in monotonic seconds.
          page: The page.
        """
        if page.next_offset < self._leases.next_offset:
            # The log was replaced by an older copy, which may lack granted
            # leases whose workers are still out. These workers' own clocks end
            # the leases within the longest duration of a lease.
            self._reset(now + self._timing.load_ttl_s)
        if page.first_offset > self._leases.next_offset:
            self._reset(self._no_grant_until)
            self._leases.skip_to(page.first_offset)
        for record in page.records:
            if record.offset >= self._leases.next_offset:
                self._leases.apply(record)
        self._record_seen_times(now)
        return self._advance(now)

    def on_tick(self, now: float) -> list[Action]:
        """Performs the steps that are due."""
        return self._advance(now)

    def _reset(self, no_grant_until: float) -> None:
        self._leases = _leases.Leases()
        self._no_grant_until = no_grant_until
        self._expire_at = math.inf

    def _record_seen_times(self, now: float) -> None:
        """Records when each granted lease was last seen to change."""
        for lease in self._leases.take_changed():
            lease.seen_at = now
            self._expire_at = min(self._expire_at, now + lease.ttl_s)

    def _advance(self, now: float) -> list[Action]:
        own = self._leases.find(self._lease_id)
        # A worker that was paused may read its ASK and the end of its lease in
        # one page. If it repeated that ASK, every reader would ignore it, and
        # the worker would append it forever without being granted a lease.
        ended = self._leases.has_ended(self._lease_id)
        self._ask_seen |= own is not None or ended
        actions = self._confirm(now, own)
        actions += self._check_expiry(now, own)
        if self._is_pending(now):
            return actions
        self._pending = None
        step = self._advance_acquire if self._wanted else self._advance_release
        appended = step(now, own)
        return actions + ([appended] if appended is not None else [])

    def _confirm(self, now: float, own: _leases.Lease | None) -> list[Action]:
        """Updates the lease's times from the renewal that was read back."""
        if own is None or not own.granted or not self._wanted:
            return []
        # The ASK itself counts as the first renewal if it was granted at once.
        # If it was granted later, it is unknown how much time is left.
        if own.sequence == 0 and own.since_offset != own.asked_offset:
            return []
        renewal = self._renewals.get(own.sequence)
        if renewal is None or own.sequence <= self._confirmed:
            return []
        self._confirmed = own.sequence
        for sequence in [s for s in self._renewals if s <= own.sequence]:
            del self._renewals[sequence]
        share = self._timing.holder_share
        self._valid_until = renewal.sent_at + renewal.ttl_s * share
        self._renew_at = renewal.sent_at + renewal.ttl_s / 3
        return self._grant(now, renewal)

    def _grant(self, now: float, renewal: _Renewal) -> list[Action]:
        actions: list[Action] = []
        if now >= self._valid_until or now < self._no_grant_until:
            return actions
        if not self._held:
            self._held = True
            actions.append(Granted())
        send_before = renewal.sent_at + self._timing.max_send_delay_s
        covers = renewal.ttl_s >= self._timing.load_ttl_s
        if self._cover_wanted and covers and now < send_before:
            self._cover_wanted = False
            actions.append(Covered(send_before))
        return actions

    def _check_expiry(
        self, now: float, own: _leases.Lease | None
    ) -> list[Action]:
        in_time = own is not None and own.granted and now < self._valid_until
        if in_time or not self._held:
            return []
        # Without this check, a holder that was paused or disconnected from the
        # log would continue to load while another worker has its place.
        self._held = False
        return [Lost()]

    def _is_pending(self, now: float) -> bool:
        pending = self._pending
        if pending is None or now >= pending.sent_at + self._timing.retry_s:
            return False
        lease = self._leases.find(pending.lease_id)
        if pending.kind in (_Kind.RELEASE, _Kind.EXPIRE):
            return (
                lease is not None and lease.since_offset <= pending.seen_offset
            )
        return lease is None or lease.sequence < pending.sequence

    def _advance_release(
        self, now: float, own: _leases.Lease | None
    ) -> Append | None:
        del own
        lease = self._leases.find(self._released_id)
        if lease is None:
            self._released_id = b""
            return None
        return self._append_end(now, _Kind.RELEASE, lease)

    def _advance_acquire(
        self, now: float, own: _leases.Lease | None
    ) -> Append | None:
        if own is None:
            return self._append_ask(now)
        if own.granted:
            return self._renew_if_due(now, own)
        if now > self._asked_at + self._timing.refresh_s:
            # The log keeps records for a limited time. Workers that begin to
            # read after the ASK has expired would not see this place in the
            # queue.
            return self._append_end(now, _Kind.RELEASE, own)
        if own.max_out != self._max_out:
            return self._append_renewal(now, own, self._timing.ttl_s)
        return self._expire_overdue(now)

    def _append_ask(self, now: float) -> Append | None:
        if now < max(self._ask_at, self._no_grant_until):
            return None
        # A lease of this worker that was released earlier or left behind by an
        # earlier process. The worker serves now, and its next lease begins
        # once that one has ended.
        stale = self._leases.find_by_instance(self._instance_id)
        if stale is not None:
            return self._append_end(now, _Kind.RELEASE, stale)
        if self._ask_seen or not self._lease_id:
            # A lease that has ended is never reopened.
            self._lease_id = self._rng.randbytes(_ID_BYTES)
            self._ask_seen = False
            self._sequence = 0
            self._confirmed = -1
            self._renew_at = 0.0
            self._renewals = {0: _Renewal(now, self._timing.ttl_s)}
            self._asked_at = now
        return self._append(now, _Kind.ASK, self._lease_id, self._timing.ttl_s)

    def _renew_if_due(self, now: float, own: _leases.Lease) -> Append | None:
        due = now >= self._renew_at or self._cover_wanted
        if not due and own.max_out == self._max_out:
            return None
        covered = own.ttl_s >= self._timing.load_ttl_s
        long = self._cover_wanted or covered
        ttl_s = self._timing.load_ttl_s if long else self._timing.ttl_s
        return self._append_renewal(now, own, ttl_s)

    def _append_renewal(
        self, now: float, own: _leases.Lease, ttl_s: float
    ) -> Append:
        self._sequence += 1
        self._renewals[self._sequence] = _Renewal(now, ttl_s)
        return self._append(
            now, _Kind.RENEW, own.lease_id, ttl_s, sequence=self._sequence
        )

    def _expire_overdue(self, now: float) -> Append | None:
        """Ends the lease of a holder that has not renewed it in time."""
        if now <= self._expire_at:
            return None
        delay_s = self._timing.stagger_s * self._leases.queue_position(
            self._lease_id
        )
        granted = self._leases.granted
        ends = [lease.seen_at + lease.ttl_s for lease in granted]
        self._expire_at = min(ends, default=math.inf)
        for lease, end in zip(granted, ends, strict=True):
            if now > end + delay_s:
                return self._append_end(now, _Kind.EXPIRE, lease)
        return None

    def _append_end(
        self, now: float, kind: ttypes.SwapKind, lease: _leases.Lease
    ) -> Append:
        return self._append(
            now,
            kind,
            lease.lease_id,
            self._timing.ttl_s,
            seen=lease.since_offset,
        )

    def _append(
        self,
        now: float,
        kind: ttypes.SwapKind,
        lease_id: bytes,
        ttl_s: float,
        sequence: int = 0,
        seen: int = 0,
    ) -> Append:
        self._pending = _PendingAppend(kind, lease_id, now, sequence, seen)
        return Append(
            codec.encode(
                ttypes.SwapRecord(
                    kind=kind,
                    lease_id=lease_id,
                    instance_id=self._instance_id,
                    max_out=self._max_out,
                    ttl_ms=round(ttl_s * 1000),
                    sequence=sequence,
                    seen=seen,
                )
            )
        )
