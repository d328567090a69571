"""What the gate remembers of attempts, in bounded memory.

An agent's answer "it was not handed over" is proof only as far back as its
memory goes. Each record that is dropped early moves a mark forward; what may
lie behind the mark is not proved and not handed over.
"""

import collections
import dataclasses
import enum
import math

from clementinegw.gate import types


class State(enum.Enum):
    """What became of an attempt."""

    QUEUED = "queued"
    HANDED_OVER = "handed_over"
    ENDED = "ended"  # it was handed over
    REFUSED = "never"  # it was not and never will be
    UNPROVED = "doubtful"  # it never will be; whether it was is forgotten


@dataclasses.dataclass(slots=True)
class Record:
    """One attempt.

    Attributes:
      state: What became of it.
      attempt: The submission; None for a tombstone that came first.
      seen_at: When the gate first heard of it.
      sequence: Its place among the submissions.
    """

    state: State
    attempt: types.Attempt | None
    seen_at: float
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class _KeyRecord:
    offset: int
    handed_over: bool
    # The newest attempt; the key is remembered as long as that attempt is.
    newest_attempt: types.AttemptId


class _ExpiryQueue:
    """Attempts in a final state, in the order in which they are dropped.

    Attributes:
      entries: When to drop a record, and which.
      watermark: The newest time at which a dropped record was first seen.
    """

    def __init__(self) -> None:
        self.entries: collections.deque[tuple[float, types.AttemptId]] = (
            collections.deque()
        )
        self.watermark = -math.inf


