"""Tests that servers get no more requests than fit into their memory."""

import asyncio
import dataclasses
import functools
import json
import math

from adapter import records as adapter_records
import overload_site
import platform_site as sites
import pytest
import test_direct_places as places_tests

from clementinegw.direct import outcomes
from clementinegw.direct import reports
from clementinegw.direct import types
from clementinegw.scheduling import server_memory
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

CAPACITY = 60_000
# Prompts of which fewer fit into the memory of an engine than it has slots.
LONG = (
    overload_site.Kind("long", 20.0, 7_000.0, 21.0, 0.6),
    overload_site.Kind("short", 40.0, 700.0, 21.0, 0.4),
)
ENGINE = dataclasses.replace(
    places_tests.ENGINE,
    typical_prompt_tokens=900.0,
    typical_answer_tokens=100.0,
    memory_tokens=10_000,
    layers=0,
)


def need_of(prompt, answer=0, capacity=10_000):
    return server_memory.need_of(prompt, answer, capacity, 900.0, 100.0)


@functools.cache
def play(memory_tokens, kinds=LONG, seed=1):
    async def run():
        site = overload_site.Simulation(
            engines=8, seed=seed, kinds=kinds, memory_tokens=memory_tokens
        )
        await site.play(8.0, lambda now: 0.5 if now < 2.0 else 1.6)
        await asyncio.sleep(7.0)
        site.stop()
        return site

    return clocks.run(run())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_burst_of_long_prompts_stays_within_the_memory_of_servers(seed):
    """Servers with free slots got more tokens than they have memory for."""
    assert play(0, seed=seed).peak_tokens > CAPACITY
    assert play(CAPACITY, seed=seed).peak_tokens <= CAPACITY


def test_long_and_short_prompts_are_both_served_within_the_memory():
    """Guards against a bound that leaves servers idle."""
    served = [
        sum(c.served for c in play(memory).callers) for memory in (0, CAPACITY)
    ]
    assert served[1] >= 0.8 * served[0]
    for kind in LONG:
        callers = [c for c in play(CAPACITY).callers if c.kind is kind]
        assert sum(c.served for c in callers) >= 0.3 * len(callers)


def test_ample_memory_changes_no_decision():
    """Guards against costs for deployments whose servers have enough memory."""
    unknown, ample = (
        play(memory, overload_site.KINDS) for memory in (0, 317_000)
    )
    assert unknown.started == ample.started
    assert unknown.arrived_at == ample.arrived_at
    assert [dataclasses.astuple(c) for c in unknown.callers] == [
        dataclasses.astuple(c) for c in ample.callers
    ]


def test_expected_answers_are_bounded_by_typical_ones():
    """Guards against callers that state far more tokens than they get."""
    assert need_of(500, 50).tokens == pytest.approx(550, abs=100)
    assert need_of(500, 1_000_000).tokens == pytest.approx(900, abs=100)
    assert need_of(500).tokens == pytest.approx(600, abs=100)
    unusual = server_memory.need_of(500, 4_000, 10_000, 0.0, 0.0)
    assert unusual.tokens == pytest.approx(4_500, abs=100)
    assert server_memory.need_of(500, 50, 0, 900.0, 100.0) is None


def test_most_requests_have_the_same_need():
    """Guards against a search of all servers for each waiting request."""
    capacity = 317_000
    needs = {need_of(p, 100, capacity) for p in range(647, 1_331)}
    assert len(needs) <= 2


def test_an_empty_server_takes_whatever_its_memory_holds():
    need = need_of(9_900, 1)
    assert not need.too_large
    assert need.fits(0, 0.4)
    assert not need.fits(0, 1.0)
    assert need_of(9_999, 1_000).too_large
    assert not need_of(9_999, 1_000).fits(0, 0.0)


def test_requests_of_other_entries_count_as_typical_ones():
    need = need_of(2_800, 100)
    assert need.fits(0, 6.0)
    assert not need.fits(0, 7.0)
    assert not need.fits(6_100, 0.0)


