"""Decisions of the exchange of chunks, in virtual time."""

import random

import pytest
import swarm_network

from clementinegw.weights import bitset
from clementinegw.weights import origin_fetchers
from clementinegw.weights import swarm

CHUNKS = swarm_network.chunks_of(32)
LONG = 1_000.0


def rolled_out(net, chunks=CHUNKS, name="v1"):
    net.target(name, chunks)
    return net.run(LONG, net.all_complete(name))


@pytest.mark.parametrize("domains", [1, 4])
def test_a_rollout_comes_near_the_bound_with_one_copy_from_the_origin(domains):
    net = swarm_network.Network(32, domains, CHUNKS)
    assert rolled_out(net) <= 1.4 * net.bound()
    assert net.origin_bytes == net.total
    most = max(agent.sent for agent in net.agents.values())
    assert most <= 1.5 * net.total


def test_every_domain_draws_its_own_copy_under_that_policy():
    policy = origin_fetchers.DrawPolicy.FAILURE_DOMAIN

    def limits(net):
        return net.default_limits(draw_policy=policy)

    net = swarm_network.Network(16, 4, CHUNKS, limits)
    rolled_out(net)
    assert net.origin_bytes <= 4 * net.total
    for _, name, index in net.draws:
        place = net.agents[name].member.failure_domain
        first = net.fleet.ranked(CHUNKS[index].digest, policy, place)[0]
        assert name == first


def test_the_next_in_rank_draws_when_the_first_drawer_is_dead():
    # Symptom: a rollout would never end. Sequence: the first drawer of some
    # chunks dies before it has drawn them, and nobody is told. Cause: every
    # other agent waits for chunks that only the dead one would draw.
    net = swarm_network.Network(16, 2, CHUNKS)
    fleet = origin_fetchers.DrawPolicy.FLEET
    victim = net.fleet.ranked(CHUNKS[-1].digest, fleet, "")[0]
    duties = [
        index
        for index, chunk in enumerate(CHUNKS)
        if net.fleet.ranked(chunk.digest, fleet, "")[0] == victim
    ]
    net.kill(victim)
    rolled_out(net)
    assert net.all_complete("v1")()
    assert net.origin_bytes == net.total
    seconds = {net.fleet.ranked(CHUNKS[i].digest, fleet, "")[1] for i in duties}
    drew = {name for _, name, index in net.draws if index in duties}
    assert drew == seconds


def test_a_dead_drawer_of_many_chunks_costs_one_deadline():
    # Symptom: a rollout took five times as long when a drawer of 11 chunks
    # died. Sequence: the next in rank draws one of them; its appearance begins
    # the deadline of the other ten anew. Cause: any new chunk was taken for a
    # sign that all first drawers are at work.
    net = swarm_network.Network(4, 2, CHUNKS)
    fleet = origin_fetchers.DrawPolicy.FLEET
    firsts = [net.fleet.ranked(c.digest, fleet, "")[0] for c in CHUNKS]
    victim = max(firsts, key=firsts.count)
    assert firsts.count(victim) > 8
    net.kill(victim)
    rolled_out(net)
    assert net.all_complete("v1")()
    assert net.origin_bytes == net.total
    times = [at for at, _, index in net.draws if firsts[index] == victim]
    assert max(times) - min(times) <= net.limits.draw_deadline_s


@pytest.mark.parametrize("when", [0.3, 0.5, 0.7, 0.9])
def test_what_an_agent_drew_alone_is_drawn_again_once_it_is_over(when):
    """Symptom: no server ever has a version of which all but a piece came.

    Sequence: an agent draws pieces; its process ends before it has passed them
    on; 0.2 copies' time after the last draw the origin is gone. Cause: while
    other pieces still appeared, nobody took the first drawer for dead.
    """
    net = swarm_network.Network(16, 2, CHUNKS)
    fleet = origin_fetchers.DrawPolicy.FLEET
    copy_s = net.total / net.origin_rate
    victim = net.fleet.ranked(CHUNKS[-1].digest, fleet, "")[0]
    net.target("v1", CHUNKS)
    net.run(when * copy_s)
    net.kill(victim)
    net.run(1.3 * copy_s)
    net.origin_down = True
    net.run(LONG, net.all_complete("v1"))
    assert net.all_complete("v1")()
    assert net.origin_bytes <= 1.2 * net.total


