"""Which worker a request goes to: our policy and the usual ones beside it."""

from collections.abc import Callable, Sequence
import dataclasses
import math
import random

from clementinegw.requests import baselines
from clementinegw.requests import choices
from clementinegw.requests import prefix
from clementinegw.requests import workers as workers_lib

Choice = choices.Choice
Policy = choices.Policy
RoutingQuery = choices.RoutingQuery
RoutingContext = choices.RoutingContext
Worker = workers_lib.Worker

_TIE_BREAK_WEIGHT = 0.01
# What customers within their share may queue at a worker, by its capacity.
_WITHIN_SHARE_QUEUE_RATIO = 0.5
# Headroom below this part of a request is none.
_HEADROOM_TOLERANCE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreWeights:
    """Weights of the cache-aware policy, in units of one mean run time.

    Attributes:
      load: Of a worker that is full but has no queue.
      match: Of a prompt that is wholly in the cache.
      order: Of a request that is served a place before its turn.
      tiers: Of a worker in the same domain, the same region, elsewhere.
    """

    load: float = 0.6
    match: float = 0.5
    order: float = 0.02
    tiers: tuple[float, float, float] = (0.0, 0.5, 1.0)


@dataclasses.dataclass(slots=True)
class _WorkerState:
    """What holds of one worker during one choice."""

    worker: Worker
    load: int
    capacity: float
    slow: bool
    score: float


class CacheAware:
    """Least expected time, from load, pace, distance and cached prefixes.

    It answers None rather than send a request where it would only wait: a
    queue at the entry can still be reordered between customers and given to
    whichever worker is free first.
    """

    def __init__(
        self,
        rng: random.Random,
        index: prefix.PrefixIndex | None = None,
        weights: ScoreWeights | None = None,
    ):
        """Prepares the policy.

        Args:
          rng: Breaks ties, so that entries do not flock.
          index: What workers probably hold in their caches.
          weights: Weights.
        """
        self._rng = rng
        self._index = prefix.PrefixIndex() if index is None else index
        self._weights = weights or ScoreWeights()

    @property
    def index(self) -> prefix.PrefixIndex:
        """What workers probably hold in their caches."""
        return self._index

    def choose(
        self,
        workers: workers_lib.Workers,
        queries: Sequence[RoutingQuery],
        context: RoutingContext,
        now: float,
    ) -> Choice | None:
        """Returns the request and worker with the least expected time."""
        # Most choices of a busy entry find every worker full. Seen first, that
        # costs a few comparisons; scored first, it was the largest part of the
        # entry's processor time.
        below_fair_share = (
            sum(w.own_requests for w in workers) < context.fair_share
        )
        load_limit = _max_load_limit(queries, context, below_fair_share)
        if not any(w.load < load_limit(w) for w in workers if w.usable(now)):
            return None
        choice = self._choose(workers, queries, context, now)
        if choice is None and _has_new_workers(workers, context, now):
            # Only workers that have just started have room. Held to their slow
            # start, a fleet that starts as a whole would refuse what it can
            # well serve.
            context = dataclasses.replace(context, slow_start_s=0.0)
            choice = self._choose(workers, queries, context, now)
        if choice is not None:
            prefixes = queries[choice.index].prefixes
            self._index.record_routed(choice.worker.name, prefixes, now)
        return choice

    def _choose(
        self,
        workers: workers_lib.Workers,
        queries: Sequence[RoutingQuery],
        context: RoutingContext,
        now: float,
    ) -> Choice | None:
        states = self._states(workers, context, now)
        below_fair_share = (
            sum(w.own_requests for w in workers) < context.fair_share
        )
        best, best_score = None, math.inf
        for position, query in enumerate(queries):
            best_for_query = self._best_for(
                query, states, context, below_fair_share, now
            )
            if best_for_query is None:
                continue
            score = best_for_query[0] + position * self._weights.order
            if score < best_score:
                best, best_score = Choice(position, best_for_query[1]), score
        return best

    def _states(
        self, workers: workers_lib.Workers, context: RoutingContext, now: float
    ) -> list[_WorkerState]:
        """Returns what holds of each usable worker, whatever the request."""
        median = workers.median_seconds_per_cost
        states = []
        for worker in workers:
            if not worker.usable(now):
                continue
            load = worker.load
            capacity = worker.effective_capacity(now, context.slow_start_s)
            slowdown = 1.0
            if median > 0 and worker.samples:
                slowdown = min(4.0, max(0.5, worker.seconds_per_cost / median))
            queue_delay = (
                (load + 1 - capacity) / capacity if load + 1 > capacity else 0.0
            )
            score = slowdown * (
                1.0 + self._weights.load * load / capacity + queue_delay
            )
            score += self._weights.tiers[worker.tier]
            is_slow = workers.is_slow(worker, now)
            states.append(_WorkerState(worker, load, capacity, is_slow, score))
        return states

    def _best_for(
        self,
        query: RoutingQuery,
        states: list[_WorkerState],
        context: RoutingContext,
        below_fair_share: bool,
        now: float,
    ) -> tuple[float, Worker] | None:
        """Returns the best worker with room for a request, and its score."""
        eligible = _eligible(states, query)
        with_room = [
            state
            for state in self._nearest_tiers(
                self._without_slow(eligible, query, now), context
            )
            if query.urgent
            or _has_room(state, query, context, below_fair_share)
        ]
        if not with_room:
            return None
        matches: dict[str, int] = {}
        if query.prefixes:
            matches = self._index.matches(query.prefixes, now)
        best, best_score = with_room[0], math.inf
        for state in with_room:
            score = state.score + _TIE_BREAK_WEIGHT * self._rng.random()
            if matches:
                matched = matches.get(state.worker.name, 0)
                score -= self._weights.match * matched / len(query.prefixes)
            if score < best_score:
                best, best_score = state, score
        return best_score, best.worker

    def _without_slow(
        self, eligible: list[_WorkerState], query: RoutingQuery, now: float
    ) -> list[_WorkerState]:
        """Leaves out slow workers, but for a rare trial.

        A slow worker that is left out for ever is capacity lost; one that is
        tried often shows in the tail. Trials go to idempotent requests only,
        at growing distances. If all are slow, none is.
        """
        not_slow = [state for state in eligible if not state.slow]
        if not not_slow or len(not_slow) == len(eligible):
            return eligible
        for state in eligible:
            worker = state.worker
            due_for_probe = (
                state.slow
                and not worker.own_requests
                and now >= worker.next_probe_at
            )
            if due_for_probe and query.idempotent:
                worker.record_probe(now)
                return [state]
        return not_slow

    def _nearest_tiers(
        self, not_slow: list[_WorkerState], context: RoutingContext
    ) -> list[_WorkerState]:
        """Returns the workers of the nearest tiers that can carry the load.

        Farther tiers are added while the nearer ones are loaded above the
        limit. Without it a far worker that happens to be idle would draw work
        that a near one can do; one would notice it as traffic between domains.
        """
        if not any(state.worker.tier for state in not_slow):
            return not_slow
        nearest: list[_WorkerState] = []
        for tier in range(len(self._weights.tiers)):
            nearest += [
                state for state in not_slow if state.worker.tier == tier
            ]
            capacity = sum(state.capacity for state in nearest)
            load = sum(state.load for state in nearest)
            if nearest and load < capacity * context.spill_load:
                break
        return nearest


