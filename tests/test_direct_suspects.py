"""Tests which requests are refused for crashing servers.

Covers one entry alone and entries that share their observations.
"""

import dataclasses
import itertools
import random

import pytest
import suspects_entry

from clementinegw.direct import suspects

# A single entry.


def test_a_request_that_crashed_two_servers_is_refused():
    entry = suspects_entry.Entry()
    for number in range(2):
        assert not entry.is_refused(b"", 1.0)
        entry.record_crash(b"", f"i-{number}", 1.0)
    assert entry.is_refused(b"", 2.0)
    assert not entry.is_refused(b"other", 2.0)
    assert not entry.is_refused(b"", 2.0, customer_name="another")
    assert not entry.is_refused(b"", 62.0)


def test_lost_answers_do_not_make_an_answered_request_refused():
    """A request that many callers send was refused for all for a minute.

    A server lost a few answers in a hundred, while most of the requests were
    answered. Only the broken answers were counted.
    """
    entry = suspects_entry.Entry()
    for number in range(9):
        entry.record_crash(b"", f"i-{number % 4}", float(number))
        entry.record_completion(b"", number + 0.1)
        assert not entry.is_refused(b"", number + 0.1)


def test_crashes_of_one_start_make_no_request_refused():
    entry = suspects_entry.Entry()
    for number in range(9):
        entry.record_crash(b"", "i-1", float(number))
    assert not entry.is_refused(b"", 9.0)


def test_a_server_that_answers_again_did_not_crash():
    """Two servers lost an answer each to the same request and kept serving.

    If the request stayed refused after two broken answers, it would never be
    answered again and so never be cleared.
    """
    entry = suspects_entry.Entry()
    entry.record_crash(b"", "i-1", 1.0)
    entry.record_crash(b"", "i-2", 1.1)
    assert entry.is_refused(b"", 1.2)
    entry.suspects.record_survival("i-1", entry.clock_s + 0.9)
    assert entry.is_refused(b"", 1.2)
    entry.suspects.record_survival("i-1", entry.clock_s + 1.05)
    assert not entry.is_refused(b"", 1.2)
    entry.record_crash(b"", "i-1", 1.3)
    assert entry.is_refused(b"", 1.4)


def test_requests_beside_a_crashing_one_are_not_refused():
    """A request crashes two servers, each of which runs other requests too."""
    entry = suspects_entry.Entry()
    for number in range(2):
        for other in range(15):
            entry.record_crash(
                b"%d %d" % (number, other), f"i-{number}", 1.0 + number
            )
        entry.record_crash(b"bad", f"i-{number}", 1.0 + number)
    refused = [
        b
        for b in [
            b"bad",
            *(b"%d %d" % p for p in itertools.product((0, 1), range(15))),
        ]
        if entry.is_refused(b, 3.0)
    ]
    assert refused == [b"bad"]


def test_a_request_stays_refused_while_it_comes():
    """A refused request causes no crashes, so that they were all forgotten.

    A minute later it crashed two servers more.
    """
    entry = suspects_entry.Entry()
    entry.record_crash(b"bad", "i-1", 1.0)
    entry.record_crash(b"bad", "i-2", 2.0)
    for at in range(3, 300, 30):
        assert entry.is_refused(b"bad", float(at))
        entry.record_refusal(b"bad", float(at))
    assert not entry.is_refused(b"bad", 400.0)


def test_a_refused_request_is_let_through_ever_more_rarely():
    """A request that was running at two crashes by chance was never answered.

    It was refused everywhere, so that nothing could clear it.
    """
    entry = suspects_entry.Entry()
    entry.record_crash(b"", "i-1", 1.0)
    entry.record_crash(b"", "i-2", 2.0)
    taken = []
    for at in range(3, 900):
        assert entry.is_refused(b"", float(at))
        if entry.take_probe(b"", float(at)):
            taken.append(at)
        else:
            entry.record_refusal(b"", float(at))
    assert taken == [22, 142, 862]
    entry.record_completion(b"", 900.5)
    assert not entry.is_refused(b"", 901.0)


# Entries that share their observations.


