"""Sends chunks to peers that request them."""

import asyncio

from clementinegw import exceptions
from clementinegw.weights import _transfer_context as contexts
from clementinegw.weights import swarm
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

# A receiver that requests no further part for this long has moved on.
_IDLE_TIMEOUT_S = 10.0


class Sender:
    """Sends the chunks that the swarm agrees to serve."""

    def __init__(
        self, context: contexts.Context, endpoint: connections.Endpoint
    ):
        """Registers with the endpoint.

        Args:
          context: The shared dependencies.
          endpoint: Where requests of peers arrive.
        """
        self._context = context
        self._decision: swarm.Serve | swarm.Refuse | None = None
        self._tasks: dict[tuple[str, int], asyncio.Task] = {}
        endpoint.on_call(connections.Kind.CHUNK_GET, self._on_get)

    def serve(self, action: swarm.Serve) -> None:
        """Accepts the request that was just passed to the swarm."""
        self._decision = action

    def refuse(self, action: swarm.Refuse) -> None:
        """Refuses the request that was just passed to the swarm."""
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
        first_request = codec.decode(ttypes.ChunkGet, frame.body)
        if first_request.offset:
            # The request crossed the end of its call; see `Receiver`.
            self._context.counters.add("weights.late_get")
            return
        peer_id = connection.peer.instance_id
        self._decision = None
        self._context.emit(
            swarm.ChunkRequested(
                peer_id, first_request.digest, first_request.index
            )
        )
        decision = self._decision
        if isinstance(decision, swarm.Serve):
            await self._serve(peer_id, exchange, first_request)
        elif isinstance(decision, swarm.Refuse):
            retry_after_s = decision.retry_after_s
            await _send_refusal(exchange, decision.reason, retry_after_s)

    async def _serve(
        self,
        peer_id: str,
        exchange: connections.Exchange,
        first_request: ttypes.ChunkGet,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        key = peer_id, first_request.index
        self._tasks[key] = task
        whole = False
        try:
            whole = await self._send(exchange, first_request)
        except (TimeoutError, exceptions.ConnectionLost):
            pass
        except asyncio.CancelledError:
            # The version was abandoned. Without a refusal, the receiver would
            # wait for its deadline.
            await _send_refusal(exchange, swarm.RefuseReason.OTHER_TARGET, 0.0)
            raise
        finally:
            if self._tasks.get(key) is task:
                del self._tasks[key]
                self._context.emit(
                    swarm.Served(peer_id, first_request.index, whole)
                )

    async def _send(
        self, exchange: connections.Exchange, first_request: ttypes.ChunkGet
    ) -> bool:
        data = await self._context.store.get(first_request.chunk_digest)
        if data is None:
            self._context.emit(
                swarm.Lost(first_request.digest, first_request.index)
            )
            reason = swarm.RefuseReason.NOT_HELD
            await _send_refusal(exchange, reason, 0.0)
            return False
        order = self._context.clock.now()
        view = memoryview(data)
        part_request = first_request
        sent = 0
        while True:
            if part_request.offset < 0 or part_request.length <= 0:
                raise exceptions.DecodeError(
                    "ChunkGet: offset or length out of range"
                )
            part_data = bytes(
                view[
                    part_request.offset : part_request.offset
                    + part_request.length
                ]
            )
            await self._context.pacing.up.take(len(part_data), order)
            if self._context.link is not None:
                await self._context.link.send(len(part_data))
            await exchange.send(connections.Kind.CHUNK_DATA, part_data)
            self._context.counters.add("weights.sent_bytes", len(part_data))
            sent += len(part_data)
            if not part_data or sent >= len(data):
                return sent >= len(data)
            frame = await exchange.receive(_IDLE_TIMEOUT_S)
            if frame.kind == connections.Kind.CANCEL:
                return False
            part_request = codec.decode(ttypes.ChunkGet, frame.body)


async def _send_refusal(
    exchange: connections.Exchange,
    reason: swarm.RefuseReason,
    retry_after_s: float,
) -> None:
    message = ttypes.ChunkRefused(
        reason=reason.value, retry_after_ms=round(retry_after_s * 1000)
    )
    await exchange.send(connections.Kind.CHUNK_REFUSED, codec.encode(message))
