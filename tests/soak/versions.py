"""A soak of entries that restart while a version of weights is due."""

import asyncio
import signal

import entries
import platform_site as sites

MODEL = "m"
DUE_AFTER_S = 4.0
# How long an entry must have run before a due time binds it, in seconds; as
# `settled_ms` of a platform's bounds.
MIN_UPTIME_S = 3.0
# The longest time from a send to its arrival on a busy machine, in seconds.
MAX_TRANSIT_S = 0.3


class Soak(entries.Soak):
    """Runs one seed against entries while versions are declared.

    Of a declared version, all servers but one load it in time, and one long
    after it is due. Meanwhile an entry is ended and restarted: it reads the
    version from the store, but not when it was declared. Callers keep their
    connections until the process has exited.
    """

    kinds = ("stream",)
    headers = (f"X-Clementinegw-Model: {MODEL}",)
    bounds = {"weights_ms": DUE_AFTER_S * 1e3}

    def __init__(self, seed, seconds, code, folder):
        super().__init__(seed, seconds, code, folder)
        self._newest_version = 1
        self._declarations = []
        self._declaring = False

    # Servers.

    async def _add_servers(self):
        for number in range(entries.SERVERS):
            await self._add_server(f"m-{number}")

    def _put_record(self, server):
        server.version = getattr(server, "version", 1)
        layers = {"from": 0, "target": 1, "version": server.version}
        held = {"name": MODEL, "version": server.version, "layers": layers}
        record = server.record(
            "engine", address=server.listed_address, models=[held]
        )
        self.store.put("keyed.servers", server.name, record)

    def _accepts(self, server, call):
        expected = call.headers.get("x-clementinegw-expect-version")
        if expected not in (None, str(server.version)):
            name = f"X-Clementinegw-Instance-Id: {server.name}"
            call.answer(b"", 421, extra_headers=(name,))
            return False
        self._check_version(server, call)
        return True

    def _check_version(self, server, call):
        entry = self.entry_of.get(call.attempt_id)
        if entry is None or entry.exit_expected:
            return
        if self.now - (entry.started_at - self._started_at) < MIN_UPTIME_S:
            return
        for version, at in self._declarations:
            late_s = self.now - at - DUE_AFTER_S
            if version > server.version and late_s > MAX_TRANSIT_S:
                self.checker.violations.append(
                    f"version: {call.attempt_id} starts on {server.version}, "
                    f"{late_s:.2f} s after {version} was due, "
                    f"from entry-{entry.number}"
                )
                return

    # Faults.

    def _fault_actions(self, store_port):
        return {
            "declare": self._fault_declare,
            "kill_while_due": lambda: self._fault_restart_while_due(
                signal.SIGKILL, store_port
            ),
            "term_while_due": lambda: self._fault_restart_while_due(
                signal.SIGTERM, store_port
            ),
            "hup": self._fault_hup,
            "server": self._fault_replace_server,
        }

    async def _fault_restart_while_due(self, signal_number, store_port):
        declaring = asyncio.create_task(self._fault_declare())
        await asyncio.sleep(self._rng.uniform(0.0, DUE_AFTER_S - 1.5))
        await self._fault_restart(signal_number, store_port)
        await declaring

    async def _fault_declare(self):
        """Declares a version; every server but one loads it in time."""
        if self._declaring:
            return
        self._declaring = True
        self._newest_version += 1
        version = self._newest_version
        declared = {"model": MODEL, "version": version}
        self.store.put("keyed.op", f"version/{MODEL}", declared)
        self._declarations.append((version, self.now))
        *timely, slow = self._rng.sample(self.servers, len(self.servers))
        loads = [
            self._load(
                server, version, self._rng.uniform(0.3, DUE_AFTER_S - 1.0)
            )
            for server in timely
        ]
        late_s = DUE_AFTER_S + self._rng.uniform(2.0, 3.0)
        await asyncio.gather(*loads, self._load(slow, version, late_s))
        self._declaring = False

    async def _load(self, server, version, after_s):
        await asyncio.sleep(after_s)
        server.version = version
        self._put_record(server)

    def _extra_config(self):
        config = sites.config()
        *others, stream = config["routes"]
        route = {**stream, "service": "engine"}
        engine = {"slots": 8, "step_ms": 7.0, "models": [{"name": MODEL}]}
        service = {"name": "engine", "engine": engine, "max_connections": 100}
        return {
            "routes": [*others, route],
            "services": [*config["services"], service],
        }
