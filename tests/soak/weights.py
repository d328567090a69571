"""A soak of agents: model servers load intact weights under faults."""

import asyncio
import hashlib
import json
import os
import random
import signal

import platform_site as sites
import process as processes
import proxy as proxies

from clementinegw import types as shared_types
from clementinegw.direct import server as servers

MODEL = "m"
AGENTS = 4
LAYERS = 4
PIECES = 12
PIECE_BYTES = 4096
LOAD_S = 0.2
# How long a staged piece may be corrupted between its check and the load order,
# in seconds. The rules allow three; here both are local and far quicker.
MAX_UNDETECTED_S = 0.5
# From the last fault until every server must hold the newest version, in
# seconds: a version that stalled is retried after four seconds, and must then
# be fetched and loaded.
CONVERGENCE_TIMEOUT_S = 14.0
MAX_MEMORY_MB = 120


def piece(version, number):
    """Returns the bytes of a piece."""
    seed = f"{version}/{number}".encode()
    return hashlib.sha256(seed).digest() * (PIECE_BYTES // 32)


def manifest(version):
    """Returns the manifest of a version as the origin sends it."""
    digests = [
        hashlib.sha256(piece(version, number)).hexdigest()
        for number in range(PIECES)
    ]
    fields = {
        "version": version,
        "digests": digests,
        "chunk_bytes": PIECE_BYTES,
    }
    return json.dumps(fields).encode()


class ModelServer:
    """A model server that verifies nothing, like the real one.

    Attributes:
      start_count: How often it started.
      load_count: How many load orders it accepted.
      version: The version that is loaded; 0 for none, -1 while one loads.
      layers: How many of its layers are loaded.
      sequence: The number of orders accepted since the start.
      staged: The staged pieces by number.
    """

    max_undetected_s = MAX_UNDETECTED_S

    def __init__(self, name, violations):
        self.name = name
        self.start_count = 0
        self.load_count = 0
        self._violations = violations
        self._server = servers.Server(self._handle)
        self.restart()

    @property
    def server_id(self):
        return f"{self.name}-{self.start_count}"

    def restart(self):
        """Restarts without layers and staged pieces."""
        self.start_count += 1
        self.version = 0
        self.layers = 0
        self.sequence = 0
        self.staged = {}
        self._corrupted_at = {}

    def corrupt_staged(self, rng):
        """Corrupts a random staged piece, if there is one."""
        if self.staged:
            self.corrupt(rng.choice(sorted(self.staged)))

    def corrupt(self, number):
        """Corrupts a staged piece."""
        self.staged[number] = b"r" * PIECE_BYTES
        self._corrupted_at[number] = asyncio.get_running_loop().time()

    async def start(self, host, port):
        await self._server.listen(shared_types.Address(host, port))

    async def stop(self):
        await self._server.stop()

    async def _handle(self, request, responder):
        path, _, query = request.target.partition("?")
        handlers = {
            "report": self._report,
            "stage-get": self._stage_get,
            "stage-put": self._stage_put,
            "order": self._order,
        }
        status, body = handlers[path.split("/")[1]](query, request.body)
        await responder.answer(status, [], body)

    def _report(self, query, body):
        del query, body
        layers = {"from": 0, "target": self.layers, "version": self.version}
        held = [{"name": MODEL, "version": self.version, "layers": layers}]
        report = {
            "models": held if self.version else [],
            "busy": self.version < 0,
            "sequence": self.sequence,
        }
        if self.version < 0:
            report["models"] = []
        return 200, json.dumps(report).encode()

    def _stage_get(self, query, body):
        del body
        if not query:
            return 200, json.dumps({"held": sorted(self.staged)}).encode()
        found = self.staged.get(int(query.partition("=")[2]))
        return (200, found) if found is not None else (404, b"")

    def _stage_put(self, query, body):
        self.staged[int(query.partition("=")[2])] = bytes(body)
        return 200, b""

    def _order(self, query, body):
        del query
        order = json.loads(body)
        if self.version < 0 or order["expect"] != self.sequence:
            return 409, b""
        version, target = order["version"], order.get("target", LAYERS)
        # Layers of the same version that are loaded already stay.
        first = self.layers if version == self.version else 0
        per_layer = PIECES // LAYERS
        self._check_staged(
            version, range(first * per_layer, target * per_layer)
        )
        self.sequence += 1
        self.load_count += 1
        self.version = -1
        start = self.start_count
        asyncio.get_running_loop().call_later(
            LOAD_S, self._finish_load, start, version, target
        )
        return 202, b""

    def _finish_load(self, start, version, layers):
        if start == self.start_count:
            self.version = version
            self.layers = layers

    def _check_staged(self, version, numbers):
        """Checks the pieces that a load takes."""
        cutoff = asyncio.get_running_loop().time() - self.max_undetected_s
        wrong = [
            number
            for number in numbers
            if self.staged.get(number) != piece(version, number)
            and self._corrupted_at.get(number, cutoff) <= cutoff
        ]
        if wrong:
            self._violations.append(
                f"corrupt weights: {self.name} loads {version}, pieces {wrong}"
            )


class Origin:
    """The origin of weights; sends a share of its answers corrupted.

    Attributes:
      corrupt_share: The share of its pieces.
      corrupt_manifest_share: The share of its manifests.
    """

    def __init__(self, rng):
        self._rng = rng
        self.corrupt_share = 0.0
        self.corrupt_manifest_share = 0.0
        self.server = servers.Server(self._handle)

    async def _handle(self, request, responder):
        path, _, text = request.target.partition("?")
        query = dict(part.split("=") for part in text.split("&"))
        version = int(query["version"])
        if path.startswith("/manifest"):
            body = manifest(version)
            if self._rng.random() < self.corrupt_manifest_share:
                body = self._corrupt_manifest(version)
        elif self._rng.random() < self.corrupt_share:
            body = b"s" * PIECE_BYTES
        else:
            body = piece(version, int(query["num"]))
        await responder.answer(200, [], body)

    def _corrupt_manifest(self, version):
        """Returns a manifest with one wrong digit, a part, or another one."""
        body = manifest(version)
        digest = hashlib.sha256(piece(version, self._rng.randrange(PIECES)))
        good = digest.hexdigest().encode()
        digit = b"0" if good[:1] != b"0" else b"1"
        return self._rng.choice(
            (
                body.replace(good, digit + good[1:]),
                body[: self._rng.randrange(1, len(body))],
                manifest(max(1, version - 1)),
            )
        )


class Soak:
    """Runs one seed against agents beside model servers.

    Times are in seconds since the soak began.

    Attributes:
      violations: A line for each guarantee that was violated.
      plan: The faults injected, as pairs of a time and a kind.
    """

    server_type = ModelServer

    def __init__(self, seed, seconds, code, folder):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._code = code
        self._folder = folder
        self._declared_version = 1
        self._started_at = 0.0
        # Addresses of this process alone: several soaks may run at once.
        net = f"127.{1 + os.getpid() % 250}.{1 + seed % 250}"
        self._hosts = [f"{net}.{11 + number}" for number in range(AGENTS)]
        self._ports = (17_841, 17_844, 17_845)
        self.violations = []
        self.plan = []
        self.store = sites.Store()
        self.origin = Origin(random.Random(seed + 1))
        self.servers = [
            self.server_type(f"i-{number}", self.violations)
            for number in range(AGENTS)
        ]
        self.agents = [
            processes.Agent(number, code, folder, self._hosts, self._ports)
            for number in range(AGENTS)
        ]

    @property
    def operation_count(self):
        """The number of load orders that servers accepted."""
        return sum(server.load_count for server in self.servers)

    @property
    def now(self):
        return asyncio.get_running_loop().time() - self._started_at

    async def run(self):
        """Runs the seed and returns the violations."""
        self._started_at = asyncio.get_running_loop().time()
        await self.store.start()
        self.store_proxy = proxies.Proxy(self.store.address.port)
        self._store_port = await self.store_proxy.start()
        origin = await sites.listen(self.origin.server)
        self.origin_proxy = proxies.Proxy(origin.port)
        self._put_config(await self.origin_proxy.start())
        for number, server in enumerate(self.servers):
            await server.start(self._hosts[number], self._ports[2])
            self._put_record(number)
        for agent in self.agents:
            await agent.start(self._store_port)
        await self._run_faults()
        await self._wait_until_converged()
        for agent in self.agents:
            agent.poll()
            await agent.end(signal.SIGKILL)
            self.violations += agent.violations(MAX_MEMORY_MB)
        for server in self.servers:
            await server.stop()
        await self.origin_proxy.stop()
        await self.origin.server.stop()
        await self.store_proxy.stop()
        await self.store.stop()
        return self.violations

    async def _wait_until_converged(self):
        """Waits until every server holds the newest version."""
        until = self.now + CONVERGENCE_TIMEOUT_S
        while self.now < until:
            if all(
                (s.version, s.layers) == (self._declared_version, LAYERS)
                for s in self.servers
            ):
                return
            await asyncio.sleep(0.1)
        held = [(server.version, server.layers) for server in self.servers]
        self.violations.append(
            f"convergence: {held} held, {self._declared_version} declared"
        )

    # Faults.

    def _actions(self):
        """Returns the faults by their names."""
        return {
            "declare": self._fault_declare,
            "two_versions": self._fault_two_versions,
            "kill": self._fault_kill,
            "stop": self._fault_stop,
            "rot": self._fault_corrupt_staged,
            "spoil": self._fault_corrupt_origin,
            "manifest": self._fault_corrupt_manifests,
            "server": self._fault_restart_server,
            "origin_link": lambda: self.origin_proxy.inject_fault(self._rng),
            "store_link": lambda: self.store_proxy.inject_fault(self._rng),
        }

    async def _run_faults(self):
        actions = self._actions()
        running = set()
        while self.now < self._seconds:
            kind = self._rng.choice(sorted(actions))
            self.plan.append((round(self.now, 1), kind))
            running.add(asyncio.create_task(actions[kind]()))
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            for agent in self.agents:
                agent.poll()
        await asyncio.gather(*running)
        # A later version would replace the one with the corrupt manifest.
        await self._fault_corrupt_manifests()

    async def _fault_declare(self):
        self._declared_version += 1
        declared = {"model": MODEL, "version": self._declared_version}
        self.store.put("keyed.op", f"version/{MODEL}", declared)

    async def _fault_two_versions(self):
        await self._fault_declare()
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        await self._fault_declare()

    async def _fault_kill(self):
        agent = self._rng.choice(self.agents)
        if agent.exit_expected:
            return
        await agent.end(signal.SIGKILL)
        await agent.start(self._store_port)

    async def _fault_stop(self):
        agent = self._rng.choice(self.agents)
        await agent.pause(self._rng)

    async def _fault_corrupt_staged(self):
        for _ in range(20):
            self._rng.choice(self.servers).corrupt_staged(self._rng)
            await asyncio.sleep(0.1)

    async def _fault_corrupt_origin(self):
        self.origin.corrupt_share = 0.3
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self.origin.corrupt_share = 0.0

    async def _fault_corrupt_manifests(self):
        """A version is declared whose manifests are corrupt for a while."""
        self.origin.corrupt_manifest_share = 0.6
        await self._fault_declare()
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self.origin.corrupt_manifest_share = 0.0

    async def _fault_restart_server(self):
        """A model server restarts without any weights."""
        number = self._rng.randrange(AGENTS)
        former = self.servers[number].server_id
        self.servers[number].restart()
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        self.store.put("keyed.servers", former, None)
        self._put_record(number)

    def _put_record(self, number):
        server = self.servers[number]
        record = {
            "service": "engine",
            "address": f"{self._hosts[number]}:{self._ports[2]}",
            "zone": f"d{number}",
            "slots": 8,
            "state": "ready",
        }
        self.store.put("keyed.servers", server.server_id, record)

    def _put_config(self, origin_port):
        engine = {
            "slots": 8,
            "step_ms": 7.0,
            "models": [{"name": MODEL}],
            "layers": LAYERS,
            "chunks": PIECES,
            "chunk_bytes": PIECE_BYTES,
        }
        services = [
            {"name": "plain"},
            {"name": "engine", "engine": engine},
            {
                "name": "origin",
                "origin": f"127.0.0.1:{origin_port}",
                "link_mbps": 8.0,
            },
        ]
        config = sites.config(1, services=services)
        self.store.put("keyed.op", "config", config)
