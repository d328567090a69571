"""A popular request that was running where servers crashed by chance."""

import asyncio

import platform_site as sites
import prompt_site

from clementinegw.direct import budget

ASK_INTERVAL_S = 0.5
# The first probe of what is refused comes 20 s after the last crash.
MAX_REFUSED_S = 25.0


async def crash(call):
    """Crashes before the first event."""
    await asyncio.sleep(0.02)
    call.reset()


async def ask_for(site, seconds):
    """Sends the popular request again and again; returns the statuses."""
    statuses = []
    for _ in range(round(seconds / ASK_INTERVAL_S)):
        statuses.append((await site.ask("/stream/1")).status)
        await asyncio.sleep(ASK_INTERVAL_S)
    return statuses


async def play():
    async with prompt_site.Site(
        "i-1", "i-2", "i-3", "i-4", on_call=crash
    ) as site:
        forwarder = site.entry._forwarder
        forwarder.set_retry_limits(budget.Limits(slack=1e4))
        # As agents report it to one of the entries.
        forwarder.guard.record_rank(0)
        crashed = await site.ask("/stream/1")
        for server in site.servers:
            server.on_call = prompt_site.stream
        return crashed.status, await ask_for(site, 60.0)


def test_a_popular_request_is_served_again_after_crashes_by_chance():
    """It was refused for a minute after it was running at two crashes."""
    crashed, statuses = sites.run(play())
    refused = statuses.index(200)
    assert crashed == 502
    assert refused > 0
    assert refused * ASK_INTERVAL_S <= MAX_REFUSED_S
    assert set(statuses[refused:]) == {200}
