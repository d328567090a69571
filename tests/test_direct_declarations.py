"""What each process knows of when a version was named, and how it is told."""

import asyncio
import itertools

import platform_site as sites
import pytest

from clementinegw import exceptions
from clementinegw.direct import client
from clementinegw.direct import declarations
from clementinegw.direct import reports
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

AGENT = declarations.Source.AGENT
FIRST = float("inf")


def new(now=100.0):
    return declarations.Declarations(8.0, 3.0, lambda: now)


def read(version, unread_s):
    return lambda known: known.record("m", version, unread_s)


def told(version, age_s):
    return lambda known: known.merge_ages("m", {version: age_s}, AGENT)


@pytest.mark.parametrize(
    "news",
    [
        [read(2, FIRST), told(2, 4.0), told(2, 3.9), read(2, 0.0)],
        [read(2, FIRST), read(3, FIRST), told(2, 4.0), told(3, 1.0)],
        [read(2, 0.5), told(2, 4.0), told(3, 1.0), read(3, 0.2)],
        [told(2, 4.0), told(3, 5.0), read(2, 0.0)],
    ],
)
def test_estimates_are_the_same_in_whatever_order_news_come(news):
    """Symptom: two entries believe in different due times.

    Sequence: both hear the same of several neighbours, some of it twice, in
    another order. Cause: the last word counted, or each was added up.
    """
    found = set()
    for order in itertools.permutations(news):
        known = new()
        for say in (*order, *order[::-1]):
            say(known)
        found.add(known.for_model("m"))
    assert len(found) == 1


def test_who_learned_earlier_is_nearer_to_the_truth():
    known = new()
    known.record("m", 2, 0.0)
    (change,) = known.merge_ages("m", {2: 3.0}, AGENT)
    assert (change.is_new, change.is_significant, change.moved_s) == (
        False,
        True,
        -3.0,
    )
    assert known.merge_ages("m", {2: 2.0}, AGENT) == []
    assert known.for_model("m") == (declarations.Declaration(2, 97.0),)


def test_what_is_known_takes_the_place_of_what_was_assumed_at_the_start():
    """Symptom: callers are refused for five seconds beside idle servers.

    Sequence: an entry starts a second after a version was named, and holds it
    to be due in three seconds; a neighbour knows better. Cause: the earlier
    moment stayed, though it was only assumed.
    """
    known = new()
    known.record("m", 2, FIRST)
    assert known.for_model("m")[0].declared_at < 96.0
    known.merge_ages("m", {2: 1.0}, AGENT)
    assert known.for_model("m") == (declarations.Declaration(2, 99.0),)


def test_what_is_only_assumed_is_not_told():
    """Symptom: one entry that starts makes all others refuse callers.

    Sequence: it holds a version to be due soon as nobody told it the age, and
    tells its neighbours. Cause: an assumption was told like knowledge.
    """
    known = new()
    known.record("m", 2, FIRST)
    assert known.all_ages_s() == {}
    known.record("m", 3, 0.0)
    assert known.all_ages_s() == {"m": {3: 0.0}}


def test_the_newest_and_those_not_due_yet_are_told():
    known = new()
    known.merge_ages("m", {2: 9.0, 3: 7.0, 4: 1.0}, AGENT)
    assert known.ages_s("m") == {3: 7.0, 4: 1.0}
    old = new()
    old.merge_ages("m", {2: 60.0}, AGENT)
    assert old.ages_s("m") == {2: 60.0}


@pytest.mark.parametrize("ages_s", [{0: 1.0}, {-1: 1.0}, {2: -1.0}])
def test_what_cannot_be_is_left_aside(ages_s):
    known = new()
    assert known.merge_ages("m", ages_s, AGENT) == []
    assert known.newest() == {}


def test_a_version_that_nobody_can_date_is_due_when_the_process_is_bound():
    now = [100.0]
    known = version_policy.VersionPolicy(8.0, lambda: now[0], settled_s=3.0)
    known.record_declared(types.DeclaredVersion("m", 2), unread_s=FIRST)
    assert known.required("m", 101.5) is None
    assert known.required("m", 103.0 - 0.5) == 2


