"""Processes in one event loop that can be paused and killed like real ones.

Each process of a cell is a `Host`. Everything that its code schedules runs only
while the host is up: a paused host's callbacks wait and then run late, all at
once, as after SIGSTOP and SIGCONT; a dead host's callbacks never run.
"""

import asyncio
from collections.abc import Callable
import contextvars
import dataclasses
from typing import Any

from clementinegw import types
from clementinegw.testing import clock as clocks

_current: contextvars.ContextVar["Host | None"] = contextvars.ContextVar(
    "host", default=None
)


@dataclasses.dataclass(slots=True)
class _Scheduled:
    """A callback, and the handle by which its owner may cancel it."""

    callback: Callable
    args: tuple
    context: contextvars.Context
    handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Calls back unless it was cancelled, perhaps while it waited."""
        if self.handle is None or not self.handle.cancelled():
            self.callback(*self.args)


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """One process.

    Attributes:
      name: Its instance id.
      address: Where it listens, in the memory network.
      place: Where it stands.
      paused: Nothing of it runs until it wakes.
      dead: Nothing of it runs ever again.
    """

    name: str
    address: types.Address
    place: types.Place
    paused: bool = False
    dead: bool = False
    _late: list[_Scheduled] = dataclasses.field(default_factory=list)

    @property
    def up(self) -> bool:
        """Whether its code runs."""
        return not self.paused and not self.dead

    def context(self) -> contextvars.Context:
        """Returns a context whose code belongs to this host."""
        context = contextvars.copy_context()
        context.run(_current.set, self)
        return context

    def postpone(self, scheduled: _Scheduled) -> None:
        """Keeps a callback until the host wakes."""
        self._late.append(scheduled)

    def take_late(self) -> list[_Scheduled]:
        """Returns and forgets what waited."""
        late, self._late = self._late, []
        return late


def current() -> Host | None:
    """Returns the host whose code is running; None outside of any."""
    return _current.get()


class HostLoop(clocks.VirtualTimeLoop):
    """An event loop in virtual time that knows whose code it runs."""

    def __init__(self, clock: clocks.VirtualClock):
        super().__init__(clock)
        self._closing = False
        self._stopped: dict[Host, None] = {}

    def call_soon(self, callback, *args, context=None):  # type: ignore
        """Schedules a callback; see the module."""
        if context is None:
            context = contextvars.copy_context()
        host = context.get(_current)
        if self.is_closed():
            # What is left of a dead host's coroutines is closed when it is
            # collected; its last steps have nowhere to run.
            return asyncio.Handle(callback, args, self, context)
        if host is None:
            return super().call_soon(callback, *args, context=context)
        scheduled = _Scheduled(callback, args, context)
        scheduled.handle = super().call_soon(
            self._run_for, host, scheduled, context=context
        )
        return scheduled.handle

    def call_at(self, when, callback, *args, context=None):  # type: ignore
        """Schedules a timer; see the module."""
        if context is None:
            context = contextvars.copy_context()
        host = context.get(_current)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        scheduled = _Scheduled(callback, args, context)
        scheduled.handle = super().call_at(
            when, self._run_for, host, scheduled, context=context
        )
        return scheduled.handle

    def pause(self, host: Host) -> None:
        """Stops a host until `wake`."""
        host.paused = True

    def wake(self, host: Host) -> None:
        """Lets a paused host go on: what was due meanwhile runs now."""
        host.paused = False
        if host.up:
            self._catch_up(host)

    def kill(self, host: Host) -> None:
        """Ends a host for good."""
        host.dead = True

    def end(self) -> None:
        """Lets dead and paused hosts be torn down at the end of a cell.

        A task whose next step was kept back could otherwise not be cancelled.
        """
        self._closing = True
        for host in self._stopped:
            self._catch_up(host)

    def _run_for(self, host: Host, scheduled: _Scheduled) -> None:
        if self._closing or host.up:
            scheduled.run()
            return
        self._stopped[host] = None
        host.postpone(scheduled)

    def _catch_up(self, host: Host) -> None:
        for scheduled in host.take_late():
            super().call_soon(
                self._run_for, host, scheduled, context=scheduled.context
            )


def run_on(
    host: Host, loop: asyncio.AbstractEventLoop, coroutine: Any
) -> "asyncio.Task[Any]":
    """Starts a coroutine as code of a host."""
    return loop.create_task(coroutine, context=host.context())
