"""Requests that name a model on a route whose service serves none."""

import asyncio

import platform_site as sites
import pytest

MODEL = ["X-Clementinegw-Model: m"]


@pytest.mark.parametrize("path", ["/safe/1", "/once/1"])
def test_a_model_that_a_plain_service_does_not_serve_changes_nothing(path):
    """A caller named a model on a route to a service without engines.

    Its version had become due, the service's servers hold none, and each send
    was taken back before it was made. A request that may be repeated failed
    though no server had it; for any other the entry chose the same server
    again and again without a pause until the caller's time was over.
    """

    async def play():
        async with sites.Site("i-1") as site:
            await site.ask()
            version = {"model": "m", "version": 2}
            site.store.put("keyed.op", "version/m", version)
            await asyncio.sleep(8.5)
            # The next one finds a connection that is up.
            await site.ask()
            sends = []
            reserve = site.entry._forwarder._placer.reserve

            async def counted(job):
                sends.append(job)
                assert len(sends) < 50, "no pause between two choices"
                return await reserve(job)

            site.entry._forwarder._placer.reserve = counted
            answer = await site.ask(path, headers=MODEL)
            return answer.status, len(sends)

    assert sites.run(play()) == (200, 1)
