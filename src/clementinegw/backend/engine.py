"""The client of a model engine and of its host's staging memory."""

import dataclasses
from typing import Any

import aiohttp
import multidict

from clementinegw.backend import _http
from clementinegw.backend import _stream
from clementinegw.backend import types

ORDER_TIMEOUT_S = 60.0
QUERY_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 30.0

_HTTP_OK = 200
_HTTP_CREATED = 201
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409

_STAGE_RESULTS = {
    _HTTP_OK: types.StageResult.STORED,
    _HTTP_CREATED: types.StageResult.STORED,
    422: types.StageResult.CORRUPT,
    507: types.StageResult.FULL,
}


AnswerStream = _stream.AnswerStream


class EngineClient:
    """Speaks to one model engine. Repeats nothing by itself.

    Every method raises `exceptions.BackendUnreachable` when nothing was handed
    over, and `exceptions.BackendLost` when it may have taken effect.
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        order_timeout_s: float = ORDER_TIMEOUT_S,
        query_timeout_s: float = QUERY_TIMEOUT_S,
    ):
        """Uses a session that `sessions.create` made.

        Args:
          base_url: Scheme, address and port.
          session: Shared by the clients of one process.
          idle_timeout_s: Longest silence within an answer.
          order_timeout_s: Longest time for an order, a load among them.
          query_timeout_s: Longest time for a question.
        """
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._answer_timeout = _http.timeout(None, idle_timeout_s)
        self._order_timeout = _http.timeout(order_timeout_s)
        self._query_timeout = _http.timeout(query_timeout_s)

    async def complete(self, request: types.Completion) -> AnswerStream:
        """Hands a request over and returns its answer's events.

        Args:
          request: The request.

        Returns:
          An iterator over a Head, Data pieces and an End. It raises
          `exceptions.BackendLost` when the answer is cut.
        """
        operation = f"complete at {self._base_url}"
        with _http.translate_errors(operation):
            response = await self._session.post(
                self._base_url + request.path,
                data=request.body,
                headers=_request_headers(request),
                timeout=self._answer_timeout,
                allow_redirects=False,
            )
        return _stream.AnswerStream(response, operation)

    async def resume(
        self, request: types.Completion, tokens: int, version: str
    ) -> AnswerStream:
        """Goes on with a stream that broke, here or at another engine.

        Args:
          request: The request as it was first sent.
          tokens: Tokens that have reached the caller.
          version: The version that the stream began with.

        Returns:
          The events after those tokens. Its Head is refused with
          `wrong_version` when the engine serves another version.
        """
        return await self.complete(
            dataclasses.replace(request, resume_tokens=tokens, version=version)
        )

    async def cancel(self, request_id: str) -> types.CancelState:
        """Stops a request."""
        answer = await self._post("/cancel", {"request_id": request_id})
        return types.CancelState(answer["state"])

    async def stage_chunk(
        self, chunk_digest: str, data: bytes
    ) -> types.StageResult:
        """Puts a chunk into the staging memory, which verifies it."""
        with _http.translate_errors(f"stage at {self._base_url}"):
            async with self._session.put(
                f"{self._base_url}/staging/{chunk_digest}",
                data=data,
                timeout=self._order_timeout,
            ) as response:
                await response.read()
                return _STAGE_RESULTS[response.status]

    async def get_staged_chunk(self, chunk_digest: str) -> bytes | None:
        """Returns a staged chunk; None when it is not there.

        The caller verifies it: memory of the host may have been damaged.
        """
        with _http.translate_errors(f"staged at {self._base_url}"):
            async with self._session.get(
                f"{self._base_url}/staging/{chunk_digest}",
                timeout=self._order_timeout,
            ) as response:
                if response.status == _HTTP_NOT_FOUND:
                    return None
                response.raise_for_status()
                return await response.read()

    async def unstage_chunk(self, chunk_digest: str) -> None:
        """Takes a chunk out of the staging memory."""
        with _http.translate_errors(f"unstage at {self._base_url}"):
            async with self._session.delete(
                f"{self._base_url}/staging/{chunk_digest}",
                timeout=self._query_timeout,
            ) as response:
                await response.read()

    async def staging_status(self) -> types.StagingStatus:
        """Returns what the staging memory holds."""
        answer = await self._get("/staging")
        return types.StagingStatus(
            tuple(answer["digests"]),
            answer["used_bytes"],
            answer["limit_bytes"],
        )

    async def load(
        self, order: types.LoadOrder
    ) -> types.LoadReport | types.OrderRefused:
        """Orders a load of staged chunks and waits for the report."""
        answer = await self._order("/orders/load", dataclasses.asdict(order))
        if isinstance(answer, types.OrderRefused):
            return answer
        return types.LoadReport(
            answer["version"], answer["digest"], answer["fencing"]
        )

    async def load_adapter(
        self, order: types.AdapterOrder
    ) -> types.LoadReport | types.OrderRefused:
        """Orders a load of an adapter and waits for the report."""
        answer = await self._order("/orders/adapter", dataclasses.asdict(order))
        if isinstance(answer, types.OrderRefused):
            return answer
        return types.LoadReport(
            answer["version"], answer["digest"], answer["fencing"]
        )

    async def set_role(
        self, role: types.EngineRole, fencing: int
    ) -> types.OrderDone | types.OrderRefused:
        """Orders another role."""
        answer = await self._order(
            "/orders/role", {"role": role.value, "fencing": fencing}
        )
        if isinstance(answer, types.OrderRefused):
            return answer
        return types.OrderDone(answer["fencing"])

    async def status(self) -> types.EngineStatus:
        """Returns what the engine says of itself."""
        answer = await self._get("/status")
        with _http.translate_errors(f"status at {self._base_url}"):
            answer["adapters"] = tuple(sorted(answer["adapters"].items()))
            answer["role"] = types.EngineRole(answer["role"])
            return types.EngineStatus(**answer)

    async def cache_events(self, after: int) -> types.CacheEvents:
        """Returns cache events whose sequence number is above `after`."""
        answer = await self._get(f"/cache/events?after={after}")
        with _http.translate_errors(f"cache events at {self._base_url}"):
            events = tuple(
                types.CacheEvent(
                    event["sequence"],
                    types.CacheChange(event["change"]),
                    tuple(event["blocks"]),
                )
                for event in answer["events"]
            )
            return types.CacheEvents(answer["first"], answer["next"], events)

    async def export_kv(self, request_id: str) -> bytes | None:
        """Returns the KV cache of a running request; None without one."""
        with _http.translate_errors(f"export at {self._base_url}"):
            async with self._session.get(
                f"{self._base_url}/kv/{request_id}",
                timeout=self._order_timeout,
            ) as response:
                if response.status == _HTTP_NOT_FOUND:
                    return None
                response.raise_for_status()
                return await response.read()

    async def import_kv(self, request_id: str, data: bytes) -> bool:
        """Puts an exported KV cache in; False when it does not fit.

        It fits an engine with the same weights only.
        """
        with _http.translate_errors(f"import at {self._base_url}"):
            async with self._session.put(
                f"{self._base_url}/kv/{request_id}",
                data=data,
                timeout=self._order_timeout,
            ) as response:
                await response.read()
                return response.status == _HTTP_OK

    async def _get(self, path: str) -> Any:
        with _http.translate_errors(f"{path} at {self._base_url}"):
            async with self._session.get(
                self._base_url + path, timeout=self._query_timeout
            ) as response:
                response.raise_for_status()
                return await response.json()

    async def _post(self, path: str, body: Any) -> Any:
        with _http.translate_errors(f"{path} at {self._base_url}"):
            async with self._session.post(
                self._base_url + path, json=body, timeout=self._query_timeout
            ) as response:
                response.raise_for_status()
                return await response.json()

    async def _order(self, path: str, body: Any) -> Any:
        with _http.translate_errors(f"{path} at {self._base_url}"):
            async with self._session.post(
                self._base_url + path, json=body, timeout=self._order_timeout
            ) as response:
                answer = await response.json()
                if response.status == _HTTP_CONFLICT:
                    return types.OrderRefused(
                        types.OrderRefusal(answer["reason"]),
                        answer["fencing"],
                        tuple(answer.get("missing", ())),
                    )
                response.raise_for_status()
                return answer


def _request_headers(
    request: types.Completion,
) -> "multidict.CIMultiDict[str]":
    headers = _http.outgoing_headers(request.headers)
    headers["Content-Type"] = "application/json"
    headers[types.REQUEST_ID_HEADER] = request.request_id
    headers[types.PRIORITY_HEADER] = request.priority.name.lower()
    optional = {
        types.KEY_HEADER: request.key,
        types.RESUME_HEADER: str(request.resume_tokens or ""),
        types.WANTED_VERSION_HEADER: request.version,
    }
    # Assigned also when empty: a caller's own header of that name would
    # otherwise skip tokens of its answer or pass for another request.
    for name, value in optional.items():
        headers.popall(name, None)
        if value:
            headers[name] = value
    return headers
