"""What entries and agents tell each other of requests that crash servers."""

import suspects_entry

from clementinegw import types as shared_types
from clementinegw.direct import reports
from clementinegw.direct import suspects
from clementinegw.direct import suspicion_codec
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

ADDRESS = shared_types.Address("127.0.0.1", 9)


def subscribed(entry, number, far):
    """Returns an entry's subscription as it is sent."""
    wire = Wire()
    listener = reports.Listener(f"e{number}", lambda host, report: None)
    listener.connection_made(wire)
    listener.subscribe(
        {ADDRESS: reports.Subscription(far)},
        reports.DeclaredVersions({}, {}),
        entry.local_suspicions(1.0),
    )
    return wire.sent[0][1]


def heard(entry, data):
    """Hands an agent's datagram to an entry."""
    listener = reports.Listener(
        "e",
        lambda host, report: None,
        on_suspicions=lambda found: entry.merge(found, 1.2),
    )
    listener.datagram_received(data, ("127.0.0.1",))


class Wire:
    """A transport that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, addr):
        self.sent.append((addr, data))


def test_entries_learn_of_each_others_crashes_by_the_datagrams_that_go_anyway():
    """A request came to one entry after the other, and crashed servers at each.

    Two entries saw one crash each; the agent that both ask for reports puts
    them together and tells a third one, far away, which gets few reports.
    """

    async def play():
        entries = [
            suspects_entry.Entry(0.0),
            suspects_entry.Entry(0.0),
            suspects_entry.Entry(0.0),
        ]
        hub = suspects.SuspectTracker()
        reporter = reports.Reporter(
            lambda declared: None,
            on_suspicions=lambda found: hub.merge(found, 1.0),
        )
        agent = Wire()
        reporter.connection_made(agent)
        for number, entry in enumerate(entries):
            if number < 2:
                entry.record_crash(b"bad", f"i-{number}", 0.5)
                entry.record_crash(b"beside %d" % number, f"i-{number}", 0.5)
            data = subscribed(entry, number, far=number == 2)
            reporter.datagram_received(data, (number,))
        report = reports.Report("i-9", 1, 0, 16)
        for _ in range(2):
            reporter.send(report)
        plain = len(agent.sent[0][1])
        agent.sent.clear()
        reporter.send(report, hub.confirmed_suspicions(1.1))
        for (number,), data in agent.sent:
            heard(entries[number], data)
        bad = [entry.is_refused(b"bad", 1.3) for entry in entries]
        beside = [entry.is_refused(b"beside 0", 1.3) for entry in entries]
        return bad, beside, len(agent.sent[0][1]) - plain

    bad, beside, more_bytes = clocks.run(play())
    assert bad == [True] * 3
    assert beside == [False] * 3
    assert more_bytes < 64


def test_a_datagram_without_suspicions_takes_no_byte_more():
    bare = ttypes.Subscribe("e", {}, False)
    none = ttypes.Subscribe(
        "e", {}, False, suspicions=suspicion_codec.to_wire(())
    )
    assert codec.encode(none) == codec.encode(bare)
    most = suspects.Suspicion(
        b"f" * 16, (suspects.Crash(b"s" * 8, 59.9),) * 4, 59.9
    )
    full = suspicion_codec.to_wire((most,) * suspects.MAX_SUSPICIONS)
    data = codec.encode(ttypes.Subscribe("e", {}, False, suspicions=full))
    assert len(data) < 1_200
    found = suspicion_codec.from_wire(
        codec.decode(ttypes.Subscribe, data).suspicions
    )
    assert found == (most,) * suspects.MAX_SUSPICIONS


def test_what_lacks_a_field_or_is_too_many_is_left_out():
    crash = ttypes.Crash(None, 5)
    found = [
        ttypes.Suspicion(None, [], None),
        ttypes.Suspicion(b"f" * 16, None, None),
        ttypes.Suspicion(b"f" * 16, [crash], None),
        *[ttypes.Suspicion(b"f" * 16, [], None)] * 100,
    ]
    taken = suspicion_codec.from_wire(found)
    assert len(taken) == suspects.MAX_SUSPICIONS - 2
    assert {one.crashes for one in taken} == {()}
