"""Tests that an error with one reader of a topic does not end its reading."""

import asyncio

import platform_site
import pytest
import shared_domain

from clementinegw.direct import instance as instances
from clementinegw.testing import clock as clocks


@pytest.mark.parametrize("error", [UnicodeError("label empty"), KeyError("x")])
def test_an_error_with_one_peer_leaves_the_others_to_be_queried(error):
    """Guards against a copy that ages for as long as one reader is listed."""

    async def scenario():
        async with shared_domain.Domain(4) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(6.0)
            ask = domain.ask

            async def fail_for_first(reader, query, on_progress):
                if reader == shared_domain.address(0):
                    raise error
                return await ask(reader, query, on_progress)

            domain.ask = fail_for_first
            max_ages_s = [0.0] * 4
            for number in range(800):
                await asyncio.sleep(0.01)
                if number == 400:
                    domain.store.put("a", b"2")
                max_ages_s = [
                    max(a, b)
                    for a, b in zip(max_ages_s, domain.ages(), strict=True)
                ]
            return max_ages_s, [p.known for p in domain.processes]

    max_ages_s, known = clocks.run(scenario())
    assert max(max_ages_s) < 2.75
    assert known == [{"a": b"2"}] * 4


def test_an_error_with_the_store_leaves_the_peers_to_be_queried():
    """Guards against a copy that ages though peers have a fresh one."""

    async def scenario():
        async with shared_domain.Domain(3) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(6.0)

            async def fail(*args):
                raise KeyError("odd")

            domain.processes[0].topic.changes = fail
            domain.processes[0].topic.snapshot = fail
            await asyncio.sleep(2.0)
            domain.store.put("a", b"2")
            await asyncio.sleep(4.0)
            return domain.ages(), [p.known for p in domain.processes]

    ages_s, known = clocks.run(scenario())
    assert max(ages_s) < 2.75
    assert known == [{"a": b"2"}] * 3


@pytest.mark.parametrize(
    "text", ["10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1"]
)
def test_an_address_that_cannot_be_connected_to_is_refused(text):
    """Guards against errors that come up only when a process connects."""
    with pytest.raises(ValueError, match="IP:PORT"):
        instances.parse_address(text)


@pytest.mark.parametrize("text", ["10.0.0.1:80", "::1:80", "127.0.0.1:0"])
def test_an_address_is_parsed(text):
    assert str(instances.parse_address(text)) == text


def test_an_entry_serves_when_its_readers_cannot_be_decoded(monkeypatch):
    """Guards against an answer of the platform that ends all entries."""
    nested = b'{"parts": [], "x": ' + b"[" * 100_000

    async def scenario():
        async with platform_site.Site("s1") as site:
            monkeypatch.setattr(site.store, "_owners", lambda group: nested)
            site.entry._relay._directory.mark_stale()
            await asyncio.sleep(8.0)
            return (
                site.counters.value("readers.failed") > 0,
                (await site.ask()).status,
                site.entry.ready,
                site.entry.crashed,
            )

    assert platform_site.run(scenario()) == (True, 200, True, False)


def test_an_entry_serves_after_an_error_with_its_list_of_readers(monkeypatch):
    """Guards against an error that ends all entries of a failure domain."""

    async def scenario():
        async with platform_site.Site("s1") as site:
            directory = site.entry._relay._directory

            async def fail():
                raise KeyError("odd")

            monkeypatch.setattr(directory._reader_group, "join", fail)
            await asyncio.sleep(12.0)
            failed = site.counters.value("direct.step_failed")
            during = (await site.ask()).status, site.entry.ready
            monkeypatch.undo()
            await asyncio.sleep(6.0)
            later = site.counters.value("direct.step_failed")
            await asyncio.sleep(6.0)
            ended = site.counters.value("direct.step_failed") == later
            return failed > 1, during, ended, site.entry.crashed

    assert platform_site.run(scenario()) == (True, (200, True), True, False)