# What is told.


class Sent:
    """A transport that keeps what was sent."""

    def __init__(self):
        self.reports = []

    def sendto(self, data, addr):
        self.reports.append((addr, codec.decode(ttypes.BackendReport, data)))

    def ages(self):
        found = [report.ages_ms for _, report in self.reports]
        self.reports.clear()
        return found


def subscription(name):
    return codec.encode(ttypes.Subscribe(name, {}))


def test_an_entry_hears_of_ages_at_once_and_then_about_once_a_second():
    """Symptom: an entry that starts counts a version's time from its start.

    Sequence: it asks the agents for reports; they know the age, and their
    servers may be silent. Cause: agents told only of their servers, or the age
    in each of ten reports a second.
    """
    ages_s = {2: 4.0}

    async def play():
        told = reports.Report("", 0, 0, 1, "m", ages_s=ages_s)
        reporter = reports.Reporter(lambda declared: None, lambda: told)
        sent = Sent()
        reporter.connection_made(sent)
        reporter.datagram_received(subscription("e1"), ("e1",))
        at_once = sent.ages()
        report = reports.Report("a", 1, 0, 16, "m", ages_s=ages_s)
        for _ in range(30):
            await asyncio.sleep(0.1)
            reporter.send(report)
        regular = [ages for ages in sent.ages() if ages]
        reporter.send_ages_now()
        news = sent.ages()
        await asyncio.sleep(2.5)
        reporter.datagram_received(subscription("e1"), ("e1",))
        return at_once, regular, news, sent.ages()

    at_once, regular, news, silent = clocks.run(play())
    assert at_once == news == silent == [{2: 4000}]
    assert len(regular) in (2, 3)


def test_ages_take_few_bytes():
    plain = ttypes.BackendReport(
        "i-123456789a", 3, 0, 16, "m", 1, True, False, 1.0, False, 9, 0.0
    )
    short = len(codec.encode(plain))
    plain.ages_ms = {2: 7_500}
    assert len(codec.encode(plain)) - short <= 8


# Before a send.


def name_a_version(site):
    """Names version 2 while the server has 1."""
    engine = {"slots": 8, "step_ms": 7.0, "models": [{"name": "m"}]}
    service = {"name": "plain", "engine": engine}
    change = sites.config(2, services=[service])
    site.store.put("keyed.op", "config", change)
    site.list_version(site.servers[0], 1)
    version = {"model": "m", "version": 2}
    site.store.put("keyed.op", "version/m", version)


def test_a_send_is_given_up_when_the_machine_slept_before_it(monkeypatch):
    """Symptom: a request begins on a former version long after the due time.

    Sequence: an entry connects to a server on that version; the machine is
    suspended, wakes when the newer one is due, and the request goes out. Cause:
    the version was looked at before the connection came up only.
    """

    async def play():
        async with sites.Site("i-1") as site:
            name_a_version(site)
            await asyncio.sleep(4.0)
            connect = client.connect

            async def slowly(address, timeout_s):
                site.suspended_s = 4.0
                return await connect(address, timeout_s)

            monkeypatch.setattr(client, "connect", slowly)
            answer = await site.ask(headers=["X-Clementinegw-Model: m"])
            count = site.counters.value("direct.attempt.too_old")
            return answer.status, len(site.servers[0].calls), count

    assert sites.run(play()) == (503, 0, 1)


def test_a_request_that_waits_for_its_connection_is_told_not_run(monkeypatch):
    """Symptom: a caller is told that its request may have run; it never left.

    Sequence: a connection does not come up while a version falls due, and the
    request is taken back. Cause: what is taken back was taken for sent.
    """

    async def never(address, timeout_s):
        del address, timeout_s
        await asyncio.sleep(10.0)

    async def play():
        async with sites.Site("i-1") as site:
            name_a_version(site)
            await asyncio.sleep(7.0)
            monkeypatch.setattr(client, "connect", never)
            answer = await site.ask(headers=["X-Clementinegw-Model: m"])
            return answer.status, "retry-after" in answer.headers

    assert sites.run(play()) == (503, True)


# How long records lay unread.