def _eligible(
    states: list[_WorkerState], query: RoutingQuery
) -> list[_WorkerState]:
    """Returns the workers that may run a request, best new to it."""
    if query.version:
        states = [s for s in states if s.worker.version == query.version]
    if not query.avoid:
        return states
    untried = [s for s in states if s.worker.name not in query.avoid]
    return untried or states


def _max_load_limit(
    queries: Sequence[RoutingQuery],
    context: RoutingContext,
    below_fair_share: bool,
) -> Callable[[Worker], float]:
    """Returns the load below which a worker may have room for any of them."""
    if any(query.urgent for query in queries):
        return _unlimited_load
    headroom = context.headroom
    within_share = (
        _WITHIN_SHARE_QUEUE_RATIO
        if any(query.within_share for query in queries)
        else 0.0
    )

    def load_limit(worker: Worker) -> float:
        limit = worker.capacity + math.ceil(worker.capacity * within_share)
        return limit + _headroom(worker.capacity, headroom) + below_fair_share

    return load_limit


def _unlimited_load(worker: Worker) -> float:
    del worker
    return math.inf


def _headroom(capacity: float, headroom: float) -> int:
    return max(0, math.ceil(capacity * headroom - _HEADROOM_TOLERANCE))


def _has_new_workers(
    workers: workers_lib.Workers, context: RoutingContext, now: float
) -> bool:
    return any(
        now - worker.serving_since < context.slow_start_s for worker in workers
    )


def _has_room(
    state: _WorkerState,
    query: RoutingQuery,
    context: RoutingContext,
    below_fair_share: bool,
) -> bool:
    limit = state.capacity + _headroom(state.capacity, context.headroom)
    # Slots pass from a request to the next of the same entry. An entry with few
    # of them, or a customer within its share at an entry that others keep busy,
    # would wait while every slot that falls free is taken elsewhere. What waits
    # at the worker gets the first, whichever entry's request held it.
    if query.within_share:
        limit += math.ceil(state.capacity * _WITHIN_SHARE_QUEUE_RATIO)
        return state.load < limit
    limit -= math.floor(state.capacity * context.reserved_share)
    if below_fair_share:
        limit += 1.0
    return state.load < limit


POLICIES: dict[str, Callable[[random.Random], Policy]] = {
    "cache_aware": CacheAware,
    "least_loaded": baselines.LeastInFlight,
    "two_choices": baselines.PowerOfTwo,
    "random": baselines.Random,
    "round_robin": baselines.RoundRobin,
}
# Names that the bench uses for the same policies.
ALIASES = {"least_in_flight": "least_loaded", "power_of_two": "two_choices"}


def make_policy(name: str, rng: random.Random) -> Policy:
    """Returns a new policy by its name; raises KeyError for a wrong one."""
    return POLICIES[ALIASES.get(name, name)](rng)
