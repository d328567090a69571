"""A network of followers and a log in virtual time, for settings tests."""

import asyncio
import dataclasses
import random

from clementinegw.settings import changes
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import publisher
from clementinegw.telemetry import counters as counters_lib
from clementinegw.testing import clock as virtual
from clementinegw.testing import memory

RATE = "defaults.limits.requests_per_s"


@dataclasses.dataclass
class Members:
    """The followers by name, which reach one another without sockets."""

    followers: dict = dataclasses.field(default_factory=dict)
    domains: dict = dataclasses.field(default_factory=dict)
    silent: set = dataclasses.field(default_factory=set)


class MemberPeers:
    def __init__(self, members, name):
        self._members = members
        self._name = name

    def domain(self):
        own = self._members.domains[self._name]
        return [n for n, d in self._members.domains.items() if d == own]

    def others(self):
        return [n for n in self._members.domains if n != self._name]

    def newest_revision(self):
        return max(f.revision for f in self._members.followers.values())

    def ahead_of(self, revision):
        return [
            name
            for name, follower in self._members.followers.items()
            if follower.revision > revision
        ]

    async def pull(self, peer, request, timeout_s):
        if peer in self._members.silent or self._name in self._members.silent:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        async with asyncio.timeout(timeout_s):
            return await self._members.followers[peer].answer(request)


class Network:
    def __init__(self, clock, retention_s=None, check_interval_s=0.5):
        self.clock = clock
        self.check_interval_s = check_interval_s
        self.log = memory.MemoryLog(clock, retention_s)
        self.members = Members()
        self.counters = {}

    async def add(self, name, domain="hal", log=None, wait=True):
        counters = counters_lib.Counters()
        self.counters[name] = counters
        self.members.domains[name] = domain
        follower = follower_lib.Follower(
            log or self.log,
            name,
            MemberPeers(self.members, name),
            self.clock,
            random.Random(name),
            counters,
            check_interval_s=self.check_interval_s,
        )
        self.members.followers[name] = follower
        await follower.start()
        if wait:
            await self.until(lambda: follower.fold is not None)
        return follower

    def log_reads(self):
        return {
            name: counters.value("settings.log_reads")
            for name, counters in self.counters.items()
        }

    def total(self, name):
        return sum(c.value(name) for c in self.counters.values())

    async def until(self, condition, within_s=60.0):
        end = self.clock.now() + within_s
        while not condition():
            assert self.clock.now() < end, "not in time"
            await asyncio.sleep(0.05)

    async def publish(self, value, path=RATE):
        change = publisher.new_change(
            (await publisher.read_fold(self.log)).revision,
            "ana",
            "test",
            (changes.Set(path, value),),
            self.clock,
        )
        return await publisher.publish(
            self.log, change, clock=self.clock, rng=random.Random(1)
        )

    async def converge(self, revision, within_s=60.0):
        followers = self.members.followers.values()
        await self.until(
            lambda: all(f.revision >= revision for f in followers), within_s
        )
        assert len({f.fold.digest for f in followers}) == 1

    async def stop(self):
        for follower in self.members.followers.values():
            await follower.stop()


def run_scenario(body, **options):
    clock = virtual.VirtualClock()

    async def main():
        network = Network(clock, **options)
        try:
            await body(network)
        finally:
            await network.stop()

    virtual.run(main(), clock)
