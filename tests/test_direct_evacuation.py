"""Tests that evacuated failure domains get no requests."""

import asyncio
import functools
import types as builtin_types

import overload_site
import platform_site as sites
import pytest
import structlog
import test_direct_agent as agent_sites
import test_direct_limit_relay as relays
import test_direct_stream_ends as ends

from clementinegw import types as shared_types
from clementinegw.direct import admit
from clementinegw.direct import budget
from clementinegw.direct import catalog
from clementinegw.direct import reports
from clementinegw.direct import subscriptions
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.scheduling import evacuations
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

# Long enough for a record to reach the entry, in seconds.
APPLY_S = 0.2


def test_an_evacuation_holds_until_its_record_is_deleted():
    known = evacuations.Evacuations()
    known.apply({"e/d1": "d1", "e/d2": "d2"}, True)
    known.apply({"e/d3": "d3", "config": None}, False)
    assert known.domains == {"d1", "d2", "d3"}
    known.apply({"e/d1": None}, False)
    assert known.domains == {"d2", "d3"}


def test_an_evacuation_that_a_snapshot_lacks_has_ended():
    known = evacuations.Evacuations()
    known.apply({"e/d1": "d1", "e/d2": "d2"}, False)
    known.apply({"e/d2": "d2"}, True)
    assert known.domains == {"d2"}


def test_a_snapshot_from_a_process_that_is_behind_ends_nothing():
    """Requests go back for a moment after the history is lost."""
    known = evacuations.Evacuations()
    known.apply({"config": None}, True, 7)
    known.apply({"e/d1": "d1"}, False, 8)
    known.apply({"config": None}, True, 7)
    assert known.domains == {"d1"}
    known.apply({"config": None}, True, 9)
    assert known.domains == frozenset()


@pytest.mark.parametrize(
    ("age_s", "reported", "expected"),
    [
        (0.5, {"d2"}, {"d1"}),
        (0.5, (), {"d1"}),
        (5.0, {"d2"}, {"d1", "d2"}),
        (5.0, (), {"d1"}),
        (float("inf"), {"d2"}, {"d1", "d2"}),
    ],
)
def test_agents_count_while_the_records_are_not_current(
    age_s, reported, expected
):
    known = evacuations.Evacuations()
    known.apply({"e/d1": "d1"}, True)
    assert known.in_force(age_s, reported) == expected


# An entry over sockets.


class Site(sites.Site):
    """An entry in d1 with the servers i-1 and i-3 in d1, and i-2 in d2."""

    regions = {"d1": "r1", "d2": "r2"}

    def __init__(self, on_call=None):
        super().__init__("i-1", "i-2", "i-3", on_call=on_call)
        self.servers[1].domain = "d2"

    async def __aenter__(self):
        await super().__aenter__()
        self.entry._forwarder.set_retry_limits(budget.Limits(slack=1e4))
        return self

    async def evacuate(self, *domains):
        for domain in domains:
            self.store.put("keyed.op", f"evacuate/{domain}", {})
        await asyncio.sleep(APPLY_S)

    async def end(self, *domains):
        for domain in domains:
            self.store.put("keyed.op", f"evacuate/{domain}", None)
        await asyncio.sleep(APPLY_S)

    def report(self, name, evacuated):
        """Delivers a report of a server's agent."""
        report = reports.Report(name, 0, 0, 8, evacuated=evacuated)
        self.entry._on_report("127.0.0.1", report)

    async def servers_asked(self, count=20):
        """Returns which servers run some requests."""
        before = {s.name: len(s.calls) for s in self.servers}
        for _ in range(count):
            assert (await self.ask()).status == 200
        return {s.name for s in self.servers if len(s.calls) > before[s.name]}


def test_an_evacuated_failure_domain_gets_no_requests_until_the_end():
    async def play():
        async with Site() as site:
            before = await site.servers_asked()
            await site.evacuate("d1")
            during = await site.servers_asked()
            gauge = site.entry._balancer.evacuated
            await site.end("d1")
            return before, during, gauge, await site.servers_asked()

    with structlog.testing.capture_logs() as log:
        before, during, gauge, after = sites.run(play())
    assert {"i-1", "i-3"} <= before
    assert (during, gauge) == ({"i-2"}, {"d1"})
    assert {"i-1", "i-3"} <= after
    events = [line for line in log if line["event"].startswith("evacuation_")]
    assert [(e["event"], e["domain"]) for e in events] == [
        ("evacuation_begun", "d1"),
        ("evacuation_ended", "d1"),
    ]


