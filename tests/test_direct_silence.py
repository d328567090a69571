"""Tests how servers and agents that fall silent are detected."""

import dataclasses
import random

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import balance
from clementinegw.direct import fleet
from clementinegw.direct import reports
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

REQUIREMENTS = balance.Requirements("engine")


def new_fleet(*names):
    """Returns a fleet of listed servers."""
    backends = fleet.Fleet(logs.Log(), lambda service: 64, random.Random(1))
    records = tuple(
        topic_watch.Record(
            name,
            types.Server(
                server_id=name,
                service="engine",
                address=shared_types.Address("127.0.0.1", 9),
                failure_domain="d1",
                slots=16,
            ),
        )
        for name in names
    )
    backends.apply(topic_watch.Batch(records, len(records)), True, 60.0)
    return backends


def report(backend, *times):
    """Delivers reports of the server's agent at the given times."""
    for now in times:
        message = reports.Report(backend.server.server_id, 1, 0, 16)
        backend.apply_report(message, now)


def chosen(backends, now):
    """Returns the ids of the servers that are chosen in 50 draws."""
    place = shared_types.Place("r", "d1")
    chooser = balance.Balancer(
        backends, place, {}, random.Random(1), lambda: now
    )
    chosen = {chooser.choose(REQUIREMENTS) for _ in range(50)}
    return {backend.server.server_id for backend in chosen}


def test_a_server_silent_with_its_agent_is_skipped():
    """Requests were late for as long as a machine was suspended.

    Each entry sent to the suspended server, waited for 0.8 s and tried it again
    soon after, because only requests revealed that it was silent.
    """
    backends = new_fleet("suspended", "healthy")
    report(backends.find("suspended"), 10.0)
    report(backends.find("healthy"), 10.5)
    assert chosen(backends, 10.6) == {"healthy"}
    report(backends.find("suspended"), 10.6)
    assert chosen(backends, 10.7) == {"suspended", "healthy"}


def test_requests_are_sent_even_if_all_servers_are_silent():
    backends = new_fleet("a")
    report(backends.find("a"), 10.0)
    assert chosen(backends, 11.0) == {"a"}


@pytest.mark.parametrize(
    ("heard_at", "now", "silent"),
    [(9.9, 11.0, True), (10.4, 11.0, False), (9.9, 17.0, False)],
)
def test_a_server_that_answers_is_not_silent_without_its_agent(
    heard_at, now, silent
):
    backend = new_fleet("a").find("a")
    report(backend, 10.0)
    backend.heard_at = heard_at
    assert backend.is_silent(now) == silent


def test_an_agent_with_rare_reports_counts_as_silent_later():
    backend = new_fleet("a").find("a")
    report(backend, *[0.4 * number for number in range(20)])
    assert not backend.is_silent(7.6 + 1.0)
    assert backend.is_silent(7.6 + 1.3)
    report(backend, *[9.0 + 0.1 * number for number in range(20)])
    assert backend.is_silent(10.9 + 0.5)


class Transport:
    """A transport that records the receivers."""

    def __init__(self):
        self.receivers = []

    def sendto(self, data, addr):
        del data
        self.receivers.append(addr)


@pytest.mark.parametrize(
    ("near", "far", "sent"),
    [(8, 0, 320), (8, 16, 480), (10, 31, 510), (14, 29, 570)],
)
def test_reports_grow_more_slowly_than_the_entries(near, far, sent):
    """Connections to servers could not be opened while weights were fetched.

    43 entries subscribed to each agent and every entry got every report, which
    took a tenth of the machine's link.
    """

    async def play():
        reporter = reports.Reporter(lambda declared: None)
        transport = Transport()
        reporter.connection_made(transport)
        for number in range(near + far):
            message = ttypes.Subscribe(f"e{number}", {}, number >= near)
            reporter.datagram_received(codec.encode(message), (number,))
        for _ in range(41):
            reporter.send(reports.Report("a", 1, 0, 16))
        # The first report is sent to all.
        return len(transport.receivers) - near - far

    assert clocks.run(play()) == sent


def test_a_server_in_cooldown_is_tried_only_if_no_other_is_left():
    backends = new_fleet("cooling", "healthy")
    backends.find("cooling").cooldown_until = 11.0
    now = [10.0]
    chooser = balance.Balancer(
        backends,
        shared_types.Place("r", "d1"),
        {},
        random.Random(1),
        lambda: now[0],
    )
    assert chooser.choose(REQUIREMENTS) is backends.find("healthy")
    chosen = chooser.choose(REQUIREMENTS, {types.ServerStart("healthy")})
    assert chosen is backends.find("cooling")
    chooser.record_sent(chosen)
    assert chooser.choose(REQUIREMENTS, {types.ServerStart("healthy")}) is None
    now[0] = 10.3
    assert (
        chooser.choose(REQUIREMENTS, {types.ServerStart("healthy")}) is chosen
    )
    without_cooling = dataclasses.replace(REQUIREMENTS, allow_cooldown=False)
    assert (
        chooser.choose(without_cooling, {types.ServerStart("healthy")}) is None
    )
    assert chooser.cooldown_ends_in_s(REQUIREMENTS) == 0.0
    backends.find("healthy").cooldown_until = 10.5
    assert chooser.cooldown_ends_in_s(REQUIREMENTS) == pytest.approx(0.2)
