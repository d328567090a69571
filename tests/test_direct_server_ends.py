"""Tests how connections of callers end, and what callers and logs get then."""

import asyncio
import contextlib
import socket
import struct
from unittest import mock

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
        _limit_send_buffers(self.server)
        return self

    async def __aexit__(self, *_):
        await self.server.stop()
        self._stack.close()

    def line(self, event):
        """Returns the only line of an event."""
        (line,) = [line for line in self.lines if line["event"] == event]
        return line

    def accept(self, transport):
        """Opens a connection on a transport, as the loop does."""
        protocol = self.server._server._protocol_factory()
        protocol.connection_made(transport)

    async def connect(self, receive_bytes=None):
        """Opens a connection; limits its receive buffer if given."""
        address = self.address.host, self.address.port
        return await _connect(address, receive_bytes)

    async def exchange(self, data):
        """Sends bytes and returns what comes until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        received = await reader.read()
        writer.close()
        return received


async def _connect(address, receive_bytes=None):
    sock = socket.socket()
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return await asyncio.open_connection(
        sock=sock, limit=receive_bytes or 65_536
    )


def _limit_send_buffers(server):
    """Makes most of a large answer wait in the process."""
    listener = server._server.sockets[0]
    # Connections inherit it.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)


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


def test_a_handler_that_returns_as_its_caller_leaves_is_no_error():
    """Guards against error lines for callers that leave."""

    async def handler(request, responder):
        await responder.disconnected

    async def play():
        async with _Harness(handler) as harness:
            _, writer = await harness.connect()
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            return harness

    harness = sites.run(play())
    assert not harness.lines
    assert not harness.server._sessions


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


async def _begin_and_raise(request, responder):
    await responder.begin(200, [])
    await responder.send(b"first")
    raise KeyError("second")


async def _begin_and_abort(request, responder):
    await responder.begin(200, [])
    await responder.send(b"first")
    responder.abort()


@pytest.mark.parametrize("handler", [_begin_and_raise, _begin_and_abort])
def test_a_broken_off_answer_without_a_length_looks_incomplete(handler):
    """Guards against the part of an answer that is taken for all of it.

    An answer to HTTP/1.0 ends with its connection.
    """

    async def play():
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect()
            writer.write(b"GET /x HTTP/1.0\r\nHost: h.example\r\n\r\n")
            try:
                return await reader.read()
            except ConnectionResetError:
                return None
            finally:
                writer.close()

    assert sites.run(play()) is None


# Less than what makes a write wait: the handler ends while it waits to be sent.
_TAIL = b"x" * (48 << 10)


async def _read_slowly(reader):
    """Returns all bytes of a connection, read with pauses."""
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(1 << 10):
            received += data
            await asyncio.sleep(0.002)
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


async def _session(harness):
    """Returns the server's side of the only connection."""
    while not harness.server._sessions:
        await asyncio.sleep(0.01)
    (session,) = harness.server._sessions
    return session


def test_a_request_read_as_idle_connections_close_is_answered():
    """Guards against a request that is read and lost in a leaving process."""

    async def play():
        async with _Harness(_answer) as harness:
            reader, writer = await harness.connect()
            session = await _session(harness)
            # What the transport does when the bytes arrive in this turn.
            session.channel.data_received(_REQUEST)
            harness.server.announce_close()
            harness.server.close_idle()
            answer = await reader.read()
            writer.close()
            return answer

    answer = sites.run(play())
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close\r\n" in answer


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (_REQUEST[:10], _REQUEST[10:]),
        (
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab",
            b"cd",
        ),
    ],
)
def test_a_request_that_is_half_here_as_the_process_drains_is_answered(
    first, second
):
    """Guards against a connection that closes while its request arrives."""

    async def play():
        async with _Harness(_answer) as harness:
            reader, writer = await harness.connect()
            writer.write(first)
            await asyncio.sleep(0.1)
            harness.server.announce_close()
            harness.server.close_idle()
            idle = asyncio.ensure_future(harness.server.wait_idle())
            await asyncio.sleep(0.1)
            waited = not idle.done()
            writer.write(second)
            answer = await reader.read()
            writer.close()
            await idle
            return answer, waited

    answer, waited = sites.run(play())
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert waited


