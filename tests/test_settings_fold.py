"""Tests that the fold of the settings stream is the same everywhere."""

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


def make_change(change_id, base, *operations, schema=1):
    return changes.Change(
        change_id, base, "ana", "test", 1.0, operations, schema
    )


def apply_next(fold, change):
    value = change if isinstance(change, bytes) else change.encode()
    return fold.apply(fold.position, value, float(fold.position))


def test_conflicting_change_is_rejected_with_the_id_of_the_other():
    # Two operators read revision 1 and set the same rate. Both changes were
    # reported as accepted, but only one value was in force, because in the fold
    # the last writer won.
    fold = fold_lib.Fold()
    assert apply_next(
        fold, make_change("first-00", 0, changes.Set(RATE, 5.0))
    ) == (results.Accepted(1))
    winner = apply_next(
        fold, make_change("second-0", 1, changes.Set(RATE, 6.0))
    )
    conflicting = apply_next(
        fold, make_change("third-00", 1, changes.Set(RATE, 7.0))
    )
    unrelated = apply_next(
        fold, make_change("fourth-0", 1, changes.Set(BURST, 3.0))
    )

    assert winner == results.Accepted(2)
    assert conflicting.reason is results.RejectReason.CONFLICT
    assert conflicting.conflicting_change == "second-0"
    assert conflicting.conflicting_revision == 2
    assert unrelated == results.Accepted(4)
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
    # A change was in force twice, or was reported as rejected although it was
    # in force. The answer to the append was lost, the command appended the
    # change again, and the fold decided on the second record separately.
    fold = fold_lib.Fold()
    change = make_change("only-one", 0, changes.Set(RATE, 5.0))
    apply_next(fold, change)
    apply_next(fold, make_change("another0", 1, changes.Set(RATE, 6.0)))
    assert apply_next(fold, change) == results.Duplicate(results.Accepted(1))
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
def test_change_that_makes_the_tree_invalid_is_rejected(operation, part):
    fold = fold_lib.Fold()
    result = apply_next(fold, make_change("breaking", 0, operation))
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
    assert apply_next(fold, value) == results.Skipped(reason)
    assert apply_next(
        fold, make_change("following", 0, changes.Set(RATE, 5.0))
    ) == (results.Accepted(2))


def test_fold_halts_at_an_unknown_schema():
    # After half of the fleet was upgraded, processes ran with different
    # settings under the same revision. Processes of the older version skipped a
    # record of the later version, which may be a change, and folded on.
    fold = fold_lib.Fold()
    apply_next(fold, make_change("before-0", 0, changes.Set(RATE, 5.0)))
    later = make_change("later-00", 1, changes.Set(RATE, 6.0), schema=2)
    assert apply_next(fold, later) == results.Halted(2)
    after = make_change("after-00", 1, changes.Set(RATE, 7.0))
    assert apply_next(fold, after) == results.Halted(2)
    assert (fold.revision, fold.position, fold.halted) == (1, 2, 2)


def test_knob_of_a_later_schema_is_refused_in_an_older_record(monkeypatch):
    # An operator sets a new knob in a record of the old schema. If each process
    # checks the tree only against its own models, the upgraded processes accept
    # a change that the others reject.
    newer = frozenset({("limits", "burst_s")})
    monkeypatch.setattr(
        "clementinegw.settings.knobs.newer_than", lambda _: newer
    )
    fold = fold_lib.Fold()
    for path, value in ((BURST, 3.0), ("defaults", {"limits": {"burst_s": 3}})):
        result = apply_next(
            fold,
            make_change(f"newer-{len(path):03}", 0, changes.Set(path, value)),
        )
        assert result.reason is results.RejectReason.INVALID
    assert apply_next(
        fold, make_change("old-knob", 0, changes.Set(RATE, 3.0))
    ) == (results.Accepted(3))


def test_undo_restores_the_tree_and_can_be_undone():
    fold = fold_lib.Fold()
    apply_next(
        fold, make_change("first-00", 0, changes.Set("regions.noord", {}))
    )
    before = fold.raw
    both = (changes.Set(RATE, 5.0), changes.Unset("regions.noord"))
    apply_next(fold, make_change("second-0", 1, *both))
    changed = fold.raw
    entry = fold.history(RATE)[0]
    apply_next(fold, make_change("undo-000", entry.revision, *entry.inverse))
    assert fold.raw == before
    entry = fold.history()[-1]
    apply_next(fold, make_change("redo-000", entry.revision, *entry.inverse))
    assert fold.raw == changed


def test_change_whose_verdict_was_removed_is_not_applied_again():
    # A change rejected weeks ago took effect: the platform delivered a delayed
    # append after the verdict of the change had been removed, because verdicts
    # are kept in bounded memory. The floor has to reject such old changes.
    fold = fold_lib.Fold()
    apply_next(fold, make_change("start-00", 0, changes.Set(RATE, 1.0)))
    late = make_change("late-000", 1, changes.Set(BURST, "wrong"))
    assert apply_next(fold, late).reason is results.RejectReason.INVALID
    for number in range(fold_lib.MAX_VERDICTS + 1):
        change = changes.Set(RATE, float(number))
        apply_next(
            fold, make_change(f"next-{number:04}", fold.revision, change)
        )
    assert fold.result_of("late-000") is None
    fixed = make_change("late-000", 1, changes.Set(BURST, 4.0))
    assert apply_next(fold, fixed).reason is results.RejectReason.STALE_BASE
    current = make_change("current-0", fold.revision, changes.Set(BURST, 4.0))
    assert isinstance(apply_next(fold, current), results.Accepted)