def test_an_entry_that_starts_anew_learns_that_a_request_is_still_refused():
    first, agent = suspects_entry.Entry(5.0), suspects_entry.Entry(8.0)
    first.record_crash(b"bad", "i-1", 1.0)
    first.record_crash(b"bad", "i-2", 2.0)
    for at in range(3, 300, 5):
        assert first.is_refused(b"bad", float(at))
        first.record_refusal(b"bad", float(at))
        agent.merge(first.local_suspicions(float(at)), at + 0.1)
    second = suspects_entry.Entry(90.0)
    second.merge(agent.confirmed_suspicions(300.0), 300.1)
    assert second.is_refused(b"bad", 300.2)


def test_crashes_seen_by_different_entries_add_up():
    """A request was sent to one entry after the other and crashed servers.

    Each entry counted only the crashes that it saw itself.
    """
    first, second, third = (
        suspects_entry.Entry(5.0),
        suspects_entry.Entry(70_000.0),
        suspects_entry.Entry(0.0),
    )
    first.record_crash(b"bad", "i-1", 1.0)
    first.record_crash(b"innocent", "i-1", 1.0)
    second.record_crash(b"bad", "i-2", 2.0)
    for receiver in (first, second, third):
        for sender in (first, second):
            receiver.merge(sender.local_suspicions(2.5), 2.6)
    for entry in (first, second, third):
        assert entry.is_refused(b"bad", 2.7)
        assert not entry.is_refused(b"innocent", 2.7)


def test_a_crash_seen_by_two_entries_counts_once():
    first, second = suspects_entry.Entry(), suspects_entry.Entry()
    first.record_crash(b"asked twice", "i-1", 1.0)
    second.record_crash(b"asked twice", "i-1", 1.01)
    first.merge(second.local_suspicions(1.1), 1.2)
    assert not first.is_refused(b"asked twice", 1.3)


def test_a_request_completed_at_another_entry_is_cleared():
    first, second = suspects_entry.Entry(5.0), suspects_entry.Entry(900.0)
    first.record_crash(b"", "i-1", 1.0)
    first.record_crash(b"", "i-2", 1.5)
    second.merge(first.local_suspicions(1.6), 1.7)
    assert second.is_refused(b"", 1.8)
    third = suspects_entry.Entry(50.0)
    third.merge(first.local_suspicions(1.6), 1.7)
    # The third entry had sent the request before it learned of the crashes.
    third.record_completion(b"", 2.0)
    for entry in (first, second):
        entry.merge(third.local_suspicions(2.1), 2.2)
        assert not entry.is_refused(b"", 2.3)
    # Later reports of the same crashes change nothing.
    second.merge(first.local_suspicions(2.0), 2.4)
    assert not second.is_refused(b"", 2.5)
    # Later crashes count.
    first.record_crash(b"", "i-3", 3.0)
    first.record_crash(b"", "i-4", 3.1)
    second.merge(first.local_suspicions(3.2), 3.3)
    assert second.is_refused(b"", 3.4)


def test_a_report_does_not_override_a_known_survival():
    first, second = suspects_entry.Entry(), suspects_entry.Entry()
    for start in ("i-1", "i-2"):
        first.record_crash(b"", start, 1.0)
    suspicions = first.local_suspicions(1.1)
    second.merge(suspicions, 1.2)
    second.suspects.record_survival("i-1", second.clock_s + 1.15)
    second.merge(suspicions, 1.3)
    assert not second.is_refused(b"", 1.4)


@pytest.mark.parametrize("seed", range(20))
def test_lost_duplicated_or_reordered_datagrams_change_nothing(seed):
    """Later datagrams make up for lost ones, since they repeat observations."""
    rng = random.Random(seed)
    events = [
        (rng.uniform(0.0, 5.0), rng.choice(("crash", "crash", "complete")))
        for _ in range(12)
    ]
    senders = [suspects_entry.Entry(rng.uniform(0.0, 1e5)) for _ in range(3)]
    datagrams = []
    for at, kind in sorted(events):
        sender = rng.choice(senders)
        body = b"%d" % rng.randrange(3)
        if kind == "crash":
            sender.record_crash(body, f"i-{rng.randrange(6)}", at)
        else:
            sender.record_completion(body, at)
        datagrams += [(at, sender.local_suspicions(at)) for sender in senders]
    last = [(5.0, sender.local_suspicions(5.0)) for sender in senders]
    verdicts = []
    for _ in range(4):
        receiver = suspects_entry.Entry(rng.uniform(0.0, 1e5))
        received = [datagram for datagram in datagrams if rng.random() < 0.6]
        received += [datagram for datagram in received if rng.random() < 0.5]
        rng.shuffle(received)
        for at, content in [*received, *last]:
            # Merged with the age that it has reached by now.
            receiver.merge(
                [older(suspicion, 5.0 - at) for suspicion in content], 5.0
            )
        verdicts.append(
            tuple(receiver.is_refused(b"%d" % n, 5.1) for n in range(3))
        )
    expected = suspects_entry.Entry()
    for _, content in last:
        expected.merge(content, 5.0)
    assert set(verdicts) <= {
        tuple(expected.is_refused(b"%d" % n, 5.1) for n in range(3))
    }


