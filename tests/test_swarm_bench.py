"""Tests of the rollout bench: small runs over loopback in virtual time."""

import asyncio

from absl import flags
import pytest

from clementinegw import exceptions
from clementinegw.bench import rollout

KEYS = {
    "policy",
    "replicas",
    "seconds_to_half",
    "seconds_to_95",
    "seconds_to_all",
    "bound_seconds",
    "ratio_to_bound",
    "origin_copies",
    "max_sent_copies",
    "cross_domain_copies",
    "mixed_serves",
}


def run_bench(*arguments):
    values = flags.FlagValues()
    rollout.define(values)
    values(
        [
            "rollout",
            "--replicas=8",
            "--domains=2",
            "--chunks=16",
            "--chunk_bytes=4096",
            "--parts=4",
            *arguments,
        ]
    )
    return asyncio.run(rollout.run(values))


def test_swarm_is_faster_than_the_baselines_on_the_same_links():
    results = run_bench("--compare=origin,tree")
    assert results.keys() >= KEYS
    assert results["origin_copies"] == 1.0
    assert results["origin"]["origin_copies"] == 8.0
    assert results["tree"]["max_sent_copies"] == 2.0
    assert results["times_faster_than_origin"] > 1
    assert results["times_faster_than_tree"] > 1
    assert results["bound_seconds"] <= results["seconds_to_all"]


def test_combined_faults_end_with_the_newest_version_and_no_mixed_answers():
    results = run_bench(
        "--faults=die,stall,corrupt,change,partition", "--seed=3"
    )
    assert results["serving_newest"] == results["live_replicas"] == 7
    assert results["mixed_serves"] == 0


def test_sharing_both_directions_raises_the_bound():
    separate, shared = run_bench(), run_bench("--shared_directions")
    assert shared["bound_seconds"] > 1.5 * separate["bound_seconds"]
    assert shared["seconds_to_all"] >= shared["bound_seconds"]


def test_unknown_fault_is_a_usage_error_that_lists_the_known_ones():
    with pytest.raises(exceptions.UsageError, match="die, stall, corrupt"):
        run_bench("--faults=dye")