def test_many_rejected_changes_do_not_block_a_valid_one():
    fold = fold_lib.Fold()
    apply_next(fold, make_change("start-00", 0, changes.Set(RATE, 1.0)))
    for number in range(fold_lib.MAX_VERDICTS * 2):
        apply_next(
            fold, make_change(f"bad-{number:05}", 1, changes.Set("nonsense", 1))
        )
    good = make_change("good-000", 1, changes.Set(RATE, 2.0))
    assert isinstance(apply_next(fold, good), results.Accepted)
    replay = make_change("bad-00000", 1, changes.Set(BURST, 1.0))
    assert apply_next(fold, replay).reason is results.RejectReason.STALE_BASE


def test_fold_from_a_snapshot_equals_the_original():
    fold = fold_lib.Fold()
    apply_next(fold, make_change("first-00", 0, changes.Set(RATE, 5.0)))
    apply_next(fold, make_change("refused0", 1, changes.Set("nonsense", 1)))
    copy = fold_lib.Fold.from_snapshot(fold.snapshot())
    assert copy.snapshot() == fold.snapshot()
    replayed = make_change("refused0", 1, changes.Set(BURST, 2.0))
    assert apply_next(fold, replayed) == apply_next(copy, replayed)
    assert isinstance(
        apply_next(copy, make_change("x" * 8, 1)), results.Skipped
    )


def test_damaged_snapshot_is_refused():
    fold = fold_lib.Fold()
    apply_next(fold, make_change("first-00", 0, changes.Set(RATE, 5.0)))
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


def test_snapshot_restores_changes_that_the_log_lost():
    # Accepted settings were missing on every process that started, while the
    # other processes still had them. The log lost its last records in an
    # outage, and two more changes were accepted in it before a process that had
    # the lost changes appended its snapshot.
    whole, shortened = fold_lib.Fold(), fold_lib.Fold()
    first = make_change("first-00", 0, changes.Set(RATE, 5.0))
    apply_next(whole, first)
    apply_next(shortened, first)
    apply_next(whole, make_change("lost-000", 1, changes.Set(RATE, 6.0)))
    apply_next(
        whole, make_change("lost-001", 2, changes.Set("regions.zuid", {}))
    )
    apply_next(shortened, make_change("meanwhile", 1, changes.Set(BURST, 9.0)))
    apply_next(shortened, make_change("clashing", 1, changes.Set(RATE, 7.0)))
    apply_next(shortened, make_change("refused0", 1, changes.Set(RATE, 8.0)))

    restored = apply_next(shortened, whole.snapshot())

    assert restored == results.Restored(5, ("meanwhile", "clashing"), ())
    limits = shortened.tree.defaults.limits
    assert (limits.requests_per_s, limits.burst_s) == (7.0, 9.0)
    assert "zuid" in shortened.tree.regions
    for change_id in ("lost-000", "lost-001", "meanwhile", "clashing"):
        assert shortened.result_of(change_id) is not None
    again = apply_next(shortened, whole.snapshot())
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
def test_no_record_makes_a_fold_fail(kind, fields):
    # Every process stayed at one revision and logged the same defect each
    # second. A record of a valid kind had unexpected contents, folding it
    # raised an error, and the record was folded again at each retry.
    template = json.loads(
        make_change("template", 0, changes.Unset(RATE)).encode()
    )
    if kind == "snapshot":
        template = json.loads(fold_lib.Fold().snapshot())
    known = {k: v for k, v in fields.items() if k in template}
    value = json.dumps({**template, **known}).encode()
    fold = fold_lib.Fold()
    apply_next(fold, make_change("first-00", 0, changes.Set(RATE, 5.0)))
    result = apply_next(fold, value)
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
def test_folds_agree_from_any_start(steps, seed):
    """A fold that is restarted from snapshots equals one that is not."""
    rng = random.Random(seed)
    fold, other = fold_lib.Fold(), fold_lib.Fold()
    revision = 0
    for number, lag, operations, snapshot in steps:
        if snapshot:
            assert apply_next(fold, value := fold.snapshot()) == apply_next(
                other, value
            )
        base = max(fold.revision - lag, 0)
        change = make_change(f"change-{number}", base, *operations)
        preview = fold.preview(change)
        known = fold.result_of(change.change_id)
        result = apply_next(fold, change)
        if known is None:
            assert result == preview
        if rng.random() < 0.5:
            other = fold_lib.Fold.from_snapshot(other.snapshot())
        assert apply_next(other, change) == result or known is not None
        assert (fold.revision, fold.digest) == (other.revision, other.digest)
        assert fold.raw == other.raw
        assert fold.tree == model.parse_tree(fold.raw)
        assert fold.revision >= revision
        revision = fold.revision
