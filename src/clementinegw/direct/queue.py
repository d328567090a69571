"""Requests that wait in the entry for room at a server.

Who can still be on time goes first, the nearest time first; who is late takes
what is left over. Waiting at the servers instead, everyone would be late as
soon as more comes than they can take: with all in one line, each waits for all
that came before.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import spare
from clementinegw.direct import types

# How often waiting requests are looked through besides when a request ends
# or a report comes, in seconds.
_LOOK_S = 0.02

_NOBODY: frozenset[types.ServerStart] = frozenset()

# Needs that no server could meet a moment ago: what is wanted, whether too late
# to be on time, and who is left out.
_Unmet = set[tuple[balance.Wanted, bool, frozenset[types.ServerStart]]]
# How many requests that need the same go first; see `Queue._is_hopeless`.
_Ahead = dict[balance.Wanted, int | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How long requests of a service wait, and for what room.

    Attributes:
      most_busy: The part of its slots that a server may have taken for one
        more that can be on time.
      most_busy_late: The same for one that is late, while those that can be
        on time find room.
      least_busy_late: The same where they find none.
    """

    most_busy: float
    most_busy_late: float
    least_busy_late: float


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """One request that waits.

    Attributes:
      wanted: Returns what it needs of a server now.
      tried: Starts of servers that have had it.
      on_time_until: When it must begin to be on time, in monotonic seconds.
      until: When it is given up, in monotonic seconds.
      place: Its place at a server; None when it is given up.
      since: When it came, in monotonic seconds.
      counted: Whether it has been counted as late.
    """

    wanted: Callable[[], balance.Wanted]
    tried: frozenset[types.ServerStart]
    on_time_until: float
    until: float
    place: asyncio.Future["Place | None"]
    since: float
    counted: bool = False


class Place:
    """A request's place at a server, from the choice to the end.

    Attributes:
      backend: The server.
      permitted: Whether it used up a slot of the server's rate limit.
    """

    def __init__(self, backend: backend_lib.Backend, freed: Callable[[], None]):
        self.backend = backend
        self.permitted = backend.signals.limiter.take()
        self._freed = freed
        self._held = True
        backend.take()

    def free(self) -> None:
        """Gives the place back."""
        if self._held:
            self._held = False
            self.backend.free()
            self._freed()


class Queue:
    """The waiting requests of one service."""

    def __init__(
        self,
        service: str,
        balancer: balance.Balancer,
        terms: Terms,
        clock: Callable[[], float],
    ):
        """Starts without anybody who waits.

        Args:
          service: The service's name.
          balancer: Ranks its servers.
          terms: How long requests wait, and for what room.
          clock: Monotonic seconds.
        """
        self._service = service
        self._balancer = balancer
        self._terms = terms
        self._clock = clock
        self._spare = spare.Spare(terms.least_busy_late, terms.most_busy_late)
        self._waiting: list[Waiting] = []
        self._timer: asyncio.TimerHandle | None = None

    async def place(
        self,
        wanted: Callable[[], balance.Wanted],
        tried: frozenset[types.ServerStart],
        on_time_until: float,
        until: float,
    ) -> Place | None:
        """Returns a place at a server; None when there is none in time.

        Args:
          wanted: Returns what the request needs of a server now; a newer
            version of weights may be demanded while it waits.
          tried: Starts of servers that have had it.
          on_time_until: When it must begin to be on time.
          until: When it is given up.
        """
        future = asyncio.get_running_loop().create_future()
        now = self._clock()
        # Who comes late has missed nothing here.
        late = on_time_until < now
        waiting = Waiting(
            wanted, tried, on_time_until, until, future, now, counted=late
        )
        self._waiting.append(waiting)
        self.look()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                place = future.result()
                if place is not None:
                    place.free()
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def look(self) -> None:
        """Gives places to those that can have one now."""
        if not self._waiting:
            return
        now = self._clock()
        restricted = self._balancer.has_restricted(self._service)
        ahead: _Ahead = {}
        unmet: _Unmet = set()
        room = self._balancer.has_room(self._service)
        # The order matters to nobody while nobody finds room, but where it is
        # known how many will.
        in_order = room or restricted
        for waiting in self._in_order(now) if in_order else [*self._waiting]:
            if waiting.place.done():
                self._waiting.remove(waiting)
                continue
            late = waiting.on_time_until < now
            backend = self._choose(waiting, late, unmet) if room else None
            self._count(waiting, late, backend is not None, now)
            if backend is not None:
                # One that is full now may leave the choice to others.
                unmet.clear()
                self._waiting.remove(waiting)
                self._balancer.sent(backend)
                waiting.place.set_result(Place(backend, self.look))
                room = self._balancer.has_room(self._service)
            elif now >= waiting.until or (
                restricted and self._is_hopeless(waiting, ahead)
            ):
                self._waiting.remove(waiting)
                waiting.place.set_result(None)
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_LOOK_S, self._again)

    def _count(
        self, waiting: Waiting, late: bool, found: bool, now: float
    ) -> None:
        """Learns how much room those need that can be on time."""
        if waiting.counted:
            return
        if late:
            waiting.counted = True
            # Where no server may begin anything, no late one took its room.
            if self._balancer.candidates(waiting.wanted()):
                self._spare.missed()
        elif found:
            self._spare.found_room(now - waiting.since)

    def _is_hopeless(self, waiting: Waiting, ahead: _Ahead) -> bool:
        """Returns whether a request's time ends before it finds a server.

        Args:
          waiting: The request.
          ahead: How many who need the same go first, where all servers for them
            are restricted; None where one is not.
        """
        wanted = waiting.wanted()
        if wanted not in ahead:
            restricted = self._balancer.is_restricted(wanted)
            ahead[wanted] = 0 if restricted else None
        before = ahead[wanted]
        if before is None:
            return False
        if before >= self._balancer.room_until(wanted, waiting.until):
            return True
        ahead[wanted] = before + 1
        return False

    def _again(self) -> None:
        self._timer = None
        self.look()

    def _in_order(self, now: float) -> list[Waiting]:
        return sorted(
            self._waiting,
            key=lambda w: (w.on_time_until < now, w.on_time_until),
        )

    def _choose(
        self, waiting: Waiting, late: bool, unmet: _Unmet
    ) -> backend_lib.Backend | None:
        """Returns a server with room; notes what none has room for.

        Most who wait need the same: with each looking through all servers, at
        each of a hundred reports a second, an entry has no time left.
        """
        needed = waiting.wanted()
        for tried in (waiting.tried, _NOBODY):
            need = (needed, late, tried)
            if need in unmet:
                continue
            most = self._spare.part if late else self._terms.most_busy
            wanted = dataclasses.replace(needed, most_busy=most)
            backend = self._balancer.choose(wanted, tried)
            if backend is not None:
                return backend
            unmet.add(need)
        return None
