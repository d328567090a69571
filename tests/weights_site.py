"""Agents of one service in processes of one loop, in virtual time."""

import asyncio
import random

import weights_fakes

from clementinegw.telemetry import counters as metrics
from clementinegw.testing import clock as virtual
from clementinegw.testing import memory
from clementinegw.testing import processes
from clementinegw.weights import service
from clementinegw.weights import store

V1, BLOBS1 = weights_fakes.version_of("1", b"a", b"b", b"c")
V2, BLOBS2 = weights_fakes.version_of("2", b"a", b"b", b"d")
V3, BLOBS3 = weights_fakes.version_of("3", b"e", b"b", b"d")
VERSIONS = ((V1, BLOBS1), (V2, BLOBS2), (V3, BLOBS3))
ADAPTERS = (
    weights_fakes.version_of("a1", b"x"),
    weights_fakes.version_of("a2", b"x", b"y"),
)
PREVIOUS = {"1": None, "2": V1, "3": V2}

CHUNK = weights_fakes.CHUNK
LOAD_LIMIT_S = 30.0
SAMPLE_S = 0.05


def declared(manifest, revision):
    return service.DeclaredVersion(manifest.version, manifest.digest, revision)


class Agent:
    """One worker: an engine that stays, and agent processes that come and go.

    Attributes:
      engine: The engine.
      gate: The present process's gate.
      weights: The present process's weights.
      counters: Of the present process.
      log: The present process's client of the log.
      disturbed: Paused, dead, or not back in service since.
    """

    def __init__(self, site, number):
        self.site = site
        self.name = f"agent-{number}"
        self.number = number
        self.engine = weights_fakes.FakeEngine(site.checks_fencing)
        self.gate = weights_fakes.FakeGate(self.engine)
        self.disturbed = True
        self.paused = False
        self.generation = 0
        self.weights = None

    @property
    def process(self):
        """The name of the present process: a dead one never runs again."""
        return f"{self.name} {self.generation}"

    @property
    def serves(self):
        return self.gate.version if self.gate.open else ""

    @property
    def out(self):
        """Whether it is out for loading by its own will."""
        return not self.gate.open and not self.disturbed

    def start(self):
        """Starts a process, the first one or one in place of a dead one."""
        self.generation += 1
        site = self.site
        self.gate = weights_fakes.FakeGate(self.engine)
        self.counters = metrics.Counters()
        self.log = site.log.client()
        self.store = store.StagedStore(self.engine, 1 << 20, self.counters)
        self.weights = service.Weights(
            self.name,
            "assistent",
            self.engine,
            self.gate,
            self.log,
            [site.origin],
            self.store,
            exchange=site.exchange,
            checks_fencing=site.checks_fencing,
            policy=site.policy,
            clock=site.clock,
            rng=random.Random(f"{self.number} {self.generation} {site.seed}"),
            counters=self.counters,
        )
        self.disturbed = True
        site.loop.spawn(self.process, self.name, self._live(self.weights))

    def pause(self):
        """Stops the process for a while."""
        self.paused = self.disturbed = True
        self.site.loop.pause(self.process)

    def wake(self):
        """Lets it go on; it believes that no time has passed."""
        self.paused = False
        self.site.loop.wake(self.process)

    def kill(self):
        """Ends the process; the engine goes on."""
        self.site.loop.kill(self.process)
        self.site.mixed += self.gate.mixed
        self.start()
        self.declare()

    def declare(self):
        """Tells the process what is declared."""
        target, revision = self.site.declared
        previous = PREVIOUS[target.version]
        former = previous and declared(previous, revision)
        target = declared(target, revision)
        self.weights.set_declared(target, former, self.site.adapters)

    def crash_engine(self):
        """Ends the engine; it is back at once, without anything."""
        self.disturbed = True
        self.engine.crash()
        self.gate.crash()

    async def _live(self, weights):
        await weights.start()
        await self.gate.traffic()


class Site:
    """Agents of one service, a log and an origin."""

    def __init__(self, clock, count=1, checks_fencing=True, share=0.34, seed=0):
        self.clock = clock
        self.seed = seed
        self.loop = asyncio.get_running_loop()
        self.log = memory.MemoryLog(clock)
        self.origin = memory.MemoryStore()
        for _, blobs in VERSIONS + ADAPTERS:
            self.origin.blobs.update(blobs)
        self.policy = service.SwapPolicy(
            share, count, LOAD_LIMIT_S, LOAD_LIMIT_S
        )
        self.checks_fencing = checks_fencing
        self.declared = (V1, 1)
        self.adapters = ()
        self.exchange = None
        self.mixed = 0
        self.agents = [Agent(self, number) for number in range(count)]

    async def start(self, manifest=V1):
        """Starts all agents and waits until they serve a version."""
        for agent in self.agents:
            agent.start()
        self.declare(manifest, 1)
        await self.wait_until_served(manifest.version)

    def declare(self, manifest, revision, adapter=None):
        """Declares a version, perhaps with an adapter."""
        self.declared = (manifest, revision)
        if adapter is not None:
            self.adapters = (
                service.DeclaredAdapter(
                    "spur", adapter.version, adapter.digest
                ),
            )
        for agent in self.agents:
            agent.declare()

    async def wait_until_served(self, version, limit_s=1200.0):
        """Waits until all agents serve a version."""
        end = self.clock.now() + limit_s
        while any(agent.serves != version for agent in self.agents):
            assert self.clock.now() < end, [
                agent.weights.status() for agent in self.agents
            ]
            await asyncio.sleep(SAMPLE_S)

    async def watch(self, max_out):
        """Fails when more workers are out than the share allows."""
        while True:
            for agent in self.agents:
                assert not (agent.weights and agent.weights.crashed)
                if agent.disturbed and not agent.paused and agent.gate.open:
                    agent.disturbed = False
            out = [agent.name for agent in self.agents if agent.out]
            assert len(out) <= max_out, (self.clock.now(), out)
            await asyncio.sleep(SAMPLE_S)

    def check(self):
        """No answer ever came from partial or mixed weights."""
        self.mixed += sum(agent.gate.mixed for agent in self.agents)
        assert self.mixed == 0


def run(story, **options):
    """Runs a story about a site in virtual time."""
    clock = virtual.VirtualClock()

    async def told():
        site = Site(clock, **options)
        watching = asyncio.create_task(
            site.watch(
                max(1, int(site.policy.max_out_share * len(site.agents)))
            )
        )
        telling = asyncio.create_task(story(site))
        done, _ = await asyncio.wait(
            (watching, telling), return_when=asyncio.FIRST_COMPLETED
        )
        site.loop.release()
        for task in done:
            task.result()
        site.check()

    virtual.run(told(), clock, 0.0, processes.ProcessLoop)
