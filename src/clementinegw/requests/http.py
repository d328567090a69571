"""HTTP handlers for callers: OpenAI-style completions and plain services."""

import asyncio
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
from clementinegw.telemetry import logs

# The service of a completion is named in the body, so the body is read before
# the limit of the service is known.
MAX_COMPLETION_BYTES = 8 << 20
MAX_BODY_BYTES = 64 << 20


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
          log: Receives the unexpected errors.
          counters: Counts the outcomes.
          entry: The instance id of this entry, a part of each request id.
        """
        self._pipeline = pipeline
        self._clock = clock
        self._log = log
        self._counters = counters
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

    async def _completion(self, http: web.Request) -> web.StreamResponse:
        request_id = self._next_id()
        try:
            body = await _http_parse.read_body(http, MAX_COMPLETION_BYTES)
            request = _http_parse.parse_completion(
                http, body, request_id, self._pipeline.rules, self._clock.now()
            )
        except _http_parse.BadRequest as error:
            return self._reject(request_id, error)
        return await self._respond(http, request)

    async def _plain(self, http: web.Request) -> web.StreamResponse:
        request_id = self._next_id()
        try:
            request = await _http_parse.parse_plain_call(
                http,
                request_id,
                self._pipeline.rules,
                self._clock.now(),
                MAX_BODY_BYTES,
            )
        except _http_parse.BadRequest as error:
            return self._reject(request_id, error)
        return await self._respond(http, request)

    async def _respond(
        self, http: web.Request, request: request_types.Request
    ) -> web.StreamResponse:
        sink = _http_reply.HttpSink(http, request) if request.stream else None
        try:
            outcome = await self._run(request, sink)
        except request_types.CallerDisconnected:
            # The response is never sent; it only ends the handler.
            return web.Response(status=_http_reply.CALLER_DISCONNECTED_STATUS)
        except Exception as error:
            # An unexpected error must not result in a plain 500, which would
            # report neither the outcome nor the request id.
            self._counters.add("requests.handler_failed")
            self._log.write(
                _events.HANDLER_FAILED,
                request=request.request_id,
                error=f"{type(error).__name__}: {error}",
            )
            outcome = types.Unknown(types.UnknownReason.HOLDER_LOST)
        if sink is not None and sink.begun:
            return await sink.end(outcome)
        return _http_reply.to_response(request.request_id, outcome)

    async def _run(
        self,
        request: request_types.Request,
        sink: request_types.Sink | None,
    ) -> types.Outcome:
        if request.idempotent:
            return await self._pipeline.run(request, sink)
        # If the caller disconnects, a request that must not run twice still
        # runs to its end, so that a retry with the same key gets its outcome.
        return await asyncio.shield(
            asyncio.ensure_future(self._pipeline.run(request, sink))
        )

    def _next_id(self) -> str:
        return f"{self._id_prefix}-{next(self._ids)}"

    def _reject(
        self, request_id: str, error: _http_parse.BadRequest
    ) -> web.Response:
        outcome = types.NotRun(error.reason, None, str(error))
        self._counters.add(f"requests.not_run.{error.reason.value}")
        return _http_reply.to_response(request_id, outcome, error.status)


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
