"""A soak of entries with many open streams and ever new configurations.

Beside them entries are restarted, reloaded, killed and suspended, links to
servers fall silent, and callers use each connection for as long as they can,
read slowly, close their half of it or leave. Each request must end with an
answer and with a line in a log; see `losses`.
"""

import asyncio
import json
import random
import signal
import socket

import entries
import losses as losses_lib
import platform_site as sites
import process as processes

MODEL = "m"
GRACE_S = 6.0
TIMEOUT_S = 6.0
# How long a caller waits for the end of an answer, in seconds: the timeout,
# the longest suspension of an entry, and what slow reading adds.
MAX_ANSWER_S = 16.0
MAX_ROUTES = 1_900
STALL_S = 0.3
# Kinds of routes with the kind that the checker knows, and how often callers
# use them. No server has the service of the last one.
KINDS = {
    "stream": ("stream", 8),
    "fixed": ("stream_once", 6),
    "engine": ("stream", 5),
    "safe": ("safe", 1),
    "once": ("once", 1),
    "absent": ("stream", 1),
}
# How callers use their connections, and how often.
MANNERS = {
    "keeping": 8,
    "new": 3,
    "slow": 3,
    "half-closing": 1,
    "leaving": 1,
}


class _SlowReader:
    """Reads some hundred bytes every tenth of a second."""

    def __init__(self, reader):
        self._reader = reader

    async def read(self, limit):
        await asyncio.sleep(0.1)
        return await self._reader.read(min(limit, 600))


class _Caller(sites.Caller):
    """A caller's connection to the present start of an entry."""

    def __init__(self, entry):
        super().__init__(None)
        self.incarnation = (entry.number, entry.started_at)
        self._port = entry.port

    async def open(self, slow):
        sock = socket.socket()
        if slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (processes.HOST, self._port))
        except BaseException:
            sock.close()
            raise
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=1024 if slow else 65536
        )
        if slow:
            self.reader = _SlowReader(self.reader)


