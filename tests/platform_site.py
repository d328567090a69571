"""In-process fakes of the users' platform: its store and backend servers."""

import asyncio
import base64
import contextlib
import json
import socket
from urllib import parse

from adapter import roles
import h11

from clementinegw import types as shared_types
from clementinegw.direct import client
from clementinegw.direct import entry as entries
from clementinegw.direct import instance as instances
from clementinegw.direct import server as servers
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks

KEY = "key-of-one"
GRACE_S = 0.002
# The time of day at the start of virtual time, in Unix seconds.
WALL_S = 1_790_000_000.0


def run(coroutine):
    """Runs a coroutine in virtual time with a grace period for the loopback."""
    return clocks.run(coroutine, grace_s=GRACE_S)


# A longer answer is not recorded whole.
_MAX_SENT_BYTES = 8 << 10
# The bytes that a limited link sends of one connection before the next one.
_LINK_TURN_BYTES = 8 << 10


class Store:
    """A fake store with the topics of operators and servers.

    Attributes:
      topics: The records of each topic as pairs of key and value.
      status: The status of all answers; 200 answers calls normally.
      silent: Whether calls hang without an answer.
      muted: Whether long polls get no new records.
      calls: The number of calls.
      hung: The targets of the calls that hang.
      sessions: The connections that made calls.
      dead: The connections whose calls hang.
      malformed_items: Items added to each page of newest records.
      bytes_out: The bytes of all answers' bodies.
      reads: The number of calls that read a topic.
      members: The members of each group.
      generation: The generation of the groups.
      link_bytes_per_s: The rate of the link that all callers share; None for
        an unlimited one.
      epoch: How often the store was restored from a copy, plus one; None if
        answers do not tell.
    """

    def __init__(self, link_bytes_per_s=None):
        self.topics = {
            "keyed.op": [],
            "keyed.servers": [],
            # The epoch that entries found settled.
            "keyed.epochs": [(b"settled", b"1")],
        }
        self.status = 200
        self.silent = False
        self.muted = False
        self.calls = 0
        self.hung = []
        self.sessions = set()
        self.dead = set()
        self.malformed_items = []
        self._first = dict.fromkeys(self.topics, 0)
        self.bytes_out = 0
        self.reads = 0
        self.members = {}
        self.generation = 0
        self.link_bytes_per_s = link_bytes_per_s
        self.epoch = 1
        self._link = asyncio.Lock()
        self._appended = asyncio.Event()
        self._cut = asyncio.Event()
        self._server = servers.Server(self._handle)

    async def start(self):
        self.address = await listen(self._server)

    async def stop(self):
        await self._server.stop()

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.put_raw(topic, key.encode(), data)

    def put_raw(self, topic, key, data):
        """Appends a record with arbitrary bytes."""
        self.topics[topic].append((key, data))
        self._appended.set()
        self._appended = asyncio.Event()

    def cut(self):
        """Breaks all connections that wait in a long poll."""
        self._cut.set()
        self._cut = asyncio.Event()

    def forget(self, topic):
        """Drops the history of a topic except each key's newest record."""
        self._first[topic] = len(self.topics[topic])

    def copy(self):
        """Returns a copy to restore the store from."""
        return {
            topic: (list(records), self._first[topic])
            for topic, records in self.topics.items()
        }

    def restore(self, copy):
        """Replaces all topics by a copy and gives offsets out again."""
        self.topics = {topic: list(copy[topic][0]) for topic in copy}
        self._first = {topic: copy[topic][1] for topic in copy}
        self.members = {}
        self.generation = 0
        self.epoch += 1
        self.cut()

    def _has_offset(self, topic, offset):
        return self._first[topic] <= offset <= len(self.topics[topic])

    def _headers(self):
        if self.epoch is None:
            return []
        return [(b"Store-Era", str(self.epoch).encode())]

    async def _handle(self, request, responder):
        self.calls += 1
        self.sessions.add(responder._session)
        if self.silent or responder._session in self.dead:
            self.hung.append(request.target)
            await responder.disconnected
            return
        if self.status != 200:
            await responder.answer(self.status, self._headers(), b"")
            return
        path, _, text = request.target.partition("?")
        query = dict(part.split("=") for part in text.split("&") if part)
        if path == "/log-join":
            body = self._join(json.loads(request.body))
        elif path == "/log-owners":
            body = self._owners(parse.unquote(query["group"]))
        elif path == "/log-newest":
            self.reads += 1
            body = self._newest(query["topic"])
        elif path == "/log-append":
            self._append(query["topic"], request.body)
            body = b"{}"
        elif not self._has_offset(query["topic"], int(query["from"])):
            await responder.answer(410, self._headers(), b"{}")
            return
        else:
            self.reads += 1
            body = await self._read(query)
        if body is None:
            responder.abort()
            return
        self.bytes_out += len(body)
        if self.link_bytes_per_s is None:
            await responder.answer(200, self._headers(), body)
        else:
            await self._send(responder, body)

    async def _send(self, responder, body):
        """Sends a body over the shared link, interleaved with others."""
        await responder.begin(200, self._headers())
        for start in range(0, len(body), _LINK_TURN_BYTES):
            part = body[start : start + _LINK_TURN_BYTES]
            async with self._link:
                await asyncio.sleep(len(part) / self.link_bytes_per_s)
            await responder.send(part)
        await responder.end()

    def _append(self, topic, body):
        while body:
            size = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + size], body[4 + size :]
            key_size = content[0]
            key, value = content[1 : 1 + key_size], content[1 + key_size :]
            self.topics.setdefault(topic, [])
            self._first.setdefault(topic, 0)
            self.put_raw(topic, key, value)

    def _join(self, call):
        members = self.members.setdefault(call["group"], [])
        if call["member"] not in members:
            members.append(call["member"])
            self.generation += 1
        answer = {"generation": self.generation, "ttl_ms": 6000, "parts": []}
        return json.dumps(answer).encode()

    def _owners(self, group):
        members = self.members.get(group, [])
        rows = [["t", n, member, 0] for n, member in enumerate(members)]
        return json.dumps({"parts": rows}).encode()

    def _newest(self, topic):
        newest = dict(self.topics.get(topic, ()))
        items = [
            {
                "key": k.decode(errors="surrogateescape"),
                "value": base64.b64encode(v).decode(),
                "offset": 0,
            }
            for k, v in newest.items()
            if v
        ]
        items += self.malformed_items
        end = len(self.topics.get(topic, ()))
        body = json.dumps({"items": items, "end": end}, ensure_ascii=False)
        return body.encode(errors="surrogateescape")

    async def _read(self, query):
        topic = query["topic"]
        records = self.topics[topic]
        start = int(query["from"])
        cut = self._cut
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1e3):
                while self.muted or len(records) <= start:
                    await self._wait_for_record(cut)
                    if cut.is_set():
                        return None
        body = len(records).to_bytes(8, "big")
        body += self._first[topic].to_bytes(8, "big")
        max_bytes = 1_024 * int(query.get("max_kb", 1_024))
        for key, value in records[start:]:
            content = bytes([len(key)]) + key + value
            record = len(content).to_bytes(4, "big") + content
            # The first record is always sent, however large it is.
            if len(body) > 16 and len(body) + len(record) > max_bytes:
                break
            body += record
        return body

    async def _wait_for_record(self, cut):
        """Waits for a record or until the connections are cut."""
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self._appended, cut)
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()


