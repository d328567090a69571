"""Tests for leaving servers, from the store's record to the last request."""

import asyncio

from adapter import store as stores
import platform_site
import pytest

from clementinegw import exceptions
from clementinegw.direct import client
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

DRAIN_S = 2.0
# The time after a partition or outage until the bounds apply again, in seconds.
RECONNECTED_S = 3.0
TOPIC = "keyed.servers"


async def send_requests(site, until_s):
    """Sends requests for `until_s` seconds and returns their statuses."""
    end = asyncio.get_running_loop().time() + until_s
    statuses = []
    while asyncio.get_running_loop().time() < end:
        statuses.append((await site.ask()).status)
        await asyncio.sleep(0.03)
    return statuses


def put(site, server, **fields):
    site.store.put(TOPIC, server.name, server.record(**fields))


def test_a_delayed_older_write_does_not_restore_a_server():
    """Guards against requests to a leaving server after a delayed write.

    The server writes that it is ready and gets no answer, then that it is
    leaving, which the store acknowledges. Seconds later the store executes the
    first write and lists the server as ready again. The same holds for a server
    whose record was removed in between.
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
            await send_requests(site, 2.0)
            put(site, leaving, sequence=6)
            statuses = await send_requests(site, 3.0)
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


def test_a_server_removed_after_a_fault_gets_no_late_requests():
    """Guards against requests to a removed server after the drain time.

    The record of a server is removed without notice, and the server works for
    the drain time of 2 s. An entry whose connection to the platform had just
    broken took the removal for an expiry during an outage, and sent requests
    for 2.2 s more.
    """

    async def play(fault):
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            requests = asyncio.ensure_future(send_requests(site, 13.0))
            # Long enough for both servers to get requests.
            await asyncio.sleep(1.0)
            removed_at = await fault(site)
            assert set(await requests) == {200}
            gone = site.servers[0]
            assert removed_at - 1.0 < gone.last_call_at
            assert gone.last_call_at < removed_at + DRAIN_S

    platform_site.run(play(drop_history))
    platform_site.run(play(cut_connection))
    platform_site.run(play(lose_an_answer))


def test_a_list_that_expired_in_an_outage_still_serves():
    """Guards against failing requests for seconds after an outage.

    Records expire during an outage of the platform, and their servers, which
    work, are listed again within about two seconds after it. An entry that
    applies the shorter list at once has no server to send to.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            requests = asyncio.ensure_future(send_requests(site, 9.0))
            site.store.status = 503
            for server in site.servers:
                site.store.put(TOPIC, server.name, None)
            site.store.cut()
            await asyncio.sleep(2.6)
            site.store.status = 200
            await asyncio.sleep(1.0)
            put(site, site.servers[0], sequence=9)
            assert set(await requests) == {200}
            assert site.servers[1].last_call_at < site.servers[0].last_call_at

    platform_site.run(play())


def test_a_flapping_platform_does_not_keep_a_removed_server():
    """Guards against requests to a removed server for as long as calls fail.

    Each failed call postponed the removal of a missing server, so a platform
    that failed every two seconds kept it for ever.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            requests = asyncio.ensure_future(send_requests(site, 20.0))
            site.store.status = 503
            site.store.cut()
            await asyncio.sleep(2.6)
            site.store.status = 200
            site.store.put(TOPIC, "a", None)
            back_at = asyncio.get_running_loop().time()
            for _ in range(10):
                await asyncio.sleep(1.2)
                site.store.cut()
            assert set(await requests) == {200}
            # A failed call is retried after 0.8 s at most.
            assert site.servers[0].last_call_at < back_at + 0.8 + DRAIN_S

    platform_site.run(play())


def test_a_request_that_waits_to_connect_avoids_a_leaving_server(monkeypatch):
    """Guards against a request to a server that left during a connect.

    The request's connection to the chosen server took 0.2 s to open. The entry
    read meanwhile that the server is leaving and must not send the request.
    """
    connect = client.connect

    async def delayed_connect(address, timeout_s):
        if str(address) == delayed.get("address"):
            await asyncio.sleep(0.2)
        return await connect(address, timeout_s)

    delayed = {}
    monkeypatch.setattr(client, "connect", delayed_connect)

    async def play():
        async with platform_site.Site("a") as site:
            leaving = site.servers[0]
            delayed["address"] = leaving.address
            stays = platform_site.Server("b")
            await stays.start()
            site.servers.append(stays)
            await asyncio.sleep(3.0)
            request = asyncio.ensure_future(site.ask())
            await asyncio.sleep(0.05)
            put(site, stays)
            put(site, leaving, state="draining", sequence=2)
            answer = await request
            assert answer.status == 200
            assert not leaving.calls
            assert len(stays.calls) == 1

    platform_site.run(play())


def test_a_poll_that_hangs_after_a_partition_times_out_soon():
    """Guards against a request to a server 3.2 s after it announced to leave.

    The machine was partitioned from the store for a moment. A long poll sent
    right before the end of the partition was lost, and its timeout of 3.2 s was
    longer than the three seconds after which the bounds apply again. Meanwhile
    a server announced that it is leaving.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            await asyncio.sleep(3.0)
            requests = asyncio.ensure_future(send_requests(site, 12.0))
            site.store.silent = True
            while not any(TOPIC in target for target in site.store.hung):
                await asyncio.sleep(0.01)
            back_at = asyncio.get_running_loop().time()
            site.store.silent = False
            put(site, site.servers[0], state="draining", sequence=2)
            assert set(await requests) == {200}
            assert site.servers[0].last_call_at < back_at + RECONNECTED_S

    platform_site.run(play())


def test_a_connection_from_before_a_fault_is_not_reused():
    """Guards against a wait of 1.2 s for each connection that a fault broke.

    The idle connections of the pool were used one after the other, and each
    call had to time out.
    """

    async def play():
        store = platform_site.Store()
        await store.start()
        caller = stores.Store(
            store.address, logs.Log(), counters_lib.Counters()
        )
        query = {"topic": "keyed.op", "part": 0}

        async def ask():
            return await caller.get("/log-newest", query)

        await asyncio.gather(ask(), ask())
        store.dead = set(store.sessions)
        with pytest.raises(exceptions.PlatformUnavailable):
            await ask()
        began = asyncio.get_running_loop().time()
        assert (await ask()).status == 200
        assert asyncio.get_running_loop().time() < began + 0.1
        caller.close()
        await store.stop()

    platform_site.run(play())


def test_servers_that_left_during_a_partition_are_removed():
    """Guards against a request to a server that was gone for seconds.

    The machine was partitioned from the store, which worked, and two servers
    ended without notice meanwhile. Their removal was taken for an expiry in an
    outage and held for 2.2 s after it was read, while the bounds apply again
    3 s after the end of the partition.
    """

    async def play():
        async with platform_site.Site("a", "b", "c", "d", "e") as site:
            # No keys, which are refused after so long without the store.
            open_to_all = platform_site.config(2, tenants=[])
            site.store.put("keyed.op", "config", open_to_all)
            await asyncio.sleep(3.0)
            requests = asyncio.ensure_future(send_requests(site, 15.0))
            site.store.silent = True
            await asyncio.sleep(8.0)
            for server in site.servers[:2]:
                site.store.put(TOPIC, server.name, None)
            site.store.hung.clear()
            while not any(TOPIC in target for target in site.store.hung):
                await asyncio.sleep(0.01)
            back_at = asyncio.get_running_loop().time()
            site.store.silent = False
            assert set(await requests) == {200}
            last_at = max(s.last_call_at for s in site.servers[:2])
            assert last_at < back_at + RECONNECTED_S

    platform_site.run(play())
