"""Receives chunks from peers and from the weight store or the origin."""

import asyncio

from clementinegw import exceptions
from clementinegw.platform import blobs
from clementinegw.telemetry import errors
from clementinegw.telemetry import events as telemetry_events
from clementinegw.weights import _swarm_events as events
from clementinegw.weights import _transfer_connections as peer_connections
from clementinegw.weights import _transfer_context as contexts
from clementinegw.weights import manifest as manifests
from clementinegw.weights import swarm
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

PART_BYTES = 128 << 10
# Requested parts in flight per chunk: the sender always has the next request
# at hand, and no more than this many parts queue in the network.
_MAX_PARTS_IN_FLIGHT = 2
# Parts of a chunk that one request to the weight store or the origin reads.
_PARTS_PER_ORIGIN_READ = 4
# The delay before a chunk that could not be stored is requested again.
_STORE_RETRY_S = 1.0
_ORIGIN_NAME = "origin"

Outcome = bytes | swarm.Failed | swarm.Refused


class Receiver:
    """Receives chunks that the swarm requests from peers and the origin."""

    def __init__(
        self,
        context: contexts.Context,
        peers: peer_connections.PeerConnections,
        origin: blobs.BlobStore,
    ):
        """Starts with nothing in transit.

        Args:
          context: The shared dependencies.
          peers: The connections to peers.
          origin: The weight store or the origin.
        """
        self._context = context
        self._peers = peers
        self._origin = origin
        self._origin_read_bytes = context.part_bytes * _PARTS_PER_ORIGIN_READ
        self._tasks: dict[tuple[str, int, str], asyncio.Task] = {}

    def start(self, action: swarm.RequestChunk) -> None:
        """Starts to receive a chunk."""
        assert self._context.manifest is not None
        chunk = self._context.manifest.chunks[action.index]
        key = (action.digest, action.index, action.source)
        task = asyncio.ensure_future(self._receive_chunk(action, chunk))
        self._tasks[key] = task
        task.add_done_callback(lambda done: self._remove_task(key, done))

    def cancel(self, action: swarm.Cancel) -> None:
        """Stops receiving a chunk."""
        key = (action.digest, action.index, action.source)
        task = self._tasks.pop(key, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    async def stop(self) -> None:
        """Stops receiving all chunks."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _remove_task(
        self, key: tuple[str, int, str], done: asyncio.Task
    ) -> None:
        if self._tasks.get(key) is done:
            del self._tasks[key]

    async def _receive_chunk(
        self, action: swarm.RequestChunk, chunk: manifests.Chunk
    ) -> None:
        receive = self._fetch_from_peer
        if action.source == swarm.ORIGIN:
            receive = self._fetch_from_origin
        event: swarm.Event
        try:
            outcome = await receive(action, chunk)
            if isinstance(outcome, bytes):
                event = await self._store_chunk(action, chunk, outcome)
            else:
                event = outcome
        except Exception as error:
            # Without an event, the chunk would be fetched again only after the
            # time in which a source counts as stalled.
            self._context.counters.add("weights.receive_failed")
            self._context.log.write(
                telemetry_events.TASK_FAILED,
                task="receive_chunk",
                source=action.source or _ORIGIN_NAME,
                **errors.describe(error),
            )
            event = swarm.Failed(action.digest, action.index, action.source)
        self._context.emit(event)

    async def _store_chunk(
        self, action: swarm.RequestChunk, chunk: manifests.Chunk, data: bytes
    ) -> swarm.Arrived | swarm.Corrupt | swarm.Refused:
        # The store checks the digest. If unverified chunks were passed on, one
        # faulty network card would spread its errors to the whole fleet.
        try:
            stored = await self._context.store.put(chunk.digest, data)
        except exceptions.BackendError:
            # The staging memory is unreachable or full. The source is not the
            # cause, so this does not count as a failure of the source.
            self._context.counters.add("weights.keep_failed")
            return swarm.Refused(
                action.digest, action.index, action.source, _STORE_RETRY_S
            )
        if not stored:
            self._context.counters.add("weights.corrupt")
            self._context.log.write(
                events.CHUNK_CORRUPT,
                source=action.source or _ORIGIN_NAME,
                chunk=chunk.digest.hex(),
            )
        kind = swarm.Arrived if stored else swarm.Corrupt
        return kind(action.digest, action.index, action.source)

    async def _fetch_from_origin(
        self, action: swarm.RequestChunk, chunk: manifests.Chunk
    ) -> Outcome:
        failed = swarm.Failed(action.digest, action.index, action.source)
        data = bytearray()
        while len(data) < chunk.size:
            size = min(self._origin_read_bytes, chunk.size - len(data))
            await self._context.pacing.down.take(size)
            try:
                part = await self._origin.get(chunk.blob_name, len(data), size)
            except exceptions.PlatformError as error:
                return self._origin_fetch_failed(failed, error.message)
            if not part:
                return self._origin_fetch_failed(failed, "chunk incomplete")
            self._context.counters.add("weights.drawn_bytes", len(part))
            await self._record_progress(action, len(part))
            data += part
        return bytes(data)

    def _origin_fetch_failed(
        self, failed: swarm.Failed, detail: str
    ) -> swarm.Failed:
        self._context.counters.add("weights.draw_failed")
        self._context.log.write(
            events.DRAW_FAILED, index=failed.index, detail=detail
        )
        return failed

    async def _fetch_from_peer(
        self, action: swarm.RequestChunk, chunk: manifests.Chunk
    ) -> Outcome:
        failed = swarm.Failed(action.digest, action.index, action.source)
        connection = self._peers.find(action.source)
        if connection is None:
            return failed
        try:
            exchange = connection.open()
        except exceptions.ConnectionLost:
            return failed
        try:
            cross_domain = (
                connection.peer.place.failure_domain != self._context.domain
            )
            return await self._receive(action, chunk, exchange, cross_domain)
        except (exceptions.ConnectionLost, exceptions.DecodeError):
            return failed
        except asyncio.CancelledError:
            await _send_cancel(exchange)
            raise
        finally:
            exchange.close()

    async def _receive(
        self,
        action: swarm.RequestChunk,
        chunk: manifests.Chunk,
        exchange: connections.Exchange,
        cross_domain: bool,
    ) -> Outcome:
        first = min(self._context.part_bytes, chunk.size)
        await self._request_part(exchange, action, chunk, 0, first)
        frame = await exchange.receive()
        if frame.kind == connections.Kind.CHUNK_REFUSED:
            refused = _refused(action, frame.body)
            self._context.counters.add(f"weights.refused.{refused.reason}")
            return refused
        # Further parts are requested only now. A refusal ends the call at the
        # sender, which would treat a second request on it as a new call and
        # reserve an upload slot that nobody uses. Also, a refusal must not
        # consume bandwidth of the pacing.
        self._context.pacing.down.charge(first)
        window = asyncio.Semaphore(_MAX_PARTS_IN_FLIGHT - 1)
        requesting = asyncio.ensure_future(
            self._request_parts(action, chunk, exchange, window)
        )
        data = bytearray()
        try:
            while True:
                if frame.kind != connections.Kind.CHUNK_DATA or not frame.body:
                    return swarm.Failed(
                        action.digest, action.index, action.source
                    )
                await self._record_part(action, len(frame.body), cross_domain)
                data += frame.body
                if len(data) >= chunk.size:
                    return bytes(data)
                window.release()
                frame = await exchange.receive()
        finally:
            requesting.cancel()

    async def _request_parts(
        self,
        action: swarm.RequestChunk,
        chunk: manifests.Chunk,
        exchange: connections.Exchange,
        window: asyncio.Semaphore,
    ) -> None:
        """Requests all parts but the first, paced by the link's rate."""
        order = self._context.clock.now()
        for offset in range(
            self._context.part_bytes, chunk.size, self._context.part_bytes
        ):
            size = min(self._context.part_bytes, chunk.size - offset)
            await window.acquire()
            await self._context.pacing.down.take(size, order)
            try:
                await self._request_part(exchange, action, chunk, offset, size)
            except exceptions.ConnectionLost:
                # `_receive` gets the same error from the call.
                return

    async def _record_part(
        self, action: swarm.RequestChunk, count: int, cross_domain: bool
    ) -> None:
        self._context.counters.add("weights.received_bytes", count)
        if cross_domain:
            self._context.counters.add("weights.cross_domain_bytes", count)
        await self._record_progress(action, count)

    async def _record_progress(
        self, action: swarm.RequestChunk, count: int
    ) -> None:
        if self._context.link is not None:
            await self._context.link.receive(count)
        self._context.emit(
            swarm.Progressed(action.digest, action.index, action.source)
        )

    async def _request_part(
        self,
        exchange: connections.Exchange,
        action: swarm.RequestChunk,
        chunk: manifests.Chunk,
        offset: int,
        length: int,
    ) -> None:
        message = ttypes.ChunkGet(
            digest=action.digest,
            index=action.index,
            chunk_digest=chunk.digest,
            offset=offset,
            length=length,
        )
        await exchange.send(connections.Kind.CHUNK_GET, codec.encode(message))


async def _send_cancel(exchange: connections.Exchange) -> None:
    """Cancels the call, so that the sender frees its upload slot at once."""
    try:
        await exchange.send(connections.Kind.CANCEL)
    except exceptions.ConnectionLost:
        pass


def _refused(action: swarm.RequestChunk, body: bytes) -> swarm.Refused:
    message = codec.decode(ttypes.ChunkRefused, body)
    try:
        reason = swarm.RefuseReason(message.reason)
    except ValueError:
        reason = swarm.RefuseReason.BUSY
    return swarm.Refused(
        action.digest,
        action.index,
        action.source,
        message.retry_after_ms / 1000,
        reason,
    )
