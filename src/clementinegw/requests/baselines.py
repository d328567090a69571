"""The usual routing policies, which ours is measured against."""

from collections.abc import Sequence
import random

from clementinegw.requests import choices
from clementinegw.requests import workers as workers_lib

Choice = choices.Choice
RoutingQuery = choices.RoutingQuery
RoutingContext = choices.RoutingContext
Worker = workers_lib.Worker


class _FirstInQueue:
    """A policy that serves in order and looks at one request only."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self,
        workers: workers_lib.Workers,
        queries: Sequence[RoutingQuery],
        context: RoutingContext,
        now: float,
    ) -> Choice | None:
        """Returns the first request and a worker for it."""
        del context
        eligible = _eligible(workers, queries[0], now)
        return Choice(0, self._pick(eligible)) if eligible else None

    def _pick(self, eligible: list[Worker]) -> Worker:
        raise NotImplementedError


class RoundRobin(_FirstInQueue):
    """Each usable worker in turn."""

    def __init__(self, rng: random.Random):
        """Starts at a random worker."""
        super().__init__(rng)
        self._next = rng.randrange(1 << 16)

    def _pick(self, eligible: list[Worker]) -> Worker:
        self._next += 1
        return eligible[self._next % len(eligible)]


class Random(_FirstInQueue):
    """Any usable worker."""

    def _pick(self, eligible: list[Worker]) -> Worker:
        return self._rng.choice(eligible)


class LeastInFlight(_FirstInQueue):
    """The worker with the fewest requests of this entry."""

    def _pick(self, eligible: list[Worker]) -> Worker:
        return min(eligible, key=lambda w: (w.own_requests, self._rng.random()))


class PowerOfTwo(_FirstInQueue):
    """The less loaded of two random workers."""

    def _pick(self, eligible: list[Worker]) -> Worker:
        pair = self._rng.sample(eligible, min(2, len(eligible)))
        return min(pair, key=lambda w: w.load)


def _eligible(
    workers: workers_lib.Workers, query: RoutingQuery, now: float
) -> list[Worker]:
    """Returns the workers that may run the request at all.

    Workers that failed it before come back when there is no other.
    """
    eligible = [
        w
        for w in workers
        if w.usable(now) and (not query.version or w.version == query.version)
    ]
    untried = [w for w in eligible if w.name not in query.avoid]
    return untried or eligible
