"""Tests for a large answer between two processes over a slow link."""

import asyncio
import random

import platform_site
import test_platform_relay

_RATE_BYTES_PER_S = 60_000
_TURN_BYTES = 2_048


class RateLimitedTransport:
    """A transport with a limited rate."""

    def __init__(self, transport):
        self._transport = transport
        self._data = bytearray()
        self._sending = None

    def write(self, data):
        self._data += data
        if self._sending is None:
            self._sending = asyncio.ensure_future(self._send())

    async def _send(self):
        while self._data:
            part = bytes(self._data[:_TURN_BYTES])
            del self._data[:_TURN_BYTES]
            await asyncio.sleep(len(part) / _RATE_BYTES_PER_S)
            self._transport.write(part)
        self._sending = None

    def close(self):
        self._transport.close()

    def abort(self):
        self._data.clear()
        self._transport.abort()


def varied_config(version):
    """Returns a large configuration that compresses to half its size."""
    rng = random.Random(version)
    config = platform_site.config(version=version)
    route = config["routes"][0]
    config["routes"] += [
        {
            **route,
            "name": f"r{i}",
            "path_prefix": f"/{rng.randbytes(64).hex()}/",
        }
        for i in range(1_800)
    ]
    return config


def test_a_large_answer_that_arrives_slowly_is_received():
    """Guards against answers that are discarded because they arrive slowly.

    If the transfer takes longer than the timeout of a question, the received
    part must not be discarded and requested again from another reader or the
    store. Otherwise no process gets the configuration.
    """

    async def play():
        async with test_platform_relay.Domain(2) as domain:
            put = domain.store.put
            put("keyed.op", "config", platform_site.config())
            await domain.until(1, 5.0)
            await asyncio.sleep(8.0)
            for entry in domain.entries:
                for link in entry._relay._endpoint._links:
                    link._transport = RateLimitedTransport(link._transport)
            before = domain.store.bytes_out
            put("keyed.op", "config", varied_config(2))
            size = len(domain.store.topics["keyed.op"][-1][1])
            took_s = await domain.until(2, 20.0)
            return took_s, (domain.store.bytes_out - before) / size

    took_s, reads = platform_site.run(play())
    assert took_s > 2.5
    assert reads < 1.1
