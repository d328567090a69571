"""Tests for answers of the store that contain only some of the records."""

import asyncio

import platform_site as sites


def config(version, keys):
    """Returns a configuration of some 600 KB."""
    config = sites.config(version)
    route = config["routes"][0]
    config["routes"] += [
        {**route, "name": f"r{i}", "path_prefix": f"/more/{i}/{'x' * 150}/"}
        for i in range(1_800)
    ]
    config["tenants"] = [{"name": "one", "api_keys": keys}]
    return config


def test_an_incomplete_answer_does_not_prove_a_key_valid():
    """Guards against serving a revoked key after an outage of the store.

    Two configurations of 600 KB were written during the outage, and an answer
    of the store has at most a megabyte. The first answer has only the one that
    still has the key, and must not count as proof that nothing newer exists.
    """

    async def play():
        async with sites.Site("i-1") as site:
            first = await site.ask(key=sites.KEY)
            # The link needs a second and a half for one of them.
            site.store.status = 503
            site.store.cut()
            await asyncio.sleep(0.5)
            site.store.put("keyed.op", "config", config(2, [sites.KEY, "b"]))
            site.store.put("keyed.op", "config", config(3, ["b"]))
            await asyncio.sleep(6.0)
            site.store.link_bytes_per_s = 400_000
            site.store.status = 200
            statuses = set()
            for _ in range(50):
                await asyncio.sleep(0.1)
                statuses.add((await site.ask(key=sites.KEY)).status)
            version = site.entry._config_view.catalog.version
            return first.status, statuses, version

    first, statuses, version = sites.run(play())
    assert first == 200
    assert version == 3
    assert 200 not in statuses
