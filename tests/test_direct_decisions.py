"""Tests decisions of the direct path that need no sockets and no clock."""

import math
import random

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import budget
from clementinegw.direct import catalog
from clementinegw.direct import fleet
from clementinegw.direct import plan
from clementinegw.direct import reports
from clementinegw.direct import sse
from clementinegw.direct import swap_schedule
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.telemetry import logs

TERMS = plan.RolloutTiming(fetch_s=5.0, swap_s=1.6, due_s=8.0)
FIRST = plan.Declaration(2, 0.0)


def route(prefix, name="r", **fields):
    values = {
        "host": "h",
        "repeat_policy": types.RepeatPolicy.SAFE,
        "targets": (types.Target("plain", 1.0),),
        "timeout_s": 6.0,
        "objective_s": 0.4,
        "priority": 0,
        "max_attempts": 2,
    }
    return types.Route(name=name, prefix=prefix, **{**values, **fields})


def server(name, **fields):
    values = {
        "service": "engine",
        "address": shared_types.Address("127.0.0.1", 9),
        "failure_domain": "d1",
        "slots": 16,
    }
    return types.Server(server_id=name, **{**values, **fields})


def new_fleet():
    return fleet.Fleet(logs.Log(), lambda service: 64, random.Random(1))


def batch(*records):
    decoded = tuple(topic_watch.Record(key, value) for key, value in records)
    return topic_watch.Batch(decoded, len(decoded))


# Choice of the version to transfer.


def test_older_version_is_completed_if_the_newer_would_leave_a_gap():
    """Guards against two seconds in which no server may start any request.

    Version 2 was declared, and version 3 four seconds later. Every agent
    dropped its part of 2 for 3, so that nobody had 2 when it was due: only the
    newest version was ever transferred.
    """
    both = [FIRST, plan.Declaration(3, 4.0)]
    current = plan.Progress(2, missing=0.25)
    assert plan.choose(both, current, TERMS, now=4.0) == 2


def test_older_version_that_is_slightly_late_is_completed():
    """Guards against 4.6 s in which no server may start any request.

    Version 3 was declared four seconds after version 2, of which a little more
    than half was transferred. If completed, 2 serves 0.1 s after it is due and
    3 is 2.5 s late; if dropped, nothing serves for 3.2 s. A version that was
    late by any amount was considered useless.
    """
    slow = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=8.0)
    both = [FIRST, plan.Declaration(3, 4.0)]
    current = plan.Progress(2, missing=0.49)
    assert plan.choose(both, current, slow, now=4.1) == 2


def test_older_version_is_dropped_if_the_newer_would_wait_longer():
    slow = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=8.0)
    both = [FIRST, plan.Declaration(3, 2.0)]
    current = plan.Progress(2, missing=0.68)
    assert plan.choose(both, current, slow, now=2.1) == 3


@pytest.mark.parametrize("left", [0.2, 0.36, 0.5, 0.65])
def test_agents_with_slightly_different_progress_decide_alike(left):
    """Guards against a version that takes 7.7 s to reach half of the servers.

    Version 3 was declared during the transfer of 2, and each agent decided by
    its own progress. Half of them dropped 2, and with them half of the sources
    of its chunks, since they were a few chunks apart near the point of
    decision.
    """
    slow = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=8.0)
    both = [FIRST, plan.Declaration(3, 4.0)]
    assert plan.choose(both, plan.Progress(2, left), slow, now=4.1) == 2


def test_older_version_is_not_resumed_if_the_newest_is_due_by_then():
    """Guards against a gap of ten seconds after the newest version was due.

    The origin was unreachable for six seconds. The newest version was set aside
    and the previous one was resumed until complete, though the newest was due
    by then: the remaining use of an older version was not considered.
    """
    both = [FIRST, plan.Declaration(3, 2.0)]
    current = plan.Progress(2, missing=0.1)
    assert plan.choose(both, current, TERMS, 8.2, {3}) == 3
    assert plan.choose(both, current, TERMS, 7.0, {3}) == 2


