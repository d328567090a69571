"""What an agent tells entries of itself, and what they take from it."""

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
_CLASSES = {
    Kind.AGENT_STATUS: ttypes.AgentStatus,
    Kind.AGENT_LOAD: ttypes.AgentLoad,
}


class _Entry:
    """Stands for a connection to an entry, and for the endpoint with it."""

    def __init__(self):
        self.identity = connection_lib.Identity(
            "agent-1", types.Role.AGENT, types.Place("noord", "hal"), 7
        )
        self.peer = connection_lib.Identity(
            "entry-1", types.Role.ENTRY, types.Place("noord", "hal"), 1
        )
        self.heard = []

    def connections(self):
        return [self]

    def notify(self, kind, body):
        self.heard.append((kind, codec.decode(_CLASSES[kind], body)))


class _Agent:
    """A monitor before a gate that is ready, at a time set by hand."""

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
        self.tell()

    def submit(self, name):
        attempt = gate_types.Attempt(
            gate_types.AttemptId(name, 1), 1e6, fingerprint=name.encode()
        )
        self.gate.submit(attempt, self.time)

    def tell(self, after_s=0.0):
        """Returns what the entry hears when told after some seconds."""
        self.time += after_s
        self.entry.heard.clear()
        self.monitor.push_changes()
        return list(self.entry.heard)


def test_load_alone_is_told_without_the_rest():
    agent = _Agent()
    assert agent.tell(0.5) == []
    agent.submit("r1")
    agent.backend_state.prefixes = [11, 12]
    ((kind, load),) = agent.tell(0.5)
    assert kind is Kind.AGENT_LOAD
    assert (load.incarnation, load.in_flight, load.queued) == (7, 1, 0)
    assert sorted(load.prefixes) == [11, 12]
    assert load.prefixes_gone is None
    agent.backend_state.prefixes = [12]
    ((kind, load),) = agent.tell(0.5)
    assert (kind, load.prefixes_gone) == (Kind.AGENT_LOAD, [11])


def test_load_that_always_changes_sends_whole_statuses_seldom():
    """Symptom: status notices take twice what there is for all control.

    Sequence: at the peak the load differs at each look. Cause: the whole status
    is sent for two numbers.
    """
    agent = _Agent()
    kinds = []
    for number in range(50):
        agent.submit(f"r{number}")
        kinds += [kind for kind, _ in agent.tell(0.5)]
    # 25 s: one status each 2.5 s, one load notice at each other look.
    assert kinds.count(Kind.AGENT_STATUS) == 10
    assert kinds.count(Kind.AGENT_LOAD) <= 40


def test_state_is_told_whole_at_once():
    agent = _Agent()
    agent.gate.on_stall(agent.time)
    ((kind, status),) = agent.tell()
    assert (kind, status.ready) == (Kind.AGENT_STATUS, False)
    agent.gate.on_loaded(agent.time)
    ((kind, status),) = agent.tell()
    assert (kind, status.ready) == (Kind.AGENT_STATUS, True)
    agent.gate.set_capacity(3)
    ((kind, status),) = agent.tell()
    assert (kind, status.capacity) == (Kind.AGENT_STATUS, 3)
    agent.backend_state.version = "v2"
    ((kind, status),) = agent.tell()
    assert (kind, status.version) == (Kind.AGENT_STATUS, "v2")
    agent.gate.leave(agent.time)
    ((kind, status),) = agent.tell()
    assert (kind, status.leaving) == (Kind.AGENT_STATUS, True)


def test_load_of_another_incarnation_is_ignored():
    """Symptom: an idle agent gets no work, a full one gets too much.

    Sequence: an agent is replaced at its address, and a load notice comes that
    its predecessor sent. Cause: notices told apart by the agent's name alone.
    """

    async def test(clock, loop):
        agents = await script.start_agents([])
        service, _ = await script.start_entry(clock, agents)
        dispatcher = service.fleet.dispatchers()["s"]
        worker = dispatcher.workers.get("a0")
        (link,) = agents[0].endpoint.connections()

        async def tell(incarnation, in_flight, prefix):
            notice = ttypes.AgentLoad(incarnation, in_flight, 2, [prefix])
            link.notify(Kind.AGENT_LOAD, codec.encode(notice))
            await asyncio.sleep(0.1)

        known = agents[0].incarnation
        await tell(known, 5, 11)
        assert worker.other_requests == 7
        assert dispatcher.index.matches([11], clock.now()) == {"a0": 1}
        for other in (known - 1, known + 1):
            await tell(other, 30, 12)
            assert worker.other_requests == 7
            assert dispatcher.index.matches([12], clock.now()) == {}

    script.run(test)
