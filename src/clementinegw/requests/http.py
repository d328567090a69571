"""HTTP handlers for callers: OpenAI-style completions and plain services."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import itertools
import json
import secrets

from aiohttp import web

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import _events
from clementinegw.requests import _http_parse
from clementinegw.requests import _http_reply
from clementinegw.requests import pipeline as pipeline_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import errors
from clementinegw.telemetry import logs
from clementinegw.wire import connection as connection_lib

# The service of a completion is named in the body, so the body is read before
# the limit of the service is known.
MAX_COMPLETION_BYTES = 8 << 20
# A frame above the limit of the wire would end the connection to an agent; a
# part of it is left to the headers.
MAX_BODY_BYTES = connection_lib.MAX_FRAME_BYTES - (4 << 20)
_MAX_TARGET_CHARS = 120
_MS_PER_S = 1000.0

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_Parser = Callable[[web.Request, str], Awaitable[request_types.Request]]


class Handlers:
    """The HTTP handlers of one entry."""

    def __init__(
        self,
        pipeline: pipeline_lib.Pipeline,
        clock: clock_lib.Clock,
        log: logs.Log,
        counters: counters_lib.Counters,
        entry: str,
    ):
        """Prepares the handlers.

        Args:
          pipeline: Runs the requests.
          clock: The source of time.
          log: Receives the end of each request.
          counters: Counts the outcomes.
          entry: The instance id of this entry, a part of each request id.
        """
        self._pipeline = pipeline
        self._clock = clock
        self._log = log
        self._counters = counters
        self._stopping = False
        self._ids = itertools.count(1)
        # A restarted entry must not reuse an id, because an agent may still
        # have a record of the attempts made before the restart.
        self._id_prefix = f"{entry}-{secrets.token_hex(4)}"

    def add_to(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_post("/v1/completions", self._completion)
        app.router.add_post("/v1/chat/completions", self._completion)
        app.router.add_route("*", "/services/{service}", self._plain)
        app.router.add_route("*", "/services/{service}/{rest:.*}", self._plain)
        app.middlewares.append(self._refuse_unrouted)
        app.on_shutdown.append(self._on_shutdown)

    @web.middleware
    async def _refuse_unrouted(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Answers requests that no route takes, like other rejections."""
        try:
            return await handler(request)
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as error:
            call = self._new_call(request)
            outcome = types.NotRun(types.NotRunReason.UNKNOWN_SERVICE)
            self._counters.add(f"requests.not_run.{outcome.reason.value}")
            response = _http_reply.to_response(
                call.request_id, outcome, error.status
            )
            if "Allow" in error.headers:
                response.headers["Allow"] = error.headers["Allow"]
            self._record_ended(call, outcome, error.status)
            return response

    async def _completion(self, http: web.Request) -> web.StreamResponse:
        return await self._serve(http, self._parse_completion)

    async def _plain(self, http: web.Request) -> web.StreamResponse:
        return await self._serve(http, self._parse_plain_call)

    async def _parse_completion(
        self, http: web.Request, request_id: str
    ) -> request_types.Request:
        body = await _http_parse.read_body(http, MAX_COMPLETION_BYTES)
        return _http_parse.parse_completion(
            http, body, request_id, self._pipeline.rules, self._clock.now()
        )

    async def _parse_plain_call(
        self, http: web.Request, request_id: str
    ) -> request_types.Request:
        return await _http_parse.parse_plain_call(
            http,
            request_id,
            self._pipeline.rules,
            self._clock.now(),
            MAX_BODY_BYTES,
        )

    async def _serve(
        self, http: web.Request, parse: _Parser
    ) -> web.StreamResponse:
        """Answers one request and records how it ended."""
        call = self._new_call(http)
        try:
            outcome, status = await self._determine_outcome(http, call, parse)
            return await self._send(call, outcome, status)
        except asyncio.CancelledError:
            self._record_left(call)
            raise
        except (request_types.CallerDisconnected, ConnectionError):
            self._record_left(call)
            # The response is never sent; it only ends the handler.
            return web.Response(status=_http_reply.CALLER_DISCONNECTED_STATUS)
        except Exception as error:
            # The answer has begun or cannot be sent; aiohttp ends the
            # connection, so that the answer does not look complete.
            self._record_ended(call, self._record_failed(call, error), 0)
            raise

    async def _determine_outcome(
        self, http: web.Request, call: "_Call", parse: _Parser
    ) -> tuple[types.Outcome, int | None]:
        """Parses and runs a request.

        Returns:
          Its outcome, and the HTTP status of a rejection; None for the status
          of the outcome.

        Raises:
          CallerDisconnected: The caller has disconnected.
        """
        try:
            call.request = request = await self._parse(http, call, parse)
            if request.stream:
                call.sink = _http_reply.HttpSink(call.writer, request)
            return await self._run(call, request), None
        except _http_parse.BadRequest as error:
            self._counters.add(f"requests.not_run.{error.reason.value}")
            return types.NotRun(error.reason, None, str(error)), error.status
        except request_types.CallerDisconnected:
            raise
        except Exception as error:
            # An unexpected error must not result in a plain 500, which would
            # report neither the outcome nor the request id.
            return self._record_failed(call, error), None

    async def _parse(
        self, http: web.Request, call: "_Call", parse: _Parser
    ) -> request_types.Request:
        try:
            return await parse(http, call.request_id)
        except ConnectionError as error:
            raise request_types.CallerDisconnected from error

    async def _send(
        self,
        call: "_Call",
        outcome: types.Outcome,
        status: int | None,
    ) -> web.StreamResponse:
        """Sends the answer, or the rest of a streamed one.

        Raises:
          ConnectionError: The caller has disconnected.
        """
        sink = call.sink
        if sink is not None and sink.begun:
            response = await sink.end(outcome)
            if sink.disconnected:
                raise request_types.CallerDisconnected
            if not isinstance(outcome, types.Answered):
                self._record_cut_short(call, sink, outcome)
            self._record_ended(call, outcome, response.status)
            return response
        try:
            response = _http_reply.to_response(call.request_id, outcome, status)
        except ValueError as error:
            outcome = self._record_failed(call, error)
            response = _http_reply.to_response(call.request_id, outcome)
        await call.writer.send(response)
        self._record_ended(call, outcome, response.status)
        return response

    async def _run(
        self, call: "_Call", request: request_types.Request
    ) -> types.Outcome:
        if request.idempotent:
            return await self._pipeline.run(request, call.sink)
        # If the caller disconnects, a request that must not run twice still
        # runs to its end, so that a retry with the same key gets its outcome.
        task = asyncio.ensure_future(self._pipeline.run(request, call.sink))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(
                lambda task: self._record_undelivered(call, task)
            )
            raise

    def _record_ended(
        self,
        call: "_Call",
        outcome: types.Outcome | str,
        status: int,
        reason: str = "",
    ) -> None:
        kind = (
            outcome if isinstance(outcome, str) else _http_reply.kind(outcome)
        )
        if isinstance(outcome, types.NotRun | types.Unknown):
            reason = outcome.reason.value
        request = call.request
        self._log.write(
            _events.REQUEST_ENDED,
            request=call.request_id,
            service="" if request is None else request.service,
            customer="" if request is None else request.customer,
            target=call.target[:_MAX_TARGET_CHARS],
            outcome=kind,
            reason=reason,
            status=status,
            bytes=0 if call.sink is None else call.sink.bytes_sent,
            total_ms=round((self._clock.now() - call.started_at) * _MS_PER_S),
        )

    def _record_left(self, call: "_Call") -> None:
        """Records that the caller left, or that the entry had to stop."""
        reason = "stopped" if self._stopping else "closed"
        if call.writer.slow:
            reason = "slow"
        self._counters.add("requests.caller_left")
        self._record_ended(call, "caller_left", 0, reason)

    def _record_cut_short(
        self,
        call: "_Call",
        sink: _http_reply.HttpSink,
        outcome: types.NotRun | types.Unknown,
    ) -> None:
        self._counters.add(f"requests.cut_short.{outcome.reason.value}")
        self._log.write(
            _events.ANSWER_CUT_SHORT,
            request=call.request_id,
            reason=outcome.reason.value,
            detail=outcome.detail,
            bytes=sink.bytes_sent,
        )

    def _record_failed(self, call: "_Call", error: Exception) -> types.Unknown:
        """Records an unexpected error and returns the outcome to report."""
        self._counters.add("requests.handler_failed")
        self._log.write(
            _events.HANDLER_FAILED,
            request=call.request_id,
            **errors.describe(error),
        )
        return types.Unknown(types.UnknownReason.HOLDER_LOST)

    def _record_undelivered(
        self, call: "_Call", task: asyncio.Task[types.Outcome]
    ) -> None:
        if task.cancelled():
            outcome: types.Outcome = types.Unknown(
                types.UnknownReason.HOLDER_LOST
            )
        elif isinstance(error := task.exception(), Exception):
            outcome = self._record_failed(call, error)
        else:
            outcome = task.result()
        self._log.write(
            _events.OUTCOME_UNDELIVERED,
            request=call.request_id,
            outcome=_http_reply.kind(outcome),
            reason=""
            if isinstance(outcome, types.Answered)
            else outcome.reason.value,
        )

    def _new_call(self, http: web.Request) -> "_Call":
        return _Call(
            f"{self._id_prefix}-{next(self._ids)}",
            http.path_qs,
            self._clock.now(),
            _http_reply.Writer(http),
        )

    async def _on_shutdown(self, app: web.Application) -> None:
        del app
        self._stopping = True


@dataclasses.dataclass(slots=True)
class _Call:
    """A caller's request, as far as it is known.

    Attributes:
      request_id: The id of the request.
      target: The path and query.
      started_at: When its head was received, in monotonic seconds.
      writer: Writes to the caller's connection.
      request: The request; None until it is parsed.
      sink: Sends a streamed answer; None for other answers.
    """

    request_id: str
    target: str
    started_at: float
    writer: _http_reply.Writer
    request: request_types.Request | None = None
    sink: _http_reply.HttpSink | None = None


def make_app(handlers: Handlers) -> web.Application:
    """Returns an application with the callers' routes."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    handlers.add_to(app)
    return app


def make_runner(app: web.Application) -> web.AppRunner:
    """Returns a runner that cancels a handler when its caller disconnects."""
    return web.AppRunner(
        app, handler_cancellation=True, access_log=None, keepalive_timeout=75.0
    )


def error_body(outcome: types.Outcome) -> bytes:
    """Returns the JSON body for an outcome other than an answer."""
    return json.dumps(_http_reply.error_document(outcome)).encode()
