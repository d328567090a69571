"""Tests how streams end that a server has begun and does not complete."""

import asyncio

import platform_site as sites
import pytest
import structlog

from clementinegw.direct import budget
from clementinegw.direct import reports

EVENTS = 6
WHOLE = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, EVENTS + 1))


def server_of(call):
    """Returns the name of the server that a call was sent to."""
    return call.headers["x-clementinegw-expect-instance"]


def begun_at(call):
    return int(call.headers.get("last-event-id", 0))


class Servers:
    """Servers of which the first one to begin a stream pauses midway.

    Attributes:
      pause_s: The length of the pause, in seconds.
      paused: The servers that paused.
    """

    def __init__(self, pause_s):
        self.pause_s = pause_s
        self.paused = []

    async def serve(self, call):
        call.begin_stream()
        for number in range(begun_at(call) + 1, EVENTS + 1):
            if number == 3 and not begun_at(call):
                self.paused.append(server_of(call))
                await asyncio.sleep(self.pause_s)
            call.event(number)
            await asyncio.sleep(0.05)
        call.end_stream()


def test_a_stream_outlives_a_silence_that_no_other_server_may_take_over():
    """A stream was broken off at a silent server without a retry budget."""

    async def play():
        servers = Servers(pause_s=1.3)
        async with sites.Site("i-1", "i-2", on_call=servers.serve) as site:
            none = budget.Limits(ratio=0.0, slack=0.0)
            site.entry._forwarder.set_retry_limits(none)
            return await site.ask("/stream/1")

    answer = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_streams_outlive_a_silence_if_the_other_server_has_room_for_one():
    """Of two streams at a silent server one was broken off.

    Both found the same free slot of another server before either used it.
    """

    async def play():
        servers = Servers(pause_s=1.3)
        async with sites.Site("i-1", "i-2", on_call=servers.serve) as site:
            site.store.put("keyed.servers", "i-2", None)
            await asyncio.sleep(1.5)
            tokens = ["X-Clementinegw-Token-Usage: 100,100"]
            streams = []
            for _ in range(2):
                ask = site.ask("/stream/1", headers=tokens)
                streams.append(asyncio.ensure_future(ask))
                await asyncio.sleep(0.08)
            site.store.put("keyed.servers", "i-2", site.servers[1].record())
            return await asyncio.gather(*streams), servers.paused

    answers, paused = sites.run(play())
    assert paused == ["i-1", "i-1"]
    assert [(a.complete, a.body.decode()) for a in answers] == [
        (True, WHOLE)
    ] * 2


@pytest.mark.parametrize("path", ["/once/1", "/stream/1"])
def test_a_request_that_may_not_repeat_outlives_the_silence_of_an_agent(path):
    """Guards requests that may run once against the silence of an agent."""

    async def serve(call):
        await asyncio.sleep(1.5)
        if call.head.target.startswith(b"/stream"):
            call.begin_stream()
            call.event(1)
            call.end_stream()
        else:
            call.answer()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            config = sites.config(2)
            for route in config["routes"]:
                route["stream_resume"] = False
            site.store.put("keyed.op", "config", config)
            await asyncio.sleep(0.1)
            for _ in range(10):
                await asyncio.sleep(0.1)
                for name in ("i-1", "i-2"):
                    site.entry._on_report(
                        "127.0.0.1", reports.Report(name, 0, 0, 8, entries=1)
                    )
            return await site.ask(path)

    answer = sites.run(play())
    assert (answer.status, answer.complete) == (200, True)


def test_streams_outlive_a_stall_of_the_event_loop():
    """Streams left their servers, whose events had arrived, after a stall."""

    async def play():
        servers = Servers(pause_s=0.05)
        async with sites.Site("i-1", "i-2", on_call=servers.serve) as site:
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.08)
            asyncio.get_running_loop().clock.advance(2.0)
            return await stream, sum(len(s.calls) for s in site.servers)

    answer, calls = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)
    assert calls == 1


