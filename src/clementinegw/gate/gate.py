"""The gate's decisions: what is handed to the backend server, and when.

A state machine without I/O. Events and the time go in, actions come out. It is
the one place that knows whether an attempt was handed to the backend server,
and all proof of "not run" rests on it.
"""

import dataclasses

from clementinegw.gate import _admission
from clementinegw.gate import _attempt_table
from clementinegw.gate import _queue
from clementinegw.gate import types

_State = _attempt_table.State


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How busy the gate is.

    Attributes:
      in_flight: Attempts at the backend server.
      queued: Attempts that wait for it.
      capacity: The most that may be at the backend server.
    """

    in_flight: int
    queued: int
    capacity: int


class Gate:
    """Decides over every attempt that reaches one agent."""

    def __init__(
        self, limits: types.Limits, incarnation: int, ready: bool = True
    ):
        """Starts empty.

        Args:
          limits: The bounds.
          incarnation: This process's; other processes name it in what they
            send, so that nothing meant for a predecessor is taken.
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
        """Whether new attempts are taken."""
        return self._admission.accepting

    @property
    def leaving(self) -> bool:
        """Whether this agent is leaving for good."""
        return self._admission.leaving

    @property
    def loading(self) -> bool:
        """Whether it takes nothing new because of a load."""
        return self._admission.loading

    @property
    def idle(self) -> bool:
        """Whether nothing is in flight or waits."""
        return not self._in_flight and not len(self._queue)

    @property
    def load(self) -> Load:
        """How busy the gate is."""
        return Load(
            len(self._in_flight), len(self._queue), self._limits.capacity
        )

    @property
    def in_flight(self) -> tuple[types.AttemptId, ...]:
        """The attempts at the backend server."""
        return tuple(self._in_flight)

    def set_capacity(self, capacity: int) -> None:
        """Takes over how much the backend server runs at once."""
        if capacity != self._limits.capacity:
            self._limits = dataclasses.replace(self._limits, capacity=capacity)

    def submit(self, attempt: types.Attempt, now: float) -> list[types.Action]:
        """Takes an attempt: hands it over, queues or refuses it."""
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
        """Forbids an attempt that was not handed over.

        Args:
          attempt_id: The attempt; with `include_earlier`, and all before it.
          include_earlier: Whether earlier attempts are meant as well.
          incarnation: Whom the attempt was submitted to.
          submitted_at: When the first of them was, by this agent's clock;
            None when unknown.
          now: The time.

        Returns:
          Whether it is proved that nothing was or will be handed over, and
          what to do besides.
        """
        if not self._admission.is_for_this(incarnation):
            # A replaced agent never saw the attempt. Were that taken for
            # proof, the caller would be told "not run" of what its
            # predecessor ran.
            return False, []
        records = self._find_records(attempt_id, include_earlier)
        asked = attempt_id.attempt if include_earlier else 1
        proved = self._is_proved(records, asked, submitted_at)
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
        """Takes the word that nobody waits for the attempt any more.

        A non-idempotent attempt that was handed over goes on: cut off in the
        middle, nobody could say what it had done.
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
        """Takes the explicit end of a whole answer."""
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
        """Takes the end of one attempt without a whole answer."""
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
        """Takes proof that the backend server did not begin the attempt.

        No connection could be made, or the server refused before running.
        """
        record = self._in_flight.pop(attempt_id, None)
        if record is None:
            return []
        self._attempts.revert_hand_over(record, now)
        self._alone = False
        return [self._refusal(attempt_id, reason), *self._dispatch(now)]

    def on_crash(self, now: float) -> list[types.Action]:
        """Takes the word that the backend server crashed.

        Every attempt in flight is lost; their fingerprints are named. What
        waits is refused, with proof, so that it runs elsewhere at once.
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
        """Takes the word that the backend server stopped answering."""
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
        """Takes nothing new until `on_loaded`; nothing is said of what runs."""
        self._admission.ready = False
        return self._refuse_queue(types.RefusalReason.NOT_READY, now)

    def on_loaded(self, now: float) -> list[types.Action]:
        """Takes the word that the backend server is ready to serve."""
        self._admission.ready = True
        self._admission.loading = False
        return self._dispatch(now)

    def drain(self, now: float) -> list[types.Action]:
        """Takes nothing new until `on_loaded`; what is in flight finishes."""
        self._admission.loading = True
        return self._refuse_queue(types.RefusalReason.LOADING, now)

    def leave(self, now: float) -> list[types.Action]:
        """Takes nothing new ever again; what is in flight finishes."""
        self._admission.leaving = True
        return self._refuse_queue(types.RefusalReason.LEAVING, now)

    def on_tick(self, now: float) -> list[types.Action]:
        """Refuses what waited past its deadline and forgets what is old."""
        self._attempts.expire(now)
        return self._dispatch(now)

    def _on_duplicate(
        self, attempt: types.Attempt, known: _attempt_table.Record
    ) -> list[types.Action]:
        # A frame that is delivered twice, or a defect at an entry. The first
        # submission stands; a proof of "not run" here would be untrue.
        if known.state is _State.REFUSED:
            return [self._refusal(attempt.id, types.RefusalReason.TOMBSTONED)]
        return [types.FailDuplicate(attempt.id)]

    def _evict_lower_priority(
        self, attempt: types.Attempt, now: float
    ) -> list[types.Action] | None:
        """Returns what makes room in the queue; None when there is none."""
        if len(self._queue) < self._limits.max_queued or self._may_start(
            attempt
        ):
            return []
        worst = self._queue.lowest()
        if worst is None or worst.attempt is None:
            return None
        if worst.attempt.priority >= attempt.priority:
            return None
        return self._withdraw(worst, types.RefusalReason.OVERLOADED, now)

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
            # An attempt that must run alone and is first in line holds the
            # others back: were they let past, it might never find the server
            # empty.
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
        asked: int,
        submitted_at: float | None,
    ) -> bool:
        never = (_State.QUEUED, _State.REFUSED)
        if any(record.state not in never for record in records):
            return False
        if len(records) == asked:
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
