"""Tests membership under long packet loss and random sequences of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import membership_network
import pytest

from clementinegw.membership import view

MINUTE_S = 60
SETTLE_S = 60


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

    def start(self):
        name = f"a{self.started}"
        self.started += 1
        # The first five processes are in each instance file.
        seeds = self.network.seeds() if self.started <= 5 else self.seeds
        self.network.add(name, seeds=seeds)

    def pick(self, index):
        names = sorted(self.network.nodes)
        return names[index % len(names)]

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
        self.network.run(0.1)
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
        self.network.run(0.2)
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
        self.network.run(seconds)

    def teardown(self):
        self.network.heal()
        self.network.loss = 0.0
        for name in list(self.network.nodes):
            if not self.network.nodes[name].running:
                self.network.resume(name)
        assert (
            self.network.run_until(self.network.converged, SETTLE_S) is not None
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
