"""Backend servers that report how many requests a second they take."""

import asyncio

import platform_site as sites

# What a server with a limit may get in any such span, in seconds, beside the
# share of its limit: the platform's rule.
SPAN_S = 4.0
EXCESS_RATIO, EXCESS_REQUESTS = 1.5, 5
# From then on, after the limit was first reported, it has to be kept.
SETTLED_S = 3.0


def limited(per_s):
    """Returns what a server does that reports a limit in each answer."""
    return lambda call: call.answer(more=(f"Server-Limit: {per_s}",))


def arrivals(server, since):
    """Returns when requests reached a server, from a moment on."""
    return [at for at in server.arrived_at if at >= since]


def most_in_span(times):
    """Returns the most arrivals in any span."""
    return max(
        (sum(at <= other < at + SPAN_S for other in times) for at in times),
        default=0,
    )


def allowed(per_s):
    return EXCESS_RATIO * per_s * SPAN_S + EXCESS_REQUESTS


async def keep_asking(site, count, pause_s):
    """Sends requests at an even pace; returns the statuses."""
    asking = []
    for number in range(count):
        asking.append(asyncio.ensure_future(site.ask(f"/safe/{number}")))
        await asyncio.sleep(pause_s)
    return [answer.status for answer in await asyncio.gather(*asking)]


def test_a_server_gets_no_more_than_the_limit_it_reported():
    """A server that reported a rate limit got as many requests as before."""

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first = site.servers[0]
            first.do = limited(1.5)
            began = asyncio.get_running_loop().time()
            statuses = await keep_asking(site, count=240, pause_s=0.05)
            times = arrivals(first, began + SETTLED_S)
            return statuses, most_in_span(times)

    statuses, most = sites.run(play())
    assert statuses == [200] * 240
    assert most <= allowed(1.5)
