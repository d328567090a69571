"""Unit tests of fair queueing, admission, demand, limits and shares."""

import random

import pytest

from clementinegw import types
from clementinegw.requests import admit
from clementinegw.requests import fair_queue
from clementinegw.requests import limit
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import shares
from clementinegw.scheduling import demand

_NORMAL = types.Priority.NORMAL
_HIGH = types.Priority.HIGH
_LOW = types.Priority.LOW


def _ticket(customer, priority=_NORMAL, weight=1.0, deadline=1e9, cost=1.0):
    return fair_queue.Ticket(customer, weight, priority, cost, deadline)


def _serve(queue: fair_queue.FairQueue, count: int) -> list[fair_queue.Ticket]:
    served = []
    for _ in range(count):
        ticket = queue.candidates(1)[0]
        queue.serve(ticket)
        served.append(ticket)
    return served


def test_customer_at_ten_times_its_share_delays_only_itself():
    """Guards against delays for all callers when one customer sends a batch.

    A customer queues a hundred requests, then others send one each. The queue
    was in order of arrival, or ranked priorities above customers.
    """
    queue = fair_queue.FairQueue()
    for _ in range(100):
        queue.push(_ticket("heavy", _HIGH))
    _serve(queue, 20)
    for name in ("a", "b", "c"):
        queue.push(_ticket(name, _LOW))
    served = [t.customer for t in _serve(queue, 12)]
    assert {"a", "b", "c"} <= set(served)


def test_shares_are_proportional_to_the_weights():
    queue = fair_queue.FairQueue()
    for _ in range(200):
        queue.push(_ticket("large", weight=5.0))
        queue.push(_ticket("small", weight=1.0))
    served = [t.customer for t in _serve(queue, 120)]
    assert served.count("large") == pytest.approx(100, abs=2)


def test_urgent_requests_go_first_until_their_customer_exceeds_its_share():
    queue = fair_queue.FairQueue()
    for _ in range(30):
        queue.push(_ticket("normal"))
        queue.push(_ticket("urgent", _HIGH))
    served = [t.customer for t in _serve(queue, 20)]
    ahead = int(fair_queue.HIGH_PRIORITY_CREDIT)
    assert served[:ahead] == ["urgent"] * ahead
    assert 4 <= served.count("normal") <= 10


def test_urgent_requests_of_one_customer_go_first():
    queue = fair_queue.FairQueue()
    queue.push(_ticket("a", _LOW))
    queue.push(_ticket("a", _NORMAL))
    queue.push(_ticket("a", _HIGH))
    served = [t.priority for t in _serve(queue, 3)]
    assert served == [_HIGH, _NORMAL, _LOW]


def test_skipped_request_is_served_after_the_maximum_of_skips():
    """Guards against a request that waits while later ones are answered.

    A free worker always receives a request whose prompt it has cached. Requests
    could be skipped without limit.
    """
    queue = fair_queue.FairQueue()
    first = _ticket("a")
    queue.push(first)
    for _ in range(40):
        queue.push(_ticket("a"))
    turns = 0
    while first.waiting:
        candidates = queue.candidates(4)
        queue.serve(candidates[-1], candidates[:-1])
        turns += 1
    assert turns == fair_queue.MAX_SKIPS + 1


def test_requeued_request_goes_to_the_front():
    queue = fair_queue.FairQueue()
    for _ in range(5):
        queue.push(_ticket("a"))
        queue.push(_ticket("b"))
    first = _serve(queue, 1)[0]
    queue.push(first, requeued=True)
    assert queue.candidates(1)[0] is first


def _admission(queue, run_s=1.0, running=4.0):
    admission = admit.Admission(queue, random.Random(1))
    for _ in range(int(running)):
        ticket = _ticket("x")
        admission.record_started(ticket)
        admission.record_started(ticket)
        admission.record_ended(ticket, run_s)
    return admission


def test_overload_is_rejected_immediately_with_a_time_to_retry():
    queue = fair_queue.FairQueue()
    admission = _admission(queue)
    limits = admit.AdmissionLimits()
    for _ in range(40):
        queue.push(_ticket("a"))
    late = _ticket("a", _LOW)
    # A burst is accepted, but not if the delay persists.
    assert admission.check_arrival(late, limits, 100.0) is None
    rejection = admission.check_arrival(late, limits, 100.6)
    assert rejection.reason is types.NotRunReason.OVERLOADED
    assert 5.0 < rejection.retry_after_s <= 30.0
    # Requests of a customer without queued requests are still accepted.
    assert admission.check_arrival(_ticket("b"), limits, 100.6) is None


def test_request_that_would_miss_its_deadline_is_rejected():
    queue = fair_queue.FairQueue()
    admission = _admission(queue)
    for _ in range(40):
        queue.push(_ticket("a"))
    rejection = admission.check_arrival(
        _ticket("a", deadline=103.0), admit.AdmissionLimits(), 100.0
    )
    assert rejection.reason is types.NotRunReason.DEADLINE


