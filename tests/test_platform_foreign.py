"""Records of other writers, and spoilt ones: each harms itself only."""

import asyncio
import json

from adapter import records
from adapter import store as stores
from adapter import weights
import platform_site
import pytest

from clementinegw import exceptions
from clementinegw import types as shared_types
from clementinegw.direct import _events
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

TOPIC = "keyed.servers"
ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "d1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}


def changed(**fields):
    return json.dumps({**ENTRY, **fields}).encode()


def without(name):
    return json.dumps({k: v for k, v in ENTRY.items() if k != name}).encode()


UNREADABLE = {
    "no service": without("service"),
    "no address": without("address"),
    "no zone": without("zone"),
    "no slots": without("slots"),
    "no state": without("state"),
    "no sequence": without("sequence"),
    "service is a number": changed(service=3),
    "service is empty": changed(service=""),
    "address without a port": changed(address="127.0.0.1"),
    "address of a name": changed(address="somewhere:80"),
    "port is no number": changed(address="127.0.0.1:8_0"),
    "port is too large": changed(address="127.0.0.1:65536"),
    "address is a list": changed(address=["127.0.0.1", 9]),
    "zone is null": changed(zone=None),
    "slots is a text": changed(slots="8"),
    "no slot at all": changed(slots=0),
    "slots over all bounds": changed(slots=10**30),
    "state unknown": changed(state="resting"),
    "state is a number": changed(state=1),
    "sequence is negative": changed(sequence=-1),
    "born is a text": changed(born="1780000000123"),
    "models is a text": changed(models="m"),
    "layers from a text": changed(models=[{"name": "m", "layers": "0-16"}]),
    "a list": b"[]",
    "a number": b"7",
    "no JSON": b"{service",
    "no UTF-8": b"\xff\xfe\x00",
    "no UTF-8 inside": changed().replace(b"plain", b"pl\xffin"),
    "nested without end": b'{"x":' * 9_000 + b"1" + b"}" * 9_000,
}


@pytest.mark.parametrize("name", UNREADABLE)
def test_an_entry_that_cannot_be_read_is_refused_with_a_reason(name):
    with pytest.raises((ValueError, RecursionError)):
        records.decode_server_record("i-1", UNREADABLE[name])


@pytest.mark.parametrize("key", ["", "a b", "a\r\nx: y", "ä", "a" * 300])
def test_an_id_that_no_header_can_carry_is_refused(key):
    """Requests were counted as lost that nobody had sent.

    The id of the server goes into a header of each request.
    """
    with pytest.raises(ValueError, match="id is not valid"):
        records.decode_server_record(key, changed())


def test_an_entry_may_say_more_than_we_know():
    found = records.decode_server_record(
        "i-1", changed(born=178, odd={"x": [1]})
    )
    assert (found.service, found.started_ms, found.sequence) == (
        "plain",
        178,
        1,
    )


class Log(logs.Log):
    """Keeps what is written."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def write(self, event, **fields):
        if event is _events.RECORD_MALFORMED:
            self.lines.append(fields)


def test_entries_of_other_writers_harm_nobody_else():
    """No server was known any more, and the process ended.

    One record of the list had a key that is no text; the whole answer was
    refused, again at each reading. Another one, nested without end, ended the
    task that reads.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            spoilt, well = site.servers
            await asyncio.sleep(3.0)
            for number, value in enumerate(UNREADABLE.values()):
                site.store.put_raw(TOPIC, b"foreign-%d" % number, value)
            site.store.put_raw(TOPIC, b"\xff\xfe", changed())
            site.store.put_raw(TOPIC, b"", changed())
            site.store.put_raw(TOPIC, spoilt.name.encode(), b"{")
            site.store.put(TOPIC, well.name, well.record(sequence=2))
            await asyncio.sleep(3.0)
            before = len(spoilt.calls)
            for _ in range(20):
                assert (await site.ask()).status == 200
            assert len(spoilt.calls) == before
            found = {b.server.server_id for b in site.entry._fleet.all()}
            assert found == {"b"}
            # All is read anew, page by page.
            site.store.forget(TOPIC)
            site.store.odd_items = [
                {"key": 7, "value": "AA==", "offset": 0},
                {"key": "x", "value": "no base64", "offset": 0},
                {"key": "y", "value": 3, "offset": 0},
                {"key": "z"},
                "no item",
            ]
            site.store.cut()
            await asyncio.sleep(3.0)
            assert (await site.ask()).status == 200
            found = {b.server.server_id for b in site.entry._fleet.all()}
            assert found == {"b"}
            assert not site.entry.crashed
            site.store.put(TOPIC, spoilt.name, spoilt.record(sequence=3))
            await asyncio.sleep(3.0)
            found = {b.server.server_id for b in site.entry._fleet.all()}
            assert found == {"a", "b"}

    platform_site.run(play())


