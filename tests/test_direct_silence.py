"""Servers that fall silent: found out from the agents beside them."""

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


def tell(backend, *times):
    for now in times:
        told = reports.Report(backend.server.server_id, 1, 0, 16)
        backend.apply_report(told, now)


def chosen(backends, now):
    place = shared_types.Place("r", "d1")
    chooser = balance.Balancer(
        backends, place, {}, random.Random(1), lambda: now
    )
    found = {chooser.choose(REQUIREMENTS) for _ in range(50)}
    return {backend.server.server_id for backend in found}


def test_a_server_that_fell_silent_with_its_agent_is_passed_over():
    """Symptom: requests are late for as long as a machine is suspended.

    Sequence: a machine stands still; each entry sends to its server, waits for
    0.8 s, and tries it again soon after. Cause: only requests told of it.
    """
    backends = new_fleet("frozen", "well")
    tell(backends.find("frozen"), 10.0)
    tell(backends.find("well"), 10.5)
    assert chosen(backends, 10.6) == {"well"}
    tell(backends.find("frozen"), 10.6)
    assert chosen(backends, 10.7) == {"frozen", "well"}


def test_where_all_fell_silent_requests_are_sent_all_the_same():
    backends = new_fleet("a")
    tell(backends.find("a"), 10.0)
    assert chosen(backends, 11.0) == {"a"}


@pytest.mark.parametrize(
    ("heard_at", "now", "silent"),
    [(9.9, 11.0, True), (10.4, 11.0, False), (9.9, 17.0, False)],
)
def test_a_server_that_answers_outlives_its_agent(heard_at, now, silent):
    backend = new_fleet("a").find("a")
    tell(backend, 10.0)
    backend.heard_at = heard_at
    assert backend.is_silent(now) == silent


def test_an_agent_that_tells_seldom_is_silent_later():
    backend = new_fleet("a").find("a")
    tell(backend, *[0.4 * number for number in range(20)])
    assert not backend.is_silent(7.6 + 1.0)
    assert backend.is_silent(7.6 + 1.3)
    tell(backend, *[9.0 + 0.1 * number for number in range(20)])
    assert backend.is_silent(10.9 + 0.5)


class Sent:
    """A transport that keeps who was sent to."""

    def __init__(self):
        self.to = []

    def sendto(self, data, addr):
        del data
        self.to.append(addr)


@pytest.mark.parametrize(
    ("near", "far", "sent"),
    [(8, 0, 320), (8, 16, 480), (10, 31, 510), (14, 29, 570)],
)
def test_reports_grow_less_than_the_entries(near, far, sent):
    """Symptom: connections to servers do not come up while weights come.

    Sequence: 43 entries ask each agent; a tenth of the machine's link goes to
    reports. Cause: every entry got every report.
    """

    async def play():
        reporter = reports.Reporter(lambda declared: None)
        transport = Sent()
        reporter.connection_made(transport)
        for number in range(near + far):
            message = ttypes.Subscribe(f"e{number}", {}, number >= near)
            reporter.datagram_received(codec.encode(message), (number,))
        for _ in range(41):
            reporter.send(reports.Report("a", 1, 0, 16))
        # The first one is news to all.
        return len(transport.to) - near - far

    assert clocks.run(play()) == sent


def test_a_server_that_rests_is_tried_only_where_no_other_is_left():
    backends = new_fleet("resting", "well")
    backends.find("resting").cooldown_until = 11.0
    now = [10.0]
    chooser = balance.Balancer(
        backends,
        shared_types.Place("r", "d1"),
        {},
        random.Random(1),
        lambda: now[0],
    )
    assert chooser.choose(REQUIREMENTS) is backends.find("well")
    found = chooser.choose(REQUIREMENTS, {types.ServerStart("well")})
    assert found is backends.find("resting")
    chooser.record_sent(found)
    assert chooser.choose(REQUIREMENTS, {types.ServerStart("well")}) is None
    now[0] = 10.3
    assert chooser.choose(REQUIREMENTS, {types.ServerStart("well")}) is found
    waited_for = dataclasses.replace(REQUIREMENTS, allow_cooldown=False)
    assert chooser.choose(waited_for, {types.ServerStart("well")}) is None
    assert chooser.cooldown_ends_in_s(REQUIREMENTS) == 0.0
    backends.find("well").cooldown_until = 10.5
    assert chooser.cooldown_ends_in_s(REQUIREMENTS) == pytest.approx(0.2)
