"""Fault injection for the requests bench."""

import asyncio
from collections.abc import Awaitable, Callable
import random

from clementinegw.bench import _requests_cluster
from clementinegw.bench import _requests_network

_MAX_STALL_S = 7.0
_MAX_DOWN_S = 2.0
_MAX_LOG_DOWN_S = 4.0
_MAX_PARTITION_S = 6.0
# Delay from the start of a drain to the update of the list of members.
_MEMBER_LIST_DELAY_S = 3.0
_FIRST_FAULT_DELAY_S = 3.0


class FaultInjector:
    """Injects faults at random times, with one task for each kind."""

    def __init__(
        self,
        cluster: _requests_cluster.Cluster,
        loop: _requests_network.MemoryLoop,
        rng: random.Random,
        kinds: tuple[str, ...],
    ):
        """Creates the injector; `start` starts the tasks.

        Args:
          cluster: The cluster whose parts fail.
          loop: The event loop with the network of the cluster.
          rng: Chooses the times and the affected agents.
          kinds: The kinds of faults; kinds without an injector are ignored.
        """
        self._cluster = cluster
        self._loop = loop
        self._rng = rng
        self._kinds = kinds
        self._tasks: list[asyncio.Task] = []
        self._leaving: set[str] = set()
        self.counts: dict[str, int] = {}

    def start(self) -> None:
        """Starts one task for each kind of fault."""
        for kind in self._kinds:
            inject = self._INJECTORS.get(kind)
            if inject is not None:
                rng = random.Random(self._rng.random())
                self._tasks.append(
                    asyncio.ensure_future(self._repeat(kind, inject, rng))
                )

    async def stop(self) -> None:
        """Stops the tasks and removes all injected faults."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._cluster.log.faults.down = False
        for agent in self._cluster.agents:
            agent.backend.stalled = False
            agent.backend.restart()
        self._loop.heal()

    async def _repeat(
        self,
        kind: str,
        inject: Callable[["FaultInjector", random.Random], Awaitable[None]],
        rng: random.Random,
    ) -> None:
        await asyncio.sleep(_FIRST_FAULT_DELAY_S)
        while True:
            await asyncio.sleep(rng.uniform(1.0, 6.0))
            self.counts[kind] = self.counts.get(kind, 0) + 1
            await inject(self, rng)

    def _pick_agent(self, rng: random.Random) -> _requests_cluster.Agent:
        candidates = [
            agent
            for agent in self._cluster.agents
            if agent.instance.instance_id not in self._leaving
        ]
        return rng.choice(candidates)

    async def _crash(self, rng: random.Random) -> None:
        agent = self._pick_agent(rng)
        agent.backend.crash()
        await asyncio.sleep(rng.uniform(0.0, _MAX_DOWN_S))
        agent.backend.restart()

    async def _stall(self, rng: random.Random) -> None:
        agent = self._pick_agent(rng)
        agent.backend.stalled = True
        await asyncio.sleep(rng.uniform(0.5, _MAX_STALL_S))
        agent.backend.stalled = False

    async def _drain(self, rng: random.Random) -> None:
        """Replaces an agent; the list of members is updated with a delay."""
        agent = self._pick_agent(rng)
        self._leaving.add(agent.instance.instance_id)
        await self._cluster.add_agent()
        drained = asyncio.ensure_future(agent.gate.leave(60.0))
        await asyncio.sleep(_MEMBER_LIST_DELAY_S)
        self._cluster.remove(agent)
        await drained
        await agent.endpoint.close()

    async def _log_down(self, rng: random.Random) -> None:
        faults = self._cluster.log.faults
        faults.answer_lost = rng.randrange(3)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        faults.down = True
        await asyncio.sleep(rng.uniform(0.5, _MAX_LOG_DOWN_S))
        faults.down = False

    async def _partition(self, rng: random.Random) -> None:
        """Partitions one entry from some agents; no connection is closed."""
        entry = rng.choice(self._cluster.entries).instance.instance_id
        agents = [a.instance.instance_id for a in self._cluster.agents]
        unreachable = rng.sample(agents, max(1, len(agents) // 3))
        for name in unreachable:
            self._loop.set_partitioned(entry, name)
        await asyncio.sleep(rng.uniform(0.5, _MAX_PARTITION_S))
        for name in unreachable:
            self._loop.set_partitioned(entry, name, on=False)

    _INJECTORS = {
        "crash": _crash,
        "stall": _stall,
        "drain": _drain,
        "logdown": _log_down,
        "partition": _partition,
    }
