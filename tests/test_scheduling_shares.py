"""Tests the division of free slots by the demand of each entry."""

import asyncio
import collections
import math
import random
import types

import msgspec
import overload_site
import platform_site
import pytest

from clementinegw.direct import admit
from clementinegw.direct import catalog
from clementinegw.direct import reports
from clementinegw.direct import subscriptions
from clementinegw.direct import types as direct_types
from clementinegw.direct import version_policy
from clementinegw.scheduling import slot_shares
from clementinegw.telemetry import counters
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

# The formula.


@pytest.mark.parametrize("seed", range(20))
def test_shares_add_up_to_no_more_than_the_whole(seed):
    rng = random.Random(seed)
    demands = [
        rng.choice((0.0, rng.expovariate(0.2), rng.expovariate(5.0)))
        for _ in range(rng.randint(2, 48))
    ]
    total = slot_shares.total_demand(demands)
    shares = [
        slot_shares.relative_share(d, total, len(demands)) / len(demands)
        for d in demands
    ]
    assert sum(shares) <= 1.0 + 1e-6
    assert min(shares) >= slot_shares.FLOOR / len(demands) - 1e-9


@pytest.mark.parametrize("seed", range(20))
def test_shares_are_bounded_while_demand_moves(seed):
    """The callers of one entry move to another one within a period.

    Each entry uses the total of before its own demand changed.
    """
    rng = random.Random(seed)
    demands = [rng.expovariate(0.2) for _ in range(rng.randint(2, 48))]
    total = slot_shares.total_demand(demands)
    moved = demands[0]
    demands[0], demands[1] = 0.0, demands[1] + moved
    shares = [
        slot_shares.relative_share(d, total, len(demands)) / len(demands)
        for d in demands
    ]
    assert sum(shares) <= 2 - slot_shares.FLOOR + 1e-6


@pytest.mark.parametrize("rate", [0.013, 0.1, 1 / 3, 7.7, 1e6])
@pytest.mark.parametrize("entries", [2, 3, 7, 35, 48])
def test_equal_demands_yield_exactly_equal_shares(rate, entries):
    total = slot_shares.total_demand([rate] * entries)
    assert slot_shares.relative_share(rate, total, entries) == 1.0


@pytest.mark.parametrize(
    ("own", "total", "entries"),
    [
        (None, 8.0, 4),
        (1.0, None, 4),
        (None, None, 4),
        (0.0, 0.0, 4),
        (3.0, 3.0, 1),
    ],
)
def test_shares_are_equal_without_known_demands(own, total, entries):
    assert slot_shares.relative_share(own, total, entries) == 1.0


def test_total_is_unknown_if_one_entry_tells_no_demand():
    """An older process among the entries does not tell any."""
    assert slot_shares.total_demand([1.0, None, 2.0]) is None
    assert slot_shares.total_demand([1.0, 2.0]) == 3.0


def test_entry_with_its_first_requests_has_a_share():
    relative = slot_shares.relative_share(0.0, 50.0, 8)
    assert relative == pytest.approx(slot_shares.FLOOR)


# The rate of arrivals.


def play_arrivals(per_s):
    rates = slot_shares.ArrivalRates()
    rates.end_period(0.0)
    history = []
    for second, count in enumerate(per_s, 1):
        for _ in range(count):
            rates.record("s")
        rates.end_period(float(second))
        history.append(rates.rate("s"))
    return history


def test_rate_follows_arrivals_within_two_seconds():
    history = play_arrivals([10] * 8 + [30] * 2)
    assert history[7] == pytest.approx(10.0, rel=0.01)
    assert history[9] >= 10.0 + 0.7 * 20.0


def test_rate_is_unknown_until_the_first_period_has_ended():
    """Guards against an entry that tells too little after its start."""
    rates = slot_shares.ArrivalRates()
    rates.record("s")
    assert rates.rate("s") is None
    rates.end_period(1.0)
    assert rates.rate("s") is None
    for _ in range(8):
        rates.record("s")
    rates.end_period(2.0)
    assert rates.rate("s") == 8.0


