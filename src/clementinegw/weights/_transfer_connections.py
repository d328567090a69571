"""The connections of one agent to its peers."""

import asyncio
from collections.abc import Callable, Mapping

from clementinegw import exceptions
from clementinegw import types
from clementinegw.weights import origin_fetchers
from clementinegw.weights import swarm
from clementinegw.wire import connection as connections

_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 5.0


class PeerConnections:
    """Keeps connections to chosen peers and reports those of all peers."""

    def __init__(
        self,
        endpoint: connections.Endpoint,
        emit: Callable[[swarm.Event], None],
    ):
        """Registers with the endpoint.

        Args:
          endpoint: Opens connections and reports when they start and end.
          emit: Called with each `PeerUp` and `PeerDown`.
        """
        self._endpoint = endpoint
        self._emit = emit
        self._addresses: Mapping[str, types.Address] = {}
        self._connect_tasks: dict[str, asyncio.Task | None] = {}
        self._by_peer: dict[str, list[connections.Connection]] = {}
        self._connected_since: dict[str, float] = {}
        # Delays after connections that lasted less than the longest delay.
        # Without them, a peer that accepts connections and closes them would be
        # reconnected to without a pause.
        self._retry_delays_s: dict[str, float] = {}
        self._running = False
        endpoint.on_connected(self._on_connected)
        endpoint.on_disconnected(self._on_disconnected)

    def set_addresses(self, addresses: Mapping[str, types.Address]) -> None:
        """Sets the addresses that peers listen on, by id."""
        self._addresses = addresses
        delays = self._retry_delays_s.items()
        self._retry_delays_s = {
            n: delay_s for n, delay_s in delays if n in addresses
        }

    def start(self) -> None:
        """Starts connecting."""
        self._running = True
        for name in list(self._connect_tasks):
            self.keep_connected(name)

    async def stop(self) -> None:
        """Stops connecting; the endpoint keeps open connections."""
        self._running = False
        tasks = [
            task for task in self._connect_tasks.values() if task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def keep_connected(self, peer_id: str) -> None:
        """Connects to a peer, retries until it is up, and reconnects."""
        task = self._connect_tasks.get(peer_id)
        if not self._running or peer_id in self._by_peer:
            self._connect_tasks.setdefault(peer_id, None)
        elif task is None or task.done():
            self._connect_tasks[peer_id] = asyncio.ensure_future(
                self._connect_with_retries(peer_id)
            )

    def stop_connecting(self, peer_id: str) -> None:
        """Stops connecting to a peer; an open connection stays open."""
        task = self._connect_tasks.pop(peer_id, None)
        if task is not None:
            task.cancel()

    def find(self, peer_id: str) -> connections.Connection | None:
        """Returns a connection to a peer, or None."""
        found = self._by_peer.get(peer_id)
        return found[0] if found else None

    def notify(self, peer_id: str, kind: connections.Kind, body: bytes) -> None:
        """Sends a one-way frame, if the peer is connected."""
        connection = self.find(peer_id)
        if connection is not None:
            connection.notify(kind, body)

    async def _connect_with_retries(self, peer_id: str) -> None:
        await asyncio.sleep(self._retry_delays_s.get(peer_id, 0.0))
        delay_s = _MIN_RETRY_S
        while peer_id not in self._by_peer:
            address = self._addresses.get(peer_id)
            if address is not None:
                try:
                    self._adopt(await self._endpoint.connect(address))
                except exceptions.ConnectionLost:
                    pass
            if peer_id in self._by_peer:
                return
            # Also waits after a successful connect. The endpoint returns an
            # existing connection without waiting; if it belongs to another
            # peer that took over the address, retrying at once would block the
            # whole process.
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_RETRY_S)

    def _adopt(self, connection: connections.Connection) -> None:
        """Adopts a connection that was opened before the callback was set."""
        existing = self._by_peer.get(connection.peer.instance_id, [])
        if connection not in existing and not connection.closed:
            self._on_connected(connection)

    def _on_connected(self, connection: connections.Connection) -> None:
        identity = connection.peer
        if identity.role is not types.Role.AGENT:
            return
        name = identity.instance_id
        existing = self._by_peer.setdefault(name, [])
        existing.append(connection)
        if len(existing) == 1:
            self._connected_since[name] = asyncio.get_running_loop().time()
            place = identity.place
            member = origin_fetchers.Member(
                name, place.region, place.failure_domain
            )
            self._emit(swarm.PeerUp(member))

    def _on_disconnected(self, connection: connections.Connection) -> None:
        name = connection.peer.instance_id
        existing = self._by_peer.get(name, [])
        if connection not in existing:
            return
        existing.remove(connection)
        if existing:
            return
        del self._by_peer[name]
        self._update_retry_delay(name)
        self._emit(swarm.PeerDown(name, connection.closed_by_peer))
        if name in self._connect_tasks:
            self.keep_connected(name)

    def _update_retry_delay(self, name: str) -> None:
        lasted_s = (
            asyncio.get_running_loop().time() - self._connected_since.pop(name)
        )
        if lasted_s >= _MAX_RETRY_S:
            self._retry_delays_s.pop(name, None)
            return
        # No delay after the first short connection: a peer that was restarted
        # is reconnected to at once.
        previous_s = self._retry_delays_s.get(name)
        delay_s = (
            0.0 if previous_s is None else max(_MIN_RETRY_S, 2 * previous_s)
        )
        self._retry_delays_s[name] = min(delay_s, _MAX_RETRY_S)
