"""Runs one rollout over loopback TCP with shaped links."""

import asyncio
import dataclasses
import random
import time

import aiohttp

from clementinegw import clock as clocks
from clementinegw.bench import _rollout_faults as faults_lib
from clementinegw.bench import _rollout_fetchers as fetchers
from clementinegw.bench import _rollout_node as nodes
from clementinegw.bench import _rollout_replica as replicas
from clementinegw.bench import _rollout_types as types_
from clementinegw.platform import store as blobs
from clementinegw.testing import clock as virtual_clocks
from clementinegw.testing import platform as platforms

_POLL_INTERVAL_S = 0.01
# Real seconds that the kernel gets before each jump of the virtual clock.
_GRACE_S = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """Measurements of one rollout.

    Attributes:
      plan: Parameters of the rollout.
      started_at: Loop time at which the target was set.
      finished_at: Loop time at which every live replica served the newest
        version; None if the run was abandoned.
      ended_at: Loop time at which the measurement ended.
      cpu_s: Processor seconds of the process from start to end.
      machines: All machines.
      live: The machines that were alive at the end.
      origin_bytes: Bytes that the origin sent.
      healed_at: Loop time at which a partition ended; None without one.
      origin_bytes_at_heal: Bytes that the origin had sent at that time.
      digest: Digest of the newest version's manifest.
      contents: Content digests that answers from complete weights carry.
      events: Injected faults, each with the seconds since the start.
    """

    plan: types_.Plan
    started_at: float = 0.0
    finished_at: float | None = None
    ended_at: float = 0.0
    cpu_s: float = 0.0
    machines: list[nodes.Node] = dataclasses.field(default_factory=list)
    live: list[nodes.Node] = dataclasses.field(default_factory=list)
    origin_bytes: int = 0
    healed_at: float | None = None
    origin_bytes_at_heal: int = 0
    digest: str = ""
    contents: set[bytes] = dataclasses.field(default_factory=set)
    events: list[str] = dataclasses.field(default_factory=list)


class Rollout:
    """Runs one rollout from set-up to tear-down."""

    def __init__(self, plan: types_.Plan, clock: clocks.Clock):
        """Creates the versions and machines without starting them."""
        self.plan = plan
        self.rng = random.Random(f"{plan.seed}-faults")
        self.first, self.second = types_.make_versions(plan)
        self.target = self.first
        self.partition = nodes.Partition()
        self.origin = platforms.BlobServer(clock, plan.origin_rate)
        self.result = Result(plan)
        self.nodes = [
            nodes.Node(plan, number, self.partition, clock)
            for number in range(plan.replicas)
        ]
        self._loading: set[asyncio.Task] = set()

    @property
    def live(self) -> list[nodes.Node]:
        """The machines that are alive."""
        return [node for node in self.nodes if node.alive]

    async def run(self) -> Result:
        """Runs the rollout and returns its measurements."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._set_up(session)
            try:
                await self._measure()
            finally:
                await self._tear_down()
        return self.result

    def set_target(self, version: types_.Version) -> None:
        """Sets a version as the target of all live machines at once."""
        self.target = version
        for node in self.live:
            assert node.fetcher is not None
            node.fetcher.set_target(version.manifest)

    async def _set_up(self, session: aiohttp.ClientSession) -> None:
        for version in (self.first, self.second):
            for chunk in version.manifest.chunks:
                self.origin.blobs[chunk.blob_name] = version.data[chunk.digest]
        domains = [f"d{number}" for number in range(self.plan.domains)]
        front_servers = {name: self.origin.listener(name) for name in domains}
        await self.origin.start()
        await asyncio.gather(*(node.start() for node in self.nodes))
        instances = [node.instance for node in self.nodes if node.instance]
        for node in self.nodes:
            domain = node.place.failure_domain
            assert node.instance is not None
            self.partition.domains[node.instance.address] = domain
            node.origin = blobs.HttpStore(
                front_servers[domain].address, session, part="origin"
            )
            node.fetcher = fetchers.make(node)
        for node in self.nodes:
            assert node.fetcher is not None
            node.fetcher.set_fleet(instances)
            await node.fetcher.start()

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.plan.warm_up_s)
        result = self.result
        cpu = time.process_time()
        result.started_at = loop.time()
        self.set_target(self.first)
        injecting = asyncio.ensure_future(faults_lib.inject(self))
        try:
            async with asyncio.timeout(self.plan.timeout_s):
                # Polled from outside, as an operator would.
                while not (  # noqa: ASYNC110
                    self._load_complete_replicas() and injecting.done()
                ):
                    await asyncio.sleep(_POLL_INTERVAL_S)
            injecting.result()
            result.finished_at = loop.time()
        except TimeoutError:
            injecting.cancel()
        result.ended_at = loop.time()
        result.cpu_s = time.process_time() - cpu
        result.machines = self.nodes
        result.live = self.live
        result.origin_bytes = self.origin.bytes_served
        result.digest = self.target.manifest.digest
        result.contents = {replicas.content_digest([])}
        for version in (self.first, self.second):
            digests = [chunk.digest for chunk in version.manifest.chunks]
            result.contents.add(replicas.content_digest(digests))

    def _load_complete_replicas(self) -> bool:
        """Loads complete versions; returns whether all replicas serve.

        A replica loads the target once its store holds all chunks.
        """
        now = asyncio.get_running_loop().time()
        manifest = self.target.manifest
        all_serve = True
        for node in self.live:
            assert node.fetcher is not None
            if node.serving_digest == manifest.digest:
                continue
            all_serve = False
            if not node.loading_digest and node.fetcher.complete:
                node.loading_digest = manifest.digest
                task = asyncio.ensure_future(node.load_version(manifest, now))
                self._loading.add(task)
                task.add_done_callback(self._loading.discard)
        return all_serve

    async def _tear_down(self) -> None:
        await asyncio.gather(*(node.stop() for node in self.live))
        await self.origin.stop()


async def run(plan: types_.Plan, virtual: bool) -> Result:
    """Runs a rollout, in real or in virtual time.

    In virtual time the loop jumps to the next timer whenever nothing is ready.
    Code, sockets and links are the same, but the processor is never the limit,
    so that the figures depend on the design alone.
    """
    if not virtual:
        return await Rollout(plan, clocks.SystemClock()).run()
    clock = virtual_clocks.VirtualClock()
    return await asyncio.to_thread(
        virtual_clocks.run, Rollout(plan, clock).run(), clock, _GRACE_S
    )
