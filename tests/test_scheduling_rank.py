"""Tests ranks of requests: order, room kept for the urgent, and refusals."""

import asyncio
import dataclasses
import functools
import random

import overload_site
import platform_site as sites
import pytest

from clementinegw import types as shared_types
from clementinegw.direct import balance
from clementinegw.direct import catalog as catalogs
from clementinegw.direct import fleet as fleets
from clementinegw.direct import late_limit
from clementinegw.direct import outcomes
from clementinegw.direct import queue
from clementinegw.direct import reports
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.scheduling import contention
from clementinegw.scheduling import headroom
from clementinegw.scheduling import order
from clementinegw.scheduling import rank as ranks
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.testing import engine_model

ENGINES = 8
ENTRIES = 12
FIGURES = engine_model.EngineParameters(
    slots=12, step_s=9.27e-3, prefill_tokens_per_s=20_700.0
)
# The urgent and the middle kind need half of the engines' time. With the bulk
# at twice its rate the engines are overloaded.
KINDS = (
    overload_site.Kind("bulk", 17.2, 1_330.0, 21.0, 1.0, priority=2),
    overload_site.Kind("urgent", 21.6, 827.0, 21.0, 0.4, priority=0),
    overload_site.Kind("middle", 12.0, 647.0, 14.0, 0.4, priority=1),
)
ALIKE = tuple(dataclasses.replace(kind, priority=1) for kind in KINDS)
BULK_BURST = (4.0, 10.0)
URGENT_BURST = (14.0, 20.0)
# Time to wait for requests in flight at the end, in seconds.
DRAIN_S = 7.0
SEEDS = (1, 2, 3)

URGENT = ranks.Rank(0, 0)
MIDDLE = ranks.Rank(1, 1)
BULK = ranks.Rank(2, 2)


def bursts(kind, now):
    """Returns twice the rate for a burst of the bulk, then of the urgent."""
    if kind.name == "bulk" and BULK_BURST[0] <= now < BULK_BURST[1]:
        return 2.0
    if kind.name == "urgent" and URGENT_BURST[0] <= now < URGENT_BURST[1]:
        return 2.0
    return 1.0


def lasting(kind, now):
    """Returns four times the rate of the urgent: more than all engines."""
    return 4.0 if kind.name == "urgent" else 1.0


async def play(kinds, seed, kind_factor, until):
    site = overload_site.Simulation(
        ENGINES, ENTRIES, seed, figures=FIGURES, kinds=kinds
    )
    await site.play(until, lambda now: 1.0, kind_factor)
    await asyncio.sleep(DRAIN_S)
    site.stop()
    return site


@functools.cache
def bursts_played(kinds):
    return [
        clocks.run(play(kinds, seed, bursts, URGENT_BURST[1])) for seed in SEEDS
    ]


def callers(sites, name, span):
    """Returns the callers of a kind that arrived in a time; all for None."""
    return [
        caller
        for site in sites
        for caller in site.callers_between(*span)
        if name in (None, caller.kind.name)
    ]


def in_time(sites, name, span):
    found = callers(sites, name, span)
    return sum(c.in_time for c in found) / len(found)


def served(sites, name, span):
    found = callers(sites, name, span)
    return sum(c.served for c in found) / len(found)


# Bursts at overloaded engines.


def test_a_burst_of_bulk_does_not_take_the_slots_of_the_urgent():
    """Guards against bulk that is served best because it may wait longest."""
    sites = bursts_played(KINDS)
    former = in_time(bursts_played(ALIKE), "urgent", BULK_BURST)
    now = in_time(sites, "urgent", BULK_BURST)
    assert now >= 0.9
    assert now >= former + 0.1


def test_a_middle_rank_gains_from_a_burst_of_bulk_too():
    """Guards against a middle rank that cannot wait and is served worst."""
    former = in_time(bursts_played(ALIKE), "middle", BULK_BURST)
    assert in_time(bursts_played(KINDS), "middle", BULK_BURST) >= former


def test_bulk_is_served_during_its_burst():
    sites = bursts_played(KINDS)
    share = served(sites, "bulk", BULK_BURST)
    assert share >= 0.5 * served(sites, None, BULK_BURST)


def test_a_burst_of_the_urgent_leaves_some_slots_to_bulk():
    sites = bursts_played(KINDS)
    former = in_time(bursts_played(ALIKE), "urgent", URGENT_BURST)
    assert in_time(sites, "urgent", URGENT_BURST) >= former + 0.05
    share = served(sites, "bulk", URGENT_BURST)
    assert share >= 0.25 * served(sites, None, URGENT_BURST)


