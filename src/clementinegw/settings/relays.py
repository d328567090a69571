"""Selects the processes that follow the log directly, without a leader.

If all 1,180 processes followed the log, it would have as many long polls open
and send each change as many times. So in each failure domain only the first
few processes by a hash of their ids follow it, as relays; the others pull the
records from one of them. Where views of the membership differ, a few more
processes follow the log, or a process pulls from one that is not a relay.
Neither does harm.
"""

from collections.abc import Iterable
import functools
import heapq

import xxhash

# One entry per member of the failure domain. Larger failure domains are out of
# scope.
_RANK_CACHE_SIZE = 4096


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank(salt: str, instance_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}/{instance_id}".encode())


def ranked(members: Iterable[str], salt: str = "relay") -> list[str]:
    """Returns the members in the order in which they are chosen as relays."""
    return sorted(members, key=lambda member: (_rank(salt, member), member))


def _top_ranked(members: Iterable[str], count: int) -> list[str]:
    return _cached_top_ranked(tuple(members), count)


@functools.lru_cache(maxsize=8)
def _cached_top_ranked(members: tuple[str, ...], count: int) -> list[str]:
    return heapq.nsmallest(
        count, members, key=lambda member: (_rank("relay", member), member)
    )


def is_relay(instance_id: str, members: Iterable[str], count: int) -> bool:
    """Returns whether a process follows the log directly.

    Args:
      instance_id: The process.
      members: The live members of its failure domain, including itself.
      count: The number of relays in a failure domain; with 0, every process
        is a relay.
    """
    if count == 0:
        return True
    return instance_id in _top_ranked(members, count)


def upstreams(
    instance_id: str, members: Iterable[str], count: int
) -> list[str]:
    """Returns the relays that a process pulls from, in order of preference.

    The order differs between processes, so that the relays share the load.
    """
    relays = [m for m in _top_ranked(members, count) if m != instance_id]
    return ranked(relays, instance_id)
