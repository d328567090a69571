"""The HTTP handlers of an engine stand-in for orders, staging and status."""

import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

from clementinegw.backend import types
from clementinegw.testing import _engine_completions
from clementinegw.testing import _engine_faults
from clementinegw.testing import _engine_server
from clementinegw.testing import _engine_state
from clementinegw.testing import _engine_weights

_STAGE_STATUS = {
    types.StageResult.STORED: 201,
    types.StageResult.CORRUPT: 422,
    types.StageResult.FULL: 507,
}


class ControlHandlers:
    """The handlers of all requests other than completions."""

    def __init__(
        self,
        state: _engine_state.EngineState,
        completion_handler: _engine_completions.CompletionHandler,
    ):
        """Creates the handlers of one engine.

        Args:
          state: The engine's state.
          completion_handler: The owner of the active requests and of the role.
        """
        self._state = state
        self._completion_handler = completion_handler
        self._order_lock = asyncio.Lock()

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes; `Faults.answers_to_drop` uses their names."""
        return [
            web.post("/cancel", self._cancel, name="cancel"),
            web.get("/staging", self._staging_status, name="staging"),
            web.put("/staging/{digest}", self._stage, name="stage"),
            web.get("/staging/{digest}", self._get_staged, name="staged"),
            web.delete("/staging/{digest}", self._unstage, name="unstage"),
            web.post("/orders/load", self._order_load, name="load"),
            web.post("/orders/adapter", self._order_adapter, name="adapter"),
            web.post("/orders/role", self._order_role, name="role"),
            web.get("/status", self._status, name="status"),
            web.get("/cache/events", self._cache_events, name="cache_events"),
            web.get("/kv/{request_id}", self._export_kv, name="kv_export"),
            web.put("/kv/{request_id}", self._import_kv, name="kv_import"),
        ]

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = (await request.json())["request_id"]
        generation = self._completion_handler.generations.get(request_id)
        if generation is None or generation.cancelled:
            return _cancel_response(types.CancelState.UNKNOWN)
        generation.cancelled = True
        generation.task.cancel()
        if generation.running:
            return _cancel_response(types.CancelState.RUNNING)
        return _cancel_response(types.CancelState.WAITING)

    async def _staging_status(self, request: web.Request) -> web.Response:
        status = dataclasses.asdict(self._state.staging.status())
        return _engine_server.json_response(status)

    async def _stage(self, request: web.Request) -> web.Response:
        data = await request.read()
        result = self._state.staging.put(request.match_info["digest"], data)
        return web.Response(status=_STAGE_STATUS[result])

    async def _get_staged(self, request: web.Request) -> web.Response:
        data = self._state.staging.get(request.match_info["digest"])
        if data is None:
            return web.Response(status=404)
        if self._state.faults.corrupt_staged:
            data = _engine_faults.corrupt_middle_byte(data)
        return web.Response(body=data)

    async def _unstage(self, request: web.Request) -> web.Response:
        self._state.staging.remove(request.match_info["digest"])
        return web.Response(status=204)

    async def _order_load(self, request: web.Request) -> web.Response:
        body = await request.json()
        body["chunks"] = tuple(body["chunks"])
        order = types.LoadOrder(**body)
        return await self._state.server.run_shielded(self._load_weights(order))

    async def _load_weights(self, order: types.LoadOrder) -> web.Response:
        async with self._order_lock:
            refusal = self._check_order(order.fencing, order.chunks)
            if refusal is not None:
                return refusal
            self._record_fencing(order.fencing)
            await self._state.loader.load(order)
            self._state.cache.clear(self._state.clock.now())
            weights = self._state.loader.weights
            return _load_response(
                weights.version, weights.digest, order.fencing
            )

    async def _order_adapter(self, request: web.Request) -> web.Response:
        body = await request.json()
        body["chunks"] = tuple(body["chunks"])
        order = types.AdapterOrder(**body)
        return await self._state.server.run_shielded(self._load_adapter(order))

    async def _load_adapter(self, order: types.AdapterOrder) -> web.Response:
        async with self._order_lock:
            refusal = self._check_order(order.fencing, order.chunks)
            if refusal is not None:
                return refusal
            self._record_fencing(order.fencing)
            chunks = [
                self._state.staging.get(digest) for digest in order.chunks
            ]
            digest = types.content_digest(
                _engine_weights.chunk_digest(data or b"") for data in chunks
            )
            self._state.adapters[order.name] = (order.version, digest)
            return _load_response(order.version, digest, order.fencing)

    async def _order_role(self, request: web.Request) -> web.Response:
        body = await request.json()
        role = types.EngineRole(body["role"])
        return await self._state.server.run_shielded(
            self._set_role(role, body["fencing"])
        )

    async def _set_role(
        self, role: types.EngineRole, fencing: int
    ) -> web.Response:
        async with self._order_lock:
            refusal = self._check_order(fencing, ())
            if refusal is not None:
                return refusal
            self._record_fencing(fencing)
            self._completion_handler.role = role
            return _engine_server.json_response({"fencing": fencing})

    def _check_order(
        self, fencing: int, chunks: tuple[str, ...]
    ) -> web.Response | None:
        if (
            self._state.settings.checks_fencing
            and fencing < self._state.fencing
        ):
            return self._refusal_response(types.OrderRefusal.FENCING, ())
        missing = self._state.staging.missing(chunks)
        if missing:
            return self._refusal_response(
                types.OrderRefusal.CHUNK_MISSING, missing
            )
        return None

    def _refusal_response(
        self, reason: types.OrderRefusal, missing: tuple[str, ...]
    ) -> web.Response:
        body = {
            "reason": reason.value,
            "fencing": self._state.fencing,
            "missing": missing,
        }
        return _engine_server.json_response(body, 409)

    def _record_fencing(self, fencing: int) -> None:
        # An engine that ignores fencing numbers stores the latest one received.
        if self._state.settings.checks_fencing:
            fencing = max(fencing, self._state.fencing)
        self._state.fencing = fencing

    async def _status(self, request: web.Request) -> web.Response:
        weights = self._state.loader.weights
        running, waiting = self._state.delayed_load.report(
            self._state.clock.now()
        )
        adapters = {
            n: version for n, (version, _) in self._state.adapters.items()
        }
        body = {
            "model": weights.model,
            "version": weights.version,
            "digest": weights.digest,
            "adapters": adapters,
            "role": self._completion_handler.role.value,
            "fencing": self._state.fencing,
            "load": running / self._state.slots.capacity,
            "running": running,
            "waiting": waiting,
            "capacity": self._state.slots.capacity,
            "loading": weights.loading,
        }
        return _engine_server.json_response(body)

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = self._state.cache.events(after, self._state.clock.now())
        return _engine_server.json_response(dataclasses.asdict(events))

    async def _export_kv(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        generation = self._completion_handler.generations.get(request_id)
        if generation is None or not generation.running:
            return web.Response(status=404)
        return _engine_server.json_response(
            {
                "prompt": generation.job.prompt,
                "digest": self._state.loader.weights.digest,
                "tokens": generation.tokens,
            }
        )

    async def _import_kv(self, request: web.Request) -> web.Response:
        try:
            body: Any = json.loads(await request.read())
            digest_matches = body["digest"] == self._state.loader.weights.digest
            prompt = body["prompt"]
        except (ValueError, KeyError, TypeError):
            return web.Response(status=400)
        if not digest_matches:
            return web.Response(status=409)
        self._state.cache.match_and_store(prompt, self._state.clock.now())
        return web.Response(status=200)


def _cancel_response(state: types.CancelState) -> web.Response:
    return _engine_server.json_response({"state": state.value})


def _load_response(version: str, digest: str, fencing: int) -> web.Response:
    return _engine_server.json_response(
        {"version": version, "digest": digest, "fencing": fencing}
    )
