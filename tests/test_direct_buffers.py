"""Tests that callers and servers that read slowly do not exhaust the memory."""

import asyncio
import contextlib
import math
import socket

import platform_site as sites
import pytest

from clementinegw.direct import buffer_budget
from clementinegw.direct import instance as instances
from clementinegw.direct import server as servers
from clementinegw.telemetry import counters as counters_lib

_LIMIT_BYTES = 512 << 10
_CHUNK_BYTES = 8 << 10
_CHUNKS = 64
_REQUEST = b"GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n"


async def _stream(request, responder):
    await responder.begin(200, [])
    for _ in range(_CHUNKS):
        await responder.send(b"x" * _CHUNK_BYTES)
        await asyncio.sleep(0.01)
    await responder.end()


async def _connect(address):
    """Returns a connection whose caller receives little before it reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return await asyncio.open_connection(sock=sock, limit=4_096)


async def _read_chunks(reader, pause_s=0.0):
    """Returns what is received until the last chunk or the connection's end."""
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(64 << 10):
            received += data
            if received.endswith(b"\r\n0\r\n\r\n"):
                break
            await asyncio.sleep(pause_s)
    return bytes(received)


class _Site:
    """A server with a budget for its buffers.

    Attributes:
      budget: The budget.
      counters: The server's counters.
      peak_bytes: The most bytes that were held at a time.
    """

    def __init__(self, limit_bytes=_LIMIT_BYTES):
        self.budget = buffer_budget.BufferBudget(limit_bytes)
        self.counters = counters_lib.Counters()
        self.peak_bytes = 0

    async def __aenter__(self):
        self._server = servers.Server(
            _stream, counters=self.counters, buffers=self.budget
        )
        self._address = await sites.listen(self._server)
        self._server._server.sockets[0].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096
        )
        self._watching = asyncio.ensure_future(self._watch())
        return self

    async def __aexit__(self, *_):
        self._watching.cancel()
        await self._server.stop()

    async def connect(self):
        """Sends a request; returns the connection, which reads little ahead."""
        address = self._address.host, self._address.port
        reader, writer = await _connect(address)
        writer.write(_REQUEST)
        return reader, writer

    async def ask(self, pause_s=0.0):
        """Returns all bytes of the answer to a caller that reads."""
        reader, writer = await self.connect()
        received = await _read_chunks(reader, pause_s)
        writer.close()
        return received

    async def _watch(self):
        while True:
            self.peak_bytes = max(self.peak_bytes, self.budget.held_bytes)
            await asyncio.sleep(0.01)


def _is_whole(answer):
    return answer.startswith(b"HTTP/1.1 200") and answer.count(b"x") == (
        _CHUNKS * _CHUNK_BYTES
    )


def test_callers_that_do_not_read_leave_memory_for_others():
    """Guards against a process that is killed for what slow callers leave."""

    async def play():
        async with _Site() as site:
            slow = [await site.connect() for _ in range(40)]
            reading = asyncio.ensure_future(site.ask(pause_s=0.05))
            await asyncio.sleep(1.0)
            refused = await site.ask()
            await asyncio.sleep(4.0)
            accepted = await site.ask()
            answers = (await reading, refused, accepted)
            for _, writer in slow:
                writer.close()
            await asyncio.sleep(0.1)
            return answers, site

    (reading, refused, accepted), site = sites.run(play())
    assert _is_whole(reading)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nretry-after: 1\r\n" in refused
    assert _is_whole(accepted)
    assert site.peak_bytes < 2 * _LIMIT_BYTES
    assert site.counters.value("direct.request_invalid.no_memory") == 1
    assert site.counters.value("direct.caller_slow.memory") > 0
    assert site.budget.held_bytes == 0


def test_callers_that_pause_are_not_cut_off_while_memory_is_ample():
    """Guards against a budget that changes anything before it is reached."""

    async def play():
        async with _Site(64 << 20) as site:
            reader, writer = await site.connect()
            await asyncio.sleep(8.0)
            received = await _read_chunks(reader)
            writer.close()
            return received, site

    answer, site = sites.run(play())
    assert _is_whole(answer)
    assert site.counters.value("direct.caller_slow.memory") == 0


