"""Tests of the callers' HTTP interface: headers, errors and failing streams."""

import asyncio
import json

import aiohttp
from aiohttp import web
import pytest

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import claim
from clementinegw.requests import http as http_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

_RULES = rules_lib.FixedRules(
    {
        "assistent": rules_lib.Rules(
            "assistent",
            types.ServiceKind.MODEL_ENGINE,
            operations=(
                rules_lib.Operation("POST", "/v1/chat/completions", False),
            ),
        ),
        "magazijn": rules_lib.Rules(
            "magazijn",
            types.ServiceKind.PLAIN,
            max_body_bytes=64,
            operations=(rules_lib.Operation("POST", "/find*", True),),
        ),
    }
)
_EVENTS = (b"id: 1\ndata: {}\n\n", b"id: 2\ndata: {}\n\n")


class _Pipeline:
    """A fake pipeline that records requests and returns a given outcome.

    Attributes:
      requests: The requests received.
      cancelled: Set when a request is cancelled.
      finished: Set when a request ends.
      delay_s: How long each request runs, in seconds.
    """

    def __init__(self, outcome: types.Outcome):
        self.rules = _RULES
        self.outcome = outcome
        self.requests: list[request_types.Request] = []
        self.cancelled = asyncio.Event()
        self.finished = asyncio.Event()
        self.delay_s = 0.0

    async def run(self, request, sink=None):
        self.requests.append(request)
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        self.finished.set()
        if sink is not None and self.outcome is not _NOTHING_SENT:
            headers = (("content-type", "text/event-stream"),)
            await sink.head(request_types.Head(200, headers, "v1"))
            for event in _EVENTS:
                await sink.data(event)
        return self.outcome


_NOTHING_SENT = types.NotRun(types.NotRunReason.OVERLOADED, 1.2)


@pytest.fixture
async def serve():
    runners = []

    async def start(outcome: types.Outcome):
        pipeline = _Pipeline(outcome)
        handlers = http_lib.Handlers(
            pipeline,
            clock_lib.SystemClock(),
            logs.Log(),
            counters_lib.Counters(),
            "entry-1",
        )
        runner = http_lib.make_runner(http_lib.make_app(handlers))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        runners.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        session = aiohttp.ClientSession(f"http://127.0.0.1:{port}")
        runners.append(session)
        return pipeline, session

    yield start
    for runner in reversed(runners):
        await (runner.close() if hasattr(runner, "close") else runner.cleanup())


async def test_completion_is_parsed_into_a_request(serve):
    answer = types.Answered(200, (("x-a", "b"),), b"{}")
    pipeline, session = await serve(answer)
    headers = {
        "Clementine-Customer": "zadelmaker",
        "Clementine-Priority": "high",
        "Clementine-Timeout-Ms": "5000",
        "Idempotency-Key": "k-1",
        "X-Trace": "t",
        "Connection": "keep-alive",
    }
    body = {"model": "assistent", "prompt": "a" * 600, "max_tokens": 9}
    async with session.post(
        "/v1/completions", json=body, headers=headers
    ) as response:
        assert response.status == 200
        assert response.headers["Clementine-Outcome"] == "answered"
        assert response.headers["X-A"] == "b"
    request = pipeline.requests[0]
    assert request.customer == "zadelmaker"
    assert request.priority is types.Priority.HIGH
    assert (request.key, request.tokens) == ("k-1", 9)
    assert len(request.prefixes) == 2
    assert request.idempotent
    names = {name for name, _ in request.headers}
    assert "x-trace" in names
    assert not names & {"connection", "host", "idempotency-key"}
    assert not any(name.startswith("clementine-") for name in names)


async def test_plain_call_keeps_method_path_and_query(serve):
    pipeline, session = await serve(types.Answered(201, (), b"x"))
    async with session.post("/services/magazijn/find/1?q=a%20b") as response:
        assert response.status == 201
    async with session.post("/services/magazijn/book") as response:
        assert await response.read() == b"x"
    found, booked = pipeline.requests
    assert (found.path, found.idempotent) == ("/find/1?q=a%20b", True)
    assert (booked.path, booked.idempotent) == ("/book", False)
    assert found.request_id != booked.request_id


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "message"),
    [
        ("/v1/completions", b"{", {}, 400, "body: expected JSON"),
        ("/v1/completions", b"[]", {}, 400, "body: expected an object"),
        ("/v1/completions", b"{}", {}, 400, "body.model"),
        ("/v1/completions", b'{"model":"no"}', {}, 404, "no service"),
        ("/v1/completions", b'{"model":"assistent"}', {}, 400, "body.prompt"),
        (
            "/v1/completions",
            b'{"model":"assistent","prompt":"","max_tokens":-1}',
            {},
            400,
            "body.max_tokens",
        ),
        ("/services/no/x", b"", {}, 404, "no service"),
        ("/services/magazijn/x", b"y" * 65, {}, 413, "at most 64 bytes"),
        (
            "/services/magazijn/x",
            b"",
            {"Clementine-Priority": "urgent"},
            400,
            "Clementine-Priority",
        ),
        (
            "/services/magazijn/x",
            b"",
            {"Clementine-Timeout-Ms": "soon"},
            400,
            "Clementine-Timeout-Ms",
        ),
    ],
)
async def test_invalid_request_is_refused_with_a_message(
    serve, path, body, headers, status, message
):
    pipeline, session = await serve(types.Answered(200, (), b""))
    async with session.post(path, data=body, headers=headers) as response:
        assert response.status == status
        assert response.headers["Clementine-Outcome"] == "not-run"
        assert message in (await response.json())["error"]["message"]
    assert not pipeline.requests


