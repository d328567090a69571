"""Answers of the store that do not bring all that there is."""

import asyncio

import platform_site as sites


def config(version, keys):
    """Returns a configuration of some 600 KB."""
    found = sites.config(version)
    route = found["routes"][0]
    found["routes"] += [
        {**route, "name": f"r{i}", "path_prefix": f"/more/{i}/{'x' * 150}/"}
        for i in range(1_800)
    ]
    found["tenants"] = [{"name": "one", "api_keys": keys}]
    return found


def test_a_part_of_what_was_added_proves_nothing_of_the_rest():
    """A key that had been taken away was served after a cut, without bound.

    Two configurations of 600 KB came meanwhile, and the store's answer has a
    megabyte at most: the first one, with the key. It was taken for a proof
    that nothing else was new, so the key seemed good while the second was
    fetched.
    """

    async def play():
        async with sites.Site("i-1") as site:
            first = await site.ask(key=sites.KEY)
            # The link carries one of them in a second and a half.
            site.store.status = 503
            site.store.cut()
            await asyncio.sleep(0.5)
            site.store.put("keyed.op", "config", config(2, [sites.KEY, "b"]))
            site.store.put("keyed.op", "config", config(3, ["b"]))
            await asyncio.sleep(6.0)
            site.store.link_bytes_per_s = 400_000
            site.store.status = 200
            told = set()
            for _ in range(50):
                await asyncio.sleep(0.1)
                told.add((await site.ask(key=sites.KEY)).status)
            version = site.entry._config_view.catalog.version
            return first.status, told, version

    first, told, version = sites.run(play())
    assert first == 200
    assert version == 3
    assert 200 not in told
