"""A small deployment: the project's entries and agents as processes."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

import http_server
import model_server
import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
HOST = "clients.example"
KEY = "key-of-the-tenant"
DEADLINE_MS = 6_075
# The bounds of RULES for this deployment, as in the sheets of SYSTEM.
BOUNDS = {
    "keys_ms": 5_000,
    "weights_ms": 8_000,
    "drain_ms": 2_000,
    "listing_ms": 1_200,
    "settled_ms": 3_000,
    "grace_s": 8,
    "repeat_ratio": 0.2,
    "repeat_slack": 104,
    "repeat_window_s": 10,
}
RECOVERY_S = 12.0


class Process:
    """A daemon in a process of its own, as the deploy file starts it.

    Attributes:
      name: Its name in the record.
    """

    def __init__(self, role, name, settings, folder, record):
        self._role = role
        self.name = name
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self._log = folder / f"{name}.log"
        self._record = record
        self._process = None

    async def start(self):
        """Starts the process."""
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CLEMENTINEGW_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-O",
                "platform/main.py",
                self._role,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._record(f"{self.name} starts")

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number):
        """Sends a signal, if the process runs."""
        if self.running:
            self._process.send_signal(number)
            self._record(f"{self.name} gets {signal.Signals(number).name}")

    async def kill(self):
        """Ends the process at once and waits for it."""
        if self.running:
            self._process.kill()
        if self._process is not None:
            await self._process.wait()
            self._record(f"{self.name} is killed")


class Site:
    """Three zones with one entry, one model server and one agent each.

    Attributes:
      store: The platform's store.
      origin: The origin of weights.
      servers: The model servers.
      entries: The entries.
      agents: The agents, in the order of the servers.
      answers: For each request: when it was sent, its status, and whether its
        answer was complete.
    """

    def __init__(self, folder, record_path, server_zones=tuple(ZONES)):
        self._folder = folder
        self._record_file = record_path.open("w")
        self._began_at = time.monotonic()
        net = f"127.{20 + os.getpid() // 250 % 200}.{1 + os.getpid() % 250}"
        self._platform_host = f"{net}.250"
        self.store = stores.Store()
        self.origin = model_server.Origin(self.record)
        self.entries, self.agents, self.servers = [], [], []
        self._fronts = []
        self.answers = []
        self._requests = 0
        self._hosts = {
            "entry": [f"{net}.{10 + n}" for n in range(len(ZONES))],
            "agent": [f"{net}.{100 + n}" for n in range(len(server_zones))],
        }
        self._server_zones = server_zones

    def record(self, text):
        """Writes a line with the time in seconds to the record."""
        now = time.monotonic() - self._began_at
        self._record_file.write(f"{now:9.3f} {text}\n")
        self._record_file.flush()

    async def start(self):
        """Starts the stand-ins, then the processes, and waits for them.

        Raises:
          RuntimeError: The entries weren't ready in time.
        """
        await self.store.start(self._platform_host)
        await self.origin.start(self._platform_host)
        self.store.put("keyed.op", "config", self._config())
        base = await _free_ports(self._platform_host)
        for number, zone in enumerate(self._server_zones):
            host = self._hosts["agent"][number]
            server = model_server.ModelServer(
                f"i-{number}", host, base + 20, zone, self.store, self.record
            )
            await server.start()
            self.servers.append(server)
            settings = self._settings(f"side-{zone}-{number}", zone, host, base)
            settings |= {
                "backend_address": f"{host}:{base + 20}",
                "service": model_server.SERVICE,
                "link_mbps": 4.7,
                "memory_mb": 168,
            }
            self.agents.append(self._process("agent", settings))
        for number, zone in enumerate(ZONES):
            host = self._hosts["entry"][number]
            settings = self._settings(f"front-{zone}", zone, host, base)
            settings |= {
                "callers_address": f"{host}:{base + 25}",
                "ready_address": f"{host}:{base + 22}",
                "link_mbps": 1_000.0,
                "memory_mb": 300,
            }
            self._fronts.append((host, base + 25, base + 22))
            self.entries.append(self._process("entry", settings))
        await self.start_processes()
        await self.wait_ready()

    async def start_processes(self):
        """Starts all entries and agents."""
        for process in [*self.entries, *self.agents]:
            await process.start()

    async def wait_ready(self, timeout_s=15.0):
        """Waits until all entries report that they are ready.

        Raises:
          RuntimeError: They weren't in time, in seconds.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            states = [await self._is_ready(*front) for front in self._fronts]
            if all(states):
                self.record("all entries are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entries aren't ready")

    async def stop(self):
        """Ends all processes that were started."""
        for process in [*self.entries, *self.agents]:
            await process.kill()
        self._record_file.close()

    async def send(self, number):
        """Sends a streaming request to an entry and records its answer.

        Args:
          number: Number of the entry.
        """
        self._requests += 1
        attempt_id = f"{self._requests:016x}"
        sent_at = time.monotonic()
        host, port, _ = self._fronts[number % len(self._fronts)]
        self.record(f"{attempt_id} is sent to entry {host}")
        status, complete = 0, False
        try:
            async with asyncio.timeout(DEADLINE_MS / 1e3):
                status, complete = await self._exchange(host, port, attempt_id)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        self.answers.append((sent_at, status, complete))
        self.record(f"{attempt_id} is answered {status}, complete: {complete}")

    async def traffic(self, per_s, until):
        """Sends requests to all entries in turn until a time.

        Args:
          per_s: Requests a second.
          until: Monotonic seconds.
        """
        tasks = set()
        number = 0
        while time.monotonic() < until:
            tasks.add(asyncio.create_task(self.send(number)))
            number += 1
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*tasks)

    def served_share(self, since, until):
        """Returns the served share of the requests sent within a time.

        Args:
          since: Monotonic seconds.
          until: Monotonic seconds.
        """
        sent = [a for a in self.answers if since <= a[0] < until]
        served = [a for a in sent if a[1] == 200 and a[2]]
        self.record(
            f"{len(served)} of {len(sent)} requests sent from"
            f" {since - self._began_at:.1f} s to {until - self._began_at:.1f} s"
            " are served"
        )
        return len(served) / max(1, len(sent))

    async def _exchange(self, host, port, attempt_id):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            body = b'{"prompt": "x"}'
            head = [
                "POST /chat/1 HTTP/1.1",
                f"Host: {HOST}",
                f"X-Clementinegw-Attempt-Id: {attempt_id}",
                f"X-Clementinegw-Model: {model_server.MODEL}",
                "X-Clementinegw-Token-Usage: 200,12",
                "X-Clementinegw-Prompt-Prefix: 5c1e07a2:40,91bd3f06:160",
                f"X-Clementinegw-Deadline-Ms: {DEADLINE_MS}",
                f"Authorization: Token {KEY}",
                f"Content-Length: {len(body)}",
            ]
            writer.write("\r\n".join([*head, "", ""]).encode() + body)
            text = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            status = int(text.split(" ")[1])
            if "transfer-encoding: chunked" in text:
                data = await http_server.read_chunked(reader)
                return status, data.count(b"id: ") == 6
            return status, False
        finally:
            writer.close()

    async def _is_ready(self, host, _, port):
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False

    def _process(self, role, settings):
        return Process(
            role, settings["name"], settings, self._folder, self.record
        )

    def _settings(self, name, zone, host, base):
        return {
            "name": name,
            "place": {"region": ZONES[zone], "failure_domain": zone},
            "regions": ZONES,
            "host": host,
            "peer_ports": [base, base + 15],
            "callers_address": None,
            "ready_address": None,
            "store_address": self.store.address,
            "backend_address": None,
            "service": None,
            "share_by_demand": False,
            "bounds": BOUNDS,
        }

    def _config(self):
        route = {
            "name": "chat",
            "host": HOST,
            "path_prefix": "/chat/",
            "kind": "streaming",
            "service": model_server.SERVICE,
            "timeout_ms": 6_000,
            "target_latency_ms": 400,
            "gap_target_ms": 300,
            "max_attempts": 2,
            "priority": 1,
            "stream_resume": True,
            "session_affinity": True,
        }
        engine = {
            "slots": model_server.SLOTS,
            "step_ms": 7.4,
            "per_seq_ms": 0.0387,
            "read_per_s": 31_900,
            "stride": 6,
            "layers": model_server.LAYERS,
            "chunks": model_server.PIECES,
            "chunk_bytes": model_server.PIECE_BYTES,
            "report_lag_ms": 200,
            "usual": {"prompt": 200, "answer": 12},
            "kv_capacity": 685_000,
            "models": [{"name": model_server.MODEL, "warm_s": 0.3}],
        }
        return {
            "version": 3,
            "routes": [route],
            "services": [
                {
                    "name": model_server.SERVICE,
                    "max_connections": 274,
                    "engine": engine,
                },
                {
                    "name": "origin",
                    "max_connections": 48,
                    "origin": self.origin.address,
                    "link_mbps": 15.0,
                },
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "tenant", "api_keys": [KEY]}],
        }