def test_bulk_gets_its_floor_under_a_lasting_overload_by_the_urgent():
    """Guards against bulk that starves while the urgent want all slots."""
    site = clocks.run(play(KINDS, 1, lasting, 20.0))
    span = (6.0, 20.0)
    everyone = served([site], None, span)
    assert everyone < 0.9
    assert served([site], "bulk", span) >= 0.25 * everyone


@pytest.mark.parametrize("factor", [0.5, 2.0])
def test_an_estimate_that_is_wrong_by_half_still_helps(factor, monkeypatch):
    """Tests that both errors of the expected arrivals are borne."""
    size = balance.Balancer.size

    def wrong_size(balancer, service):
        right = size(balancer, service)
        return dataclasses.replace(right, entries=right.entries * factor)

    monkeypatch.setattr(balance.Balancer, "size", wrong_size)
    sites = [clocks.run(play(KINDS, seed, bursts, 10.0)) for seed in SEEDS]
    former = in_time(bursts_played(ALIKE), "urgent", BULK_BURST)
    assert in_time(sites, "urgent", BULK_BURST) >= former + 0.05
    share = served(sites, "bulk", BULK_BURST)
    assert share >= 0.5 * served(sites, None, BULK_BURST)


def test_without_different_ranks_nothing_is_kept(monkeypatch):
    """Tests that decisions do not depend on a rank that all requests have."""

    def outcomes_of(site):
        return [(c.first_at, c.ended_at, c.refusals) for c in site.callers]

    expected = outcomes_of(bursts_played(ALIKE)[0])
    monkeypatch.setattr(headroom.Headroom, "record_arrival", lambda *args: None)
    for priority in (0, 2):
        kinds = tuple(
            dataclasses.replace(kind, priority=priority) for kind in KINDS
        )
        site = clocks.run(play(kinds, SEEDS[0], bursts, URGENT_BURST[1]))
        assert outcomes_of(site) == expected


# The room kept at servers.

FLEET = headroom.Fleet(entries=10, servers=10, slots=12.0)


def record(room, rank, per_s, seconds=10.0, begin=0.0):
    for number in range(int(per_s * seconds)):
        room.record_arrival(rank, begin + number / per_s)


def test_nothing_is_kept_from_the_only_rank_or_the_most_urgent():
    room = headroom.Headroom()
    record(room, BULK, 5.0)
    assert not room.ranked
    assert room.kept(BULK, True, FLEET, 10.0) == 0.0
    record(room, URGENT, 5.0)
    assert room.ranked
    assert room.kept(URGENT, True, FLEET, 10.0) == 0.0
    assert room.kept(BULK, True, FLEET, 10.0) > 0.0


def test_more_is_kept_from_less_urgent_ranks():
    room = headroom.Headroom()
    for rank in (URGENT, MIDDLE, BULK):
        record(room, rank, 2.0)
    kept = [room.kept(r, True, FLEET, 10.0) for r in (URGENT, MIDDLE, BULK)]
    assert kept == sorted(kept)
    assert kept[1] < kept[2]


def test_less_is_kept_from_requests_that_cannot_wait():
    room = headroom.Headroom()
    record(room, MIDDLE, 1.0)
    record(room, URGENT, 2.0)
    expected = 2.0 * headroom.REACTION_S * FLEET.entries / FLEET.servers
    patient = room.kept(MIDDLE, True, FLEET, 10.0)
    impatient = room.kept(MIDDLE, False, FLEET, 10.0)
    assert expected < impatient * FLEET.slots < patient * FLEET.slots


def test_requests_are_patient_if_they_outwait_the_reaction_or_are_late():
    def waiter(latest_start):
        return queue.Waiter(
            lambda: REQUIREMENTS,
            frozenset(),
            latest_start,
            9.0,
            asyncio.Future(),
            queued_at=1.0,
        )

    async def scenario():
        return [waiter(at).patient for at in (0.9, 1.1, 2.0)]

    assert clocks.run(scenario()) == [True, False, True]


def test_at_least_the_expected_arrivals_are_kept():
    room = headroom.Headroom()
    record(room, BULK, 1.0)
    record(room, URGENT, 2.0)
    expected = 2.0 * headroom.REACTION_S * FLEET.entries / FLEET.servers
    slots = room.kept(BULK, True, FLEET, 10.0) * FLEET.slots
    assert expected < slots < FLEET.slots / 2


def test_less_is_kept_where_requests_end_quickly():
    room = headroom.Headroom()
    record(room, BULK, 1.0)
    record(room, URGENT, 2.0)
    before = room.kept(BULK, True, FLEET, 10.0)
    for _ in range(100):
        room.record_held(0.02)
    assert room.kept(BULK, True, FLEET, 10.0) < before / 3
    for _ in range(100):
        room.record_held(5.0)
    assert room.kept(BULK, True, FLEET, 10.0) == pytest.approx(before, rel=1e-3)


