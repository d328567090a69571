"""The fold of the settings stream: the same verdict on every process."""

import json
import random

import hypothesis
from hypothesis import strategies
import pytest

from clementinegw import exceptions
from clementinegw.settings import changes
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import model
from clementinegw.settings import records
from clementinegw.settings import results

RATE = "defaults.limits.requests_per_s"
BURST = "defaults.limits.burst_s"


def make(change_id, base, *operations, schema=1):
    return changes.Change(
        change_id, base, "ana", "test", 1.0, operations, schema
    )


def put(fold, change):
    value = change if isinstance(change, bytes) else change.encode()
    return fold.apply(fold.position, value, float(fold.position))


def test_racing_operators_get_one_winner_and_its_name():
    # Symptom: two volunteers set the same rate, both are told it took effect,
    # one of them finds the other's value. Sequence: both read revision 1 and
    # publish. Cause: a fold in which the last writer wins.
    fold = fold_lib.Fold()
    assert put(fold, make("first-00", 0, changes.Set(RATE, 5.0))) == (
        results.Accepted(1)
    )
    one = put(fold, make("second-0", 1, changes.Set(RATE, 6.0)))
    other = put(fold, make("third-00", 1, changes.Set(RATE, 7.0)))
    apart = put(fold, make("fourth-0", 1, changes.Set(BURST, 3.0)))

    assert one == results.Accepted(2)
    assert other.reason is results.RejectReason.CONFLICT
    assert other.conflicting_change == "second-0"
    assert other.conflicting_revision == 2
    assert apart == results.Accepted(4)
    assert fold.tree.defaults.limits.requests_per_s == 6.0


@pytest.mark.parametrize(
    ("touched", "conflicts"),
    [
        ("defaults.limits", True),
        ("defaults", True),
        ("defaults.limits.requests_per_s", True),
        ("defaults.limits.burst_s", False),
        ("defaults.limits.requests", False),
    ],
)
def test_paths_above_and_below_conflict(touched, conflicts):
    assert changes.overlap(RATE, touched) is conflicts
    assert changes.overlap(touched, RATE) is conflicts


def test_same_id_counts_once():
    # Symptom: a change is in force twice, or is told as rejected though it is
    # in force. Sequence: the append's answer is lost, the command appends
    # again. Cause: a fold that decides on the second record anew.
    fold = fold_lib.Fold()
    change = make("only-one", 0, changes.Set(RATE, 5.0))
    put(fold, change)
    put(fold, make("another0", 1, changes.Set(RATE, 6.0)))
    assert put(fold, change) == results.Duplicate(results.Accepted(1))
    assert fold.revision == 2
    assert fold.tree.defaults.limits.requests_per_s == 6.0


@pytest.mark.parametrize(
    ("operation", "part"),
    [
        (changes.Set("defaults.limits.request_per_s", 1), "requests_per_s"),
        (changes.Set(RATE, "5"), "expected a valid number"),
        (changes.Set("services.a", {"kind": "plan"}), "plain"),
        (changes.Set("failure_domains.d", {"region": "x"}), "a region"),
        (changes.Set(f"{RATE}.deeper", 1), "expected a valid number"),
        (changes.Set("schema", 2), "expected 1"),
    ],
)
def test_change_that_breaks_the_tree_is_rejected(operation, part):
    fold = fold_lib.Fold()
    result = put(fold, make("breaking", 0, operation))
    assert result.reason is results.RejectReason.INVALID
    assert part in result.detail
    assert "\n" not in result.detail
    assert fold.revision == 0


@pytest.mark.parametrize(
    ("value", "reason"),
    [
        (b"\xff\x00", records.SkipReason.NOT_JSON),
        (b"[" * 5000, records.SkipReason.NOT_JSON),
        (b'{"schema":1,"kind":"change","x":NaN}', records.SkipReason.NOT_JSON),
        (b"[]", records.SkipReason.MALFORMED),
        (b'{"schema":true,"kind":"change"}', records.SkipReason.MALFORMED),
        (b'{"schema":1,"kind":"change"}', records.SkipReason.MALFORMED),
        (b'{"schema":1,"kind":"poem"}', records.SkipReason.UNKNOWN_KIND),
        (b" " * 1_048_577, records.SkipReason.TOO_LARGE),
    ],
)
def test_bad_record_is_skipped(value, reason):
    fold = fold_lib.Fold()
    assert put(fold, value) == results.Skipped(reason)
    assert put(fold, make("following", 0, changes.Set(RATE, 5.0))) == (
        results.Accepted(2)
    )


