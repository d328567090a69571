"""Decisions of the direct path that need no sockets and no clock."""

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
    found = tuple(topic_watch.Record(key, value) for key, value in records)
    return topic_watch.Batch(found, len(found))


# Which version to bring.


def test_a_version_that_a_newer_one_would_leave_a_gap_behind_is_ended():
    """Symptom: for two seconds no server may begin any request.

    Sequence: version 2 is named and four seconds later version 3. Every agent
    drops what it has of 2 and begins 3. Then 2 is due, and nobody has it.
    Cause: only the newest version was ever brought.
    """
    both = [FIRST, plan.Declaration(3, 4.0)]
    current = plan.Progress(2, missing=0.25)
    assert plan.choose(both, current, TERMS, now=4.0) == 2


def test_an_older_version_that_comes_a_moment_late_is_ended_all_the_same():
    """Symptom: for 4.6 s no server may begin any request.

    Sequence: version 2 is named, and four seconds later, when a little more
    than half of it is here, version 3. Ended, 2 would serve 0.1 s after it is
    due and 3 would be 2.5 s late; dropped, nothing serves for 3.2 s. Cause:
    what came late by however little was held to be worth nothing.
    """
    slow = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=8.0)
    both = [FIRST, plan.Declaration(3, 4.0)]
    current = plan.Progress(2, missing=0.49)
    assert plan.choose(both, current, slow, now=4.1) == 2


def test_an_older_version_gives_way_where_the_newer_one_would_wait_longer():
    slow = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=8.0)
    both = [FIRST, plan.Declaration(3, 2.0)]
    current = plan.Progress(2, missing=0.68)
    assert plan.choose(both, current, slow, now=2.1) == 3


@pytest.mark.parametrize("left", [0.2, 0.36, 0.5, 0.65])
def test_agents_a_few_pieces_apart_decide_alike(left):
    """Symptom: a version takes 7.7 s to half of the servers.

    Sequence: version 3 is named while 2 is on its way; each agent decides by
    the pieces that it has itself. Half of them drop 2, and with them go half of
    those who hold its pieces. Cause: they are within a few pieces of the point
    at which the decision changes.
    """
    slow = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=8.0)
    both = [FIRST, plan.Declaration(3, 4.0)]
    assert plan.choose(both, plan.Progress(2, left), slow, now=4.1) == 2


def test_a_version_that_comes_when_the_next_one_is_due_is_not_taken_up_again():
    """Symptom: nothing serves until ten seconds after the newest one was due.

    Sequence: the origin is away for six seconds; the newest version is set
    aside, and the one before taken up until it is whole, though the newest is
    due by then. Cause: it was not asked what an older one is still good for.
    """
    both = [FIRST, plan.Declaration(3, 2.0)]
    current = plan.Progress(2, missing=0.1)
    assert plan.choose(both, current, TERMS, 8.2, {3}) == 3
    assert plan.choose(both, current, TERMS, 7.0, {3}) == 2


def test_a_newer_version_that_comes_in_time_for_both_is_brought_alone():
    both = [FIRST, plan.Declaration(3, 0.5)]
    current = plan.Progress(2, missing=0.95)
    assert plan.choose(both, current, TERMS, now=0.5) == 3


def test_the_newest_follows_once_the_older_one_is_here():
    both = [FIRST, plan.Declaration(3, 4.0)]
    assert plan.choose(both, plan.Progress(2, 0.0), TERMS, now=5.2) == 3


def test_a_version_that_comes_too_late_in_any_case_gives_way():
    both = [FIRST, plan.Declaration(3, 7.5)]
    current = plan.Progress(2, missing=0.9)
    assert plan.choose(both, current, TERMS, now=7.5) == 3


def test_a_version_whose_origin_is_cut_off_gives_way_to_the_one_before():
    """Symptom: nothing serves until an origin that was cut off is back.

    Sequence: version 2 is half here when 3 is named; all agents begin 3, and
    the origin is cut off. Cause: what lay with the agents was given up.
    """
    both = [FIRST, plan.Declaration(3, 2.0)]
    current = plan.Progress(3, missing=0.9)
    assert plan.choose(both, current, TERMS, 3.5, {3}) == 2
    again = plan.Progress(2, missing=0.4)
    assert plan.choose(both, again, TERMS, 3.6, {3}) == 2
    assert plan.choose(both, again, TERMS, 5.0, {2, 3}) == 3


