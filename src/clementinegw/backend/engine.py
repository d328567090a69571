"""HTTP client of a model engine and of its host's staging memory."""

import dataclasses
from typing import Annotated, Any

import aiohttp
import multidict
import pydantic

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

# Messages to entries carry capacities in 32 bits and hashes in 64 bits, both
# signed.
_MAX_CAPACITY = (1 << 31) - 1
_HASH_END = 1 << 63

_STAGE_RESULTS = {
    _HTTP_OK: types.StageResult.STORED,
    _HTTP_CREATED: types.StageResult.STORED,
    422: types.StageResult.CORRUPT,
    507: types.StageResult.FULL,
}


AnswerStream = _stream.AnswerStream


@dataclasses.dataclass(frozen=True, slots=True)
class _CancelAnswer:
    """The answer to a cancellation."""

    state: types.CancelState


def _check_status(status: types.EngineStatus) -> types.EngineStatus:
    """Returns a status whose numbers fit into the messages to entries."""
    if not 0 <= status.capacity <= _MAX_CAPACITY:
        raise ValueError(f"capacity {status.capacity} is out of range")
    return status


def _check_events(events: types.CacheEvents) -> types.CacheEvents:
    """Returns cache events whose hashes fit into the messages to entries."""
    for event in events.events:
        if not all(-_HASH_END <= block < _HASH_END for block in event.blocks):
            raise ValueError(f"event {event.sequence} has a block out of range")
    return events


_STATUS = pydantic.TypeAdapter(
    Annotated[types.EngineStatus, pydantic.AfterValidator(_check_status)]
)
_CACHE_EVENTS = pydantic.TypeAdapter(
    Annotated[types.CacheEvents, pydantic.AfterValidator(_check_events)]
)
_STAGING_STATUS = pydantic.TypeAdapter(types.StagingStatus)
_CANCEL_ANSWER = pydantic.TypeAdapter(_CancelAnswer)


class EngineClient:
    """Sends requests and orders to one model engine, without retries.

    Every method raises `exceptions.BackendUnreachable` when nothing was sent,
    and `exceptions.BackendLost` when the call may have taken effect.
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        order_timeout_s: float = ORDER_TIMEOUT_S,
        query_timeout_s: float = QUERY_TIMEOUT_S,
    ):
        """Initializes the client.

        Args:
          base_url: Scheme, address and port.
          session: A session from `sessions.create`, shared by the clients of
            one process.
          idle_timeout_s: Timeout between two received pieces of an answer, in
            seconds.
          order_timeout_s: Timeout of an order, including a load, and of a
            transfer of a chunk or a KV cache, in seconds.
          query_timeout_s: Timeout of any other call, in seconds.
        """
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._answer_timeout = _http.timeout(None, idle_timeout_s)
        self._order_timeout = _http.timeout(order_timeout_s)
        self._query_timeout = _http.timeout(query_timeout_s)

    async def complete(self, request: types.Completion) -> AnswerStream:
        """Sends a request and returns the events of its answer.

        Args:
          request: The request.

        Returns:
          An iterator over a Head, Data events and an End. It raises
          `exceptions.BackendLost` when the answer is truncated.
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
        """Resumes an interrupted stream, on this or another engine.

        Args:
          request: The request as it was first sent.
          tokens: Number of tokens that the caller has received.
          version: The version that the stream started with.

        Returns:
          The events after those tokens. `Head.refused` is `wrong_version` when
          the engine serves another version.
        """
        return await self.complete(
            dataclasses.replace(request, resume_tokens=tokens, version=version)
        )

    async def cancel(self, request_id: str) -> types.CancelState:
        """Cancels a request and returns the state it was in."""
        answer = await self._post("/cancel", {"request_id": request_id})
        with _http.translate_errors(f"cancel at {self._base_url}"):
            return _CANCEL_ANSWER.validate_python(answer).state

    async def stage_chunk(
        self, chunk_digest: str, data: bytes
    ) -> types.StageResult:
        """Sends a chunk to the staging memory, which verifies its digest."""
        with _http.translate_errors(f"stage at {self._base_url}"):
            async with self._session.put(
                f"{self._base_url}/staging/{chunk_digest}",
                data=data,
                timeout=self._order_timeout,
            ) as response:
                await response.read()
                return _STAGE_RESULTS[response.status]

    async def get_staged_chunk(self, chunk_digest: str) -> bytes | None:
        """Returns a staged chunk; None when it is not staged.

        The caller must verify the digest: the chunk may have been corrupted in
        the host's memory.
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
        """Removes a chunk from the staging memory."""
        with _http.translate_errors(f"unstage at {self._base_url}"):
            async with self._session.delete(
                f"{self._base_url}/staging/{chunk_digest}",
                timeout=self._query_timeout,
            ) as response:
                await response.read()

    async def staging_status(self) -> types.StagingStatus:
        """Returns the staged digests and the memory they use."""
        answer = await self._get("/staging")
        with _http.translate_errors(f"staging at {self._base_url}"):
            return _STAGING_STATUS.validate_python(answer)

    async def load(
        self, order: types.LoadOrder
    ) -> types.LoadReport | types.OrderRefused:
        """Orders a load of staged chunks and returns the engine's report."""
        answer = await self._order("/orders/load", dataclasses.asdict(order))
        if isinstance(answer, types.OrderRefused):
            return answer
        return types.LoadReport(
            answer["version"], answer["digest"], answer["fencing"]
        )

    async def load_adapter(
        self, order: types.AdapterOrder
    ) -> types.LoadReport | types.OrderRefused:
        """Orders a load of an adapter and returns the engine's report."""
        answer = await self._order("/orders/adapter", dataclasses.asdict(order))
        if isinstance(answer, types.OrderRefused):
            return answer
        return types.LoadReport(
            answer["version"], answer["digest"], answer["fencing"]
        )

    async def set_role(
        self, role: types.EngineRole, fencing: int
    ) -> types.OrderDone | types.OrderRefused:
        """Orders the engine to change its role."""
        answer = await self._order(
            "/orders/role", {"role": role.value, "fencing": fencing}
        )
        if isinstance(answer, types.OrderRefused):
            return answer
        return types.OrderDone(answer["fencing"])

    async def status(self) -> types.EngineStatus:
        """Returns the status that the engine reports."""
        answer = await self._get("/status")
        with _http.translate_errors(f"status at {self._base_url}"):
            return _parse_status(answer)

    async def cache_events(self, after: int) -> types.CacheEvents:
        """Returns the cache events with a sequence number above `after`."""
        answer = await self._get(f"/cache/events?after={after}")
        with _http.translate_errors(f"cache events at {self._base_url}"):
            return _CACHE_EVENTS.validate_python(answer)

    async def export_kv(self, request_id: str) -> bytes | None:
        """Returns the KV cache of a running request; None if it has none."""
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
        """Imports an exported KV cache and returns whether it was accepted.

        Only an engine with the same weights accepts it.
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


def _parse_status(answer: Any) -> types.EngineStatus:
    """Returns an engine's status; ignores fields that are not known.

    Raises:
      ValueError: A field is missing or malformed.
    """
    if not isinstance(answer, dict):
        raise ValueError("expected an object")
    adapters = answer.get("adapters")
    if isinstance(adapters, dict):
        adapters = tuple(sorted(adapters.items()))
    return _STATUS.validate_python({**answer, "adapters": adapters})


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
    # A caller's own header of that name is removed even when there is no value
    # to set: otherwise it could skip tokens of the answer or make the request
    # be taken for another one.
    for name, value in optional.items():
        headers.popall(name, None)
        if value:
            headers[name] = value
    return headers