def test_declarations_that_cannot_be_read_leave_the_last_good_ones():
    """A key that is no text kept all later configurations from being read."""

    async def play():
        async with platform_site.Site("a") as site:
            site.store.put_raw("keyed.op", b"\xff", b"{}")
            site.store.put_raw("keyed.op", b"config", b"\xff")
            site.store.put_raw("keyed.op", b"version/m", b'{"model":3}')
            await asyncio.sleep(1.0)
            assert (await site.ask()).status == 200
            site.store.put("keyed.op", "config", platform_site.config(7))
            await asyncio.sleep(1.0)
            assert site.entry._knowledge.catalog.version == 7
            assert not site.entry.crashed

    platform_site.run(play())


def test_a_record_that_cannot_be_read_is_told_once():
    """The log of each process filled with one line a heartbeat.

    Whoever writes a record that cannot be read writes it again and again.
    """

    async def play():
        store = platform_site.Store()
        await store.start()
        log, counters = Log(), counters_lib.Counters()
        topic = stores.Topic(
            stores.Store(store.address),
            TOPIC,
            records.decode_server_record,
            log,
            counters,
        )
        offset = 0
        for value in (b"{", b"[", changed(), b"[", None):
            for _ in range(3):
                store.put_raw(TOPIC, b"i-1", value or b"")
                batch = await topic.changes(offset, 0.0)
                topic.decoded(batch.items)
                offset = batch.end
        for _ in range(3):
            store.put_raw(TOPIC, b"i-2", b"7")
            found = topic.decoded((await topic.newest()).items)
        await store.stop()
        assert [record.key for record in found] == ["i-2"]
        assert isinstance(found[0].value, types.Unreadable)
        return log.lines, counters.value("platform.records.unreadable")

    lines, counted = platform_site.run(play())
    assert [line["key"] for line in lines] == ["'i-1'", "'i-1'", "'i-2'"]
    assert all(line["reason"] for line in lines)
    assert counted == 12


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"active":"3"}',
        b'{"active":-1}',
        b'{"active":99999999999}',
        b'{"sequence":null}',
        b'{"born":"x"}',
        b'{"models":[{"version":1}]}',
        b'{"models":[{"name":"m","version":99999999999999999999}]}',
        b'{"x":' * 9_000 + b"1" + b"}" * 9_000,
    ],
)
def test_a_report_that_cannot_be_read_is_no_answer(body):
    """An agent ended over what the server beside it had said of itself."""

    async def play():
        server = platform_site.Server("a", lambda call: call.answer(body))
        await server.start()
        host, port = server.address.split(":")
        beside = weights.LocalServer(shared_types.Address(host, int(port)), "m")
        with pytest.raises(exceptions.BackendError):
            await beside.state()
        await server.stop()

    platform_site.run(play())


def test_a_report_tells_which_start_speaks():
    async def play():
        body = b'{"models":[],"sequence":3,"born":1780000000123,"odd":{}}'
        server = platform_site.Server("a", lambda call: call.answer(body))
        await server.start()
        host, port = server.address.split(":")
        beside = weights.LocalServer(shared_types.Address(host, int(port)), "m")
        state = await beside.state()
        await server.stop()
        return state.sequence, state.born

    assert platform_site.run(play()) == (3, 1_780_000_000_123)
