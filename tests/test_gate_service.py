"""Tests the gate on loopback sockets: answers, crashes, stalls, leaving."""

import asyncio

import gate_site
import pytest

from clementinegw.backend import prefixes
from clementinegw.gate import types as gate_types
from clementinegw.requests import prefix
from clementinegw.testing import plain
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.requests import ttypes

Kind = connection.Kind
TIMING = gate_site.TIMING
engine_setup = gate_site.engine_setup
eventually = gate_site.eventually
plain_setup = gate_site.plain_setup
reason_of = gate_site.reason_of
submit_of = gate_site.submit_of


async def test_plain_answer_is_complete_and_has_its_request_id():
    async with plain_setup() as setup:
        head, data, end = await setup.run(submit_of("r1"))
        assert codec.decode(ttypes.AnswerHead, head.body).status == 200
        message = codec.decode(ttypes.AnswerEnd, end.body)
        assert (message.request_id, message.attempt) == ("r1", 1)
        assert message.body_bytes == len(data.body)
        assert data.body == plain.booking_response(b"r1")
        assert len(setup.ledger.runs_of_request("r1")) == 1
        assert not await setup.tombstone(submit_of("r1"))


async def test_engine_streams_and_reports_its_version():
    async with engine_setup() as setup:
        body = b'{"prompt": "koetswerk", "max_tokens": 5, "stream": true}'
        frames = await setup.run(
            submit_of("r1", "/v1/completions", body=body, stream=True)
        )
        head = codec.decode(ttypes.AnswerHead, frames[0].body)
        end = codec.decode(ttypes.AnswerEnd, frames[-1].body)
        assert (head.version, end.tokens) == ("v1", 5)
        assert len(frames) >= 7
        chunks = [f.body for f in frames if f.kind == Kind.ANSWER_DATA]
        assert sum(map(len, chunks)) == end.body_bytes


async def test_crash_fails_and_reports_all_attempts_in_flight():
    """Guards against requests that hang or get "not run" after a crash.

    Three requests are at the backend server when it crashes, and a fourth
    arrives while it is down. Each connection breaks separately, and none shows
    that the server crashed and not only the connection.
    """
    settings = plain.PlainSettings(booking_s=30.0)
    async with plain_setup(settings) as setup:
        runs = [
            asyncio.create_task(setup.run(submit_of(f"r{n}"))) for n in range(3)
        ]
        await eventually(lambda: setup.stand_in.running == 3)
        setup.stand_in.crash(restart_s=0.3)
        for frames in await asyncio.gather(*runs):
            assert reason_of(frames[-1]) == "backend_crashed"
        frames = await setup.run(submit_of("r3"))
        assert reason_of(frames[-1]) == "not_ready"
        await eventually(lambda: setup.reports)
        assert len(setup.reports) == 1
        crash = setup.reports[0].crash
        assert sorted(crash.fingerprints) == [b"r0", b"r1", b"r2"]
        assert crash.incarnation == gate_site.INCARNATION
        await eventually(lambda: setup.gate.ready)
        assert not setup.ledger.runs_of_request("r3")


async def test_gate_stays_closed_for_an_engine_restarted_without_weights():
    """Guards against requests to an engine that restarted without weights.

    The engine crashes and restarts empty. It answers probes again, but not
    with the digest whose load was verified.
    """
    async with engine_setup() as setup:
        setup.stand_in.faults.crash_marker = b"poison"
        body = b'{"prompt": "poison", "max_tokens": 5}'
        frames = await setup.run(submit_of("r1", "/v1/completions", body=body))
        assert reason_of(frames[-1]) == "backend_crashed"
        setup.stand_in.faults.crash_marker = b""
        await asyncio.sleep(1.3)
        assert not setup.gate.ready
        digest = setup.stand_in.preload("rijtuig", "v1", [b"weights"])
        setup.gate.resume("v1", digest)
        frames = await setup.run(submit_of("r2", "/v1/completions", body=body))
        assert frames[-1].kind == Kind.ANSWER_END


async def test_engine_that_loses_its_weights_while_idle_is_detected():
    """Guards against requests to an engine without weights, which fail.

    The engine crashes while nothing runs and restarts at once. No connection
    breaks, and its port accepts connections again.
    """
    async with engine_setup() as setup:
        setup.stand_in.crash(restart_s=0.0)
        await eventually(lambda: not setup.gate.ready)
        frames = await setup.run(
            submit_of("r1", "/v1/completions", body=b'{"prompt": "x"}')
        )
        assert reason_of(frames[-1]) == "not_ready"
        assert not setup.reports


async def test_notices_contain_only_changed_prefixes():
    async with engine_setup() as setup:
        index = prefix.PrefixIndex()
        for number in range(3):
            text = str(number) * 600
            body = b'{"prompt": "%s", "max_tokens": 2}' % text.encode()
            submit = submit_of(f"r{number}", "/v1/completions", body=body)
            await setup.run(submit)
            await asyncio.sleep(5 * TIMING.probe_interval_s)
        for notice in setup.notices:
            is_status = isinstance(notice, ttypes.AgentStatus)
            added, removed = notice.prefixes or [], notice.prefixes_gone or []
            if is_status and not notice.prefixes_changed:
                index.apply_report("agent-1", added, 0.0)
            else:
                index.apply_changes("agent-1", added, removed, 0.0)
        sent = sum(len(notice.prefixes or []) for notice in setup.notices)
        assert sent <= 2 * len(index)
        for number in range(3):
            wanted = prefixes.block_hashes(str(number) * 600)
            assert index.matches(wanted, 1.0) == {"agent-1": 2}