async def listen(server):
    """Listens on a free loopback port and returns its address."""
    await server.listen(shared_types.Address("127.0.0.1", 0))
    host, port = server._server.sockets[0].getsockname()
    return shared_types.Address(host, port)


class LateReader:
    """A server with a small window that reads nothing before `read_all`.

    Attributes:
      address: Where it listens.
    """

    def __init__(self):
        self._received = bytearray()
        self._may_read = asyncio.Event()
        self._ended = asyncio.Event()

    async def start(self):
        listener = socket.socket()
        # Connections inherit the small window.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=1_024
        )
        self.address = shared_types.Address(*listener.getsockname())

    async def read_all(self):
        """Reads one connection to its end and returns the number of bytes."""
        self._may_read.set()
        await self._ended.wait()
        self._server.close()
        return len(self._received)

    async def _serve(self, reader, writer):
        await self._may_read.wait()
        try:
            while data := await reader.read(1 << 16):
                self._received.extend(data)
        except ConnectionError:
            pass
        writer.close()
        self._ended.set()


def slow_connections(monkeypatch, by_s):
    """Delays the opening of new connections by `by_s` seconds."""
    connect = client.connect

    async def delayed_connect(address, timeout_s):
        await asyncio.sleep(by_s)
        return await connect(address, timeout_s)

    monkeypatch.setattr(client, "connect", delayed_connect)


