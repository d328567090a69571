"""Which processes follow the log directly, without a leader.

Were all 1,180 processes to follow the log, it would hold as many long polls
and send each change as often. So in each failure domain the first few by a
hash of their names do, and the others take the records from one of those.
Where views of the members differ, some more follow the log, or a process finds
that its relay is none; both do no harm.
"""

from collections.abc import Iterable
import functools
import heapq

import xxhash

# One entry a member of the failure domain; more would be another deployment.
_RANK_CACHE_SIZE = 4096


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank(salt: str, instance_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}/{instance_id}".encode())


def ranked(members: Iterable[str], salt: str = "relay") -> list[str]:
    """Returns the members in the order in which they become relays."""
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
      members: The live members of its failure domain, itself included.
      count: How many relays a failure domain has; 0 makes each one a relay.
    """
    if count == 0:
        return True
    return instance_id in _top_ranked(members, count)


def upstreams(
    instance_id: str, members: Iterable[str], count: int
) -> list[str]:
    """Returns the relays that a process asks, in the order of preference.

    The order differs between processes, so that the relays share the load.
    """
    relays = [m for m in _top_ranked(members, count) if m != instance_id]
    return ranked(relays, instance_id)