def test_an_origin_that_was_down_is_not_drawn_from_twice():
    # Symptom: when the origin came back it sent many copies at once, and its
    # link was full. Sequence: it is down for longer than the deadline of the
    # next in rank; then it answers. Cause: all in rank had taken the first
    # drawers for dead, though the origin was the cause.
    net = swarm_network.Network(48, 2, CHUNKS)
    net.origin_down = True
    net.target("v1", CHUNKS)
    net.run(5 * net.limits.draw_deadline_s)
    net.origin_down = False
    net.run(LONG, net.all_complete("v1"))
    assert net.all_complete("v1")()
    assert net.origin_bytes <= 1.05 * net.total


def test_a_replaced_agent_draws_nothing_that_its_peers_hold():
    # Symptom: each replaced instance cost bytes of the origin. Sequence: the
    # first drawer of a chunk is replaced after the rollout and starts empty.
    # Cause: its turn to draw had come before its peers told what they hold.
    net = swarm_network.Network(16, 2, CHUNKS)
    rolled_out(net)
    policy = origin_fetchers.DrawPolicy.FLEET
    first = net.fleet.ranked(CHUNKS[0].digest, policy, "")[0]
    fresh = net.replace(first)
    net.target("v1", CHUNKS, [fresh])
    net.run(net.now + LONG, net.all_complete("v1"))
    assert net.origin_bytes == net.total


def test_a_stalled_peer_is_given_up_without_a_closed_connection():
    # Symptom: one agent's rollout hung although its peers had all chunks.
    # Sequence: a peer accepts requests and sends nothing, with its connection
    # open. Cause: only a deadline on each request can tell.
    net = swarm_network.Network(8, 1, CHUNKS)
    for name in ("a001", "a002"):
        net.agents[name].stalled = True
    net.target("v1", CHUNKS)
    others = [a for n, a in net.agents.items() if n not in ("a001", "a002")]
    net.run(LONG, lambda: all("v1" in agent.completed for agent in others))
    assert all("v1" in agent.completed for agent in others)
    aside = {entry for agent in others for entry in agent.aside}
    assert {name for name, _ in aside} <= {"a001", "a002"}
    assert net.now <= 3 * net.bound()


def test_a_peer_that_corrupts_is_put_aside_and_the_rollout_ends():
    # Symptom: chunks would be fetched from the same bad machine for ever.
    # Sequence: a peer sends a chunk whose digest is wrong. Cause: it has bad
    # memory, and will send more of them.
    net = swarm_network.Network(16, 2, CHUNKS)
    net.agents["a005"].corrupts = True
    rolled_out(net)
    assert net.all_complete("v1")()
    entries = {e for agent in net.agents.values() for e in agent.aside}
    assert entries == {("a005", swarm.ExclusionReason.CORRUPT)}


def test_a_change_of_version_abandons_the_old_one_at_once():
    # Symptom: links stayed full of chunks that nobody wanted any more.
    # Sequence: the declared version changes in mid-rollout. Cause: requests
    # and uploads of the old version went on.
    newer = CHUNKS[:16] + swarm_network.chunks_of(16, "b")
    net = swarm_network.Network(16, 2, CHUNKS)
    net.target("v1", CHUNKS)
    net.run(0.4 * net.bound())
    held = {n: a.swarm.have & 0xFFFF for n, a in net.agents.items()}
    drawn = net.origin_bytes
    asked = len(net.asked)
    net.target("v2", newer)
    for name, agent in net.agents.items():
        assert agent.swarm.have == held[name]
        assert agent.swarm.serving == 0
    net.run(LONG, net.all_complete("v2"))
    assert net.all_complete("v2")()
    assert {digest for digest, _ in net.asked[asked:]} == {"v2"}
    shared = 0
    for have in held.values():
        shared |= have
    missing = 32 - shared.bit_count()
    # Draws that were under way when the version changed are lost.
    fresh = (net.origin_bytes - drawn) / swarm_network.CHUNK
    assert missing <= fresh <= missing + 4