def test_a_request_behind_an_answer_that_announced_no_close_is_answered():
    """Guards against a request lost as the process starts to leave.

    The answer before it had begun, so it could not announce the close.
    """
    release = None

    async def handler(request, responder):
        await responder.begin(200, [])
        await release.wait()
        await responder.end()

    async def play():
        nonlocal release
        release = asyncio.Event()
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect()
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            harness.server.announce_close()
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            release.set()
            answers = await reader.read()
            writer.close()
            return answers

    answers = sites.run(play())
    assert answers.count(b"HTTP/1.1 200 ") == 2
    assert answers.count(b"connection: close\r\n") == 1


def test_a_kept_connection_closes_behind_its_last_answer():
    """Guards against a drain that waits for the idle timeout of a connection.

    Its answer ended after the idle connections had been closed.
    """
    release = None

    async def handler(request, responder):
        await responder.begin(200, [])
        await release.wait()
        await responder.end()

    async def play():
        nonlocal release
        release = asyncio.Event()
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect()
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            harness.server.announce_close()
            harness.server.close_idle()
            release.set()
            now = asyncio.get_running_loop().time
            began_at = now()
            answer = await reader.read()
            writer.close()
            return answer, now() - began_at

    answer, elapsed_s = sites.run(play())
    assert answer.endswith(b"0\r\n\r\n")
    assert elapsed_s < 0.1


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


# The end of the process.


def test_a_complete_answer_is_sent_to_its_end_when_the_server_stops():
    """Guards against a whole answer that the end of the process cuts off."""

    async def handler(request, responder):
        await responder.answer(200, [], _TAIL)

    async def play():
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect(receive_bytes=4096)
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            reading = asyncio.ensure_future(_read_slowly(reader))
            await harness.server.stop()
            connections = len(harness.server._channels)
            answer = await reading
            writer.close()
            return answer, connections

    answer, connections = sites.run(play())
    assert connections == 0
    body = answer.partition(b"\r\n\r\n")[2]
    assert (len(body), body) == (len(_TAIL), _TAIL)


def test_a_drain_waits_until_answers_are_sent():
    """Guards against a process that ends while an answer waits to be sent."""

    async def handler(request, responder):
        await responder.answer(200, [], _TAIL, close=True)

    async def play():
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect(receive_bytes=4096)
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            harness.server.close_idle()
            idle = asyncio.ensure_future(harness.server.wait_idle())
            await asyncio.sleep(1.0)
            waited = not idle.done()
            answer = await _read_slowly(reader)
            await idle
            writer.close()
            return answer, waited

    answer, waited = sites.run(play())
    assert waited
    assert len(answer.partition(b"\r\n\r\n")[2]) == len(_TAIL)


async def _wait_forever(request, responder):
    await asyncio.sleep(1e6)


async def _begin_and_wait(request, responder):
    await responder.begin(200, [])
    await asyncio.sleep(1e6)


@pytest.mark.parametrize(
    ("handler", "sent", "start", "end"),
    [
        (_wait_forever, _REQUEST, b"HTTP/1.1 500 ", b"\r\n\r\n"),
        (_begin_and_wait, _REQUEST, b"HTTP/1.1 200 ", b"chunked\r\n\r\n"),
        (_answer, _REQUEST[:10], b"HTTP/1.1 503 ", b"\r\n\r\n"),
        (_answer, b"", b"", b""),
    ],
    ids=["open", "begun", "half here", "idle"],
)
def test_callers_get_what_can_be_told_when_the_server_stops(
    handler, sent, start, end
):
    """Guards against requests that end without an answer in a stop."""

    async def play():
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect()
            writer.write(sent)
            await asyncio.sleep(0.1)
            await harness.server.stop()
            answer = await reader.read()
            writer.close()
            return answer

    answer = sites.run(play())
    assert answer.startswith(start)
    assert answer.endswith(end)


def test_stop_waits_for_what_handlers_do_when_they_are_cancelled():
    """Guards against a process that ends before its last lines are written."""
    finished = []

    async def handler(request, responder):
        try:
            await asyncio.sleep(1e6)
        finally:
            await asyncio.sleep(0.1)
            finished.append(request.target)

    async def play():
        async with _Harness(handler) as harness:
            _, writer = await harness.connect()
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            await harness.server.stop()
            writer.close()
            return list(finished)

    assert sites.run(play()) == ["/x"]


