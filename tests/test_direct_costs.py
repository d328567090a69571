"""What the direct path costs a processor, counted and not timed."""

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
TERMS = queue.Policy(
    max_utilization=1.0, late_limit_high=0.9, late_limit_low=0.3
)
SERVERS = 20
WAITING = 100


class Counting(balance.Balancer):
    """Counts how often all servers are looked through."""

    passes = 0

    def candidates(self, requirements):
        self.passes += 1
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


def tell(backends, running, now):
    for backend in backends.all():
        told = reports.Report(
            backend.server.server_id, running, 0, 16, entries=1
        )
        backend.apply_report(told, now)


async def wait_in(line, tried=()):
    now = asyncio.get_running_loop().time()
    return await line.reserve(
        lambda: REQUIREMENTS, frozenset(tried), now + 0.5, now + 1.0
    )


def overloaded(with_tried, share_left=True):
    """Returns a play of many who wait at full servers until one has room.

    Args:
      with_tried: Whether each has been at a server before.
      share_left: Whether the entry has a share at one that turns it away.
    """

    async def play():
        loop = asyncio.get_running_loop()
        backends = new_fleet()
        place = shared_types.Place("r", "d1")
        chooser = Counting(backends, place, {}, random.Random(1), loop.time)
        line = queue.Queue("engine", chooser, TERMS, loop.time)
        tell(backends, 16, loop.time())
        if share_left:
            refusing = backends.find("s2")
            refusing.end_request()
            refusing.full_until = loop.time() + 1.0
        tried = ("s1",) if with_tried else ()
        tasks = [
            asyncio.ensure_future(wait_in(line, tried)) for _ in range(WAITING)
        ]
        await asyncio.sleep(0.001)
        chooser.passes = 0
        line.dispatch()
        passes = chooser.passes
        free = reports.Report("s3", 14, 0, 16, entries=1)
        backends.find("s3").apply_report(free, loop.time())
        line.dispatch()
        await asyncio.sleep(0)
        placed = [t.result().backend for t in tasks if t.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return passes, [b.server.server_id for b in placed]

    return play()


@pytest.mark.parametrize(("with_tried", "passes"), [(False, 1), (True, 2)])
def test_many_who_wait_for_the_same_cost_one_look(with_tried, passes):
    """Requests came faster than the servers could take them.

    At each report an entry looked through all servers once for each request
    that waited, and had that much less time for the streams it passed on.
    """
    found, placed = clocks.run(overloaded(with_tried))
    assert found == passes
    # The two free slots and no more: the share of the only entry.
    assert placed == ["s3", "s3"]


def test_many_who_wait_at_full_servers_cost_no_look_at_all():
    """Symptom: entries before 60 servers look through them without an end.

    Sequence: all slots are taken, and each server tells so ten times a second.
    Cause: each report and each timer led to a choice among all servers, though
    no server had a share left for the entry.
    """
    found, placed = clocks.run(overloaded(False, share_left=False))
    assert found == 0
    assert placed == ["s3", "s3"]


def test_a_report_of_a_full_server_leads_to_no_look():
    """Symptom: 536 choices for 63 requests placed, in one entry in 12 s.

    Sequence: requests wait; each server tells some times a second that it is
    full. Cause: every report led to a look, whatever it said.
    """

    async def play():
        loop = asyncio.get_running_loop()
        backends = new_fleet()
        place = shared_types.Place("r", "d1")
        chooser = Counting(backends, place, {}, random.Random(1), loop.time)
        finder = placement.Placer(
            admit.ConfigView(None, lambda: 0.0, 1.0, 1.0),
            chooser,
            version_policy.VersionPolicy(8.0, loop.time),
            random.Random(1),
            loop.time,
        )
        looks = []
        finder.dispatch = lambda: looks.append("all")
        finder._queue("engine").dispatch = lambda: looks.append("engine")
        for running in (16, 14):
            backend = backends.find("s3")
            told = reports.Report("s3", running, 0, 16, entries=1)
            backend.apply_report(told, loop.time())
            finder.dispatch_for(backend)
        return looks

    assert clocks.run(play()) == ["engine"]


def test_who_needs_more_does_not_keep_others_from_room():
    """One request wanted a version that no server had yet.

    What it could not have must not be taken for what the others could not
    have either.
    """

    async def play():
        loop = asyncio.get_running_loop()
        backends = new_fleet()
        place = shared_types.Place("r", "d1")
        chooser = Counting(backends, place, {}, random.Random(1), loop.time)
        line = queue.Queue("engine", chooser, TERMS, loop.time)
        tell(backends, 16, loop.time())
        newer = balance.Requirements("engine", layers=4, least_version=2)
        now = loop.time()
        picky = asyncio.ensure_future(
            line.reserve(lambda: newer, frozenset(), now + 0.5, now + 1.0)
        )
        plain = asyncio.ensure_future(wait_in(line))
        await asyncio.sleep(0.001)
        tell(backends, 8, loop.time())
        line.dispatch()
        await asyncio.sleep(0)
        done = (picky.done(), plain.done())
        picky.cancel()
        await asyncio.gather(picky, plain, return_exceptions=True)
        return done

    assert clocks.run(play()) == (False, True)


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_a_daemon_loads_no_library_that_it_does_not_use(role):
    """Agents started slowly, and took 54 MB where entries took 34.

    They shared modules with a part that calls over aiohttp and reads JSON with
    pydantic. Both were loaded at each start and never called.
    """
    code = (
        f"import sys, clementinegw.direct.{role}\n"
        "print([m for m in ('aiohttp', 'pydantic') if m in sys.modules])"
    )
    ran = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert ran.stdout.strip() == "[]"
