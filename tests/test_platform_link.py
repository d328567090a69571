"""The store over a link that all of its readers share."""

import asyncio

from adapter import roles
import platform_site

from clementinegw import types as places
from clementinegw.direct import follow
from clementinegw.direct import instance as instances
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

_READERS = 8
# Eight readings of the configuration take five seconds of it.
_LINK_BYTES_PER_S = 700_000


def large_config():
    """Returns a configuration with some 1,800 routes, over 400 KB."""
    config = platform_site.config(version=2)
    route = config["routes"][0]
    config["routes"] += [
        {**route, "name": f"r{i}", "path_prefix": f"/more/{i}/"}
        for i in range(1_800)
    ]
    return config


def platform_at(store):
    """Returns a process's way to a store."""
    instance = instances.Instance(
        name="entry-1",
        place=places.Place("r1", "d1"),
        regions={"d1": "r1"},
        host="127.0.0.1",
        peer_ports=(0, 0),
        store=store.address,
        callers=None,
        ready=None,
        backend=None,
        service="",
        link_bytes_per_s=1e6,
        bounds=instances.Bounds(),
    )
    return roles.Platform(instance, logs.Log())


async def following(store, taken):
    """Starts a process's follower of what operators declare."""
    follower = follow.Follower(
        "operators",
        platform_at(store).operators(),
        follow.Pace(2.0, 0.0),
        lambda batch, whole: taken.append(batch),
        logs.Log(),
        counters_lib.Counters(),
        asyncio.get_running_loop().time,
    )
    await follower.start()
    return follower


def test_a_narrow_link_brings_every_reader_the_whole_configuration():
    """Eight processes read 400 KB each over one link of 700 KB/s.

    Each reading takes five seconds while all go on. A bound of 1.2 s on the
    whole answer threw away what had come and asked for the same bytes again,
    so that the link never got free and nobody ever had the configuration.
    """

    async def play():
        store = platform_site.Store(_LINK_BYTES_PER_S)
        await store.start()
        store.put("keyed.op", "config", large_config())
        size = len(store._newest("keyed.op"))
        taken = []
        followers = [
            await following(store, taken) for _ in range(_READERS)
        ]
        await asyncio.sleep(1.5 * _READERS * size / _LINK_BYTES_PER_S)
        known = sum(follower.known for follower in followers)
        for follower in followers:
            await follower.stop()
        await store.stop()
        return known, store.bytes_out / size

    known, readings = platform_site.run(play())
    assert known == _READERS
    assert readings < 1.2 * _READERS
