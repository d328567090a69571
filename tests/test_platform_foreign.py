"""Tests for unexpected and malformed records, which must not affect others."""

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
RECORD = {
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
    return json.dumps({**RECORD, **fields}).encode()


def without(name):
    return json.dumps({k: v for k, v in RECORD.items() if k != name}).encode()


MALFORMED = {
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


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_server_record_is_refused(name):
    with pytest.raises((ValueError, RecursionError)):
        records.decode_server_record("i-1", MALFORMED[name])


@pytest.mark.parametrize("key", ["", "a b", "a\r\nx: y", "ä", "a" * 300])
def test_an_id_that_is_not_valid_in_a_header_is_refused(key):
    """Guards against requests that cannot be sent and count as lost.

    The id of the server is sent in a header of each request.
    """
    with pytest.raises(ValueError, match="id is not valid"):
        records.decode_server_record(key, changed())


def test_unknown_fields_of_a_server_record_are_ignored():
    decoded = records.decode_server_record(
        "i-1", changed(born=178, odd={"x": [1]})
    )
    assert (decoded.service, decoded.started_ms, decoded.sequence) == (
        "plain",
        178,
        1,
    )


class RecordingLog(logs.Log):
    """Records the malformed records that are logged."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def write(self, event, **fields):
        if event is _events.RECORD_MALFORMED:
            self.lines.append(fields)


def test_malformed_server_records_do_not_affect_others():
    """Guards against one malformed record that hides all servers.

    A record with a key that is not valid text made each read of the list fail,
    and a deeply nested record ended the task that reads.
    """

    async def play():
        async with platform_site.Site("a", "b") as site:
            malformed, valid = site.servers
            await asyncio.sleep(3.0)
            for number, value in enumerate(MALFORMED.values()):
                site.store.put_raw(TOPIC, b"foreign-%d" % number, value)
            site.store.put_raw(TOPIC, b"\xff\xfe", changed())
            site.store.put_raw(TOPIC, b"", changed())
            site.store.put_raw(TOPIC, malformed.name.encode(), b"{")
            site.store.put(TOPIC, valid.name, valid.record(sequence=2))
            await asyncio.sleep(3.0)
            before = len(malformed.calls)
            for _ in range(20):
                assert (await site.ask()).status == 200
            assert len(malformed.calls) == before
            server_ids = {b.server.server_id for b in site.entry._fleet.all()}
            assert server_ids == {"b"}
            # The newest records are read again, page by page.
            site.store.forget(TOPIC)
            site.store.malformed_items = [
                {"key": 7, "value": "AA==", "offset": 0},
                {"key": "x", "value": "no base64", "offset": 0},
                {"key": "y", "value": 3, "offset": 0},
                {"key": "z"},
                "no item",
            ]
            site.store.cut()
            await asyncio.sleep(3.0)
            assert (await site.ask()).status == 200
            server_ids = {b.server.server_id for b in site.entry._fleet.all()}
            assert server_ids == {"b"}
            assert not site.entry.crashed
            site.store.put(TOPIC, malformed.name, malformed.record(sequence=3))
            await asyncio.sleep(3.0)
            server_ids = {b.server.server_id for b in site.entry._fleet.all()}
            assert server_ids == {"a", "b"}

    platform_site.run(play())


def test_malformed_operator_records_keep_the_last_valid_ones():
    """Guards against a malformed key that blocks all later configurations."""

    async def play():
        async with platform_site.Site("a") as site:
            site.store.put_raw("keyed.op", b"\xff", b"{}")
            site.store.put_raw("keyed.op", b"config", b"\xff")
            site.store.put_raw("keyed.op", b"version/m", b'{"model":3}')
            await asyncio.sleep(1.0)
            assert (await site.ask()).status == 200
            site.store.put("keyed.op", "config", platform_site.config(7))
            await asyncio.sleep(1.0)
            assert site.entry._config_view.catalog.version == 7
            assert not site.entry.crashed

    platform_site.run(play())


def test_a_malformed_record_is_logged_once():
    """Guards against a log line for each heartbeat of a malformed record.

    The writer of such a record usually writes it again and again.
    """

    async def play():
        store = platform_site.Store()
        await store.start()
        log, counters = RecordingLog(), counters_lib.Counters()
        topic = stores.Topic(
            stores.Store(store.address, log, counters),
            TOPIC,
            records.decode_server_record,
            log,
            counters,
        )
        offset = (await topic.snapshot()).next_position
        for value in (b"{", b"[", changed(), b"[", None):
            for _ in range(3):
                store.put_raw(TOPIC, b"i-1", value or b"")
                batch = await topic.changes(offset, 0.0)
                topic.decoded(batch.items)
                offset = batch.next_position
        for _ in range(3):
            store.put_raw(TOPIC, b"i-2", b"7")
            decoded = topic.decoded((await topic.snapshot()).items)
        await store.stop()
        assert [record.key for record in decoded] == ["i-2"]
        assert isinstance(decoded[0].value, types.Unreadable)
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
def test_a_malformed_report_is_an_error(body):
    """Guards against an agent that ends on a malformed report of its server."""

    async def play():
        server = platform_site.Server("a", lambda call: call.answer(body))
        await server.start()
        host, port = server.address.split(":")
        client = weights.LocalServer(shared_types.Address(host, int(port)), "m")
        with pytest.raises(exceptions.BackendError):
            await client.state()
        await server.stop()

    platform_site.run(play())


def test_a_report_has_the_time_of_the_start():
    async def play():
        body = b'{"models":[],"sequence":3,"born":1780000000123,"odd":{}}'
        server = platform_site.Server("a", lambda call: call.answer(body))
        await server.start()
        host, port = server.address.split(":")
        client = weights.LocalServer(shared_types.Address(host, int(port)), "m")
        state = await client.state()
        await server.stop()
        return state.sequence, state.started_ms

    assert platform_site.run(play()) == (3, 1_780_000_000_123)


class _Pages:
    """A store that answers each call with the next page."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.queries = []

    async def get(self, path, query, wait_s=0.0):
        del path, wait_s
        self.queries.append(dict(query))
        status, body = self._answers.pop(0)
        return stores.Answer(status, json.dumps(body).encode(), 1)


def _read_values(pages):
    counters = counters_lib.Counters()
    values = stores.Values(pages, TOPIC, counters)
    read = asyncio.run(values.read())
    return read, counters.value("platform.records.unreadable")


def test_a_value_that_is_unreadable_is_left_out_and_counted():
    pages = _Pages(
        (
            200,
            {
                "items": [
                    {"key": "a", "value": "YQ=="},
                    {"key": "x", "value": "no base64"},
                ],
                "end": 2,
                "has_more": True,
            },
        ),
        (200, {"items": [{"key": "b", "value": "Yg=="}], "end": 3}),
    )
    assert _read_values(pages) == ({"a": b"a", "b": b"b"}, 1)
    assert [query.get("after") for query in pages.queries] == [None, "x"]


def test_a_topic_that_was_never_written_has_no_values():
    assert _read_values(_Pages((404, {}))) == ({}, 0)


@pytest.mark.parametrize("status", [400, 410, 503])
def test_values_that_the_store_refuses_are_an_error(status):
    with pytest.raises(exceptions.PlatformError):
        _read_values(_Pages((status, {})))