def test_a_stream_whose_second_server_fails_leaves_its_line():
    """A stream ended without a line when a server refused to resume it."""

    async def serve(call):
        if begun_at(call):
            call.answer(b"cannot resume", status=500)
            return
        call.begin_stream()
        call.event(1)
        await asyncio.sleep(0.01)
        call.reset()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            answer = await site.ask("/stream/1")
            return answer, site.counters.snapshot()

    answer, counters = sites.run(play())
    assert (answer.status, answer.complete) == (200, False)
    assert counters.get("direct.request_failed", 0) == 0
    assert counters["direct.broken_off.failed_at_server"] == 1


def outcomes_of(log):
    """Returns the last line of each request: its event and why it ended."""
    lines = {}
    for line in log:
        if "request" in line:
            why = line.get("reason") or line.get("cause") or line.get("outcome")
            lines[line["request"]] = (line["event"], why)
    return lines


def test_requests_that_are_open_when_the_process_ends_are_answered():
    """Requests were cut off without an answer and a line at the end."""

    async def serve(call):
        if call.head.target.startswith(b"/stream"):
            call.begin_stream()
            call.event(1)
        await asyncio.sleep(60.0)

    async def play():
        async with sites.Site("i-1", on_call=serve) as site:
            open_requests = {
                name: asyncio.ensure_future(
                    site.ask(f"/{name}/1", attempt_id=name)
                )
                for name in ("safe", "once", "stream")
            }
            await asyncio.sleep(0.2)
            await site.entry._server.stop()
            answers = await asyncio.gather(*open_requests.values())
            return [(a.status, a.complete) for a in answers]

    with structlog.testing.capture_logs() as log:
        answers = sites.run(play())
    assert answers == [(502, True), (502, True), (200, False)]
    assert outcomes_of(log) == {
        "safe": ("request_refused", "stopping"),
        "once": ("request_refused", "stopping"),
        "stream": ("answer_broken_off", "stopping"),
    }


def test_a_request_that_waits_when_the_process_ends_may_be_sent_again():
    """A request that waited for a server got no answer at the end."""

    async def play():
        async with sites.Site("i-1") as site:
            for _ in range(5):
                await asyncio.sleep(0.1)
                full = reports.Report("i-1", 8, 0, 8, entries=1)
                site.entry._on_report("127.0.0.1", full)
            ask = asyncio.ensure_future(site.ask("/safe/1"))
            await asyncio.sleep(0.1)
            await site.entry._server.stop()
            return await ask, len(site.servers[0].calls)

    answer, calls = sites.run(play())
    assert (answer.status, answer.complete, calls) == (503, True, 0)


def raise_error(*_):
    raise KeyError("unexpected")


@pytest.mark.parametrize(
    ("method", "status", "complete", "begun"),
    [
        ("_reserve", 503, True, False),
        ("_record_failure", 502, True, False),
        ("_take_over", 200, False, True),
    ],
)
def test_a_request_with_an_unexpected_error_is_answered(
    monkeypatch, method, status, complete, begun
):
    """A request ended with a closed connection and without a line."""

    async def serve(call):
        if begun:
            call.begin_stream()
            call.event(1)
            await asyncio.sleep(60.0)
        call.reset()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            monkeypatch.setattr(site.entry._forwarder, method, raise_error)
            return await site.ask("/stream/1")

    with structlog.testing.capture_logs() as log:
        answer = sites.run(play())
    assert (answer.status, answer.complete) == (status, complete)
    failures = [line for line in log if line["event"] == "request_failed"]
    assert [(f["request"], f["error"], f["begun"]) for f in failures] == [
        ("a1", "KeyError: 'unexpected'", begun)
    ]


def test_an_error_after_a_complete_answer_leaves_the_answer_whole(monkeypatch):
    """A complete answer was cut by an error in what follows it."""

    async def play():
        async with sites.Site("i-1") as site:
            guard = site.entry._forwarder.guard
            monkeypatch.setattr(guard, "record_completion", raise_error)
            async with sites.Caller(site) as caller:
                first = await caller.ask("/safe/1")
                return first, await caller.ask("/safe/1")

    with structlog.testing.capture_logs() as log:
        answers = sites.run(play())
    assert [(a.status, a.complete) for a in answers] == [(200, True)] * 2
    failures = [line for line in log if line["event"] == "request_failed"]
    assert [f["request"] for f in failures] == ["a1", "a2"]


