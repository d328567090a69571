"""Sends status queries and load orders to the engine."""

import asyncio
import dataclasses

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw.backend import types as backend
from clementinegw.telemetry import logs
from clementinegw.weights import _events
from clementinegw.weights import _loader_types
from clementinegw.weights import _service_types
from clementinegw.weights import loader as loaders


class EngineCalls:
    """Carries out the loader's queries and orders.

    Each method reports the outcome to the loader and returns the actions that
    follow from it.
    """

    def __init__(
        self,
        engine: _service_types.Engine,
        loader: loaders.Loader,
        clock: clocks.Clock,
        log: logs.Log,
    ):
        """Initializes the object without sending anything.

        Args:
          engine: The engine's client.
          loader: The loader that receives the outcomes.
          clock: The source of time.
          log: The log to which events are written.
        """
        self._engine = engine
        self._loader = loader
        self._clock = clock
        self._log = log

    async def query_status(
        self, action: _loader_types.QueryStatus
    ) -> loaders.Actions:
        """Queries the engine's status and returns the loader's actions."""
        try:
            status = await self._engine.status()
        except exceptions.BackendError:
            return self._loader.on_no_status(self._clock.now(), action.number)
        return self._loader.on_status(self._clock.now(), action.number, status)

    async def send_order(
        self, action: _loader_types.SendOrder, timeout_s: float
    ) -> loaders.Actions:
        """Sends a load order and returns the loader's actions on its outcome.

        Args:
          action: The order.
          timeout_s: How long to wait for the engine's report, in seconds.
        """
        target, number = action.target, action.number
        # The process may have been paused since the order was decided. A late
        # order could reach an engine that follows another agent by now.
        if self._clock.now() > action.send_before:
            self._log.write(_events.LOAD_NOT_DONE, reason="too_late")
            return self._loader.on_not_sent(self._clock.now(), number)
        self._log.write(
            _events.LOAD_ORDERED,
            version=target.version,
            revision=target.revision,
        )
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._carry_out(action)
        except exceptions.BackendUnreachable:
            self._log.write(_events.LOAD_NOT_DONE, reason="unreachable")
            return self._loader.on_not_sent(self._clock.now(), number)
        except (exceptions.BackendError, TimeoutError):
            self._log.write(_events.LOAD_NOT_DONE, reason="answer_lost")
            return self._loader.on_answer_lost(self._clock.now(), number)
        now = self._clock.now()
        if isinstance(answer, _LoadResult):
            return self._loader.on_report(
                now, number, answer.digest, frozenset(answer.adapters)
            )
        self._log.write(_events.LOAD_NOT_DONE, reason=answer.reason.value)
        return self._loader.on_refusal(now, number, answer)

    async def _carry_out(
        self, action: _loader_types.SendOrder
    ) -> "_LoadResult | backend.OrderRefused":
        target = action.target
        loaded = _LoadResult()
        if action.load_model:
            answer = await self._engine.load(_load_order(target))
            if isinstance(answer, backend.OrderRefused):
                return answer
            loaded.digest = answer.digest
            if answer.digest != target.content_digest:
                return loaded
        for adapter in action.adapters:
            answer = await self._engine.load_adapter(
                _adapter_order(adapter, target.revision)
            )
            if isinstance(answer, backend.OrderRefused):
                return answer
            self._record_adapter(adapter, answer, loaded)
        return loaded

    def _record_adapter(
        self,
        adapter: _loader_types.Adapter,
        report: backend.LoadReport,
        loaded: "_LoadResult",
    ) -> None:
        name, version = adapter.key
        if report.digest == adapter.manifest.content_digest:
            loaded.adapters.append(adapter.key)
            event = _events.ADAPTER_LOADED
        else:
            event = _events.ADAPTER_NOT_LOADED
        self._log.write(event, adapter=name, version=version)


@dataclasses.dataclass(slots=True)
class _LoadResult:
    """What the engine reported as loaded for one order.

    Attributes:
      digest: The content digest of the model; empty when no model was loaded.
      adapters: Names and versions of the adapters whose reported digest
        matches their manifest.
    """

    digest: str = ""
    adapters: list[tuple[str, str]] = dataclasses.field(default_factory=list)


def _load_order(target: loaders.Target) -> backend.LoadOrder:
    return backend.LoadOrder(
        model=target.manifest.model,
        version=target.version,
        manifest_digest=target.manifest.digest,
        chunks=target.manifest.chunk_digests,
        fencing=target.revision,
    )


def _adapter_order(
    adapter: _loader_types.Adapter, fencing: int
) -> backend.AdapterOrder:
    return backend.AdapterOrder(
        name=adapter.name,
        version=adapter.manifest.version,
        chunks=adapter.manifest.chunk_digests,
        fencing=fencing,
    )
