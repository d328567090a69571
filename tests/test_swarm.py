"""Decisions of the exchange of chunks, in virtual time."""

import random

import pytest
import swarm_network

from clementinegw.weights import bitset
from clementinegw.weights import origin_fetchers
from clementinegw.weights import swarm

CHUNKS = swarm_network.chunks_of(32)
MAX_TIME = 1_000.0


def run_rollout(net, chunks=CHUNKS, name="v1"):
    net.set_target(name, chunks)
    return net.run(MAX_TIME, net.all_complete(name))


@pytest.mark.parametrize("domains", [1, 4])
def test_rollout_time_is_near_the_bound_with_one_copy_from_the_origin(domains):
    net = swarm_network.Network(32, domains, CHUNKS)
    assert run_rollout(net) <= 1.4 * net.bound()
    assert net.origin_bytes == net.total
    max_sent = max(agent.sent for agent in net.agents.values())
    assert max_sent <= 1.5 * net.total


def test_failure_domain_policy_fetches_one_copy_per_domain():
    policy = origin_fetchers.DrawPolicy.FAILURE_DOMAIN

    def limits(net):
        return net.default_limits(draw_policy=policy)

    net = swarm_network.Network(16, 4, CHUNKS, limits)
    run_rollout(net)
    assert net.origin_bytes <= 4 * net.total
    for _, name, index in net.origin_fetches:
        place = net.agents[name].member.failure_domain
        first = net.fleet.ranked(CHUNKS[index].digest, policy, place)[0]
        assert name == first


def test_next_ranked_agent_fetches_when_the_first_is_dead():
    # Guards against rollouts that never complete: the first-ranked agent of
    # some chunks dies unnoticed before it fetches them, and all others wait for
    # chunks that only the dead agent would fetch.
    net = swarm_network.Network(16, 2, CHUNKS)
    fleet = origin_fetchers.DrawPolicy.FLEET
    dead = net.fleet.ranked(CHUNKS[-1].digest, fleet, "")[0]
    assigned = [
        index
        for index, chunk in enumerate(CHUNKS)
        if net.fleet.ranked(chunk.digest, fleet, "")[0] == dead
    ]
    net.kill(dead)
    run_rollout(net)
    assert net.all_complete("v1")()
    assert net.origin_bytes == net.total
    second_ranked = {
        net.fleet.ranked(CHUNKS[i].digest, fleet, "")[1] for i in assigned
    }
    fetched_by = {
        name for _, name, index in net.origin_fetches if index in assigned
    }
    assert fetched_by == second_ranked


def test_dead_agent_with_many_chunks_costs_one_deadline():
    # A rollout took five times as long when the first-ranked agent of 11 chunks
    # died. Each chunk that the next agent fetched restarted the deadline of the
    # others, because any new chunk counted as a sign that all first-ranked
    # agents were running.
    net = swarm_network.Network(4, 2, CHUNKS)
    fleet = origin_fetchers.DrawPolicy.FLEET
    firsts = [net.fleet.ranked(c.digest, fleet, "")[0] for c in CHUNKS]
    dead = max(firsts, key=firsts.count)
    assert firsts.count(dead) > 8
    net.kill(dead)
    run_rollout(net)
    assert net.all_complete("v1")()
    assert net.origin_bytes == net.total
    times = [at for at, _, index in net.origin_fetches if firsts[index] == dead]
    assert max(times) - min(times) <= net.limits.draw_deadline_s


