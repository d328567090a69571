"""Unit tests of subsets, routing and retry decisions."""

import random

import pytest

from clementinegw import types
from clementinegw.requests import prefix
from clementinegw.requests import retry
from clementinegw.requests import route
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import subset
from clementinegw.requests import workers as workers_lib

_HERE = types.Place("noord", "groningen-hal")
_NEAR = types.Place("noord", "assen-hal")
_FAR = types.Place("zuid", "eindhoven-hal")
_NOW = 1000.0


def _workers(*places: types.Place, serving_s: float = 100.0, capacity: int = 4):
    workers = workers_lib.Workers(_HERE)
    instances = [
        types.Instance(
            f"a{index}",
            types.Role.AGENT,
            place,
            types.Address("127.0.0.1", index + 1),
        )
        for index, place in enumerate(places)
    ]
    workers.set_subset(instances)
    for instance in instances:
        report = workers_lib.Report(
            "v1", False, True, 0, capacity, serving_s, 1
        )
        workers.apply_report(instance.instance_id, report, _NOW)
    return workers


def _fill(workers, name: str, count: int, start: float = _NOW) -> None:
    worker = workers.get(name)
    for _ in range(count):
        workers.record_started(
            worker, f"{name}-{worker.own_requests}", 1.0, start
        )


def _finish(workers, name: str, count: int, seconds: float) -> None:
    worker = workers.get(name)
    for _ in range(count):
        workers.record_started(worker, "x", 1.0, _NOW - seconds)
        workers.record_ended(worker, "x", _NOW, answered=True)


def _choose(workers, query=None, context=None, policy=None, now=_NOW):
    policy = policy or route.CacheAware(random.Random(1))
    choice = policy.choose(
        workers,
        [query or route.RoutingQuery()],
        context or route.RoutingContext(),
        now,
    )
    return choice.worker.name if choice else None


@pytest.mark.parametrize(
    ("entries", "workers", "size"),
    [(320, 860, 16), (9, 7, 16), (8, 40, 4), (1, 30, 4), (50, 3, 2)],
)
def test_subsets_cover_every_worker_evenly(entries, workers, size):
    """Guards against idle workers while others are overloaded.

    Each entry connects to some of the workers. Random subsets left workers to
    few entries or to none.
    """
    names = [f"e{index}" for index in range(entries)]
    agents = [f"a{index}" for index in range(workers)]
    covered = dict.fromkeys(agents, 0)
    for name in names:
        chosen = subset.choose(name, names, agents, size)
        assert len(chosen) == len(set(chosen)) >= min(size, workers)
        for agent in chosen:
            covered[agent] += 1
    assert min(covered.values()) >= min(subset.MIN_COVERAGE, entries)
    assert max(covered.values()) - min(covered.values()) <= 2
    if (entries, workers) == (320, 860):
        assert sum(covered.values()) / entries <= 20


def test_removed_member_moves_few_connections():
    names = [f"e{index}" for index in range(320)]
    agents = [f"a{index}" for index in range(860)]
    before = {n: set(subset.choose(n, names, agents, 16)) for n in names}
    fewer = agents[1:]
    moved = [
        len(before[n] - set(subset.choose(n, names, fewer, 16))) for n in names
    ]
    assert sum(moved) / len(moved) < 2.0
    assert max(moved) <= 3


def test_nearer_workers_are_chosen_first():
    workers = _workers(_HERE, _HERE, _NEAR, _FAR)
    assert _choose(workers) in {"a0", "a1"}
    _fill(workers, "a0", 4)
    _fill(workers, "a1", 4)
    assert _choose(workers) == "a2"
    _fill(workers, "a2", 4)
    assert _choose(workers) == "a3"


def test_request_waits_without_capacity():
    workers = _workers(_HERE, _HERE)
    _fill(workers, "a0", 4)
    _fill(workers, "a1", 4)
    assert _choose(workers) is None
    # A customer within its share may queue at a worker, and so may an entry
    # with less than its fair share of the slots.
    assert _choose(workers, route.RoutingQuery(within_share=True)) is not None
    below_fair_share = route.RoutingContext(fair_share=20.0)
    assert _choose(workers, context=below_fair_share) is not None


