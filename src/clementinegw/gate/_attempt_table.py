"""The gate's records of attempts, in bounded memory.

An agent can prove that an attempt was not handed over only as far back as its
records go. Each dropped record advances a watermark. For an attempt that may
be older than the watermark nothing is proved, and it is not handed over.
"""

import collections
import dataclasses
import enum
import math

from clementinegw.gate import types


class State(enum.Enum):
    """The state of an attempt."""

    QUEUED = "queued"
    HANDED_OVER = "handed_over"
    ENDED = "ended"  # handed over, and done
    REFUSED = "never"  # not handed over, and never will be
    # Never will be handed over; whether it was is not known any more.
    UNPROVED = "doubtful"


@dataclasses.dataclass(slots=True)
class Record:
    """The record of one attempt.

    Attributes:
      state: The attempt's state.
      attempt: The submission; None if it was refused on arrival or if a
        tombstone came first.
      seen_at: When the gate first received the attempt or a tombstone for it.
      sequence: Its position in the order of submissions.
    """

    state: State
    attempt: types.Attempt | None
    seen_at: float
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class _KeyRecord:
    offset: int
    handed_over: bool
    # The key is kept as long as the record of this attempt.
    newest_attempt: types.AttemptId


class _ExpiryQueue:
    """Attempts in a final state, in the order in which they expire.

    Attributes:
      entries: The time at which a record expires, and its attempt.
      watermark: The latest `seen_at` of all dropped records.
    """

    def __init__(self) -> None:
        self.entries: collections.deque[tuple[float, types.AttemptId]] = (
            collections.deque()
        )
        self.watermark = -math.inf


class AttemptTable:
    """Attempts, tombstones and idempotency keys."""

    def __init__(self, limits: types.Limits):
        """Initializes an empty table; earlier incarnations leave no records."""
        self._limits = limits
        self._records: dict[types.AttemptId, Record] = {}
        self._tombstoned_up_to: dict[str, int] = {}
        self._keys: dict[str, _KeyRecord] = {}
        # By shard: the largest claim offset of a dropped key that was handed
        # over.
        self._claim_watermarks: dict[int, int] = {}
        # Separate queues, so that a flood of refusals does not evict the
        # records of attempts that ran.
        self._ended = _ExpiryQueue()
        self._refused = _ExpiryQueue()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, attempt_id: types.AttemptId) -> Record | None:
        """Returns the record of an attempt; None if there is none."""
        return self._records.get(attempt_id)

    def add(self, attempt: types.Attempt, now: float, sequence: int) -> Record:
        """Adds a submission in the state QUEUED and returns its record."""
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
        """Records that the attempt is handed to the backend server."""
        record.state = State.HANDED_OVER
        if record.attempt is not None and record.attempt.key:
            self._keys[record.attempt.key].handed_over = True

    def revert_hand_over(self, record: Record, now: float) -> None:
        """Records that a handed-over attempt was not begun after all."""
        if record.attempt is not None and record.attempt.key:
            self._keys[record.attempt.key].handed_over = False
        self.finish(record, State.REFUSED, now)

    def finish(self, record: Record, state: State, now: float) -> None:
        """Sets an attempt's final state and schedules its expiry."""
        record.state = state
        if record.attempt is not None:
            since = max(now, record.attempt.deadline)
            queue = self._ended if state is State.ENDED else self._refused
            self._schedule_expiry(queue, since, record.attempt.id, now)

    def add_refused(self, attempt_id: types.AttemptId, now: float) -> None:
        """Adds a record for an attempt that was refused on arrival."""
        self._add_final(attempt_id, State.REFUSED, now)

    def add_tombstone(
        self,
        attempt_id: types.AttemptId,
        include_earlier: bool,
        proved: bool,
        now: float,
    ) -> None:
        """Ensures that an attempt is refused if it arrives later.

        Args:
          attempt_id: The attempt.
          include_earlier: Whether the request's earlier attempts are refused
            as well.
          proved: Whether the attempt was certainly not handed over. If False,
            the state is UNPROVED: with REFUSED, a second tombstone would get
            the proof that the first one was denied.
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
        """Returns whether a tombstone for a range covers the attempt."""
        return attempt_id.attempt <= self._tombstoned_up_to.get(
            attempt_id.request_id, 0
        )

    def find_up_to(self, attempt_id: types.AttemptId) -> list[Record]:
        """Returns the records of the request's attempts up to this one."""
        numbers = range(1, attempt_id.attempt + 1)
        ids = (types.AttemptId(attempt_id.request_id, n) for n in numbers)
        found = (self._records.get(i) for i in ids)
        return [record for record in found if record is not None]

    def check_fence(self, attempt: types.Attempt) -> types.RefusalReason | None:
        """Returns why the attempt's claim is invalid; None if it is valid."""
        if attempt.claim_offset <= self._claim_watermarks.get(attempt.shard, 0):
            # Except for late frames, claims arrive in the order of their
            # offsets. Without the watermark, an attempt whose key was dropped
            # would be handed over a second time under its old claim.
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
        """Returns whether an unknown attempt was certainly not handed over.

        Args:
          submitted_at: When it was submitted, in seconds on this agent's
            monotonic clock; None if the entry did not report it.
        """
        if submitted_at is None:
            return self._ended.watermark == -math.inf
        return submitted_at > self._ended.watermark

    def may_be_tombstoned(self, attempt: types.Attempt) -> bool:
        """Returns whether a tombstone for the attempt may have been dropped."""
        if attempt.sent_at is None:
            return False
        return attempt.sent_at <= self._refused.watermark

    def expire(self, now: float) -> None:
        """Drops the records whose retention time has passed."""
        for queue in (self._ended, self._refused):
            while queue.entries and queue.entries[0][0] <= now:
                self._drop_oldest(queue)

    def _add_final(
        self, attempt_id: types.AttemptId, state: State, now: float
    ) -> None:
        self._records[attempt_id] = Record(state, None, now)
        queue = self._refused if state is State.REFUSED else self._ended
        self._schedule_expiry(queue, now, attempt_id, now)

    def _schedule_expiry(
        self,
        queue: _ExpiryQueue,
        since: float,
        attempt_id: types.AttemptId,
        now: float,
    ) -> None:
        expires_at = since + self._limits.retention_s
        queue.entries.append((expires_at, attempt_id))
        if queue.entries[0][0] <= now:
            self.expire(now)
        while len(queue.entries) > self._limits.max_records:
            self._drop_oldest(queue)

    def _drop_oldest(self, queue: _ExpiryQueue) -> None:
        _, attempt_id = queue.entries.popleft()
        record = self._records.pop(attempt_id, None)
        if record is None:
            return
        # Without the watermark, a tombstone for a dropped attempt would
        # "prove" that the attempt never ran, and its caller would get "not
        # run" for a request that the ledger shows as run.
        queue.watermark = max(queue.watermark, record.seen_at)
        if record.attempt is not None:
            self._drop_key(record.attempt)
        last = self._tombstoned_up_to.get(attempt_id.request_id, 0)
        if last and last <= attempt_id.attempt:
            del self._tombstoned_up_to[attempt_id.request_id]

    def _drop_key(self, attempt: types.Attempt) -> None:
        known = self._keys.get(attempt.key)
        if known is None or known.newest_attempt != attempt.id:
            return
        del self._keys[attempt.key]
        if known.handed_over:
            watermark = self._claim_watermarks.get(attempt.shard, 0)
            self._claim_watermarks[attempt.shard] = max(watermark, known.offset)
