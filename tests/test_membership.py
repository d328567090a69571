"""Membership in virtual time: detection, refutation, partitions, pauses."""

import membership_network
import pytest

from clementinegw import types
from clementinegw.membership import view

ENTRY = types.Role.ENTRY


def joined_network(size, seed=1, loss=0.0, domains=("a",)):
    """A network whose processes know each other."""
    network = membership_network.Network(seed=seed)
    for domain in domains:
        for index in range(size):
            role = ENTRY if index < 3 else types.Role.AGENT
            network.add(f"{domain}{index}", domain, role)
    joined = network.run_until(
        lambda: all(network.converged(d) for d in domains), 60
    )
    assert joined is not None
    network.run(10)
    network.loss = loss
    return network


def is_gone(network, name):
    return all(
        state in (None, view.MemberState.DEAD, view.MemberState.LEFT)
        for state in network.states(name)
    )


@pytest.mark.parametrize("seed", range(5))
def test_dead_member_is_detected_within_five_seconds(seed):
    network = joined_network(40, seed=seed, loss=0.05)
    network.kill("a7")
    seconds = network.run_until(lambda: is_gone(network, "a7"), 10)
    assert seconds <= 5.0


def test_neighbours_that_die_together_are_detected_in_time():
    # Symptom: the second of two dead neighbours is found late. Sequence: a
    # member and its predecessor on the ring die at once. Cause: the member
    # was probed by the dead predecessor only.
    network = joined_network(30)
    ring = network.nodes["a0"].swim._core.table.domain("a").ring
    victims = [instance_id for _, instance_id in ring[5:8]]
    for name in victims:
        network.kill(name)
    seconds = network.run_until(
        lambda: all(is_gone(network, name) for name in victims), 12
    )
    assert seconds <= 8.0


def test_leaving_goes_out_at_once():
    network = joined_network(60)
    network.set_self("a9", state=view.MemberState.LEAVING)
    seconds = network.run_until(
        lambda: set(network.states("a9")) == {view.MemberState.LEAVING}, 5
    )
    assert seconds <= 1.0
    network.set_self("a9", state=view.MemberState.LEFT)
    network.run(1)
    network.kill("a9")
    assert is_gone(network, "a9")


def test_paused_process_that_wakes_is_not_believed_until_it_refutes():
    # Symptom: a process that was stopped for ten seconds declares its peers
    # dead when it wakes, and is itself used as if nothing had happened.
    # Sequence: stop, peers declare it dead, wake with unread datagrams and
    # probes that all ran out. Cause: timers that ran while the process did not.
    network = joined_network(20)
    network.pause("a5")
    network.run(10)
    assert is_gone(network, "a5")
    incarnation = network.nodes["a5"].swim.incarnation
    network.counts.clear()
    network.resume("a5")
    assert not network.nodes["a5"].swim.settled
    assert network.run_until(network.converged, 10) is not None
    assert network.nodes["a5"].swim.settled
    assert network.nodes["a5"].swim.incarnation > incarnation
    assert network.counts["membership.dead"] == 0


@pytest.mark.parametrize("lasted_s", [20, 300])
def test_healed_partition_converges_without_a_storm(lasted_s):
    # Symptom: after a cut both halves go on apart, or bury each other's living
    # and flap. Sequence: a failure domain splits in two, each half declares
    # the other dead, perhaps forgets it, the cut ends. Cause: nobody probes
    # the dead; or the first exchange after the cut spreads who was held dead.
    network = joined_network(30)
    half = {f"a{index}" for index in range(15)}
    network.split(half)
    network.run(lasted_s)
    assert not network.converged()
    network.heal()
    network.counts.clear()
    network.datagrams.clear()
    assert network.run_until(network.converged, 30) is not None
    seconds = 30
    network.run(seconds)
    assert network.converged()
    assert network.counts["membership.dead"] == 0
    assert max(network.datagrams.values()) <= 30 * 2 * seconds


