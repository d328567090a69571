"""Tests of the requests bench: guarantees under faults, and its keys."""

import pytest

from clementinegw.bench import _requests_report
from clementinegw.bench import _requests_virtual
from clementinegw.bench import requests as bench

_GUARANTEES = ("false_not_run", "doubled", "lost", "crossed", "cut_off")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_guarantees_hold_under_concurrent_faults(seed):
    """Guards against violations that need two concurrent faults.

    Servers crash, stall, leave and run requests that crash them, the log is
    down and links are partitioned, at random and together. Any of the filters
    may cause a violation. The guarantees are checked against the ledger of the
    backend servers, not against reports of the system.
    """
    plan = _requests_virtual.Plan(
        entries=3,
        workers=4,
        load=0.5,
        seed=seed,
        seconds=16.0,
        faults=bench.FAULTS,
    )
    result = _requests_virtual.run(plan)
    assert result.verdict == dict.fromkeys(_GUARANTEES, 0)
    assert result.answered > 0.5 * result.offered
    # Faults were injected and affected requests.
    assert result.counters["gate.crashes"] > 0
    assert sum(result.not_run.values()) + result.unknown > 0


def test_figures_contain_required_keys():
    plan = _requests_virtual.Plan(entries=2, workers=2, seconds=12.0)
    figures = _requests_report.combine([_requests_virtual.run(plan)], 1.0)
    assert set(figures) >= {
        "policy",
        "offered",
        "answered",
        "goodput_ratio",
        "p50_ms",
        "p99_ms",
        "p99_high_ms",
        "not_run_by_reason",
        "unknown",
        "cpu_us_per_request",
        *_GUARANTEES,
    }
    assert figures["offered"] == figures["answered"] > 0
