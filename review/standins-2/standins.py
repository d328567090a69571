"""Small stand-ins for the users' platform, for the cases of this review.

They follow the users' page on the protocol and need the standard library
alone: a store with its log, plain and model workers, clients, and the
product's own programs as processes with the commands of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit codes; run.sh turns them into those that the review names, as the
# interpreter itself ends with 1 after an error.
HELD, BROKEN, NOT_RUN = 10, 11, 12
SEAL = "X-Clementinegw-Response-Seal"


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


def free_ports(host, count):
    """Returns free TCP ports of a loopback address.

    Args:
      host: The address.
      count: How many ports.
    """
    found, sockets = [], []
    base = 20_000 + os.getpid() % 900 * 10
    port = base
    while len(found) < count:
        port += 1
        if port > 31_000:
            port = 12_000
        sock = socket.socket()
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            continue
        sockets.append(sock)
        found.append(port)
    for sock in sockets:
        sock.close()
    return found


def free_range(hosts, count):
    """Returns the first of several ports in a row, free on all addresses.

    Args:
      hosts: The loopback addresses.
      count: How many ports.
    """
    first = 12_000 + os.getpid() % 700 * 20
    while not all(
        _is_free(host, port)
        for host in hosts
        for port in range(first, first + count)
    ):
        first += count
    return first


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text):
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._began:9.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Closes the file."""
        self._file.close()


class Message:
    """A request or an answer as received.

    Attributes:
      start: The words of the first line.
      headers: The headers, names in lower case.
      body: The whole body.
    """

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self):
        """The id of the client attempt; empty if it has none."""
        return self.headers.get("x-clementinegw-attempt-id", "")


