"""What every scene shares: virtual time, hosts, network, log, hooks."""

import asyncio
from collections.abc import Callable, Coroutine
import contextvars
import random
import traceback
from typing import Any

from clementinegw import exceptions
from clementinegw import types
from clementinegw.matrix import hosts
from clementinegw.matrix import network as networks
from clementinegw.matrix import types as matrix_types
from clementinegw.telemetry import counters
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.testing import ledger as ledgers
from clementinegw.testing import memory

SEED = 7
_SETTLE_STEPS = 20


class SilentLog(logs.Log):
    """Writes nothing: thousands of cells would drown what matters."""

    def bind(self, **fields: Any) -> "SilentLog":
        """Returns itself."""
        return self

    def write(self, event: events.Event, **fields: Any) -> None:
        """Drops the line."""


class HookedLog(memory.MemoryLog):
    """A client of the log that tells the world of appends.

    Attributes:
      prefix: Of the streams whose appends are steps; empty for none.
    """

    def __init__(self, world: "World", root: memory.MemoryLog, prefix: str):
        super().__init__(world.clock, records=root._records)
        self.prefix = prefix
        self._world = world

    async def append(self, stream: str, value: bytes) -> int:
        """Appends a record between two hooks."""
        if self.prefix and stream.startswith(self.prefix):
            self._world.reached("append_sent")
        return await super().append(stream, value)

    def put(self, stream: str, value: bytes) -> int:
        """Takes effect; the answer is still on its way."""
        offset = super().put(stream, value)
        if self.prefix and stream.startswith(self.prefix):
            self._world.reached("append_taken")
        return offset


class World:
    """The surroundings of one scene."""

    def __init__(
        self,
        path: matrix_types.Path,
        injections: tuple[matrix_types.Injection, ...],
    ):
        """Starts the clock.

        Args:
          path: Knows the faults by name.
          injections: Which faults strike at which steps.
        """
        self.clock = clocks.VirtualClock()
        self.loop = networks.NetworkLoop(self.clock)
        self.network = self.loop.network
        self.ledger = ledgers.Ledger()
        self.log = memory.MemoryLog(self.clock)
        self.rng = random.Random(SEED)
        self.silent = SilentLog()
        # Steps reached before the scene's own part begins do not count.
        self.armed = True
        self.struck = 0
        self.counters = counters.Counters()
        self.defects: list[str] = []
        self._path = path
        # Without faults, or with one of ordinary operation, every request is
        # answered; two of them may leave nobody to serve.
        self.calm = len(injections) <= 1 and all(
            path.fault(i.fault).graceful for i in injections
        )
        self._waiting = list(injections)
        self._scene: Any = None
        self._next_host = 0

    @property
    def defective(self) -> bool:
        """Whether an error came up that the program does not expect."""
        failed = self.counters.value("wire.call_failed")
        return bool(self.defects) or failed > 0

    def host(self, name: str, domain: str, region: str = "noord") -> hosts.Host:
        """Returns a new host with an address of its own."""
        self._next_host += 1
        address = types.Address(f"127.1.0.{self._next_host}", 7000)
        return hosts.Host(name, address, types.Place(region, domain))

    def replacement(self, host: hosts.Host) -> hosts.Host:
        """Returns a new host in the place and at the address of another."""
        return hosts.Host(host.name, host.address, host.place)

    def reached(self, step: str) -> None:
        """Tells that a step is reached; the faults planned for it strike."""
        if not self.armed:
            return
        due = [i for i in self._waiting if i.step == step]
        for injection in due:
            self._waiting.remove(injection)
            self.struck += 1
            self._path.fault(injection.fault).strike(self._scene)

    def start(
        self, host: hosts.Host, coroutine: Coroutine[Any, Any, Any]
    ) -> "asyncio.Task[Any]":
        """Runs a coroutine as code of a host."""
        return hosts.run_on(host, self.loop, coroutine)

    def later(self, seconds: float, callback: Callable, *args: Any) -> None:
        """Calls back after some time, as nobody's code."""
        # Called by a fault that strikes within a host's code; the host's own
        # context would keep the end of its pause back for as long as it is
        # paused.
        nobody = contextvars.Context()
        self.loop.call_later(seconds, callback, *args, context=nobody)

    def partition(self, one: str, other: str, seconds: float) -> None:
        """Cuts two failure domains off from each other for some time."""
        self.network.cut(one, other)
        self.later(seconds, self.network.heal)

    def pause(self, host: hosts.Host, seconds: float) -> None:
        """Freezes a host for some time."""
        self.loop.pause(host)
        self.later(seconds, self.loop.wake, host)

    def run(self, scene: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Plays a scene to its end and tears everything down."""
        self._scene = scene
        self.loop.set_exception_handler(self._on_exception)
        with asyncio.Runner(loop_factory=lambda: self.loop) as runner:
            try:
                return runner.run(coroutine)
            finally:
                self.loop.end()

    def _on_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Notes errors that nobody caught: each is a defect of the program."""
        del loop
        error = context.get("exception")
        expected = (exceptions.ClementineError, asyncio.CancelledError)
        if error is not None and not isinstance(error, expected):
            self.defects.append("".join(traceback.format_exception(error)))
