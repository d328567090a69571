"""Agents update the weights of their servers despite faults."""

import asyncio
import dataclasses
import hashlib
import os
import random

import pytest

from clementinegw import exceptions
from clementinegw import types as shared_types
from clementinegw.direct import agent as agents
from clementinegw.direct import agent_interfaces
from clementinegw.direct import declarations
from clementinegw.direct import instance as instances
from clementinegw.direct import manifest_cache
from clementinegw.direct import prefetch
from clementinegw.direct import raw
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import updater
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.weights import origin_fetchers
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

CHUNKS = 12
CHUNK_BYTES = 4096
LAYERS = 4
PORT = 17_731
# Agents of one deployment share a port and have an address each. Tests run in
# several processes at once, so each process has its own loopback network.
NETWORK = f"127.{1 + os.getpid() // 256 % 200}.{os.getpid() % 256}"
MODEL = "m"


def chunk(version, number):
    return random.Random(f"{version}/{number}").randbytes(CHUNK_BYTES)


def chunks_of(loaded=0, layers=None):
    """Returns the chunks of the layers that an order adds."""
    per_layer = CHUNKS // LAYERS
    return range(loaded * per_layer, (layers or LAYERS) * per_layer)


def digest(data):
    return hashlib.sha256(data).digest()


class LocalServer:
    """A model server that loads staged chunks without checking them."""

    def __init__(self):
        self.staged_chunks = {}
        self.held = ()
        self.busy_until = 0.0
        self.sequence = 0
        self.started_ms = 0
        self.loads = []
        self.loads_intact = []
        self.corrupt_one_chunk = False
        self.restart_while_staging = False
        self.restart_when_staged = 0
        self.lose_answer = False
        self.running = 0
        self.read_s = 0.0
        self.readers = 0
        self.max_readers = 0
        # A server that reads one chunk at a time makes all others wait.
        self.reading = asyncio.Semaphore(1 << 10)
        self.on_read = lambda number: None
        self.on_state = lambda: None

    def corrupt(self, number):
        self.staged_chunks[number] = b"rotten" + self.staged_chunks[number][6:]

    async def state(self):
        self.on_state()
        now = asyncio.get_running_loop().time()
        busy = now < self.busy_until
        held = () if busy else self.held
        return agent_interfaces.ServerState(
            held, busy, self.sequence, self.running, 0, 1.0, self.started_ms
        )

    async def staged(self):
        staged = frozenset(self.staged_chunks)
        wanted = [chunk(self.restart_when_staged, n) for n in range(CHUNKS)]
        if wanted == [self.staged_chunks.get(n) for n in range(CHUNKS)]:
            self.restart_when_staged = 0
            self.staged_chunks.clear()
            self.sequence = 0
            self.held = ()
        return staged

    async def read_staged(self, number):
        self.readers += 1
        self.max_readers = max(self.max_readers, self.readers)
        try:
            data = self.staged_chunks.get(number)
            self.on_read(number)
            if self.read_s:
                async with self.reading:
                    await asyncio.sleep(self.read_s)
        finally:
            self.readers -= 1
        return data

    async def stage(self, number, data):
        if self.corrupt_one_chunk and number == 3:
            self.corrupt_one_chunk = False
            data = b"rotten" + data[6:]
        if self.restart_while_staging and number == 3:
            self.restart_while_staging = False
            self.staged_chunks.clear()
        self.staged_chunks[number] = data

    async def load(
        self, model, version, sequence, abort_running, expiry, layers=None
    ):
        if sequence != self.sequence:
            return False
        self.sequence += 1
        self.loads.append(version)
        held = [h.layers for h in self.held if h.version == version]
        numbers = chunks_of(*held, layers=layers)
        expected = [chunk(version, n) for n in numbers]
        staged = [self.staged_chunks.get(n) for n in numbers]
        self.loads_intact.append(expected == staged)
        self.busy_until = asyncio.get_running_loop().time() + 0.3
        self.held = (types.HeldWeights(model, version, layers or LAYERS),)
        if self.lose_answer:
            self.lose_answer = False
            raise exceptions.BackendLost("the answer was lost")
        return True


