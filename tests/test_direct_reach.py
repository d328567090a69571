"""Servers out of reach: what a request waits for, and what it is told."""

import asyncio

import platform_site as sites
import pytest

from clementinegw.direct import client

NAMES = ("i-1", "i-2")


class Reach:
    """Stands before `client.connect`, and refuses while servers are away."""

    def __init__(self, monkeypatch, refuse_s=0.002):
        self._connect = client.connect
        self._refuse_s = refuse_s
        self.away = False
        self.tries = []
        monkeypatch.setattr(client, "connect", self._try)

    async def _try(self, address, timeout_s):
        if not self.away:
            return await self._connect(address, timeout_s)
        self.tries.append(asyncio.get_running_loop().time())
        await asyncio.sleep(min(self._refuse_s, timeout_s))
        raise client.ConnectFailed("refused")

    def cut(self, site):
        """Takes all servers away; connections that were up are gone."""
        self.away = True
        for backend in site.entry._fleet.all():
            backend.pool.close()


async def timed(asking):
    """Returns an answer, and how long it took in seconds."""
    clock = asyncio.get_running_loop().time
    began = clock()
    answer = await asking
    return answer, clock() - began


def test_what_no_server_is_in_reach_for_is_refused_soon_and_may_come_back(
    monkeypatch,
):
    """A failure domain was cut off and its servers' connections refused.

    Callers were told 504 at the end of their time, which promises nothing,
    though nothing had been handed over, and stayed on their connections to a
    process that reached no server.
    """

    async def play():
        async with sites.Site(*NAMES) as site:
            reach = Reach(monkeypatch)
            reach.cut(site)
            first = await timed(site.ask("/once/1"))
            await asyncio.sleep(1.0)
            return first, await timed(site.ask("/once/1"))

    for answer, took_s in sites.run(play()):
        assert answer.status == 503
        assert b"out_of_reach" in answer.body
        assert 0.0 < float(answer.headers["retry-after"]) < 1.0
        assert answer.headers["connection"] == "close"
        assert took_s < 0.5


def test_connections_that_time_out_one_by_one_leave_time_to_come_back(
    monkeypatch,
):
    """A domain was cut off in silence, and a service had many servers there.

    A request tried one after the other, a quarter of a second each, until its
    own time was over: 504, and no time left to come back.
    """

    async def play():
        async with sites.Site(*[f"i-{n}" for n in range(12)]) as site:
            reach = Reach(monkeypatch, refuse_s=9.0)
            reach.cut(site)
            return await timed(site.ask("/once/1"))

    answer, took_s = sites.run(play())
    assert answer.status == 503
    assert took_s < 0.5 * 2.5


def test_a_server_that_refused_once_still_gets_its_chance(monkeypatch):
    async def play():
        async with sites.Site("i-1") as site:
            reach = Reach(monkeypatch)
            reach.cut(site)
            asking = asyncio.ensure_future(site.ask("/once/1"))
            await asyncio.sleep(0.1)
            reach.away = False
            return await asking

    assert sites.run(play()).status == 200


def test_requests_that_come_together_count_one_failure_of_a_server(
    monkeypatch,
):
    """A server was away for a tenth of a second and rested for four.

    Ten connections to it were on their way at once, and each that failed
    doubled its rest.
    """

    async def play():
        async with sites.Site("i-1") as site:
            reach = Reach(monkeypatch, refuse_s=0.05)
            reach.cut(site)
            asked = [
                asyncio.ensure_future(
                    site.ask("/once/1", attempt_id=f"b{number}")
                )
                for number in range(10)
            ]
            await asyncio.sleep(0.1)
            reach.away = False
            return [(await asking).status for asking in asked]

    assert sites.run(play()) == [200] * 10


def test_servers_that_are_back_are_found_soon(monkeypatch):
    """All servers of a service were away for ten seconds.

    Each rests longer after each failure, up to four seconds. Where no other
    serves, that is how long callers would be refused though they are back.
    """

    async def play():
        async with sites.Site(*NAMES) as site:
            reach = Reach(monkeypatch)
            reach.cut(site)
            for number in range(200):
                await site.ask("/once/1", attempt_id=f"b{number}")
                await asyncio.sleep(0.05)
            reach.away = False
            await asyncio.sleep(0.25)
            return (await site.ask("/once/1")).status, len(reach.tries)

    status, tries = sites.run(play())
    assert status == 200
    # Each server four times a second at most, whatever callers come.
    assert tries <= 2 * 4 * 15


def test_one_server_that_answers_again_serves_all_who_wait(monkeypatch):
    async def play():
        async with sites.Site("i-1") as site:
            reach = Reach(monkeypatch)
            reach.cut(site)
            for number in range(40):
                await site.ask("/once/1", attempt_id=f"b{number}")
                await asyncio.sleep(0.05)
            reach.away = False
            await asyncio.sleep(0.25)
            first = await site.ask("/once/1")
            rest = [await site.ask("/once/1") for _ in range(10)]
            return {first.status, *[answer.status for answer in rest]}

    assert sites.run(play()) == {200}


@pytest.mark.parametrize("path", ["/once/1", "/safe/1", "/stream/1"])
def test_a_server_out_of_reach_costs_no_repeat(monkeypatch, path):
    """Nothing arrives where no connection comes up: the budget is for more."""

    async def play():
        async with sites.Site(*NAMES) as site:
            reach = Reach(monkeypatch)
            reach.cut(site)
            for number in range(30):
                await site.ask(path, attempt_id=f"b{number}")
            budget = site.entry._forwarder._budget("plain")
            return len(budget._retries), sum(len(s.calls) for s in site.servers)

    assert sites.run(play()) == (0, 0)
