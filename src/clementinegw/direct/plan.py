"""Which of several declared versions to bring next."""

from collections.abc import Collection, Mapping, Sequence
import dataclasses
import types as builtin_types

from clementinegw.direct import declarations

Declaration = declarations.Declaration

_NO_ABANDONED: Mapping[int, float] = builtin_types.MappingProxyType({})

# By how much an agent's own progress may differ from what links usually bring
# by then and be taken for it: single pieces and their order make 0.1 to 0.2.
_MAX_PROGRESS_DEVIATION = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The version that is being brought.

    Attributes:
      version: Its number.
      missing: The part of its pieces that is missing.
    """

    version: int
    missing: float


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutTiming:
    """What a rollout takes here.

    Attributes:
      fetch_s: How long the links take for a whole version, in seconds.
      swap_s: How long servers take from the last piece to service.
      due_s: How long after its declaration a version must serve.
    """

    fetch_s: float
    swap_s: float
    due_s: float


def choose(
    declared: Sequence[Declaration],
    current: Progress | None,
    timing: RolloutTiming,
    now: float,
    excluded: Collection[int] = (),
    abandoned_missing: Mapping[int, float] = _NO_ABANDONED,
) -> int:
    """Returns the version to bring; 0 when none is declared.

    A newer version serves for an older one as well, so the newest is brought
    where it can come in time for both. Where it cannot, that one goes first
    which leaves the shorter time without a server that may begin anything.

    Args:
      declared: What was named, by version.
      current: What is under way.
      timing: What a rollout takes.
      now: Boot seconds.
      excluded: Versions that stall, and those that are served already.
      abandoned_missing: The part that was missing of versions that were under
        way before, when another one took over.
    """
    if not declared:
        return 0
    # The origin may be cut off right after a newer version was named. The
    # pieces of the one before lie with all agents; without it nothing could
    # serve from its due time on. Where all stall, the newest is tried again.
    useful = _servable_before_next(
        declared, current, abandoned_missing, timing, now
    )
    declared = [d for d in useful if d.version not in excluded] or useful[-1:]
    newest = declared[-1]
    older = [d for d in declared if current and d.version == current.version]
    if not older or current is None or current.version >= newest.version:
        return newest.version
    if current.missing <= 0:
        return newest.version
    missing = _expected_missing(older[0], current, timing, now)
    current = dataclasses.replace(current, missing=missing)
    dropped_s = _outage_if_dropped_s(older[0], timing, now)
    finished_s = _outage_if_finished_s(older[0], newest, current, timing, now)
    if finished_s == dropped_s:
        # Links seldom bring what they could: what has time to spare goes first.
        dropped_s = -_slack_if_dropped_s(older[0], timing, now)
        finished_s = -_slack_if_finished_s(
            older[0], newest, current, timing, now
        )
    return current.version if finished_s < dropped_s else newest.version


def should_finish_spreading(
    older: Declaration,
    newest: Declaration,
    unspread_s: float,
    timing: RolloutTiming,
    now: float,
) -> bool:
    """Returns whether an older version's last pieces go before the newest.

    Left a moment before, it is of no use to anybody if the origin is cut off
    before the newest one is out: neither comes, and nothing may begin.

    Args:
      older: The version under way.
      newest: The one that it would hold up.
      unspread_s: How long the origin takes to send what no agent has of it.
      timing: What a rollout takes.
      now: Boot seconds.
    """
    # An origin that has not sent them for as long as a version takes will not.
    if not unspread_s or now - older.declared_at >= timing.fetch_s:
        return False
    # It serves alone from its own due time to the newest one's. Of two that
    # were named while the platform was away, and became known together, the
    # older one serves nobody, and would hold the newest one up.
    if unspread_s > newest.declared_at - older.declared_at:
        return False
    # Not where the newest one would come late by it, and neither be in time.
    return unspread_s <= _slack_if_dropped_s(older, timing, now)


def _servable_before_next(
    declared: Sequence[Declaration],
    current: Progress | None,
    abandoned_missing: Mapping[int, float],
    timing: RolloutTiming,
    now: float,
) -> list[Declaration]:
    """Returns the versions that can serve before a newer one is due.

    One that is ended behind that time is of no use, and the newest comes later
    than it could.
    """
    found = []
    for version, newer in zip(declared, declared[1:], strict=False):
        # What lies here of one that was never under way is not known. One that
        # was left counts by what it lacked then: held to be whole, it would be
        # taken up at once, and left at the next look.
        missing = abandoned_missing.get(version.version, 0.0)
        if current is not None and current.version == version.version:
            missing = current.missing
        serves_at = now + missing * timing.fetch_s + timing.swap_s
        if serves_at < newer.declared_at + timing.due_s:
            found.append(version)
    return [*found, declared[-1]]


def _expected_missing(
    older: Declaration, current: Progress, timing: RolloutTiming, now: float
) -> float:
    """Returns the part that is missing, as all agents will count it.

    Agents that are a few pieces apart must not decide otherwise: half of them
    would drop a version that the others end, which then takes longer. All know
    when it was named; an agent's own count goes first only where it is far
    behind or ahead.
    """
    expected = 1.0 - (now - older.declared_at) / timing.fetch_s
    expected = min(1.0, max(0.0, expected))
    if abs(current.missing - expected) > _MAX_PROGRESS_DEVIATION:
        return current.missing
    return expected


def _slack_if_dropped_s(
    older: Declaration, timing: RolloutTiming, now: float
) -> float:
    """Returns how long before the first due time the newest one serves.

    Negative where it comes later; where the older one is dropped.
    """
    newest_at = now + timing.fetch_s + timing.swap_s
    return older.declared_at + timing.due_s - newest_at


def _slack_if_finished_s(
    older: Declaration,
    newest: Declaration,
    current: Progress,
    timing: RolloutTiming,
    now: float,
) -> float:
    """Returns the time to spare at the tighter of both due times.

    Where the older one is ended.
    """
    older_at, newest_at = _serving_times(current, timing, now)
    older_s = older.declared_at + timing.due_s - older_at
    return min(older_s, newest.declared_at + timing.due_s - newest_at)


def _serving_times(
    current: Progress, timing: RolloutTiming, now: float
) -> tuple[float, float]:
    """Returns when both versions serve where the older one is ended."""
    finished_at = now + current.missing * timing.fetch_s
    newest_at = finished_at + timing.fetch_s + timing.swap_s
    return finished_at + timing.swap_s, newest_at


def _outage_if_dropped_s(
    older: Declaration, timing: RolloutTiming, now: float
) -> float:
    """Returns how long nothing may begin where the older one is dropped."""
    return max(0.0, -_slack_if_dropped_s(older, timing, now))


def _outage_if_finished_s(
    older: Declaration,
    newest: Declaration,
    current: Progress,
    timing: RolloutTiming,
    now: float,
) -> float:
    """Returns for how long nothing may begin where the older one is ended.

    Two gaps: from the older one's due time until it serves, and from the
    newest one's until that does. An older one that comes late still ends the
    first gap: dropped because it would be late by a moment, it leaves a longer
    one.
    """
    older_at, newest_at = _serving_times(current, timing, now)
    older_due = older.declared_at + timing.due_s
    newest_due = newest.declared_at + timing.due_s
    # What the older one serves between its arrival and the newest one's time.
    served_s = min(newest_due, newest_at) - max(older_at, older_due)
    return max(0.0, newest_at - older_due) - max(0.0, served_s)