def test_no_session_starts_in_a_stopped_server():
    """Guards against a connection that is accepted as the server stops.

    Its session outlived the server.
    """

    async def play():
        async with _Harness(_answer) as harness:
            await harness.server.stop()
            transport = mock.Mock(spec=asyncio.Transport)
            transport.get_extra_info.return_value = None
            # What the loop does with a connection that it accepted before.
            harness.accept(transport)
            return transport.abort.called, len(harness.server._sessions)

    assert sites.run(play()) == (True, 0)


# Callers that close their sending side.


async def _work_on(call):
    await asyncio.sleep(30.0)


async def _stream_on(call):
    call.begin_stream()
    call.event(1)
    await asyncio.sleep(30.0)


@pytest.mark.parametrize(
    ("path", "on_call", "pause_s", "start", "calls"),
    [
        ("/safe/1", _work_on, 0.1, b"HTTP/1.1 500 ", 1),
        ("/safe/1", _work_on, 0.0, b"HTTP/1.1 500 ", 0),
        ("/stream/1", _stream_on, 0.1, b"HTTP/1.1 200 ", 1),
    ],
    ids=["waiting", "at once", "begun"],
)
def test_a_caller_that_closes_its_sending_side_is_told_and_leaves_a_line(
    path, on_call, pause_s, start, calls
):
    """Guards against a closed connection without an answer or a log line."""

    async def play():
        async with sites.Site("i-1", on_call=on_call) as site:
            with structlog.testing.capture_logs() as lines:
                async with sites.Caller(site) as caller:
                    caller.send(path)
                    await asyncio.sleep(pause_s)
                    caller.writer.write_eof()
                    now = asyncio.get_running_loop().time
                    began_at = now()
                    answer = await caller.reader.read()
                    elapsed_s = now() - began_at
                await asyncio.sleep(0.1)
            server = site.servers[0]
            return answer, lines, elapsed_s, len(server.calls)

    answer, lines, elapsed_s, made = sites.run(play())
    assert answer.startswith(start)
    assert not answer.endswith(b"0\r\n\r\n")
    done = [line for line in lines if line["event"] == "request_done"]
    assert [(d["outcome"], d["cause"]) for d in done] == [
        ("caller_left", "closed")
    ]
    assert elapsed_s < 0.1
    assert made == calls


def test_work_ends_when_a_caller_closes_its_sending_side():
    """Guards against servers that work on for callers that have left."""

    async def play():
        async with (
            sites.Site("i-1", on_call=_work_on) as site,
            sites.Caller(site) as caller,
        ):
            caller.send()
            await asyncio.sleep(0.1)
            caller.writer.write_eof()
            await asyncio.sleep(0.1)
            return (
                site.entry._server.open_requests,
                site.entry._fleet.find("i-1").in_flight,
            )

    assert sites.run(play()) == (0, 0)


def test_a_short_answer_reaches_a_caller_that_closes_its_sending_side():
    """Guards against health checks that get no answer."""

    async def handler(request, responder):
        await responder.disconnected
        await responder.answer(200, [], b"ready")

    async def play():
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect()
            writer.write(_REQUEST)
            writer.write_eof()
            answer = await reader.read()
            writer.close()
            return answer

    assert sites.run(play()).startswith(b"HTTP/1.1 200 ")


def test_requests_before_the_end_of_the_sending_side_are_all_answered():
    """Guards against pipelined requests that get no answer."""

    async def play():
        async with _Harness(_answer) as harness:
            reader, writer = await harness.connect()
            writer.write(_REQUEST * 3)
            writer.write_eof()
            answers = await reader.read()
            writer.close()
            return answers

    assert sites.run(play()).count(b"HTTP/1.1 200 ") == 3


def test_a_complete_answer_reaches_a_caller_that_closes_its_sending_side():
    """Guards against a whole answer whose rest is dropped."""

    async def handler(request, responder):
        await responder.answer(200, [], _TAIL)
        await responder.disconnected
        responder.abort()

    async def play():
        async with _Harness(handler) as harness:
            reader, writer = await harness.connect(receive_bytes=4096)
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            writer.write_eof()
            answer = await _read_slowly(reader)
            writer.close()
            return answer

    answer = sites.run(play())
    assert len(answer.partition(b"\r\n\r\n")[2]) == len(_TAIL)


# Callers that read slowly.

