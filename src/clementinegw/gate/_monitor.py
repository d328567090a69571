"""Probes the backend server and reports this agent's status to entries."""

import asyncio
import math

from clementinegw import exceptions
from clementinegw import types as shared
from clementinegw.gate import _context
from clementinegw.gate import _events
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
# After a pause of this process, one probe may time out although the server's
# answer has arrived; the next one shows whether the server responds.
_MIN_FAILED_PROBES = 2


class Monitor:
    """Probes the backend server; sends AGENT_STATUS and AGENT_LOAD."""

    def __init__(
        self,
        endpoint: connection_lib.Endpoint,
        service_name: str,
        context: _context.Context,
    ):
        """Initializes the monitor.

        Args:
          endpoint: The connections to entries.
          service_name: The service's name in the settings tree.
          context: The service's shared objects.
        """
        self._endpoint = endpoint
        self._service_name = service_name
        self._gate = context.gate
        self._backend = context.backend
        self._backend_state = context.backend_state
        self._timing = context.timing
        self._clock = context.clock
        self._log = context.log
        self._counters = context.counters
        self._apply = context.apply
        self._failed_probes = 0
        self._sent_state: tuple = ()
        self._sent_load: tuple[int, int] = (0, 0)
        self._sent_prefixes: frozenset[int] = frozenset()
        self._status_sent_at = -math.inf
        self._checked_at = -math.inf
        self._full_list_at = -math.inf

    def status(self) -> ttypes.AgentStatus:
        """Returns this agent's load and state."""
        load = self._gate.load
        identity = self._endpoint.identity
        return ttypes.AgentStatus(
            instance_id=identity.instance_id,
            incarnation=identity.incarnation,
            service_name=self._service_name,
            version=self._backend_state.version,
            digest=self._backend_state.digest,
            leaving=self._gate.leaving,
            ready=self._gate.ready,
            in_flight=load.in_flight,
            queued=load.queued,
            capacity=load.capacity,
            engine_load=self._backend_state.load,
            serving_s=self._clock.now() - self._backend_state.serving_since,
            prefixes=self._backend_state.prefixes,
        )

    def send_status(self, connection: connection_lib.Connection) -> None:
        """Sends the full status on a new connection to an entry."""
        if connection.peer.role is shared.Role.ENTRY:
            connection.notify(Kind.AGENT_STATUS, codec.encode(self.status()))

    def push_full_status(self) -> None:
        """Sends every connected entry the status with all cached prefixes."""
        self._full_list_at = -math.inf
        self.push_status()

    def push_status(self) -> None:
        """Sends every connected entry the status.

        The prefixes are the largest part of a notice. A full list in each
        notice would take more bytes than all other control traffic together,
        so most notices contain only the changes.
        """
        status = self.status()
        now = self._clock.now()
        added, removed = self._prefix_changes()
        if now < self._full_list_at + self._timing.prefix_list_interval_s:
            status.prefixes = added
            status.prefixes_gone = removed
            status.prefixes_changed = True
        else:
            self._full_list_at = now
        self._notify(Kind.AGENT_STATUS, codec.encode(status))
        self._status_sent_at = now
        self._sent_state = self._state()
        self._sent_load = self._load()

    def push_changes(self) -> None:
        """Sends every connected entry what has changed, if anything has.

        Load and cached prefixes change with each request, the rest of a status
        rarely. A status for each such change would exceed the bandwidth that a
        process has for all control traffic, so a load notice is sent instead.
        """
        now = self._checked_at = self._clock.now()
        due = now >= self._status_sent_at + self._timing.status_interval_s
        cached = frozenset(self._backend_state.prefixes)
        if due or self._state() != self._sent_state:
            self.push_status()
        elif self._load() != self._sent_load or cached != self._sent_prefixes:
            self._push_load()

    def since_last_check_s(self) -> float:
        """Returns the seconds since the last check for changes."""
        return self._clock.now() - self._checked_at

    async def probe(self) -> None:
        """Probes the backend server and detects stalls, losses and recovery."""
        digest = self._backend_state.digest
        try:
            async with asyncio.timeout(self._timing.probe_timeout_s):
                health = await self._backend.probe()
                await self._read_prefixes()
        except (exceptions.BackendError, TimeoutError):
            self._failed_probes += 1
            self._on_silence()
            return
        self._failed_probes = 0
        self._backend_state.heard_at = self._clock.now()
        self._backend_state.load = health.load
        if health.capacity > 0:
            self._gate.set_capacity(health.capacity)
        if digest != self._backend_state.digest:
            return  # loaded again while the probe was in progress
        if health.digest == digest:
            self._recover()
        elif self._gate.ready:
            self._close()

    async def _read_prefixes(self) -> None:
        """Reads which prefixes are cached; without them, requests still run."""
        try:
            self._backend_state.prefixes = await self._backend.prefixes()
        except exceptions.BackendError:
            self._counters.add("gate.prefixes_failed")

    def _state(self) -> tuple:
        return (
            self._gate.ready,
            self._gate.leaving,
            self._backend_state.version,
            self._backend_state.digest,
            self._gate.load.capacity,
        )

    def _load(self) -> tuple[int, int]:
        load = self._gate.load
        return load.in_flight, load.queued

    def _push_load(self) -> None:
        in_flight, queued = self._sent_load = self._load()
        incarnation = self._endpoint.identity.incarnation
        notice = ttypes.AgentLoad(incarnation, in_flight, queued)
        added, removed = self._prefix_changes()
        # Unlike an empty list, an absent one takes no bytes.
        notice.prefixes = added or None
        notice.prefixes_gone = removed or None
        self._notify(Kind.AGENT_LOAD, codec.encode(notice))

    def _prefix_changes(self) -> tuple[list[int], list[int]]:
        """Returns the prefixes added and removed since the last notice."""
        cached = frozenset(self._backend_state.prefixes)
        added, removed = (
            list(cached - self._sent_prefixes),
            list(self._sent_prefixes - cached),
        )
        self._sent_prefixes = cached
        return added, removed

    def _notify(self, kind: Kind, body: bytes) -> None:
        for connection in self._endpoint.connections():
            if connection.peer.role is shared.Role.ENTRY:
                connection.notify(kind, body)

    def _recover(self) -> None:
        plain = self._backend.kind is shared.ServiceKind.PLAIN
        excluded = self._gate.ready or self._gate.leaving or self._gate.loading
        if excluded or not (plain or self._backend_state.digest):
            return
        self._log.write(
            _events.BACKEND_READY, version=self._backend_state.version
        )
        self._apply(self._gate.on_loaded(self._clock.now()))
        self.push_status()

    def _close(self) -> None:
        # An engine that crashes while idle and restarts without its weights
        # breaks no connection; without this, requests would still go to it.
        self._log.write(
            _events.WEIGHTS_LOST, version=self._backend_state.version
        )
        self._counters.add("gate.weights_lost")
        self._apply(self._gate.close(self._clock.now()))
        self.push_status()

    def _on_silence(self) -> None:
        silent_s = self._clock.now() - self._backend_state.heard_at
        if silent_s < self._timing.stall_timeout_s or not self._gate.ready:
            return
        if self._failed_probes < _MIN_FAILED_PROBES:
            return
        self._log.write(
            _events.BACKEND_STALLED, in_flight=self._gate.load.in_flight
        )
        self._counters.add("gate.stalls")
        self._apply(self._gate.on_stall(self._clock.now()))
        self.push_status()
