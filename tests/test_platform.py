"""Tests for the platform's HTTP clients against the stand-in platform."""

import asyncio
import random

import aiohttp
import pytest

from clementinegw import exceptions
from clementinegw import types
from clementinegw.platform import instances
from clementinegw.platform import log as logs
from clementinegw.platform import store as stores
from clementinegw.telemetry import counters as metrics
from clementinegw.testing import clock as clocks
from clementinegw.testing import platform

GRACE_S = 0.01
AGENT = types.Instance(
    instance_id="agent-1",
    role=types.Role.AGENT,
    place=types.Place("noord", "groningen-hal"),
    address=types.Address("127.0.0.1", 7001),
    incarnation=3,
    service="assistent",
)


async def offsets(log, stream="settings", start=1):
    page = await log.read(stream, start)
    return [record.offset for record in page.records]


class Rig:
    """The stand-in platform and a client of each of its parts."""

    def __init__(self, clock, session, standin):
        self.clock = clock
        self.standin = standin
        self.counters = metrics.Counters()
        common = {
            "session": session,
            "timeout_s": 0.5,
            "counters": self.counters,
            "rng": random.Random(1),
        }
        self.log = logs.HttpLog(standin.log_address, **common)
        self.instances = instances.HttpInstanceList(
            standin.instances_address, **common
        )
        self.store = stores.HttpStore(standin.store_address, **common)
        self.origin = stores.HttpStore(
            standin.origin_address, part="origin", **common
        )


def over_sockets(test, limits=None):
    """Runs a test that takes a `Rig`, in virtual time over real sockets."""

    async def main(clock):
        standin = platform.PlatformStandIn(clock, limits, ["zuid-1"])
        await standin.start()
        try:
            async with aiohttp.ClientSession() as session:
                await test(Rig(clock, session, standin))
        finally:
            await standin.stop()

    def run():
        clock = clocks.VirtualClock()
        clocks.run(main(clock), clock, GRACE_S)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


def narrow(**limits):
    """Returns `over_sockets` for a platform with these limits."""
    return lambda test: over_sockets(test, platform.Limits(**limits))


@over_sockets
async def test_http_log_appends_reads_and_polls(rig):
    assert await rig.log.append("settings", b"one") == 1
    reading = asyncio.create_task(rig.log.read("settings", 2, wait_s=30.0))
    await asyncio.sleep(10.0)
    assert await rig.log.append("settings", b"\x00\xff") == 2
    assert await rig.log.append("claims-0", b"other") == 1

    page = await reading
    assert [(r.offset, r.value) for r in page.records] == [(2, b"\x00\xff")]
    page = await rig.log.read("settings", 1, limit=1)
    assert [r.value for r in page.records] == [b"one"]
    assert (page.first_offset, page.next_offset) == (1, 3)


@over_sockets
async def test_http_log_lost_answer_is_visible_on_read(rig):
    """Guards against an append that is made twice.

    This happens if the log accepts an append, the connection breaks before the
    answer, and the client retries.
    """
    rig.standin.log.faults.answer_lost = 1
    with pytest.raises(exceptions.PlatformUnavailable) as failure:
        await rig.log.append("settings", b"change 7")

    assert not isinstance(failure.value, exceptions.PlatformRefused)
    assert rig.standin.log.calls == 1
    page = await rig.log.read("settings", 1)
    assert [r.value for r in page.records] == [b"change 7"]
    assert rig.counters.value("platform.log.failed.connection_lost") == 1


@narrow(retention_s=60.0)
async def test_http_log_expiry_and_rollback_show_in_the_page(rig):
    for value in (b"1", b"2", b"3"):
        await rig.log.append("settings", value)
        await asyncio.sleep(25.0)
    page = await rig.log.read("settings", 1)
    assert (page.first_offset, page.next_offset) == (2, 4)
    assert await offsets(rig.log) == [2, 3]

    rig.standin.log.log.roll_back("settings", 3)
    page = await rig.log.read("settings", 4)
    assert (page.records, page.next_offset) == ((), 3)


