"""Tests backend servers that report a rate limit in requests per second."""

import asyncio
import statistics

from adapter import headers
import overload_site
import platform_site as sites
import pytest

from clementinegw.direct import client
from clementinegw.direct import rate_limit
from clementinegw.testing import clock as clocks

# The platform's rule: in any span of this length, in seconds, a server may get
# 1.5 times the requests of its limit and five more.
SPAN_S = 4.0
EXCESS_RATIO, EXCESS_REQUESTS = 1.5, 5
# Time after the first report from which the limit has to be kept, in seconds.
SETTLED_S = 3.0


def limited(per_s):
    """Returns a handler that reports a rate limit in each answer."""
    return lambda call: call.answer(extra_headers=(f"Server-Limit: {per_s}",))


def arrivals(server, since):
    """Returns when requests reached a server from a given time on."""
    return [at for at in server.arrived_at if at >= since]


def most_in_span(times):
    """Returns the largest number of arrivals in any span."""
    return max(
        (sum(at <= other < at + SPAN_S for other in times) for at in times),
        default=0,
    )


def allowed(per_s):
    return EXCESS_RATIO * per_s * SPAN_S + EXCESS_REQUESTS


async def keep_asking(site, count, pause_s):
    """Sends requests at an even pace and returns the statuses."""
    request_tasks = []
    for number in range(count):
        request_tasks.append(asyncio.ensure_future(site.ask(f"/safe/{number}")))
        await asyncio.sleep(pause_s)
    return [answer.status for answer in await asyncio.gather(*request_tasks)]


def test_server_gets_no_more_requests_than_its_limit():
    """Guards against a reported rate limit that has no effect."""

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first = site.servers[0]
            first.on_call = limited(1.5)
            began = asyncio.get_running_loop().time()
            statuses = await keep_asking(site, count=240, pause_s=0.05)
            times = arrivals(first, began + SETTLED_S)
            return statuses, most_in_span(times)

    statuses, most = sites.run(play())
    assert statuses == [200] * 240
    assert most <= allowed(1.5)


def use_only_entry(site):
    """Makes the entry the only one that shares the limits."""
    site.entry._fleet._position = rate_limit.Position(0, 1)


def test_excess_requests_are_rejected_soon_if_all_servers_are_limited():
    async def play():
        async with sites.Site("i-1") as site:
            use_only_entry(site)
            site.servers[0].on_call = limited(2.0)
            await site.ask()
            request_tasks, clock = [], asyncio.get_running_loop().time
            for number in range(100):
                request_tasks.append(asyncio.ensure_future(timed(site, number)))
                await asyncio.sleep(0.05)
            answers = await asyncio.gather(*request_tasks)
            return answers, most_in_span(arrivals(site.servers[0], clock() - 5))

    answers, most = sites.run(play())
    served = [answer for answer, _ in answers if answer.status == 200]
    rejected = [a for a in answers if a[0].status == 503]
    # Five seconds at two requests per second, most of which were used.
    assert len(served) >= 9
    assert len(served) + len(rejected) == 100
    assert most <= allowed(2.0)
    for answer, took_s in rejected:
        assert float(answer.headers["retry-after"]) > 0.0
        assert b"limited" in answer.body
        assert took_s < 0.1


async def timed(site, number):
    began = asyncio.get_running_loop().time()
    answer = await site.ask(f"/safe/{number}")
    return answer, asyncio.get_running_loop().time() - began


def test_connecting_requests_are_not_sent_after_the_first_report(
    monkeypatch,
):
    """Guards against exceeding a limit that is reported during connecting."""

    async def play():
        async with sites.Site("i-1") as site:
            use_only_entry(site)
            await site.ask()
            site.servers[0].on_call = limited(0.5)
            sites.slow_connections(monkeypatch, by_s=0.2)
            request_tasks = [
                asyncio.ensure_future(site.ask(f"/safe/{n}")) for n in range(8)
            ]
            await asyncio.gather(*request_tasks)
            return len(site.servers[0].calls)

    # The first request, one that gets the report, and a few valid slots.
    assert sites.run(play()) <= 5


def test_limit_ends_with_the_first_answer_without_one():
    async def play():
        async with sites.Site("i-1") as site:
            use_only_entry(site)
            (server,) = site.servers
            server.on_call = limited(2.0)
            await keep_asking(site, count=20, pause_s=0.1)
            server.on_call = lambda call: call.answer()
            await asyncio.sleep(1.0)
            return await keep_asking(site, count=40, pause_s=0.02)

    assert sites.run(play()) == [200] * 40


