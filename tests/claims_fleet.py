"""A fleet of entries that claim keys, in memory and in virtual time."""

import asyncio
import dataclasses
import inspect

from clementinegw import exceptions
from clementinegw import types
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import claims_service
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters
from clementinegw.testing import clock as clocks
from clementinegw.testing import memory
from clementinegw.wire import connection
from clementinegw.wire import exchange as exchange_lib

PLACE = types.Place("noord", "groningen-hal")
LATENCY_S = 0.001


class Network:
    """Tracks which processes can reach each other."""

    def __init__(self):
        self.endpoints = {}
        self.partitions = set()
        self.tasks = set()

    def can_reach(self, one, other):
        return frozenset((one, other)) not in self.partitions

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Endpoint:
    """Replaces a `wire.connection.Endpoint` with what `ClaimsService` uses."""

    def __init__(self, network, name, port, incarnation):
        self.identity = connection.Identity(
            name, types.Role.ENTRY, PLACE, incarnation
        )
        self.address = types.Address("127.0.0.1", port)
        self.network = network
        self.handlers = {}
        self.up = True
        network.endpoints[self.address] = self

    def on_call(self, kind, handler):
        self.handlers[kind] = handler

    async def connect(self, address):
        await asyncio.sleep(LATENCY_S)
        peer = self.network.endpoints.get(address)
        link = Link(self, peer)
        if peer is None or not link.is_up():
            raise exceptions.ConnectionLost("unreachable")
        return link


class Link:
    """One connection; its frames are lost while its ends are partitioned."""

    def __init__(self, client, server):
        self.client = client
        self.server = server

    def is_up(self):
        names = (e.identity.instance_id for e in (self.client, self.server))
        return (
            self.client.up
            and self.server.up
            and self.client.network.can_reach(*names)
        )

    def open(self):
        if not self.is_up():
            raise exceptions.ConnectionLost("cut")
        client_exchange = exchange_lib.Exchange(
            1, self._send_to_server, _no_wait, _ignore
        )
        self._client_exchange = client_exchange
        return client_exchange

    def _send_to_server(self, kind, call, body):
        frame = exchange_lib.Frame(kind, body)
        client_exchange = self._client_exchange

        def answer(kind, call, body):
            self._deliver(client_exchange, exchange_lib.Frame(kind, body))

        server_exchange = exchange_lib.Exchange(1, answer, _no_wait, _ignore)
        self.client.network.spawn(self._handle(server_exchange, frame))

    def _deliver(self, client_exchange, frame):
        async def deliver_later():
            await asyncio.sleep(LATENCY_S)
            if self.is_up():
                client_exchange.deliver(frame)
            else:
                client_exchange.fail(exceptions.ConnectionLost("cut"))

        self.client.network.spawn(deliver_later())

    async def _handle(self, server_exchange, frame):
        await asyncio.sleep(LATENCY_S)
        if self.is_up():
            await self.server.handlers[frame.kind](self, server_exchange, frame)


async def _no_wait():
    return None


def _ignore(call):
    del call


@dataclasses.dataclass
class Entry:
    """One entry of the fleet."""

    name: str
    endpoint: Endpoint
    claims: claims_service.ClaimsService
    log: memory.MemoryLog
    counters: counters.Counters


class Fleet:
    """Entries and the platform's log."""

    def __init__(self, clock, limits=None, timing=None, retention_s=None):
        self.clock = clock
        self.log = memory.MemoryLog(clock, retention_s=retention_s)
        self.network = Network()
        self.entries = {}
        self.limits = limits or claims_service.Limits()
        self.timing = timing or claims_service.Timing()
        self._port = 1000

    async def start(self, name, incarnation=1):
        """Starts an entry, or a new process that replaces an old one."""
        self._port += 1
        endpoint = Endpoint(self.network, name, self._port, incarnation)
        log = self.log.client()
        entry_counters = counters.Counters()
        claims = claims_service.ClaimsService(
            endpoint,
            log,
            self.live_entries,
            self.limits,
            self.timing,
            self.clock,
            counters=entry_counters,
            new_id=self._ids(name, incarnation),
        )
        await claims.start()
        entry = Entry(name, endpoint, claims, log, entry_counters)
        self.entries[name] = entry
        return entry

    async def crash(self, name):
        """Ends an entry at once; its state is lost."""
        entry = self.entries.pop(name)
        entry.endpoint.up = False
        entry.log.faults.down = True
        await entry.claims.stop()

    async def stop(self):
        for name in list(self.entries):
            await self.crash(name)

    def records(self):
        """Returns all records of claims in the log."""
        return [
            record
            for shard in range(claim_lib.SHARDS)
            for record in self.log.all(claim_lib.stream_name(shard))
        ]

    def live_entries(self):
        return [
            types.Instance(
                entry.name, types.Role.ENTRY, PLACE, entry.endpoint.address
            )
            for entry in self.entries.values()
        ]

    def partition(self, one, other):
        self.network.partitions.add(frozenset((one, other)))

    def heal(self):
        self.network.partitions.clear()

    def _ids(self, name, incarnation):
        numbers = iter(range(1 << 30))
        prefix = f"{name}{incarnation}".encode()[:8]
        return lambda: prefix.ljust(8) + next(numbers).to_bytes(8, "big")

    def request(
        self, request_id, key="k1", body=b"leather", seconds=5.0, headers=()
    ):
        return request_types.Request(
            request_id=request_id,
            customer="werkplaats",
            service="magazijn",
            method="POST",
            path="/bookings",
            headers=headers,
            body=body,
            priority=types.Priority.NORMAL,
            deadline=self.clock.now() + seconds,
            idempotent=False,
            key=key,
            fingerprint=request_types.fingerprint(
                "magazijn", "POST", "/bookings", body
            ),
        )


def with_fleet(*names, **options):
    """Runs a test in virtual time with a fleet of entries."""

    def decorate(test):
        def run(**arguments):
            clock = clocks.VirtualClock()

            async def body():
                fleet = Fleet(clock, **options)
                for name in names:
                    await fleet.start(name)
                try:
                    await test(fleet, **arguments)
                finally:
                    await fleet.stop()

            clocks.run(body(), clock)

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        signature = inspect.signature(test)
        others = list(signature.parameters.values())[1:]
        run.__signature__ = signature.replace(parameters=others)
        return run

    return decorate


def reason(result):
    assert isinstance(result, request_types.ClaimRefused), result
    return result.outcome.reason


def shard_number(key):
    hashed = claim_lib.hash_key("magazijn", "werkplaats", key)
    return claim_lib.shard_number(hashed, claim_lib.SHARDS)
