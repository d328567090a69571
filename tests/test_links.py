"""Tests for virtual time, token buckets and rate-limited links."""

import asyncio
import socket

import pytest

from clementinegw.testing import clock as clocks
from clementinegw.testing import links


def test_virtual_loop_fires_timers_in_order():
    clock = clocks.VirtualClock()
    order = []

    async def sleeper(seconds):
        await asyncio.sleep(seconds)
        order.append((seconds, clock.now()))

    async def main():
        start = clock.now()
        await asyncio.gather(*(sleeper(s) for s in (3600.0, 0.25, 60.0)))
        return clock.now() - start

    elapsed = clocks.run(main(), clock)

    assert elapsed == pytest.approx(3600.0)
    assert [seconds for seconds, _ in order] == [0.25, 60.0, 3600.0]


def test_virtual_loop_serves_sockets_before_it_advances():
    async def serve(reader, writer):
        writer.write(await reader.readexactly(4))
        await writer.drain()
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"ping")
            answer = await reader.read()
        writer.close()
        server.close()
        return answer

    assert clocks.run(main(), grace_s=0.02) == b"ping"


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("tick_s", [0.005, 60.0])
def test_virtual_time_waits_for_bytes_that_the_kernel_delivers_late(
    closes, tick_s
):
    """Guards against a clock that passes timeouts while bytes are under way."""

    async def serve(reader, writer):
        await reader.readexactly(4)
        # The kernel holds back what does not fill a segment.
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
        writer.write(b"pong")
        if closes:
            await asyncio.sleep(0)
            writer.transport.pause_reading()
        await asyncio.sleep(3_600.0)

    async def tick():
        while True:
            await asyncio.sleep(tick_s)

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        ticking = asyncio.create_task(tick())
        async with asyncio.timeout(1.0):
            writer.write(b"ping")
            answer = await reader.readexactly(4)
        ticking.cancel()
        writer.close()
        server.close()
        return answer

    assert clocks.run(main(), grace_s=0.002) == b"pong"


@pytest.mark.parametrize("tick_s", [0.0, 0.005])
def test_virtual_time_advances_for_a_tiny_remaining_wait(tick_s):
    """Guards against a virtual run that hangs in a busy loop.

    A timer fires slightly early and the code waits for the remainder. If the
    remainder is below the clock's precision, adding it does not change the
    time, and the code waits again and again.
    """
    clock = clocks.VirtualClock()

    async def main():
        loop = asyncio.get_running_loop()
        deadline = clock.now() + 1.0 + 1e-13
        iterations = 0
        while clock.now() < deadline and iterations < 100:
            iterations += 1
            fired = loop.create_future()
            loop.call_later(deadline - clock.now(), fired.set_result, None)
            await fired
        return iterations

    def make_loop(clock, grace_s):
        return clocks.VirtualTimeLoop(clock, grace_s, tick_s)

    assert clocks.run(main(), clock, make_loop=make_loop) < 100


def test_virtual_loop_does_not_advance_for_executor_calls():
    clock = clocks.VirtualClock()

    async def main():
        sleeping = asyncio.create_task(asyncio.sleep(1.0))
        start = clock.now()
        total = await asyncio.to_thread(sum, range(200_000))
        with pytest.raises(ZeroDivisionError):
            await asyncio.to_thread(divmod, 1, 0)
        elapsed = clock.now() - start
        await sleeping
        return total, elapsed

    assert clocks.run(main(), clock) == (sum(range(200_000)), 0.0)


def test_virtual_clock_never_goes_back():
    clock = clocks.VirtualClock(now=5.0)
    with pytest.raises(ValueError, match="cannot go back"):
        clock.advance(-1.0)
    assert clock.advance_to(4.0) == 5.0


def test_wall_clock_steps_without_the_monotonic_clock():
    clock = clocks.VirtualClock(now=5.0, wall=100.0)
    clock.step_wall(-30.0)
    assert (clock.now(), clock.wall()) == (5.0, 70.0)


@pytest.mark.parametrize(
    ("count", "expected_s"), [(1, 0.0), (10, 0.0), (20, 1.0), (110, 10.0)]
)
def test_bucket_reserves_beyond_its_burst(count, expected_s):
    bucket = links.TokenBucket(10.0, 10.0, clocks.VirtualClock())
    assert bucket.reserve(count) == pytest.approx(expected_s)


def test_bucket_keeps_the_rate_and_the_order_of_requests():
    clock = clocks.VirtualClock()
    bucket = links.TokenBucket(100.0, 1.0, clock)
    done = []

    async def request(name, count):
        await bucket.take(count)
        done.append((name, clock.now()))

    async def main():
        start = clock.now()
        await asyncio.gather(*(request(n, 50.0) for n in range(4)))
        return clock.now() - start

    elapsed = clocks.run(main(), clock)

    assert [name for name, _ in done] == [0, 1, 2, 3]
    assert elapsed == pytest.approx(1.99)


def test_bucket_rejects_and_refills_up_to_its_burst():
    clock = clocks.VirtualClock()
    bucket = links.TokenBucket(10.0, 5.0, clock)
    taken = sum(bucket.try_take() for _ in range(8))
    clock.advance(100.0)

    assert taken == 5
    assert bucket.level == 5.0


@pytest.mark.parametrize(("shared", "expected_s"), [(False, 1.0), (True, 2.0)])
def test_link_directions_share_a_bucket_only_if_requested(shared, expected_s):
    clock = clocks.VirtualClock()
    link = links.ShapedLink(1e6, shared=shared, clock=clock, burst_s=0.0)

    async def main():
        start = clock.now()
        await asyncio.gather(link.send(1_000_000), link.receive(1_000_000))
        return clock.now() - start

    assert clocks.run(main(), clock) == pytest.approx(expected_s)
    assert (link.sent, link.received) == (1_000_000, 1_000_000)


def test_transfer_takes_the_rate_of_the_slower_link():
    clock = clocks.VirtualClock()
    sender = links.ShapedLink(4e6, clock=clock, burst_s=0.0)
    receiver = links.ShapedLink(8e6, 1e6, clock=clock, burst_s=0.0)

    async def main():
        start = clock.now()
        await links.transfer(sender, receiver, 2_000_000)
        return clock.now() - start

    assert clocks.run(main(), clock) == pytest.approx(2.0)


def test_bucket_rejects_a_rate_of_zero():
    with pytest.raises(ValueError, match="rate must be above 0"):
        links.TokenBucket(0.0)
