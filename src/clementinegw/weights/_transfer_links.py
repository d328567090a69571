"""The connections of one agent to its peers."""

import asyncio
from collections.abc import Callable, Mapping

from clementinegw import exceptions
from clementinegw import types
from clementinegw.weights import drawers
from clementinegw.weights import swarm
from clementinegw.wire import connection as connections

_FIRST_RETRY_S = 0.2
_LONGEST_RETRY_S = 5.0


class Links:
    """Keeps a connection to each wanted peer and tells of all that come."""

    def __init__(
        self,
        endpoint: connections.Endpoint,
        give: Callable[[swarm.Event], None],
    ):
        """Registers with the endpoint.

        Args:
          endpoint: Where connections come and go.
          give: Takes `PeerUp` and `PeerDown`.
        """
        self._endpoint = endpoint
        self._give = give
        self._addresses: Mapping[str, types.Address] = {}
        self._wanted: dict[str, asyncio.Task | None] = {}
        self._up: dict[str, list[connections.Connection]] = {}
        self._up_since: dict[str, float] = {}
        # After a connection that lasted shorter than the longest pause: else a
        # peer that takes connections and ends them is asked without a pause.
        self._pauses: dict[str, float] = {}
        self._running = False
        endpoint.on_connected(self._connected)
        endpoint.on_disconnected(self._disconnected)

    def set_addresses(self, addresses: Mapping[str, types.Address]) -> None:
        """Says where peers take connections, by id."""
        self._addresses = addresses
        kept = self._pauses.items()
        self._pauses = {n: pause for n, pause in kept if n in addresses}

    def start(self) -> None:
        """Begins to connect."""
        self._running = True
        for name in list(self._wanted):
            self.want(name)

    async def stop(self) -> None:
        """Stops connecting; connections stay with the endpoint."""
        self._running = False
        tasks = [task for task in self._wanted.values() if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def want(self, peer_id: str) -> None:
        """Connects to a peer, again and again until it is up."""
        task = self._wanted.get(peer_id)
        if not self._running or peer_id in self._up:
            self._wanted.setdefault(peer_id, None)
        elif task is None or task.done():
            self._wanted[peer_id] = asyncio.ensure_future(self._keep(peer_id))

    def forget(self, peer_id: str) -> None:
        """Stops connecting to a peer."""
        task = self._wanted.pop(peer_id, None)
        if task is not None:
            task.cancel()

    def find(self, peer_id: str) -> connections.Connection | None:
        """Returns a connection to a peer."""
        found = self._up.get(peer_id)
        return found[0] if found else None

    def notify(self, peer_id: str, kind: connections.Kind, body: bytes) -> None:
        """Sends a frame that no call waits for, if the peer is up."""
        connection = self.find(peer_id)
        if connection is not None:
            connection.notify(kind, body)

    async def _keep(self, peer_id: str) -> None:
        await asyncio.sleep(self._pauses.get(peer_id, 0.0))
        pause = _FIRST_RETRY_S
        while peer_id not in self._up:
            address = self._addresses.get(peer_id)
            if address is not None:
                try:
                    self._take(await self._endpoint.connect(address))
                except exceptions.ConnectionLost:
                    pass
            if peer_id in self._up:
                return
            # Also after a connection: one that is kept is returned without
            # waiting, and if it belongs to another peer that took the address,
            # asking again at once would block the whole process.
            await asyncio.sleep(pause)
            pause = min(2 * pause, _LONGEST_RETRY_S)

    def _take(self, connection: connections.Connection) -> None:
        """Takes a connection that others opened before this one listened."""
        both = self._up.get(connection.peer.instance_id, [])
        if connection not in both and not connection.closed:
            self._connected(connection)

    def _connected(self, connection: connections.Connection) -> None:
        identity = connection.peer
        if identity.role is not types.Role.AGENT:
            return
        name = identity.instance_id
        both = self._up.setdefault(name, [])
        both.append(connection)
        if len(both) == 1:
            self._up_since[name] = asyncio.get_running_loop().time()
            place = identity.place
            member = drawers.Member(name, place.region, place.failure_domain)
            self._give(swarm.PeerUp(member))

    def _disconnected(self, connection: connections.Connection) -> None:
        name = connection.peer.instance_id
        both = self._up.get(name, [])
        if connection not in both:
            return
        both.remove(connection)
        if both:
            return
        del self._up[name]
        self._note_end(name)
        self._give(swarm.PeerDown(name, connection.closed_by_peer))
        if name in self._wanted:
            self.want(name)

    def _note_end(self, name: str) -> None:
        lasted_s = asyncio.get_running_loop().time() - self._up_since.pop(name)
        if lasted_s >= _LONGEST_RETRY_S:
            self._pauses.pop(name, None)
            return
        # None after a first one: a peer that started again is wanted at once.
        former = self._pauses.get(name)
        longer = 0.0 if former is None else max(_FIRST_RETRY_S, 2 * former)
        self._pauses[name] = min(longer, _LONGEST_RETRY_S)
