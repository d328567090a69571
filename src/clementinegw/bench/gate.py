"""Measures the cost of the gate: processor time per submission.

Run `python -m clementinegw.bench.gate`. It measures the decisions alone, and
the service with a backend that answers immediately, over loopback sockets with
entry and agent in one process. The baseline sends the same frames to a handler
that answers without a gate.
"""

import asyncio
import json
import time

from clementinegw import types as shared
from clementinegw.backend import types as backend_types
from clementinegw.gate import backends
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import service
from clementinegw.gate import types
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.requests import ttypes

Kind = connection.Kind
_DECISIONS = 50_000
_CALLS = 5_000
_CONCURRENCY = 32
_BODY = b"x" * 512
_ANY_PORT = shared.Address("127.0.0.1", 0)
_PLACE = shared.Place("noord", "groningen-hal")
_FINAL_KINDS = (Kind.ANSWER_END, Kind.REFUSED, Kind.FAILED)


class _InstantBackend:
    """A backend that answers immediately."""

    @property
    def kind(self) -> shared.ServiceKind:
        return shared.ServiceKind.PLAIN

    async def start(self, submit: ttypes.Submit) -> backends.AnswerEvents:
        yield backend_types.Head(200)
        yield backend_types.Data(submit.body)
        yield backend_types.End()

    async def cancel(self, request_id: str) -> None:
        del request_id

    async def probe(self) -> backends.Health:
        return backends.Health(True)

    async def prefixes(self) -> list[int]:
        return []


def decisions(count: int = _DECISIONS) -> float:
    """Returns microseconds per submission and its end, decisions only."""
    gate = gate_lib.Gate(types.Limits(), 1)
    attempts = [
        types.Attempt(
            types.AttemptId(f"r{number}", 1),
            deadline=number * 1e-3 + 10.0,
            incarnation=1,
            sent_at=number * 1e-3,
        )
        for number in range(count)
    ]
    start = time.process_time()
    for number, attempt in enumerate(attempts):
        now = number * 1e-3
        gate.submit(attempt, now)
        gate.on_answered(attempt.id, now)
    return (time.process_time() - start) / count * 1e6


async def _answer_without_gate(_, exchange, frame) -> None:
    submit = codec.decode(ttypes.Submit, frame.body)
    call_id = {"request_id": submit.request_id, "attempt": submit.attempt}
    head = ttypes.AnswerHead(**call_id, status=200, headers=[], version="")
    end = ttypes.AnswerEnd(**call_id, body_bytes=len(_BODY), tokens=0)
    await exchange.send(Kind.ANSWER_HEAD, codec.encode(head))
    await exchange.send(Kind.ANSWER_DATA, submit.body)
    await exchange.send(Kind.ANSWER_END, codec.encode(end))


async def calls(with_gate: bool, count: int = _CALLS) -> float:
    """Returns microseconds per call over loopback, both sides together."""
    keys = auth.single_key_ring(b"0123456789abcdef")
    agent = connection.Endpoint(
        connection.Identity("agent-1", shared.Role.AGENT, _PLACE, 1), keys
    )
    entry = connection.Endpoint(
        connection.Identity("entry-1", shared.Role.ENTRY, _PLACE, 1), keys
    )
    gate = None
    if with_gate:
        gate = service.GateService(
            agent, _InstantBackend(), "magazijn", types.Limits(capacity=64)
        )
        await gate.start()
    else:
        agent.on_call(Kind.SUBMIT, _answer_without_gate)
    link = await entry.connect(await agent.listen(_ANY_PORT))
    start = time.process_time()
    await asyncio.gather(
        *(
            _send_submissions(link, first, count)
            for first in range(_CONCURRENCY)
        )
    )
    spent = time.process_time() - start
    if gate is not None:
        await gate.stop()
    await entry.close()
    await agent.close()
    return spent / count * 1e6


async def _send_submissions(
    link: connection.Connection, first: int, count: int
) -> None:
    for number in range(first, count, _CONCURRENCY):
        exchange = link.open()
        await exchange.send(Kind.SUBMIT, codec.encode(_submit(number)))
        while (await exchange.receive(10.0)).kind not in _FINAL_KINDS:
            pass
        exchange.close()


def _submit(number: int) -> ttypes.Submit:
    return ttypes.Submit(
        request_id=f"r{number}",
        attempt=1,
        customer="werkplaats",
        method="POST",
        path="/items",
        headers=[],
        body=_BODY,
        deadline_ms=10_000,
        priority=1,
        idempotent=True,
        stream=False,
        fingerprint=b"f" * 16,
        revision=1,
        claim_offset=0,
        idempotency_key="",
        resume_tokens=0,
        version="",
        alone=False,
        incarnation=1,
        sent_ms=int(time.monotonic() * 1000),
    )


def main() -> None:
    """Runs the measurement and prints one JSON object."""
    baseline = asyncio.run(calls(with_gate=False))
    gated = asyncio.run(calls(with_gate=True))
    print(
        json.dumps(
            {
                "decision_us": round(decisions(), 2),
                "call_us": round(gated, 1),
                "call_without_gate_us": round(baseline, 1),
                "gate_us": round(gated - baseline, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
