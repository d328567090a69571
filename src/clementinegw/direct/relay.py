"""Topics between the processes of a failure domain, over their connections."""

import asyncio
from collections.abc import Callable
import zlib

import mode

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import choice as choices
from clementinegw.direct import follow
from clementinegw.direct import instance as instances
from clementinegw.direct import questions
from clementinegw.direct import raw
from clementinegw.direct import readers as readers_lib
from clementinegw.direct import shared
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.topics import ttypes

# The processes of one platform stand in its own network; the key only keeps a
# stray connection of something else out.
_KEY = b"clementinegw readers of one platform"
# A frozen reader is noticed, and the next one asked, before an entry's
# knowledge is so old that it takes no new callers: after 2.75 s.
_SILENT_S = 2.1
# Nor may it take more than this part of the time in which a server that leaves
# gets its last request: who asks is in touch with the platform and bound.
_SILENT_SHARE = 0.5
_PINGS = 3
_CONNECT_S = 0.5
# Larger answers are packed; smaller ones do not fill a packet.
_PACKED_BYTES = 1_024
_PACK_LEVEL = 1
_MOST_BYTES = 32 << 20
# Whether a large answer is coming is looked at this often, in seconds; signs of
# life alone come at a tenth of this rate.
_LOOK_S = 0.25
_LEAST_BYTES_PER_S = 4_096
# Keys of other writers may be no text; their bytes come back as they were.
_KEY_ERRORS = "surrogateescape"
# Packed answers that are kept: of the two topics, for those who are one or two
# changes behind.
_KEPT_ANSWERS = 6
# The topic with the keys and routes, whose age entries answer by.
_FRESH = "operators"