def older(suspicion, by_s):
    """Returns a suspicion whose ages are greater by some seconds."""
    age_s = suspicion.completed_age_s
    return suspects.Suspicion(
        suspicion.fingerprint,
        tuple(
            dataclasses.replace(c, age_s=c.age_s + by_s)
            for c in suspicion.crashes
        ),
        None if age_s is None else age_s + by_s,
    )


def test_reports_that_circulate_expire_in_time():
    """Two entries and an agent kept a crash from expiring for each other.

    Each merged the reports of the others, which arrive a little late, as newer
    crashes.
    """
    first, agent, second = (
        suspects_entry.Entry(),
        suspects_entry.Entry(9.0),
        suspects_entry.Entry(77.0),
    )
    for start in ("i-1", "i-2"):
        first.record_crash(b"", start, 0.0)
    for step in range(700):
        at = step / 10
        agent.merge(first.local_suspicions(at), at + 0.05)
        agent.merge(second.local_suspicions(at), at + 0.05)
        for entry in (first, second):
            entry.merge(agent.confirmed_suspicions(at), at + 0.05)
        refused = [
            entry.is_refused(b"", at + 0.06) for entry in (first, second)
        ]
        if at < 59.4:
            assert refused == [True, True]
        if at > 60.2:
            assert refused == [False, False]
    assert agent.confirmed_suspicions(71.0) == ()


def test_agents_do_not_report_requests_beside_a_crashing_one():
    """A request crashed two servers with fifteen others on each (five here).

    Reported to all entries for a minute, the others would take more of a small
    link than the load reports.
    """
    first, second, agent = (
        suspects_entry.Entry(5.0),
        suspects_entry.Entry(8.0),
        suspects_entry.Entry(),
    )
    for number, entry in enumerate((first, second)):
        for other in range(5):
            entry.record_crash(b"%d %d" % (number, other), f"i-{number}", 1.0)
        entry.record_crash(b"bad", f"i-{number}", 1.0)
        agent.merge(entry.local_suspicions(1.5), 1.6)
    (suspicion,) = agent.confirmed_suspicions(1.7)
    assert len(suspicion.crashes) == 2
    assert (first.local_suspicions(6.1), second.local_suspicions(6.1)) == (
        (),
        (),
    )
    assert len(agent.confirmed_suspicions(40.0)) == 1


def test_reported_and_stored_records_are_bounded():
    entry = suspects_entry.Entry()
    for number in range(20_000):
        entry.record_crash(b"%d" % number, f"i-{number}", number / 1e3)
    assert len(entry.local_suspicions(20.0)) == suspects.MAX_SUSPICIONS
    assert len(entry.suspects._records) == 4_096
    assert len(entry.suspects._requests_by_start) == 4_096
    for number in range(2_000):
        entry.suspects.record_survival(
            f"i-{19_999 - number}", entry.clock_s + 30.0
        )
    assert len(entry.suspects._survived_at) == 1_024
    assert len(entry.suspects._records) == 2_096


@pytest.mark.parametrize(
    "suspicion",
    [
        suspects.Suspicion(b"short", (suspects.Crash(b"s" * 8, 1.0),)),
        suspects.Suspicion(b"f" * 16, (suspects.Crash(b"short", 1.0),)),
        suspects.Suspicion(b"f" * 16, (suspects.Crash(b"s" * 8, -1.0),)),
        suspects.Suspicion(
            b"f" * 16, (suspects.Crash(b"s" * 8, float("nan")),)
        ),
        suspects.Suspicion(b"f" * 16, (suspects.Crash(b"s" * 8, 61.0),)),
        suspects.Suspicion(b"f" * 16, (), float("nan")),
        suspects.Suspicion(b"f" * 16, (), -5.0),
    ],
)
def test_malformed_and_too_old_suspicions_are_not_merged(suspicion):
    entry = suspects_entry.Entry()
    entry.merge([suspicion], 1.0)
    assert not entry.suspects._records
