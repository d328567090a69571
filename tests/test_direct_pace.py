"""Tests that servers on machines that are slow at present get less work."""

import asyncio
import collections
import functools
import random
import statistics

import platform_site
import pytest

from clementinegw import types as shared_types
from clementinegw.direct import balance
from clementinegw.direct import fleet as fleets
from clementinegw.direct import queue
from clementinegw.direct import reports
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.scheduling import machine_pace
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

SERVICE = "plain"
OBJECTIVE_S = 0.15
SLOTS = 6
WORK_S = 0.0225
# A machine draws its pace anew after this time, in seconds.
CHANGE_S = 0.6
SLOW_SHARE, SLOW_PACE = 0.15, 2.5
LATENCY_S = 0.001
LASTS_S = 30.0


class Server:
    """A server with slots and a queue, on a machine shared with others."""

    def __init__(self, rng):
        self.pace = 1.0
        self.running = self.waiting = 0
        self.accepted = collections.Counter()
        self._rng = rng
        self._slots = asyncio.Semaphore(SLOTS)

    def load(self, figures):
        pace = self.pace if figures == 4 else None
        return types.Load(self.running, self.waiting, SLOTS, pace)

    async def answer(self, work_s):
        self.accepted[self.pace] += 1
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(work_s * self.pace)
            self.running -= 1

    async def share_machine(self):
        while True:
            slow = self._rng.random() < SLOW_SHARE
            self.pace = SLOW_PACE if slow else 1.0
            await asyncio.sleep(CHANGE_S * self._rng.uniform(0.5, 1.5))


class Site:
    """Entries that send to plain servers and know them by their answers."""

    def __init__(self, figures, seed, entries, servers=3):
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.figures = figures
        self.servers = {
            f"s{n}": Server(random.Random(seed * 100 + n))
            for n in range(servers)
        }
        self.entries = [self._entry(seed * 100 + n) for n in range(entries)]
        self.times = []

    def _entry(self, seed):
        rng = random.Random(seed)
        fleet = fleets.Fleet(logs.Log(), lambda service: 1_000, rng)
        records = [
            topic_watch.Record(
                name,
                types.Server(
                    name,
                    SERVICE,
                    shared_types.Address(f"10.0.0.{n}", 1),
                    "d",
                    SLOTS,
                ),
            )
            for n, name in enumerate(self.servers)
        ]
        fleet.apply(topic_watch.Batch(tuple(records), 1), True, 10.0)
        balancer = balance.Balancer(
            fleet, shared_types.Place("r", "d"), {"d": "r"}, rng, self.clock
        )
        policy = queue.Policy(3.0, 2.0, 1.0)
        return queue.Queue(SERVICE, balancer, policy, self.clock)

    async def call(self):
        began = self.clock()
        work_s = self.rng.lognormvariate(0.0, 0.5) * WORK_S
        reservation = await self.rng.choice(self.entries).reserve(
            lambda: balance.Requirements(SERVICE),
            frozenset(),
            began + OBJECTIVE_S,
            began + 1.0,
        )
        if reservation is None:
            self.times.append(1.0)
            return
        backend = reservation.backend
        server = self.servers[backend.server.server_id]
        await asyncio.sleep(LATENCY_S)
        await server.answer(work_s)
        load = server.load(self.figures)
        await asyncio.sleep(LATENCY_S)
        backend.update_load(load, self.clock())
        reservation.release()
        self.times.append(self.clock() - began)


@functools.cache
def play(figures, seed, entries, per_s):
    async def run():
        site = Site(figures, seed, entries)
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(s.share_machine()) for s in site.servers.values()
        ]
        calls = []
        end = site.clock() + LASTS_S
        while site.clock() < end:
            await asyncio.sleep(site.rng.expovariate(per_s))
            calls.append(loop.create_task(site.call()))
        await asyncio.gather(*calls)
        for task in tasks:
            task.cancel()
        return site

    return clocks.run(run())


def share_in_time(site):
    return statistics.fmean(t <= OBJECTIVE_S for t in site.times)


