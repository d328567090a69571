"""Common routing policies, as baselines for the cache-aware policy."""

from collections.abc import Sequence
import random

from clementinegw.requests import choices
from clementinegw.requests import workers as workers_lib

Choice = choices.Choice
RoutingQuery = choices.RoutingQuery
RoutingContext = choices.RoutingContext
Worker = workers_lib.Worker


class _FirstInQueue:
    """A policy that considers only the first request in the queue."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self,
        workers: workers_lib.Workers,
        queries: Sequence[RoutingQuery],
        context: RoutingContext,
        now: float,
    ) -> Choice | None:
        """Returns the first request and its worker; None if none is usable."""
        del context
        eligible = _eligible(workers, queries[0], now)
        return Choice(0, self._pick(eligible)) if eligible else None

    def _pick(self, eligible: list[Worker]) -> Worker:
        raise NotImplementedError


class RoundRobin(_FirstInQueue):
    """Chooses each usable worker in turn."""

    def __init__(self, rng: random.Random):
        """Starts at a random worker.

        Args:
          rng: Chooses the first worker.
        """
        super().__init__(rng)
        self._next = rng.randrange(1 << 16)

    def _pick(self, eligible: list[Worker]) -> Worker:
        self._next += 1
        return eligible[self._next % len(eligible)]


class Random(_FirstInQueue):
    """Chooses a random usable worker."""

    def _pick(self, eligible: list[Worker]) -> Worker:
        return self._rng.choice(eligible)


class LeastInFlight(_FirstInQueue):
    """Chooses the worker with the fewest requests of this entry."""

    def _pick(self, eligible: list[Worker]) -> Worker:
        return min(eligible, key=lambda w: (w.own_requests, self._rng.random()))


class PowerOfTwo(_FirstInQueue):
    """Chooses the less loaded of two random workers."""

    def _pick(self, eligible: list[Worker]) -> Worker:
        pair = self._rng.sample(eligible, min(2, len(eligible)))
        return min(pair, key=lambda w: w.load)


def _eligible(
    workers: workers_lib.Workers, query: RoutingQuery, now: float
) -> list[Worker]:
    """Returns the usable workers with the required version.

    Workers where the request failed before are included only if there is no
    other.
    """
    eligible = [
        w
        for w in workers
        if w.usable(now) and (not query.version or w.version == query.version)
    ]
    untried = [w for w in eligible if w.name not in query.avoid]
    return untried or eligible
