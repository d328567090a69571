"""Tests the division of free slots at entries with uneven callers."""

import asyncio
import functools
import statistics

import overload_site

from clementinegw.testing import clock as clocks

LASTS_S = 14.0
# Entries know their demand and engines are full, in seconds.
SETTLED_S = 4.0
# Time to wait for requests in flight at the end, in seconds.
DRAIN_S = 7.0
LOAD_FACTOR = 0.9
SEEDS = (1, 2, 3, 4)
EVEN = (1, 1, 1, 1, 1, 1, 1, 1)
SIZES = (1, 3, 1, 3, 1, 3, 1, 3)
REGIONS = (1, 9, 1, 9, 1, 9, 1, 9)
# A difference below this one is noise.
NOISE = 0.01


@functools.cache
def share_in_time(weights, tell_demand, know_lag):
    """Returns the mean fraction of serviceable callers in time."""

    async def run(seed):
        site = overload_site.Simulation(
            engines=8,
            entries=len(weights),
            seed=seed,
            entry_weights=weights,
            tell_demand=tell_demand,
            know_lag=know_lag,
        )
        await site.play(LASTS_S, lambda now: LOAD_FACTOR)
        await asyncio.sleep(DRAIN_S)
        site.stop()
        return site.share_in_time(SETTLED_S, LASTS_S)

    return statistics.fmean(clocks.run(run(seed)) for seed in SEEDS)


def test_uneven_callers_are_served_by_demand():
    """Guards against idle slots at one entry while requests wait at another.

    Entries with nine times the callers of others got as many of the slots.
    """
    by_demand = share_in_time(REGIONS, tell_demand=True, know_lag=True)
    equally = share_in_time(REGIONS, tell_demand=False, know_lag=True)
    assert by_demand >= equally + 2 * NOISE


def test_uneven_callers_are_in_time_more_often():
    """Both by demand and by not using slots that were just used."""
    former = share_in_time(SIZES, tell_demand=False, know_lag=False)
    now = share_in_time(SIZES, tell_demand=True, know_lag=True)
    assert now >= former + 2 * NOISE


def test_even_callers_are_in_time_as_often():
    former = share_in_time(EVEN, tell_demand=False, know_lag=False)
    now = share_in_time(EVEN, tell_demand=True, know_lag=True)
    assert now >= former - NOISE