class Origin:
    """The origin of weights."""

    def __init__(self):
        self.sent = 0
        self.sent_chunks = set()
        self.asked = 0
        self.down = False
        self.corrupt_chunks = 0
        # Manifests that the origin corrupts, how, and whether it fails behind
        # one.
        self.corrupt_manifests = 0
        self.corrupted_field = "digests"
        self.fails_after_manifest = False

    async def manifest(self, model, version):
        self.asked += 1
        if self.down:
            raise exceptions.PlatformUnavailable("down")
        digests = tuple(digest(chunk(version, n)) for n in range(CHUNKS))
        manifest = agent_interfaces.VersionManifest(
            model, version, CHUNK_BYTES, digests
        )
        if not self.corrupt_manifests:
            return manifest
        self.corrupt_manifests -= 1
        self.down = self.fails_after_manifest
        corrupt = {
            "digests": (digest(b"another chunk"), *digests[1:]),
            "chunk_bytes": CHUNK_BYTES + 900,
        }
        field = self.corrupted_field
        return dataclasses.replace(manifest, **{field: corrupt[field]})

    async def chunk(self, model, version, number):
        await asyncio.sleep(0.02)
        if self.down:
            raise exceptions.PlatformUnavailable("down")
        self.sent += 1
        if self.corrupt_chunks:
            self.corrupt_chunks -= 1
            return b"spoilt" * 100
        self.sent_chunks.add((version, number))
        return chunk(version, number)


def _items(numbers):
    return tuple(raw.Item(f"{n}", b"%d" % n, n) for n in numbers)


class Topic:
    """A topic to which tests add records."""

    def __init__(self):
        self.records = []

    async def snapshot(self):
        newest = {record.key: n for n, record in enumerate(self.records)}
        return raw.Batch(_items(newest.values()), len(self.records))

    async def changes(self, offset, wait_s):
        until = asyncio.get_running_loop().time() + wait_s
        while len(self.records) <= offset:
            if asyncio.get_running_loop().time() >= until:
                break
            await asyncio.sleep(0.05)
        new_items = _items(range(offset, len(self.records)))
        return raw.Batch(new_items, offset + len(new_items))

    def decoded(self, items):
        return tuple(self.records[int(item.value)] for item in items)


class NoReaders:
    """A platform without reader groups: each agent reads by itself at once."""

    async def candidates(self):
        raise exceptions.PlatformUnavailable("no groups here")


class NamedAgent(agents.Agent):
    """An agent whose id is the same in each run of the tests.

    Ids contain the address, which depends on the process that runs the tests,
    and decide which agent fetches which chunk.
    """

    suffix = ""

    def _agent_instance(self, host, place):
        number = host.rpartition(".")[2]
        return dataclasses.replace(
            super()._agent_instance(host, place),
            instance_id=f"agent-{number}{self.suffix}",
        )


