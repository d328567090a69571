"""Tests for a failure domain in which one process reads for the others."""

import asyncio
import zlib

from adapter import roles
import platform_site
import pytest

from clementinegw import exceptions
from clementinegw import types as shared_types
from clementinegw.direct import entry as entries
from clementinegw.direct import instance as instances
from clementinegw.direct import peer_queries
from clementinegw.direct import raw
from clementinegw.direct import relay
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire.gen.topics import ttypes

# One read of the large configuration takes 0.6 seconds of it.
_LINK_BYTES_PER_S = 700_000
ADDRESSES = (
    shared_types.Address("10.0.0.1", 7_000),
    shared_types.Address("10.0.0.2", 9),
)


class Domain:
    """The store and the entries of a failure domain."""

    def __init__(self, count, link_bytes_per_s=None):
        self.store = platform_site.Store(link_bytes_per_s)
        self._count = count
        self.entries = []

    async def __aenter__(self):
        await self.store.start()
        for number in range(self._count):
            self.entries.append(self._entry(number))
        await asyncio.gather(*(entry.start() for entry in self.entries))
        return self

    async def __aexit__(self, *_):
        for entry in self.entries:
            await entry.stop()
        await self.store.stop()

    def _entry(self, number):
        instance = instances.Instance(
            name=f"entry-{number}",
            place=shared_types.Place("r1", "d1"),
            regions={"d1": "r1"},
            host="127.0.0.1",
            peer_ports=(0, 0),
            store=self.store.address,
            callers=shared_types.Address("127.0.0.1", 0),
            ready=shared_types.Address("127.0.0.1", 0),
            backend=None,
            service="",
            link_bytes_per_s=1e6,
            bounds=instances.Bounds(),
        )
        log = logs.Log()
        return entries.Entry(
            instance,
            roles.Platform(instance, log, counters_lib.Counters()),
            log,
            counters_lib.Counters(),
            boot_clock=asyncio.get_running_loop().time,
        )

    def versions(self):
        """Returns the version of each entry's configuration."""
        catalogs = [entry._config_view.catalog for entry in self.entries]
        return [catalog.version if catalog else None for catalog in catalogs]

    async def until(self, version, most_s):
        """Waits until all entries have a version and returns the seconds."""
        clock = asyncio.get_running_loop().time
        started = clock()
        while set(self.versions()) != {version}:
            assert clock() - started < most_s, self.versions()
            await asyncio.sleep(0.02)
        return clock() - started


def large_config(version, routes=1_800):
    """Returns a configuration of some 400 KB."""
    config = platform_site.config(version=version)
    route = config["routes"][0]
    config["routes"] += [
        {**route, "name": f"r{i}", "path_prefix": f"/more/{i}/"}
        for i in range(routes)
    ]
    return config


def test_a_failure_domain_reads_a_large_configuration_about_once():
    """Guards against each of six entries reading 400 KB over a 700 KB/s link.

    That takes three and a half seconds, in which requests to servers beyond the
    link wait, and the change is in force too late.
    """

    async def play():
        async with Domain(6, _LINK_BYTES_PER_S) as domain:
            domain.store.put("keyed.op", "config", platform_site.config())
            await domain.until(1, 5.0)
            await asyncio.sleep(8.0)
            before = domain.store.bytes_out
            config = large_config(2)
            domain.store.put("keyed.op", "config", config)
            size = len(domain.store.topics["keyed.op"][-1][1])
            took_s = await domain.until(2, 10.0)
            return took_s, (domain.store.bytes_out - before) / size

    took_s, reads = platform_site.run(play())
    assert took_s < 2.0
    assert reads < 2.5


def test_an_idle_failure_domain_reads_the_store_as_one_process():
    """Six entries follow two topics without changes and stay ready."""

    async def play():
        async with Domain(6) as domain:
            domain.store.put("keyed.op", "config", platform_site.config())
            await domain.until(1, 5.0)
            await asyncio.sleep(8.0)
            reads = domain.store.reads
            oldest_s = 0.0
            for _ in range(1_000):
                await asyncio.sleep(0.01)
                ages = [entry._operators.age_s for entry in domain.entries]
                oldest_s = max(oldest_s, *ages)
            return domain.store.reads - reads, oldest_s

    reads, oldest_s = platform_site.run(play())
    # One process reads twice in 1.6 s; six unshared ones read 60 times in all.
    assert reads <= 20
    assert oldest_s < 2.2