def test_half_of_the_slots_at_most_are_kept():
    room = headroom.Headroom()
    record(room, BULK, 1.0)
    record(room, URGENT, 1_000.0)
    assert room.kept(BULK, True, FLEET, 10.0) == 0.5


def test_what_is_kept_ages_smoothly_to_nothing():
    room = headroom.Headroom()
    record(room, BULK, 1.0)
    record(room, URGENT, 3.0)
    kept = [room.kept(BULK, True, FLEET, 10.0 + age / 10) for age in range(300)]
    assert kept == sorted(kept, reverse=True)
    assert max(a - b for a, b in zip(kept, kept[1:], strict=False)) < 0.02
    assert kept[-1] == 0.0


def test_nothing_is_kept_without_servers():
    room = headroom.Headroom()
    record(room, BULK, 1.0)
    record(room, URGENT, 3.0)
    assert room.kept(BULK, True, headroom.Fleet(10, 0, 0.0), 10.0) == 0.0


def test_a_rank_that_is_served_too_little_starves_until_it_is_served():
    room = headroom.Headroom()
    record(room, BULK, 5.0)
    record(room, URGENT, 5.0)
    for number in range(50):
        room.record_placed(URGENT, number / 5.0)
    assert room.starving(10.0) == {BULK}
    for _ in range(5):
        room.record_placed(BULK, 10.0)
    assert room.starving(10.0) == frozenset()


# The order.


@dataclasses.dataclass
class Request:
    rank: ranks.Rank
    latest_start: float
    begun: bool = False
    customer: str = ""

    def is_late(self, now):
        return not self.begun and self.latest_start < now


def in_order(requests, starving=()):
    return sorted(
        requests,
        key=lambda r: order.sort_key(r, 1.0, lambda customer: False, starving),
    )


def test_urgent_requests_go_before_bulk_that_must_start_sooner():
    bulk, urgent = Request(BULK, 1.1), Request(URGENT, 1.3)
    assert in_order([bulk, urgent]) == [urgent, bulk]


def test_bulk_that_can_be_on_time_goes_before_late_urgent_requests():
    bulk, urgent = Request(BULK, 1.1), Request(URGENT, 0.9)
    assert in_order([urgent, bulk]) == [bulk, urgent]


def test_a_begun_answer_goes_before_any_rank():
    begun, urgent = Request(BULK, 0.5, begun=True), Request(URGENT, 1.3)
    assert in_order([urgent, begun]) == [begun, urgent]


def test_a_starving_rank_goes_before_more_urgent_ones_but_not_if_late():
    bulk, late = Request(BULK, 1.1), Request(BULK, 0.9)
    urgent = Request(URGENT, 1.3)
    assert in_order([late, urgent, bulk], {BULK}) == [bulk, urgent, late]


# The limits for late requests.


def test_a_miss_limits_late_requests_of_its_rank_and_less_urgent_ones():
    limits = late_limit.LateLimits(low=0.3, high=0.9)
    for rank in (URGENT, MIDDLE, BULK):
        limits.record_placed(rank, 0.0)
    limits.record_miss(MIDDLE)
    assert limits.limit(URGENT) == 0.9
    assert limits.limit(MIDDLE) < 0.9
    assert limits.limit(BULK) < 0.9


def test_the_limit_of_one_rank_is_the_former_limit():
    limits = late_limit.LateLimits(low=0.3, high=0.9)
    former = late_limit.LateLimit(low=0.3, high=0.9)
    for waited_s in (0.0, None, 0.2, None, None, 0.0, 0.01):
        if waited_s is None:
            limits.record_miss(BULK)
            former.record_miss()
        else:
            limits.record_placed(BULK, waited_s)
            former.record_placed(waited_s)
        assert limits.limit(BULK) == former.limit


# Refusals.

POLICY = queue.Policy(1.0, 0.9, 0.4)
REQUIREMENTS = balance.Requirements("engine")


def new_queue(running, slots=4):
    """Returns a queue with one server that its agent reports."""
    loop = asyncio.get_running_loop()
    fleet = fleets.Fleet(
        logs.Log(), lambda service: 100, random.Random(1), entry="e1"
    )
    server = types.Server(
        "s1", "engine", shared_types.Address("127.0.0.1", 1), "d1", slots
    )
    batch = topic_watch.Batch((topic_watch.Record("s1", server),), 1)
    fleet.apply(batch, True, 1.0)
    balancer = balance.Balancer(
        fleet, shared_types.Place("r", "d1"), {}, random.Random(1), loop.time
    )
    report = reports.Report("s1", running, 0, slots, entries=1, followers=1)
    fleet.find("s1").apply_report(report, loop.time())
    return queue.Queue("engine", balancer, POLICY, loop.time)


