"""The state machine of `weights.swarm`."""

from collections.abc import Callable
import dataclasses
import math
import random
from typing import Any

from clementinegw.weights import _swarm_adverts as adverts
from clementinegw.weights import _swarm_choice as choice
from clementinegw.weights import _swarm_fleet as fleets
from clementinegw.weights import _swarm_imports as imports
from clementinegw.weights import _swarm_origin_fetches as origin_fetches
from clementinegw.weights import _swarm_requests as requests
from clementinegw.weights import _swarm_target as targets
from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import _swarm_uploads as uploads
from clementinegw.weights import origin_fetchers
from clementinegw.weights import peers as peers_lib

_MAX_CONSECUTIVE_FAILURES = 2
_NEVER = math.inf


class Swarm:
    """One agent's part in the rollout of one manifest at a time."""

    def __init__(
        self,
        me: origin_fetchers.Member,
        limits: types_.Limits,
        rng: random.Random,
    ):
        """Starts without a target.

        Args:
          me: This agent.
          limits: Limits on this agent's part.
          rng: Breaks ties.
        """
        self._me = me
        self._limits = limits
        self._rng = rng
        self._fleet_view = fleets.FleetView(
            me, limits.draw_policy, limits.cut_off_s
        )
        self._peers = peers_lib.Neighbourhood(
            me.failure_domain, 1 + limits.formers
        )
        self._neighbours: set[str] = set()
        self._target = targets.Target()
        self._previous_targets: dict[str, targets.Target] = {}
        self._requests = requests.Requests(limits, 0)
        self._uploads = uploads.Uploads(limits, rng)
        # When the process of each ended agent ended, by id.
        self._ended_at: dict[str, float] = {}
        self._origin_fetches = origin_fetches.OriginFetches(
            limits, me, self._fleet_view.fleet, (), 0.0, {}, self._ended_at
        )
        self._next_fetch_at = _NEVER
        self._settle_at = 0.0
        self._last_arrival_at = 0.0
        self._last_origin_arrival_at = 0.0
        self._imports = imports.Imports(limits, me, self._peers)
        self._adverts = adverts.Adverts(limits, self._is_importer)
        self._actions: list[types_.Action] = []
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            types_.TargetSet: self._on_target_set,
            types_.FleetChanged: self._on_fleet_changed,
            types_.PeerUp: self._on_peer_up,
            types_.PeerDown: self._on_peer_down,
            types_.PeerHolds: self._on_peer_holds,
            types_.PeerGained: self._on_peer_gained,
            types_.Arrived: self._on_arrived,
            types_.Lost: self._on_lost,
            types_.Corrupt: self._on_corrupt,
            types_.Refused: self._on_refused,
            types_.Failed: self._on_failed,
            types_.ChunkRequested: self._on_requested,
            types_.Served: self._on_served,
            types_.Tick: self._on_tick,
        }

    def set_origin_rate(self, bytes_per_s: float) -> None:
        """Sets the origin's rate; applies from the next planning on."""
        self._limits = dataclasses.replace(
            self._limits, origin_bytes_per_s=bytes_per_s
        )

    @property
    def digest(self) -> str:
        """The target manifest's digest; empty without a target."""
        return self._target.digest

    @property
    def have(self) -> int:
        """The chunks held, as an integer with one bit per chunk."""
        return self._target.have

    @property
    def complete(self) -> bool:
        """Whether there is a target and all its chunks are held."""
        return self._target.complete

    @property
    def unspread(self) -> int:
        """The number of missing chunks that no neighbour holds either."""
        return self._peers.held_by_none(self._target.missing).bit_count()

    @property
    def outstanding(self) -> int:
        """The number of open requests."""
        return len(self._requests)

    @property
    def serving(self) -> int:
        """The number of chunks being sent."""
        return len(self._uploads)

    @property
    def peers(self) -> peers_lib.Neighbourhood:
        """The connected peers."""
        return self._peers

    @property
    def _neighbours_known(self) -> bool:
        """Whether all neighbours are connected and have advertised chunks."""
        if any(not peer.known for peer in self._peers.all()):
            return False
        return self._neighbours <= self._peers.names()

    def handle(self, event: types_.Event, now: float) -> list[types_.Action]:
        """Handles one event and returns the actions to execute, in order."""
        if isinstance(event, types_.Progressed):
            # By far the most frequent event; it causes no action.
            self._on_progressed(event, now)
            return []
        self._actions = []
        self._peers.readmit(now)
        self._handlers[type(event)](event, now)
        self._cancel_stalled(now)
        self._fetch_from_origin(now)
        self._request_from_peers(now)
        self._advertise_gained(now)
        actions, self._actions = self._actions, []
        return actions

    def wake_at(self, now: float) -> float:
        """Returns when the next `Tick` is due, in monotonic seconds."""
        times = [self._next_fetch_at, self._adverts.due_at]
        for request in self._requests.all():
            times.append(self._requests.stall_deadline(request))
            times.append(self._requests.second_source_at(request))
        if not self.complete and len(self._requests) < self._limits.outstanding:
            times.append(now + self._requests.poll_interval_s)
            for peer in self._peers.all():
                times += (peer.busy_until, peer.excluded_until)
        return min((t for t in times if t > now), default=_NEVER)

    # Events about the target, the fleet and peers.

    def _on_target_set(self, event: types_.TargetSet, now: float) -> None:
        if event.digest == self._target.digest:
            return
        self._advertise_gained(now, last=True)
        self._abandon_target()
        self._keep_previous_target(event.digest)
        have = int.from_bytes(event.held, "little")
        target = targets.Target(event.digest, event.chunks, have, now)
        self._target = target
        self._requests = requests.Requests(self._limits, target.largest)
        self._imports.reset()
        self._adverts.reset()
        self._peers.set_target(event.digest, len(event.chunks), now)
        self._choose_neighbours()
        self._plan_origin_fetches(now)
        if event.is_new:
            # No neighbour holds any of it, so there is nothing to wait for
            # while the origin has the only copy.
            self._settle_at = now
        for peer in self._peers.all():
            self._advertise_all(peer)
        if self.complete:
            self._actions.append(types_.Completed(self._target.digest))

    def _on_fleet_changed(self, event: types_.FleetChanged, now: float) -> None:
        for name in [n for n in self._ended_at if n not in event.fleet]:
            del self._ended_at[name]
        if self._fleet_view.update(event.fleet, now):
            self._choose_neighbours()
            self._plan_origin_fetches(now)

    def _on_peer_up(self, event: types_.PeerUp, now: float) -> None:
        reason = types_.CancelReason.PEER_GONE
        self._cancel_requests_to(event.peer.instance_id, reason)
        peer = self._peers.add(event.peer)
        self._settle_at = max(self._settle_at, now + self._limits.settle_s)
        if self._target.digest:
            self._advertise_all(peer)

    def _on_peer_down(self, event: types_.PeerDown, now: float) -> None:
        self._cancel_requests_to(event.peer_id, types_.CancelReason.PEER_GONE)
        if event.by_peer:
            self._ended_at[event.peer_id] = now
        self._peers.remove(event.peer_id)
        self._uploads.free_all(event.peer_id)

    def _on_peer_holds(self, event: types_.PeerHolds, now: float) -> None:
        bits = int.from_bytes(event.bits, "little")
        self._peers.record_held(event.peer_id, event.digest, bits, now)
        if event.digest == self._target.digest:
            # The peer is running again and fetches its chunks itself.
            self._ended_at.pop(event.peer_id, None)
        previous = self._previous_targets.get(event.digest)
        # Without this check, two agents that both have a newer target would
        # answer each other forever.
        if previous is not None and not event.answer:
            # The peer's target is a previous target of this agent. If no other
            # agent holds the last chunks, the peer would never complete.
            held = previous.held_bits
            self._actions.append(
                types_.AdvertiseAll(
                    event.peer_id, event.digest, held, answer=True
                )
            )

    def _on_peer_gained(self, event: types_.PeerGained, now: float) -> None:
        self._peers.record_gained(
            event.peer_id, event.digest, event.indices, now
        )

    # Events about this agent's requests.

    def _on_progressed(self, event: types_.Progressed, now: float) -> None:
        if event.digest == self._target.digest:
            self._requests.record_progress(event.index, event.source, now)

    def _on_arrived(self, event: types_.Arrived, now: float) -> None:
        if event.digest != self._target.digest:
            return
        request = self._end_request(event.index, event.source)
        if request is not None:
            self._requests.record_duration(request, now)
        self._record_success(event.source)
        for other in self._requests.for_chunk(event.index):
            self._cancel(other, types_.CancelReason.OTHER_WAS_FASTER)
        if self._target.holds(event.index):
            return
        self._target.have |= 1 << event.index
        self._last_arrival_at = now
        if event.source == types_.ORIGIN:
            self._last_origin_arrival_at = now
        self._adverts.add(event.index)
        if self.complete:
            self._actions.append(types_.Completed(self._target.digest))

    def _record_success(self, source: str) -> None:
        if source == types_.ORIGIN:
            self._origin_fetches.record_success()
            return
        peer = self._peers.find(source)
        if peer is None:
            return
        peer.consecutive_failures = 0
        peer.received += 1
        if not peer.local:
            self._imports.record_import()

    def _on_lost(self, event: types_.Lost, now: float) -> None:
        previous = self._previous_targets.get(event.digest)
        if previous is not None:
            previous.have &= ~(1 << event.index)
        if event.digest == self._target.digest:
            self._target.have &= ~(1 << event.index)
            for peer in self._peers.all():
                self._advertise_all(peer)

    def _on_corrupt(self, event: types_.Corrupt, now: float) -> None:
        if event.digest != self._target.digest:
            return
        self._end_request(event.index, event.source)
        if event.source == types_.ORIGIN:
            self._origin_fetches.record_failure(now)
        else:
            self._exclude(event.source, types_.ExclusionReason.CORRUPT, now)

    def _on_refused(self, event: types_.Refused, now: float) -> None:
        if event.digest != self._target.digest:
            return
        if self._end_request(event.index, event.source) is None:
            return
        if event.source == types_.ORIGIN:
            self._origin_fetches.record_failure(now, event.retry_after_s)
            return
        peer = self._peers.find(event.source)
        if peer is None:
            return
        peer.busy_until = now + event.retry_after_s
        if event.reason is not types_.RefuseReason.BUSY:
            self._peers.invalidate(event.source)

    def _on_failed(self, event: types_.Failed, now: float) -> None:
        if event.digest != self._target.digest:
            return
        if self._end_request(event.index, event.source) is not None:
            self._record_failure(event.source, now)

    def _cancel_stalled(self, now: float) -> None:
        for request in self._requests.stalled(now):
            self._cancel(request, types_.CancelReason.STALLED)
            self._record_failure(request.source, now)

    def _record_failure(self, source: str, now: float) -> None:
        if source == types_.ORIGIN:
            self._origin_fetches.record_failure(now)
            return
        peer = self._peers.find(source)
        if peer is None:
            return
        peer.consecutive_failures += 1
        peer.busy_until = now + self._limits.stall_floor_s
        if peer.consecutive_failures >= _MAX_CONSECUTIVE_FAILURES:
            self._exclude(source, types_.ExclusionReason.STALLED, now)

    def _exclude(
        self, source: str, reason: types_.ExclusionReason, now: float
    ) -> None:
        if self._peers.find(source) is None:
            return
        seconds = self._limits.aside_s
        self._cancel_requests_to(source, types_.CancelReason.PEER_EXCLUDED)
        self._peers.exclude(source, now + seconds)
        self._actions.append(types_.PeerExcluded(source, reason, seconds))

    # Events about peers' requests.

    def _on_requested(self, event: types_.ChunkRequested, now: float) -> None:
        target = self._previous_targets.get(event.digest, self._target)
        self._actions.append(self._uploads.answer(event, target, now))

    def _on_served(self, event: types_.Served, now: float) -> None:
        self._uploads.free(event.peer_id, event.index)

    def _on_tick(self, event: types_.Tick, now: float) -> None:
        """Does nothing: `handle` does all timed work after each event."""

    # The next requests and announcements.

    def _fetch_from_origin(self, now: float) -> None:
        self._next_fetch_at = _NEVER
        wanted = self._peers.held_by_none(self._target.missing)
        # A chunk from a peer has appeared at that peer before. If its arrival
        # here counted too, a late copy would hide silent first-ranked agents.
        new_chunk_at = max(
            self._last_origin_arrival_at, self._peers.new_chunk_at
        )
        self._origin_fetches.record_appearance(wanted, new_chunk_at)
        if self.complete or not self._target.chunks:
            return
        if self._requests.origin_requests >= self._limits.draws:
            return
        if now < self._settle_at and not self._neighbours_known:
            # A neighbour may hold what this agent would fetch. Otherwise an
            # agent that was replaced would fetch its share a second time.
            self._next_fetch_at = self._settle_at
            return
        until = self._fleet_view.avoid_origin_until(self._peers.all(), now)
        if now < until:
            self._next_fetch_at = until
            return
        index, self._next_fetch_at = self._origin_fetches.due(
            wanted & ~self._requests.pending, now
        )
        if index is not None:
            self._origin_fetches.record_fetch(index)
            self._request(index, types_.ORIGIN, now)

    def _request_from_peers(self, now: float) -> None:
        missing = self._target.missing
        while missing and len(self._requests) < self._limits.outstanding:
            candidates = self._peers.usable(now, self._limits.asks_a_peer)
            wanted = missing & ~self._requests.pending
            chosen = choice.choose(
                wanted,
                candidates,
                self._peers.holders,
                lambda index: self._may_import(index, now),
                self._rng,
            )
            if chosen is None and not wanted:
                chosen = choice.second_source(
                    self._requests, candidates, self._rng, now
                )
            if chosen is None:
                return
            index, peer = chosen
            peer.outstanding += 1
            self._request(index, peer.member.instance_id, now)

    def _may_import(self, index: int, now: float) -> bool:
        return self._imports.is_allowed(
            index,
            self._target.digests,
            self._fleet_view.fleet,
            self._requests.mean_s,
            self._last_arrival_at,
            now,
        )

    def _advertise_gained(self, now: float, last: bool = False) -> None:
        self._actions += self._adverts.flush(
            self._target.digest, self._peers.all(), now, last
        )

    def _is_importer(self, index: int, peer: peers_lib.Peer) -> bool:
        """Returns whether a chunk enters a peer's failure domain through it."""
        digest = self._target.digests[index]
        domain = origin_fetchers.DrawPolicy.FAILURE_DOMAIN
        return not self._fleet_view.fleet.rank(digest, domain, peer.member)

    # Helpers.

    def _choose_neighbours(self) -> None:
        limits = self._limits
        chosen = peers_lib.neighbours(
            self._me,
            self._fleet_view.fleet,
            limits.local_neighbours,
            limits.remote_neighbours,
        )
        chosen += peers_lib.import_sources(
            self._me,
            self._fleet_view.fleet,
            limits.draw_policy,
            self._target.digests,
            limits.import_neighbours,
        )
        wanted = {member.instance_id: member for member in chosen}
        for name in sorted(self._neighbours - wanted.keys()):
            self._actions.append(types_.StopConnecting(name))
        for name, member in wanted.items():
            if name not in self._neighbours:
                self._actions.append(types_.Connect(member))
        self._neighbours = set(wanted)

    def _plan_origin_fetches(self, now: float) -> None:
        self._origin_fetches = origin_fetches.OriginFetches(
            self._limits,
            self._me,
            self._fleet_view.fleet,
            self._target.chunks,
            self._target.started_at,
            self._fleet_view.absent_since,
            self._ended_at,
        )
        self._last_arrival_at = now
        self._last_origin_arrival_at = now
        self._settle_at = now + self._limits.settle_s

    def _abandon_target(self) -> None:
        for request in self._requests.all():
            self._cancel(request, types_.CancelReason.ABANDONED)
        if self._limits.formers:
            return
        for name, index in self._uploads.clear():
            self._actions.append(types_.StopServing(name, index))

    def _keep_previous_target(self, digest: str) -> None:
        """Keeps the target that is being replaced by another one."""
        self._previous_targets.pop(digest, None)
        if self._target.digest:
            self._previous_targets[self._target.digest] = self._target
        while len(self._previous_targets) > self._limits.formers:
            del self._previous_targets[next(iter(self._previous_targets))]

    def _request(self, index: int, source: str, now: float) -> None:
        self._requests.start(index, source, now)
        self._actions.append(
            types_.RequestChunk(self._target.digest, index, source)
        )

    def _end_request(self, index: int, source: str) -> requests.Request | None:
        request = self._requests.end(index, source)
        peer = self._peers.find(source)
        if request is not None and peer is not None and peer.outstanding:
            peer.outstanding -= 1
        return request

    def _cancel(
        self, request: requests.Request, reason: types_.CancelReason
    ) -> None:
        self._end_request(request.index, request.source)
        digest, index = self._target.digest, request.index
        self._actions.append(
            types_.Cancel(digest, index, request.source, reason)
        )

    def _cancel_requests_to(
        self, source: str, reason: types_.CancelReason
    ) -> None:
        for request in self._requests.all():
            if request.source == source:
                self._cancel(request, reason)

    def _advertise_all(self, peer: peers_lib.Peer) -> None:
        name = peer.member.instance_id
        bits = self._target.held_bits
        self._actions.append(
            types_.AdvertiseAll(name, self._target.digest, bits)
        )
