"""Servers that leave, on the whole path from the store's record to a send."""

import asyncio

from adapter import store as stores
import platform_site
import pytest

from clementinegw import exceptions
from clementinegw.direct import client

DRAIN_S = 2.0
# A machine that is back counts as in touch after this, in seconds.
IN_TOUCH_S = 3.0
TOPIC = "keyed.servers"


async def keep_asking(site, until_s):
    """Sends requests in a row and returns their statuses."""
    end = asyncio.get_running_loop().time() + until_s
    statuses = []
    while asyncio.get_running_loop().time() < end:
        statuses.append((await site.ask()).status)
        await asyncio.sleep(0.03)
    return statuses


def put(site, server, **fields):
    site.store.put(TOPIC, server.name, server.record(**fields))


def test_an_older_write_that_is_executed_late_brings_no_server_back():
    """An entry sent to a server again that had said it leaves.

    The server writes that it is ready and gets no answer, then that it leaves,
    which the store acknowledges. Some seconds later the store executes the
    first write, and lists the server as ready again. Entries believed whatever
    was written last and sent to it until it ended. The same befell a server
    whose listing was taken out in between.
    """

    async def play(removed):
        async with platform_site.Site("a", "b") as site:
            leaving, stays = site.servers
            put(site, leaving, sequence=5)
            await asyncio.sleep(1.0)
            put(site, leaving, state="draining", sequence=7)
            if removed:
                site.store.put(TOPIC, leaving.name, None)
            left_at = asyncio.get_running_loop().time()
            await keep_asking(site, 2.0)
            put(site, leaving, sequence=6)
            statuses = await keep_asking(site, 3.0)
            assert set(statuses) == {200}
            assert leaving.last_call_at < left_at + DRAIN_S
            assert stays.calls

    platform_site.run(play(removed=False))
    platform_site.run(play(removed=True))


async def cut_connection(site):
    site.store.cut()
    await asyncio.sleep(0.2)
    site.store.put(TOPIC, "a", None)
    return asyncio.get_running_loop().time()


async def drop_history(site):
    site.store.muted = True
    site.store.put(TOPIC, "a", None)
    removed_at = asyncio.get_running_loop().time()
    await asyncio.sleep(1.0)
    for topic in site.store.topics:
        site.store.forget(topic)
    site.store.cut()
    site.store.muted = False
    return removed_at


async def lose_an_answer(site):
    site.store.silent = True
    while not any(TOPIC in target for target in site.store.hung):
        await asyncio.sleep(0.01)
    site.store.silent = False
    await asyncio.sleep(3.0)
    site.store.put(TOPIC, "a", None)
    return asyncio.get_running_loop().time()


def test_a_server_that_is_taken_out_after_a_fault_gets_nothing_too_late():
    """An entry sent to a server that was gone, beyond the time to drain.

    The server ends without saying so: its listing is taken out, and it works
    on for the time to drain. An entry whose connection to the platform had just
    broken held the removal for a listing that ran out in an outage, and sent to
    the server for 2.2 s more, over the 2 s that it has in all.
    """

    async def play(fault):
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            asking = asyncio.ensure_future(keep_asking(site, 13.0))
            # Long enough that both servers get some.
            await asyncio.sleep(1.0)
            removed_at = await fault(site)
            assert set(await asking) == {200}
            gone = site.servers[0]
            assert removed_at - 1.0 < gone.last_call_at
            assert gone.last_call_at < removed_at + DRAIN_S

    platform_site.run(play(drop_history))
    platform_site.run(play(cut_connection))
    platform_site.run(play(lose_an_answer))


def test_a_list_that_ran_out_in_an_outage_still_serves():
    """No request was served for seconds after an outage of the platform.

    Listings run out while the platform is away, and their servers, which are
    well, are back on the list within about two seconds of its return. An entry
    that believes the shorter list at once has nobody to send to.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            asking = asyncio.ensure_future(keep_asking(site, 9.0))
            site.store.status = 503
            for server in site.servers:
                site.store.put(TOPIC, server.name, None)
            site.store.cut()
            await asyncio.sleep(2.6)
            site.store.status = 200
            await asyncio.sleep(1.0)
            put(site, site.servers[0], sequence=9)
            assert set(await asking) == {200}
            assert site.servers[1].last_call_at < site.servers[0].last_call_at

    platform_site.run(play())


def test_a_platform_that_comes_and_goes_keeps_no_server_for_ever():
    """A server that was gone got requests for as long as calls failed.

    Each failure of a call put off when a missing server was given up; a
    platform that failed every two seconds kept it for ever.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            asking = asyncio.ensure_future(keep_asking(site, 20.0))
            site.store.status = 503
            site.store.cut()
            await asyncio.sleep(2.6)
            site.store.status = 200
            site.store.put(TOPIC, "a", None)
            back_at = asyncio.get_running_loop().time()
            for _ in range(10):
                await asyncio.sleep(1.2)
                site.store.cut()
            assert set(await asking) == {200}
            # A failed call is repeated after 0.8 s at most.
            assert site.servers[0].last_call_at < back_at + 0.8 + DRAIN_S

    platform_site.run(play())


