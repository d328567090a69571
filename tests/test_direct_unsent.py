"""Tests requests that are withdrawn before they were sent."""

import asyncio

import test_direct_due

from clementinegw.direct import client
from clementinegw.testing import clock as clocks


def test_a_request_withdrawn_before_it_was_sent_has_not_run(monkeypatch):
    """A caller was told that its request may have run, though it was not sent.

    The connection to the server was still being opened when the server's
    weights became too old, and that counted as an attempt.
    """
    connect = client.connect
    slow_addresses = []

    async def connect_slowly(address, timeout_s):
        if str(address) in slow_addresses:
            await asyncio.sleep(0.24)
        return await connect(address, timeout_s)

    monkeypatch.setattr(client, "connect", connect_slowly)

    async def play():
        async with test_direct_due.Site("i-1") as site:
            (server,) = site.servers
            slow_addresses.append(server.address)
            site.name()
            await asyncio.sleep(7.65)
            answer = await site.ask(headers=test_direct_due.MODEL)
            return answer.status, len(server.calls)

    assert clocks.run(play(), grace_s=0.002) == (503, 0)
