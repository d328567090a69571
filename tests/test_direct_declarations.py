"""Estimates of when a version was declared, and how they are exchanged."""

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


def new_declarations(now=100.0):
    return declarations.Declarations(8.0, 3.0, lambda: now)


def read(version, lag_s):
    return lambda known: known.record("m", version, lag_s)


def reported(version, age_s):
    return lambda known: known.merge_ages("m", {version: age_s}, AGENT)


@pytest.mark.parametrize(
    "messages",
    [
        [read(2, FIRST), reported(2, 4.0), reported(2, 3.9), read(2, 0.0)],
        [read(2, FIRST), read(3, FIRST), reported(2, 4.0), reported(3, 1.0)],
        [read(2, 0.5), reported(2, 4.0), reported(3, 1.0), read(3, 0.2)],
        [reported(2, 4.0), reported(3, 5.0), read(2, 0.0)],
    ],
)
def test_estimates_do_not_depend_on_the_order_of_messages(messages):
    """Guards against entries that assume different due times.

    Both get the same messages from several processes, some of them twice, in a
    different order. The last message counted, or each message had an effect.
    """
    results = set()
    for order in itertools.permutations(messages):
        known = new_declarations()
        for deliver in (*order, *order[::-1]):
            deliver(known)
        results.add(known.for_model("m"))
    assert len(results) == 1


def test_the_earliest_estimate_wins():
    known = new_declarations()
    known.record("m", 2, 0.0)
    (change,) = known.merge_ages("m", {2: 3.0}, AGENT)
    assert (change.is_new, change.is_significant, change.moved_s) == (
        False,
        True,
        -3.0,
    )
    assert known.merge_ages("m", {2: 2.0}, AGENT) == []
    assert known.for_model("m") == (declarations.Declaration(2, 97.0),)


def test_a_known_time_replaces_the_one_assumed_at_the_start():
    """Guards against requests that are refused for 5 s while servers are idle.

    An entry starts a second after a version was declared and assumes that it is
    due in three seconds, and another process knows better. The earlier time
    was kept although it was only assumed.
    """
    known = new_declarations()
    known.record("m", 2, FIRST)
    assert known.for_model("m")[0].declared_at < 96.0
    known.merge_ages("m", {2: 1.0}, AGENT)
    assert known.for_model("m") == (declarations.Declaration(2, 99.0),)


def test_an_assumed_time_is_not_reported():
    """Guards against one starting entry that makes all others refuse requests.

    It assumes that a version is due soon, as it got no age, and reports that to
    other processes. Assumed times were reported like known ones.
    """
    known = new_declarations()
    known.record("m", 2, FIRST)
    assert known.all_ages_s() == {}
    known.record("m", 3, 0.0)
    assert known.all_ages_s() == {"m": {3: 0.0}}


def test_the_newest_version_and_those_not_due_yet_are_reported():
    known = new_declarations()
    known.merge_ages("m", {2: 9.0, 3: 7.0, 4: 1.0}, AGENT)
    assert known.ages_s("m") == {3: 7.0, 4: 1.0}
    old = new_declarations()
    old.merge_ages("m", {2: 60.0}, AGENT)
    assert old.ages_s("m") == {2: 60.0}


@pytest.mark.parametrize("ages_s", [{0: 1.0}, {-1: 1.0}, {2: -1.0}])
def test_impossible_versions_and_ages_are_ignored(ages_s):
    known = new_declarations()
    assert known.merge_ages("m", ages_s, AGENT) == []
    assert known.newest() == {}


def test_a_version_of_unknown_age_is_due_when_deadlines_apply():
    now = [100.0]
    known = version_policy.VersionPolicy(8.0, lambda: now[0], settled_s=3.0)
    known.record_declared(types.DeclaredVersion("m", 2), lag_s=FIRST)
    assert known.required("m", 101.5) is None
    assert known.required("m", 103.0 - 0.5) == 2


