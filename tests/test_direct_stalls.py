"""Tests what a stall of the event loop does to requests and calls."""

import asyncio

import platform_site as sites
import structlog
import test_direct_stream_ends as ends

from clementinegw.direct import client
from clementinegw.direct import server as servers
from clementinegw.direct import timeouts


def play_stalls(stalls, between_s):
    """Plays a stream over stalls in which reports and events arrive late.

    Returns:
      How often the stream was sent to a server.
    """

    async def serve(call):
        begun = ends.begun_at(call)
        call.begin_stream()
        for number in range(begun + 1, ends.EVENTS + 1):
            call.event(number)
            await asyncio.sleep(1.1 if number == 1 else 0.05)
        call.end_stream()

    async def play():
        async with ends.LoadedSite("i-1", "i-2", on_call=serve) as site:
            await site.report_for(1.0)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await site.report_for(0.3)
            loop = asyncio.get_running_loop()
            for stall_s in stalls:
                loop.clock.advance(stall_s)
                # One datagram is read in each turn of the loop.
                for _ in range(6):
                    await asyncio.sleep(0)
                site.report()
                await asyncio.sleep(between_s)
            await site.report_for(1.5)
            await stream
            return sum(len(server.calls) for server in site.servers)

    return sites.run(play())


def test_one_stall_does_not_make_a_server_with_an_agent_silent():
    """A stream left a sound server whose agent's reports were unread."""
    assert play_stalls([0.5], 0.1) == 1


def test_two_stalls_do_not_make_a_server_with_an_agent_silent():
    """A stream left its sound server at the second of two stalls."""
    assert play_stalls([0.2, 0.5], 0.19) == 1


def test_a_stream_stays_at_its_server_over_stalls_in_a_row():
    """A stream left a sound server whose events were unread."""

    async def play():
        sound = ends.Servers(pause_s=0.05)
        async with ends.LoadedSite("i-1", "i-2", on_call=sound.serve) as site:
            await site.report_for(0.5)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.08)
            clock = asyncio.get_running_loop().clock
            for _ in range(4):
                clock.advance(0.5)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            answer = await stream
            return answer, sum(len(s.calls) for s in site.servers)

    answer, calls = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, ends.WHOLE)
    assert calls == 1


def call_over_a_stall(stall_s, limits):
    """Returns the result of a call whose answer arrives during a stall."""

    async def handler(request, responder):
        del request
        await responder.answer(200, [], b"whole")

    async def play():
        server = servers.Server(handler)
        address = await sites.listen(server)
        pool = client.Pool(address, 4, 1.0, 10.0)
        connection, _ = await pool.acquire()
        pool.release(connection)
        headers = [(b"host", b"h")]
        call = asyncio.ensure_future(
            pool.call("GET", "/", headers, b"", 1 << 20, limits)
        )
        for _ in range(2):
            await asyncio.sleep(0)
        asyncio.get_running_loop().clock.advance(stall_s)
        try:
            head, body = await call
            return head.status, body
        finally:
            await server.stop()

    return sites.run(play())


def test_an_answer_that_arrives_during_a_stall_is_read():
    """A call ended as timed out with its answer in the socket."""
    limits = timeouts.Timeouts(2.5, 1.0)
    assert call_over_a_stall(3.0, limits) == (200, b"whole")


def test_a_connection_that_opens_during_a_stall_is_open():
    """A server that had accepted a connection counted as unreachable."""

    async def play():
        server = servers.Server(lambda request, responder: None)
        address = await sites.listen(server)
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.clock.advance, 0.5)
        try:
            connection = await client.connect(address, 0.25)
        finally:
            await server.stop()
        connection.close()

    sites.run(play())


def test_a_stall_while_connections_open_fails_no_attempt():
    """All servers got a cooldown from one stall."""

    async def play():
        async with sites.Site(*(f"i-{n}" for n in range(4))) as site:
            asks = [
                asyncio.ensure_future(site.ask(f"/safe/{n}")) for n in range(12)
            ]
            while not any(server.connections for server in site.servers):
                await asyncio.sleep(0)
            asyncio.get_running_loop().clock.advance(0.5)
            return [answer.status for answer in await asyncio.gather(*asks)]

    with structlog.testing.capture_logs() as log:
        assert set(sites.run(play())) == {200}
    assert [x for x in log if x["event"] == "attempt_ended"] == []


def test_a_broken_stream_outlives_a_stall_while_a_connection_opens(monkeypatch):
    """A stream was broken off because a stall counted as failed connecting."""

    async def play():
        async with sites.Site("i-1", "i-2", on_call=ends.break_off) as site:
            connect = client.connect
            loop = asyncio.get_running_loop()
            connections = []

            async def stalled_connect(address, timeout_s):
                connections.append(address)
                if len(connections) == 2:
                    loop.call_soon(loop.clock.advance, 1.0)
                return await connect(address, timeout_s)

            monkeypatch.setattr(client, "connect", stalled_connect)
            return await site.ask("/stream/1")

    answer = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, ends.WHOLE)