class Site:
    """Agents and servers, by default three, each in its own failure domain."""

    def __init__(
        self, count=3, link_bytes_per_s=50_000.0, agent_type=agents.Agent
    ):
        self.link_bytes_per_s = link_bytes_per_s
        self.agent_type = agent_type
        self.origin = Origin()
        self.local_servers = [LocalServer() for _ in range(count)]
        self.topics = (Topic(), Topic())
        self.agents = []
        # How long the machines have been suspended, in seconds.
        self.suspended_s = 0.0

    def boot_time(self):
        return asyncio.get_running_loop().time() + self.suspended_s

    def operators(self):
        return self.topics[0]

    def servers(self):
        return self.topics[1]

    def local_server(self, address, model):
        return self.local_servers[int(address.host.rpartition(".")[2]) - 11]

    def origin_at(self, address):
        return self.origin

    def declare(self, version):
        record = topic_watch.Record("v", types.DeclaredVersion(MODEL, version))
        self.topics[0].records.append(record)

    async def __aenter__(self):
        engine = types.Engine(
            (MODEL,), 16, 0.01, 0.0, 1e4, 6, LAYERS, CHUNKS, CHUNK_BYTES
        )
        origin = types.Origin(shared_types.Address("127.0.0.1", 1), 8, 1e6)
        services = {
            "engine": types.Service("engine", 64, engine),
            "origin": types.Service("origin", 8, None, origin),
        }
        configuration = types.Configuration(1, (), services, {})
        self.topics[0].records.append(topic_watch.Record("c", configuration))
        hosts = [f"{NETWORK}.{11 + n}" for n in range(len(self.local_servers))]
        for number, host in enumerate(hosts):
            server = types.Server(
                f"i-{number}",
                "engine",
                shared_types.Address(host, 1),
                f"d{number}",
                16,
            )
            self.topics[1].records.append(
                topic_watch.Record(f"i-{number}", server)
            )
        for number, host in enumerate(hosts):
            await self.start(number, host)
        return self

    async def start(self, number, host):
        instance = instance_of(
            self.link_bytes_per_s, number, host, len(self.local_servers)
        )
        platform = Platform(self)
        agent = self.agent_type(
            instance,
            platform,
            logs.Log(),
            counters_lib.Counters(),
            random.Random(number),
            asyncio.get_running_loop().clock,
            self.boot_time,
        )
        await agent.start()
        self.agents.append(agent)

    async def __aexit__(self, *_):
        for agent in self.agents:
            await agent.stop()

    async def until_all_hold(self, version, most_s=20.0):
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + most_s:
            states = [
                await local_server.state()
                for local_server in self.local_servers
            ]
            if all(
                any(
                    h.version == version and h.layers == LAYERS
                    for h in state.held
                )
                for state in states
            ):
                return loop.time() - began
            await asyncio.sleep(0.05)
        raise AssertionError(f"version {version} is not everywhere")


def instance_of(link_bytes_per_s, number=0, host=f"{NETWORK}.11", domains=1):
    """Returns the instance of an agent, one of as many as there are domains."""
    return instances.Instance(
        name=f"agent-{number}",
        place=shared_types.Place(f"r{number}", f"d{number}"),
        regions={f"d{n}": f"r{n}" for n in range(domains)},
        host=host,
        peer_ports=(PORT, PORT + 1),
        store=shared_types.Address("127.0.0.1", 1),
        callers=None,
        ready=None,
        backend=shared_types.Address(host, 1),
        service="engine",
        link_bytes_per_s=link_bytes_per_s,
        bounds=instances.Bounds(),
    )


class Platform:
    def __init__(self, site):
        self.operators = site.operators
        self.servers = site.servers
        self.reader_group = lambda me: NoReaders()
        self.local_server = site.local_server
        self.origin = site.origin_at


def run(coroutine):
    return clocks.run(coroutine, grace_s=0.002)


def test_a_version_reaches_every_server_with_about_one_copy_from_the_origin():
    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            site.origin.sent = 0
            site.declare(2)
            took = await site.until_all_hold(2)
            intact = [
                local_server.loads_intact for local_server in site.local_servers
            ]
            return took, site.origin.sent, intact

    took, sent, intact = run(scenario())
    assert took < 8.0
    assert sent <= CHUNKS + 3
    assert all(all(loads) for loads in intact)


@pytest.mark.parametrize("suffix", ["-a", "-b", "-c", "-d"])
def test_a_newer_version_is_prefetched_while_the_older_is_exchanged(suffix):
    """Guards against the second of two versions being late.

    Version 3 is declared while 2 is exchanged, which the origin has sent long
    before. No chunk of 3 was fetched until 2 was complete, and then one chunk
    after the other.
    """

    class Agent(NamedAgent):
        pass

    Agent.suffix = suffix

    async def scenario():
        # With three agents, a chunk may be the last one to be replicated. With
        # five this depends on which agent fetches which chunk.
        async with Site(5, 14_000.0, Agent) as site:
            await site.until_all_hold(1)
            site.origin.sent = 0
            site.declare(2)
            await asyncio.sleep(3.0)
            site.declare(3)
            await site.until_all_hold(3, most_s=30.0)
            counted = [a._counters for a in site.agents]
            return sum(c.value("weights.drawn_ahead") for c in counted)

    assert run(scenario()) >= 1


