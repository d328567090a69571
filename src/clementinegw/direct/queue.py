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
from clementinegw.direct import late_limit
from clementinegw.direct import types

# How often waiting requests are looked through besides when a request ends
# or a report comes, in seconds.
_DISPATCH_INTERVAL_S = 0.02

_NO_STARTS: frozenset[types.ServerStart] = frozenset()

# Needs that no server could meet a moment ago: what is wanted, whether too late
# to be on time, and who is left out.
_Unmet = set[tuple[balance.Requirements, bool, frozenset[types.ServerStart]]]
# How many requests that need the same go first; see `Queue._will_expire`.
_Ahead = dict[balance.Requirements, int | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How long requests of a service wait, and for what room.

    Attributes:
      max_utilization: The part of its slots that a server may have taken for
        one more that can be on time.
      late_limit_high: The same for one that is late, while those that can be
        on time find room.
      late_limit_low: The same where they find none.
    """

    max_utilization: float
    late_limit_high: float
    late_limit_low: float


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One request that waits.

    Attributes:
      requirements: Returns what it needs of a server now.
      tried: Starts of servers that have had it.
      latest_start: When it must begin to be on time, in monotonic seconds.
      give_up_at: When it is given up, in monotonic seconds.
      reservation: Its place at a server; None when it is given up.
      queued_at: When it came, in monotonic seconds.
      counted: Whether it has been counted as late.
    """

    requirements: Callable[[], balance.Requirements]
    tried: frozenset[types.ServerStart]
    latest_start: float
    give_up_at: float
    reservation: asyncio.Future["Reservation | None"]
    queued_at: float
    counted: bool = False


class Reservation:
    """A request's place at a server, from the choice to the end.

    Attributes:
      backend: The server.
      permitted: Whether it used up a slot of the server's rate limit.
    """

    def __init__(
        self, backend: backend_lib.Backend, on_release: Callable[[], None]
    ):
        self.backend = backend
        self.permitted = backend.signals.limiter.take_slot()
        self._on_release = on_release
        self._held = True
        backend.begin_request()

    def release(self) -> None:
        """Gives the place back."""
        if self._held:
            self._held = False
            self.backend.end_request()
            self._on_release()


class Queue:
    """The waiting requests of one service."""

    def __init__(
        self,
        service: str,
        balancer: balance.Balancer,
        policy: Policy,
        clock: Callable[[], float],
    ):
        """Starts without anybody who waits.

        Args:
          service: The service's name.
          balancer: Ranks its servers.
          policy: How long requests wait, and for what room.
          clock: Monotonic seconds.
        """
        self._service = service
        self._balancer = balancer
        self._policy = policy
        self._clock = clock
        self._late_limit = late_limit.LateLimit(
            policy.late_limit_low, policy.late_limit_high
        )
        self._waiters: list[Waiter] = []
        self._timer: asyncio.TimerHandle | None = None

    async def reserve(
        self,
        requirements: Callable[[], balance.Requirements],
        tried: frozenset[types.ServerStart],
        latest_start: float,
        give_up_at: float,
    ) -> Reservation | None:
        """Returns a place at a server; None when there is none in time.

        Args:
          requirements: Returns what the request needs of a server now; a newer
            version of weights may be demanded while it waits.
          tried: Starts of servers that have had it.
          latest_start: When it must begin to be on time.
          give_up_at: When it is given up.
        """
        future = asyncio.get_running_loop().create_future()
        now = self._clock()
        # Who comes late has missed nothing here.
        late = latest_start < now
        waiter = Waiter(
            requirements,
            tried,
            latest_start,
            give_up_at,
            future,
            now,
            counted=late,
        )
        self._waiters.append(waiter)
        self.dispatch()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                reservation = future.result()
                if reservation is not None:
                    reservation.release()
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def dispatch(self) -> None:
        """Gives places to those that can have one now."""
        if not self._waiters:
            return
        now = self._clock()
        restricted = self._balancer.has_restricted(self._service)
        ahead: _Ahead = {}
        unmet: _Unmet = set()
        has_capacity = self._balancer.has_capacity(self._service)
        # The order matters to nobody while nobody finds room, but where it is
        # known how many will.
        ordered = has_capacity or restricted
        for waiter in self._in_order(now) if ordered else [*self._waiters]:
            if waiter.reservation.done():
                self._waiters.remove(waiter)
                continue
            late = waiter.latest_start < now
            backend = (
                self._choose(waiter, late, unmet) if has_capacity else None
            )
            self._record_wait(waiter, late, backend is not None, now)
            if backend is not None:
                # One that is full now may leave the choice to others.
                unmet.clear()
                self._waiters.remove(waiter)
                self._balancer.record_sent(backend)
                waiter.reservation.set_result(
                    Reservation(backend, self.dispatch)
                )
                has_capacity = self._balancer.has_capacity(self._service)
            elif now >= waiter.give_up_at or (
                restricted and self._will_expire(waiter, ahead)
            ):
                self._waiters.remove(waiter)
                waiter.reservation.set_result(None)
        if self._waiters and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_DISPATCH_INTERVAL_S, self._on_timer)

    def _record_wait(
        self, waiter: Waiter, late: bool, found: bool, now: float
    ) -> None:
        """Learns how much room those need that can be on time."""
        if waiter.counted:
            return
        if late:
            waiter.counted = True
            # Where no server may begin anything, no late one took its room.
            if self._balancer.candidates(waiter.requirements()):
                self._late_limit.record_miss()
        elif found:
            self._late_limit.record_placed(now - waiter.queued_at)

    def _will_expire(self, waiter: Waiter, ahead: _Ahead) -> bool:
        """Returns whether a request's time ends before it finds a server.

        Args:
          waiter: The request.
          ahead: How many who need the same go first, where all servers for them
            are restricted; None where one is not.
        """
        requirements = waiter.requirements()
        if requirements not in ahead:
            restricted = self._balancer.is_restricted(requirements)
            ahead[requirements] = 0 if restricted else None
        count = ahead[requirements]
        if count is None:
            return False
        if count >= self._balancer.capacity_until(
            requirements, waiter.give_up_at
        ):
            return True
        ahead[requirements] = count + 1
        return False

    def _on_timer(self) -> None:
        self._timer = None
        self.dispatch()

    def _in_order(self, now: float) -> list[Waiter]:
        return sorted(
            self._waiters,
            key=lambda w: (w.latest_start < now, w.latest_start),
        )

    def _choose(
        self, waiter: Waiter, late: bool, unmet: _Unmet
    ) -> backend_lib.Backend | None:
        """Returns a server with room; notes what none has room for.

        Most who wait need the same: with each looking through all servers, at
        each of a hundred reports a second, an entry has no time left.
        """
        base = waiter.requirements()
        for tried in (waiter.tried, _NO_STARTS):
            key = (base, late, tried)
            if key in unmet:
                continue
            most = (
                self._late_limit.limit if late else self._policy.max_utilization
            )
            requirements = dataclasses.replace(base, max_utilization=most)
            backend = self._balancer.choose(requirements, tried)
            if backend is not None:
                return backend
            unmet.add(key)
        return None