def test_queued_request_is_rejected_before_its_deadline():
    """Guards against a rejection shortly before the deadline.

    A request is queued and the workers slow down. Only its deadline ended the
    wait, too late for its caller to retry elsewhere.
    """
    queue = fair_queue.FairQueue()
    admission = _admission(queue)
    ticket = _ticket("a", deadline=1000.0)
    ticket.queued_at = 100.0
    queue.push(ticket)
    assert (
        admission.check_waiting(ticket, admit.AdmissionLimits(), 100.2) is None
    )
    rejection = admission.check_waiting(ticket, admit.AdmissionLimits(), 102.0)
    assert rejection.reason is types.NotRunReason.OVERLOADED
    assert rejection.retry_after_s > 0


@pytest.mark.parametrize(
    ("rates", "capacity", "within_share"),
    [
        ({"a": 2, "b": 3}, 10, {"a", "b"}),
        ({"a": 2, "b": 30}, 10, {"a"}),
        ({"a": 20, "b": 30}, 10, set()),
        ({"a": 1, "b": 1, "c": 9}, 10, {"a", "b", "c"}),
    ],
)
def test_customers_within_their_max_min_share(rates, capacity, within_share):
    tracker = demand.DemandTracker()
    now = 0.0
    for _ in range(60):
        for name, rate in rates.items():
            for _ in range(rate):
                tracker.record_request(name, 1.0, 1.0, now)
        now += 1.0
        tracker.end_period(capacity, now)
        for name, rate in rates.items():
            tracker.record_request(name, 1.0, float(rate), now)
        now += 1.0
        tracker.end_period(capacity, now)
    assert {
        name for name in rates if tracker.is_within_share(name)
    } == within_share


def _rules(**fields):
    return rules_lib.Rules("s", types.ServiceKind.MODEL_ENGINE, **fields)


def test_rate_limit_refuses_with_a_time_to_retry():
    limiter = limit.Limiter(shares.Shares("e1"))
    rules = _rules(requests_per_s=2.0, burst_s=2.0)
    outcomes = [limiter.try_acquire(rules, "a", 0, 100.0) for _ in range(5)]
    assert outcomes[:4] == [None] * 4
    assert outcomes[4].reason is types.NotRunReason.RATE_LIMITED
    assert outcomes[4].retry_after_s == pytest.approx(0.5)
    assert limiter.try_acquire(rules, "b", 0, 100.0) is None
    assert limiter.try_acquire(rules, "a", 0, 100.6) is None


def test_token_limit_charges_the_used_tokens():
    limiter = limit.Limiter(shares.Shares("e1"))
    rules = _rules(tokens_per_s=100.0, burst_s=1.0)
    assert limiter.try_acquire(rules, "a", 300, 100.0) is None
    refused = limiter.try_acquire(rules, "a", 1, 100.0)
    assert refused.reason is types.NotRunReason.TOKEN_LIMITED
    # It used 20 tokens; the rest is refunded.
    limiter.release(rules, "a", 300, 20, ran=True)
    assert limiter.try_acquire(rules, "a", 50, 100.0) is None


def test_request_that_did_not_run_is_refunded():
    limiter = limit.Limiter(shares.Shares("e1"))
    rules = _rules(requests_per_s=1.0, burst_s=1.0)
    for _ in range(10):
        assert limiter.try_acquire(rules, "a", 0, 100.0) is None
        limiter.release(rules, "a", 0, 0, ran=False)


def _share_all(entries: dict[str, shares.Shares], now: float) -> None:
    for name, entry in entries.items():
        for message in entry.end_period(now):
            reply = entries[message.receiver].add_demands(
                name, message.demands, now
            )
            entry.apply_sums(reply.demands, now)


def test_entries_share_a_limit_by_demand():
    """Guards against a customer with an eighth, or eight times, of its limit.

    The load balancer sends all requests of a customer to one of eight entries.
    Fixed shares left the shares of the other entries unused; without shares,
    each entry allowed the whole limit.
    """
    names = [f"e{index}" for index in range(8)]
    entries = {name: shares.Shares(name) for name in names}
    key = ("s", "a")
    now = 0.0
    for entry in entries.values():
        entry.set_entries(names)
    for _ in range(20):
        for _ in range(50):
            entries["e3"].record_request(key, 10, now)
        entries["e5"].record_request(key, 10, now)
        now += shares.PERIOD_S
        _share_all(entries, now)
    used = [entries[name].share(key, now) for name in ("e3", "e5")]
    assert used[0] > 0.75
    assert sum(used) <= 1.0
    # The error is bounded: entries without demand have the floor or an equal
    # share, never the whole limit.
    total = sum(entry.share(key, now) for entry in entries.values())
    assert total <= 2 - shares.SHARE_FLOOR


def test_shares_fall_back_without_the_owner():
    """Guards against a limit that allows all or nothing after an entry died.

    The entry that adds up a customer's demand dies. The shares were computed
    from outdated sums.
    """
    names = [f"e{index}" for index in range(4)]
    entry = shares.Shares("e0")
    entry.set_entries(names)
    key = ("s", "a")
    entry.record_request(key, 1, 0.0)
    entry.end_period(1.0)
    entry.apply_sums([shares.CustomerDemand("s", "a", 0.5, 1.0)], 1.0)
    assert entry.share(key, 1.0) > 0.5
    assert entry.share(key, 10.0) == pytest.approx(1 / 4)
