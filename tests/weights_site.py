"""Simulates the agents of one service as processes, in virtual time."""

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

CHUNK_BYTES = weights_fakes.CHUNK_BYTES
LOAD_LIMIT_S = 30.0
SAMPLE_S = 0.05


def declared(manifest, revision):
    return service.DeclaredVersion(manifest.version, manifest.digest, revision)


class Agent:
    """One worker: an engine, and the successive processes of its agent.

    Attributes:
      engine: The engine, which outlives the processes.
      gate: The current process's gate.
      weights: The current process's weights service.
      counters: The current process's counters.
      log: The current process's client of the log.
      disturbed: Whether the worker was paused, killed or crashed and has not
        returned to service since.
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
        """The name of the current process; a killed one never runs again."""
        return f"{self.name} {self.generation}"

    @property
    def serves(self):
        return self.gate.version if self.gate.open else ""

    @property
    def out(self):
        """Whether the worker is out of service by its own decision."""
        return not self.gate.open and not self.disturbed

    def start(self):
        """Starts a process, replacing a previous one."""
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
        site.loop.spawn(self.process, self.name, self._run(self.weights))

    def pause(self):
        """Pauses the process."""
        self.paused = self.disturbed = True
        self.site.loop.pause(self.process)

    def resume(self):
        """Resumes the process, which does not notice that time has passed."""
        self.paused = False
        self.site.loop.resume(self.process)

    def kill(self):
        """Kills and replaces the process; the engine keeps running."""
        self.site.loop.kill(self.process)
        self.site.mixed += self.gate.mixed
        self.start()
        self.declare()

    def declare(self):
        """Passes the current declaration to the process."""
        target, revision = self.site.declared
        previous = PREVIOUS[target.version]
        previous = previous and declared(previous, revision)
        target = declared(target, revision)
        self.weights.set_declared(target, previous, self.site.adapters)

    def crash_engine(self):
        """Crashes the engine, which restarts at once without weights."""
        self.disturbed = True
        self.engine.crash()
        self.gate.crash()

    async def _run(self, weights):
        await weights.start()
        await self.gate.traffic()


class Site:
    """The agents of one service with a log and an origin."""

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
        """Starts all agents and waits until they serve the version."""
        for agent in self.agents:
            agent.start()
        self.declare(manifest, 1)
        await self.wait_until_served(manifest.version)

    def declare(self, manifest, revision, adapter=None):
        """Declares a version, optionally with an adapter."""
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
        """Waits until all agents serve the version."""
        end = self.clock.now() + limit_s
        while any(agent.serves != version for agent in self.agents):
            assert self.clock.now() < end, [
                agent.weights.status() for agent in self.agents
            ]
            await asyncio.sleep(SAMPLE_S)

    async def watch(self, max_out):
        """Fails if more workers are out than the share allows."""
        while True:
            for agent in self.agents:
                assert not (agent.weights and agent.weights.crashed)
                if agent.disturbed and not agent.paused and agent.gate.open:
                    agent.disturbed = False
            out = [agent.name for agent in self.agents if agent.out]
            assert len(out) <= max_out, (self.clock.now(), out)
            await asyncio.sleep(SAMPLE_S)

    def check(self):
        """Checks that no answer came from partial or mixed weights."""
        self.mixed += sum(agent.gate.mixed for agent in self.agents)
        assert self.mixed == 0


def run(scenario, **options):
    """Runs a test scenario on a site in virtual time."""
    clock = virtual.VirtualClock()

    async def run_and_watch():
        site = Site(clock, **options)
        watching = asyncio.create_task(
            site.watch(
                max(1, int(site.policy.max_out_share * len(site.agents)))
            )
        )
        running = asyncio.create_task(scenario(site))
        done, _ = await asyncio.wait(
            (watching, running), return_when=asyncio.FIRST_COMPLETED
        )
        site.loop.clear_faults()
        for task in done:
            task.result()
        site.check()

    virtual.run(run_and_watch(), clock, 0.0, processes.ProcessLoop)