def test_newer_version_in_time_for_both_replaces_the_older():
    both = [FIRST, plan.Declaration(3, 0.5)]
    current = plan.Progress(2, missing=0.95)
    assert plan.choose(both, current, TERMS, now=0.5) == 3


def test_newest_version_follows_the_completed_older_one():
    both = [FIRST, plan.Declaration(3, 4.0)]
    assert plan.choose(both, plan.Progress(2, 0.0), TERMS, now=5.2) == 3


def test_version_that_is_too_late_in_any_case_is_dropped():
    both = [FIRST, plan.Declaration(3, 7.5)]
    current = plan.Progress(2, missing=0.9)
    assert plan.choose(both, current, TERMS, now=7.5) == 3


def test_previous_version_is_resumed_if_the_origin_is_unreachable():
    """Guards against serving nothing until an unreachable origin is back.

    Version 3 was declared when half of 2 was transferred. All agents started 3,
    and its origin became unreachable. The chunks that agents had of 2 were
    given up.
    """
    both = [FIRST, plan.Declaration(3, 2.0)]
    current = plan.Progress(3, missing=0.9)
    assert plan.choose(both, current, TERMS, 3.5, {3}) == 2
    again = plan.Progress(2, missing=0.4)
    assert plan.choose(both, again, TERMS, 3.6, {3}) == 2
    assert plan.choose(both, again, TERMS, 5.0, {2, 3}) == 3


def test_version_with_more_time_to_spare_goes_first():
    """Guards against 1.8 s in which no server may start any request.

    Version 3 was declared when three quarters of 2 were transferred. At the
    links' usual speed it would arrive 1.7 s before 2 is due; it arrived 1.8 s
    after. The older version was dropped whenever no gap was expected either
    way.
    """
    usual = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=13.4)
    both = [FIRST, plan.Declaration(3, 4.0)]
    assert plan.choose(both, plan.Progress(2, 0.3), usual, now=4.5) == 2


def test_older_version_with_little_progress_is_dropped():
    """Both may be in time, but the newest alone has more time to spare."""
    usual = plan.RolloutTiming(fetch_s=4.9, swap_s=0.9, due_s=9.7)
    both = [FIRST, plan.Declaration(3, 2.0)]
    assert plan.choose(both, plan.Progress(2, 0.6), usual, now=2.1) == 3


def test_unobtainable_version_is_not_resumed_repeatedly():
    """Guards against agents that change versions ten times per second for 4 s.

    Versions 2 and 3 became known together, and a failure domain was cut off
    with almost nothing of either. Version 3 stalled. When dropped, version 2
    counted as complete and was resumed; when resumed, it could not be in time
    and was dropped. The progress of a version was forgotten when it was
    dropped.
    """
    usual = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=13.4)
    both = [plan.Declaration(2, 0.0), plan.Declaration(3, 0.1)]
    remaining = {2: 0.95, 3: 1.0}
    version, changes = 2, 0
    for step in range(40):
        current = plan.Progress(version, remaining[version])
        abandoned_missing = {
            v: left for v, left in remaining.items() if v != version
        }
        now = 7.0 + step / 10
        chosen = plan.choose(both, current, usual, now, {3}, abandoned_missing)
        changes += chosen != version
        version = chosen
    assert changes <= 1


def test_chunks_of_a_version_of_no_use_do_not_go_first():
    """Guards against agents that have nothing of a version when it is due.

    Versions 2 and 3 were declared while the platform was unavailable and became
    known together. Some agents learned of 2 slightly earlier and transferred it
    for the time of a whole version. Last chunks went first, though the older
    version was due at the same time as the newest.
    """
    usual = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=13.4)
    first = plan.Declaration(2, 0.0)
    together, later = plan.Declaration(3, 0.1), plan.Declaration(3, 2.0)
    assert not plan.should_finish_spreading(
        first, together, 4.3, usual, now=1.3
    )
    assert plan.should_finish_spreading(first, later, 0.5, usual, now=3.0)


