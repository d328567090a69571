"""Limits that change while connections are open."""

import asyncio
import dataclasses

import platform_site as sites
import pytest

HEAD = "\r\n".join(
    (
        "GET /safe/1 HTTP/1.1",
        "Host: h.example",
        "X-Clementinegw-Attempt-Id: long",
        "X-Clementinegw-Deadline-Ms: 2500",
        f"Authorization: Token {sites.KEY}",
        "X-Padding: " + "x" * 4000,
        "",
        "",
    )
).encode()


@pytest.mark.parametrize(
    ("before", "after", "status"), [(512, 1 << 16, 200), (1 << 16, 512, 431)]
)
def test_a_changed_limit_on_heads_reaches_open_connections(
    before, after, status
):
    """Callers that kept their connections had the former limit for good."""

    async def play():
        async with sites.Site("i-1") as site:
            server = site.entry._server
            server.limits = dataclasses.replace(
                server.limits, header_bytes=before
            )
            async with sites.Caller(site) as caller:
                first = await caller.ask()
                server.limits = dataclasses.replace(
                    server.limits, header_bytes=after
                )
                caller.writer.write(HEAD[:-4])
                await asyncio.sleep(0.05)
                caller.writer.write(HEAD[-4:])
                return first.status, (await caller.answer()).status

    assert sites.run(play()) == (200, status)
