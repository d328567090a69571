"""One process of a failure domain reads the store; the others ask it."""

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

# One reading of the large configuration takes six tenths of a second of it.
_LINK_BYTES_PER_S = 700_000
ADDRESSES = (
    shared_types.Address("10.0.0.1", 7_000),
    shared_types.Address("10.0.0.2", 9),
)


class Domain:
    """The entries of one failure domain and the store."""

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
            store_address=self.store.address,
            callers_address=shared_types.Address("127.0.0.1", 0),
            ready_address=shared_types.Address("127.0.0.1", 0),
            backend_address=None,
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
        """Returns which configuration each entry has."""
        catalogs = [entry._config_view.catalog for entry in self.entries]
        return [catalog.version if catalog else None for catalog in catalogs]

    async def until(self, version, most_s):
        """Waits until every entry has a version; returns how long it took."""
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
    """Six entries hear of 400 KB more over a link of 700 KB/s.

    Each used to read them from the store: three and a half seconds of the link
    in which callers' requests to servers beyond it waited, and the change was
    in force too late.
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
            took = await domain.until(2, 10.0)
            return took, (domain.store.bytes_out - before) / size

    took, readings = platform_site.run(play())
    assert took < 2.0
    assert readings < 2.5


def test_a_calm_failure_domain_asks_the_store_as_one_process():
    """Six entries follow two topics in the calm, and all stay ready."""

    async def play():
        async with Domain(6) as domain:
            domain.store.put("keyed.op", "config", platform_site.config())
            await domain.until(1, 5.0)
            await asyncio.sleep(8.0)
            reads = domain.store.reads
            oldest = 0.0
            for _ in range(1_000):
                await asyncio.sleep(0.01)
                ages = [entry._operators.age_s for entry in domain.entries]
                oldest = max(oldest, *ages)
            return domain.store.reads - reads, oldest

    reads, oldest = platform_site.run(play())
    # One process asks twice in 1.6 s; six of them asked 60 times in all.
    assert reads <= 20
    assert oldest < 2.2


def test_after_a_loss_of_power_of_all_the_link_carries_few_readings():
    """Eight entries start at once and know nothing; the link is narrow.

    Each used to read 400 KB for itself, so that all were ready only after the
    sum of it. Whoever starts now asks the readers of before, or the first that
    offers itself.
    """

    async def play():
        domain = Domain(8, _LINK_BYTES_PER_S)
        domain.store.put("keyed.op", "config", large_config(3))
        size = len(domain.store._newest("keyed.op"))
        async with domain:
            took = await domain.until(3, 10.0)
            await asyncio.sleep(1.0)
            ready = [entry.ready for entry in domain.entries]
            return took, ready, domain.store.bytes_out / size

    took, ready, readings = platform_site.run(play())
    assert all(ready)
    assert took < 3.5
    assert readings < 3.5


def test_a_reader_that_stops_is_replaced_without_a_gap():
    async def play():
        async with Domain(4) as domain:
            domain.store.put("keyed.op", "config", platform_site.config())
            await domain.until(1, 5.0)
            await asyncio.sleep(8.0)
            reader = domain.entries.pop(0)
            await reader.stop()
            oldest = 0.0
            for _ in range(300):
                await asyncio.sleep(0.01)
                ages = [entry._operators.age_s for entry in domain.entries]
                oldest = max(oldest, *ages)
            config = platform_site.config(version=2)
            domain.store.put("keyed.op", "config", config)
            return await domain.until(2, 5.0), oldest

    took, oldest = platform_site.run(play())
    assert took < 0.5
    assert oldest < 2.2


def items(count, size=100):
    return tuple(
        raw.Item(f"key-{n}", b"v" * size, 2**40 + n) for n in range(count)
    )


@pytest.mark.parametrize("count", [0, 1, 5, 3_000])
def test_an_answer_comes_out_as_it_went_in(count):
    news = peer_queries.Update(
        items(count), 2**40 + count, 7, 1.25, 0.5, 0.75, 1e6, 2.5, ADDRESSES
    )
    packed, data = relay._compress(news.items) if news.items else (False, b"")
    assert packed == (count > 5)
    assert len(data) < 40_000
    assert relay._decompress(packed, data) == news.items


def test_ages_are_told_no_smaller_than_they_are():
    relayed = relay.Relay.__new__(relay.Relay)
    relayed._compressed = {}
    question = peer_queries.Query("operators", 3, 2, 1.4)
    news = peer_queries.Update(
        items(2), 9, 7, 1.2345, 0.5678, 0.3456, 9.8765, 1.2345, ADDRESSES
    )
    wire = codec.decode(
        ttypes.TopicNews, codec.encode(relayed._to_wire(question, news))
    )
    told = relay._update_from_wire(wire)
    assert told.items == news.items
    assert (told.next_offset, told.freshness_id, told.readers) == (
        9,
        7,
        ADDRESSES,
    )
    assert 0 <= told.age_s - news.age_s <= 0.001
    assert 0 <= told.lag_s - news.lag_s <= 0.001
    assert 0 <= told.outage_s - news.outage_s <= 0.001
    assert 0 <= news.held_s - told.held_s <= 0.001
    assert 0 <= news.available_s - told.available_s <= 0.001


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
def test_items_that_cannot_be_read_are_an_error_of_the_peer(packed, data):
    with pytest.raises(exceptions.DecodeError):
        relay._decompress(packed, data)
