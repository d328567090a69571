"""Callers' HTTP: headers, errors, streams that break."""

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
    """Stands for the filters: notes requests and gives a set outcome."""

    def __init__(self, outcome: types.Outcome):
        self.rules = _RULES
        self.outcome = outcome
        self.seen: list[request_types.Request] = []
        self.cancelled = asyncio.Event()
        self.finished = asyncio.Event()
        self.hang_s = 0.0

    async def run(self, request, sink=None):
        self.seen.append(request)
        try:
            await asyncio.sleep(self.hang_s)
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
    for one in reversed(runners):
        await (one.close() if hasattr(one, "close") else one.cleanup())


async def test_completion_becomes_a_request(serve):
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
    request = pipeline.seen[0]
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
    found, booked = pipeline.seen
    assert (found.path, found.idempotent) == ("/find/1?q=a%20b", True)
    assert (booked.path, booked.idempotent) == ("/book", False)
    assert found.request_id != booked.request_id


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "place"),
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
async def test_bad_input_gets_one_clear_error(
    serve, path, body, headers, status, place
):
    pipeline, session = await serve(types.Answered(200, (), b""))
    async with session.post(path, data=body, headers=headers) as response:
        assert response.status == status
        assert response.headers["Clementine-Outcome"] == "not-run"
        assert place in (await response.json())["error"]["message"]
    assert not pipeline.seen


@pytest.mark.parametrize(
    ("outcome", "status", "told", "retry_after"),
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
async def test_outcome_is_told_by_status_and_header(
    serve, outcome, status, told, retry_after
):
    _, session = await serve(outcome)
    async with session.get("/services/magazijn/x") as response:
        assert response.status == status
        assert response.headers["Clementine-Outcome"] == told
        assert response.headers["Clementine-Reason"] == outcome.reason.value
        assert response.headers.get("Retry-After") == retry_after


async def test_whole_stream_ends_cleanly(serve):
    _, session = await serve(types.Answered(200, (), b""))
    body = {"model": "assistent", "prompt": "a", "stream": True}
    async with session.post("/v1/completions", json=body) as response:
        assert response.headers["Clementine-Version"] == "v1"
        assert await response.read() == b"".join(_EVENTS)


async def test_broken_stream_is_never_passed_off_as_whole(serve):
    """Symptom: half a quotation looks like a whole one.

    Sequence: a stream begins, its worker dies, nothing can resume it. Cause: a
    response that is ended cleanly after the events that came.
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


async def test_stream_refused_before_it_begins_has_a_status(serve):
    _, session = await serve(_NOTHING_SENT)
    body = {"model": "assistent", "prompt": "a", "stream": True}
    async with session.post("/v1/completions", json=body) as response:
        assert response.status == 503
        assert response.headers["Clementine-Reason"] == "overloaded"


@pytest.mark.parametrize(
    ("path", "goes_on"),
    [("/v1/completions", False), ("/v1/chat/completions", True)],
)
async def test_caller_that_goes_away(serve, path, goes_on):
    """Symptom: work for nobody, or a booking cut off in the middle.

    Sequence: a caller closes its connection before the answer. Cause: an
    idempotent request that is not cancelled wastes a worker; one that must not
    run twice and is cancelled leaves its caller no way to learn how it ended.
    """
    pipeline, session = await serve(types.Answered(200, (), b""))
    pipeline.hang_s = 0.3
    body = {"model": "assistent", "prompt": "a", "messages": []}
    with pytest.raises(asyncio.TimeoutError):
        await session.post(
            path, json=body, timeout=aiohttp.ClientTimeout(total=0.1)
        )
    event = pipeline.finished if goes_on else pipeline.cancelled
    await asyncio.wait_for(event.wait(), 10)


async def test_key_comes_with_its_time_and_its_caller(serve):
    """Symptom: two callers that the settings do not name share a booking.

    Sequence: both send the same key and body. Cause: limits treat them as one
    customer; claims must not.
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
    assert [one.caller for one in pipeline.seen] == [
        "zadelmaker",
        "wagenmaker",
    ]
    for one in pipeline.seen:
        time = claim.parse_key_time_ms(one.key, one.headers)
        assert time == 1_733_000_000_000