def test_of_two_that_could_be_in_time_the_one_with_time_to_spare_goes_first():
    """Symptom: no server may begin anything for 1.8 s.

    Sequence: version 3 is named when three quarters of version 2 are here. By
    the links' usual time it comes 1.7 s before version 2 is due; it comes 1.8 s
    after. Cause: where no gap was expected either way, the older was dropped.
    """
    usual = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=13.4)
    both = [FIRST, plan.Declaration(3, 4.0)]
    assert plan.choose(both, plan.Progress(2, 0.3), usual, now=4.5) == 2


def test_an_older_version_with_little_done_gives_way_to_the_newest():
    """Both could come in time, but the newest alone has more to spare."""
    usual = plan.RolloutTiming(fetch_s=4.9, swap_s=0.9, due_s=9.7)
    both = [FIRST, plan.Declaration(3, 2.0)]
    assert plan.choose(both, plan.Progress(2, 0.6), usual, now=2.1) == 3


def test_a_version_that_cannot_come_is_not_taken_up_again_and_again():
    """Symptom: agents change versions ten times a second, for four seconds.

    Sequence: versions 2 and 3 became known together; a failure domain is cut
    off with next to nothing of either, and 3 stalls. Left, version 2 counted as
    whole and was taken up; taken up, it could not come in time, and was left.
    Cause: what was missing of a version was forgotten as it was left.
    """
    usual = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=13.4)
    both = [plan.Declaration(2, 0.0), plan.Declaration(3, 0.1)]
    lefts = {2: 0.95, 3: 1.0}
    version, changes = 2, 0
    for look in range(40):
        current = plan.Progress(version, lefts[version])
        behind = {v: left for v, left in lefts.items() if v != version}
        now = 7.0 + look / 10
        chosen = plan.choose(both, current, usual, now, {3}, behind)
        changes += chosen != version
        version = chosen
    assert changes <= 1


def test_pieces_of_a_version_that_serves_nobody_hold_up_no_other():
    """Symptom: half of the agents have nothing of a version when it is due.

    Sequence: versions 2 and 3 are named while the platform is away, and known
    together; some agents learn of 2 a moment before, and bring it until the
    time of a whole version is over. Cause: last pieces went first, though the
    older version is due when the newest one is.
    """
    usual = plan.RolloutTiming(fetch_s=6.3, swap_s=0.9, due_s=13.4)
    first = plan.Declaration(2, 0.0)
    together, later = plan.Declaration(3, 0.1), plan.Declaration(3, 2.0)
    assert not plan.should_finish_spreading(
        first, together, 4.3, usual, now=1.3
    )
    assert plan.should_finish_spreading(first, later, 0.5, usual, now=3.0)


@pytest.mark.parametrize("current", [None, plan.Progress(1, 0.0)])
def test_the_only_declared_version_is_brought(current):
    assert plan.choose([FIRST], current, TERMS, now=1.0) == 2


def test_nothing_is_brought_before_a_declaration():
    assert plan.choose([], None, TERMS, now=1.0) == 0


# Turns.


SWAP = swap_schedule.SwapPolicy(
    groups=3, step_s=0.8, drain_s=1.0, min_drain_s=0.3
)


def turns_of(names, here_at, last_at):
    return [
        swap_schedule.swap_times(name, names, 7, here_at, last_at, SWAP)
        for name in names
    ]


def test_every_agent_computes_the_same_turns_and_groups_are_even():
    names = [f"i-{number}" for number in range(10)]
    found = turns_of(names, 5.0, 9.0)
    loads = [round(turn.load_at, 6) for turn in found]
    assert sorted(loads).count(5.0) in (3, 4)
    assert set(loads) == {5.0, 5.8, 6.6}
    assert turns_of(names[::-1], 5.0, 9.0)[::-1] == found
    assert all(turn.load_at - turn.yield_at == 1.0 for turn in found)


def test_groups_move_together_where_pieces_come_late():
    """Symptom: no server takes requests for a second before a version is due.

    Sequence: a squeezed link holds the last pieces back until 1.7 s before.
    Cause: all groups yielded at once, each for a whole second.
    """
    names = [f"i-{number}" for number in range(9)]
    found = turns_of(names, 6.3, 7.4)
    for moment in (6.2, 6.5, 7.0, 7.3):
        away = [t for t in found if t.yield_at <= moment < t.load_at + 0.3]
        assert len(away) <= 6
    assert max(turn.load_at for turn in found) == 7.4


def test_all_load_at_once_where_the_time_is_over():
    found = turns_of(["a", "b", "c"], 9.0, 7.4)
    assert {turn.load_at for turn in found} == {7.4}


def test_an_agent_that_is_not_listed_yet_has_a_turn():
    assert swap_schedule.swap_times("me", [], 1, 5.0, 9.0, SWAP).load_at == 5.0


# Versions.


