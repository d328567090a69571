"""Measures the processor time of entry and agent per streamed token.

Run `python -m clementinegw.bench.tokens [STREAMS [TOKENS]]`. One entry, one
agent and one model engine's stand-in run in this process over loopback TCP.
Streams are requested once through the entry and once directly from the engine;
the difference in processor time per token is the cost of entry and agent.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

from clementinegw import exceptions
from clementinegw import types
from clementinegw.platform import store as store_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.testing import deployment as deployment_lib
from clementinegw.testing import engine as engine_lib
from clementinegw.testing import sizes
from clementinegw.weights import publish as publish_lib

_SERVICE = "assistent"
_STREAMS = 40
_TOKENS = 200
_CONCURRENCY = 8
_VERSION_BYTES = 100_000
_CHUNK_BYTES = 50_000
_SERVING_TIMEOUT_S = 20.0
_SIZE = sizes.Size(
    "tokens",
    (types.Place("noord", "groningen-hal"),),
    1,
    (sizes.ServiceSize(_SERVICE, types.ServiceKind.MODEL_ENGINE, 1),),
    (("customer-0", 1.0),),
)
_OPTIONS = deployment_lib.Options(
    engine=engine_lib.EngineSettings(tokens_per_s=200.0)
)


async def run(streams: int, tokens: int) -> dict[str, float]:
    """Measures and returns microseconds per token.

    Args:
      streams: Number of streams through the entry, and as many directly.
      tokens: Number of tokens per stream.
    """
    async with deployment_lib.running(_SIZE, _OPTIONS) as deployment:
        await _roll_out_version(deployment)
        entry = f"http://{deployment.entries[0].http_address}"
        engine = str(deployment.engines[0].base_url)
        await _run_streams(deployment, entry, _CONCURRENCY, tokens)
        entry_cpu_s = await _run_streams(deployment, entry, streams, tokens)
        engine_cpu_s = await _run_streams(deployment, engine, streams, tokens)
    total = streams * tokens
    return {
        "streams": streams,
        "tokens": tokens,
        "cpu_us_per_token_through_entry": round(entry_cpu_s / total * 1e6, 1),
        "cpu_us_per_token_direct": round(engine_cpu_s / total * 1e6, 1),
        "cpu_us_per_token": round(
            (entry_cpu_s - engine_cpu_s) / total * 1e6, 1
        ),
    }


async def _roll_out_version(deployment: deployment_lib.Deployment) -> None:
    store = store_lib.HttpStore(
        deployment.platform.origin_address, deployment.session
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "weights"
        path.write_bytes(bytes(_VERSION_BYTES))
        manifest = await publish_lib.publish(
            path, "model", "v1", store, _CHUNK_BYTES
        )
    declared = {"name": "model", "version": "v1", "manifest": manifest.digest}
    await deployment.change_settings(
        "serve", *deployment.tree_operations({_SERVICE: declared})
    )
    deadline = time.monotonic() + _SERVING_TIMEOUT_S
    while deployment.workers[0].agent.serving_version != "v1":
        if time.monotonic() > deadline:
            raise exceptions.CheckFailed("bench tokens: no engine serves")
        await asyncio.sleep(0.1)
    # The entry receives the version some time after the agent serves it.
    await asyncio.sleep(2.0)


async def _run_streams(
    deployment: deployment_lib.Deployment, url: str, count: int, tokens: int
) -> float:
    slots = asyncio.Semaphore(_CONCURRENCY)
    started_cpu_s = time.process_time()
    await asyncio.gather(
        *(_run_stream(deployment, slots, url, tokens) for _ in range(count))
    )
    return time.process_time() - started_cpu_s


async def _run_stream(
    deployment: deployment_lib.Deployment,
    slots: asyncio.Semaphore,
    url: str,
    tokens: int,
) -> None:
    body = {
        "model": _SERVICE,
        "prompt": "size a gear pair",
        "max_tokens": tokens,
        "stream": True,
    }
    async with (
        slots,
        deployment.session.post(
            f"{url}/v1/completions",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
        ) as response,
    ):
        answer = await response.read()
        if response.status != 200 or not engine_lib.is_complete(answer):
            raise exceptions.CheckFailed(
                f"bench tokens: status {response.status} from {url}"
            )


def main() -> None:
    """Runs the measurement from the command line."""
    numbers = [int(argument) for argument in sys.argv[1:]]
    streams, tokens = (numbers + [_STREAMS, _TOKENS][len(numbers) :])[:2]
    logs.configure(events.Level.ERROR)
    print(json.dumps(asyncio.run(run(streams, tokens))))


if __name__ == "__main__":
    main()