@pytest.mark.parametrize("when", [0.3, 0.5, 0.7, 0.9])
def test_chunks_lost_with_an_ended_agent_are_fetched_again(when):
    """No server completed a version of which one chunk was missing.

    An agent fetches chunks and its process ends before it has sent them to
    others. The origin becomes unreachable 0.2 times the duration of one copy
    after the last fetch. While other chunks still appeared, no agent presumed
    the first-ranked agent dead.
    """
    net = swarm_network.Network(16, 2, CHUNKS)
    fleet = origin_fetchers.DrawPolicy.FLEET
    copy_s = net.total / net.origin_rate
    dead = net.fleet.ranked(CHUNKS[-1].digest, fleet, "")[0]
    net.set_target("v1", CHUNKS)
    net.run(when * copy_s)
    net.kill(dead)
    net.run(1.3 * copy_s)
    net.origin_down = True
    net.run(MAX_TIME, net.all_complete("v1"))
    assert net.all_complete("v1")()
    assert net.origin_bytes <= 1.2 * net.total


def test_recovered_origin_does_not_send_chunks_twice():
    # A recovered origin sent many copies at once and its link was saturated.
    # It had been down for longer than the deadline of the next-ranked agents,
    # so all ranked agents had presumed the first-ranked ones dead, although the
    # origin was the cause.
    net = swarm_network.Network(48, 2, CHUNKS)
    net.origin_down = True
    net.set_target("v1", CHUNKS)
    net.run(5 * net.limits.draw_deadline_s)
    net.origin_down = False
    net.run(MAX_TIME, net.all_complete("v1"))
    assert net.all_complete("v1")()
    assert net.origin_bytes <= 1.05 * net.total


def test_replaced_agent_does_not_fetch_chunks_that_peers_hold():
    # Each replaced instance fetched chunks from the origin. The first-ranked
    # agent of a chunk is replaced after the rollout and starts without chunks;
    # its fetch was due before its peers had advertised what they hold.
    net = swarm_network.Network(16, 2, CHUNKS)
    run_rollout(net)
    policy = origin_fetchers.DrawPolicy.FLEET
    first = net.fleet.ranked(CHUNKS[0].digest, policy, "")[0]
    replacement = net.replace(first)
    net.set_target("v1", CHUNKS, [replacement])
    net.run(net.now + MAX_TIME, net.all_complete("v1"))
    assert net.origin_bytes == net.total


def test_stalled_peer_is_detected_while_its_connection_stays_open():
    # An agent's rollout hung although its peers held all chunks: a peer
    # accepted requests and sent nothing while its connection stayed open. Only
    # a deadline for each request detects this.
    net = swarm_network.Network(8, 1, CHUNKS)
    for name in ("a001", "a002"):
        net.agents[name].stalled = True
    net.set_target("v1", CHUNKS)
    others = [a for n, a in net.agents.items() if n not in ("a001", "a002")]
    net.run(MAX_TIME, lambda: all("v1" in agent.completed for agent in others))
    assert all("v1" in agent.completed for agent in others)
    exclusions = {entry for agent in others for entry in agent.exclusions}
    assert {name for name, _ in exclusions} <= {"a001", "a002"}
    assert net.now <= 3 * net.bound()


def test_peer_that_sends_corrupt_chunks_is_excluded():
    # Guards against requesting chunks from a faulty machine forever: a peer
    # that sent one chunk with a wrong digest, for example because of faulty
    # memory, will send more.
    net = swarm_network.Network(16, 2, CHUNKS)
    net.agents["a005"].corrupts = True
    run_rollout(net)
    assert net.all_complete("v1")()
    exclusions = {e for agent in net.agents.values() for e in agent.exclusions}
    assert exclusions == {("a005", swarm.ExclusionReason.CORRUPT)}


