"""Which agents an entry keeps connections to, chosen without talking.

Every entry lays the workers of a service on the same ring and takes a run of
neighbours. The runs start evenly spaced, so every worker is covered by the same
number of entries, give or take one, and a member that comes or goes moves each
run by at most one place.
"""

from collections.abc import Sequence

import xxhash

# Each worker is covered by this many entries at least, so that the loss of one
# entry neither idles a worker nor leaves it to a single entry's traffic.
MIN_COVERAGE = 3


def choose(
    me: str,
    entries: Sequence[str],
    workers: Sequence[str],
    size: int,
) -> list[str]:
    """Returns the workers that one entry connects to.

    Args:
      me: The entry.
      entries: All entries that share these workers, in any order.
      workers: All workers of one service in one tier, in any order.
      size: How many workers an entry wants at least.

    Returns:
      Workers in ring order: at least `size` of them, or all.
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
