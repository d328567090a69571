"""Tests for simulated processes: partitions, pauses and kills."""

import asyncio
import gc

import aiohttp
from aiohttp import web
import pytest

from clementinegw.testing import clock as clocks
from clementinegw.testing import processes

GRACE_S = 0.01


def in_process_loop(test):
    """Runs a test with a process loop, in virtual time over real sockets."""

    async def main():
        loop = asyncio.get_running_loop()
        try:
            await test(loop)
        finally:
            loop.clear_faults()

    def run():
        clocks.run(main(), None, GRACE_S, processes.ProcessLoop)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


class Server:
    """An HTTP server in a process, which counts seconds and requests."""

    def __init__(self, loop, name, place):
        self.loop = loop
        self.name = name
        self.place = place
        self.ticks = 0
        self.port = 0
        self.requested = []

    async def start(self):
        started = self.loop.create_future()
        self.loop.spawn(self.name, self.place, self._run(started))
        self.port = await started

    async def _run(self, started):
        app = web.Application()
        app.router.add_get("/{path}", self._answer)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        started.set_result(runner.addresses[0][1])
        while True:
            await asyncio.sleep(1.0)
            self.ticks += 1

    async def _answer(self, request):
        self.requested.append(request.match_info["path"])
        return web.Response(text=self.name)


async def fetch(port, path, timeout_s=3.0):
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"http://127.0.0.1:{port}/{path}") as response,
    ):
        return await response.text()


async def run_in(loop, place, coroutine):
    return await loop.spawn(f"client-{place}", place, coroutine)


@in_process_loop
async def test_partition_delays_bytes_and_heal_delivers_them(loop):
    """Checks that a partition makes calls hang and refuses none.

    The network between two failure domains drops packets. Once it recovers,
    TCP delivers the data that was sent before.
    """
    server = Server(loop, "server", "noord")
    await server.start()
    assert await run_in(loop, "zuid", fetch(server.port, "one")) == "server"

    loop.partition("noord", "zuid")
    with pytest.raises(TimeoutError):
        await run_in(loop, "zuid", fetch(server.port, "two"))
    assert await run_in(loop, "midden", fetch(server.port, "three")) == "server"
    assert server.requested == ["one", "three"]

    delayed = loop.spawn("late", "zuid", fetch(server.port, "four", 60.0))
    await asyncio.sleep(20.0)
    assert server.requested == ["one", "three"]
    loop.heal("noord", "zuid")
    assert await delayed == "server"
    assert "four" in server.requested


class Inbox(asyncio.DatagramProtocol):
    """Records the received datagrams."""

    def __init__(self):
        self.received = []

    def datagram_received(self, data, addr):
        self.received.append(data)


@in_process_loop
async def test_partition_loses_datagrams(loop):
    async def listen(inbox):
        transport, _ = await loop.create_datagram_endpoint(
            lambda: inbox, local_addr=("127.0.0.1", 0)
        )
        return transport

    noord, zuid = Inbox(), Inbox()
    sender = await loop.spawn("a", "noord", listen(noord))
    receiver = await loop.spawn("b", "zuid", listen(zuid))
    address = receiver.get_extra_info("sockname")
    sender.sendto(b"before", address)
    await asyncio.sleep(0.1)
    loop.partition("zuid", "noord")
    sender.sendto(b"lost", address)
    await asyncio.sleep(0.1)
    loop.heal("noord", "zuid")
    sender.sendto(b"after", address)
    await asyncio.sleep(0.1)
    assert zuid.received == [b"before", b"after"]


@in_process_loop
async def test_paused_process_does_not_run_until_resumed(loop):
    """Checks the pause that makes a process act on a lapsed lease.

    The process is suspended with its timers and sockets, as on a stopped
    machine. When it resumes, all its overdue timers fire at once.
    """
    server = Server(loop, "server", "noord")
    await server.start()
    await asyncio.sleep(5.5)
    assert server.ticks == 5
    loop.pause("server")
    with pytest.raises(TimeoutError):
        await run_in(loop, "noord", fetch(server.port, "one"))
    await asyncio.sleep(30.0)
    assert (server.ticks, server.requested) == (5, [])

    loop.resume("server")
    await asyncio.sleep(0.1)
    assert (server.ticks, server.requested) == (6, ["one"])
    assert await run_in(loop, "noord", fetch(server.port, "two")) == "server"


@in_process_loop
async def test_killed_process_resets_its_connections_and_stops(loop):
    server = Server(loop, "server", "noord")
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"GET /one HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readuntil(b"server")
    loop.kill("server")

    with pytest.raises(ConnectionResetError):
        await reader.read()
    with pytest.raises(aiohttp.ClientConnectorError):
        await run_in(loop, "noord", fetch(server.port, "two"))
    ticks = server.ticks
    await asyncio.sleep(10.0)
    assert server.ticks == ticks
    writer.close()


@in_process_loop
async def test_garbage_of_a_killed_process_closes_no_other_socket(loop):
    """Guards against a call that hangs after another process was killed.

    The killed process's sockets are closed and their descriptors reused for new
    sockets. When its objects are garbage-collected, its transports close the
    descriptors again, because they store the number and not the socket.
    """
    first = Server(loop, "first", "noord")
    await first.start()
    held = []

    async def hold():
        held.append(aiohttp.ClientSession())
        async with held[0].get(f"http://127.0.0.1:{first.port}/x") as response:
            await response.read()

    await loop.spawn("holder", "noord", hold())
    loop.kill("holder")
    second = Server(loop, "second", "noord")
    await second.start()
    calls = [
        loop.spawn(f"c{n}", "noord", fetch(second.port, str(n), 60.0))
        for n in range(8)
    ]
    await asyncio.sleep(0)
    with pytest.warns(ResourceWarning):
        held.clear()
        gc.collect()
    assert await asyncio.gather(*calls) == ["second"] * 8