def reserve(request_queue, rank):
    now = asyncio.get_running_loop().time()
    return request_queue.reserve(
        lambda: REQUIREMENTS, frozenset(), now + 0.1, now + 0.1, rank=rank
    )


def test_a_refusal_says_that_more_urgent_requests_went_first():
    """Tests that a slot kept for the urgent is told from a full server."""

    async def scenario(ranks_before, rank):
        request_queue = new_queue(running=3)
        for before in ranks_before:
            first = await reserve(request_queue, before)
            first.release()
            request_queue._contention.record(before, lacked=True)
        return await reserve(request_queue, rank)

    refused = clocks.run(scenario([URGENT] * 5, BULK))
    assert refused is outcomes.RefusalReason.OUTRANKED
    placed = clocks.run(scenario([BULK] * 5, BULK))
    assert isinstance(placed, queue.Reservation)
    placed = clocks.run(scenario([BULK] * 5, URGENT))
    assert isinstance(placed, queue.Reservation)


def test_no_room_is_kept_while_the_urgent_find_some():
    """Guards against waits of all others while servers have room for all."""

    async def scenario():
        request_queue = new_queue(running=3)
        for _ in range(5):
            first = await reserve(request_queue, URGENT)
            first.release()
        return await reserve(request_queue, BULK)

    assert isinstance(clocks.run(scenario()), queue.Reservation)


def test_contention_follows_whether_more_urgent_requests_lacked_room():
    lack = contention.Contention()
    assert lack.ahead_of(BULK) == 0.0
    for _ in range(2):
        lack.record(URGENT, lacked=True)
    assert lack.ahead_of(BULK) >= 0.75
    assert lack.ahead_of(URGENT) == 0.0
    for _ in range(10):
        lack.record(URGENT, lacked=False)
    assert lack.ahead_of(BULK) <= 0.25
    lack.record(BULK, lacked=True)
    assert lack.ahead_of(BULK) <= 0.25


def test_a_full_server_refuses_requests_of_one_rank_as_before():
    async def scenario():
        return await reserve(new_queue(running=4), BULK)

    assert clocks.run(scenario()) is None


# The priority at the servers.


def route(priority, service="engine", anonymous=False):
    return types.Route(
        f"r{priority}",
        "h",
        f"/{priority}/",
        types.RepeatPolicy.SAFE,
        (types.Target(service, 1.0),),
        1.0,
        1.0,
        priority,
        2,
        anonymous,
    )


def catalog(routes, customers=()):
    return catalogs.Catalog(
        types.Configuration(
            1,
            tuple(routes),
            {},
            {customer.name: customer for customer in customers},
        )
    )


def test_servers_are_told_priorities_that_keep_the_order_of_the_ranks():
    found = catalog([route(p) for p in (0, 3, 70)])
    told = [
        found.server_priority("engine", ranks.of(None, p)) for p in (0, 3, 70)
    ]
    assert told[0] == 0
    assert told == sorted(set(told))
    assert told[-1] == 9


def test_servers_are_told_no_priority_if_all_requests_have_the_same():
    found = catalog([route(3), route(5, service="other")])
    assert found.server_priority("engine", ranks.of(None, 3)) is None
    assert found.server_priority("other", ranks.of(None, 5)) is None


def test_a_customers_priority_goes_before_that_of_the_route():
    found = catalog(
        [route(0), route(4)],
        [types.Customer("a", 1), types.Customer("b", 2), types.Customer("c")],
    )
    every = [ranks.of(p, r) for p in (1, 2, None) for r in (0, 4)]
    told = [found.server_priority("engine", rank) for rank in sorted(every)]
    assert None not in told
    assert told == sorted(told)
    low = found.server_priority("engine", ranks.of(2, 0))
    assert found.server_priority("engine", ranks.of(1, 4)) < low


def test_more_ranks_than_priorities_stay_in_order():
    found = catalog([route(p) for p in range(30)])
    told = [
        found.server_priority("engine", ranks.of(None, p)) for p in range(30)
    ]
    assert told == sorted(told)
    assert set(told) == set(range(10))


def test_a_server_gets_the_priority_of_a_request_where_ranks_differ():
    header = "x-clementinegw-request-priority"

    async def scenario():
        async with sites.Site("i-1") as site:
            await site.ask()
            alike = site.servers[0].calls[-1].headers.get(header)
            change = sites.config(2)
            for number, changed in enumerate(change["routes"]):
                changed["priority"] = 3 + number
            site.store.put("keyed.op", "config", change)
            await asyncio.sleep(0.5)
            await site.ask()
            return alike, site.servers[0].calls[-1].headers.get(header)

    assert sites.run(scenario()) == (None, "0")
