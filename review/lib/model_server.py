"""Stand-ins of a model server and of the origin of weights."""

import asyncio
import hashlib
import json
import time

import http_server

PIECES = 48
PIECE_BYTES = 49_152
LAYERS = 16
SLOTS = 16
MODEL = "m0"
SERVICE = "assistant"
# How long a load takes, in seconds.
_WARM_S = 0.3
# A piece that turned bad within this time before a load is excused, in seconds
# (RULES, WHOLE).
EXCUSED_S = 3.0
_EVENTS = 6
_EVENT_INTERVAL_S = 0.03


def piece(version, number):
    """Returns the bytes of a piece of a version."""
    seed = hashlib.sha256(f"{version}/{number}".encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


def pieces_of_layer(layer):
    """Returns the numbers of the pieces that a layer needs."""
    first = layer * PIECES // LAYERS
    end = -(-(layer + 1) * PIECES // LAYERS)
    return range(first, end)


class ModelServer:
    """A model server: stages pieces, takes load orders and makes streams.

    Attributes:
      server_id: Its id in the store.
      version: The version that it serves; 0 while it holds none.
      broken: Descriptions of tokens that break WHOLE.
      runs: The attempt id and the version of each request that began.
      on_stage_get: Called with each piece's number before it is sent; None
        for nothing.
    """

    def __init__(self, server_id, host, port, zone, store, record):
        self.server_id = server_id
        self._host, self._port, self._zone = host, port, zone
        self._store = store
        self._record = record
        self.version = 1
        self._sequence = 0
        self._beats = 0
        self._busy = False
        self._staged = {n: piece(1, n) for n in range(PIECES)}
        self._bad_since = {}
        self._bad_layers = {}
        self._running = set()
        self.broken = []
        self.runs = []
        self.orders = []
        self.on_stage_get = None

    async def start(self):
        """Listens and registers itself in the store."""
        self._server, _ = await http_server.serve(
            self._handle, self._host, self._port
        )
        self._beating = asyncio.create_task(self._beat())

    def spoil(self, number):
        """Turns a staged piece bad."""
        data = self._staged[number]
        self._staged[number] = bytes([data[0] ^ 1]) + data[1:]
        self._bad_since[number] = time.monotonic()
        self._record(f"{self.server_id} staged piece {number} turns bad")

    def staged(self, number):
        """Returns the staged bytes of a piece; None if there are none."""
        return self._staged.get(number)

    async def _beat(self):
        while True:
            self._beats += 1
            value = {
                "service": SERVICE,
                "address": f"{self._host}:{self._port}",
                "zone": self._zone,
                "version": "s1",
                "slots": SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._beats,
                "stage": "both",
                "models": self._models(),
            }
            self._store.put("keyed.servers", self.server_id, value)
            await asyncio.sleep(1.2)

    def _models(self):
        if not self.version:
            return []
        layers = {"from": 0, "target": LAYERS, "version": self.version}
        return [
            {
                "name": MODEL,
                "version": self.version,
                "adapters": [],
                "layers": layers,
            }
        ]

    async def _handle(self, call):
        name = call.path.split("/")[1]
        handlers = {
            "report": self._report,
            "stage-get": self._stage_get,
            "stage-put": self._stage_put,
            "order": self._order,
        }
        await handlers.get(name, self._request)(call)

    async def _report(self, call):
        report = {
            "stage": "both",
            "models": self._models(),
            "busy": self._busy,
            "sequence": self._sequence,
            "queued": 0,
            "active": len(self._running),
            "kv_used": 0,
            "kv_total": 685_000 * LAYERS,
            "handles": 0,
            "pace": 1.0,
        }
        await call.answer(200, json.dumps(report).encode())

    async def _stage_get(self, call):
        if "num" not in call.query:
            held = {"held": sorted(self._staged)}
            await call.answer(200, json.dumps(held).encode())
            return
        number = int(call.query["num"])
        data = self._staged.get(number)
        if self.on_stage_get is not None:
            self.on_stage_get(number)
        await call.answer(200 if data is not None else 404, data or b"")

    async def _stage_put(self, call):
        number = int(call.query["num"])
        self._staged[number] = call.body
        self._bad_since.pop(number, None)
        await call.answer(200)

    async def _order(self, call):
        order = json.loads(call.body)
        if self._busy or order.get("expect", self._sequence) != self._sequence:
            await call.answer(409)
            return
        version = order["version"]
        now = time.monotonic()
        self._sequence += 1
        self._busy = True
        self.version = 0
        self._bad_layers = {}
        for layer in range(LAYERS):
            for number in pieces_of_layer(layer):
                data = self._staged.get(number)
                bad_s = now - self._bad_since.get(number, 0.0)
                if data != piece(version, number) and bad_s > EXCUSED_S:
                    self._bad_layers[layer] = number
        self.orders.append(version)
        self._record(
            f"{self.server_id} accepts the order to load version {version};"
            f" layers with a bad piece: {self._bad_layers}"
        )
        for task in [*self._running]:
            task.cancel()
        await call.answer(202)
        asyncio.get_running_loop().call_later(_WARM_S, self._loaded, version)

    def _loaded(self, version):
        self._busy = False
        self.version = version
        self._record(f"{self.server_id} serves version {version}")

    async def _request(self, call):
        attempt_id = call.headers.get("x-clementinegw-attempt-id", "")
        expected = call.headers.get("x-clementinegw-expect-version")
        wrong = (
            call.headers.get("x-clementinegw-expect-instance") != self.server_id
            or not self.version
            or expected not in (None, str(self.version))
        )
        if wrong:
            name = ("X-Clementinegw-Instance-Id", self.server_id)
            await call.answer(421, b"", [name])
            return
        task = asyncio.current_task()
        stream = asyncio.ensure_future(self._stream(call, attempt_id))
        self._running.add(stream)
        try:
            await asyncio.wait({stream})
            if stream.cancelled():
                # The load aborts it.
                call.writer.transport.abort()
            else:
                stream.result()
        finally:
            self._running.discard(stream)
            if task.cancelling():
                stream.cancel()

    async def _stream(self, call, attempt_id):
        version = self.version
        self.runs.append((attempt_id, version))
        self._record(f"{self.server_id} runs {attempt_id} on version {version}")
        if self._bad_layers:
            self.broken.append(
                f"{self.server_id} makes tokens of {attempt_id} on version"
                f" {version} with layer: spoilt piece {self._bad_layers}"
            )
        await call.begin(
            [
                ("Content-Type", "text/event-stream"),
                ("X-Clementinegw-Attempt-Id", attempt_id),
                ("X-Clementinegw-Response-Seal", f"seal.{attempt_id}"),
                ("X-Clementinegw-Weight-Versions", version),
                (
                    "X-Clementinegw-Server-Load",
                    f"{len(self._running)},0,{SLOTS}",
                ),
            ]
        )
        last = int(call.headers.get("last-event-id", 0))
        for number in range(last + 1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            await call.part(f"id: {number}\ndata: t{number}\n\n".encode())
        await call.part(b"")


class Origin:
    """The origin of weights.

    Attributes:
      address: Where it listens, as IP:PORT.
      spoil_manifest: Called with the answer to a manifest call and its version;
        returns what is sent.
      cut_until: Until then it closes connections without an answer, in
        monotonic seconds.
    """

    def __init__(self, record):
        self._record = record
        self.address = ""
        self.manifests = 0
        self.pieces = 0
        self.spoil_manifest = None
        self.cut_until = 0.0

    async def start(self, host):
        """Listens on a free port of a loopback address."""
        self._server, port = await http_server.serve(self._handle, host)
        self.address = f"{host}:{port}"

    async def _handle(self, call):
        if time.monotonic() < self.cut_until:
            call.writer.transport.abort()
            return
        version = int(call.query.get("version", 1))
        if call.path.startswith("/manifest/"):
            self.manifests += 1
            digests = [
                hashlib.sha256(piece(version, number)).hexdigest()
                for number in range(PIECES)
            ]
            manifest = {
                "model": MODEL,
                "version": version,
                "chunk_bytes": PIECE_BYTES,
                "layers": LAYERS,
                "digests": digests,
            }
            body = json.dumps(manifest).encode()
            if self.spoil_manifest is not None:
                body = self.spoil_manifest(body, version)
            await call.answer(200, body)
            return
        self.pieces += 1
        await call.answer(200, piece(version, int(call.query["num"])))
