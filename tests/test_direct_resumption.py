"""Tests how streams go on at another server, and what ends them."""

import asyncio

import platform_site as sites
import pytest
import structlog
import test_direct_stream_ends as ends

from clementinegw.direct import budget
from clementinegw.direct import client
from clementinegw.direct import reports

WHOLE = ends.WHOLE


def broken_off(log):
    """Returns why each answer was broken off."""
    return [
        line["cause"] for line in log if line["event"] == "answer_broken_off"
    ]


@pytest.mark.parametrize("path", ["/nowhere/1", "/safe/1"])
def test_a_head_request_is_answered(path):
    """A refused HEAD request ended with a broken connection."""

    async def play():
        async with sites.Site() as site, sites.Caller(site) as caller:
            caller.send(path, method="HEAD")
            return await caller.reader.read(65536)

    with structlog.testing.capture_logs() as log:
        data = sites.run(play())
    assert data.startswith(b"HTTP/1.1 ") and data.endswith(b"\r\n\r\n")
    failed = ("request_failed", "request_unanswered")
    assert [line for line in log if line["event"] in failed] == []


def test_a_broken_stream_outlives_connections_that_time_out(monkeypatch):
    """A stream was broken off after 0.3 of its time in failed connections."""
    connect = client.connect
    state = {"down": False}

    async def failing_connect(address, timeout_s):
        if state["down"]:
            await asyncio.sleep(timeout_s)
            raise client.ConnectFailed(f"{address}: no connection")
        return await connect(address, timeout_s)

    async def play():
        async with sites.Site("i-1", "i-2", on_call=ends.break_off) as site:
            monkeypatch.setattr(client, "connect", failing_connect)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.03)
            state["down"] = True
            await asyncio.sleep(1.0)
            state["down"] = False
            return await stream

    with structlog.testing.capture_logs() as log:
        answer = sites.run(play())
    assert broken_off(log) == []
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_a_broken_stream_outlives_servers_that_shed_it():
    """A stream was broken off after three sheds, with most of its time left."""

    async def play():
        shedding = True

        async def serve(call):
            if ends.begun_at(call) and shedding:
                call.reject()
            else:
                await ends.break_off(call)

        async with sites.Site("i-1", "i-2", "i-3", on_call=serve) as site:
            site.entry._forwarder.set_retry_limits(budget.Limits(slack=1e4))
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.8)
            shedding = False
            return await stream

    with structlog.testing.capture_logs() as log:
        answer = sites.run(play())
    assert broken_off(log) == []
    assert (answer.complete, answer.body.decode()) == (True, WHOLE)


def test_the_line_of_a_stream_without_servers_says_so():
    """The line of a broken stream said `busy` when there was no server."""

    async def play():
        async with sites.Site("i-1", on_call=ends.break_off) as site:
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.03)
            site.store.put("keyed.servers", "i-1", None)
            site.entry._fleet.find("i-1").gone = True
            return await stream

    with structlog.testing.capture_logs() as log:
        sites.run(play())
    assert broken_off(log) == ["no_server"]


def test_a_stream_is_not_resumed_when_it_cannot_complete():
    """A server was given a stream 60 ms before its deadline."""
    deadlines = []

    async def serve(call):
        deadlines.append(int(call.headers["x-clementinegw-deadline-ms"]))
        await ends.break_off(call)

    async def play():
        async with ends.LoadedSite("i-1", "i-2", on_call=serve) as site:
            await site.report_for(0.5, "i-2")
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.03)
            site.entry._fleet.find("i-1").gone = True
            for _ in range(242):
                site.report("i-2")
                await asyncio.sleep(0.01)
            site.report()
            return await stream

    assert not sites.run(play()).complete
    assert len(deadlines) == 1


def test_the_line_of_a_stream_says_why_no_server_goes_on_after_a_failure():
    """The line said `failed_at_server` for a stream that waited in vain."""

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            config = sites.config(2)
            for route in config["routes"]:
                route["max_attempts"] = 4
            site.store.put("keyed.op", "config", config)
            await asyncio.sleep(0.1)
            limits = budget.Limits(slack=1e4)
            site.entry._forwarder.set_retry_limits(limits)
            fleets.append(site.entry._fleet)
            return await site.ask("/stream/1")

    async def serve(call):
        if not ends.begun_at(call):
            await ends.break_off(call)
            return
        for backend in fleets[0].all():
            backend.gone = True
        call.answer(b"not now", status=500)

    fleets = []
    with structlog.testing.capture_logs() as log:
        assert not sites.run(play()).complete
    assert broken_off(log) == ["no_server"]


