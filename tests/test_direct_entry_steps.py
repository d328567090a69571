"""Tests that an error in an entry's periodic work ends nothing else."""

import asyncio

import platform_site
import pytest


@pytest.mark.parametrize(
    ("component", "method"),
    [
        ("_fleet", "prune"),
        ("_forwarder", "check_clock"),
        ("_subscriptions", "refresh"),
        ("_subscriptions", "renew"),
    ],
)
def test_an_entry_goes_on_after_an_error_in_periodic_work(
    component, method, monkeypatch
):
    """Guards against an odd value that ends all entries at the same time."""

    async def scenario():
        async with platform_site.Site("s1") as site:

            def fail():
                raise KeyError("odd")

            monkeypatch.setattr(getattr(site.entry, component), method, fail)
            await asyncio.sleep(6.0)
            failed = site.counters.value("direct.step_failed")
            during = (await site.ask()).status, site.entry.ready
            monkeypatch.undo()
            await asyncio.sleep(2.0)
            later = site.counters.value("direct.step_failed")
            await asyncio.sleep(2.0)
            ended = site.counters.value("direct.step_failed") == later
            return failed >= 5, during, ended, site.entry.crashed

    assert platform_site.run(scenario()) == (True, (200, True), True, False)


def test_an_entry_serves_when_a_version_exceeds_what_agents_are_sent():
    """Guards against a declared version that ends all entries for good."""
    engine = {"slots": 4, "step_ms": 10, "layers": 1, "models": [{"name": "m"}]}

    async def scenario():
        async with platform_site.Site("s1") as site:
            site.store.put(
                "keyed.op",
                "config",
                platform_site.config(
                    2, services=[{"name": "plain", "engine": engine}]
                ),
            )
            site.list_version(site.servers[0], 1)
            await asyncio.sleep(1.5)
            record = {"model": "m", "version": 2**70}
            site.store.put("keyed.op", "version/m", record)
            await asyncio.sleep(6.0)
            return (
                (await site.ask()).status,
                site.entry.ready,
                site.counters.value("direct.step_failed"),
                site.counters.value("platform.records.unreadable"),
            )

    assert platform_site.run(scenario()) == (200, True, 0, 1)