def test_a_version_is_demanded_shortly_before_it_is_due():
    now = [100.0]
    known = version_policy.VersionPolicy(8.0, lambda: now[0])
    assert known.record_declared(types.DeclaredVersion("m", 2))
    assert known.preferred("m", 107.3) == 0
    assert known.preferred("m", 107.6) == 2
    assert known.required("m", 107.6) is None
    assert known.required("m", 107.8) == 2


def test_a_request_that_waits_at_a_server_does_not_begin_on_an_old_version():
    """Symptom: a request begins on the former version after the due time.

    Sequence: it is sent a second before that time to a server on the former
    version, waits there for 1.1 s and begins. Cause: nobody took it back.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2))
    assert 8.0 - 0.2 < known.withdraw_at("m", held=1) < 8.0 - 0.1
    assert known.withdraw_at("m", held=2) == math.inf
    assert known.withdraw_at("other", held=1) == math.inf


def test_a_declaration_that_lay_unread_is_due_that_much_earlier():
    """Symptom: an entry sends to an old version after the due time.

    Sequence: its connection to the platform goes silent, and it reads of the
    version a second after the others. Cause: the time counted from there.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2), unread_s=1.0)
    assert known.required("m", 8.0 - 1.2) == 2


def test_after_a_long_outage_a_version_has_nearly_its_whole_time():
    """Symptom: all servers load at once, and none is left to serve.

    Sequence: a version is named while the platform is down for eight seconds;
    every process reads of it afterwards, and holds it to be overdue.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2), unread_s=8.0)
    assert known.required("m", 6.0) is None


def test_a_stream_that_was_broken_off_goes_where_no_load_is_near():
    """Symptom: streams end broken while two versions swap.

    Sequence: a load breaks a stream off; it goes on at a server that has still
    to load, and is broken off again. Cause: the next server was chosen as for
    a new request, and its attempts were used up.
    """
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    known.record_declared(types.DeclaredVersion("m", 2))
    assert known.stable("m", 5.0) == 0
    assert known.stable("m", 6.6) == 2
    assert known.required("m", 6.6) is None


def test_a_repeated_or_older_declaration_changes_nothing():
    known = version_policy.VersionPolicy(8.0, lambda: 0.0)
    assert known.record_declared(types.DeclaredVersion("m", 3))
    assert not known.record_declared(types.DeclaredVersion("m", 3))
    assert not known.record_declared(types.DeclaredVersion("m", 2))
    assert known.newest_declared("m") == 3


def test_a_server_with_the_newer_version_is_not_turned_away():
    """Symptom: servers that load early refuse with 421 until all have.

    Sequence: version 2 is due, 3 is on its way, one server has 3 already; a
    request asks it for exactly 2. Cause: the demanded version was named
    whatever the server had.
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


def test_a_list_that_shrank_during_an_outage_is_not_believed_at_once():
    """Symptom: after an outage of the platform no server is left.

    Sequence: the platform is away; entries run out meanwhile; at its return
    all are reported gone, and come back within two seconds. Cause: a listing
    that ran out says nothing of the server.
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


def test_a_server_that_is_gone_in_calm_times_gets_nothing_more():
    servers = new_fleet()
    servers.apply(batch(("a", server("a"))), True, 60.0)
    servers.apply(batch(("a", None)), False, 60.0)
    assert servers.of("engine") == []


def test_a_whole_reading_leaves_out_who_is_gone():
    servers = new_fleet()
    servers.apply(batch(("a", server("a")), ("b", server("b"))), True, 60.0)
    servers.apply(batch(("b", server("b"))), True, 60.0)
    assert [b.server.server_id for b in servers.of("engine")] == ["b"]


def test_what_one_batch_says_of_a_server_counts_in_its_order():
    servers = new_fleet()
    servers.apply(batch(("a", server("a")), ("a", None)), False, 60.0)
    assert servers.of("engine") == []
    again = batch(("a", None), ("a", server("a", sequence=2)))
    servers.apply(again, False, 60.0)
    assert len(servers.of("engine")) == 1
    spoilt = batch(("a", types.Unreadable("x")), ("b", server("b")))
    servers.apply(spoilt, False, 60.0)
    assert [b.server.server_id for b in servers.of("engine")] == ["b"]


def test_listings_that_run_out_one_by_one_after_an_outage_are_held():
    servers = new_fleet()
    names = [f"i-{number}" for number in range(10)]
    listed = batch(*[(name, server(name)) for name in names])
    servers.apply(listed, True, 60.0)
    for name in names:
        servers.apply(batch((name, None)), False, 0.3)
    assert len(servers.of("engine")) == 6
    servers.drop_missing(3.0)
    assert servers.of("engine") == []


def test_records_of_one_start_are_ordered_and_leaving_is_for_good():
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


def test_free_slots_are_shared_out_between_the_entries():
    """Symptom: a server with one free slot gets a request of every entry.

    Sequence: all slots of all servers are taken and requests wait in eight
    entries; one request ends and every entry sees it in the same report.
    Cause: each entry took all free slots for its own.
    """
    taken = 0
    for seed in range(800):
        backends = fleet.Fleet(logs.Log(), lambda s: 64, random.Random(seed))
        backends.apply(batch(("a", server("a"))), True, 60.0)
        backend = backends.find("a")
        backend.apply_report(report(running=15, entries=8), 1.0)
        taken += backend.has_share(1.0)
    # One slot among eight.
    assert 0.075 < taken / 800 < 0.175


def test_a_server_that_has_just_loaded_is_not_flooded():
    """Symptom: requests wait 0.6 s at a server that all others look up to.

    Sequence: a server has loaded and shows all its slots free; every entry
    sends it what it has until the next report. Cause: slots were shared out,
    though reading the prompts takes longer than waiting for a slot.
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
    # Each of eight entries: 0.1 s are 3.3 prompts.
    assert 2.2 < 8 * taken / 400 < 4.7


