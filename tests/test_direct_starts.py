"""Tests that nothing known of one start of a server applies to the next."""

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
from clementinegw.direct import expiry
from clementinegw.direct import fleet
from clementinegw.direct import instance as instances
from clementinegw.direct import reports
from clementinegw.direct import staging
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


def server(started_ms, **fields):
    values = {
        "service": "engine",
        "address": shared_types.Address(HOST, 9),
        "failure_domain": "d1",
        "slots": 16,
        "sequence": 1,
    }
    return types.Server(
        server_id="a", started_ms=started_ms, **{**values, **fields}
    )


def listed(backends, *servers):
    records = tuple(topic_watch.Record(s.server_id, s) for s in servers)
    backends.apply(topic_watch.Batch(records, len(records)), False, 60.0)
    return backends.find(servers[-1].server_id)


def new_fleet():
    return fleet.Fleet(logs.Log(), lambda service: 64, random.Random(1))


def report(**fields):
    values = {"server_id": "a", "running": 16, "waiting": 4, "slots": 16}
    return reports.Report(**{**values, **fields})


def observe_everything(backend):
    """Applies everything that can be observed of a start."""
    agent_report = report(
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
    backend.apply_report(agent_report, 10.0, lag_s=0.2)
    backend.update_load(types.Load(4, 0, 16, pace=2.5), 10.0)
    backend.record_sent(10.0)
    backend.demand = 3.0
    metadata = types.AnswerMetadata(
        "a", True, False, limit_per_s=2.0, leaving=True, backoff_s=9.0
    )
    backend.signals.apply(metadata, 9.0, 10.0)
    backend.begin_request()
    backend.unread_tokens += 700
    backend.record_unreachable(10.0)
    backend.heard_at = 10.0
    backend.full_until = math.inf
    backend.weights_incomplete = True
    backend.replaced = True
    backend.missing = True
    backend.missing_until = 11.0


def observed_state(backend):
    excluded = ("server", "pool", "_rng", "signals")
    state = {k: v for k, v in vars(backend).items() if k not in excluded}
    excluded = ("start", "limiter", "_log", "_counters", "_fleet_position")
    reported = vars(backend.signals).items()
    state |= {k: v for k, v in reported if k not in excluded}
    return state | {"limit": backend.signals.limiter.per_s}


@pytest.mark.parametrize(
    ("asked_at", "predicted_s", "expected_s"),
    [(10.0, 2.0, 2.0), (12.4, 2.0, 0.0), (13.0, 2.0, math.inf)],
)
def test_overdue_server_is_not_waited_for(asked_at, predicted_s, expected_s):
    """Guards against callers that wait for a server that never becomes ready.

    An agent predicted when its server would be ready, and froze. A predicted
    time in the past counted as now.
    """
    backends = new_fleet()
    listed(backends, server(1)).apply_report(
        report(ready_in_s=predicted_s), 10.0
    )
    balancer = balance.Balancer(
        backends,
        shared_types.Place("r1", "d1"),
        {},
        random.Random(1),
        lambda: asked_at,
    )
    assert balancer.ready_in_s("engine") == pytest.approx(expected_s)


def test_observations_of_one_start_do_not_apply_to_the_next():
    """Guards against skipping a restarted server or sending it unfit requests.

    The server crashed and was back at once with the same id and address. The
    entry kept the state of the previous start: failure rate, cooldown, reported
    version, requests in flight, and that it was missing from the list.
    """
    backends = new_fleet()
    former = listed(backends, server(1, held=HELD, sequence=40))
    observe_everything(former)
    present = listed(backends, server(2))
    fresh = listed(new_fleet(), server(2))
    assert observed_state(present) == observed_state(fresh)
    assert present.held_version(4) == 0
    assert present.pool is not former.pool


@pytest.mark.parametrize(
    ("started_ms", "taken", "over"),
    [(1, False, False), (2, True, False), (3, False, True), (0, True, False)],
)
def test_report_applies_to_its_own_start_only(started_ms, taken, over):
    """Guards against requests to a restarted server without any layers.

    The last report of the previous start arrived late and said that all layers
    are there. A report of a later start means that the listed one is over.
    """
    backends = new_fleet()
    backend = listed(backends, server(2))
    agent_report = report(started_ms=started_ms, version=2, whole=True)
    assert backends.match_report(agent_report, "127.0.0.2") is None
    assert (backends.match_report(agent_report, HOST) is backend) == taken
    assert backend.retired == over
    if over:
        assert not listed(backends, server(3)).retired


def test_report_carries_its_start():
    received = []
    listener = reports.Listener(
        "e", lambda host, received_report: received.append(received_report)
    )

    class Transport:
        def sendto(self, data, addr):
            listener.datagram_received(data, addr)

    async def play():
        reporter = reports.Reporter(lambda declared: None)
        reporter.connection_made(Transport())
        subscription = codec.encode(ttypes.Subscribe("e", {}, False))
        reporter.datagram_received(subscription, (HOST, 1))
        for started_ms in (0, 1_780_000_000_123, 1_780_000_000_124):
            reporter.send(report(started_ms=started_ms))

    clocks.run(play())
    assert [received_report.server_id for received_report in received] == [
        "a",
        "a",
        "a",
    ]
    assert [received_report.started_ms for received_report in received] == [
        0,
        1_780_000_000_123,
        1_780_000_000_124,
    ]


def test_leaving_server_stays_leaving_after_a_report():
    backends = new_fleet()
    backend = listed(backends, server(2, leaving=True))
    backends.match_report(report(started_ms=2), HOST).apply_report(
        report(started_ms=2), 1.0
    )
    assert backend.server.leaving
    assert backend.retired


def test_start_that_is_listed_again_is_still_leaving():
    backends = new_fleet()
    listed(backends, server(2, leaving=True, sequence=4))
    gone = topic_watch.Batch((topic_watch.Record("a", None),), 1)
    backends.apply(gone, False, 60.0)
    assert listed(backends, server(2, sequence=9)).retired
    assert not listed(backends, server(3, sequence=1)).retired


def test_start_without_a_start_time_is_identified_by_its_id():
    backends = new_fleet()
    backend = listed(backends, server(0, sequence=3))
    observe_everything(backend)
    assert listed(backends, server(0, sequence=4)) is backend
    assert listed(backends, server(5, sequence=5)) is backend
    assert listed(backends, server(0, sequence=6)) is backend
    assert listed(backends, server(6, sequence=1)) is not backend


def test_crashes_of_two_starts_of_a_server_count_twice():
    """Guards against a request that crashes the same server repeatedly.

    Crashes were counted by the server's id, so two starts of a server counted
    once.
    """

    class Request:
        method, target, host, body = "POST", "/a", "h", b"x"

    tracker = suspects.SuspectTracker()
    key = suspects.fingerprint(Request, "c")
    for started_ms in (1, 2):
        assert not tracker.is_refused(key, 1.0)
        tracker.record_crash(
            Request, "c", types.ServerStart("a", started_ms).text, 1.0
        )
    assert tracker.is_refused(key, 1.0)


def test_connections_of_an_ended_start_are_closed():
    """Guards against connections to ended starts that stay open forever.

    They were in use when the start ended and were returned to a pool that is no
    longer pruned.
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


def new_context(*servers, started_ms=0):
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
    state = agent_interfaces.ServerState((), False, 0, 0, 0, 1.0, started_ms)
    servers_by_id = {s.server_id: s for s in servers}
    return updater.Context(instance, servers=servers_by_id, state=state)


def new_server(server_id, started_ms):
    return types.Server(
        server_id, "engine", ADDRESS, "d1", 16, started_ms=started_ms
    )


@pytest.mark.parametrize(
    ("context", "start"),
    [
        (new_context(), types.ServerStart("")),
        (new_context(started_ms=4), types.ServerStart("", 0)),
        (new_context(new_server("a", 0)), types.ServerStart("a")),
        (
            new_context(new_server("a", 0), new_server("b", 0)),
            types.ServerStart("b"),
        ),
        (
            new_context(new_server("a", 4), new_server("b", 3)),
            types.ServerStart("a", 4),
        ),
        (
            new_context(new_server("a", 3), new_server("b", 4), started_ms=3),
            types.ServerStart("a", 3),
        ),
        (
            new_context(new_server("a", 3), started_ms=4),
            types.ServerStart("a", 4),
        ),
        (
            new_context(new_server("a", 0), started_ms=4),
            types.ServerStart("a", 4),
        ),
    ],
)
def test_agent_determines_the_current_start_of_its_server(context, start):
    """Guards against seconds without reports after a server has crashed.

    The previous start stays listed at the same address until its listing
    expires, and the agent continued to report under its id.
    """
    assert context.start == start


def test_an_order_is_not_given_to_another_start():
    """Guards against a load order sent to a start that it was not meant for.

    The server crashed while its agent compared the staged chunks. Neither start
    had accepted an order, so the number of orders did not distinguish them.
    """

    class LocalServer:
        loads = 0
        started_ms = 1

        async def state(self):
            return agent_interfaces.ServerState(
                (), False, 0, 0, 0, 1.0, self.started_ms
            )

        async def load(
            self, model, version, sequence, abort_running, expiry, layers=None
        ):
            self.loads += 1
            return True

    class Stager:
        async def stage(self, local_server, manifest, numbers):
            local_server.started_ms = 2
            clock = asyncio.get_running_loop().time
            return staging.Verification(
                clock(), 1, False, expiry.Expiry(clock() + 3.0, clock)
            )

    class Fetcher:
        manifest = None
        missing_fraction = 0.0
        stager = Stager()

        def holds_all(self, manifest):
            return True

    async def play():
        known = new_context(new_server("a", 1), started_ms=1)
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