@pytest.mark.parametrize("current", [None, plan.Progress(1, 0.0)])
def test_only_declared_version_is_chosen(current):
    assert plan.choose([FIRST], current, TERMS, now=1.0) == 2


def test_nothing_is_chosen_before_a_declaration():
    assert plan.choose([], None, TERMS, now=1.0) == 0


# Turns of agents.


SWAP = swap_schedule.SwapPolicy(
    groups=3, step_s=0.8, drain_s=1.0, min_drain_s=0.3
)


def turns_of(names, complete_at, latest_at):
    return [
        swap_schedule.swap_times(name, names, 7, complete_at, latest_at, SWAP)
        for name in names
    ]


def test_all_agents_compute_the_same_turns_in_even_groups():
    names = [f"i-{number}" for number in range(10)]
    turns = turns_of(names, 5.0, 9.0)
    loads = [round(turn.load_at, 6) for turn in turns]
    assert sorted(loads).count(5.0) in (3, 4)
    assert set(loads) == {5.0, 5.8, 6.6}
    assert turns_of(names[::-1], 5.0, 9.0)[::-1] == turns
    assert all(turn.load_at - turn.yield_at == 1.0 for turn in turns)


def test_groups_overlap_if_chunks_arrive_late():
    """Guards against a second without servers before a version is due.

    A slow link delayed the last chunks until 1.7 s before. All groups stopped
    accepting requests at the same time, each for a whole second.
    """
    names = [f"i-{number}" for number in range(9)]
    turns = turns_of(names, 6.3, 7.4)
    for moment in (6.2, 6.5, 7.0, 7.3):
        away = [t for t in turns if t.yield_at <= moment < t.load_at + 0.3]
        assert len(away) <= 6
    assert max(turn.load_at for turn in turns) == 7.4


def test_all_groups_load_at_once_if_the_time_is_over():
    turns = turns_of(["a", "b", "c"], 9.0, 7.4)
    assert {turn.load_at for turn in turns} == {7.4}


def test_unlisted_agent_has_a_turn():
    assert swap_schedule.swap_times("me", [], 1, 5.0, 9.0, SWAP).load_at == 5.0


# Versions in force.


def test_version_is_demanded_shortly_before_it_is_due():
    now = [100.0]
    known = version_policy.VersionPolicy(8.0, lambda: now[0])
    assert known.record_declared(types.DeclaredVersion("m", 2))
    assert known.preferred("m", 107.3) == 0
    assert known.preferred("m", 107.6) == 2
    assert known.required("m", 107.6) is None
    assert known.required("m", 107.8) == 2


def test_request_queued_at_a_server_does_not_start_on_an_old_version():
    """Guards against requests that start on an old version after due time.

    It was sent to a server with the old version a second before the due time,
    waited there for 1.1 s and started, as it was not recalled.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2))
    assert 8.0 - 0.2 < known.withdraw_at("m", held=1) < 8.0 - 0.1
    assert known.withdraw_at("m", held=2) == math.inf
    assert known.withdraw_at("other", held=1) == math.inf


def test_due_time_counts_from_the_declaration_not_from_its_receipt():
    """Guards against an entry that sends to an old version after the due time.

    Its connection to the platform was silent, so it read the declaration a
    second after the others, and counted the time from then.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2), lag_s=1.0)
    assert known.required("m", 8.0 - 1.2) == 2


def test_version_has_nearly_its_whole_time_after_a_long_outage():
    """Guards against all servers loading at once, with none left to serve.

    A version was declared while the platform was down for eight seconds. Every
    process read the declaration afterwards and considered it overdue.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2), lag_s=8.0)
    assert known.required("m", 6.0) is None


def test_interrupted_stream_resumes_where_no_load_is_imminent():
    """Guards against streams that end incomplete while versions are swapped.

    A load interrupted a stream, which was resumed at a server that still had to
    load and was interrupted again. The next server was chosen as for a new
    request, and its attempts were exhausted.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2))
    assert known.stable("m", 5.0) == 0
    assert known.stable("m", 6.6) == 2
    assert known.required("m", 6.6) is None


