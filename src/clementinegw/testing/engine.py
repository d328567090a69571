"""A stand-in for a model engine that listens on a loopback socket.

Its answers depend only on the prompt and on the bytes of its weights, so that a
test can check for every answer whether it is complete, whether it belongs to
its request, and which weights generated it.
"""

from collections.abc import Sequence
import json

from aiohttp import web

from clementinegw import clock as clocks
from clementinegw import types as shared
from clementinegw.backend import types
from clementinegw.testing import _engine_completions
from clementinegw.testing import _engine_control
from clementinegw.testing import _engine_faults
from clementinegw.testing import _engine_state
from clementinegw.testing import _engine_text
from clementinegw.testing import _engine_weights
from clementinegw.testing import ledger as ledgers

_STREAM_END = b"data: [DONE]\n\n"
_DATA_PREFIX = b"data: "

Faults = _engine_faults.Faults


EngineSettings = _engine_state.EngineSettings


class EngineStandIn:
    """A model engine and the staging memory of its host."""

    def __init__(
        self,
        name: str,
        ledger: ledgers.Ledger,
        settings: EngineSettings | None = None,
        clock: clocks.Clock | None = None,
    ):
        """Creates an engine without weights that does not listen yet.

        Args:
          name: The engine's name in the ledger.
          ledger: The ledger that records the engine's runs.
          settings: The engine's capacity and speed; None for the default.
          clock: The clock for all times; None for the system clock.
        """
        self._state = _engine_state.EngineState(
            name,
            ledger,
            settings or EngineSettings(),
            clock or clocks.SystemClock(),
        )
        self._completion_handler = _engine_completions.CompletionHandler(
            self._state
        )
        self._control_handlers = _engine_control.ControlHandlers(
            self._state, self._completion_handler
        )
        self._server = self._state.server
        self._server.app.add_routes(self._routes())

    @property
    def faults(self) -> Faults:
        """The active faults, which may be changed at any time."""
        return self._state.faults

    @property
    def name(self) -> str:
        """The engine's name in the ledger."""
        return self._state.name

    @property
    def address(self) -> shared.Address:
        """The address that the engine listens on."""
        return self._server.address

    @property
    def base_url(self) -> str:
        """The URL with scheme, address and port."""
        return self._server.base_url

    @property
    def weights(self) -> _engine_weights.Weights:
        """The weights that the engine currently uses."""
        return self._state.loader.weights

    @property
    def fencing(self) -> int:
        """The fencing number of the last accepted order."""
        return self._state.fencing

    @property
    def cache_hit_ratio(self) -> float:
        """The share of all prompt tokens that were found in the cache."""
        return self._state.cache.hit_ratio

    @property
    def running(self) -> int:
        """The current number of requests in the batch."""
        return self._state.slots.running

    @property
    def waiting(self) -> int:
        """The current number of requests that wait for a slot."""
        return self._state.slots.waiting

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen; port 0 means any free port."""
        await self._server.start(shared.Address(host, port))

    async def stop(self) -> None:
        """Closes the socket and cancels all work in progress."""
        await self._server.stop()

    def preload(self, model: str, version: str, chunks: Sequence[bytes]) -> str:
        """Sets the weights without an order; returns their digest."""
        weights = self._state.loader.weights
        weights.model = model
        weights.version = version
        weights.chunk_digests = [
            _engine_weights.chunk_digest(c) for c in chunks
        ]
        weights.update_digest()
        return weights.digest

    def crash(self, restart_s: float | None = None) -> None:
        """Crashes immediately.

        Args:
          restart_s: The time until the restart, in seconds; None for never.
        """
        self._state.crash(restart_s)

    def _routes(self) -> list[web.RouteDef]:
        handle = self._completion_handler.handle
        return [
            web.post("/v1/completions", handle, name="complete"),
            web.post("/v1/chat/completions", handle, name="chat"),
            *self._control_handlers.routes(),
        ]


def expected_answer(prompt: str, digest: str, tokens: int) -> str:
    """Returns the text that an engine generates for a prompt.

    Args:
      prompt: The prompt as `backend.prefixes.prompt_text` returns it.
      digest: The `backend.types.content_digest` of the weights.
      tokens: The number of tokens requested.
    """
    return _engine_text.generate_tokens(prompt, digest, 0, tokens)


def digest_with_adapter(digest: str, adapter_digest: str) -> str:
    """Returns the digest that determines the answers with an adapter."""
    return types.content_digest([digest, adapter_digest])


def is_complete(body: bytes) -> bool:
    """Returns whether a streamed answer contains its end marker."""
    return body.endswith(_STREAM_END)


def answer_text(body: bytes) -> str:
    """Returns the text of a streamed or non-streamed completion.

    Raises:
      ValueError: The body is not the answer of a completion.
    """
    if not body.startswith((_DATA_PREFIX, b"id:")):
        return _choice_text(json.loads(body))
    texts = []
    for line in body.split(b"\n"):
        if line.startswith(_DATA_PREFIX) and not line.startswith(
            b"data: [DONE]"
        ):
            texts.append(_choice_text(json.loads(line[len(_DATA_PREFIX) :])))
    return "".join(texts)


def _choice_text(body: dict) -> str:
    choices = body.get("choices")
    if not choices:
        raise ValueError("no choices in the answer")
    choice = choices[0]
    message = choice.get("message") or choice.get("delta") or {}
    return choice.get("text", message.get("content", ""))