def test_a_joint_start_of_all_entries_takes_few_reads():
    """Guards against a slow joint start of eight entries over a slow link.

    After a power loss all entries start at once without any state. If each
    reads 400 KB itself, they are ready only after all of these reads.
    An entry that starts asks the earlier readers or the first one available.
    """

    async def play():
        domain = Domain(8, _LINK_BYTES_PER_S)
        domain.store.put("keyed.op", "config", large_config(3))
        size = len(domain.store._newest("keyed.op"))
        async with domain:
            took_s = await domain.until(3, 10.0)
            await asyncio.sleep(1.0)
            ready = [entry.ready for entry in domain.entries]
            return took_s, ready, domain.store.bytes_out / size

    took_s, ready, reads = platform_site.run(play())
    assert all(ready)
    assert took_s < 3.5
    assert reads < 3.5


def test_a_reader_that_stops_is_replaced_without_a_gap():
    async def play():
        async with Domain(4) as domain:
            domain.store.put("keyed.op", "config", platform_site.config())
            await domain.until(1, 5.0)
            await asyncio.sleep(8.0)
            reader = domain.entries.pop(0)
            await reader.stop()
            oldest_s = 0.0
            for _ in range(300):
                await asyncio.sleep(0.01)
                ages = [entry._operators.age_s for entry in domain.entries]
                oldest_s = max(oldest_s, *ages)
            config = platform_site.config(version=2)
            domain.store.put("keyed.op", "config", config)
            return await domain.until(2, 5.0), oldest_s

    took_s, oldest_s = platform_site.run(play())
    assert took_s < 0.5
    assert oldest_s < 2.2


def items(count, size=100):
    return tuple(
        raw.Item(f"key-{n}", b"v" * size, 2**40 + n) for n in range(count)
    )


@pytest.mark.parametrize("count", [0, 1, 5, 3_000])
def test_an_answer_is_unchanged_by_packing(count):
    update = peer_queries.Update(
        items(count), 2**40 + count, 7, 1.25, 0.5, 0.75, 1e6, 2.5, ADDRESSES
    )
    packed, data = (
        relay._compress(update.items) if update.items else (False, b"")
    )
    assert packed == (count > 5)
    assert len(data) < 40_000
    assert relay._decompress(packed, data) == update.items


def test_ages_on_the_wire_are_never_rounded_down():
    relayed = relay.Relay.__new__(relay.Relay)
    relayed._compressed = {}
    question = peer_queries.Query("operators", 3, 2, 1.4)
    update = peer_queries.Update(
        items(2), 9, 7, 1.2345, 0.5678, 0.3456, 9.8765, 1.2345, ADDRESSES
    )
    wire = codec.decode(
        ttypes.TopicNews, codec.encode(relayed._to_wire(question, update))
    )
    decoded = relay._update_from_wire(wire)
    assert decoded.items == update.items
    assert (decoded.next_position, decoded.freshness_id, decoded.readers) == (
        9,
        7,
        ADDRESSES,
    )
    assert 0 <= decoded.age_s - update.age_s <= 0.001
    assert 0 <= decoded.lag_s - update.lag_s <= 0.001
    assert 0 <= decoded.outage_s - update.outage_s <= 0.001
    assert 0 <= update.held_s - decoded.held_s <= 0.001
    assert 0 <= update.available_s - decoded.available_s <= 0.001


@pytest.mark.parametrize(
    ("packed", "data"),
    [
        (True, b"no zlib"),
        (True, zlib.compress(b"x" * 5_000)),
        (True, zlib.compress(bytes(5_000))[:-9]),
        (True, zlib.compress(bytes(33 << 20))),
        (False, b"\xff" * 9),
    ],
)
def test_malformed_items_are_a_decode_error(packed, data):
    with pytest.raises(exceptions.DecodeError):
        relay._decompress(packed, data)