def test_repeated_or_older_declaration_changes_nothing():
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    assert known.record_declared(types.DeclaredVersion("m", 3))
    assert not known.record_declared(types.DeclaredVersion("m", 3))
    assert not known.record_declared(types.DeclaredVersion("m", 2))
    assert known.newest_declared("m") == 3


def test_server_with_a_newer_version_is_accepted():
    """Guards against 421 answers of servers that load a version early.

    Version 2 was due, 3 was being transferred, and one server had 3 already. A
    request asked it for exactly 2: the demanded version was sent regardless of
    the server's version.
    """
    now = [0.0]
    known = version_policy.VersionPolicy(8.0, lambda: now[0])
    known.record_declared(types.DeclaredVersion("m", 2))
    now[0] = 4.0
    known.record_declared(types.DeclaredVersion("m", 3))
    assert known.expected("m", held=3, now=8.0) == 3
    assert known.expected("m", held=2, now=8.0) == 2
    assert known.expected("m", held=1, now=8.0) == 2
    assert known.expected("m", held=1, now=12.0) == 3


# The list of servers.


def test_list_that_shrank_during_an_outage_is_not_applied_at_once():
    """Guards against having no server left after an outage of the platform.

    Listings expired during the outage. At its end all servers were reported
    gone, and were listed again within two seconds. An expired listing says
    nothing about the server.
    """
    servers = new_fleet()
    servers.apply(batch(("a", server("a")), ("b", server("b"))), True, 60.0)
    servers.apply(batch(("a", None), ("b", None)), False, 0.3)
    assert len(servers.of("engine")) == 2
    servers.apply(batch(("a", server("a"))), False, 1.5)
    servers.drop_missing(1.9)
    assert len(servers.of("engine")) == 2
    servers.drop_missing(3.0)
    assert [b.server.server_id for b in servers.of("engine")] == ["a"]


def test_server_removed_without_an_outage_is_dropped():
    servers = new_fleet()
    servers.apply(batch(("a", server("a"))), True, 60.0)
    servers.apply(batch(("a", None)), False, 60.0)
    assert servers.of("engine") == []


def test_complete_batch_drops_servers_missing_from_it():
    servers = new_fleet()
    servers.apply(batch(("a", server("a")), ("b", server("b"))), True, 60.0)
    servers.apply(batch(("b", server("b"))), True, 60.0)
    assert [b.server.server_id for b in servers.of("engine")] == ["b"]


def test_records_of_one_batch_are_applied_in_order():
    servers = new_fleet()
    servers.apply(batch(("a", server("a")), ("a", None)), False, 60.0)
    assert servers.of("engine") == []
    again = batch(("a", None), ("a", server("a", sequence=2)))
    servers.apply(again, False, 60.0)
    assert len(servers.of("engine")) == 1
    unreadable = batch(("a", types.Unreadable("x")), ("b", server("b")))
    servers.apply(unreadable, False, 60.0)
    assert [b.server.server_id for b in servers.of("engine")] == ["b"]


def test_listings_that_expire_one_by_one_after_an_outage_are_kept():
    servers = new_fleet()
    names = [f"i-{number}" for number in range(10)]
    listed = batch(*[(name, server(name)) for name in names])
    servers.apply(listed, True, 60.0)
    for name in names:
        servers.apply(batch((name, None)), False, 0.3)
    assert len(servers.of("engine")) == 6
    servers.drop_missing(3.0)
    assert servers.of("engine") == []


