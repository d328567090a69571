"""A simulated network in virtual time for tests of membership.

Each process runs the real `swim.Swim`. Datagrams are sealed and encoded as in
production unless `sealed` is off, which allows longer runs. The network
simulates loss, delay, partitions and paused processes.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from clementinegw import types
from clementinegw.membership import actions
from clementinegw.membership import datagram
from clementinegw.membership import parameters
from clementinegw.membership import swim
from clementinegw.membership import view
from clementinegw.wire import auth

KEYS = auth.single_key_ring(b"k" * 32)
UDP_HEADER_BYTES = 28
_DELAY_S = (0.0005, 0.003)


@dataclasses.dataclass
class Node:
    """One process in the network."""

    instance: types.Instance
    swim: swim.Swim
    options: parameters.Parameters
    running: bool = True
    group: int = 0
    inbox: list = dataclasses.field(default_factory=list)


class Network:
    """The nodes, the links between them and the virtual clock."""

    def __init__(self, seed=1, loss=0.0, options=None, sealed=True):
        self.rng = random.Random(seed)
        self.loss = loss
        self.options = options or parameters.Parameters()
        self.sealed = sealed
        self.now = 1000.0
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[types.Address, str] = {}
        self.bytes: collections.Counter = collections.Counter()
        self.datagrams: collections.Counter = collections.Counter()
        self.counts: collections.Counter = collections.Counter()
        self.changes: list = []
        self.recorded: list | None = None
        # What the process at each address was ever told, even if it dropped
        # it since.
        self._told: dict[types.Address, set[types.Address]] = {}
        # The addresses of the processes that received a datagram.
        self.reached: set[types.Address] = set()
        self._queue: list = []
        self._order = itertools.count()
        self._ports = itertools.count(1)

    def add(
        self, name, domain="a", role=types.Role.AGENT, seeds=None, port=None
    ):
        """Starts a process; it may replace an earlier one of that name.

        Args:
          name: Its id.
          domain: Its failure domain.
          role: Its role.
          seeds: Its seeds; the first processes by default.
          port: The port of an earlier process, for its address; None for a
            new address.
        """
        port = next(self._ports) if port is None else port
        address = types.Address(f"127.0.{port // 250}.{port % 250}", 1000)
        instance = types.Instance(
            name,
            role,
            types.Place(f"region-{domain}", domain),
            address,
            int(self.now * 1000),
            "assistent" if role is types.Role.AGENT else "",
        )
        member = swim.Swim(
            instance, self.options, random.Random(self.rng.random()), self.now
        )
        seeds = self.seeds() if seeds is None else seeds
        member.set_seeds(seeds)
        self._told[address] = {seed.address for seed in seeds}
        self.nodes[name] = Node(instance, member, self.options)
        self.by_address[address] = name
        self._schedule(
            self.rng.random() * self.options.tick_s, "tick", name, port
        )
        return self.nodes[name]

    def seeds(self, count=3):
        """Returns the first processes of each failure domain as seeds."""
        domains = collections.defaultdict(list)
        for node in self.nodes.values():
            domains[node.instance.place.failure_domain].append(node)
        chosen = [n for nodes in domains.values() for n in nodes[:count]]
        return [
            view.Seed(n.instance.address, n.instance.place.failure_domain)
            for n in chosen
        ]

    def run(self, seconds):
        """Advances the virtual clock by some seconds."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, kind, *rest = heapq.heappop(self._queue)
            getattr(self, f"_on_{kind}")(*rest)
        self.now = until

    def run_until(self, condition, timeout_s):
        """Runs until a condition holds.

        Returns the virtual seconds it took, or None if they exceed `timeout_s`.
        """
        start = self.now
        while self.now - start < timeout_s:
            if condition():
                return self.now - start
            self.run(0.1)
        return self.now - start if condition() else None

    def kill(self, name):
        self.nodes.pop(name)

    def pause(self, name):
        self.nodes[name].running = False

    def resume(self, name):
        node = self.nodes[name]
        node.running = True
        waiting, node.inbox = node.inbox, []
        for item in waiting:
            self._on_arrival(name, *item)

    def split(self, names):
        """Partitions the network into the named processes and all others."""
        for name, node in self.nodes.items():
            node.group = int(name in names)

    def heal(self):
        for node in self.nodes.values():
            node.group = 0

    def set_self(self, name, **changes):
        """Changes what a process announces of itself."""
        member = self.nodes[name].swim
        self._act(name, member.set_self(self.now, **changes))

    def inject(self, name, data, source):
        """Delivers a datagram that no node sent now."""
        message = datagram.unseal(data, KEYS)
        node = self.nodes[name]
        self._act(name, node.swim.on_datagram(message, source, self.now))

    def states(self, of, domain=None):
        """Returns the state of a member in the view of each other process."""
        return [
            member.state if member is not None else None
            for member in (
                n.swim.member(of, self.now)
                for name, n in self.nodes.items()
                if name != of
                and (
                    domain is None or n.instance.place.failure_domain == domain
                )
            )
        ]

    def converged(self, domain="a"):
        """Returns whether all views of a failure domain are correct.

        Each process must see exactly the processes of the failure domain as
        alive. Addresses are compared too, because an id may stand for an
        earlier incarnation at another address.
        """
        nodes = [
            n
            for n in self.nodes.values()
            if n.instance.place.failure_domain == domain
        ]
        wanted = {(n.instance.instance_id, n.instance.address) for n in nodes}
        return all(
            {(m.instance_id, m.address) for m in self.alive(n, domain)}
            == wanted
            for n in nodes
        )

    def alive(self, node, domain):
        """Returns the members of a failure domain alive in a node's view."""
        return [
            m.instance
            for m in node.swim.members(self.now)
            if m.instance.place.failure_domain == domain
            and m.state is view.MemberState.ALIVE
        ]

    def seen(self, node, domain):
        """Returns the ids of the members that `alive` returns."""
        return {instance.instance_id for instance in self.alive(node, domain)}

    def groups_without_contact(self):
        """Returns the processes in groups that no datagram can join.

        Two processes are in one group if one of them was ever told the other's
        address, by a seed or in a datagram, or over others in this way. Between
        two groups nobody can send anything, whatever the protocol is.
        """
        remaining = dict(self.nodes)
        groups = []
        while remaining:
            _, node = remaining.popitem()
            group, unvisited = [], [node]
            while unvisited:
                node = unvisited.pop()
                group.append(node)
                for name, other in list(remaining.items()):
                    if self._in_contact(node, other):
                        unvisited.append(remaining.pop(name))
            groups.append(group)
        return groups

    def _in_contact(self, one, other):
        address, other_address = one.instance.address, other.instance.address
        return (
            other_address in self._told[address]
            or address in self._told[other_address]
        )

    def _schedule(self, delay, *event):
        heapq.heappush(
            self._queue, (self.now + delay, next(self._order), *event)
        )

    def _on_tick(self, name, port):
        node = self.nodes.get(name)
        if node is None or self.by_address.get(node.instance.address) != name:
            return
        if node.instance.address.host != f"127.0.{port // 250}.{port % 250}":
            return
        if node.running:
            self._act(name, node.swim.on_tick(self.now))
        self._schedule(self.options.tick_s, "tick", name, port)

    def _on_arrival(self, name, data, source):
        node = self.nodes.get(name)
        if node is None:
            return
        if not node.running:
            node.inbox.append((data, source))
            return
        message = data
        if self.sealed:
            self.bytes[name] += len(data) + UDP_HEADER_BYTES
            message = datagram.unseal(data, KEYS)
        self.reached.add(node.instance.address)
        self._told[node.instance.address] |= {source, *_addresses_in(message)}
        self._act(name, node.swim.on_datagram(message, source, self.now))

    def _act(self, name, requested):
        for action in requested:
            if isinstance(action, actions.Send):
                self._send(name, action)
            elif isinstance(action, actions.Count):
                self.counts[action.name] += 1
            elif isinstance(action, actions.MemberChanged):
                self.changes.append((self.now, name, action.instance_id))

    def _send(self, name, action):
        node = self.nodes[name]
        data = action.gossip
        if self.sealed:
            data = datagram.seal(action.gossip, KEYS)
            self.bytes[name] += len(data) + UDP_HEADER_BYTES
        self.datagrams[name] += 1
        if self.recorded is not None:
            self.recorded.append((name, action.address, data))
        receiver = self.by_address.get(action.address)
        other = self.nodes.get(receiver)
        if other is None or other.instance.address != action.address:
            return
        if other.group != node.group or self.rng.random() < self.loss:
            return
        delay = self.rng.uniform(*_DELAY_S)
        self._schedule(delay, "arrival", receiver, data, node.instance.address)


def _addresses_in(message):
    """Yields the addresses that a message tells."""
    for member in (message.introduction, message.target, *message.updates):
        if member is not None:
            yield types.Address(member.host, member.port)
