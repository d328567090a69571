"""Judges by the evidence whether a part of prompts crashes servers."""

from collections.abc import Collection
import dataclasses
import math

from clementinegw.direct import part_evidence
from clementinegw.direct import part_records

# A part with fewer crashes than this is never refused.
MIN_CRASHES = 3
# From how many moments on a part is refused: one that was never answered and
# was in flight at this share of all crashes meanwhile, and any other.
_MIN_MOMENTS = MIN_CRASHES
_MIN_SHARE = 0.5
_MAX_MOMENTS = 5
# From how many crashes on a part that was never answered is refused though they
# were close together and nothing was answered since: nothing is until servers
# are back, and then each request with it crashes one again.
_MAX_CRASHES = 5
# How many requests without the part have to be answered since its first crash,
# by whether the part was ever answered: while nothing is answered, nothing
# tells its requests from others.
_MIN_OTHER_ANSWERS = {False: 1, True: 12}


@dataclasses.dataclass(frozen=True, slots=True)
class Rivals:
    """Other parts that account for a part's crashes.

    Attributes:
      better: Whether one accounts better.
      equal: Those that account as well, if none accounts better.
    """

    better: bool = False
    equal: frozenset[bytes] = frozenset()


def is_conclusive(
    evidence: part_evidence.PartEvidence,
    part: bytes,
    counted: part_records.Crashes,
) -> bool:
    """Returns whether the crashes of a part are no coincidence.

    Args:
      evidence: The evidence on all parts.
      part: The part.
      counted: Its crashes.
    """
    ever = _was_answered(evidence, part)
    moments = part_records.count_moments(counted.values())
    if not ever and len(counted) >= _MAX_CRASHES and moments > 1:
        return True
    if moments < _MIN_MOMENTS:
        return False
    if moments < _MAX_MOMENTS and (
        ever or evidence.share_of_crashes(counted) < _MIN_SHARE
    ):
        return False
    answers = evidence.answers - evidence.records[part].answers_before
    return answers >= _MIN_OTHER_ANSWERS[ever]


def find_rivals(
    evidence: part_evidence.PartEvidence, part: bytes, now: float
) -> Rivals:
    """Returns which other parts account as well for a part's crashes.

    A part that was never answered accounts better than others, then one that
    was at more crashes without the other, and then one that was not answered
    before the first crash.

    Args:
      evidence: The evidence on all parts.
      part: The part.
      now: Monotonic seconds.
    """
    record = evidence.records[part]
    counted = record.counted(now)
    equal = set()
    for rival in evidence.parts_at(counted) - {part}:
        crashes = evidence.records[rival].counted(now)
        # A crash at which both were in flight does not tell them apart.
        own = [c for start, c in counted.items() if start not in crashes]
        if part_records.count_moments(own) >= _MIN_MOMENTS:
            continue
        # Nor does one after it was refused, at which it could not be.
        others = [
            crash
            for start, crash in crashes.items()
            if start not in counted and crash.crashed_at < record.refused_since
        ]
        strength = _strength(evidence, part, own)
        rival_strength = _strength(evidence, rival, others)
        if rival_strength > strength:
            return Rivals(better=True)
        if rival_strength == strength:
            equal.add(rival)
    return Rivals(equal=frozenset(equal))


def _strength(
    evidence: part_evidence.PartEvidence,
    part: bytes,
    crashes: Collection[part_records.Crash],
) -> tuple[bool, int, int, bool]:
    """Returns how well a part accounts for crashes; greater is better."""
    return (
        not _was_answered(evidence, part),
        part_records.count_moments(crashes),
        len(crashes),
        not evidence.was_answered_before(part),
    )


def _was_answered(evidence: part_evidence.PartEvidence, part: bytes) -> bool:
    return evidence.answered_at(part) > -math.inf
