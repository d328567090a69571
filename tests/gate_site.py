"""Sets up an agent with a stand-in server and an entry, on loopback sockets."""

import asyncio
import contextlib
import dataclasses
import time

from clementinegw import types
from clementinegw.backend import engine
from clementinegw.backend import service as plain_client
from clementinegw.backend import sessions
from clementinegw.gate import backends
from clementinegw.gate import service
from clementinegw.telemetry import counters
from clementinegw.testing import engine as engine_stand_in
from clementinegw.testing import ledger as ledgers
from clementinegw.testing import plain
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.requests import ttypes

Kind = connection.Kind
KEYS = auth.single_key_ring(b"0123456789abcdef")
PLACE = types.Place("noord", "groningen-hal")
ANY_PORT = types.Address("127.0.0.1", 0)
INCARNATION = 7
TIMING = service.Timing(
    status_interval_s=0.5,
    max_notify_delay_s=0.02,
    prefix_list_interval_s=30.0,
    probe_interval_s=0.05,
    probe_timeout_s=0.1,
    stall_timeout_s=0.3,
)


@dataclasses.dataclass
class Setup:
    """An agent with its backend server, and a connected entry."""

    gate: service.GateService
    stand_in: plain.PlainStandIn | engine_stand_in.EngineStandIn
    ledger: ledgers.Ledger
    entry: connection.Endpoint
    connection: connection.Connection
    counters: counters.Counters
    notices: list[ttypes.AgentStatus | ttypes.AgentLoad]
    reports: list[ttypes.SuspectRecord]

    @property
    def statuses(self):
        """The received notices of the agent's full status."""
        return [n for n in self.notices if isinstance(n, ttypes.AgentStatus)]

    async def run(self, submit):
        """Returns the frames that answer a submission, in order."""
        exchange = self.connection.open()
        try:
            await exchange.send(Kind.SUBMIT, codec.encode(submit))
            frames = []
            while not frames or frames[-1].kind not in _FINAL_KINDS:
                frames.append(await exchange.receive(10))
            return frames
        finally:
            exchange.close()

    async def tombstone(self, submit, incarnation=INCARNATION, age_ms=0):
        """Returns whether the agent proves that the attempt did not run."""
        message = ttypes.Tombstone(
            request_id=submit.request_id,
            attempt=submit.attempt,
            incarnation=incarnation,
            age_ms=age_ms,
        )
        frame = await connection.call(
            self.connection, Kind.TOMBSTONE, codec.encode(message), 5
        )
        return codec.decode(ttypes.Tombstoned, frame.body).proved


_FINAL_KINDS = (Kind.ANSWER_END, Kind.REFUSED, Kind.FAILED)


def submit_of(request_id, path="/bookings", attempt=1, **changes):
    fields = {
        "request_id": request_id,
        "attempt": attempt,
        "customer": "werkplaats",
        "method": "POST",
        "path": path,
        "headers": [],
        "body": request_id.encode(),
        "deadline_ms": 5000,
        "priority": 1,
        "idempotent": True,
        "stream": False,
        "fingerprint": request_id.encode(),
        "revision": 1,
        "claim_offset": 0,
        "idempotency_key": "",
        "resume_tokens": 0,
        "version": "",
        "alone": False,
        "incarnation": INCARNATION,
        "sent_ms": int(time.monotonic() * 1000),
    }
    return ttypes.Submit(**(fields | changes))


def reason_of(frame):
    if frame.kind == Kind.REFUSED:
        return codec.decode(ttypes.Refused, frame.body).reason
    return codec.decode(ttypes.Failed, frame.body).reason


@contextlib.asynccontextmanager
async def running(stand_in, ledger, limits=None):
    """Sets up a gate with a stand-in that has been started."""
    gate_counters = counters.Counters()
    identity = connection.Identity(
        "agent-1", types.Role.AGENT, PLACE, INCARNATION
    )
    agent = connection.Endpoint(identity, KEYS)
    session = sessions.create()
    if isinstance(stand_in, plain.PlainStandIn):
        backend = backends.PlainBackend(
            plain_client.PlainClient(stand_in.base_url, session)
        )
    else:
        backend = backends.EngineBackend(
            engine.EngineClient(stand_in.base_url, session)
        )
    gate = service.GateService(
        agent, backend, "magazijn", limits, TIMING, counters=gate_counters
    )
    address = await agent.listen(ANY_PORT)
    entry = connection.Endpoint(
        connection.Identity("entry-1", types.Role.ENTRY, PLACE, 1), KEYS
    )
    notices, reports = [], []
    entry.on_notice(
        Kind.AGENT_STATUS,
        lambda _, body: notices.append(codec.decode(ttypes.AgentStatus, body)),
    )
    entry.on_notice(
        Kind.AGENT_LOAD,
        lambda _, body: notices.append(codec.decode(ttypes.AgentLoad, body)),
    )
    entry.on_notice(
        Kind.CRASHED,
        lambda _, body: reports.append(
            codec.decode(ttypes.SuspectRecord, body)
        ),
    )
    link = await entry.connect(address)
    await gate.start()
    try:
        yield Setup(
            gate, stand_in, ledger, entry, link, gate_counters, notices, reports
        )
    finally:
        await gate.stop()
        await entry.close()
        await agent.close()
        await session.close()
        await stand_in.stop()


@contextlib.asynccontextmanager
async def plain_setup(settings=None, limits=None):
    ledger = ledgers.Ledger()
    stand_in = plain.PlainStandIn("plain-1", ledger, settings)
    await stand_in.start()
    async with running(stand_in, ledger, limits) as setup:
        yield setup


@contextlib.asynccontextmanager
async def engine_setup(settings=None, limits=None):
    ledger = ledgers.Ledger()
    stand_in = engine_stand_in.EngineStandIn("engine-1", ledger, settings)
    await stand_in.start()
    async with running(stand_in, ledger, limits) as setup:
        digest = stand_in.preload("rijtuig", "v1", [b"weights"])
        setup.gate.resume("v1", digest)
        yield setup


async def eventually(condition, seconds=5.0):
    """Waits until the condition is true."""
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - the condition has no event
            await asyncio.sleep(0.005)