def test_restart_of_everything_at_once():
    network = joined_network(30)
    seeds = network.seeds(5)
    names = list(network.nodes)
    for name in names:
        network.kill(name)
    network.run(3)
    for name in names:
        network.add(name, seeds=[])
    addresses = network.seeds(3)
    for node in network.nodes.values():
        node.swim.set_seeds([*seeds, *addresses])
    assert network.run_until(network.converged, 20) is not None


def test_restarted_process_replaces_its_former_life():
    network = joined_network(20)
    network.kill("a4")
    network.run(0.5)
    network.add("a4")
    assert network.run_until(network.converged, 10) is not None


@pytest.mark.parametrize("down_s", [0.9, 1.2, 1.5])
def test_silence_of_a_former_life_is_not_held_against_the_new_one(down_s):
    # Symptom: a process that just started is suspected. Sequence: it is
    # killed and starts again at another address, its peers hear of it while
    # their pings to the old address still wait. Cause: an unanswered ping was
    # charged to the id, whichever incarnation it had gone to.
    network = joined_network(6)
    network.kill("a4")
    network.run(down_s)
    address = network.add("a4").instance.address
    suspected = []
    for _ in range(100):
        network.run(0.1)
        for node in network.nodes.values():
            member = node.swim.member("a4", network.now)
            if member.instance.address == address:
                suspected.append(member.state is view.MemberState.SUSPECT)
    assert suspected
    assert not any(suspected)


def test_failure_domains_know_each_other_through_bridges():
    network = joined_network(12, domains=("a", "b"))
    entry = network.nodes["a0"]
    agent = network.nodes["a5"]
    seconds = network.run_until(lambda: len(network.seen(entry, "b")) == 12, 30)
    assert seconds is not None
    network.run(5)
    assert len(network.seen(entry, "b")) == 12
    assert network.seen(agent, "b") == set()
    (domain,) = entry.swim.domains(network.now)
    assert domain.reachable
    assert domain.services["assistent"].agents == 9


def test_unreachable_failure_domain_becomes_suspect_and_comes_back():
    network = joined_network(12, domains=("a", "b"))
    entry = network.nodes["a0"]
    network.run_until(lambda: len(network.seen(entry, "b")) == 12, 30)
    network.split({n for n in network.nodes if n.startswith("a")})
    network.run(15)
    assert network.seen(entry, "b") == set()
    assert network.converged("a")
    network.heal()
    seconds = network.run_until(lambda: len(network.seen(entry, "b")) == 12, 30)
    assert seconds is not None


def test_failure_domain_of_unknown_members_harms_nobody():
    # Symptom: a bridge stops with an error. Sequence: it hears of a failure
    # domain, and the answer with that domain's members is still on its way
    # when its next probe of that domain is due. Cause: the target was drawn
    # from an empty list.
    network = joined_network(4)
    for node in network.nodes.values():
        node.swim._core.table.domain("b", "region-b")
    network.run(5)
    assert network.converged("a")


def test_version_and_revision_spread():
    network = joined_network(30)
    network.set_self("a8", version="v2", settings_revision=17, load=0.5)
    network.run(10)
    for node in network.nodes.values():
        member = node.swim.member("a8", network.now)
        assert member.version == "v2"
        assert node.swim.newest_revision == 17


def test_replayed_datagrams_change_nothing():
    # Symptom: a dead member seems alive again. Sequence: all datagrams are
    # recorded, a member dies and is forgotten, the recording is sent again.
    # Cause: the proof of the key in an old datagram is still valid.
    network = joined_network(8)
    network.recorded = []
    network.run(5)
    recording = network.recorded
    network.recorded = None
    victim = network.nodes["a3"].instance.address
    network.kill("a3")
    network.run(200)
    assert is_gone(network, "a3")
    del network.by_address[victim]
    for _, address, data in recording:
        receiver = network.by_address.get(address)
        if receiver in network.nodes:
            network.inject(receiver, data, victim)
    assert is_gone(network, "a3")
    network.run(10)
    assert is_gone(network, "a3")
    assert network.converged()
    assert network.counts["membership.refused.replayed"] > 0
