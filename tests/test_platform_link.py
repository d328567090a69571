"""The store over a link that all of its readers share."""

import asyncio

from adapter import roles
import platform_site
import pytest

from clementinegw import types as shared_types
from clementinegw.direct import client
from clementinegw.direct import instance as instances
from clementinegw.direct import timeouts as timeouts_lib
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

_READERS = 8
# Eight readings of the configuration take five seconds of it.
_LINK_BYTES_PER_S = 700_000
_TIMEOUTS = timeouts_lib.Timeouts(head_s=1.0, idle_s=0.5, min_bytes_per_s=1_000)


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
        place=shared_types.Place("r1", "d1"),
        regions={"d1": "r1"},
        host="127.0.0.1",
        peer_ports=(0, 0),
        store_address=store.address,
        callers_address=None,
        ready_address=None,
        backend_address=None,
        service="",
        link_bytes_per_s=1e6,
        bounds=instances.Bounds(),
    )
    return roles.Platform(instance, logs.Log(), counters_lib.Counters())


class Alone:
    """A topic that one process reads for itself."""

    def __init__(self, topic):
        self._topic = topic

    async def snapshot(self):
        batch = await self._topic.snapshot()
        return topic_watch.Batch(
            self._topic.decoded(batch.items), batch.next_offset
        )

    async def changes(self, offset, wait_s):
        batch = await self._topic.changes(offset, wait_s)
        return topic_watch.Batch(
            self._topic.decoded(batch.items), batch.next_offset
        )


async def following(store, taken):
    """Starts a process's follower of what operators declare."""
    follower = topic_watch.TopicWatcher(
        "operators",
        Alone(platform_at(store).operators()),
        topic_watch.PollTiming(2.0, 0.0),
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
        followers = [await following(store, taken) for _ in range(_READERS)]
        await asyncio.sleep(1.5 * _READERS * size / _LINK_BYTES_PER_S)
        known = sum(follower.has_snapshot for follower in followers)
        for follower in followers:
            await follower.stop()
        await store.stop()
        return known, store.bytes_out / size

    known, readings = platform_site.run(play())
    assert known == _READERS
    assert readings < 1.2 * _READERS


async def _answering(parts, pause_s):
    """Starts a server that sends its answer in parts; returns its address."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        size = sum(len(part) for part in parts)
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()
        )
        for part in parts:
            await asyncio.sleep(pause_s)
            if writer.is_closing():
                return
            writer.write(part)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, shared_types.Address(host, port)


@pytest.mark.parametrize(
    ("parts", "pause_s", "gives_up_s"),
    [
        pytest.param([b"x" * 1_000] * 20, 0.4, None, id="slow"),
        pytest.param([b"x" * 1_000] * 20, 0.6, 0.5, id="silent"),
        pytest.param([b"x" * 10] * 900, 0.1, 0.8, id="trickle"),
    ],
)
def test_a_call_ends_at_silence_and_at_a_trickle(parts, pause_s, gives_up_s):
    """An answer takes eight seconds, stops, or comes a few bytes at a time.

    The first must be taken whole. The others must be given up soon: a reader
    makes one call at a time, and would be cut off while the connection lasts.
    """

    async def play():
        clock = asyncio.get_running_loop().time
        server, address = await _answering(parts, pause_s)
        pool = client.Pool(address, 1, 1.0, 1.0)
        started = clock()
        try:
            headers = [(b"host", b"h")]
            _, body = await pool.call(
                "GET", "/", headers, b"", 1 << 20, _TIMEOUTS
            )
            return len(body), None, pool.open_connections
        except TimeoutError:
            return 0, clock() - started, pool.open_connections
        finally:
            server.close()
            pool.close()

    size, after_s, kept = platform_site.run(play())
    if gives_up_s is None:
        assert (size, after_s, kept) == (20_000, None, 1)
    else:
        assert after_s == pytest.approx(gives_up_s, abs=0.3)
        assert kept == 0
