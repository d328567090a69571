"""Stand-ins of model workers and of the origin of weights.

A worker works in passes as the users' page tells, with the figures of a sheet.
"""

import asyncio
import hashlib
import json
import random
import time
from urllib import parse

import standins

MODEL = "daka510000"
SERVICE = "assistent"
LAYERS, CHUNKS, CHUNK_BYTES = 16, 48, 49_152
SLOTS, STEP_MS, PER_SEQ_MS, CONTEXT_PER_K = 16, 7.4, 0.0387, 0.0203
READ_PER_MS, PAIRS_PER_M, CHUNK_TOKENS, STRIDE = 31.9, 0.733, 2048, 6
WARM_S, QUEUE = 0.3, 32
KV_TOKENS = 685_000
ORIGIN_BYTES_PER_S = 15e6 / 8


def piece(version, number):
    """Returns the bytes of a piece of a version."""
    return random.Random(f"{version}/{number}").randbytes(CHUNK_BYTES)


def service_entry(max_connections=274):
    """Returns the service in the operator's configuration."""
    return {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_connections": max_connections,
        "engine": {
            "slots": SLOTS,
            "kv_capacity": KV_TOKENS,
            "stride": STRIDE,
            "models": [{"name": MODEL, "pace": 1.0, "warm_s": WARM_S}],
            "step_ms": STEP_MS,
            "per_seq_ms": PER_SEQ_MS,
            "context_per_k": CONTEXT_PER_K,
            "read_per_s": READ_PER_MS * 1e3,
            "pairs_per_m": PAIRS_PER_M,
            "chunk": CHUNK_TOKENS,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 973, "answer": 106},
            "layers": LAYERS,
            "chunks": CHUNKS,
            "chunk_bytes": CHUNK_BYTES,
        },
    }


class Origin(standins.HttpServer):
    """The origin of weights, with a link of its own rate.

    Attributes:
      down: Whether it is down: its connections are reset.
    """

    def __init__(self):
        super().__init__()
        self.down = False
        self._link = asyncio.Lock()

    def set_down(self, down):
        """Crashes it, or brings it back."""
        self.down = down
        if down:
            for writer in list(self._writers):
                writer.transport.abort()

    async def handle(self, request, writer):
        """Serves digests and pieces."""
        if self.down:
            writer.transport.abort()
            return
        path, _, text = request.start[1].partition("?")
        query = dict(parse.parse_qsl(text))
        version = int(query.get("version", 1))
        kind = "application/json"
        if path.startswith("/manifest/"):
            digests = [
                hashlib.sha256(piece(version, n)).hexdigest()
                for n in range(CHUNKS)
            ]
            body = json.dumps(
                {
                    "model": MODEL,
                    "version": version,
                    "chunk_bytes": CHUNK_BYTES,
                    "layers": LAYERS,
                    "digests": digests,
                }
            ).encode()
        else:
            body = piece(version, int(query["num"]))
            kind = "application/octet-stream"
        async with self._link:
            await asyncio.sleep(len(body) / ORIGIN_BYTES_PER_S)
        if self.down:
            writer.transport.abort()
            return
        writer.write(standins.answer_bytes(200, [("Content-Type", kind)], body))
        await writer.drain()


class _Request:
    """A request at a worker."""

    def __init__(self, message, writer):
        usage = message.headers.get("x-clementinegw-token-usage", "1,1")
        prompt, output = usage.split(",")
        self.name = message.attempt_id
        self.unread = self.prompt = int(prompt)
        self.left = int(output)
        self.writer = writer
        self.events = int(message.headers.get("last-event-id", 0))
        self.done = asyncio.get_running_loop().create_future()
        self.gone = False
        self.begun = False


