"""Interface of the routing policies."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from clementinegw.requests import workers as workers_lib

Worker = workers_lib.Worker


@dataclasses.dataclass(slots=True)
class RoutingQuery:
    """What the choice of a worker for one request depends on.

    Attributes:
      prefixes: Hashes of the prompt's prefixes, shortest first.
      version: The required version; empty for any.
      avoid: Names of the workers to choose only if there is no other, for
        example those where an attempt failed.
      idempotent: Whether it may be sent to a slow worker as a probe.
      urgent: Whether it is sent even if no worker has capacity, because its
        caller has already received the start of a stream.
      within_share: Whether its customer is within its share of the service.
    """

    prefixes: tuple[int, ...] = ()
    version: str = ""
    avoid: frozenset[str] = frozenset()
    idempotent: bool = True
    urgent: bool = False
    within_share: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingContext:
    """What routing depends on for all requests of a service at this entry.

    Attributes:
      slow_start_s: How long the capacity of a new worker increases to its full
        value, in seconds.
      spill_load: The load above which requests go to other failure domains, as
        a share of the capacity.
      fair_share: The number of requests this entry may run in total, whatever
        other entries run.
      headroom: The number of requests that a worker may receive above its
        capacity, as a share of the capacity. It covers the round trip.
      reserved_share: The share of each worker's capacity that customers above
        their share leave free for the others.
    """

    slow_start_s: float = 10.0
    spill_load: float = 0.8
    fair_share: float = 0.0
    headroom: float = 0.0
    reserved_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A request and the worker chosen for it.

    Attributes:
      index: The index of the request among the queries.
      worker: The worker.
    """

    index: int
    worker: Worker


class Policy(Protocol):
    """Chooses the next request and a worker for it."""

    def choose(
        self,
        workers: workers_lib.Workers,
        queries: Sequence[RoutingQuery],
        context: RoutingContext,
        now: float,
    ) -> Choice | None:
        """Chooses one of the next requests and a worker for it.

        Args:
          workers: The workers of the service.
          queries: The next requests in the queue, in order.
          context: What applies to all of them.
          now: The current time, in monotonic seconds.

        Returns:
          A request and its worker; None if all requests should wait.
        """
