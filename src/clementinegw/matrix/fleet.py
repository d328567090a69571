"""Entries, agents and backend servers of a scene, from the real parts."""

import asyncio
import dataclasses

from clementinegw import types
from clementinegw.gate import service as gate_service
from clementinegw.matrix import backends
from clementinegw.matrix import hosts
from clementinegw.matrix import world as worlds
from clementinegw.requests import claims_service
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import service as request_service
from clementinegw.requests import suspects_service
from clementinegw.requests import types as request_types
from clementinegw.wire import auth
from clementinegw.wire import connection

SERVICE = "magazijn"
REPLACED_S = 0.3
_KEYS = auth.single_key_ring(b"0123456789abcdef")
_TIMING = gate_service.Timing(
    status_interval_s=1.0,
    max_notify_delay_s=0.1,
    probe_interval_s=0.2,
    probe_timeout_s=0.3,
    stall_timeout_s=1.0,
)


@dataclasses.dataclass(slots=True)
class Agent:
    """One agent and its backend server.

    Attributes:
      host: Its process.
      backend: The backend server.
      incarnation: Grows with each process.
      gate: The gate, once it has started.
      left_at: When it said that it leaves; None as long as it has not.
    """

    host: hosts.Host
    backend: backends.MemoryBackend
    incarnation: int = 1
    gate: gate_service.GateService | None = None
    left_at: float | None = None


@dataclasses.dataclass(slots=True)
class Entry:
    """One entry.

    Attributes:
      host: Its process.
      log: Its client of the platform's log.
      requests: Its filters, once it has started.
    """

    host: hosts.Host
    log: worlds.HookedLog
    requests: request_service.RequestService | None = None


