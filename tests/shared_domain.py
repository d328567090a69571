"""Simulates processes of a failure domain that share topics."""

import asyncio
import math

from clementinegw import exceptions
from clementinegw import types as shared_types
from clementinegw.direct import peer_queries
from clementinegw.direct import raw
from clementinegw.direct import reader_selector
from clementinegw.direct import shared_topic
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

_TIMING = topic_watch.PollTiming(2.0, 0.0)
_LATENCY_S = 0.004
_CHUNK_BYTES = 8_192


def address(number):
    return shared_types.Address("10.0.0.1", 7_000 + number)


class Store:
    """The log of a topic, and the link over which it is read."""

    def __init__(self):
        self.log = []
        self.put_at = []
        self.down = False
        self.reads = 0
        self.snapshots = 0
        # The rate of the link that all processes share on the way to the store;
        # it is not simulated unless a test sets a rate.
        self.bytes_per_s = math.inf
        self.bytes_out = 0
        self._sending = 0

    def put(self, key, value):
        self.log.append((key, value))
        self.put_at.append(asyncio.get_running_loop().time())

    async def send(self, items):
        """Sends an answer over the link, which all answers share equally."""
        remaining = sum(len(item.value) for item in items)
        self._sending += 1
        try:
            while remaining > 0 and self.bytes_per_s < math.inf:
                chunk = min(remaining, _CHUNK_BYTES)
                await asyncio.sleep(chunk * self._sending / self.bytes_per_s)
                remaining -= chunk
                self.bytes_out += chunk
        finally:
            self._sending -= 1


class Topic:
    """The store as one process reaches it, with faults that a test sets."""

    def __init__(self, store):
        self._store = store
        self.refused = False
        self.silent = False

    async def snapshot(self):
        self._store.snapshots += 1
        await self._reach(0.0)
        newest = dict(self._store.log)
        end = len(self._store.log)
        items = [raw.Item(k, v, end - 1) for k, v in newest.items() if v]
        await self._store.send(items)
        return raw.Batch(tuple(items), end)

    async def changes(self, offset, wait_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        await self._reach(wait_s)
        while len(self._store.log) <= offset and loop.time() < until:
            await asyncio.sleep(min(0.02, until - loop.time()))
            self._check()
        self._check()
        if self.silent:
            # Its query had reached the store; the answer is lost.
            await asyncio.sleep(max(0.0, until + 1.2 - loop.time()))
            raise exceptions.PlatformUnavailable("silent", "timeout")
        changes = self._store.log[offset:]
        items = [raw.Item(k, v, offset + n) for n, (k, v) in enumerate(changes)]
        await asyncio.sleep(_LATENCY_S)
        await self._store.send(items)
        return raw.Batch(tuple(items), offset + len(items))

    def decoded(self, items):
        return tuple(topic_watch.Record(i.key, i.value or None) for i in items)

    async def _reach(self, wait_s):
        self._store.reads += 1
        await asyncio.sleep(_LATENCY_S)
        if self.silent:
            await asyncio.sleep(wait_s + 1.2)
            raise exceptions.PlatformUnavailable("silent", "timeout")
        self._check()

    def _check(self):
        if self.refused or self._store.down:
            raise exceptions.PlatformUnavailable("refused", "broken")


class Process:
    """One process, its access to the store and its copy of the topic."""

    def __init__(self, domain, number):
        clock = asyncio.get_running_loop().time
        self.topic = Topic(domain.store)
        self.gone = False
        self.frozen = False
        self.known = {}
        self.lag_s = 0.0
        self.selector = reader_selector.ReaderSelector(clock)
        self.selector.own_address = address(number)
        self.shared_topic = shared_topic.SharedTopic(
            "t",
            self.topic,
            domain,
            self.selector,
            _TIMING,
            True,
            logs.Log(),
            counters_lib.Counters(),
            clock,
        )
        self.watcher = topic_watch.TopicWatcher(
            "t",
            self.shared_topic,
            _TIMING,
            self._on_batch,
            logs.Log(),
            counters_lib.Counters(),
            clock,
        )

    def _on_batch(self, batch, is_snapshot):
        self.lag_s = self.watcher.lag_s
        if is_snapshot:
            self.known = {}
        for record in batch.records:
            if record.value is None:
                self.known.pop(record.key, None)
            else:
                self.known[record.key] = record.value


class Domain:
    """Processes that query each other, with faults that a test sets."""

    def __init__(self, count):
        self.store = Store()
        self.processes = [Process(self, n) for n in range(count)]

    async def __aenter__(self):
        self.set_readers(range(len(self.processes)))
        for process in self.processes:
            await process.watcher.start()
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            await process.watcher.stop()

    def set_readers(self, order):
        for process in self.processes:
            process.selector.set_candidates(tuple(address(n) for n in order))

    async def ask(self, reader, query, on_progress):
        process = self.processes[reader.port - 7_000]
        await asyncio.sleep(_LATENCY_S)
        if process.gone:
            raise peer_queries.Unable("gone", "broken")

        clock = asyncio.get_running_loop().time
        give_up_at = clock() + query.wait_s + query.grace_s

        async def send_keep_alive():
            nonlocal give_up_at
            if not process.frozen:
                give_up_at = clock() + query.grace_s

        answering = asyncio.ensure_future(
            process.shared_topic.answer(query, send_keep_alive)
        )
        try:
            while not answering.done() or process.frozen:
                await asyncio.sleep(0.01)
                if process.gone or clock() > give_up_at:
                    raise peer_queries.Unable("silent", "broken")
            return answering.result()
        finally:
            answering.cancel()

    def ages(self):
        return [process.watcher.age_s for process in self.processes]

    def check_ages(self):
        """Checks that no copy is older than its process claims."""
        now = asyncio.get_running_loop().time()
        for process in self.processes:
            if not process.watcher.has_snapshot:
                continue
            current_at = now - process.watcher.age_s
            state = {}
            for (key, value), put_at in zip(
                self.store.log, self.store.put_at, strict=True
            ):
                # The copy may or may not include later changes.
                earlier = [] if put_at < current_at else state.get(key, [b""])
                state[key] = [*earlier, value]
            for key, values in state.items():
                assert process.known.get(key, b"") in values
