"""Connections of an agent to its peers that others opened first."""

import asyncio

from clementinegw import types
from clementinegw.testing import clock as clocks
from clementinegw.weights import _transfer_connections
from clementinegw.weights import swarm
from clementinegw.wire import connection

MOST_CALLS = 100


class Kept:
    """A connection that is up."""

    closed = False

    def __init__(self, name):
        self.peer = connection.Identity(
            name, types.Role.AGENT, types.Place("r", "d")
        )


class Endpoint:
    """Returns a kept connection without waiting, as the real one does."""

    def __init__(self, kept):
        self.kept = kept
        self.calls = 0

    def on_connected(self, handler):
        pass

    def on_disconnected(self, handler):
        pass

    async def connect(self, address):
        self.calls += 1
        assert self.calls < MOST_CALLS, "it asks without pause"
        return self.kept


async def run(name):
    """Wants peer `a1` at an address where `name` answers."""
    endpoint = Endpoint(Kept(name))
    given = []
    links = _transfer_connections.PeerConnections(endpoint, given.append)
    links.set_addresses({"a1": types.Address("127.0.0.1", 1)})
    links.keep_connected("a1")
    links.start()
    await asyncio.sleep(0.05)
    failed = [
        task.exception()
        for task in links._connect_tasks.values()
        if task.done() and task.exception()
    ]
    await links.stop()
    return endpoint, given, failed


async def test_connection_opened_by_others_is_taken():
    # Symptom: an agent answers nobody and one core is busy. Sequence: the
    # settings ask a peer before the weights listen for connections; the weights
    # then want that peer. Cause: a kept connection is returned at once, was
    # never told of, and was asked for again without a pause.
    endpoint, given, failed = await run("a1")
    assert failed == []
    assert endpoint.calls == 1
    assert [type(event) for event in given] == [swarm.PeerUp]


async def test_other_peer_at_the_address_does_not_block_the_process():
    endpoint, _, failed = await run("a2")
    assert failed == []
    assert endpoint.calls == 1


class Brief(Endpoint):
    """Connects, tells of it, and loses the connection at once."""

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
        kept = Kept("a1")
        self._connected(kept)
        asyncio.get_running_loop().call_soon(self._disconnected, kept)
        return kept


def test_a_peer_that_ends_each_connection_is_not_asked_without_pause():
    """A peer took connections and ended each, and kept an agent's core busy.

    Pauses grew only while none came up: each that did began them anew, and the
    next one was asked for at once.
    """

    async def play():
        endpoint = Brief()
        links = _transfer_connections.PeerConnections(
            endpoint, lambda event: None
        )
        links.set_addresses({"a1": types.Address("127.0.0.1", 1)})
        links.keep_connected("a1")
        links.start()
        await asyncio.sleep(10.0)
        await links.stop()
        return endpoint.calls

    assert clocks.run(play()) <= 10