def test_a_corrupt_staged_chunk_is_replaced_before_the_order():
    """Guards against a server that generates tokens with a corrupt layer.

    A staged chunk becomes corrupt, and the server loads it unchecked. Chunks
    were only checked when they arrived at the agent.
    """

    async def scenario():
        async with Site(1) as site:
            site.local_servers[0].corrupt_one_chunk = True
            await site.until_all_hold(1)
            return site.local_servers[0].loads_intact

    assert run(scenario()) == [True]


def test_a_server_that_restarts_during_staging_loads_every_chunk():
    """Guards against a load of a version with missing chunks.

    The server restarts and loses its staged chunks while the agent stages and
    compares one after the other. The order named a sequence of 0, which is also
    that of the restarted server, so it was accepted with three chunks missing.
    """

    async def scenario():
        async with Site(1) as site:
            site.local_servers[0].restart_while_staging = True
            await site.until_all_hold(1)
            return site.local_servers[0].loads_intact

    assert run(scenario()) == [True]


def test_a_server_that_restarts_right_before_the_order_refuses_it():
    """Guards against a load of a version without any staged chunk.

    The server restarts between the last check of the staged chunks and the
    order, which named the sequence of the restarted server.
    """

    async def scenario():
        async with Site(1) as site:
            await site.until_all_hold(1)
            site.local_servers[0].restart_when_staged = 2
            site.declare(2)
            await site.until_all_hold(2)
            return site.local_servers[0].loads_intact

    assert run(scenario()) == [True, True]


def test_corrupt_chunks_from_the_origin_are_never_staged():
    async def scenario():
        async with Site(1) as site:
            site.origin.corrupt_chunks = 3
            await site.until_all_hold(1, most_s=30.0)
            return site.local_servers[0].loads_intact

    assert run(scenario()) == [True]


@pytest.mark.parametrize(
    ("count", "field"),
    [(1, "digests"), (3, "digests"), (20, "digests"), (3, "chunk_bytes")],
)
def test_a_corrupt_manifest_is_not_kept(count, field):
    """A digest that was corrupted once kept a version from all servers."""

    async def scenario():
        async with Site(count, link_bytes_per_s=200_000.0) as site:
            await site.until_all_hold(1)
            site.origin.corrupted_field = field
            site.origin.corrupt_manifests = 1
            site.origin.fails_after_manifest = True
            site.declare(2)
            while not site.origin.down:
                await asyncio.sleep(0.05)
            await asyncio.sleep(3.0)
            site.origin.down = False
            took = await site.until_all_hold(2)
            return took, [
                local_server.loads_intact for local_server in site.local_servers
            ]

    took, intact = run(scenario())
    assert took < 8.0
    assert all(all(loads) for loads in intact)


def test_an_order_whose_answer_is_lost_is_not_repeated():
    """Guards against a server that loads twice and serves nothing meanwhile.

    The server accepts an order, but the answer is lost. The agent treated the
    missing answer as a refusal and ordered again.
    """

    async def scenario():
        async with Site(1) as site:
            site.local_servers[0].lose_answer = True
            await site.until_all_hold(1)
            await asyncio.sleep(2.0)
            return site.local_servers[0].loads

    assert run(scenario()) == [1]


def test_a_restarted_agent_reuses_staged_chunks():
    async def scenario():
        async with Site(1) as site:
            await site.until_all_hold(1)
            site.origin.sent = 0
            await site.agents.pop().stop()
            site.local_servers[0].held = ()
            await site.start(0, f"{NETWORK}.11")
            await site.until_all_hold(1)
            return site.origin.sent

    assert run(scenario()) == 0


@pytest.mark.parametrize("gap_s", [1.0, 4.0])
def test_the_newest_of_successive_versions_reaches_every_server(gap_s):
    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            site.declare(2)
            await asyncio.sleep(gap_s)
            site.declare(3)
            await site.until_all_hold(3)
            return [
                local_server.loads_intact for local_server in site.local_servers
            ]

    assert all(all(loads) for loads in run(scenario()))


