"""Tests servers that fail by turns, in part, together, or say they do."""

import asyncio
import random

import platform_site as sites
import pytest
import structlog
import test_direct_cold as cold
import test_direct_places as places_tests
import test_direct_reach as reach

from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import types

_STEP_S = 0.05


def _play(up_s, down_s, turns, start_s=100.0):
    """Returns a server's failed connections and answers by turn.

    A request is sent in each step in which the server is not in cooldown.
    """
    backend = places_tests.Fleet("d2").backend(1)
    failed, answered = [], []
    now = start_s
    for _ in range(turns):
        for counts, duration_s, is_up in (
            (failed, down_s, False),
            (answered, up_s, True),
        ):
            counts.append(0)
            end = now + duration_s
            while now < end:
                if backend.cooldown_until <= now:
                    counts[-1] += 1
                    if is_up:
                        backend.record_success(now)
                    else:
                        backend.record_unreachable(now)
                now += _STEP_S
    return failed, answered


@pytest.mark.parametrize("up_s", [0.5, 1.0, 3.0])
def test_a_server_that_flaps_is_connected_to_less_and_less(up_s):
    """Each time it was up, its cooldown began anew at a quarter of a second."""
    failed, _ = _play(up_s, 3.0, turns=20)
    assert failed[0] == 4
    # One cooldown of four seconds outlasts the time that it is down.
    assert max(failed[1:]) == 1


def test_a_server_that_flaps_is_still_used_while_it_is_up():
    _, answered = _play(3.0, 3.0, turns=20)
    usable = 3.0 / _STEP_S
    assert sum(answered) >= 0.5 * 20 * usable


def test_a_server_that_failed_once_recovers_soon():
    """Guards against long cooldowns for faults that are minutes apart."""
    failed, answered = _play(30.0, 0.1, turns=10)
    assert failed == [1] * 10
    assert min(answered) >= 0.98 * 30.0 / _STEP_S


def test_a_server_that_flapped_recovers_by_answering():
    backend = places_tests.Fleet("d2").backend(1)
    for turn in range(8):
        backend.record_unreachable(float(turn))
        backend.record_success(turn + 0.5)
    now = 20.0
    assert backend.cooldown_until == 7.0 + backend_lib._MAX_COOLDOWN_S
    while now < 37.0:
        backend.record_success(now)
        now += 1.0
    backend.record_unreachable(now)
    assert backend.cooldown_until == now + backend_lib._MIN_COOLDOWN_S


def test_waiting_callers_reach_the_only_server_that_flaps(monkeypatch):
    """Guards against refusals for a cooldown that outlasts the fault."""

    async def play():
        async with sites.Site("i-1") as site:
            unreachable = reach.UnreachableServers(monkeypatch, refuse_s=0.0)
            unreachable.cut(site)
            statuses = []
            for _ in range(10):
                unreachable.active = True
                await site.ask("/once/1")
                unreachable.active = False
                await asyncio.sleep(0.3)
                statuses.append((await site.ask("/once/1")).status)
            return statuses

    assert sites.run(play()) == [200] * 10


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_health_answers_decide_nothing(state):
    """False answers of the health path, either way, change no decision.

    Nobody asks for them: requests, reports and the list tell whether a server
    may get requests.
    """
    healths = []

    def on_call(call):
        target = call.head.target.decode()
        if not target.startswith("/safe/"):
            healths.append(target)
            call.answer(b"", 200 if state == "draining" else 503)
        else:
            call.answer()

    async def play():
        async with sites.Site("i-1", on_call=on_call) as site:
            server = site.servers[0]
            record = server.record(state=state, sequence=2)
            site.store.put("keyed.servers", "i-1", record)
            await asyncio.sleep(3.0)
            statuses = []
            for _ in range(20):
                statuses.append((await site.ask()).status)
                await asyncio.sleep(0.5)
            return statuses

    with structlog.testing.capture_logs():
        statuses = sites.run(play())
    assert healths == []
    assert set(statuses) == ({200} if state == "ready" else {503})


