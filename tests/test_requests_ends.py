"""Tests of the ways in which a caller's request can end at an entry."""

import asyncio
import json
import random

from aiohttp import web
import pytest
import requests_script as script

from clementinegw import types
from clementinegw.bench import _requests_network as network
from clementinegw.requests import agent_connections
from clementinegw.requests import http as http_lib
from clementinegw.requests import route
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.testing import clock as clocks
from clementinegw.wire import connection as connection_lib

Kind = connection_lib.Kind
_GRACE_S = 0.002
_EVENT = b"id: 1\ndata: {}\n\n"
_HEAD = request_types.Head(200, (("content-type", "text/event-stream"),), "v1")
_STREAM = json.dumps(
    {"model": "assistent", "prompt": "a", "stream": True}
).encode()
_LONE_SURROGATE = json.dumps(
    {"model": "assistent", "prompt": "\ud800" + "a" * 600}
).encode()
_ANSWERED = types.Answered(200, (), b"{}")


class _Rules(rules_lib.FixedRules):
    """The settings in force, which can change."""

    def withdraw(self):
        """Removes all services."""
        self.rules = lambda service, customer: None


def _rules():
    return _Rules(
        {
            "assistent": rules_lib.Rules(
                "assistent", types.ServiceKind.MODEL_ENGINE
            ),
            "magazijn": rules_lib.Rules(
                "magazijn",
                types.ServiceKind.PLAIN,
                operations=(rules_lib.Operation("POST", "/find*", True),),
            ),
        }
    )


class _Log:
    """Records the lines that are written."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event.name, fields))

    def named(self, name):
        return [fields for event, fields in self.lines if event == name]


class _Pipeline:
    """Runs a function in place of the filters."""

    def __init__(self, run):
        self.rules = _rules()
        self.requests = []
        self._run = run

    async def run(self, request, sink=None):
        self.requests.append(request)
        return await self._run(request, sink)


class _Site:
    """An entry's HTTP server, and raw connections to it."""

    def __init__(self, run, clock):
        self.pipeline = _Pipeline(run)
        self.log = _Log()
        self.counters = counters_lib.Counters()
        handlers = http_lib.Handlers(
            self.pipeline, clock, self.log, self.counters, "entry-1"
        )
        self.runner = http_lib.make_runner(http_lib.make_app(handlers))
        self._writers = []

    async def start(self):
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()

    async def stop(self):
        for writer in self._writers:
            writer.close()
        await self.runner.cleanup()

    async def open(self, limit=1 << 16):
        port = self.runner.addresses[0][1]
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=limit
        )
        self._writers.append(writer)
        return reader, writer

    async def post(self, path, body, headers=b""):
        """Sends a request and returns its connection."""
        reader, writer = await self.open()
        writer.write(_encode(path, body, headers))
        return reader, writer

    def the_end(self):
        """Returns the only line of a request's end."""
        (line,) = self.log.named("request_ended")
        assert line["request"].startswith("entry-1-")
        return line


def _encode(path, body, headers=b""):
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + headers + b"\r\n" + body