class Worker(standins.HttpServer):
    """A model worker of one machine.

    Attributes:
      name: Its id.
      version: The version that it holds; 0 for none.
      staged: What was staged, by number.
    """

    def __init__(self, host, port, name, record, on_begin):
        super().__init__(host, port)
        self.name = name
        self.version = 1
        self.staged = {n: piece(1, n) for n in range(CHUNKS)}
        self.busy = False
        self.slow = 1.0
        self.sequence = 0
        self._record = record
        self._on_begin = on_begin
        self._batch, self._queue = [], []
        self._work = asyncio.Event()
        self._task = None
        self._reports = []

    async def start(self):
        """Starts to listen and to work."""
        await super().start()
        self._task = asyncio.create_task(self._run())

    def held(self):
        """Returns what it says of its weights."""
        layers = {"from": 0, "target": LAYERS, "version": self.version}
        model = {"name": MODEL, "version": self.version, "adapters": []}
        return [{**model, "layers": layers}] if self.version else []

    def entry(self, number):
        """Returns its entry in the store."""
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": "groningen-hal",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": self.held(),
            "sequence": number,
        }

    def _report(self):
        used = sum(r.prompt for r in self._batch)
        return {
            "stage": "both",
            "models": self.held(),
            "busy": self.busy,
            "sequence": self.sequence,
            "queued": len(self._queue),
            "active": len(self._batch),
            "kv_used": used,
            "kv_total": KV_TOKENS,
            "handles": 0,
            "pace": self.slow,
        }

    async def handle(self, request, writer):
        """Serves one call."""
        path, _, text = request.start[1].partition("?")
        query = dict(parse.parse_qsl(text))
        status, kind, body = 200, "application/json", b""
        if path == "/report":
            body = json.dumps(self._report()).encode()
        elif path.startswith("/stage-put/"):
            self.staged[int(query["num"])] = request.body
        elif path.startswith("/stage-get/") and "num" in query:
            kind = "application/octet-stream"
            body = self.staged.get(int(query["num"]))
            status, body = (200, body) if body is not None else (404, b"")
        elif path.startswith("/stage-get/"):
            body = json.dumps({"held": sorted(self.staged)}).encode()
        elif path == "/order":
            status = self._order(json.loads(request.body))
        else:
            await self._serve_request(request, writer)
            return
        writer.write(
            standins.answer_bytes(status, [("Content-Type", kind)], body)
        )
        await writer.drain()

    def _order(self, order):
        if self.busy or order.get("expect", self.sequence) != self.sequence:
            return 409
        if order["version"] == self.version:
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self._load(order))
        return 202

    async def _load(self, order):
        running = [r for r in self._batch if not r.done.done()]
        if order.get("switch_mode") == "abort":
            for request in running:
                request.gone = True
                request.writer.transport.abort()
        self.version = 0
        await asyncio.sleep(WARM_S)
        self.version = order["version"]
        self.busy = False
        self._record.write(f"{self.name} holds version {self.version}")

    def _refusal(self, request):
        """Returns the status with which a request is not run; 0 for none."""
        headers = request.headers
        if headers.get("x-clementinegw-expect-instance", self.name) != (
            self.name
        ):
            return 421
        expected = headers.get("x-clementinegw-expect-version")
        if expected is not None and int(expected) != self.version:
            return 421
        if self.busy or not self.version:
            return 503
        if len(self._queue) >= QUEUE:
            return 503
        return 0

    async def _serve_request(self, request, writer):
        headers = [("X-Clementinegw-Attempt-Id", request.attempt_id)]
        status = self._refusal(request)
        if status:
            headers.append(("X-Clementinegw-Instance-Id", self.name))
            headers.append(("X-Clementinegw-Not-Executed", "1"))
            writer.write(standins.answer_bytes(status, headers, b""))
            await writer.drain()
            return
        job = _Request(request, writer)
        self._queue.append(job)
        self._work.set()
        # Its caller's leaving drops it, as most workers do.
        while not job.done.done():
            if writer.transport.is_closing() or writer.is_closing():
                job.gone = True
                return
            await asyncio.wait({job.done}, timeout=0.02)

    async def _run(self):
        while True:
            self._queue = [r for r in self._queue if not self._is_gone(r)]
            self._batch = [r for r in self._batch if not self._is_gone(r)]
            while self._queue and len(self._batch) < SLOTS and not self.busy:
                self._batch.append(self._queue.pop(0))
            if not self._batch:
                self._work.clear()
                try:
                    async with asyncio.timeout(0.05):
                        await self._work.wait()
                except TimeoutError:
                    pass
                continue
            await self._pass()

    @staticmethod
    def _is_gone(request):
        return (
            request.gone
            or request.done.done()
            or request.writer.transport.is_closing()
        )

    async def _pass(self):
        writers = [r for r in self._batch if not r.unread]
        steps = STRIDE if writers else 1
        ms = 0.0
        read = []
        for _ in range(steps):
            room = CHUNK_TOKENS
            for request in self._batch:
                if request.unread and room:
                    taken = min(room, request.unread)
                    request.unread -= taken
                    room -= taken
                    ms += taken / READ_PER_MS
                    if not request.unread:
                        ms += PAIRS_PER_M * request.prompt**2 / 2e6
                        read.append(request)
            if writers:
                context = sum(r.prompt for r in writers) / 1e3
                ms += STEP_MS + PER_SEQ_MS * len(writers)
                ms += CONTEXT_PER_K * context
        if not writers:
            ms += STEP_MS
        await asyncio.sleep(ms / 1e3 * self.slow)
        version = self.version
        for request in read:
            if not self._is_gone(request) and version:
                request.begun = True
                self._on_begin(self, request.name, version, time.monotonic())
        for request in [*writers, *read]:
            if not self._is_gone(request) and version:
                self._emit(request, version)

    def _emit(self, request, version):
        if request.events == 0 and not getattr(request, "headed", False):
            request.headed = True
            head = [
                "HTTP/1.1 200 OK",
                f"X-Clementinegw-Attempt-Id: {request.name}",
                f"{standins.SEAL}: seal.{request.name}",
                f"X-Clementinegw-Weight-Versions: {version}",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "",
                "",
            ]
            request.writer.write("\r\n".join(head).encode())
        request.events += 1
        request.left -= STRIDE
        data = f"id: {request.events}\ndata: {'x' * 50}\n\n".encode()
        request.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        if request.left <= 0:
            request.writer.write(b"0\r\n\r\n")
            request.done.set_result(None)
