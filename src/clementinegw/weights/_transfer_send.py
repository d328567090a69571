"""Sends chunks to peers that ask."""

import asyncio

from clementinegw import exceptions
from clementinegw.weights import _transfer_context as contexts
from clementinegw.weights import swarm
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

# A receiver that asks for no further part for this long has gone on.
_IDLE_TIMEOUT_S = 10.0


class Sender:
    """The chunks that are on their way to peers."""

    def __init__(
        self, context: contexts.Context, endpoint: connections.Endpoint
    ):
        """Registers with the endpoint.

        Args:
          context: The agent's surroundings.
          endpoint: Where peers ask.
        """
        self._context = context
        self._decision: swarm.Serve | swarm.Refuse | None = None
        self._tasks: dict[tuple[str, int], asyncio.Task] = {}
        endpoint.on_call(connections.Kind.CHUNK_GET, self._on_get)

    def serve(self, action: swarm.Serve) -> None:
        """Takes the swarm's consent to the request it was just given."""
        self._decision = action

    def refuse(self, action: swarm.Refuse) -> None:
        """Takes the swarm's refusal of the request it was just given."""
        self._decision = action

    def stop(self, action: swarm.StopServing) -> None:
        """Stops sending a chunk to a peer."""
        task = self._tasks.pop((action.peer_id, action.index), None)
        if task is not None:
            task.cancel()

    async def _on_get(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        first = codec.decode(ttypes.ChunkGet, frame.body)
        if first.offset:
            # It crossed the end of its call; see `Receiver`.
            self._context.counters.add("weights.late_get")
            return
        name = connection.peer.instance_id
        self._decision = None
        self._context.emit(
            swarm.ChunkRequested(name, first.digest, first.index)
        )
        decision = self._decision
        if isinstance(decision, swarm.Serve):
            await self._serve(name, exchange, first)
        elif isinstance(decision, swarm.Refuse):
            wait = decision.retry_after_s
            await _send_refusal(exchange, decision.reason, wait)

    async def _serve(
        self, name: str, exchange: connections.Exchange, first: ttypes.ChunkGet
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        key = name, first.index
        self._tasks[key] = task
        whole = False
        try:
            whole = await self._send(exchange, first)
        except (TimeoutError, exceptions.ConnectionLost):
            pass
        except asyncio.CancelledError:
            # The version was abandoned; the receiver would else wait for its
            # deadline.
            await _send_refusal(exchange, swarm.RefuseReason.OTHER_TARGET, 0.0)
            raise
        finally:
            if self._tasks.get(key) is task:
                del self._tasks[key]
                self._context.emit(swarm.Served(name, first.index, whole))

    async def _send(
        self, exchange: connections.Exchange, first: ttypes.ChunkGet
    ) -> bool:
        data = await self._context.store.get(first.chunk_digest)
        if data is None:
            self._context.emit(swarm.Lost(first.digest, first.index))
            reason = swarm.RefuseReason.NOT_HELD
            await _send_refusal(exchange, reason, 0.0)
            return False
        order = self._context.clock.now()
        view = memoryview(data)
        part = first
        sent = 0
        while True:
            if part.offset < 0 or part.length <= 0:
                raise exceptions.DecodeError("ChunkGet: a part out of bounds")
            piece = bytes(view[part.offset : part.offset + part.length])
            await self._context.pacing.up.take(len(piece), order)
            if self._context.link is not None:
                await self._context.link.send(len(piece))
            await exchange.send(connections.Kind.CHUNK_DATA, piece)
            self._context.counters.add("weights.sent_bytes", len(piece))
            sent += len(piece)
            if not piece or sent >= len(data):
                return sent >= len(data)
            frame = await exchange.receive(_IDLE_TIMEOUT_S)
            if frame.kind == connections.Kind.CANCEL:
                return False
            part = codec.decode(ttypes.ChunkGet, frame.body)


async def _send_refusal(
    exchange: connections.Exchange,
    reason: swarm.RefuseReason,
    retry_after_s: float,
) -> None:
    message = ttypes.ChunkRefused(
        reason=reason.value, retry_after_ms=round(retry_after_s * 1000)
    )
    await exchange.send(connections.Kind.CHUNK_REFUSED, codec.encode(message))
