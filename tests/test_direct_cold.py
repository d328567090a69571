"""Tests how many requests cold servers get from all entries together."""

import asyncio
import random

from adapter import adjustments
from adapter import records
import msgspec
import platform_site as sites
import pytest

from clementinegw import types as shared_types
from clementinegw.direct import balance
from clementinegw.direct import fleet as fleets
from clementinegw.direct import rate_limit
from clementinegw.direct import reports
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.scheduling import cold_starts
from clementinegw.telemetry import logs

PLACE = shared_types.Place("r0", "d0")
# The platform's rule: in any second a cold server may get 1.5 times the
# requests that it bears and five more.
BOUND = cold_starts.Bound(ratio=1.5, slack=5.0)
STEP_S = 0.01


def allowed(per_s):
    return BOUND.ratio * per_s + BOUND.slack


def record(**fields):
    values = {
        "server_id": "a",
        "service": "plain",
        "address": shared_types.Address("127.0.0.1", 9),
        "failure_domain": "d0",
        "slots": 12,
        "sequence": 1,
    }
    return types.Server(**{**values, **fields})


class Fleet:
    """The fleets of all entries, which list the same servers."""

    def __init__(self, entries, per_s, seed=1, told=True):
        self.now = 0.0
        self.sent_at = []
        rng = random.Random(seed)
        self.fleets = []
        for number in range(entries):
            fleet = fleets.Fleet(
                logs.Log(),
                lambda service: 64,
                rng,
                entry=f"entry-{number}",
                wall_clock=lambda: 1_790_000_000.0 + self.now,
                cold_start=lambda service: types.ColdStart(3.0, per_s),
            )
            fleet.cold_bound = BOUND
            if told:
                fleet._position = rate_limit.Position(number, entries)
            self.fleets.append(fleet)

    def list(self, *servers):
        batch = topic_watch.Batch(
            tuple(topic_watch.Record(s.server_id, s) for s in servers),
            len(servers),
        )
        for fleet in self.fleets:
            fleet.apply(batch, False, 60.0, now=self.now)

    def play(self, until_s):
        """Sends requests whenever an entry may, up to a time."""
        while self.now < until_s:
            for fleet in self.fleets:
                fleet.update_cold(self.now)
                backend = fleet.find("a")
                if backend.signals.cold and backend.accepts(self.now):
                    backend.signals.limiter.take_slot()
                    self.sent_at.append(self.now)
            self.now += STEP_S

    def most_in_a_second(self):
        return max(
            sum(at - 1.0 < other <= at for other in self.sent_at)
            for at in self.sent_at
        )


@pytest.mark.parametrize("per_s", [1.0, 4.0, 17.0, 60.0])
@pytest.mark.parametrize("entries", [1, 8, 35, 100])
def test_a_cold_server_gets_what_it_bears_from_all_entries(entries, per_s):
    """Guards against each entry sending to an empty cold server."""
    fleet = Fleet(entries, per_s)
    fleet.list(record(cold_s=8.0))
    fleet.play(8.0)
    assert fleet.most_in_a_second() <= allowed(per_s)
    assert len(fleet.sent_at) >= 0.7 * per_s * 8.0


def test_entries_that_no_agent_told_their_turn_keep_the_bound():
    fleet = Fleet(35, 17.0, told=False)
    fleet.list(record(cold_s=8.0))
    fleet.play(8.0)
    assert fleet.most_in_a_second() <= allowed(17.0)


@pytest.mark.parametrize("per_s", [4.0, 17.0])
@pytest.mark.parametrize("join_s", [0.5, 1.0, 2.0])
def test_entries_that_follow_a_cold_server_one_by_one_keep_the_bound(
    per_s, join_s
):
    """Guards against the first followers' turns among few entries."""
    rng = random.Random(3)
    fleet = Fleet(35, per_s)
    fleet.list(record(cold_s=8.0))
    joins_at = [rng.uniform(0.0, join_s) for _ in fleet.fleets]
    while fleet.now < 6.0:
        joined = [n for n, at in enumerate(joins_at) if at <= fleet.now]
        for number in joined:
            fleet.fleets[number].find("a").apply_report(
                reports.Report(
                    "a",
                    0,
                    0,
                    12,
                    entries=35,
                    rank=number,
                    followers=len(joined),
                    follower_rank=joined.index(number),
                ),
                fleet.now,
            )
        fleet.play(fleet.now + rng.uniform(0.1, 0.4))
    assert fleet.most_in_a_second() <= allowed(per_s)
    assert len(fleet.sent_at) >= 0.7 * per_s * 6.0