def test_unknown_schema_halts_there():
    # Symptom: after half of the fleet was upgraded, processes run with
    # different settings under the same revision. Sequence: a record of the
    # later version comes, the older one skips it and folds on. Cause: skipping
    # what might have been a change.
    fold = fold_lib.Fold()
    put(fold, make("before-0", 0, changes.Set(RATE, 5.0)))
    later = make("later-00", 1, changes.Set(RATE, 6.0), schema=2)
    assert put(fold, later) == results.Halted(2)
    after = make("after-00", 1, changes.Set(RATE, 7.0))
    assert put(fold, after) == results.Halted(2)
    assert (fold.revision, fold.position, fold.halted) == (1, 2, 2)


def test_knob_of_a_later_schema_is_refused_in_an_older_record(monkeypatch):
    # Symptom: the upgraded half accepts a change that the other half rejects.
    # Sequence: an operator names a new knob in a record of the old schema.
    # Cause: each half checks the tree against its own models.
    newer = frozenset({("limits", "burst_s")})
    monkeypatch.setattr(
        "clementinegw.settings.knobs.newer_than", lambda _: newer
    )
    fold = fold_lib.Fold()
    for path, value in ((BURST, 3.0), ("defaults", {"limits": {"burst_s": 3}})):
        result = put(
            fold, make(f"newer-{len(path):03}", 0, changes.Set(path, value))
        )
        assert result.reason is results.RejectReason.INVALID
    assert put(fold, make("old-knob", 0, changes.Set(RATE, 3.0))) == (
        results.Accepted(3)
    )


def test_undo_restores_and_is_itself_undone():
    fold = fold_lib.Fold()
    put(fold, make("first-00", 0, changes.Set("regions.noord", {})))
    before = fold.raw
    both = (changes.Set(RATE, 5.0), changes.Unset("regions.noord"))
    put(fold, make("second-0", 1, *both))
    changed = fold.raw
    entry = fold.history(RATE)[0]
    put(fold, make("undo-000", entry.revision, *entry.inverse))
    assert fold.raw == before
    entry = fold.history()[-1]
    put(fold, make("redo-000", entry.revision, *entry.inverse))
    assert fold.raw == changed


def test_forgotten_change_is_not_applied_again():
    # Symptom: a change refused weeks ago takes effect. Sequence: the platform
    # delivers a delayed append after its id was forgotten. Cause: ids are
    # kept in bounded memory; the floor has to stop what is older.
    fold = fold_lib.Fold()
    put(fold, make("start-00", 0, changes.Set(RATE, 1.0)))
    late = make("late-000", 1, changes.Set(BURST, "wrong"))
    assert put(fold, late).reason is results.RejectReason.INVALID
    for number in range(fold_lib.MAX_VERDICTS + 1):
        change = changes.Set(RATE, float(number))
        put(fold, make(f"next-{number:04}", fold.revision, change))
    assert fold.result_of("late-000") is None
    fixed = make("late-000", 1, changes.Set(BURST, 4.0))
    assert put(fold, fixed).reason is results.RejectReason.STALE_BASE
    current = make("current-0", fold.revision, changes.Set(BURST, 4.0))
    assert isinstance(put(fold, current), results.Accepted)


def test_flood_of_refused_changes_stops_nobody():
    fold = fold_lib.Fold()
    put(fold, make("start-00", 0, changes.Set(RATE, 1.0)))
    for number in range(fold_lib.MAX_VERDICTS * 2):
        put(fold, make(f"bad-{number:05}", 1, changes.Set("nonsense", 1)))
    good = make("good-000", 1, changes.Set(RATE, 2.0))
    assert isinstance(put(fold, good), results.Accepted)
    replay = make("bad-00000", 1, changes.Set(BURST, 1.0))
    assert put(fold, replay).reason is results.RejectReason.STALE_BASE


def test_snapshot_continues_as_the_fold_would():
    fold = fold_lib.Fold()
    put(fold, make("first-00", 0, changes.Set(RATE, 5.0)))
    put(fold, make("refused0", 1, changes.Set("nonsense", 1)))
    copy = fold_lib.Fold.from_snapshot(fold.snapshot())
    assert copy.snapshot() == fold.snapshot()
    replayed = make("refused0", 1, changes.Set(BURST, 2.0))
    assert put(fold, replayed) == put(copy, replayed)
    assert isinstance(put(copy, make("x" * 8, 1)), results.Skipped)


def test_damaged_snapshot_is_refused():
    fold = fold_lib.Fold()
    put(fold, make("first-00", 0, changes.Set(RATE, 5.0)))
    data = json.loads(fold.snapshot())
    for key, value in (
        ("state", data["state"][:-8] + "AAAAAAA="),
        ("digest", "0" * 64),
        ("revision", 9),
    ):
        with pytest.raises(exceptions.DecodeError):
            fold_lib.Fold.from_snapshot(
                json.dumps({**data, key: value}).encode()
            )