def test_version_change_abandons_the_previous_version_at_once():
    # Links stayed saturated with obsolete chunks: when the declared version
    # changed in the middle of a rollout, requests and uploads of the previous
    # version continued.
    new_chunks = CHUNKS[:16] + swarm_network.chunks_of(16, "b")
    net = swarm_network.Network(16, 2, CHUNKS)
    net.set_target("v1", CHUNKS)
    net.run(0.4 * net.bound())
    held = {n: a.swarm.have & 0xFFFF for n, a in net.agents.items()}
    origin_bytes_before = net.origin_bytes
    requests_before = len(net.chunk_requests)
    net.set_target("v2", new_chunks)
    for name, agent in net.agents.items():
        assert agent.swarm.have == held[name]
        assert agent.swarm.serving == 0
    net.run(MAX_TIME, net.all_complete("v2"))
    assert net.all_complete("v2")()
    assert {digest for digest, _ in net.chunk_requests[requests_before:]} == {
        "v2"
    }
    shared = 0
    for have in held.values():
        shared |= have
    missing = 32 - shared.bit_count()
    # Fetches in progress when the version changed are lost.
    fetched = (net.origin_bytes - origin_bytes_before) / swarm_network.CHUNK
    assert missing <= fetched <= missing + 4


def test_domain_fetches_from_peers_after_a_partition():
    # The origin sent a second copy after a partition: one domain is partitioned
    # in the middle of a rollout, the others complete, and the partition heals.
    # The origin became reachable before the peers were reconnected, and agents
    # of the domain fetched what the peers held.
    net = swarm_network.Network(16, 4, CHUNKS)
    net.set_target("v1", CHUNKS)
    net.run(0.2 * net.bound())
    net.set_partitioned("d0", True)
    partitioned_agents = [
        a for a in net.agents.values() if a.member.failure_domain == "d0"
    ]
    other_agents = [
        a for a in net.agents.values() if a not in partitioned_agents
    ]
    net.run(MAX_TIME, lambda: all("v1" in a.completed for a in other_agents))
    assert all("v1" in a.completed for a in other_agents)
    origin_bytes_before = net.origin_bytes
    healed_at = net.now
    net.restore_origin("d0")
    net.run(healed_at + 2 * net.chunk_s)
    net.set_partitioned("d0", False)
    net.run(MAX_TIME, net.all_complete("v1"))
    assert net.all_complete("v1")()
    assert net.origin_bytes == origin_bytes_before
    assert net.now - healed_at <= 1.4 * net.bound()


def test_domain_that_holds_every_chunk_completes_during_a_partition():
    net = swarm_network.Network(16, 4, CHUNKS)
    net.set_target("v1", CHUNKS)

    def every_chunk_in_domain():
        have = 0
        for agent in net.agents.values():
            if agent.member.failure_domain == "d0":
                have |= agent.swarm.have
        return have.bit_count() == len(CHUNKS)

    net.run(MAX_TIME, every_chunk_in_domain)
    partitioned_agents = [
        a for a in net.agents.values() if a.member.failure_domain == "d0"
    ]
    assert not all("v1" in agent.completed for agent in partitioned_agents)
    net.set_partitioned("d0", True)
    net.run(
        MAX_TIME,
        lambda: all("v1" in agent.completed for agent in partitioned_agents),
    )
    assert all("v1" in agent.completed for agent in partitioned_agents)


def test_agent_waiting_for_a_slow_origin_wakes_rarely():
    # Agents kept their cores busy while nothing arrived. With small chunks,
    # fast links and a slow origin, all agents wait for the origin most of the
    # time; they polled at the mean duration of a request to a peer, which was a
    # fraction of a millisecond.
    def limits(net):
        return net.default_limits(
            draw_deadline_s=1.0, stall_floor_s=1.0, settle_s=0.01, advert_s=0.1
        )

    net = swarm_network.Network(
        4,
        1,
        CHUNKS,
        limits,
        window=2.0,
        copies_origin=1.0,
        copies_link=200.0,
        delay=0.0001,
    )
    assert net.chunk_s < 0.001
    run_rollout(net)
    assert net.all_complete("v1")()
    assert net.now >= 2.0
    for agent in net.agents.values():
        # Each chunk causes additional wake-ups: for advertisements, for fetches
        # from the origin and for a second source.
        assert agent.ticks <= net.now / 0.005 + 4 * len(CHUNKS)