def test_positions_at_a_warm_server_count_at_once():
    fleet = Fleet(1, 4.0)
    fleet.list(record())
    signals = fleet.fleets[0].find("a").signals
    position = rate_limit.Position(2, 5)
    signals.set_position(position)
    assert signals.limiter.position == position
    fleet.list(record(cold_s=2.0, sequence=2))
    assert signals.limiter.position == rate_limit.Position(0, 1)


def test_a_server_that_becomes_cold_again_is_limited_again():
    fleet = Fleet(1, 4.0)
    fleet.list(record(cold_s=2.0))
    fleet.play(2.1)
    backend = fleet.fleets[0].find("a")
    assert not backend.signals.limited
    fleet.list(record(cold_s=1.0, sequence=2))
    assert backend.signals.cold
    fleet.play(3.2)
    assert not backend.signals.limited


def test_a_record_that_is_read_again_makes_no_server_cold():
    """Guards against a limit without end while the list is read again."""
    fleet = Fleet(1, 4.0)
    fleet.list(record(cold_s=2.0))
    fleet.play(2.1)
    fleet.list(record(cold_s=2.0))
    assert not fleet.fleets[0].find("a").signals.limited


def test_a_malformed_cold_time_keeps_the_former_one():
    fleet = Fleet(1, 4.0)
    fleet.list(record(cold_s=2.0))
    fleet.list(record(cold_s=None, sequence=2))
    assert fleet.fleets[0].find("a").signals.cold
    fleet.play(2.1)
    assert not fleet.fleets[0].find("a").signals.limited


def test_a_reported_limit_that_is_stricter_holds_for_a_cold_server():
    fleet = Fleet(1, 17.0)
    fleet.list(record(cold_s=2.0))
    signals = fleet.fleets[0].find("a").signals
    observed = rate_limit.Observation(signals.start, 2.0, 0.0)
    signals.apply_relayed(observed)
    assert signals.limiter.per_s == 2.0
    fleet.play(2.1)
    assert signals.limited
    assert signals.limiter.per_s == 2.0
    signals.apply_relayed(rate_limit.Observation(signals.start, None, 1.0))
    assert not signals.limited


def test_an_entry_without_the_platform_learns_of_cold_servers_from_agents():
    fleet = Fleet(1, 4.0)
    fleet.list(record())
    backend = fleet.fleets[0].find("a")
    backend.apply_report(reports.Report("a", 0, 0, 12, cold_s=2.0), 0.0)
    fleet.fleets[0].update_cold(0.0)
    assert backend.signals.cold


def test_services_without_cold_starts_are_not_limited():
    fleet = Fleet(1, 4.0)
    fleet.fleets[0]._cold_start = lambda service: None
    fleet.list(record(cold_s=2.0))
    assert not fleet.fleets[0].find("a").signals.limited


def test_balancer_tells_whether_all_servers_are_cold():
    fleet = Fleet(1, 4.0)
    fleet.list(record(cold_s=2.0))
    balancer = balance.Balancer(
        fleet.fleets[0], PLACE, {}, random.Random(1), lambda: 0.0
    )
    assert balancer.is_cold(balance.Requirements("plain"))
    assert not balancer.is_cold(balance.Requirements("other"))


