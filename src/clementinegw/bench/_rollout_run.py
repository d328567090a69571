"""Runs one rollout over loopback TCP with shaped links."""

import asyncio
import dataclasses
import random
import time

import aiohttp

from clementinegw import clock as clocks
from clementinegw.bench import _rollout_faults as faults_lib
from clementinegw.bench import _rollout_movers as movers
from clementinegw.bench import _rollout_node as nodes
from clementinegw.bench import _rollout_replica as replicas
from clementinegw.bench import _rollout_types as types_
from clementinegw.platform import store as blobs
from clementinegw.testing import clock as virtual_clocks
from clementinegw.testing import platform as platforms

_POLL_S = 0.01
# Real seconds for the kernel before each jump of the virtual clock.
_GRACE_S = 0.0


@dataclasses.dataclass(slots=True)
class Found:
    """What one rollout showed.

    Attributes:
      plan: The rollout.
      began: Loop time at which the target was set.
      finished: Loop time at which every live replica served the newest one;
        None when the run was given up.
      ended: Loop time of the end.
      cpu_s: Processor seconds of the process between the two.
      machines: All of them.
      live: Those that had not died at the end.
      origin_bytes: Bytes that the origin sent.
      healed: Loop time at which a partition ended; None without one.
      drawn_at_heal: What the origin had sent by then, in bytes.
      digest: The newest version's manifest.
      contents: What answers by whole weights may carry.
      events: What the faults did, with the time from the start.
    """

    plan: types_.Plan
    began: float = 0.0
    finished: float | None = None
    ended: float = 0.0
    cpu_s: float = 0.0
    machines: list[nodes.Node] = dataclasses.field(default_factory=list)
    live: list[nodes.Node] = dataclasses.field(default_factory=list)
    origin_bytes: int = 0
    healed: float | None = None
    drawn_at_heal: int = 0
    digest: str = ""
    contents: set[bytes] = dataclasses.field(default_factory=set)
    events: list[str] = dataclasses.field(default_factory=list)


class Rollout:
    """One rollout from set-up to the end."""

    def __init__(self, plan: types_.Plan, clock: clocks.Clock):
        """Prepares versions and machines; see `run`."""
        self.plan = plan
        self.rng = random.Random(f"{plan.seed}-faults")
        self.first, self.second = types_.make_versions(plan)
        self.target = self.first
        self.cut = nodes.Cut()
        self.origin = platforms.BlobServer(clock, plan.origin_rate)
        self.found = Found(plan)
        self.nodes = [
            nodes.Node(plan, number, self.cut, clock)
            for number in range(plan.replicas)
        ]
        self._loading: set[asyncio.Task] = set()

    @property
    def live(self) -> list[nodes.Node]:
        """The machines that have not died."""
        return [node for node in self.nodes if node.alive]

    async def run(self) -> Found:
        """Runs it and returns what it showed."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._set_up(session)
            try:
                await self._measure()
            finally:
                await self._tear_down()
        return self.found

    def set_target(self, version: types_.Version) -> None:
        """Declares a version everywhere at once."""
        self.target = version
        for node in self.live:
            assert node.mover is not None
            node.mover.set_target(version.manifest)

    async def _set_up(self, session: aiohttp.ClientSession) -> None:
        for version in (self.first, self.second):
            for chunk in version.manifest.chunks:
                self.origin.blobs[chunk.blob_name] = version.data[chunk.digest]
        domains = [f"d{number}" for number in range(self.plan.domains)]
        fronts = {name: self.origin.listener(name) for name in domains}
        await self.origin.start()
        await asyncio.gather(*(node.start() for node in self.nodes))
        instances = [node.instance for node in self.nodes if node.instance]
        for node in self.nodes:
            domain = node.place.failure_domain
            assert node.instance is not None
            self.cut.domains[node.instance.address] = domain
            node.origin = blobs.HttpStore(
                fronts[domain].address, session, part="origin"
            )
            node.mover = movers.make(node)
        for node in self.nodes:
            assert node.mover is not None
            node.mover.set_fleet(instances)
            await node.mover.start()

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.plan.warm_up_s)
        found = self.found
        cpu = time.process_time()
        found.began = loop.time()
        self.set_target(self.first)
        injecting = asyncio.ensure_future(faults_lib.inject(self))
        try:
            async with asyncio.timeout(self.plan.timeout_s):
                # Looked at from outside, as an operator
                # would do.
                while not (  # noqa: ASYNC110
                    self._serve_what_is_whole() and injecting.done()
                ):
                    await asyncio.sleep(_POLL_S)
            injecting.result()
            found.finished = loop.time()
        except TimeoutError:
            injecting.cancel()
        found.ended = loop.time()
        found.cpu_s = time.process_time() - cpu
        found.machines = self.nodes
        found.live = self.live
        found.origin_bytes = self.origin.bytes_served
        found.digest = self.target.manifest.digest
        found.contents = {replicas.content_digest([])}
        for version in (self.first, self.second):
            digests = [chunk.digest for chunk in version.manifest.chunks]
            found.contents.add(replicas.content_digest(digests))

    def _serve_what_is_whole(self) -> bool:
        """Loads where all chunks are in; returns whether all serve."""
        now = asyncio.get_running_loop().time()
        manifest = self.target.manifest
        all_serve = True
        for node in self.live:
            assert node.mover is not None
            if node.serves == manifest.digest:
                continue
            all_serve = False
            if not node.loading and node.mover.complete:
                node.loading = manifest.digest
                task = asyncio.ensure_future(node.serve(manifest, now))
                self._loading.add(task)
                task.add_done_callback(self._loading.discard)
        return all_serve

    async def _tear_down(self) -> None:
        await asyncio.gather(*(node.stop() for node in self.live))
        await self.origin.stop()


async def run(plan: types_.Plan, virtual: bool) -> Found:
    """Runs a rollout, in real or in virtual time.

    In virtual time the loop jumps to the next timer whenever nothing is ready.
    Code, sockets and links are the same, but the processor is never the limit,
    so that what is measured is the design.
    """
    if not virtual:
        return await Rollout(plan, clocks.SystemClock()).run()
    clock = virtual_clocks.VirtualClock()
    return await asyncio.to_thread(
        virtual_clocks.run, Rollout(plan, clock).run(), clock, _GRACE_S
    )
