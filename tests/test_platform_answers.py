"""Tests for arbitrary answers to the platform's HTTP clients."""

import contextlib
import json

import aiohttp
from aiohttp import web
import hypothesis
from hypothesis import strategies as st

from clementinegw import exceptions
from clementinegw.platform import instances
from clementinegw.platform import log as logs
from clementinegw.testing import clock as clocks

GRACE_S = 0.01

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["first", "next", "records", "offset", "time", "value"]
                + ["instances", "instance_id", "role", "host", "port", "state"]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


@hypothesis.settings(deadline=None, max_examples=30, derandomize=True)
@hypothesis.given(
    st.lists(JSON.map(json.dumps).map(str.encode) | st.binary(max_size=60))
)
def test_http_answers_of_any_kind_end_in_one_error(answers):
    """Guards against an unexpected answer that ends a process or its follower.

    Such answers arrive if an address in the instance file is wrong and an
    unrelated HTTP server answers there.
    """

    async def main(clock):
        waiting = list(answers)

        async def answer(request):
            return web.Response(body=waiting[0])

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        async with aiohttp.ClientSession() as session:
            log = logs.HttpLog(url, session, timeout_s=0.5)
            listing = instances.HttpInstanceList(url, session, timeout_s=0.5)
            while waiting:
                for call in (
                    log.read("settings", 1),
                    log.append("settings", b"x"),
                    listing.fetch(),
                ):
                    with contextlib.suppress(exceptions.PlatformUnavailable):
                        await call
                waiting.pop(0)
        await runner.cleanup()

    clock = clocks.VirtualClock()
    clocks.run(main(clock), clock, GRACE_S)
