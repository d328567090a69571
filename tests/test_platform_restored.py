"""Tests for a store that is restored from a copy some seconds old."""

import asyncio
import json

from adapter import records
from adapter import store as stores
import platform_site
import pytest
import test_platform_relay as relays

from clementinegw import exceptions
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# The times within which a change must be in force and a leaving server get its
# last request, in seconds.
CHANGE_S = 2.0
DRAIN_S = 2.0
OTHER_KEY = "another-key"


def put_config(store, version, **fields):
    store.put("keyed.op", "config", platform_site.config(version, **fields))


def put(site, server, **fields):
    record = server.record(**fields)
    site.store.put("keyed.servers", server.name, record)


async def send_requests(site, until_s):
    """Sends requests for `until_s` seconds and returns their statuses."""
    end = asyncio.get_running_loop().time() + until_s
    statuses = set()
    while asyncio.get_running_loop().time() < end:
        statuses.add((await site.ask()).status)
        await asyncio.sleep(0.03)
    return statuses


async def be_down(store, seconds):
    """Resets all calls for some time; the store is then back."""
    store.status = 503
    store.cut()
    await asyncio.sleep(seconds)
    store.status = 200


async def restore_under_entries(count, down_s, rewritten):
    """Returns how long all entries take to know the last change."""
    async with relays.Domain(count) as domain:
        put_config(domain.store, 1)
        await domain.until(1, 5.0)
        await asyncio.sleep(4.0)
        copy = domain.store.copy()
        put_config(domain.store, 2)
        await domain.until(2, CHANGE_S)
        await asyncio.sleep(2.0)
        await be_down(domain.store, down_s)
        domain.store.restore(copy)
        for version in range(3, 3 + rewritten):
            put_config(domain.store, version)
        return await domain.until(2 + rewritten, 10.0)


@pytest.mark.parametrize("count", [1, 4])
def test_a_change_at_an_offset_given_out_again_reaches_all(count):
    """Entries went on at their former offset and never read a change."""
    for down_s in (0.0, 0.5):
        for rewritten in (1, 3):
            play = restore_under_entries(count, down_s, rewritten)
            assert platform_site.run(play) < CHANGE_S


def test_a_key_revoked_after_the_restoration_is_refused():
    """Requests ran under a key that had been taken away."""

    async def play():
        async with platform_site.Site("a") as site:
            keys = [platform_site.KEY, OTHER_KEY]
            tenants = [{"name": "one", "api_keys": keys}]
            copy = site.store.copy()
            put_config(site.store, 2, tenants=tenants)
            await asyncio.sleep(2.0)
            site.store.restore(copy)
            tenants = [{"name": "one", "api_keys": [OTHER_KEY]}]
            put_config(site.store, 4, tenants=tenants)
            await asyncio.sleep(CHANGE_S)
            return (await site.ask()).status

    assert platform_site.run(play()) == 401


REVOKE_S = 5.0


async def _restart_at_restoration(site, starts_after_s, lost, rewritten_s):
    """Restarts an entry when a store comes back without a revocation.

    Returns:
      The statuses of requests with the revoked key later than it may be used,
      and whether the other key was served in the end.
    """
    loop = asyncio.get_running_loop()
    tenants = [{"name": "one", "api_keys": [platform_site.KEY, OTHER_KEY]}]
    put_config(site.store, 3, tenants=tenants)
    await asyncio.sleep(3.0)
    copy = site.store.copy()
    revoked = [{"name": "one", "api_keys": [OTHER_KEY]}]
    put_config(site.store, 5, tenants=revoked)
    revoked_at = loop.time()
    await asyncio.sleep(lost)
    await site.entry.stop()
    await be_down(site.store, 0.4)
    site.store.restore(copy)
    restored_at = loop.time()
    await asyncio.sleep(starts_after_s)
    start = asyncio.ensure_future(site.start_entry())
    statuses = []
    written = False
    while loop.time() < restored_at + 8.0:
        await asyncio.sleep(0.1)
        if not written and loop.time() >= restored_at + rewritten_s:
            put_config(site.store, 5, tenants=revoked)
            written = True
        if loop.time() > revoked_at + REVOKE_S and start.done():
            statuses.append((await site.ask()).status)
    return statuses, (await site.ask(key=OTHER_KEY)).status


