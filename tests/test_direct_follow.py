"""Tests the age of a watched topic, polling, and the length of outages."""

import asyncio

import pytest

from clementinegw import exceptions
from clementinegw.direct import outage
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks


class Topic:
    """A topic that holds a poll until the end of its wait or a change."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.down = False
        self.snapshots = 0

    async def snapshot(self):
        self._check()
        self.snapshots += 1
        return topic_watch.Batch(tuple(self.records[-1:]), len(self.records))

    async def changes(self, offset, wait_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while len(self.records) <= offset and loop.time() < until:
            self._check()
            await asyncio.sleep(min(0.01, until - loop.time()))
        self._check()
        await asyncio.sleep(0.004)
        if offset < self.first_offset:
            raise topic_watch.HistoryLost("gone")
        return topic_watch.Batch(
            tuple(self.records[offset:]), len(self.records)
        )

    def put(self, key):
        self.records.append(topic_watch.Record(key, key))

    def _check(self):
        if self.down:
            raise exceptions.PlatformUnavailable("down")


async def start_watcher(topic, timing, batches):
    watcher = topic_watch.TopicWatcher(
        "t",
        topic,
        timing,
        lambda batch, is_snapshot: batches.append((batch, is_snapshot)),
        logs.Log(),
        counters_lib.Counters(),
        asyncio.get_running_loop().time,
    )
    await watcher.start()
    return watcher


@pytest.mark.parametrize("change_at", [0.5, 1.9])
def test_a_change_does_not_age_the_copy(change_at):
    """Guards against a process that rejects callers after each change.

    A poll is held for two seconds and brings a change at its end, and the next
    poll is held for two seconds more. An answer with records only shows that
    the copy was current when the poll was sent, so the copy seemed too old.
    """

    async def scenario():
        topic = Topic()
        topic.put("a")
        watcher = await start_watcher(
            topic, topic_watch.PollTiming(2.0, 0.0), []
        )
        await asyncio.sleep(4.0 + change_at)
        topic.put("b")
        max_age_s = 0.0
        for _ in range(500):
            await asyncio.sleep(0.01)
            max_age_s = max(max_age_s, watcher.age_s)
        await watcher.stop()
        return max_age_s

    assert clocks.run(scenario()) < 2.3


def test_the_age_grows_during_an_outage():
    async def scenario():
        topic = Topic()
        watcher = await start_watcher(
            topic, topic_watch.PollTiming(2.0, 0.0), []
        )
        await asyncio.sleep(3.0)
        topic.down = True
        await asyncio.sleep(5.0)
        outage_age_s, available_s = watcher.age_s, watcher.available_s
        topic.down = False
        await asyncio.sleep(2.0)
        fresh_age_s, recovered_s = watcher.age_s, watcher.available_s
        await watcher.stop()
        return outage_age_s, available_s, fresh_age_s, recovered_s

    outage_age_s, available_s, fresh_age_s, recovered_s = clocks.run(scenario())
    assert outage_age_s > 4.9
    assert available_s == 0.0
    assert fresh_age_s < 2.2
    assert 0.0 < recovered_s < 2.1


def test_lost_history_is_replaced_by_a_snapshot():
    async def scenario():
        topic, batches = Topic(), []
        topic.put("a")
        watcher = await start_watcher(
            topic, topic_watch.PollTiming(0.5, 0.0), batches
        )
        await asyncio.sleep(1.2)
        topic.put("b")
        topic.put("c")
        topic.first_offset = len(topic.records)
        await asyncio.sleep(1.2)
        await watcher.stop()
        return topic.snapshots, batches[-1]

    snapshots, (batch, is_snapshot) = clocks.run(scenario())
    assert snapshots == 2
    assert is_snapshot
    assert [record.key for record in batch.records] == ["c"]


def test_a_snapshot_follows_history_that_was_lost_in_an_outage_at_once():
    """The copy grew older by the pause that follows failed polls."""
    lost_at, read_at = [], []

    class RestoredTopic(Topic):
        async def snapshot(self):
            read_at.append(asyncio.get_running_loop().time())
            return await super().snapshot()

        async def changes(self, offset, wait_s):
            try:
                return await super().changes(offset, wait_s)
            except topic_watch.HistoryLost:
                lost_at.append(asyncio.get_running_loop().time())
                raise

    async def scenario():
        topic = RestoredTopic()
        topic.put("a")
        watcher = await start_watcher(
            topic, topic_watch.PollTiming(2.0, 0.0), []
        )
        await asyncio.sleep(1.0)
        topic.down = True
        await asyncio.sleep(4.0)
        topic.down = False
        topic.first_offset = 2
        topic.put("b")
        await asyncio.sleep(3.0)
        await watcher.stop()
        return read_at[1] - lost_at[0]

    assert clocks.run(scenario()) < 0.05


@pytest.mark.parametrize(
    ("fault", "outage_s"),
    [
        ("broken at once", 0.3),
        ("hung", 3.5),
        ("broken while held", 0.3),
        ("history lost", 0.0),
    ],
)
def test_a_broken_connection_is_distinguished_from_an_outage(fault, outage_s):
    """Guards against removals that are ignored after a broken connection.

    Whether a listing may have expired without a renewal depends on how long the
    platform may have been unavailable, which a single failed call does not
    tell. Removals were ignored for seconds after one connection broke.
    """
    durations_s = {
        "broken at once": 0.01,
        "hung": 3.2,
        "broken while held": 1.9,
        "history lost": 0.01,
    }
    duration_s = durations_s[fault]
    lost_history = fault == "history lost"

    async def scenario():
        clock = asyncio.get_running_loop().time
        tracker = outage.OutageTracker(clock)
        tracker.record_answer()
        asked_at = clock()
        await asyncio.sleep(duration_s)
        if lost_history:
            tracker.record_answer()
        else:
            tracker.record_failure(asked_at, 2.0)
        await asyncio.sleep(0.3)
        tracker.record_answer()
        assert tracker.outage_s == pytest.approx(outage_s, abs=0.01)

    clocks.run(scenario())


def test_an_outage_with_single_answers_near_its_end_is_one_outage():
    async def scenario():
        clock = asyncio.get_running_loop().time
        tracker = outage.OutageTracker(clock)
        for down in (True, False, True, False):
            if down:
                tracker.record_failure(clock(), 0.0)
            else:
                tracker.record_answer()
            await asyncio.sleep(1.0)
        assert tracker.outage_s == pytest.approx(3.0, abs=0.01)

    clocks.run(scenario())


@pytest.mark.parametrize("fault", ["history lost", "empty at once"])
def test_polls_with_useless_answers_are_paused(fault):
    """Guards against polling the platform five hundred times a second.

    The platform kept reporting lost history, or answered at once and without
    records though it was asked to wait. Only failed calls were followed by a
    pause.
    """
    calls = []

    class Source:
        async def snapshot(self):
            calls.append("snapshot")
            await asyncio.sleep(0.002)
            return topic_watch.Batch((), 5)

        async def changes(self, offset, wait_s):
            calls.append("changes")
            await asyncio.sleep(0.002)
            if fault == "history lost":
                raise topic_watch.HistoryLost("gone")
            return topic_watch.Batch((), offset)

    async def scenario():
        watcher = await start_watcher(
            Source(), topic_watch.PollTiming(2.0, 0.0), []
        )
        await asyncio.sleep(10.0)
        await watcher.stop()

    clocks.run(scenario())
    assert len(calls) < 50


def test_changes_from_a_peer_do_not_count_as_useless_answers():
    """Guards against delayed changes of versions and servers from a reader.

    Answers of a reader are not billed, so that no pause is needed after them.
    They were counted as empty, and after four in a row each was followed by a
    pause of up to 0.8 s. Agents learned of a version 0.2 s late and started
    late.
    """

    class PeerSource:
        async def snapshot(self):
            return topic_watch.Batch((), 0)

        async def changes(self, offset, wait_s):
            await asyncio.sleep(0.01)
            record = topic_watch.Record(str(offset), offset)
            return topic_watch.Batch((record,), offset + 1, billed=False)

    async def scenario():
        batches = []
        watcher = await start_watcher(
            PeerSource(), topic_watch.PollTiming(2.0, 0.0), batches
        )
        await asyncio.sleep(1.0)
        await watcher.stop()
        return len(batches)

    assert clocks.run(scenario()) > 80
