"""How old a process's knowledge is, and what it does when history is lost."""

import asyncio

import pytest

from clementinegw import exceptions
from clementinegw.direct import outage
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks


class Topic:
    """A topic that answers a waiting question at the wait's end or at news."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.down = False
        self.wholes = 0

    async def snapshot(self):
        self._check()
        self.wholes += 1
        return topic_watch.Batch(tuple(self.records[-1:]), len(self.records))

    async def changes(self, offset, wait_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while len(self.records) <= offset and loop.time() < until:
            self._check()
            await asyncio.sleep(min(0.01, until - loop.time()))
        self._check()
        await asyncio.sleep(0.004)
        if offset < self.first:
            raise topic_watch.HistoryLost("gone")
        return topic_watch.Batch(
            tuple(self.records[offset:]), len(self.records)
        )

    def put(self, key):
        self.records.append(topic_watch.Record(key, key))

    def _check(self):
        if self.down:
            raise exceptions.PlatformUnavailable("down")


async def following(topic, pace, taken):
    follower = topic_watch.TopicWatcher(
        "t",
        topic,
        pace,
        lambda batch, whole: taken.append((batch, whole)),
        logs.Log(),
        counters_lib.Counters(),
        asyncio.get_running_loop().time,
    )
    await follower.start()
    return follower


@pytest.mark.parametrize("news_at", [0.5, 1.9])
def test_news_do_not_make_the_knowledge_old(news_at):
    """Symptom: a process takes no callers for a while after each change.

    Sequence: a question waits for two seconds, brings a change at its end, and
    the next one waits for two seconds more. Cause: an answer with news proves
    only the time of its question.
    """

    async def play():
        topic = Topic()
        topic.put("a")
        follower = await following(topic, topic_watch.PollTiming(2.0, 0.0), [])
        await asyncio.sleep(4.0 + news_at)
        topic.put("b")
        oldest = 0.0
        for _ in range(500):
            await asyncio.sleep(0.01)
            oldest = max(oldest, follower.age_s)
        await follower.stop()
        return oldest

    assert clocks.run(play()) < 2.3


def test_the_age_grows_while_the_platform_is_away():
    async def play():
        topic = Topic()
        follower = await following(topic, topic_watch.PollTiming(2.0, 0.0), [])
        await asyncio.sleep(3.0)
        topic.down = True
        await asyncio.sleep(5.0)
        old, settled = follower.age_s, follower.available_s
        topic.down = False
        await asyncio.sleep(2.0)
        young, again = follower.age_s, follower.available_s
        await follower.stop()
        return old, settled, young, again

    old, settled, young, again = clocks.run(play())
    assert old > 4.9
    assert settled == 0.0
    assert young < 2.2
    assert 0.0 < again < 2.1


def test_lost_history_is_made_good_by_a_whole_reading():
    async def play():
        topic, taken = Topic(), []
        topic.put("a")
        follower = await following(
            topic, topic_watch.PollTiming(0.5, 0.0), taken
        )
        await asyncio.sleep(1.2)
        topic.put("b")
        topic.put("c")
        topic.first = len(topic.records)
        await asyncio.sleep(1.2)
        await follower.stop()
        return topic.wholes, taken[-1]

    wholes, (batch, whole) = clocks.run(play())
    assert wholes == 2
    assert whole
    assert [record.key for record in batch.records] == ["c"]


@pytest.mark.parametrize(
    ("fault", "outage_s"),
    [
        ("broke at once", 0.3),
        ("hung", 3.5),
        ("broke while it waited", 0.3),
        ("the history is gone", 0.0),
    ],
)
def test_a_connection_that_broke_is_told_from_a_platform_that_was_away(
    fault, outage_s
):
    """A removal was not believed for seconds after one connection broke.

    Whether a listing may have run out for want of its server's news depends on
    how long the platform may have been away, and no failed call alone tells.
    """
    lasted_s = {
        "broke at once": 0.01,
        "hung": 3.2,
        "broke while it waited": 1.9,
        "the history is gone": 0.01,
    }
    lasts_s = lasted_s[fault]
    lost_history = fault == "the history is gone"

    async def play():
        clock = asyncio.get_running_loop().time
        tracker = outage.OutageTracker(clock)
        tracker.record_answer()
        asked_at = clock()
        await asyncio.sleep(lasts_s)
        if lost_history:
            tracker.record_answer()
        else:
            tracker.record_failure(asked_at, 2.0)
        await asyncio.sleep(0.3)
        tracker.record_answer()
        assert tracker.outage_s == pytest.approx(outage_s, abs=0.01)

    clocks.run(play())


def test_an_outage_that_ends_in_fits_is_one():
    async def play():
        clock = asyncio.get_running_loop().time
        tracker = outage.OutageTracker(clock)
        for down in (True, False, True, False):
            if down:
                tracker.record_failure(clock(), 0.0)
            else:
                tracker.record_answer()
            await asyncio.sleep(1.0)
        assert tracker.outage_s == pytest.approx(3.0, abs=0.01)

    clocks.run(play())


@pytest.mark.parametrize("fault", ["history is lost", "nothing, at once"])
def test_answers_in_vain_are_not_asked_for_without_a_pause(fault):
    """A process asked the platform five hundred times a second.

    The platform said over and over that the history was lost, or answered at
    once and without records though it was asked to wait. Only failed calls were
    followed by a pause.
    """
    calls = []

    class Source:
        async def snapshot(self):
            calls.append("newest")
            await asyncio.sleep(0.002)
            return topic_watch.Batch((), 5)

        async def changes(self, offset, wait_s):
            calls.append("changes")
            await asyncio.sleep(0.002)
            if fault == "history is lost":
                raise topic_watch.HistoryLost("gone")
            return topic_watch.Batch((), offset)

    async def play():
        follower = await following(
            Source(), topic_watch.PollTiming(2.0, 0.0), []
        )
        await asyncio.sleep(10.0)
        await follower.stop()

    clocks.run(play())
    assert len(calls) < 50


def test_news_of_another_process_are_not_taken_for_answers_in_vain():
    """Processes heard late of versions and servers that a reader passed on.

    Its answers cost nothing, so no pause follows them; they were taken for
    answers that bring nothing, and after four in a row a pause of up to 0.8 s
    followed each. Agents heard 0.2 s late of a version, and began late.
    """

    class Reader:
        async def snapshot(self):
            return topic_watch.Batch((), 0)

        async def changes(self, offset, wait_s):
            await asyncio.sleep(0.01)
            record = topic_watch.Record(str(offset), offset)
            return topic_watch.Batch((record,), offset + 1, billed=False)

    async def play():
        taken = []
        follower = await following(
            Reader(), topic_watch.PollTiming(2.0, 0.0), taken
        )
        await asyncio.sleep(1.0)
        await follower.stop()
        return len(taken)

    assert clocks.run(play()) > 80
