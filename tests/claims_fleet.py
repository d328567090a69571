"""Entries that claim keys, joined by connections in memory, virtual time."""

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
    """Which processes can reach which."""

    def __init__(self):
        self.endpoints = {}
        self.cut = set()
        self.tasks = set()

    def reaches(self, one, other):
        return frozenset((one, other)) not in self.cut

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Endpoint:
    """What `ClaimsService` uses of a `wire.connection.Endpoint`."""

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
        if peer is None or not link.works():
            raise exceptions.ConnectionLost("unreachable")
        return link


class Link:
    """One connection; its frames are lost while it is cut."""

    def __init__(self, near, far):
        self.near = near
        self.far = far

    def works(self):
        names = (e.identity.instance_id for e in (self.near, self.far))
        return (
            self.near.up and self.far.up and self.near.network.reaches(*names)
        )

    def open(self):
        if not self.works():
            raise exceptions.ConnectionLost("cut")
        near = exchange_lib.Exchange(1, self._to_far, _no_wait, _ignore)
        self._near_side = near
        return near

    def _to_far(self, kind, call, body):
        frame = exchange_lib.Frame(kind, body)
        near = self._near_side

        def answer(kind, call, body):
            self._deliver(near, exchange_lib.Frame(kind, body))

        far = exchange_lib.Exchange(1, answer, _no_wait, _ignore)
        self.near.network.spawn(self._handle(far, frame))

    def _deliver(self, near, frame):
        async def later():
            await asyncio.sleep(LATENCY_S)
            if self.works():
                near.deliver(frame)
            else:
                near.fail(exceptions.ConnectionLost("cut"))

        self.near.network.spawn(later())

    async def _handle(self, far, frame):
        await asyncio.sleep(LATENCY_S)
        if self.works():
            await self.far.handlers[frame.kind](self, far, frame)


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
    """Some entries and the platform's log."""

    def __init__(self, clock, limits=None, timing=None, retention_s=None):
        self.clock = clock
        self.log = memory.MemoryLog(clock, retention_s=retention_s)
        self.network = Network()
        self.entries = {}
        self.limits = limits or claims_service.Limits()
        self.timing = timing or claims_service.Timing()
        self._port = 1000

    async def start(self, name, incarnation=1):
        """Starts an entry, or a new process in the place of an old one."""
        self._port += 1
        endpoint = Endpoint(self.network, name, self._port, incarnation)
        log = self.log.client()
        keeper = counters.Counters()
        claims = claims_service.ClaimsService(
            endpoint,
            log,
            self.alive,
            self.limits,
            self.timing,
            self.clock,
            counters=keeper,
            new_id=self._ids(name, incarnation),
        )
        await claims.start()
        entry = Entry(name, endpoint, claims, log, keeper)
        self.entries[name] = entry
        return entry

    async def crash(self, name):
        """Ends an entry at once; what it knew is gone."""
        entry = self.entries.pop(name)
        entry.endpoint.up = False
        entry.log.faults.down = True
        await entry.claims.stop()

    async def stop(self):
        for name in list(self.entries):
            await self.crash(name)

    def records(self):
        """Returns all records of claims."""
        return [
            record
            for shard in range(claim_lib.SHARDS)
            for record in self.log.all(claim_lib.stream_name(shard))
        ]

    def alive(self):
        return [
            types.Instance(
                entry.name, types.Role.ENTRY, PLACE, entry.endpoint.address
            )
            for entry in self.entries.values()
        ]

    def cut(self, one, other):
        self.network.cut.add(frozenset((one, other)))

    def heal(self):
        self.network.cut.clear()

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


def in_fleet(*names, **options):
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