def test_an_evacuation_with_an_unreadable_value_holds():
    async def play():
        async with Site() as site:
            site.store.put_raw("keyed.op", b"evacuate/d1", b"\xff{")
            await asyncio.sleep(APPLY_S)
            return await site.servers_asked()

    assert sites.run(play()) == {"i-2"}


def test_an_evacuation_that_ended_unseen_ends_with_the_next_snapshot():
    """The store forgets the record and its deletion before they are read."""

    async def play():
        async with Site() as site:
            await site.evacuate("d1")
            site.store.muted = True
            site.store.put("keyed.op", "evacuate/d1", None)
            site.store.put("keyed.op", "other", {})
            site.store.forget("keyed.op")
            site.store.muted = False
            site.store.cut()
            await asyncio.sleep(1.0)
            return site.entry._balancer.evacuated, await site.servers_asked()

    evacuated, asked = sites.run(play())
    assert evacuated == frozenset()
    assert {"i-1", "i-3"} <= asked


def test_the_evacuation_of_an_unknown_failure_domain_is_harmless():
    async def play():
        async with Site() as site:
            await site.evacuate("d9", "")
            return await site.servers_asked()

    with structlog.testing.capture_logs() as log:
        assert {"i-1", "i-3"} <= sites.run(play())
    warned = [e["domain"] for e in log if e["event"] == "evacuation_unknown"]
    assert sorted(warned) == ["", "d9"]


def test_requests_are_refused_at_once_if_all_servers_are_evacuated():
    async def play():
        async with Site() as site:
            await site.evacuate("d1", "d2")
            began = asyncio.get_running_loop().time()
            answer = await site.ask()
            waited_s = asyncio.get_running_loop().time() - began
            return answer, waited_s, site.counters

    answer, waited_s, counters = sites.run(play())
    assert answer.status == 503 and "retry-after" in answer.headers
    assert waited_s < 0.1
    assert counters.value("direct.refused.evacuated") == 1


def test_waiting_requests_are_refused_when_all_servers_are_evacuated():
    """Requests wait for full servers when all servers are evacuated."""

    async def play():
        async with Site(hold) as site:
            for server in site.servers:
                site.entry._fleet.find(server.name).full_until = 1e9
            waiting = asyncio.ensure_future(site.ask())
            await asyncio.sleep(0.05)
            began = asyncio.get_running_loop().time()
            await site.evacuate("d1", "d2")
            answer = await waiting
            waited_s = asyncio.get_running_loop().time() - began
            return answer.status, waited_s, site.counters

    status, waited_s, counters = sites.run(play())
    assert (status, counters.value("direct.refused.evacuated")) == (503, 1)
    assert waited_s < 0.3


async def hold(call):
    await asyncio.sleep(1.0)
    call.answer()


def test_a_running_stream_goes_on():
    """A stream is broken off because its server's domain is evacuated."""

    async def play():
        async with Site(ends.Servers(pause_s=0.3).serve) as site:
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.12)
            await site.evacuate("d1", "d2")
            answer = await stream
            return answer, sum(len(s.calls) for s in site.servers)

    answer, calls = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, ends.WHOLE)
    assert calls == 1


def test_a_broken_stream_is_resumed_outside():
    """A server of an evacuated domain breaks a stream off."""

    async def play():
        evacuated_at = []

        async def serve(call):
            begun = ends.begun_at(call)
            call.begin_stream()
            for number in range(begun + 1, ends.EVENTS + 1):
                if number == 3 and not begun:
                    await site.evacuate("d1")
                    evacuated_at.append({s.name: len(s.calls) for s in inside})
                    call.reset()
                    return
                call.event(number)
            call.end_stream()

        async with Site(serve) as site:
            inside = [site.servers[0], site.servers[2]]
            site.entry._fleet.find("i-2").cooldown_until = 1e9
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.1)
            site.entry._fleet.find("i-2").cooldown_until = 0.0
            answer = await stream
            return answer, evacuated_at, {s.name: len(s.calls) for s in inside}

    answer, evacuated_at, calls = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, ends.WHOLE)
    assert [calls] == evacuated_at


def test_a_request_whose_connection_still_opens_goes_elsewhere(monkeypatch):
    """The evacuation arrives between the choice of a server and the send."""

    async def play():
        async with Site() as site:
            site.entry._fleet.find("i-2").cooldown_until = 1e9
            sites.slow_connections(monkeypatch, 0.5)
            request = asyncio.ensure_future(site.ask())
            await asyncio.sleep(0.1)
            site.entry._fleet.find("i-2").cooldown_until = 0.0
            await site.evacuate("d1")
            answer = await request
            return answer.status, {s.name: len(s.calls) for s in site.servers}

    assert sites.run(play()) == (200, {"i-1": 0, "i-2": 1, "i-3": 0})