def test_agents_wait_for_an_origin_that_is_down():
    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            site.origin.down = True
            site.declare(2)
            await asyncio.sleep(5.0)
            site.origin.down = False
            return await site.until_all_hold(2)

    assert run(scenario()) < 8.0


def test_the_older_version_completes_if_the_origin_fails():
    """Guards against an outage of all servers from the older due time on.

    Version 2 is being fetched when version 3 is declared, and then the origin
    fails permanently. The agents dropped 2, whose chunks they held, for 3, of
    which they had none.
    """

    async def scenario():
        async with Site(link_bytes_per_s=20_000.0) as site:
            await site.until_all_hold(1)
            site.declare(2)
            # Two agents may fetch the same chunk, so sends are not counted.
            while not all(
                (2, n) in site.origin.sent_chunks for n in range(CHUNKS)
            ):
                await asyncio.sleep(0.05)
            site.declare(3)
            await asyncio.sleep(0.05)
            site.origin.down = True
            took = await site.until_all_hold(2)
            return took, [
                local_server.loads_intact for local_server in site.local_servers
            ]

    took, intact = run(scenario())
    assert took < 8.0
    assert all(all(loads) for loads in intact)


def test_an_agent_that_starts_while_the_origin_is_down_gets_the_weights():
    """Guards against replaced servers that serve seconds after all others.

    All agents hold a version, the origin goes down, and a server is replaced
    together with its agent. The new agent requested the manifest from the
    origin only, although every other agent had it.
    """

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            site.declare(2)
            await site.until_all_hold(2)
            site.origin.down = True
            await site.agents.pop(0).stop()
            local_server = site.local_servers[0]
            local_server.staged_chunks.clear()
            local_server.held, local_server.sequence = (), 0
            await site.start(0, f"{NETWORK}.11")
            return await site.until_all_hold(2, most_s=6.0)

    assert run(scenario()) < 5.0


def test_few_agents_of_a_large_fleet_ask_the_origin_for_a_manifest():
    """Guards against connections that the origin resets, also for chunks.

    A version is declared, and 102 agents request its manifest within 0.1 s from
    an origin that accepts 48 connections. Each agent asked the origin first and
    other agents only if that failed.
    """

    async def scenario():
        async with Site(20, link_bytes_per_s=500_000.0) as site:
            await site.until_all_hold(1)
            site.origin.asked = 0
            site.declare(2)
            await site.until_all_hold(2)
            return site.origin.asked

    assert run(scenario()) <= origin_fetchers.MAX_RANKED_FETCHERS


def test_a_manifest_from_another_agent_is_validated():
    """A manifest that is unreadable or of another version is ignored."""
    manifest = agent_interfaces.VersionManifest(
        MODEL, 2, CHUNK_BYTES, (digest(b"p"),)
    )
    body = manifest_cache.to_swarm_manifest(manifest).encode()
    cache = manifest_cache.ManifestCache(
        Endpoint(), random.Random(1), counters_lib.Counters()
    )
    assert cache.decode(body, MODEL, 2) == manifest
    assert cache.decode(body, MODEL, 3) is None
    assert cache.decode(b"{" + body, MODEL, 2) is None
    assert cache.decode(b"", MODEL, 2) is None


class Endpoint:
    """An endpoint without connections."""

    def on_call(self, kind, handler):
        del kind, handler

    def connections(self):
        return []


@dataclasses.dataclass
class FakeFetcher:
    """The state of a fetcher that `updater.WeightsUpdater` reads."""

    manifest: agent_interfaces.VersionManifest
    origin_failing_s: float
    missing_fraction: float = 0.9
    unspread_fraction: float = 1.0
    origin_bytes_per_s: float = 2_000.0