async def _read_answer(reader):
    """Returns the status, the headers and the body of one answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *rest = head.strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in rest)
    body = await reader.readexactly(int(headers["content-length"]))
    return int(first.split()[1]), headers, body


def _run(test, run):
    """Runs `test(site)` in virtual time with a pipeline that runs `run`."""
    clock = clocks.VirtualClock()

    async def main():
        site = _Site(run, clock)
        await site.start()
        try:
            async with asyncio.timeout(600):
                await test(site)
        finally:
            await site.stop()

    clocks.run(main(), clock, _GRACE_S)


async def _answer(request, sink):
    return _ANSWERED


def test_answer_leaves_a_line():
    """Guards against a request that is answered and leaves no trace."""

    async def test(site):
        reader, _ = await site.post("/v1/completions", _STREAM)
        status, headers, _ = await _read_answer(reader)
        line = site.the_end()
        assert (status, line["outcome"]) == (200, "answered")
        assert line["request"] == headers["clementine-request-id"]
        assert line["service"] == "assistent"

    _run(test, _answer)


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (types.NotRun(types.NotRunReason.OVERLOADED, 1.0), 503),
        (types.Unknown(types.UnknownReason.CONNECTION_LOST), 502),
    ],
)
def test_refused_request_leaves_a_line(outcome, status):
    """Guards against a refusal of which only a counter is known."""

    async def run(request, sink):
        return outcome

    async def test(site):
        reader, _ = await site.post("/v1/completions", _STREAM)
        assert (await _read_answer(reader))[0] == status
        line = site.the_end()
        assert line["reason"] == outcome.reason.value
        assert line["status"] == status

    _run(test, run)


@pytest.mark.parametrize(
    ("path", "body", "reason"),
    [
        ("/v1/completions", b"{", "bad_request"),
        ("/services/no/x", b"", "unknown_service"),
    ],
)
def test_rejected_request_leaves_a_line(path, body, reason):
    """Guards against a caller whose rejection cannot be found in the log."""

    async def test(site):
        reader, _ = await site.post(path, body)
        _, headers, _ = await _read_answer(reader)
        line = site.the_end()
        assert line["reason"] == reason
        assert line["request"] == headers["clementine-request-id"]

    _run(test, _answer)


def test_broken_off_answer_leaves_a_line_with_its_reason():
    """Guards against a stream that breaks off without a reason in the log."""

    async def run(request, sink):
        await sink.head(_HEAD)
        await sink.data(_EVENT)
        return types.Unknown(
            types.UnknownReason.ANSWER_TRUNCATED, "no server of the version"
        )

    async def test(site):
        reader, _ = await site.post("/v1/completions", _STREAM)
        await reader.read()
        (line,) = site.log.named("answer_cut_short")
        assert line["request"] == site.the_end()["request"]
        assert line["reason"] == "answer_truncated"
        assert line["detail"] == "no server of the version"
        assert line["bytes"] == len(_EVENT)
        assert site.counters.value("requests.cut_short.answer_truncated") == 1

    _run(test, run)


def test_service_that_is_removed_while_a_body_arrives_is_answered():
    """Guards against a 500 without an id after a change of the settings."""

    async def test(site):
        reader, writer = await site.open()
        message = _encode("/services/magazijn/x", b"1234567890")
        writer.write(message[:-5])
        await asyncio.sleep(1)
        site.pipeline.rules.withdraw()
        writer.write(message[-5:])
        status, headers, _ = await _read_answer(reader)
        assert status == 404
        assert headers["clementine-reason"] == "unknown_service"
        assert site.the_end()["reason"] == "unknown_service"

    _run(test, _answer)


@pytest.mark.parametrize(
    ("body", "headers"),
    [
        (_LONE_SURROGATE, b""),
        (_STREAM, "Clementine-Timeout-Ms: ²\r\n".encode()),
        (_STREAM, b"Clementine-Timeout-Ms: " + b"9" * 5_000 + b"\r\n"),
        (_STREAM, b"X-Name: caf\xe9\r\n"),
        (_STREAM, b"Clementine-Customer: caf\xe9\r\n"),
        (_STREAM, b"Idempotency-Key: caf\xe9\r\n"),
    ],
)
def test_text_that_cannot_be_decoded_is_rejected(body, headers):
    """Guards against a 500 or 502 for a request that is only malformed."""

    async def test(site):
        reader, _ = await site.post("/v1/completions", body, headers)
        status, fields, _ = await _read_answer(reader)
        assert status == 400
        assert fields["clementine-reason"] == "bad_request"
        assert site.the_end()["reason"] == "bad_request"

    _run(test, _answer)


def test_error_while_a_request_is_parsed_is_answered(monkeypatch):
    """Guards against a 500 that has neither the request's id nor a line."""

    def fail(*arguments):
        raise KeyError("odd")

    async def test(site):
        monkeypatch.setattr(site.pipeline.rules, "rules", fail)
        reader, _ = await site.post("/v1/completions", _STREAM)
        status, headers, _ = await _read_answer(reader)
        assert status == 502
        (line,) = site.log.named("handler_failed")
        assert line["request"] == headers["clementine-request-id"]
        assert line["at"].startswith("test_requests_ends.py:")
        assert site.counters.value("requests.handler_failed") == 1

    _run(test, _answer)


