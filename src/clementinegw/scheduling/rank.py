"""The rank of a request: who goes first if not all can be served in time."""

import dataclasses

_DEFAULT_PRIORITY = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The rank of a request; smaller ones are more urgent.

    A customer's priority goes before its route's, which decides between
    customers of the same priority.

    Attributes:
      customer: The customer's priority, or the route's if it has none; 0 is the
        highest.
      route: The route's priority; 0 is the highest.
    """

    customer: int = _DEFAULT_PRIORITY
    route: int = _DEFAULT_PRIORITY

    def __str__(self) -> str:
        return f"{self.customer}.{self.route}"


def of(customer_priority: int | None, route_priority: int) -> Rank:
    """Returns the rank of a request.

    Args:
      customer_priority: The customer's priority; None if it has none.
      route_priority: The route's priority.
    """
    if customer_priority is None:
        customer_priority = route_priority
    return Rank(customer_priority, route_priority)
