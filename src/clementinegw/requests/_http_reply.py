"""Builds the HTTP responses for outcomes of requests."""

import asyncio
from collections.abc import Iterator
import contextlib
import json
import math
import re

from aiohttp import web

from clementinegw import types
from clementinegw.requests import types as request_types

# Never sent: it ends the handler of a caller that has disconnected.
CALLER_DISCONNECTED_STATUS = 499

_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_STATUS_BY_REASON: dict[str, int] = {
    types.NotRunReason.RATE_LIMITED: 429,
    types.NotRunReason.TOKEN_LIMITED: 429,
    types.NotRunReason.CLAIM_LOST: 409,
    types.NotRunReason.ALREADY_RUN: 409,
    types.NotRunReason.KEY_EXPIRED: 409,
    types.NotRunReason.KEY_REUSED: 409,
    types.NotRunReason.UNKNOWN_SERVICE: 404,
    types.NotRunReason.BAD_REQUEST: 400,
    types.NotRunReason.TOO_LARGE: 413,
}
_UNKNOWN_DEADLINE_STATUS = 504
# The interval between checks of whether a caller reads, in seconds.
_READ_CHECK_INTERVAL_S = 5.0
_UNSENDABLE = re.compile(r"[\r\n\0]")
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "content-encoding",
    }
)


def to_response(
    request_id: str, outcome: types.Outcome, status: int | None = None
) -> web.Response:
    """Returns the complete response for an outcome.

    Args:
      request_id: The id of the request.
      outcome: The outcome of the request.
      status: The HTTP status of a response other than an answer; None derives
        it from the reason of the outcome.

    Raises:
      ValueError: A header of the answer cannot be sent.
    """
    headers = {
        "Clementine-Request-Id": request_id,
        "Clementine-Outcome": kind(outcome),
    }
    if isinstance(outcome, types.Answered):
        result = web.Response(status=outcome.status, body=outcome.body)
        _copy_headers(outcome.headers, result)
        result.headers.update(headers)
        return result
    headers["Clementine-Reason"] = outcome.reason.value
    if isinstance(outcome, types.NotRun):
        if outcome.retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(outcome.retry_after_s))
        default = _STATUS_BY_REASON.get(outcome.reason, _NOT_RUN_STATUS)
    else:
        past_deadline = outcome.reason is types.UnknownReason.DEADLINE
        default = _UNKNOWN_DEADLINE_STATUS if past_deadline else _UNKNOWN_STATUS
    return web.json_response(
        error_document(outcome), status=status or default, headers=headers
    )


def kind(outcome: types.Outcome) -> str:
    """Returns the name of an outcome in headers and log lines."""
    if isinstance(outcome, types.Answered):
        return "answered"
    return "not-run" if isinstance(outcome, types.NotRun) else "unknown"


def error_document(outcome: types.Outcome) -> dict:
    """Returns the JSON object for an outcome other than an answer."""
    if isinstance(outcome, types.Answered):
        return {}
    error_type = "not_run" if isinstance(outcome, types.NotRun) else "unknown"
    message = outcome.detail or outcome.reason.value.replace("_", " ")
    return {
        "error": {
            "type": error_type,
            "code": outcome.reason.value,
            "message": message,
        }
    }


