"""Tests the relay of observed rate limits between entries by the agent."""

import asyncio
import collections

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import backend as backends
from clementinegw.direct import rate_limit
from clementinegw.direct import reports
from clementinegw.direct import signals as signals_lib
from clementinegw.direct import types
from clementinegw.telemetry import counters
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

START = types.ServerStart("s1", 7)
NEXT_START = types.ServerStart("s1", 8)
NONE = types.AnswerMetadata("a", True, False)
LIMITED = types.AnswerMetadata("a", True, False, limit_per_s=2.0)


class Network:
    """Delivers datagrams between entries and one agent immediately."""

    def __init__(self):
        self.reporter = reports.Reporter(lambda declared: None)
        self.reporter.connection_made(self)
        self.received = collections.defaultdict(list)
        self.listeners = {}

    def listener(self, name):
        listener = reports.Listener(
            name, lambda host, report: self.received[name].append(report)
        )
        listener.connection_made(AgentTransport(self, name))
        self.listeners[name] = listener
        return listener

    def sendto(self, data, name):
        self.listeners[name].datagram_received(data, ("10.0.0.1", 1))

    def send_report(self, start=START):
        """Returns the limit in the report sent to each entry."""
        report = reports.Report(
            start.server_id, 1, 0, 8, "m", 1, True, started_ms=start.started_ms
        )
        self.reporter.send(report)
        return {
            name: received[-1].limit for name, received in self.received.items()
        }


class AgentTransport:
    """The transport of an entry's datagrams to the agent."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def sendto(self, data, addr):
        self._network.reporter.datagram_received(data, self._name)


def subscribe(listener, limit=None):
    subscription = reports.Subscription(False, False, limit)
    listener.subscribe(
        {shared_types.Address("10.0.0.1", 1): subscription},
        reports.DeclaredVersions({}, {}),
    )


def new_signals(start=START):
    return signals_lib.Signals(
        start,
        lambda: rate_limit.Position(0, 1),
        lambda: 0.0,
        logs.Log(),
        counters.Counters(),
    )


def test_limit_observed_by_one_entry_reaches_the_others():
    async def play():
        loop = asyncio.get_running_loop()
        network = Network()
        one, two = network.listener("one"), network.listener("two")
        subscribe(two)
        subscribe(one, rate_limit.Observation(START, 2.0, loop.time()))
        await asyncio.sleep(0.5)
        limits = network.send_report()
        subscribe(one, rate_limit.Observation(START, None, loop.time()))
        ended = network.send_report()
        await asyncio.sleep(11.0)
        subscribe(one)
        subscribe(two)
        return limits, ended, network.send_report(), loop.time()

    limits, ended, later, now = clocks.run(play())
    assert [limit.per_s for limit in limits.values()] == [2.0, 2.0]
    assert limits["two"].start == START
    assert limits["two"].at == pytest.approx(now - 11.5, abs=0.01)
    assert [limit.per_s for limit in ended.values()] == [None, None]
    assert set(later.values()) == {None}


def test_older_observations_and_those_of_another_start_are_ignored():
    async def play():
        loop = asyncio.get_running_loop()
        network = Network()
        one = network.listener("one")
        now = loop.time()
        subscribe(one, rate_limit.Observation(START, 2.0, now))
        subscribe(one, rate_limit.Observation(START, None, now - 1.0))
        kept = network.send_report()["one"].per_s
        return kept, network.send_report(NEXT_START)["one"]

    assert clocks.run(play()) == (2.0, None)


@pytest.mark.parametrize(
    "limit",
    [
        ttypes.Limit("s1", 7, 10, float("nan")),
        ttypes.Limit("s1", 7, 10, -1.0),
        ttypes.Limit("s1", 7, 10, float("inf")),
        ttypes.Limit("s1", None, 10, 2.0),
    ],
)
def test_malformed_limits_are_ignored(limit):
    async def play():
        network = Network()
        subscribe(network.listener("one"))
        message = ttypes.Subscribe("one", {}, False, None, limit)
        network.reporter.datagram_received(codec.encode(message), "one")
        return network.send_report()["one"]

    assert clocks.run(play()) is None


def test_newest_observation_of_any_entry_is_in_force():
    signals = new_signals()
    signals.apply(LIMITED, 9.0, 10.0)
    signals.apply_relayed(rate_limit.Observation(START, None, 9.5))
    assert signals.limiter.per_s == 2.0
    signals.apply_relayed(rate_limit.Observation(NEXT_START, None, 11.0))
    assert signals.limiter.per_s == 2.0
    signals.apply_relayed(rate_limit.Observation(START, None, 11.0))
    assert signals.limiter.per_s is None


def test_only_own_observations_are_relayed():
    """A relayed observation would seem newer at each relay and never expire."""
    signals = new_signals()
    signals.apply_relayed(rate_limit.Observation(START, 2.0, 10.0))
    assert signals.limiter.per_s == 2.0
    assert signals.recent_observation(10.1) is None
    signals.apply(NONE, 10.2, 10.4)
    assert signals.limiter.per_s is None
    assert signals.recent_observation(10.5) == rate_limit.Observation(
        START, None, 10.4
    )
    assert signals.recent_observation(60.0) is None


def test_position_outside_the_entries_is_ignored():
    """Guards against a division by zero caused by an invalid report."""
    signals = new_signals()
    backend = backends.Backend(None, None, None, signals)
    outside = reports.Report("s1", 0, 0, 1, rank=3, follower_rank=0, entries=2)
    backend._update_share = lambda report, readable_prompts: None
    backend.apply_report(outside, 1.0)
    assert (signals.position, signals.entry_position) == (None, None)


def test_entries_that_subscribe_again_are_not_ranked_among_few():
    """Guards against too large shares once a lost server is back.

    Its agent stayed up, and no entry was subscribed meanwhile.
    """

    async def play():
        network = Network()
        entry = network.listener("e1")
        ranks = []

        async def report_after(pause_s):
            subscribe(entry)
            await asyncio.sleep(pause_s)
            network.send_report()
            ranks.append(network.received["e1"][-1].rank)

        await report_after(0.1)
        await report_after(2.5)
        await asyncio.sleep(20.0)
        network.send_report()
        await report_after(0.1)
        await report_after(2.5)
        return ranks

    assert clocks.run(play()) == [-1, 0, -1, 0]