def test_a_server_that_fails_some_requests_gets_few_until_it_recovers():
    """Its health answers are good, and only its answers show the fault."""
    now = 10.0
    fleet = places_tests.Fleet("d2", "d2", "d2", clock=lambda: now)
    requirements = balance.Requirements("plain")

    def play(count, fails):
        """Returns the requests that the first server gets, 18 of 24 slots."""
        chosen, running = 0, []
        for number in range(count):
            backend = fleet.balancer.choose(requirements)
            backend.begin_request()
            running.append(backend)
            if backend is fleet.backend(1):
                chosen += 1
            if len(running) > 18:
                ended = running.pop(0)
                ended.end_request()
                if ended is fleet.backend(1) and fails and number % 2:
                    ended.record_failure()
                else:
                    ended.record_success(now)
        for backend in running:
            backend.end_request()
        return chosen

    assert play(300, fails=True) <= 60
    play(300, fails=False)
    assert play(300, fails=False) >= 75


def test_records_of_another_writer_name_no_server_to_use():
    """A service that no route names, with the address of a listed server."""

    async def play():
        async with sites.Site("i-1") as site:
            server = site.servers[0]
            foreign = server.record(service="elsewhere", sequence=9)
            site.store.put("keyed.servers", "foreign", foreign)
            await asyncio.sleep(3.0)
            statuses = {(await site.ask()).status for _ in range(10)}
            asked = {
                call.headers["x-clementinegw-expect-instance"]
                for call in server.calls
            }
            return (
                statuses,
                asked,
                [b.server.server_id for b in site.entry._fleet.of("plain")],
            )

    assert sites.run(play()) == ({200}, {"i-1"}, ["i-1"])


def test_a_start_whose_counts_begin_anew_is_taken_at_once():
    """The same id with a lower sequence, and no trace of the former start."""

    async def play():
        async with sites.Site("i-1") as site:
            server = site.servers[0]
            for born, sequence in ((1_000, 50), (2_000, 1), (1_000, 51)):
                record = server.record(born=born, sequence=sequence)
                site.store.put("keyed.servers", "i-1", record)
                await asyncio.sleep(3.0)
            (backend,) = site.entry._fleet.all()
            return (await site.ask()).status, backend.server.start

    status, start = sites.run(play())
    assert (status, start) == (200, types.ServerStart("i-1", 2_000))


@pytest.mark.parametrize("entries", [1, 8, 35])
def test_servers_that_come_back_cold_together_each_keep_the_bound(entries):
    """All servers of a failure domain start anew, and no other is left."""
    per_s, names = 8.0, ("a", "b", "c", "d")
    site = cold.Fleet(entries, per_s)
    site.list(
        *(
            cold.record(server_id=n, started_ms=1, sequence=40, cold_s=0.0)
            for n in names
        )
    )
    site.list(
        *(
            cold.record(server_id=n, started_ms=2, sequence=1, cold_s=8.0)
            for n in names
        )
    )
    balancers = [
        balance.Balancer(
            fleet, cold.PLACE, {}, random.Random(number), lambda: site.now
        )
        for number, fleet in enumerate(site.fleets)
    ]
    sent = {name: [] for name in names}
    requirements = balance.Requirements("plain")
    while site.now < 7.9:
        for fleet, balancer in zip(site.fleets, balancers, strict=True):
            fleet.update_cold(site.now)
            while (backend := balancer.choose(requirements)) is not None:
                assert backend.signals.cold
                backend.signals.limiter.take_slot()
                sent[backend.server.server_id].append(site.now)
        site.now += cold.STEP_S
    for arrivals in sent.values():
        site.sent_at = arrivals
        assert site.most_in_a_second() <= cold.allowed(per_s)
        assert len(arrivals) >= 0.7 * per_s * 7.9
