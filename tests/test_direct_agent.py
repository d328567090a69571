"""Agents bring versions to the servers beside them, whatever spoils."""

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
from clementinegw.direct import raw
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import updater
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks
from clementinegw.weights import origin_fetchers

PIECES = 12
PIECE_BYTES = 4096
PORT = 17_731
# Agents of one deployment have one port and an address each. Tests run in many
# processes at once, so each process has a loopback network of its own.
NETWORK = f"127.{1 + os.getpid() // 256 % 200}.{os.getpid() % 256}"
MODEL = "m"


def piece(version, number):
    return random.Random(f"{version}/{number}").randbytes(PIECE_BYTES)


def digest(data):
    return hashlib.sha256(data).digest()


class LocalServer:
    """A model server: takes what lies staged, checks nothing."""

    def __init__(self):
        self.staged_pieces = {}
        self.held = ()
        self.busy_until = 0.0
        self.sequence = 0
        self.born = 0
        self.loads = []
        self.whole = []
        self.rot = False
        self.restart = False
        self.restart_with = 0
        self.lose_answer = False

    async def state(self):
        now = asyncio.get_running_loop().time()
        busy = now < self.busy_until
        held = () if busy else self.held
        return agent_interfaces.ServerState(
            held, busy, self.sequence, 0, 0, 1.0, self.born
        )

    async def staged(self):
        found = frozenset(self.staged_pieces)
        wanted = [piece(self.restart_with, n) for n in range(PIECES)]
        if wanted == [self.staged_pieces.get(n) for n in range(PIECES)]:
            self.restart_with = 0
            self.staged_pieces.clear()
            self.sequence = 0
            self.held = ()
        return found

    async def read_staged(self, number):
        return self.staged_pieces.get(number)

    async def stage(self, number, data):
        if self.rot and number == 3:
            self.rot = False
            data = b"rotten" + data[6:]
        if self.restart and number == 3:
            self.restart = False
            self.staged_pieces.clear()
        self.staged_pieces[number] = data

    async def load(self, model, version, sequence, abort_running):
        if sequence != self.sequence:
            return False
        self.sequence += 1
        self.loads.append(version)
        expected = [piece(version, n) for n in range(PIECES)]
        found = [self.staged_pieces.get(n) for n in range(PIECES)]
        self.whole.append(expected == found)
        self.busy_until = asyncio.get_running_loop().time() + 0.3
        self.held = (types.HeldWeights(model, version, 4),)
        if self.lose_answer:
            self.lose_answer = False
            raise exceptions.BackendLost("the answer was lost")
        return True


class Origin:
    """The origin of weights."""

    def __init__(self):
        self.sent = 0
        self.asked = 0
        self.down = False
        self.spoil = 0

    async def manifest(self, model, version):
        self.asked += 1
        if self.down:
            raise exceptions.PlatformUnavailable("down")
        names = tuple(digest(piece(version, n)) for n in range(PIECES))
        return agent_interfaces.VersionManifest(
            model, version, PIECE_BYTES, names
        )

    async def piece(self, model, version, number):
        await asyncio.sleep(0.02)
        if self.down:
            raise exceptions.PlatformUnavailable("down")
        self.sent += 1
        if self.spoil:
            self.spoil -= 1
            return b"spoilt" * 100
        return piece(version, number)


def _items(numbers):
    return tuple(raw.Item(f"{n}", b"%d" % n, n) for n in numbers)


class Topic:
    """A topic whose records a test adds."""

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
        found = _items(range(offset, len(self.records)))
        return raw.Batch(found, offset + len(found))

    def decoded(self, items):
        return tuple(self.records[int(item.value)] for item in items)


class NoReaders:
    """A platform without groups: each agent reads by itself, at once."""

    async def candidates(self):
        raise exceptions.PlatformUnavailable("no groups here")