@pytest.mark.parametrize("per_s", [0.5, 1.0, 17.0, 500.0])
@pytest.mark.parametrize("ratio", [1.0, 1.5])
@pytest.mark.parametrize("slack", [0.0, 5.0])
def test_rate_keeps_the_bound_wherever_it_allows_more_than_probes(
    per_s, ratio, slack
):
    limit = cold_starts.limit(per_s, cold_starts.Bound(ratio, slack))
    rate = limit.per_s
    most = rate * (1.0 + limit.valid_s) + cold_starts.VALID_SLOTS + 1.0
    assert rate <= per_s
    assert rate <= 0.1 or most <= per_s * ratio + slack + 1e-9


# The platform's words.


def decode_server(**fields):
    value = {
        "service": "s",
        "address": "127.0.0.1:9",
        "zone": "z",
        "slots": 12,
        "state": "ready",
        "sequence": 1,
        **fields,
    }
    return records.decode_server_record("a", msgspec.json.encode(value))


def test_cold_times_of_records_are_read():
    assert decode_server(cold_remaining_ms=1_500).cold_s == 1.5
    assert decode_server().cold_s == 0.0
    assert decode_server(cold_remaining_ms=-1).cold_s is None


def test_what_cold_servers_bear_is_read():
    wire = records._Service("s", cold_start_s=3.0, cold_per_s=17.0)
    adjusted = adjustments.Adjustments()
    service = records._build_service(wire, adjusted)
    assert service.cold_start == types.ColdStart(3.0, 17.0)
    warm = records._build_service(records._Service("s"), adjusted)
    assert warm.cold_start is None
    assert not adjusted.texts
    wire = records._Service("s", cold_start_s=-3.0, cold_per_s=-17.0)
    assert records._build_service(wire, adjusted).cold_start is None
    assert len(adjusted.texts) == 2


def test_excess_requests_are_refused_as_cold():
    """Callers learn at once that all servers of a service are cold."""

    async def play():
        async with sites.Site("i-1") as site:
            site.entry._fleet._position = rate_limit.Position(0, 1)
            site.entry._fleet._cold_start = lambda service: types.ColdStart(
                3.0, 2.0
            )
            server = site.servers[0]
            site.store.put(
                "keyed.servers",
                server.name,
                server.record(cold_remaining_ms=60_000, sequence=2),
            )
            await asyncio.sleep(2.0)
            answers = await asyncio.gather(
                *(site.ask(f"/safe/{n}") for n in range(40))
            )
            return answers, len(server.arrived_at)

    answers, arrived = sites.run(play())
    refused = [a for a in answers if a.status == 503]
    assert refused
    assert arrived <= allowed(2.0)
    for answer in refused:
        assert b'"cold"' in answer.body
        assert float(answer.headers["retry-after"]) > 0.0


def test_a_report_limits_a_cold_server_before_queued_requests_are_placed():
    """Guards against requests between a report and the next maintenance."""

    async def play():
        async with sites.Site("i-1") as site:
            site.entry._fleet._cold_start = lambda service: types.ColdStart(
                3.0, 2.0
            )
            backend = next(iter(site.entry._fleet.all()))
            start = backend.server.start
            report = reports.Report(
                start.server_id, 0, 0, 12, cold_s=2.0, entries=1
            )
            site.entry._on_report(backend.server.address.host, report)
            return backend.signals.cold

    assert sites.run(play())


def test_a_cold_server_takes_nothing_from_warm_ones():
    """Guards against refusals while a warm server could serve."""
    fleet = Fleet(1, 4.0)
    fleet.list(record(cold_s=2.0), record(server_id="b"))
    fleet.fleets[0].set_followed({"a", "b"}, 0.0)
    fleet.now = 1.0
    limiter = fleet.fleets[0].find("a").signals.limiter
    while limiter.is_open():
        limiter.take_slot()
    balancer = balance.Balancer(
        fleet.fleets[0], PLACE, {}, random.Random(1), lambda: fleet.now
    )
    requirements = balance.Requirements("plain")
    chosen = balancer.choose(requirements)
    assert chosen is not None and chosen.server.server_id == "b"
    assert balancer.has_capacity("plain")
    assert not balancer.is_cold(requirements)
    assert not balancer.is_limited(requirements)
    assert not balancer.is_restricted(requirements)
    assert balancer.capacity_until(requirements, 2.0) == float("inf")
