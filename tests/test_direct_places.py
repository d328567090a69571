"""Tests that requests are served only in their allowed regions."""

import asyncio
import dataclasses
import math
import random
import types as builtin_types

import platform_site as sites
import pytest
import structlog
import test_direct_stream_ends as ends

from clementinegw import types as shared_types
from clementinegw.direct import admit
from clementinegw.direct import balance
from clementinegw.direct import budget
from clementinegw.direct import catalog
from clementinegw.direct import client
from clementinegw.direct import expiry
from clementinegw.direct import fleet as fleets
from clementinegw.direct import job as jobs
from clementinegw.direct import outcomes
from clementinegw.direct import placement
from clementinegw.direct import reports
from clementinegw.direct import subsetting
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.scheduling import places
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

REGIONS = {"d1": "r1", "d2": "r2", "d3": "r3"}
HOME = frozenset({"r1"})
ENGINE = types.Engine(("m",), 8, 0.01, 0.0, 8_000.0, 2, 4, 0, 0)
RESTRICTED = balance.Requirements("plain", regions=HOME)
Reason = outcomes.RefusalReason


def test_all_limits_bind():
    assert places.intersect(None, None) is None
    assert places.intersect(HOME, None) == HOME
    assert places.intersect(HOME, frozenset({"r1", "r2"})) == HOME
    assert places.intersect(HOME, frozenset({"r2"})) == frozenset()


@pytest.mark.parametrize(
    ("domain", "regions", "expected"),
    [
        ("d1", None, True),
        ("d1", HOME, True),
        ("d2", HOME, False),
        ("d1", frozenset(), False),
        ("unknown", HOME, False),
        ("unknown", frozenset({""}), False),
        ("unknown", None, True),
    ],
)
def test_a_failure_domain_is_allowed_by_its_region(domain, regions, expected):
    assert places.is_allowed(domain, regions, REGIONS) is expected


# Each selection of a server, without a network.


class Fleet:
    """Servers s1, s2 and so on, in the failure domains that are given."""

    def __init__(self, *domains, clock=lambda: 10.0, engine=None):
        self.fleet = fleets.Fleet(
            logs.Log(), lambda service: 100, random.Random(1)
        )
        records = [
            topic_watch.Record(f"s{number}", self._server(number, domain))
            for number, domain in enumerate(domains, 1)
        ]
        self.fleet.apply(
            topic_watch.Batch(tuple(records), 1), True, 10.0, now=10.0
        )
        self.balancer = balance.Balancer(
            self.fleet,
            shared_types.Place("r2", "d2"),
            REGIONS,
            random.Random(1),
            clock,
        )
        self.placer = placement.Placer(
            admit.ConfigView(
                catalog.Catalog(
                    types.Configuration(
                        1, (), {"plain": types.Service("plain", 32, engine)}, {}
                    )
                ),
                lambda: 0.0,
                5.0,
                5.0,
            ),
            self.balancer,
            version_policy.VersionPolicy(8.0, clock),
            random.Random(1),
            clock,
        )

    def _server(self, number, domain):
        address = shared_types.Address("127.0.0.1", number)
        return types.Server(f"s{number}", "plain", address, domain, 8)

    def backend(self, number):
        return self.fleet.find(f"s{number}")

    def job(self, route_regions=None, customer_regions=None, begun=False):
        """Returns a request that arrived just now."""
        route = types.Route(
            name="route",
            host="h",
            prefix="/",
            repeat_policy=types.RepeatPolicy.SAFE,
            targets=(types.Target("plain", 1.0),),
            timeout_s=3.0,
            objective_s=0.4,
            priority=0,
            max_attempts=3,
            regions=route_regions,
        )
        customer = types.Customer("one", regions=customer_regions)
        now = self.balancer._clock()
        return jobs.Job(
            builtin_types.SimpleNamespace(arrived_at=now),
            types.RequestMetadata(),
            catalog.RouteMatch(route, customer),
            "plain",
            builtin_types.SimpleNamespace(begun=begun),
            now + 3.0,
            expiry.Expiry(now + 3.0, self.balancer._clock),
        )


