"""Transfers use the bandwidth that live requests leave."""

import asyncio

import pytest

from clementinegw.testing import clock as clocks
from clementinegw.weights import pacing

RATE = 1_000.0


def bytes_per_s(live_per_s):
    """Returns the rate alongside steady live bytes, measured from 5 s on."""
    bucket = pacing.Bucket(RATE, 0.0, burst=20)
    total, step, begin, end = 0, 0.01, 5.0, 15.0
    for tick in range(round(end / step)):
        now = tick * step
        bucket.record_live(live_per_s * step, now)
        while bucket.take(10, now):
            total += 10 if now >= begin else 0
    return total / (end - begin)


@pytest.mark.parametrize(
    ("live", "expected"), [(0, 1000), (300, 700), (800, 200), (5000, 100)]
)
def test_transfers_take_what_live_requests_leave(live, expected):
    assert bytes_per_s(live) == pytest.approx(expected, rel=0.05)


def test_burst_of_live_requests_decays_quickly():
    bucket = pacing.Bucket(RATE, 0.0)
    bucket.record_live(400, 0.0)
    assert bucket.rate == pytest.approx(200)
    bucket.take(1, 5.0)
    assert bucket.rate == pytest.approx(RATE, rel=0.01)


def test_unpaced_bytes_delay_later_ones():
    bucket = pacing.Bucket(RATE, 0.0, burst=20)
    bucket.charge(520, 0.0)
    assert not bucket.take(1, 0.4)
    assert bucket.ready_in(0.4) == pytest.approx(0.1, abs=0.01)
    assert bucket.take(1, 0.51)


def test_older_transfer_passes_first_and_a_cancelled_one_blocks_nobody():
    # No chunk passed any more after a transfer that waited for the pacer was
    # cancelled: its entry stayed at the head of the queue, and those behind it
    # waited for it.
    clock = clocks.VirtualClock()
    order = []

    async def transfer(pacer, name, number):
        for _ in range(3):
            await pacer.take(100, number)
            order.append(name)

    async def run():
        pacer = pacing.Pacing(RATE, clock, burst=100).up
        tasks = [
            asyncio.ensure_future(transfer(pacer, name, number))
            for number, name in (
                (3.0, "late"),
                (2.0, "cancelled"),
                (1.0, "early"),
            )
        ]
        await asyncio.sleep(0)
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    clocks.run(run(), clock)
    assert order == ["late", *["early"] * 3, *["late"] * 2]


def test_both_directions_may_share_one_bucket():
    clock = clocks.VirtualClock()
    shared = pacing.Pacing(RATE, clock, shared=True)
    assert shared.up is shared.down
    separate = pacing.Pacing(RATE, clock)
    separate.record_live(sent=200, received=0)
    assert separate.up.bucket.rate < separate.down.bucket.rate