class Relay(mode.Service):
    """The topics of a platform, read once for a failure domain."""

    def __init__(
        self,
        instance: instances.Instance,
        role: types.Role,
        platform: raw.Platform,
        paces: follow.Paces,
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float] = follow.boot_time,
    ):
        """Does nothing before `start`.

        Args:
          instance: What the process knows of itself.
          role: An entry answers others; an agent, whose link is narrow, only
            asks.
          platform: Has the topics.
          paces: How often each is read.
          log: Where events go.
          counters: Counts questions by where they went and how they ended.
          clock: Seconds that also count while the machine is suspended.
        """
        super().__init__()
        self._instance = instance
        self._answers = role is types.Role.ENTRY
        self._platform = platform
        self._log = log
        self._counters = counters
        bound_s = instance.bounds.drain_ms / 1e3
        self._endpoint = connections.Endpoint(
            connections.Identity(instance.name, role, instance.place),
            auth.single(_KEY),
            log,
            counters,
            _timing(bound_s),
        )
        self._endpoint.on_call(connections.Kind.TOPIC_ASK, self._on_ask)
        self._choice = choices.Choice(clock)
        self._keeper: readers_lib.Keeper | None = None
        self._packed: dict[tuple[str, int | None, int], tuple[bool, bytes]] = {}
        topics = {
            _FRESH: (platform.operators(), paces.operators),
            "servers": (platform.servers(), paces.servers),
        }
        self._topics = {
            name: shared.Shared(
                name,
                topic,
                self,
                self._choice,
                pace,
                # Nothing that an entry does hangs on the age of the list.
                self._answers and name == _FRESH,
                log,
                counters,
                clock,
                bound_s,
                hurried=self._answers,
            )
            for name, (topic, pace) in topics.items()
        }

    def operators(self) -> follow.Source:
        """See `follow.Platform`."""
        return self._topics[_FRESH]

    def servers(self) -> follow.Source:
        """See `follow.Platform`."""
        return self._topics["servers"]

    async def on_start(self) -> None:
        """Listens for those who ask, and begins to look for readers."""
        me = None
        if self._answers:
            port = self._instance.peer_ports[0]
            me = await self._endpoint.listen(
                types.Address(self._instance.host, port)
            )
        self._choice.me = me
        self._keeper = readers_lib.Keeper(
            self._platform.readers(me),
            self._answers,
            self._choice,
            self._log,
            self._counters,
        )
        await self.add_runtime_dependency(self._keeper)
        await self._keeper.looked()

    async def on_shutdown(self) -> None:
        """Ends all connections: those who ask turn to the next one."""
        await self._endpoint.close()

    # Asking.

    async def ask(
        self,
        reader: types.Address,
        question: questions.Question,
        on_bytes: Callable[[], None],
    ) -> questions.News:
        """See `questions.Peers`."""
        assert self._keeper is not None
        try:
            news = await self._ask(reader, question, on_bytes)
        except exceptions.PlatformUnavailable:
            self._keeper.look_again()
            raise
        except (exceptions.ConnectionLost, exceptions.DecodeError) as error:
            self._keeper.look_again()
            raise questions.Unable(error.message, "broken") from error
        except TimeoutError as error:
            self._keeper.look_again()
            raise questions.Unable(f"{reader}: no answer", "timeout") from error
        self._keeper.offer(news.readers)
        return news

    async def _ask(
        self,
        reader: types.Address,
        question: questions.Question,
        on_bytes: Callable[[], None],
    ) -> questions.News:
        connection = await self._endpoint.connect(reader)
        exchange = connection.open()
        try:
            await exchange.send(connections.Kind.TOPIC_ASK, _asked(question))
            patience_s = question.patience_s
            frame = await _heard(
                connection, exchange, question.wait_s + patience_s, on_bytes
            )
            while frame.kind is connections.Kind.TOPIC_HELD:
                frame = await _heard(connection, exchange, patience_s, on_bytes)
        finally:
            exchange.close()
        if frame.kind is connections.Kind.TOPIC_NEWS:
            return _news(codec.decode(ttypes.TopicNews, frame.body))
        refused = codec.decode(ttypes.TopicRefused, frame.body)
        if refused.lost:
            raise follow.HistoryLost(f"{reader}: {refused.reason}")
        raise questions.Unable(f"{reader}: {refused.reason}", "unable")

    # Answering.

    async def _on_ask(
        self,
        connection: connections.Connection,
        exchange: connections.Exchange,
        frame: connections.Frame,
    ) -> None:
        question = _question(codec.decode(ttypes.TopicAsk, frame.body))
        try:
            news = await self._answer(question, exchange)
        except exceptions.PlatformError as error:
            lost = isinstance(error, follow.HistoryLost)
            refused = ttypes.TopicRefused(reason=error.message, lost=lost)
            await exchange.send(
                connections.Kind.TOPIC_REFUSED, codec.encode(refused)
            )
            return
        body = codec.encode(self._told(question, news))
        await exchange.send(connections.Kind.TOPIC_NEWS, body)

    async def _answer(
        self, question: questions.Question, exchange: connections.Exchange
    ) -> questions.News:
        topic = self._topics.get(question.topic)
        if topic is None:
            raise questions.Unable(f"no topic {question.topic}")

        async def say() -> None:
            await exchange.send(connections.Kind.TOPIC_HELD)

        return await topic.answer(question, say)

    def _told(
        self, question: questions.Question, news: questions.News
    ) -> ttypes.TopicNews:
        packed, items = self._packed_items(question, news)
        return ttypes.TopicNews(
            end=news.end,
            age_ms=_ms_up(news.age_s),
            held_ms=int(news.held_s * 1e3),
            lain_ms=None if news.lain_s is None else _ms_up(news.lain_s),
            settled_ms=int(news.settled_s * 1e3),
            away_ms=_ms_up(news.away_s),
            proof=news.proof,
            packed=packed,
            items=items,
            readers=[str(address) for address in news.readers],
        )

    def _packed_items(
        self, question: questions.Question, news: questions.News
    ) -> tuple[bool, bytes]:
        """Returns whether the items are packed, and their bytes.

        All who ask for the same are told the same: packed once, a large
        configuration costs 2 ms a failure domain and not 2 ms an asker.
        """
        if not news.items:
            return False, b""
        key = (question.topic, question.offset, news.end)
        if key not in self._packed:
            while len(self._packed) >= _KEPT_ANSWERS:
                self._packed.pop(next(iter(self._packed)))
            self._packed[key] = _pack(news.items)
        return self._packed[key]