def test_rate_of_a_service_without_requests_is_zero():
    history = play_arrivals([10] * 3 + [0] * 30)
    assert history[-1] == 0.0


def test_two_periods_at_once_do_not_yield_an_odd_rate():
    rates = slot_shares.ArrivalRates()
    rates.end_period(1.0)
    rates.record("s")
    rates.end_period(1.0)
    rates.end_period(1.0)
    assert 0.0 <= rates.rate("s") <= 10.0


# What agents add up.


class RecordingTransport:
    """A datagram transport that records the reports sent to each address."""

    def __init__(self):
        self.sent = collections.defaultdict(list)

    def sendto(self, data, addr):
        self.sent[addr].append(codec.decode(ttypes.BackendReport, data))


def new_reporter():
    reporter = reports.Reporter(lambda declared: None)
    transport = RecordingTransport()
    reporter.connection_made(transport)
    return reporter, transport


def subscribe(reporter, name, demand, changes_only=None):
    subscription = ttypes.Subscribe(
        name, {}, False, changes_only, demand=demand
    )
    reporter.datagram_received(codec.encode(subscription), name)


def send(reporter):
    reporter.send(
        reports.Report(
            "s1",
            1,
            0,
            8,
            "m",
            1,
            True,
            entries=reporter.entries,
            followers=reporter.followers,
            demand=reporter.demand,
        )
    )


def test_agent_reports_the_demand_of_all_followers():
    async def run():
        reporter, transport = new_reporter()
        subscribe(reporter, "a", 1.5)
        subscribe(reporter, "b", 4.0)
        # It sends no requests to this server.
        subscribe(reporter, "c", None, changes_only=True)
        send(reporter)
        return {name: sent[-1].demand for name, sent in transport.sent.items()}

    assert clocks.run(run()) == dict.fromkeys("abc", 5.5)


@pytest.mark.parametrize(
    "demand", [None, math.nan, math.inf, -math.inf, -1.0, 1e300]
)
def test_agent_reports_no_sum_without_the_demand_of_a_follower(demand):
    """Guards against shares that leave out an older or an odd process."""

    async def run():
        reporter, _ = new_reporter()
        subscribe(reporter, "a", 1.5)
        subscribe(reporter, "b", demand)
        return reporter.demand

    assert clocks.run(run()) is None


def test_agent_reports_no_sum_to_a_single_follower():
    async def run():
        reporter, _ = new_reporter()
        subscribe(reporter, "a", 1.5)
        return reporter.demand

    assert clocks.run(run()) is None


def test_demand_of_a_follower_that_is_cut_off_ends_with_its_subscription():
    async def run():
        reporter, _ = new_reporter()
        sums = []
        subscribe(reporter, "gone", 6.0)
        for second in range(6):
            for name in "ab":
                subscribe(reporter, name, 1.0)
            send(reporter)
            sums.append(reporter.demand)
            await asyncio.sleep(1.0)
            del second
        return sums

    assert clocks.run(run()) == [8.0] * 5 + [2.0]


def test_changed_demand_is_no_changed_subscription():
    """Guards against a report to each entry on each of its renewals."""

    async def run():
        reporter, transport = new_reporter()
        for renewal in range(5):
            for number in range(20):
                subscribe(reporter, f"e{number}", 1.0 + renewal)
            send(reporter)
        return {len(sent) for sent in transport.sent.values()}

    # With so many entries each gets every third report.
    assert max(clocks.run(run())) <= 3


def test_subscriptions_with_other_demands_have_the_same_terms():
    first = reports.Subscription(False, demand=1.0)
    assert first.has_same_terms(reports.Subscription(False, demand=2.0))
    assert first.has_same_terms(reports.Subscription(False))
    assert not first.has_same_terms(reports.Subscription(True, demand=1.0))
    assert not first.has_same_terms(None)


