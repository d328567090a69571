"""Routing policies, which choose the worker of a request."""

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
# Requests that customers within their share may queue at a worker, as a share
# of its capacity.
_WITHIN_SHARE_QUEUE_RATIO = 0.5
# Fractions of a request up to this are not rounded up to one more request.
_HEADROOM_TOLERANCE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreWeights:
    """Weights of the cache-aware policy, in units of one mean run time.

    Attributes:
      load: Penalty for a worker that is full but has no queue.
      match: Bonus for a prompt that is completely cached.
      order: Penalty per position that a request is served before its turn.
      tiers: Penalty for a worker in the same failure domain, in the same region
        and elsewhere.
    """

    load: float = 0.6
    match: float = 0.5
    order: float = 0.02
    tiers: tuple[float, float, float] = (0.0, 0.5, 1.0)


@dataclasses.dataclass(slots=True)
class _WorkerState:
    """The state of one worker during one choice."""

    worker: Worker
    load: int
    capacity: float
    slow: bool
    score: float


class CacheAware:
    """Chooses by expected time, from load, speed, distance and cached prefixes.

    It chooses no worker for a request that would only wait there. In the
    entry's queue, the request can still be reordered between customers and
    assigned to the first worker that has capacity.
    """

    def __init__(
        self,
        rng: random.Random,
        index: prefix.PrefixIndex | None = None,
        weights: ScoreWeights | None = None,
    ):
        """Prepares the policy.

        Args:
          rng: Breaks ties, so that entries do not all choose the same worker.
          index: The prefixes that workers have probably cached; None starts
            with an empty index.
          weights: The weights of the score; None uses the defaults.
        """
        self._rng = rng
        self._index = prefix.PrefixIndex() if index is None else index
        self._weights = weights or ScoreWeights()

    @property
    def index(self) -> prefix.PrefixIndex:
        """The prefixes that workers have probably cached."""
        return self._index

    def choose(
        self,
        workers: workers_lib.Workers,
        queries: Sequence[RoutingQuery],
        context: RoutingContext,
        now: float,
    ) -> Choice | None:
        """Returns the request and worker with the least expected time."""
        # At a busy entry, usually all workers are full. Checking this first
        # takes a few comparisons. Computing the scores first took the largest
        # part of the entry's processor time.
        below_fair_share = (
            sum(w.own_requests for w in workers) < context.fair_share
        )
        load_limit = _max_load_limit(queries, context, below_fair_share)
        if not any(w.load < load_limit(w) for w in workers if w.usable(now)):
            return None
        choice = self._choose(workers, queries, context, now)
        if choice is None and _has_new_workers(workers, context, now):
            # Only new workers may have capacity. If the slow start limited
            # them here as well, a fleet that starts as a whole would refuse
            # requests that it can serve.
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
        """Returns the states of all usable workers, for any request."""
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
        """Returns the lowest score for a request and the worker that has it."""
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
        """Returns the workers that are not slow, or one slow worker to probe.

        Excluding a slow worker forever would waste its capacity, and probing it
        often would increase the tail latency. Probes use idempotent requests
        only, at increasing intervals. If all workers are slow, all are
        returned.
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
        """Returns the workers of the nearest tiers that can take the load.

        Farther tiers are added while the load of the nearer ones is above the
        spill limit. Without the limit, an idle remote worker would receive
        requests that a near one could run. The symptom would be traffic between
        failure domains.
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
    """Returns the workers that may run a request, untried ones if any."""
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
    """Returns a function for the load below which a worker may have capacity.

    The function returns an upper bound over all queries.
    """
    if any(query.urgent for query in queries):
        return _unlimited_load
    headroom = context.headroom
    queue_ratio = (
        _WITHIN_SHARE_QUEUE_RATIO
        if any(query.within_share for query in queries)
        else 0.0
    )

    def load_limit(worker: Worker) -> float:
        limit = worker.capacity + math.ceil(worker.capacity * queue_ratio)
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
    # A freed slot is usually taken by the next request of the same entry. An
    # entry with few slots, or a customer within its share at a busy entry,
    # would wait while others take every freed slot. A request that is queued at
    # the worker gets the next freed slot, whichever entry's request held it.
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
# Names of the same policies in the bench.
ALIASES = {"least_in_flight": "least_loaded", "power_of_two": "two_choices"}


def make_policy(name: str, rng: random.Random) -> Policy:
    """Returns a new policy.

    Args:
      name: The name or alias of the policy.
      rng: Used by the policy.

    Raises:
      KeyError: No policy has this name.
    """
    return POLICIES[ALIASES.get(name, name)](rng)
