"""Decides which attempts are handed to the backend server, and when.

A state machine without I/O: it takes events and the time and returns actions.
It is the only place that knows whether an attempt was handed to the backend
server, and every proof of "not run" relies on it.
"""

import dataclasses

from clementinegw.gate import _admission
from clementinegw.gate import _attempt_table
from clementinegw.gate import _queue
from clementinegw.gate import types

_State = _attempt_table.State


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The gate's load.

    Attributes:
      in_flight: Attempts at the backend server.
      queued: Attempts that wait for it.
      capacity: How many may be at the backend server at once.
    """

    in_flight: int
    queued: int
    capacity: int


class Gate:
    """Decides about every attempt that one agent receives."""

    def __init__(
        self, limits: types.Limits, incarnation: int, ready: bool = True
    ):
        """Initializes a gate without attempts.

        Args:
          limits: The gate's bounds.
          incarnation: The incarnation of this process. Other processes name it
            in their messages, so that messages to a predecessor are refused.
          ready: Whether the backend server may be given requests.
        """
        self._limits = limits
        self._attempts = _attempt_table.AttemptTable(limits)
        self._admission = _admission.Admission(
            self._attempts, incarnation, ready
        )
        self._queue = _queue.Queue()
        self._in_flight: dict[types.AttemptId, _attempt_table.Record] = {}
        self._alone = False
        self._crash_count = 0
        self._last_sequence = 0
        self._uncleared: set[bytes] = set()

    @property
    def ready(self) -> bool:
        """Whether new attempts are accepted."""
        return self._admission.accepting

    @property
    def leaving(self) -> bool:
        """Whether this agent is leaving."""
        return self._admission.leaving

    @property
    def loading(self) -> bool:
        """Whether new attempts are refused until a load is done."""
        return self._admission.loading

    @property
    def idle(self) -> bool:
        """Whether no attempt is in flight or queued."""
        return not self._in_flight and not len(self._queue)

    @property
    def load(self) -> Load:
        """The gate's load."""
        return Load(
            len(self._in_flight), len(self._queue), self._limits.capacity
        )

    @property
    def in_flight(self) -> tuple[types.AttemptId, ...]:
        """The attempts at the backend server."""
        return tuple(self._in_flight)

    def set_capacity(self, capacity: int) -> None:
        """Sets how many attempts the backend server runs at once."""
        if capacity != self._limits.capacity:
            self._limits = dataclasses.replace(self._limits, capacity=capacity)

    def submit(self, attempt: types.Attempt, now: float) -> list[types.Action]:
        """Hands over, queues or refuses a submitted attempt."""
        known = self._attempts.find(attempt.id)
        if known is not None:
            return self._on_duplicate(attempt, known)
        reason = self._admission.refusal(attempt, now)
        if reason is not None:
            self._attempts.add_refused(attempt.id, now)
            return [self._refusal(attempt.id, reason)]
        actions = self._evict_lower_priority(attempt, now)
        if actions is None:
            self._attempts.add_refused(attempt.id, now)
            return [self._refusal(attempt.id, types.RefusalReason.OVERLOADED)]
        self._last_sequence += 1
        record = self._attempts.add(attempt, now, self._last_sequence)
        self._queue.push(record)
        return actions + self._dispatch(now)

    def tombstone(
        self,
        attempt_id: types.AttemptId,
        include_earlier: bool,
        incarnation: int,
        submitted_at: float | None,
        now: float,
    ) -> tuple[bool, list[types.Action]]:
        """Prevents the hand-over of an attempt that was not handed over yet.

        Args:
          attempt_id: The attempt.
          include_earlier: Whether the request's earlier attempts are covered
            as well.
          incarnation: The incarnation that the attempt was submitted to.
          submitted_at: When the first covered attempt was submitted, in
            seconds on this agent's monotonic clock; None if unknown.
          now: The current time, monotonic seconds.

        Returns:
          Whether it is proved that no covered attempt was or will be handed
          over, and the actions to carry out.
        """
        if not self._admission.is_for_this(incarnation):
            # This process has no record of attempts sent to a predecessor.
            # Taking that for proof would report "not run" for a request that
            # the predecessor ran.
            return False, []
        records = self._find_records(attempt_id, include_earlier)
        covered = attempt_id.attempt if include_earlier else 1
        proved = self._is_proved(records, covered, submitted_at)
        actions: list[types.Action] = []
        for record in records:
            if record.state is _State.QUEUED:
                actions += self._withdraw(
                    record, types.RefusalReason.TOMBSTONED, now
                )
        self._attempts.add_tombstone(attempt_id, include_earlier, proved, now)
        return proved, actions

    def cancel(
        self, attempt_id: types.AttemptId, now: float
    ) -> list[types.Action]:
        """Cancels an attempt whose caller no longer waits.

        A non-idempotent attempt that was handed over continues: if it were
        interrupted, its effect would be unknown.
        """
        record = self._attempts.find(attempt_id)
        if record is None or record.attempt is None:
            return []
        if record.state is _State.QUEUED:
            return self._withdraw(record, types.RefusalReason.CANCELLED, now)
        if record.state is not _State.HANDED_OVER:
            return []
        if not record.attempt.idempotent:
            return []
        return [
            types.CancelBackend(attempt_id),
            types.Fail(attempt_id, types.FailureReason.CANCELLED),
            *self._finish(record, now),
        ]

    def on_answered(
        self, attempt_id: types.AttemptId, now: float
    ) -> list[types.Action]:
        """Handles the explicit end of a complete answer."""
        record = self._in_flight.get(attempt_id)
        if record is None or record.attempt is None:
            return []
        actions = self._finish(record, now)
        fingerprint = record.attempt.fingerprint
        if record.attempt.alone or fingerprint in self._uncleared:
            self._uncleared.discard(fingerprint)
            actions.append(types.ReportCleared((fingerprint,)))
        return actions

    def on_failed(
        self,
        attempt_id: types.AttemptId,
        reason: types.FailureReason,
        now: float,
    ) -> list[types.Action]:
        """Handles the end of an attempt without a complete answer."""
        record = self._in_flight.get(attempt_id)
        if record is None:
            return []
        return [types.Fail(attempt_id, reason), *self._finish(record, now)]

    def on_not_begun(
        self,
        attempt_id: types.AttemptId,
        reason: types.RefusalReason,
        now: float,
    ) -> list[types.Action]:
        """Handles proof that the backend server did not begin the attempt.

        No connection could be opened, or the server refused it before running.
        """
        record = self._in_flight.pop(attempt_id, None)
        if record is None:
            return []
        self._attempts.revert_hand_over(record, now)
        self._alone = False
        return [self._refusal(attempt_id, reason), *self._dispatch(now)]

    def on_crash(self, now: float) -> list[types.Action]:
        """Handles a crash of the backend server.

        All attempts in flight fail, and their fingerprints are reported.
        Queued attempts are refused with proof, so that they can run on another
        agent at once.
        """
        self._admission.ready = False
        records = list(self._in_flight.values())
        fingerprints = _fingerprints(records)
        actions = self._fail_all(types.FailureReason.CRASHED, now)
        actions += self._refuse_queue(types.RefusalReason.NOT_READY, now)
        if fingerprints:
            self._crash_count += 1
            self._uncleared.update(fingerprints)
            actions.append(types.ReportCrash(self._crash_count, fingerprints))
        return actions

    def on_stall(self, now: float) -> list[types.Action]:
        """Handles a backend server that stopped responding."""
        self._admission.ready = False
        cancels: list[types.Action] = [
            types.CancelBackend(attempt_id) for attempt_id in self._in_flight
        ]
        return (
            cancels
            + self._fail_all(types.FailureReason.STALLED, now)
            + self._refuse_queue(types.RefusalReason.NOT_READY, now)
        )

    def close(self, now: float) -> list[types.Action]:
        """Refuses new attempts until `on_loaded`; those in flight continue."""
        self._admission.ready = False
        return self._refuse_queue(types.RefusalReason.NOT_READY, now)

    def on_loaded(self, now: float) -> list[types.Action]:
        """Handles a backend server that is ready to serve."""
        self._admission.ready = True
        self._admission.loading = False
        return self._dispatch(now)

    def drain(self, now: float) -> list[types.Action]:
        """Refuses new attempts for a load, until `on_loaded`."""
        self._admission.loading = True
        return self._refuse_queue(types.RefusalReason.LOADING, now)

    def leave(self, now: float) -> list[types.Action]:
        """Refuses new attempts for good; those in flight continue."""
        self._admission.leaving = True
        return self._refuse_queue(types.RefusalReason.LEAVING, now)

    def on_tick(self, now: float) -> list[types.Action]:
        """Refuses overdue queued attempts and drops expired records."""
        self._attempts.expire(now)
        return self._dispatch(now)

    def _on_duplicate(
        self, attempt: types.Attempt, known: _attempt_table.Record
    ) -> list[types.Action]:
        # A frame was delivered twice, or an entry is defective. The first
        # submission is still valid, so a proof of "not run" would be false.
        if known.state is _State.REFUSED:
            return [self._refusal(attempt.id, types.RefusalReason.TOMBSTONED)]
        return [types.FailDuplicate(attempt.id)]

    def _evict_lower_priority(
        self, attempt: types.Attempt, now: float
    ) -> list[types.Action] | None:
        """Makes room in the queue for an attempt.

        Returns:
          The actions for a removed attempt, if one must be removed; None if
          the queue is full and no attempt in it has a lower priority.
        """
        if len(self._queue) < self._limits.max_queued or self._may_start(
            attempt
        ):
            return []
        lowest = self._queue.lowest()
        if lowest is None or lowest.attempt is None:
            return None
        if lowest.attempt.priority >= attempt.priority:
            return None
        return self._withdraw(lowest, types.RefusalReason.OVERLOADED, now)

    def _may_start(self, attempt: types.Attempt) -> bool:
        if not self.ready or self._alone:
            return False
        if attempt.alone:
            return not self._in_flight
        return len(self._in_flight) < self._limits.capacity

    def _dispatch(self, now: float) -> list[types.Action]:
        actions: list[types.Action] = []
        while (record := self._queue.first()) is not None:
            attempt = record.attempt
            if attempt is None or attempt.deadline <= now:
                actions += self._withdraw(
                    record, types.RefusalReason.DEADLINE, now
                )
                continue
            # An attempt that must run alone blocks those behind it. If they
            # passed it, the server might never become empty.
            if not self._may_start(attempt):
                break
            self._queue.remove(record)
            self._attempts.mark_handed_over(record)
            self._in_flight[attempt.id] = record
            self._alone = attempt.alone
            actions.append(types.HandOver(attempt.id))
        return actions

    def _finish(
        self, record: _attempt_table.Record, now: float
    ) -> list[types.Action]:
        assert record.attempt is not None
        del self._in_flight[record.attempt.id]
        self._alone = False
        self._attempts.finish(record, _State.ENDED, now)
        return self._dispatch(now)

    def _fail_all(
        self, reason: types.FailureReason, now: float
    ) -> list[types.Action]:
        records = self._in_flight
        self._in_flight = {}
        self._alone = False
        for record in records.values():
            self._attempts.finish(record, _State.ENDED, now)
        return [types.Fail(attempt_id, reason) for attempt_id in records]

    def _refuse_queue(
        self, reason: types.RefusalReason, now: float
    ) -> list[types.Action]:
        actions: list[types.Action] = []
        while (record := self._queue.first()) is not None:
            actions += self._withdraw(record, reason, now)
        return actions

    def _withdraw(
        self,
        record: _attempt_table.Record,
        reason: types.RefusalReason,
        now: float,
    ) -> list[types.Action]:
        assert record.attempt is not None
        self._queue.remove(record)
        self._attempts.finish(record, _State.REFUSED, now)
        return [self._refusal(record.attempt.id, reason)]

    def _find_records(
        self, attempt_id: types.AttemptId, include_earlier: bool
    ) -> list[_attempt_table.Record]:
        if include_earlier:
            return self._attempts.find_up_to(attempt_id)
        record = self._attempts.find(attempt_id)
        return [] if record is None else [record]

    def _is_proved(
        self,
        records: list[_attempt_table.Record],
        covered: int,
        submitted_at: float | None,
    ) -> bool:
        not_handed_over = (_State.QUEUED, _State.REFUSED)
        if any(record.state not in not_handed_over for record in records):
            return False
        if len(records) == covered:
            return True
        return self._attempts.proves_not_handed_over(submitted_at)

    def _refusal(
        self, attempt_id: types.AttemptId, reason: types.RefusalReason
    ) -> types.Refuse:
        return types.Refuse(attempt_id, reason, self._limits.retry_after_s)


def _fingerprints(records: list[_attempt_table.Record]) -> tuple[bytes, ...]:
    found = {
        record.attempt.fingerprint: None
        for record in records
        if record.attempt is not None and record.attempt.fingerprint
    }
    return tuple(found)