@pytest.mark.parametrize("starts_after_s", [0.0, 0.5, 1.5])
@pytest.mark.parametrize("lost", [2.0, 4.0, 10.0])
def test_a_start_at_a_restoration_does_not_serve_a_revoked_key(
    starts_after_s, lost
):
    """An entry took the copy of a restored store for current."""

    async def play():
        async with platform_site.Site("a") as site:
            return await _restart_at_restoration(
                site, starts_after_s, lost, 2.0
            )

    statuses, other = platform_site.run(play())
    assert 200 not in statuses
    assert other == 200


def test_a_start_in_a_settled_epoch_is_ready_at_once():
    """Guards against starts that wait although the store is in order."""

    async def play(restored):
        async with platform_site.Site("a") as site:
            if restored:
                site.store.restore(site.store.copy())
            await asyncio.sleep(4.0)
            await site.entry.stop()
            began_at = asyncio.get_running_loop().time()
            await site.start_entry()
            return asyncio.get_running_loop().time() - began_at

    usual_s = platform_site.run(play(False))
    assert platform_site.run(play(True)) <= usual_s + 0.05


def test_a_start_while_the_mark_cannot_be_read_is_ready_in_time():
    """An epoch that lasts is believed without its mark."""

    async def play():
        site = platform_site.Site("a")
        site.store.topics["keyed.epochs"] = []
        began_at = asyncio.get_running_loop().time()
        async with site:
            return asyncio.get_running_loop().time() - began_at

    assert 2.5 <= platform_site.run(play()) < 3.5


def test_a_server_that_leaves_after_the_restoration_gets_no_requests():
    """Entries never read that a server was leaving."""

    async def play():
        async with platform_site.Site("a", "b") as site:
            leaving, stays = site.servers
            copy = site.store.copy()
            put(site, stays, sequence=2)
            await asyncio.sleep(1.0)
            site.store.restore(copy)
            put(site, leaving, state="draining", sequence=3)
            left_at = asyncio.get_running_loop().time()
            assert await send_requests(site, 5.0) == {200}
            return leaving.last_call_at - left_at

    assert platform_site.run(play()) < DRAIN_S


@pytest.mark.parametrize("state", ["draining", None])
def test_a_copy_does_not_list_a_server_again_that_left(state):
    """A server that had left was listed as ready by the copy."""

    async def play():
        async with platform_site.Site("a", "b") as site:
            leaving, stays = site.servers
            put(site, leaving, sequence=2)
            await asyncio.sleep(1.0)
            copy = site.store.copy()
            if state:
                put(site, leaving, state=state, sequence=3)
            else:
                site.store.put("keyed.servers", leaving.name, None)
            left_at = asyncio.get_running_loop().time()
            await send_requests(site, 1.0)
            site.store.restore(copy)
            put(site, stays, sequence=4)
            assert await send_requests(site, 4.0) == {200}
            return leaving.last_call_at - left_at

    assert platform_site.run(play()) < DRAIN_S


def test_a_server_that_the_copy_lacks_serves_until_it_is_listed_again():
    """The only server was dropped until its next write to the store."""

    async def play():
        async with platform_site.Site("a") as site:
            (server,) = site.servers
            site.store.put("keyed.servers", server.name, None)
            copy = site.store.copy()
            put(site, server, sequence=2)
            await asyncio.sleep(1.0)
            site.store.restore(copy)
            before = await send_requests(site, 1.2)
            put(site, server, sequence=3)
            return before | await send_requests(site, 2.0)

    assert platform_site.run(play()) == {200}


