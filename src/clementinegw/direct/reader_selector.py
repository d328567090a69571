"""Chooses whom to ask about topics: another process, or the store."""

from collections.abc import Callable

from clementinegw import types

# None stands for the store.
Reader = types.Address | None

# How many other processes are asked before the store: for everything few, since
# each that is down takes up to half a second; for changes more, since they are
# asked side by side and one of them may hold what the store takes long to send.
_MAX_PEERS_FOR_SNAPSHOT = 3
_MAX_PEERS_FOR_CHANGES = 7
# How long a reader that failed is not asked, in seconds: doubled with each
# failure up to the longest.
_MIN_BACKOFF_S = 2.0
_MAX_BACKOFF_S = 16.0
# After a loss of power of all, the readers of before come up within a second of
# each other. So long, in seconds, a process that starts asks them again and
# again before it reads the store itself; and each after this pause.
_STARTUP_S = 1.2
_STARTUP_BACKOFF_S = 0.15
# While nobody reaches the store, so many of the first readers go on trying it;
# the peers ask these, and try it themselves only this often, in seconds: all
# of them would read what has changed at the same moment, over one link, when it
# returns. One that it turns away alone finds out so that it is back.
_MAX_PROBERS = 2
_PROBE_INTERVAL_S = 4.0


class ReaderSelector:
    """Who is asked next, by what the readers have done so far."""

    def __init__(self, clock: Callable[[], float]):
        """Begins with the store alone; `own_address` is set once it is known.

        Args:
          clock: Steady seconds.
        """
        # Where this process answers peers; None when it only asks.
        self.own_address: types.Address | None = None
        self._clock = clock
        self._startup_until = clock() + _STARTUP_S
        self._candidates: tuple[types.Address, ...] = ()
        self._backoff_until: dict[Reader, float] = {}
        self._failures: dict[Reader, int] = {}
        # Readers that gave no answer at all when they were asked last.
        self._unreachable: set[Reader] = set()
        self._probe_at = 0.0

    @property
    def candidates(self) -> tuple[types.Address, ...]:
        """Who may read for the failure domain, the first one first."""
        return self._candidates

    def set_candidates(self, candidates: tuple[types.Address, ...]) -> bool:
        """Takes the newest candidates; returns whether they changed."""
        if candidates == self._candidates:
            return False
        self._candidates = candidates
        known = {None, *candidates}
        for reader in (self._backoff_until.keys() | self._unreachable) - known:
            self.record_success(reader)
        return True

    def order(self, serving: bool, is_snapshot: bool = True) -> list[Reader]:
        """Returns whom to ask, one after the other.

        Args:
          serving: Whether peers ask this process: it then reads the store
            itself, so that nobody waits for somebody who waits for him.
          is_snapshot: Whether everything is asked for, not changes.

        Returns:
          Nobody when this process has just started, and so may the readers.
        """
        now = self._clock()
        ranked = self._ranked(
            _MAX_PEERS_FOR_SNAPSHOT if is_snapshot else _MAX_PEERS_FOR_CHANGES
        )
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

    def _order_after_failures(
        self, ranked: list[Reader], now: float
    ) -> list[Reader]:
        """Returns whom to ask where all have failed just now."""
        reachable = [
            r for r in ranked if r is not None and r not in self._unreachable
        ]
        peers = reachable[:_MAX_PROBERS]
        rank = self._rank()
        if rank >= _MAX_PROBERS and peers and now < self._probe_at:
            return [*peers]
        self._probe_at = now + _PROBE_INTERVAL_S
        return [None, *peers]

    def _rank(self) -> int:
        """Returns where this process stands among the readers that live.

        Dead ones may be listed for as long as the store is away. Counted, they
        would leave nobody to find out that it is back.
        """
        reachable = [r for r in self._candidates if r not in self._unreachable]
        if self.own_address is None or self.own_address not in reachable:
            return len(reachable)
        return reachable.index(self.own_address)

    def is_backed_off(self, reader: Reader) -> bool:
        """Whether a reader failed just now."""
        return self._backoff_until.get(reader, 0.0) > self._clock()

    def record_failure(self, reader: Reader, unreachable: bool = False) -> None:
        """Puts a reader aside for a while.

        Args:
          reader: The reader.
          unreachable: Whether it gave no answer at all; one that says that the
            store is out of reach for it lives.
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
        """Forgets a reader's failures."""
        self._failures.pop(reader, None)
        self._unreachable.discard(reader)
        self._backoff_until.pop(reader, None)

    def _ranked(self, max_peers: int) -> list[Reader]:
        ranked: list[Reader] = []
        for candidate in self._candidates:
            if candidate == self.own_address:
                ranked.append(None)
            elif len(ranked) - (None in ranked) < max_peers:
                ranked.append(candidate)
        if None not in ranked:
            ranked.append(None)
        return ranked
