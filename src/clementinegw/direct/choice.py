"""Chooses whom to ask about topics: another process, or the store."""

from collections.abc import Callable

from clementinegw import types

# None stands for the store.
Reader = types.Address | None

# How many other processes are asked before the store: for everything few, since
# each that is down takes up to half a second; for changes more, since they are
# asked side by side and one of them may hold what the store takes long to send.
_MOST_OTHERS_WHOLE = 3
_MOST_OTHERS = 7
# How long a reader that failed is not asked, in seconds: doubled with each
# failure up to the longest.
_FIRST_ASIDE_S = 2.0
_LONGEST_ASIDE_S = 16.0
# After a loss of power of all, the readers of before come up within a second of
# each other. So long, in seconds, a process that starts asks them again and
# again before it reads the store itself; and each after this pause.
_START_S = 1.2
_START_ASIDE_S = 0.15
# While nobody reaches the store, so many of the first readers go on trying it;
# the others ask these, and try it themselves only this often, in seconds: all
# of them would read what has changed at the same moment, over one link, when it
# returns. One that it turns away alone finds out so that it is back.
_TRIERS = 2
_TRY_S = 4.0


class Choice:
    """Who is asked next, by what the readers have done so far."""

    def __init__(self, clock: Callable[[], float]):
        """Begins with the store alone; `me` is set once it is known.

        Args:
          clock: Steady seconds.
        """
        # Where this process answers others; None when it only asks.
        self.me: types.Address | None = None
        self._clock = clock
        self._start_until = clock() + _START_S
        self._candidates: tuple[types.Address, ...] = ()
        self._aside_until: dict[Reader, float] = {}
        self._failures: dict[Reader, int] = {}
        # Readers that gave no answer at all when they were asked last.
        self._gone: set[Reader] = set()
        self._try_at = 0.0

    @property
    def candidates(self) -> tuple[types.Address, ...]:
        """Who may read for the failure domain, the first one first."""
        return self._candidates

    def offer(self, candidates: tuple[types.Address, ...]) -> bool:
        """Takes the newest candidates; returns whether they are others."""
        if candidates == self._candidates:
            return False
        self._candidates = candidates
        known = {None, *candidates}
        for reader in (self._aside_until.keys() | self._gone) - known:
            self.worked(reader)
        return True

    def order(self, serving: bool, whole: bool = True) -> list[Reader]:
        """Returns whom to ask, one after the other.

        Args:
          serving: Whether others ask this process: it then reads the store
            itself, so that nobody waits for somebody who waits for him.
          whole: Whether everything is asked for, not changes.

        Returns:
          Nobody when this process has just started, and so may the readers.
        """
        now = self._clock()
        ranked = self._ranked(_MOST_OTHERS_WHOLE if whole else _MOST_OTHERS)
        if serving:
            ranked.sort(key=lambda reader: reader is not None)
        starting = now < self._start_until and ranked[0] is not None
        if starting:
            ranked.remove(None)
        fit = [r for r in ranked if self._aside_until.get(r, 0.0) <= now]
        return fit if fit or starting else self._all_aside(ranked, now)

    def _all_aside(self, ranked: list[Reader], now: float) -> list[Reader]:
        """Returns whom to ask where all have failed just now."""
        alive = [r for r in ranked if r is not None and r not in self._gone]
        others = alive[:_TRIERS]
        rank = self._rank()
        if rank >= _TRIERS and others and now < self._try_at:
            return [*others]
        self._try_at = now + _TRY_S
        return [None, *others]

    def _rank(self) -> int:
        """Returns where this process stands among the readers that live.

        Dead ones may be listed for as long as the store is away. Counted, they
        would leave nobody to find out that it is back.
        """
        alive = [r for r in self._candidates if r not in self._gone]
        if self.me is None or self.me not in alive:
            return len(alive)
        return alive.index(self.me)

    def is_aside(self, reader: Reader) -> bool:
        """Whether a reader failed just now."""
        return self._aside_until.get(reader, 0.0) > self._clock()

    def failed(self, reader: Reader, gone: bool = False) -> None:
        """Puts a reader aside for a while.

        Args:
          reader: The reader.
          gone: Whether it gave no answer at all; one that says that the store
            is out of reach for it lives.
        """
        if gone:
            self._gone.add(reader)
        else:
            self._gone.discard(reader)
        if reader is not None and self._clock() < self._start_until:
            self._aside_until[reader] = self._clock() + _START_ASIDE_S
            return
        failures = self._failures.get(reader, 0)
        aside_s = min(_FIRST_ASIDE_S * 2**failures, _LONGEST_ASIDE_S)
        self._failures[reader] = min(failures + 1, 8)
        self._aside_until[reader] = self._clock() + aside_s

    def worked(self, reader: Reader) -> None:
        """Forgets a reader's failures."""
        self._failures.pop(reader, None)
        self._gone.discard(reader)
        self._aside_until.pop(reader, None)

    def _ranked(self, most_others: int) -> list[Reader]:
        ranked: list[Reader] = []
        for candidate in self._candidates:
            if candidate == self.me:
                ranked.append(None)
            elif len(ranked) - (None in ranked) < most_others:
                ranked.append(candidate)
        if None not in ranked:
            ranked.append(None)
        return ranked
