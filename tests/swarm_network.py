"""A small simulated network for tests of the swarm's decisions.

Each agent has a link with a rate per direction. A sender sends its chunks one
after another, and a chunk has arrived once the receiver's link has carried it.
The origin has an outgoing link. Time is virtual, so results are deterministic.
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
        self.up_free_at = 0.0
        self.down_free_at = 0.0
        self.sent = 0
        self.received = 0
        self.alive = True
        self.stalled = False
        self.corrupts = False
        self.domain_partitioned = False
        self.origin_unreachable = False
        self.sessions = {}
        self.completed = {}
        self.verified = set()
        self.refusals = 0
        self.ticks = 0
        self.exclusions = []

    def verified_bits(self):
        """Returns the received chunks of the target, one bit per chunk."""
        return sum(
            1 << index
            for index, digest in enumerate(self.target)
            if digest in self.verified
        )


class Network:
    """Agents, the origin and the events in transit between them."""

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
        self.origin_free_at = 0.0
        self.origin_bytes = 0
        self.origin_down = False
        self.origin_fetches = []
        self.chunk_requests = []
        self.cross_bytes = 0
        self._sequence = itertools.count()
        self._queue = []
        self._wake_times = {}
        self._cancelled = set()
        self._connections = set()
        self.chunks = {}
        self.fleet = origin_fetchers.Fleet(self.members)
        if connect:
            for agent in self.agents.values():
                self.dispatch(agent, swarm.FleetChanged(self.fleet))

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

    def set_target(self, name, chunks, agents=None):
        """Sets the target of agents, which keep the chunks they hold."""
        self.chunks[name] = chunks
        for agent in agents or self.agents.values():
            agent.target = tuple(chunk.digest for chunk in chunks)
            held = bitset.empty(len(chunks))
            for index, chunk in enumerate(chunks):
                if chunk.digest in agent.verified:
                    bitset.add(held, index)
            self.dispatch(agent, swarm.TargetSet(name, chunks, bytes(held)))

    def schedule(self, when, action, *args):
        heapq.heappush(self._queue, (when, next(self._sequence), action, args))

    def dispatch(self, agent, event):
        if not agent.alive:
            return
        for action in agent.swarm.handle(event, self.now):
            getattr(self, "_" + type(action).__name__.lower())(agent, action)
        wake = agent.swarm.wake_at(self.now)
        if wake < float("inf"):
            self._wake_times[agent.member.instance_id] = wake
            self.schedule(wake, self._tick, agent, wake)

    def run(self, until, done=None):
        """Runs until a time, or until `done()`; returns the time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._queue)
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
        for pair in [p for p in self._connections if name in p]:
            self._drop_connection(pair, by_peer=True)

    def set_partitioned(self, domain, partitioned):
        """Partitions a domain from the others and the origin, or heals it."""
        for agent in self.agents.values():
            if agent.member.failure_domain == domain:
                agent.domain_partitioned = partitioned
                agent.origin_unreachable = partitioned
        if partitioned:
            for pair in [
                p for p in self._connections if not self._can_reach(*p)
            ]:
                self._drop_connection(pair)
            return
        for agent in self.agents.values():
            for member in peers.neighbours(
                agent.member,
                self.fleet,
                self.limits.local_neighbours,
                self.limits.remote_neighbours,
            ):
                self._connect(agent, swarm.Connect(member))

    def restore_origin(self, domain):
        """Reconnects a domain to the origin but not to other domains."""
        for agent in self.agents.values():
            if agent.member.failure_domain == domain:
                agent.origin_unreachable = False

    def replace(self, name):
        """Replaces an agent with a new one without chunks and returns it."""
        self.kill(name)
        old = self.agents[name]
        replacement = Agent(old.member, self.limits, f"fresh-{name}")
        self.agents[name] = replacement
        self.dispatch(replacement, swarm.FleetChanged(self.fleet))
        for agent in self.agents.values():
            if agent is not replacement:
                self._connect(agent, swarm.Connect(old.member))
        return replacement

    def _can_reach(self, one, other):
        a, b = self.agents[one], self.agents[other]
        same = a.member.failure_domain == b.member.failure_domain
        return same or not (a.domain_partitioned or b.domain_partitioned)

    def _drop_connection(self, pair, by_peer=False):
        self._connections.discard(pair)
        one, other = pair
        self.agents[one].sessions.pop(other, None)
        self.agents[other].sessions.pop(one, None)
        self.dispatch(self.agents[one], swarm.PeerDown(other, by_peer))
        self.dispatch(self.agents[other], swarm.PeerDown(one, by_peer))

    def _tick(self, agent, wake):
        if self._wake_times.get(agent.member.instance_id) == wake:
            agent.ticks += 1
            self.dispatch(agent, swarm.Tick())

    def _send(self, sender, to, event):
        pair = tuple(sorted((sender.member.instance_id, to)))
        if pair in self._connections:
            self.schedule(self.now + self.delay, self._deliver, pair, to, event)

    def _deliver(self, pair, to, event):
        if pair in self._connections:
            self.dispatch(self.agents[to], event)

    def _connect(self, agent, action):
        self.schedule(
            self.now + self.delay, self._connected, agent, action.peer
        )

    def _connected(self, agent, member):
        other = self.agents[member.instance_id]
        pair = tuple(sorted((agent.member.instance_id, member.instance_id)))
        usable = agent.alive and other.alive and pair not in self._connections
        if usable and self._can_reach(*pair):
            self._connections.add(pair)
            self.dispatch(agent, swarm.PeerUp(member))
            self.dispatch(other, swarm.PeerUp(agent.member))

    def _stopconnecting(self, agent, action):
        pair = tuple(sorted((agent.member.instance_id, action.peer_id)))
        if pair in self._connections:
            self._drop_connection(pair)

    def _requestchunk(self, agent, action):
        self.chunk_requests.append((action.digest, action.index))
        if action.source == swarm.ORIGIN:
            self._fetch_from_origin(agent, action)
            return
        event = swarm.ChunkRequested(
            agent.member.instance_id, action.digest, action.index
        )
        self._send(agent, action.source, event)

    def _fetch_from_origin(self, agent, action):
        key = (
            agent.member.instance_id,
            action.digest,
            action.index,
            swarm.ORIGIN,
        )
        self._cancelled.discard(key)
        failed = swarm.Failed(action.digest, action.index, swarm.ORIGIN)
        if self.origin_down or agent.origin_unreachable:
            self.schedule(self.now + self.delay, self.dispatch, agent, failed)
            return
        if agent.stalled:
            return
        self.origin_bytes += CHUNK
        self.origin_fetches.append(
            (self.now, agent.member.instance_id, action.index)
        )
        start = max(self.now, self.origin_free_at)
        self.origin_free_at = start + CHUNK / self.origin_rate
        self._receive(agent, action, start, self.origin_free_at)

    def _receive(self, agent, action, start, left):
        begin = max(start, agent.down_free_at)
        agent.down_free_at = max(left, begin + CHUNK / self.up_rate)
        self.schedule(agent.down_free_at, self._arrive, agent, action)

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
        self.dispatch(agent, kind(action.digest, action.index, action.source))

    def _cancel(self, agent, action):
        name = agent.member.instance_id
        self._cancelled.add((name, action.digest, action.index, action.source))
        if action.source != swarm.ORIGIN:
            self.schedule(
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
            self.dispatch(agent, swarm.Served(peer_id, index, whole))

    def _advertiseall(self, agent, action):
        event = swarm.PeerHolds(
            agent.member.instance_id,
            action.digest,
            action.bits,
            action.answer,
        )
        self._send(agent, action.peer_id, event)

    def _advertisegained(self, agent, action):
        event = swarm.PeerGained(
            agent.member.instance_id, action.digest, action.indices
        )
        for name in action.peer_ids:
            self._send(agent, name, event)

    def _serve(self, agent, action):
        other = self.agents[action.peer_id]
        agent.sessions[action.peer_id] = action.index
        if agent.stalled:
            return
        request = swarm.RequestChunk(
            action.digest, action.index, agent.member.instance_id
        )
        self._cancelled.discard(
            (action.peer_id, action.digest, action.index, request.source)
        )
        start = max(self.now, agent.up_free_at)
        agent.up_free_at = start + CHUNK / self.up_rate
        agent.sent += CHUNK
        self.schedule(
            agent.up_free_at,
            self._end_session,
            agent,
            action.peer_id,
            action.index,
            True,
        )
        self._receive(other, request, start, agent.up_free_at)

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
        self._send(agent, action.peer_id, event)

    def _peerexcluded(self, agent, action):
        agent.exclusions.append((action.peer_id, action.reason))

    def _completed(self, agent, action):
        agent.completed.setdefault(action.digest, self.now)
