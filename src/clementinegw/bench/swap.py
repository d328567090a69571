"""Measures the swap of a service's workers: clementinegw bench swap.

Runs the real lease decisions of all workers in virtual time over a log of
limited rate and compares time and appends with the bound (as many workers out
as the share allows, at all times) and with two other policies: `waves` gives
every worker a fixed time slot, `none` swaps all workers at once.
"""

import asyncio
import dataclasses
import enum
import math
import random
import time
from typing import Any

from absl import flags

from clementinegw import exceptions
from clementinegw.platform import log
from clementinegw.telemetry import counters as metrics
from clementinegw.testing import clock as clocks
from clementinegw.testing import links
from clementinegw.testing import memory
from clementinegw.weights import _swap_runner
from clementinegw.weights import swap as swaps

_SERVICE = "bench"
_REQUESTS_PER_S = 100.0
_LOG_LATENCY_S = 0.005


class Policy(enum.StrEnum):
    """How the workers schedule their swaps."""

    LEASES = "leases"
    WAVES = "waves"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of one run.

    Attributes:
      policy: How the workers schedule their swaps.
      workers: Number of workers.
      share: The maximum share of the workers that may be out.
      drain_s: Mean seconds until a worker's requests have finished.
      load_s: Mean seconds of a load; the maximum is 1.5 times that.
      ready_s: Seconds within which all workers have their chunks.
      dead: Number of workers that die while they are out.
      appends_per_s: Maximum rate of the log.
      seed: Seed of all random numbers.
    """

    policy: Policy
    workers: int
    share: float
    drain_s: float
    load_s: float
    ready_s: float
    dead: int
    appends_per_s: float
    seed: int

    @property
    def slot_s(self) -> float:
        """The maximum seconds that a worker is out."""
        return 1.5 * (self.drain_s + self.load_s)


def define(flag_values: flags.FlagValues) -> None:
    """Defines the measurement's flags."""
    flags.DEFINE_enum_class(
        "policy",
        Policy.LEASES,
        Policy,
        "How the workers schedule their swaps.",
        flag_values=flag_values,
    )
    for name, default, text in (
        ("workers", 120, "Workers of the service."),
        ("dead", 0, "Workers that die while they are out."),
        ("seed", 1, "Seed of all random numbers."),
    ):
        flags.DEFINE_integer(name, default, text, flag_values=flag_values)
    for name, value, text in (
        (
            "share",
            0.25,
            "Maximum share of workers that may be out for loading.",
        ),
        ("drain_s", 2.0, "Mean seconds until a worker's requests end."),
        ("load_s", 20.0, "Mean seconds of a load."),
        ("ready_s", 2.0, "Seconds within which all have their chunks."),
        ("appends_per_s", 300.0, "Appends per second that the log accepts."),
    ):
        flags.DEFINE_float(name, value, text, flag_values=flag_values)


async def run(flag_values: flags.FlagValues) -> dict[str, Any]:
    """Runs the plan that the flags describe."""
    plan = Plan(
        policy=flag_values.policy,
        workers=flag_values.workers,
        share=flag_values.share,
        drain_s=flag_values.drain_s,
        load_s=flag_values.load_s,
        ready_s=flag_values.ready_s,
        dead=flag_values.dead,
        appends_per_s=flag_values.appends_per_s,
        seed=flag_values.seed,
    )
    if not 0 < plan.share <= 1 or not 0 <= plan.dead < plan.workers:
        raise exceptions.UsageError(
            "bench swap: expected 0 < share <= 1 and 0 <= dead < workers"
        )
    return await asyncio.to_thread(measure, plan)


def measure(plan: Plan) -> dict[str, Any]:
    """Runs one plan in virtual time and returns the figures."""
    clock = clocks.VirtualClock()
    started_at = time.process_time()
    result = clocks.run(_Fleet(plan, clock).run(), clock)
    cpu_s = time.process_time() - started_at
    result["cpu_ms_per_worker"] = round(1000 * cpu_s / plan.workers, 2)
    return result


class _RateLimitedLog:
    """A log client whose appends are limited to the log's rate."""

    def __init__(self, client: memory.MemoryLog, bucket: links.TokenBucket):
        self._client = client
        self._bucket = bucket

    async def append(self, stream: str, value: bytes) -> int:
        """Appends a record; see `log.LogClient`."""
        await self._bucket.take()
        await asyncio.sleep(_LOG_LATENCY_S)
        return await self._client.append(stream, value)

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> log.Page:
        """Reads records; see `log.LogClient`."""
        await asyncio.sleep(_LOG_LATENCY_S)
        return await self._client.read(stream, offset, limit, wait_s)


