"""Tests for requests that name a model on a route to a plain service."""

import asyncio

import platform_site as sites
import pytest

MODEL = ["X-Clementinegw-Model: m"]


@pytest.mark.parametrize("path", ["/safe/1", "/once/1"])
def test_a_model_named_for_a_plain_service_is_ignored(path):
    """Guards against requests that are never sent because of a named model.

    The model's version was due and the servers of the plain service hold no
    weights, so each send was withdrawn. A repeatable request failed although no
    server had received it; for others the entry chose the same server in a busy
    loop until the deadline.
    """

    async def play():
        async with sites.Site("i-1") as site:
            await site.ask()
            version = {"model": "m", "version": 2}
            site.store.put("keyed.op", "version/m", version)
            await asyncio.sleep(8.5)
            # The next request reuses this connection.
            await site.ask()
            sends = []
            reserve = site.entry._forwarder._placer.reserve

            async def counted_choose(job):
                sends.append(job)
                assert len(sends) < 50, "no pause between two choices"
                return await reserve(job)

            site.entry._forwarder._placer.reserve = counted_choose
            answer = await site.ask(path, headers=MODEL)
            return answer.status, len(sends)

    assert sites.run(play()) == (200, 1)
