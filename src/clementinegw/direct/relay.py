"""Shares topics between the processes of a failure domain over connections."""

import asyncio
from collections.abc import Callable
import zlib

import mode

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import instance as instances
from clementinegw.direct import peer_queries
from clementinegw.direct import raw
from clementinegw.direct import reader_directory
from clementinegw.direct import reader_selector
from clementinegw.direct import shared_topic
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.topics import ttypes

# The processes of a platform run in its own network. The key only keeps out
# accidental connections from other software.
_KEY = b"clementinegw readers of one platform"
# After this time without a frame, in seconds, a connection is closed. A frozen
# reader is thus replaced before an entry's copy reaches the age of 2.75 s, at
# which the entry accepts no new callers.
_SILENCE_TIMEOUT_S = 2.1
# The timeout is at most this share of the time within which a leaving server
# gets its last request. A process that queries a reader is in touch with the
# platform, so this bound applies to it.
_SILENCE_TIMEOUT_SHARE = 0.5
_PINGS_PER_TIMEOUT = 3
_CONNECT_TIMEOUT_S = 0.5
# Larger answers are compressed; smaller ones fit into one packet anyway.
_MAX_UNCOMPRESSED_BYTES = 1_024
_COMPRESSION_LEVEL = 1
_MAX_DECOMPRESSED_BYTES = 32 << 20
# The interval at which incoming bytes are checked, in seconds, and the rate
# above which a large answer is arriving. Keep-alive frames alone reach a tenth
# of this rate.
_PROGRESS_INTERVAL_S = 0.25
_MIN_PROGRESS_BYTES_PER_S = 4_096
# Keys of other writers may not be valid text; this preserves their bytes.
_KEY_ERRORS = "surrogateescape"
# How many compressed answers are cached: those of both topics for peers that
# are one or two changes behind.
_MAX_CACHED_ANSWERS = 6
# The topic with keys and routes. What entries may answer depends on its age.
_OPERATORS = "operators"


