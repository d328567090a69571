"""Connections of an agent to its peers."""

import asyncio

from clementinegw import types
from clementinegw.testing import clock as clocks
from clementinegw.weights import _transfer_connections
from clementinegw.weights import swarm
from clementinegw.wire import connection

MAX_CALLS = 100


class FakeConnection:
    """An open connection."""

    closed = False

    def __init__(self, name):
        self.peer = connection.Identity(
            name, types.Role.AGENT, types.Place("r", "d")
        )


class Endpoint:
    """Returns an existing connection without waiting, as the real one does."""

    def __init__(self, connection):
        self.connection = connection
        self.calls = 0

    def on_connected(self, handler):
        pass

    def on_disconnected(self, handler):
        pass

    async def connect(self, address):
        self.calls += 1
        assert self.calls < MAX_CALLS, "connects without a delay"
        return self.connection


async def run(name):
    """Connects to peer `a1` at an address where `name` answers."""
    endpoint = Endpoint(FakeConnection(name))
    events = []
    peer_connections = _transfer_connections.PeerConnections(
        endpoint, events.append
    )
    peer_connections.set_addresses({"a1": types.Address("127.0.0.1", 1)})
    peer_connections.keep_connected("a1")
    peer_connections.start()
    await asyncio.sleep(0.05)
    failed = [
        task.exception()
        for task in peer_connections._connect_tasks.values()
        if task.done() and task.exception()
    ]
    await peer_connections.stop()
    return endpoint, events, failed


async def test_existing_connection_is_adopted():
    # An agent did not respond and kept one core busy. The settings connect to a
    # peer before the weights set their callback for connections, and then the
    # weights connect to that peer. The existing connection was returned at
    # once, was never reported, and was requested again without a delay.
    endpoint, events, failed = await run("a1")
    assert failed == []
    assert endpoint.calls == 1
    assert [type(event) for event in events] == [swarm.PeerUp]


async def test_another_peer_at_the_address_does_not_block_the_process():
    endpoint, _, failed = await run("a2")
    assert failed == []
    assert endpoint.calls == 1


class ClosingEndpoint(Endpoint):
    """Connects, reports the connection, and loses it at once."""

    def __init__(self):
        super().__init__(None)

    def on_connected(self, handler):
        self._connected = handler

    def on_disconnected(self, handler):
        self._disconnected = handler

    async def connect(self, address):
        del address
        self.calls += 1
        await asyncio.sleep(0.001)
        opened = FakeConnection("a1")
        self._connected(opened)
        asyncio.get_running_loop().call_soon(self._disconnected, opened)
        return opened


def test_peer_that_closes_each_connection_is_retried_with_delays():
    """A peer that accepted and closed connections kept an agent's core busy.

    Delays grew only while no connection was established. Each one that was
    reset them, and the next one was opened at once.
    """

    async def run_connections():
        endpoint = ClosingEndpoint()
        peer_connections = _transfer_connections.PeerConnections(
            endpoint, lambda event: None
        )
        peer_connections.set_addresses({"a1": types.Address("127.0.0.1", 1)})
        peer_connections.keep_connected("a1")
        peer_connections.start()
        await asyncio.sleep(10.0)
        await peer_connections.stop()
        return endpoint.calls

    assert clocks.run(run_connections()) <= 10
