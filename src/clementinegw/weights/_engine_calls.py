"""Questions and orders to the engine, and what becomes of them."""

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
    """Carries out the loader's questions and orders."""

    def __init__(
        self,
        engine: _service_types.Engine,
        loader: loaders.Loader,
        clock: clocks.Clock,
        log: logs.Log,
    ):
        """Prepares; nothing is sent yet.

        Args:
          engine: The engine's client.
          loader: Takes the answers.
          clock: The source of time.
          log: Where events go.
        """
        self._engine = engine
        self._loader = loader
        self._clock = clock
        self._log = log

    async def query_status(
        self, action: _loader_types.QueryStatus
    ) -> loaders.Actions:
        """Asks for the status and returns what the loader makes of it."""
        try:
            status = await self._engine.status()
        except exceptions.BackendError:
            return self._loader.on_no_status(self._clock.now(), action.number)
        return self._loader.on_status(self._clock.now(), action.number, status)

    async def send_order(
        self, action: _loader_types.SendOrder, timeout_s: float
    ) -> loaders.Actions:
        """Sends an order and returns what the loader makes of its outcome.

        Args:
          action: The order.
          timeout_s: How long to wait for the report.
        """
        target, number = action.target, action.number
        # A process that was paused since the decision would bring an order of
        # the past to an engine that may follow another agent by now.
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
    """What an order has loaded by the engine's reports.

    Attributes:
      digest: The content digest of the model; empty when none was loaded.
      adapters: Names and versions of adapters with the right digest.
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
