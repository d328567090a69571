"""Which of several declared versions to bring next."""

from collections.abc import Collection, Sequence
import dataclasses

from clementinegw.direct import declarations

Declaration = declarations.Declaration


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The version that is being brought.

    Attributes:
      version: Its number.
      left: The part of its pieces that is missing.
    """

    version: int
    left: float


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a rollout takes here.

    Attributes:
      bring_s: How long the links take for a whole version, in seconds.
      swap_s: How long servers take from the last piece to service.
      due_s: How long after its declaration a version must serve.
    """

    bring_s: float
    swap_s: float
    due_s: float


def choose(
    declared: Sequence[Declaration],
    current: Progress | None,
    terms: Terms,
    now: float,
    aside: Collection[int] = (),
) -> int:
    """Returns the version to bring; 0 when none is declared.

    A newer version serves for an older one as well, so the newest is brought
    where it can come in time for both. Where it cannot, what is under way is
    ended first: dropping it would leave no version that may serve between the
    two due times.

    Args:
      declared: What was named, by version.
      current: What is under way.
      terms: What a rollout takes.
      now: Boot seconds.
      aside: Versions that stall, and those that are served already.
    """
    if not declared:
        return 0
    # The origin may be cut off right after a newer version was named. The
    # pieces of the one before lie with all agents; without it nothing could
    # serve from its due time on. Where all stall, the newest is tried again.
    declared = [d for d in declared if d.version not in aside] or declared
    newest = declared[-1]
    older = [d for d in declared if current and d.version == current.version]
    if not older or current is None or current.version >= newest.version:
        return newest.version
    if current.left <= 0:
        return newest.version
    due_at = older[0].at + terms.due_s
    if now + terms.bring_s + terms.swap_s <= due_at:
        return newest.version
    ended_s = current.left * terms.bring_s
    if now + ended_s + terms.swap_s > due_at:
        # It comes too late in any case; the newest then comes sooner.
        return newest.version
    both_at = now + ended_s + terms.bring_s + terms.swap_s
    late_s = both_at - (newest.at + terms.due_s)
    # Ended first, the newest is late by the one; dropped, nothing serves from
    # the older one's due time until the newest is there.
    dropped_s = now + terms.bring_s + terms.swap_s - due_at
    return current.version if late_s <= dropped_s else newest.version
