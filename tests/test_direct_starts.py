"""Servers that start again under their former id: nothing of before holds."""

import asyncio
import math
import random

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import agent_interfaces
from clementinegw.direct import balance
from clementinegw.direct import channel
from clementinegw.direct import client
from clementinegw.direct import declarations
from clementinegw.direct import fleet
from clementinegw.direct import instance as instances
from clementinegw.direct import reports
from clementinegw.direct import suspects
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import updater
from clementinegw.telemetry import counters
from clementinegw.telemetry import histograms
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

HOST = "127.0.0.1"
HELD = (types.HeldWeights("m", 2, 4),)


def server(born, **fields):
    values = {
        "service": "engine",
        "address": shared_types.Address(HOST, 9),
        "failure_domain": "d1",
        "slots": 16,
        "sequence": 1,
    }
    return types.Server(server_id="a", started_ms=born, **{**values, **fields})


def listed(backends, *servers):
    records = tuple(topic_watch.Record(s.server_id, s) for s in servers)
    backends.apply(topic_watch.Batch(records, len(records)), False, 60.0)
    return backends.find(servers[-1].server_id)


def new_fleet():
    return fleet.Fleet(logs.Log(), lambda service: 64, random.Random(1))


def report(**fields):
    values = {"server_id": "a", "running": 16, "waiting": 4, "slots": 16}
    return reports.Report(**{**values, **fields})


def learn(backend):
    """Learns all that may be learned of a start."""
    told = report(
        version=2,
        whole=True,
        loading=True,
        pace=3.0,
        yielding=True,
        entries=4,
        ready_in_s=2.0,
        followers=4,
        rank=1,
        follower_rank=1,
    )
    backend.apply_report(told, 10.0)
    facts = types.AnswerMetadata(
        "a", True, False, limit_per_s=2.0, leaving=True, backoff_s=9.0
    )
    backend.signals.apply(facts, 9.0, 10.0)
    backend.begin_request()
    backend.unread_tokens += 700
    backend.record_unreachable(10.0)
    backend.heard_at = 10.0
    backend.full_until = math.inf
    backend.weights_incomplete = True
    backend.replaced = True
    backend.missing = True
    backend.missing_until = 11.0


def beliefs(backend):
    apart = ("server", "pool", "_rng", "signals")
    found = {k: v for k, v in vars(backend).items() if k not in apart}
    apart = ("start", "limiter", "_log", "_counters")
    reported = vars(backend.signals).items()
    found |= {k: v for k, v in reported if k not in apart}
    return found | {"limit": backend.signals.limiter.per_s}


@pytest.mark.parametrize(
    ("asked_at", "told", "found"),
    [(10.0, 2.0, 2.0), (12.4, 2.0, 0.0), (13.0, 2.0, math.inf)],
)
def test_a_server_that_is_overdue_is_not_waited_for(asked_at, told, found):
    """Symptom: callers wait for a server that does not come.

    Sequence: an agent tells when its server will serve, and freezes. Cause: a
    moment that was past counted as now.
    """
    backends = new_fleet()
    listed(backends, server(1)).apply_report(report(ready_in_s=told), 10.0)
    balancer = balance.Balancer(
        backends,
        shared_types.Place("r1", "d1"),
        {},
        random.Random(1),
        lambda: asked_at,
    )
    assert balancer.ready_in_s("engine") == pytest.approx(found)


def test_nothing_learned_of_one_start_speaks_of_the_next():
    """A server that had just started was passed over, or sent what it lacks.

    It crashed and came back at once under its id and its address. The entry
    went on with what it knew of the start before: doubts, a rest, the version
    it had told of, requests under way, that it was about to be given up.
    """
    backends = new_fleet()
    former = listed(backends, server(1, held=HELD, sequence=40))
    learn(former)
    present = listed(backends, server(2))
    fresh = listed(new_fleet(), server(2))
    assert beliefs(present) == beliefs(fresh)
    assert present.held_version(4) == 0
    assert present.pool is not former.pool


@pytest.mark.parametrize(
    ("born", "taken", "over"),
    [(1, False, False), (2, True, False), (3, False, True), (0, True, False)],
)
def test_a_report_speaks_of_its_own_start_only(born, taken, over):
    """A server without any layers was sent requests after it had come back.

    The last report of the start before was on its way meanwhile, and said that
    all layers are there. One of a later start says that the listed one is over.
    """
    backends = new_fleet()
    backend = listed(backends, server(2))
    told = report(started_ms=born, version=2, whole=True)
    assert backends.match_report(told, "127.0.0.2") is None
    assert (backends.match_report(told, HOST) is backend) == taken
    assert backend.retired == over
    if over:
        assert not listed(backends, server(3)).retired


def test_a_report_carries_the_start_that_it_is_of():
    heard = []
    listener = reports.Listener("e", lambda host, told: heard.append(told))

    class Transport:
        def sendto(self, data, addr):
            listener.datagram_received(data, addr)

    async def play():
        reporter = reports.Reporter(lambda declared: None)
        reporter.connection_made(Transport())
        asks = codec.encode(ttypes.Subscribe("e", {}, False))
        reporter.datagram_received(asks, (HOST, 1))
        for born in (0, 1_780_000_000_123, 1_780_000_000_124):
            reporter.send(report(started_ms=born))

    clocks.run(play())
    assert [told.server_id for told in heard] == ["a", "a", "a"]
    assert [told.started_ms for told in heard] == [
        0,
        1_780_000_000_123,
        1_780_000_000_124,
    ]