@pytest.mark.parametrize("process_age_s", [0.1, 1.53, 5.0])
def test_deadlines_apply_as_long_after_a_slow_start_as_after_a_quick_one(
    process_age_s,
):
    """Guards against serving a former version for as long as a start took."""
    now = [100.0]
    known = version_policy.VersionPolicy(
        8.0, lambda: now[0], settled_s=3.0, process_age_s=process_age_s
    )
    known.record_declared(types.DeclaredVersion("m", 2), lag_s=FIRST)
    now[0] = max(100.0, 100.0 - process_age_s + 3.0)
    assert known.required("m", now[0]) == 2


# Reports of ages.


class Sent:
    """A transport that records what was sent."""

    def __init__(self):
        self.reports = []

    def sendto(self, data, addr):
        self.reports.append((addr, codec.decode(ttypes.BackendReport, data)))

    def ages(self):
        ages = [report.ages_ms for _, report in self.reports]
        self.reports.clear()
        return ages


def subscription(name):
    return codec.encode(ttypes.Subscribe(name, {}))


def test_an_entry_gets_ages_at_once_and_then_about_once_a_second():
    """Guards against an entry that counts a version's age from its own start.

    It subscribes to agents that know the age, even if their servers do not
    answer. Agents only reported the state of their servers, or the ages in each
    of ten reports a second.
    """
    ages_s = {2: 4.0}

    async def scenario():
        ages_report = reports.Report("", 0, 0, 1, "m", ages_s=ages_s)
        reporter = reports.Reporter(lambda declared: None, lambda: ages_report)
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
        after_change = sent.ages()
        await asyncio.sleep(2.5)
        reporter.datagram_received(subscription("e1"), ("e1",))
        return at_once, regular, after_change, sent.ages()

    at_once, regular, after_change, silent = clocks.run(scenario())
    assert at_once == after_change == silent == [{2: 4000}]
    assert len(regular) in (2, 3)


def test_ages_take_few_bytes():
    plain = ttypes.BackendReport(
        "i-123456789a", 3, 0, 16, "m", 1, True, False, 1.0, False, 9, 0.0
    )
    short = len(codec.encode(plain))
    plain.ages_ms = {2: 7_500}
    assert len(codec.encode(plain)) - short <= 8


# Before a request is sent.


def declare_version(site):
    """Declares version 2 while the server holds version 1."""
    engine = {"slots": 8, "step_ms": 7.0, "models": [{"name": "m"}]}
    service = {"name": "plain", "engine": engine}
    change = sites.config(2, services=[service])
    site.store.put("keyed.op", "config", change)
    site.list_version(site.servers[0], 1)
    version = {"model": "m", "version": 2}
    site.store.put("keyed.op", "version/m", version)


def test_a_send_is_abandoned_if_the_machine_was_suspended_before_it(
    monkeypatch,
):
    """Guards against a request on a former version long after the due time.

    An entry connects to a server on that version, the machine is suspended and
    resumes when the newer version is due, and the request is sent. The version
    was only checked before the connection was established.
    """

    async def scenario():
        async with sites.Site("i-1") as site:
            declare_version(site)
            await asyncio.sleep(4.0)
            connect = client.connect

            async def slowly(address, timeout_s):
                site.suspended_s = 4.0
                return await connect(address, timeout_s)

            monkeypatch.setattr(client, "connect", slowly)
            answer = await site.ask(headers=["X-Clementinegw-Model: m"])
            count = site.counters.value("direct.attempt.too_old")
            return answer.status, len(site.servers[0].calls), count

    assert sites.run(scenario()) == (503, 0, 1)


def test_a_request_that_waits_for_its_connection_is_reported_not_run(
    monkeypatch,
):
    """Guards against an unsent request being reported as perhaps run.

    A connection is not established before a version is due, and the request is
    withdrawn. A withdrawn request was always assumed to have been sent.
    """

    async def never(address, timeout_s):
        del address, timeout_s
        await asyncio.sleep(10.0)

    async def scenario():
        async with sites.Site("i-1") as site:
            declare_version(site)
            await asyncio.sleep(7.0)
            monkeypatch.setattr(client, "connect", never)
            answer = await site.ask(headers=["X-Clementinegw-Model: m"])
            return answer.status, "retry-after" in answer.headers

    assert sites.run(scenario()) == (503, True)


