"""Tests that odd datagrams harm nothing else."""

import asyncio

import platform_site

from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

AGENT = ("127.0.0.1", 1)


def report(**fields):
    """Returns a report about the server s1 with changed fields."""
    values = {
        "server_id": "s1",
        "running": 0,
        "waiting": 0,
        "slots": 8,
        "model": "",
        "version": 0,
        "whole": False,
        "loading": False,
        "pace": 1.0,
        "yielding": False,
        "entries": 1,
        "ready_in_s": -1.0,
        **fields,
    }
    return codec.encode(ttypes.BackendReport(**values))


def test_a_version_without_a_model_ends_no_request():
    """Guards against plain services whose requests are all withdrawn."""

    async def scenario():
        async with platform_site.Site("s1") as site:
            site.entry._reports.datagram_received(
                report(ages_ms={7: 60_000}), AGENT
            )
            record = {"model": "", "version": 8}
            site.store.put("keyed.op", "version/", record)
            await asyncio.sleep(12.0)
            return (await site.ask()).status

    assert platform_site.run(scenario()) == 200