class _Fleet:
    """All workers of a run and the set of those that are out."""

    def __init__(self, plan: Plan, clock: clocks.VirtualClock):
        self.plan = plan
        self.clock = clock
        self.rng = random.Random(plan.seed)
        self.log = memory.MemoryLog(clock)
        self.bucket = links.TokenBucket(plan.appends_per_s, clock=clock)
        self.limit = swaps.max_out(plan.share, plan.workers)
        self.out: set[int] = set()
        self.peak_out = 0
        self.completed_at: list[float] = []
        self.total_out_s = 0.0
        self.all_finished = asyncio.Event()

    async def run(self) -> dict[str, Any]:
        """Runs all workers until each has finished or died."""
        started_at = self.clock.now()
        workers = [_Worker(self, number) for number in range(self.plan.workers)]
        tasks = [asyncio.create_task(worker.run()) for worker in workers]
        await self.all_finished.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self._result(started_at)

    def record_out(self, number: int) -> None:
        """Records that a worker stops accepting requests."""
        self.out.add(number)
        self.peak_out = max(self.peak_out, len(self.out))

    def record_finished(self, number: int, dead: bool = False) -> None:
        """Records that a worker serves the new version or has died."""
        self.out.discard(number)
        if not dead:
            self.completed_at.append(self.clock.now())
        if len(self.completed_at) + self.plan.dead == self.plan.workers:
            self.all_finished.set()

    def _result(self, started_at: float) -> dict[str, Any]:
        plan = self.plan
        seconds = sorted(at - started_at for at in self.completed_at)
        records = self.log.all(_swap_runner.stream_name(_SERVICE))
        at_once = plan.workers if plan.policy is Policy.NONE else self.limit
        bound_s = self.total_out_s / at_once
        return {
            "policy": plan.policy.value,
            "workers": plan.workers,
            "max_out": self.limit,
            "most_out": self.peak_out,
            "seconds_to_half": round(seconds[len(seconds) // 2], 1),
            "seconds_to_all": round(seconds[-1], 1),
            "bound_seconds": round(bound_s, 1),
            "ratio_to_bound": round(seconds[-1] / bound_s, 2),
            "appends": len(records),
            "appends_per_worker": round(len(records) / plan.workers, 2),
            "peak_appends_per_s": _peak_per_second(
                [record.time for record in records]
            ),
        }


class _Worker:
    """A simulated agent that drains, loads and serves."""

    def __init__(self, fleet: _Fleet, number: int):
        plan, rng = fleet.plan, fleet.rng
        self._fleet = fleet
        self._number = number
        self._drain_s = plan.drain_s * rng.uniform(0.5, 1.5)
        self._load_s = plan.load_s * rng.uniform(0.5, 1.5)
        self._ready_s = rng.uniform(0.0, plan.ready_s)
        self._dies = number < plan.dead
        fleet.total_out_s += self._drain_s + self._load_s
        self._granted = asyncio.Event()
        self._covered = asyncio.Event()
        timing = swaps.Timing(max_load_s=1.5 * plan.load_s)
        self._swap = _swap_runner.SwapRunner(
            swaps.Swap(f"worker-{number}", random.Random(rng.random()), timing),
            _RateLimitedLog(fleet.log.client(), fleet.bucket),
            _SERVICE,
            fleet.clock,
            metrics.Counters(),
            self._on_swap,
        )

    async def run(self) -> None:
        """Swaps once, by the policy of the plan."""
        await asyncio.sleep(self._ready_s)
        turns = {
            Policy.LEASES: self._by_lease,
            Policy.WAVES: self._by_wave,
            Policy.NONE: self._swap_now,
        }
        await turns[self._fleet.plan.policy]()

    async def _by_lease(self) -> None:
        fleet = self._fleet
        running = asyncio.create_task(self._swap.run())
        try:
            self._swap.acquire(
                fleet.limit, fleet.plan.workers / _REQUESTS_PER_S
            )
            await self._granted.wait()
            fleet.record_out(self._number)
            await asyncio.sleep(self._drain_s)
            self._swap.cover()
            await self._covered.wait()
            if self._dies:
                running.cancel()
                fleet.record_finished(self._number, dead=True)
                return
            await asyncio.sleep(self._load_s)
            fleet.record_finished(self._number)
            self._swap.release()
            await asyncio.Event().wait()
        finally:
            running.cancel()

    async def _by_wave(self) -> None:
        fleet = self._fleet
        waves = math.ceil(fleet.plan.workers / fleet.limit)
        slot_start_s = (self._number % waves) * fleet.plan.slot_s
        # The slots don't depend on readiness: a worker that is ready after its
        # slot has started waits for the next round.
        ready_s = self._ready_s
        while slot_start_s < ready_s:
            slot_start_s += waves * fleet.plan.slot_s
        await asyncio.sleep(slot_start_s - ready_s)
        await self._swap_now()

    async def _swap_now(self) -> None:
        self._fleet.record_out(self._number)
        await asyncio.sleep(self._drain_s)
        if not self._dies:
            await asyncio.sleep(self._load_s)
        self._fleet.record_finished(self._number, dead=self._dies)

    def _on_swap(self, action: swaps.Action) -> None:
        if isinstance(action, swaps.Granted):
            self._granted.set()
        elif isinstance(action, swaps.Covered):
            self._covered.set()


def _peak_per_second(times: list[float]) -> int:
    """Returns the maximum number of records in one second of log time."""
    seconds: dict[int, int] = {}
    for timestamp in times:
        seconds[int(timestamp)] = seconds.get(int(timestamp), 0) + 1
    return max(seconds.values(), default=0)
