"""What is known of one part of prompts that was in flight at crashes."""

from collections.abc import Iterable, Sequence
import dataclasses
import enum
import hashlib
import math

from clementinegw.direct import refusals
from clementinegw.direct import suspects

# How long a crash is remembered after it happened, and after the last request
# that was refused for it, in seconds.
RETENTION_S = 600.0
# A crash counts once its server has not answered for this long, in seconds.
CONFIRMATION_S = 0.8
# Crashes closer together than this count once, in seconds: servers that crash
# at the same moment mostly do so for a common reason, such as lost power.
_MOMENT_S = 0.25
# For how long an observation is published, in seconds: several datagrams.
PUBLISH_S = 5.0
# The most parts of a prompt that are tracked.
_MAX_PARTS = 64
DIGEST_BYTES = 8


class Cause(enum.StrEnum):
    """Why a part is refused or no longer refused."""

    CRASHES = "crashes"
    REPORTED = "reported"
    ANSWERED = "answered"
    SURVIVED = "survived"
    EXPLAINED = "explained"
    FORGOTTEN = "forgotten"


@dataclasses.dataclass(frozen=True, slots=True)
class PartSuspicion:
    """What was observed of a part, as entries and agents exchange it.

    Attributes:
      part: The digest of the part's id.
      crashes: The crashes at which it was in flight.
      answered_age_s: How long ago a request with it was answered, in seconds;
        None if none is known to be.
      refusal: When requests were refused for it; None if it is not refused.
    """

    part: bytes
    crashes: tuple[suspects.Crash, ...] = ()
    answered_age_s: float | None = None
    refusal: refusals.RefusalAges | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the digests have their lengths and the ages make sense."""
        ages = (self.answered_age_s, *(crash.age_s for crash in self.crashes))
        return (
            len(self.part) == DIGEST_BYTES
            and all(
                len(crash.start) == suspects.START_DIGEST_BYTES
                for crash in self.crashes
            )
            and all(age is None or 0.0 <= age < math.inf for age in ages)
            and (self.refusal is None or self.refusal.is_valid)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A change of whether a part is refused.

    Attributes:
      part: The digest of the part's id.
      refused: Whether it is refused now.
      cause: Why.
      crash_ages_s: How long ago its crashes were, by the digest of the server's
        start, in seconds.
    """

    part: bytes
    refused: bool
    cause: Cause
    crash_ages_s: dict[bytes, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash at which a part was in flight.

    Attributes:
      crashed_at: When it happened, in monotonic seconds.
      local: Whether this process observed it itself.
    """

    crashed_at: float
    local: bool

    def is_confirmed(self, now: float) -> bool:
        """Returns whether it counts; those of others were confirmed there."""
        return not self.local or now - self.crashed_at >= CONFIRMATION_S


Crashes = dict[bytes, Crash]


class Record:
    """What is known of one part.

    Attributes:
      crashes: The crashes since its last answer, by the digest of the start.
      answers_before: How many answers this process knew of at the first one.
      refused_since: From when on requests with it are refused, in monotonic
        seconds; infinity if they are not.
      refusal: When requests with it were refused, by any entry.
    """

    def __init__(self, answers_before: int):
        self.crashes: Crashes = {}
        self.answers_before = answers_before
        self.refused_since = math.inf
        self.refusal = refusals.Refusal()

    @property
    def refused(self) -> bool:
        """Whether requests with it are refused."""
        return self.refused_since < math.inf

    @property
    def last_crash_at(self) -> float:
        """When the newest crash happened, in monotonic seconds."""
        times = (crash.crashed_at for crash in self.crashes.values())
        return max(times, default=-math.inf)

    @property
    def expires_at(self) -> float:
        """When all of it is forgotten, in monotonic seconds."""
        return max(self.last_crash_at, self.refusal.refused_at) + RETENTION_S

    def counted(self, now: float) -> Crashes:
        """Returns the crashes that are confirmed and not forgotten."""
        return {
            start: crash
            for start, crash in self.crashes.items()
            if crash.is_confirmed(now)
            and now - max(crash.crashed_at, self.refusal.refused_at)
            < RETENTION_S
        }

    def published(self, now: float) -> list[bytes]:
        """Returns the starts whose crashes this process publishes at present.

        They are those that it observed itself, once they are confirmed, and all
        while it publishes a refusal.
        """
        if self.refusal.is_published(now):
            return [*self.crashes]
        return [
            start
            for start, crash in self.crashes.items()
            if crash.local
            and crash.is_confirmed(now)
            and now - crash.crashed_at < CONFIRMATION_S + PUBLISH_S
        ]

    def refuse(self, now: float) -> None:
        """Begins to refuse requests with the part."""
        self.refused_since = now
        self.refusal.record(now)

    def end_refusal(self) -> None:
        """Ends that and forgets the probes."""
        self.refused_since = math.inf
        self.refusal = refusals.Refusal()


def count_moments(crashes: Iterable[Crash]) -> int:
    """Returns how many crashes there were, those of one moment counted once."""
    count, last_at = 0, -math.inf
    for at in sorted(crash.crashed_at for crash in crashes):
        if at - last_at >= _MOMENT_S:
            count, last_at = count + 1, at
    return count


def digest_part(part: str) -> bytes:
    """Returns the digest by which processes name a part to each other."""
    return hashlib.blake2b(part.encode(), digest_size=DIGEST_BYTES).digest()


def digest_parts(parts: Sequence[str]) -> tuple[bytes, ...]:
    """Returns the digests of the parts of one prompt."""
    return tuple(digest_part(part) for part in parts[:_MAX_PARTS])