def test_the_first_choice_is_allowed():
    """The near server is not allowed, and the far one is full of others."""
    fleet = Fleet("d1", "d2")
    fleet.backend(1).update_load(types.Load(20, 0, 8), 10.0)
    assert fleet.balancer.choose(RESTRICTED) is fleet.backend(1)
    assert fleet.balancer.candidates(RESTRICTED) == [fleet.backend(1)]


def test_without_restrictions_every_listed_server_is_a_candidate():
    fleet = Fleet("d1", "d2", "unknown")
    requirements = balance.Requirements("plain")
    assert fleet.balancer.candidates(requirements) == [*fleet.fleet.all()]
    assert not fleet.balancer.is_barred("plain")
    names = [f"s{n}" for n in range(100)]
    near = [subsetting.Candidate(n, n < "s5", True, "r1") for n in names]
    plain = [subsetting.Candidate(n, n < "s5", True) for n in names]
    assert subsetting.select_followed("e", near) == (
        subsetting.select_followed("e", plain)
    )


def test_a_retry_is_allowed():
    """The only allowed server was tried; no other one takes its place."""
    fleet = Fleet("d1", "d2")
    tried = {fleet.backend(1).server.start}
    assert fleet.balancer.choose(RESTRICTED, tried) is None


def test_a_takeover_from_a_silent_server_is_allowed():
    async def play():
        fleet = Fleet("d1", "d2", "d1")
        job = fleet.job(HOME)
        first = fleet.placer.reserve_alternative(job, fleet.backend(1))
        fleet.backend(3).cooldown_until = math.inf
        second = fleet.placer.reserve_alternative(job, fleet.backend(1))
        return first.backend.server.server_id, second

    assert clocks.run(play()) == ("s3", None)


def test_a_probe_during_cooldown_is_allowed():
    """All allowed servers are in cooldown: they are probed and no others."""
    fleet = Fleet("d1", "d2")
    fleet.backend(1).cooldown_until = 12.0
    assert fleet.balancer.choose(RESTRICTED) is fleet.backend(1)
    fleet.balancer.record_sent(fleet.backend(1))
    assert fleet.balancer.choose(RESTRICTED) is None
    assert fleet.balancer.cooldown_ends_in_s(RESTRICTED) == 2.0


def test_a_server_elsewhere_is_not_waited_for():
    """A server of another region becomes ready soon, an allowed one later."""
    fleet = Fleet("d1", "d2")
    for number, ready_in_s in ((1, 5.0), (2, 1.0)):
        report = reports.Report(f"s{number}", 0, 0, 8, ready_in_s=ready_in_s)
        fleet.backend(number).apply_report(report, 10.0)
    assert fleet.balancer.ready_in_s("plain") == 1.0
    assert fleet.balancer.ready_in_s("plain", HOME) == 5.0


def test_a_request_is_not_held_for_a_server_elsewhere():
    """The allowed server loads for long, another one is nearly ready."""

    async def play():
        clock = asyncio.get_running_loop().time
        fleet = Fleet("d1", "d2", clock=clock, engine=ENGINE)
        for number, ready_in_s in ((1, 5.0), (2, 0.3)):
            report = reports.Report(
                f"s{number}", 0, 0, 8, ready_in_s=ready_in_s
            )
            fleet.backend(number).apply_report(report, clock())
        began = clock()
        refusal = await fleet.placer.reserve(fleet.job(HOME))
        return refusal.reason, clock() - began

    assert clocks.run(play()) == (Reason.NO_SERVER, 0.0)


def test_room_elsewhere_is_not_counted():
    """The allowed server is limited; capacity elsewhere is not its own."""
    fleet = Fleet("d1", "d2")
    fleet.backend(1).signals.backoff_until = 20.0
    assert fleet.balancer.is_restricted(RESTRICTED)
    assert fleet.balancer.capacity_until(RESTRICTED, 15.0) == 0
    assert fleet.balancer.backoff_ends_in_s(RESTRICTED) == 10.0


def test_a_reserved_server_is_checked_when_the_request_is_sent():
    """A server is listed in another failure domain after its reservation."""
    fleet = Fleet("d1", "d2")
    job, reason = fleet.job(HOME), outcomes.NotRunReason
    allowed = fleet.placer.withdrawal_reason(job, fleet.backend(1))
    other = fleet.placer.withdrawal_reason(job, fleet.backend(2))
    assert (allowed, other) == (None, reason.NOT_ALLOWED)


