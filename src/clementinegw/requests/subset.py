"""Chooses the agents an entry connects to, without communication.

Every entry places the workers of a service on the same ring and chooses
consecutive ones. The starts are evenly spaced, so that the numbers of entries
per worker differ by at most one, and a member that joins or leaves shifts each
choice by at most one position.
"""

from collections.abc import Sequence

import xxhash

# Minimum number of entries that connect to each worker, so that the loss of an
# entry leaves no worker idle or with the requests of one entry only.
MIN_COVERAGE = 3


def choose(
    me: str,
    entries: Sequence[str],
    workers: Sequence[str],
    size: int,
) -> list[str]:
    """Returns the workers that one entry connects to.

    Args:
      me: The instance id of the entry.
      entries: The instance ids of all entries that share these workers, in any
        order.
      workers: The instance ids of all workers of one service in one failure
        domain, in any order.
      size: The minimum number of workers to choose.

    Returns:
      The chosen workers in ring order: at least `size`, or all of them.
    """
    if not workers:
        return []
    ring = sorted(workers, key=_position)
    ordered = sorted({me, *entries}, key=_position)
    count = len(ring)
    coverage = -(-count * MIN_COVERAGE // len(ordered))
    length = min(count, max(size, coverage))
    start = ordered.index(me) * count // len(ordered)
    return [ring[(start + step) % count] for step in range(length)]


def _position(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name
