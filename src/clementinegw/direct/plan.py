"""Chooses which of several declared versions to fetch next."""

from collections.abc import Collection, Mapping, Sequence
import dataclasses
import types as builtin_types

from clementinegw.direct import declarations

Declaration = declarations.Declaration

_NO_ABANDONED: Mapping[int, float] = builtin_types.MappingProxyType({})

# How far an agent's own missing fraction may differ from the estimate for all
# agents before its own is used. The order of chunks and single late chunks
# account for differences of 0.1 to 0.2.
_MAX_PROGRESS_DEVIATION = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The progress of the version that is being fetched.

    Attributes:
      version: The version's number.
      missing: The fraction of its chunks that is missing.
    """

    version: int
    missing: float


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutTiming:
    """The durations of a rollout in this deployment, all in seconds.

    Attributes:
      fetch_s: The time to fetch a whole version over the links.
      swap_s: The time from the last chunk until servers serve the version.
      due_s: The time after its declaration by which a version must serve.
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
    """Returns the version to fetch; 0 if none is declared.

    A newer version satisfies the deadline of an older one as well, so the
    newest is fetched if it can meet both deadlines. Otherwise the order is the
    one with the shorter outage, that is, time without any server on a version
    that may start requests.

    Args:
      declared: The declared versions, the newest last.
      current: The version that is being fetched; None if there is none.
      timing: The durations of a rollout.
      now: The current boot time, in seconds.
      excluded: Versions that have stalled or are served already.
      abandoned_missing: For versions that were replaced as the target before
        they were complete, the fraction of chunks missing at that time.
    """
    if not declared:
        return 0
    # The origin may become unreachable right after a newer version is declared,
    # while the agents together hold the chunks of the older one. Without
    # the older one no server could serve from its due time on. If all versions
    # stall, the newest is tried again.
    usable = _servable_before_next(
        declared, current, abandoned_missing, timing, now
    )
    declared = [d for d in usable if d.version not in excluded] or usable[-1:]
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
        # Links rarely reach their full rate, so the order with more slack wins.
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
    """Returns whether an older version's last chunks go before the newest.

    If the older version is abandoned just before its last chunks leave the
    origin, and the origin becomes unreachable before it has sent the newest,
    neither version can be completed and no server may start requests.

    Args:
      older: The version that is being fetched.
      newest: The version that would be delayed.
      unspread_s: How long the origin takes to send the chunks of the older
        version that no agent has, in seconds.
      timing: The durations of a rollout.
      now: The current boot time, in seconds.
    """
    # An origin that has not sent them within the time for a whole version is
    # not expected to.
    if not unspread_s or now - older.declared_at >= timing.fetch_s:
        return False
    # The older version is needed from its due time until the newest one's. If
    # both became known together after an outage of the platform, the older one
    # serves no requests and would only delay the newest.
    if unspread_s > newest.declared_at - older.declared_at:
        return False
    # Otherwise the delay could make both versions late.
    return unspread_s <= _slack_if_dropped_s(older, timing, now)


def _servable_before_next(
    declared: Sequence[Declaration],
    current: Progress | None,
    abandoned_missing: Mapping[int, float],
    timing: RolloutTiming,
    now: float,
) -> list[Declaration]:
    """Returns the versions that can serve before the next newer one is due.

    Finishing a version after that time is useless and delays the newest one.
    The newest version is always included.
    """
    useful = []
    for version, newer in zip(declared, declared[1:], strict=False):
        # A version that was never the target counts as complete, as it is
        # unknown which of its chunks are missing. An abandoned version counts
        # with the fraction that was missing then: if it counted as complete, it
        # would be resumed at once and abandoned again in the next step.
        missing = abandoned_missing.get(version.version, 0.0)
        if current is not None and current.version == version.version:
            missing = current.missing
        serves_at = now + missing * timing.fetch_s + timing.swap_s
        if serves_at < newer.declared_at + timing.due_s:
            useful.append(version)
    return [*useful, declared[-1]]


def _expected_missing(
    older: Declaration, current: Progress, timing: RolloutTiming, now: float
) -> float:
    """Returns the missing fraction as all agents estimate it.

    Agents whose progress differs by a few chunks must not decide differently:
    half of them would drop a version that the others finish, which then takes
    longer. So the fraction is derived from the declaration time, which all of
    them know. An agent uses its own fraction only if it is far off.
    """
    expected = 1.0 - (now - older.declared_at) / timing.fetch_s
    expected = min(1.0, max(0.0, expected))
    if abs(current.missing - expected) > _MAX_PROGRESS_DEVIATION:
        return current.missing
    return expected


def _slack_if_dropped_s(
    older: Declaration, timing: RolloutTiming, now: float
) -> float:
    """Returns the slack until the older due time if the older is dropped.

    Negative if the newest version serves only after that due time, in seconds.
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
    """Returns the smaller slack of both due times if the older is finished.

    Negative if one of the versions serves too late, in seconds.
    """
    older_at, newest_at = _serving_times(current, timing, now)
    older_s = older.declared_at + timing.due_s - older_at
    return min(older_s, newest.declared_at + timing.due_s - newest_at)


def _serving_times(
    current: Progress, timing: RolloutTiming, now: float
) -> tuple[float, float]:
    """Returns when older and newest serve if the older one is finished."""
    finished_at = now + current.missing * timing.fetch_s
    newest_at = finished_at + timing.fetch_s + timing.swap_s
    return finished_at + timing.swap_s, newest_at


def _outage_if_dropped_s(
    older: Declaration, timing: RolloutTiming, now: float
) -> float:
    """Returns the outage in seconds if the older version is dropped."""
    return max(0.0, -_slack_if_dropped_s(older, timing, now))


def _outage_if_finished_s(
    older: Declaration,
    newest: Declaration,
    current: Progress,
    timing: RolloutTiming,
    now: float,
) -> float:
    """Returns the outage in seconds if the older version is finished.

    It has two parts: from the older version's due time until it serves, and
    from the newest one's due time until that serves. An older version that is
    slightly late still ends the first part, whereas dropping it would make the
    outage longer.
    """
    older_at, newest_at = _serving_times(current, timing, now)
    older_due = older.declared_at + timing.due_s
    newest_due = newest.declared_at + timing.due_s
    # How long the older version serves before the newest one is required.
    served_s = min(newest_due, newest_at) - max(older_at, older_due)
    return max(0.0, newest_at - older_due) - max(0.0, served_s)