# How long records were unread.


class Topic:
    """A topic that answers a long poll on new records or after the wait."""

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
        new_records = tuple(self.records[offset:])
        await asyncio.sleep(self.takes_s)
        return topic_watch.Batch(new_records, offset + len(new_records))

    def put(self, key):
        self.records.append(topic_watch.Record(key, key))

    def _check(self):
        if self.down:
            raise exceptions.PlatformUnavailable("down")


def observed_lags(action):
    async def scenario():
        topic, lags = Topic(), []
        topic.put("first")
        watcher = topic_watch.TopicWatcher(
            "t",
            topic,
            topic_watch.PollTiming(6.0, 0.0),
            lambda batch, is_snapshot: lags.append(watcher.lag_s),
            logs.Log(),
            counters_lib.Counters(),
            asyncio.get_running_loop().time,
        )
        await watcher.start()
        await asyncio.sleep(0.5)
        await action(topic)
        await watcher.stop()
        return lags

    return clocks.run(scenario())


def test_records_found_at_the_start_may_be_of_any_age():
    async def nothing(topic):
        del topic

    assert observed_lags(nothing) == [FIRST]


def test_a_slow_answer_after_a_failure_did_not_wait_for_records():
    """Guards against an entry that dates an old version as new after an outage.

    The first answer after the outage takes 0.1 s, as the store is slow. An
    answer that took long was assumed to have waited for new records.
    """

    async def outage(topic):
        topic.down = True
        await asyncio.sleep(2.0)
        topic.put("named")
        topic.takes_s = 0.1
        topic.down = False
        await asyncio.sleep(2.0)

    assert observed_lags(outage)[-1] > 1.9


@pytest.mark.parametrize("after_s", [3.0, 5.49, 5.52])
def test_a_record_added_between_two_polls_was_not_unread(after_s):
    """Guards against entries that require a version 0.3 s too early.

    One process of many ends a poll and sends the next just as a version is
    declared. It dated the version back to its last proof of having all records,
    and the earliest estimate wins. Proofs are dated conservatively, by a
    twentieth of the wait.
    """

    async def add_records(topic):
        await asyncio.sleep(after_s)
        topic.put("one")
        await asyncio.sleep(1.0)

    assert observed_lags(add_records)[-1] < 0.1


def test_a_record_right_after_another_change_was_not_unread():
    """Guards against entries that require a version a second too early.

    A configuration is read, and a version is declared before the next poll. The
    process dated it back to the poll before the configuration, as an answer
    with records proves only that the process had all records at that poll.
    """

    async def add_records(topic):
        topic.takes_s = 0.1
        await asyncio.sleep(3.0)
        topic.put("one")
        await asyncio.sleep(0.05)
        topic.put("two")
        await asyncio.sleep(1.0)

    lags = observed_lags(add_records)
    assert len(lags) == 3
    assert lags[-1] < 0.2


def test_a_version_found_at_the_start_is_not_dated_anew_when_read_again():
    """Guards against an entry that serves a former version for 7 s too long.

    After a power failure of all processes none knew the time of a declaration,
    and each required the version as soon as deadlines applied to it. Then the
    store dropped its history and everything was read again, so that the same
    version seemed to be declared just now.
    """
    now = [100.0]
    known = declarations.Declarations(8.0, 3.0, lambda: now[0])
    known.record("m", 2, FIRST)
    (declaration,) = known.for_model("m")
    now[0] = 110.0
    assert known.record("m", 2, 2.0) is None
    assert known.for_model("m") == (declaration,)
    # A process that did not restart may still know the age.
    known.merge_ages("m", {2: 30.0}, AGENT)
    assert known.for_model("m")[0].declared_at == 80.0
    # A version that appears after the first reading was declared since.
    known.record("m", 3, 0.5)
    assert known.for_model("m")[-1] == declarations.Declaration(3, 109.5)