def test_snapshot_brings_back_what_the_log_lost():
    # Symptom: accepted settings are gone on every process that starts, while
    # the others still have them. Sequence: the log comes back from an outage
    # without its last records; two changes are accepted in it before a process
    # that still has the lost ones puts its snapshot in. Cause: the log alone
    # no longer knows what was accepted.
    whole, shortened = fold_lib.Fold(), fold_lib.Fold()
    first = make("first-00", 0, changes.Set(RATE, 5.0))
    put(whole, first)
    put(shortened, first)
    put(whole, make("lost-000", 1, changes.Set(RATE, 6.0)))
    put(whole, make("lost-001", 2, changes.Set("regions.zuid", {})))
    put(shortened, make("meanwhile", 1, changes.Set(BURST, 9.0)))
    put(shortened, make("clashing", 1, changes.Set(RATE, 7.0)))
    put(shortened, make("refused0", 1, changes.Set(RATE, 8.0)))

    restored = put(shortened, whole.snapshot())

    assert restored == results.Restored(5, ("meanwhile", "clashing"), ())
    limits = shortened.tree.defaults.limits
    assert (limits.requests_per_s, limits.burst_s) == (7.0, 9.0)
    assert "zuid" in shortened.tree.regions
    for change_id in ("lost-000", "lost-001", "meanwhile", "clashing"):
        assert shortened.result_of(change_id) is not None
    again = put(shortened, whole.snapshot())
    assert again == results.Skipped(records.SkipReason.SNAPSHOT_OLDER)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from(["", ".", RATE, "change", "snapshot", "x" * 8])
    | strategies.floats(allow_nan=False, allow_infinity=False),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["set", "unset", "value", "x"]), inner
        )
    ),
    max_leaves=8,
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.sampled_from(["change", "snapshot"]),
    strategies.dictionaries(
        strategies.sampled_from(
            ["id", "base", "operations", "revision", "state", "refused"]
        ),
        JSON,
    ),
)
def test_no_record_stops_a_fold(kind, fields):
    # Symptom: every process stays at one revision for ever and logs the same
    # defect each second. Sequence: someone appends a record of the right kind
    # with odd contents. Cause: an error out of the fold; the record is met
    # again at each try.
    template = json.loads(make("template", 0, changes.Unset(RATE)).encode())
    if kind == "snapshot":
        template = json.loads(fold_lib.Fold().snapshot())
    known = {k: v for k, v in fields.items() if k in template}
    value = json.dumps({**template, **known}).encode()
    fold = fold_lib.Fold()
    put(fold, make("first-00", 0, changes.Set(RATE, 5.0)))
    result = put(fold, value)
    assert isinstance(
        result, results.Accepted | results.Rejected | results.Skipped
    )
    assert fold.position == 3


PATHS = [
    RATE,
    BURST,
    "defaults.limits",
    "regions.noord",
    "regions",
    "failure_domains.hal",
    "regions.noord.settings.limits",
    "customers.Wrong",
]
VALUES = [1.0, "bad", {}, {"burst_s": 2.0}, {"region": "noord"}]
OPERATIONS = strategies.one_of(
    strategies.builds(
        changes.Set,
        strategies.sampled_from(PATHS),
        strategies.sampled_from(VALUES),
    ),
    strategies.builds(changes.Unset, strategies.sampled_from(PATHS)),
)
STEPS = strategies.tuples(
    strategies.integers(0, 9),
    strategies.integers(0, 3),
    strategies.lists(OPERATIONS, min_size=1, max_size=3),
    strategies.booleans(),
)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(STEPS, max_size=20), strategies.integers())
def test_folds_agree_wherever_they_start(steps, seed):
    """Two folds, one of them restarted from snapshots, never differ."""
    rng = random.Random(seed)
    fold, other = fold_lib.Fold(), fold_lib.Fold()
    revision = 0
    for number, lag, operations, snapshot in steps:
        if snapshot:
            assert put(fold, value := fold.snapshot()) == put(other, value)
        base = max(fold.revision - lag, 0)
        change = make(f"change-{number}", base, *operations)
        preview = fold.preview(change)
        known = fold.result_of(change.change_id)
        result = put(fold, change)
        if known is None:
            assert result == preview
        if rng.random() < 0.5:
            other = fold_lib.Fold.from_snapshot(other.snapshot())
        assert put(other, change) == result or known is not None
        assert (fold.revision, fold.digest) == (other.revision, other.digest)
        assert fold.raw == other.raw
        assert fold.tree == model.parse_tree(fold.raw)
        assert fold.revision >= revision
        revision = fold.revision
