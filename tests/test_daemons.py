"""Tests of both daemons in a deployment, in virtual time on real sockets."""

import asyncio
import functools
import json
import random
import socket

import yarl

from clementinegw import types
from clementinegw.backend import types as backend_types
from clementinegw.platform import store
from clementinegw.settings import changes
from clementinegw.testing import clock as clocks
from clementinegw.testing import deployment as deployments
from clementinegw.testing import engine
from clementinegw.testing import processes
from clementinegw.testing import sizes
from clementinegw.weights import publish
from clementinegw.wire import connection

PLACE = types.Place("noord", "groningen-hal")
SMALL = sizes.Size(
    name="small",
    places=(PLACE,),
    entries=1,
    services=(
        sizes.ServiceSize("assistent", types.ServiceKind.MODEL_ENGINE, 2),
        sizes.ServiceSize("magazijn", types.ServiceKind.PLAIN, 1),
    ),
    customers=(("customer-1", 1.0),),
)
TOKENS = 200
# Real seconds to wait for the kernel to deliver data before virtual time
# advances.
GRACE_S = 0.001
TICK_S = 0.005
# Virtual seconds after which a test fails.
TIMEOUT_S = 120
COMPLETION = {
    "model": "assistent",
    "prompt": "a spur gear",
    "max_tokens": TOKENS,
    "stream": True,
}


def _run(body, tmp_path):
    """Runs `body(deployment, manifests)` once all engines serve version v1."""

    async def main(clock):
        options = deployments.Options(clock=clock, seed=1)
        async with deployments.running(SMALL, options) as deployment:
            published = [
                await _publish(deployment, tmp_path, version)
                for version in ("v1", "v2")
            ]
            model = _model(published[0])
            await deployment.change_settings(
                "start", *deployment.tree_operations({"assistent": model})
            )
            await _wait_until(lambda: _serving(deployment, "v1"))
            await _wait_until_answered(deployment)
            return await body(deployment, published)

    clock = clocks.VirtualClock()
    make_loop = functools.partial(processes.ProcessLoop, tick_s=TICK_S)
    return clocks.run(with_timeout(main, clock), clock, GRACE_S, make_loop)


async def with_timeout(main, clock):
    async with asyncio.timeout(TIMEOUT_S):
        return await main(clock)


async def _publish(deployment, tmp_path, version):
    path = tmp_path / version
    path.write_bytes(random.Random(version).randbytes(1 << 18))
    origin = store.HttpStore(
        deployment.platform.origin_address, deployment.session
    )
    return await publish.publish(path, "m", version, origin, 1 << 16)


def _model(manifest):
    return {
        "name": "m",
        "version": manifest.version,
        "manifest": manifest.digest,
    }


def _serving(deployment, version):
    return all(
        worker.agent.serving_version == version
        for worker in deployment.workers
        if isinstance(worker.server, engine.EngineStandIn)
    )


async def _wait_until(condition):
    while not condition():
        await asyncio.sleep(0.1)


async def _wait_until_answered(deployment):
    while (await _get_item(deployment))[0] != "answered":
        await asyncio.sleep(0.2)


def _url(deployment, path):
    return f"http://{deployment.entries[0].http_address}{path}"


async def _get_item(deployment):
    url = _url(deployment, "/services/magazijn/items/p1")
    async with deployment.session.get(url) as response:
        headers = response.headers
        await response.read()
    return headers["Clementine-Outcome"], headers.get("Clementine-Reason")


async def _request_stream(deployment):
    url = _url(deployment, "/v1/completions")
    data = json.dumps(COMPLETION)
    async with deployment.session.post(url, data=data) as response:
        body = await response.read()
        return response.headers.get("Clementine-Version"), body


def _expected(manifest):
    digest = backend_types.content_digest(
        [chunk.digest.hex() for chunk in manifest.chunks]
    )
    return engine.expected_answer(COMPLETION["prompt"], digest, TOKENS)


def test_declared_version_replaces_the_served_version(tmp_path):
    async def body(deployment, published):
        await deployment.change_settings(
            "roll out",
            changes.Set("services.assistent.model", _model(published[1])),
        )
        await _wait_until(lambda: _serving(deployment, "v2"))
        return await _request_stream(deployment), published[1]

    (version, answer), manifest = _run(body, tmp_path)
    assert version == "v2"
    assert engine.answer_text(answer) == _expected(manifest)