class Topic:
    """A topic that answers a waiting question at news, or after the wait."""

    def __init__(self):
        self.records = []
        self.down = False
        self.takes_s = 0.004

    async def snapshot(self):
        return topic_watch.Batch(tuple(self.records), len(self.records))

    async def changes(self, offset, wait_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while len(self.records) <= offset and loop.time() < until:
            self._check()
            await asyncio.sleep(0.01)
        self._check()
        found = tuple(self.records[offset:])
        await asyncio.sleep(self.takes_s)
        return topic_watch.Batch(found, offset + len(found))

    def put(self, key):
        self.records.append(topic_watch.Record(key, key))

    def _check(self):
        if self.down:
            raise exceptions.PlatformUnavailable("down")


def unread(happens):
    async def play():
        topic, found = Topic(), []
        topic.put("first")
        follower = topic_watch.TopicWatcher(
            "t",
            topic,
            topic_watch.PollTiming(6.0, 0.0),
            lambda batch, whole: found.append(follower.lag_s),
            logs.Log(),
            counters_lib.Counters(),
            asyncio.get_running_loop().time,
        )
        await follower.start()
        await asyncio.sleep(0.5)
        await happens(topic)
        await follower.stop()
        return found

    return clocks.run(play())


def test_what_a_process_finds_at_its_start_may_be_of_any_age():
    async def nothing(topic):
        del topic

    assert unread(nothing) == [FIRST]


def test_a_slow_answer_after_a_failure_has_not_waited_for_its_records():
    """Symptom: an entry that was cut off holds an old version to be new.

    Sequence: the first answer after the cut comes after 0.1 s, as the store is
    slow. Cause: an answer that took long was taken for one that had waited.
    """

    async def cut(topic):
        topic.down = True
        await asyncio.sleep(2.0)
        topic.put("named")
        topic.takes_s = 0.1
        topic.down = False
        await asyncio.sleep(2.0)

    assert unread(cut)[-1] > 1.9


@pytest.mark.parametrize("after_s", [3.0, 5.49, 5.52])
def test_what_comes_as_a_question_is_asked_anew_has_not_lain(after_s):
    """Symptom: all entries demand a version 0.3 s before they must.

    Sequence: one process of many ends a wait and asks again just as a version
    is named, takes it for as old as its last proof, and the earliest estimate
    wins. Cause: a proof leans to the safe side, by a twentieth of the wait.
    """

    async def calm(topic):
        await asyncio.sleep(after_s)
        topic.put("one")
        await asyncio.sleep(1.0)

    assert unread(calm)[-1] < 0.1


def test_what_comes_right_behind_another_change_has_not_lain():
    """Symptom: all entries demand a version a second before they must.

    Sequence: a configuration is read, and a version is named before the next
    question; the process takes it for as old as the question before the
    configuration. Cause: an answer with news proves no more than that.
    """

    async def calm(topic):
        topic.takes_s = 0.1
        await asyncio.sleep(3.0)
        topic.put("one")
        await asyncio.sleep(0.05)
        topic.put("two")
        await asyncio.sleep(1.0)

    found = unread(calm)
    assert len(found) == 3
    assert found[-1] < 0.2


def test_what_was_found_at_the_start_is_not_named_anew_by_reading_it_again():
    """An entry served the former version for seven seconds more.

    All had lost power, so nobody could tell when the version was named, and
    each demanded it as soon as it was bound. Then the store dropped its history
    and everything was read anew: the same version seemed to be named just now.
    """
    now = [100.0]
    known = declarations.Declarations(8.0, 3.0, lambda: now[0])
    known.record("m", 2, FIRST)
    (found,) = known.for_model("m")
    now[0] = 110.0
    assert known.record("m", 2, 2.0) is None
    assert known.for_model("m") == (found,)
    # A neighbour that did not start then may still tell.
    known.merge_ages("m", {2: 30.0}, AGENT)
    assert known.for_model("m")[0].declared_at == 80.0
    # What comes after the first reading was named since.
    known.record("m", 3, 0.5)
    assert known.for_model("m")[-1] == declarations.Declaration(3, 109.5)