class Call:
    """A request at a backend server.

    Attributes:
      extra_headers: Headers added to every answer.
      sent_bytes: The bytes that were sent, up to `_MAX_SENT_BYTES`.
    """

    def __init__(self, head, body, writer):
        self.head = head
        self.body = body
        self.writer = writer
        self.extra_headers = ()
        self.sent_bytes = b""
        self.headers = {k.decode(): v.decode() for k, v in head.headers}

    @property
    def attempt_id(self):
        return self.headers.get("x-clementinegw-attempt-id", "")

    def send(self, data):
        if len(self.sent_bytes) < _MAX_SENT_BYTES:
            self.sent_bytes += data
        if not self.writer.is_closing():
            self.writer.write(data)

    def answer(
        self, body=b"whole", status=200, attempt_id=None, extra_headers=()
    ):
        head = [
            f"HTTP/1.1 {status} X",
            f"X-Clementinegw-Attempt-Id: {attempt_id or self.attempt_id}",
            f"X-Clementinegw-Response-Seal: seal-{self.attempt_id}",
            f"Content-Length: {len(body)}",
            *self.extra_headers,
            *extra_headers,
        ]
        self.send("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    def reject(self):
        self.answer(b"", 503, extra_headers=("X-Clementinegw-Not-Executed: 1",))

    def begin_stream(self):
        head = [
            "HTTP/1.1 200 OK",
            f"X-Clementinegw-Attempt-Id: {self.attempt_id}",
            f"X-Clementinegw-Response-Seal: seal-{self.attempt_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *self.extra_headers,
        ]
        self.send("\r\n".join(head).encode() + b"\r\n\r\n")

    def event(self, number):
        data = f"id: {number}\ndata: {number}\n\n".encode()
        self.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_stream(self):
        self.send(b"0\r\n\r\n")

    def reset(self):
        self.writer.transport.abort()


def spoil(call, form, rng):
    """Returns what a call has sent, as a faulty server may send it again.

    Args:
      call: The call, which was answered.
      form: How it is spoiled: cut, unidentified or foreign; else it is whole.
      rng: Draws where it is cut.
    """
    answer = call.sent_bytes
    if form == "cut":
        return answer[: rng.randrange(1, len(answer))]
    if form == "unidentified":
        return answer.replace(b"Attempt-Id", b"Other-Id")
    if form == "foreign":
        return answer.replace(call.attempt_id.encode(), b"f1")
    return answer


class Server:
    """A backend server that handles each call with a test's function.

    Attributes:
      name: The server's id.
      on_call: Handles a call; answers it by default.
      domain: The failure domain that it is listed in.
    """

    domain = "d1"

    def __init__(self, name, on_call=None):
        self.name = name
        self.on_call = on_call or (lambda call: call.answer())
        self.calls = []
        self.ran = []
        self.closed = 0
        self.connections = 0
        self.last_call_at = 0.0
        self.arrived_at = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        self._server.close()

    def record(self, service="plain", **fields):
        return {
            "service": service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            **fields,
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        http = h11.Connection(h11.SERVER)
        head, body = None, b""
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Request):
                    head, body = event, b""
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    await self._call(Call(head, body, writer))
                    http = h11.Connection(h11.SERVER)
                else:
                    break
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        self.closed += 1
        writer.close()

    async def _call(self, call):
        self.calls.append(call)
        self.last_call_at = asyncio.get_running_loop().time()
        self.arrived_at.append(self.last_call_at)
        expected = call.headers.get("x-clementinegw-expect-instance")
        if expected not in (None, self.name):
            name = f"X-Clementinegw-Instance-Id: {self.name}"
            call.answer(b"", 421, extra_headers=(name,))
            return
        result = self.on_call(call)
        if asyncio.iscoroutine(result):
            await result


def config(version=1, **fields):
    """Returns a configuration in the operators' format."""
    route = {
        "host": "h.example",
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "max_attempts": 2,
        "service": "plain",
    }
    routes = [
        {**route, "name": "safe", "path_prefix": "/safe/", "kind": "safe"},
        {**route, "name": "once", "path_prefix": "/once/", "kind": "unsafe"},
        {
            **route,
            "name": "stream",
            "path_prefix": "/stream/",
            "kind": "streaming",
            "stream_resume": True,
            "gap_target_ms": 300,
        },
    ]
    services = [{"name": "plain", "max_connections": 100}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "one", "api_keys": [KEY]}],
        **fields,
    }