def test_a_server_that_is_not_listed_again_is_dropped():
    """Guards against requests to a server of which the copy knows nothing."""

    async def play():
        async with platform_site.Site("a", "b") as site:
            gone, stays = site.servers
            site.store.put("keyed.servers", gone.name, None)
            copy = site.store.copy()
            put(site, gone, sequence=2)
            await asyncio.sleep(1.0)
            site.store.restore(copy)
            restored_at = asyncio.get_running_loop().time()
            put(site, stays, sequence=2)
            assert await send_requests(site, 5.0) == {200}
            return gone.last_call_at - restored_at

    assert platform_site.run(play()) < DRAIN_S + 0.5


class Reader:
    """A topic of servers in a store, read without a process around it."""

    def __init__(self):
        self.store = platform_site.Store()

    async def __aenter__(self):
        await self.store.start()
        log, counters = logs.Log(), counters_lib.Counters()
        self.client = stores.Store(self.store.address, log, counters)
        self.topic = stores.Topic(
            self.client,
            "keyed.servers",
            records.decode_server_record,
            log,
            counters,
        )
        return self

    async def __aexit__(self, *_):
        self.client.close()
        await self.store.stop()


def test_a_held_poll_ends_once_another_call_shows_the_restoration():
    """A poll sent after the restoration was held for its whole wait."""

    async def play():
        async with Reader() as reader:
            reader.store.put("keyed.servers", "a", {})
            position = (await reader.topic.snapshot()).next_position
            reader.store.epoch += 1
            poll = asyncio.ensure_future(reader.topic.changes(position, 9.0))
            await asyncio.sleep(0.1)
            await reader.topic.snapshot()
            await asyncio.sleep(0.1)
            assert poll.done()
            with pytest.raises(topic_watch.HistoryLost):
                await poll

    platform_site.run(play())


def test_a_snapshot_of_two_epochs_is_read_again():
    """Pages from before and after the restoration were taken as one."""

    async def play():
        async with Reader() as reader:
            newest = reader.store._newest

            def page(topic):
                body = json.loads(newest(topic))
                body["has_more"] = reader.store.epoch == 1
                body["items"] = [{"key": "a", "value": "e30=", "offset": 0}]
                return json.dumps(body).encode()

            reader.store._newest = page
            answer = asyncio.ensure_future(reader.topic.snapshot())
            while reader.store.reads < 1:
                await asyncio.sleep(0)
            reader.store.epoch += 1
            with pytest.raises(topic_watch.HistoryLost):
                await answer

    platform_site.run(play())


@pytest.mark.parametrize("epoch", ["-1", "x", "1.5", "9" * 20, ""])
def test_a_malformed_epoch_is_an_error(epoch):
    """Guards against positions that do not fit, or go back."""

    async def play():
        async with Reader() as reader:
            reader.store.epoch = epoch
            with pytest.raises(exceptions.PlatformUnavailable):
                await reader.topic.snapshot()

    platform_site.run(play())


def test_an_answer_of_a_former_epoch_is_refused():
    """Guards against a copy that goes back to before the restoration."""

    async def play():
        async with Reader() as reader:
            reader.store.epoch = 3
            await reader.topic.snapshot()
            reader.store.epoch = 2
            with pytest.raises(exceptions.PlatformUnavailable):
                await reader.topic.snapshot()

    platform_site.run(play())


def test_an_answer_without_an_epoch_belongs_to_the_known_one():
    """Guards against a store that is never read again."""

    async def play():
        async with Reader() as reader:
            reader.store.put("keyed.servers", "a", {})
            position = (await reader.topic.snapshot()).next_position
            reader.store.epoch = None
            reader.store.put("keyed.servers", "b", {})
            return len((await reader.topic.changes(position, 0.0)).items)

    assert platform_site.run(play()) == 1
