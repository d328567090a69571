"""A soak of entries: requests keep their guarantees under faults."""

import asyncio
import collections
import random
import signal

import checker as checkers
import platform_site as sites
import process as processes
import proxy as proxies
import second_answers

ENTRIES = 2
SERVERS = 4
CALLERS = 16
EVENTS = 8
# Lower than on a platform, so that a few callers come close to the limit.
RETRY_RATIO, RETRY_SLACK = 0.02, 6.0
KEYS = ("key-of-one", "key-of-two", "key-of-three")
MAX_MEMORY_MB = 120
# The length of the quiet period without faults at the end, and a stall of this
# process that restarts the period, in seconds.
QUIET_S = 4.0
STALL_S = 0.5


class Soak:
    """Runs one seed against entries.

    Times are in seconds since the soak began.

    Attributes:
      kinds: The kinds of routes that callers use.
      headers: Headers that every request carries besides.
      bounds: Bounds in the entries' instance files besides the retry limits.
      entry_count: The number of entries.
      server_count: The number of servers.
      caller_count: The number of callers.
      fault_interval_s: The shortest and the longest time between two faults.
      second_answer_share: The share of answers that come a second time.
      retry_limits: The retries allowed for each request, and besides those.
      entry_of: The entry that each attempt id was sent to.
      plan: The faults injected, as pairs of a time and a kind.
    """

    kinds = ("safe", "once", "stream")
    headers = ()
    bounds = {}
    entry_count = ENTRIES
    server_count = SERVERS
    caller_count = CALLERS
    fault_interval_s = (0.3, 1.5)
    second_answer_share = 0.05
    retry_limits = (RETRY_RATIO, RETRY_SLACK)

    def __init__(self, seed, seconds, code, folder):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._code = code
        self._folder = folder
        self._config_version = 1
        self._last_id = 0
        self._keys = list(KEYS)
        self._reject_share = 0.03
        self._started_at = 0.0
        self.checker = checkers.Checker(*self.retry_limits)
        self.store = sites.Store()
        self.servers = []
        self.server_proxies = []
        self.entries = []
        self.entry_of = {}
        self.plan = []
        self.second_answers = second_answers.SecondAnswers(
            self._rng, self.second_answer_share
        )

    @property
    def operation_count(self):
        """The number of requests sent."""
        return len(self.checker.sent)

    @property
    def now(self):
        return asyncio.get_running_loop().time() - self._started_at

    async def run(self):
        """Runs the seed and returns the violations."""
        try:
            return await self._run()
        finally:
            # After an error of the soak itself they would run on.
            for entry in self.entries:
                entry.signal(signal.SIGKILL)

    async def _run(self):
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        await self.store.start()
        self.store_proxy = proxies.Proxy(self.store.address.port)
        store_port = await self.store_proxy.start()
        await self._add_servers()
        self._put_config()
        ratio, slack = self.retry_limits
        for number in range(self.entry_count):
            entry = processes.Entry(
                number,
                self._code,
                self._folder,
                {
                    "repeat_ratio": ratio,
                    "repeat_slack": slack,
                    **self.bounds,
                },
            )
            self.entries.append(entry)
            await entry.start(store_port)
        await asyncio.sleep(1.5)
        callers = [
            asyncio.create_task(self._run_caller())
            for _ in range(self.caller_count)
        ]
        faults = asyncio.create_task(self._run_faults(store_port))
        while not faults.done():
            await asyncio.sleep(0.2)
            for entry in self.entries:
                entry.poll()
        faults.result()
        quiet_since = await self._wait_until_quiet()
        for caller in callers:
            caller.cancel()
        for result in await asyncio.gather(*callers, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        await self._end_entries()
        self._finish(quiet_since)
        for proxy in self.server_proxies:
            await proxy.stop()
        await self.store_proxy.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        return self.checker.violations

    async def _end_entries(self):
        for entry in self.entries:
            entry.poll()
            await entry.end(signal.SIGKILL)

    async def _wait_until_quiet(self):
        """Waits for a quiet period without stalls; returns when it began.

        Callers, servers and the store run in this process: while it stalls, no
        request is answered. Seen with seed 1 at a load of 38 on 16 cores: no
        request for 2.04 s, and a call to the store abandoned meanwhile.
        """
        quiet_since = self.now
        while self.now < quiet_since + QUIET_S:
            before = self.now
            await asyncio.sleep(0.1)
            if self.now - before > STALL_S:
                quiet_since = self.now
        return quiet_since

    def _finish(self, quiet_since):
        self.checker.finish()
        # Requests of the first seconds may still suffer from the last faults.
        served = self.checker.served_share_since(quiet_since + 2.5)
        if served < 0.25:
            statuses = collections.Counter(
                sent.status
                for sent in self.checker.sent.values()
                if sent.sent_at >= quiet_since + 2.5
            )
            self.checker.violations.append(
                f"recovery: {served:.2f} served, {statuses}"
            )
        for entry in self.entries:
            self.checker.violations += entry.violations(MAX_MEMORY_MB)

    # Servers.

    async def _add_servers(self):
        for number in range(self.server_count):
            await self._add_server(f"i-{number}")

    async def _add_server(self, name):
        server = sites.Server(name)
        server.on_call = lambda call: self.second_answers.wrap(
            call, self._serve(server, call)
        )
        await server.start()
        proxy = proxies.Proxy(int(server.address.rpartition(":")[2]))
        port = await proxy.start()
        self.servers.append(server)
        self.server_proxies.append(proxy)
        server.listed_address = f"127.0.0.1:{port}"
        self._put_record(server)

    def _put_record(self, server):
        record = server.record(address=server.listed_address)
        self.store.put("keyed.servers", server.name, record)

    async def _serve(self, server, call):
        self.checker.record_arrival(call.attempt_id, self.now)
        chance = self._rng.random()
        if self._rng.random() < self._reject_share:
            call.reject()
            return
        if not self._accepts(server, call):
            return
        self.checker.record_run(server, call)
        await asyncio.sleep(self._rng.uniform(0.005, 0.05))
        if chance < 0.03:
            call.reset()
            return
        if call.head.target.startswith(b"/stream"):
            await self._stream(call, cut=chance < 0.09)
            return
        call.answer(f"answer to {call.attempt_id}".encode())
        if chance < 0.05:
            call.answer(b"an answer without a request")

    def _accepts(self, server, call):
        """Returns whether a server runs a call; if not, it has answered."""
        del server, call
        return True

    async def _stream(self, call, cut):
        last_event = int(call.headers.get("last-event-id", 0))
        call.begin_stream()
        for number in range(last_event + 1, EVENTS + 1):
            await asyncio.sleep(0.03)
            if cut and number == EVENTS - 2:
                call.send(b"20\r\nid: ")
                call.reset()
                return
            if number == EVENTS:
                data = f"id: {number}\ndata: end {call.attempt_id}\n\n".encode()
                call.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            else:
                call.event(number)
        call.end_stream()

    # Callers.

    async def _run_caller(self):
        """Sends requests over one connection at a time, to random entries."""
        while True:
            entry = self._rng.choice(self.entries)
            self.address = (processes.HOST, entry.port)
            try:
                async with asyncio.timeout(1.0):
                    caller = await sites.Caller(self).__aenter__()
                    caller.entry = entry
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                while await self._send_request(caller):
                    await asyncio.sleep(self._rng.uniform(0.0, 0.05))
            finally:
                caller.writer.transport.abort()

    async def _send_request(self, caller):
        """Sends a request; returns whether its connection can be used again."""
        self._last_id += 1
        attempt_id = f"s{self._last_id}"
        kind = self._rng.choice(self.kinds)
        key = self._rng.choice(KEYS)
        self.checker.record_sent(attempt_id, kind, key, self.now)
        self.entry_of[attempt_id] = caller.entry
        try:
            caller.send(
                f"/{kind}/x",
                key=key,
                attempt_id=attempt_id,
                headers=self.headers,
            )
            if self._rng.random() < 0.03:
                await asyncio.sleep(0.02)
                return False
            async with asyncio.timeout(4.0):
                answer = await caller.answer()
        except (OSError, TimeoutError):
            return False
        self.checker.record_answer(attempt_id, answer)
        return answer.complete and answer.headers.get("connection") != "close"

    # Faults.

    def _fault_actions(self, store_port):
        return {
            "link": self._fault_link,
            "store_link": self._fault_store_link,
            "store": self._fault_store,
            "stop": self._fault_stop,
            "kill": lambda: self._fault_restart(signal.SIGKILL, store_port),
            "term": lambda: self._fault_restart(signal.SIGTERM, store_port),
            "hup": self._fault_hup,
            "server": self._fault_replace_server,
            "config": self._fault_config,
            "revoke": self._fault_revoke,
            "cut_and_revoke": self._fault_cut_and_revoke,
            "shed": self._fault_reject,
        }

    async def _run_faults(self, store_port):
        actions = self._fault_actions(store_port)
        running = set()
        while self.now < self._seconds:
            kind = self._rng.choice(sorted(actions))
            self.plan.append((round(self.now, 1), kind))
            running.add(asyncio.create_task(actions[kind]()))
            await asyncio.sleep(self._rng.uniform(*self.fault_interval_s))
        await asyncio.gather(*running)

    async def _fault_link(self):
        proxy = self._rng.choice(self.server_proxies)
        await proxy.inject_fault(self._rng)

    async def _fault_store_link(self):
        await self.store_proxy.inject_fault(self._rng)

    async def _fault_store(self):
        self.store.status = self._rng.choice((503, 429))
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self.store.status = 200

    async def _fault_stop(self):
        entry = self._rng.choice(self.entries)
        await entry.pause(self._rng)

    async def _fault_restart(self, signal_number, store_port):
        entry = self._rng.choice(self.entries)
        if entry.exit_expected:
            return
        await entry.end(signal_number)
        await entry.start(store_port)

    async def _fault_hup(self):
        entry = self._rng.choice(self.entries)
        if entry.handles(signal.SIGHUP):
            entry.signal(signal.SIGHUP)

    async def _fault_replace_server(self):
        """A server is replaced at its address before the list shows it."""
        server = self._rng.choice(self.servers)
        former, server.name = server.name, f"{server.name}x"
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        self.store.put("keyed.servers", former, None)
        self._put_record(server)

    async def _fault_config(self):
        self._put_config()

    async def _fault_revoke(self):
        if len(self._keys) > 1:
            key = self._keys.pop()
            self._put_config()
            self.checker.revoked_at[key] = self.now

    async def _fault_cut_and_revoke(self):
        """A key is revoked while no entry reaches the store."""
        self.store_proxy.mode = "silence"
        await asyncio.sleep(0.5)
        await self._fault_revoke()
        await asyncio.sleep(7.5)
        self.store_proxy.mode = "pass"

    async def _fault_reject(self):
        """Servers reject most requests for a while."""
        self._reject_share = 0.7
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        self._reject_share = 0.03

    def _put_config(self):
        self._config_version += self._rng.randint(1, 5)
        tenants = [
            {"name": f"of-{key}", "api_keys": [key]} for key in self._keys
        ]
        config = {**sites.config(self._config_version), "tenants": tenants}
        self.store.put("keyed.op", "config", {**config, **self._extra_config()})

    def _extra_config(self):
        """Returns further fields of the configuration."""
        return {}