def test_load_of_other_entries_counts():
    workers = _workers(_HERE, _HERE)
    report = workers_lib.Report("v1", False, True, 4, 4, 100.0, 1)
    workers.apply_report("a0", report, _NOW)
    assert all(_choose(workers) == "a1" for _ in range(10))
    # An answer reports free capacity earlier than the next report.
    worker = workers.get("a0")
    workers.record_started(worker, "r", 1.0, _NOW)
    workers.record_ended(worker, "r", _NOW, answered=True, reported_load=0)
    assert worker.load == 0


def test_cached_prefix_is_preferred_unless_its_worker_is_full():
    index = prefix.PrefixIndex()
    policy = route.CacheAware(random.Random(1), index)
    workers = _workers(_HERE, _HERE, _HERE)
    index.apply_report("a2", [11, 12, 13], _NOW)
    query = route.RoutingQuery(prefixes=(11, 12, 13, 14))
    _fill(workers, "a2", 2)
    assert _choose(workers, query, policy=policy) == "a2"
    _fill(workers, "a2", 2)
    assert _choose(workers, query, policy=policy) != "a2"


def test_stale_prefix_expires():
    """Guards against prompts for a worker that no longer has them cached.

    A block is evicted and the event is lost in a gap. A report was valid
    forever.
    """
    index = prefix.PrefixIndex()
    index.apply_report("a0", [1, 2, 3], 0.0)
    assert index.matches((1, 2, 3), 1.0) == {"a0": 3}
    # The next report lacks one block, and no report evicts the others.
    index.apply_report("a0", [1, 2], 2.0)
    assert index.matches((1, 2, 3), 2.0) == {"a0": 2}
    later = 2.0 + prefix.REPORTED_TTL_S
    assert index.matches((1, 2, 3), later) == {}


def test_routed_prompt_counts_before_its_report():
    index = prefix.PrefixIndex()
    index.record_routed("a0", (1, 2), 0.0)
    index.apply_report("a0", [], 0.1)
    assert index.matches((1, 2, 3), 1.0) == {"a0": 2}
    assert index.matches((1, 2, 3), prefix.ROUTED_TTL_S) == {}
    index.apply_report("a0", [1], 20.0)
    index.forget("a0")
    assert not len(index)


def test_prefixes_are_bounded():
    index = prefix.PrefixIndex(max_prefixes=100)
    for number in range(1000):
        index.record_routed("a0", (number,), 0.0)
    assert len(index) == 100
    assert index.matches((999,), 1.0) == {"a0": 1}


def test_slow_worker_is_excluded_and_probed_rarely():
    """Guards against one in ten answers that takes five times as long.

    A worker becomes slow and is still chosen. Routing considered the load
    alone, and a slow worker that is chosen rarely has few requests in flight.
    """
    workers = _workers(_HERE, _HERE, _HERE, _HERE)
    for name in ("a0", "a1", "a2"):
        _finish(workers, name, 10, 0.2)
    _finish(workers, "a3", 10, 1.0)
    policy = route.CacheAware(random.Random(1))
    chosen = [
        _choose(workers, policy=policy, now=_NOW + index / 20)
        for index in range(200)
    ]
    assert 1 <= chosen.count("a3") <= 3
    booking = route.RoutingQuery(idempotent=False)
    later = _NOW + 100.0
    assert _choose(workers, booking, policy=policy, now=later) != "a3"


def test_stalled_worker_is_excluded_without_answers():
    workers = _workers(_HERE, _HERE, _HERE)
    for name in ("a0", "a1", "a2"):
        _finish(workers, name, 5, 0.2)
    _fill(workers, "a1", 1, start=_NOW - 5.0)
    assert all(_choose(workers) != "a1" for _ in range(20))