async def read_head(reader):
    """Returns a message without its body; None at a clean end.

    Raises:
      ConnectionError: The connection ended within the head.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("ended within a head") from error
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_chunk(reader):
    """Returns the next chunk of a body; empty at its end.

    Raises:
      ConnectionError: The body ended early.
    """
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise ConnectionError("ended within a body") from error
    return data[:-2]


async def read_body(reader, headers):
    """Returns a body that has a length or chunks.

    Raises:
      ConnectionError: The body ended early.
    """
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("ended within a body") from error


def answer_bytes(status, headers, body):
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class HttpServer:
    """A server of one loopback address; `handle` serves each request.

    Attributes:
      address: Where it listens, as IP:PORT.
    """

    def __init__(self, host="127.0.0.1", port=0):
        self._host, self._port = host, port
        self._writers = set()
        self._server = None
        self.address = ""

    async def start(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=1 << 22
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Ends all connections as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request.headers)
                await self.handle(request, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Serves one request."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store with the topics of records by key.

    Attributes:
      acknowledged: When each key was last written, in monotonic seconds.
      era: The value of the header Store-Era.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self._away = False
        self._topics = {}
        self._members = {}
        self._generation = 0
        self._added = asyncio.Event()
        self.acknowledged = {}

    def put(self, topic, key, value):
        """Appends a record as the operator or a worker does.

        Args:
          topic: The topic, such as keyed.op.
          key: The key.
          value: The value, encoded as JSON; None drops the key.
        """
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, key.encode(), data)
        self.acknowledged[key] = time.monotonic()

    def copy(self):
        """Returns a copy to come back from."""
        return {topic: list(records) for topic, records in self._topics.items()}

    async def come_back_from(self, copy, away_s):
        """Is away for a while, then comes back from a copy.

        Args:
          copy: The copy.
          away_s: How long it is away, in seconds.
        """
        self._away = True
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self._topics = {topic: list(copy[topic]) for topic in copy}
        self._members = {}
        self.era += 1
        self._away = False

    def _append(self, topic, key, data):
        self._topics.setdefault(topic, []).append((key, data))
        self._added.set()
        self._added = asyncio.Event()

    async def handle(self, request, writer):
        """Serves one call."""
        if self._away:
            writer.transport.abort()
            return
        path, _, text = request.start[1].partition("?")
        query = dict(parse.parse_qsl(text))
        kind, status = "application/json", 200
        if path == "/log-read":
            status, body = await self._read(query)
            kind = "application/octet-stream"
        elif path == "/log-newest":
            body = self._newest(query["topic"])
        elif path == "/log-append":
            body = self._log_append(query["topic"], request.body)
        elif path == "/log-join":
            body = self._join(json.loads(request.body))
        elif path == "/log-owners":
            members = self._members.get(query["group"], [])
            rows = [["readers", n, m, 0] for n, m in enumerate(members)]
            body = json.dumps({"parts": rows}).encode()
        else:
            status, body = 404, b"{}"
        await asyncio.sleep(0.004)
        headers = [("Content-Type", kind), ("Store-Era", self.era)]
        writer.write(answer_bytes(status, headers, body))
        await writer.drain()

    def _newest(self, topic):
        newest = dict(self._topics.get(topic, ()))
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(data).decode(),
                "offset": 0,
            }
            for key, data in newest.items()
            if data
        ]
        end = len(self._topics.get(topic, ()))
        page = {"items": items, "has_more": False, "end": end}
        return json.dumps(page).encode()

    def _log_append(self, topic, body):
        offset = len(self._topics.get(topic, ()))
        while body:
            size = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + size], body[4 + size :]
            end = 1 + content[0]
            self._append(topic, content[1:end], content[end:])
        end = len(self._topics.get(topic, ()))
        return json.dumps({"offset": offset, "end": end}).encode()

    def _join(self, call):
        members = self._members.setdefault(call["group"], [])
        if call["member"] not in members:
            members.append(call["member"])
            self._generation += 1
        parts = [["readers", members.index(call["member"]), 0]]
        answer = {"generation": self._generation, "ttl_ms": 6000}
        return json.dumps({**answer, "parts": parts}).encode()

    async def _read(self, query):
        records = self._topics.setdefault(query["topic"], [])
        start = int(query["from"])
        if start > len(records):
            return 410, b'{"first":0}'
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        while len(records) <= start and time.monotonic() < until:
            added = self._added
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await added.wait()
            except TimeoutError:
                break
        body = len(records).to_bytes(8, "big") + bytes(8)
        for key, data in records[start:]:
            content = bytes([len(key)]) + key + data
            body += len(content).to_bytes(4, "big") + content
        return 200, body


class Proxy:
    """A link to one address that a case can delay, cut or reset.

    Attributes:
      address: Where it listens, as IP:PORT.
      mode: "pass"; "silent", which delivers nothing in either direction;
        "answers", which delivers nothing of the answers; or "reset", which
        resets new connections.
      delay_s: How much later bytes are delivered, in seconds.
    """

    def __init__(self, target, host="127.0.0.1"):
        self._host, _, port = target.partition(":")
        self._port = int(port)
        self._own_host = host
        self._writers = set()
        self._server = None
        self.address = ""
        self.mode = "pass"
        self.delay_s = 0.0

    async def start(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, self._own_host, 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def reset(self):
        """Resets all connections."""
        linger = struct.pack("ii", 1, 0)
        for writer in list(self._writers):
            self._writers.discard(writer)
            sock = writer.get_extra_info("socket")
            if sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            self._writers.add(writer)
            self.reset()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, other_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._copy(reader, other_writer, False),
                self._copy(other_reader, writer, True),
            )
        finally:
            self._writers -= both
            for end in both:
                end.close()

    async def _copy(self, reader, writer, answers):
        try:
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.mode == "silent" or (
                    answers and self.mode == "answers"
                ):
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class Process:
    """One of the product's programs, with the command of the deploy file.

    Attributes:
      name: The name in its settings.
      log: The file with what it writes.
    """

    def __init__(self, role, settings, folder):
        self.name = settings["name"]
        self._role = role
        self._file = folder / f"{self.name}.json"
        self._file.write_text(json.dumps(settings))
        self.log = folder / f"{self.name}.log"
        self._process = None

    async def start(self):
        """Starts it at the root of the repository."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CLEMENTINEGW_NODE_FILE"] = str(self._file)
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-O",
                "platform/main.py",
                self._role,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def exit_code(self):
        """The exit code; None while it runs."""
        return self._process.returncode if self._process else None

    def signal(self, number):
        """Sends it a signal."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self, number=9):
        """Ends it with a signal and returns its exit code."""
        self.signal(number)
        return await self._process.wait() if self._process else None


BOUNDS = {
    "keys_ms": 5000,
    "weights_ms": 8000,
    "drain_ms": 2000,
    "listing_ms": 1200,
    "settled_ms": 3000,
    "grace_s": 8,
    "repeat_ratio": 0.2,
    "repeat_slack": 104,
    "repeat_window_s": 10,
    "cold_ratio": None,
    "cold_slack": None,
    "evacuation_ms": None,
}
ZONES = {"groningen-hal": "noord"}


def settings(name, host, store, ports, **fields):
    """Returns settings as the template of the deploy file gives them.

    Args:
      name: The name of the process.
      host: Its loopback address.
      store: The address of the store.
      ports: The first and the last port for the other processes.
      **fields: Fields that differ.
    """
    return {
        "name": name,
        "place": {"region": "noord", "failure_domain": "groningen-hal"},
        "regions": ZONES,
        "host": host,
        "peer_ports": list(ports),
        "callers_address": None,
        "ready_address": None,
        "store_address": store,
        "backend_address": None,
        "service": None,
        "link_mbps": 1000.0,
        "memory_mb": 300,
        "share_by_demand": False,
        "bounds": BOUNDS,
        **fields,
    }


async def wait_ready(address, timeout_s=20.0):
    """Waits until an entry answers that it is ready.

    Raises:
      CannotRun: It was not ready within `timeout_s` seconds.
    """
    host, _, port = address.partition(":")
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            if head is not None and head.start[1] == "200":
                return
        except OSError:
            pass
        await asyncio.sleep(0.1)
    raise CannotRun("an entry was not ready")


class Caller:
    """A client's connection to an entry."""

    def __init__(self, address):
        self._host, _, port = address.partition(":")
        self._port = int(port)
        self.reader = self.writer = None

    async def open(self):
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            self._host, self._port, limit=1 << 22
        )

    def send(self, method, path, headers=(), body=b""):
        """Sends a request."""
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)

    async def answer(self):
        """Returns the answer; its status is 0 without a whole one."""
        try:
            head = await read_head(self.reader)
            if head is None:
                return Message(["", "0"], {})
            head.body = await read_body(self.reader, head.headers)
            return head
        except OSError:
            return Message(["", "0"], {})

    def close(self):
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()


def attempt_id():
    """Returns a new id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def main(case, record_path, limit_s=110.0):
    """Runs a case and ends the process with its result.

    Args:
      case: Called with a folder for files, a `Record`, and a list that takes
        the processes it starts; returns whether the rule held.
      record_path: The file for what is sent, answered and run.
      limit_s: How long it may take, in seconds.
    """

    async def run():
        record = Record(record_path)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        files = pathlib.Path(tempfile.mkdtemp())
        processes = []
        try:
            async with asyncio.timeout(limit_s):
                held = await case(files, record, processes)
            return HELD if held else BROKEN
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            record.write(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            for process in processes:
                await process.end()
            if os.environ.get("KEEP"):
                print(files)
            else:
                shutil.rmtree(files, ignore_errors=True)
            record.close()

    try:
        code = asyncio.run(run())
    except Exception as error:  # The harness itself failed.
        print(repr(error))
        code = NOT_RUN
    sys.exit(code)