@pytest.mark.parametrize(
    ("route", "customer", "domains", "expected"),
    [
        (HOME, None, ("d2", "d3"), Reason.NO_ALLOWED_SERVER),
        (None, HOME, ("d2",), Reason.NO_ALLOWED_SERVER),
        (HOME, frozenset({"r2"}), ("d1", "d2"), Reason.NO_ALLOWED_SERVER),
        (frozenset(), None, ("d1",), Reason.NO_ALLOWED_SERVER),
        (HOME, None, ("unknown",), Reason.NO_ALLOWED_SERVER),
        (HOME, None, (), Reason.NO_SERVER),
        (None, None, (), Reason.NO_SERVER),
    ],
)
def test_without_an_allowed_server_a_request_is_refused_at_once(
    route, customer, domains, expected
):
    async def play():
        clock = asyncio.get_running_loop().time
        fleet = Fleet(*domains, clock=clock)
        began = clock()
        refusal = await fleet.placer.reserve(fleet.job(route, customer))
        return refusal, clock() - began

    refusal, waited_s = clocks.run(play())
    assert (refusal.status, refusal.reason, waited_s) == (503, expected, 0.0)
    assert 0.5 < refusal.retry_after_s < 1.0


def test_both_limits_bind():
    async def play():
        fleet = Fleet("d1", "d2", "d3", clock=asyncio.get_running_loop().time)
        job = fleet.job(frozenset({"r1", "r3"}), frozenset({"r2", "r3"}))
        return (await fleet.placer.reserve(job)).backend.server.server_id

    assert clocks.run(play()) == "s3"


def test_a_begun_stream_waits_for_an_allowed_server():
    """It can only be broken off, and an allowed server may come back."""

    async def play():
        clock = asyncio.get_running_loop().time
        began = clock()
        fleet = Fleet("d2", clock=clock)
        refusal = await fleet.placer.reserve(fleet.job(HOME, begun=True))
        return refusal.reason, clock() - began

    reason, waited_s = clocks.run(play())
    assert reason is Reason.NO_ALLOWED_SERVER
    assert 2.5 < waited_s < 3.0


