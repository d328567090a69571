"""Executes the swarm's decisions: connections, transfers of chunks, pacing.

A chunk is transferred in parts. The receiver requests each part, so that it
never receives more than its link carries and a sender never fills a network
queue that live requests would wait in. Each chunk is verified before it is
stored, and only stored chunks are sent to other agents.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import math
import random

import mode

from clementinegw import clock as clocks
from clementinegw import types
from clementinegw.platform import blobs
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.weights import _swarm_events as events
from clementinegw.weights import _transfer_connections as peer_connections
from clementinegw.weights import _transfer_context as contexts
from clementinegw.weights import _transfer_receive as receive
from clementinegw.weights import _transfer_send as send
from clementinegw.weights import manifest as manifests
from clementinegw.weights import origin_fetchers
from clementinegw.weights import pacing as pacing_lib
from clementinegw.weights import store as stores
from clementinegw.weights import swarm
from clementinegw.wire import codec
from clementinegw.wire import connection as connections
from clementinegw.wire.gen.weights import ttypes

_MAX_SLEEP_S = 5.0

# The counters whose increase is logged for a completed version, by the name of
# the log field. Many refusals or stalled requests mean that links were not
# fully used.
_LOGGED_COUNTERS = {
    "asked": "ask",
    "drawn": "draw",
    "refused": "refused.busy",
    "stalled": "cancelled.stalled",
    "received_bytes": "received_bytes",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Progress of the target's chunks.

    Attributes:
      digest: The target manifest's digest; empty without a target.
      held: The number of chunks that are verified and stored.
      total: The number of the target's chunks.
    """

    digest: str
    held: int
    total: int


