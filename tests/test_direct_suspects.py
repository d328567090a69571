"""Requests that crash servers: who is refused, and what entries share."""

import dataclasses
import itertools
import random

import pytest
import suspects_entry

from clementinegw.direct import suspects

# One entry.


def test_what_crashed_two_servers_is_refused():
    one = suspects_entry.Entry()
    for number in range(2):
        assert not one.is_refused(b"", 1.0)
        one.record_crash(b"", f"i-{number}", 1.0)
    assert one.is_refused(b"", 2.0)
    assert not one.is_refused(b"other", 2.0)
    assert not one.is_refused(b"", 2.0, customer_name="another")
    assert not one.is_refused(b"", 62.0)


def test_lost_answers_to_the_same_question_do_not_make_it_refused():
    """Symptom: a question that many ask is refused to all for a minute.

    Sequence: a server loses a few answers in a hundred; in between the same
    question is answered many times. Cause: only broken answers were counted.
    """
    one = suspects_entry.Entry()
    for number in range(9):
        one.record_crash(b"", f"i-{number % 4}", float(number))
        one.record_completion(b"", number + 0.1)
        assert not one.is_refused(b"", number + 0.1)


def test_one_server_that_breaks_everything_accuses_nobody():
    one = suspects_entry.Entry()
    for number in range(9):
        one.record_crash(b"", "i-1", float(number))
    assert not one.is_refused(b"", 9.0)


def test_a_server_that_answers_again_did_not_crash():
    """Two servers lost an answer each to what many ask, and went on serving.

    Refused after two broken answers, the question would never be answered
    again, and so never be cleared.
    """
    one = suspects_entry.Entry()
    one.record_crash(b"", "i-1", 1.0)
    one.record_crash(b"", "i-2", 1.1)
    assert one.is_refused(b"", 1.2)
    one.suspects.record_survival("i-1", one.clock_s + 0.9)
    assert one.is_refused(b"", 1.2)
    one.suspects.record_survival("i-1", one.clock_s + 1.05)
    assert not one.is_refused(b"", 1.2)
    one.record_crash(b"", "i-1", 1.3)
    assert one.is_refused(b"", 1.4)


def test_those_who_shared_a_server_with_it_go_free():
    """A request crashed two servers with a batch of others on each."""
    one = suspects_entry.Entry()
    for number in range(2):
        for other in range(15):
            one.record_crash(
                b"%d %d" % (number, other), f"i-{number}", 1.0 + number
            )
        one.record_crash(b"bad", f"i-{number}", 1.0 + number)
    refused = [
        b
        for b in [
            b"bad",
            *(b"%d %d" % p for p in itertools.product((0, 1), range(15))),
        ]
        if one.is_refused(b, 3.0)
    ]
    assert refused == [b"bad"]


# Entries together.


def test_entries_that_saw_one_crash_each_refuse_together():
    """A request came to one entry after the other, and crashed servers at each.

    Each entry counted what it saw itself.
    """
    one, two, three = (
        suspects_entry.Entry(5.0),
        suspects_entry.Entry(70_000.0),
        suspects_entry.Entry(0.0),
    )
    one.record_crash(b"bad", "i-1", 1.0)
    one.record_crash(b"innocent", "i-1", 1.0)
    two.record_crash(b"bad", "i-2", 2.0)
    for other in (one, two, three):
        for teller in (one, two):
            other.merge(teller.local_suspicions(2.5), 2.6)
    for entry in (one, two, three):
        assert entry.is_refused(b"bad", 2.7)
        assert not entry.is_refused(b"innocent", 2.7)


def test_one_crash_that_two_entries_saw_is_one():
    one, two = suspects_entry.Entry(), suspects_entry.Entry()
    one.record_crash(b"asked twice", "i-1", 1.0)
    two.record_crash(b"asked twice", "i-1", 1.01)
    one.merge(two.local_suspicions(1.1), 1.2)
    assert not one.is_refused(b"asked twice", 1.3)


def test_what_completes_elsewhere_is_cleared():
    one, two = suspects_entry.Entry(5.0), suspects_entry.Entry(900.0)
    one.record_crash(b"", "i-1", 1.0)
    one.record_crash(b"", "i-2", 1.5)
    two.merge(one.local_suspicions(1.6), 1.7)
    assert two.is_refused(b"", 1.8)
    three = suspects_entry.Entry(50.0)
    three.merge(one.local_suspicions(1.6), 1.7)
    # One that had it under way before it heard.
    three.record_completion(b"", 2.0)
    for entry in (one, two):
        entry.merge(three.local_suspicions(2.1), 2.2)
        assert not entry.is_refused(b"", 2.3)
    # What is told of the same crashes later changes nothing.
    two.merge(one.local_suspicions(2.0), 2.4)
    assert not two.is_refused(b"", 2.5)
    # What comes after that does.
    one.record_crash(b"", "i-3", 3.0)
    one.record_crash(b"", "i-4", 3.1)
    two.merge(one.local_suspicions(3.2), 3.3)
    assert two.is_refused(b"", 3.4)


