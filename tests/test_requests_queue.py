"""Fair queueing, admission, demand and limits: decisions only."""

import random

import pytest

from clementinegw import types
from clementinegw.requests import admit
from clementinegw.requests import demand
from clementinegw.requests import fair_queue
from clementinegw.requests import limit
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import shares

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


def test_one_customer_at_ten_times_its_share_waits_behind_itself():
    """Symptom: every caller is late because one customer sends a batch.

    Sequence: a customer queues a hundred requests, then others send one each.
    Cause: a queue in order of arrival, or classes above the customers.
    """
    queue = fair_queue.FairQueue()
    for _ in range(100):
        queue.push(_ticket("heavy", _HIGH))
    _serve(queue, 20)
    for name in ("a", "b", "c"):
        queue.push(_ticket(name, _LOW))
    served = [t.customer for t in _serve(queue, 12)]
    assert {"a", "b", "c"} <= set(served)


def test_shares_follow_the_weights():
    queue = fair_queue.FairQueue()
    for _ in range(200):
        queue.push(_ticket("large", weight=5.0))
        queue.push(_ticket("small", weight=1.0))
    served = [t.customer for t in _serve(queue, 120)]
    assert served.count("large") == pytest.approx(100, abs=2)


def test_urgent_work_passes_until_its_customer_is_ahead_of_its_share():
    queue = fair_queue.FairQueue()
    for _ in range(30):
        queue.push(_ticket("calm"))
        queue.push(_ticket("urgent", _HIGH))
    served = [t.customer for t in _serve(queue, 20)]
    ahead = int(fair_queue.HIGH_PRIORITY_CREDIT)
    assert served[:ahead] == ["urgent"] * ahead
    assert 4 <= served.count("calm") <= 10


def test_urgent_work_of_one_customer_goes_first():
    queue = fair_queue.FairQueue()
    queue.push(_ticket("a", _LOW))
    queue.push(_ticket("a", _NORMAL))
    queue.push(_ticket("a", _HIGH))
    served = [t.priority for t in _serve(queue, 3)]
    assert served == [_HIGH, _NORMAL, _LOW]


def test_a_passed_over_request_is_served_in_the_end():
    """Symptom: one request waits while those behind it are answered.

    Sequence: a free worker is always given a prompt that it has cached. Cause:
    looking for a match without counting whom it passes over.
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


def test_a_repeated_request_keeps_its_turn():
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


def test_overload_is_refused_at_once_with_a_time_to_come_back():
    queue = fair_queue.FairQueue()
    admission = _admission(queue)
    limits = admit.AdmissionLimits()
    for _ in range(40):
        queue.push(_ticket("a"))
    late = _ticket("a", _LOW)
    # A burst is let in; a delay that lasts is not.
    assert admission.check_arrival(late, limits, 100.0) is None
    rejection = admission.check_arrival(late, limits, 100.6)
    assert rejection.reason is types.NotRunReason.OVERLOADED
    assert 5.0 < rejection.retry_after_s <= 30.0
    # A customer with nothing waiting is still let in.
    assert admission.check_arrival(_ticket("b"), limits, 100.6) is None


def test_what_cannot_be_done_in_time_is_not_begun():
    queue = fair_queue.FairQueue()
    admission = _admission(queue)
    for _ in range(40):
        queue.push(_ticket("a"))
    rejection = admission.check_arrival(
        _ticket("a", deadline=103.0), admit.AdmissionLimits(), 100.0
    )
    assert rejection.reason is types.NotRunReason.DEADLINE


def test_a_waiting_request_is_not_held_until_its_deadline():
    """Symptom: a refusal that comes a moment before the deadline.

    Sequence: a request waits, the workers slow down, its turn does not come.
    Cause: only its deadline ends the wait, so that its caller learns too late
    that it should have asked elsewhere.
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
def test_light_customers_by_max_min_share(rates, capacity, within_share):
    meter = demand.DemandTracker()
    now = 0.0
    for _ in range(60):
        for name, rate in rates.items():
            for _ in range(rate):
                meter.record_request(name, 1.0, 1.0, now)
        now += 1.0
        meter.end_period(capacity, now)
        for name, rate in rates.items():
            meter.record_request(name, 1.0, float(rate), now)
        now += 1.0
        meter.end_period(capacity, now)
    assert {
        name for name in rates if meter.is_within_share(name)
    } == within_share


def _rules(**fields):
    return rules_lib.Rules("s", types.ServiceKind.MODEL_ENGINE, **fields)


def test_rate_limit_refuses_and_says_when_to_come_back():
    limiter = limit.Limiter(shares.Shares("e1"))
    rules = _rules(requests_per_s=2.0, burst_s=2.0)
    outcomes = [limiter.try_acquire(rules, "a", 0, 100.0) for _ in range(5)]
    assert outcomes[:4] == [None] * 4
    assert outcomes[4].reason is types.NotRunReason.RATE_LIMITED
    assert outcomes[4].retry_after_s == pytest.approx(0.5)
    assert limiter.try_acquire(rules, "b", 0, 100.0) is None
    assert limiter.try_acquire(rules, "a", 0, 100.6) is None


def test_token_limit_charges_what_was_used():
    limiter = limit.Limiter(shares.Shares("e1"))
    rules = _rules(tokens_per_s=100.0, burst_s=1.0)
    assert limiter.try_acquire(rules, "a", 300, 100.0) is None
    refused = limiter.try_acquire(rules, "a", 1, 100.0)
    assert refused.reason is types.NotRunReason.TOKEN_LIMITED
    # It took 20 tokens in the end; the rest is given back.
    limiter.release(rules, "a", 300, 20, ran=True)
    assert limiter.try_acquire(rules, "a", 50, 100.0) is None


def test_a_request_that_did_not_run_is_free():
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
    """Symptom: a customer gets an eighth of its limit, or eight times of it.

    Sequence: the balancer sends all of its requests to one of the entries.
    Cause: fixed shares waste what the others do not use; no shares multiply.
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
    asking = [entries[name].share(key, now) for name in ("e3", "e5")]
    assert asking[0] > 0.75
    assert sum(asking) <= 1.0
    # Bounded error: entries that have not asked count with their floor or an
    # equal share, never with all of it.
    total = sum(entry.share(key, now) for entry in entries.values())
    assert total <= 2 - shares.SHARE_FLOOR


def test_shares_fall_back_without_the_owner():
    """Symptom: a limit that vanishes or closes while an entry is down.

    Sequence: the entry that adds up a customer's demand dies. Cause: shares
    that rest on sums nobody keeps up to date.
    """
    names = [f"e{index}" for index in range(4)]
    one = shares.Shares("e0")
    one.set_entries(names)
    key = ("s", "a")
    one.record_request(key, 1, 0.0)
    one.end_period(1.0)
    one.apply_sums([shares.CustomerDemand("s", "a", 0.5, 1.0)], 1.0)
    assert one.share(key, 1.0) > 0.5
    assert one.share(key, 10.0) == pytest.approx(1 / 4)