class Transfer(mode.Service):
    """One agent's part in rollouts."""

    def __init__(
        self,
        me: types.Instance,
        endpoint: connections.Endpoint,
        store: stores.ChunkStore,
        origin: blobs.BlobStore,
        limits: swarm.Limits,
        rng: random.Random,
        pacing: pacing_lib.Pacing | None = None,
        link: pacing_lib.Link | None = None,
        clock: clocks.Clock | None = None,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
        part_bytes: int = receive.PART_BYTES,
    ):
        """Registers with the endpoint; does nothing until started.

        Args:
          me: This agent.
          endpoint: Where peers connect.
          store: Where chunks are kept.
          origin: The weight store or the origin.
          limits: Limits on this agent's part.
          rng: Breaks ties.
          pacing: Paces the machine's link; unpaced by default.
          link: Accounts for the bytes of parts on a shaped link; for benches.
          clock: The source of time.
          log: Where events are logged.
          counters: Where refusals, retries and bytes are counted.
          part_bytes: The size of a requested part in bytes.
        """
        super().__init__()
        clock = clock or clocks.SystemClock()
        self._clock = clock
        self._counters = counters or counters_lib.Counters()
        self._events = log or logs.Log(instance=me.instance_id)
        self._me = member_of(me)
        self._swarm = swarm.Swarm(self._me, limits, rng)
        self._context = contexts.Context(
            self._me.failure_domain,
            store,
            pacing or pacing_lib.Pacing(float("inf"), clock),
            link,
            self._dispatch,
            clock,
            self._events,
            self._counters,
            part_bytes,
        )
        self._fleet = origin_fetchers.Fleet([self._me])
        self._draw_policy = limits.draw_policy
        self._connections = peer_connections.PeerConnections(
            endpoint, self._on_peer_event
        )
        self._receiver = receive.Receiver(
            self._context, self._connections, origin
        )
        self._sender = send.Sender(self._context, endpoint)
        endpoint.on_notice(connections.Kind.CHUNKS_HELD, self._on_held)
        self._completion_callbacks: list[Callable[[str], None]] = []
        self._target_set_at = 0.0
        self._initial_counters = self._counter_values()
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = 0.0
        self._running = False
        self._handlers = self._make_handlers()

    @property
    def progress(self) -> Progress:
        """The progress of the target's chunks."""
        manifest = self._context.manifest
        total = len(manifest.chunks) if manifest else 0
        held = self._swarm.have.bit_count()
        return Progress(self._swarm.digest, held, total)

    @property
    def complete(self) -> bool:
        """Whether every chunk of the target is verified and stored."""
        return self._swarm.complete

    @property
    def unspread(self) -> int:
        """The number of missing chunks that no neighbour holds either."""
        return self._swarm.unspread

    @property
    def counters(self) -> counters_lib.Counters:
        """The counters of refusals, retries and bytes."""
        return self._counters

    def on_complete(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for the digest of each completed manifest."""
        self._completion_callbacks.append(callback)

    @property
    def fleet(self) -> origin_fetchers.Fleet:
        """The agents that take part, including this one."""
        return self._fleet

    def set_fleet(self, instances: Iterable[types.Instance]) -> None:
        """Sets the agents that take part; this one may be omitted."""
        others = {i.instance_id: i for i in instances}
        others.pop(self._me.instance_id, None)
        self._connections.set_addresses(
            {name: other.address for name, other in others.items()}
        )
        members = [self._me, *map(member_of, others.values())]
        self._fleet = origin_fetchers.Fleet(members)
        self._dispatch(swarm.FleetChanged(self._fleet))

    def assigned_chunks(self, manifest: manifests.Manifest) -> list[int]:
        """Returns the chunks that this agent is the first to fetch.

        It ranks first for them among the agents of its group.

        Args:
          manifest: The chunks' manifest.
        """
        return [
            index
            for index, chunk in enumerate(manifest.chunks)
            if not self._fleet.rank(chunk.digest, self._draw_policy, self._me)
        ]

    def set_origin_rate(self, bytes_per_s: float) -> None:
        """Sets the origin's rate, by which fetches are spread over time."""
        self._swarm.set_origin_rate(bytes_per_s)

    def _counter_values(self) -> list[int]:
        """Returns the values of the counters logged for a version."""
        return [
            self._counters.value(f"weights.{counter}")
            for counter in _LOGGED_COUNTERS.values()
        ]

    async def wait_for_bandwidth(self, count: int) -> None:
        """Waits until bytes outside the exchange may be received."""
        await self._context.pacing.down.take(count, math.inf)

    def set_target(
        self, manifest: manifests.Manifest, is_new: bool = False
    ) -> None:
        """Sets the version to fetch; a previous target is abandoned.

        Args:
          manifest: The version's manifest.
          is_new: Whether the version was declared just now, so that no agent
            holds any of its chunks.
        """
        if manifest.digest == self._swarm.digest:
            return
        self._context.manifest = manifest
        self._target_set_at = self._clock.now()
        self._initial_counters = self._counter_values()
        held = bytes(self._context.store.held(manifest))
        self._events.write(
            events.ROLLOUT_STARTED,
            digest=manifest.digest,
            version=manifest.version,
        )
        self._dispatch(
            swarm.TargetSet(manifest.digest, manifest.chunks, held, is_new)
        )

    def recheck(self) -> None:
        """Fetches again the chunks that the store has lost.

        When an engine's host restarts, it loses its staging memory. If the lost
        chunks still counted as held, they would be fetched from the origin
        although peers hold them.
        """
        manifest = self._context.manifest
        if manifest is None:
            return
        held = self._context.store.held(manifest)
        lost = self._swarm.have & ~int.from_bytes(held, "little")
        for index in range(lost.bit_length()):
            if lost >> index & 1:
                self._dispatch(swarm.Lost(manifest.digest, index))

    def _make_handlers(self) -> dict[type, Callable]:
        return {
            swarm.Connect: lambda a: self._connections.keep_connected(
                a.peer.instance_id
            ),
            swarm.StopConnecting: lambda a: self._connections.stop_connecting(
                a.peer_id
            ),
            swarm.RequestChunk: self._request_chunk,
            swarm.Cancel: self._cancel,
            swarm.AdvertiseAll: self._advertise_all,
            swarm.AdvertiseGained: self._advertise_gained,
            swarm.Serve: self._sender.serve,
            swarm.StopServing: self._sender.stop,
            swarm.Refuse: self._sender.refuse,
            swarm.PeerExcluded: self._peer_excluded,
            swarm.Completed: self._completed,
        }

    async def on_start(self) -> None:
        """Starts to connect and to exchange chunks."""
        self._running = True
        self._connections.start()
        self._dispatch(swarm.Tick())

    async def on_stop(self) -> None:
        """Ends every transfer."""
        self._running = False
        if self._timer is not None:
            self._timer.cancel()
        await self._receiver.stop()
        await self._connections.stop()

    def _on_peer_event(self, event: swarm.Event) -> None:
        if isinstance(event, swarm.PeerDown):
            self._events.write(
                events.PEER_LOST, peer=event.peer_id, by_peer=event.by_peer
            )
        self._dispatch(event)

    def _dispatch(self, event: swarm.Event) -> None:
        now = self._clock.now()
        for action in self._swarm.handle(event, now):
            self._handlers[type(action)](action)
        self._schedule_tick(now)

    def _schedule_tick(self, now: float) -> None:
        if not self._running:
            return
        wake_at = min(self._swarm.wake_at(now), now + _MAX_SLEEP_S)
        if self._timer is not None:
            # Most events move the next wake-up slightly later. One early
            # wake-up costs less than setting a timer for each event.
            if self._wake_at <= wake_at:
                return
            self._timer.cancel()
        self._wake_at = wake_at
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wake_at - now, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._dispatch(swarm.Tick())

    def _request_chunk(self, action: swarm.RequestChunk) -> None:
        name = "draw" if action.source == swarm.ORIGIN else "ask"
        self._counters.add(f"weights.{name}")
        self._receiver.start(action)

    def _cancel(self, action: swarm.Cancel) -> None:
        self._counters.add(f"weights.cancelled.{action.reason}")
        self._receiver.cancel(action)

    def _advertise_all(self, action: swarm.AdvertiseAll) -> None:
        self._advertise(
            action.digest, (action.peer_id,), action.bits, None, action.answer
        )

    def _advertise_gained(self, action: swarm.AdvertiseGained) -> None:
        gained = list(action.indices)
        self._advertise(action.digest, action.peer_ids, b"", gained)

    def _advertise(
        self,
        digest: str,
        peer_ids: tuple[str, ...],
        bits: bytes,
        gained: list[int] | None,
        answer: bool = False,
    ) -> None:
        message = ttypes.ChunksHeld(
            instance_id=self._me.instance_id,
            digest=digest,
            count=self.progress.total,
            bits=bits,
            gained=gained,
            answer=answer or None,
        )
        body = codec.encode(message)
        for name in peer_ids:
            self._connections.notify(name, connections.Kind.CHUNKS_HELD, body)

    def _on_held(self, peer: connections.Connection, body: bytes) -> None:
        message = codec.decode(ttypes.ChunksHeld, body)
        name = peer.peer.instance_id
        if message.gained is None:
            answer = bool(message.answer)
            self._dispatch(
                swarm.PeerHolds(name, message.digest, message.bits, answer)
            )
            return
        bounded = (i for i in message.gained if 0 <= i < message.count)
        indices = tuple(bounded)
        self._dispatch(swarm.PeerGained(name, message.digest, indices))

    def _peer_excluded(self, action: swarm.PeerExcluded) -> None:
        self._counters.add(f"weights.put_aside.{action.reason}")
        self._events.write(
            events.PEER_PUT_ASIDE, peer=action.peer_id, reason=action.reason
        )

    def _completed(self, action: swarm.Completed) -> None:
        self._events.write(
            events.ROLLOUT_FETCHED,
            digest=action.digest,
            after_s=round(self._clock.now() - self._target_set_at, 3),
            **{
                name: self._counters.value(f"weights.{counter}") - before
                for (name, counter), before in zip(
                    _LOGGED_COUNTERS.items(),
                    self._initial_counters,
                    strict=True,
                )
            },
        )
        for callback in self._completion_callbacks:
            callback(action.digest)


def member_of(instance: types.Instance) -> origin_fetchers.Member:
    """Returns an instance as a member of the swarm."""
    place = instance.place
    return origin_fetchers.Member(
        instance.instance_id, place.region, place.failure_domain
    )