def test_answer_that_cannot_be_sent_is_replaced_by_an_error():
    """Guards against an answer whose failure only the HTTP library knows."""

    async def run(request, sink):
        return types.Answered(200, (("x-a", "b\r\nc"),), b"{}")

    async def test(site):
        reader, _ = await site.post("/services/magazijn/x", b"")
        status, headers, _ = await _read_answer(reader)
        assert status == 502
        assert headers["clementine-reason"] == "holder_lost"
        assert site.the_end()["reason"] == "holder_lost"
        assert len(site.log.named("handler_failed")) == 1

    _run(test, run)


def test_stream_whose_head_cannot_be_sent_is_answered():
    """Guards against a stream that ends without any answer."""

    async def run(request, sink):
        await sink.head(request_types.Head(200, (("x", "b\r\nc"),), "v1"))
        return _ANSWERED

    async def test(site):
        reader, _ = await site.post("/v1/completions", _STREAM)
        status, _, _ = await _read_answer(reader)
        assert status == 502
        assert site.the_end()["outcome"] == "unknown"

    _run(test, run)


@pytest.mark.parametrize(
    "path", ["/services/magazijn/find", "/services/magazijn/x"]
)
def test_caller_that_leaves_leaves_a_line(path):
    """Guards against a caller that left and whose request left no line."""
    released = asyncio.Event()

    async def run(request, sink):
        await released.wait()
        return _ANSWERED

    async def test(site):
        _, writer = await site.post(path, b"")
        await asyncio.sleep(1)
        writer.transport.abort()
        await asyncio.sleep(1)
        released.set()
        await asyncio.sleep(1)
        line = site.the_end()
        assert line["outcome"] == "caller_left"
        assert site.counters.value("requests.caller_left") == 1

    _run(test, run)


def test_caller_that_leaves_while_its_body_arrives_leaves_a_line():
    """Guards against a request that was half read and left no line."""

    async def test(site):
        _, writer = await site.open()
        writer.write(_encode("/services/magazijn/x", b"1234567890")[:-5])
        await asyncio.sleep(1)
        writer.transport.abort()
        await asyncio.sleep(1)
        assert site.the_end()["outcome"] == "caller_left"

    _run(test, _answer)


def test_caller_that_leaves_a_stream_leaves_a_line():
    """Guards against a broken stream that looks as if the entry ended it."""

    async def run(request, sink):
        await sink.head(_HEAD)
        for _ in range(20):
            await sink.data(_EVENT)
            await asyncio.sleep(1)
        return _ANSWERED

    async def test(site):
        reader, writer = await site.post("/v1/completions", _STREAM)
        await reader.readuntil(_EVENT)
        writer.transport.abort()
        await asyncio.sleep(5)
        line = site.the_end()
        assert line["outcome"] == "caller_left"
        assert line["bytes"] >= len(_EVENT)

    _run(test, run)


@pytest.mark.parametrize("rest", [b"odd\r\n", b""])
def test_body_that_does_not_arrive_is_refused(rest):
    """Guards against a request that is read in part and waits for ever."""

    async def test(site):
        reader, writer = await site.open()
        head = "POST /services/magazijn/x HTTP/1.1\r\nHost: x\r\n"
        writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        await asyncio.sleep(1)
        writer.write(rest)
        status, headers, _ = await _read_answer(reader)
        assert status == 408
        assert headers["clementine-reason"] == "bad_request"
        assert site.the_end()["reason"] == "bad_request"

    _run(test, _answer)


def test_caller_that_does_not_read_its_stream_is_cut_off():
    """Guards against a stalled caller that holds a worker's slot for ever."""
    ended = asyncio.Event()

    async def run(request, sink):
        await sink.head(_HEAD)
        try:
            while True:
                await sink.data(b"id: 1\ndata: " + b"x" * (1 << 20) + b"\n\n")
        finally:
            ended.set()

    async def test(site):
        await site.post("/v1/completions", _STREAM)
        async with asyncio.timeout(60):
            await ended.wait()
        await asyncio.sleep(0)
        line = site.the_end()
        assert (line["outcome"], line["reason"]) == ("caller_left", "slow")

    _run(test, run)