def test_records_of_one_start_are_ordered_and_leaving_is_final():
    backends = new_fleet()
    listed = (
        (server("a", started_ms=5, sequence=3), False),
        (server("a", started_ms=5, sequence=7, leaving=True), True),
        (server("a", started_ms=5, sequence=6), True),
        (server("a", started_ms=5, sequence=8), True),
        (server("a", started_ms=4, sequence=90), True),
        (server("a", started_ms=6, sequence=1), False),
    )
    for record, leaving in listed:
        backends.apply(batch(("a", record)), False, 60.0)
        assert backends.find("a").server.leaving == leaving
    assert backends.find("a").server.started_ms == 6


def report(**fields):
    values = {"server_id": "a", "running": 8, "waiting": 0, "slots": 16}
    return reports.Report(**{**values, **fields})


def test_free_slots_are_divided_between_the_entries():
    """Guards against a free slot that gets requests of all entries.

    All slots of all servers were taken, and requests waited in eight entries.
    One request ended, and every entry saw it in the same report and used all
    free slots.
    """
    taken = 0
    for seed in range(800):
        backends = fleet.Fleet(logs.Log(), lambda s: 64, random.Random(seed))
        backends.apply(batch(("a", server("a"))), True, 60.0)
        backend = backends.find("a")
        backend.apply_report(report(running=15, entries=8), 1.0)
        taken += backend.has_share(1.0)
    # One slot among eight entries.
    assert 0.075 < taken / 800 < 0.175


def test_server_that_has_just_loaded_is_not_overloaded():
    """Guards against requests that wait 0.6 s at a server that has just loaded.

    The server reported all of its slots free, and every entry sent requests
    until the next report. Slots were divided between entries, but reading the
    prompts takes longer than waiting for a slot.
    """
    taken = 0
    for seed in range(400):
        backends = fleet.Fleet(logs.Log(), lambda s: 64, random.Random(seed))
        backends.apply(batch(("a", server("a"))), True, 60.0)
        backend = backends.find("a")
        for now in (1.0, 1.1):
            empty = report(running=0, entries=8)
            backend.apply_report(empty, now, reading_s=0.03)
        while backend.has_share(1.1):
            backend.begin_request()
            taken += 1
    # All eight entries together: 3.3 prompts are read in 0.1 s.
    assert 2.2 < 8 * taken / 400 < 4.7


def test_server_whose_agent_is_silent_is_still_used():
    backends = new_fleet()
    backends.apply(batch(("a", server("a"))), True, 60.0)
    backend = backends.find("a")
    backend.apply_report(report(running=16, entries=8), 1.0)
    assert not backend.has_share(1.1)
    assert backend.has_share(3.0)


def test_server_without_reports_gets_one_prompt_at_a_time():
    """Guards against overloaded servers after a power failure.

    Servers were back before their agents reported, and every entry had many
    waiting requests. Without reports nothing limited an entry's share.
    """
    backends = new_fleet()
    backends.apply(batch(("a", server("a"))), True, 60.0)
    backend = backends.find("a")
    assert backend.has_share(1.0)
    backend.unread_tokens += 700
    assert not backend.has_share(1.0)
    backend.unread_tokens -= 700
    assert backend.has_share(1.0)


def test_server_without_layers_serves_nothing_despite_its_record():
    backends = new_fleet()
    held = (types.HeldWeights("m", 1, 16),)
    backends.apply(batch(("a", server("a", held=held))), True, 60.0)
    backend = backends.find("a")
    assert backend.serves(1, 16)
    backend.apply_report(report(version=0, whole=False), 1.0)
    assert not backend.serves(1, 16)


# The retry budget.


def retry(one, now, customer=""):
    """Returns whether a retry is granted; a server answers it at once."""
    charge = one.try_acquire(now, customer)
    if charge is None:
        return False
    charge.confirm()
    return True