@pytest.mark.parametrize("copies", [1.0, 2.0])
def test_cross_copies_bounds_the_copies_that_enter_a_domain(copies):
    def limits(net):
        return net.default_limits(cross_copies=copies)

    net = swarm_network.Network(32, 4, CHUNKS, limits)
    run_rollout(net)
    # In addition to the budget, a domain's first-ranked agent always imports.
    assert net.cross_bytes <= (copies + 1) * 4 * net.total


def test_partitioned_domain_does_not_use_the_origin_for_a_while():
    # Each side of a partition fetched its own copy. A domain is partitioned
    # from the others but not from the origin, and the others' members are
    # reported dead. Rankings were recomputed without them, so the remaining
    # agents moved up.
    net = swarm_network.Network(8, 2, CHUNKS)
    net.run(1.0)
    net.set_partitioned("d0", True)
    net.restore_origin("d0")
    domain_members = [m for m in net.members if m.failure_domain == "d0"]
    partitioned_agents = [
        net.agents[member.instance_id] for member in domain_members
    ]
    for agent in partitioned_agents:
        net.dispatch(
            agent, swarm.FleetChanged(origin_fetchers.Fleet(domain_members))
        )
    net.set_target("v1", CHUNKS, partitioned_agents)
    cut_off_s = net.limits.cut_off_s
    net.run(0.9 * cut_off_s)
    assert net.origin_fetches == []
    net.run(
        MAX_TIME + cut_off_s,
        lambda: all(a.completed for a in partitioned_agents),
    )
    assert all("v1" in agent.completed for agent in partitioned_agents)


def test_neighbours_are_bounded_and_every_domain_is_connected():
    members = swarm_network.members_of(560, 4)
    fleet = origin_fetchers.Fleet(members)
    limits = swarm.Limits()
    edges = {m.instance_id: set() for m in members}
    for member in members:
        net = swarm.Swarm(member, limits, random.Random(1))
        for action in net.handle(swarm.FleetChanged(fleet), 0.0):
            edges[member.instance_id].add(action.peer.instance_id)
            edges[action.peer.instance_id].add(member.instance_id)
    assert max(map(len, edges.values())) <= 40
    for domain in range(4):
        domain_ids = {
            m.instance_id for m in members if m.failure_domain == f"d{domain}"
        }
        visited = {min(domain_ids)}
        while True:
            reachable = {
                n for name in visited for n in edges[name] & domain_ids
            }
            if reachable <= visited:
                break
            visited |= reachable
        assert visited == domain_ids


def test_only_chunks_of_a_removed_member_change_their_first_fetcher():
    members = swarm_network.members_of(32, 2)
    policy = origin_fetchers.DrawPolicy.FLEET
    before = origin_fetchers.Fleet(members)
    after = origin_fetchers.Fleet(members[1:])
    for chunk in CHUNKS:
        first = before.ranked(chunk.digest, policy, "")[0]
        if first != members[0].instance_id:
            assert after.ranked(chunk.digest, policy, "")[0] == first


@pytest.mark.parametrize("max_requests", [1, 2])
def test_requests_per_peer_are_limited_to_asks_a_peer(max_requests):
    """The end of a rollout used only half of the link.

    In a failure domain of two agents, one holds all chunks that the other
    lacks, and chunks were requested from it one at a time.
    """
    chunks = swarm_network.chunks_of(6)
    members = swarm_network.members_of(2, 1)
    limits = swarm.Limits(
        outstanding=4, asks_a_peer=max_requests, upload_slots=4
    )
    one, other = [
        swarm.Swarm(member, limits, random.Random(1)) for member in members
    ]
    for agent in (one, other):
        agent.handle(swarm.FleetChanged(origin_fetchers.Fleet(members)), 0.0)
    held = bytes(bitset.from_indices(len(chunks), range(len(chunks))))
    nothing = bytes(bitset.empty(len(chunks)))
    one.handle(swarm.TargetSet("v1", chunks, nothing), 0.0)
    other.handle(swarm.TargetSet("v1", chunks, held), 0.0)
    one.handle(swarm.PeerUp(members[1]), 0.0)
    name = members[1].instance_id
    actions = one.handle(swarm.PeerHolds(name, "v1", held), 0.0)
    requests = [a for a in actions if isinstance(a, swarm.RequestChunk)]
    assert [request.source for request in requests] == [name] * max_requests
    answers = [
        other.handle(swarm.ChunkRequested("a000", "v1", request.index), 0.1)[0]
        for request in requests
    ]
    assert [type(answer) for answer in answers] == [swarm.Serve] * max_requests