_LARGE = b"x" * (1 << 20)


async def _answer_large(request, responder):
    await responder.answer(200, [], _LARGE)


def test_a_caller_that_reads_slowly_but_steadily_gets_the_whole_answer():
    """Guards against a limit on the total time of a large answer."""

    async def play():
        async with _Harness(_answer_large) as harness:
            reader, writer = await harness.connect(receive_bytes=4096)
            writer.write(_REQUEST)
            received = bytearray()
            with contextlib.suppress(ConnectionError):
                while len(received) < len(_LARGE):
                    data = await reader.read(32 << 10)
                    if not data:
                        break
                    received += data
                    await asyncio.sleep(0.5)
            writer.close()
            return bytes(received)

    assert len(sites.run(play())) > len(_LARGE)


@pytest.mark.parametrize("reads", [True, False])
def test_a_stall_of_the_loop_does_not_count_as_a_caller_that_reads_slowly(
    reads,
):
    """Guards against answers cut off because the process stood still."""

    async def play():
        async with _Harness(_answer_large) as harness:
            reader, writer = await harness.connect(receive_bytes=4096)
            writer.write(_REQUEST)
            await asyncio.sleep(1.0)
            if reads:
                await reader.read(32 << 10)
            asyncio.get_running_loop().clock.advance(30.0)
            await asyncio.sleep(0.1)
            received = bytearray()
            with contextlib.suppress(ConnectionError):
                while len(received) < len(_LARGE):
                    data = await reader.read(64 << 10)
                    if not data:
                        break
                    received += data
            writer.close()
            return bytes(received)

    assert len(sites.run(play())) > len(_LARGE) - (32 << 10)


def test_a_caller_that_does_not_read_is_cut_off_and_leaves_a_line():
    """Guards against answers that wait for a caller for ever."""
    request = (
        f"GET /safe/1 HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Clementinegw-Attempt-Id: a1\r\nAuthorization: Token {sites.KEY}"
        f"\r\n\r\n"
    ).encode()

    async def play():
        async with sites.Site(
            "i-1", on_call=lambda call: call.answer(_LARGE)
        ) as site:
            config = sites.config(2)
            for route in config["routes"]:
                route["timeout_ms"] = 60_000
            site.store.put("keyed.op", "config", config)
            _limit_send_buffers(site.entry._server)
            await asyncio.sleep(1.0)
            with structlog.testing.capture_logs() as lines:
                _, writer = await _connect(site.address, 4096)
                writer.write(request)
                await asyncio.sleep(20.0)
                writer.close()
            return lines, site.entry._server.open_requests

    lines, open_requests = sites.run(play())
    (line,) = [line for line in lines if line["event"] == "request_done"]
    assert (line["outcome"], line["cause"]) == ("caller_left", "slow")
    assert 10_000 <= line["total_ms"] < 15_000
    assert open_requests == 0


def test_the_kernel_does_not_cut_off_callers_sooner_than_the_server():
    """Guards against callers that are cut off after a pause of four seconds.

    The kernel ends a connection whose peer accepts nothing for the time of its
    own limit, which was shorter than the server's.
    """

    async def play():
        async with _Harness(_answer) as harness:
            _, writer = await harness.connect()
            session = await _session(harness)
            sock = session.channel._transport.get_extra_info("socket")
            writer.close()
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    assert sites.run(play()) > 1e3 * servers._WRITE_TIMEOUT_S


# Requests that are refused before they are whole.

_BODY_HEAD = b"POST /x HTTP/1.1\r\nHost: h.example\r\nContent-Length: "


