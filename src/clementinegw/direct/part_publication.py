"""What a process tells others of parts of prompts that crash servers."""

from collections.abc import Callable, Collection, Iterable
import dataclasses
import math

from clementinegw.direct import part_evidence
from clementinegw.direct import part_records
from clementinegw.direct import suspects

# The most parts in a datagram, and the most crashes of each.
MAX_SUSPICIONS = 16
_MAX_SENT_CRASHES = 6

_Published = Callable[[part_records.Record], Collection[bytes]]


@dataclasses.dataclass(slots=True)
class _Answer:
    """An answer that cleared a suspected part, to be published.

    Attributes:
      began_at: When the answer began, in monotonic seconds.
      local: Whether this process relayed it.
      published_at: When it is first published, in monotonic seconds.
    """

    began_at: float
    local: bool
    published_at: float


class PartPublication:
    """Selects what is published of the evidence, and when."""

    def __init__(self, evidence: part_evidence.PartEvidence):
        """Starts without news.

        Args:
          evidence: The evidence on all parts.
        """
        self._evidence = evidence
        self._answers: dict[bytes, _Answer] = {}
        self._news_at: list[float] = []

    def add_news(self, at: float) -> None:
        """Has something published at a time, in monotonic seconds."""
        self._news_at.append(at)

    def take_news(self, now: float) -> bool:
        """Returns whether there is something new to publish at once."""
        pending = [at for at in self._news_at if at > now]
        taken = len(pending) < len(self._news_at)
        self._news_at = pending
        return taken

    def has_answer(self, part: bytes) -> bool:
        """Returns whether an answer to a part was published recently."""
        return part in self._answers

    def add_answer(
        self, part: bytes, began_at: float, now: float, local: bool
    ) -> None:
        """Publishes an answer that clears a part.

        Args:
          part: The part.
          began_at: When the answer began, in monotonic seconds.
          now: Monotonic seconds.
          local: Whether this process relayed it; others learn it at once then.
        """
        self._answers[part] = _Answer(began_at, local, now)
        if local:
            self.add_news(now)

    def select(
        self, published: _Published, only_local: bool, now: float
    ) -> tuple[part_records.PartSuspicion, ...]:
        """Returns suspicions, those with the most crashes first.

        Args:
          published: Returns the starts whose crashes are published of a record.
          only_local: Whether answers that others relayed are left out.
          now: Monotonic seconds.
        """
        self._answers = {
            part: answer
            for part, answer in self._answers.items()
            if now - answer.published_at < part_records.PUBLISH_S
        }
        found = []
        for part, record in self._evidence.records.items():
            starts = published(record)
            if starts:
                suspicion = self.suspicion(part, starts, now)
                found.append((len(record.crashes), suspicion))
        # The newest of those with as many crashes come first.
        found.reverse()
        found.sort(key=lambda item: -item[0])
        suspicions = [suspicion for _, suspicion in found[:MAX_SUSPICIONS]]
        suspicions += [
            part_records.PartSuspicion(part, (), now - answer.began_at)
            for part, answer in reversed(self._answers.items())
            if answer.local or not only_local
        ][: MAX_SUSPICIONS - len(suspicions)]
        return tuple(suspicions)

    def suspicion(
        self, part: bytes, starts: Iterable[bytes], now: float
    ) -> part_records.PartSuspicion:
        """Returns what is known of a part, with its newest crashes."""
        record = self._evidence.records[part]
        answered_at = self._evidence.answered_at(part)
        crashes = sorted(
            (
                suspects.Crash(start, now - record.crashes[start].crashed_at)
                for start in starts
            ),
            key=lambda crash: crash.age_s,
        )
        return part_records.PartSuspicion(
            part,
            tuple(crashes[:_MAX_SENT_CRASHES]),
            now - answered_at if answered_at > -math.inf else None,
            record.refusal.ages(now),
        )
