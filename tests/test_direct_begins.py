"""Tests when requests that cannot be withdrawn are sent to a slow server."""

import asyncio
import dataclasses
import itertools

import passes
import platform_site
import pytest

from clementinegw.direct import begin_estimate
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

_DUE_S = 8.0
_PACES = (1.0, 2.0, 3.0, 5.0, 8.0)
_PROMPTS = (0, 973, 3_880)
_AHEAD = (0, 4, 8, 16, 32)


@dataclasses.dataclass(frozen=True)
class _Server:
    """What an entry knows of a server."""

    queued: int
    pace: float

    def waiting(self, now):
        del now
        return self.queued

    def estimated_pace(self, now):
        del now
        return self.pace


def _engine():
    return types.Engine(
        models=("m",),
        slots=passes.SLOTS,
        step_s=passes.STEP_S,
        step_per_request_s=passes.STEP_PER_REQUEST_S,
        prefill_tokens_per_s=passes.TOKENS_PER_S,
        steps_per_pass=passes.STEPS_PER_PASS,
        layers=1,
        chunks=1,
        chunk_bytes=1,
        typical_prompt_tokens=973.0,
        typical_answer_tokens=106.0,
        report_lag_s=0.2,
    )


def _case(pace, tokens, ahead, writing):
    """Returns the expected lead of a request and when it really begins."""
    engine = passes.Engine(pace)
    engine.running = [passes.Request(0, begun=True) for _ in range(writing)]
    for _ in range(ahead):
        engine.add(passes.Request(973))
    server = _Server(len(engine.waiting), pace)
    prompt = begin_estimate.prompt_of(tokens, _engine())
    known = begin_estimate.Ahead(973.0 * ahead, ahead + writing)
    lead_s = prompt.lead_s(server, known, 0.0)
    return lead_s, engine.begins_in_s(passes.Request(tokens))


@pytest.mark.parametrize("pace", _PACES)
def test_requests_are_expected_to_begin_no_earlier_than_they_do(pace):
    margin_s = version_policy.DISPATCH_MARGIN_S
    for tokens, ahead, writing in itertools.product(_PROMPTS, _AHEAD, (0, 8)):
        lead_s, begins_in_s = _case(pace, tokens, ahead, writing)
        assert begins_in_s <= margin_s + lead_s, (tokens, ahead, writing)


@pytest.mark.parametrize("tokens", _PROMPTS)
@pytest.mark.parametrize("writing", [0, 4, 8])
def test_nothing_is_withheld_from_a_fast_server(tokens, writing):
    lead_s, _ = _case(1.0, tokens, 0, writing)
    assert lead_s == 0.0


def test_an_engine_without_times_holds_nothing_back():
    """Operators need not say how long a step takes."""
    engine = dataclasses.replace(
        _engine(),
        step_s=0.0,
        step_per_request_s=0.0,
        prefill_tokens_per_s=float("inf"),
    )
    prompt = begin_estimate.prompt_of(973, engine)
    known = begin_estimate.Ahead(1e4, 40.0)
    assert prompt.lead_s(_Server(9, 8.0), known, 0.0) == 0.0


@pytest.mark.parametrize("running", [14, 15])
def test_a_nearly_full_server_is_expected_to_have_no_slot(running):
    """A request sent 0.376 s before a version was due began too late."""
    prompt = begin_estimate.prompt_of(643, _engine())
    known = begin_estimate.Ahead(0.0, running)
    lead_s = prompt.lead_s(_Server(0, 1.0), known, 0.0)
    assert version_policy.DISPATCH_MARGIN_S + lead_s > 0.376


def test_estimates_follow_servers_that_are_slower_than_they_report():
    """A server needed 0.74 s for what was expected in 0.18 s."""
    correction = begin_estimate.Correction()
    assert correction.factor == 1.0
    for _ in range(40):
        correction.record(0.18, 0.5)
    slow = correction.factor
    for _ in range(4_000):
        correction.record(0.18, 0.15)
    assert slow > 0.5 / 0.18
    assert correction.factor == 1.0