@narrow(appends_per_s=20.0)
async def test_http_log_over_its_rate_refuses_without_effect(rig):
    """A refusal by the rate limit proves that an append had no effect.

    This distinguishes it from a lost answer, which proves nothing.
    """
    results = await asyncio.gather(
        *(rig.log.append("claims-0", b"%d" % n) for n in range(12)),
        return_exceptions=True,
    )
    refused = [r for r in results if isinstance(r, Exception)]

    assert len(refused) == 7
    assert {type(r) for r in refused} == {exceptions.PlatformRefused}
    assert {r.reason for r in refused} == {"rate_limited"}
    assert len(rig.standin.log.log.all("claims-0")) == 5
    assert rig.standin.log.rate_limited == 7
    await asyncio.sleep(1.0)
    assert await rig.log.append("claims-0", b"later") == 6


@pytest.mark.parametrize(
    ("fault", "value", "reason"),
    [
        ("down", True, "server_error"),
        ("stalled", True, "timeout"),
        ("slow_s", 9.0, "timeout"),
        ("corrupt", 9, "malformed"),
    ],
)
def test_http_log_read_fails_with_its_reason(fault, value, reason):
    async def check(rig):
        setattr(rig.standin.log.faults, fault, value)
        with pytest.raises(exceptions.PlatformUnavailable) as failure:
            await rig.log.read("settings", 1)
        assert failure.value.reason == reason
        assert rig.counters.value(f"platform.log.failed.{reason}") >= 1

    over_sockets(check)()


@over_sockets
async def test_http_reads_are_repeated_a_bounded_number_of_times(rig):
    await rig.log.append("settings", b"one")
    rig.standin.log.faults.refused = 2
    assert await offsets(rig.log) == [1]
    assert rig.counters.value("platform.log.retry.server_error") == 2

    rig.standin.log.faults.refused = 5
    with pytest.raises(exceptions.PlatformUnavailable):
        await rig.log.read("settings", 1)
    assert rig.standin.log.faults.refused == 2


@over_sockets
async def test_http_long_poll_over_a_stalled_link_is_given_up_once(rig):
    """Guards against a process that keeps old settings for over a minute.

    This happens if a long poll of 25 s that stalls is retried twice.
    """
    rig.standin.log.faults.stalled = True
    start = rig.clock.now()
    with pytest.raises(exceptions.PlatformUnavailable) as failure:
        await rig.log.read("settings", 1, wait_s=2.0)

    assert failure.value.reason == "timeout"
    assert rig.clock.now() - start == pytest.approx(2.5, abs=0.1)
    assert rig.standin.log.calls == 1


@over_sockets
async def test_http_log_that_is_gone_is_told_from_a_lost_answer(rig):
    await rig.log.append("settings", b"one")
    await rig.standin.log.stop()
    # On the reused connection it is unknown whether the append arrived.
    with pytest.raises(exceptions.PlatformUnavailable) as failure:
        await rig.log.append("settings", b"two")
    assert failure.value.reason == "connection_lost"
    assert not isinstance(failure.value, exceptions.PlatformRefused)
    with pytest.raises(exceptions.PlatformRefused) as failure:
        await rig.log.append("settings", b"two")
    assert failure.value.reason == "not_reached"

    await rig.standin.log.start()
    assert await offsets(rig.log) == [1]


@over_sockets
async def test_one_failure_domain_is_cut_off_and_the_others_go_on(rig):
    """A network partition drops all packets of one failure domain.

    No connection is refused or closed, so only a timeout detects it. After the
    partition the domain reads what it missed.
    """
    address = rig.standin.addresses("zuid-1").log
    async with aiohttp.ClientSession() as session:
        there = logs.HttpLog(address, session, timeout_s=0.5)
        assert await there.append("settings", b"one") == 1
        rig.standin.partition("zuid-1")
        with pytest.raises(exceptions.PlatformUnavailable) as failure:
            await there.append("settings", b"lost")
        assert failure.value.reason == "timeout"
        assert await rig.log.append("settings", b"two") == 2
        rig.standin.heal("zuid-1")
        assert await offsets(there) == [1, 2]


