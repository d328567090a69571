"""Tests the shares of customers while engines are overloaded."""

import asyncio
import contextlib
import functools
from unittest import mock

import overload_site
import pytest

from clementinegw.direct import outcomes
from clementinegw.scheduling import fairness
from clementinegw.scheduling import rank as ranks
from clementinegw.testing import clock as clocks
from clementinegw.testing import engine_model

ENGINE = engine_model.EngineParameters(
    slots=12, step_s=7.4e-3, steps_per_pass=7, prefill_tokens_per_s=31_900.0
)
KINDS = (
    overload_site.Kind("large", 112.0, 1_330.0, 18.0, 0.406),
    overload_site.Kind("middle", 135.0, 827.0, 18.0, 0.406),
    overload_site.Kind("small", 86.9, 647.0, 10.0, 0.405),
)
# Requests per second that one engine can serve.
ENGINE_PER_S = 10.7
SEEDS = (1, 2)
OVERLOAD = (4.0, 16.0)
# From this time on engines are full and refused callers return, in seconds.
SETTLED = 7.0
DRAIN_S = 7.0
# Loads are multiples of what the engines can serve. A customer's share is one
# part in 24.
LARGE = "large"
LARGE_LOAD = 10.0 / 24
OTHERS_LOAD = 1.5 - LARGE_LOAD
OTHERS = tuple((f"c{n}", OTHERS_LOAD / 23) for n in range(1, 24))
FLAT = (*OTHERS, (LARGE, LARGE_LOAD))
ZIPF = tuple((f"c{n}", n**-1.2) for n in range(1, 25))


@functools.cache
def play(
    customers,
    load,
    seed,
    *,
    repeating=frozenset(),
    with_shares=True,
    engines=10,
    entries=10,
    kinds=KINDS,
):
    """Returns the callers that arrived while engines were overloaded."""

    async def run():
        site = overload_site.Simulation(
            engines,
            entries,
            seed,
            figures=ENGINE,
            kinds=kinds,
            customers=dict(customers),
            repeating=repeating,
        )
        usual = sum(kind.per_s for kind in kinds)
        factor = engines * ENGINE_PER_S / usual
        await site.play(
            OVERLOAD[1],
            lambda now: factor * (0.6 if now < OVERLOAD[0] else load),
        )
        await asyncio.sleep(DRAIN_S)
        site.stop()
        return site

    with contextlib.ExitStack() as stack:
        if not with_shares:
            stack.enter_context(
                mock.patch.object(
                    fairness.CustomerShares,
                    "_find_over",
                    lambda *args: frozenset(),
                )
            )
        site = clocks.run(run())
    return site.callers_between(SETTLED, OVERLOAD[1])


def play_seeds(customers, load, **options):
    return [
        caller
        for seed in SEEDS
        for caller in play(customers, load, seed, **options)
    ]


def in_time(callers):
    return sum(c.in_time for c in callers) / len(callers)


def served(callers):
    return sum(c.served for c in callers) / len(callers)


def of(callers, *names):
    return [c for c in callers if c.customer in names]


def without(callers, *names):
    return [c for c in callers if c.customer not in names]


def worst_served_ratio(callers):
    """Returns how often the worst customer is served, relative to all."""
    names = {c.customer for c in callers}
    return min(served(of(callers, name)) for name in names) / served(callers)


def over_share_ratio(callers):
    """Returns the fraction of refusals that say so."""
    reasons = [reason for caller in callers for reason in caller.reasons]
    return reasons.count(outcomes.RefusalReason.OVER_SHARE) / len(reasons)


