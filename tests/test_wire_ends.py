"""Tests of errors in one handler of a connection that many calls share."""

import asyncio

import pytest
import requests_script as script

from clementinegw import types
from clementinegw.bench import _requests_network as network
from clementinegw.telemetry import counters as counters_lib
from clementinegw.wire import connection

Kind = connection.Kind


def _fail(*arguments):
    raise KeyError("odd")


async def _connect(prepare):
    """Returns a connection and the counters of the endpoint that opened it."""
    network.CURRENT_HOST.set("agent")
    identity = connection.Identity("agent", types.Role.AGENT, script.PLACE)
    agent = connection.Endpoint(identity, script.KEYS, script.LOG)

    async def answer_late(link, exchange, frame):
        link.notify(Kind.AGENT_LOAD)
        await asyncio.sleep(1)
        await exchange.send(Kind.TOMBSTONED)

    agent.on_call(Kind.TOMBSTONE, answer_late)
    address = await agent.listen(types.Address("127.0.0.1", 0))
    network.CURRENT_HOST.set("entry")
    counters = counters_lib.Counters()
    identity = connection.Identity("entry", types.Role.ENTRY, script.PLACE)
    entry = connection.Endpoint(identity, script.KEYS, script.LOG, counters)
    prepare(entry)
    return await entry.connect(address), counters


@pytest.mark.parametrize("register", ["on_notice", "on_connected"])
def test_error_in_a_handler_leaves_the_calls_of_a_connection(register):
    """Guards against streams that end because of an error in other work."""

    def prepare(entry):
        if register == "on_notice":
            entry.on_notice(Kind.AGENT_LOAD, _fail)
        else:
            entry.on_connected(_fail)

    async def test(clock, loop):
        link, counters = await _connect(prepare)
        frame = await connection.call(link, Kind.TOMBSTONE, b"", 5)
        assert frame.kind == Kind.TOMBSTONED
        assert counters.value("wire.handler_failed") == 1

    script.run(test)


def test_error_in_a_handler_leaves_the_other_handlers():
    """Guards against a lost connection that only some parts learn of."""
    told = []

    def prepare(entry):
        entry.on_disconnected(_fail)
        entry.on_disconnected(told.append)

    async def test(clock, loop):
        link, counters = await _connect(prepare)
        link.abort()
        await asyncio.sleep(1)
        assert told == [link]
        assert counters.value("wire.handler_failed") == 1

    script.run(test)
