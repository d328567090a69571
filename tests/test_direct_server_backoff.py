"""Tests backend servers that answer 503 and ask for a backoff."""

import asyncio

from adapter import headers
import platform_site as sites
import pytest

from clementinegw.direct import client

# The platform's rule: from NOTICE_S seconds after the answer to the end of the
# requested backoff, a server gets at most MOST requests of an entry.
NOTICE_S = 0.5
MOST = 2


def overloaded(retry_after, until):
    """Returns a handler that rejects requests up to a given time.

    Args:
      retry_after: Value of the Retry-After header.
      until: End of the rejections, in the loop's time.
    """

    def do(call):
        if asyncio.get_running_loop().time() >= until:
            call.answer()
            return
        more = ("X-Clementinegw-Not-Executed: 1", f"Retry-After: {retry_after}")
        call.answer(b"", 503, extra_headers=more)

    return do


async def keep_asking(site, until_s, path="/safe/1", pause_s=0.02):
    """Sends requests one after the other and returns the answers."""
    clock = asyncio.get_running_loop().time
    end, answers = clock() + until_s, []
    while clock() < end:
        answers.append(await site.ask(path))
        await asyncio.sleep(pause_s)
    return answers


def requests_during_backoff(server, began, until):
    """Returns how many requests reached a server during its backoff."""
    return sum(began + NOTICE_S < at < until for at in server.arrived_at)


def test_server_gets_no_requests_during_its_backoff():
    """Guards against resuming 0.15 s after each 503 despite the backoff."""

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first, now = site.servers[0], asyncio.get_running_loop().time()
            first.on_call = overloaded(3, now + 3.0)
            answers = await keep_asking(site, 2.9)
            during_backoff = requests_during_backoff(
                first, first.arrived_at[0], now + 3.0
            )
            await keep_asking(site, 2.0)
            return answers, during_backoff, first.arrived_at[-1] - now

    answers, during_backoff, last = sites.run(play())
    assert {answer.status for answer in answers} == {200}
    assert during_backoff <= MOST
    assert last > 3.0


def test_callers_are_told_when_the_backoff_of_all_servers_ends():
    async def play():
        async with sites.Site("i-1", "i-2") as site:
            now = asyncio.get_running_loop().time()
            for server in site.servers:
                server.on_call = overloaded(1.0, now + 1.0)
            await keep_asking(site, 0.1)
            calls = sum(len(server.calls) for server in site.servers)
            began = asyncio.get_running_loop().time()
            rejected = await site.ask()
            took_s = asyncio.get_running_loop().time() - began
            more = sum(len(server.calls) for server in site.servers) - calls
            retry_after_s = float(rejected.headers["retry-after"])
            await asyncio.sleep(retry_after_s)
            return rejected, took_s, more, retry_after_s, await site.ask()

    rejected, took_s, more, retry_after_s, answer = sites.run(play())
    assert rejected.status == 503
    assert b"backoff" in rejected.body
    assert took_s < 0.1
    assert more == 0
    # A caller retries within a third of its 2.5 s and then waits for the rest.
    assert 0.6 < retry_after_s < 0.84
    assert answer.status == 200


def test_short_remaining_backoff_is_waited_for():
    async def play():
        async with sites.Site("i-1") as site:
            (server,) = site.servers
            now = asyncio.get_running_loop().time()
            server.on_call = overloaded(0.2, now + 0.1)
            return (await site.ask()).status, len(server.calls)

    assert sites.run(play()) == (200, 2)


def test_successful_answer_does_not_end_a_backoff():
    """An answer to an earlier request may arrive after the 503."""

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first, second = site.servers
            held = []
            first.on_call = held.append
            second.on_call = held.append
            slow = [
                asyncio.ensure_future(site.ask(f"/once/{n}")) for n in range(6)
            ]
            await asyncio.sleep(0.1)
            at_first = [c for c in held if c in first.calls]
            more = ("X-Clementinegw-Not-Executed: 1", "Retry-After: 2")
            at_first[0].answer(b"", 503, extra_headers=more)
            await asyncio.sleep(0.1)
            began = asyncio.get_running_loop().time()
            second.on_call = first.on_call = lambda call: call.answer()
            for call in held:
                if call is not at_first[0]:
                    call.answer()
            await asyncio.gather(*slow)
            await keep_asking(site, 1.5)
            return requests_during_backoff(first, began - NOTICE_S, began + 1.5)

    assert sites.run(play()) == 0


def test_request_is_not_sent_if_the_backoff_began_while_connecting(monkeypatch):
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
            more = ("X-Clementinegw-Not-Executed: 1", "Retry-After: 9")
            held[0].answer(b"", 503, extra_headers=more)
            answers = await asyncio.gather(first, second)
            return [a.status for a in answers], len(server.calls)

    assert sites.run(play()) == ([503, 503], 1)


def test_backoff_outlives_the_listing_and_ends_with_the_start():
    async def play():
        async with sites.Site("i-1") as site:
            (server,) = site.servers
            entry = server.record(born=1)
            site.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.5)
            now = asyncio.get_running_loop().time()
            server.on_call = overloaded(30, now + 0.1)
            await site.ask()
            site.store.put("keyed.servers", server.name, None)
            await asyncio.sleep(4.0)
            entry = server.record(born=1, sequence=3)
            site.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.5)
            same = (await site.ask()).status
            entry = server.record(born=2)
            site.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.5)
            return same, (await site.ask()).status

    assert sites.run(play()) == (503, 200)


@pytest.mark.parametrize(
    ("status", "values", "backoff_s", "malformed"),
    [
        (503, ("3",), 3.0, False),
        (503, ("0.25",), 0.25, False),
        (429, ("2",), 2.0, False),
        (200, ("3",), 0.0, False),
        (503, (), 0.0, False),
        (503, ("0",), 0.0, False),
        (503, ("1", "4"), 4.0, False),
        (503, ("",), 0.0, True),
        (503, ("-3",), 0.0, True),
        (503, ("nan",), 0.0, True),
        (503, ("Wed, 21 Oct 2026 07:28:00 GMT",), 0.0, True),
    ],
)
def test_backoff_is_parsed_or_reported_as_malformed(
    status, values, backoff_s, malformed
):
    raw = tuple((b"retry-after", value.encode()) for value in values)
    metadata = headers.Headers().answer_metadata(client.Head(status, raw))
    assert metadata.backoff_s == backoff_s
    assert ("backoff_s" in metadata.malformed) == malformed


def test_excessive_backoff_is_capped():
    async def play():
        async with sites.Site("i-1") as site:
            (server,) = site.servers
            now = asyncio.get_running_loop().time()
            server.on_call = overloaded(999_999_999, now + 0.1)
            await site.ask()
            (backend,) = site.entry._fleet.all()
            return backend.signals.backoff_until - now

    assert sites.run(play()) < 302.0