class _EngineServer(platform_site.Server):
    """A server that generates in passes and stays on version 1.

    Attributes:
      begun_at: When requests began, in seconds of the event loop.
    """

    def __init__(self, name, pace, reported_pace):
        super().__init__(name, self._handle)
        self.engine = passes.Engine(pace)
        self._reported_pace = reported_pace
        self.begun_at = []

    async def run(self):
        """Makes passes without end."""
        while True:
            pass_s, begun = self.engine.run_pass()
            await asyncio.sleep(pass_s)
            for request in begun:
                request.call.begin_stream()
                request.call.event(1)
                request.call.end_stream()
                self.begun_at.append(asyncio.get_running_loop().time())

    async def _handle(self, call):
        usage = call.headers["x-clementinegw-token-usage"]
        request = passes.Request(int(usage.partition(",")[0]))
        request.call = call
        self.engine.add(request)

    def report(self):
        """Returns what its agent reports."""
        return codec.encode(
            ttypes.BackendReport(
                self.name,
                len(self.engine.running),
                len(self.engine.waiting),
                passes.SLOTS,
                "m",
                1,
                True,
                False,
                self.engine.pace,
                False,
                1,
                -1.0,
            )  # fmt: skip
        )


class _Site(platform_site.Site):
    """An entry before one engine, on a route whose streams run once."""

    def __init__(self, pace, reported_pace):
        super().__init__()
        self.server = _EngineServer("i-1", pace, reported_pace)

    async def __aenter__(self):
        await super().__aenter__()
        await self.server.start()
        self.servers.append(self.server)
        config = platform_site.config()
        route = {**config["routes"][-1], "stream_resume": False}
        services = [{"name": "plain", "engine": passes.ENGINE}]
        config = platform_site.config(2, routes=[route], services=services)
        self.store.put("keyed.op", "config", config)
        self.list_version(self.server, 1)
        self._tasks = [
            asyncio.ensure_future(self.server.run()),
            asyncio.ensure_future(self._report()),
        ]
        await asyncio.sleep(1.5)
        return self

    async def __aexit__(self, *args):
        for task in self._tasks:
            task.cancel()
        await super().__aexit__(*args)

    async def _report(self):
        while True:
            address = ("127.0.0.1", 1)
            self.entry._reports.datagram_received(self.server.report(), address)
            await asyncio.sleep(0.1)


async def _send_until_due(pace, reported_pace):
    """Returns how many requests began, and how late those too late did."""
    async with _Site(pace, reported_pace) as site:
        version = {"model": "m", "version": 2}
        site.store.put("keyed.op", "version/m", version)
        due_at = asyncio.get_running_loop().time() + _DUE_S
        await asyncio.sleep(_DUE_S - 4.0)
        async with asyncio.TaskGroup() as group:
            for number in range(90):
                tokens = _PROMPTS[number % len(_PROMPTS)]
                headers = [
                    "X-Clementinegw-Model: m",
                    f"X-Clementinegw-Token-Usage: {tokens},106",
                ]
                group.create_task(
                    site.ask(
                        "/stream/1", attempt_id=f"a{number}", headers=headers
                    )
                )
                await asyncio.sleep(0.045)
        begun_at = site.server.begun_at
        return len(begun_at), [at - due_at for at in begun_at if at > due_at]


@pytest.mark.parametrize("pace", _PACES)
def test_no_request_begins_on_weights_that_are_too_old(pace):
    """A request was sent until 0.3 s before, whatever its server's pace."""
    begun, late = platform_site.run(_send_until_due(pace, pace))
    assert late == []
    assert begun > 5


@pytest.mark.parametrize("pace", [1.5, 2.0, 3.0, 5.0])
def test_none_begins_too_late_at_a_server_slower_than_it_reports(pace):
    """Estimates rested on the pace that the server's agent reports."""
    begun, late = platform_site.run(_send_until_due(pace, 1.0))
    assert late == []
    assert begun > 5
