"""The backend server as the gate sees it: start, cancel, probe."""

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
    """What a probe found.

    Attributes:
      up: Whether the backend server answers.
      version: The version it says it serves; empty for a plain service.
      digest: The digest of its weights; empty for a plain service.
      load: Its own word on its load; 0.0 for a plain service.
      capacity: The most it runs at once; 0 when it does not say.
    """

    up: bool
    version: str = ""
    digest: str = ""
    load: float = 0.0
    capacity: int = 0


class Backend(Protocol):
    """One backend server."""

    @property
    def kind(self) -> types.ServiceKind:
        """What it is."""

    def start(self, submit: ttypes.Submit) -> AnswerEvents:
        """Hands an attempt over; iterates over head, data and end.

        Raises:
          exceptions.BackendUnreachable: Before the first event: nothing was
            handed over.
          exceptions.BackendLost: It may have run.
        """

    async def cancel(self, request_id: str) -> None:
        """Stops a request; does nothing when that cannot be done."""

    async def probe(self) -> Health:
        """Asks for a sign of life.

        Raises:
          exceptions.BackendUnreachable: Nobody listens there.
          exceptions.BackendLost: It listens and does not answer.
        """

    async def prefixes(self) -> list[int]:
        """Returns hashes of cached prompt prefixes, newest last."""


class EngineBackend:
    """A model engine."""

    def __init__(self, client: engine.EngineClient, max_prefixes: int = 256):
        """Wraps a client.

        Args:
          client: Speaks to the engine.
          max_prefixes: The most prefix hashes that are kept.
        """
        self._client = client
        self._max_prefixes = max_prefixes
        self._cached: dict[int, None] = {}
        self._last_event = 0

    @property
    def kind(self) -> types.ServiceKind:
        """A model engine."""
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
        """Stops a request."""
        try:
            await self._client.cancel(request_id)
        except exceptions.BackendError:
            # The engine is gone or stalled; there is nothing left to stop.
            return

    async def probe(self) -> Health:
        """Asks the engine for its status."""
        status = await self._client.status()
        return Health(
            True,
            status.version,
            status.digest,
            status.load,
            status.capacity,
        )

    async def prefixes(self) -> list[int]:
        """Follows the engine's cache events."""
        events = await self._client.cache_events(self._last_event)
        if (
            events.first > self._last_event + 1
            or events.next <= self._last_event
        ):
            # Events were lost, or the engine began anew: what was kept may
            # have been evicted unseen, and would draw requests to a cache
            # that is no longer there.
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
    """A plain service."""

    def __init__(self, client: service.PlainClient, probe_path: str = "/"):
        """Wraps a client.

        Args:
          client: Speaks to the service.
          probe_path: Asked for by `HEAD` to see whether anybody listens.
        """
        self._client = client
        self._probe_path = probe_path

    @property
    def kind(self) -> types.ServiceKind:
        """A plain service."""
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
        """A plain service cannot stop a request."""

    async def probe(self) -> Health:
        """Asks for any answer at all."""
        await self._client.forward("HEAD", self._probe_path, (), b"")
        return Health(True)

    async def prefixes(self) -> list[int]:
        """A plain service has none."""
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
