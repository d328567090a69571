"""Measures the cost of claims: appends per second, delay, processor time.

Run `python -m clementinegw.bench.claims [RATE [ENTRIES]]`. Entries claim keys
at a fixed rate over loopback connections, through a log that takes 10 ms per
call, once for each batch interval. Each claim is settled, so that its end is
appended as well.
"""

import asyncio
import json
import random
import sys
import time

from clementinegw import clock as clock_lib
from clementinegw import types as shared
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import claims_service
from clementinegw.requests import types as request_types
from clementinegw.testing import memory
from clementinegw.wire import auth
from clementinegw.wire import connection

_WINDOWS_MS = (0, 10, 20, 40, 80)
_SECONDS = 4.0
_LOG_DELAY_S = 0.01
_ANY_PORT = shared.Address("127.0.0.1", 0)
_PLACE = shared.Place("noord", "groningen-hal")
_ANSWER = shared.Answered(200, (), b"booked")


class _EntryGroup:
    """Connected entries that share one log."""

    def __init__(self, log: memory.MemoryLog, timing: claims_service.Timing):
        self._log = log
        self._timing = timing
        self._keys = auth.single_key_ring(b"0123456789abcdef")
        self._instances: list[shared.Instance] = []
        self._endpoints: list[connection.Endpoint] = []
        self.claims: list[claims_service.ClaimsService] = []

    async def start(self, count: int) -> None:
        """Starts the given number of entries."""
        for number in range(count):
            name = f"entry-{number}"
            identity = connection.Identity(name, shared.Role.ENTRY, _PLACE, 1)
            endpoint = connection.Endpoint(identity, self._keys)
            address = await endpoint.listen(_ANY_PORT)
            self._instances.append(
                shared.Instance(name, shared.Role.ENTRY, _PLACE, address)
            )
            claims = claims_service.ClaimsService(
                endpoint,
                self._log,
                lambda: self._instances,
                timing=self._timing,
            )
            await claims.start()
            self._endpoints.append(endpoint)
            self.claims.append(claims)

    async def stop(self) -> None:
        """Stops all entries and closes their endpoints."""
        for claims in self.claims:
            await claims.stop()
        for endpoint in self._endpoints:
            await endpoint.close()


def _request(number: int) -> request_types.Request:
    return request_types.Request(
        request_id=f"r{number}",
        customer="werkplaats",
        service="magazijn",
        method="POST",
        path="/bookings",
        headers=(),
        body=b"",
        priority=shared.Priority.NORMAL,
        deadline=time.monotonic() + 10.0,
        idempotent=False,
        key=f"k{number}",
        fingerprint=b"f" * 16,
    )


async def _claim(
    claims: claims_service.ClaimsService, number: int, delays: list[float]
) -> None:
    request = _request(number)
    start = time.monotonic()
    result = await claims.claim(request)
    if isinstance(result, request_types.ClaimWon):
        delays.append(time.monotonic() - start)
        claims.settle(request, _ANSWER)


async def measure(
    window_ms: int, rate: float, entries: int
) -> dict[str, float]:
    """Returns the figures for one batch interval."""
    log = memory.MemoryLog(clock_lib.SystemClock())
    log.faults.slow_s = _LOG_DELAY_S
    timing = claims_service.Timing(batch_interval_s=window_ms / 1000.0)
    group = _EntryGroup(log, timing)
    await group.start(entries)
    rng = random.Random(1)
    delays: list[float] = []
    tasks = [
        asyncio.ensure_future(_claim(claims, -number, []))
        for number, claims in enumerate(group.claims * claim_lib.SHARDS)
    ]
    await asyncio.gather(*tasks)
    before = _appends(log)
    cpu_s = time.process_time()
    start = time.monotonic()
    tasks = []
    count = int(rate * _SECONDS)
    for number in range(1, count + 1):
        wait_s = start + number / rate - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        claims = rng.choice(group.claims)
        tasks.append(asyncio.ensure_future(_claim(claims, number, delays)))
    await asyncio.gather(*tasks)
    seconds = time.monotonic() - start
    cpu_s = time.process_time() - cpu_s
    appends = _appends(log) - before
    await group.stop()
    delays.sort()
    return {
        "window_ms": window_ms,
        "claims_per_s": round(len(delays) / seconds, 1),
        "appends_per_s": round(appends / seconds, 1),
        "p50_ms": round(delays[len(delays) // 2] * 1000, 1),
        "p99_ms": round(delays[len(delays) * 99 // 100] * 1000, 1),
        "cpu_us_per_claim": round(cpu_s / count * 1e6, 1),
    }


def _appends(log: memory.MemoryLog) -> int:
    shards = range(claim_lib.SHARDS)
    return sum(len(log.all(claim_lib.stream_name(shard))) for shard in shards)


def main() -> None:
    """Prints one JSON object per batch interval."""
    rate = float(sys.argv[1]) if len(sys.argv) > 1 else 410.0
    entries = int(sys.argv[2]) if len(sys.argv) > 2 else 8
    for window_ms in _WINDOWS_MS:
        print(json.dumps(asyncio.run(measure(window_ms, rate, entries))))


if __name__ == "__main__":
    main()