def test_a_domain_that_was_cut_off_takes_from_its_peers_afterwards():
    # Symptom: after a partition the origin sent a second copy. Sequence: one
    # domain is cut off in mid-rollout, the others finish, the cut heals.
    # Cause: the origin answered before the peers were connected again, and
    # its agents drew what the peers held.
    net = swarm_network.Network(16, 4, CHUNKS)
    net.target("v1", CHUNKS)
    net.run(0.2 * net.bound())
    net.cut("d0", True)
    inside = [a for a in net.agents.values() if a.member.failure_domain == "d0"]
    outside = [a for a in net.agents.values() if a not in inside]
    net.run(LONG, lambda: all("v1" in a.completed for a in outside))
    assert all("v1" in a.completed for a in outside)
    drawn = net.origin_bytes
    healed = net.now
    net.reachable_origin("d0")
    net.run(healed + 2 * net.chunk_s)
    net.cut("d0", False)
    net.run(LONG, net.all_complete("v1"))
    assert net.all_complete("v1")()
    assert net.origin_bytes == drawn
    assert net.now - healed <= 1.4 * net.bound()


def test_a_domain_that_holds_every_chunk_completes_while_it_is_cut_off():
    net = swarm_network.Network(16, 4, CHUNKS)
    net.target("v1", CHUNKS)

    def every_chunk_inside():
        have = 0
        for agent in net.agents.values():
            if agent.member.failure_domain == "d0":
                have |= agent.swarm.have
        return have.bit_count() == len(CHUNKS)

    net.run(LONG, every_chunk_inside)
    inside = [a for a in net.agents.values() if a.member.failure_domain == "d0"]
    assert not all("v1" in agent.completed for agent in inside)
    net.cut("d0", True)
    net.run(LONG, lambda: all("v1" in agent.completed for agent in inside))
    assert all("v1" in agent.completed for agent in inside)


def test_an_agent_that_waits_for_a_slow_origin_wakes_seldom():
    # Symptom: agents keep their cores busy while nothing arrives. Sequence:
    # the chunks are small, the machines' links fast and the origin slow, so
    # all wait for it most of the time. Cause: an agent looked again after the
    # time of one request to a peer, which was a fraction of a millisecond.
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
    rolled_out(net)
    assert net.all_complete("v1")()
    assert net.now >= 2.0
    for agent in net.agents.values():
        # Each chunk has its own wake-ups besides: for the adverts, for the
        # draws and for a second source.
        assert agent.ticks <= net.now / 0.005 + 4 * len(CHUNKS)


@pytest.mark.parametrize("copies", [1.0, 2.0])
def test_a_cap_bounds_the_copies_that_enter_a_domain(copies):
    def limits(net):
        return net.default_limits(cross_copies=copies)

    net = swarm_network.Network(32, 4, CHUNKS, limits)
    rolled_out(net)
    # Besides the budget, the first in a domain's list always imports.
    assert net.cross_bytes <= (copies + 1) * 4 * net.total


def test_a_domain_that_is_cut_off_leaves_the_origin_alone_for_a_while():
    # Symptom: each side of a partition drew its own copy. Sequence: a domain
    # is cut off from the others, not from the origin, and the others' members
    # are reported dead. Cause: the lists were made anew without them, and
    # everybody moved up.
    net = swarm_network.Network(8, 2, CHUNKS)
    net.run(1.0)
    net.cut("d0", True)
    net.reachable_origin("d0")
    near = [m for m in net.members if m.failure_domain == "d0"]
    inside = [net.agents[member.instance_id] for member in near]
    for agent in inside:
        net.give(agent, swarm.FleetChanged(origin_fetchers.Fleet(near)))
    net.target("v1", CHUNKS, inside)
    cut_off_s = net.limits.cut_off_s
    net.run(0.9 * cut_off_s)
    assert net.draws == []
    net.run(LONG + cut_off_s, lambda: all(a.completed for a in inside))
    assert all("v1" in agent.completed for agent in inside)


