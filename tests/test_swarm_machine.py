"""The exchange of chunks under arbitrary orders of events and faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import swarm_network

from clementinegw.weights import swarm

VERSIONS = {
    "v1": swarm_network.chunks_of(6, "a"),
    "v2": swarm_network.chunks_of(3, "a") + swarm_network.chunks_of(3, "b"),
    "v3": swarm_network.chunks_of(6, "c"),
}
AGENTS = 6
NAMES = [f"a{number:03}" for number in range(AGENTS)]


def limits_with_fewer_slots(net):
    return net.default_limits(outstanding=2, upload_slots=1)


class Exchange(stateful.RuleBasedStateMachine):
    """Agents that die, stall, corrupt chunks and change target at any time."""

    @stateful.initialize(domains=st.sampled_from([1, 2, 3]), seed=st.integers())
    def begin(self, domains, seed):
        self.net = swarm_network.Network(
            AGENTS, domains, VERSIONS["v1"], limits_with_fewer_slots, seed=seed
        )
        self.version = "v1"
        self.net.set_target("v1", VERSIONS["v1"])

    @stateful.rule(chunk_times=st.floats(0.05, 8.0))
    def pass_time(self, chunk_times):
        self.net.run(self.net.now + chunk_times * self.net.chunk_s)

    @stateful.rule(name=st.sampled_from(NAMES))
    def replace(self, name):
        replacement = self.net.replace(name)
        self.net.set_target(self.version, VERSIONS[self.version], [replacement])

    @stateful.rule(name=st.sampled_from(NAMES), stalled=st.booleans())
    def stall(self, name, stalled):
        self.net.agents[name].stalled = stalled

    @stateful.rule(name=st.sampled_from(NAMES), corrupts=st.booleans())
    def corrupt(self, name, corrupts):
        self.net.agents[name].corrupts = corrupts

    @stateful.rule(partitioned=st.booleans())
    def cut(self, partitioned):
        self.net.set_partitioned("d0", partitioned)

    @stateful.rule(is_down=st.booleans())
    def origin(self, is_down):
        self.net.origin_down = is_down

    @stateful.rule(version=st.sampled_from(sorted(VERSIONS)))
    def change(self, version):
        self.version = version
        self.net.set_target(version, VERSIONS[version])

    @stateful.invariant()
    def requests_and_uploads_are_bounded(self):
        limits = self.net.limits
        for agent in self.net.agents.values():
            bound = limits.outstanding + limits.draws
            assert agent.swarm.outstanding <= bound
            assert agent.swarm.serving <= limits.upload_slots

    @stateful.invariant()
    def held_chunks_are_verified(self):
        for agent in self.net.agents.values():
            assert agent.swarm.have == agent.verified_bits()

    @stateful.invariant()
    def counts_of_holders_match_advertisements(self):
        for agent in self.net.agents.values():
            peers = agent.swarm.peers
            for index, count in enumerate(peers.holders):
                advertised = sum(p.bits >> index & 1 for p in peers.all())
                assert count == advertised

    def teardown(self):
        """Checks that every agent completes once all faults have ended."""
        if not hasattr(self, "net"):
            return
        net = self.net
        net.origin_down = False
        net.set_partitioned("d0", False)
        for agent in net.agents.values():
            agent.stalled = agent.corrupts = False
        until = net.now + 500 * net.chunk_s
        net.run(until, lambda: all_complete(net))
        assert all_complete(net), [
            (name, bin(agent.swarm.have)) for name, agent in net.agents.items()
        ]


def all_complete(net):
    return all(agent.swarm.complete for agent in net.agents.values())


Exchange.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestExchange = Exchange.TestCase


def test_refusal_contains_a_retry_delay():
    net = swarm_network.Network(2, 1, VERSIONS["v1"], limits_with_fewer_slots)
    holder = net.agents["a000"]
    net.set_target("v1", VERSIONS["v1"], [holder])
    full = swarm.TargetSet("v3", VERSIONS["v3"], b"\x3f")
    net.dispatch(holder, full)
    first = holder.swarm.handle(swarm.ChunkRequested("x", "v3", 0), net.now)
    assert first == [swarm.Serve("x", "v3", 0)]
    (refusal,) = holder.swarm.handle(
        swarm.ChunkRequested("y", "v3", 0), net.now
    )
    assert refusal.reason is swarm.RefuseReason.BUSY
    assert 0 < refusal.retry_after_s <= 2 * net.chunk_s
    (refusal,) = holder.swarm.handle(
        swarm.ChunkRequested("y", "v1", 0), net.now
    )
    assert refusal.reason is swarm.RefuseReason.OTHER_TARGET
    (refusal,) = holder.swarm.handle(
        swarm.ChunkRequested("y", "v3", 99), net.now
    )
    assert refusal.reason is swarm.RefuseReason.NOT_HELD
