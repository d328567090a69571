"""Tests which status and load notices agents send, and how entries use them."""

import asyncio
import types as builtin_types

import requests_script as script

from clementinegw import types
from clementinegw.gate import _context
from clementinegw.gate import _monitor
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import types as gate_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
_MESSAGE_CLASSES = {
    Kind.AGENT_STATUS: ttypes.AgentStatus,
    Kind.AGENT_LOAD: ttypes.AgentLoad,
}


class _Entry:
    """A fake endpoint that is also its only connection, to an entry."""

    def __init__(self):
        self.identity = connection_lib.Identity(
            "agent-1", types.Role.AGENT, types.Place("noord", "hal"), 7
        )
        self.peer = connection_lib.Identity(
            "entry-1", types.Role.ENTRY, types.Place("noord", "hal"), 1
        )
        self.received = []

    def connections(self):
        return [self]

    def notify(self, kind, body):
        self.received.append((kind, codec.decode(_MESSAGE_CLASSES[kind], body)))


class _Agent:
    """A monitor with a gate that is ready and a simulated clock."""

    def __init__(self):
        self.time = 100.0
        self.entry = _Entry()
        self.backend_state = _context.BackendState(version="v1")
        self.gate = gate_lib.Gate(gate_types.Limits(), 7, ready=True)
        clock = builtin_types.SimpleNamespace(now=lambda: self.time)
        context = _context.Context(
            self.gate,
            None,
            self.backend_state,
            _context.Timing(),
            clock,
            logs.Log(),
            counters_lib.Counters(),
            lambda actions: None,
        )
        self.monitor = _monitor.Monitor(self.entry, "s", context)
        self.push_changes()

    def submit(self, name):
        attempt = gate_types.Attempt(
            gate_types.AttemptId(name, 1), 1e6, fingerprint=name.encode()
        )
        self.gate.submit(attempt, self.time)

    def push_changes(self, after_s=0.0):
        """Returns the notices that the entry gets after some seconds."""
        self.time += after_s
        self.entry.received.clear()
        self.monitor.push_changes()
        return list(self.entry.received)


def test_change_of_load_is_sent_without_the_status():
    agent = _Agent()
    assert agent.push_changes(0.5) == []
    agent.submit("r1")
    agent.backend_state.prefixes = [11, 12]
    ((kind, load),) = agent.push_changes(0.5)
    assert kind is Kind.AGENT_LOAD
    assert (load.incarnation, load.in_flight, load.queued) == (7, 1, 0)
    assert sorted(load.prefixes) == [11, 12]
    assert load.prefixes_gone is None
    agent.backend_state.prefixes = [12]
    ((kind, load),) = agent.push_changes(0.5)
    assert (kind, load.prefixes_gone) == (Kind.AGENT_LOAD, [11])


def test_status_is_sent_rarely_while_the_load_changes():
    """Guards against status notices exceeding the bandwidth for all control.

    At the peak, the load differs at each check. A status for each change would
    send the full status for two numbers, twice the bandwidth available.
    """
    agent = _Agent()
    kinds = []
    for number in range(50):
        agent.submit(f"r{number}")
        kinds += [kind for kind, _ in agent.push_changes(0.5)]
    # 25 s: one status every 2.5 s, one load notice at each other check.
    assert kinds.count(Kind.AGENT_STATUS) == 10
    assert kinds.count(Kind.AGENT_LOAD) <= 40


def test_change_of_state_is_sent_as_a_status_at_once():
    agent = _Agent()
    agent.gate.on_stall(agent.time)
    ((kind, status),) = agent.push_changes()
    assert (kind, status.ready) == (Kind.AGENT_STATUS, False)
    agent.gate.on_loaded(agent.time)
    ((kind, status),) = agent.push_changes()
    assert (kind, status.ready) == (Kind.AGENT_STATUS, True)
    agent.gate.set_capacity(3)
    ((kind, status),) = agent.push_changes()
    assert (kind, status.capacity) == (Kind.AGENT_STATUS, 3)
    agent.backend_state.version = "v2"
    ((kind, status),) = agent.push_changes()
    assert (kind, status.version) == (Kind.AGENT_STATUS, "v2")
    agent.gate.leave(agent.time)
    ((kind, status),) = agent.push_changes()
    assert (kind, status.leaving) == (Kind.AGENT_STATUS, True)


def test_load_of_another_incarnation_is_ignored():
    """Guards against requests routed by the load of a replaced agent.

    An agent is replaced at its address, and a load notice arrives that its
    predecessor sent. Notices must be distinguished by incarnation, too.
    Otherwise an idle agent gets no work, or a full one too much.
    """

    async def test(clock, loop):
        agents = await script.start_agents([])
        service, _ = await script.start_entry(clock, agents)
        dispatcher = service.fleet.dispatchers()["s"]
        worker = dispatcher.workers.get("a0")
        (link,) = agents[0].endpoint.connections()

        async def send_load(incarnation, in_flight, prefix):
            notice = ttypes.AgentLoad(incarnation, in_flight, 2, [prefix])
            link.notify(Kind.AGENT_LOAD, codec.encode(notice))
            await asyncio.sleep(0.1)

        known = agents[0].incarnation
        await send_load(known, 5, 11)
        assert worker.other_requests == 7
        assert dispatcher.index.matches([11], clock.now()) == {"a0": 1}
        for other in (known - 1, known + 1):
            await send_load(other, 30, 12)
            assert worker.other_requests == 7
            assert dispatcher.index.matches([12], clock.now()) == {}

    script.run(test)
