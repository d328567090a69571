"""A small fake of the network for tests of the swarm's decisions.

Each agent has a link with a rate each way; a chunk leaves its sender in turn
and is in when its receiver's link has passed it. The origin has a link out.
Time is virtual: the verdict is the same every time.
"""

import heapq
import itertools
import random

from clementinegw.weights import bitset
from clementinegw.weights import manifest as manifests
from clementinegw.weights import origin_fetchers
from clementinegw.weights import peers
from clementinegw.weights import swarm

CHUNK = 1000


def chunks_of(count: int, seed: str = "a") -> tuple[manifests.Chunk, ...]:
    return tuple(
        manifests.Chunk(manifests.digest_of(f"{seed}{i}".encode()), CHUNK)
        for i in range(count)
    )


def members_of(replicas: int, domains: int) -> list[origin_fetchers.Member]:
    return [
        origin_fetchers.Member(f"a{i:03}", "r", f"d{i % domains}")
        for i in range(replicas)
    ]


class Agent:
    def __init__(self, member, limits, seed):
        self.member = member
        self.swarm = swarm.Swarm(member, limits, random.Random(seed))
        self.target = ()
        self.up_free = 0.0
        self.down_free = 0.0
        self.sent = 0
        self.received = 0
        self.alive = True
        self.stalled = False
        self.corrupts = False
        self.domain_cut = False
        self.origin_cut = False
        self.sessions = {}
        self.completed = {}
        self.verified = set()
        self.refusals = 0
        self.ticks = 0
        self.aside = []

    def verified_bits(self):
        """What it received whole of its target, as a bit a chunk."""
        return sum(
            1 << index
            for index, digest in enumerate(self.target)
            if digest in self.verified
        )