def _timing(bound_s: float) -> connections.Timing:
    silent_s = min(_SILENT_S, _SILENT_SHARE * bound_s)
    return connections.Timing(_CONNECT_S, silent_s / _PINGS, silent_s)


async def _heard(
    connection: connections.Connection,
    exchange: connections.Exchange,
    patience_s: float,
    on_bytes: Callable[[], None],
) -> connections.Frame:
    """Returns the next frame of an answer, however long a large one takes.

    Thrown away while it comes, it would be asked for again, by all who share
    the link, and the link would never get free.

    Raises:
      TimeoutError: The patience was over and nothing large was coming.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + patience_s
    while True:
        had = connection.bytes_in
        look_s = min(_LOOK_S, until - loop.time())
        try:
            return await exchange.receive(max(0.0, look_s))
        except TimeoutError:
            if connection.bytes_in - had > _LOOK_S * _LEAST_BYTES_PER_S:
                until = max(until, loop.time() + patience_s)
                on_bytes()
                # Else the sender hears nothing for as long, and gives up.
                connection.notify(connections.Kind.PING)
            elif loop.time() >= until:
                raise


def _asked(question: questions.Question) -> bytes:
    return codec.encode(
        ttypes.TopicAsk(
            topic=question.topic,
            offset=question.offset,
            proof=question.proof,
            wait_ms=int(question.wait_s * 1e3),
        )
    )


def _question(wire: ttypes.TopicAsk) -> questions.Question:
    return questions.Question(
        wire.topic, wire.offset, wire.proof, wire.wait_ms / 1e3
    )


def _news(wire: ttypes.TopicNews) -> questions.News:
    try:
        readers = tuple(instances.parse_address(text) for text in wire.readers)
    except ValueError as error:
        raise exceptions.DecodeError(f"TopicNews: {error}") from error
    return questions.News(
        items=_unpack(wire.packed, wire.items),
        end=wire.end,
        proof=wire.proof,
        age_s=wire.age_ms / 1e3,
        held_s=wire.held_ms / 1e3,
        lain_s=None if wire.lain_ms is None else wire.lain_ms / 1e3,
        settled_s=wire.settled_ms / 1e3,
        away_s=wire.away_ms / 1e3,
        readers=readers,
    )


def _pack(items: tuple[raw.Item, ...]) -> tuple[bool, bytes]:
    data = codec.encode(
        ttypes.TopicItems(
            items=[
                ttypes.TopicItem(
                    key=i.key.encode(errors=_KEY_ERRORS),
                    offset=i.offset,
                    value=i.value,
                )
                for i in items
            ]
        )
    )
    if len(data) <= _PACKED_BYTES:
        return False, data
    return True, zlib.compress(data, _PACK_LEVEL)


def _unpack(packed: bool, data: bytes) -> tuple[raw.Item, ...]:
    if not data:
        return ()
    if packed:
        unpacking = zlib.decompressobj()
        try:
            data = unpacking.decompress(data, _MOST_BYTES)
        except zlib.error as error:
            raise exceptions.DecodeError(f"TopicNews: {error}") from error
        if not unpacking.eof:
            raise exceptions.DecodeError("TopicNews: cut, or too large")
    wire = codec.decode(ttypes.TopicItems, data)
    return tuple(
        raw.Item(i.key.decode(errors=_KEY_ERRORS), i.value, i.offset)
        for i in wire.items
    )


def _ms_up(seconds: float) -> int:
    return int(seconds * 1e3) + 1
