"""A stand-in for a model engine, on a real socket of the loopback.

Its answers are a function of the prompt and of the bytes of its weights, so
that a checker can tell for every answer whether it is whole, whether it belongs
to its request, and which weights gave it.
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
    """One model engine and its host's staging memory."""

    def __init__(
        self,
        name: str,
        ledger: ledgers.Ledger,
        settings: EngineSettings | None = None,
        clock: clocks.Clock | None = None,
    ):
        """Prepares an engine without weights that does not listen yet.

        Args:
          name: Its name in the ledger.
          ledger: Where it writes down what it runs.
          settings: Size and speed.
          clock: The machine's by default.
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
        """What goes wrong from now on."""
        return self._state.faults

    @property
    def name(self) -> str:
        """Its name in the ledger."""
        return self._state.name

    @property
    def address(self) -> shared.Address:
        """Where it listens."""
        return self._server.address

    @property
    def base_url(self) -> str:
        """Scheme, address and port."""
        return self._server.base_url

    @property
    def weights(self) -> _engine_weights.Weights:
        """What it computes with at this moment."""
        return self._state.loader.weights

    @property
    def fencing(self) -> int:
        """The newest fencing number it took."""
        return self._state.fencing

    @property
    def cache_hit_ratio(self) -> float:
        """Prompt tokens found in the prefix cache by all prompt tokens."""
        return self._state.cache.hit_ratio

    @property
    def running(self) -> int:
        """Requests in the batch, without any lag."""
        return self._state.slots.running

    @property
    def waiting(self) -> int:
        """Requests that wait for the batch, without any lag."""
        return self._state.slots.waiting

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens; port 0 lets the kernel choose."""
        await self._server.start(shared.Address(host, port))

    async def stop(self) -> None:
        """Closes the socket and ends what runs."""
        await self._server.stop()

    def preload(self, model: str, version: str, chunks: Sequence[bytes]) -> str:
        """Puts weights in place without an order; returns their digest."""
        weights = self._state.loader.weights
        weights.model = model
        weights.version = version
        weights.chunk_digests = [
            _engine_weights.chunk_digest(c) for c in chunks
        ]
        weights.update_digest()
        return weights.digest

    def crash(self, restart_s: float | None = None) -> None:
        """Dies at once; `restart_s` None keeps it dead."""
        self._state.crash(restart_s)

    def _routes(self) -> list[web.RouteDef]:
        handle = self._completion_handler.handle
        return [
            web.post("/v1/completions", handle, name="complete"),
            web.post("/v1/chat/completions", handle, name="chat"),
            *self._control_handlers.routes(),
        ]


def expected_answer(prompt: str, digest: str, tokens: int) -> str:
    """Returns the text that weights give for a prompt.

    Args:
      prompt: As `backend.prefixes.prompt_text` returns it.
      digest: `backend.types.content_digest` of the weights.
      tokens: How many tokens were asked for.
    """
    return _engine_text.generate_tokens(prompt, digest, 0, tokens)


def digest_with_adapter(digest: str, adapter_digest: str) -> str:
    """Returns the digest that answers of weights with an adapter follow."""
    return types.content_digest([digest, adapter_digest])


def is_complete(body: bytes) -> bool:
    """Returns whether a streamed answer came with its end."""
    return body.endswith(_STREAM_END)


def answer_text(body: bytes) -> str:
    """Returns the text of a completion's answer, streamed or not.

    Raises:
      ValueError: The body is no answer of a completion.
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
