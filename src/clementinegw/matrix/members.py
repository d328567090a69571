"""The path of joining: a process comes, is known everywhere, and leaves."""

import asyncio
import copy
import dataclasses
import random

from clementinegw import types
from clementinegw.matrix import hosts
from clementinegw.matrix import types as matrix_types
from clementinegw.matrix import world as worlds
from clementinegw.membership import actions
from clementinegw.membership import parameters
from clementinegw.membership import swim
from clementinegw.membership import view
from clementinegw.wire.gen.membership import ttypes

DOMAIN = "groningen-hal"
OTHER_DOMAIN = "eindhoven-hal"
OLD_MEMBERS = 4
# A newcomer is known throughout its failure domain within this long.
KNOWN_S = 5.0
# A process that has ended is held for alive no longer than this.
GONE_S = 10.0
# And views agree this long after the last fault has ended.
SETTLED_S = 40.0
_WARM_UP_S = 5.0
_LIST_S = 10.0
_REPLACED_S = 0.3
_LATENCY_S = 0.001
_SAMPLE_S = 0.1
_KEPT_DATAGRAMS = 200
_OPTIONS = parameters.Parameters()


@dataclasses.dataclass(slots=True)
class Node:
    """One process.

    Attributes:
      host: Its process.
      instance: What it says it is.
      decisions: The real decisions.
      left: Whether it said that it left.
      slept_until: When it was last seen paused, monotonic seconds.
    """

    host: hosts.Host
    instance: types.Instance
    decisions: swim.Swim
    left: bool = False
    slept_until: float = 0.0