def test_caller_that_does_not_read_its_answer_is_cut_off():
    """Guards against answers that stay in memory for a stalled caller."""

    async def run(request, sink):
        return types.Answered(200, (), b"x" * (64 << 20))

    async def test(site):
        await site.post("/services/magazijn/x", b"")
        await asyncio.sleep(60)
        line = site.the_end()
        assert (line["outcome"], line["reason"]) == ("caller_left", "slow")

    _run(test, run)


def test_caller_that_reads_slowly_gets_its_whole_answer():
    """Guards against callers on slow links that are taken for stalled."""
    size = 32 << 20

    async def run(request, sink):
        return types.Answered(200, (), b"x" * size)

    async def test(site):
        reader, _ = await site.post("/services/magazijn/x", b"")
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(32):
            await reader.readexactly(size // 32)
            await asyncio.sleep(2)
        assert site.the_end()["outcome"] == "answered"

    _run(test, run)


@pytest.mark.parametrize("second_signal", [False, True])
def test_request_that_outlasts_the_grace_time_is_answered(second_signal):
    """Guards against requests that a stopping entry ends without an answer."""

    async def test(clock, loop):
        agents = await script.start_agents([script.hang])
        service, _ = await script.start_entry(clock, agents)
        pipeline = service.pipeline
        request = script.make_request(clock, wait_s=3_600.0)
        running = asyncio.ensure_future(pipeline.run(request))
        await asyncio.sleep(1)
        draining = asyncio.ensure_future(pipeline.drain(30.0))
        await asyncio.sleep(10)
        if second_signal:
            draining.cancel()
        else:
            assert not await draining
        await asyncio.sleep(1)
        assert running.done()
        assert isinstance(running.result(), types.Unknown)
        assert pipeline.running == 0
        assert [c.request_id for c in agents[0].cancelled] == ["r1"]

    script.run(test)


def test_request_that_waits_at_the_end_of_the_grace_time_was_not_run():
    """Guards against a 502 for a request that no worker was sent."""

    async def test(clock, loop):
        agents = await script.start_agents([script.hang] * 200)
        service, _ = await script.start_entry(
            clock, agents, target_s=3_600.0, interval_s=3_600.0
        )
        pipeline = service.pipeline
        requests = [
            script.make_request(clock, number, wait_s=3_600.0)
            for number in range(200)
        ]
        runs = [asyncio.ensure_future(pipeline.run(r)) for r in requests]
        await asyncio.sleep(1)
        assert not await pipeline.drain(5.0)
        await asyncio.sleep(1)
        sent = {submit.request_id for submit in agents[0].submitted}
        unsent = [
            run.result()
            for request, run in zip(requests, runs, strict=True)
            if request.request_id not in sent
        ]
        assert unsent
        assert {o.reason for o in unsent} == {types.NotRunReason.LEAVING}

    script.run(test)


def test_malformed_message_ends_its_own_request_only():
    """Guards against all streams of a connection ending for one message."""

    async def send_malformed_head(agent, connection, exchange, submit):
        await asyncio.sleep(1)
        await exchange.send(Kind.ANSWER_HEAD, b"\xff")
        await script.hang(agent, connection, exchange, submit)

    async def answer_late(agent, connection, exchange, submit):
        await script.head(exchange, submit)
        await exchange.send(Kind.ANSWER_DATA, script.encode_event(1))
        await asyncio.sleep(3)
        await exchange.send(Kind.ANSWER_DATA, script.encode_event(2))
        await script.end(exchange, submit, 2 * len(script.encode_event(1)), 2)

    async def test(clock, loop):
        agents = await script.start_agents([answer_late, send_malformed_head])
        agents[0].proof = False
        service, counters = await script.start_entry(clock, agents)
        sink = script.Sink()
        other = asyncio.ensure_future(
            service.pipeline.run(
                script.make_request(clock, 1, stream=True), sink
            )
        )
        await asyncio.sleep(0.5)
        outcome = await service.pipeline.run(script.make_request(clock, 2))
        assert isinstance(outcome, types.Unknown)
        assert counters.value("requests.frames_malformed") == 1
        assert isinstance(await other, types.Answered)
        assert not counters.value("requests.agent_disconnected")

    script.run(test)


@pytest.mark.parametrize("stall_s", [0.5, 2.0, 5.0])
def test_stream_whose_events_wait_during_a_stall_goes_on(stall_s):
    """Guards against a stream taken for silent while its events wait."""

    async def stall_after_send(agent, connection, exchange, submit):
        await script.head(exchange, submit)
        for token in (1, 2, 3):
            await asyncio.sleep(0.5)
            await exchange.send(Kind.ANSWER_DATA, script.encode_event(token))
            clock.advance(stall_s)
        await script.end(exchange, submit, 3 * len(script.encode_event(1)), 3)

    async def main():
        agents = await script.start_agents([stall_after_send])
        service, counters = await script.start_entry(
            clock, agents, attempt_timeout_s=0.6
        )
        request = script.make_request(
            clock, idempotent=True, stream=True, wait_s=60.0
        )
        outcome = await service.pipeline.run(request, script.Sink())
        assert isinstance(outcome, types.Answered)
        assert not counters.value("requests.streams_silent")
        assert len(agents[0].submitted) == 1
        await service.stop()

    clock = clocks.VirtualClock()
    clocks.run(main(), clock, _GRACE_S)


class _Policy:
    """Uses each worker for one request; raises at one with odd prefixes."""

    def choose(self, workers, queries, context, now):
        if any(query.prefixes == (666,) for query in queries):
            raise KeyError("odd")
        free = [w for w in workers if w.usable(now) and not w.own_requests]
        return route.Choice(0, free[0]) if free else None


def test_error_in_the_placement_of_a_request_ends_that_request_only():
    """Guards against an answer lost as its worker is given to another."""

    async def answer_late(agent, connection, exchange, submit):
        await asyncio.sleep(1)
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.start_agents([answer_late] * 3)
        service, _ = await script.start_entry(clock, agents)
        service.fleet.dispatchers()["s"].set_policy(_Policy())
        requests = [script.make_request(clock, n, True) for n in range(3)]
        requests[1].prefixes = (666,)
        runs = []
        for request in requests:
            runs.append(asyncio.ensure_future(service.pipeline.run(request)))
            await asyncio.sleep(0.1)
        await asyncio.wait(runs)
        assert isinstance(runs[0].result(), types.Answered)
        assert isinstance(runs[1].exception(), KeyError)
        assert isinstance(runs[2].result(), types.Answered)
        assert service.fleet.dispatchers()["s"].waiting == 0

    script.run(test)


class _PolicyOfRelease(_Policy):
    """Raises at the odd request only once a worker is free."""

    def choose(self, workers, queries, context, now):
        if any(w.own_requests for w in workers):
            return None
        return super().choose(workers, queries, context, now)


def test_error_of_a_waiting_request_does_not_end_the_one_before_it():
    """Guards against an answer that is lost as its worker becomes free."""

    async def answer_late(agent, connection, exchange, submit):
        await asyncio.sleep(1)
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.start_agents([answer_late] * 3)
        service, _ = await script.start_entry(clock, agents)
        service.fleet.dispatchers()["s"].set_policy(_PolicyOfRelease())
        requests = [script.make_request(clock, n, True) for n in range(3)]
        requests[1].prefixes = (666,)
        runs = []
        for request in requests:
            runs.append(asyncio.ensure_future(service.pipeline.run(request)))
            await asyncio.sleep(0.1)
        await asyncio.wait(runs)
        assert isinstance(runs[0].result(), types.Answered)
        assert isinstance(runs[1].exception(), KeyError)
        assert isinstance(runs[2].result(), types.Answered)

    script.run(test)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("POST", "/v1/embeddings", 404), ("GET", "/v1/completions", 405)],
)
def test_request_to_no_route_leaves_a_line(method, path, status):
    """Guards against a refusal that has no id and no line."""

    async def test(site):
        reader, writer = await site.open()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answered, headers, _ = await _read_answer(reader)
        assert answered == status
        assert headers["clementine-outcome"] == "not-run"
        line = site.the_end()
        assert line["request"] == headers["clementine-request-id"]
        assert (line["status"], line["target"]) == (status, path)
        assert line["reason"] == headers["clementine-reason"]

    _run(test, _answer)


