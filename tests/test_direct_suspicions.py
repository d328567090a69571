"""Tests how entries and agents exchange suspicions in datagrams."""

import collections
import random

import suspects_entry

from clementinegw import types as shared_types
from clementinegw.direct import reports
from clementinegw.direct import suspects
from clementinegw.direct import suspicion_codec
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

ADDRESS = shared_types.Address("127.0.0.1", 9)


def subscription(entry, number, far):
    """Returns the datagram of an entry's subscription."""
    transport = Transport()
    listener = reports.Listener(f"e{number}", lambda host, report: None)
    listener.connection_made(transport)
    listener.subscribe(
        {ADDRESS: reports.Subscription(far)},
        reports.DeclaredVersions({}, {}),
        entry.local_suspicions(1.0),
    )
    return transport.sent[0][1]


def deliver(entry, data):
    """Delivers an agent's datagram to an entry."""
    listener = reports.Listener(
        "e",
        lambda host, report: None,
        on_suspicions=lambda suspicions: entry.merge(suspicions, 1.2),
    )
    listener.datagram_received(data, ("127.0.0.1",))


class Transport:
    """A transport that records what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, addr):
        self.sent.append((addr, data))


def test_entries_learn_of_crashes_from_subscriptions_and_reports():
    """A request was sent to one entry after the other and crashed servers.

    Two entries see one crash each. The agent that all subscribe to combines the
    crashes and reports them, also to a distant entry that gets few reports.
    """

    async def play():
        entries = [
            suspects_entry.Entry(0.0),
            suspects_entry.Entry(0.0),
            suspects_entry.Entry(0.0),
        ]
        tracker = suspects.SuspectTracker()
        reporter = reports.Reporter(
            lambda declared: None,
            on_suspicions=lambda suspicions: tracker.merge(suspicions, 1.0),
        )
        transport = Transport()
        reporter.connection_made(transport)
        for number, entry in enumerate(entries):
            if number < 2:
                entry.record_crash(b"bad", f"i-{number}", 0.5)
                entry.record_crash(b"beside %d" % number, f"i-{number}", 0.5)
            data = subscription(entry, number, far=number == 2)
            reporter.datagram_received(data, (number,))
        report = reports.Report("i-9", 1, 0, 16)
        for _ in range(2):
            reporter.send(report)
        plain_bytes = len(transport.sent[0][1])
        transport.sent.clear()
        reporter.send(report, tracker.confirmed_suspicions(1.1))
        for (number,), data in transport.sent:
            deliver(entries[number], data)
        bad = [entry.is_refused(b"bad", 1.3) for entry in entries]
        beside = [entry.is_refused(b"beside 0", 1.3) for entry in entries]
        return bad, beside, len(transport.sent[0][1]) - plain_bytes

    bad, beside, added_bytes = clocks.run(play())
    assert bad == [True] * 3
    assert beside == [False] * 3
    assert added_bytes < 64


def test_a_datagram_without_suspicions_is_not_longer():
    bare = ttypes.Subscribe("e", {}, False)
    none = ttypes.Subscribe(
        "e", {}, False, suspicions=suspicion_codec.to_wire(())
    )
    assert codec.encode(none) == codec.encode(bare)
    largest = suspects.Suspicion(
        b"f" * 16, (suspects.Crash(b"s" * 8, 59.9),) * 4, 59.9
    )
    full = suspicion_codec.to_wire((largest,) * suspects.MAX_SUSPICIONS)
    data = codec.encode(ttypes.Subscribe("e", {}, False, suspicions=full))
    assert len(data) < 1_200
    decoded = suspicion_codec.from_wire(
        codec.decode(ttypes.Subscribe, data).suspicions
    )
    assert decoded == (largest,) * suspects.MAX_SUSPICIONS


def test_incomplete_and_excess_suspicions_are_left_out():
    crash = ttypes.Crash(None, 5)
    items = [
        ttypes.Suspicion(None, [], None),
        ttypes.Suspicion(b"f" * 16, None, None),
        ttypes.Suspicion(b"f" * 16, [crash], None),
        *[ttypes.Suspicion(b"f" * 16, [], None)] * 100,
    ]
    decoded = suspicion_codec.from_wire(items)
    assert len(decoded) == suspects.MAX_SUSPICIONS - 2
    assert {suspicion.crashes for suspicion in decoded} == {()}


def relayed(agents, entries, relays, far=False):
    """Returns how many datagrams each entry gets of one agent.

    Args:
      agents: How many agents the fleet has.
      entries: How many entries have subscribed.
      relays: How often the agent passes suspicions on.
      far: Whether the entries are in another region.
    """

    async def play():
        reporter = reports.Reporter(
            lambda declared: None,
            agent_count=lambda: agents,
            rng=random.Random(1),
        )
        transport = Transport()
        reporter.connection_made(transport)
        for number in range(entries):
            data = subscription(suspects_entry.Entry(0.0), number, far)
            reporter.datagram_received(data, (number,))
        # The first report is due to all.
        reporter.send(reports.Report("i-9", 1, 0, 16))
        transport.sent.clear()
        crash = suspects.Crash(b"s" * 8, 1.0)
        for _ in range(relays):
            reporter.relay((suspects.Suspicion(b"f" * 16, (crash,)),))
        counts = collections.Counter(addr for addr, _ in transport.sent)
        return [counts[(number,)] for number in range(entries)]

    return clocks.run(play())


def test_suspicions_travel_while_an_agents_server_is_down():
    """They travelled in reports on the server, which had crashed."""
    assert relayed(agents=4, entries=8, relays=1) == [1] * 8


def test_an_entry_hears_of_suspicions_from_a_few_agents():
    """Told by all of 48 agents, 99 entries would get as much as reports."""
    counts = relayed(agents=48, entries=99, relays=400)
    assert all(20 < count < 80 for count in counts)
    counts = relayed(agents=48, entries=99, relays=400, far=True)
    assert all(1 < count < 30 for count in counts)
