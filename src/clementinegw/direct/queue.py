"""Queue in the entry for requests that wait for server capacity.

Requests that can still be on time go first, by earliest deadline; late requests
use leftover capacity. If requests queued at the servers instead, all of them
would be late as soon as the load exceeds the capacity, because a single FIFO
queue makes each request wait for everything that arrived before it.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import math

from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import late_limit
from clementinegw.direct import outcomes
from clementinegw.direct import types
from clementinegw.scheduling import contention
from clementinegw.scheduling import fairness
from clementinegw.scheduling import headroom
from clementinegw.scheduling import order
from clementinegw.scheduling import rank as ranks
from clementinegw.scheduling import server_memory

# Period of dispatching in addition to the dispatches triggered by finished
# requests and load reports, in seconds.
_DISPATCH_INTERVAL_S = 0.02
# How often it is found out what is kept from each rank, in seconds.
_KEPT_INTERVAL_S = 0.1

_DEFAULT_RANK = ranks.Rank()
_NO_STARTS: frozenset[types.ServerStart] = frozenset()

# Requirements that no server could meet during this dispatch, with the servers
# that were excluded.
_Unmet = set[tuple[balance.Requirements, frozenset[types.ServerStart]]]
# Number of requests with the same requirements that go first; see
# `Queue._will_expire`.
_Ahead = dict[balance.Requirements, int | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits on server utilization for the requests of a service.

    Utilization is the number of requests at a server divided by its slots.

    Attributes:
      max_utilization: Servers below this utilization accept a request that can
        be on time.
      late_limit_high: The limit for late requests while requests that can be
        on time find capacity.
      late_limit_low: The limit for late requests while requests that can be
        on time find none.
    """

    max_utilization: float
    late_limit_high: float
    late_limit_low: float


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A queued request.

    Attributes:
      requirements: Returns the current requirements on the server.
      tried: Server starts that already received the request.
      latest_start: When it must start to be on time, in monotonic seconds.
      give_up_at: When it stops waiting, in monotonic seconds.
      reservation: Resolves to the reserved server, or to None on giving up.
      queued_at: When it was queued, in monotonic seconds.
      counted: Whether it was already counted as late.
      begun: Whether its answer has begun; it goes first and is never late.
      rank: Its rank.
      customer: Name of its customer; empty for an anonymous caller.
      is_suspect: Returns whether it would crash its server.
    """

    requirements: Callable[[], balance.Requirements]
    tried: frozenset[types.ServerStart]
    latest_start: float
    give_up_at: float
    reservation: asyncio.Future["Reservation | outcomes.RefusalReason | None"]
    queued_at: float
    counted: bool = False
    begun: bool = False
    rank: ranks.Rank = ranks.Rank()
    customer: str = ""
    is_suspect: Callable[[], bool] = lambda: False

    def is_late(self, now: float) -> bool:
        """Returns whether it can no longer be on time."""
        return not self.begun and self.latest_start < now

    @property
    def patient(self) -> bool:
        """Whether it can wait until a freed slot shows, or is late anyway."""
        wait_s = self.latest_start - self.queued_at
        return not 0.0 <= wait_s < headroom.REACTION_S


@dataclasses.dataclass(slots=True)
class _Dispatch:
    """The state of one dispatch.

    Attributes:
      now: Its time, in monotonic seconds.
      restricted: Whether a server is unavailable or rate-limited.
      has_capacity: Whether this entry may use a slot of any server; None if it
        has to be found out again.
      ahead: Number of requests that go first by requirements.
      unmet: Requirements that no server could meet.
    """

    now: float
    restricted: bool
    has_capacity: bool | None
    ahead: _Ahead = dataclasses.field(default_factory=dict)
    unmet: _Unmet = dataclasses.field(default_factory=set)


class Reservation:
    """A reserved slot of a server, held until the request has ended.

    Attributes:
      backend: The server.
      permitted: Whether it used a slot of the server's rate limit.
    """

    def __init__(
        self,
        backend: backend_lib.Backend,
        on_release: Callable[[], None],
        tokens: int = 0,
    ):
        self.backend = backend
        self._tokens = tokens
        self.permitted = backend.signals.limiter.take_slot()
        self._on_release = on_release
        self._held = True
        backend.begin_request(tokens)

    def release(self) -> None:
        """Releases the slot; further calls have no effect."""
        if self._held:
            self._held = False
            self.backend.end_request(self._tokens)
            self._on_release()


class Queue:
    """Queued requests of one service."""

    def __init__(
        self,
        service: str,
        balancer: balance.Balancer,
        policy: Policy,
        clock: Callable[[], float],
    ):
        """Initializes an empty queue.

        Args:
          service: Name of the service.
          balancer: Selects the server.
          policy: Utilization limits.
          clock: Returns monotonic seconds.
        """
        self._service = service
        self._balancer = balancer
        self._policy = policy
        self._clock = clock
        self._late_limits = late_limit.LateLimits(
            policy.late_limit_low, policy.late_limit_high
        )
        self._shares = fairness.CustomerShares()
        self._headroom = headroom.Headroom()
        self._contention = contention.Contention()
        self._kept: dict[tuple[ranks.Rank, bool], float] = {}
        self._kept_until = -math.inf
        self._starving: frozenset[ranks.Rank] = frozenset()
        self._waiters: list[Waiter] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def kept(self) -> float:
        """Largest part of a server's slots that is kept from a request.

        Only requests that wait count.
        """
        now = self._clock()
        kept = (self._kept_from(waiter, now) for waiter in self._waiters)
        return max(kept, default=0.0)

    async def reserve(
        self,
        requirements: Callable[[], balance.Requirements],
        tried: frozenset[types.ServerStart],
        latest_start: float,
        give_up_at: float,
        begun: bool = False,
        rank: ranks.Rank = _DEFAULT_RANK,
        customer: str = "",
        is_suspect: Callable[[], bool] = lambda: False,
    ) -> Reservation | outcomes.RefusalReason | None:
        """Returns a reservation; None if no server has capacity in time.

        If servers had capacity for more urgent requests only, OUTRANKED is
        returned; CRASHES_SERVERS as soon as the request is suspected of that.

        Args:
          requirements: Returns the current requirements; a newer version of the
            weights may become mandatory while the request waits.
          tried: Server starts that already received the request.
          latest_start: When it must start to be on time, in monotonic seconds.
          give_up_at: When it stops waiting, in monotonic seconds.
          begun: Whether the caller has received a part of its answer.
          rank: The request's rank.
          customer: Name of its customer; empty for an anonymous caller.
          is_suspect: Returns whether it would crash its server.
        """
        future = asyncio.get_running_loop().create_future()
        now = self._clock()
        # A request that arrives late did not become late in this queue, and one
        # that has begun does not show whether new ones find capacity.
        counted = begun or latest_start < now
        waiter = Waiter(
            requirements,
            tried,
            latest_start,
            give_up_at,
            future,
            now,
            counted=counted,
            begun=begun,
            rank=rank,
            customer=customer,
            is_suspect=is_suspect,
        )
        if not counted:
            self._headroom.record_arrival(rank, now)
        self._waiters.append(waiter)
        self._shares.record_arrival(customer, rank, now)
        try:
            self.dispatch()
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                reservation = None if future.exception() else future.result()
                if isinstance(reservation, Reservation):
                    reservation.release()
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def is_over_share(self, customer: str) -> bool:
        """Returns whether a customer uses more than its share."""
        return self._shares.is_over_share(customer)

    def reserve_server(
        self,
        backend: backend_lib.Backend,
        memory: server_memory.Need | None = None,
    ) -> Reservation:
        """Returns a reservation of a server that was found to have capacity.

        Args:
          backend: The server.
          memory: The memory that the request needs; None if unknown.
        """
        tokens = memory.tokens if memory else 0
        self._balancer.record_sent(backend, tokens)
        reserved_at = self._clock()

        def on_release() -> None:
            self._headroom.record_held(self._clock() - reserved_at)
            self.dispatch()

        return Reservation(backend, on_release, tokens)

    def dispatch(self) -> None:
        """Reserves servers for all queued requests that can have one now.

        An error ends the queued request that it concerns and not the caller,
        which may be a request that was just answered.
        """
        if not self._waiters:
            return
        try:
            waiters, dispatch = self._begin_dispatch()
        except Exception as error:
            # The state that all of them depend on cannot be evaluated.
            for waiter in [*self._waiters]:
                self._fail(waiter, error)
            return
        for waiter in waiters:
            try:
                self._place(waiter, dispatch)
            except Exception as error:
                self._fail(waiter, error)
        if self._waiters and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_DISPATCH_INTERVAL_S, self._on_timer)

    def _begin_dispatch(self) -> tuple[list[Waiter], _Dispatch]:
        """Returns the queued requests in order, and the dispatch's state."""
        now = self._clock()
        dispatch = _Dispatch(
            now,
            self._balancer.has_restricted(self._service),
            self._has_capacity(now),
        )
        # The order only matters if some request can be placed, or if the
        # number of requests that can be placed is limited.
        if dispatch.has_capacity or dispatch.restricted:
            return self._in_order(now), dispatch
        return [*self._waiters], dispatch

    def _has_capacity(self, now: float) -> bool:
        """Returns whether this entry may use a slot for any request."""
        kept = (self._kept_from(waiter, now) for waiter in self._waiters)
        return self._balancer.has_capacity(
            self._service, min(kept, default=0.0)
        )

    def _place(self, waiter: Waiter, dispatch: _Dispatch) -> None:
        """Reserves a server for a request, or ends its wait when it is over."""
        if waiter.reservation.done():
            self._waiters.remove(waiter)
            return
        if waiter.is_suspect():
            self._waiters.remove(waiter)
            waiter.reservation.set_result(
                outcomes.RefusalReason.CRASHES_SERVERS
            )
            return
        now = dispatch.now
        if dispatch.has_capacity is None:
            dispatch.has_capacity = self._has_capacity(now)
        late = waiter.is_late(now)
        backend = (
            self._choose(waiter, late, dispatch)
            if dispatch.has_capacity
            else None
        )
        self._record_wait(waiter, late, backend is not None, now)
        if backend is not None:
            reservation = self.reserve_server(
                backend, waiter.requirements().memory
            )
            self._shares.record_placed(
                waiter.customer, waiter.rank, now - waiter.queued_at
            )
            self._waiters.remove(waiter)
            waiter.reservation.set_result(reservation)
            if not waiter.begun:
                self._headroom.record_placed(waiter.rank, now)
                if waiter.rank in self._starving:
                    self._kept_until = now
            # The chosen server may now be full, which can change the preferred
            # servers for the other requests.
            dispatch.unmet.clear()
            dispatch.has_capacity = None
        elif now >= waiter.give_up_at or (
            dispatch.restricted
            and not waiter.begun
            and self._will_expire(waiter, dispatch.ahead)
        ):
            self._shares.record_refused(waiter.rank)
            self._waiters.remove(waiter)
            waiter.reservation.set_result(
                outcomes.RefusalReason.OUTRANKED
                if self._kept_from(waiter, now)
                else None
            )

    def _fail(self, waiter: Waiter, error: Exception) -> None:
        """Ends the wait of a request with an error, which its task raises."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not waiter.reservation.done():
            waiter.reservation.set_exception(error)

    def _record_wait(
        self, waiter: Waiter, late: bool, placed: bool, now: float
    ) -> None:
        """Updates the limit for late requests from the wait of a request."""
        if waiter.counted:
            return
        if late:
            waiter.counted = True
            self._contention.record(waiter.rank, lacked=True)
            # If no server may start the request, late requests did not take
            # its capacity.
            if self._balancer.candidates(waiter.requirements()):
                self._late_limits.record_miss(waiter.rank)
        elif placed:
            waited_s = now - waiter.queued_at
            self._late_limits.record_placed(waiter.rank, waited_s)
            self._contention.record(
                waiter.rank, waited_s > contention.MAX_WAIT_S
            )

    def _will_expire(self, waiter: Waiter, ahead: _Ahead) -> bool:
        """Returns whether a request will expire before it gets a server.

        Args:
          waiter: The request.
          ahead: Number of requests with the same requirements that go first, if
            all servers for them are restricted; None if one server is not.
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
            key=lambda w: order.sort_key(
                w, now, self.is_over_share, self._starving
            ),
        )

    def _choose(
        self, waiter: Waiter, late: bool, dispatch: _Dispatch
    ) -> backend_lib.Backend | None:
        """Returns a server with capacity and records unmet requirements.

        Most queued requests have the same requirements. Searching all servers
        for each of them on each of a hundred reports per second would take all
        of the entry's time.
        """
        requirements = self._limit_requirements(waiter, late, dispatch.now)
        for tried in (waiter.tried, _NO_STARTS):
            key = (requirements, tried)
            if key in dispatch.unmet:
                continue
            backend = self._balancer.choose(requirements, tried)
            if backend is not None:
                return backend
            dispatch.unmet.add(key)
        return None

    def _kept_from(self, waiter: Waiter, now: float) -> float:
        """Returns the part of a server's slots that is kept from a request."""
        if waiter.begun or not self._headroom.ranked:
            return 0.0
        if now >= self._kept_until:
            self._kept.clear()
            self._starving = self._headroom.starving(now)
            self._kept_until = now + _KEPT_INTERVAL_S
        if waiter.rank in self._starving:
            return 0.0
        key = (waiter.rank, waiter.patient)
        kept = self._kept.get(key)
        if kept is None:
            kept = self._headroom.kept(
                *key, self._balancer.size(self._service), now
            )
            kept *= self._contention.ahead_of(waiter.rank)
            self._kept[key] = kept
        return kept

    def _limit_requirements(
        self, waiter: Waiter, late: bool, now: float
    ) -> balance.Requirements:
        """Returns a request's requirements with its limits on utilization."""
        kept = self._kept_from(waiter, now)
        most = self._policy.max_utilization
        limits = [most - kept]
        if late:
            limits.append(self._late_limits.limit(waiter.rank))
        if not waiter.begun:
            share = self._shares.limit(waiter.customer, waiter.rank)
            limits.append(share * most)
        return dataclasses.replace(
            waiter.requirements(), max_utilization=min(limits), kept=kept
        )