@pytest.mark.parametrize("demand", [math.nan, math.inf, -1.0, 1e300])
def test_odd_sums_count_as_unknown(demand):
    async def run():
        received = []
        listener = reports.Listener(
            "e", lambda _, report: received.append(report)
        )
        data = reports._encode_report(
            reports.Report("s1", 0, 0, 8, demand=demand)
        )
        listener.datagram_received(data, ("127.0.0.1", 1))
        return received[0].demand

    assert clocks.run(run()) is None


# What an entry tells, and what it uses.


class RecordingListener:
    """A listener that records what agents were asked for."""

    def __init__(self):
        self.rounds = []

    def subscribe(self, agents, declared, suspicions=()):
        del declared, suspicions
        self.rounds.append(dict(agents))


def subscribe_entry(site, arrivals):
    """Returns the subscriptions of a site's first entry, and its listener."""
    loop = asyncio.get_running_loop()
    entry = site.entries[0]
    listener = RecordingListener()
    subscribed = subscriptions.Subscriptions(
        types.SimpleNamespace(
            name="e",
            place=entry.place,
            regions=overload_site.REGIONS,
            peer_ports=(7_700, 7_715),
        ),
        admit.ConfigView(
            catalog.Catalog(site.configuration), lambda: 0.0, 5.0, 3.0
        ),
        entry.fleet,
        version_policy.VersionPolicy(8.0, loop.time),
        listener,
        lambda: (),
        loop.time,
        logs.Log(),
        counters.Counters(),
        arrivals,
    )
    return subscribed, listener


def test_entry_tells_the_part_of_its_demand_for_one_server():
    async def run():
        site = overload_site.Simulation(engines=4, entries=1, tell_demand=False)
        arrivals = slot_shares.ArrivalRates()
        subscribed, listener = subscribe_entry(site, arrivals)
        for _ in range(12):
            subscribed.renew()
            for _ in range(20):
                arrivals.record(overload_site.SERVICE)
            await asyncio.sleep(1.0)
        told = {s.demand for s in listener.rounds[-1].values()}
        used = {b.demand for b in site.entries[0].fleet.all()}
        site.stop()
        return told, used

    # Twenty requests per second for four servers.
    assert clocks.run(run()) == ({5.0}, {5.0})


def test_demand_is_told_with_renewals_only():
    """Guards against a subscription on each arrival, to each agent."""

    async def run():
        site = overload_site.Simulation(engines=4, entries=1)
        arrivals = slot_shares.ArrivalRates()
        subscribed, listener = subscribe_entry(site, arrivals)
        subscribed.renew()
        for _ in range(20):
            arrivals.record(overload_site.SERVICE)
        await asyncio.sleep(1.0)
        arrivals.end_period(asyncio.get_running_loop().time())
        subscribed.subscribe_changed()
        subscribed.refresh()
        site.stop()
        return len(listener.rounds)

    assert clocks.run(run()) == 1


def test_entry_counts_the_requests_of_its_callers():
    async def run():
        async with platform_site.Site("s1") as site:
            for _ in range(40):
                await site.ask("/safe/a")
                await asyncio.sleep(0.1)
            return site.counters.snapshot()["direct.demand.plain"]

    assert platform_site.run(run()) == pytest.approx(10.0, rel=0.2)


def test_entry_without_arrivals_to_count_tells_no_demand():
    async def run():
        site = overload_site.Simulation(engines=4, entries=1)
        subscribed, listener = subscribe_entry(site, None)
        subscribed.renew()
        site.stop()
        return {s.demand for s in listener.rounds[-1].values()}

    assert clocks.run(run()) == {None}


def taken_slots(own, total, followers=4, reported=300, lag_s=0.05):
    """Returns how many requests an entry may send on each of many reports."""

    async def run():
        site = overload_site.Simulation(engines=1, entries=1, tell_demand=False)
        backend = site.entries[0].fleet.find("s0")
        backend.demand = own
        counts = []
        for number in range(reported):
            report = reports.Report(
                "s0",
                number % 7,
                0,
                8,
                entries=followers,
                followers=followers,
                demand=total,
            )
            backend.apply_report(report, 1.0 + 0.1 * number, lag_s=lag_s)
            taken = 0
            while backend.has_share(1.0 + 0.1 * number):
                backend.begin_request()
                taken += 1
            for _ in range(taken):
                backend.end_request()
            counts.append(taken)
        site.stop()
        return counts

    return clocks.run(run())