@narrow(list_lag_s=30.0)
async def test_http_list_lags(rig):
    """The list shows an agent as live for 30 s after it announced to leave.

    Whoever relies on the list alone sends work to a leaving instance.
    """
    await rig.instances.announce(AGENT)
    assert await rig.instances.fetch() == []
    await asyncio.sleep(31.0)
    assert await rig.instances.fetch() == [
        instances.ListedInstance(AGENT, instances.State.LIVE)
    ]

    await rig.instances.announce(AGENT, instances.State.LEAVING)
    rig.standin.instances.remove("agent-1")
    listed = await rig.instances.fetch()
    assert [line.state for line in listed] == [instances.State.LIVE]
    await asyncio.sleep(31.0)
    assert await rig.instances.fetch() == []


@over_sockets
async def test_http_store_serves_ranges_and_counts_what_was_drawn(rig):
    data = random.Random(2).randbytes(200_000)
    await rig.store.put("chunks/ab", data)

    assert await rig.store.size("chunks/ab") == len(data)
    assert await rig.store.get("chunks/ab") == data
    assert await rig.store.get("chunks/ab", 1000, 50) == data[1000:1050]
    assert await rig.store.get("chunks/ab", 199_990, 50) == data[199_990:]
    assert await rig.store.get("chunks/ab", 200_000, 50) == b""
    assert rig.standin.store.bytes_served == 200_000 + 50 + 10
    assert rig.standin.origin.bytes_served == 0
    with pytest.raises(exceptions.BlobMissing):
        await rig.origin.get("chunks/ab")


@over_sockets
async def test_http_store_corrupts_a_blob_without_a_word(rig):
    """A chunk arrives complete with one bit flipped.

    HTTP does not detect this. Without a check of the chunk's digest an instance
    would serve damaged weights.
    """
    data = bytes(100_000)
    await rig.store.put("chunks/ab", data)
    rig.standin.store.faults.corrupt = 1
    damaged = await rig.store.get("chunks/ab")

    assert len(damaged) == len(data)
    assert damaged != data
    assert await rig.store.get("chunks/ab") == data


@over_sockets
async def test_http_store_that_stalls_in_mid_transfer_times_out(rig):
    """Guards against a rollout that stalls without a closed connection.

    The headers of an answer arrive and then nothing; only a timeout detects a
    link that stalls without closing.
    """
    await rig.store.put("chunks/ab", bytes(1_000_000))
    rig.standin.store.faults.stalled = True
    start = rig.clock.now()
    with pytest.raises(exceptions.PlatformUnavailable) as failure:
        await rig.store.get("chunks/ab")

    assert failure.value.reason == "timeout"
    assert rig.counters.value("platform.store.retry.timeout") == 2
    assert 1.5 <= rig.clock.now() - start < 2.5
    rig.standin.store.faults.stalled = False
    assert len(await rig.store.get("chunks/ab")) == 1_000_000


@narrow(origin_bytes_per_s=1_000_000.0)
async def test_http_origin_readers_share_its_rate(rig):
    await rig.origin.put("chunks/ab", bytes(125_000))
    start = rig.clock.now()
    await asyncio.gather(*(rig.origin.get("chunks/ab") for _ in range(4)))

    # 500,000 bytes, of which the rate limit passes the first 250,000 at once.
    assert rig.clock.now() - start == pytest.approx(0.25, abs=0.01)
    assert rig.standin.origin.bytes_served == 500_000


def test_http_answer_without_end_is_cut_at_its_bound():
    """Guards against an endless answer that exhausts the memory.

    This happens if an address in the instance file is wrong, the server there
    sends without end, and the body is read without a limit.
    """

    async def check(rig):
        rig.standin.store.blobs["chunks/ab"] = bytes(3_000_000)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(stores, "_MAX_BLOB_BYTES", 1_000_000)
            with pytest.raises(exceptions.PlatformUnavailable) as failure:
                await rig.store.get("chunks/ab")
        assert failure.value.reason == "too_large"

    over_sockets(check)()