async def test_stalled_engine_is_detected_although_it_closes_no_connection():
    """Guards against requests that hang until their deadline.

    The engine stops sending but keeps all connections open. TCP reports no
    error, so the stall is detected only by a timeout.
    """
    async with engine_setup() as setup:
        setup.stand_in.faults.stall = True
        frames = await setup.run(
            submit_of(
                "r1",
                "/v1/completions",
                body=b'{"prompt": "x", "max_tokens": 5}',
                deadline_ms=60_000,
            )
        )
        assert reason_of(frames[-1]) == "backend_stalled"
        assert not setup.gate.ready
        setup.stand_in.faults.stall = False
        await eventually(lambda: setup.gate.ready)


async def test_leaving_finishes_running_attempts_and_refuses_others():
    settings = plain.PlainSettings(booking_s=0.3)
    async with plain_setup(settings, gate_types.Limits(capacity=1)) as setup:
        first = asyncio.create_task(setup.run(submit_of("r1")))
        await eventually(lambda: setup.stand_in.running == 1)
        waiting = asyncio.create_task(setup.run(submit_of("r2")))
        await eventually(lambda: setup.gate.load.queued == 1)
        leaving = asyncio.create_task(setup.gate.leave(5))
        assert reason_of((await waiting)[-1]) == "leaving"
        late = await setup.run(submit_of("r3"))
        assert reason_of(late[-1]) == "leaving"
        assert (await first)[-1].kind == Kind.ANSWER_END
        assert await leaving
        assert {run.request_id for run in setup.ledger.runs} == {"r1"}
        assert setup.statuses[-1].leaving


async def test_queued_attempt_is_refused_at_its_deadline():
    settings = plain.PlainSettings(booking_s=3.0)
    async with plain_setup(settings, gate_types.Limits(capacity=1)) as setup:
        first = asyncio.create_task(setup.run(submit_of("r1")))
        await eventually(lambda: setup.stand_in.running == 1)
        late = await setup.run(submit_of("r2", deadline_ms=100))
        assert reason_of(late[-1]) == "deadline"
        assert not first.done()
        first.cancel()


async def test_drain_waits_and_resume_accepts_attempts_again():
    settings = plain.PlainSettings(booking_s=0.2)
    async with plain_setup(settings) as setup:
        first = asyncio.create_task(setup.run(submit_of("r1")))
        await eventually(lambda: setup.stand_in.running == 1)
        drained = asyncio.create_task(setup.gate.drain(5))
        await asyncio.sleep(0)
        refused = await setup.run(submit_of("r2"))
        assert reason_of(refused[-1]) == "loading"
        assert await drained
        assert (await first)[-1].kind == Kind.ANSWER_END
        await asyncio.sleep(3 * TIMING.probe_interval_s)
        assert not setup.gate.ready
        setup.gate.resume()
        assert (await setup.run(submit_of("r3")))[-1].kind == Kind.ANSWER_END


@pytest.mark.parametrize("connection_breaks", [True, False])
async def test_engine_stops_when_the_caller_disconnects(connection_breaks):
    async with engine_setup() as setup:
        exchange = setup.connection.open()
        body = b'{"prompt": "x", "max_tokens": 500, "stream": true}'
        submit = submit_of("r1", "/v1/completions", body=body, stream=True)
        await exchange.send(Kind.SUBMIT, codec.encode(submit))
        await exchange.receive(5)
        if connection_breaks:
            setup.connection.abort()
        else:
            message = ttypes.Tombstone(request_id="r1", attempt=1)
            cancel = setup.connection.open()
            await cancel.send(Kind.CANCEL, codec.encode(message))
            cancel.close()
        await eventually(lambda: setup.stand_in.running == 0)
        await eventually(lambda: setup.gate.load.in_flight == 0)


@pytest.mark.parametrize("handed_over", [True, False])
async def test_tombstone_is_proved_only_if_not_handed_over(handed_over):
    """Guards against "not run" for a request that the ledger shows as run.

    An entry asks for proof for an attempt that is running or queued. Only the
    gate knows which.
    """
    settings = plain.PlainSettings(booking_s=0.2)
    async with plain_setup(settings, gate_types.Limits(capacity=1)) as setup:
        first = asyncio.create_task(setup.run(submit_of("r1")))
        await eventually(lambda: setup.stand_in.running == 1)
        second = asyncio.create_task(setup.run(submit_of("r2")))
        await eventually(lambda: setup.gate.load.queued == 1)
        asked = submit_of("r1" if handed_over else "r2")
        assert await setup.tombstone(asked) is not handed_over
        assert (await first)[-1].kind == Kind.ANSWER_END
        last = (await second)[-1]
        assert (last.kind == Kind.ANSWER_END) is handed_over
        assert bool(setup.ledger.runs_of_request("r2")) is handed_over
