"""Tests how processes find the others by their seeds."""

import membership_network
import pytest

from clementinegw import types
from clementinegw.membership import view

DOMAINS = ("a", "b", "c")


def test_entries_find_other_domains_whose_only_seed_is_an_agent():
    """Guards against requests to a service in another domain always refused.

    Three failure domains start together, and the seeds of each process are the
    first agents of the domains. A bridge asks an agent of another domain for
    that domain's records. Agents store no members of other domains, so the
    bridge stayed unverified there, and unverified senders got no answer.
    """
    network = membership_network.Network(seed=3)
    for domain in DOMAINS:
        network.add(f"{domain}-agent-0", domain)
    seeds = [
        view.Seed(network.nodes[f"{domain}-agent-0"].instance.address)
        for domain in DOMAINS
    ]
    for domain in DOMAINS:
        network.add(f"{domain}-agent-1", domain, seeds=seeds)
        for number in range(3):
            name = f"{domain}-entry-{number}"
            network.add(name, domain, types.Role.ENTRY, seeds)
    entries = [n for n in network.nodes if "entry" in n]

    def all_known():
        return all(
            len(network.seen(network.nodes[name], domain)) == 5
            for name in entries
            for domain in DOMAINS
        )

    assert network.run_until(all_known, 30) is not None


def leave(network, name):
    """Ends a process that has announced for 0.2 s that it leaves."""
    network.set_self(name, state=view.MemberState.LEFT)
    network.run(0.2)
    network.kill(name)


def site_of_eight():
    """Returns a network of eight processes and the first five as seeds."""
    network = membership_network.Network(seed=5, sealed=False)
    for index in range(5):
        network.add(f"a{index}")
    seeds = network.seeds(5)
    for index in range(5, 8):
        network.add(f"a{index}", seeds=seeds)
    return network, seeds


def test_a_process_that_starts_while_its_seeds_leave_finds_the_others():
    """Guards against a process that stays alone although seeds were alive.

    Two of five seeds have left and the third leaves when the process starts. It
    pinged just these three, and the last two left within the second until it
    pinged again.
    """
    network, seeds = site_of_eight()
    leave(network, "a1")
    leave(network, "a2")
    for index in range(8, 12):
        network.add(f"a{index}", seeds=seeds)
    leave(network, "a9")
    network.add("a12", seeds=seeds)
    for name in ("a0", "a11", "a3", "a4"):
        leave(network, name)
    assert network.run_until(network.converged, 10) is not None


def test_every_seed_is_probed_within_half_a_second_of_the_start():
    """Guards against a living seed that is missed among seeds that have gone.

    The load pattern is a deployment whose processes are replaced one after the
    other: at any time only some seeds are alive, and not for long.
    """
    for number in range(20):
        network = membership_network.Network(seed=number, sealed=False)
        for index in range(8):
            network.add(f"a{index}")
        seeds = network.seeds(5)
        network.run(10)
        for name in ("a0", "a1", "a2", "a3"):
            network.kill(name)
        network.run(10)
        network.add("a8", seeds=seeds)
        network.run(0.5)
        network.kill("a4")
        assert network.run_until(network.converged, 20) is not None


@pytest.mark.parametrize("gone_s", [10, 600])
def test_a_process_at_the_address_of_a_seed_that_left_is_found(gone_s):
    """Guards against a process that stays alone once all seeds have left.

    It can reach nobody, so the others must still probe the seeds' addresses,
    also when they no longer remember who listened there.
    """
    network, seeds = site_of_eight()
    network.run(10)
    for index in range(5):
        leave(network, f"a{index}")
    network.run(gone_s)
    network.add("a8", seeds=seeds, port=3)
    assert network.run_until(network.converged, 60) is not None


def test_a_process_without_a_living_seed_finds_the_others_by_a_list():
    """Guards against a process that stays alone although the list knows others.

    All seeds of its instance file have left. The platform's list lags and
    still names them beside one process that is alive.
    """
    network, seeds = site_of_eight()
    network.run(10)
    listed = network.seeds(6)
    for index in range(5):
        leave(network, f"a{index}")
    network.run(600)
    node = network.add("a8", seeds=seeds)
    network.run(10)
    assert network.seen(node, "a") == {"a8"}
    node.swim.set_seeds([*seeds, *listed])
    assert network.run_until(network.converged, 10) is not None


def test_seeds_that_do_not_answer_are_probed_at_a_bounded_rate():
    network = membership_network.Network(seed=1)
    gone = [
        view.Seed(types.Address(f"127.9.0.{number}", 1000), "a")
        for number in range(5)
    ]
    network.add("a0", seeds=gone)
    network.run(100)
    # Three a second, the two others once, and one each five seconds.
    assert 300 <= network.datagrams["a0"] <= 330
