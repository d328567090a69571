"""Callers of a scenario: one request, and whether its answer is right."""

from collections.abc import Callable
import dataclasses
import json

import aiohttp

from clementinegw import types as shared
from clementinegw.scenario import types
from clementinegw.scenario import world as worlds
from clementinegw.testing import engine as engines
from clementinegw.testing import ledger as ledgers
from clementinegw.testing import plain as plains

POISON = "this one crashes its backend server"
_TOKENS = 8
_PROMPTS = 10
_ITEMS = 40
# The settings' default deadline, for loads that name none.
_DEADLINE_S = 30.0
# A caller gives up so long after its deadline; no outcome by then is a loss.
_GRACE_S = 10.0
_TOLD = {
    "answered": ledgers.CallerOutcome.ANSWERED,
    "not-run": ledgers.CallerOutcome.NOT_RUN,
    "unknown": ledgers.CallerOutcome.UNKNOWN,
}
CONNECTION = "connection"
TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One HTTP request, and what makes its answer right.

    Attributes:
      method: The HTTP method.
      path: At the entry.
      body: The body.
      expected: The right answer by the version that the answer names.
      stream: Whether the answer is a stream of events.
      is_text: Whether the answer is a completion, of which the text counts.
      key: The idempotency key; empty for what may run twice.
    """

    method: str
    path: str
    body: bytes
    expected: Callable[[str], bytes]
    stream: bool = False
    is_text: bool = False
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What came back.

    Attributes:
      told: The outcome.
      request_id: As the entry gave it; empty without an outcome.
      reason: Why there is no answer.
      version: The version that the answer names.
      answer: The body, or the completion's text.
      whole: Whether a stream came with its end.
    """

    told: ledgers.CallerOutcome
    request_id: str = ""
    reason: str = ""
    version: str = ""
    answer: bytes = b""
    whole: bool = True


def message(
    call: worlds.Call, digests: Callable[[str], str], run_id: str
) -> Message:
    """Returns the request that a call stands for.

    Args:
      call: The call.
      digests: The content digest of a version by its name.
      run_id: Part of each idempotency key.
    """
    load = call.load
    if load.kind is types.LoadKind.LOOKUPS:
        item = f"part-{call.number % _ITEMS}"
        path = f"/services/{load.service}/items/{item}"
        return Message("GET", path, b"", lambda _: plains.item_response(item))
    if load.kind is types.LoadKind.BOOKINGS:
        key = f"{run_id}-{load.name}-{call.number}"
        body = json.dumps({"order": key}).encode()
        path = f"/services/{load.service}/bookings"
        answer = plains.booking_response(body)
        return Message("POST", path, body, lambda _: answer, key=key)
    return _completion(load, call.number, digests)


def _completion(
    load: types.Load, number: int, digests: Callable[[str], str]
) -> Message:
    prompt = f"draft quotation {number % _PROMPTS} for a coach seat"
    if load.kind is types.LoadKind.POISON:
        prompt = POISON
    stream = load.kind is types.LoadKind.STREAMS
    body = {
        "model": load.service,
        "prompt": prompt,
        "max_tokens": _TOKENS,
        "stream": stream,
    }

    def expected(version: str) -> bytes:
        digest = digests(version)
        return engines.expected_answer(prompt, digest, _TOKENS).encode()

    return Message(
        "POST",
        "/v1/completions",
        json.dumps(body).encode(),
        expected,
        stream=stream,
        is_text=True,
    )


async def send(
    session: aiohttp.ClientSession,
    entry: shared.Address,
    load: types.Load,
    asked: Message,
) -> Reply:
    """Sends a message and waits for its end."""
    deadline_s = load.deadline_s or _DEADLINE_S
    headers = {
        "Clementine-Priority": load.priority.name.lower(),
        "Clementine-Timeout-Ms": str(int(deadline_s * 1000)),
    }
    if load.customer:
        headers["Clementine-Customer"] = load.customer
    if asked.key:
        headers["Idempotency-Key"] = asked.key
    try:
        async with session.request(
            asked.method,
            f"http://{entry}{asked.path}",
            data=asked.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=deadline_s + _GRACE_S),
        ) as response:
            return _reply(response, asked, await response.read())
    except TimeoutError:
        return Reply(ledgers.CallerOutcome.NOTHING, reason=TIMEOUT)
    except aiohttp.ClientError:
        # A connection that breaks says by itself that the end is not known.
        return Reply(ledgers.CallerOutcome.UNKNOWN, reason=CONNECTION)


def _reply(
    response: aiohttp.ClientResponse, asked: Message, answer: bytes
) -> Reply:
    headers = response.headers
    default = ledgers.CallerOutcome.NOTHING
    if asked.stream and response.ok:
        # A stream's outcome is its end: see requests/_http_reply.py.
        default = ledgers.CallerOutcome.ANSWERED
    told = _TOLD.get(headers.get("Clementine-Outcome", ""), default)
    answered = told is ledgers.CallerOutcome.ANSWERED
    return Reply(
        told=told,
        request_id=headers.get("Clementine-Request-Id", ""),
        reason=headers.get("Clementine-Reason", ""),
        version=headers.get("Clementine-Version", ""),
        answer=_text(answer) if answered and asked.is_text else answer,
        whole=not (answered and asked.stream) or engines.is_complete(answer),
    )


def _text(answer: bytes) -> bytes:
    try:
        return engines.answer_text(answer).encode()
    except (ValueError, KeyError) as error:
        return f"unreadable answer: {error}".encode()
