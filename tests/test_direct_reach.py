"""Tests requests whose servers cannot be connected."""

import asyncio

import platform_site as sites
import pytest

from clementinegw.direct import client

NAMES = ("i-1", "i-2")


class UnreachableServers:
    """Replaces `client.connect`; refuses connections while servers are away."""

    def __init__(self, monkeypatch, refuse_s=0.002):
        self._connect = client.connect
        self._refuse_s = refuse_s
        self.active = False
        self.tries = []
        monkeypatch.setattr(client, "connect", self._try)

    async def _try(self, address, timeout_s):
        if not self.active:
            return await self._connect(address, timeout_s)
        self.tries.append(asyncio.get_running_loop().time())
        await asyncio.sleep(min(self._refuse_s, timeout_s))
        raise client.ConnectFailed("refused")

    def cut(self, site):
        """Makes all servers unreachable and closes their connections."""
        self.active = True
        for backend in site.entry._fleet.all():
            backend.pool.close()


async def timed(request_task):
    """Returns an answer and the time it took, in seconds."""
    clock = asyncio.get_running_loop().time
    began = clock()
    answer = await request_task
    return answer, clock() - began


def test_request_without_reachable_server_is_refused_soon_and_may_retry(
    monkeypatch,
):
    """Guards against 504 at the end of callers' time if no server is reachable.

    A failure domain was cut off, and its servers' connections were refused.
    Nothing had been sent, but 504 does not say that a request was not run.
    Callers also stayed connected to a process that reached no server.
    """

    async def play():
        async with sites.Site(*NAMES) as site:
            unreachable = UnreachableServers(monkeypatch)
            unreachable.cut(site)
            first = await timed(site.ask("/once/1"))
            await asyncio.sleep(1.0)
            return first, await timed(site.ask("/once/1"))

    for answer, took_s in sites.run(play()):
        assert answer.status == 503
        assert b"out_of_reach" in answer.body
        assert 0.0 < float(answer.headers["retry-after"]) < 1.0
        assert answer.headers["connection"] == "close"
        assert took_s < 0.5


def test_consecutive_connection_timeouts_leave_time_to_retry(
    monkeypatch,
):
    """Guards against spending all of a request's time on connecting.

    A domain with many servers of a service was cut off silently. A request
    tried one server after the other for 250 ms each until its time was over: it
    ended with 504 and left no time for a retry.
    """

    async def play():
        async with sites.Site(*[f"i-{n}" for n in range(12)]) as site:
            unreachable = UnreachableServers(monkeypatch, refuse_s=9.0)
            unreachable.cut(site)
            return await timed(site.ask("/once/1"))

    answer, took_s = sites.run(play())
    assert answer.status == 503
    assert took_s < 0.5 * 2.5


def test_server_that_refused_once_is_tried_again(monkeypatch):
    async def play():
        async with sites.Site("i-1") as site:
            unreachable = UnreachableServers(monkeypatch)
            unreachable.cut(site)
            request_task = asyncio.ensure_future(site.ask("/once/1"))
            await asyncio.sleep(0.1)
            unreachable.active = False
            return await request_task

    assert sites.run(play()).status == 200


def test_simultaneous_failures_of_a_server_count_once(
    monkeypatch,
):
    """Guards against a cooldown of 4 s after an outage of 100 ms.

    Ten connections to the server were being established at the same time, and
    each failure doubled its cooldown.
    """

    async def play():
        async with sites.Site("i-1") as site:
            unreachable = UnreachableServers(monkeypatch, refuse_s=0.05)
            unreachable.cut(site)
            asked = [
                asyncio.ensure_future(
                    site.ask("/once/1", attempt_id=f"b{number}")
                )
                for number in range(10)
            ]
            await asyncio.sleep(0.1)
            unreachable.active = False
            return [(await request_task).status for request_task in asked]

    assert sites.run(play()) == [200] * 10


def test_servers_that_are_back_are_found_soon(monkeypatch):
    """Guards against refusing callers long after servers have recovered.

    All servers of a service were away for ten seconds. The cooldown grows up to
    four seconds with each failure, and no other server was available.
    """

    async def play():
        async with sites.Site(*NAMES) as site:
            unreachable = UnreachableServers(monkeypatch)
            unreachable.cut(site)
            for number in range(200):
                await site.ask("/once/1", attempt_id=f"b{number}")
                await asyncio.sleep(0.05)
            unreachable.active = False
            await asyncio.sleep(0.25)
            return (await site.ask("/once/1")).status, len(unreachable.tries)

    status, tries = sites.run(play())
    assert status == 200
    # Each server at most four times per second, whatever the number of callers.
    assert tries <= 2 * 4 * 15


def test_recovered_server_serves_all_waiting_requests(monkeypatch):
    async def play():
        async with sites.Site("i-1") as site:
            unreachable = UnreachableServers(monkeypatch)
            unreachable.cut(site)
            for number in range(40):
                await site.ask("/once/1", attempt_id=f"b{number}")
                await asyncio.sleep(0.05)
            unreachable.active = False
            await asyncio.sleep(0.25)
            first = await site.ask("/once/1")
            rest = [await site.ask("/once/1") for _ in range(10)]
            return {first.status, *[answer.status for answer in rest]}

    assert sites.run(play()) == {200}


def charged_retries(site):
    counters = site.entry._counters
    returned = counters.value("direct.retry.returned")
    return counters.value("direct.retry.granted") - returned


@pytest.mark.parametrize("path", ["/once/1", "/safe/1", "/stream/1"])
def test_unreachable_server_uses_no_retry_budget(monkeypatch, path):
    """Without a connection nothing is sent that could count as a retry."""

    async def play():
        async with sites.Site(*NAMES) as site:
            unreachable = UnreachableServers(monkeypatch)
            unreachable.cut(site)
            for number in range(30):
                await site.ask(path, attempt_id=f"b{number}")
            return charged_retries(site), sum(
                len(s.calls) for s in site.servers
            )

    assert sites.run(play()) == (0, 0)
