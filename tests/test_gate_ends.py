"""Tests of the ways in which an attempt can end at a gate."""

import asyncio

from aiohttp import web
import multidict
import pytest
import requests_script as script

from clementinegw import exceptions
from clementinegw import types
from clementinegw.backend import _http
from clementinegw.backend import engine
from clementinegw.backend import sessions
from clementinegw.backend import types as backend_types
from clementinegw.bench import _requests_network as network
from clementinegw.gate import backends
from clementinegw.gate import service
from clementinegw.telemetry import counters as counters_lib
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.requests import ttypes

Kind = connection.Kind
_FINAL_KINDS = (Kind.ANSWER_END, Kind.REFUSED, Kind.FAILED)
# Silence of a server ends its attempts before that of an entry.
_TIMING = service.Timing(stall_timeout_s=2.0)
_HEALTH = backends.Health(True, "v1", "d1", 0.0, 4)


class _Log:
    """Records the lines that are written."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event.name, fields))

    def named(self, name):
        return [fields for event, fields in self.lines if event == name]


class _Backend:
    """A backend server that answers by a script.

    Attributes:
      answer: Called with a submission; returns an iterator over its events.
      probe: Returns its health.
    """

    kind = types.ServiceKind.MODEL_ENGINE

    def __init__(self, answer, probe=None):
        self.start = answer
        self.probe = probe or self._probe

    async def _probe(self):
        return _HEALTH

    async def prefixes(self):
        return []

    async def cancel(self, request_id):
        pass


class _Site:
    """A gate on connections in memory, and a connected entry."""

    def __init__(self, clock, backend):
        self.clock = clock
        self.backend = backend
        self.log = _Log()
        self.counters = counters_lib.Counters()
        network.CURRENT_HOST.set("agent")
        identity = connection.Identity("agent", types.Role.AGENT, script.PLACE)
        self._agent = connection.Endpoint(identity, script.KEYS, self.log)
        self.gate = service.GateService(
            self._agent,
            backend,
            "s",
            timing=_TIMING,
            clock=clock,
            log=self.log,
            counters=self.counters,
        )

    async def start(self):
        address = await self._agent.listen(types.Address("127.0.0.1", 0))
        await self.gate.start()
        self.gate.resume("v1", "d1")
        network.CURRENT_HOST.set("entry")
        identity = connection.Identity("entry", types.Role.ENTRY, script.PLACE)
        self._entry = connection.Endpoint(identity, script.KEYS, script.LOG)
        self.connection = await self._entry.connect(address)

    async def stop(self):
        await self.gate.stop()
        await self._entry.close()
        await self._agent.close()

    async def submit(self, request_id, deadline_s=60.0):
        """Returns the frames that answer an attempt."""
        message = ttypes.Submit(
            request_id=request_id,
            attempt=1,
            customer="c",
            method="POST",
            path="/v1/completions",
            headers=[],
            body=b"{}",
            deadline_ms=int(deadline_s * 1000),
            priority=1,
            idempotent=True,
            stream=True,
            fingerprint=b"f" * 16,
            revision=1,
            claim_offset=0,
            idempotency_key="",
            resume_tokens=0,
            version="",
            alone=False,
            incarnation=0,
            sent_ms=0,
        )
        exchange = self.connection.open()
        try:
            await exchange.send(Kind.SUBMIT, codec.encode(message))
            frames = []
            while not frames or frames[-1].kind not in _FINAL_KINDS:
                frames.append(await exchange.receive(deadline_s + 10))
            return frames
        finally:
            exchange.close()


def _run(test, answer, probe=None, sockets=False):
    """Runs `test(site)` in virtual time, in memory or on real sockets."""

    async def main(clock, loop):
        site = _Site(clock, _Backend(answer, probe))
        await site.start()
        try:
            await test(site)
        finally:
            await site.stop()

    if sockets:
        clock = clocks.VirtualClock()
        clocks.run(main(clock, None), clock, 0.002)
    else:
        script.run(main)


async def _answer(submit):
    yield backend_types.Head(200, (), "v1", "d1")
    yield backend_types.Data(b"data: [DONE]\n\n")
    yield backend_types.End()


def test_unexpected_error_fails_its_attempt_only():
    """Guards against slots that stay taken, and entries without an answer."""

    async def answer(submit):
        yield backend_types.Head(200, (), "v1", "d1")
        if submit.request_id == "odd":
            raise KeyError("odd")
        yield backend_types.End()

    async def test(site):
        frames = await site.submit("odd")
        assert frames[-1].kind == Kind.FAILED
        (line,) = site.log.named("attempt_failed")
        assert (line["request"], line["attempt"]) == ("odd", 1)
        assert line["error"] == "KeyError: 'odd'"
        assert line["at"].startswith("test_gate_ends.py:")
        assert site.counters.value("gate.failed.error") == 1
        assert site.gate.load.in_flight == 0
        assert (await site.submit("plain"))[-1].kind == Kind.ANSWER_END

    _run(test, answer)


_STATUS = {
    "model": "m",
    "version": "v1",
    "digest": "d1",
    "adapters": {},
    "role": "mixed",
    "fencing": 1,
    "load": 0.0,
    "running": 0,
    "waiting": 0,
    "capacity": 4,
    "loading": "",
}
_WIDE_BLOCK = {"sequence": 1, "change": "stored", "blocks": [1 << 63]}
_EVENTS = {"first": 1, "next": 1, "events": []}


@pytest.mark.parametrize(
    ("status", "cache_events"),
    [
        ([], _EVENTS),
        (_STATUS | {"adapters": None}, _EVENTS),
        (_STATUS | {"capacity": "many"}, _EVENTS),
        (_STATUS | {"added": 1}, _EVENTS),
        (_STATUS, []),
        (_STATUS, {"first": None, "next": 1, "events": []}),
        (_STATUS, {"first": 1, "next": 2, "events": [1]}),
        (_STATUS | {"capacity": 1 << 31}, _EVENTS),
        (_STATUS, _EVENTS | {"next": 2, "events": [_WIDE_BLOCK]}),
    ],
)
def test_odd_status_of_an_engine_does_not_end_the_agent(status, cache_events):
    """Guards against an agent that lives on and does nothing any more."""

    async def main():
        bodies = {"/status": status, "/cache/events": cache_events}

        async def respond(request):
            return web.json_response(bodies[request.path])

        app = web.Application()
        app.router.add_get("/{path:.*}", respond)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        session = sessions.create()
        client = engine.EngineClient(f"http://127.0.0.1:{port}", session)
        identity = connection.Identity("agent", types.Role.AGENT, script.PLACE)
        gate = service.GateService(
            connection.Endpoint(identity, script.KEYS, script.LOG),
            backends.EngineBackend(client),
            "s",
            clock=clock,
        )
        await gate.start()
        try:
            await asyncio.sleep(3)
            assert not gate.crashed
        finally:
            await gate.stop()
            await session.close()
            await runner.cleanup()

    clock = clocks.VirtualClock()
    clocks.run(main(), clock, 0.002)


def test_header_of_a_server_that_is_not_utf_8_is_passed_on():
    """Guards against an answer that is lost because of one of its headers."""

    async def answer(submit):
        received = multidict.CIMultiDict({"X-Name": "caf\udce9"})
        headers = _http.end_to_end_headers(multidict.CIMultiDictProxy(received))
        yield backend_types.Head(200, headers, "v1", "d1")
        yield backend_types.End()

    async def test(site):
        frames = await site.submit("r1")
        assert frames[-1].kind == Kind.ANSWER_END
        head = codec.decode(ttypes.AnswerHead, frames[0].body)
        assert [(h.name, h.value) for h in head.headers] == [("x-name", "café")]

    _run(test, answer)


@pytest.mark.parametrize("stall_s", [0.5, 2.0, 3.0])
@pytest.mark.parametrize("at_s", [0.1, 0.6, 1.1])
def test_stall_of_the_agent_does_not_end_its_attempts(stall_s, at_s):
    """Guards against streams that end because their agent stood still.

    The engine answers probes 0.4 s late, and its answer goes on all the time.
    """

    async def probe():
        await asyncio.sleep(0.4)
        return _HEALTH

    async def answer(submit):
        yield backend_types.Head(200, (), "v1", "d1")
        for _ in range(20):
            await asyncio.sleep(1)
            yield backend_types.Data(script.encode_event(1))
        yield backend_types.End()

    async def test(site):
        running = asyncio.ensure_future(site.submit("r1"))
        await asyncio.sleep(at_s)
        site.clock.advance(stall_s)
        frames = await running
        assert frames[-1].kind == Kind.ANSWER_END
        assert not site.counters.value("gate.stalls")

    _run(test, answer, probe)


@pytest.mark.parametrize("size", [9 << 20, 40 << 20])
def test_large_answer_of_a_server_arrives(size):
    """Guards against large answers that end a connection and its calls."""

    async def answer(submit):
        yield backend_types.Head(200, (), "v1", "d1")
        if submit.request_id == "large":
            yield backend_types.Data(b"x" * size)
        else:
            await asyncio.sleep(5)
        yield backend_types.End()

    async def test(site):
        other = asyncio.ensure_future(site.submit("other"))
        await asyncio.sleep(1)
        frames = await site.submit("large")
        assert frames[-1].kind == Kind.ANSWER_END
        end = codec.decode(ttypes.AnswerEnd, frames[-1].body)
        data = [f.body for f in frames if f.kind == Kind.ANSWER_DATA]
        assert sum(map(len, data)) == end.body_bytes == size
        assert (await other)[-1].kind == Kind.ANSWER_END

    _run(test, answer, sockets=True)


def test_engine_with_odd_cache_events_is_not_taken_for_stalled():
    """Guards against streams that end because of a list of cached prompts."""

    async def answer(submit):
        yield backend_types.Head(200, (), "v1", "d1")
        await asyncio.sleep(10)
        yield backend_types.End()

    async def fail():
        raise exceptions.BackendLost("cache events: malformed")

    async def test(site):
        site.backend.prefixes = fail
        frames = await site.submit("r1")
        assert frames[-1].kind == Kind.ANSWER_END
        assert site.counters.value("gate.prefixes_failed") > 10
        assert not site.counters.value("gate.stalls")

    _run(test, answer)