def test_all_entries_together_keep_the_budget():
    """Guards against more retries of a failing service than allowed.

    Every attempt of eight entries failed, and each entry retried as often as
    its budget allowed. Each one used the whole slack.
    """
    limits = budget.Limits(ratio=0.2, slack=104.0, window_s=10.0)
    repeats, requests = 0, 0
    for _ in range(8):
        one = budget.RetryBudget(limits)
        one.entries = 8
        for number in range(100):
            now = number * 0.1
            one.record_request(now)
            requests += 1
            while retry(one, now):
                repeats += 1
    assert repeats <= 0.2 * requests + 104.0
    assert repeats > 0.15 * requests


def test_used_retries_are_earned_again_within_the_share_of_the_entry():
    """Guards against a budget that stays used up, or is renewed at once."""
    one = budget.RetryBudget(budget.Limits(0.0, 100.0, 10.0))
    one.entries = 10
    one.allows(0.0)
    granted = [n / 10 for n in range(400, 900) if retry(one, n / 10)]
    most = max(
        sum(begin <= at < begin + 10.0 for at in granted) for begin in granted
    )
    assert most <= 10
    assert granted[0] == 40.0
    assert any(at > 80.0 for at in granted)


def test_customer_whose_requests_fail_leaves_others_a_part_of_the_budget():
    """Guards others against one customer that uses up all retries.

    Every attempt for one customer failed wherever it ran. After a server broke
    down, no request of the others could be sent to another one.
    """
    one = budget.RetryBudget(budget.Limits(0.2, 0.0, 10.0))
    for number in range(100):
        one.record_request(number * 0.05, "failing" if number % 4 else "b")
    one.record_request(5.0, "c")
    for _ in range(100):
        retry(one, 5.0, "failing")
    assert retry(one, 5.0, "b")
    assert retry(one, 5.0, "c")


def test_only_customer_may_use_the_whole_budget():
    one = budget.RetryBudget(budget.Limits(0.2, 0.0, 10.0))
    for _ in range(100):
        one.record_request(0.0, "a")
    assert sum(retry(one, 0.0, "a") for _ in range(100)) == 7


def test_refund_returns_the_retry_of_its_customer():
    one = budget.RetryBudget(budget.Limits(0.2, 0.0, 10.0))
    for _ in range(50):
        one.record_request(0.0, "a")
        one.record_request(0.0, "b")
    charges = [one.try_acquire(0.0, "a") for _ in range(20)]
    assert sum(charge is not None for charge in charges) == 3
    assert retry(one, 0.0, "b")
    charges[0].refund()
    assert retry(one, 0.0, "a")
    assert not retry(one, 0.0, "a")


def test_abandoned_retry_takes_up_room_for_some_seconds():
    """A retry that was given up arrived in a window of others."""
    one = budget.RetryBudget(budget.Limits(0.0, 30.0, 10.0))
    one.entries = 1
    one.allows(0.0)
    before = one.state(30.0)["saved"]
    one.try_acquire(30.0).abandon(31.0)
    assert [
        (one.state(now)["unanswered"], one.state(now)["saved"])
        for now in (34.9, 60.0)
    ] == [(1, before - 1.0), (0, before)]


# Routes.


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/b/c", "long"),
        ("/a/x", "short"),
        ("/a/bb/", "short"),
        ("/b/", None),
        ("/a", None),
        ("", None),
    ],
)
def test_longest_prefix_matches(path, expected):
    routes = (route("/a/", "short"), route("/a/b/", "long"))
    known = catalog.Catalog(types.Configuration(1, routes, {}, {}))
    match = known.route("h", path)
    assert (match.name if match else None) == expected
    assert known.route("other", path) is None


# Events.


def test_events_are_complete_for_any_split_of_the_bytes():
    stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
    for cut in range(len(stream) + 1):
        splitter = sse.Splitter()
        events = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert b"".join(e.data for e in events) + splitter.remainder == stream
        assert [e.event_id for e in events][:2] == ["1", "2"]


def test_incomplete_event_is_held_back():
    splitter = sse.Splitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.remainder == b"id: 1\ndata: a\n"
