"""Callers of the demo: mixed requests, each answer checked against its own.

What each caller saw is written down and compared with the stand-ins' ledger,
so that the system's own word counts for nothing.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import json
import random
import uuid

import aiohttp

from clementinegw import types
from clementinegw.testing import engine as engine_lib
from clementinegw.testing import ledger as ledger_lib
from clementinegw.testing import plain as plain_lib
from clementinegw.testing import sizes

_TIMEOUT_S = 20.0
_MAX_TOKENS = 24
_PROMPTS = 12
_ITEMS = 40
_BACKOFF_S = 0.2
_OK = 200
_TOLD = {
    "answered": ledger_lib.CallerOutcome.ANSWERED,
    "not-run": ledger_lib.CallerOutcome.NOT_RUN,
    "unknown": ledger_lib.CallerOutcome.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What came back for one request.

    Attributes:
      seen: For the ledger's judgement.
      version: The version the answer names; empty for a plain service.
      reason: Why it was not answered.
      status: The HTTP status.
    """

    seen: ledger_lib.CallerRecord
    version: str
    reason: str
    status: int


class Callers:
    """Closed-loop callers, each at an entry of its own choice."""

    def __init__(
        self,
        size: sizes.Size,
        entries: list[types.Address],
        session: aiohttp.ClientSession,
        digests: dict[str, str],
        seed: int,
    ):
        """Prepares the callers.

        Args:
          size: The deployment's services and customers.
          entries: Where the entries take HTTP.
          session: Sends the requests.
          digests: The content digest of each version, for expected answers.
          seed: Seeds the mix.
        """
        self._size = size
        self._entries = entries
        self._session = session
        self._digests = digests
        self._rng = random.Random(seed)
        self._stopping = False
        self.replies: list[Reply] = []

    def stop(self) -> None:
        """Lets each caller finish its present request and end."""
        self._stopping = True

    async def run(self, count: int) -> None:
        """Runs `count` callers until `stop`."""
        await asyncio.gather(*(self._loop() for _ in range(count)))

    async def _loop(self) -> None:
        kinds = self._kinds()
        while not self._stopping:
            send = self._rng.choice(kinds)
            reply = await send()
            self.replies.append(reply)
            if reply.seen.outcome is not ledger_lib.CallerOutcome.ANSWERED:
                await asyncio.sleep(_BACKOFF_S)

    def _kinds(self) -> list[Callable[[], Awaitable[Reply]]]:
        kinds: list[Callable[[], Awaitable[Reply]]] = []
        for service in self._size.services:
            kinds += self._kinds_of(service)
        return kinds

    def _kinds_of(
        self, service: sizes.ServiceSize
    ) -> list[Callable[[], Awaitable[Reply]]]:
        name = service.name
        if service.kind is types.ServiceKind.MODEL_ENGINE:
            return [
                lambda: self._complete(name, stream=False),
                lambda: self._complete(name, stream=True),
            ]
        return [lambda: self._look_up(name), lambda: self._book(name)]

    async def _complete(self, service: str, stream: bool) -> Reply:
        prompt = f"size gear pair {self._rng.randrange(_PROMPTS)} " * 4
        tokens = self._rng.randrange(4, _MAX_TOKENS)
        body = {
            "model": service,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
        return await self._send(
            "POST",
            "/v1/completions",
            json.dumps(body).encode(),
            expected=lambda version: self._expected(prompt, tokens, version),
            text_of=engine_lib.answer_text,
            whole=engine_lib.is_complete if stream else None,
        )

    async def _look_up(self, service: str) -> Reply:
        item = f"part-{self._rng.randrange(_ITEMS)}"
        return await self._send(
            "GET",
            f"/services/{service}/items/{item}",
            b"",
            expected=lambda _: plain_lib.item_response(item),
        )

    async def _book(self, service: str) -> Reply:
        key = uuid.UUID(int=self._rng.getrandbits(128), version=4).hex
        body = json.dumps({"order": key}).encode()
        return await self._send(
            "POST",
            f"/services/{service}/bookings",
            body,
            expected=lambda _: plain_lib.booking_response(body),
            key=key,
        )

    def _expected(self, prompt: str, tokens: int, version: str) -> bytes:
        digest = self._digests.get(version, "no such version")
        return engine_lib.expected_answer(prompt, digest, tokens).encode()

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        expected: Callable[[str], bytes],
        text_of: Callable[[bytes], str] | None = None,
        whole: Callable[[bytes], bool] | None = None,
        key: str = "",
    ) -> Reply:
        entry = self._rng.choice(self._entries)
        customer = self._rng.choice(self._size.customers)[0]
        headers = {"Clementine-Customer": customer}
        if key:
            headers["Idempotency-Key"] = key
        try:
            async with self._session.request(
                method,
                f"http://{entry}{path}",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                answer, clean = await _read(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            seen = ledger_lib.CallerRecord(
                "", ledger_lib.CallerOutcome.NOTHING, key, not key
            )
            return Reply(seen, "", type(error).__name__, 0)
        told = _told(response, clean)
        version = response.headers.get("Clementine-Version", "")
        answered = told is ledger_lib.CallerOutcome.ANSWERED
        text = answer
        if answered and text_of is not None:
            text = _text(answer, text_of)
        seen = ledger_lib.CallerRecord(
            request_id=response.headers.get("Clementine-Request-Id", ""),
            outcome=told,
            key=key,
            idempotent=not key,
            complete=whole is None or not answered or whole(answer),
            expected=expected(version) if answered else None,
            answer=text,
        )
        reason = response.headers.get("Clementine-Reason", "")
        return Reply(seen, version, reason, response.status)


async def _read(response: aiohttp.ClientResponse) -> tuple[bytes, bool]:
    """Returns the body and whether it came to a clean end."""
    pieces = []
    try:
        async for piece in response.content.iter_any():
            pieces.append(piece)
    except aiohttp.ClientPayloadError:
        return b"".join(pieces), False
    return b"".join(pieces), True


def _told(
    response: aiohttp.ClientResponse, clean: bool
) -> ledger_lib.CallerOutcome:
    """Returns the outcome.

    A stream begins before its outcome is known, so it carries no outcome
    header: a clean end tells an answer, a broken one that it is unknown.
    """
    outcome = response.headers.get("Clementine-Outcome")
    if outcome is not None:
        return _TOLD.get(outcome, ledger_lib.CallerOutcome.NOTHING)
    if response.status != _OK:
        return ledger_lib.CallerOutcome.NOTHING
    return (
        ledger_lib.CallerOutcome.ANSWERED
        if clean
        else ledger_lib.CallerOutcome.UNKNOWN
    )


def _text(answer: bytes, text_of: Callable[[bytes], str]) -> bytes:
    try:
        return text_of(answer).encode()
    except (ValueError, KeyError) as error:
        return f"unreadable answer: {error}".encode()