def test_an_entry_that_is_cut_off_from_the_store_hears_it_from_agents():
    """One agent tells for all servers of its domain: i-3 has no agent."""

    async def play():
        async with Site() as site:
            site.store.silent = True
            site.store.cut()
            await asyncio.sleep(3.0)
            site.report("i-1", True)
            during = await site.servers_asked()
            site.report("i-1", False)
            return during, await site.servers_asked()

    with structlog.testing.capture_logs() as log:
        during, after = sites.run(play())
    assert during == {"i-2"}
    assert "i-3" in after
    begun = [e for e in log if e["event"] == "evacuation_begun"]
    assert [e["declared"] for e in begun] == [False]


def test_an_entry_with_current_records_does_not_need_agents():
    """An agent that is cut off reports an evacuation that has ended."""

    async def play():
        async with Site() as site:
            site.report("i-1", True)
            return await site.servers_asked()

    assert {"i-1", "i-3"} & sites.run(play())


def test_an_entry_that_is_cut_off_keeps_the_evacuation_that_it_read():
    async def play():
        async with Site() as site:
            await site.evacuate("d1")
            site.store.silent = True
            site.store.cut()
            await asyncio.sleep(3.0)
            site.report("i-1", False)
            return await site.servers_asked(5)

    assert sites.run(play()) == {"i-2"}


@pytest.mark.parametrize("evacuated", ["d0", "d3"])
def test_an_entry_follows_enough_servers_outside(evacuated):
    """The servers of the own region are evacuated, and few others followed."""

    async def play():
        loop = asyncio.get_running_loop()
        site = overload_site.Simulation(engines=200, entries=1, domains=5)
        entry = site.entries[0]
        domains = frozenset()
        following = subscriptions.Subscriptions(
            builtin_types.SimpleNamespace(
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
            reports.Listener("e", lambda host, report: None),
            lambda: (),
            loop.time,
            logs.Log(),
            counters_lib.Counters(),
            evacuated=lambda: domains,
        )
        following.renew()
        before = followed(entry)
        domains = frozenset({evacuated})
        following.subscribe_changed()
        during = followed(entry)
        domains = frozenset()
        following.subscribe_changed()
        site.stop()
        return before, during, followed(entry)

    before, during, after = clocks.run(play())
    inside = {name for name, domain in before.items() if domain == evacuated}
    assert inside <= during.keys()
    assert len(during.keys() - inside) >= 24
    assert after == before


def followed(entry):
    """Returns the failure domain of each server that an entry follows."""
    return {
        b.server.server_id: b.server.failure_domain
        for b in entry.fleet.all()
        if b.followed
    }


# Agents.


def test_agents_report_the_evacuation_of_their_failure_domain():
    """Its beginning and its end; the agents go on bringing versions."""

    async def play():
        sent = [[], []]

        def record(reported, send, report, suspicions=()):
            if [report.evacuated] != reported[-1:]:
                reported.append(report.evacuated)
            send(report, suspicions)

        async with agent_sites.Site(2) as site:
            for agent, reported in zip(site.agents, sent, strict=True):
                agent._reporter.send = functools.partial(
                    record, reported, agent._reporter.send
                )
            operators = site.topics[0].records
            await site.until_all_hold(1)
            operators.append(
                topic_watch.Record("evacuate", types.Evacuation("d0"))
            )
            await asyncio.sleep(0.5)
            site.declare(2)
            await site.until_all_hold(2)
            operators.append(topic_watch.Record("evacuate", None))
            await asyncio.sleep(0.5)
            return sent

    assert agent_sites.run(play()) == [[False, True, False], [False]]


def test_a_change_is_reported_to_all_subscribers_at_once():
    """An entry that gets changes only does not hear of an evacuation."""

    async def play():
        network = relays.Network()
        listener = network.listener("one")
        subscription = reports.Subscription(True, changes_only=True)
        listener.subscribe(
            {shared_types.Address("10.0.0.1", 1): subscription},
            reports.DeclaredVersions({}, {}),
        )
        for evacuated in (False, False, True, True, False, False):
            network.reporter.send(
                reports.Report("s1", 1, 0, 8, "m", 1, evacuated=evacuated)
            )
        return [report.evacuated for report in network.received["one"]]

    assert agent_sites.run(play()) == [False, True, False]
