"""Maintains the connections to the agents in this entry's subset."""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import random
from typing import Protocol

from clementinegw import exceptions
from clementinegw import types
from clementinegw.requests import _events
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import connection as connection_lib

_MIN_RECONNECT_DELAY_S = 0.1
_MAX_RECONNECT_DELAY_S = 5.0


class Connector(Protocol):
    """The part of `wire.connection.Endpoint` that opens connections."""

    async def connect(
        self, address: types.Address
    ) -> connection_lib.Connection:
        """Returns a new or existing connection.

        Raises:
          ConnectionLost: The connection could not be opened.
        """


@dataclasses.dataclass(slots=True)
class _Link:
    instance: types.Instance
    task: asyncio.Task
    connection: connection_lib.Connection | None = None


class AgentConnections:
    """Maintains one connection to each chosen agent and reopens lost ones."""

    def __init__(
        self,
        connector: Connector,
        on_change: Callable[[types.Instance, bool], None],
        log: logs.Log,
        counters: counters_lib.Counters,
        rng: random.Random,
    ):
        """Starts without connections.

        Args:
          connector: Opens the connections.
          on_change: Called with the agent and whether it is connected, after
            each change.
          log: Receives the log events.
          counters: Counts the failures.
          rng: Randomizes the delays between attempts to connect.
        """
        self._connector = connector
        self._on_change = on_change
        self._log = log
        self._counters = counters
        self._rng = rng
        self._links: dict[str, _Link] = {}

    def set_chosen(self, chosen: Iterable[types.Instance]) -> None:
        """Sets the agents to connect to."""
        wanted = {i.instance_id: i for i in chosen}
        for name in [n for n in self._links if n not in wanted]:
            self._links.pop(name).task.cancel()
        for name, instance in wanted.items():
            link = self._links.get(name)
            if link is not None and link.instance.address == instance.address:
                continue
            if link is not None:
                link.task.cancel()
            task = asyncio.ensure_future(self._connect(instance))
            self._links[name] = _Link(instance, task)

    def on_disconnected(self, connection: connection_lib.Connection) -> None:
        """Reopens a connection that ended, if its agent is still chosen."""
        link = self._links.get(connection.peer.instance_id)
        if link is None or link.connection is not connection:
            return
        link.connection = None
        self._log.write(
            _events.AGENT_DISCONNECTED, agent=link.instance.instance_id
        )
        self._counters.add("requests.agent_disconnected")
        self._on_change(link.instance, False)
        link.task = asyncio.ensure_future(self._connect(link.instance))

    def close(self) -> None:
        """Stops opening connections."""
        for link in self._links.values():
            link.task.cancel()
        self._links.clear()

    async def _connect(self, instance: types.Instance) -> None:
        delay_s = _MIN_RECONNECT_DELAY_S
        while True:
            try:
                connection = await self._connector.connect(instance.address)
            except exceptions.ConnectionLost:
                pass
            else:
                # `on_disconnected` did not know one that was lost meanwhile.
                if not connection.closed:
                    break
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(_MAX_RECONNECT_DELAY_S, delay_s * 2)
        link = self._links.get(instance.instance_id)
        if link is not None:
            link.connection = connection
        self._log.write(_events.AGENT_CONNECTED, agent=instance.instance_id)
        self._on_change(instance, True)
