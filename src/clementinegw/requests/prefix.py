"""Which worker probably holds which prompt prefixes in its cache.

Engines publish cache events late and with gaps, so nothing here is certain. A
wrong entry costs one prompt's computation; what matters is that it does not
last. Each entry therefore expires unless a later report repeats it.
"""

from collections.abc import Iterable, Sequence

# What this entry routed to a worker is probably cached there; a report that
# lists it must come within this time.
ROUTED_TTL_S = 10.0
# A reported prefix may have been evicted with the event lost in a gap. One
# would notice it as a worker that gets prompts it no longer has cached.
REPORTED_TTL_S = 60.0
MAX_PREFIXES = 50_000


class PrefixIndex:
    """The prefixes that workers of one service probably hold."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES):
        """Starts empty.

        Args:
          max_prefixes: Hashes remembered at most, over all workers.
        """
        self._max_prefixes = max_prefixes
        # Hash to worker to expiry, hashes used least recently first.
        self._holders: dict[int, dict[str, float]] = {}
        self._reported: dict[str, frozenset[int]] = {}

    def __len__(self) -> int:
        """Returns how many hashes are remembered."""
        return len(self._holders)

    def record_routed(
        self, worker: str, prefixes: Sequence[int], now: float
    ) -> None:
        """Notes that a prompt went to a worker, which will cache it."""
        self._record(worker, prefixes, now + ROUTED_TTL_S)

    def apply_report(
        self, worker: str, prefixes: Iterable[int], now: float
    ) -> None:
        """Takes a worker's report of its cache, perhaps old or incomplete.

        A hash that the last report had and this one lacks has been evicted. A
        hash that neither has is left to expire: the prompt may have been
        routed there after the report was made.
        """
        held = frozenset(prefixes)
        for prefix in self._reported.get(worker, frozenset()) - held:
            self._remove(worker, prefix)
        self._reported[worker] = held
        self._record(worker, held, now + REPORTED_TTL_S)

    def apply_changes(
        self,
        worker: str,
        added: Iterable[int],
        removed: Iterable[int],
        now: float,
    ) -> None:
        """Takes what has changed in a worker's cache since its last report.

        Args:
          worker: The worker.
          added: Hashes that its cache holds since then.
          removed: Hashes that it holds no longer.
          now: Monotonic seconds.
        """
        added_set, removed_set = frozenset(added), frozenset(removed)
        held = self._reported.get(worker, frozenset())
        for prefix in held & removed_set:
            self._remove(worker, prefix)
        self._reported[worker] = (held - removed_set) | added_set
        self._record(worker, added_set, now + REPORTED_TTL_S)

    def forget(self, worker: str) -> None:
        """Drops what is known of a worker that died or loaded a version."""
        self._reported.pop(worker, None)
        for prefix in [p for p, h in self._holders.items() if worker in h]:
            self._remove(worker, prefix)

    def matches(self, prefixes: Sequence[int], now: float) -> dict[str, int]:
        """Returns how many blocks of a prompt each worker probably holds.

        Args:
          prefixes: The prompt's hashes, shortest prefix first.
          now: Monotonic seconds.

        Returns:
          Blocks by worker; workers without a match are absent.
        """
        found: dict[str, int] = {}
        for index in range(len(prefixes) - 1, -1, -1):
            holders = self._holders.get(prefixes[index])
            if not holders:
                continue
            for worker, expiry in holders.items():
                if expiry > now and worker not in found:
                    found[worker] = index + 1
        return found

    def _record(
        self, worker: str, prefixes: Iterable[int], expiry: float
    ) -> None:
        for prefix in prefixes:
            # Taken out and put back, so that the oldest use comes first.
            holders = self._holders.pop(prefix, None)
            if holders is None:
                holders = {}
            if holders.get(worker, 0.0) < expiry:
                holders[worker] = expiry
            self._holders[prefix] = holders
        while len(self._holders) > self._max_prefixes:
            del self._holders[next(iter(self._holders))]

    def _remove(self, worker: str, prefix: int) -> None:
        holders = self._holders.get(prefix)
        if holders is None:
            return
        holders.pop(worker, None)
        if not holders:
            del self._holders[prefix]
