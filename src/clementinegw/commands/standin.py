"""`clementinegw standin`: runs stand-ins of the daemons' environment."""

import asyncio
import json
import pathlib
import signal
from typing import Any

from absl import flags
import aiohttp

from clementinegw import exceptions
from clementinegw import types
from clementinegw.platform import log as log_lib
from clementinegw.settings import changes as changes_lib
from clementinegw.settings import publisher
from clementinegw.settings import results
from clementinegw.testing import engine as engine_lib
from clementinegw.testing import ledger as ledger_lib
from clementinegw.testing import plain as plain_lib
from clementinegw.testing import platform as platform_lib

NAME = "standin"
HELP = """usage: clementinegw standin --write=DIR

Runs a log, an instance list, a weight store, an origin, a model engine and a
plain service on the loopback interface, declares both services, and writes the
instance files of an entry and of an agent for each service to DIR. Then run,
each in its own terminal:

  clementinegw agent --config=DIR/agent-plain.json
  clementinegw agent --config=DIR/agent-engine.json
  clementinegw entry --config=DIR/entry.json"""

_PLACE = types.Place("region-1", "domain-1")
_ENGINE = "assistant"
_PLAIN = "lookup"
_SETTINGS_TREE: dict[str, Any] = {
    "regions": {_PLACE.region: {}},
    "failure_domains": {_PLACE.failure_domain: {"region": _PLACE.region}},
    "services": {
        _ENGINE: {
            "kind": types.ServiceKind.MODEL_ENGINE.value,
            "checks_fencing": True,
        },
        _PLAIN: {
            "kind": types.ServiceKind.PLAIN.value,
            "operations": [
                {"method": "POST", "path": "/bookings", "idempotent": False}
            ],
        },
    },
    "customers": {"customer-1": {}},
}


def define(flag_values) -> None:
    """Defines the command's flags."""
    flags.DEFINE_string(
        "write",
        None,
        "Directory for the instance files; created if missing.",
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "http_port",
        8080,
        "Port on which the entry accepts callers' HTTP.",
        lower_bound=0,
        upper_bound=65535,
        flag_values=flag_values,
    )


async def run(args: list[str], flag_values) -> int:
    """Runs the stand-ins until SIGTERM or SIGINT."""
    if args:
        raise exceptions.UsageError(f"standin: unexpected {args[0]!r}")
    if flag_values.write is None:
        raise exceptions.UsageError(
            "missing --write: clementinegw standin --write=DIR"
        )
    folder = pathlib.Path(flag_values.write)
    platform = platform_lib.PlatformStandIn()
    ledger = ledger_lib.Ledger()
    engine = engine_lib.EngineStandIn("engine", ledger)
    plain = plain_lib.PlainStandIn("plain", ledger)
    servers = (platform, engine, plain)
    for server in servers:
        await server.start()
    try:
        await _publish_settings(platform.log_address)
        urls = {_ENGINE: engine.base_url, _PLAIN: plain.base_url}
        for path in _write_instance_files(
            folder, platform, urls, flag_values.http_port
        ):
            print(path)
        print(f"log: {platform.log_address}\norigin: {platform.origin_address}")
        await _wait_for_signal()
    finally:
        for server in servers:
            await server.stop()
    return 0


async def _publish_settings(log_url: str) -> None:
    async with aiohttp.ClientSession() as session:
        log = log_lib.HttpLog(log_url, session)
        change = publisher.new_change(
            0,
            "standin",
            "the services of the stand-ins",
            tuple(
                changes_lib.Set(path, v) for path, v in _SETTINGS_TREE.items()
            ),
        )
        result = await publisher.publish(log, change)
    if not isinstance(result, results.Accepted):
        raise exceptions.InvariantError(
            f"the settings of the stand-ins were rejected: {result}"
        )


def _write_instance_files(
    folder: pathlib.Path,
    platform: platform_lib.PlatformStandIn,
    urls: dict[str, str],
    http_port: int,
) -> list[pathlib.Path]:
    kinds = {_ENGINE: "engine", _PLAIN: "plain"}
    files = {"entry": _instance_file("entry", platform, http_port, None)}
    for service, url in urls.items():
        backend = {
            "service": service,
            "kind": _SETTINGS_TREE["services"][service]["kind"],
            "url": url,
        }
        name = f"agent-{kinds[service]}"
        files[name] = _instance_file(name, platform, 0, backend)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name, data in files.items():
            text = json.dumps(data, indent=2)
            (folder / f"{name}.json").write_text(f"{text}\n")
    except OSError as error:
        raise exceptions.UsageError(f"{folder}: {error.strerror}") from None
    return [folder / f"{name}.json" for name in files]


def _instance_file(
    name: str,
    platform: platform_lib.PlatformStandIn,
    http_port: int,
    backend: dict[str, Any] | None,
) -> dict[str, Any]:
    role = types.Role.ENTRY if backend is None else types.Role.AGENT
    data: dict[str, Any] = {
        "instance_id": name,
        "role": role.value,
        "place": {
            "region": _PLACE.region,
            "failure_domain": _PLACE.failure_domain,
        },
        "listen": {
            "http": f"127.0.0.1:{http_port}",
            "peer": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
        },
        "platform": {
            "log": platform.log_address,
            "instances": platform.instances_address,
            "store": platform.store_address,
            "origin": platform.origin_address,
        },
    }
    if backend is not None:
        data["backend"] = backend
    return data


async def _wait_for_signal() -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()