class Site:
    """Three agents in three failure domains."""

    def __init__(self, count=3, link_bytes_per_s=50_000.0):
        self.link_bytes_per_s = link_bytes_per_s
        self.origin = Origin()
        self.local_servers = [LocalServer() for _ in range(count)]
        self.topics = (Topic(), Topic())
        self.agents = []
        # How long the machines have been suspended, in seconds.
        self.slept_s = 0.0

    def boot_time(self):
        return asyncio.get_running_loop().time() + self.slept_s

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
            (MODEL,), 16, 0.01, 0.0, 1e4, 6, 4, PIECES, PIECE_BYTES
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
        agent = agents.Agent(
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
                any(h.version == version for h in state.held)
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
        store_address=shared_types.Address("127.0.0.1", 1),
        callers_address=None,
        ready_address=None,
        backend_address=shared_types.Address(host, 1),
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


def test_a_version_comes_to_every_server_with_about_one_copy_drawn():
    async def play():
        async with Site() as site:
            await site.until_all_hold(1)
            site.origin.sent = 0
            site.declare(2)
            took = await site.until_all_hold(2)
            wholes = [local_server.whole for local_server in site.local_servers]
            return took, site.origin.sent, wholes

    took, sent, wholes = run(play())
    assert took < 8.0
    assert sent <= PIECES + 3
    assert all(all(whole) for whole in wholes)


def test_a_newer_version_is_drawn_while_the_older_one_comes():
    """Symptom: of two versions the second is late.

    Sequence: version 3 is named while 2 comes; the origin has sent 2 long
    before the agents have exchanged it. Cause: nothing of 3 was drawn until
    its turn came, and then all of its pieces one after the other.
    """

    async def play():
        # Among three, a piece may reach its second holder as the last of all.
        async with Site(5, link_bytes_per_s=14_000.0) as site:
            await site.until_all_hold(1)
            site.origin.sent = 0
            site.declare(2)
            await asyncio.sleep(3.0)
            site.declare(3)
            await site.until_all_hold(3, most_s=30.0)
            counted = [a._counters for a in site.agents]
            return sum(c.value("weights.drawn_ahead") for c in counted)

    assert run(play()) >= 1


def test_what_rots_while_it_lies_staged_is_put_right_before_the_order():
    """Symptom: a server makes tokens with a spoilt layer.

    Sequence: a piece that was staged rots; the server takes it unchecked.
    Cause: pieces were checked only as they arrived.
    """

    async def play():
        async with Site(1) as site:
            site.local_servers[0].rot = True
            await site.until_all_hold(1)
            return site.local_servers[0].whole

    assert run(play()) == [True]


def test_a_server_that_starts_again_while_pieces_are_staged_loads_them_all():
    """A server loaded a version of which three pieces were missing.

    It started again, with nothing, while its agent staged piece after piece,
    each of which was in order as it was compared; the order named the number
    of orders that a new start has accepted, none.
    """

    async def play():
        async with Site(1) as site:
            site.local_servers[0].restart = True
            await site.until_all_hold(1)
            return site.local_servers[0].whole

    assert run(play()) == [True]


def test_a_server_that_starts_again_right_before_the_order_refuses_it():
    """A server loaded a version of which every piece was missing.

    It started again between the last look at what lies staged and the order,
    which named the orders that the new start had accepted.
    """

    async def play():
        async with Site(1) as site:
            await site.until_all_hold(1)
            site.local_servers[0].restart_with = 2
            site.declare(2)
            await site.until_all_hold(2)
            return site.local_servers[0].whole

    assert run(play()) == [True, True]


def test_what_the_origin_spoils_is_never_staged():
    async def play():
        async with Site(1) as site:
            site.origin.spoil = 3
            await site.until_all_hold(1, most_s=30.0)
            return site.local_servers[0].whole

    assert run(play()) == [True]


def test_an_order_whose_answer_is_lost_is_not_given_twice():
    """Symptom: a server loads twice and serves nothing meanwhile.

    Sequence: an order begins and its answer is lost; the agent orders again.
    Cause: no answer was taken for a refusal.
    """

    async def play():
        async with Site(1) as site:
            site.local_servers[0].lose_answer = True
            await site.until_all_hold(1)
            await asyncio.sleep(2.0)
            return site.local_servers[0].loads

    assert run(play()) == [1]


def test_an_agent_that_starts_again_takes_what_lies_staged():
    async def play():
        async with Site(1) as site:
            await site.until_all_hold(1)
            site.origin.sent = 0
            await site.agents.pop().stop()
            site.local_servers[0].held = ()
            await site.start(0, f"{NETWORK}.11")
            await site.until_all_hold(1)
            return site.origin.sent

    assert run(play()) == 0


@pytest.mark.parametrize("gap_s", [1.0, 4.0])
def test_of_versions_named_in_a_row_the_newest_is_everywhere(gap_s):
    async def play():
        async with Site() as site:
            await site.until_all_hold(1)
            site.declare(2)
            await asyncio.sleep(gap_s)
            site.declare(3)
            await site.until_all_hold(3)
            return [local_server.whole for local_server in site.local_servers]

    assert all(all(whole) for whole in run(play()))


def test_an_origin_that_is_down_is_waited_for():
    async def play():
        async with Site() as site:
            await site.until_all_hold(1)
            site.origin.down = True
            site.declare(2)
            await asyncio.sleep(5.0)
            site.origin.down = False
            return await site.until_all_hold(2)

    assert run(play()) < 8.0


def test_an_origin_that_dies_behind_a_newer_name_leaves_the_older_version():
    """Symptom: every server is out from the older version's due time on.

    Sequence: version 2 is on its way and version 3 is named two seconds
    later; then the origin is cut off for good. Cause: the agents dropped 2,
    whose pieces they held, for 3, of which they had none.
    """

    async def play():
        async with Site(link_bytes_per_s=20_000.0) as site:
            await site.until_all_hold(1)
            site.origin.sent = 0
            site.declare(2)
            while site.origin.sent < PIECES:
                await asyncio.sleep(0.05)
            site.declare(3)
            await asyncio.sleep(0.05)
            site.origin.down = True
            took = await site.until_all_hold(2)
            return took, [
                local_server.whole for local_server in site.local_servers
            ]

    took, wholes = run(play())
    assert took < 8.0
    assert all(all(whole) for whole in wholes)


def test_an_agent_that_starts_while_the_origin_is_down_serves_all_the_same():
    """Symptom: servers that were replaced serve seconds after all others.

    Sequence: a version is with all agents; the origin goes down, and one server
    is replaced, its agent with it. Cause: what the version consists of was
    asked of the origin alone, though every other agent knows it.
    """

    async def play():
        async with Site() as site:
            await site.until_all_hold(1)
            site.declare(2)
            await site.until_all_hold(2)
            site.origin.down = True
            await site.agents.pop(0).stop()
            local_server = site.local_servers[0]
            local_server.staged_pieces.clear()
            local_server.held, local_server.sequence = (), 0
            await site.start(0, f"{NETWORK}.11")
            return await site.until_all_hold(2, most_s=6.0)

    assert run(play()) < 5.0


def test_few_of_a_large_fleet_ask_the_origin_what_a_version_consists_of():
    """Symptom: the origin resets connections, of draws as well.

    Sequence: a version is named; 102 agents ask an origin that takes 48
    connections what it consists of, in the same tenth of a second. Cause: each
    asked the origin first, and the other agents only when that failed.
    """

    async def play():
        async with Site(20, link_bytes_per_s=500_000.0) as site:
            await site.until_all_hold(1)
            site.origin.asked = 0
            site.declare(2)
            await site.until_all_hold(2)
            return site.origin.asked

    assert run(play()) <= origin_fetchers.MAX_RANKED_FETCHERS


def test_what_another_agent_tells_of_a_version_is_checked():
    """An unreadable or another version's description names nothing."""
    manifest = agent_interfaces.VersionManifest(
        MODEL, 2, PIECE_BYTES, (digest(b"p"),)
    )
    body = manifest_cache.to_swarm_manifest(manifest).encode()
    found = manifest_cache.ManifestCache(
        Endpoint(), random.Random(1), counters_lib.Counters()
    )
    assert found.decode(body, MODEL, 2) == manifest
    assert found.decode(body, MODEL, 3) is None
    assert found.decode(b"{" + body, MODEL, 2) is None
    assert found.decode(b"", MODEL, 2) is None


class Endpoint:
    """Takes handlers; nobody is connected."""

    def on_call(self, kind, handler):
        del kind, handler

    def connections(self):
        return []


@dataclasses.dataclass
class FakeFetcher:
    """What is brought, as `updater.WeightsUpdater` asks it."""

    manifest: agent_interfaces.VersionManifest
    origin_failing_s: float
    missing_fraction: float = 0.9
    unspread_fraction: float = 1.0
    origin_bytes_per_s: float = 2_000.0


@pytest.mark.parametrize(
    ("version", "failing_s", "given_up"),
    [(3, 0.0, False), (3, 0.3, False), (3, 0.6, True), (2, 0.6, False)],
)
def test_failed_draws_give_the_newest_version_up(version, failing_s, given_up):
    """Symptom: no server serves between two due times.

    Sequence: version 3 is named, and the origin dies when few pieces of it are
    out; those go on arriving for a second, and then it takes another one until
    2 is taken up again. Cause: only a stall of all pieces counted.
    """

    async def play():
        manifest = agent_interfaces.VersionManifest(
            MODEL, version, PIECE_BYTES, (b"d",)
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

    assert run(play()) == given_up


@pytest.mark.parametrize(
    ("unspread", "failing_s", "since_s", "waits"),
    [
        (0.1, 0.0, 0.5, True),
        (0.0, 0.0, 0.5, False),
        # Waiting for all of the older one would make the newer one late.
        (0.5, 0.0, 0.5, False),
        (1.0, 0.0, 0.1, False),
        # An origin that is gone sends the last pieces to nobody.
        (0.1, 0.6, 0.5, False),
        # Nor does one that has not sent them for as long as a version takes.
        (0.1, 0.0, 7.0, False),
    ],
)
def test_a_version_is_left_once_its_last_pieces_are_out(
    unspread, failing_s, since_s, waits
):
    """Symptom: of two versions two seconds apart neither ever serves.

    Sequence: version 3 is named 0.4 s before the origin goes; version 2 is left
    at once, with four of 48 pieces still to be drawn. Cause: the newer one was
    expected to come in time for both.
    """

    async def play():
        clock = asyncio.get_running_loop().time
        manifest = agent_interfaces.VersionManifest(
            MODEL, 2, PIECE_BYTES, (b"d",)
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

    assert run(play()) == waits


@pytest.mark.parametrize(
    ("failing_s", "quiet_s", "known"),
    [(0.0, 0.0, True), (0.6, 0.0, False), (0.0, 1.5, False)],
)
def test_an_agent_promises_no_server_while_no_piece_comes(
    failing_s, quiet_s, known
):
    """Symptom: callers wait for 1.5 s and are turned away all the same.

    Sequence: the server holds all layers of a version that may begin nothing
    any more; the next one is on its way, and its origin is down. Cause: the
    agent told that the server was ready at once, as it held a whole version.
    """

    async def play():
        clock = asyncio.get_running_loop().time
        manifest = agent_interfaces.VersionManifest(
            MODEL, 3, PIECE_BYTES, (b"d",)
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

    found = run(play())
    assert (found > 0.0) == known


def test_a_server_that_starts_again_under_its_id_is_loaded_again():
    """A server stayed empty after it had come back under its former id.

    It forgets its layers and how many orders it has accepted; what its agent
    knew of the start before must not stand in the way of the next order.
    """

    async def play():
        async with Site() as site:
            await site.until_all_hold(1)
            local_server = site.local_servers[0]
            local_server.held, local_server.sequence, local_server.born = (
                (),
                0,
                7,
            )
            loads = len(local_server.loads)
            await asyncio.sleep(5.0)
            assert len(local_server.loads) == loads + 1
            assert all(local_server.whole)
            told = site.agents[0]._context.start
            assert told == types.ServerStart("i-0", 7)

    run(play())
