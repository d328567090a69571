"""Tests for the in-memory platform and its faults."""

import asyncio

import pytest

from clementinegw import exceptions
from clementinegw.testing import clock as clocks
from clementinegw.testing import memory


def in_virtual_time(test):
    """Runs a test with a virtual clock as its argument, in virtual time."""

    def run():
        clock = clocks.VirtualClock()
        clocks.run(test(clock), clock)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


async def offsets(log, stream="settings", start=1):
    page = await log.read(stream, start)
    return [record.offset for record in page.records]


@in_virtual_time
async def test_memory_log_waits_for_the_next_record(clock):
    log = memory.MemoryLog(clock)
    start = clock.now()
    read_task = asyncio.create_task(log.read("settings", 1, wait_s=30.0))
    await asyncio.sleep(2.0)
    await log.append("settings", b"one")
    page = await read_task

    assert [record.value for record in page.records] == [b"one"]
    assert clock.now() - start == pytest.approx(2.0)
    empty = await log.read("settings", 2, wait_s=30.0)
    assert (empty.records, empty.next_offset) == ((), 2)
    assert clock.now() - start == pytest.approx(32.0)


@in_virtual_time
async def test_memory_log_lost_answer_and_refusal_raise_the_same_error(clock):
    """Guards against a change that is applied twice or never.

    One append takes effect and its answer is lost; another is lost before it
    takes effect. Both raise the same error, so that only a read of the log can
    distinguish them.
    """
    log = memory.MemoryLog(clock)
    log.faults.answer_lost = 1
    with pytest.raises(exceptions.PlatformUnavailable) as lost:
        await log.append("settings", b"lost answer")
    log.faults.refused = 1
    with pytest.raises(exceptions.PlatformUnavailable) as refused:
        await log.append("settings", b"never there")

    assert str(lost.value) == str(refused.value)
    assert [r.value for r in log.all("settings")] == [b"lost answer"]


@in_virtual_time
async def test_memory_log_page_shows_expiry_rollback_and_gap(clock):
    log = memory.MemoryLog(clock, retention_s=60.0)
    for value in (b"1", b"2", b"3"):
        await log.append("settings", value)
        await asyncio.sleep(20.0)
    page = await log.read("settings", 1)
    assert (page.first_offset, page.next_offset) == (1, 4)

    await asyncio.sleep(25.0)
    page = await log.read("settings", 1)
    assert (page.first_offset, page.next_offset) == (3, 4)

    log.skip("settings", 2)
    assert await log.append("settings", b"6") == 6
    assert await offsets(log) == [3, 6]

    log.roll_back("settings", 4)
    page = await log.read("settings", 7)
    assert (page.records, page.next_offset) == ((), 4)
    log.truncate("settings")
    page = await log.read("settings", 1)
    assert (page.first_offset, page.next_offset) == (4, 4)


@in_virtual_time
async def test_memory_log_partition_affects_one_client_only(clock):
    log = memory.MemoryLog(clock)
    other = log.client()
    other.faults.stalled = True
    await log.append("settings", b"one")
    start = clock.now()
    with pytest.raises(exceptions.PlatformUnavailable):
        await other.read("settings", 1)
    assert clock.now() - start == pytest.approx(other.faults.timeout_s)
    other.faults.stalled = False
    assert await offsets(other) == [1]


@in_virtual_time
async def test_memory_store_corrupts_reads_and_counts_bytes(clock):
    store = memory.MemoryStore()
    await store.put("chunks/a", b"abcdef")
    store.faults.corrupt = 1
    assert await store.get("chunks/a") != b"abcdef"
    assert await store.get("chunks/a", 2, 3) == b"cde"
    assert store.bytes_served == 9
    with pytest.raises(exceptions.BlobMissing):
        await store.size("chunks/b")
