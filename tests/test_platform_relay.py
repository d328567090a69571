"""One process of a failure domain reads the store; the others ask it."""

import asyncio

from adapter import roles
import platform_site

from clementinegw import types as places
from clementinegw.direct import entry as entries
from clementinegw.direct import instance as instances
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# One reading of the large configuration takes six tenths of a second of it.
_LINK_BYTES_PER_S = 700_000


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
            place=places.Place("r1", "d1"),
            regions={"d1": "r1"},
            host="127.0.0.1",
            peer_ports=(0, 0),
            store=self.store.address,
            callers=places.Address("127.0.0.1", 0),
            ready=places.Address("127.0.0.1", 0),
            backend=None,
            service="",
            link_bytes_per_s=1e6,
            bounds=instances.Bounds(),
        )
        log = logs.Log()
        return entries.Entry(
            instance,
            roles.Platform(instance, log),
            log,
            counters_lib.Counters(),
            boot_clock=asyncio.get_running_loop().time,
        )

    def versions(self):
        """Returns which configuration each entry has."""
        catalogs = [entry._knowledge.catalog for entry in self.entries]
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