def test_a_server_that_leaves_goes_on_leaving_whatever_its_agent_tells():
    backends = new_fleet()
    backend = listed(backends, server(2, leaving=True))
    backends.match_report(report(started_ms=2), HOST).apply_report(
        report(started_ms=2), 1.0
    )
    assert backend.server.leaving
    assert backend.retired


def test_a_start_that_is_listed_anew_still_leaves():
    backends = new_fleet()
    listed(backends, server(2, leaving=True, sequence=4))
    gone = topic_watch.Batch((topic_watch.Record("a", None),), 1)
    backends.apply(gone, False, 60.0)
    assert listed(backends, server(2, sequence=9)).retired
    assert not listed(backends, server(3, sequence=1)).retired


def test_a_start_whose_birth_nobody_tells_is_named_by_its_id():
    backends = new_fleet()
    backend = listed(backends, server(0, sequence=3))
    learn(backend)
    assert listed(backends, server(0, sequence=4)) is backend
    assert listed(backends, server(5, sequence=5)) is backend
    assert listed(backends, server(0, sequence=6)) is backend
    assert listed(backends, server(6, sequence=1)) is not backend


def test_a_request_may_try_the_next_start_and_crash_it_too():
    """A request crashed one server over and over, which came back each time.

    Crashes were counted by the server's id: two of one server were one.
    """

    class Request:
        method, target, host, body = "POST", "/a", "h", b"x"

    tracker = suspects.SuspectTracker()
    for born in (1, 2):
        assert not tracker.is_refused(Request, "c", 1.0)
        tracker.record_crash(
            Request, "c", types.ServerStart("a", born).text, 1.0
        )
    assert tracker.is_refused(Request, "c", 1.0)


def test_connections_of_a_start_that_is_over_are_not_kept():
    """Connections to starts that were gone stayed open for as long as we ran.

    They were in use when the start ended, and were given back to a pool that
    nobody looks through any more.
    """

    class Transport(asyncio.Transport):
        aborted = False

        def abort(self):
            self.aborted = True

        def is_closing(self):
            return self.aborted

        def get_write_buffer_size(self):
            return 0

    async def play():
        backends = new_fleet()
        pool = listed(backends, server(1)).pool
        transport = Transport()
        link = channel.Channel()
        link.connection_made(transport)
        connection = client.Connection(link)
        connection.start_next_call = lambda: None
        assert connection.reusable
        pool._open = 1
        listed(backends, server(2))
        pool.release(connection)
        assert pool.open_connections == 0
        assert transport.aborted

    clocks.run(play())


# The agent.


ADDRESS = shared_types.Address(HOST, 9)


def around(*servers, born=0):
    instance = instances.Instance(
        name="agent",
        place=shared_types.Place("r1", "d1"),
        regions={"d1": "r1"},
        host=HOST,
        peer_ports=(0, 0),
        store=ADDRESS,
        callers=None,
        ready=None,
        backend=ADDRESS,
        service="engine",
        link_bytes_per_s=1e6,
        bounds=instances.Bounds(),
    )
    state = agent_interfaces.ServerState((), False, 0, 0, 0, 1.0, born)
    found = {s.server_id: s for s in servers}
    return updater.Context(instance, servers=found, state=state)


def named(server_id, born):
    return types.Server(server_id, "engine", ADDRESS, "d1", 16, started_ms=born)


@pytest.mark.parametrize(
    ("found", "start"),
    [
        (around(), types.ServerStart("")),
        (around(born=4), types.ServerStart("", 0)),
        (around(named("a", 0)), types.ServerStart("a")),
        (around(named("a", 0), named("b", 0)), types.ServerStart("b")),
        (around(named("a", 4), named("b", 3)), types.ServerStart("a", 4)),
        (
            around(named("a", 3), named("b", 4), born=3),
            types.ServerStart("a", 3),
        ),
        (around(named("a", 3), born=4), types.ServerStart("a", 4)),
        (around(named("a", 0), born=4), types.ServerStart("a", 4)),
    ],
)
def test_an_agent_names_the_present_start_of_its_server(found, start):
    """Nothing was told of a server for seconds after it had crashed.

    The start before is listed until it runs out, at the same address, and the
    agent went on to tell under its name.
    """
    assert found.start == start


def test_an_order_is_not_given_to_another_start():
    """A server that had just come back got the order meant for the one before.

    It crashed while its agent compared the pieces that lie staged; both starts
    had accepted no order, so that the number of orders told nothing.
    """

    class LocalServer:
        loads = 0
        born = 1

        async def state(self):
            return agent_interfaces.ServerState(
                (), False, 0, 0, 0, 1.0, self.born
            )

        async def load(self, model, version, sequence, abort_running):
            self.loads += 1
            return True

    class Fetcher:
        manifest = None
        missing_fraction = 0.0

        def holds_all(self, manifest):
            return True

        async def stage(self, local_server, manifest):
            local_server.born = 2
            return True

    async def play():
        known = around(named("a", 1), born=1)
        known.engine = types.Engine(("m",), 16, 0.01, 0.0, 1e4, 6, 4, 1, 10)
        known.local_server = LocalServer()
        declared = declarations.Declarations(
            8.0, 3.0, asyncio.get_running_loop().time
        )
        weights = updater.WeightsUpdater(
            known,
            Fetcher(),
            logs.Log(),
            counters.Counters(),
            histograms.Histograms(),
            declared,
        )
        declared.record("m", 2, 0.0)
        weights._manifests[2] = agent_interfaces.VersionManifest(
            "m", 2, 10, (b"d",)
        )
        await asyncio.sleep(10.0)
        await weights.load_newest()
        assert known.local_server.loads == 0
        known.state = await known.local_server.state()
        await weights.load_newest()
        assert known.local_server.loads == 1

    clocks.run(play())
