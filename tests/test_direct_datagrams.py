"""Tests that odd datagrams harm nothing else."""

import asyncio
import math
import random

import platform_site
import pytest

from clementinegw.direct import part_records
from clementinegw.direct import reports
from clementinegw.direct import types
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

AGENT = ("127.0.0.1", 1)
I32 = (0, 1, -1, 8, 2**31 - 1, -(2**31))
I64 = (0, 1, -1, 2**63 - 1, -(2**63), 1_790_000_000_000)
DOUBLES = (0.0, 1.0, -1.0, math.nan, math.inf, -math.inf, 1e308, -1e308)
REPORTS = 400
_PART = part_records.digest_part("a")


def report(**fields):
    """Returns a report about the server s1 with changed fields."""
    values = {
        "server_id": "s1",
        "running": 0,
        "waiting": 0,
        "slots": 8,
        "model": "",
        "version": 0,
        "whole": False,
        "loading": False,
        "pace": 1.0,
        "yielding": False,
        "entries": 1,
        "ready_in_s": -1.0,
        **fields,
    }
    return codec.encode(ttypes.BackendReport(**values))


def odd_report(rng):
    """Returns a report with values at the ends of their types."""
    fields = {
        name: rng.choice(I32)
        for name in ("running", "waiting", "slots", "entries", "followers")
    }
    fields |= {name: rng.choice(I32) for name in ("rank", "follower_rank")}
    fields["version"] = rng.choice(I64)
    fields |= {name: rng.choice(DOUBLES) for name in ("pace", "ready_in_s")}
    fields["ages_ms"] = {rng.choice(I64): rng.choice(I64)}
    fields["suspicions"] = [
        ttypes.Suspicion(
            rng.randbytes(rng.choice((0, 8, 16))),
            [ttypes.Crash(rng.randbytes(8), rng.choice(I32))],
            rng.choice(I32),
            rng.choice(I32),
            rng.choice(I32),
            rng.choice(I32),
        )
    ]
    fields["part_suspicions"] = [
        ttypes.PartSuspicion(
            rng.choice((b"", rng.randbytes(8), _PART)),
            [
                ttypes.Crash(rng.randbytes(8), rng.choice(I32))
                for _ in range(rng.choice((0, 1, 8)))
            ],
            rng.choice((None, *I32)),
            rng.choice((None, *I32)),
            rng.choice((None, *I32)),
            rng.choice((None, *I32)),
        )
    ]
    for name in rng.sample(sorted(fields), 4):
        del fields[name]
    return report(**fields)


@pytest.mark.parametrize("per_s", [math.nan, math.inf, -1.0, 1e300, 1e308])
def test_an_odd_rate_limit_ends_no_request(per_s):
    """Guards against a datagram that fails all requests of a service."""

    async def scenario():
        async with platform_site.Site("s1") as site:
            limit = ttypes.Limit("s1", 0, 0, per_s)
            site.entry._reports.datagram_received(report(limit=limit), AGENT)
            return (await site.ask()).status

    assert platform_site.run(scenario()) == 200


@pytest.mark.parametrize("per_s", [math.nan, math.inf, -1.0, 1e300, 1e308])
def test_an_odd_rate_limit_is_not_relayed(per_s):
    """Guards against an agent that passes an odd value on to all entries."""

    async def scenario():
        reporter = reports.Reporter(lambda declared: None)
        limit = ttypes.Limit("s1", 0, 0, per_s)
        subscription = ttypes.Subscribe("e", {}, limit=limit)
        reporter.datagram_received(codec.encode(subscription), AGENT)
        start = types.ServerStart("s1", 0)
        return reporter._current_limit(start, asyncio.get_running_loop().time())

    assert clocks.run(scenario()) is None


def test_a_version_without_a_model_ends_no_request():
    """Guards against plain services whose requests are all withdrawn."""

    async def scenario():
        async with platform_site.Site("s1") as site:
            site.entry._reports.datagram_received(
                report(ages_ms={7: 60_000}), AGENT
            )
            record = {"model": "", "version": 8}
            site.store.put("keyed.op", "version/", record)
            await asyncio.sleep(12.0)
            return (await site.ask()).status

    assert platform_site.run(scenario()) == 200


@pytest.mark.parametrize("seed", range(3))
def test_an_entry_serves_after_odd_reports(seed):
    """Guards against a state that no later report corrects."""

    async def scenario():
        rng = random.Random(seed)
        errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        async with platform_site.Site("s1") as site:
            listener = site.entry._reports
            for number in range(REPORTS):
                data = odd_report(rng)
                if number % 4 == 0:
                    data = data[: rng.randrange(len(data))]
                listener.datagram_received(data, AGENT)
                site.entry._subscriptions.renew()
            await asyncio.sleep(1.0)
            listener.datagram_received(report(), AGENT)
            statuses = [(await site.ask()).status for _ in range(3)]
            return statuses, errors, site.counters.value("direct.step_failed")

    assert platform_site.run(scenario()) == ([200] * 3, [], 0)


def test_an_error_with_one_datagram_leaves_the_socket_open():
    """Guards against an entry that gets no report after an odd one."""

    async def scenario():
        loop = asyncio.get_running_loop()
        errors, received = [], []
        loop.set_exception_handler(
            lambda _, context: errors.append(context["exception"])
        )

        def on_report(host, received_report):
            received.append(received_report.running)
            if received_report.running == 1:
                raise KeyError("odd")

        listener = reports.Listener("e", on_report)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: listener, local_addr=("127.0.0.1", 0)
        )
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol,
            remote_addr=transport.get_extra_info("sockname"),
        )
        for data in (report(running=1), b"", b"\xff" * 40, report(running=2)):
            sender.sendto(data)
            await asyncio.sleep(0.1)
        sender.close()
        listener.close()
        return received, [repr(error) for error in errors]

    assert platform_site.run(scenario()) == ([1, 2], ["KeyError('odd')"])