def test_a_request_outlives_a_silence_if_the_other_server_sheds_it():
    """A safe request got 502 with most of its time left."""

    async def serve(call):
        servers.append(ends.server_of(call))
        if len(servers) == 1:
            await asyncio.sleep(1.3)
        if len(servers) == 2:
            call.reject()
        else:
            call.answer()

    servers = []

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            limits = budget.Limits(slack=1e4)
            site.entry._forwarder.set_retry_limits(limits)
            return await site.ask("/safe/1")

    assert sites.run(play()).status == 200


def test_the_line_of_a_stream_that_cannot_be_resumed_says_so():
    """The line said `attempts_used` though no attempt could be made."""

    async def serve(call):
        call.begin_stream()
        data = b"data: no id\n\n"
        call.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await asyncio.sleep(0.02)
        call.reset()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            return await site.ask("/stream/1")

    with structlog.testing.capture_logs() as log:
        sites.run(play())
    assert broken_off(log) == ["not_resumable"]


def test_a_takeover_whose_caller_left_releases_its_slot():
    """A slot of the server that was to take over stayed reserved."""

    async def play():
        silent = ends.Servers(pause_s=5.0)
        async with sites.Site("i-1", "i-2", on_call=silent.serve) as site:
            limits = budget.Limits(slack=1e4)
            site.entry._forwarder.set_retry_limits(limits)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(1.0)
            stream.cancel()
            await asyncio.sleep(0.5)
            fleet = site.entry._fleet
            return [fleet.find(name).in_flight for name in ("i-1", "i-2")]

    assert sites.run(play()) == [0, 0]


@pytest.mark.parametrize(
    ("answered", "unanswered"), [(False, [1, 0]), (True, [0, 0])]
)
def test_retries_that_may_still_arrive_count_as_unanswered(
    answered, unanswered
):
    """Requests that links held arrived in a window of other retries."""

    async def serve(call):
        if not answered:
            await asyncio.sleep(30.0)
        call.reset()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            limits = budget.Limits(slack=1e4)
            site.entry._forwarder.set_retry_limits(limits)
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(1.0)
            stream.cancel()
            counts = []
            for _ in range(2):
                await asyncio.sleep(3.0)
                one = site.entry._forwarder._retry_budgets._of("plain")
                one.allows(asyncio.get_running_loop().time())
                counts.append(one.unanswered)
            return counts

    assert sites.run(play()) == unanswered


FINAL_EVENTS = frozenset(
    {
        "request_done",
        "request_refused",
        "answer_broken_off",
        "request_failed",
        "request_unanswered",
    }
)


@pytest.mark.parametrize("turns", range(6))
def test_a_caller_that_leaves_as_the_process_stops_leaves_one_line(turns):
    """A request had no line, or two, when its cancellation was cancelled."""

    async def work_on(call):
        del call
        await asyncio.sleep(30.0)

    async def play():
        async with sites.Site("i-1", on_call=work_on) as site:
            async with sites.Caller(site) as caller:
                caller.send()
                await asyncio.sleep(0.1)
                sessions = site.entry._server._sessions
                (session,) = [s for s in sessions if s.busy]
                session.channel.connection_lost(None)
                for _ in range(turns):
                    await asyncio.sleep(0)
                await site.entry._server.stop()
            await asyncio.sleep(0.1)

    with structlog.testing.capture_logs() as log:
        sites.run(play())
    assert len([x for x in log if x["event"] in FINAL_EVENTS]) == 1


def test_a_process_that_cuts_an_answer_does_not_say_that_its_caller_left():
    """A line said that the caller had closed its connection in order."""

    async def serve(call):
        call.answer(b"x" * (8 << 20), status=500)

    async def play():
        site = sites.Site("i-1", on_call=serve)
        async with site, sites.Caller(site) as caller:
            caller.send("/once/1")
            await asyncio.sleep(0.5)
            await site.entry._server.stop()

    with structlog.testing.capture_logs() as log:
        sites.run(play())
    last = [line for line in log if "request" in line][-1]
    assert last["cause"] in ("stopped", "stopping")


