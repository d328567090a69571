"""Tests how connections of callers end, and what callers and logs get then."""

import asyncio
import contextlib
import socket

import platform_site as sites
import pytest
import structlog.testing

from clementinegw.direct import server as servers
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

_REQUEST = b"GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n"


class _Harness:
    """A server with a handler, its log lines and its loop's error reports.

    Attributes:
      server: The server.
      counters: Its counters.
      lines: The log lines.
      loop_errors: What the event loop reported, such as errors that nobody
        retrieved.
    """

    def __init__(self, handler):
        self.counters = counters_lib.Counters()
        self.loop_errors = []
        self._handler = handler

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.loop_errors.append(context["message"])
        )
        self._stack = contextlib.ExitStack()
        self.lines = self._stack.enter_context(structlog.testing.capture_logs())
        self.server = servers.Server(self._handler, logs.Log(), self.counters)
        self.address = await sites.listen(self.server)
        # Connections inherit it: most of an answer waits in the process.
        listener = self.server._server.sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        return self

    async def __aexit__(self, *_):
        await self.server.stop()
        self._stack.close()

    def line(self, event):
        """Returns the only line of an event."""
        (line,) = [line for line in self.lines if line["event"] == event]
        return line

    async def connect(self, receive_bytes=None):
        """Opens a connection; limits its receive buffer if given."""
        sock = socket.socket()
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            sock, (self.address.host, self.address.port)
        )
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=receive_bytes or 65_536
        )
        return reader, writer

    async def exchange(self, data):
        """Sends bytes and returns what comes until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        received = await reader.read()
        writer.close()
        return received


async def _answer(request, responder):
    await responder.answer(200, [], request.target.encode())


# Handlers that raise or do not answer.


async def _raise_early(request, responder):
    raise KeyError("route")


async def _raise_cancelled(request, responder):
    task = asyncio.ensure_future(asyncio.sleep(60.0))
    task.cancel()
    await task


async def _send_an_invalid_header(request, responder):
    await responder.answer(200, [(b"bad\nname", b"x")], b"whole")


async def _end_too_early(request, responder):
    await responder.end()


async def _return_early(request, responder):
    pass


@pytest.mark.parametrize(
    ("handler", "error"),
    [
        (_raise_early, "KeyError: 'route'"),
        (_raise_cancelled, "CancelledError: "),
        (_send_an_invalid_header, "LocalProtocolError: "),
        (_end_too_early, "LocalProtocolError: "),
        (_return_early, ""),
    ],
)
def test_a_handler_that_fails_leaves_its_caller_an_answer_and_a_line(
    handler, error
):
    """Guards against a connection that closes without a byte and a log line."""

    async def play():
        async with _Harness(handler) as harness:
            answer = await harness.exchange(_REQUEST)
            await asyncio.sleep(0.1)
            return answer, harness

    answer, harness = sites.run(play())
    assert answer.startswith(b"HTTP/1.1 500 ")
    assert b"connection: close\r\n" in answer
    assert answer.endswith(b"\r\n\r\n")
    line = harness.line("request_unanswered")
    assert line["error"].startswith(error)
    assert (line["target"], line["begun"]) == ("/x", False)
    assert harness.counters.value("direct.request_unanswered") == 1
    assert not harness.loop_errors


def test_an_answer_that_fails_midway_is_broken_off():
    """Guards against an incomplete answer that looks complete."""

    async def handler(request, responder):
        await responder.begin(200, [])
        await responder.send(b"first")
        raise KeyError("second")

    async def play():
        async with _Harness(handler) as harness:
            answer = await harness.exchange(_REQUEST)
            await asyncio.sleep(0.1)
            return answer, harness

    answer, harness = sites.run(play())
    assert answer.endswith(b"5\r\nfirst\r\n")
    assert harness.line("request_unanswered")["begun"] is True
    assert not harness.loop_errors


# Less than what makes a write wait: the handler ends while it waits to be sent.
_TAIL = b"x" * (48 << 10)


async def _read_slowly(reader):
    """Returns all bytes of a connection, read with pauses."""
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(1 << 10):
            received += data
            await asyncio.sleep(0.005)
    return bytes(received)


def test_an_error_after_a_complete_answer_does_not_damage_it():
    """Guards against an abort that drops the unsent rest of a whole answer."""

    async def handler(request, responder):
        await responder.answer(200, [], _TAIL)
        raise KeyError("after the answer")

    async def play():
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect(receive_bytes=4096)
            writer.write(_REQUEST)
            answer = await _read_slowly(reader)
            writer.close()
            await asyncio.sleep(0.1)
            return answer, harness

    answer, harness = sites.run(play())
    body = answer.partition(b"\r\n\r\n")[2]
    assert (len(body), body) == (len(_TAIL), _TAIL)
    assert harness.line("request_unanswered")["ended"] is True
    assert not harness.loop_errors


# Connections that close while a request arrives.


@pytest.mark.parametrize(
    ("first", "second", "stall_s"),
    [
        (b"", _REQUEST, 20.0),
        (_REQUEST[:10], _REQUEST[10:], 5.0),
        (
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab",
            b"cd",
            30.0,
        ),
    ],
    ids=["idle", "head", "body"],
)
def test_bytes_that_arrive_while_the_loop_stands_still_are_read(
    first, second, stall_s
):
    """Guards against requests dropped because their timeout ended in a stall.

    Their bytes waited in the socket, and the timer ended in the same turn.
    """

    async def play():
        async with _Harness(_answer) as harness:
            reader, writer = await harness.connect()
            writer.write(first)
            await asyncio.sleep(0.1)
            writer.write(second)
            asyncio.get_running_loop().clock.advance(stall_s)
            answer = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return answer

    assert sites.run(play()).startswith(b"HTTP/1.1 200 ")