class Fleet:
    """Two entries and two agents, all in failure domains of their own."""

    def __init__(
        self, world: worlds.World, kind: types.ServiceKind, tracked: str
    ):
        """Prepares the processes.

        Args:
          world: Where they run.
          kind: What the backend servers are.
          tracked: The request whose steps are hooks.
        """
        self._world = world
        self._kind = kind
        self.entries = [
            self._entry("entry-1", "groningen-hal"),
            self._entry("entry-2", "eindhoven-hal"),
        ]
        self.agents = [
            self._agent("agent-1", "utrecht-hal", tracked),
            self._agent("agent-2", "eindhoven-hal", tracked),
        ]

    async def start(self) -> None:
        """Starts every process and waits until all are connected."""
        for agent in self.agents:
            await self._world.start(agent.host, self._start_agent(agent))
        for entry in self.entries:
            await self._world.start(entry.host, self._start_entry(entry))
        await asyncio.sleep(0.3)

    def kill_agent(self, agent: Agent) -> None:
        """Ends an agent's process; another takes its place soon."""
        self._world.network.kill(agent.host)
        agent.gate = None
        self._world.later(REPLACED_S, self._replace, agent)

    def kill_entry(self, entry: Entry) -> None:
        """Ends an entry's process."""
        self._world.network.kill(entry.host)

    def leave(self, agent: Agent) -> None:
        """Tells an agent to leave; it ends once it has finished."""
        if agent.gate is None or agent.left_at is not None:
            return
        agent.left_at = self._world.clock.now()
        self._world.start(agent.host, self._leave(agent, agent.gate))

    def change_version(self, agent: Agent) -> None:
        """Drains an agent, changes its weights and lets requests in again."""
        if agent.gate is not None:
            self._world.start(agent.host, self._change(agent, agent.gate))

    def _agent(self, name: str, domain: str, tracked: str) -> Agent:
        host = self._world.host(name, domain)
        server = self._world.host(f"backend-of-{name}", domain)
        return Agent(
            host,
            backends.MemoryBackend(self._world, server, self._kind, tracked),
        )

    def _entry(self, name: str, domain: str) -> Entry:
        host = self._world.host(name, domain)
        return Entry(
            host, worlds.HookedLog(self._world, self._world.log, "claims-")
        )

    def _endpoint(
        self, host: hosts.Host, role: types.Role, incarnation: int
    ) -> connection.Endpoint:
        identity = connection.Identity(host.name, role, host.place, incarnation)
        return connection.Endpoint(
            identity, _KEYS, self._world.silent, self._world.counters
        )

    async def _start_agent(self, agent: Agent) -> None:
        endpoint = self._endpoint(
            agent.host, types.Role.AGENT, agent.incarnation
        )
        gate = gate_service.GateService(
            endpoint,
            agent.backend,
            SERVICE,
            timing=_TIMING,
            clock=self._world.clock,
            log=self._world.silent,
            log_client=self._world.log.client(),
        )
        await endpoint.listen(agent.host.address)
        await gate.start()
        agent.gate = gate
        await self._start_weights(agent, gate, endpoint)

    async def _start_weights(
        self,
        agent: Agent,
        gate: gate_service.GateService,
        endpoint: connection.Endpoint,
    ) -> None:
        """Says that the engine's weights are right, without any proof."""
        del endpoint
        if self._kind is types.ServiceKind.MODEL_ENGINE:
            weights = agent.backend.weights
            gate.resume(weights.version, weights.digest)

    async def _start_entry(self, entry: Entry) -> None:
        endpoint = self._endpoint(entry.host, types.Role.ENTRY, 1)
        await endpoint.listen(entry.host.address)
        claims = claims_service.ClaimsService(
            endpoint,
            entry.log,
            self._entry_instances,
            clock=self._world.clock,
            log=self._world.silent,
            new_id=lambda: self._world.rng.randbytes(16),
        )
        await claims.start()
        suspects = suspects_service.SuspectsService(
            endpoint,
            self._world.log.client(),
            claims,
            clock=self._world.clock,
            log=self._world.silent,
        )
        await suspects.start()
        entry.requests = request_service.RequestService(
            self._instance(entry.host, types.Role.ENTRY),
            endpoint,
            rules_lib.FixedRules(
                {SERVICE: rules_lib.Rules(SERVICE, self._kind, base_s=0.05)}
            ),
            self._members,
            claims,
            suspects,
            clock=self._world.clock,
            log=self._world.silent,
            rng=self._world.rng,
        )
        await entry.requests.start()

    def _members(self) -> list[fleet_lib.Member]:
        agents = [
            fleet_lib.Member(self._instance(a.host, types.Role.AGENT))
            for a in self.agents
        ]
        entries = [fleet_lib.Member(i) for i in self._entry_instances()]
        return agents + entries

    def _entry_instances(self) -> list[types.Instance]:
        return [
            self._instance(entry.host, types.Role.ENTRY)
            for entry in self.entries
            if not entry.host.dead
        ]

    def _instance(self, host: hosts.Host, role: types.Role) -> types.Instance:
        service = SERVICE if role is types.Role.AGENT else ""
        return types.Instance(
            host.name, role, host.place, host.address, 1, service
        )

    def _replace(self, agent: Agent) -> None:
        agent.host = self._world.replacement(agent.host)
        agent.incarnation += 1
        agent.left_at = None
        self._world.start(agent.host, self._start_agent(agent))

    async def _leave(
        self, agent: Agent, gate: gate_service.GateService
    ) -> None:
        await gate.leave()
        await asyncio.sleep(0.05)
        self._world.network.kill(agent.host)

    async def _change(
        self, agent: Agent, gate: gate_service.GateService
    ) -> None:
        await gate.drain(5.0)
        agent.backend.weights = backends.Weights("v2", "digest-v2")
        await asyncio.sleep(0.2)
        if self._kind is types.ServiceKind.MODEL_ENGINE:
            gate.resume("v2", "digest-v2")
        else:
            gate.resume()


class Collected:
    """A sink that keeps what a streaming caller got."""

    def __init__(self) -> None:
        self.version = ""
        self.body = b""

    async def head(self, head: request_types.Head) -> None:
        """Takes the start of the answer."""
        self.version = head.version

    async def data(self, data: bytes) -> None:
        """Takes the next bytes."""
        self.body += data
