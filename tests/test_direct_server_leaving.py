"""Tests backend servers whose answers report that they are leaving."""

import asyncio

from adapter import headers
import platform_site as sites
import pytest

from clementinegw.direct import client

LEAVING = "Server-Leaving: 1"
# The platform's rule: no requests later than this after the answer, in seconds.
DRAIN_S = 2.0


def leaving(call):
    call.answer(extra_headers=(LEAVING,))


async def keep_asking(site, until_s):
    """Sends requests one after the other and returns the statuses."""
    clock = asyncio.get_running_loop().time
    end, statuses = clock() + until_s, []
    while clock() < end:
        statuses.append((await site.ask()).status)
        await asyncio.sleep(0.02)
    return statuses


def test_leaving_server_gets_no_requests_while_the_store_is_unavailable():
    """Guards against requests to a server reported leaving in answers only."""

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first = site.servers[0]
            await keep_asking(site, 1.0)
            site.store.silent = True
            site.store.cut()
            first.on_call = leaving
            began = asyncio.get_running_loop().time()
            await keep_asking(site, 0.5)
            statuses = await keep_asking(site, 2.5)
            late = [at for at in first.arrived_at if at > began + DRAIN_S]
            return statuses, len(late)

    statuses, late = sites.run(play())
    assert set(statuses) == {200}
    assert late == 0


async def calls_after(site, server, count=12):
    """Sends requests; returns how many reach a server, and the statuses."""
    before = len(server.calls)
    answers = [await site.ask() for _ in range(count)]
    return len(server.calls) - before, {a.status for a in answers}


def rejects(call):
    call.answer(
        b"", 503, extra_headers=(LEAVING, "X-Clementinegw-Not-Executed: 1")
    )


def fails(call):
    call.answer(b"", 500, extra_headers=(LEAVING,))


def streams(call):
    head = [
        "HTTP/1.1 200 OK",
        f"X-Clementinegw-Attempt-Id: {call.attempt_id}",
        "X-Clementinegw-Response-Seal: seal",
        "Transfer-Encoding: chunked",
        LEAVING,
    ]
    call.send("\r\n".join(head).encode() + b"\r\n\r\n")
    call.event(1)
    call.end_stream()


@pytest.mark.parametrize(
    ("path", "answer"),
    [
        ("/safe/1", leaving),
        ("/safe/1", rejects),
        ("/safe/1", fails),
        ("/once/1", leaving),
        ("/stream/1", streams),
    ],
)
def test_every_kind_of_answer_may_report_leaving(path, answer):
    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first = site.servers[0]
            first.on_call = answer
            while not first.calls:
                await site.ask(path)
            return await calls_after(site, first)

    assert sites.run(play()) == (0, {200})


@pytest.mark.parametrize("gone", [False, True])
def test_leaving_is_final_despite_a_later_ready_record(gone):
    """The list was outdated, or lost the server's record and regained it."""

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first = site.servers[0]
            first.on_call = leaving
            while not first.calls:
                await site.ask()
            if gone:
                site.store.put("keyed.servers", first.name, None)
                await asyncio.sleep(4.0)
            entry = first.record(sequence=9)
            site.store.put("keyed.servers", first.name, entry)
            await asyncio.sleep(1.5)
            return await calls_after(site, first)

    assert sites.run(play()) == (0, {200})


def test_next_start_of_a_leaving_server_gets_requests():
    async def play():
        async with sites.Site("i-1") as site:
            (server,) = site.servers
            entry = server.record(born=1)
            site.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.5)
            server.on_call = leaving
            await site.ask()
            server.on_call = lambda call: call.answer()
            left = (await site.ask()).status
            entry = server.record(born=2)
            site.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.5)
            return left, (await site.ask()).status

    assert sites.run(play()) == (503, 200)


def test_request_is_not_sent_if_the_server_left_while_connecting(
    monkeypatch,
):
    async def play():
        async with sites.Site("i-1") as site:
            (server,) = site.servers
            held = []
            server.on_call = held.append
            first = asyncio.ensure_future(site.ask("/once/1"))
            await asyncio.sleep(0.1)
            sites.slow_connections(monkeypatch, by_s=0.2)
            second = asyncio.ensure_future(site.ask("/once/2"))
            await asyncio.sleep(0.1)
            leaving(held[0])
            answers = await asyncio.gather(first, second)
            return [a.status for a in answers], len(server.calls)

    assert sites.run(play()) == ([200, 503], 1)


@pytest.mark.parametrize(
    ("value", "expected", "malformed"),
    [
        (None, False, False),
        ("1", True, False),
        ("0", False, False),
        ("", False, True),
        ("yes", False, True),
    ],
)
def test_leaving_is_parsed_or_reported_as_malformed(value, expected, malformed):
    raw = () if value is None else ((b"server-leaving", value.encode()),)
    metadata = headers.Headers().answer_metadata(client.Head(200, raw))
    assert metadata.leaving == expected
    assert ("leaving" in metadata.malformed) == malformed
