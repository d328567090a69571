"""A real entry with scripted agents, over connections in memory."""

import asyncio
import random

from clementinegw import types
from clementinegw.bench import _requests_network as network
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import service as service_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clock_lib
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
PLACE = types.Place("noord", "groningen-hal")
KEYS = auth.single_key_ring(b"0" * 32)
_ANY = types.Address("127.0.0.1", 0)
LOG = logs.Log()


def run(test):
    """Runs a coroutine function in virtual time with connections in memory."""
    clock = clock_lib.VirtualClock()
    loop = network.MemoryLoop(clock, lambda source, target: 0.001)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(test(clock, loop))


class Agent:
    """An agent that runs one step of a script for each submission.

    Attributes:
      name: The host name and the instance id.
      script: The remaining steps; without any, the agent answers normally.
      submitted: The submissions received.
      cancelled: The cancellations received.
      proof: The answer to a tombstone request; None sends no answer.
      incarnation: The incarnation of the agent.
      leaving: Whether its status reports it as leaving.
      version: The model version that it reports.
    """

    def __init__(self, name: str, script, incarnation: int = 1):
        self.name = name
        self.script = list(script)
        self.submitted: list[ttypes.Submit] = []
        self.cancelled: list[ttypes.Tombstone] = []
        self.proof: bool | None = True
        self.incarnation = incarnation
        self.leaving = False
        self.version = "v1"

    async def start(self, port: int = 0):
        network.CURRENT_HOST.set(self.name)
        identity = connection_lib.Identity(
            self.name, types.Role.AGENT, PLACE, self.incarnation
        )
        self.endpoint = connection_lib.Endpoint(identity, KEYS, LOG)
        self.endpoint.on_call(Kind.SUBMIT, self._on_submit)
        self.endpoint.on_call(Kind.TOMBSTONE, self._on_tombstone)
        self.endpoint.on_call(Kind.CANCEL, self._on_cancel)
        self.endpoint.on_connected(self.send_status)
        address = await self.endpoint.listen(types.Address("127.0.0.1", port))
        self.instance = types.Instance(
            self.name, types.Role.AGENT, PLACE, address, 1, "s"
        )
        return self

    def send_status(self, connection) -> None:
        status = ttypes.AgentStatus(
            instance_id=self.name,
            incarnation=self.incarnation,
            service_name="s",
            version=self.version,
            digest="",
            leaving=self.leaving,
            ready=not self.leaving,
            in_flight=0,
            queued=0,
            capacity=64,
            engine_load=0.0,
            serving_s=100.0,
            prefixes=[],
        )
        connection.notify(Kind.AGENT_STATUS, codec.encode(status))

    async def _on_submit(self, connection, exchange, frame):
        submit = codec.decode(ttypes.Submit, frame.body)
        self.submitted.append(submit)
        step = self.script.pop(0) if self.script else answer
        await step(self, connection, exchange, submit)

    async def _on_tombstone(self, connection, exchange, frame):
        request = codec.decode(ttypes.Tombstone, frame.body)
        if self.proof is None:
            await asyncio.sleep(3600)
        reply = ttypes.Tombstoned(
            request.request_id, request.attempt, self.proof
        )
        await exchange.send(Kind.TOMBSTONED, codec.encode(reply))

    async def _on_cancel(self, connection, exchange, frame):
        self.cancelled.append(codec.decode(ttypes.Tombstone, frame.body))


async def head(exchange, submit, version="v1", attempt=None):
    message = ttypes.AnswerHead(
        submit.request_id, attempt or submit.attempt, 200, [], version
    )
    await exchange.send(Kind.ANSWER_HEAD, codec.encode(message))


async def end(exchange, submit, size, tokens=0):
    message = ttypes.AnswerEnd(
        submit.request_id, submit.attempt, size, tokens, 0, 0
    )
    await exchange.send(Kind.ANSWER_END, codec.encode(message))


async def answer(agent, connection, exchange, submit):
    body = submit.request_id.encode()
    await head(exchange, submit, agent.version)
    await exchange.send(Kind.ANSWER_DATA, body)
    await end(exchange, submit, len(body))


async def drop_connection(agent, connection, exchange, submit):
    connection.abort()


async def hang(agent, connection, exchange, submit):
    await asyncio.sleep(3600)


async def send_truncated_answer(agent, connection, exchange, submit):
    await head(exchange, submit)
    await exchange.send(Kind.ANSWER_DATA, b"half")
    await end(exchange, submit, 8)


def refuse(reason):
    async def step(agent, connection, exchange, submit):
        message = ttypes.Refused(submit.request_id, submit.attempt, reason, 500)
        await exchange.send(Kind.REFUSED, codec.encode(message))

    return step


def fail(reason):
    async def step(agent, connection, exchange, submit):
        message = ttypes.Failed(submit.request_id, submit.attempt, reason)
        await exchange.send(Kind.FAILED, codec.encode(message))

    return step


class Sink:
    """Records a streamed answer and can act as a caller that disconnects."""

    def __init__(self, disconnect_after_bytes: int | None = None):
        self.body = b""
        self.heads: list[request_types.Head] = []
        self.disconnect_after_bytes = disconnect_after_bytes

    async def head(self, head):
        self.heads.append(head)

    async def data(self, data):
        self.body += data
        if (
            self.disconnect_after_bytes is not None
            and len(self.body) >= self.disconnect_after_bytes
        ):
            raise request_types.CallerDisconnected


async def start_entry(clock, agents, source=None, **fields):
    network.CURRENT_HOST.set("entry")
    counters = counters_lib.Counters()
    identity = connection_lib.Identity("entry", types.Role.ENTRY, PLACE, 1)
    endpoint = connection_lib.Endpoint(identity, KEYS, LOG, counters)
    me = types.Instance("entry", types.Role.ENTRY, PLACE, _ANY)
    rules = rules_lib.Rules("s", types.ServiceKind.MODEL_ENGINE, **fields)
    service = service_lib.RequestService(
        me,
        endpoint,
        source or rules_lib.FixedRules({"s": rules}),
        lambda: [fleet_lib.Member(agent.instance) for agent in agents],
        clock=clock,
        log=LOG,
        counters=counters,
        rng=random.Random(1),
    )
    await service.start()
    await asyncio.sleep(0.1)
    return service, counters


async def start_agents(*scripts) -> list[Agent]:
    agents = []
    for index, script in enumerate(scripts):
        agent = Agent(f"a{index}", script)
        await asyncio.ensure_future(agent.start())
        agents.append(agent)
    return agents


def make_request(clock, number=1, idempotent=False, stream=False, wait_s=10.0):
    return request_types.Request(
        f"r{number}",
        "customer",
        "s",
        "POST",
        "/book",
        (),
        b"{}",
        types.Priority.NORMAL,
        clock.now() + wait_s,
        idempotent,
        stream=stream,
    )


def encode_event(token: int) -> bytes:
    return f"id: {token}\ndata: {token}\n\n".encode()


def stream(first: int, last: int, complete: bool):
    async def step(agent, connection, exchange, submit):
        await head(exchange, submit, agent.version)
        size = 0
        for token in range(first, last + 1):
            event = encode_event(token)
            size += len(event)
            await exchange.send(Kind.ANSWER_DATA, event)
        if complete:
            await end(exchange, submit, size, last)
        else:
            # Sends a part of the next event only.
            await exchange.send(Kind.ANSWER_DATA, encode_event(last + 1)[:7])
            connection.abort()

    return step
