"""Tests a deployment whose processes start together with agents as seeds."""

import membership_network

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
