"""Servers load staged chunks only while their verification is recent."""

import asyncio
import hashlib
import json

from adapter import weights
import platform_site
import pytest
import test_direct_agent as agent_sites

from clementinegw import exceptions
from clementinegw import types as shared_types
from clementinegw.direct import agent_interfaces
from clementinegw.direct import client
from clementinegw.direct import expiry
from clementinegw.direct import staging
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.weights import store as stores

CHUNKS = agent_sites.CHUNKS
# How long before a load a chunk may have become corrupt without being noticed,
# in seconds.
MAX_UNNOTICED_S = 3.0
STOP_S = 4.0


class RecordingServer(agent_sites.LocalServer):
    """Records how old the oldest reading of a chunk is at each load."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self._read_at = {}
        self.unread_s = []

    async def read_staged(self, number):
        self._read_at[number] = self._clock()
        return await super().read_staged(number)

    async def load(
        self, model, version, sequence, abort_running, expiry, layers=None
    ):
        held = [h.layers for h in self.held if h.version == version]
        begun = await super().load(
            model, version, sequence, abort_running, expiry, layers
        )
        if begun:
            numbers = agent_sites.chunks_of(*held, layers=layers)
            read_at = [self._read_at[number] for number in numbers]
            self.unread_s.append(self._clock() - min(read_at))
        return begun


class Site(agent_sites.Site):
    """One agent, whose process can be stopped or its machine suspended."""

    def __init__(self):
        super().__init__(count=1)
        self.server = RecordingServer(self.boot_time)
        self.local_servers = [self.server]

    def stop(self, seconds, how="stopped"):
        if how == "suspended":
            self.suspended_s += seconds
        else:
            asyncio.get_running_loop().clock.advance(seconds)


def once(condition, action):
    """Returns a callback that runs an action the first time it holds."""
    done = []

    def callback(*args):
        if not done and condition(*args):
            done.append(True)
            action()

    return callback


def is_staged(server, version):
    expected = [agent_sites.chunk(version, n) for n in range(CHUNKS)]
    return expected == [server.staged_chunks.get(n) for n in range(CHUNKS)]


@pytest.mark.parametrize("how", ["stopped", "suspended"])
@pytest.mark.parametrize("when", ["between_checks", "before_the_last_look"])
def test_a_chunk_that_turned_corrupt_during_a_stop_is_not_loaded(how, when):
    """Guards against loads of chunks that were verified before a stop."""

    async def scenario():
        async with Site() as site:
            server = site.server
            await site.until_all_hold(1)

            def stop():
                server.corrupt(0)
                site.stop(STOP_S, how)

            def is_midway(number):
                new = agent_sites.chunk(2, number)
                is_new = server.staged_chunks[number] == new
                return number == CHUNKS // 2 and is_new

            if when == "between_checks":
                server.on_read = once(is_midway, stop)
            else:
                server.on_state = once(lambda: is_staged(server, 2), stop)
            site.declare(2)
            await site.until_all_hold(2)
            return server.loads_intact, max(server.unread_s)

    intact, unread_s = agent_sites.run(scenario())
    assert intact == [True, True]
    assert unread_s < MAX_UNNOTICED_S


@pytest.mark.parametrize("read_s", [0.12, 0.5, 1.2])
def test_a_server_that_reads_slowly_loads_a_version_in_time(read_s):
    """Guards against chunks that are verified one after the other."""

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            site.server.read_s = read_s
            site.declare(2)
            took_s = await site.until_all_hold(2)
            return took_s, site.server

    took_s, server = agent_sites.run(scenario())
    assert took_s < 8.0
    assert server.loads_intact == [True, True]
    assert max(server.unread_s) < MAX_UNNOTICED_S


def test_a_server_that_reads_one_chunk_at_a_time_loads_layer_by_layer():
    """Guards against a version that is never loaded, as its checks expire."""

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            site.server.reading = asyncio.Semaphore(1)
            site.server.read_s = 0.4
            site.declare(2)
            await site.until_all_hold(2, most_s=40.0)
            return site.server

    server = agent_sites.run(scenario())
    assert len(server.loads) > 2
    assert all(server.loads_intact)
    assert max(server.unread_s) < MAX_UNNOTICED_S


def test_a_model_of_any_size_is_loaded_from_all_of_its_chunks():
    for layers, chunks in ((16, 48), (4, 12), (3, 10), (7, 5), (1, 1)):
        parts = [
            staging.chunks_of(range(first, first + 1), layers, chunks)
            for first in range(layers)
        ]
        assert set().union(*parts) == set(range(chunks))
        assert staging.chunks_of(range(layers), layers, chunks) == range(chunks)


def test_an_order_waits_until_a_server_reads_fast_enough():
    """Guards against an order on old checks, and against none at all."""

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            server = site.server
            server.read_s = MAX_UNNOTICED_S
            site.declare(2)
            await asyncio.sleep(20.0)
            waiting = [*server.loads]
            unverified = site.agents[0]._counters.value("weights.unverified")
            server.read_s = 0.0
            await site.until_all_hold(2)
            return waiting, unverified, server.loads_intact

    waiting, unverified, intact = agent_sites.run(scenario())
    assert waiting == [1]
    assert unverified > 0
    assert all(intact)


def test_staged_chunks_are_not_read_while_a_load_waits_for_requests():
    """Guards against agents that read all chunks ten times a second."""

    async def scenario():
        # Of three servers, the last one drains for a second before its load.
        async with agent_sites.Site() as site:
            await site.until_all_hold(1)
            reads = []
            for server in site.local_servers:
                server.running = 1
                server.on_read = reads.append
            site.declare(2)
            await site.until_all_hold(2)
            intact = [server.loads_intact for server in site.local_servers]
            return len(reads), intact

    reads, intact = agent_sites.run(scenario())
    assert reads <= 3 * 2 * CHUNKS
    assert intact == [[True, True]] * 3


class Staged:
    """A stager and the server at which it stages one version."""

    def __init__(self, chunks=CHUNKS):
        self.server = agent_sites.LocalServer()
        data = [agent_sites.chunk(1, n) for n in range(chunks)]
        digests = tuple(hashlib.sha256(chunk).digest() for chunk in data)
        self.manifest = agent_interfaces.VersionManifest(
            agent_sites.MODEL, 1, agent_sites.CHUNK_BYTES, digests
        )
        self._data = dict(zip(digests, data, strict=True))
        self._chunks = stores.MemoryStore(8 << 20, staging.digest_of)
        self.stager = staging.Stager(
            self._chunks,
            lambda: None,
            asyncio.get_running_loop().time,
            logs.Log(),
        )

    async def stage(self):
        for digest, chunk in self._data.items():
            await self._chunks.put(digest, chunk)
        return await self.stager.stage(
            self.server, self.manifest, range(len(self._data))
        )


def test_only_the_chunks_read_before_a_stop_are_read_again():
    async def scenario():
        staged = Staged()
        await staged.stage()
        reads = []

        def on_read(number):
            reads.append(number)
            if len(reads) == CHUNKS // 2:
                asyncio.get_running_loop().clock.advance(STOP_S)

        staged.server.on_read = on_read
        verification = await staged.stage()
        return len(reads), verification

    reads, verification = clocks.run(scenario())
    assert CHUNKS < reads <= CHUNKS * 3 // 2 + 2
    assert verification.reads == reads
    assert verification.expiry.left_s > MAX_UNNOTICED_S - 1.0


def test_a_fast_server_gets_few_calls_side_by_side():
    async def scenario():
        staged = Staged()
        staged.server.read_s = 0.002
        await staged.stage()
        await staged.stage()
        return staged.server.max_readers

    assert clocks.run(scenario()) == 2


def test_a_server_that_refuses_calls_gets_fewer_side_by_side():
    """Guards against a version that never loads, as each attempt fails."""

    async def scenario():
        staged = Staged(48)
        staged.server.read_s = 0.3

        def on_read(number):
            del number
            if staged.server.readers > 5:
                raise exceptions.BackendLost("too many connections")

        staged.server.on_read = on_read
        for attempt in range(8):
            try:
                await staged.stage()
                return attempt
            except exceptions.BackendLost:
                pass
        return None

    assert clocks.run(scenario()) is not None


def test_no_call_outlives_a_verification_that_failed():
    async def scenario():
        staged = Staged()
        await staged.stage()
        staged.server.read_s = 0.2
        staged.server.on_read = once(
            lambda number: number == 1,
            lambda: staged.server.staged_chunks.clear(),
        )
        verification = await staged.stage()
        return verification, staged.server.readers

    assert clocks.run(scenario()) == (None, 0)


async def order(handler, valid_s, layers=None):
    """Sends a load order to a server.

    Returns:
      The error, the calls that the server received, and the time in seconds.
    """
    server = platform_site.Server("a", handler)
    await server.start()
    host, port = server.address.split(":")
    local_server = weights.LocalServer(
        shared_types.Address(host, int(port)), "m"
    )
    clock = asyncio.get_running_loop().time
    began_at = clock()
    valid = expiry.Expiry(began_at + valid_s, clock)
    error = None
    try:
        await local_server.load("m", 2, 0, True, valid, layers)
    except exceptions.BackendError as raised:
        error = type(raised)
    took_s = clock() - began_at
    await server.stop()
    return error, server.calls, took_s


def test_an_order_is_not_sent_after_a_stop_while_its_connection_opened(
    monkeypatch,
):
    """Guards against an order on old checks at the last possible moment."""
    connect = client.connect

    async def connect_and_stop(address, timeout_s):
        connection = await connect(address, timeout_s)
        asyncio.get_running_loop().clock.advance(STOP_S)
        return connection

    monkeypatch.setattr(client, "connect", connect_and_stop)

    async def play():
        return await order(lambda call: call.answer(b"", 202), MAX_UNNOTICED_S)

    error, calls, _ = platform_site.run(play())
    assert (error, calls) == (exceptions.CallExpired, [])


def test_an_order_is_given_up_once_its_checks_have_expired():
    """Guards against an order that a slow server accepts too late."""

    async def play():
        return await order(lambda call: None, 0.7)

    error, calls, took_s = platform_site.run(play())
    assert (error, len(calls)) == (exceptions.BackendStalled, 1)
    assert took_s == pytest.approx(0.7, abs=0.05)


@pytest.mark.parametrize(
    ("layers", "named"), [(None, {}), (4, {"from": 0, "target": 4})]
)
def test_an_order_of_some_layers_names_all_from_the_first_one_on(layers, named):
    """Guards against a server that drops the layers loaded before."""

    async def play():
        return await order(lambda call: call.answer(b"", 202), 1.0, layers)

    _, (call,), _ = platform_site.run(play())
    body = json.loads(call.body)
    assert {k: body[k] for k in ("from", "target") if k in body} == named
