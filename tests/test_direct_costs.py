"""Tests the processor cost of the direct path by counting operations."""

import asyncio
import random
import subprocess
import sys

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import admit
from clementinegw.direct import balance
from clementinegw.direct import fleet
from clementinegw.direct import placement
from clementinegw.direct import queue
from clementinegw.direct import reports
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

REQUIREMENTS = balance.Requirements("engine")
POLICY = queue.Policy(
    max_utilization=1.0, late_limit_high=0.9, late_limit_low=0.3
)
SERVERS = 20
WAITING = 100


class CountingBalancer(balance.Balancer):
    """Counts the scans of all servers."""

    scans = 0

    def candidates(self, requirements):
        self.scans += 1
        return super().candidates(requirements)


def new_fleet():
    backends = fleet.Fleet(logs.Log(), lambda service: 640, random.Random(1))
    records = tuple(
        topic_watch.Record(
            f"s{number}",
            types.Server(
                server_id=f"s{number}",
                service="engine",
                address=shared_types.Address("127.0.0.1", 9),
                failure_domain="d1",
                slots=16,
            ),
        )
        for number in range(SERVERS)
    )
    backends.apply(topic_watch.Batch(records, len(records)), True, 60.0)
    return backends


def report_load(backends, running, now):
    for backend in backends.all():
        report = reports.Report(
            backend.server.server_id, running, 0, 16, entries=1
        )
        backend.apply_report(report, now)


async def wait_for_server(request_queue, tried=()):
    now = asyncio.get_running_loop().time()
    return await request_queue.reserve(
        lambda: REQUIREMENTS, frozenset(tried), now + 0.5, now + 1.0
    )


def overload_scenario(with_tried, share_left=True):
    """Returns a scenario in which many requests wait until a server has room.

    Args:
      with_tried: Whether each request has been sent to a server before.
      share_left: Whether the entry has a share left at a server that rejects
        requests.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        backends = new_fleet()
        place = shared_types.Place("r", "d1")
        balancer = CountingBalancer(
            backends, place, {}, random.Random(1), loop.time
        )
        request_queue = queue.Queue("engine", balancer, POLICY, loop.time)
        report_load(backends, 16, loop.time())
        if share_left:
            refusing = backends.find("s2")
            refusing.end_request()
            refusing.full_until = loop.time() + 1.0
        tried = ("s1",) if with_tried else ()
        tasks = [
            asyncio.ensure_future(wait_for_server(request_queue, tried))
            for _ in range(WAITING)
        ]
        await asyncio.sleep(0.001)
        balancer.scans = 0
        request_queue.dispatch()
        scans = balancer.scans
        free = reports.Report("s3", 14, 0, 16, entries=1)
        backends.find("s3").apply_report(free, loop.time())
        request_queue.dispatch()
        await asyncio.sleep(0)
        placed = [t.result().backend for t in tasks if t.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return scans, [b.server.server_id for b in placed]

    return scenario()


@pytest.mark.parametrize(
    ("with_tried", "expected_scans"), [(False, 1), (True, 2)]
)
def test_equal_waiting_requests_cost_one_scan_of_the_servers(
    with_tried, expected_scans
):
    """Guards against a scan of all servers for each waiting request.

    When requests arrived faster than the servers could accept them, an entry
    scanned all servers once for each waiting request at each report, and had
    less time to forward streams.
    """
    scans, placed = clocks.run(overload_scenario(with_tried))
    assert scans == expected_scans
    # The only entry has a share of both free slots and no more.
    assert placed == ["s3", "s3"]


def test_requests_waiting_for_full_servers_cost_no_scan():
    """Guards against entries that scan 60 full servers all the time.

    All slots are taken, and each server reports this ten times a second. Each
    report and each timer used to trigger a scan of all servers, though no
    server had a share left for the entry.
    """
    scans, placed = clocks.run(overload_scenario(False, share_left=False))
    assert scans == 0
    assert placed == ["s3", "s3"]


def test_a_report_of_a_full_server_triggers_no_dispatch():
    """Guards against a dispatch for every report, whatever its content.

    While requests wait, each server reports several times a second that it is
    full. One entry made 536 selections in 12 s to place 63 requests.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        backends = new_fleet()
        place = shared_types.Place("r", "d1")
        balancer = CountingBalancer(
            backends, place, {}, random.Random(1), loop.time
        )
        placer = placement.Placer(
            admit.ConfigView(None, lambda: 0.0, 1.0, 1.0),
            balancer,
            version_policy.VersionPolicy(8.0, loop.time),
            random.Random(1),
            loop.time,
        )
        dispatched = []
        placer.dispatch = lambda: dispatched.append("all")
        placer._queue("engine").dispatch = lambda: dispatched.append("engine")
        for running in (16, 14):
            backend = backends.find("s3")
            report = reports.Report("s3", running, 0, 16, entries=1)
            backend.apply_report(report, loop.time())
            placer.dispatch_for(backend)
        return dispatched

    assert clocks.run(scenario()) == ["engine"]


def test_a_request_with_special_requirements_does_not_block_others():
    """Tests that requirements are matched per request.

    One request needs a version that no server has yet. That no server fits it
    must not be taken to mean that none fits the other requests.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        backends = new_fleet()
        place = shared_types.Place("r", "d1")
        balancer = CountingBalancer(
            backends, place, {}, random.Random(1), loop.time
        )
        request_queue = queue.Queue("engine", balancer, POLICY, loop.time)
        report_load(backends, 16, loop.time())
        newer = balance.Requirements("engine", layers=4, min_version=2)
        now = loop.time()
        demanding = asyncio.ensure_future(
            request_queue.reserve(
                lambda: newer, frozenset(), now + 0.5, now + 1.0
            )
        )
        ordinary = asyncio.ensure_future(wait_for_server(request_queue))
        await asyncio.sleep(0.001)
        report_load(backends, 8, loop.time())
        request_queue.dispatch()
        await asyncio.sleep(0)
        done = (demanding.done(), ordinary.done())
        demanding.cancel()
        await asyncio.gather(demanding, ordinary, return_exceptions=True)
        return done

    assert clocks.run(scenario()) == (False, True)


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_a_daemon_imports_no_library_that_it_does_not_use(role):
    """Guards against imports that slow the start and cost memory.

    Agents started slowly and took 54 MB, where entries took 34 MB. They shared
    modules with code that uses aiohttp and pydantic, so that both were imported
    at each start and never used.
    """
    code = (
        f"import sys, clementinegw.direct.{role}\n"
        "print([m for m in ('aiohttp', 'pydantic') if m in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
