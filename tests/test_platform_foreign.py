"""Records of other writers, and spoilt ones: each harms itself only."""

import asyncio
import json

import platform_site

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
            site.store.put(TOPIC, well.name, well.entry(sequence=2))
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
            site.store.put(TOPIC, spoilt.name, spoilt.entry(sequence=3))
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
