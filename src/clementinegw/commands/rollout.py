"""`clementinegw rollout status`: shows which agents lag and why."""

import asyncio
import dataclasses
import json
import time

from absl import flags
import aiohttp
import pydantic

from clementinegw import exceptions
from clementinegw.settings import model as model_lib
from clementinegw.weights import rollout

NAME = "rollout"
HELP = """usage: clementinegw rollout status --service=S
           [--status=HOST:PORT,...] [INSTANCE_FILE...]

Fetches the agents' status pages and shows the progress of the declared version:
how many agents serve it, which versions the others serve, and what each of
those waits for. The pages are given by address, or by the agents' instance
files, which contain the address in `listen.admin`. With --wait_s it polls until
all agents serve the version; exit code 5 if they do not in that time."""

_REQUEST_TIMEOUT_S = 3.0
_MAX_CONCURRENT_REQUESTS = 64
_POLL_INTERVAL_S = 1.0
_BAR_WIDTH = 40
_PERCENT = 100


def define(flag_values) -> None:
    """Defines the command's flags."""
    flags.DEFINE_string(
        "service", None, "The service.", flag_values=flag_values
    )
    flags.DEFINE_list(
        "status",
        [],
        "Addresses of status pages, HOST:PORT, separated by commas.",
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        "wait_s",
        0.0,
        "Seconds to wait until all agents serve the version.",
        lower_bound=0.0,
        flag_values=flag_values,
    )


async def run(args: list[str], flag_values) -> int:
    """Prints the state of the rollout."""
    if args[:1] != ["status"]:
        raise exceptions.UsageError(
            "rollout: expected `status` (see `clementinegw rollout --help`)"
        )
    if not flag_values.service:
        raise exceptions.UsageError("rollout status: expected --service=...")
    addresses = _addresses(flag_values.status, args[1:])
    if not addresses:
        raise exceptions.UsageError(
            "rollout status: expected --status=HOST:PORT,... or instance files"
        )
    end = time.monotonic() + flag_values.wait_s
    async with aiohttp.ClientSession() as session:
        while True:
            state = await _fetch_rollout(
                session, flag_values.service, addresses
            )
            if state.complete or time.monotonic() >= end:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
    print(_as_json(state) if flag_values.json else _as_text(state))
    if flag_values.wait_s and not state.complete:
        raise exceptions.CheckFailed(
            f"{state.service}: {state.serving} of {state.replicas} serve "
            f"{state.target!r} after {flag_values.wait_s:g} s"
        )
    return 0


def _addresses(status_flags: list[str], paths: list[str]) -> list[str]:
    addresses = []
    for text in status_flags:
        try:
            addresses.append(str(model_lib.parse_address(text)))
        except ValueError as error:
            raise exceptions.UsageError(
                f"--status: {error}, found {text!r}"
            ) from error
    for path in paths:
        admin = model_lib.parse_instance_file(path).listen.admin
        if admin is None:
            raise exceptions.UsageError(f"{path}: listen.admin: expected")
        addresses.append(str(admin))
    return addresses


async def _fetch_rollout(
    session: aiohttp.ClientSession, service: str, addresses: list[str]
) -> rollout.Rollout:
    limit = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
    answers = await asyncio.gather(
        *(_fetch_page(session, address, limit) for address in addresses)
    )
    pages = [page for page in answers if isinstance(page, rollout.StatusPage)]
    unreachable = {
        address: answer
        for address, answer in zip(addresses, answers, strict=True)
        if isinstance(answer, str)
    }
    if not any(page.service == service for page in pages):
        details = "; ".join(
            f"{name}: {why}" for name, why in unreachable.items()
        )
        raise exceptions.PlatformError(
            f"no agent of {service!r} answered"
            + (f" ({details})" if details else "")
        )
    return rollout.summarize(service, pages, unreachable)


async def _fetch_page(
    session: aiohttp.ClientSession, address: str, limit: asyncio.Semaphore
) -> rollout.StatusPage | str:
    """Returns an agent's status page, or the reason why it has none."""
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
    try:
        async with (
            limit,
            session.get(f"http://{address}/status", timeout=timeout) as answer,
        ):
            answer.raise_for_status()
            return rollout.StatusPage.model_validate_json(await answer.read())
    except TimeoutError:
        return f"no answer in {_REQUEST_TIMEOUT_S:g} s"
    except pydantic.ValidationError:
        return "its answer is not a status page"
    except (aiohttp.ClientError, OSError) as error:
        return str(error)


def _as_json(state: rollout.Rollout) -> str:
    return json.dumps({**dataclasses.asdict(state), "complete": state.complete})


def _as_text(state: rollout.Rollout) -> str:
    share = state.serving / state.replicas
    bar = "#" * int(_BAR_WIDTH * share)
    lines = [
        f"{state.service}: version {state.target or '(none)'}, manifest "
        f"{state.target_digest or '(none)'}, settings revision "
        f"{state.revision}",
        f"[{bar:-<{_BAR_WIDTH}}] {int(_PERCENT * share)}%  "
        f"{state.serving} of {state.replicas} serve it",
        "",
    ]
    for version, count in state.versions.items():
        lines.append(f"  {count:4} serve {version or 'nothing'}")
    if state.behind:
        lines += ["", "behind:"]
        width = max(len(one.name) for one in state.behind)
        lines += [
            f"  {one.name:{width}}  {one.state:9}  "
            f"serves {one.serving_version or 'nothing'}: {one.why}"
            for one in state.behind
        ]
    return "\n".join(lines)