def test_caller_that_closes_its_half_counts_as_gone():
    """Guards against work for callers that closed, which looks the same."""
    cancelled = asyncio.Event()

    async def run(request, sink):
        try:
            await asyncio.sleep(100)
        finally:
            cancelled.set()

    async def test(site):
        _, writer = await site.post("/services/magazijn/find", b"")
        await asyncio.sleep(1)
        writer.write_eof()
        await asyncio.sleep(1)
        assert cancelled.is_set()
        assert site.the_end()["outcome"] == "caller_left"

    _run(test, run)


class _LostAtOnce:
    """Opens connections; the first one is lost before its caller resumes."""

    def __init__(self, endpoint):
        self.opened = 0
        self._endpoint = endpoint

    async def connect(self, address):
        link = await self._endpoint.connect(address)
        self.opened += 1
        if self.opened == 1:
            link.abort()
            await asyncio.sleep(1)
        return link


def test_connection_that_is_lost_at_once_is_opened_again():
    """Guards against an agent that gets no requests though it is there."""

    async def test(clock, loop):
        (agent,) = await script.start_agents([])
        network.CURRENT_HOST.set("entry")
        identity = connection_lib.Identity(
            "entry", types.Role.ENTRY, script.PLACE, 1
        )
        endpoint = connection_lib.Endpoint(identity, script.KEYS, script.LOG)
        connector = _LostAtOnce(endpoint)
        changes = []
        connections = agent_connections.AgentConnections(
            connector,
            lambda instance, connected: changes.append(connected),
            script.LOG,
            counters_lib.Counters(),
            random.Random(1),
        )
        endpoint.on_disconnected(connections.on_disconnected)
        connections.set_chosen([agent.instance])
        await asyncio.sleep(10)
        assert connector.opened == 2
        assert changes == [True]
        connections.close()

    script.run(test)


