"""Tests that what is refused lasts in the store when all processes end."""

import asyncio

import platform_site as sites
import prompt_site
import pytest

from clementinegw import exceptions
from clementinegw.direct import crash_guard
from clementinegw.direct import part_records
from clementinegw.direct import refusal_archive
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

_TOPIC = "keyed.refused"


class Site(prompt_site.Site):
    """A site of which every process can be replaced."""

    async def find_part(self):
        """Sends requests until the crashing part is refused and written."""
        self.entry._forwarder.guard.record_rank(0)
        for number in range(8):
            await prompt_site.ask(self, 2 * number, "bad")
            await prompt_site.ask(self, 2 * number + 1, "b")
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.0)

    def restart_crashed(self):
        """Lists servers that crashed as others, which have just started."""
        for server in self.servers:
            if any("bad:" in prompt_site.prompt_of(c) for c in server.calls):
                self.store.put("keyed.servers", server.name, None)
                server.name += "-again"
                record = server.record(cold_remaining_ms=5_000)
                self.store.put("keyed.servers", server.name, record)

    async def replace_entry(self, off_s=1.0):
        await self.entry.stop()
        await asyncio.sleep(off_s)
        await self.start_entry()
        await asyncio.sleep(0.5)


def test_a_part_stays_refused_after_all_processes_ended():
    """It crashed three servers more after each loss of power."""

    async def play():
        async with Site() as site:
            await site.find_part()
            site.restart_crashed()
            await site.replace_entry()
            before = prompt_site.reached(site, "bad")
            answer = await prompt_site.ask(site, 50, "bad")
            return (
                answer.status,
                prompt_site.reached(site, "bad") - before,
                await prompt_site.ask(site, 51, "b"),
            )

    status, sent, sound = sites.run(play())
    assert (status, sent, sound.status) == (503, 0, 200)


def test_a_part_that_was_refused_long_ago_is_served():
    async def play():
        async with Site() as site:
            await site.find_part()
            site.restart_crashed()
            await site.replace_entry(off_s=700.0)
            return (await prompt_site.ask(site, 50, "bad")).status

    assert sites.run(play()) == 502


def test_a_part_that_proves_sound_leaves_the_store():
    async def play():
        async with Site() as site:
            await site.find_part()
            written = dict(site.store.topics[_TOPIC])
            for server in site.servers:
                server.on_call = prompt_site.stream
            await asyncio.sleep(25.0)
            probe = await prompt_site.ask(site, 50, "bad")
            await asyncio.sleep(2.0)
            return written, probe.status, dict(site.store.topics[_TOPIC])

    written, status, left = sites.run(play())
    key = part_records.digest_part("bad").hex().encode()
    assert [*written] == [key]
    assert written[key]
    assert (status, left) == (200, {key: b""})


def test_a_part_is_refused_again_after_its_first_crash():
    """All processes ended long after the last crash, so no server is new."""

    async def play():
        async with Site() as site:
            await site.find_part()
            await site.replace_entry()
            before = prompt_site.reached(site, "bad")
            await prompt_site.ask(site, 50, "bad")
            await asyncio.sleep(0.5)
            sent = prompt_site.reached(site, "bad") - before
            answer = await prompt_site.ask(site, 51, "bad")
            late = prompt_site.reached(site, "bad") - before - sent
            return sent, answer.status, late

    sent, status, late = sites.run(play())
    assert sent <= 3
    assert (status, late) == (503, 0)


def test_what_is_refused_is_written_again_to_a_restored_store():
    """It was missing from the store for five minutes after a restoration."""

    async def play():
        async with Site() as site:
            copy = site.store.copy()
            await site.find_part()
            written = dict(site.store.topics[_TOPIC])
            site.store.restore(copy)
            await asyncio.sleep(5.0)
            return written, dict(site.store.topics.get(_TOPIC, ()))

    written, again = sites.run(play())
    assert (
        [*written]
        == [*again]
        == [part_records.digest_part("bad").hex().encode()]
    )


def test_the_store_is_not_asked_on_a_day_without_crashes():
    async def play():
        async with Site() as site:
            asked = []
            read = site.entry._archive._values.read

            async def record_read():
                asked.append(True)
                return await read()

            site.entry._archive._values.read = record_read
            for number in range(20):
                await prompt_site.ask(site, number, "b")
                await asyncio.sleep(1.0)
            return asked, _TOPIC in site.store.topics

    assert sites.run(play()) == ([], False)


class Values:
    """Values in a store that fails for a while."""

    def __init__(self, failures, values):
        self.read_at = []
        self._failures = failures
        self._values = values

    async def read(self):
        self.read_at.append(asyncio.get_running_loop().time())
        if len(self.read_at) <= self._failures:
            raise exceptions.PlatformUnavailable("down", "timeout")
        return self._values


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"\x00", b"\x16\x02\x00", b"x" * 500]
)
def test_the_archive_is_read_again_until_the_store_answers(value):
    async def play():
        loop = asyncio.get_running_loop()
        counters = counters_lib.Counters()
        values = Values(4, {"odd": value})
        guard = crash_guard.CrashGuard(loop.time, logs.Log(), counters)
        archive = refusal_archive.RefusalArchive(
            guard,
            values,
            lambda: True,
            loop.time,
            loop.time,
            logs.Log(),
            counters,
        )
        began_at = loop.time()
        for _ in range(30):
            await archive.update()
            await asyncio.sleep(1.0)
        return [round(at - began_at) for at in values.read_at], guard.refused()

    read_at, refused = clocks.run(play())
    assert read_at == [0, 1, 3, 7, 15]
    assert refused == ()
