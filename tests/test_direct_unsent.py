"""Tests requests that are withdrawn before they were sent."""

import asyncio

import platform_site
import pytest
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


def test_a_server_is_given_the_time_that_is_left_when_a_request_is_sent(
    monkeypatch,
):
    """Guards against work for callers that have left.

    The time was computed before the connection was opened.
    """
    platform_site.slow_connections(monkeypatch, 0.5)

    async def play():
        async with platform_site.Site("i-1") as site:
            answer = await site.ask("/safe/1", deadline_ms=2_000)
            (call,) = site.servers[0].calls
            return answer.status, call.headers["x-clementinegw-deadline-ms"]

    status, left_ms = platform_site.run(play())
    assert status == 200
    assert 1_300 < int(left_ms) <= 1_500


@pytest.mark.parametrize("how", ["stopped", "suspended"])
def test_a_request_that_expired_while_its_connection_opened_is_not_sent(
    monkeypatch, how
):
    """Guards against work for callers that left while the entry stood still."""
    connect = client.connect
    sites = []

    async def connect_and_stand_still(address, timeout_s):
        connection = await connect(address, timeout_s)
        if how == "suspended":
            sites[0].suspended_s += 4.0
        else:
            asyncio.get_running_loop().clock.advance(4.0)
        return connection

    async def play():
        async with platform_site.Site("i-1") as site:
            sites.append(site)
            monkeypatch.setattr(client, "connect", connect_and_stand_still)
            answer = await site.ask("/safe/1", deadline_ms=2_000)
            return answer.status, len(site.servers[0].calls)

    assert platform_site.run(play()) == (504, 0)