@pytest.mark.parametrize(
    ("sent", "ends", "status", "reason"),
    [
        (_BODY_HEAD + b"4\r\n\r\nab", False, 408, "body_timeout"),
        (_BODY_HEAD + b"4\r\n\r\nab", True, 408, "incomplete"),
        (_REQUEST[:10], False, 408, "head_timeout"),
        (_REQUEST[:10], True, 408, "incomplete"),
        (b"no HTTP\r\n\r\n" * 9, False, 400, "malformed"),
        (
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n",
            False,
            501,
            "malformed",
        ),
        (
            b"GET /x HTTP/1.1\r\nX: " + b"x" * 20_000,
            False,
            431,
            "head_too_large",
        ),
        (
            _BODY_HEAD + b"5000000\r\n\r\n" + b"x" * 4_200_000,
            False,
            413,
            "body_too_large",
        ),
        (_BODY_HEAD + b"4\r\n\r\nabcd", False, 503, "no_memory"),
    ],
    ids=[
        "body stops",
        "body ends early",
        "head stops",
        "head ends early",
        "no HTTP",
        "coding",
        "head too large",
        "body too large",
        "no memory",
    ],
)
def test_a_refused_request_is_answered_counted_and_logged_once(
    monkeypatch, sent, ends, status, reason
):
    """Guards against requests that are refused without an answer or a line."""

    async def play():
        async with _Harness(_answer) as harness:
            if reason == "no_memory":
                monkeypatch.setattr(servers, "_MAX_BODIES_BYTES", 2)
            reader, writer = await harness.connect()
            writer.write(sent)
            if ends:
                writer.write_eof()
            answer = await reader.read(1 << 10)
            writer.close()
            await asyncio.sleep(1.0)
            return answer, harness

    answer, harness = sites.run(play())
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close\r\n" in answer
    line = harness.line("request_invalid")
    assert (line["status"], line["reason"]) == (status, reason)
    assert harness.counters.value(f"direct.request_invalid.{reason}") == 1
    assert not harness.server._sessions
    assert harness.server._body_bytes == 0


def test_a_connection_that_breaks_within_a_request_is_counted_and_logged():
    """Guards against requests that vanish on their way without a trace."""

    async def play():
        async with _Harness(_answer) as harness:
            _, writer = await harness.connect()
            writer.write(_BODY_HEAD + b"4\r\n\r\nab")
            await asyncio.sleep(0.1)
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            await asyncio.sleep(0.1)
            return harness

    harness = sites.run(play())
    line = harness.line("request_invalid")
    assert (line["reason"], line["target"]) == ("incomplete", "/x")
    assert harness.counters.value("direct.request_invalid.incomplete") == 1


@pytest.mark.parametrize("ends", [False, True])
def test_an_idle_connection_ends_without_an_answer_and_a_line(ends):
    """Guards against log lines and bytes for connections without requests."""

    async def play():
        async with _Harness(_answer) as harness:
            reader, writer = await harness.connect()
            if ends:
                writer.write_eof()
            answer = await reader.read()
            writer.close()
            return answer, list(harness.lines)

    assert sites.run(play()) == (b"", [])


def test_a_request_that_is_half_here_at_the_stop_is_counted_and_logged():
    """Guards against requests that vanish in a stop without a trace."""

    async def play():
        async with _Harness(_answer) as harness:
            _, writer = await harness.connect()
            writer.write(_REQUEST[:10])
            await asyncio.sleep(0.1)
            await harness.server.stop()
            writer.close()
            return harness

    harness = sites.run(play())
    line = harness.line("request_invalid")
    assert (line["status"], line["reason"]) == (503, "stopped")
    assert harness.counters.value("direct.request_invalid.stopped") == 1


def test_a_stop_does_not_wait_for_callers_that_do_not_read():
    """Guards against a process that is killed because its end takes too long.

    A handler answered on its cancellation, and its caller did not read.
    """

    async def handler(request, responder):
        try:
            await asyncio.sleep(1e6)
        finally:
            await responder.answer(503, [], _LARGE)

    async def play():
        async with _Harness(handler) as harness:
            _, writer = await harness.connect(receive_bytes=4096)
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time
            began_at = now()
            await harness.server.stop()
            writer.close()
            return now() - began_at, len(harness.server._sessions)

    elapsed_s, sessions = sites.run(play())
    assert elapsed_s < 0.4
    assert sessions == 0


def test_an_error_while_a_request_is_read_is_answered_and_logged(monkeypatch):
    """Guards against a connection that closes for an error in the server."""

    def fail(*_):
        raise KeyError("host")

    monkeypatch.setattr(servers, "_to_request", fail)

    async def play():
        async with _Harness(_answer) as harness:
            answer = await harness.exchange(_REQUEST)
            await asyncio.sleep(0.1)
            return answer, harness

    answer, harness = sites.run(play())
    assert answer.startswith(b"HTTP/1.1 500 ")
    line = harness.line("request_unanswered")
    assert (line["error"], line["target"]) == ("KeyError: 'host'", "/x")
    assert not harness.loop_errors
