"""The gate's decisions: what is proved, fenced, queued and run alone."""

import dataclasses

import pytest

from clementinegw import types as shared
from clementinegw.gate import _calls
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import types

INCARNATION = 7
NOW = 1000.0


def gate_of(**limits):
    return gate_lib.Gate(types.Limits(**limits), INCARNATION)


def attempt_of(request_id, attempt=1, **changes):
    fields = {
        "id": types.AttemptId(request_id, attempt),
        "deadline": NOW + 10.0,
        "incarnation": INCARNATION,
        "fingerprint": request_id.encode(),
    }
    return types.Attempt(**(fields | changes))


def booking(request_id, key="k", claim_offset=1, attempt=1, **changes):
    return attempt_of(
        request_id,
        attempt,
        idempotent=False,
        key=key,
        claim_offset=claim_offset,
        **changes,
    )


def refusals(actions):
    return [
        (a.id.request_id, a.reason.value)
        for a in actions
        if isinstance(a, types.Refuse)
    ]


def started(actions):
    return [a.id.request_id for a in actions if isinstance(a, types.HandOver)]


def tombstone(gate, attempt, now=NOW, whole=False, incarnation=INCARNATION):
    proved, _ = gate.tombstone(
        attempt.id, whole, incarnation, attempt.sent_at, now
    )
    return proved


def test_urgent_attempts_go_first_and_push_out_others():
    gate = gate_of(capacity=1, max_queued=2)
    low, normal, high = shared.Priority
    assert started(gate.submit(attempt_of("r1"), NOW)) == ["r1"]
    gate.submit(attempt_of("r2", priority=low), NOW)
    gate.submit(attempt_of("r3", priority=normal), NOW)
    full = gate.submit(attempt_of("r4", priority=low), NOW)
    assert refusals(full) == [("r4", "overloaded")]
    actions = gate.submit(attempt_of("r5", priority=high), NOW)
    assert refusals(actions) == [("r2", "overloaded")]
    first = types.AttemptId("r1", 1)
    assert started(gate.on_answered(first, NOW)) == ["r5"]


def test_attempt_that_waits_past_its_deadline_is_refused():
    gate = gate_of(capacity=1)
    gate.submit(attempt_of("r1"), NOW)
    gate.submit(attempt_of("r2", deadline=NOW + 1.0), NOW)
    assert gate.on_tick(NOW + 0.5) == []
    assert refusals(gate.on_tick(NOW + 1.0)) == [("r2", "deadline")]


def test_suspect_runs_alone_and_holds_back_what_comes_later():
    """Symptom: innocents die in a crash that a known suspect caused.

    Sequence: a suspect comes while others run; more come behind it. Cause:
    nothing keeps the server empty for it.
    """
    gate = gate_of(capacity=4)
    gate.submit(attempt_of("r1"), NOW)
    assert started(gate.submit(attempt_of("s", alone=True), NOW)) == []
    assert started(gate.submit(attempt_of("r2"), NOW)) == []
    assert started(gate.on_answered(types.AttemptId("r1", 1), NOW)) == ["s"]
    assert started(gate.submit(attempt_of("r3"), NOW)) == []
    actions = gate.on_answered(types.AttemptId("s", 1), NOW)
    assert started(actions) == ["r2", "r3"]
    cleared = [a for a in actions if isinstance(a, types.ReportCleared)]
    assert cleared == [types.ReportCleared((b"s",))]


def test_crash_names_what_was_in_flight_and_refuses_what_waited():
    gate = gate_of(capacity=2)
    for name in ("r1", "r2", "r3"):
        gate.submit(attempt_of(name), NOW)
    actions = gate.on_crash(NOW)
    failed = [a.id.request_id for a in actions if isinstance(a, types.Fail)]
    assert failed == ["r1", "r2"]
    assert refusals(actions) == [("r3", "not_ready")]
    assert actions[-1] == types.ReportCrash(1, (b"r1", b"r2"))
    again = gate.submit(attempt_of("r4"), NOW)
    assert refusals(again) == [("r4", "not_ready")]
    gate.on_loaded(NOW)
    assert started(gate.submit(attempt_of("r5"), NOW)) == ["r5"]


def test_replaced_agent_proves_nothing_and_refuses_what_was_not_meant_for_it():
    """Symptom: "not run" is told of a booking that was made.

    Sequence: an attempt is handed over, its agent dies and is replaced at the
    same address; the entry asks the new process for a tombstone. Cause: a
    process that never saw the attempt would prove it gladly.
    """
    gate = gate_of()
    lost = booking("r1", incarnation=INCARNATION - 1)
    assert not tombstone(gate, lost, incarnation=INCARNATION - 1)
    assert not tombstone(gate, lost, incarnation=0)
    late = gate.submit(lost, NOW)
    assert refusals(late) == [("r1", "incarnation")]
    unnamed = gate.submit(booking("r2", incarnation=0), NOW)
    assert refusals(unnamed) == [("r2", "incarnation")]


