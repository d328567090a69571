"""Fair queueing between customers, with priorities within each one's share.

Each customer is a flow with a start tag in virtual time. Serving a request
increases the tag by cost divided by weight, and the flow with the smallest tag
is served next. A customer that sends ten times its share delays only itself.

Priorities apply within this order. A flow serves its most urgent requests
first, and a flow with a request of high priority is sorted as if its tag were
smaller by `HIGH_PRIORITY_CREDIT`, so that urgent requests overtake those of
other customers until their customer is ahead of its share by that much. With
strict priority classes above the customers, one customer that marks every
request as urgent would starve all others.
"""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import itertools

from clementinegw import types

# In units of virtual time. One unit serves one mean request per unit of weight.
HIGH_PRIORITY_CREDIT = 4.0
_PRIORITY_OFFSETS = {
    types.Priority.LOW: 0.0,
    types.Priority.NORMAL: 0.0,
    types.Priority.HIGH: -HIGH_PRIORITY_CREDIT,
}
_DESCENDING = tuple(sorted(types.Priority, reverse=True))
_MAX_IDLE_FLOWS = 1_000
# How often a request may be overtaken for a better match with a worker's cache.
MAX_SKIPS = 16
_CUSTOMER_LOOK_AHEAD = 4


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request in the queue.

    Attributes:
      customer: The name of its customer.
      weight: The customer's weight.
      priority: Its priority.
      cost: Its cost, in units of one mean request.
      deadline: When an answer becomes useless, in monotonic seconds.
      queued_at: When it was queued, in monotonic seconds.
      waiting: Whether it is in the queue.
      skipped: How often a request behind it was served first.
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
    """The queued requests of one customer."""

    __slots__ = ("backlog", "queues", "start_tag", "weight")

    def __init__(self, start_tag: float, weight: float):
        self.start_tag = start_tag
        self.weight = weight
        self.backlog = 0.0
        self.queues: dict[types.Priority, collections.deque[Ticket]] = {
            priority: collections.deque() for priority in _DESCENDING
        }

    def most_urgent(self) -> collections.deque[Ticket]:
        """Returns the queue that is served next; empty if all are empty."""
        for priority in _DESCENDING:
            if self.queues[priority]:
                return self.queues[priority]
        return self.queues[types.Priority.LOW]

    def cost_before(self, priority: types.Priority) -> float:
        """Returns the cost that is served before a new ticket of a priority."""
        if self.backlog <= 0:
            return 0.0
        return sum(
            ticket.cost
            for urgency in _DESCENDING
            if urgency >= priority
            for ticket in self.queues[urgency]
        )


class FairQueue:
    """The queued requests of all customers of one service."""

    def __init__(self) -> None:
        """Starts empty, at virtual time zero."""
        self._virtual_time = 0.0
        self._flows: dict[str, _Flow] = {}
        self._idle_start_tags: dict[str, float] = {}
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of queued tickets."""
        return self._count

    def push(self, ticket: Ticket, requeued: bool = False) -> None:
        """Adds a ticket to its customer's queue.

        Args:
          ticket: The ticket.
          requeued: Whether it was served before and goes to the front.
        """
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
            # Refunds what it was charged when it was served.
            flow.start_tag -= ticket.cost / ticket.weight
        else:
            queue.append(ticket)
        flow.backlog += ticket.cost
        ticket.waiting = True
        self._count += 1

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket if it is in the queue."""
        if not ticket.waiting:
            return
        flow = self._flows[ticket.customer]
        flow.queues[ticket.priority].remove(ticket)
        self._detach(ticket, flow)

    def candidates(
        self, count: int, customer_filter: Callable[[str], bool] | None = None
    ) -> list[Ticket]:
        """Returns the tickets that may be served next, in order.

        These are the first ticket and some close behind it, so that a free
        worker can receive a request whose prompt it has cached. A first ticket
        that was skipped `MAX_SKIPS` times is returned alone.

        Args:
          count: The maximum number of tickets.
          customer_filter: Returns whether to include a customer; None includes
            all.
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
            # Skipping within one customer's queue delays no other customer.
            depth = max(_CUSTOMER_LOOK_AHEAD, int((limit - key) * weight) + 1)
            result += itertools.islice(queue, min(depth, count - len(result)))
        if result[0].skipped >= MAX_SKIPS:
            return result[:1]
        return result

    def serve(self, ticket: Ticket, passed: Iterable[Ticket] = ()) -> None:
        """Removes a ticket that `candidates` returned and charges its customer.

        Args:
          ticket: The ticket.
          passed: The tickets before it, which are skipped.
        """
        for other in passed:
            other.skipped += 1
        flow = self._flows[ticket.customer]
        # Virtual time follows the flow with the smallest tag. If it followed
        # the served flow, an urgent request would advance it, and new customers
        # would start behind those that already wait.
        min_start_tag = min(other.start_tag for other in self._flows.values())
        self._virtual_time = max(self._virtual_time, min_start_tag)
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
        """Returns how long the first ticket of the same queue has waited.

        Args:
          ticket: A ticket with the customer and priority of the queue.
          now: The current time, in monotonic seconds.

        Returns:
          The time in seconds; 0 if the queue is empty.
        """
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
        """Removes expired tags, and the smallest ones if there are too many."""
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
    """Returns the cost another flow is served during a span of virtual time."""
    urgent = 0.0
    if priority < types.Priority.HIGH:
        urgent = sum(t.cost for t in flow.queues[types.Priority.HIGH])
    fair = min(flow.backlog, max(0.0, turns) * flow.weight)
    return max(urgent, fair)


def _sort_key(flow: tuple[float, float, collections.deque[Ticket]]) -> float:
    return flow[0]
