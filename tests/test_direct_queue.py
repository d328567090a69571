"""Tests that an error in placing one waiting request ends no other request."""

import asyncio
import random

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import balance
from clementinegw.direct import fleet as fleets
from clementinegw.direct import queue
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

SLOTS = 2
POLICY = queue.Policy(1.0, 0.9, 0.4)
REQUIREMENTS = balance.Requirements("plain", 0, 0, 0)
WAIT_S = 2.0


class Balancer(balance.Balancer):
    """A balancer with errors that a test switches on.

    Attributes:
      broken: Whether the state that all requests of a service share raises.
    """

    broken = False

    def has_restricted(self, service):
        if self.broken:
            raise KeyError("broken")
        return super().has_restricted(service)


def new_queue():
    """Returns a queue with one server and its balancer."""
    loop = asyncio.get_running_loop()
    fleet = fleets.Fleet(
        logs.Log(),
        lambda service: 100,
        random.Random(1),
        entry="e1",
        wall_clock=lambda: 1_790_000_000.0,
        counters=counters_lib.Counters(),
    )
    server = types.Server(
        server_id="s1",
        service="plain",
        address=shared_types.Address("127.0.0.1", 1),
        failure_domain="d1",
        slots=SLOTS,
    )
    batch = topic_watch.Batch((topic_watch.Record("s1", server),), 1)
    fleet.apply(batch, True, 1.0, 0.0, loop.time())
    place = shared_types.Place("r", "d1")
    balancer = Balancer(fleet, place, {}, random.Random(1), loop.time)
    return queue.Queue("plain", balancer, POLICY, loop.time), balancer


class Waiting:
    """A request that waits for a server.

    Attributes:
      broken: Whether finding out its requirements raises.
    """

    def __init__(self, request_queue):
        now = asyncio.get_running_loop().time()
        self.broken = False
        self.task = asyncio.ensure_future(
            request_queue.reserve(
                self._requirements, frozenset(), now + WAIT_S, now + WAIT_S
            )
        )

    def _requirements(self):
        if self.broken:
            raise KeyError("broken")
        return REQUIREMENTS


async def start_waiting(request_queue, count):
    """Returns the reservations that fill the server, and waiting requests."""
    running = [Waiting(request_queue) for _ in range(SLOTS)]
    held = [await w.task for w in running]
    waiting = [Waiting(request_queue) for _ in range(count)]
    await asyncio.sleep(0.001)
    assert not any(w.task.done() for w in waiting)
    return held, waiting


def test_an_error_of_a_waiting_request_does_not_end_an_answered_one():
    """Guards against an answered request that ends with another's error."""

    async def scenario():
        request_queue, _ = new_queue()
        held, waiting = await start_waiting(request_queue, 3)
        waiting[0].broken = True
        held[0].release()
        held[1].release()
        done, _ = await asyncio.wait([w.task for w in waiting], timeout=0.001)
        assert len(done) == 3
        with pytest.raises(KeyError):
            await waiting[0].task
        return [w.task.result().backend.server.server_id for w in waiting[1:]]

    assert clocks.run(scenario()) == ["s1", "s1"]


def test_an_error_at_the_periodic_dispatch_does_not_stop_it():
    """Guards against requests that wait until another one ends."""

    async def scenario():
        request_queue, balancer = new_queue()
        _, waiting = await start_waiting(request_queue, 3)
        waiting[0].broken = True
        await asyncio.sleep(0.1)
        # The server has become larger, and no request ends.
        for backend in balancer._servers.all():
            for _ in range(SLOTS):
                backend.end_request()
        await asyncio.sleep(0.1)
        assert isinstance(waiting[0].task.exception(), KeyError)
        return [w.task.done() for w in waiting[1:]]

    assert clocks.run(scenario()) == [True, True]


def test_an_error_in_shared_state_ends_the_waiting_requests_only():
    """Guards against waiting requests that no later dispatch can end."""

    async def scenario():
        request_queue, balancer = new_queue()
        held, waiting = await start_waiting(request_queue, 2)
        balancer.broken = True
        held[0].release()
        await asyncio.sleep(0.1)
        errors = [w.task.exception() for w in waiting]
        balancer.broken = False
        later = Waiting(request_queue)
        return errors, (await later.task).backend.server.server_id

    errors, server_id = clocks.run(scenario())
    assert [type(e) for e in errors] == [KeyError, KeyError]
    assert server_id == "s1"


def test_a_request_cancelled_with_its_error_ends_as_cancelled():
    """Guards against a caller that left and counts as an error."""

    async def scenario():
        request_queue, _ = new_queue()
        held, waiting = await start_waiting(request_queue, 1)
        waiting[0].broken = True
        held[0].release()
        waiting[0].task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting[0].task

    clocks.run(scenario())