@pytest.mark.parametrize(
    ("version", "failing_s", "given_up"),
    [(3, 0.0, False), (3, 0.3, False), (3, 0.6, True), (2, 0.6, False)],
)
def test_the_newest_version_stalls_if_the_origin_fails(
    version, failing_s, given_up
):
    """Guards against an outage between two due times.

    Version 3 is declared, and the origin fails when it has sent a few chunks.
    These keep arriving for a second, and the agents took one more second to
    resume 2. Only the absence of all chunks counted as a stall.
    """

    async def scenario():
        manifest = agent_interfaces.VersionManifest(
            MODEL, version, CHUNK_BYTES, (b"d",)
        )
        declared = declarations.Declarations(
            8.0, 3.0, asyncio.get_running_loop().time
        )
        weights = updater.WeightsUpdater(
            updater.Context(None),
            FakeFetcher(manifest, failing_s),
            logs.Log(),
            counters_lib.Counters(),
            histograms.Histograms(),
            declared,
        )
        declared.record("", 2, 0.0)
        declared.record("", 3, 0.0)
        weights._progress_at = asyncio.get_running_loop().time()
        return weights._stalled()

    assert run(scenario()) == given_up


@pytest.mark.parametrize(
    ("unspread", "failing_s", "since_s", "waits"),
    [
        (0.1, 0.0, 0.5, True),
        (0.0, 0.0, 0.5, False),
        # Waiting for the whole older version would make the newer one late.
        (0.5, 0.0, 0.5, False),
        (1.0, 0.0, 0.1, False),
        # An origin that fails does not send the last chunks.
        (0.1, 0.6, 0.5, False),
        # Nor does one that has not sent them in the time for a whole version.
        (0.1, 0.0, 7.0, False),
    ],
)
def test_a_version_is_fetched_until_its_last_chunks_are_out(
    unspread, failing_s, since_s, waits
):
    """Guards against neither of two versions being completed.

    Version 3 is declared two seconds after 2 and 0.4 s before the origin fails.
    Version 2 was abandoned at once, with four of 48 chunks still at the origin,
    as version 3 was expected to meet both deadlines.
    """

    async def scenario():
        clock = asyncio.get_running_loop().time
        manifest = agent_interfaces.VersionManifest(
            MODEL, 2, CHUNK_BYTES, (b"d",)
        )
        instance = instance_of(link_bytes_per_s=1_000.0)
        engine = types.Engine((MODEL,), 16, 0.01, 0.0, 1e4, 6, 4, 5, 1_000)
        declared = declarations.Declarations(8.0, 3.0, clock)
        weights = updater.WeightsUpdater(
            updater.Context(instance, engine),
            FakeFetcher(manifest, failing_s, unspread_fraction=unspread),
            logs.Log(),
            counters_lib.Counters(),
            histograms.Histograms(),
            declared,
        )
        declared.record(MODEL, 2, 0.0)
        await asyncio.sleep(since_s)
        return weights._must_finish_spreading(2, 3)

    assert run(scenario()) == waits


@pytest.mark.parametrize(
    ("failing_s", "quiet_s", "known"),
    [(0.0, 0.0, True), (0.6, 0.0, False), (0.0, 1.5, False)],
)
def test_the_ready_time_is_unknown_while_no_chunk_arrives(
    failing_s, quiet_s, known
):
    """Guards against callers that wait for 1.5 s before they are rejected.

    The server holds a complete version that may no longer start requests, and
    the origin is down while the next one is fetched. The agent reported the
    server as ready, as it held a complete version.
    """

    async def scenario():
        clock = asyncio.get_running_loop().time
        manifest = agent_interfaces.VersionManifest(
            MODEL, 3, CHUNK_BYTES, (b"d",)
        )
        weights = updater.WeightsUpdater(
            updater.Context(None),
            FakeFetcher(manifest, failing_s),
            logs.Log(),
            counters_lib.Counters(),
            histograms.Histograms(),
            declarations.Declarations(8.0, 3.0, clock),
        )
        weights._progress_at = clock() - quiet_s
        return weights.ready_in_s(serves=True)

    ready_in_s = run(scenario())
    assert (ready_in_s > 0.0) == known


def test_a_server_that_restarts_under_its_id_is_loaded_again():
    """Guards against a server that stays empty after a restart.

    It restarts under the same id and loses its layers and its count of orders.
    The agent's knowledge of the previous start must not prevent the next order.
    """

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            server = site.local_servers[0]
            server.held, server.sequence, server.started_ms = (), 0, 7
            loads = len(server.loads)
            await asyncio.sleep(5.0)
            assert len(server.loads) == loads + 1
            assert all(server.loads_intact)
            start = site.agents[0]._context.start
            assert start == types.ServerStart("i-0", 7)

    run(scenario())


