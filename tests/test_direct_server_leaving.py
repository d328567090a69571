"""Backend servers whose answers say that they leave."""

import asyncio

from adapter import headers
import platform_site as sites
import pytest

from clementinegw.direct import client

LEAVING = "Server-Leaving: 1"
# The platform's bound: nothing later than this after the answer, in seconds.
DRAIN_S = 2.0


def leaving(call):
    call.answer(extra_headers=(LEAVING,))


async def keep_asking(site, until_s):
    """Asks over and over; returns the statuses."""
    clock = asyncio.get_running_loop().time
    end, statuses = clock() + until_s, []
    while clock() < end:
        statuses.append((await site.ask()).status)
        await asyncio.sleep(0.02)
    return statuses


def test_a_server_that_says_it_leaves_gets_nothing_while_the_store_is_away():
    """Requests went on to a server that only its own answers said leaves."""

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
    """Returns how many more requests reach a server, and the statuses."""
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
def test_every_kind_of_answer_says_that_its_server_leaves(path, answer):
    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first = site.servers[0]
            first.on_call = answer
            while not first.calls:
                await site.ask(path)
            return await calls_after(site, first)

    assert sites.run(play()) == (0, {200})


@pytest.mark.parametrize("gone", [False, True])
def test_a_list_that_says_ready_brings_no_leaving_server_back(gone):
    """The list was behind, or lost the server's record and got it again."""

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


def test_another_start_of_a_server_that_left_gets_requests():
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


def test_a_request_whose_connection_comes_up_misses_who_says_it_leaves(
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
    ("value", "says", "malformed"),
    [
        (None, False, False),
        ("1", True, False),
        ("0", False, False),
        ("", False, True),
        ("yes", False, True),
    ],
)
def test_what_says_leaving_and_what_is_malformed(value, says, malformed):
    raw = () if value is None else ((b"server-leaving", value.encode()),)
    facts = headers.Headers().answer_metadata(client.Head(200, raw))
    assert facts.leaving == says
    assert ("leaving" in facts.malformed) == malformed