def test_no_worker_is_excluded_if_all_are_slow():
    workers = _workers(_HERE, _HERE)
    for name in ("a0", "a1"):
        _finish(workers, name, 10, 5.0)
    assert {_choose(workers) for _ in range(20)} <= {"a0", "a1"}
    assert _choose(workers) is not None


def test_new_worker_has_a_slow_start_and_a_new_fleet_has_none():
    workers = _workers(_HERE, _HERE, capacity=8)
    report = workers_lib.Report("v2", False, True, 0, 8, 1.0, 1)
    workers.apply_report("a1", report, _NOW)
    chosen = []
    for _ in range(8):
        name = _choose(workers)
        chosen.append(name)
        _fill(workers, name, 1)
    assert chosen.count("a1") == 1
    cold = _workers(_HERE, serving_s=0.0, capacity=8)
    for _ in range(8):
        assert _choose(cold) == "a0"
        _fill(cold, "a0", 1)
    assert _choose(cold) is None


def test_replaced_agent_starts_with_new_state():
    workers = _workers(_HERE)
    workers.mark_leaving("a0")
    assert _choose(workers) is None
    report = workers_lib.Report("v1", False, True, 0, 4, 0.0, 2)
    workers.apply_report("a0", report, _NOW)
    assert _choose(workers) == "a0"


def test_consecutive_failures_start_a_cooldown():
    workers = _workers(_HERE, _HERE)
    for _ in range(3):
        workers.record_failure(workers.get("a0"), _NOW)
    assert {_choose(workers) for _ in range(20)} == {"a1"}
    policy = route.CacheAware(random.Random(1))
    later = _NOW + 1.1
    names = {_choose(workers, policy=policy, now=later) for _ in range(20)}
    assert names == {"a0", "a1"}


@pytest.mark.parametrize("name", [*route.POLICIES, *route.ALIASES])
def test_every_policy_excludes_leaving_workers(name):
    workers = _workers(_HERE, _HERE, _HERE)
    workers.mark_leaving("a1")
    policy = route.make_policy(name, random.Random(1))
    names = {_choose(workers, policy=policy) for _ in range(50)}
    assert names == {"a0", "a2"}


_RULES = rules_lib.Rules("s", types.ServiceKind.PLAIN)
_CRASHED = types.Unknown(types.UnknownReason.BACKEND_CRASHED)
_FULL = types.NotRun(types.NotRunReason.OVERLOADED, 0.5)


@pytest.mark.parametrize(
    ("outcome", "detail", "idempotent", "attempt", "left_s", "stop"),
    [
        (_CRASHED, "backend_crashed", True, 1, 9.0, None),
        (_CRASHED, "backend_crashed", False, 1, 9.0, "not_idempotent"),
        (_FULL, "overloaded", False, 1, 9.0, None),
        (_FULL, "overloaded", False, 3, 9.0, "attempts"),
        (_FULL, "overloaded", False, 1, 0.0, "deadline"),
        (_FULL, retry.NO_WORKER, True, 1, 9.0, "final"),
        (
            types.NotRun(types.NotRunReason.ALREADY_RUN),
            "already_run",
            False,
            1,
            9.0,
            "final",
        ),
        (
            types.Unknown(types.UnknownReason.DEADLINE),
            "deadline",
            True,
            1,
            9.0,
            "final",
        ),
    ],
)
def test_retry_decisions(outcome, detail, idempotent, attempt, left_s, stop):
    decision = retry.decide(
        outcome,
        detail,
        idempotent,
        attempt,
        left_s,
        _RULES,
        retry.RetryBudget(),
        random.Random(1),
    )
    if stop is None:
        assert isinstance(decision, retry.Retry)
        assert decision.reason == detail
        assert decision.after_s <= _RULES.base_s
    else:
        assert decision == retry.GiveUp(retry.StopReason(stop))


def test_spent_budget_is_refilled_by_requests():
    budget = retry.RetryBudget(max_retries=2.0)
    assert [budget.try_acquire() for _ in range(3)] == [True, True, False]
    for _ in range(11):
        budget.record_request(0.1)
    assert budget.try_acquire()
    assert not budget.try_acquire()
