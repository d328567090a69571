"""The trackers of what crashes servers, with one exchange between processes."""

from collections.abc import Iterable

from clementinegw.direct import part_records
from clementinegw.direct import prompt_suspects
from clementinegw.direct import suspects
from clementinegw.direct import suspicion_codec


class Trackers:
    """The trackers of whole requests and of parts of prompts.

    Attributes:
      requests: Tracks whole requests.
      parts: Tracks parts of prompts.
    """

    def __init__(self, parts: prompt_suspects.PartTracker | None = None):
        self.parts = parts or prompt_suspects.PartTracker()
        self.requests = suspects.SuspectTracker(self.parts.explains)

    def merge(
        self, suspicions: Iterable[suspicion_codec.Suspicion], now: float
    ) -> None:
        """Merges what other processes observed; `now` in monotonic seconds."""
        requests, parts = [], []
        for suspicion in suspicions:
            if isinstance(suspicion, part_records.PartSuspicion):
                parts.append(suspicion)
            else:
                requests.append(suspicion)
        self.parts.merge(parts, now)
        self.requests.merge(requests, now)

    def local_suspicions(
        self, now: float
    ) -> tuple[suspicion_codec.Suspicion, ...]:
        """Returns what this process itself observed recently."""
        return (
            *self.requests.local_suspicions(now),
            *self.parts.local_suspicions(now),
        )

    def refused_suspicions(
        self, now: float
    ) -> tuple[suspicion_codec.Suspicion, ...]:
        """Returns what is refused."""
        return (
            *self.requests.refused_suspicions(now),
            *self.parts.refused_suspicions(now),
        )

    def confirmed_suspicions(
        self, now: float
    ) -> tuple[suspicion_codec.Suspicion, ...]:
        """Returns what all processes observed, without single crashes."""
        return (
            *self.requests.confirmed_suspicions(now),
            *self.parts.confirmed_suspicions(now),
        )
