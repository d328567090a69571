"""Tests what an entry knows of the way to servers, and what it does by it."""

import asyncio
import random

import platform_site as sites
import pytest
import test_direct_due as due

from clementinegw import types as shared_types
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import reports
from clementinegw.direct import transit as transits
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes


def report(server_id="i-1", **fields):
    return ttypes.BackendReport(
        server_id, 0, 0, 8, "m", 1, True, False, 1.0, False, 1, -1.0, **fields
    )


def deliver(site, round_trip_s, server_id="i-1"):
    """Delivers a report that answers a subscription of a while ago."""
    now_ms = int(1e3 * asyncio.get_running_loop().time())
    message = report(
        server_id,
        echo_ms=now_ms - round(1e3 * round_trip_s) - 300,
        echo_held_ms=300,
    )
    site.entry._reports.datagram_received(
        codec.encode(message), ("127.0.0.1", 1)
    )


# The estimate.


def test_estimate_is_the_last_round_trip_until_it_is_old():
    transit = transits.Transit()
    assert transit.estimate_s(100.0) == 0.0
    transit.record_answer(0.9, 100.0)
    assert transit.estimate_s(102.0) == 0.9
    transit.record_round_trip(0.01, 102.0)
    assert transit.estimate_s(102.0) == 0.01
    assert transit.estimate_s(110.0) == 0.0


def test_unanswered_subscriptions_count_as_a_long_way():
    transit = transits.Transit()
    transit.record_question(99.0)
    assert transit.estimate_s(101.0) == 0.0
    transit.record_answer(0.01, 101.0)
    transit.record_question(102.0)
    transit.record_question(103.0)
    assert transit.estimate_s(103.4) == 0.01
    assert transit.estimate_s(104.0) == 1.5
    assert transit.estimate_s(120.0) == 0.0


class Wire:
    """Carries datagrams in memory; it takes `way_s` seconds each way."""

    def __init__(self, way_s):
        self.way_s = way_s
        self.other = None

    def sendto(self, data, addr):
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.way_s, self.other.datagram_received, data, ("10.0.0.1", 1)
        )


@pytest.mark.parametrize("way_s", [0.002, 0.7])
@pytest.mark.parametrize("held_s", [0.0, 0.4])
def test_round_trip_leaves_out_the_time_at_the_agent(way_s, held_s):
    async def play():
        received = []
        listener = reports.Listener("e", lambda host, r: received.append(r))
        reporter = reports.Reporter(lambda declared: None)
        to_agent, to_entry = Wire(way_s), Wire(way_s)
        to_agent.other, to_entry.other = reporter, listener
        listener.connection_made(to_agent)
        reporter.connection_made(to_entry)
        agent = shared_types.Address("10.0.0.2", 1)
        listener.subscribe(
            {agent: reports.Subscription(False)},
            reports.DeclaredVersions({}, {}),
        )
        await asyncio.sleep(way_s + held_s + 0.001)
        for _ in range(3):
            reporter.send(reports.Report("i-1", 0, 0, 8))
            await asyncio.sleep(0.1)
        await asyncio.sleep(way_s)
        return [r.round_trip_s for r in received]

    first, *others = clocks.run(play())
    assert first == pytest.approx(2 * way_s, abs=0.003)
    assert others == [None, None]


# Requests.


@pytest.mark.parametrize(
    ("round_trip_s", "served"), [(0.01, True), (0.4, True), (1.0, False)]
)
def test_no_request_is_sent_that_arrives_after_a_newer_version_is_due(
    round_trip_s, served
):
    """Guards against an answer of a version that operators had replaced."""

    async def play():
        async with due.Site("i-1") as site:
            site.name()
            # Version 2 is required 7.7 s after its declaration.
            await asyncio.sleep(7.0)
            deliver(site, round_trip_s)
            calls = len(site.servers[0].calls)
            answered = await site.serves()
            return answered, len(site.servers[0].calls) - calls

    assert sites.run(play()) == (served, int(served))


def test_servers_behind_a_full_link_are_used_only_if_no_other_is_free():
    """Guards against requests that wait in a link for longer than callers."""

    async def play():
        async with due.Site("i-1", "i-2") as site:
            site.list_version(site.servers[1], 1)
            await asyncio.sleep(1.5)
            deliver(site, 1.0, "i-1")
            deliver(site, 0.01, "i-2")
            for _ in range(6):
                await site.ask(headers=due.MODEL)
            far, near = (len(server.calls) for server in site.servers)
            (backend,) = (
                b
                for b in site.entry._fleet.all()
                if b.server.server_id == "i-2"
            )
            backend.full_until = asyncio.get_running_loop().time() + 1.0
            answer = await site.ask(headers=due.MODEL)
            return far, near, answer.status

    assert sites.run(play()) == (0, 6, 200)


def test_slow_connections_count_as_a_long_way(monkeypatch):
    async def play():
        async with sites.Site("i-1") as site:
            sites.slow_connections(monkeypatch, by_s=0.2)
            await site.ask()
            (backend,) = site.entry._fleet.all()
            now = asyncio.get_running_loop().time()
            return backend.transit.estimate_s(now)

    assert sites.run(play()) == pytest.approx(0.2, abs=0.01)


def test_a_new_start_of_a_server_has_an_unknown_way():
    assert backend_lib.Backend(None, None, random.Random(), None).transit == (
        transits.Transit()
    )


# Cancelled requests.


def test_the_rest_of_a_cancelled_request_is_not_sent():
    """Guards against work for a caller that has left."""

    async def play():
        server = sites.LateReader()
        await server.start()
        async with sites.Site("i-1") as site:
            address = str(server.address)
            entry = site.servers[0].record(address=address, sequence=2)
            site.store.put("keyed.servers", "i-1", entry)
            await asyncio.sleep(1.5)
            body = b"x" * 60_000
            async with sites.Caller(site) as caller:
                caller.send("/safe/1", body=body)
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.1)
            return await server.read_all(), len(body)

    received, sent = sites.run(play())
    assert received < sent
