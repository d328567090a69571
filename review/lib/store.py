"""A stand-in of the platform's store: a log with keyed topics and groups."""

import asyncio
import base64
import json
import time

import http_server

# How many partitions the topic of a group has.
_PARTS = 8


class Store:
    """Keeps records in memory and answers reads and group calls.

    Attributes:
      address: Where it listens, as IP:PORT.
    """

    def __init__(self):
        self._topics = {"keyed.op": [], "keyed.servers": []}
        self._appended = asyncio.Event()
        self._members = {}
        self._generation = 0
        self.address = ""

    async def start(self, host):
        """Listens on a free port of a loopback address."""
        self._server, port = await http_server.serve(self._handle, host)
        self.address = f"{host}:{port}"

    def put(self, topic, key, value):
        """Appends a record and returns its acknowledgement's time.

        Args:
          topic: The topic.
          key: The record's key.
          value: What is encoded as JSON; None removes the key.

        Returns:
          Monotonic seconds.
        """
        data = b"" if value is None else json.dumps(value).encode()
        self._topics[topic].append((key.encode(), data))
        self._appended.set()
        self._appended = asyncio.Event()
        return time.monotonic()

    async def _handle(self, call):
        handlers = {
            "/log-newest": self._newest,
            "/log-read": self._read,
            "/log-join": self._join,
            "/log-owners": self._owners,
        }
        handler = handlers.get(call.path)
        if handler is None:
            await call.answer(404)
            return
        status, body = await handler(call)
        await call.answer(status, body)

    async def _newest(self, call):
        records = self._topics[call.query["topic"]]
        newest = {}
        for offset, (key, data) in enumerate(records):
            newest[key] = (data, offset)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(data).decode(),
                "offset": offset,
            }
            for key, (data, offset) in newest.items()
            if data
        ]
        page = {"items": items, "has_more": False, "end": len(records)}
        return 200, json.dumps(page).encode()

    async def _read(self, call):
        records = self._topics[call.query["topic"]]
        start = int(call.query["from"])
        wait_s = int(call.query.get("wait_ms", 0)) / 1e3
        until = time.monotonic() + wait_s
        while len(records) <= start and time.monotonic() < until:
            appended = self._appended
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await appended.wait()
            except TimeoutError:
                break
        body = len(records).to_bytes(8, "big") + bytes(8)
        for key, data in records[start:]:
            content = bytes([len(key)]) + key + data
            body += len(content).to_bytes(4, "big") + content
        return 200, body

    async def _join(self, call):
        wanted = json.loads(call.body)
        members = self._members.setdefault(wanted["group"], {})
        now = time.monotonic()
        present = set(members)
        for member, until in list(members.items()):
            if until < now:
                del members[member]
        members[wanted["member"]] = now + wanted["ttl_ms"] / 1e3
        self._generation += set(members) != present
        rows = [
            [topic, part, 0]
            for topic, part, member in self._rows(wanted["group"])
            if member == wanted["member"]
        ]
        answer = {"generation": self._generation, "parts": rows}
        return 200, json.dumps(answer).encode()

    async def _owners(self, call):
        rows = [[*row, 0] for row in self._rows(call.query["group"])]
        return 200, json.dumps({"parts": rows}).encode()

    def _rows(self, group):
        """Returns topic, partition and member, the partitions dealt evenly."""
        now = time.monotonic()
        members = self._members.get(group, {})
        present = sorted(m for m, until in members.items() if until >= now)
        return [
            ("readers", part, present[part % len(present)])
            for part in range(_PARTS if present else 0)
        ]