class AttemptTable:
    """Attempts, tombstones and idempotency keys."""

    def __init__(self, limits: types.Limits):
        """Starts empty; knows nothing of an earlier incarnation."""
        self._limits = limits
        self._records: dict[types.AttemptId, Record] = {}
        self._tombstoned_up_to: dict[str, int] = {}
        self._keys: dict[str, _KeyRecord] = {}
        # The newest claim of a dropped, handed-over key, by shard.
        self._claim_watermarks: dict[int, int] = {}
        # Apart, so that a flood of refusals does not push out what was run.
        self._ended = _ExpiryQueue()
        self._refused = _ExpiryQueue()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, attempt_id: types.AttemptId) -> Record | None:
        """Returns what is known of an attempt."""
        return self._records.get(attempt_id)

    def add(self, attempt: types.Attempt, now: float, sequence: int) -> Record:
        """Enters a submission as queued."""
        record = Record(State.QUEUED, attempt, now, sequence)
        self._records[attempt.id] = record
        if attempt.key:
            known = self._keys.get(attempt.key)
            if known is None:
                self._keys[attempt.key] = _KeyRecord(
                    attempt.claim_offset, False, attempt.id
                )
            else:
                known.offset = max(known.offset, attempt.claim_offset)
                known.newest_attempt = attempt.id
        return record

    def mark_handed_over(self, record: Record) -> None:
        """Notes that the attempt goes to the backend server."""
        record.state = State.HANDED_OVER
        if record.attempt is not None and record.attempt.key:
            self._keys[record.attempt.key].handed_over = True

    def revert_hand_over(self, record: Record, now: float) -> None:
        """Notes that the hand-over did not reach the backend server."""
        if record.attempt is not None and record.attempt.key:
            self._keys[record.attempt.key].handed_over = False
        self.finish(record, State.REFUSED, now)

    def finish(self, record: Record, state: State, now: float) -> None:
        """Notes an attempt's final state."""
        record.state = state
        if record.attempt is not None:
            since = max(now, record.attempt.deadline)
            expiring = self._ended if state is State.ENDED else self._refused
            self._schedule_expiry(expiring, since, record.attempt.id, now)

    def add_refused(self, attempt_id: types.AttemptId, now: float) -> None:
        """Notes an attempt that was refused on arrival."""
        self._add_final(attempt_id, State.REFUSED, now)

    def add_tombstone(
        self,
        attempt_id: types.AttemptId,
        include_earlier: bool,
        proved: bool,
        now: float,
    ) -> None:
        """Refuses an attempt, or all up to it, that may still arrive.

        Args:
          attempt_id: The attempt.
          include_earlier: Whether earlier ones are meant as well.
          proved: Whether it was certainly not handed over. Were a tombstone
            on a forgotten attempt kept like any other, asking a second time
            would get the proof that the first time was denied.
          now: The time.
        """
        if include_earlier:
            known = self._tombstoned_up_to.get(attempt_id.request_id, 0)
            self._tombstoned_up_to[attempt_id.request_id] = max(
                known, attempt_id.attempt
            )
        if attempt_id not in self._records:
            state = State.REFUSED if proved else State.UNPROVED
            self._add_final(attempt_id, state, now)

    def is_tombstoned(self, attempt_id: types.AttemptId) -> bool:
        """Whether a tombstone forbids the attempt."""
        return attempt_id.attempt <= self._tombstoned_up_to.get(
            attempt_id.request_id, 0
        )

    def find_up_to(self, attempt_id: types.AttemptId) -> list[Record]:
        """Returns what is known of the request's attempts up to this one."""
        numbers = range(1, attempt_id.attempt + 1)
        ids = (types.AttemptId(attempt_id.request_id, n) for n in numbers)
        found = (self._records.get(i) for i in ids)
        return [record for record in found if record is not None]

    def check_fence(self, attempt: types.Attempt) -> types.RefusalReason | None:
        """Says whether the attempt's key forbids it."""
        if attempt.claim_offset <= self._claim_watermarks.get(attempt.shard, 0):
            # Claims come in the order of their offsets, but for late frames.
            # Without the mark an attempt whose key was forgotten would be
            # handed over a second time under its old claim.
            return types.RefusalReason.FENCED
        known = self._keys.get(attempt.key)
        if known is None:
            return None
        if known.handed_over:
            return types.RefusalReason.ALREADY_RUN
        if attempt.claim_offset < known.offset:
            return types.RefusalReason.FENCED
        return None

    def proves_not_handed_over(self, submitted_at: float | None) -> bool:
        """Whether an unknown attempt was certainly not handed over.

        Args:
          submitted_at: When it was submitted, by this agent's clock; None
            when the asker did not say.
        """
        if submitted_at is None:
            return self._ended.watermark == -math.inf
        return submitted_at > self._ended.watermark

    def may_be_tombstoned(self, attempt: types.Attempt) -> bool:
        """Whether a tombstone for the attempt may have been dropped."""
        if attempt.sent_at is None:
            return False
        return attempt.sent_at <= self._refused.watermark

    def expire(self, now: float) -> None:
        """Drops what is past its retention."""
        for expiring in (self._ended, self._refused):
            while expiring.entries and expiring.entries[0][0] <= now:
                self._drop_oldest(expiring)

    def _add_final(
        self, attempt_id: types.AttemptId, state: State, now: float
    ) -> None:
        self._records[attempt_id] = Record(state, None, now)
        expiring = self._refused if state is State.REFUSED else self._ended
        self._schedule_expiry(expiring, now, attempt_id, now)

    def _schedule_expiry(
        self,
        expiring: _ExpiryQueue,
        since: float,
        attempt_id: types.AttemptId,
        now: float,
    ) -> None:
        until = since + self._limits.retention_s
        expiring.entries.append((until, attempt_id))
        if expiring.entries[0][0] <= now:
            self.expire(now)
        while len(expiring.entries) > self._limits.max_records:
            self._drop_oldest(expiring)

    def _drop_oldest(self, expiring: _ExpiryQueue) -> None:
        _, attempt_id = expiring.entries.popleft()
        record = self._records.pop(attempt_id, None)
        if record is None:
            return
        # Without the marks a tombstone that comes later than the memory
        # reaches would "prove" that a dropped, handed-over attempt never ran:
        # its caller is told "not run" although the ledger shows the run.
        expiring.watermark = max(expiring.watermark, record.seen_at)
        if record.attempt is not None:
            self._drop_key(record.attempt)
        entombed = self._tombstoned_up_to.get(attempt_id.request_id, 0)
        if entombed and entombed <= attempt_id.attempt:
            del self._tombstoned_up_to[attempt_id.request_id]

    def _drop_key(self, attempt: types.Attempt) -> None:
        known = self._keys.get(attempt.key)
        if known is None or known.newest_attempt != attempt.id:
            return
        del self._keys[attempt.key]
        if known.handed_over:
            mark = self._claim_watermarks.get(attempt.shard, 0)
            self._claim_watermarks[attempt.shard] = max(mark, known.offset)