def test_a_broken_stream_waits_for_a_server_to_be_listed():
    """Guards against a stream that ends because no server is listed."""

    async def play():
        async with sites.Site("i-1", on_call=ends.break_off) as site:
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.03)
            site.store.put("keyed.servers", "i-1", None)
            site.entry._fleet.find("i-1").gone = True
            await asyncio.sleep(1.2)
            assert not site.entry._fleet.all()
            site.store.put("keyed.servers", "i-9", other.record())
            return await stream

    async def play_with_other():
        nonlocal other
        other = sites.Server("i-9", ends.break_off)
        await other.start()
        try:
            return await play()
        finally:
            await other.stop()

    other = None
    answer = sites.run(play_with_other())
    assert (answer.complete, answer.body.decode()) == (True, ends.WHOLE)


def test_a_broken_stream_goes_before_an_earlier_deadline():
    """Guards against a stream that waits behind requests that come later."""

    async def serve(call):
        if call.head.target.startswith(b"/stream"):
            order.append("stream")
            await ends.break_off(call)
        else:
            order.append("safe")
            await asyncio.sleep(0.05)
            call.answer()

    order = []

    async def play():
        async with ends.LoadedSite("i-1", "i-2", on_call=serve) as site:
            config = sites.config(2)
            config["routes"][2]["target_latency_ms"] = 2_400
            site.store.put("keyed.op", "config", config)
            await site.report_for(0.5, "i-2")
            stream = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.03)
            site.entry._fleet.find("i-1").gone = True
            await asyncio.sleep(0.05)
            await site.report_for(0.6, "i-2")
            asks = [
                asyncio.ensure_future(site.ask(f"/safe/{n}")) for n in range(4)
            ]
            await asyncio.sleep(0.05)
            order.clear()
            server = site.servers[1]
            for _ in range(5):
                site.entry._on_report(
                    "127.0.0.1",
                    reports.Report(server.name, 7, 0, 8, entries=1),
                )
                await asyncio.sleep(0.03)
            await asyncio.gather(*asks, return_exceptions=True)
            return await stream

    answer = sites.run(play())
    assert order[0] == "stream"
    assert answer.complete


def test_a_stream_outlives_the_silence_of_its_last_permitted_server():
    """Guards against a takeover that the next attempt is not allowed."""

    async def serve(call):
        begun = ends.begun_at(call)
        call.begin_stream()
        for number in range(begun + 1, ends.EVENTS + 1):
            call.event(number)
            await asyncio.sleep(1.0 if begun and number == 5 else 0.02)
            if number == 3 and not begun:
                call.reset()
                return
        call.end_stream()

    async def play():
        async with sites.Site("i-1", "i-2", "i-3", on_call=serve) as site:
            limits = budget.Limits(slack=1e4)
            site.entry._forwarder.set_retry_limits(limits)
            return await site.ask("/stream/1")

    answer = sites.run(play())
    assert (answer.complete, answer.body.decode()) == (True, ends.WHOLE)


def test_a_resumed_stream_is_charged_to_the_retry_budget():
    """Guards against retries that the budget does not see."""

    async def play():
        async with sites.Site("i-1", "i-2", on_call=ends.break_off) as site:
            forwarder = site.entry._forwarder
            forwarder.set_retry_limits(budget.Limits(slack=1e4))
            await site.ask("/stream/1")
            return site.entry._counters.value("direct.retry.granted")

    assert sites.run(play()) == 1


def test_a_stream_without_event_ids_is_not_resumed():
    """Guards against events that the caller receives twice."""

    async def serve(call):
        call.begin_stream()
        data = b"data: no id\n\n"
        call.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await asyncio.sleep(0.02)
        if len(calls) == 0:
            calls.append(call)
            call.reset()
        else:
            calls.append(call)
            call.end_stream()

    calls = []

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve) as site:
            return await site.ask("/stream/1")

    answer = sites.run(play())
    assert (answer.complete, len(calls)) == (False, 1)


def test_requests_of_a_kept_connection_release_their_bodies():
    """Guards against a connection whose bodies use up the memory for all."""

    async def play():
        async with sites.Site("i-1") as site, sites.Caller(site) as caller:
            for _ in range(3):
                await caller.ask("/safe/1", body=b"x" * 1000)
            return site.entry._server._body_bytes

    assert sites.run(play()) == 0