def test_a_caller_that_leaves_while_it_is_refused_leaves_its_line(monkeypatch):
    """A request whose caller left during its refusal had no line."""

    async def serve(call):
        call.answer(b"x" * (8 << 20), status=500)

    async def play():
        async with sites.Site("i-1", on_call=serve) as site:
            async with sites.Caller(site) as caller:
                caller.send("/once/1")
                await asyncio.sleep(0.5)
                caller.writer.transport.abort()
            await asyncio.sleep(0.5)

    with structlog.testing.capture_logs() as log:
        sites.run(play())
    assert outcomes_of(log)["a1"] == ("request_done", "reset")


class LoadedSite(sites.Site):
    """A site whose agents report which servers are full."""

    def report(self, *full):
        """Reports the load of all servers: 8 of 8 slots, or none."""
        for server in self.servers:
            running = 8 if server.name in full else 0
            load = reports.Report(server.name, running, 0, 8, entries=1, rank=0)
            self.entry._on_report("127.0.0.1", load)

    async def report_for(self, seconds, *full):
        """Reports ten times a second."""
        for _ in range(round(10 * seconds)):
            self.report(*full)
            await asyncio.sleep(0.1)


async def break_off(call, gap_s=0.02):
    """Begins a stream and breaks it off, or completes it from there."""
    begun = begun_at(call)
    call.begin_stream()
    for number in range(begun + 1, EVENTS + 1 if begun else 4):
        call.event(number)
        await asyncio.sleep(gap_s)
    if begun:
        call.end_stream()
    else:
        call.reset()


async def play_full_servers(full_s):
    """Plays a stream that breaks off while the other server is full."""
    async with LoadedSite("i-1", "i-2", on_call=break_off) as site:
        await site.report_for(0.5, "i-2")
        stream = asyncio.ensure_future(site.ask("/stream/1"))
        await asyncio.sleep(0.03)
        site.entry._fleet.find("i-1").gone = True
        await site.report_for(full_s, "i-2")
        await site.report_for(0.5)
        return await stream


def test_a_broken_stream_waits_for_a_server_as_long_as_its_caller():
    """A stream was broken off although its caller had most of its time left."""
    answer = sites.run(play_full_servers(1.5))
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_a_broken_stream_waits_for_the_retry_budget():
    """A stream was broken off because the retry budget was used up."""

    async def play():
        async with sites.Site("i-1", "i-2", on_call=break_off) as site:
            forwarder = site.entry._forwarder
            forwarder.set_retry_limits(budget.Limits(ratio=0.0, slack=0.0))
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(1.0)
            forwarder.set_retry_limits(budget.Limits(slack=1e4))
            return await stream

    answer = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_two_broken_streams_wait_for_a_retry_budget_for_one():
    """Of two streams that got a server one was broken off for the budget."""

    async def play():
        async with LoadedSite("i-1", "i-2", on_call=break_off) as site:
            await site.report_for(0.5, "i-2")
            limits = budget.Limits(ratio=0.0, slack=1.5 / 0.35)
            site.entry._forwarder.set_retry_limits(limits)
            asks = (site.ask("/stream/1") for _ in range(2))
            streams = asyncio.gather(*asks)
            await asyncio.sleep(0.03)
            site.entry._fleet.find("i-1").gone = True
            await site.report_for(0.3, "i-2")
            await site.report_for(0.5)
            site.entry._forwarder.set_retry_limits(budget.Limits())
            await site.report_for(0.5)
            return await streams

    answers = sites.run(play())
    assert [(a.complete, a.body.decode()) for a in answers] == [
        (True, WHOLE)
    ] * 2


