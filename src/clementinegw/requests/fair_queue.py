"""Fair queueing between customers, with priorities inside each one's share.

Each customer is a flow with a start tag in virtual time; a service moves its
tag on by cost over weight, and the flow with the smallest tag is served next.
One that sends ten times its share waits behind itself and behind nobody else.

Priorities work inside that order. A flow serves its most urgent request first,
and a flow that has a high one is put ahead by `HIGH_PRIORITY_CREDIT`
units of virtual time: urgent work passes the others' until its customer is so
far ahead of its share.
With strict classes above the customers, one customer that calls everything
urgent would starve the rest.
"""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import itertools

from clementinegw import types

# Virtual time: one unit serves one mean request for each unit of weight.
HIGH_PRIORITY_CREDIT = 4.0
_PRIORITY_OFFSETS = {
    types.Priority.LOW: 0.0,
    types.Priority.NORMAL: 0.0,
    types.Priority.HIGH: -HIGH_PRIORITY_CREDIT,
}
_DESCENDING = tuple(sorted(types.Priority, reverse=True))
_MAX_IDLE_FLOWS = 1_000
MAX_SKIPS = 16
_CUSTOMER_LOOK_AHEAD = 4


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request's place in the queue.

    Attributes:
      customer: Whose it is.
      weight: The customer's weight.
      priority: Its urgency.
      cost: What it takes, in units of one mean request.
      deadline: Monotonic seconds after which it need not run.
      queued_at: When it came.
      waiting: Whether it is in the queue.
      skipped: How often one behind it was served first.
    """

    customer: str
    weight: float
    priority: types.Priority
    cost: float
    deadline: float
    queued_at: float = 0.0
    waiting: bool = False
    skipped: int = 0


class _Flow:
    """The waiting requests of one customer."""

    __slots__ = ("backlog", "queues", "start_tag", "weight")

    def __init__(self, start_tag: float, weight: float):
        self.start_tag = start_tag
        self.weight = weight
        self.backlog = 0.0
        self.queues: dict[types.Priority, collections.deque[Ticket]] = {
            priority: collections.deque() for priority in _DESCENDING
        }

    def most_urgent(self) -> collections.deque[Ticket]:
        """Returns the queue that is served next; empty when all are."""
        for priority in _DESCENDING:
            if self.queues[priority]:
                return self.queues[priority]
        return self.queues[types.Priority.LOW]

    def cost_before(self, priority: types.Priority) -> float:
        """Returns the cost that is served before a new ticket."""
        if self.backlog <= 0:
            return 0.0
        return sum(
            ticket.cost
            for urgency in _DESCENDING
            if urgency >= priority
            for ticket in self.queues[urgency]
        )


class FairQueue:
    """The waiting requests of all customers of one service."""

    def __init__(self) -> None:
        """Starts empty, at virtual time zero."""
        self._virtual_time = 0.0
        self._flows: dict[str, _Flow] = {}
        self._idle_start_tags: dict[str, float] = {}
        self._count = 0

    def __len__(self) -> int:
        """Returns how many tickets wait."""
        return self._count

    def push(self, ticket: Ticket, requeued: bool = False) -> None:
        """Adds a ticket; `requeued` puts it before its equals."""
        flow = self._flows.get(ticket.customer)
        if flow is None:
            start_tag = max(
                self._virtual_time,
                self._idle_start_tags.pop(ticket.customer, 0.0),
            )
            flow = self._flows[ticket.customer] = _Flow(
                start_tag, ticket.weight
            )
        flow.weight = ticket.weight
        queue = flow.queues[ticket.priority]
        if requeued:
            queue.appendleft(ticket)
            # What it was charged when it was served is given back.
            flow.start_tag -= ticket.cost / ticket.weight
        else:
            queue.append(ticket)
        flow.backlog += ticket.cost
        ticket.waiting = True
        self._count += 1

    def remove(self, ticket: Ticket) -> None:
        """Takes a ticket out unserved; does nothing when it has left."""
        if not ticket.waiting:
            return
        flow = self._flows[ticket.customer]
        flow.queues[ticket.priority].remove(ticket)
        self._detach(ticket, flow)

    def candidates(
        self, count: int, customer_filter: Callable[[str], bool] | None = None
    ) -> list[Ticket]:
        """Returns the tickets that may be served next, in their order.

        Besides the very next there are some close behind it, so that a free
        worker can be given one whose prompt it has cached. One that has been
        passed over `MAX_SKIPS` times stands alone.

        Args:
          count: How many at most.
          customer_filter: Tells which customers' to return; None for all.
        """
        ordered = []
        for customer, flow in self._flows.items():
            if customer_filter is not None and not customer_filter(customer):
                continue
            queue = flow.most_urgent()
            key = flow.start_tag + _PRIORITY_OFFSETS[queue[0].priority]
            ordered.append((key, flow.weight, queue))
        if not ordered:
            return []
        ordered.sort(key=_sort_key)
        limit = ordered[0][0] + 1.0
        result: list[Ticket] = []
        for key, weight, queue in ordered:
            if key > limit or len(result) >= count:
                break
            # Inside one customer's queue nobody else is passed over.
            depth = max(_CUSTOMER_LOOK_AHEAD, int((limit - key) * weight) + 1)
            result += itertools.islice(queue, min(depth, count - len(result)))
        if result[0].skipped >= MAX_SKIPS:
            return result[:1]
        return result

    def serve(self, ticket: Ticket, passed: Iterable[Ticket] = ()) -> None:
        """Takes out a ticket that `candidates` has returned, and charges it.

        Args:
          ticket: The ticket.
          passed: Those before it, which are passed over.
        """
        for other in passed:
            other.skipped += 1
        flow = self._flows[ticket.customer]
        # Virtual time follows the flow that is behind all others. Following
        # the one that is served, an urgent request would carry it ahead and
        # customers that come next would start behind those that wait.
        least = min(other.start_tag for other in self._flows.values())
        self._virtual_time = max(self._virtual_time, least)
        flow.start_tag += ticket.cost / ticket.weight
        self.remove(ticket)

    def cost_ahead(self, ticket: Ticket) -> float:
        """Returns the cost that would be served before a new ticket."""
        flow = self._flows.get(ticket.customer)
        start_tag = self._idle_start_tags.get(ticket.customer, 0.0)
        own_cost = 0.0
        if flow is not None:
            start_tag = flow.start_tag
            own_cost = flow.cost_before(ticket.priority)
        ahead_of_virtual_time = max(0.0, start_tag - self._virtual_time)
        turns = ahead_of_virtual_time + (own_cost + ticket.cost) / ticket.weight
        turns += _PRIORITY_OFFSETS[ticket.priority]
        total = own_cost
        for customer, other in self._flows.items():
            if customer != ticket.customer:
                total += _served_before(other, ticket.priority, turns)
        return total

    def head_wait_s(self, ticket: Ticket, now: float) -> float:
        """Returns how long the next equal of a ticket has been waiting."""
        flow = self._flows.get(ticket.customer)
        queue = flow.queues[ticket.priority] if flow is not None else None
        return now - queue[0].queued_at if queue else 0.0

    def _detach(self, ticket: Ticket, flow: _Flow) -> None:
        ticket.waiting = False
        self._count -= 1
        flow.backlog -= ticket.cost
        if flow.most_urgent():
            return
        del self._flows[ticket.customer]
        if flow.start_tag > self._virtual_time:
            self._idle_start_tags[ticket.customer] = flow.start_tag
        if len(self._idle_start_tags) > _MAX_IDLE_FLOWS:
            self._prune_idle()

    def _prune_idle(self) -> None:
        """Drops tags that no longer matter, or the smallest of too many."""
        ordered = sorted(
            self._idle_start_tags.items(), key=lambda item: -item[1]
        )
        self._idle_start_tags = {
            customer: start_tag
            for customer, start_tag in ordered[: _MAX_IDLE_FLOWS // 2]
            if start_tag > self._virtual_time
        }


def _served_before(
    flow: _Flow, priority: types.Priority, turns: float
) -> float:
    """Returns what another flow is served in that many turns."""
    urgent = 0.0
    if priority < types.Priority.HIGH:
        urgent = sum(t.cost for t in flow.queues[types.Priority.HIGH])
    fair = min(flow.backlog, max(0.0, turns) * flow.weight)
    return max(urgent, fair)


def _sort_key(ordered: tuple[float, float, collections.deque[Ticket]]) -> float:
    return ordered[0]
