"""Tests the gate's decisions: proofs, fencing, queueing and running alone."""

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


def tombstone(
    gate, attempt, now=NOW, include_earlier=False, incarnation=INCARNATION
):
    proved, _ = gate.tombstone(
        attempt.id, include_earlier, incarnation, attempt.sent_at, now
    )
    return proved


def test_high_priority_attempts_run_first_and_evict_others():
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


def test_attempt_queued_past_its_deadline_is_refused():
    gate = gate_of(capacity=1)
    gate.submit(attempt_of("r1"), NOW)
    gate.submit(attempt_of("r2", deadline=NOW + 1.0), NOW)
    assert gate.on_tick(NOW + 0.5) == []
    assert refusals(gate.on_tick(NOW + 1.0)) == [("r2", "deadline")]


def test_suspect_runs_alone_and_blocks_later_attempts():
    """Guards against other requests failing in a known suspect's crash.

    A suspect arrives while others run, and more arrive after it. Unless the
    later ones wait, the server never becomes empty for the suspect.
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


def test_crash_reports_attempts_in_flight_and_refuses_queued_ones():
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


def test_replaced_agent_proves_nothing_and_refuses_others_attempts():
    """Guards against "not run" for a booking that was made.

    An attempt is handed over, its agent dies and is replaced at the same
    address, and the entry sends the new process a tombstone. The new process
    has no record of the attempt and must not take that for proof.
    """
    gate = gate_of()
    lost = booking("r1", incarnation=INCARNATION - 1)
    assert not tombstone(gate, lost, incarnation=INCARNATION - 1)
    assert not tombstone(gate, lost, incarnation=0)
    late = gate.submit(lost, NOW)
    assert refusals(late) == [("r1", "incarnation")]
    unaddressed = gate.submit(booking("r2", incarnation=0), NOW)
    assert refusals(unaddressed) == [("r2", "incarnation")]


def test_attempt_that_arrives_after_its_tombstone_is_refused():
    gate = gate_of()
    assert tombstone(gate, attempt_of("r1", 2), include_earlier=True)
    for number in (1, 2):
        actions = gate.submit(attempt_of("r1", number), NOW)
        assert refusals(actions) == [("r1", "tombstoned")]
    assert started(gate.submit(attempt_of("r1", 3), NOW)) == ["r1"]


def test_attempt_with_dropped_record_is_not_proved_to_be_not_run():
    """Guards against "not run" for a request that ran long ago.

    An entry is paused and asks for proof after the agent has dropped the
    attempt's record. Without a watermark, the attempt looks unknown.
    """
    gate = gate_of(retention_s=60.0)
    ran = attempt_of("r1", sent_at=NOW)
    gate.submit(ran, NOW)
    gate.on_answered(ran.id, NOW)
    assert not tombstone(gate, ran, NOW + 5.0)
    gate.on_tick(NOW + 1000.0)
    assert not tombstone(gate, ran, NOW + 1000.0)
    undated = dataclasses.replace(ran, sent_at=None)
    assert not tombstone(gate, undated, NOW + 1000.0)
    recent = attempt_of("r2", sent_at=NOW + 999.0)
    assert tombstone(gate, recent, NOW + 1000.0)


def test_attempt_older_than_the_records_of_tombstones_is_refused():
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
def test_key_is_handed_over_only_once(first, second, reason):
    gate = gate_of()
    gate.submit(booking("r1", claim_offset=first), NOW)
    actions = gate.submit(booking("r2", claim_offset=second), NOW)
    assert refusals(actions) == [("r2", reason)]


def test_claim_of_a_dropped_key_is_fenced():
    """Guards against a second booking by a frame that was delayed for long.

    A booking is handed over and, much later, its record is dropped. Another
    attempt with the same claim arrives, and its key looks new.
    """
    gate = gate_of(retention_s=60.0)
    gate.submit(booking("r1", claim_offset=5), NOW)
    gate.on_answered(types.AttemptId("r1", 1), NOW)
    gate.on_tick(NOW + 1000.0)
    late = booking("r1", claim_offset=5, attempt=2, deadline=NOW + 2000.0)
    actions = gate.submit(late, NOW + 1000.0)
    assert refusals(actions) == [("r1", "fenced")]


def test_older_claim_of_a_key_is_fenced():
    """Guards against a booking under a claim that was given up.

    An attempt with a newer claim of the key cannot reach the server and is
    refused. Then the attempt with the older claim arrives late.
    """
    gate = gate_of()
    new = booking("r2", claim_offset=9)
    gate.submit(new, NOW)
    gate.on_not_begun(new.id, types.RefusalReason.UNREACHABLE, NOW)
    old = gate.submit(booking("r1", claim_offset=5), NOW)
    assert refusals(old) == [("r1", "fenced")]
    actions = gate.submit(booking("r3", claim_offset=12), NOW)
    assert started(actions) == ["r3"]


def test_booking_continues_when_its_caller_disconnects():
    gate = gate_of()
    gate.submit(booking("r1"), NOW)
    assert gate.cancel(types.AttemptId("r1", 1), NOW) == []
    gate.submit(attempt_of("r2"), NOW)
    actions = gate.cancel(types.AttemptId("r2", 1), NOW)
    assert types.CancelBackend(types.AttemptId("r2", 1)) in actions


def test_delay_of_a_frame_is_estimated():
    """Guards against requests that run minutes after their entry gave up.

    A link stalls with a submission that has 3 s left and delivers it later.
    Deadlines are sent as the time left, since clocks differ, so the delay must
    be subtracted.
    """
    estimator = _calls.DelayEstimator()
    for number in range(10):
        now = NOW + number
        assert estimator.estimate_s(int((now - 700.0) * 1000), now) < 0.01
    late = estimator.estimate_s(int((NOW + 10 - 700.0) * 1000), NOW + 15.0)
    assert late == pytest.approx(5.0, abs=0.01)


def test_different_clock_rates_are_not_taken_for_delays():
    """Guards against an agent that refuses all requests after some days.

    A connection lasts for a week, and the clocks at its ends differ by 100 ppm.
    The difference between them grows by 9 s per day.
    """
    estimator = _calls.DelayEstimator()
    for second in range(0, 7 * 86_400, 20):
        sent = (NOW + second) * (1 - 100e-6)
        assert estimator.estimate_s(int(sent * 1000), NOW + second) < 0.05
