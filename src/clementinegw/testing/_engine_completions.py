"""The completion interface of an engine stand-in."""

import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

from clementinegw import types as shared
from clementinegw.backend import prefixes
from clementinegw.backend import types
from clementinegw.testing import _engine_server
from clementinegw.testing import _engine_state
from clementinegw.testing import _engine_text
from clementinegw.testing import ledger as ledgers

DEFAULT_MAX_TOKENS = 16
DEFAULT_TOKENS_PER_EVENT = 1

_PRIORITIES = {p.name.lower(): int(p) for p in shared.Priority}


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One parsed completion request.

    Attributes:
      request_id: The request's id; empty without one.
      idempotency_key: The idempotency key; empty without one.
      operation: The method and the path.
      prompt: The prompt's text.
      max_tokens: The number of tokens to generate, at least 1.
      stream: Whether the answer is streamed.
      tokens_per_event: The number of tokens in one event of a stream.
      adapter: The name of the adapter; empty without one.
      chat: Whether the request is for a chat completion.
      priority: The priority in the queue; higher values go first.
      resume_tokens: The number of tokens that the caller already has.
      wanted_version: The version of the weights to use; empty for any.
      raw_body: The request's body.
    """

    request_id: str
    idempotency_key: str
    operation: str
    prompt: str
    max_tokens: int
    stream: bool
    tokens_per_event: int
    adapter: str
    chat: bool
    priority: int
    resume_tokens: int
    wanted_version: str
    raw_body: bytes


class Generation:
    """A queued or running request, as cancel and KV export find it."""

    def __init__(self, job: Job, task: "asyncio.Task[Any]"):
        self.job = job
        self.task = task
        self.running = False
        self.cancelled = False
        self.tokens = job.resume_tokens


class CompletionHandler:
    """Handles completion requests and runs them in the batch."""

    def __init__(self, state: _engine_state.EngineState):
        """Creates a handler without requests.

        Args:
          state: The engine's state.
        """
        self.role = types.EngineRole.MIXED
        self.generations: dict[str, Generation] = {}
        self._state = state
        self._settings = state.settings
        self._slots = state.slots
        self._cache = state.cache
        self._loader = state.loader
        self._adapters = state.adapters
        self._server = state.server
        self._faults = state.faults
        self._ledger = state.ledger
        self._clock = state.clock

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles one completion request."""
        try:
            job = _parse(request, await request.read())
        except (ValueError, TypeError) as error:
            return _engine_server.json_response(
                {"error": {"message": str(error)}},
                400,
                {types.REFUSED_HEADER: "bad_request"},
            )
        refusal_reason = self._refusal_reason(job)
        if refusal_reason:
            return self._refuse(refusal_reason)
        task = asyncio.current_task()
        assert task is not None
        generation = Generation(job, task)
        self.generations[job.request_id] = generation
        try:
            return await self._run_in_slot(request, generation)
        finally:
            if self.generations.get(job.request_id) is generation:
                del self.generations[job.request_id]

    async def _run_in_slot(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        try:
            await self._slots.acquire(generation.job.priority)
        except asyncio.CancelledError:
            if not generation.cancelled:
                raise
            generation.task.uncancel()
            return self._refuse("cancelled")
        try:
            # The weights may have changed while the request was queued.
            refusal_reason = self._refusal_reason(generation.job)
            if refusal_reason:
                return self._refuse(refusal_reason)
            return await self._run(request, generation)
        finally:
            self._slots.release()

    async def _run(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        job = generation.job
        generation.running = True
        incarnation = self._server.incarnation
        run = self._ledger.start(
            job.request_id,
            job.idempotency_key,
            job.operation,
            self._state.name,
            self._clock.now(),
            job.resume_tokens,
            incarnation,
        )
        run.version = self._loader.weights.version
        end = ledgers.RunEnd.FAILED
        answer = b""
        try:
            response = await self._generate(request, generation)
            end = _run_end(generation)
            answer = _body_to_record(response)
            return response
        except (asyncio.CancelledError, ConnectionError):
            end = ledgers.RunEnd.DROPPED
            raise
        finally:
            if self._server.incarnation != incarnation:
                end = ledgers.RunEnd.CRASHED
            self._ledger.finish(run, end, self._clock.now(), answer)

    async def _generate(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        job = generation.job
        await self._prefill(job)
        if self._faults.triggers_crash(job.raw_body):
            self._state.crash(self._faults.restart_s)
            raise ConnectionResetError("the engine crashed")
        if job.stream:
            return await self._generate_stream(request, generation)
        return await self._generate_whole(generation)

    async def _prefill(self, job: Job) -> None:
        cached_tokens = self._cache.match_and_store(
            job.prompt, self._clock.now()
        )
        tokens = _engine_text.prompt_tokens(job.prompt) + job.resume_tokens
        seconds = (
            max(0, tokens - cached_tokens) / self._settings.prefill_tokens_per_s
        )
        await asyncio.sleep(seconds * self._faults.slow_factor)

    async def _generate_whole(self, generation: Generation) -> web.Response:
        job = generation.job
        start = generation.tokens
        digest = self._weights_digest(job)
        count = job.max_tokens - start
        try:
            await asyncio.sleep(self._generation_time_s(count))
            generation.tokens = job.max_tokens
        except asyncio.CancelledError:
            if not generation.cancelled:
                raise
            generation.task.uncancel()
        middle = start + (generation.tokens - start) // 2
        text = _engine_text.generate_tokens(job.prompt, digest, start, middle)
        text += _engine_text.generate_tokens(
            job.prompt, self._weights_digest(job), middle, generation.tokens
        )
        return _engine_server.json_response(
            _completion(job, text, generation), 200, self._headers(job)
        )

    async def _generate_stream(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        job = generation.job
        response = web.StreamResponse(headers=self._headers(job))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        try:
            await self._send_tokens(response, generation)
        except asyncio.CancelledError:
            if not generation.cancelled:
                raise
            generation.task.uncancel()
        last = _last_event(job, generation)
        await response.write(last + b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _send_tokens(
        self, response: web.StreamResponse, generation: Generation
    ) -> None:
        job = generation.job
        loop = asyncio.get_running_loop()
        due = loop.time()
        encoded_id = json.dumps(job.request_id)
        while generation.tokens < job.max_tokens:
            start = generation.tokens
            end = min(start + job.tokens_per_event, job.max_tokens)
            due += self._generation_time_s(end - start)
            await asyncio.sleep(max(0.0, due - loop.time()))
            await self._apply_stall(start)
            text = _engine_text.generate_tokens(
                job.prompt, self._weights_digest(job), start, end
            )
            generation.tokens = end
            await response.write(_event(job, encoded_id, text, end))

    async def _apply_stall(self, tokens: int) -> None:
        limit = self._faults.stall_after_tokens
        if limit is not None and tokens >= limit:
            self._faults.stall = True
        await self._faults.wait_before_answer()

    def _generation_time_s(self, tokens: int) -> float:
        rate = self._settings.tokens_per_s
        return tokens / rate * self._faults.slow_factor

    def _weights_digest(self, job: Job) -> str:
        digest = self._loader.weights.digest
        if not job.adapter:
            return digest
        _, adapter = self._adapters[job.adapter]
        return types.content_digest([digest, adapter])

    def _headers(self, job: Job) -> dict[str, str]:
        return {
            types.VERSION_HEADER: self._loader.weights.version,
            types.DIGEST_HEADER: self._weights_digest(job),
        }

    def _refusal_reason(self, job: Job) -> str:
        weights = self._loader.weights
        if not weights.version:
            return "no_weights"
        if job.wanted_version not in ("", weights.version):
            return "wrong_version"
        if job.adapter and job.adapter not in self._adapters:
            return "unknown_adapter"
        if self.role is types.EngineRole.PREFILL and job.max_tokens > 1:
            return "role"
        return ""

    def _refuse(self, reason: str) -> web.Response:
        return _engine_server.json_response(
            {"error": {"message": reason}},
            503,
            {
                types.REFUSED_HEADER: reason,
                types.VERSION_HEADER: self._loader.weights.version,
            },
        )


def _parse(request: web.Request, raw_body: bytes) -> Job:
    body = json.loads(raw_body)
    headers = request.headers
    prompt = prefixes.prompt_text(body)
    priority = headers.get(types.PRIORITY_HEADER, "normal")
    return Job(
        request_id=headers.get(types.REQUEST_ID_HEADER, ""),
        idempotency_key=headers.get(types.KEY_HEADER, ""),
        operation=f"{request.method} {request.path}",
        prompt=prompt,
        max_tokens=max(1, int(body.get("max_tokens", DEFAULT_MAX_TOKENS))),
        stream=bool(body.get("stream", False)),
        tokens_per_event=max(
            1, int(body.get("tokens_per_event", DEFAULT_TOKENS_PER_EVENT))
        ),
        adapter=str(body.get("adapter", "")),
        chat="messages" in body,
        priority=_PRIORITIES.get(priority, int(shared.Priority.NORMAL)),
        resume_tokens=int(headers.get(types.RESUME_HEADER) or 0),
        wanted_version=headers.get(types.WANTED_VERSION_HEADER, ""),
        raw_body=raw_body,
    )


def _event(job: Job, encoded_id: str, text: str, tokens: int) -> bytes:
    delta = (
        f'"delta":{{"content":"{text}"}}' if job.chat else f'"text":"{text}"'
    )
    return (
        f"id: {tokens}\n"
        f'data: {{"id":{encoded_id},"choices":[{{"index":0,{delta}}}]}}\n\n'
    ).encode()


def _last_event(job: Job, generation: Generation) -> bytes:
    body = {
        "id": job.request_id,
        "choices": [{"index": 0, "finish_reason": _finish_reason(generation)}],
        "usage": _usage(job, generation),
    }
    return f"id: {generation.tokens}\ndata: {json.dumps(body)}\n\n".encode()


def _completion(job: Job, text: str, generation: Generation) -> dict[str, Any]:
    choice: dict[str, Any] = {"text": text}
    if job.chat:
        choice = {"message": {"role": "assistant", "content": text}}
    choice.update(index=0, finish_reason=_finish_reason(generation))
    return {
        "id": job.request_id,
        "choices": [choice],
        "usage": _usage(job, generation),
    }


def _finish_reason(generation: Generation) -> str:
    return "cancelled" if generation.cancelled else "length"


def _usage(job: Job, generation: Generation) -> dict[str, int]:
    return {
        "prompt_tokens": _engine_text.prompt_tokens(job.prompt),
        "completion_tokens": generation.tokens,
    }


def _run_end(generation: Generation) -> ledgers.RunEnd:
    if generation.cancelled:
        return ledgers.RunEnd.CANCELLED
    return ledgers.RunEnd.FINISHED


def _body_to_record(response: web.StreamResponse) -> bytes:
    if isinstance(response, web.Response) and isinstance(response.body, bytes):
        return response.body
    return b""