@pytest.mark.parametrize("rate", [0.1, 1 / 3, 12.0])
def test_equal_demands_change_no_decision(rate):
    former = taken_slots(None, None)
    assert taken_slots(rate, 4 * rate) == former
    # An older agent adds up nothing.
    assert taken_slots(rate, None) == former


def test_slots_are_divided_equally_if_the_age_of_loads_is_not_known():
    """Entries with a larger part would use more slots twice."""
    former = taken_slots(None, None, lag_s=0.0)
    assert taken_slots(3.0, 6.0, lag_s=0.0) == former


def test_free_slots_are_divided_by_demand():
    """Guards against idle slots at one entry while requests wait at another."""
    equal = sum(taken_slots(None, None))
    assert sum(taken_slots(3.0, 6.0)) == pytest.approx(1.8 * equal, rel=0.15)
    assert sum(taken_slots(0.0, 6.0)) == pytest.approx(0.2 * equal, rel=0.3)


def test_slots_used_since_the_reported_load_are_not_used_again():
    """Guards against a full server that each entry takes for a free one.

    Reported loads were some tenths of a second old, so that each of the next
    reports offered the slots that had just been used.
    """

    async def run(lag_s):
        site = overload_site.Simulation(engines=1, entries=1, tell_demand=False)
        backend = site.entries[0].fleet.find("s0")
        report = reports.Report("s0", 0, 0, 8, entries=2, followers=2)
        counts = []
        for at in (1.0, 1.1, 1.15, 1.2, 1.3):
            backend.apply_report(report, at, lag_s=lag_s)
            taken = 0
            while backend.has_share(at):
                backend.record_sent(at)
                backend.begin_request()
                taken += 1
            counts.append(taken)
        site.stop()
        return counts

    assert clocks.run(run(0.2)) == [4, 0, 0, 4, 0]
    # The decisions for an engine whose age of reports is not known.
    assert clocks.run(run(0.0)) == [4, 4, 4, 4, 4]


def test_unreported_requests_are_bounded_for_an_odd_age_of_reports():
    unreported = slot_shares.UnreportedRequests()
    unreported.set_lag(1e9)
    for number in range(1_000):
        unreported.record(0.1 * number)
    assert unreported.count(100.0) <= 10


def test_demand_is_counted_for_refused_requests_too():
    async def run():
        site = overload_site.Simulation(engines=1, entries=2)
        await site.play(4.0, lambda now: 1.0)
        rates = [
            entry.placer.arrivals.rate(overload_site.SERVICE)
            for entry in site.entries
        ]
        refused = sum(caller.refusals > 0 for caller in site.callers)
        site.stop()
        return sum(rates), refused

    rate, refused = clocks.run(run())
    assert refused > 50
    # 98 requests per second, some of which come back.
    assert rate >= 80.0


@pytest.mark.parametrize(
    ("share_by_demand", "expected_s"), [(True, 0.2), (False, 0.0)]
)
def test_the_age_of_loads_is_used_where_the_instance_asks_for_it(
    share_by_demand, expected_s
):
    """Deployments that do not ask for shares by demand have equal parts."""

    async def play():
        async with platform_site.Site("i-1") as site:
            site.entry._instance = msgspec.structs.replace(
                site.entry._instance, share_by_demand=share_by_demand
            )
            engine = direct_types.Engine(
                ("m",), 12, 0.01, 0.0, 1e4, 5, 1, 1, 1, report_lag_s=0.2
            )
            site.entry._config_view.catalog = catalog.Catalog(
                direct_types.Configuration(
                    2,
                    (),
                    {"engine": direct_types.Service("engine", 64, engine)},
                    {},
                )
            )
            return site.entry._report_lag_s("engine")

    assert platform_site.run(play()) == expected_s
