"""Tests for the plain service's client, its stand-in and the ledger."""

import asyncio

import pytest

from clementinegw import exceptions
from clementinegw.backend import service
from clementinegw.backend import sessions
from clementinegw.backend import types
from clementinegw.testing import ledger as ledgers
from clementinegw.testing import plain


def headers(request_id, key=""):
    pairs = [(types.REQUEST_ID_HEADER, request_id)]
    return tuple(pairs + ([(types.KEY_HEADER, key)] if key else []))


class Setup:
    """A plain service's stand-in and a client of it."""

    async def __aenter__(self):
        self.ledger = ledgers.Ledger()
        self.stand_in = plain.PlainStandIn("p1", self.ledger)
        await self.stand_in.start()
        self.session = sessions.create()
        self.client = service.PlainClient(
            self.stand_in.base_url, self.session, timeout_s=0.5
        )
        return self

    async def __aexit__(self, *error):
        await self.session.close()
        await self.stand_in.stop()

    async def look_up(self, request_id="r1"):
        return await self.client.forward(
            "GET", "/items/leather-7", headers(request_id), b""
        )

    async def book(self, request_id="r1", key="k1", body=b"{}"):
        return await self.client.forward(
            "POST", "/bookings", headers(request_id, key), body
        )


async def test_look_up_and_booking_are_answered_and_recorded():
    async with Setup() as s:
        item = await s.look_up("r1")
        booking = await s.book("r2", "k2", b"six hides")
        missing = await s.client.forward("GET", "/nothing", (), b"")
    assert item.body == plain.item_response("leather-7")
    assert booking.body == plain.booking_response(b"six hides")
    assert (item.status, missing.status) == (200, 404)
    assert s.stand_in.bookings == [b"six hides"]
    runs = [(r.request_id, r.key, r.operation) for r in s.ledger.runs]
    assert runs == [
        ("r1", "", "GET /items/leather-7"),
        ("r2", "k2", "POST /bookings"),
    ]


async def test_booking_takes_effect_when_its_answer_is_lost():
    async with Setup() as s:
        s.stand_in.faults.answers_to_drop["booking"] = 1
        with pytest.raises(exceptions.BackendLost):
            await s.book()
    assert len(s.stand_in.bookings) == 1
    assert s.ledger.runs[0].end is ledgers.RunEnd.FINISHED


async def test_session_does_not_repeat_by_itself():
    """Guards against a PUT that the server receives twice without a retry.

    The keep-alive connection broke after the server had processed the request,
    and the HTTP library sent the request again on a new connection.
    """
    received = []

    async def serve(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            received.append(head.split(b" ")[0])
            if len(received) > 1:
                writer.transport.abort()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = sessions.create()
    client = service.PlainClient(f"http://127.0.0.1:{port}", session, 2.0)
    await client.forward("GET", "/first", (), b"")
    with pytest.raises(exceptions.BackendLost):
        await client.forward("PUT", "/second", (), b"")
    await session.close()
    server.close()
    assert received == [b"GET", b"PUT"]


@pytest.mark.parametrize("fault", ["down", "stall"])
async def test_fault_raises_an_error_with_an_unknown_outcome(fault):
    async with Setup() as s:
        setattr(s.stand_in.faults, fault, True)
        with pytest.raises(exceptions.BackendLost):
            await s.look_up()
        setattr(s.stand_in.faults, fault, False)
        assert (await s.look_up()).status == 200


async def test_refused_connection_means_that_nothing_ran():
    async with Setup() as s:
        s.stand_in.crash(restart_s=None)
        await asyncio.sleep(0.02)
        with pytest.raises(exceptions.BackendUnreachable):
            await s.book()
    assert s.ledger.runs == []


async def test_crash_marker_crashes_all_running_requests():
    async with Setup() as s:
        s.stand_in.faults.crash_marker = b"POISON"
        s.stand_in.faults.restart_s = 0.05
        s.stand_in.faults.slow_factor = 10.0
        answers = await asyncio.gather(
            s.book("r1", "", b"innocent"),
            s.book("r2", "", b"POISON"),
            return_exceptions=True,
        )
        assert all(isinstance(a, exceptions.BackendLost) for a in answers)
        assert s.stand_in.bookings == []
        await asyncio.sleep(0.15)
        s.stand_in.faults.slow_factor = 1.0
        assert (await s.look_up()).status == 200
    ends = [run.end for run in s.ledger.runs][:2]
    assert ends == [ledgers.RunEnd.CRASHED] * 2


def add_run(ledger, request_id, key="", answer=b"a", resumed=0):
    run = ledger.start(request_id, key, "POST /bookings", "p", 0.0, resumed)
    ledger.finish(run, ledgers.RunEnd.FINISHED, 1.0, answer)


OUTCOME = ledgers.CallerOutcome


@pytest.mark.parametrize(
    ("runs", "record", "violated"),
    [
        (
            [("r",)],
            ledgers.CallerRecord("r", OUTCOME.ANSWERED, answer=b"a"),
            None,
        ),
        ([("r",)], ledgers.CallerRecord("r", OUTCOME.NOT_RUN), "false_not_run"),
        ([], ledgers.CallerRecord("r", OUTCOME.NOT_RUN), None),
        ([], ledgers.CallerRecord("r", OUTCOME.UNKNOWN), None),
        ([("r",)], ledgers.CallerRecord("r", OUTCOME.UNKNOWN), None),
        ([("r",)], ledgers.CallerRecord("r", OUTCOME.NOTHING), "lost"),
        (
            [],
            ledgers.CallerRecord("r", OUTCOME.NOTHING, client_closed=True),
            None,
        ),
        ([], ledgers.CallerRecord("r", OUTCOME.ANSWERED), "lost"),
        (
            [("r",)],
            ledgers.CallerRecord("r", OUTCOME.ANSWERED, answer=b"b"),
            "crossed",
        ),
        (
            [("r",)],
            ledgers.CallerRecord(
                "r", OUTCOME.ANSWERED, expected=b"b", answer=b"a"
            ),
            "crossed",
        ),
        (
            [("r",)],
            ledgers.CallerRecord(
                "r", OUTCOME.ANSWERED, complete=False, answer=b"a"
            ),
            "cut_off",
        ),
        ([("r",), ("r",)], ledgers.CallerRecord("r", OUTCOME.UNKNOWN), None),
        (
            [("r",), ("r",)],
            ledgers.CallerRecord("r", OUTCOME.UNKNOWN, idempotent=False),
            "doubled",
        ),
        (
            [("r", "", b"a", 0), ("r", "", b"b", 9)],
            ledgers.CallerRecord("r", OUTCOME.UNKNOWN, idempotent=False),
            None,
        ),
        (
            [("r", "k"), ("s", "k")],
            ledgers.CallerRecord("r", OUTCOME.UNKNOWN, "k", idempotent=False),
            "doubled",
        ),
        # A repeated key gets the answer to its first request.
        (
            [("s", "k")],
            ledgers.CallerRecord(
                "r", OUTCOME.ANSWERED, "k", False, answer=b"a"
            ),
            None,
        ),
    ],
)
def test_ledger_finds_each_violation(runs, record, violated):
    ledger = ledgers.Ledger()
    for run in runs:
        add_run(ledger, *run)
    counts = ledger.check([record]).counts()
    assert [name for name, count in counts.items() if count] == (
        [violated] if violated else []
    )
