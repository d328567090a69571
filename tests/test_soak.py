"""A short soak with a fixed seed, and every seed that ever failed.

Real processes and real signals; only promises are judged, no times. Longer:
`python tests/soak/run.py --seeds=50`.
"""

import pathlib
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent / "soak"))

import run

# Seed 1 found two faults: questions that many ask were refused after three
# lost answers, and a reload during the start ended the process.
SEEDS = [1, 101]
# Seed 3 found that the judge took a piece for spoilt that had rotted between
# its check and the order, which the rules allow.
WEIGHTS_SEEDS = [3]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_a_seeded_plan_of_faults(seed):
    violations, requests, faults = run.run_seed(seed, seconds=6.0)
    assert violations == []
    assert requests > 0
    assert faults > 0


@pytest.mark.parametrize("seed", WEIGHTS_SEEDS)
def test_versions_come_whole_under_a_seeded_plan_of_faults(seed):
    violations, loads, faults = run.run_seed(
        seed, seconds=6.0, subject="weights"
    )
    assert violations == []
    assert loads > 0
    assert faults > 0


def test_what_servers_report_is_heeded_under_a_seeded_plan_of_faults():
    violations, requests, faults = run.run_seed(
        3, seconds=6.0, subject="signals"
    )
    assert violations == []
    assert requests > 0
    assert faults > 0


def test_versions_are_kept_to_by_entries_that_start_again():
    """Entries are killed or stopped while a version is due; see the soak."""
    violations, requests, faults = run.run_seed(
        1, seconds=6.0, subject="versions"
    )
    assert violations == []
    assert requests > 0
    assert faults > 0
