"""One run of the requests bench over TCP, in real time.

Entries, agents and stand-ins each have a thread with its own event loop, so
that the processor time of each can be measured separately. They share one
interpreter. The latencies include the wait for its lock and are therefore not
representative of a deployment. The service is a plain one with lookups and
bookings over HTTP.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
import random
import threading
import time
from typing import Any

import aiohttp
from aiohttp import web

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.backend import service as backend_service
from clementinegw.backend import sessions
from clementinegw.bench import _requests_load
from clementinegw.bench import _requests_report
from clementinegw.gate import backends
from clementinegw.gate import service as gate_service
from clementinegw.gate import types as gate_types
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import http as http_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import service as request_service
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.testing import ledger as ledger_lib
from clementinegw.testing import plain
from clementinegw.wire import auth
from clementinegw.wire import connection as connection_lib

SERVICE = "magazijn"
_SERVER_CONCURRENCY = 4
_SERVICE_TIME_S = 0.25
_BOOKING_SHARE = 0.1
_DEADLINE_S = 10.0
_CONNECT_WAIT_S = 1.0
_KEYS = auth.single_key_ring(b"0" * 32)
_ANY_PORT = types.Address("127.0.0.1", 0)
_PLACE = types.Place("midden", "utrecht-hal")


class _LoopThread:
    """A thread with an event loop, whose processor time is measured."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    async def run(self, coroutine: Coroutine) -> Any:
        """Runs a coroutine in the thread and returns its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return await asyncio.wrap_future(future)

    async def cpu_s(self) -> float:
        """Returns the thread's processor time, in seconds."""

        async def read() -> float:
            return time.thread_time()

        return await self.run(read())

    async def close(self) -> None:
        """Cancels all tasks of the thread and ends it."""
        await self.run(_cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


@dataclasses.dataclass(slots=True)
class _Deployment:
    """The parts of one run that the threads share."""

    ledger: ledger_lib.Ledger
    counters: list[counters_lib.Counters]
    members: list[fleet_lib.Member]
    services: list[request_service.RequestService]
    urls: list[str]
    background_tasks: list[asyncio.Task]


async def run(plan) -> tuple[_requests_report.Result, dict[str, int]]:
    """Runs a plan and returns its figures.

    Args:
      plan: A `_requests_virtual.Plan`; its faults are ignored.

    Returns:
      The result, and the processor time of entries and agents in microseconds
      per request.
    """
    logs.configure(events.Level.ERROR)
    threads = {name: _LoopThread() for name in ("stand_ins", "agent", "entry")}
    deployment = _Deployment(ledger_lib.Ledger(), [], [], [], [], [])
    try:
        backend_urls = await threads["stand_ins"].run(
            _stand_ins(plan, deployment)
        )
        await threads["agent"].run(_agents(backend_urls, deployment))
        await threads["entry"].run(_entries(plan, deployment))
        before = {
            name: await thread.cpu_s() for name, thread in threads.items()
        }
        samples = await _call(plan, deployment)
        after = {name: await thread.cpu_s() for name, thread in threads.items()}
    finally:
        for thread in threads.values():
            await thread.close()
    count = max(1, len(samples))
    cpu_us = {
        f"cpu_us_{name}": round((after[name] - before[name]) / count * 1e6)
        for name in ("entry", "agent")
    }
    return _result(plan, deployment, samples), cpu_us


async def _cancel_all() -> None:
    tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _stand_ins(plan, deployment: _Deployment) -> list[str]:
    urls = []
    for index in range(plan.workers):
        slowness = plan.slow if index == 0 else 1.0
        settings = plain.PlainSettings(
            _SERVER_CONCURRENCY,
            _SERVICE_TIME_S * slowness,
            _SERVICE_TIME_S * slowness,
        )
        stand_in = plain.PlainStandIn(f"b{index}", deployment.ledger, settings)
        await stand_in.start()
        urls.append(stand_in.base_url)
    return urls


async def _agents(urls: list[str], deployment: _Deployment) -> None:
    session = sessions.create()
    deployment.background_tasks.append(
        asyncio.ensure_future(_keep_open(session))
    )
    for index, url in enumerate(urls):
        instance, endpoint, counters = await _endpoint(
            f"a{index}", types.Role.AGENT, SERVICE
        )
        gate = gate_service.GateService(
            endpoint,
            backends.PlainBackend(backend_service.PlainClient(url, session)),
            SERVICE,
            gate_types.Limits(capacity=_SERVER_CONCURRENCY),
            counters=counters,
        )
        await gate.start()
        deployment.members.append(fleet_lib.Member(instance))
        deployment.counters.append(counters)


async def _keep_open(session: aiohttp.ClientSession) -> None:
    """Keeps a session open until its thread is closed, then closes it."""
    try:
        await asyncio.Event().wait()
    finally:
        await session.close()


async def _entries(plan, deployment: _Deployment) -> None:
    rules = rules_lib.FixedRules({SERVICE: _rules(plan)})
    for index in range(plan.entries):
        instance, endpoint, counters = await _endpoint(
            f"e{index}", types.Role.ENTRY, ""
        )
        deployment.members.append(fleet_lib.Member(instance))
        service = request_service.RequestService(
            instance,
            endpoint,
            rules,
            lambda: deployment.members,
            counters=counters,
            rng=random.Random(plan.seed + index),
        )
        await service.start()
        deployment.services.append(service)
        deployment.counters.append(counters)
        handlers = http_lib.Handlers(
            service.pipeline,
            clock_lib.SystemClock(),
            logs.Log(),
            counters,
            instance.instance_id,
        )
        runner = http_lib.make_runner(http_lib.make_app(handlers))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        deployment.urls.append(f"http://127.0.0.1:{runner.addresses[0][1]}")
    for service in deployment.services:
        service.refresh()
    await asyncio.sleep(_CONNECT_WAIT_S)


async def _endpoint(name: str, role: types.Role, service: str):
    counters = counters_lib.Counters()
    endpoint = connection_lib.Endpoint(
        connection_lib.Identity(name, role, _PLACE, 1), _KEYS, None, counters
    )
    address = await endpoint.listen(_ANY_PORT)
    instance = types.Instance(name, role, _PLACE, address, 1, service)
    return instance, endpoint, counters


async def _call(plan, deployment: _Deployment) -> list[_requests_load.Sample]:
    """Sends lookups and bookings in an open loop and returns the samples."""
    rng = random.Random(plan.seed)
    rate = plan.load * plan.workers * _SERVER_CONCURRENCY / _SERVICE_TIME_S
    samples: list[_requests_load.Sample] = []
    tasks: set[asyncio.Task] = set()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        until = due = time.monotonic()
        until += plan.seconds
        while (due := due + rng.expovariate(rate)) < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            url = rng.choice(deployment.urls)
            is_booking = rng.random() < _BOOKING_SHARE
            task = asyncio.ensure_future(
                _send_one(session, url, len(tasks), is_booking, samples)
            )
            tasks.add(task)
        await asyncio.gather(*tasks)
    return samples


async def _send_one(
    session: aiohttp.ClientSession,
    url: str,
    number: int,
    is_booking: bool,
    samples: list[_requests_load.Sample],
) -> None:
    started_at = time.monotonic()
    method, path = (
        ("POST", "bookings") if is_booking else ("GET", f"items/{number}")
    )
    headers = {"Clementine-Timeout-Ms": str(int(_DEADLINE_S * 1000))}
    async with session.request(
        method,
        f"{url}/services/{SERVICE}/{path}",
        headers=headers,
        data=f"{number}".encode() if is_booking else None,
    ) as response:
        body = await response.read()
        outcome = _outcome(response, body)
    seconds = time.monotonic() - started_at
    seen = ledger_lib.CallerRecord(
        response.headers["Clementine-Request-Id"],
        _requests_load.LEDGER_OUTCOMES[type(outcome)],
        idempotent=not is_booking,
        answer=body if isinstance(outcome, types.Answered) else b"",
    )
    samples.append(
        _requests_load.Sample(
            0,
            types.Priority.NORMAL,
            started_at,
            seconds,
            seconds,
            outcome,
            seen,
        )
    )


def _outcome(response: aiohttp.ClientResponse, body: bytes) -> types.Outcome:
    outcome_header = response.headers["Clementine-Outcome"]
    reason = response.headers.get("Clementine-Reason", "")
    if outcome_header == "answered":
        return types.Answered(response.status, (), body)
    if outcome_header == "not-run":
        return types.NotRun(types.NotRunReason(reason))
    return types.Unknown(types.UnknownReason(reason))


def _rules(plan) -> rules_lib.Rules:
    return rules_lib.Rules(
        SERVICE,
        types.ServiceKind.PLAIN,
        policy=plan.policy,
        slow_start_s=0.0,
        max_concurrent=1 << 20,
    )


def _result(
    plan, deployment: _Deployment, samples: list[_requests_load.Sample]
) -> _requests_report.Result:
    rate = plan.workers * _SERVER_CONCURRENCY / _SERVICE_TIME_S
    return _requests_report.result(
        plan.policy,
        samples,
        samples,
        _DEADLINE_S,
        rate * plan.seconds,
        plan.heavy_customer,
        deployment.ledger,
        deployment.counters,
        0.0,
    )