@pytest.mark.parametrize(
    ("outcome", "status", "outcome_header", "retry_after"),
    [
        (
            types.NotRun(types.NotRunReason.OVERLOADED, 1.2),
            503,
            "not-run",
            "2",
        ),
        (
            types.NotRun(types.NotRunReason.RATE_LIMITED, 0.1),
            429,
            "not-run",
            "1",
        ),
        (types.NotRun(types.NotRunReason.ALREADY_RUN), 409, "not-run", None),
        (types.Unknown(types.UnknownReason.DEADLINE), 504, "unknown", None),
        (
            types.Unknown(types.UnknownReason.CONNECTION_LOST),
            502,
            "unknown",
            None,
        ),
    ],
)
async def test_status_and_headers_report_the_outcome(
    serve, outcome, status, outcome_header, retry_after
):
    _, session = await serve(outcome)
    async with session.get("/services/magazijn/x") as response:
        assert response.status == status
        assert response.headers["Clementine-Outcome"] == outcome_header
        assert response.headers["Clementine-Reason"] == outcome.reason.value
        assert response.headers.get("Retry-After") == retry_after


async def test_complete_stream_ends_normally(serve):
    _, session = await serve(types.Answered(200, (), b""))
    body = {"model": "assistent", "prompt": "a", "stream": True}
    async with session.post("/v1/completions", json=body) as response:
        assert response.headers["Clementine-Version"] == "v1"
        assert await response.read() == b"".join(_EVENTS)


async def test_incomplete_stream_does_not_end_normally(serve):
    """Guards against a partial answer that looks complete.

    A stream starts, its worker dies, and no other one can resume it. The
    response ended normally after the events received so far.
    """
    unknown = types.Unknown(types.UnknownReason.BACKEND_CRASHED)
    _, session = await serve(unknown)
    body = {"model": "assistent", "prompt": "a", "stream": True}
    received = b""
    with pytest.raises(aiohttp.ClientPayloadError):
        async with session.post("/v1/completions", json=body) as response:
            async for chunk in response.content.iter_any():
                received += chunk
    assert received.startswith(b"".join(_EVENTS))
    last = received.removeprefix(b"".join(_EVENTS))
    assert last.startswith(b"event: error\n")
    error = json.loads(last.partition(b"data: ")[2])
    assert error["error"]["code"] == "backend_crashed"


async def test_stream_refused_before_its_start_has_a_status(serve):
    _, session = await serve(_NOTHING_SENT)
    body = {"model": "assistent", "prompt": "a", "stream": True}
    async with session.post("/v1/completions", json=body) as response:
        assert response.status == 503
        assert response.headers["Clementine-Reason"] == "overloaded"


@pytest.mark.parametrize(
    ("path", "runs_to_end"),
    [("/v1/completions", False), ("/v1/chat/completions", True)],
)
async def test_caller_that_disconnects(serve, path, runs_to_end):
    """Guards against wasted work, or a booking that is cancelled while running.

    A caller closes its connection before the answer. An idempotent request that
    is not cancelled wastes capacity. A request that must not run twice must run
    to its end, or its caller could not find out its outcome.
    """
    pipeline, session = await serve(types.Answered(200, (), b""))
    pipeline.delay_s = 0.3
    body = {"model": "assistent", "prompt": "a", "messages": []}
    with pytest.raises(asyncio.TimeoutError):
        await session.post(
            path, json=body, timeout=aiohttp.ClientTimeout(total=0.1)
        )
    event = pipeline.finished if runs_to_end else pipeline.cancelled
    await asyncio.wait_for(event.wait(), 10)


async def test_key_is_passed_with_its_time_and_its_caller(serve):
    """Guards against a booking shared by two callers that are not declared.

    Both send the same key and body. Limits treat undeclared callers as one
    customer, but claims must not.
    """
    pipeline, session = await serve(types.Answered(200, (), b"{}"))
    for caller in ("zadelmaker", "wagenmaker"):
        headers = {
            "Clementine-Customer": caller,
            "Clementine-Key-Time": "1733000000",
            "Idempotency-Key": "k-1",
        }
        async with session.post(
            "/services/magazijn/bookings", data=b"{}", headers=headers
        ) as response:
            assert response.status == 200
    assert [request.caller for request in pipeline.requests] == [
        "zadelmaker",
        "wagenmaker",
    ]
    for request in pipeline.requests:
        time = claim.parse_key_time_ms(request.key, request.headers)
        assert time == 1_733_000_000_000