@pytest.mark.parametrize(
    "repeating", [frozenset(), frozenset({LARGE})], ids=["once", "repeating"]
)
def test_large_customer_delays_only_itself(repeating):
    """Guards others against a customer at ten times its share.

    Under 1.5 times what engines can serve, all customers were served alike, and
    one that repeated refused requests at once was served better than others.
    It still gets the rest of the capacity.
    """
    alone = in_time(play_seeds(OTHERS, OTHERS_LOAD))
    former = play_seeds(FLAT, 1.5, repeating=repeating, with_shares=False)
    callers = play_seeds(FLAT, 1.5, repeating=repeating)
    others = in_time(without(callers, LARGE))
    assert others >= 0.9 * alone
    assert others >= in_time(without(former, LARGE)) + 0.08
    assert in_time(of(callers, LARGE)) < others
    assert in_time(callers) >= 0.97 * in_time(former)
    assert worst_served_ratio(callers) >= 0.5
    assert over_share_ratio(of(callers, LARGE)) >= 0.9
    assert over_share_ratio(without(callers, LARGE)) <= 0.1
    assert not over_share_ratio(former)


def test_customers_of_different_sizes_are_served_half_as_often_as_all():
    """Guards the smallest customers, and the largest ones, against starving.

    Two customers repeat refused requests at once.
    """
    repeating = frozenset({"c2", "c7"})
    former = play_seeds(ZIPF, 1.5, repeating=repeating, with_shares=False)
    callers = play_seeds(ZIPF, 1.5, repeating=repeating)
    small = [f"c{n}" for n in range(8, 25)]
    assert in_time(of(callers, *small)) >= in_time(of(former, *small)) + 0.08
    assert worst_served_ratio(callers) >= 0.5


def test_entries_that_see_few_requests_protect_the_others():
    """Each entry sees seven requests a second, of all customers together."""
    options = {"engines": 14, "entries": 21, "repeating": frozenset({LARGE})}
    former = play(FLAT, 1.5, 1, with_shares=False, **options)
    callers = play(FLAT, 1.5, 1, **options)
    others = in_time(without(callers, LARGE))
    assert others >= in_time(without(former, LARGE)) + 0.08
    assert in_time(callers) >= 0.97 * in_time(former)
    assert worst_served_ratio(callers) >= 0.5


@pytest.mark.parametrize(
    ("customers", "load"), [((("", 1.0),), 1.5), (FLAT, 0.7)]
)
def test_one_customer_or_enough_capacity_changes_nothing(customers, load):
    former = play(customers, load, 1, with_shares=False)
    callers = play(customers, load, 1)
    assert callers == former
    assert callers


RANKED_KINDS = (
    overload_site.Kind("bulk", 82.0, 1_330.0, 18.0, 1.0, priority=2),
    overload_site.Kind("urgent", 103.0, 827.0, 18.0, 0.406, priority=0),
)


def test_rank_goes_before_share():
    """Guards urgent requests of a large customer against others' bulk.

    They left slots free while bulk requests of others took them, and were
    served less often than before.
    """
    options = {"repeating": frozenset({LARGE}), "kinds": RANKED_KINDS}
    former = play_seeds(FLAT, 1.5, with_shares=False, **options)
    callers = play_seeds(FLAT, 1.5, **options)
    urgent, former_urgent = (
        [c for c in group if c.kind.priority == 0]
        for group in (callers, former)
    )
    assert in_time(urgent) >= in_time(former_urgent)
    others, former_others = (
        without(urgent, LARGE),
        without(former_urgent, LARGE),
    )
    assert in_time(others) >= in_time(former_others) + 0.04
    assert served(of(urgent, LARGE)) >= 0.9 * served(others)


# Shares at one entry.

RANK = ranks.Rank(1, 1)
URGENT = ranks.Rank(0, 0)
DEMAND = {LARGE: 10, "a": 2, "b": 2}


def record(
    shares,
    demand,
    placed,
    seconds=8,
    start=0.0,
    refused=True,
    ranks_by_name=None,
):
    """Records requests per second by customer, in steps of a second.

    Args:
      shares: The shares.
      demand: Requests per second by customer.
      placed: How many of each customer's get a server.
      seconds: Length, in seconds.
      start: Monotonic seconds.
      refused: Whether the others were refused.
      ranks_by_name: Ranks of the customers' requests.
    """
    for second in range(seconds):
        now = start + second
        for name, count in demand.items():
            rank = (ranks_by_name or {}).get(name, RANK)
            for number in range(count):
                shares.record_arrival(name, rank, now)
                if number < placed.get(name, 0):
                    shares.record_placed(name, rank, 0.0)
                elif refused:
                    shares.record_refused(rank)
    shares.record_arrival("last", RANK, start + seconds)


