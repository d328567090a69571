"""Index of the prompt prefixes that workers probably have in their caches.

Engines publish cache events late and with gaps, so the index is approximate. A
wrong item costs the computation of one prompt, as long as it does not persist.
Each item therefore expires unless a later report repeats it.
"""

from collections.abc import Iterable, Sequence

# A prompt that this entry routed to a worker is probably cached there. Unless a
# report confirms it within this time, in seconds, it no longer counts.
ROUTED_TTL_S = 10.0
# A reported prefix expires after this time, in seconds, in case its eviction
# was lost in a gap. The symptom would be a worker that keeps receiving prompts
# it no longer has cached.
REPORTED_TTL_S = 60.0
MAX_PREFIXES = 50_000


class PrefixIndex:
    """The prefixes that the workers of one service have probably cached."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES):
        """Starts empty.

        Args:
          max_prefixes: The maximum number of hashes, over all workers.
        """
        self._max_prefixes = max_prefixes
        # Expiry by worker by hash; the least recently used hashes come first.
        self._holders: dict[int, dict[str, float]] = {}
        self._reported: dict[str, frozenset[int]] = {}

    def __len__(self) -> int:
        """Returns the number of hashes in the index."""
        return len(self._holders)

    def record_routed(
        self, worker: str, prefixes: Sequence[int], now: float
    ) -> None:
        """Records that a prompt was sent to a worker, which will cache it."""
        self._record(worker, prefixes, now + ROUTED_TTL_S)

    def apply_report(
        self, worker: str, prefixes: Iterable[int], now: float
    ) -> None:
        """Applies a worker's report of its cache, perhaps old or incomplete.

        A hash that the last report contained and this one does not was evicted.
        A hash that neither contains is left to expire, because the prompt may
        have been routed to the worker after the report was made.

        Args:
          worker: The name of the worker.
          prefixes: The hashes in its cache.
          now: The current time, in monotonic seconds.
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
        """Applies changes of a worker's cache since its last report.

        Args:
          worker: The name of the worker.
          added: The hashes added to its cache.
          removed: The hashes removed from its cache.
          now: The current time, in monotonic seconds.
        """
        added_set, removed_set = frozenset(added), frozenset(removed)
        held = self._reported.get(worker, frozenset())
        for prefix in held & removed_set:
            self._remove(worker, prefix)
        self._reported[worker] = (held - removed_set) | added_set
        self._record(worker, added_set, now + REPORTED_TTL_S)

    def forget(self, worker: str) -> None:
        """Removes a worker whose cache was lost or whose version changed."""
        self._reported.pop(worker, None)
        for prefix in [p for p, h in self._holders.items() if worker in h]:
            self._remove(worker, prefix)

    def matches(self, prefixes: Sequence[int], now: float) -> dict[str, int]:
        """Returns how many blocks of a prompt each worker probably has cached.

        Args:
          prefixes: The hashes of the prompt's prefixes, shortest first.
          now: The current time, in monotonic seconds.

        Returns:
          The number of blocks by worker; workers without a match are absent.
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
            # Removed and reinserted to keep the least recently used first.
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
