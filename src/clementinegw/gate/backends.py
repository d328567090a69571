"""The gate's interface to backend servers, for engines and plain services."""

from collections.abc import AsyncGenerator
import dataclasses
from typing import Protocol

from clementinegw import exceptions
from clementinegw import types
from clementinegw.backend import engine
from clementinegw.backend import service
from clementinegw.backend import types as backend_types
from clementinegw.wire.gen.requests import ttypes

_PRIORITIES = {int(priority): priority for priority in types.Priority}
AnswerEvents = AsyncGenerator[backend_types.AnswerEvent, None]


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """The result of a probe.

    Attributes:
      up: Whether the backend server responded.
      version: The version it reports; empty for a plain service.
      digest: The digest of its weights; empty for a plain service.
      load: The load it reports; 0.0 for a plain service.
      capacity: How many requests it runs at once; 0 if not reported.
    """

    up: bool
    version: str = ""
    digest: str = ""
    load: float = 0.0
    capacity: int = 0


class Backend(Protocol):
    """The operations that the gate needs of a backend server."""

    @property
    def kind(self) -> types.ServiceKind:
        """The kind of service it belongs to."""

    def start(self, submit: ttypes.Submit) -> AnswerEvents:
        """Hands an attempt over and iterates over head, data and end.

        Raises:
          exceptions.BackendUnreachable: Nothing was handed over; raised only
            before the first event.
          exceptions.BackendLost: The connection broke; the attempt may have
            run.
        """

    async def cancel(self, request_id: str) -> None:
        """Stops a request, if the backend server supports that."""

    async def probe(self) -> Health:
        """Returns the backend server's health.

        Raises:
          exceptions.BackendUnreachable: Its address refuses connections.
          exceptions.BackendLost: It accepts connections but does not respond.
        """

    async def prefixes(self) -> list[int]:
        """Returns hashes of cached prompt prefixes, newest last."""


class EngineBackend:
    """The backend of a model engine."""

    def __init__(self, client: engine.EngineClient, max_prefixes: int = 256):
        """Initializes the backend.

        Args:
          client: The client of the engine.
          max_prefixes: How many prefix hashes are kept at most.
        """
        self._client = client
        self._max_prefixes = max_prefixes
        self._cached: dict[int, None] = {}
        self._last_event = 0

    @property
    def kind(self) -> types.ServiceKind:
        """Always `MODEL_ENGINE`."""
        return types.ServiceKind.MODEL_ENGINE

    async def start(self, submit: ttypes.Submit) -> AnswerEvents:
        """Hands an attempt over; see `Backend`."""
        stream = await self._client.complete(_completion(submit))
        try:
            async for event in stream:
                yield event
        finally:
            await stream.aclose()

    async def cancel(self, request_id: str) -> None:
        """Stops a request; ignores an engine that cannot be reached."""
        try:
            await self._client.cancel(request_id)
        except exceptions.BackendError:
            # The engine is down or stalled; there is nothing to stop.
            return

    async def probe(self) -> Health:
        """Returns the health from the engine's status."""
        status = await self._client.status()
        return Health(
            True,
            status.version,
            status.digest,
            status.load,
            status.capacity,
        )

    async def prefixes(self) -> list[int]:
        """Reads new cache events; returns the hashes of cached prefixes."""
        events = await self._client.cache_events(self._last_event)
        if (
            events.first > self._last_event + 1
            or events.next <= self._last_event
        ):
            # Events were lost or the engine restarted. Known prefixes may have
            # been evicted since and would attract requests to an empty cache.
            self._cached.clear()
        for event in events.events:
            self._apply_event(event)
        self._last_event = events.next - 1
        while len(self._cached) > self._max_prefixes:
            del self._cached[next(iter(self._cached))]
        return list(self._cached)

    def _apply_event(self, event: backend_types.CacheEvent) -> None:
        for block in event.blocks:
            self._cached.pop(block, None)
            if event.change is backend_types.CacheChange.STORED:
                self._cached[block] = None


class PlainBackend:
    """The backend of a plain service."""

    def __init__(self, client: service.PlainClient, probe_path: str = "/"):
        """Initializes the backend.

        Args:
          client: The client of the service.
          probe_path: The path that probes request with `HEAD`.
        """
        self._client = client
        self._probe_path = probe_path

    @property
    def kind(self) -> types.ServiceKind:
        """Always `PLAIN`."""
        return types.ServiceKind.PLAIN

    async def start(self, submit: ttypes.Submit) -> AnswerEvents:
        """Hands an attempt over; see `Backend`."""
        headers = [(header.name, header.value) for header in submit.headers]
        headers.append((backend_types.REQUEST_ID_HEADER, submit.request_id))
        if submit.idempotency_key:
            headers.append((backend_types.KEY_HEADER, submit.idempotency_key))
        answer = await self._client.forward(
            submit.method, submit.path, tuple(headers), submit.body
        )
        yield backend_types.Head(answer.status, answer.headers)
        if answer.body:
            yield backend_types.Data(answer.body)
        yield backend_types.End()

    async def cancel(self, request_id: str) -> None:
        """Does nothing; a plain service cannot stop a request."""

    async def probe(self) -> Health:
        """Sends a `HEAD` request; any response counts as healthy."""
        await self._client.forward("HEAD", self._probe_path, (), b"")
        return Health(True)

    async def prefixes(self) -> list[int]:
        """Returns an empty list; a plain service has no prefix cache."""
        return []


def _completion(submit: ttypes.Submit) -> backend_types.Completion:
    return backend_types.Completion(
        request_id=submit.request_id,
        path=submit.path,
        body=submit.body,
        headers=tuple((h.name, h.value) for h in submit.headers),
        priority=_PRIORITIES.get(submit.priority, types.Priority.NORMAL),
        key=submit.idempotency_key,
        resume_tokens=submit.resume_tokens,
        version=submit.version,
    )
