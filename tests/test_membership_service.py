"""Tests joining, refusals and key rotation over loopback UDP."""

import asyncio
import socket

import pytest

from clementinegw import types
from clementinegw.membership import parameters
from clementinegw.membership import service
from clementinegw.membership import view
from clementinegw.telemetry import counters
from clementinegw.wire import auth

KEY = b"0123456789abcdef"
FAST = parameters.Parameters(
    tick_s=0.02, ring_probe_s=0.05, random_probe_s=0.1, join_s=0.1, leave_s=0.1
)
STEP_S = 0.01
WAIT_STEPS = 1000


def make_membership(name, seeds=(), keys=None):
    instance = types.Instance(
        name,
        types.Role.AGENT,
        types.Place("noord", "hal"),
        types.Address("127.0.0.1", 0),
    )
    return service.Membership(
        instance,
        keys or auth.single_key_ring(KEY),
        seeds=tuple(seeds),
        options=FAST,
        counters=counters.Counters(),
    )


async def wait_until(condition):
    for _ in range(WAIT_STEPS):
        if condition():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError("the condition did not become true in time")


def member_ids(membership):
    return {m.instance.instance_id for m in membership.members()}


async def start_member(name, seeds=(), keys=None):
    started = make_membership(name, seeds, keys)
    await started.start()
    return started, view.Seed(started.instance.address)


async def test_join_report_and_leave():
    first, seed = await start_member("one")
    second, _ = await start_member("two", [seed])
    changed = []
    first.subscribe(lambda m: changed.append((m.instance.instance_id, m.state)))
    await wait_until(
        lambda: member_ids(first) == member_ids(second) == {"one", "two"}
    )
    second.set_self(version="v2", load=0.5, settings_revision=9)
    await wait_until(lambda: first.newest_settings_revision == 9)
    await wait_until(
        lambda: any((m.version, m.load) == ("v2", 0.5) for m in first.members())
    )
    await second.leave()
    assert ("two", view.MemberState.LEFT) in changed
    assert member_ids(first) == {"one"}
    await second.stop()
    await first.stop()


async def test_unknown_key_is_refused_and_rotated_key_is_accepted():
    first, seed = await start_member("one")
    other, _ = await start_member(
        "two", [seed], auth.single_key_ring(b"x" * 16)
    )
    await wait_until(
        lambda: first._counters.value("membership.refused.datagram") > 0
    )
    assert member_ids(first) == {"one"}
    await other.stop()
    both = auth.KeyRing("k2", {"k1": KEY, "k2": b"y" * 16})
    first.set_keys(auth.KeyRing("k1", both.keys))
    third, _ = await start_member("three", [seed], both)
    await wait_until(
        lambda: member_ids(first) == member_ids(third) == {"one", "three"}
    )
    await third.stop()
    await first.stop()


@pytest.mark.parametrize(
    "data", [b"", b"\x01", b"\x01\xff", b"\x02" + b"x" * 99, b"\x01\x02k1" * 40]
)
async def test_malformed_datagram_is_counted_and_ignored(data):
    first, seed = await start_member("one")
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.sendto(data, (seed.address.host, seed.address.port))
    sender.close()
    await wait_until(
        lambda: first._counters.value("membership.refused.datagram") == 1
    )
    assert member_ids(first) == {"one"}
    await first.stop()


async def test_delayed_process_reads_all_waiting_datagrams_in_one_turn():
    """Guards against an overloaded process that suspects all its peers.

    Its event loop is delayed and answers queue in the socket. If it reads one
    datagram in each turn, timers expire before the answers are read, and the
    datagrams about the suspicions increase the overload.
    """
    first, seed = await start_member("one")
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for _ in range(40):
        sender.sendto(b"x", (seed.address.host, seed.address.port))
    sender.close()
    first._on_readable()
    assert first._counters.value("membership.datagrams_received") == 40
    await first.stop()