async def _free_ports(host):
    """Returns the first of 30 ports below the kernel's range, likely free.

    All addresses of a site are its own, so a port is only taken if another
    process listens on all addresses.
    """
    for base in range(20_000, 30_000, 30):
        try:
            servers = [
                await asyncio.start_server(lambda r, w: None, host, base + n)
                for n in (0, 15, 20, 22, 25)
            ]
        except OSError:
            continue
        for server in servers:
            server.close()
            await server.wait_closed()
        return base
    raise RuntimeError("no free ports")


# The exit code of a broken rule; `run.sh` makes it 1, and 2 of all other codes
# but 0, so that an error of Python itself does not count as a broken rule.
_BROKEN = 3
_COULD_NOT_RUN = 2


def main(scenario, folder, record_path, limit_s=110.0):
    """Runs a scenario and exits with 0, or 3 if the rule was broken, or 2.

    SIGTERM and SIGINT end it, and all processes that it started.

    Args:
      scenario: A coroutine function that takes a folder and the record's path
        and returns whether the rule held.
      folder: A temporary folder.
      record_path: Where the record is written.
      limit_s: After this time the case counts as not run, in seconds.
    """

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await scenario(folder, record_path)

    try:
        held = asyncio.run(run())
        if http_server.failures:
            raise RuntimeError(f"stand-ins failed: {http_server.failures[:3]}")
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(_COULD_NOT_RUN)
    print("the rule held" if held else "the rule was BROKEN")
    sys.exit(0 if held else _BROKEN)
