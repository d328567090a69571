"""The world of a scenario: a whole deployment on the loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from clementinegw import exceptions
from clementinegw.scenario import _callers
from clementinegw.scenario import _fleet
from clementinegw.scenario import _releases
from clementinegw.scenario import types
from clementinegw.scenario import world as worlds
from clementinegw.settings import changes
from clementinegw.settings import model as models
from clementinegw.testing import clock as clocks
from clementinegw.testing import ledger as ledgers
from clementinegw.testing import memory
from clementinegw.testing import processes

FIRST_VERSION = "v1"
_START_TIMEOUT_S = 120.0
_LOOK_S = 0.1
# An operator whose change could not be published tries again so much later.
_OPERATOR_PAUSE_S = 1.0


class DeployedWorld:
    """A deployment with its callers and operators, in virtual time."""

    def __init__(self, scenario: types.Scenario, clock: clocks.VirtualClock):
        """Prepares a deployment; must be called inside a `ProcessLoop`.

        Args:
          scenario: Says what stands where.
          clock: The loop's clock.
        """
        loop = asyncio.get_running_loop()
        assert isinstance(loop, processes.ProcessLoop)
        self._scenario = scenario
        self._clock = clock
        self._loop = loop
        self._releases = _releases.Releases(scenario, FIRST_VERSION)
        self._fleet = _fleet.Fleet(
            scenario, loop, clock, self._releases.version_bytes
        )
        self._declared: dict[str, str] = {}
        self._mixed = 0
        self._actions: dict[type, Callable[[Any], Awaitable[None]]] = {
            types.Declare: self._declare,
            types.Change: self._change,
            types.FaultPart: self._fault_part,
            types.FaultProcess: self._fault_process,
            types.Cut: self._cut,
        }
        self._measures: dict[
            types.Measure, Callable[[types.Quantity], float]
        ] = {
            types.Measure.SERVING: self._serving,
            types.Measure.IN_FORCE: self._in_force,
            types.Measure.COUNTER: self._counter,
            types.Measure.ORIGIN_COPIES: self._origin_copies,
            types.Measure.MIXED: lambda _: self._mixed,
        }

    @property
    def clock(self) -> clocks.VirtualClock:
        """The time that everything runs in."""
        return self._clock

    @property
    def ledger(self) -> ledgers.Ledger:
        """What the backend servers saw."""
        return self._fleet.ledger

    async def start(self) -> None:
        """Starts all of it with the first version of each model service."""
        self._releases.put_into(self._fleet.platform.origin.blobs)
        await self._fleet.start()
        names = self._fleet.model_services
        declared = {name: self._releases.model(FIRST_VERSION) for name in names}
        for name in names:
            self._declared[name] = FIRST_VERSION
        await self._fleet.change_settings(
            "the first settings",
            *self._fleet.tree_operations(declared),
            *(changes.Set(s.path, s.value) for s in self._scenario.settings),
        )
        end = self._clock.now() + _START_TIMEOUT_S
        while not self._is_ready():
            if self._clock.now() > end:
                raise exceptions.CheckFailed(
                    "the deployment did not come up; the scenario has not begun"
                )
            await asyncio.sleep(_LOOK_S)

    async def stop(self) -> None:
        """Ends all of it."""
        await self._fleet.stop()

    async def act(self, action: types.Action) -> None:
        """Does one thing; see `world.World`."""
        await self._actions[type(action)](action)

    async def send(self, call: worlds.Call) -> worlds.Observed:
        """Sends a request through an entry; see `world.World`."""
        message = _callers.message(
            call, self._releases.digest, str(self._scenario.seed)
        )
        entries = self._fleet.entries_in(call.load.place)
        began = self._clock.now()
        if not entries:
            reply = _callers.Reply(
                ledgers.CallerOutcome.UNKNOWN, reason=_callers.CONNECTION
            )
        else:
            entry = entries[int(call.draw * len(entries))]
            reply = await _callers.send(
                self._fleet.session, entry.http_address, call.load, message
            )
        return self._observe(message, reply, self._clock.now() - began)

    def measure(self, quantity: types.Quantity) -> float:
        """Returns what the deployment shows; see `world.World`."""
        return self._measures[quantity.measure](quantity)

    def everyone(self, quantity: types.Quantity) -> float:
        """Returns how many could be counted; see `world.World`."""
        if quantity.measure is types.Measure.SERVING:
            return self._fleet.workers_of(quantity.name)
        return len(self._fleet.cores())

    def _is_ready(self) -> bool:
        return all(
            self._fleet.serving(name, FIRST_VERSION)
            == self._fleet.workers_of(name)
            for name in self._fleet.model_services
        ) and all(c.follower.current is not None for c in self._fleet.cores())

    def _observe(
        self, message: _callers.Message, reply: _callers.Reply, seconds: float
    ) -> worlds.Observed:
        answered = reply.told is ledgers.CallerOutcome.ANSWERED
        right = message.expected(reply.version) if answered else b""
        wrong = answered and reply.whole and reply.answer != right
        if wrong and message.is_text:
            known = map(message.expected, self._releases.versions)
            self._mixed += reply.answer not in set(known)
        seen = ledgers.CallerRecord(
            request_id=reply.request_id,
            outcome=reply.told,
            key=message.key,
            idempotent=not message.key,
            complete=reply.whole,
            expected=right if answered else None,
            answer=reply.answer,
        )
        return worlds.Observed(seen, reply.reason, seconds, wrong)

    async def _declare(self, action: types.Declare) -> None:
        self._declared[action.service] = action.version
        await self._publish(
            f"services.{action.service}.model",
            self._releases.model(action.version),
        )

    async def _change(self, action: types.Change) -> None:
        await self._publish(action.setting.path, action.setting.value)

    async def _publish(self, path: str, value: Any) -> None:
        while True:
            try:
                await self._fleet.change_settings(
                    "scenario", changes.Set(path, value)
                )
                return
            except exceptions.PlatformUnavailable:
                await asyncio.sleep(_OPERATOR_PAUSE_S)

    async def _fault_part(self, action: types.FaultPart) -> None:
        server = getattr(self._fleet.platform, action.part)
        if action.fault is types.PartFault.TRUNCATE:
            self._fleet.truncate_log()
            return
        field, value = _PART_FAULTS[action.fault](action.amount)
        if field:
            setattr(server.faults, field, value)
        else:
            server.faults = memory.Faults()

    async def _fault_process(self, action: types.FaultProcess) -> None:
        await self._fleet.fault(action.process, action.fault)

    async def _cut(self, action: types.Cut) -> None:
        platform = self._fleet.platform
        if not action.other:
            change = platform.heal if action.joined else platform.partition
            change(action.place)
            return
        change_two = self._loop.heal if action.joined else self._loop.partition
        change_two(action.place, action.other)

    def _serving(self, quantity: types.Quantity) -> float:
        return self._fleet.serving(quantity.name, quantity.detail)

    def _in_force(self, quantity: types.Quantity) -> float:
        path = changes.split(quantity.name)
        return sum(
            _holds(core.follower.current, path, quantity.value)
            for core in self._fleet.cores()
        )

    def _counter(self, quantity: types.Quantity) -> float:
        cores = self._fleet.cores(quantity.process)
        return sum(core.counters.value(quantity.name) for core in cores)

    def _origin_copies(self, quantity: types.Quantity) -> float:
        version = self._declared[quantity.name]
        drawn = self._fleet.platform.origin.bytes_served_by_name
        return self._releases.copies(version, drawn)


_PART_FAULTS: dict[
    types.PartFault, Callable[[float], tuple[str, bool | float | int]]
] = {
    types.PartFault.DOWN: lambda _: ("down", True),
    types.PartFault.STALL: lambda _: ("stalled", True),
    types.PartFault.SLOW: lambda amount: ("slow_s", amount),
    types.PartFault.LOSE_ANSWERS: lambda count: ("answer_lost", int(count)),
    types.PartFault.CORRUPT: lambda count: ("corrupt", int(count)),
    types.PartFault.HEAL: lambda _: ("", False),
}


def _holds(state: Any, path: changes.Path, value: Any) -> bool:
    if state is None:
        return False
    try:
        return changes.lookup(models.dump_tree(state.tree), path) == value
    except KeyError:
        return False