def test_tombstone_refuses_the_attempt_that_arrives_later():
    gate = gate_of()
    assert tombstone(gate, attempt_of("r1", 2), whole=True)
    for number in (1, 2):
        actions = gate.submit(attempt_of("r1", number), NOW)
        assert refusals(actions) == [("r1", "tombstoned")]
    assert started(gate.submit(attempt_of("r1", 3), NOW)) == ["r1"]


def test_forgotten_attempt_is_not_proved_to_be_absent():
    """Symptom: "not run" is told of a request that ran long ago.

    Sequence: an entry is paused; it asks for proof when the agent has already
    forgotten the attempt. Cause: what is forgotten looks like what never was.
    """
    gate = gate_of(retention_s=60.0)
    ran = attempt_of("r1", sent_at=NOW)
    gate.submit(ran, NOW)
    gate.on_answered(ran.id, NOW)
    assert not tombstone(gate, ran, NOW + 5.0)
    gate.on_tick(NOW + 1000.0)
    assert not tombstone(gate, ran, NOW + 1000.0)
    unaged = dataclasses.replace(ran, sent_at=None)
    assert not tombstone(gate, unaged, NOW + 1000.0)
    fresh = attempt_of("r2", sent_at=NOW + 999.0)
    assert tombstone(gate, fresh, NOW + 1000.0)


def test_attempt_older_than_the_memory_of_tombstones_is_refused():
    gate = gate_of(retention_s=60.0)
    late = attempt_of("r1", sent_at=NOW, deadline=NOW + 5000.0)
    assert tombstone(gate, late)
    gate.on_tick(NOW + 1000.0)
    actions = gate.submit(late, NOW + 1000.0)
    assert refusals(actions) == [("r1", "forgotten")]


@pytest.mark.parametrize(
    ("first", "second", "reason"),
    [
        (5, 6, "already_run"),
        (5, 5, "already_run"),
        (5, 4, "already_run"),
        (5, 0, "no_claim"),
    ],
)
def test_key_that_was_handed_over_never_is_again(first, second, reason):
    gate = gate_of()
    gate.submit(booking("r1", claim_offset=first), NOW)
    actions = gate.submit(booking("r2", claim_offset=second), NOW)
    assert refusals(actions) == [("r2", reason)]


def test_claim_of_a_forgotten_key_is_fenced():
    """Symptom: a booking is made again by a frame that was on its way long.

    Sequence: a booking is handed over and, much later, forgotten; another
    attempt under its claim arrives. Cause: the key looks new.
    """
    gate = gate_of(retention_s=60.0)
    gate.submit(booking("r1", claim_offset=5), NOW)
    gate.on_answered(types.AttemptId("r1", 1), NOW)
    gate.on_tick(NOW + 1000.0)
    late = booking("r1", claim_offset=5, attempt=2, deadline=NOW + 2000.0)
    actions = gate.submit(late, NOW + 1000.0)
    assert refusals(actions) == [("r1", "fenced")]


def test_older_claim_of_a_key_is_fenced():
    """Symptom: a booking runs under a claim that was given up.

    Sequence: a claim's attempt cannot reach the server and is refused, the
    key is claimed anew, and the attempt of the older claim arrives late.
    """
    gate = gate_of()
    new = booking("r2", claim_offset=9)
    gate.submit(new, NOW)
    gate.on_not_begun(new.id, types.RefusalReason.UNREACHABLE, NOW)
    old = gate.submit(booking("r1", claim_offset=5), NOW)
    assert refusals(old) == [("r1", "fenced")]
    actions = gate.submit(booking("r3", claim_offset=12), NOW)
    assert started(actions) == ["r3"]


def test_booking_whose_caller_went_away_is_not_cut_off():
    gate = gate_of()
    gate.submit(booking("r1"), NOW)
    assert gate.cancel(types.AttemptId("r1", 1), NOW) == []
    gate.submit(attempt_of("r2"), NOW)
    actions = gate.cancel(types.AttemptId("r2", 1), NOW)
    assert types.CancelBackend(types.AttemptId("r2", 1)) in actions


def test_frame_that_was_on_its_way_for_long_loses_that_time():
    """Symptom: a request runs minutes after its entry gave it up.

    Sequence: a link stalls with a submission that has 3 s left, and delivers
    it later. Cause: deadlines travel as what is left, since clocks differ.
    """
    estimator = _calls.DelayEstimator()
    for number in range(10):
        now = NOW + number
        assert estimator.estimate_s(int((now - 700.0) * 1000), now) < 0.01
    late = estimator.estimate_s(int((NOW + 10 - 700.0) * 1000), NOW + 15.0)
    assert late == pytest.approx(5.0, abs=0.01)


def test_clocks_of_different_rates_do_not_look_like_delays():
    """Symptom: after some days an agent refuses everything as too late.

    Sequence: a connection lives for a week; the clocks at its ends differ by
    100 millionths. Cause: the difference grows by 9 s a day.
    """
    estimator = _calls.DelayEstimator()
    for second in range(0, 7 * 86_400, 20):
        sent = (NOW + second) * (1 - 100e-6)
        assert estimator.estimate_s(int(sent * 1000), NOW + second) < 0.05
