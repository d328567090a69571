"""Tests a holder that is paused and resumes after its claim lapsed."""

import asyncio
import dataclasses

import claims_fleet

from clementinegw import types
from clementinegw.requests import send
from clementinegw.requests import stream
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters
from clementinegw.testing import clock as clocks
from clementinegw.wire import connection

PLACE = types.Place("noord", "groningen-hal")


@dataclasses.dataclass
class _Connector:
    """Connects at once and records what is sent."""

    sent: list
    closed = False
    peer = connection.Identity("agent-1", types.Role.AGENT, PLACE, 1)

    async def connect(self, address):
        del address
        return self

    def open(self):
        return self

    async def send(self, kind, body):
        self.sent.append((kind, body))

    async def receive(self, timeout):
        await asyncio.sleep(timeout)
        raise TimeoutError

    def notify(self, kind, body):
        self.sent.append((kind, body))

    def close(self):
        return None


def test_resumed_holder_hands_nothing_over():
    """Guards against running a booking whose caller got "unknown" before.

    An entry wins a claim and is paused before it hands the request over. After
    the deadline another entry answers a repetition that the holder is lost;
    then the first entry resumes. It still holds the claim, but the claim's time
    of use is over.
    """
    clock = clocks.VirtualClock()

    async def body():
        fleet = claims_fleet.Fleet(clock)
        await fleet.start("e1")
        await fleet.start("e2")
        request = fleet.request("r1", seconds=2.0)
        claims = fleet.entries["e1"].claims
        won = await claims.claim(request)
        assert isinstance(won, request_types.ClaimWon)
        fleet.partition("e1", "e2")
        await asyncio.sleep(90.0)
        repeated = await fleet.entries["e2"].claims.claim(fleet.request("r2"))
        assert repeated.outcome.reason == types.UnknownReason.HOLDER_LOST

        connector = _Connector([])
        sender = send.Sender(connector, clock, counters.Counters())
        attempt = await sender.send(
            send.Target("agent-1", types.Address("127.0.0.1", 1)),
            request,
            send.AttemptOptions(1, claim_offset=won.offset),
            stream.AnswerCollector(None),
        )
        assert connector.sent == []
        assert attempt.outcome.reason == types.NotRunReason.DEADLINE
        await fleet.stop()

    clocks.run(body(), clock)
