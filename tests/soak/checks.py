"""A soak of agents that are stopped while they verify staged pieces.

A piece that was verified already turns corrupt meanwhile. Servers answer slowly
at times, lose the answers to load orders, or refuse orders.
"""

import asyncio
import signal

import weights

# How long before a load a piece may have become corrupt without being noticed,
# in seconds: the platform's rule for weights.
MAX_UNDETECTED_S = 3.0
# The same for the time from a piece's last reading to the load.
MAX_UNREAD_S = 3.0


class ModelServer(weights.ModelServer):
    """A model server that can answer readings slowly, and orders oddly.

    Attributes:
      read_s: How long each reading of a piece takes, in seconds.
      on_read: Called with the number of each piece that is read.
      order_fault: What happens to the next order: `lost` for its answer,
        `refused`; empty for nothing.
      unread_s: For each load, the time since its oldest reading, in seconds.
    """

    max_undetected_s = MAX_UNDETECTED_S

    def __init__(self, name, violations):
        self.read_s = 0.0
        self.on_read = lambda number: None
        self.order_fault = ""
        self.unread_s = []
        self._read_at = {}
        super().__init__(name, violations)

    async def _handle(self, request, responder):
        path, _, query = request.target.partition("?")
        if path.startswith("/order"):
            await self._handle_order(request, responder)
        elif path.startswith("/stage-get") and query:
            await self._handle_read(query, responder)
        else:
            await super()._handle(request, responder)

    async def _handle_order(self, request, responder):
        fault, self.order_fault = self.order_fault, ""
        if fault == "refused":
            await responder.answer(409, [], b"")
        elif fault == "lost":
            self._order("", request.body)
            responder.abort()
        else:
            await super()._handle(request, responder)

    async def _handle_read(self, query, responder):
        number = int(query.partition("=")[2])
        self._read_at[number] = asyncio.get_running_loop().time()
        # The piece is as it was before the delay.
        status, body = self._stage_get(query, b"")
        self.on_read(number)
        await asyncio.sleep(self.read_s)
        await responder.answer(status, [], body)

    def _check_staged(self, version, numbers):
        super()._check_staged(version, numbers)
        now = asyncio.get_running_loop().time()
        oldest_at = min(self._read_at.get(number, 0.0) for number in numbers)
        self.unread_s.append(now - oldest_at)
        if self.unread_s[-1] > MAX_UNREAD_S:
            self._violations.append(
                f"old checks: {self.name} loads {version}, the oldest was"
                f" {self.unread_s[-1]:.2f} s before"
            )


class Soak(weights.Soak):
    """Runs one seed; stops agents in the midst of their checks."""

    server_type = ModelServer

    @property
    def unread_s(self):
        """The time since the oldest reading at each load, in seconds."""
        return [s for server in self.servers for s in server.unread_s]

    def _actions(self):
        return {
            "kill": self._fault_kill,
            "order": self._fault_order,
            "rot": self._fault_corrupt_staged,
            "server": self._fault_restart_server,
            "slow_reads": self._fault_slow_reads,
            "stop_in_checks": self._fault_stop_in_checks,
        }

    async def _fault_stop_in_checks(self):
        """Stops an agent once it reads a piece of the newest version."""
        await self._fault_declare()
        number = self._rng.randrange(weights.AGENTS)
        server, agent = self.servers[number], self.agents[number]
        last = self._rng.randrange(1, weights.PIECES)
        reads = []
        stopped = asyncio.Event()

        def on_read(read):
            newest = weights.piece(self._declared_version, read)
            if server.staged.get(read) == newest:
                reads.append(read)
            if len(reads) == last:
                server.on_read = lambda number: None
                agent.signal(signal.SIGSTOP)
                stopped.set()

        server.on_read = on_read
        try:
            async with asyncio.timeout(8.0):
                await stopped.wait()
        except TimeoutError:
            server.on_read = lambda number: None
            return
        await asyncio.sleep(0.1)
        server.corrupt(reads[0])
        await asyncio.sleep(self._rng.uniform(0.5, 5.0))
        agent.signal(signal.SIGCONT)

    async def _fault_slow_reads(self):
        server = self._rng.choice(self.servers)
        server.read_s = self._rng.choice((0.05, 0.12, 0.4, 1.2))
        await asyncio.sleep(self._rng.uniform(2.0, 6.0))
        server.read_s = 0.0

    async def _fault_order(self):
        server = self._rng.choice(self.servers)
        server.order_fault = self._rng.choice(("lost", "refused"))
        await self._fault_declare()
