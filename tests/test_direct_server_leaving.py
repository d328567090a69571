"""Backend servers whose answers say that they leave."""

import asyncio

import platform_site as sites

LEAVING = "Server-Leaving: 1"
# The platform's bound: nothing later than this after the answer, in seconds.
DRAIN_S = 2.0


def leaving(call):
    call.answer(more=(LEAVING,))


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
            first.do = leaving
            began = asyncio.get_running_loop().time()
            await keep_asking(site, 0.5)
            statuses = await keep_asking(site, 2.5)
            late = [at for at in first.arrived_at if at > began + DRAIN_S]
            return statuses, len(late)

    statuses, late = sites.run(play())
    assert set(statuses) == {200}
    assert late == 0