class Soak(entries.Soak):
    """Runs one seed against entries that relay streams."""

    bounds = {"grace_s": GRACE_S}
    entry_count = 4
    caller_count = 48
    fault_interval_s = (0.2, 0.8)
    # A request that meets one is lost, which the check of losses would count.
    second_answer_share = 0.0
    # As on a platform: a spent budget would end streams that can be resumed.
    retry_limits = (0.2, 104.0)

    def __init__(self, *args):
        super().__init__(*args)
        self._ending = False
        self._config = {}
        self.losses = losses_lib.Losses(GRACE_S)

    # Servers.

    def _put_record(self, server):
        # A few slots, so that most servers are nearly full.
        number = self.servers.index(server)
        layers = {"from": 0, "target": 1, "version": 1}
        record = server.record(
            "engine" if number % 2 else "plain",
            address=server.listed_address,
            slots=3,
            models=[{"name": MODEL, "version": 1, "layers": layers}],
        )
        self.store.put("keyed.servers", server.name, record)

    async def _serve(self, server, call):
        self.checker.record_arrival(call.attempt_id, self.now)
        if self._rng.random() < self._reject_share:
            call.reject()
            return
        self.checker.record_run(server, call)
        # By its first name, as a server that is replaced keeps its link.
        name = server.name.rstrip("x")
        run = losses_lib.Run(name, self.now)
        self.losses.runs[call.attempt_id].append(run)
        await asyncio.sleep(self._rng.uniform(0.005, 0.1))
        if call.head.target.split(b"/")[1] in (b"safe", b"once"):
            call.answer(f"answer to {call.attempt_id}".encode())
            run.end = "answered"
        else:
            run.end = await self._run_stream(call)
        run.ended_at = self.now

    async def _run_stream(self, call):
        """Sends the events that the attempt id decides; returns the end."""
        rng = random.Random(call.attempt_id)
        interval_s = rng.uniform(0.05, 0.3)
        count = max(2, int(rng.uniform(1.0, 3.0) / interval_s))
        padding = rng.choice((0, 0, 500))
        first = int(call.headers.get("last-event-id", 0)) + 1
        fault = self._rng.choices(("", "broken", "pause"), (90, 6, 4))[0]
        fault_at = self._rng.randint(first, count + 1)
        call.begin_stream()
        for number in range(first, count + 1):
            await asyncio.sleep(interval_s)
            if fault and number == fault_at:
                if fault == "broken":
                    call.send(b"20\r\nid: ")
                    call.reset()
                    return "broken"
                await asyncio.sleep(self._rng.uniform(0.5, 2.5))
            if call.writer.is_closing():
                return "closed"
            text = f"end {call.attempt_id}" if number == count else ""
            event = f"id: {number}\ndata: {text}{'.' * padding}\n\n".encode()
            call.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        call.end_stream()
        return "answered"

    # Callers.

    async def _run_caller(self):
        rng = self._rng
        while not self._ending:
            caller = _Caller(rng.choice(self.entries))
            manner = rng.choices(list(MANNERS), list(MANNERS.values()))[0]
            try:
                async with asyncio.timeout(1.0):
                    await caller.open(slow=manner == "slow")
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                while await self._send_request(caller, manner):
                    pass
            finally:
                caller.writer.transport.abort()

    async def _send_request(self, caller, manner):
        self._last_id += 1
        attempt_id = f"s{self._last_id}"
        kind = self._rng.choices(
            list(KINDS), [weight for _, weight in KINDS.values()]
        )[0]
        key = self._rng.choice(entries.KEYS)
        deadline_s = self._rng.choice((1.5, *[6.0] * 8, 8.0))
        exchange = losses_lib.Exchange(
            caller.incarnation,
            kind,
            manner,
            self.now,
            min(deadline_s, TIMEOUT_S),
        )
        self.losses.exchanges[attempt_id] = exchange
        self.checker.record_sent(attempt_id, KINDS[kind][0], key, self.now)
        lines = (
            f"POST /{kind}/x HTTP/1.1",
            "Host: h.example",
            f"X-Clementinegw-Attempt-Id: {attempt_id}",
            f"X-Clementinegw-Deadline-Ms: {round(deadline_s * 1e3)}",
            "Content-Length: 0",
            f"Authorization: Token {key}",
        )
        caller.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if manner == "leaving":
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))
            exchange.ended_at = self.now
            return False
        if manner == "half-closing":
            try:
                caller.writer.write_eof()
            except OSError:
                exchange.end, exchange.ended_at = "closed", self.now
                return False
        return await self._await_answer(caller, attempt_id, exchange)

    async def _await_answer(self, caller, attempt_id, exchange):
        """Records the answer; returns whether the connection is kept."""
        try:
            async with asyncio.timeout(MAX_ANSWER_S):
                answer = await caller.answer()
        except TimeoutError:
            exchange.end, exchange.ended_at = "silent", self.now
            return False
        exchange.end = "answered" if answer.complete else "closed"
        exchange.ended_at = self.now
        exchange.status, exchange.bytes = answer.status, len(answer.body)
        self.checker.record_answer(attempt_id, answer)
        if answer.status != 200:
            await asyncio.sleep(0.05)
        return (
            answer.complete
            and not self._ending
            and exchange.manner in ("keeping", "slow")
            and answer.headers.get("connection") != "close"
        )

    async def _wait_until_quiet(self):
        quiet_since = await super()._wait_until_quiet()
        self._ending = True
        while self.now < quiet_since + entries.QUIET_S + MAX_ANSWER_S:
            await asyncio.sleep(0.1)
            if all(
                e.ended_at < self.now for e in self.losses.exchanges.values()
            ):
                break
        return quiet_since

    async def _end_entries(self):
        await asyncio.gather(
            *(self._end(entry, signal.SIGTERM) for entry in self.entries)
        )

    def _finish(self, quiet_since):
        super()._finish(quiet_since)
        logs = {
            entry.number: (self._folder / f"entry-{entry.number}.log")
            .read_bytes()
            .decode(errors="replace")
            for entry in self.entries
        }
        self.checker.violations += self.losses.violations(logs)

    # Faults.

    def _fault_actions(self, store_port):
        inherited = super()._fault_actions(store_port)
        kept = ("kill", "term", "server", "store", "store_link", "revoke")
        return {
            **{name: inherited[name] for name in kept},
            "hups": self._fault_hups,
            "link": self._fault_link,
            "restore": self._fault_restore_key,
            "stall": self._fault_stall,
            "stall_all": self._fault_stall_all,
            "term_again": inherited["term"],
        }

    async def _run_faults(self, store_port):
        beside = [
            asyncio.create_task(self._run_configurations()),
            asyncio.create_task(self._watch_stalls()),
        ]
        await super()._run_faults(store_port)
        for task in beside:
            task.cancel()
        for result in await asyncio.gather(*beside, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise result
        self._put_config()

    async def _watch_stalls(self):
        """Records when this process, and so callers and servers, stalls."""
        while True:
            before = self.now
            await asyncio.sleep(0.05)
            if self.now - before > STALL_S:
                self.losses.stalls.append((before, self.now))

    async def _fault_restart(self, signal_number, store_port):
        entry = self._rng.choice(self.entries)
        if entry.exit_expected:
            return
        await self._end(entry, signal_number)
        await entry.start(store_port)

    async def _end(self, entry, signal_number):
        incarnation = (entry.number, entry.started_at)
        known = entry.handles(signal.SIGTERM)
        killed = signal_number == signal.SIGKILL
        record = self.losses.killed if killed else self.losses.terminated
        record[incarnation] = self.now
        entry.poll()
        code = await entry.end(signal_number)
        if code and known and not killed:
            self.checker.violations.append(
                f"exit: entry-{entry.number} ended with {code} at {self.now}"
            )

    async def _fault_hups(self):
        """An instance file changes several times, each with a SIGHUP."""
        entry = self._rng.choice(self.entries)
        path = self._folder / f"entry-{entry.number}.json"
        for _ in range(self._rng.randint(1, 5)):
            settings = json.loads(path.read_text())
            settings["bounds"]["drain_ms"] = self._rng.choice((500, 2_000))
            path.write_text(json.dumps(settings))
            if entry.handles(signal.SIGHUP):
                entry.signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.choice((0.0, 0.01, 0.2)))

    async def _fault_stall(self):
        await self._stall(self._rng.choice(self.entries))

    async def _fault_stall_all(self):
        await asyncio.gather(*(self._stall(entry) for entry in self.entries))

    async def _stall(self, entry):
        """The event loop of an entry stands still for a while."""
        if entry.exit_expected:
            return
        began = self.now
        incarnation = (entry.number, entry.started_at)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.choice((0.5, 0.5, 2.0, 5.0)))
        entry.signal(signal.SIGCONT)
        self.losses.paused.append((incarnation, began, self.now))

    async def _fault_link(self):
        """The link to a server delivers nothing for a while, or is cut."""
        number = self._rng.randrange(len(self.servers))
        proxy = self.server_proxies[number]
        name = self.servers[number].name.rstrip("x")
        began = self.now
        proxy.mode = self._rng.choice(("hold", "hold", "reset"))
        if proxy.mode == "reset":
            proxy.reset()
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        proxy.mode = "pass"
        self.losses.link_faults.append((name, began, self.now))

    async def _fault_restore_key(self):
        missing = [key for key in entries.KEYS if key not in self._keys]
        if missing:
            self._keys.append(missing[0])
            self.checker.revoked_at.pop(missing[0], None)
            self._put_config()

    # Configurations.

    async def _run_configurations(self):
        """Puts odd configurations one after the other."""
        actions = (self._put_odd, self._put_odd, self._put_older)
        while True:
            self._rng.choice((*actions, self._put_again))()
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))

    def _put_again(self):
        self.store.put("keyed.op", "config", self._config)

    def _put_older(self):
        older = {**self._build_config(), "version": self._config_version - 1}
        self.store.put("keyed.op", "config", older)

    def _put_config(self):
        self._put(self._build_config())

    def _put_odd(self):
        """Puts a configuration that is odd in one respect."""
        rng = self._rng
        config = self._build_config()
        routes, services = config["routes"], config["services"]
        kind = rng.choice(("routes", "keys", "limits", "drop", "engine"))
        if kind == "routes":
            config["routes"] = routes + [
                {**routes[0], "name": f"x{n}", "path_prefix": f"/x{n}/"}
                for n in range(rng.choice((1, 200, MAX_ROUTES)))
            ]
        elif kind == "keys":
            extra = {"name": "extra", "api_keys": [f"k{n}" for n in range(500)]}
            config["tenants"].append(extra)
        elif kind == "limits":
            config["limits"] = {
                "max_header_bytes": rng.choice((512, 1 << 20)),
                "max_body_bytes": rng.choice((0, 1 << 30)),
                "header_timeout_ms": rng.choice((1, 60_000)),
                "idle_timeout_ms": rng.choice((50, 60_000)),
            }
        elif kind == "drop":
            routes.remove(rng.choice(routes))
        elif rng.random() < 0.5:
            services.pop()
        else:
            services[-1].pop("engine")
        self._put(config)

    def _put(self, config):
        self._config_version += self._rng.choice((1, 1, 7, 1_000))
        self._config = {**config, "version": self._config_version}
        self.store.put("keyed.op", "config", self._config)

    def _build_config(self):
        config = sites.config(self._config_version)
        *_, stream = config["routes"]
        services = {"engine": "engine", "absent": "absent"}
        config["routes"] = [
            {
                **stream,
                "name": kind,
                "path_prefix": f"/{kind}/",
                "kind": {"safe": "safe", "once": "unsafe"}.get(
                    kind, "streaming"
                ),
                "stream_resume": kind not in ("fixed", "safe", "once"),
                "service": services.get(kind, "plain"),
                "timeout_ms": TIMEOUT_S * 1e3,
                "max_attempts": self._rng.choice((2, 3)),
            }
            for kind in KINDS
        ]
        engine = {"slots": 3, "step_ms": 7.0, "models": [{"name": MODEL}]}
        config["services"].append({"name": "engine", "engine": engine})
        config["tenants"] = [
            {"name": f"of-{key}", "api_keys": [key]} for key in self._keys
        ]
        return config
