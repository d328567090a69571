"""Both daemons in one deployment, in virtual time, over real sockets."""

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
# Real seconds that the kernel may take to deliver before time jumps.
GRACE_S = 0.001
TICK_S = 0.005
# Virtual seconds after which a test has failed.
TIMEOUT_S = 120
COMPLETION = {
    "model": "assistent",
    "prompt": "a spur gear",
    "max_tokens": TOKENS,
    "stream": True,
}


def _run(body, tmp_path):
    """Runs `body(deployment, manifests)` with version v1 served."""

    async def main(clock):
        options = deployments.Options(clock=clock, seed=1)
        async with deployments.running(SMALL, options) as deployment:
            published = [
                await _publish(deployment, tmp_path, version)
                for version in ("v1", "v2")
            ]
            model = _model(published[0])
            await deployment.declare(
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
    while (await _look_up(deployment))[0] != "answered":
        await asyncio.sleep(0.2)


def _url(deployment, path):
    return f"http://{deployment.entries[0].http_address}{path}"


async def _look_up(deployment):
    url = _url(deployment, "/services/magazijn/items/p1")
    async with deployment.session.get(url) as response:
        headers = response.headers
        await response.read()
    return headers["Clementine-Outcome"], headers.get("Clementine-Reason")


async def _stream(deployment):
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


def test_declared_version_replaces_the_one_that_is_served(tmp_path):
    async def body(deployment, published):
        await deployment.declare(
            "roll out",
            changes.Set("services.assistent.model", _model(published[1])),
        )
        await _wait_until(lambda: _serving(deployment, "v2"))
        return await _stream(deployment), published[1]

    (version, answer), manifest = _run(body, tmp_path)
    assert version == "v2"
    assert engine.answer_text(answer) == _expected(manifest)


def test_stopping_entry_finishes_a_stream_and_then_refuses(tmp_path):
    """Symptom: a caller's answer ends in the middle at each restart.

    Sequence: a stream runs; the entry is told to stop; a new request comes
    once its time of leaving is over.
    Cause: a shutdown that closes what it has.
    """

    async def body(deployment, published):
        stream = asyncio.ensure_future(_stream(deployment))
        await asyncio.sleep(0.5)
        entry = deployment.entries[0]
        draining = asyncio.ensure_future(entry.drain())
        await asyncio.sleep(0)
        while not entry.core.leaving:
            await asyncio.sleep(0.01)
        early = await _look_up(deployment)
        await draining
        late = await _look_up(deployment)
        return early, late, await stream, published[0]

    early, late, (version, answer), manifest = _run(body, tmp_path)
    assert early == ("answered", None)
    assert late == ("not-run", "leaving")
    assert version == "v1"
    assert engine.is_whole(answer)
    assert engine.answer_text(answer) == _expected(manifest)


def test_stopping_agent_gets_nothing_new_and_finishes_its_streams(tmp_path):
    """Symptom: requests fail or are cut off whenever an instance is replaced.

    Sequence: both engines have streams; one agent is told to stop; more
    streams come at once, before any list has changed.
    Cause: leaving that waits for the list, or that ends what runs.
    """

    async def body(deployment, published):
        first = [asyncio.ensure_future(_stream(deployment)) for _ in range(4)]
        await asyncio.sleep(0.5)
        leaving_worker = deployment.workers[0]
        draining = asyncio.ensure_future(leaving_worker.agent.drain())
        while not leaving_worker.agent.core.leaving:
            await asyncio.sleep(0.01)
        runs_before = len(_runs(deployment, leaving_worker.server.name))
        more = [asyncio.ensure_future(_stream(deployment)) for _ in range(4)]
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


def test_caller_reaches_no_order_chunk_or_settings(tmp_path):
    """Symptom: a caller makes an engine load other weights.

    Sequence: a caller sends an order, a chunk or a log record to an entry.
    Cause: paths that are passed on as they come.
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


def test_caller_cannot_name_its_own_request_id(tmp_path):
    """Symptom: two callers' requests are taken for attempts of one.

    Sequence: callers send the header that the system itself sets.
    Cause: headers of callers that are passed on beside the system's own.
    """

    async def body(deployment, published):
        url = _url(deployment, "/services/magazijn/items/p1")
        mine = {"Clementine-Request-Id": "chosen"}
        async with deployment.session.get(url, headers=mine) as response:
            await response.read()
        return [run.request_id for run in deployment.ledger.runs]

    assert "chosen" not in _run(body, tmp_path)


def _runs(deployment, server):
    return [run for run in deployment.ledger.runs if run.server == server]


def test_daemon_takes_another_port_when_the_udp_twin_is_taken(monkeypatch):
    """Symptom: a daemon ends at its start now and then, "address in use".

    Sequence: the kernel chooses a TCP port for the peers; a datagram socket of
    another process has that number.
    Cause: one number is needed for both, and the kernel knows of one only.
    """
    held = []

    async def listen_where_udp_is_taken(self, address):
        found = await listen(self, address)
        if not held:
            held.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            held[0].bind((found.host, found.port))
        return found

    listen = connection.Endpoint.listen
    monkeypatch.setattr(
        connection.Endpoint, "listen", listen_where_udp_is_taken
    )

    async def main():
        async with deployments.running(SMALL) as deployment:
            return [w.agent.core.instance.address for w in deployment.workers]

    try:
        addresses = asyncio.run(main())
        assert held[0].getsockname()[1] not in [a.port for a in addresses]
    finally:
        held[0].close()