def test_a_server_whose_agent_is_silent_is_used_all_the_same():
    backends = new_fleet()
    backends.apply(batch(("a", server("a"))), True, 60.0)
    backend = backends.find("a")
    backend.apply_report(report(running=16, entries=8), 1.0)
    assert not backend.has_share(1.1)
    assert backend.has_share(3.0)


def test_one_prompt_at_a_time_goes_to_a_server_of_which_no_agent_tells():
    """Symptom: all servers are overloaded just after a loss of power.

    Sequence: servers come back before their agents are heard; every entry has
    many requests that wait. Cause: without reports nothing was shared out.
    """
    backends = new_fleet()
    backends.apply(batch(("a", server("a"))), True, 60.0)
    backend = backends.find("a")
    assert backend.has_share(1.0)
    backend.unread_tokens += 700
    assert not backend.has_share(1.0)
    backend.unread_tokens -= 700
    assert backend.has_share(1.0)


def test_a_server_without_layers_serves_nothing_whatever_the_list_says():
    backends = new_fleet()
    held = (types.HeldWeights("m", 1, 16),)
    backends.apply(batch(("a", server("a", held=held))), True, 60.0)
    backend = backends.find("a")
    assert backend.serves(1, 16)
    backend.apply_report(report(version=0, whole=False), 1.0)
    assert not backend.serves(1, 16)


# The retry budget.


def test_all_entries_together_keep_the_budget():
    """Symptom: a service gets more repeats than allowed while it is failing.

    Sequence: every send of eight entries fails and each repeats as often as
    its budget allows. Cause: each entry used the whole slack.
    """
    terms = budget.Limits(ratio=0.2, slack=104.0, window_s=10.0)
    repeats, requests = 0, 0
    for _ in range(8):
        one = budget.RetryBudget(terms)
        one.entries = 8
        for number in range(100):
            now = number * 0.1
            one.record_request(now)
            requests += 1
            while one.try_acquire(now):
                repeats += 1
    assert repeats <= 0.2 * requests + 104.0
    assert repeats > 0.15 * requests


def test_the_budget_comes_back_after_its_window():
    one = budget.RetryBudget(budget.Limits(0.0, 100.0, 10.0))
    one.entries = 10
    while one.try_acquire(0.0):
        pass
    assert not one.try_acquire(9.9)
    assert one.try_acquire(10.1)


# Routes.


@pytest.mark.parametrize(
    ("path", "found"),
    [
        ("/a/b/c", "long"),
        ("/a/x", "short"),
        ("/a/bb/", "short"),
        ("/b/", None),
        ("/a", None),
        ("", None),
    ],
)
def test_the_longest_prefix_wins(path, found):
    routes = (route("/a/", "short"), route("/a/b/", "long"))
    known = catalog.Catalog(types.Configuration(1, routes, {}, {}))
    match = known.route("h", path)
    assert (match.name if match else None) == found
    assert known.route("other", path) is None


# Events.


def test_events_are_whole_whatever_the_bytes_come_in():
    stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
    for cut in range(len(stream) + 1):
        splitter = sse.Splitter()
        found = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert b"".join(e.data for e in found) + splitter.remainder == stream
        assert [e.event_id for e in found][:2] == ["1", "2"]


def test_an_event_that_has_not_ended_is_kept_back():
    splitter = sse.Splitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.remainder == b"id: 1\ndata: a\n"