class JoinScene:
    """Members of two failure domains, and a newcomer."""

    def __init__(
        self,
        path: matrix_types.Path,
        injections: tuple[matrix_types.Injection, ...],
    ):
        """Prepares the processes; see `types.Path.scene`."""
        self.world = worlds.World(path, injections)
        self.lossy = False
        self.nodes: dict[str, Node] = {}
        self._by_address: dict[types.Address, Node] = {}
        self._kept: list[tuple[types.Address, actions.Send]] = []
        self._resurrected = False
        self._gone_since: dict[str, float] = {}

    def __repr__(self) -> str:
        return repr({name: sorted(self._seen(n)) for name, n in self._live()})

    @property
    def struck(self) -> int:
        """How many faults have struck."""
        return self.world.struck

    @property
    def newcomer(self) -> Node:
        """The process that joins."""
        return self.nodes["newcomer"]

    @property
    def seed(self) -> Node:
        """The member that the newcomer is told of."""
        return self.nodes["old-0"]

    def play(self) -> tuple[str, ...]:
        """Plays it; returns the promises broken."""
        return self.world.run(self, self._play())

    def replace(self, node: Node) -> None:
        """Ends a process; another takes its name and place."""
        self.world.loop.kill(node.host)
        self.world.later(_REPLACED_S, self._again, node)

    def kill(self, node: Node) -> None:
        """Ends a process for good."""
        self.world.loop.kill(node.host)

    def replay(self) -> None:
        """Datagrams of long ago arrive once more."""
        for source, send in list(self._kept):
            self._carry(source, send)

    async def _play(self) -> tuple[str, ...]:
        self.world.armed = False
        for number in range(OLD_MEMBERS):
            domain = DOMAIN if number < OLD_MEMBERS - 1 else OTHER_DOMAIN
            self._start(f"old-{number}", domain)
            await asyncio.sleep(0.05)
        self._start("predecessor", DOMAIN)
        await asyncio.sleep(_WARM_UP_S)
        # Its name is gone from all views before anything is played.
        self._leave(self.nodes["predecessor"])
        await asyncio.sleep(1.0)
        self.world.armed = True
        self._start("newcomer", DOMAIN)
        self.world.reached("started")
        known = await self._until_known(KNOWN_S)
        self.world.reached("known")
        leaving = self.nodes["old-1"]
        self._leave(leaving)
        self.world.reached("left")
        await self._watch(SETTLED_S)
        return self._verdict(late=self.world.calm and not known)

    async def _watch(self, seconds: float) -> None:
        """Looks for members that come back though they are long gone."""
        end = self.world.clock.now() + seconds
        while (now := self.world.clock.now()) < end:
            live = self._live()
            for name in self.nodes.keys() - dict(live).keys():
                self._gone_since.setdefault(name, now)
            for _, node in live:
                if not self._has_caught_up(node, now):
                    continue
                for name in self._seen(node) - dict(live).keys():
                    since = self._gone_since.get(name, now)
                    self._resurrected |= now > since + GONE_S
            await asyncio.sleep(_SAMPLE_S * 2)

    def _has_caught_up(self, node: Node, now: float) -> bool:
        """Whether a process has had time to hear of what it slept through."""
        if not node.host.up:
            node.slept_until = now
        return now > node.slept_until + GONE_S

    async def _until_known(self, limit_s: float) -> bool:
        end = self.world.clock.now() + limit_s
        while self.world.clock.now() < end:
            views = [
                self._seen(node)
                for _, node in self._live()
                if node.instance.place.failure_domain == DOMAIN
            ]
            if any("newcomer" in seen for seen in views[:-1]):
                self.world.reached("first_known")
            if all("newcomer" in seen for seen in views):
                return True
            await asyncio.sleep(_SAMPLE_S)
        return False

    def _start(self, name: str, domain: str) -> None:
        self._run(self.world.host(name, domain))

    def _again(self, node: Node) -> None:
        self._run(self.world.replacement(node.host))

    def _run(self, host: hosts.Host) -> None:
        instance = types.Instance(
            host.name,
            types.Role.AGENT,
            host.place,
            host.address,
            int(self.world.clock.wall() * 1000),
            "assistent",
        )
        decisions = swim.Swim(
            instance,
            _OPTIONS,
            random.Random(f"{host.name} {instance.incarnation}"),
            self.world.clock.now(),
        )
        decisions.set_seeds(
            view.Seed(node.instance.address, node.host.place.failure_domain)
            for name, node in self.nodes.items()
            if name in ("old-0", f"old-{OLD_MEMBERS - 1}")
        )
        node = Node(host, instance, decisions)
        self.nodes[host.name] = node
        self._by_address[instance.address] = node
        self.world.start(host, self._tick(node))

    async def _tick(self, node: Node) -> None:
        list_at = self.world.clock.now() + _LIST_S
        while not node.left:
            now = self.world.clock.now()
            if now >= list_at:
                list_at = now + _LIST_S
                node.decisions.set_seeds(self._listed())
            self._carry_out(node, node.decisions.on_tick(now))
            await asyncio.sleep(_OPTIONS.tick_s)

    def _listed(self) -> list[view.Seed]:
        """The platform's list, which does not know yet who has died."""
        return [
            view.Seed(node.instance.address, node.host.place.failure_domain)
            for node in self.nodes.values()
        ]

    def _leave(self, node: Node) -> None:
        if not node.host.up:
            return
        now = self.world.clock.now()
        changes = node.decisions.set_self(now, state=view.MemberState.LEFT)
        self._carry_out(node, changes)
        self.world.later(_OPTIONS.leave_s, setattr, node, "left", True)
        self.world.later(_OPTIONS.leave_s, self.world.loop.kill, node.host)

    def _carry_out(self, node: Node, found: list[actions.Action]) -> None:
        for action in found:
            if isinstance(action, actions.Send):
                if len(self._kept) < _KEPT_DATAGRAMS:
                    kept = copy.deepcopy(action)
                    self._kept.append((node.instance.address, kept))
                self._carry(node.instance.address, action)

    def _carry(self, source: types.Address, send: actions.Send) -> None:
        target = self._by_address.get(send.address)
        sender = self._by_address.get(source)
        if target is None or sender is None:
            return
        if not self.world.network.reachable(sender.host, target.host):
            return
        if self.lossy and self.world.rng.random() < 0.3:
            return
        self.world.loop.call_later(
            _LATENCY_S,
            self._arrive,
            target,
            copy.deepcopy(send.gossip),
            source,
            context=target.host.context(),
        )

    def _arrive(
        self, target: Node, gossip: ttypes.Gossip, source: types.Address
    ) -> None:
        if target.left:
            return
        if target.host.name == "newcomer":
            self.world.reached("first_heard")
        now = self.world.clock.now()
        self._carry_out(
            target, target.decisions.on_datagram(gossip, source, now)
        )

    def _live(self) -> list[tuple[str, Node]]:
        return [
            (name, node)
            for name, node in self.nodes.items()
            if not node.host.dead and not node.left
        ]

    def _seen(self, node: Node) -> set[str]:
        """The members of the failure domain that a process holds for alive."""
        return {
            member.instance.instance_id
            for member in node.decisions.members(self.world.clock.now())
            if member.state is view.MemberState.ALIVE
            and member.instance.place == node.host.place
        }

    def _verdict(self, late: bool) -> tuple[str, ...]:
        broken = ["late"] if late else []
        if self.world.defective:
            broken.append("defect")
        if self._resurrected:
            broken.append("ghost")
        live = self._live()
        for _, node in live:
            there = {
                n for n, other in live if other.host.place == node.host.place
            }
            seen = self._seen(node)
            if there - seen:
                broken.append("not_known")
            if seen - there:
                broken.append("ghost")
        return tuple(sorted(set(broken)))