def test_answer_to_an_earlier_request_does_not_end_a_limit():
    """A slow answer from before the overload arrived after the report."""

    async def play():
        async with sites.Site("i-1") as site:
            use_only_entry(site)
            (server,) = site.servers
            held = []
            server.on_call = held.append
            slow = asyncio.ensure_future(site.ask("/once/slow"))
            await asyncio.sleep(0.1)
            server.on_call = limited(1.0)
            await site.ask()
            held[0].answer()
            await slow
            return site.entry._fleet.limited

    assert sites.run(play()) == 1


def test_limit_outlives_a_temporarily_empty_list():
    async def play():
        async with sites.Site("i-1", "i-2") as site:
            use_only_entry(site)
            (server, _) = site.servers
            server.on_call = limited(1.0)
            await keep_asking(site, count=20, pause_s=0.02)
            before = site.entry._fleet.limited
            site.store.put("keyed.servers", server.name, None)
            await asyncio.sleep(4.0)
            gone = site.entry._fleet.limited
            site.store.put("keyed.servers", server.name, server.record())
            await asyncio.sleep(1.5)
            return before, gone, site.entry._fleet.limited

    assert sites.run(play()) == (1, 0, 1)


def test_next_start_of_a_server_has_no_limit():
    async def play():
        async with sites.Site("i-1") as site:
            use_only_entry(site)
            (server,) = site.servers
            entry = server.record(born=1)
            site.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.5)
            server.on_call = limited(1.0)
            await site.ask()
            before = site.entry._fleet.limited
            entry = server.record(born=2)
            site.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.5)
            return before, site.entry._fleet.limited

    assert sites.run(play()) == (1, 0)


@pytest.mark.parametrize(
    ("values", "per_s", "malformed"),
    [
        ((), None, False),
        (("2.4",), 2.4, False),
        (("3", "2.5"), 2.5, False),
        (("4, 2",), 2.0, False),
        (("0",), 0.0, False),
        (("",), None, True),
        (("-1",), None, True),
        (("nan",), None, True),
        (("inf",), None, True),
        (("1e9",), None, True),
        (("99999999999",), None, True),
        (("2", "x"), None, True),
    ],
)
def test_limits_are_parsed_or_reported_as_malformed(values, per_s, malformed):
    raw = tuple((b"server-limit", value.encode()) for value in values)
    metadata = headers.Headers().answer_metadata(client.Head(200, raw))
    assert metadata.limit_per_s == per_s
    assert ("limit_per_s" in metadata.malformed) == malformed


def test_malformed_limit_keeps_the_previous_one_in_force():
    async def play():
        async with sites.Site("i-1") as site:
            use_only_entry(site)
            (server,) = site.servers
            server.on_call = limited(1.0)
            await site.ask()
            server.on_call = limited("many")
            await site.ask()
            (backend,) = site.entry._fleet.all()
            return backend.signals.limiter.per_s

    assert sites.run(play()) == 1.0


def served_share(engines, limits, seed):
    """Returns the fraction of requests in time at usual load, and arrivals."""

    async def play():
        site = overload_site.Simulation(engines, seed=seed)
        loop = asyncio.get_running_loop()
        loop.call_later(4.0, site.limits.update, limits)
        await site.play(16.0, lambda now: 0.85)
        await asyncio.sleep(6.0)
        site.stop()
        came = site.callers_between(8.0, 16.0)
        arrived = {
            n: [t for t in site.arrived_at[n] if t > 7.0] for n in limits
        }
        return sum(c.in_time for c in came) / len(came), arrived

    return clocks.run(play())


def test_limited_engines_serve_callers_as_well_as_their_limit_allows():
    """The others serve the rest, and no caller waits for a limited one."""
    limits = {3: 1.0, 7: 2.4}
    limited_share, without = [], []
    for seed in range(2):
        share, arrived = served_share(10, limits, seed)
        limited_share.append(share)
        without.append(served_share(8, {}, seed)[0])
        for number, per_s in limits.items():
            assert most_in_span(arrived[number]) <= allowed(per_s)
            assert len(arrived[number]) >= 0.7 * per_s * 9.0
    assert statistics.fmean(limited_share) >= statistics.fmean(without)
