"""Detects parts of prompts that crash the servers that answer on them.

Such a part comes in ever new requests, so that no request is seen at two
crashes. Each crash breaks sound requests too, and their parts are popular. The
part is found by group testing: it was in flight, with its answer not begun, at
one crash after another, while requests without it were answered and none with
it was. An answer clears all parts of its prompt.

Entries and agents share crashes as they do for whole requests, see `suspects`,
but only confirmed ones: a server that goes on answering has not crashed.
"""

from collections.abc import Callable, Iterable, Sequence
import math

from clementinegw.direct import part_evidence
from clementinegw.direct import part_judgement
from clementinegw.direct import part_publication
from clementinegw.direct import part_records
from clementinegw.direct import suspects

_Cause = part_records.Cause


class PartTracker:
    """Tracks which parts of prompts were in flight when servers crashed."""

    def __init__(
        self,
        on_verdict: Callable[[part_records.Verdict], None] = (
            lambda verdict: None
        ),
        running: Callable[[], Iterable[tuple[Sequence[str], float]]] = (
            lambda: ()
        ),
    ):
        """Starts without any part.

        Args:
          on_verdict: Called when a part is refused, or no longer.
          running: Returns the parts of the requests whose answers have begun,
            with the time in monotonic seconds. Answers count from the first
            crash on, and these as well.
        """
        self._on_verdict = on_verdict
        self._running = running
        self._evidence = part_evidence.PartEvidence()
        self._records = self._evidence.records
        self._publication = part_publication.PartPublication(self._evidence)
        self._changed_at = -math.inf

    @property
    def idle(self) -> bool:
        """Whether no part was in flight at any crash."""
        return not self._records

    @property
    def has_crashes(self) -> bool:
        """Whether any server crashed, as far as is known."""
        return self._evidence.has_crashes

    @property
    def changed_at(self) -> float:
        """When something was last learned, in monotonic seconds."""
        return self._changed_at

    def explains(self, start: bytes) -> bool:
        """Returns whether a refused part was in flight at a crash."""
        return any(
            self._records[part].refused
            for part in self._evidence.parts_at([start])
        )

    # Observations of this process.

    def record_crash(
        self, parts: Sequence[str], start: str, now: float, answering: bool
    ) -> None:
        """Records that a server crashed while a request was there.

        Args:
          parts: The ids of the parts that the request shares with others.
          start: The text that names the server's start.
          now: Monotonic seconds.
          answering: Whether its answer had begun, which clears its parts.
        """
        digest = suspects.digest_start(start)
        self._evidence.record_crash(digest, now)
        if answering or not parts:
            return
        if self.idle:
            self._record_running()
        for part in part_records.digest_parts(parts):
            self._add(part, digest, part_records.Crash(now, local=True), now)
        self._publication.add_news(now + part_records.CONFIRMATION_S)
        self._remove_forgotten(now)

    def record_answer(
        self, parts: Sequence[str], began_at: float, now: float
    ) -> None:
        """Clears the parts of a request whose answer has begun.

        Args:
          parts: The ids of the parts that the request shares with others.
          began_at: When its first event arrived, in monotonic seconds.
          now: Monotonic seconds.
        """
        if self.idle:
            self._evidence.note_answered(part_records.digest_parts(parts))
            return
        self._evidence.answers += 1
        for part in part_records.digest_parts(parts):
            self._evidence.set_answered(part, began_at)
            if self._clear(part, began_at, now):
                self._publication.add_answer(part, began_at, now, True)

    def record_survival(self, start: str, sent_at: float, now: float) -> None:
        """Records that a server start answered what was sent at some time.

        Args:
          start: The text that names the server's start.
          sent_at: When it was sent, in monotonic seconds.
          now: Monotonic seconds.
        """
        if not self.idle:
            digest = suspects.digest_start(start)
            self._evidence.set_survived(digest, sent_at)
            self._refute(digest, -math.inf, sent_at, now)

    def refute_crashes(
        self, start: str, since: float, until: float, now: float
    ) -> None:
        """Drops crashes of a server start that goes on running.

        Args:
          start: The text that names the server's start.
          since: When the first of them may have happened, in monotonic seconds.
          until: When it was seen running, in monotonic seconds.
          now: Monotonic seconds.
        """
        self._refute(suspects.digest_start(start), since, until, now)

    def _refute(
        self, start: bytes, since: float, until: float, now: float
    ) -> None:
        for part in self._evidence.drop_survived(start, since, until):
            self._review(part, _Cause.SURVIVED, now)

    def _clear(self, part: bytes, began_at: float, now: float) -> bool:
        """Clears a part of its crashes; returns whether it had any."""
        cleared = self._evidence.drop_before(part, began_at)
        if cleared:
            self._review(part, _Cause.ANSWERED, now)
        return cleared

    def _record_running(self) -> None:
        for parts, began_at in self._running():
            for part in part_records.digest_parts(parts):
                self._evidence.set_answered(part, began_at)

    def _add(
        self, part: bytes, start: bytes, crash: part_records.Crash, now: float
    ) -> None:
        if self._evidence.add(part, start, crash):
            self._changed_at = now

    def _remove_forgotten(self, now: float) -> None:
        self._evidence.forget_crashes(now)
        for part in self._evidence.forgotten(now):
            self._end_refusal(part, _Cause.FORGOTTEN, now)
            self._evidence.remove(part)

    # Verdicts.

    def refused_part(self, parts: Sequence[str], now: float) -> str | None:
        """Returns the first part for which a request is refused; or None."""
        if self.idle:
            return None
        digests = part_records.digest_parts(parts)
        suspect = None
        for name, part in zip(parts, digests, strict=False):
            if part not in self._records:
                continue
            beside = self._decide(part, now)
            if beside is None:
                continue
            if not beside:
                return name
            if suspect is None and beside.issubset(digests):
                suspect = name
        return suspect

    def record_refusal(self, part: str, now: float) -> None:
        """Records that a request was refused: the part still comes."""
        record = self._records[part_records.digest_part(part)]
        if record.refused:
            record.refusal.record(now)

    def take_probe(self, part: str, now: float) -> bool:
        """Returns whether a request may be let through despite its part.

        Only one entry of the fleet is to ask.
        """
        record = self._records[part_records.digest_part(part)]
        taken = record.refused and record.refusal.take_probe(
            record.last_crash_at, now
        )
        if taken:
            self._publication.add_news(now)
        return taken

    def update(self, now: float) -> None:
        """Decides on all parts, also those that no request has at present."""
        for part in [p for p, r in self._records.items() if len(r.crashes) > 2]:
            self._decide(part, now)

    def _decide(self, part: bytes, now: float) -> frozenset[bytes] | None:
        """Decides on a part; returns the parts beside which it is refused.

        Parts that were in flight at the same crashes cannot be told apart; a
        request with all of them is refused. Empty if the part is refused by
        itself, None if it is not refused.
        """
        record = self._records[part]
        counted = record.counted(now)
        if len(counted) < part_judgement.MIN_CRASHES:
            if record.refused:
                self._end_refusal(part, _Cause.FORGOTTEN, now)
            return None
        if record.refused:
            return frozenset()
        # Who found it knew the times of the crashes better.
        reported = now - record.refusal.refused_at < part_records.RETENTION_S
        if not reported and not part_judgement.is_conclusive(
            self._evidence, part, counted
        ):
            return None
        rivals = part_judgement.find_rivals(self._evidence, part, now)
        if rivals.better:
            return None
        if not rivals.equal:
            cause = _Cause.REPORTED if reported else _Cause.CRASHES
            self._refuse(part, cause, now)
        return rivals.equal

    def _refuse(
        self, part: bytes, cause: part_records.Cause, now: float
    ) -> None:
        record = self._records[part]
        record.refuse(now)
        self._publication.add_news(now)
        self._report(part, cause, now)
        # Others may have been refused on crashes that this part accounts for.
        for other in self._evidence.parts_at(record.crashes) - {part}:
            if not self._records[other].refused:
                continue
            if part_judgement.find_rivals(self._evidence, other, now).better:
                self._end_refusal(other, _Cause.EXPLAINED, now)

    def _review(
        self, part: bytes, cause: part_records.Cause, now: float
    ) -> None:
        """Follows from dropped crashes; removes a part that has none left."""
        record = self._records[part]
        if len(record.counted(now)) < part_judgement.MIN_CRASHES:
            self._end_refusal(part, cause, now)
        if not record.crashes:
            self._evidence.remove(part)

    def _end_refusal(
        self, part: bytes, cause: part_records.Cause, now: float
    ) -> None:
        record = self._records[part]
        was_refused = record.refused
        record.end_refusal()
        if was_refused:
            self._report(part, cause, now)

    def _report(
        self, part: bytes, cause: part_records.Cause, now: float
    ) -> None:
        record = self._records[part]
        ages_s = {
            start: round(now - crash.crashed_at, 2)
            for start, crash in record.crashes.items()
        }
        self._changed_at = now
        self._on_verdict(
            part_records.Verdict(part, record.refused, cause, ages_s)
        )

    # Exchange with other processes.

    def take_news(self, now: float) -> bool:
        """Returns whether there is something new to publish at once."""
        return self._publication.take_news(now)

    def local_suspicions(
        self, now: float
    ) -> tuple[part_records.PartSuspicion, ...]:
        """Returns this process's own recent observations, for the agents."""
        self._remove_forgotten(now)
        return self._publication.select(
            lambda record: record.published(now), True, now
        )

    def confirmed_suspicions(
        self, now: float
    ) -> tuple[part_records.PartSuspicion, ...]:
        """Returns what all entries observed of parts at two crashes or more."""
        self._remove_forgotten(now)
        return self._publication.select(
            lambda record: record.crashes if len(record.crashes) > 1 else (),
            False,
            now,
        )

    def refused_suspicions(
        self, now: float
    ) -> tuple[part_records.PartSuspicion, ...]:
        """Returns what is known of the parts that are refused."""
        return tuple(
            self._publication.suspicion(part, record.crashes, now)
            for part, record in self._records.items()
            if record.refused
        )

    def merge(
        self, suspicions: Iterable[part_records.PartSuspicion], now: float
    ) -> None:
        """Merges observations of others; ignores malformed ones."""
        for suspicion in suspicions:
            if suspicion.is_valid:
                self._merge(suspicion, now)

    def _merge(self, suspicion: part_records.PartSuspicion, now: float) -> None:
        part = suspicion.part
        if self.idle and suspicion.crashes:
            self._record_running()
        self._merge_answer(suspicion, now)
        for crash in suspicion.crashes:
            at = now - crash.age_s
            self._add(
                part, crash.start, part_records.Crash(at, local=False), now
            )
        record = self._records.get(part)
        if record is not None and suspicion.refusal is not None:
            record.refusal.merge(suspicion.refusal, now)

    def _merge_answer(
        self, suspicion: part_records.PartSuspicion, now: float
    ) -> None:
        """Merges when a part was answered; tells others that do not know."""
        part = suspicion.part
        known_at = self._evidence.answered_at(part)
        at = -math.inf
        if suspicion.answered_age_s is not None:
            at = now - suspicion.answered_age_s
        if at > known_at:
            self._evidence.set_answered(part, at)
            if self._clear(part, at, now):
                self._publication.add_answer(part, at, now, False)
        elif (
            suspicion.crashes
            and known_at > at + suspects.MAX_TRANSIT_S
            and not self._publication.has_answer(part)
        ):
            self._publication.add_answer(part, known_at, now, True)