def test_customer_above_its_share_is_over_it():
    shares = fairness.CustomerShares()
    record(shares, DEMAND, {LARGE: 4, "a": 2, "b": 2})
    assert shares.is_over_share(LARGE)
    assert not shares.is_over_share("a")
    assert not shares.is_over_share("new")
    assert shares.limit(LARGE, RANK) < 1.0
    assert shares.limit("a", RANK) == 1.0


def test_nobody_is_over_its_share_while_none_waits():
    shares = fairness.CustomerShares()
    record(shares, DEMAND, DEMAND)
    assert not shares.is_over_share(LARGE)


def test_customer_is_within_its_share_again_after_the_overload():
    shares = fairness.CustomerShares()
    record(shares, DEMAND, {LARGE: 4, "a": 2, "b": 2})
    record(shares, DEMAND, DEMAND, seconds=2, start=8.0)
    assert not shares.is_over_share(LARGE)


def test_only_customer_is_never_over_its_share():
    shares = fairness.CustomerShares()
    record(shares, {"": 10}, {"": 4})
    assert not shares.is_over_share("")


def test_anonymous_callers_are_one_customer():
    shares = fairness.CustomerShares()
    record(shares, {"": 10, "a": 2}, {"": 4, "a": 2})
    assert shares.is_over_share("")


def test_equal_customers_are_not_over_their_share():
    shares = fairness.CustomerShares()
    names = [f"c{n}" for n in range(10)]
    record(shares, dict.fromkeys(names, 3), dict.fromkeys(names, 2))
    assert not any(shares.is_over_share(name) for name in names)


def test_large_customer_has_a_floor():
    """A customer over its share must not starve."""
    shares = fairness.CustomerShares()
    record(shares, {LARGE: 40, "a": 20, "b": 20}, {LARGE: 4, "a": 20, "b": 20})
    assert not shares.is_over_share(LARGE)


def test_repeats_count_as_demand():
    """A customer whose callers repeat refused requests goes behind others."""
    shares = fairness.CustomerShares()
    record(shares, {LARGE: 4, "a": 4, "b": 4}, {LARGE: 3, "a": 3, "b": 3})
    assert not shares.is_over_share(LARGE)
    repeated = {LARGE: 16, "a": 4, "b": 4}
    record(shares, repeated, {LARGE: 6, "a": 3, "b": 3}, start=8.0)
    assert shares.is_over_share(LARGE)


def test_rank_with_room_is_not_limited():
    """Urgent requests that are all served need not leave slots free."""
    shares = fairness.CustomerShares()
    demand = {LARGE: 10, "a": 4, "urgent": 2}
    record(
        shares,
        demand,
        {LARGE: 4, "a": 4, "urgent": 2},
        ranks_by_name={"urgent": URGENT},
    )
    assert shares.limit(LARGE, RANK) < 1.0
    assert shares.limit(LARGE, URGENT) == 1.0


@pytest.mark.parametrize(("placed", "limited"), [(4, False), (0, True)])
def test_limited_rank_leaves_no_slots_to_less_urgent_requests(placed, limited):
    """Bulk requests must not get slots that a large customer leaves free."""
    shares = fairness.CustomerShares()
    record(
        shares,
        {LARGE: 10, "a": 4, "bulk": 4},
        {LARGE: 4, "a": 4, "bulk": placed},
        ranks_by_name={LARGE: URGENT, "a": URGENT},
    )
    assert shares.is_over_share(LARGE)
    assert (shares.limit(LARGE, URGENT) < 1.0) == limited


def test_idle_customers_are_forgotten():
    shares = fairness.CustomerShares()
    for second in range(200):
        shares.record_arrival(f"c{second}", RANK, float(second))
    assert len(shares) < 30