def test_connections_that_fail_do_not_use_up_the_retry_budget():
    """A stream was broken off for retries of which no server got anything."""

    async def play():
        async with sites.Site("i-1", "i-2", on_call=break_off) as site:
            limits = budget.Limits(ratio=0.0, slack=1.5 * 30 / 0.35)
            site.entry._forwarder.set_retry_limits(limits)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.03)
            for server in site.servers:
                await server.stop()
            await asyncio.sleep(1.0)
            replacement = sites.Server("i-3", break_off)
            await replacement.start()
            site.servers.append(replacement)
            site.store.put("keyed.servers", "i-3", replacement.record())
            return await stream

    answer = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_a_broken_stream_goes_before_requests_that_have_not_begun():
    """A stream waited until its time was out while new requests were sent."""

    async def serve(call):
        if call.head.target.startswith(b"/safe"):
            await asyncio.sleep(0.1)
            call.answer()
        else:
            await break_off(call, 0.2)

    async def play():
        async with sites.Site("i-1", on_call=serve) as site:
            site.store.put(
                "keyed.servers", "i-1", site.servers[0].record(slots=1)
            )
            await asyncio.sleep(1.5)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            asks = []
            while not stream.done():
                asks.append(asyncio.ensure_future(site.ask("/safe/1")))
                await asyncio.sleep(0.01)
            await asyncio.gather(*asks)
            return await stream

    answer = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_the_line_of_a_broken_stream_says_why_no_server_goes_on():
    """A line gave `may_have_run` as the reason of any broken stream."""
    with structlog.testing.capture_logs() as log:
        answer = sites.run(play_full_servers(3.0))
    assert not answer.complete
    lines = [line for line in log if line["event"] == "answer_broken_off"]
    assert [line["cause"] for line in lines] == ["busy"]


def test_a_connection_is_not_kept_for_a_server_that_has_moved():
    """A request was sent to the address that a server had before."""

    async def serve(call):
        if call.attempt_id == "open":
            await asyncio.sleep(1.5)
        call.answer()

    async def play():
        async with sites.Site("i-1", on_call=serve) as site:
            former = site.servers[0]
            ask = site.ask("/safe/1", attempt_id="open")
            open_request = asyncio.ensure_future(ask)
            await asyncio.sleep(0.1)
            moved = sites.Server("i-1", serve)
            await moved.start()
            site.servers.append(moved)
            site.store.put("keyed.servers", "i-1", moved.record(sequence=2))
            await asyncio.sleep(1.2)
            statuses = [(await open_request).status]
            for _ in range(3):
                statuses.append((await site.ask()).status)
            backend = site.entry._fleet.find("i-1")
            return (
                statuses,
                len(former.calls),
                len(moved.calls),
                backend.pool.open_connections,
            )

    assert sites.run(play()) == ([200] * 4, 1, 3, 1)


def test_a_retry_does_not_use_a_connection_that_broke_in_the_same_fault():
    """A stream used up its attempts on kept connections of a cut domain."""
    names = ["i-1", "i-2", "i-3"]
    cut = []

    async def serve(call):
        if not call.head.target.startswith(b"/stream"):
            await asyncio.sleep(0.05)
            call.answer()
        elif server_of(call) in cut:
            call.reset()
        else:
            if not begun_at(call):
                # The server that began the stream and one more are cut off.
                healthy = next(n for n in names if n != server_of(call))
                cut.extend(n for n in names if n != healthy)
            await break_off(call)

    async def play():
        async with sites.Site(*names, on_call=serve) as site:
            asks = [site.ask(f"/safe/{number}") for number in range(30)]
            await asyncio.gather(*asks)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.01)
            for server in site.servers:
                if server.name in cut:
                    await server.stop()
            return await stream

    for _ in range(8):
        cut.clear()
        answer = sites.run(play())
        assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_a_stream_whose_time_is_over_leaves_its_line():
    """Guards the line of a stream that its server does not end in time."""

    async def serve(call):
        call.begin_stream()
        for number in range(1, 100):
            call.event(number)
            await asyncio.sleep(0.1)

    async def play():
        async with sites.Site("i-1", on_call=serve) as site:
            return await site.ask("/stream/1")

    with structlog.testing.capture_logs() as log:
        answer = sites.run(play())
    assert (answer.status, answer.complete) == (200, False)
    lines = [line for line in log if line["event"] == "answer_broken_off"]
    assert [(line["cause"], line["left_ms"]) for line in lines] == [
        ("timeout", 0.0)
    ]
