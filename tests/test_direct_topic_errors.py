"""Tests that records which cannot be applied end nothing else."""

import asyncio

import platform_site
import pytest

from clementinegw import exceptions
from clementinegw.direct import entry as entries
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

TIMING = topic_watch.PollTiming(2.0, 0.0)


class Topic:
    """A topic that holds each poll until the end of its wait or a change.

    Attributes:
      records: All records.
      error: Raised by all reads; None for none.
      snapshots: When snapshots were read, in seconds.
    """

    def __init__(self):
        self.records = [topic_watch.Record("a", "a")]
        self.error = None
        self.snapshots = []

    async def snapshot(self):
        self.snapshots.append(asyncio.get_running_loop().time())
        return self._batch(0)

    async def changes(self, offset, wait_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while len(self.records) <= offset and loop.time() < until:
            await asyncio.sleep(min(0.01, until - loop.time()))
            self._check()
        return self._batch(offset)

    def _batch(self, offset):
        self._check()
        return topic_watch.Batch(
            tuple(self.records[offset:]), len(self.records)
        )

    def _check(self):
        if self.error is not None:
            raise self.error


class Watched:
    """A watcher of a topic and the records that it has applied.

    Attributes:
      broken: Whether applying a record with the value "odd" raises.
      known: The keys that were applied.
      available_s: The watcher's `available_s` while each batch was applied.
      lags_s: The watcher's `lag_s` while each batch was applied.
    """

    def __init__(self):
        self.topic = Topic()
        self.counters = counters_lib.Counters()
        self.broken = True
        self.known = set()
        self.available_s = []
        self.lags_s = []
        self.watcher = topic_watch.TopicWatcher(
            "t",
            self.topic,
            TIMING,
            self._on_batch,
            logs.Log(),
            self.counters,
            asyncio.get_running_loop().time,
        )

    async def __aenter__(self):
        await self.watcher.start()
        await asyncio.sleep(3.0)
        return self

    async def __aexit__(self, *_):
        await self.watcher.stop()

    def put(self, value):
        self.topic.records.append(topic_watch.Record(value, value))

    def _on_batch(self, batch, is_snapshot):
        self.available_s.append(self.watcher.available_s)
        self.lags_s.append(self.watcher.lag_s)
        if is_snapshot:
            self.known.clear()
        for record in batch.records:
            if record.value == "odd" and self.broken:
                raise KeyError("odd")
            self.known.add(record.key)


def test_records_that_cannot_be_applied_do_not_end_the_watching():
    """Guards against a process that never learns of another change."""

    async def scenario():
        async with Watched() as watched:
            watched.put("odd")
            await asyncio.sleep(1.0)
            watched.put("b")
            watched.broken = False
            await asyncio.sleep(2.0)
            return watched.watcher.crashed, watched.known

    assert clocks.run(scenario()) == (False, {"a", "odd", "b"})


def test_records_that_were_not_applied_do_not_count_as_current():
    """Guards against a revoked key that is served as recently confirmed."""

    async def scenario():
        async with Watched() as watched:
            watched.put("odd")
            await asyncio.sleep(5.0)
            age_s, available_s = (
                watched.watcher.age_s,
                watched.watcher.available_s,
            )
            watched.broken = False
            await asyncio.sleep(1.0)
            return (
                age_s,
                available_s,
                watched.watcher.age_s,
                watched.watcher.available_s,
            )

    age_s, available_s, later_age_s, later_available_s = clocks.run(scenario())
    assert age_s > 4.9
    assert available_s == 0.0
    assert later_age_s < 1.0
    assert 0.0 < later_available_s < 1.0


def test_records_applied_late_were_in_the_store_meanwhile():
    """Guards against a version whose time to serve begins anew."""

    async def scenario():
        async with Watched() as watched:
            watched.put("odd")
            await asyncio.sleep(3.0)
            watched.broken = False
            await asyncio.sleep(1.0)
            watched.put("b")
            await asyncio.sleep(1.0)
            return watched.lags_s[-2:]

    applied_late_s, next_s = clocks.run(scenario())
    assert 3.0 <= applied_late_s < 3.9
    assert next_s < 0.1


def test_a_first_snapshot_that_cannot_be_applied_is_no_snapshot():
    """Guards against a process that is ready with half of the servers."""

    async def scenario():
        watched = Watched()
        watched.put("odd")
        async with watched:
            before = watched.watcher.has_snapshot
            watched.broken = False
            await asyncio.sleep(1.0)
            return before, watched.watcher.has_snapshot

    assert clocks.run(scenario()) == (False, True)


def test_unapplied_records_are_read_anew_with_backoff():
    """Guards against snapshots in a busy loop."""

    async def scenario():
        async with Watched() as watched:
            first = len(watched.topic.snapshots)
            watched.put("odd")
            await asyncio.sleep(8.0)
            failed = watched.counters.value("platform.t.unexpected")
            return len(watched.topic.snapshots) - first, failed

    snapshots, failed = clocks.run(scenario())
    assert 8 <= snapshots <= 14
    assert failed in (snapshots, snapshots + 1)


@pytest.mark.parametrize(
    "error", [KeyError("odd"), exceptions.PlatformUnavailable("down")]
)
def test_a_read_that_raises_is_repeated(error):
    """Guards against an error of one read that ends the watching."""

    async def scenario():
        async with Watched() as watched:
            watched.topic.error = error
            await asyncio.sleep(3.0)
            age_s = watched.watcher.age_s
            watched.topic.error = None
            watched.put("b")
            await asyncio.sleep(2.0)
            return age_s, watched.watcher.age_s, watched.known

    age_s, later_age_s, known = clocks.run(scenario())
    assert age_s > 2.9
    assert later_age_s < 2.1
    assert known == {"a", "b"}


def test_availability_counts_from_the_end_of_an_outage():
    """Guards against servers dropped in the first answer after an outage."""

    async def scenario():
        async with Watched() as watched:
            watched.topic.error = exceptions.PlatformUnavailable("down")
            await asyncio.sleep(3.0)
            watched.topic.error = None
            watched.put("b")
            await asyncio.sleep(1.0)
            return watched.available_s[-1], watched.watcher.available_s

    in_batch_s, later_s = clocks.run(scenario())
    assert in_batch_s == 0.0
    assert 0.0 < later_s < 1.0


def test_an_entry_serves_on_while_a_configuration_cannot_be_applied(
    monkeypatch,
):
    """Guards against an entry that stays with a configuration for good."""
    make_catalog = entries.catalogs.Catalog

    def make_but_the_second(configuration):
        if configuration.version == 2:
            raise KeyError("odd")
        return make_catalog(configuration)

    monkeypatch.setattr(entries.catalogs, "Catalog", make_but_the_second)

    async def scenario():
        async with platform_site.Site("s1") as site:
            site.store.put("keyed.op", "config", platform_site.config(2))
            await asyncio.sleep(1.0)
            during = (await site.ask()).status
            other = platform_site.Server("s2")
            await other.start()
            site.store.put("keyed.servers", "s2", other.record())
            site.store.put("keyed.servers", "s1", None)
            await asyncio.sleep(2.5)
            await site.ask()
            calls = len(other.calls)
            await asyncio.sleep(4.0)
            ready, late = site.entry.ready, (await site.ask()).status
            site.store.put("keyed.op", "config", platform_site.config(3))
            await asyncio.sleep(2.0)
            after = (await site.ask()).status
            await other.stop()
            return during, calls, (ready, late), (site.entry.ready, after)

    during, calls, late, after = platform_site.run(scenario())
    assert during == 200
    assert calls == 1
    # No key is accepted without a recent proof that it was not revoked.
    assert late == (False, 503)
    assert after == (True, 200)