def test_body_that_no_frame_can_carry_is_refused():
    """Guards against a request that ends all others at its agents."""
    rules = rules_lib.Rules(
        "magazijn", types.ServiceKind.PLAIN, max_body_bytes=64 << 20
    )

    async def test(site):
        site.pipeline.rules.rules = lambda service, customer: rules
        reader, _ = await site.post("/services/magazijn/x", b"x" * (32 << 20))
        status, headers, _ = await _read_answer(reader)
        assert status == 413
        assert headers["clementine-reason"] == "too_large"

    _run(test, _answer)


def test_largest_body_reaches_its_agent():
    """Guards against a limit that lets through what no frame can carry."""

    async def test(clock, loop):
        (agent,) = await script.start_agents([])
        service, _ = await script.start_entry(clock, [agent])
        request = script.make_request(clock)
        request.body = b"x" * http_lib.MAX_BODY_BYTES
        request.headers = (("x-long", "y" * 8_000),) * 50
        outcome = await service.pipeline.run(request)
        assert isinstance(outcome, types.Answered)
        assert len(agent.submitted[0].body) == http_lib.MAX_BODY_BYTES

    script.run(test)


def test_lost_connection_to_another_process_is_not_the_callers():
    """Guards against a caller without an answer that is taken for gone."""

    async def run(request, sink):
        raise ConnectionResetError("another process")

    async def test(site):
        reader, _ = await site.post("/v1/completions", _STREAM)
        assert (await _read_answer(reader))[0] == 502
        assert site.the_end()["outcome"] == "unknown"
        assert len(site.log.named("handler_failed")) == 1

    _run(test, run)


def test_error_at_the_end_of_a_stream_leaves_a_line(monkeypatch):
    """Guards against a stream that breaks and leaves no line of its request."""

    async def run(request, sink):
        await sink.head(_HEAD)
        await sink.data(_EVENT)
        monkeypatch.setattr(sink, "end", None)
        return _ANSWERED

    async def test(site):
        reader, _ = await site.post("/v1/completions", _STREAM)
        received = await reader.read()
        assert _EVENT in received
        assert not received.endswith(b"0\r\n\r\n")
        (line,) = site.log.named("handler_failed")
        assert line["request"] == site.the_end()["request"]
        assert site.the_end()["outcome"] == "unknown"

    _run(test, run)