def test_the_next_server_with_memory_is_chosen():
    """The less loaded server has no memory left for the request."""

    async def play():
        clock = asyncio.get_running_loop().time
        fleet = places_tests.Fleet("d2", "d2", clock=clock, engine=ENGINE)
        placed = []
        for prompt in (5_000, 5_000, 3_000, 3_000):
            job = fleet.job()
            job.metadata = types.RequestMetadata(
                prompt_tokens=prompt, output_tokens=100
            )
            reservation = await fleet.placer.reserve(job)
            placed.append(reservation)
        held = [fleet.backend(n).held_tokens for n in (1, 2)]
        for reservation in placed:
            reservation.release()
        left = [fleet.backend(n).held_tokens for n in (1, 2)]
        return [r.backend.server.server_id for r in placed], held, left

    names, held, left = clocks.run(play())
    assert sorted(names) == ["s1", "s1", "s2", "s2"]
    assert max(held) <= 9_000
    assert left == [0, 0]


def test_a_request_larger_than_any_memory_is_refused_at_once_and_for_good():
    """Guards against a request that waits for memory that no server has."""

    async def play():
        clock = asyncio.get_running_loop().time
        fleet = places_tests.Fleet("d2", clock=clock, engine=ENGINE)
        job = fleet.job()
        job.metadata = types.RequestMetadata(prompt_tokens=10_001)
        began_at = clock()
        refusal = await fleet.placer.reserve(job)
        return refusal, job.deadline - clock(), clock() - began_at

    refusal, left_s, waited_s = clocks.run(play())
    assert refusal.status == 503
    assert refusal.reason is outcomes.RefusalReason.TOO_LARGE
    assert refusal.retry_after_s == pytest.approx(left_s)
    assert waited_s == 0.0


@pytest.mark.parametrize(
    ("memory_requests", "shares"), [(math.inf, 8), (8.0, 8), (3.0, 3)]
)
def test_entries_share_slots_for_which_there_is_memory(memory_requests, shares):
    """Guards against entries that each use the same free memory."""
    fleet = places_tests.Fleet("d2")
    backend = fleet.backend(1)
    report = reports.Report("s1", 0, 0, 8, "m", 1, True, entries=1)
    backend.apply_report(report, 10.0, memory_requests=memory_requests)
    count = 0
    while backend.has_share(10.0):
        backend.begin_request()
        count += 1
    assert count == shares


@pytest.mark.parametrize(
    ("fields", "expected"),
    [({}, 0), ({"kv_capacity": 317_000}, 317_000), ({"kv_capacity": -5}, 0)],
)
def test_the_memory_of_engines_is_read(fields, expected):
    engine = {"slots": 8, "step_ms": 9.0, **fields}
    services = [{"name": "plain", "max_connections": 9, "engine": engine}]
    text = json.dumps(sites.config(2, services=services))
    decoded = adapter_records.decode_configuration(text.encode())
    assert decoded.services["plain"].engine.memory_tokens == expected


@pytest.mark.parametrize(
    ("used", "received"), [(0.0, 0.0), (0.1, 0.0), (0.5, 0.5), (1.3, 1.0)]
)
def test_reports_tell_the_memory_in_use_where_it_matters(used, received):
    """Little use adds no bytes to reports, which are paid for."""

    async def play():
        report = reports.Report("s1", 1, 0, 8, memory_used=used)
        data = reports._encode_report(report)
        plain = reports._encode_report(reports.Report("s1", 1, 0, 8))
        message = codec.decode(ttypes.BackendReport, data)
        decoded = reports._report_from_wire(message)
        return decoded.memory_used, len(data) > len(plain)

    assert clocks.run(play()) == (received, received > 0.0)


def test_reported_memory_of_others_counts_until_the_report_is_old():
    """Other entries' requests are long; their number tells too little."""
    fleet = places_tests.Fleet("d2")
    backend = fleet.backend(1)
    report = reports.Report(
        "s1", 2, 0, 8, "m", 1, True, entries=1, memory_used=0.8
    )
    backend.apply_report(report, 10.0)
    assert not backend.has_memory(need_of(2_000, 100), 10.0)
    assert backend.has_memory(need_of(800, 100), 10.0)
    assert backend.has_memory(need_of(2_000, 100), 12.0)