class Relay(mode.Service):
    """Reads a platform's topics once for a failure domain and shares them."""

    def __init__(
        self,
        instance: instances.Instance,
        role: types.Role,
        platform: raw.Platform,
        timings: topic_watch.PollTimings,
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = topic_watch.boot_time,
    ):
        """Makes no calls before `start`.

        Args:
          instance: The configuration of this process.
          role: An entry answers its peers; an agent, whose link is narrow, only
            queries them.
          platform: Provides the topics.
          timings: How each topic is polled.
          log: Receives events.
          counters: Counts queries by target and result.
          clock: Returns seconds, including time while suspended.
        """
        super().__init__()
        self._instance = instance
        self._serves_peers = role is types.Role.ENTRY
        self._platform = platform
        self._log = log
        self._counters = counters
        drain_s = instance.bounds.drain_ms / 1e3
        self._endpoint = connections.Endpoint(
            connections.Identity(instance.name, role, instance.place),
            auth.single_key_ring(_KEY),
            log,
            counters,
            _timing(drain_s),
        )
        self._endpoint.on_call(connections.Kind.TOPIC_ASK, self._on_query)
        self._selector = reader_selector.ReaderSelector(clock)
        self._directory: reader_directory.ReaderDirectory | None = None
        self._compressed: dict[
            tuple[str, int | None, int], tuple[bool, bytes]
        ] = {}
        topics = {
            _OPERATORS: (platform.operators(), timings.operators),
            "servers": (platform.servers(), timings.servers),
        }
        self._topics = {
            name: shared_topic.SharedTopic(
                name,
                topic,
                self,
                self._selector,
                timing,
                # The age of the list of servers has no effect on entries.
                self._serves_peers and name == _OPERATORS,
                log,
                counters,
                clock,
                drain_s,
                hedges=self._serves_peers,
            )
            for name, (topic, timing) in topics.items()
        }

    def operators(self) -> topic_watch.Source:
        """See `topic_watch.Platform`."""
        return self._topics[_OPERATORS]

    def servers(self) -> topic_watch.Source:
        """See `topic_watch.Platform`."""
        return self._topics["servers"]

    async def on_start(self) -> None:
        """Listens for queries of peers and fetches the list of readers."""
        address = None
        if self._serves_peers:
            port = self._instance.peer_ports[0]
            address = await self._endpoint.listen(
                types.Address(self._instance.host, port)
            )
        self._selector.own_address = address
        self._directory = reader_directory.ReaderDirectory(
            self._platform.reader_group(address),
            self._serves_peers,
            self._selector,
            self._log,
            self._counters,
        )
        await self.add_runtime_dependency(self._directory)
        await self._directory.wait_ready()

    async def on_shutdown(self) -> None:
        """Closes all connections, so that peers query the next reader."""
        await self._endpoint.close()

    # Queries to peers.

    async def ask(
        self,
        reader: types.Address,
        query: peer_queries.Query,
        on_progress: Callable[[], None],
    ) -> peer_queries.Update:
        """See `peer_queries.Peers`."""
        assert self._directory is not None
        try:
            update = await self._ask(reader, query, on_progress)
        except exceptions.PlatformUnavailable:
            self._directory.mark_stale()
            raise
        except (exceptions.ConnectionLost, exceptions.DecodeError) as error:
            self._directory.mark_stale()
            raise peer_queries.Unable(error.message, "broken") from error
        except TimeoutError as error:
            self._directory.mark_stale()
            raise peer_queries.Unable(
                f"{reader}: no answer", "timeout"
            ) from error
        self._directory.set_candidates(update.readers)
        return update

    async def _ask(
        self,
        reader: types.Address,
        query: peer_queries.Query,
        on_progress: Callable[[], None],
    ) -> peer_queries.Update:
        connection = await self._endpoint.connect(reader)
        exchange = connection.open()
        try:
            await exchange.send(
                connections.Kind.TOPIC_ASK, _encode_query(query)
            )
            grace_s = query.grace_s
            frame = await _receive(
                connection, exchange, query.wait_s + grace_s, on_progress
            )
            while frame.kind is connections.Kind.TOPIC_HELD:
                frame = await _receive(
                    connection, exchange, grace_s, on_progress
                )
        finally:
            exchange.close()
        if frame.kind is connections.Kind.TOPIC_NEWS:
            return _update_from_wire(codec.decode(ttypes.TopicNews, frame.body))
        refused = codec.decode(ttypes.TopicRefused, frame.body)
        if refused.lost:
            raise topic_watch.HistoryLost(f"{reader}: {refused.reason}")
        raise peer_queries.Unable(f"{reader}: {refused.reason}", "unable")

    # Queries of peers.

    async def _on_query(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        query = _query_from_wire(codec.decode(ttypes.TopicAsk, frame.body))
        try:
            update = await self._answer(query, exchange)
        except exceptions.PlatformError as error:
            lost = isinstance(error, topic_watch.HistoryLost)
            refused = ttypes.TopicRefused(reason=error.message, lost=lost)
            await exchange.send(
                connections.Kind.TOPIC_REFUSED, codec.encode(refused)
            )
            return
        body = codec.encode(self._to_wire(query, update))
        await exchange.send(connections.Kind.TOPIC_NEWS, body)

    async def _answer(
        self, query: peer_queries.Query, exchange: connections.Exchange
    ) -> peer_queries.Update:
        topic = self._topics.get(query.topic)
        if topic is None:
            raise peer_queries.Unable(f"no topic {query.topic}")

        async def send_held() -> None:
            await exchange.send(connections.Kind.TOPIC_HELD)

        return await topic.answer(query, send_held)

    def _to_wire(
        self, query: peer_queries.Query, update: peer_queries.Update
    ) -> ttypes.TopicNews:
        packed, items = self._compressed_items(query, update)
        return ttypes.TopicNews(
            end=update.next_position,
            age_ms=_round_up_ms(update.age_s),
            held_ms=int(update.held_s * 1e3),
            lain_ms=None
            if update.lag_s is None
            else _round_up_ms(update.lag_s),
            settled_ms=int(update.available_s * 1e3),
            away_ms=_round_up_ms(update.outage_s),
            proof=update.freshness_id,
            packed=packed,
            items=items,
            readers=[str(address) for address in update.readers],
        )

    def _compressed_items(
        self, query: peer_queries.Query, update: peer_queries.Update
    ) -> tuple[bool, bytes]:
        """Returns whether the items are compressed, and their bytes.

        Equal queries get equal answers, so these are cached. Compressing a
        large configuration takes 2 ms, which is spent once and not per peer.
        """
        if not update.items:
            return False, b""
        key = (query.topic, query.position, update.next_position)
        if key not in self._compressed:
            while len(self._compressed) >= _MAX_CACHED_ANSWERS:
                self._compressed.pop(next(iter(self._compressed)))
            self._compressed[key] = _compress(update.items)
        return self._compressed[key]


def _timing(drain_s: float) -> connections.Timing:
    silent_s = min(_SILENCE_TIMEOUT_S, _SILENCE_TIMEOUT_SHARE * drain_s)
    return connections.Timing(
        _CONNECT_TIMEOUT_S, silent_s / _PINGS_PER_TIMEOUT, silent_s
    )


async def _receive(
    connection: connections.Connection,
    exchange: connections.Exchange,
    timeout_s: float,
    on_progress: Callable[[], None],
) -> connections.Frame:
    """Returns the next frame, waiting longer while a large answer arrives.

    If large answers were given up while they arrive, all processes that share
    the link would request them again, and the link would stay saturated.

    Args:
      connection: The connection of the exchange.
      exchange: Receives the frame.
      timeout_s: The time without progress after which to give up, in seconds.
      on_progress: Called whenever enough bytes have arrived.

    Raises:
      TimeoutError: No frame came within the timeout and no large answer is
        arriving.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    while True:
        bytes_before = connection.bytes_received
        interval_s = min(_PROGRESS_INTERVAL_S, until - loop.time())
        try:
            return await exchange.receive(max(0.0, interval_s))
        except TimeoutError:
            if (
                connection.bytes_received - bytes_before
                > _PROGRESS_INTERVAL_S * _MIN_PROGRESS_BYTES_PER_S
            ):
                until = max(until, loop.time() + timeout_s)
                on_progress()
                # Without it the sender receives nothing meanwhile and gives up.
                connection.notify(connections.Kind.PING)
            elif loop.time() >= until:
                raise


def _encode_query(query: peer_queries.Query) -> bytes:
    return codec.encode(
        ttypes.TopicAsk(
            topic=query.topic,
            offset=query.position,
            proof=query.freshness_id,
            wait_ms=int(query.wait_s * 1e3),
        )
    )


def _query_from_wire(wire: ttypes.TopicAsk) -> peer_queries.Query:
    return peer_queries.Query(
        wire.topic, wire.offset, wire.proof, wire.wait_ms / 1e3
    )


def _update_from_wire(wire: ttypes.TopicNews) -> peer_queries.Update:
    try:
        readers = tuple(instances.parse_address(text) for text in wire.readers)
    except ValueError as error:
        raise exceptions.DecodeError(f"TopicNews: {error}") from error
    return peer_queries.Update(
        items=_decompress(wire.packed, wire.items),
        next_position=wire.end,
        freshness_id=wire.proof,
        age_s=wire.age_ms / 1e3,
        held_s=wire.held_ms / 1e3,
        lag_s=None if wire.lain_ms is None else wire.lain_ms / 1e3,
        available_s=wire.settled_ms / 1e3,
        outage_s=wire.away_ms / 1e3,
        readers=readers,
    )


def _compress(items: tuple[raw.Item, ...]) -> tuple[bool, bytes]:
    data = codec.encode(
        ttypes.TopicItems(
            items=[
                ttypes.TopicItem(
                    key=i.key.encode(errors=_KEY_ERRORS),
                    offset=i.position,
                    value=i.value,
                )
                for i in items
            ]
        )
    )
    if len(data) <= _MAX_UNCOMPRESSED_BYTES:
        return False, data
    return True, zlib.compress(data, _COMPRESSION_LEVEL)


def _decompress(packed: bool, data: bytes) -> tuple[raw.Item, ...]:
    if not data:
        return ()
    if packed:
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(data, _MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise exceptions.DecodeError(f"TopicNews: {error}") from error
        if not decompressor.eof:
            raise exceptions.DecodeError("TopicNews: cut, or too large")
    wire = codec.decode(ttypes.TopicItems, data)
    return tuple(
        raw.Item(i.key.decode(errors=_KEY_ERRORS), i.value, i.offset)
        for i in wire.items
    )


def _round_up_ms(seconds: float) -> int:
    return int(seconds * 1e3) + 1
