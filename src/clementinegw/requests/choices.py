"""What a routing policy is asked, and what it answers."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from clementinegw.requests import workers as workers_lib

Worker = workers_lib.Worker


@dataclasses.dataclass(slots=True)
class RoutingQuery:
    """What a choice depends on.

    Attributes:
      prefixes: Hashes of the prompt's prefixes, shortest first.
      version: The only version that will do; empty for any.
      avoid: Workers that failed this request before.
      idempotent: Whether it may be tried on a worker of doubtful health.
      urgent: Whether it goes out even when no worker has room: a stream that
        its caller has the beginning of.
      within_share: Whether its customer is within its share.
    """

    prefixes: tuple[int, ...] = ()
    version: str = ""
    avoid: frozenset[str] = frozenset()
    idempotent: bool = True
    urgent: bool = False
    within_share: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingContext:
    """What holds for all requests of a service at this entry.

    Attributes:
      slow_start_s: How long a new worker takes to get its full share.
      spill_load: The load above which other failure domains take work.
      fair_share: Requests this entry may run in all, whatever others do.
      headroom: Requests above its capacity that a worker may be sent, as a
        share of the capacity; covers the way there and back.
      reserved_share: What customers above their share leave free at each
        worker for the others, as a share of the capacity.
    """

    slow_start_s: float = 10.0
    spill_load: float = 0.8
    fair_share: float = 0.0
    headroom: float = 0.0
    reserved_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Which request goes to which worker.

    Attributes:
      index: The request, by its place in the order.
      worker: The worker.
    """

    index: int
    worker: Worker


class Policy(Protocol):
    """A way of choosing."""

    def choose(
        self,
        workers: workers_lib.Workers,
        queries: Sequence[RoutingQuery],
        context: RoutingContext,
        now: float,
    ) -> Choice | None:
        """Chooses for one of the requests that are next.

        Args:
          workers: The workers of the service.
          queries: The next requests of different customers, in their order.
          context: What holds for all of them.
          now: Monotonic seconds.

        Returns:
          A request and its worker; None when all had better wait.
        """