class Site:
    """An entry with a store and backend servers.

    Attributes:
      suspended_s: How long the machine was suspended, in seconds.
      regions: The region of each failure domain.
    """

    regions = {"d1": "r1"}

    def __init__(self, *names, on_call=None):
        self.store = Store()
        self.servers = [Server(name, on_call) for name in names]
        self.suspended_s = 0.0

    async def __aenter__(self):
        await self.store.start()
        for server in self.servers:
            await server.start()
            self.store.put("keyed.servers", server.name, server.record())
        self.store.put("keyed.op", "config", config())
        await self.start_entry()
        return self

    def boot_time(self):
        """Returns seconds that include the time of suspension."""
        return asyncio.get_running_loop().time() + self.suspended_s

    async def start_entry(self):
        instance = instances.Instance(
            name="entry-1",
            place=shared_types.Place("r1", "d1"),
            regions=self.regions,
            host="127.0.0.1",
            peer_ports=(0, 0),
            store=self.store.address,
            callers=shared_types.Address("127.0.0.1", 0),
            ready=shared_types.Address("127.0.0.1", 0),
            backend=None,
            service="",
            link_bytes_per_s=1e6,
            bounds=instances.Bounds(),
        )
        log = logs.Log()
        self.counters = counters_lib.Counters()
        self.entry = entries.Entry(
            instance,
            roles.Platform(instance, log, self.counters),
            log,
            self.counters,
            boot_clock=self.boot_time,
            wall_clock=lambda: WALL_S + self.boot_time(),
        )
        await self.entry.start()
        while not self.entry.ready:
            await asyncio.sleep(0.01)
        host, port = self.entry._server._server.sockets[0].getsockname()
        self.address = (host, port)

    async def __aexit__(self, *_):
        await self.entry.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    def list_version(self, server, version):
        """Lists a server that has loaded all layers of a version."""
        layers = {"from": 0, "target": 1, "version": version}
        model = {"name": "m", "version": version, "layers": layers}
        self.store.put(
            "keyed.servers", server.name, server.record(models=[model])
        )

    async def ask(self, path="/safe/1", **fields):
        """Sends a request on a new connection and returns the answer."""
        async with Caller(self) as caller:
            return await caller.ask(path, **fields)


class Answer:
    """An answer as a caller received it.

    Attributes:
      complete: Whether the whole answer arrived.
    """

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Caller:
    """A caller's connection to the entry."""

    def __init__(self, site):
        self._site = site
        self._number = 0

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            *self._site.address
        )
        self._http = h11.Connection(h11.CLIENT)
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    def send(
        self,
        path="/safe/1",
        key=KEY,
        attempt_id="",
        body=b"",
        method="POST",
        headers=(),
        deadline_ms=2500,
    ):
        """Sends a request."""
        self._number += 1
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"X-Clementinegw-Attempt-Id: {attempt_id or f'a{self._number}'}",
            f"X-Clementinegw-Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        if key:
            lines.append(f"Authorization: Token {key}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def ask(self, path="/safe/1", **fields):
        """Sends a request and returns the answer."""
        self.send(path, **fields)
        return await self.answer()

    async def answer(self):
        """Returns the next answer."""
        http = h11.Connection(h11.CLIENT)
        http.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")])
        )
        http.send(h11.EndOfMessage())
        status, headers, body = 0, {}, b""
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError:
                return Answer(status, headers, body, False)
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await self.reader.read(65536))
                except OSError:
                    return Answer(status, headers, body, False)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return Answer(status, headers, body, True)
            else:
                return Answer(status, headers, body, False)
