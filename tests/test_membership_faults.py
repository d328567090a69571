"""Tests membership under long packet loss and random sequences of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import membership_network
import pytest

from clementinegw.membership import parameters
from clementinegw.membership import view

MINUTE_S = 60
SETTLE_S = 60
# The time in which a process finds a living seed without faults.
JOIN_S = 0.5
# The time in which a probe that was sent during the faults is decided.
PROBE_S = (
    parameters.Parameters().probe_timeout_s
    + parameters.Parameters().confirm_timeout_s
)


@pytest.mark.parametrize("seed", range(3))
def test_no_false_death_in_ten_minutes_of_loss(seed):
    """Guards against a live member that is declared dead under packet loss.

    A ping, the indirect pings and the refutation are all lost. With 5% loss
    this happens if a suspicion is spread after a single failed probe.
    """
    network = membership_network.Network(seed=seed, sealed=False)
    for index in range(60):
        network.add(f"a{index}")
    assert network.run_until(network.converged, 30) is not None
    network.loss = 0.05
    network.counts.clear()
    network.run(10 * MINUTE_S)
    assert network.counts["membership.indirect_pings"] > 0
    assert network.counts["membership.dead"] == 0
    assert network.converged()


def test_processes_are_without_contact_only_if_none_was_told_of_the_other():
    """Guards against a state machine that lists processes without need."""
    network = membership_network.Network(seed=5, sealed=False)
    for index in range(6):
        network.add(f"a{index}")
    seeds = network.seeds(3)
    network.run(10)
    network.split({"a0", "a1", "a2"})
    network.run(10 * MINUTE_S)
    # A process that no seed has answered yet can still be found.
    network.add("a6", seeds=seeds)
    assert len(network.groups_without_contact()) == 1
    network.heal()
    network.run(10)
    for name in ("a0", "a1", "a2"):
        network.kill(name)
    network.run(MINUTE_S)
    network.add("a7", seeds=seeds)
    network.add("a8", seeds=network.seeds(1))
    groups = [
        {node.instance.instance_id for node in group}
        for group in network.groups_without_contact()
    ]
    assert sorted(groups, key=len) == [{"a7"}, {"a3", "a4", "a5", "a6", "a8"}]


class Faults(stateful.RuleBasedStateMachine):
    """Runs faults in any order; once they end, all views are correct."""

    def __init__(self):
        super().__init__()
        self.network = membership_network.Network(seed=5, sealed=False)
        self.started = 0
        self.left = set()
        for _ in range(5):
            self.start()
        self.seeds = self.network.seeds(5)
        # For each process, the time for which it could reach each of its seeds
        # without a break since its start.
        self.reachable_s = {
            node.instance.address: {} for node in self.network.nodes.values()
        }

    def start(self):
        name = f"a{self.started}"
        self.started += 1
        # The first five processes are in each instance file.
        seeds = self.network.seeds() if self.started <= 5 else self.seeds
        self.network.add(name, seeds=seeds)

    def pick(self, index):
        names = sorted(self.network.nodes)
        return names[index % len(names)]

    def advance(self, seconds):
        """Runs the network; a process must find a seed that it can reach."""
        nodes = list(self.network.nodes.values())
        for node in nodes:
            reachable = self.reachable_seeds(node)
            earlier = self.reachable_s.setdefault(
                node.instance.address, dict.fromkeys(reachable, 0.0)
            )
            self.reachable_s[node.instance.address] = {
                address: reachable_s + seconds
                for address, reachable_s in earlier.items()
                if address in reachable
            }
        self.network.run(seconds)
        for node in nodes:
            address = node.instance.address
            if max(self.reachable_s[address].values(), default=0.0) >= JOIN_S:
                assert address in self.network.reached

    def reachable_seeds(self, node):
        """Returns the addresses of the seeds that would answer a process."""
        if not node.running or self.network.loss:
            return set()
        seeds = {seed.address for seed in self.seeds}
        return {
            other.instance.address
            for name, other in self.network.nodes.items()
            if other.instance.address in seeds - {node.instance.address}
            and other.running
            and other.group == node.group
            and other.swim.member(name, self.network.now).state
            is view.MemberState.ALIVE
        }

    @stateful.rule()
    @stateful.precondition(lambda self: len(self.network.nodes) < 12)
    def add(self):
        self.start()

    @stateful.rule(index=strategies.integers(0, 11))
    @stateful.precondition(lambda self: len(self.network.nodes) > 3)
    def kill(self, index):
        self.network.kill(self.pick(index))

    @stateful.rule(index=strategies.integers(0, 11))
    def restart(self, index):
        name = self.pick(index)
        self.network.kill(name)
        # The new incarnation must differ from the old one, which counts
        # milliseconds.
        self.advance(0.1)
        self.network.add(name, seeds=self.seeds)

    @stateful.rule(index=strategies.integers(0, 11))
    def pause(self, index):
        self.network.pause(self.pick(index))

    @stateful.rule(index=strategies.integers(0, 11))
    def resume(self, index):
        self.network.resume(self.pick(index))

    @stateful.rule(index=strategies.integers(0, 11))
    @stateful.precondition(lambda self: len(self.network.nodes) > 3)
    def leave(self, index):
        name = self.pick(index)
        self.network.set_self(name, state=view.MemberState.LEFT)
        self.advance(0.2)
        self.network.kill(name)

    @stateful.rule(cut=strategies.integers(1, 11))
    def split(self, cut):
        names = sorted(self.network.nodes)
        self.network.split(set(names[: cut % len(names)]))

    @stateful.rule()
    def heal(self):
        self.network.heal()

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.05, 0.3]))
    def lose(self, loss):
        self.network.loss = loss

    @stateful.rule(seconds=strategies.sampled_from([0.3, 2.0, 7.0, 150.0]))
    def run(self, seconds):
        self.advance(seconds)

    def list_unreachable(self):
        """Lists one process of each group if nobody knows another group.

        The service reads the platform's list for this case. In all others the
        processes must find each other without it.
        """
        groups = self.network.groups_without_contact()
        hypothesis.event(f"groups without contact: {len(groups)}")
        if len(groups) == 1:
            return
        listed = [view.Seed(group[0].instance.address, "a") for group in groups]
        for node in self.network.nodes.values():
            node.swim.set_seeds([*self.seeds, *listed])

    def teardown(self):
        self.network.heal()
        self.network.loss = 0.0
        for name in list(self.network.nodes):
            if not self.network.nodes[name].running:
                self.network.resume(name)
        self.network.run(PROBE_S)
        self.list_unreachable()
        left_s = SETTLE_S - PROBE_S
        assert (
            self.network.run_until(self.network.converged, left_s) is not None
        )
        self.network.counts.clear()
        self.network.run(SETTLE_S)
        assert self.network.converged()
        assert self.network.counts["membership.suspected"] == 0


TestFaults = Faults.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    # Shrinking takes minutes here. Without it a failure is still reproducible
    # and prints its steps.
    phases=[hypothesis.Phase.generate],
)