class Network:
    """Agents, the origin and what is under way between them."""

    def __init__(
        self,
        replicas,
        domains,
        chunks,
        limits=None,
        seed=0,
        copies_origin=4.0,
        copies_link=2.0,
        window=100.0,
        delay=0.001,
        connect=True,
    ):
        self.total = sum(c.size for c in chunks)
        self.up_rate = copies_link * self.total / window
        self.origin_rate = copies_origin * self.total / window
        self.chunk_s = CHUNK / self.up_rate
        self.limits = limits(self) if callable(limits) else limits
        self.limits = self.limits or self.default_limits()
        self.members = members_of(replicas, domains)
        self.agents = {
            m.instance_id: Agent(m, self.limits, f"{seed}-{m.instance_id}")
            for m in self.members
        }
        self.delay = delay
        self.now = 0.0
        self.origin_free = 0.0
        self.origin_bytes = 0
        self.origin_down = False
        self.draws = []
        self.asked = []
        self.cross_bytes = 0
        self._order = itertools.count()
        self._heap = []
        self._wakes = {}
        self._cancelled = set()
        self._links = set()
        self.chunks = {}
        self.fleet = origin_fetchers.Fleet(self.members)
        if connect:
            for agent in self.agents.values():
                self.give(agent, swarm.FleetChanged(self.fleet))

    def default_limits(self, **changes):
        values = {
            "draw_deadline_s": 12 * self.chunk_s,
            "settle_s": 0.3 * self.chunk_s,
            "origin_bytes_per_s": self.origin_rate,
            "link_bytes_per_s": self.up_rate,
            "stall_floor_s": 2 * self.chunk_s,
            "aside_s": 30 * self.chunk_s,
            "advert_s": 0.1 * self.chunk_s,
        }
        return swarm.Limits(**(values | changes))

    def bound(self):
        n = len(self.agents)
        return max(
            self.total / self.origin_rate,
            self.total / self.up_rate,
            n * self.total / (self.origin_rate + n * self.up_rate),
        )

    def target(self, name, chunks, agents=None):
        """Sets the target of some agents; they keep chunks they hold."""
        self.chunks[name] = chunks
        for agent in agents or self.agents.values():
            agent.target = tuple(chunk.digest for chunk in chunks)
            held = bitset.empty(len(chunks))
            for index, chunk in enumerate(chunks):
                if chunk.digest in agent.verified:
                    bitset.add(held, index)
            self.give(agent, swarm.TargetSet(name, chunks, bytes(held)))

    def at(self, when, action, *args):
        heapq.heappush(self._heap, (when, next(self._order), action, args))

    def give(self, agent, event):
        if not agent.alive:
            return
        for action in agent.swarm.handle(event, self.now):
            getattr(self, "_" + type(action).__name__.lower())(agent, action)
        wake = agent.swarm.wake_at(self.now)
        if wake < float("inf"):
            self._wakes[agent.member.instance_id] = wake
            self.at(wake, self._tick, agent, wake)

    def run(self, until, done=None):
        """Runs until a time, or until `done()`; returns the time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)
            if done is not None and done():
                return self.now
        self.now = max(self.now, until) if done is None else self.now
        return self.now

    def all_complete(self, name):
        return lambda: all(
            name in a.completed for a in self.agents.values() if a.alive
        )

    def kill(self, name):
        agent = self.agents[name]
        agent.alive = False
        for pair in [p for p in self._links if name in p]:
            self._break(pair, by_peer=True)

    def cut(self, domain, is_cut):
        """Separates a domain from the others and the origin, or heals it."""
        for agent in self.agents.values():
            if agent.member.failure_domain == domain:
                agent.domain_cut = is_cut
                agent.origin_cut = is_cut
        if is_cut:
            for pair in [p for p in self._links if not self._can_reach(*p)]:
                self._break(pair)
            return
        for agent in self.agents.values():
            for member in peers.neighbours(
                agent.member,
                self.fleet,
                self.limits.local_neighbours,
                self.limits.remote_neighbours,
            ):
                self._connect(agent, swarm.Connect(member))

    def reachable_origin(self, domain):
        """Lets a domain reach the origin again, and nothing else."""
        for agent in self.agents.values():
            if agent.member.failure_domain == domain:
                agent.origin_cut = False

    def replace(self, name):
        """Replaces an agent by one that holds nothing; returns it."""
        self.kill(name)
        old = self.agents[name]
        fresh = Agent(old.member, self.limits, f"fresh-{name}")
        self.agents[name] = fresh
        self.give(fresh, swarm.FleetChanged(self.fleet))
        for agent in self.agents.values():
            if agent is not fresh:
                self._connect(agent, swarm.Connect(old.member))
        return fresh

    def _can_reach(self, one, other):
        a, b = self.agents[one], self.agents[other]
        same = a.member.failure_domain == b.member.failure_domain
        return same or not (a.domain_cut or b.domain_cut)

    def _break(self, pair, by_peer=False):
        self._links.discard(pair)
        one, other = pair
        self.agents[one].sessions.pop(other, None)
        self.agents[other].sessions.pop(one, None)
        self.give(self.agents[one], swarm.PeerDown(other, by_peer))
        self.give(self.agents[other], swarm.PeerDown(one, by_peer))

    def _tick(self, agent, wake):
        if self._wakes.get(agent.member.instance_id) == wake:
            agent.ticks += 1
            self.give(agent, swarm.Tick())

    def _post(self, sender, to, event):
        pair = tuple(sorted((sender.member.instance_id, to)))
        if pair in self._links:
            self.at(self.now + self.delay, self._deliver, pair, to, event)

    def _deliver(self, pair, to, event):
        if pair in self._links:
            self.give(self.agents[to], event)

    def _connect(self, agent, action):
        self.at(self.now + self.delay, self._connected, agent, action.peer)

    def _connected(self, agent, member):
        other = self.agents[member.instance_id]
        pair = tuple(sorted((agent.member.instance_id, member.instance_id)))
        usable = agent.alive and other.alive and pair not in self._links
        if usable and self._can_reach(*pair):
            self._links.add(pair)
            self.give(agent, swarm.PeerUp(member))
            self.give(other, swarm.PeerUp(agent.member))

    def _disconnect(self, agent, action):
        pair = tuple(sorted((agent.member.instance_id, action.peer_id)))
        if pair in self._links:
            self._break(pair)

    def _requestchunk(self, agent, action):
        self.asked.append((action.digest, action.index))
        if action.source == swarm.ORIGIN:
            self._fetch_from_origin(agent, action)
            return
        event = swarm.ChunkRequested(
            agent.member.instance_id, action.digest, action.index
        )
        self._post(agent, action.source, event)

    def _fetch_from_origin(self, agent, action):
        key = (
            agent.member.instance_id,
            action.digest,
            action.index,
            swarm.ORIGIN,
        )
        self._cancelled.discard(key)
        failed = swarm.Failed(action.digest, action.index, swarm.ORIGIN)
        if self.origin_down or agent.origin_cut:
            self.at(self.now + self.delay, self.give, agent, failed)
            return
        if agent.stalled:
            return
        self.origin_bytes += CHUNK
        self.draws.append((self.now, agent.member.instance_id, action.index))
        start = max(self.now, self.origin_free)
        self.origin_free = start + CHUNK / self.origin_rate
        self._receive(agent, action, start, self.origin_free)

    def _receive(self, agent, action, start, left):
        begin = max(start, agent.down_free)
        agent.down_free = max(left, begin + CHUNK / self.up_rate)
        self.at(agent.down_free, self._arrive, agent, action)

    def _arrive(self, agent, action):
        key = (
            agent.member.instance_id,
            action.digest,
            action.index,
            action.source,
        )
        if key in self._cancelled or not agent.alive:
            return
        agent.received += CHUNK
        source = self.agents.get(action.source)
        kind = swarm.Arrived
        if source is not None:
            if not self._can_reach(key[0], key[3]):
                return
            if source.member.failure_domain != agent.member.failure_domain:
                self.cross_bytes += CHUNK
            if source.corrupts:
                kind = swarm.Corrupt
        if kind is swarm.Arrived:
            digest = self.chunks[action.digest][action.index].digest
            agent.verified.add(digest)
        self.give(agent, kind(action.digest, action.index, action.source))

    def _cancel(self, agent, action):
        name = agent.member.instance_id
        self._cancelled.add((name, action.digest, action.index, action.source))
        if action.source != swarm.ORIGIN:
            self.at(
                self.now + self.delay,
                self._end_session,
                self.agents[action.source],
                name,
                action.index,
                False,
            )

    def _end_session(self, agent, peer_id, index, whole):
        if agent.sessions.get(peer_id) == index:
            del agent.sessions[peer_id]
            self.give(agent, swarm.Served(peer_id, index, whole))

    def _advertiseall(self, agent, action):
        event = swarm.PeerHolds(
            agent.member.instance_id,
            action.digest,
            action.bits,
            action.answer,
        )
        self._post(agent, action.peer_id, event)

    def _advertisegained(self, agent, action):
        event = swarm.PeerGained(
            agent.member.instance_id, action.digest, action.indices
        )
        for name in action.peer_ids:
            self._post(agent, name, event)

    def _serve(self, agent, action):
        other = self.agents[action.peer_id]
        agent.sessions[action.peer_id] = action.index
        if agent.stalled:
            return
        ask = swarm.RequestChunk(
            action.digest, action.index, agent.member.instance_id
        )
        self._cancelled.discard(
            (action.peer_id, action.digest, action.index, ask.source)
        )
        start = max(self.now, agent.up_free)
        agent.up_free = start + CHUNK / self.up_rate
        agent.sent += CHUNK
        self.at(
            agent.up_free,
            self._end_session,
            agent,
            action.peer_id,
            action.index,
            True,
        )
        self._receive(other, ask, start, agent.up_free)

    def _stopserving(self, agent, action):
        agent.sessions.pop(action.peer_id, None)

    def _refuse(self, agent, action):
        agent.refusals += 1
        event = swarm.Refused(
            agent.swarm.digest,
            action.index,
            agent.member.instance_id,
            action.retry_after_s,
            action.reason,
        )
        self._post(agent, action.peer_id, event)

    def _peerexcluded(self, agent, action):
        agent.aside.append((action.peer_id, action.reason))

    def _completed(self, agent, action):
        agent.completed.setdefault(action.digest, self.now)