class Writer:
    """Writes an answer and closes the connection of a caller that reads none.

    Attributes:
      slow: Whether the connection was closed for that.
    """

    def __init__(self, http: web.Request):
        """Writes nothing yet.

        Args:
          http: The caller's HTTP request.
        """
        self.slow = False
        self._http = http
        self._timer: asyncio.TimerHandle | None = None

    async def send(self, response: web.Response) -> None:
        """Sends a complete response.

        Raises:
          ConnectionError: The caller has disconnected.
        """
        await self.prepare(response)
        await self.end(response)

    async def prepare(self, response: web.StreamResponse) -> None:
        """Sends the head of a response; raises as `send` does."""
        with self._watch():
            await response.prepare(self._http)

    async def write(self, response: web.StreamResponse, data: bytes) -> None:
        """Sends a part of a response; raises as `send` does."""
        with self._watch():
            await response.write(data)

    async def end(self, response: web.StreamResponse) -> None:
        """Sends the end of a response; raises as `send` does."""
        with self._watch():
            await response.write_eof()

    def close(self) -> None:
        """Closes the connection once everything was sent."""
        if self._http.transport is not None:
            self._http.transport.close()

    @contextlib.contextmanager
    def _watch(self) -> Iterator[None]:
        self._schedule_check(math.inf)
        try:
            yield
        finally:
            assert self._timer is not None
            self._timer.cancel()

    def _schedule_check(self, unsent_bytes: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            _READ_CHECK_INTERVAL_S, self._check, unsent_bytes
        )

    def _check(self, last_unsent_bytes: float) -> None:
        transport = self._http.transport
        if transport is None:
            return
        unsent_bytes = transport.get_write_buffer_size()
        if unsent_bytes >= last_unsent_bytes:
            self.slow = True
            transport.abort()
        else:
            self._schedule_check(unsent_bytes)


class HttpSink:
    """Sends a streamed answer to a caller as it is received."""

    def __init__(self, writer: Writer, request: request_types.Request):
        """Stores the request; nothing is sent yet.

        Args:
          writer: Writes to the caller's connection.
          request: The request that was parsed from it.
        """
        self._writer = writer
        self._request = request
        self._response: web.StreamResponse | None = None
        self._disconnected = False
        self._bytes_sent = 0

    @property
    def begun(self) -> bool:
        """Whether the head of the response was sent."""
        return self._response is not None

    @property
    def disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._disconnected

    @property
    def bytes_sent(self) -> int:
        """The number of bytes of the body that were sent."""
        return self._bytes_sent

    async def head(self, head: request_types.Head) -> None:
        """Sends the head of the response.

        Raises:
          CallerDisconnected: The caller disconnected, and its request is
            idempotent, so that it can be cancelled.
          ValueError: A header of the answer cannot be sent.
        """
        result = web.StreamResponse(status=head.status)
        _copy_headers(head.headers, result)
        result.headers["Clementine-Request-Id"] = self._request.request_id
        if head.version:
            result.headers["Clementine-Version"] = head.version
        self._response = result
        try:
            await self._writer.prepare(result)
        except ConnectionError:
            self._on_disconnect()

    async def data(self, data: bytes) -> None:
        """Sends a part of the body.

        Raises:
          CallerDisconnected: The caller disconnected, and its request is
            idempotent, so that it can be cancelled.
        """
        assert self._response is not None
        if self._disconnected:
            return
        try:
            await self._writer.write(self._response, data)
        except ConnectionError:
            self._on_disconnect()
            return
        self._bytes_sent += len(data)

    async def end(self, outcome: types.Outcome) -> web.StreamResponse:
        """Ends the response, or aborts it if the answer is incomplete.

        If an incomplete response ended normally, the caller would take a part
        of the answer for all of it. Instead, the caller receives an error event
        and the connection closes before the final chunk, so that every client
        detects at least one of the two.

        Args:
          outcome: The outcome of the request.
        """
        assert self._response is not None
        if self._disconnected:
            return self._response
        if isinstance(outcome, types.Answered):
            try:
                await self._writer.end(self._response)
            except ConnectionError:
                self._disconnected = True
            return self._response
        event = f"event: error\ndata: {json.dumps(error_document(outcome))}\n\n"
        try:
            await self._writer.write(self._response, event.encode())
        except ConnectionError:
            self._disconnected = True
            return self._response
        self._writer.close()
        return self._response

    def _on_disconnect(self) -> None:
        self._disconnected = True
        if self._request.idempotent:
            raise request_types.CallerDisconnected


def _copy_headers(
    headers: tuple[tuple[str, str], ...], result: web.StreamResponse
) -> None:
    for name, value in headers:
        if name in _DROPPED_HEADERS:
            continue
        if _UNSENDABLE.search(name) or _UNSENDABLE.search(value):
            raise ValueError(f"header {name!r}: expected one line")
        result.headers.add(name, value)
