"""Parses the answer of a model engine into an iterator of events."""

from collections.abc import AsyncIterator
import json

import aiohttp

from clementinegw import exceptions
from clementinegw.backend import _http
from clementinegw.backend import types

MAX_EVENT_BYTES = 1024 * 1024
_BLANK_LINE = b"\n\n"
_DONE = b"data: [DONE]"
_ID = b"id:"


class AnswerStream:
    """Iterates over a `Head`, `Data` events and a final `End`.

    An answer without `End` is incomplete: the iterator raises
    `exceptions.BackendLost` instead of ending early. `aclose` closes the
    connection unless the answer is complete, which makes the engine stop
    generating.
    """

    def __init__(self, response: aiohttp.ClientResponse, operation: str):
        self._response = response
        self._operation = operation
        self._events = self._read()

    def __aiter__(self) -> "AnswerStream":
        return self

    async def __anext__(self) -> types.AnswerEvent:
        return await self._events.__anext__()

    async def aclose(self) -> None:
        """Closes the exchange; an engine that still generates then stops."""
        await self._events.aclose()  # type: ignore[attr-defined]
        self._response.close()

    async def _read(self) -> AsyncIterator[types.AnswerEvent]:
        response = self._response
        yield _make_head(response)
        with _http.translate_errors(self._operation):
            if response.content_type == "text/event-stream":
                source = _read_events(response.content)
            else:
                source = _read_body(response)
            async for event in source:
                yield event
        response.release()


def _make_head(response: aiohttp.ClientResponse) -> types.Head:
    headers = response.headers
    return types.Head(
        status=response.status,
        headers=_http.end_to_end_headers(headers),
        version=headers.get(types.VERSION_HEADER, ""),
        digest=headers.get(types.DIGEST_HEADER, ""),
        refused=headers.get(types.REFUSED_HEADER, ""),
    )


async def _read_body(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[types.AnswerEvent]:
    body = await response.read()
    tokens = _completion_tokens(body)
    yield types.Data(body, tokens)
    yield types.End(tokens)


def _completion_tokens(body: bytes) -> int:
    try:
        return int(json.loads(body)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0


async def _read_events(
    content: aiohttp.StreamReader,
) -> AsyncIterator[types.AnswerEvent]:
    buffer = b""
    tokens = 0
    while True:
        data = await content.readany()
        if not data:
            # The body of a server that crashes between two events ends like
            # that of a complete answer; only the final event distinguishes
            # them.
            raise exceptions.BackendLost("stream ended without its last event")
        buffer += data
        while (end := buffer.find(_BLANK_LINE)) >= 0:
            event = buffer[: end + len(_BLANK_LINE)]
            buffer = buffer[end + len(_BLANK_LINE) :]
            tokens = _event_tokens(event, tokens)
            yield types.Data(event, tokens)
            if event.startswith(_DONE):
                yield types.End(tokens)
                return
        if len(buffer) > MAX_EVENT_BYTES:
            raise exceptions.BackendLost("an event exceeds its limit")


def _event_tokens(event: bytes, previous: int) -> int:
    if not event.startswith(_ID):
        return previous
    return int(event[len(_ID) : event.find(b"\n")])