def test_neighbours_are_bounded_and_every_domain_is_in_one_piece():
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
        inside = {
            m.instance_id for m in members if m.failure_domain == f"d{domain}"
        }
        found = {min(inside)}
        while True:
            more = {n for name in found for n in edges[name] & inside}
            if more <= found:
                break
            found |= more
        assert found == inside


def test_only_the_chunks_of_a_member_that_left_change_their_first_drawer():
    members = swarm_network.members_of(32, 2)
    policy = origin_fetchers.DrawPolicy.FLEET
    before = origin_fetchers.Fleet(members)
    after = origin_fetchers.Fleet(members[1:])
    for chunk in CHUNKS:
        first = before.ranked(chunk.digest, policy, "")[0]
        if first != members[0].instance_id:
            assert after.ranked(chunk.digest, policy, "")[0] == first


@pytest.mark.parametrize("most", [1, 2])
def test_so_many_chunks_are_asked_of_one_peer_at_once(most):
    """Symptom: the end of a rollout takes half of the link only.

    Sequence: a failure domain has two agents; all that one lacks lies with
    the other. Cause: it was asked for one chunk at a time.
    """
    chunks = swarm_network.chunks_of(6)
    members = swarm_network.members_of(2, 1)
    limits = swarm.Limits(outstanding=4, asks_a_peer=most, upload_slots=4)
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
    asks = [a for a in actions if isinstance(a, swarm.RequestChunk)]
    assert [ask.source for ask in asks] == [name] * most
    answers = [
        other.handle(swarm.ChunkRequested("a000", "v1", ask.index), 0.1)[0]
        for ask in asks
    ]
    assert [type(answer) for answer in answers] == [swarm.Serve] * most


def test_an_agent_that_went_on_still_sends_the_former_version():
    """Symptom: a server stays on an old version for good.

    Sequence: a newer version is named when all agents but one hold the former
    one whole; then the origin is cut off. Cause: who followed the newer one
    told and sent nothing of the former one any more.
    """
    chunks = swarm_network.chunks_of(6)
    newer = swarm_network.chunks_of(6, "b")
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
    ahead.handle(swarm.TargetSet("v2", newer, nothing), 1.0)
    behind.handle(swarm.TargetSet("v1", chunks, nothing), 2.0)
    told = ahead.handle(swarm.PeerHolds("a001", "v1", nothing), 2.0)
    assert swarm.AdvertiseAll("a001", "v1", held, answer=True) in told
    behind.handle(swarm.PeerHolds("a000", "v1", held), 2.0)
    asks = behind.handle(swarm.PeerHolds("a000", "v2", nothing), 2.1)
    assert not [ask for ask in asks if isinstance(ask, swarm.Cancel)]
    assert behind.outstanding == 1
    answer = ahead.handle(swarm.ChunkRequested("a001", "v1", 0), 2.2)[0]
    assert answer == swarm.Serve("a001", "v1", 0)


def test_agents_that_both_went_on_do_not_answer_each_other_for_ever():
    """Each took the other's answer about the former version for a question."""
    newer = swarm_network.chunks_of(32, "b")
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
        agent.handle(swarm.TargetSet("v2", newer, nothing), 1.0)
    # Sent before its sender went on.
    told = [("a000", "a001", swarm.AdvertiseAll("a001", "v1", nothing))]
    answers = 0
    while told and answers < 20:
        sender, receiver, action = told.pop()
        event = swarm.PeerHolds(
            sender, action.digest, action.bits, action.answer
        )
        for answer in agents[receiver].handle(event, 1.0):
            if isinstance(answer, swarm.AdvertiseAll):
                answers += 1
                told.append((receiver, answer.peer_id, answer))
    assert answers == 1
