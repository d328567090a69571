"""Tests for reads of the store over a link that all readers share."""

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
# Eight reads of the configuration take five seconds of it.
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
    """Returns the adapter of a process to a store."""
    instance = instances.Instance(
        name="entry-1",
        place=shared_types.Place("r1", "d1"),
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
    return roles.Platform(instance, logs.Log(), counters_lib.Counters())


class UnsharedTopic:
    """A topic that a process reads from the store itself."""

    def __init__(self, topic):
        self._topic = topic

    async def snapshot(self):
        batch = await self._topic.snapshot()
        return topic_watch.Batch(
            self._topic.decoded(batch.items), batch.next_position
        )

    async def changes(self, offset, wait_s):
        batch = await self._topic.changes(offset, wait_s)
        return topic_watch.Batch(
            self._topic.decoded(batch.items), batch.next_position
        )


async def start_follower(store, batches):
    """Starts and returns a follower of the operators' topic."""
    follower = topic_watch.TopicWatcher(
        "operators",
        UnsharedTopic(platform_at(store).operators()),
        topic_watch.PollTiming(2.0, 0.0),
        lambda batch, is_snapshot: batches.append(batch),
        logs.Log(),
        counters_lib.Counters(),
        asyncio.get_running_loop().time,
    )
    await follower.start()
    return follower


def test_every_reader_gets_the_configuration_over_a_slow_link():
    """Guards against reads that are given up and restarted for ever.

    Eight processes read 400 KB each over a link of 700 KB/s, which takes five
    seconds. With a timeout of 1.2 s for the whole answer each process discarded
    the received part and requested it again, so the link stayed saturated and
    no process ever got the configuration.
    """

    async def play():
        store = platform_site.Store(_LINK_BYTES_PER_S)
        await store.start()
        store.put("keyed.op", "config", large_config())
        size = len(store._newest("keyed.op"))
        batches = []
        followers = [
            await start_follower(store, batches) for _ in range(_READERS)
        ]
        await asyncio.sleep(1.5 * _READERS * size / _LINK_BYTES_PER_S)
        informed = sum(follower.has_snapshot for follower in followers)
        for follower in followers:
            await follower.stop()
        await store.stop()
        return informed, store.bytes_out / size

    informed, reads = platform_site.run(play())
    assert informed == _READERS
    assert reads < 1.2 * _READERS


async def _start_slow_server(parts, pause_s):
    """Starts a server that sends its answer in parts.

    Returns:
      The server and its address.
    """

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
def test_a_call_times_out_if_the_answer_stalls_or_is_too_slow(
    parts, pause_s, gives_up_s
):
    """An answer takes eight seconds, stalls, or arrives a few bytes at a time.

    The first one must be received completely. The others must be given up soon:
    a reader makes one call at a time and gets no changes during a stalled one.
    """

    async def play():
        clock = asyncio.get_running_loop().time
        server, address = await _start_slow_server(parts, pause_s)
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

    size, gave_up_after_s, open_connections = platform_site.run(play())
    if gives_up_s is None:
        assert (size, gave_up_after_s, open_connections) == (20_000, None, 1)
    else:
        assert gave_up_after_s == pytest.approx(gives_up_s, abs=0.3)
        assert open_connections == 0


def test_the_rest_of_a_call_that_was_given_up_is_not_sent():
    """Guards against a chunk or an order that a server takes seconds later."""

    async def play():
        server = platform_site.LateReader()
        await server.start()
        pool = client.Pool(server.address, 1, 1.0, 1.0)
        body = b"x" * 60_000
        headers = [(b"host", b"h"), (b"content-length", b"%d" % len(body))]
        with pytest.raises(TimeoutError):
            await pool.call("PUT", "/", headers, body, 1 << 20, _TIMEOUTS)
        return await server.read_all(), len(body)

    received, sent = platform_site.run(play())
    assert received < sent
