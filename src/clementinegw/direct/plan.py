"""Which of several declared versions to bring next."""

from collections.abc import Collection, Mapping, Sequence
import dataclasses
import types as builtin_types

from clementinegw.direct import declarations

Declaration = declarations.Declaration

_NOTHING_LEFT: Mapping[int, float] = builtin_types.MappingProxyType({})

# By how much an agent's own progress may differ from what links usually bring
# by then and be taken for it: single pieces and their order make 0.1 to 0.2.
_FAR_APART = 0.35


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
    left_behind: Mapping[int, float] = _NOTHING_LEFT,
) -> int:
    """Returns the version to bring; 0 when none is declared.

    A newer version serves for an older one as well, so the newest is brought
    where it can come in time for both. Where it cannot, that one goes first
    which leaves the shorter time without a server that may begin anything.

    Args:
      declared: What was named, by version.
      current: What is under way.
      terms: What a rollout takes.
      now: Boot seconds.
      aside: Versions that stall, and those that are served already.
      left_behind: The part that was missing of versions that were under way
        before, when another one took over.
    """
    if not declared:
        return 0
    # The origin may be cut off right after a newer version was named. The
    # pieces of the one before lie with all agents; without it nothing could
    # serve from its due time on. Where all stall, the newest is tried again.
    useful = _useful(declared, current, left_behind, terms, now)
    declared = [d for d in useful if d.version not in aside] or useful[-1:]
    newest = declared[-1]
    older = [d for d in declared if current and d.version == current.version]
    if not older or current is None or current.version >= newest.version:
        return newest.version
    if current.left <= 0:
        return newest.version
    left = _agreed_left(older[0], current, terms, now)
    current = dataclasses.replace(current, left=left)
    dropped_s = _gap_dropped_s(older[0], terms, now)
    ended_s = _gap_ended_s(older[0], newest, current, terms, now)
    if ended_s == dropped_s:
        # Links seldom bring what they could: what has time to spare goes first.
        dropped_s = -_spare_dropped_s(older[0], terms, now)
        ended_s = -_spare_ended_s(older[0], newest, current, terms, now)
    return current.version if ended_s < dropped_s else newest.version


def spreads_first(
    older: Declaration,
    newest: Declaration,
    unspread_s: float,
    terms: Terms,
    now: float,
) -> bool:
    """Returns whether an older version's last pieces go before the newest.

    Left a moment before, it is of no use to anybody if the origin is cut off
    before the newest one is out: neither comes, and nothing may begin.

    Args:
      older: The version under way.
      newest: The one that it would hold up.
      unspread_s: How long the origin takes to send what no agent has of it.
      terms: What a rollout takes.
      now: Boot seconds.
    """
    # An origin that has not sent them for as long as a version takes will not.
    if not unspread_s or now - older.at >= terms.bring_s:
        return False
    # It serves alone from its own due time to the newest one's. Of two that
    # were named while the platform was away, and became known together, the
    # older one serves nobody, and would hold the newest one up.
    if unspread_s > newest.at - older.at:
        return False
    # Not where the newest one would come late by it, and neither be in time.
    return unspread_s <= _spare_dropped_s(older, terms, now)


def _useful(
    declared: Sequence[Declaration],
    current: Progress | None,
    left_behind: Mapping[int, float],
    terms: Terms,
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
        left = left_behind.get(version.version, 0.0)
        if current is not None and current.version == version.version:
            left = current.left
        serves_at = now + left * terms.bring_s + terms.swap_s
        if serves_at < newer.at + terms.due_s:
            found.append(version)
    return [*found, declared[-1]]


def _agreed_left(
    older: Declaration, current: Progress, terms: Terms, now: float
) -> float:
    """Returns the part that is missing, as all agents will count it.

    Agents that are a few pieces apart must not decide otherwise: half of them
    would drop a version that the others end, which then takes longer. All know
    when it was named; an agent's own count goes first only where it is far
    behind or ahead.
    """
    usual = 1.0 - (now - older.at) / terms.bring_s
    usual = min(1.0, max(0.0, usual))
    if abs(current.left - usual) > _FAR_APART:
        return current.left
    return usual


def _spare_dropped_s(older: Declaration, terms: Terms, now: float) -> float:
    """Returns how long before the first due time the newest one serves.

    Negative where it comes later; where the older one is dropped.
    """
    newest_at = now + terms.bring_s + terms.swap_s
    return older.at + terms.due_s - newest_at


def _spare_ended_s(
    older: Declaration,
    newest: Declaration,
    current: Progress,
    terms: Terms,
    now: float,
) -> float:
    """Returns the time to spare at the tighter of both due times.

    Where the older one is ended.
    """
    older_at, newest_at = _serve_at(current, terms, now)
    older_s = older.at + terms.due_s - older_at
    return min(older_s, newest.at + terms.due_s - newest_at)


def _serve_at(
    current: Progress, terms: Terms, now: float
) -> tuple[float, float]:
    """Returns when both versions serve where the older one is ended."""
    ended_at = now + current.left * terms.bring_s
    newest_at = ended_at + terms.bring_s + terms.swap_s
    return ended_at + terms.swap_s, newest_at


def _gap_dropped_s(older: Declaration, terms: Terms, now: float) -> float:
    """Returns how long nothing may begin where the older one is dropped."""
    return max(0.0, -_spare_dropped_s(older, terms, now))


def _gap_ended_s(
    older: Declaration,
    newest: Declaration,
    current: Progress,
    terms: Terms,
    now: float,
) -> float:
    """Returns for how long nothing may begin where the older one is ended.

    Two gaps: from the older one's due time until it serves, and from the
    newest one's until that does. An older one that comes late still ends the
    first gap: dropped because it would be late by a moment, it leaves a longer
    one.
    """
    older_at, newest_at = _serve_at(current, terms, now)
    older_due = older.at + terms.due_s
    newest_due = newest.at + terms.due_s
    # What the older one serves between its arrival and the newest one's time.
    served_s = min(newest_due, newest_at) - max(older_at, older_due)
    return max(0.0, newest_at - older_due) - max(0.0, served_s)