@pytest.mark.parametrize(
    ("entries", "servers"), [(8, 23), (320, 320), (320, 860)]
)
def test_entries_follow_servers_where_requests_are_restricted_to(
    entries, servers
):
    """An entry follows too few servers of a region to serve its requests."""
    regions = [f"r{n % 5}" for n in range(servers)]
    for number in range(0, entries, max(1, entries // 40)):
        candidates = [
            subsetting.Candidate(f"s{n}", region == "r0", n % 10 < 8, region)
            for n, region in enumerate(regions)
        ]
        name = f"entry-{number}"
        plain = subsetting.select_followed(name, candidates)
        followed = subsetting.select_followed(name, candidates, ["r3", "r4"])
        assert plain <= followed <= {c.server_id for c in candidates}
        assert len(followed) <= len(plain) + 16
        for region in ("r3", "r4"):
            inside = [c for c in candidates if c.serves and c.region == region]
            some = [c for c in inside if c.server_id in followed]
            assert len(some) >= min(8, len(inside))


def test_a_route_uses_its_service_that_has_an_allowed_server():
    """A part of a route's requests goes to a service without one."""
    targets = tuple(types.Target(s, 1.0) for s in ("plain", "other"))
    route = dataclasses.replace(Fleet().job().match.route, targets=targets)

    def draw(barred):
        rng = random.Random(1)
        return {
            balance.draw_service(route, rng, lambda s: s in barred)
            for _ in range(50)
        }

    assert draw(()) == {"plain", "other"}
    assert draw({"other"}) == {"plain"}
    assert draw({"plain", "other"}) == {"plain", "other"}


def test_a_service_is_barred_only_by_operators():
    """A service without any server is drawn and refused as before."""
    balancer = Fleet("d1").balancer
    assert not balancer.is_barred("plain", HOME)
    assert balancer.is_barred("plain", frozenset({"r2"}))
    assert not balancer.is_barred("other", HOME)


# Over sockets.


class Site(sites.Site):
    """An entry in region r1 with servers i-1 in r1 and i-2 in r2.

    Its customer's requests may be served in r1 only.
    """

    regions = {"d1": "r1", "d2": "r2"}

    def __init__(self, on_call=None, regions=("r1",)):
        super().__init__("i-1", "i-2", on_call=on_call)
        self.servers[1].domain = "d2"
        self._config_regions = list(regions)

    async def __aenter__(self):
        await super().__aenter__()
        await self.configure(self._config_regions)
        return self

    async def configure(self, regions, version=2):
        """Sets the regions of the customer."""
        tenant = {
            "name": "one",
            "api_keys": [sites.KEY],
            "allowed_regions": regions,
        }
        config = sites.config(version, tenants=[tenant])
        self.store.put("keyed.op", "config", config)
        while self.entry._config_view.catalog.version < version:
            await asyncio.sleep(0.01)


def calls_elsewhere(on_call, prepare=lambda site: None, **fields):
    """Returns answers to ten requests, and calls of the other server."""

    async def play():
        async with Site(on_call) as site:
            site.entry._forwarder.set_retry_limits(budget.Limits(slack=1e4))
            prepare(site)
            answers = [await site.ask(**fields) for _ in range(10)]
            return answers, len(site.servers[1].calls), site

    return sites.run(play())


def test_requests_are_sent_to_allowed_servers_only():
    answers, elsewhere, _ = calls_elsewhere(lambda call: call.answer())
    assert ({a.status for a in answers}, elsewhere) == ({200}, 0)


@pytest.mark.parametrize("failure", ["reject", "reset"])
def test_retries_are_sent_to_allowed_servers_only(failure):
    """The allowed server fails, and another one has room."""
    answers, elsewhere, _ = calls_elsewhere(
        lambda call: getattr(call, failure)()
    )
    assert ({a.status for a in answers} & {200}, elsewhere) == (set(), 0)


def test_streams_are_resumed_at_allowed_servers_only():
    """The allowed server breaks a stream off, and another one has room."""

    async def play():
        async with Site(ends.break_off) as site:
            site.entry._forwarder.set_retry_limits(budget.Limits(slack=1e4))
            answer = await site.ask("/stream/1")
            return answer.complete, [len(s.calls) for s in site.servers]

    complete, (home, elsewhere) = sites.run(play())
    assert complete and home > 1 and not elsewhere


def test_unreachable_allowed_servers_are_probed_and_no_others(monkeypatch):
    """No connection to the allowed server opens, and another one has room."""

    async def refuse(address, timeout_s):
        if address.port == home[0]:
            raise client.ConnectFailed(f"{address}: refused")
        return await connect(address, timeout_s)

    def prepare(site):
        home.append(int(site.servers[0].address.rpartition(":")[2]))
        monkeypatch.setattr(client, "connect", refuse)

    connect, home = client.connect, []
    answers, elsewhere, _ = calls_elsewhere(lambda call: call.answer(), prepare)
    assert ({a.status for a in answers}, elsewhere) == ({503}, 0)


def test_a_refusal_says_which_regions_are_allowed():
    """No allowed server is listed; the log and a counter say so."""

    async def play():
        async with Site(regions=("r3",)) as site:
            began = asyncio.get_running_loop().time()
            answer = await site.ask()
            waited_s = asyncio.get_running_loop().time() - began
            await site.configure(["r3"], version=3)
            count = site.counters.value("direct.refused.no_allowed_server")
            return answer, waited_s, count

    with structlog.testing.capture_logs() as log:
        answer, waited_s, count = sites.run(play())
    assert (answer.status, count) == (503, 1)
    assert "retry-after" in answer.headers and waited_s < 0.1
    refused = [line for line in log if line["event"] == "request_refused"]
    unknown = [line for line in log if line["event"] == "regions_unknown"]
    assert [line["regions"] for line in refused] == [["r3"]]
    assert [line["regions"] for line in unknown] == [["r3"]]


def test_suspicions_hold_no_part_of_a_body():
    """What entries share of requests that crash servers is a digest only."""
    body = b"a sealed page of the registry"

    async def play():
        async with Site(lambda call: call.reset()) as site:
            await site.ask(body=body)
            return site.entry._forwarder.guard.suspicions()

    suspicions = sites.run(play())
    assert suspicions
    for suspicion in suspicions:
        assert len(suspicion.fingerprint) < len(body)
        assert body[:8] not in suspicion.fingerprint