def test_agent_with_a_newer_target_still_sends_the_previous_version():
    """A server stayed on an old version permanently.

    A newer version is declared when all agents but one hold the previous one
    completely, and then the origin becomes unreachable. Agents with the newer
    target no longer advertised or sent chunks of the previous one.
    """
    chunks = swarm_network.chunks_of(6)
    new_chunks = swarm_network.chunks_of(6, "b")
    members = swarm_network.members_of(2, 1)
    limits = swarm.Limits(formers=1)
    ahead, behind = [
        swarm.Swarm(member, limits, random.Random(1)) for member in members
    ]
    for agent, peer in ((ahead, members[1]), (behind, members[0])):
        agent.handle(swarm.FleetChanged(origin_fetchers.Fleet(members)), 0.0)
        agent.handle(swarm.PeerUp(peer), 0.0)
    held = bytes(bitset.from_indices(len(chunks), range(len(chunks))))
    nothing = bytes(bitset.empty(len(chunks)))
    ahead.handle(swarm.TargetSet("v1", chunks, held), 0.0)
    ahead.handle(swarm.TargetSet("v2", new_chunks, nothing), 1.0)
    behind.handle(swarm.TargetSet("v1", chunks, nothing), 2.0)
    actions = ahead.handle(swarm.PeerHolds("a001", "v1", nothing), 2.0)
    assert swarm.AdvertiseAll("a001", "v1", held, answer=True) in actions
    behind.handle(swarm.PeerHolds("a000", "v1", held), 2.0)
    actions = behind.handle(swarm.PeerHolds("a000", "v2", nothing), 2.1)
    assert not [a for a in actions if isinstance(a, swarm.Cancel)]
    assert behind.outstanding == 1
    answer = ahead.handle(swarm.ChunkRequested("a001", "v1", 0), 2.2)[0]
    assert answer == swarm.Serve("a001", "v1", 0)


def test_agents_that_both_went_on_do_not_answer_each_other_for_ever():
    """Each treated the other's answer as an advertisement to answer."""
    new_chunks = swarm_network.chunks_of(32, "b")
    members = swarm_network.members_of(2, 1)
    limits = swarm.Limits(formers=1)
    agents = {
        m.instance_id: swarm.Swarm(m, limits, random.Random(1)) for m in members
    }
    nothing = bytes(bitset.empty(len(CHUNKS)))
    for agent, peer in zip(agents.values(), reversed(members), strict=True):
        agent.handle(swarm.FleetChanged(origin_fetchers.Fleet(members)), 0.0)
        agent.handle(swarm.PeerUp(peer), 0.0)
        agent.handle(swarm.TargetSet("v1", CHUNKS, nothing), 0.0)
        agent.handle(swarm.TargetSet("v2", new_chunks, nothing), 1.0)
    # Sent before its sender switched to the newer target.
    pending = [("a000", "a001", swarm.AdvertiseAll("a001", "v1", nothing))]
    answers = 0
    while pending and answers < 20:
        sender, receiver, action = pending.pop()
        event = swarm.PeerHolds(
            sender, action.digest, action.bits, action.answer
        )
        for answer in agents[receiver].handle(event, 1.0):
            if isinstance(answer, swarm.AdvertiseAll):
                answers += 1
                pending.append((receiver, answer.peer_id, answer))
    assert answers == 1