def test_answers_have_memory_left_when_new_requests_are_refused():
    """Guards against accepted requests that fail for what new ones hold."""
    budget = buffer_budget.BufferBudget(1_000)
    memory = buffer_budget.AnswerMemory(budget)
    while budget.reserve_new(50):
        pass
    assert not budget.reserve_new(50)
    memory.add(200)
    with pytest.raises(buffer_budget.OutOfMemory):
        memory.add(100)
    memory.release()
    memory.release()
    assert budget.held_bytes == 750


def test_without_a_known_bound_nothing_is_refused():
    """Guards against a limit in deployments that name none."""
    budget = buffer_budget.BufferBudget(buffer_budget.limit_for(None))
    budget.change(1 << 50)
    assert budget.limit_bytes == math.inf
    assert not budget.short
    assert budget.reserve_new(1 << 50)


def test_the_limit_leaves_memory_for_the_process():
    """Guards against a limit that counts memory the process needs itself."""
    assert buffer_budget.limit_for(200e6) == 68e6
    assert buffer_budget.limit_for(30e6) > 0
    assert buffer_budget.limit_for(0.0) == math.inf


@pytest.mark.parametrize("path", ["/safe/1", "/once/1"])
def test_answers_that_exceed_the_memory_fail_alone(path):
    """Guards against large answers that take the memory all at once."""
    body = b"y" * 60_000

    async def play():
        async with sites.Site(
            "i-1", on_call=lambda call: call.answer(body)
        ) as site:
            site.entry._buffers.limit_bytes = 40_000
            failed = await site.ask(path)
            site.entry._buffers.limit_bytes = 400_000
            whole = await site.ask(path)
            await asyncio.sleep(0.1)
            return failed, whole, site

    failed, whole, site = sites.run(play())
    assert failed.status == 502
    assert (whole.status, whole.body) == (200, body)
    assert site.counters.value("direct.attempt.no_memory") > 0
    assert site.entry._buffers.held_bytes == 0


def test_a_server_that_breaks_off_an_unread_stream_is_not_blamed():
    """A request counted as crashing servers because its caller paused."""
    count = 40

    async def serve(call):
        seen = int(call.headers.get("last-event-id", 0))
        call.begin_stream()
        for number in range(seen + 1, count + 1):
            data = f"id: {number}\ndata: {'z' * 4_000}\n\n".encode()
            call.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            if not seen and number == count - 5:
                await asyncio.sleep(2.0)
                call.reset()
                return
        call.end_stream()

    request = (
        "POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
        "X-Clementinegw-Attempt-Id: a1\r\n"
        f"Authorization: Token {sites.KEY}\r\n\r\n"
    ).encode()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            config = sites.config(2)
            for route in config["routes"]:
                route["timeout_ms"] = 60_000
            site.store.put("keyed.op", "config", config)
            site.entry._server._server.sockets[0].setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096
            )
            await asyncio.sleep(0.5)
            reader, writer = await _connect(site.address)
            writer.write(request)
            await asyncio.sleep(4.0)
            answer = await _read_chunks(reader)
            writer.close()
            rates = [b.failure_rate for b in site.entry._fleet.all()]
            return site, answer, rates, site.entry._forwarder.guard.suspicions()

    site, answer, rates, suspicions = sites.run(play())
    assert answer.count(b"data: ") == count
    assert site.counters.value("direct.attempt.unread") == 1
    assert site.counters.value("direct.attempt.broken") == 0
    assert (rates, suspicions) == ([0.0, 0.0], ())


def test_the_memory_in_the_instance_file_is_optional(tmp_path):
    """Guards against instance files of before that are refused."""
    path = tmp_path / "instance.json"
    text = (
        '{"name": "a", "place": {"region": "r", "failure_domain": "d"},'
        ' "host": "127.0.0.1", "store_address": "127.0.0.1:1",'
        ' "peer_ports": [1, 2]%s}'
    )
    path.write_text(text % "")
    assert instances.read(path).memory_bytes is None
    path.write_text(text % ', "memory_mb": 200')
    assert instances.read(path).memory_bytes == 200e6