def test_a_server_known_to_be_well_is_not_accused_from_hearsay():
    one, two = suspects_entry.Entry(), suspects_entry.Entry()
    for start in ("i-1", "i-2"):
        one.record_crash(b"", start, 1.0)
    told = one.local_suspicions(1.1)
    two.merge(told, 1.2)
    two.suspects.record_survival("i-1", two.clock_s + 1.15)
    two.merge(told, 1.3)
    assert not two.is_refused(b"", 1.4)


@pytest.mark.parametrize("seed", range(20))
def test_datagrams_that_come_twice_or_out_of_order_change_nothing(seed):
    """Lost ones are made good by the next: all tell again what they know."""
    rng = random.Random(seed)
    events = [
        (rng.uniform(0.0, 5.0), rng.choice(("crash", "crash", "complete")))
        for _ in range(12)
    ]
    tellers = [suspects_entry.Entry(rng.uniform(0.0, 1e5)) for _ in range(3)]
    told = []
    for at, kind in sorted(events):
        teller = rng.choice(tellers)
        body = b"%d" % rng.randrange(3)
        if kind == "crash":
            teller.record_crash(body, f"i-{rng.randrange(6)}", at)
        else:
            teller.record_completion(body, at)
        told += [(at, teller.local_suspicions(at)) for teller in tellers]
    last = [(5.0, teller.local_suspicions(5.0)) for teller in tellers]
    verdicts = []
    for _ in range(4):
        listener = suspects_entry.Entry(rng.uniform(0.0, 1e5))
        some = [one for one in told if rng.random() < 0.6]
        some += [one for one in some if rng.random() < 0.5]
        rng.shuffle(some)
        for at, content in [*some, *last]:
            # Taken in at the age that it has by now.
            listener.merge([older(one, 5.0 - at) for one in content], 5.0)
        verdicts.append(
            tuple(listener.is_refused(b"%d" % n, 5.1) for n in range(3))
        )
    plain = suspects_entry.Entry()
    for _, content in last:
        plain.merge(content, 5.0)
    assert set(verdicts) <= {
        tuple(plain.is_refused(b"%d" % n, 5.1) for n in range(3))
    }


def older(suspicion, by_s):
    age_s = suspicion.completed_age_s
    return suspects.Suspicion(
        suspicion.fingerprint,
        tuple(
            dataclasses.replace(c, age_s=c.age_s + by_s)
            for c in suspicion.crashes
        ),
        None if age_s is None else age_s + by_s,
    )


def test_what_is_told_on_again_and_again_is_forgotten_in_time():
    """Two entries and one that tells for all kept a crash fresh for each other.

    Each took the other's word, a little later than it was given, for news.
    """
    one, between, two = (
        suspects_entry.Entry(),
        suspects_entry.Entry(9.0),
        suspects_entry.Entry(77.0),
    )
    for start in ("i-1", "i-2"):
        one.record_crash(b"", start, 0.0)
    for step in range(700):
        at = step / 10
        between.merge(one.local_suspicions(at), at + 0.05)
        between.merge(two.local_suspicions(at), at + 0.05)
        for entry in (one, two):
            entry.merge(between.confirmed_suspicions(at), at + 0.05)
        refused = [entry.is_refused(b"", at + 0.06) for entry in (one, two)]
        if at < 59.4:
            assert refused == [True, True]
        if at > 60.2:
            assert refused == [False, False]
    assert between.confirmed_suspicions(71.0) == ()


def test_who_tells_for_all_passes_over_those_beside_a_bad_one():
    """A request crashed two servers with fifteen others on each.

    Told on for a minute to all entries, all those would take more of a small
    link than the reports.
    """
    one, two, between = (
        suspects_entry.Entry(5.0),
        suspects_entry.Entry(8.0),
        suspects_entry.Entry(),
    )
    for number, entry in enumerate((one, two)):
        for other in range(5):
            entry.record_crash(b"%d %d" % (number, other), f"i-{number}", 1.0)
        entry.record_crash(b"bad", f"i-{number}", 1.0)
        between.merge(entry.local_suspicions(1.5), 1.6)
    (told,) = between.confirmed_suspicions(1.7)
    assert len(told.crashes) == 2
    assert (one.local_suspicions(6.1), two.local_suspicions(6.1)) == ((), ())
    assert len(between.confirmed_suspicions(40.0)) == 1


def test_what_is_told_and_kept_is_bounded():
    one = suspects_entry.Entry()
    for number in range(20_000):
        one.record_crash(b"%d" % number, f"i-{number}", number / 1e3)
    assert len(one.local_suspicions(20.0)) == suspects.MAX_SUSPICIONS
    assert len(one.suspects._records) == 4_096
    assert len(one.suspects._requests_by_start) == 4_096
    for number in range(2_000):
        one.suspects.record_survival(f"i-{19_999 - number}", one.clock_s + 30.0)
    assert len(one.suspects._survived_at) == 1_024
    assert len(one.suspects._records) == 2_096


@pytest.mark.parametrize(
    "told",
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
def test_what_is_malformed_or_too_old_is_not_taken_in(told):
    one = suspects_entry.Entry()
    one.merge([told], 1.0)
    assert not one.suspects._records