def slow_share(site):
    """Returns the share of requests that reached a server while slow."""
    accepted = sum(
        (s.accepted for s in site.servers.values()), collections.Counter()
    )
    return accepted[SLOW_PACE] / accepted.total()


def plays(figures, entries=8, per_s=450):
    return [play(figures, seed, entries, per_s) for seed in (1, 2)]


def test_servers_get_less_work_while_their_machines_are_slow():
    """Guards against servers whose machines turn slow for part of a second.

    They got as much work as others until their queues had grown.
    """
    without, told = plays(3), plays(4)
    assert statistics.fmean(map(slow_share, told)) < 0.9 * statistics.fmean(
        map(slow_share, without)
    )
    assert statistics.fmean(map(share_in_time, told)) > statistics.fmean(
        map(share_in_time, without)
    )


def backend_of(site):
    return site.entries[0]._balancer._servers.find("s0")


def test_a_pace_is_forgotten_within_seconds():
    """Guards against a server that is avoided because nothing was heard."""

    async def run():
        backend = backend_of(Site(4, 1, 1))
        backend.update_load(types.Load(0, 0, SLOTS, 2.5), 1.0)
        return [backend.estimated_pace(at) for at in (1.0, 1.5, 4.0)]

    at_once, later, at_last = clocks.run(run())
    assert at_once == pytest.approx(2.5)
    assert 1.2 < later < 2.0
    assert at_last == pytest.approx(1.0, abs=0.02)


def test_a_load_without_a_pace_keeps_the_former_one():
    async def run():
        backend = backend_of(Site(4, 1, 1))
        backend.update_load(types.Load(0, 0, SLOTS, 2.5), 1.0)
        backend.update_load(types.Load(3, 1, SLOTS), 1.0)
        return backend.estimated_pace(1.0), backend.estimated_requests(1.0)

    assert clocks.run(run()) == (pytest.approx(2.5), 4.0)


def test_an_engine_on_a_slow_machine_does_not_count_as_slow_twice():
    """Guards against an engine that gets a sixth of the work for one cause."""

    async def run():
        backend = backend_of(Site(4, 1, 1))
        report = reports.Report("s0", 0, 0, SLOTS, pace=2.0)
        backend.apply_report(report, 1.0)
        paces = [backend.estimated_pace(1.0)]
        for at, pace in ((1.0, 2.5), (9.0, 1.5), (18.0, 0.8)):
            backend.update_load(types.Load(0, 0, SLOTS, pace), at)
            paces.append(backend.estimated_pace(at))
        return paces

    assert clocks.run(run()) == pytest.approx([2.0, 2.5, 2.0, 2.0])


def test_close_answers_are_averaged():
    """The pace changes many times a second, also while it is told."""
    pace = machine_pace.MachinePace()
    for number in range(200):
        pace.record(1.0 if number % 2 else 2.0, number * 0.002)
    assert pace.estimate(0.4) == pytest.approx(1.5, abs=0.1)


def test_a_machine_that_tells_no_pace_has_the_usual_one():
    assert machine_pace.MachinePace().estimate(7.0) == 1.0


def test_a_malformed_pace_is_counted_and_the_load_is_used():
    """Guards against servers whose load is unknown due to a fourth figure."""

    async def run():
        async with platform_site.Site("s1") as site:
            site.servers[0].on_call = lambda call: call.answer(
                extra_headers=("X-Clementinegw-Server-Load: 0,5,6,x",)
            )
            statuses = [(await site.ask("/safe/a")).status for _ in range(3)]
            backend = site.entry._fleet.find("s1")
            now = asyncio.get_running_loop().time()
            counted = site.counters.value("direct.server_signal.malformed.pace")
            return statuses, backend.estimated_requests(now), counted

    statuses, requests, counted = platform_site.run(run())
    assert statuses == [200] * 3
    # The answered request itself is one of the five.
    assert requests == pytest.approx(4.0, abs=0.2)
    assert counted == 3
