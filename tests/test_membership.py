"""Tests detection, refutation, partitions and pauses in virtual time."""

import membership_network
import pytest

from clementinegw import types
from clementinegw.membership import view

ENTRY = types.Role.ENTRY


def joined_network(size, seed=1, loss=0.0, domains=("a",)):
    """Returns a network whose processes know each other."""
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
    """Guards against late detection of a member whose predecessor died too.

    If a member is probed only by its predecessor on the ring and both die, no
    regular probe reaches it.
    """
    network = joined_network(30)
    ring = network.nodes["a0"].swim._core.table.domain("a").ring
    killed = [instance_id for _, instance_id in ring[5:8]]
    for name in killed:
        network.kill(name)
    seconds = network.run_until(
        lambda: all(is_gone(network, name) for name in killed), 12
    )
    assert seconds <= 8.0


def test_leaving_is_pushed_immediately():
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


def test_resumed_process_is_not_alive_until_it_refutes():
    """Guards against timers that count the time of a pause.

    A process resumes after ten seconds with unread datagrams and expired
    probes, while its peers have declared it dead. It must not declare them
    dead, and must refute its own death before it is used again.
    """
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
def test_views_converge_without_flapping_after_a_partition(lasted_s):
    """Guards against halves that stay apart or flap after a partition.

    During the partition each half declares the other dead, and after 300 s has
    dropped it. The halves stay apart if no member probes dead ones. Live
    members flap if the first exchange spreads which members were dead.
    """
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


def test_views_converge_after_all_processes_restart_together():
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


def test_restarted_process_replaces_its_earlier_incarnation():
    network = joined_network(20)
    network.kill("a4")
    network.run(0.5)
    network.add("a4")
    assert network.run_until(network.converged, 10) is not None


@pytest.mark.parametrize("down_s", [0.9, 1.2, 1.5])
def test_failed_pings_of_an_old_incarnation_do_not_count_for_the_new_one(
    down_s,
):
    """Guards against suspicion of a process that has just restarted.

    It restarts at another address while pings to its old address are open.
    Their failure must not count against the new incarnation.
    """
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


def test_unreachable_failure_domain_becomes_suspect_and_recovers():
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


def test_failure_domain_without_known_members_causes_no_error():
    """Guards against a bridge that chooses a target from an empty list.

    It has received the name of a failure domain but not yet its members when
    the next probe of that domain is due.
    """
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
    """Guards against replayed datagrams that make a dead member seem alive.

    All datagrams are recorded and sent again after a member died and its
    tombstone was dropped. Their proofs of the key are still valid.
    """
    network = joined_network(8)
    network.recorded = []
    network.run(5)
    recording = network.recorded
    network.recorded = None
    address_of_dead = network.nodes["a3"].instance.address
    network.kill("a3")
    network.run(200)
    assert is_gone(network, "a3")
    del network.by_address[address_of_dead]
    for _, address, data in recording:
        receiver = network.by_address.get(address)
        if receiver in network.nodes:
            network.inject(receiver, data, address_of_dead)
    assert is_gone(network, "a3")
    network.run(10)
    assert is_gone(network, "a3")
    assert network.converged()
    assert network.counts["membership.refused.replayed"] > 0