def test_draining_entry_completes_a_stream_and_then_refuses(tmp_path):
    """Guards against answers that are truncated when an entry restarts.

    It happens when the shutdown closes open streams. Requests during the
    leaving period must be answered, and later ones refused.
    """

    async def body(deployment, published):
        stream = asyncio.ensure_future(_request_stream(deployment))
        await asyncio.sleep(0.5)
        entry = deployment.entries[0]
        draining = asyncio.ensure_future(entry.drain())
        await asyncio.sleep(0)
        while not entry.core.leaving:
            await asyncio.sleep(0.01)
        early = await _get_item(deployment)
        await draining
        late = await _get_item(deployment)
        return early, late, await stream, published[0]

    early, late, (version, answer), manifest = _run(body, tmp_path)
    assert early == ("answered", None)
    assert late == ("not-run", "leaving")
    assert version == "v1"
    assert engine.is_complete(answer)
    assert engine.answer_text(answer) == _expected(manifest)


def test_draining_agent_completes_its_streams_and_gets_no_new_requests(
    tmp_path,
):
    """Guards against failed or truncated requests when an agent is replaced.

    It happens when leaving waits for the instance list, so that new streams
    still arrive, or when it ends the running streams.
    """

    async def body(deployment, published):
        first = [
            asyncio.ensure_future(_request_stream(deployment)) for _ in range(4)
        ]
        await asyncio.sleep(0.5)
        leaving_worker = deployment.workers[0]
        draining = asyncio.ensure_future(leaving_worker.agent.drain())
        while not leaving_worker.agent.core.leaving:
            await asyncio.sleep(0.01)
        runs_before = len(_runs(deployment, leaving_worker.server.name))
        more = [
            asyncio.ensure_future(_request_stream(deployment)) for _ in range(4)
        ]
        answers = await asyncio.gather(*first, *more)
        await draining
        runs_after = len(_runs(deployment, leaving_worker.server.name))
        return answers, runs_before, runs_after, published[0]

    answers, runs_before, runs_after, manifest = _run(body, tmp_path)
    assert runs_before > 0
    assert runs_after == runs_before
    expected = _expected(manifest)
    assert [engine.answer_text(a) for _, a in answers] == [expected] * 8


FORBIDDEN = (
    ("POST", "/services/assistent/orders/load"),
    ("PUT", "/services/assistent/staging/" + "0" * 64),
    ("GET", "/services/assistent/status"),
    ("POST", "/services/magazijn/%2e%2e/assistent/orders/load"),
    ("GET", "/status"),
    ("POST", "/streams/settings"),
)


def test_caller_cannot_reach_orders_staging_or_settings(tmp_path):
    """Guards against a caller that makes an engine load other weights.

    It happens when an entry forwards the paths of orders, chunks or log
    records unchecked.
    """

    async def body(deployment, published):
        before = [w.server.fencing for w in deployment.workers[:2]]
        outcomes = []
        for method, path in FORBIDDEN:
            url = yarl.URL(_url(deployment, path), encoded=True)
            async with deployment.session.request(
                method, url, data=b"{}"
            ) as response:
                await response.read()
                outcomes.append(response.headers.get("Clementine-Outcome"))
        after = [w.server.fencing for w in deployment.workers[:2]]
        return outcomes, before, after, _serving(deployment, "v1")

    outcomes, before, after, serving = _run(body, tmp_path)
    assert "answered" not in outcomes
    assert after == before
    assert serving


def test_caller_cannot_set_the_request_id(tmp_path):
    """Guards against two callers' requests treated as attempts of one.

    It happens when a caller's request id header is forwarded besides the one
    that the system sets.
    """

    async def body(deployment, published):
        url = _url(deployment, "/services/magazijn/items/p1")
        headers = {"Clementine-Request-Id": "chosen"}
        async with deployment.session.get(url, headers=headers) as response:
            await response.read()
        return [run.request_id for run in deployment.ledger.runs]

    assert "chosen" not in _run(body, tmp_path)


def _runs(deployment, server):
    return [run for run in deployment.ledger.runs if run.server == server]


def test_daemon_chooses_another_port_when_the_udp_port_is_in_use(monkeypatch):
    """Guards against daemons that sometimes fail to start: "address in use".

    Peers need the same port number for TCP and UDP. The kernel chooses a free
    TCP port, whose number may be in use for UDP by another process.
    """
    occupied = []

    async def listen_with_udp_port_in_use(self, address):
        found = await listen(self, address)
        if not occupied:
            occupied.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            occupied[0].bind((found.host, found.port))
        return found

    listen = connection.Endpoint.listen
    monkeypatch.setattr(
        connection.Endpoint, "listen", listen_with_udp_port_in_use
    )

    async def main():
        async with deployments.running(SMALL) as deployment:
            return [w.agent.core.instance.address for w in deployment.workers]

    try:
        addresses = asyncio.run(main())
        assert occupied[0].getsockname()[1] not in [a.port for a in addresses]
    finally:
        occupied[0].close()
