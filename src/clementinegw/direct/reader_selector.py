"""Selects where topics are read from: other processes or the store."""

from collections.abc import Callable

from clementinegw import types

# The address of a reader process; None for the store.
Reader = types.Address | None

# How many peers are queried before the store is read. For a snapshot it is few,
# since each peer that is down costs up to half a second. For changes it is
# more, since peers are queried in parallel and one of them may already have
# what the store takes long to send.
_MAX_PEERS_FOR_SNAPSHOT = 3
_MAX_PEERS_FOR_CHANGES = 7
# How long a reader is not queried after a failure, in seconds. It is doubled
# with each further failure up to the maximum.
_MIN_BACKOFF_S = 2.0
_MAX_BACKOFF_S = 16.0
# After a power loss of a whole failure domain, the previous readers start
# within a second of each other. For this long after its own start, in seconds,
# a process keeps querying them, each after this backoff, before it reads the
# store itself.
_STARTUP_S = 1.2
_STARTUP_BACKOFF_S = 0.15
# While no process reaches the store, this many of the first readers keep trying
# it. The others query these and try the store themselves only at this interval,
# in seconds. Otherwise all of them would read the changes over one link at the
# same time when the store returns. The interval also lets a process whose own
# connection to the store had failed detect its recovery.
_MAX_PROBERS = 2
_PROBE_INTERVAL_S = 4.0


class ReaderSelector:
    """Orders the readers to query by their rank and their recent failures."""

    def __init__(self, clock: Callable[[], float]):
        """Starts with the store as the only reader.

        Args:
          clock: Returns monotonic seconds.
        """
        # Where this process answers its peers, once it is known; None if it
        # only queries them.
        self.own_address: types.Address | None = None
        self._clock = clock
        self._startup_until = clock() + _STARTUP_S
        self._candidates: tuple[types.Address, ...] = ()
        self._backoff_until: dict[Reader, float] = {}
        self._failures: dict[Reader, int] = {}
        # Readers that gave no answer at all to the last query.
        self._unreachable: set[Reader] = set()
        self._next_probe_at = 0.0

    @property
    def candidates(self) -> tuple[types.Address, ...]:
        """The readers of the failure domain, the preferred one first."""
        return self._candidates

    def set_candidates(self, candidates: tuple[types.Address, ...]) -> bool:
        """Sets the candidates and returns whether they changed."""
        if candidates == self._candidates:
            return False
        self._candidates = candidates
        known = {None, *candidates}
        for reader in (self._backoff_until.keys() | self._unreachable) - known:
            self.record_success(reader)
        return True

    def order(self, serving: bool, is_snapshot: bool = True) -> list[Reader]:
        """Returns the readers to query, in order.

        Args:
          serving: Whether peers query this process. It then prefers the store,
            so that processes do not wait for each other in a cycle.
          is_snapshot: Whether a snapshot is needed and not changes.

        Returns:
          The readers; none if this process has just started and the other
          readers may still be starting.
        """
        now = self._clock()
        ranked = self._ranked(_max_peers(is_snapshot))
        if serving:
            ranked.sort(key=lambda reader: reader is not None)
        starting_up = now < self._startup_until and ranked[0] is not None
        if starting_up:
            ranked.remove(None)
        usable = [r for r in ranked if self._backoff_until.get(r, 0.0) <= now]
        return (
            usable
            if usable or starting_up
            else self._order_after_failures(ranked, now)
        )

    def usable_peers(self, is_snapshot: bool) -> list[Reader]:
        """Returns the peers that may be queried now, in order.

        Args:
          is_snapshot: Whether a snapshot is needed and not changes.
        """
        now = self._clock()
        return [
            reader
            for reader in self._ranked(_max_peers(is_snapshot))
            if reader is not None
            and self._backoff_until.get(reader, 0.0) <= now
        ]

    def _order_after_failures(
        self, ranked: list[Reader], now: float
    ) -> list[Reader]:
        """Returns whom to query when all readers have failed recently."""
        reachable = [
            r for r in ranked if r is not None and r not in self._unreachable
        ]
        peers = reachable[:_MAX_PROBERS]
        rank = self._rank()
        if rank >= _MAX_PROBERS and peers and now < self._next_probe_at:
            return [*peers]
        self._next_probe_at = now + _PROBE_INTERVAL_S
        return [None, *peers]

    def _rank(self) -> int:
        """Returns the rank of this process among the reachable readers.

        Dead readers may be listed for as long as the store is unavailable. If
        they counted, no process might be left to detect its recovery.
        """
        reachable = [r for r in self._candidates if r not in self._unreachable]
        if self.own_address is None or self.own_address not in reachable:
            return len(reachable)
        return reachable.index(self.own_address)

    def is_backed_off(self, reader: Reader) -> bool:
        """Returns whether a reader is in backoff after a failure."""
        return self._backoff_until.get(reader, 0.0) > self._clock()

    def record_failure(self, reader: Reader, unreachable: bool = False) -> None:
        """Starts or extends the backoff of a reader.

        Args:
          reader: The reader.
          unreachable: Whether it gave no answer at all. A reader that answers
            that it cannot reach the store is alive.
        """
        if unreachable:
            self._unreachable.add(reader)
        else:
            self._unreachable.discard(reader)
        if reader is not None and self._clock() < self._startup_until:
            self._backoff_until[reader] = self._clock() + _STARTUP_BACKOFF_S
            return
        failures = self._failures.get(reader, 0)
        backoff_s = min(_MIN_BACKOFF_S * 2**failures, _MAX_BACKOFF_S)
        self._failures[reader] = min(failures + 1, 8)
        self._backoff_until[reader] = self._clock() + backoff_s

    def record_success(self, reader: Reader) -> None:
        """Clears the failures and the backoff of a reader."""
        self._failures.pop(reader, None)
        self._unreachable.discard(reader)
        self._backoff_until.pop(reader, None)

    def _is_skipped(self, candidate: types.Address, now: float) -> bool:
        return (
            now >= self._startup_until
            and candidate in self._unreachable
            and self._backoff_until.get(candidate, 0.0) > now
        )

    def _ranked(self, max_peers: int) -> list[Reader]:
        """Returns the first candidates in order, with the store for itself.

        Candidates that gave no answer are skipped while they are in backoff.
        Otherwise, if the first ones are down, all processes would read the
        store over one link.
        """
        now = self._clock()
        ranked: list[Reader] = []
        peers = 0
        for candidate in self._candidates:
            if candidate == self.own_address:
                ranked.append(None)
            elif peers < max_peers and not self._is_skipped(candidate, now):
                ranked.append(candidate)
                peers += 1
        if None not in ranked:
            ranked.append(None)
        return ranked


def _max_peers(is_snapshot: bool) -> int:
    return _MAX_PEERS_FOR_SNAPSHOT if is_snapshot else _MAX_PEERS_FOR_CHANGES
