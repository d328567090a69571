"""Tests of `bench settings`: its checks, and small runs with faults."""

import asyncio

from absl import flags
import pytest

from clementinegw import exceptions
from clementinegw.bench import _settings_checker as checkers
from clementinegw.bench import _settings_faults as faults
from clementinegw.bench import settings as bench
from clementinegw.settings import changes
from clementinegw.settings import fold as fold_lib

RATE = "defaults.limits.requests_per_s"
KEYS = {
    "accepted",
    "rejected",
    "p50_in_force_s",
    "p99_in_force_s",
    "max_in_force_s",
    "reverted",
    "diverged",
    "log_appends",
}


def measure(*args):
    values = flags.FlagValues()
    bench.define(values)
    values(["bench", *args])
    return asyncio.run(bench.run(values))


@pytest.mark.parametrize("seed", [1, 3, 4, 5])
def test_concurrent_faults_revert_no_change(seed):
    # Guards against reverted changes: 41 to 258 accepted changes were no longer
    # in force, and one run never converged. The log returns without its last
    # records, accepts changes, and then the lost records are restored, or its
    # first records have expired as well. Changes that overlapped a lost one
    # were dropped, and there was no snapshot to start from.
    figures = measure(
        "--virtual",
        "--processes=16",
        "--changes=60",
        "--interval_s=3",
        f"--seed={seed}",
        "--faults=logdown,lostack,truncate,partition,restart",
    )
    assert figures.keys() >= KEYS
    assert figures["accepted"] > 20
    for key in ("reverted", "diverged", "missing"):
        assert figures[key] == 0, key


def test_only_relays_follow_the_log():
    relayed = measure("--virtual", "--processes=24", "--changes=5", "--burst=5")
    direct = measure(
        "--virtual", "--processes=24", "--changes=5", "--burst=5", "--relays=0"
    )
    assert (relayed["log_polls_peak"], direct["log_polls_peak"]) == (12, 24)
    assert relayed["max_in_force_s"] < 1.0


def test_unknown_fault_is_reported():
    with pytest.raises(exceptions.UsageError, match="logdwn"):
        measure("--faults=logdwn")


class FakeFollower:
    def __init__(self):
        self.fold = fold_lib.Fold()


def accept(fold, change_id, value):
    change = changes.Change(
        change_id, fold.revision, "ana", "", 1.0, (changes.Set(RATE, value),)
    )
    fold.apply(fold.position, change.encode(), 1.0)


def test_checker_detects_reverted_late_and_diverged_changes():
    checker = checkers.ConsistencyChecker()
    one, other = FakeFollower(), FakeFollower()
    accept(one.fold, "change-1", 5.0)
    checker.on_accepted("change-1", 10.0)
    checker.on_state("m1", "d1", one, 12.0)
    one.fold = fold_lib.Fold()
    accept(one.fold, "change-2", 6.0)
    checker.on_accepted("change-2", 20.0)
    checker.on_state("m1", "d1", one, 21.5)
    checker.on_state("m2", "d2", other, 22.0)

    state = (one.fold.revision, one.fold.digest)
    verdict = checker.evaluate(one.fold, {"m1": state, "m2": (0, "")})

    assert verdict.reverted == 2
    assert verdict.diverged == 1
    assert verdict.missing == 2
    assert sorted(verdict.in_force_s) == [1.5, 2.0]


@pytest.mark.parametrize(
    ("window", "expected"),
    [
        (checkers.Window("d1", 11.0, 14.0), 1.0),
        (checkers.Window("d2", 11.0, 14.0), 5.0),
        (checkers.Window("", 11.0, 14.0), 1.0),
        (checkers.Window("d1", 15.5, 16.0), 5.0),
    ],
)
def test_time_in_unreachable_windows_is_excluded(window, expected):
    checker, member = checkers.ConsistencyChecker(), FakeFollower()
    checker.unreachable_windows.append(window)
    accept(member.fold, "change-1", 5.0)
    checker.on_accepted("change-1", 10.0)
    checker.on_state("m1", "d1", member, 15.0)
    verdict = checker.evaluate(member.fold, {"m1": (1, member.fold.digest)})
    assert verdict.in_force_s == [expected]
    assert verdict.raw_in_force_s == [5.0]


def test_fault_names():
    assert {fault.value for fault in faults.Fault} == {
        "logdown",
        "lostack",
        "truncate",
        "partition",
        "restart",
    }