def test_an_agent_whose_report_cannot_be_sent_loads_new_versions():
    """Guards against a number in a configuration that ends all agents."""

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            configuration = site.topics[0].records[0].value
            engine = dataclasses.replace(
                configuration.services["engine"].engine, slots=2**31
            )
            services = {
                **configuration.services,
                "engine": types.Service("engine", 64, engine),
            }
            site.topics[0].records.append(
                topic_watch.Record(
                    "c", dataclasses.replace(configuration, services=services)
                )
            )
            subscription = codec.encode(ttypes.Subscribe("entry-1", {}, False))
            for agent in site.agents:
                # Reports are only encoded for entries that have subscribed.
                agent._reporter.datagram_received(
                    subscription, (f"{NETWORK}.9", PORT)
                )
            await asyncio.sleep(1.0)
            site.declare(2)
            await site.until_all_hold(2)
            return [agent.crashed for agent in site.agents]

    assert run(scenario()) == [False] * 3


def test_an_agent_polls_on_after_an_error_of_its_server():
    """Guards against one odd answer that ends an agent's loops."""

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            state = site.local_servers[0].state

            async def fail():
                raise KeyError("odd")

            site.local_servers[0].state = fail
            await asyncio.sleep(1.0)
            site.local_servers[0].state = state
            site.declare(2)
            await site.until_all_hold(2)
            return [agent.crashed for agent in site.agents]

    assert run(scenario()) == [False] * 3


def test_a_failed_prefetch_is_raised_once():
    """Guards against an agent that fetches no version after a prefetch."""

    class Fetcher:
        async def fetch_manifest(self, origin, model, version):
            raise KeyError("odd")

    async def scenario():
        counters = counters_lib.Counters()
        prefetcher = prefetch.Prefetcher(Fetcher(), logs.Log(), counters)
        prefetcher.start(None, MODEL, 2)
        await asyncio.sleep(0.1)
        with pytest.raises(KeyError):
            await prefetcher.stop()
        await prefetcher.stop()

    clocks.run(scenario())


@pytest.mark.parametrize("errors", [1, 6, 20])
def test_an_unexpected_error_with_a_chunk_does_not_delay_a_version(errors):
    """Guards against chunks that count as in transit after their task ended."""

    async def scenario():
        async with Site() as site:
            await site.until_all_hold(1)
            send_chunk = site.origin.chunk
            left = errors

            async def fail_at_first(model, version, number):
                nonlocal left
                if left:
                    left -= 1
                    raise KeyError("odd")
                return await send_chunk(model, version, number)

            site.origin.chunk = fail_at_first
            site.declare(2)
            return await site.until_all_hold(2), left

    took_s, left = run(scenario())
    assert took_s < 6.0
    assert not left


def test_a_record_that_is_read_again_does_not_prolong_a_cold_start():
    """Guards against agents that report a server cold after an outage."""

    async def scenario():
        async with Site(count=1) as site:
            agent = site.agents[0]
            loop = asyncio.get_running_loop()

            def list_server(sequence, cold_s):
                server = types.Server(
                    "i-0",
                    "engine",
                    shared_types.Address(f"{NETWORK}.11", 1),
                    "d0",
                    16,
                    sequence=sequence,
                    cold_s=cold_s,
                )
                agent._apply_server(topic_watch.Record("i-0", server))
                return agent._cold.left_s(server.start, loop.time())

            first = list_server(1, 2.0)
            await asyncio.sleep(1.5)
            again = list_server(1, 2.0)
            malformed = list_server(2, None)
            return first, again, malformed, list_server(3, 0.0)

    first, again, malformed, ended = run(scenario())
    assert first == pytest.approx(2.0, abs=0.1)
    assert again == pytest.approx(0.5, abs=0.1)
    assert malformed == pytest.approx(0.5, abs=0.1)
    assert ended == 0.0