def test_a_request_that_waits_for_a_connection_misses_who_left(monkeypatch):
    """A request reached a server long after that had said it leaves.

    It had chosen the server before, and its connection took 0.2 s to come up;
    the entry read of the leaving meanwhile, and sent all the same.
    """
    connect = client.connect

    async def slowly(address, timeout_s):
        if str(address) == slow.get("address"):
            await asyncio.sleep(0.2)
        return await connect(address, timeout_s)

    slow = {}
    monkeypatch.setattr(client, "connect", slowly)

    async def play():
        async with platform_site.Site("a") as site:
            leaving = site.servers[0]
            slow["address"] = leaving.address
            stays = platform_site.Server("b")
            await stays.start()
            site.servers.append(stays)
            await asyncio.sleep(3.0)
            asking = asyncio.ensure_future(site.ask())
            await asyncio.sleep(0.05)
            put(site, stays)
            put(site, leaving, state="draining", sequence=2)
            answer = await asking
            assert answer.status == 200
            assert not leaving.calls
            assert len(stays.calls) == 1

    platform_site.run(play())


def test_a_poll_that_hangs_over_the_end_of_a_cut_is_given_up_in_time():
    """A request reached a server 3.2 s after that had said it leaves.

    The machine was cut off from the store for a moment. It had asked for news
    right before it was back, that question was lost, and it waited for its
    answer for 3.2 s: longer than the three seconds after which a machine that
    is back counts as in touch. A server said meanwhile that it leaves.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            asking = asyncio.ensure_future(keep_asking(site, 12.0))
            site.store.silent = True
            while not any(TOPIC in target for target in site.store.hung):
                await asyncio.sleep(0.01)
            back_at = asyncio.get_running_loop().time()
            site.store.silent = False
            put(site, site.servers[0], state="draining", sequence=2)
            assert set(await asking) == {200}
            assert site.servers[0].last_call_at < back_at + IN_TOUCH_S

    platform_site.run(play())


def test_a_connection_from_before_a_fault_is_not_asked_again():
    """A process heard of nothing for 1.2 s more after each of its connections.

    A cut had broken all of them. Those that lay idle meanwhile were asked one
    after the other, and each was waited for.
    """

    async def play():
        store = platform_site.Store()
        await store.start()
        caller = stores.Store(store.address)
        query = {"topic": "keyed.op", "part": 0}

        async def ask():
            return await caller.get("/log-newest", query)

        await asyncio.gather(ask(), ask())
        store.dead = set(store.sessions)
        with pytest.raises(exceptions.PlatformUnavailable):
            await ask()
        began = asyncio.get_running_loop().time()
        assert (await ask())[0] == 200
        assert asyncio.get_running_loop().time() < began + 0.1
        caller.close()
        await store.stop()

    platform_site.run(play())


def test_a_few_that_left_while_a_machine_was_cut_off_are_believed_gone():
    """A request reached a server that was gone for seconds.

    The machine was cut off from the store, which was well, and two servers
    ended without a word meanwhile. Their removal was held as if their listings
    had run out in an outage: 2.2 s from when it was read, while the machine
    counted as in touch 3 s after the cut had healed.
    """

    async def play():
        async with platform_site.Site("a", "b", "c", "d", "e") as site:
            # Without keys, which are not served so long without news.
            open_to_all = platform_site.config(2, tenants=[])
            site.store.put("keyed.op", "config", open_to_all)
            await asyncio.sleep(3.0)
            asking = asyncio.ensure_future(keep_asking(site, 15.0))
            site.store.silent = True
            await asyncio.sleep(8.0)
            for server in site.servers[:2]:
                site.store.put(TOPIC, server.name, None)
            site.store.hung.clear()
            while not any(TOPIC in target for target in site.store.hung):
                await asyncio.sleep(0.01)
            back_at = asyncio.get_running_loop().time()
            site.store.silent = False
            assert set(await asking) == {200}
            last_at = max(s.last_call_at for s in site.servers[:2])
            assert last_at < back_at + IN_TOUCH_S

    platform_site.run(play())
