"""Servers that fall silent: found out from the agents beside them."""

import random

import pytest

from clementinegw import types as places
from clementinegw.direct import balance
from clementinegw.direct import fleet
from clementinegw.direct import follow
from clementinegw.direct import reports
from clementinegw.direct import types
from clementinegw.telemetry import logs

WANTED = balance.Wanted("engine")


def new_fleet(*names):
    backends = fleet.Fleet(logs.Log(), lambda service: 64, random.Random(1))
    records = tuple(
        follow.Record(
            name,
            types.Server(
                server_id=name,
                service="engine",
                address=places.Address("127.0.0.1", 9),
                failure_domain="d1",
                slots=16,
            ),
        )
        for name in names
    )
    backends.apply(follow.Batch(records, len(records)), True, 60.0)
    return backends


def tell(backend, now, far=False):
    told = reports.Report(backend.server.server_id, 1, 0, 16)
    backend.take_report(told, now, far)


def chosen(backends, now):
    place = places.Place("r", "d1")
    chooser = balance.Balancer(
        backends, place, {}, random.Random(1), lambda: now
    )
    found = {chooser.choose(WANTED) for _ in range(50)}
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
    assert backend.silent(now) == silent


def test_an_agent_in_another_region_tells_less_often():
    backend = new_fleet("a").find("a")
    tell(backend, 10.0, far=True)
    assert not backend.silent(11.0)
    assert backend.silent(11.5)
