"""The state machine of `weights.swarm`."""

from collections.abc import Callable
import dataclasses
import math
import random
from typing import Any

from clementinegw.weights import _swarm_adverts as adverts
from clementinegw.weights import _swarm_choice as choice
from clementinegw.weights import _swarm_draws as draws
from clementinegw.weights import _swarm_fleet as fleets
from clementinegw.weights import _swarm_imports as imports
from clementinegw.weights import _swarm_requests as requests
from clementinegw.weights import _swarm_target as targets
from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import _swarm_uploads as uploads
from clementinegw.weights import drawers
from clementinegw.weights import peers as peers_lib

_STRIKES = 2
_NEVER = math.inf


class Swarm:
    """One agent's part in the rollout of one manifest at a time."""

    def __init__(
        self, me: drawers.Member, limits: types_.Limits, rng: random.Random
    ):
        """Starts without a target.

        Args:
          me: This agent.
          limits: What bounds its part.
          rng: Breaks ties.
        """
        self._me = me
        self._limits = limits
        self._rng = rng
        self._view = fleets.FleetView(me, limits.draw_policy, limits.cut_off_s)
        self._peers = peers_lib.Neighbourhood(
            me.failure_domain, 1 + limits.formers
        )
        self._chosen: set[str] = set()
        self._target = targets.Target()
        self._formers: dict[str, targets.Target] = {}
        self._requests = requests.Requests(limits, 0)
        self._uploads = uploads.Uploads(limits, rng)
        # Agents whose processes are over, and since when.
        self._ended: dict[str, float] = {}
        self._draws = draws.Draws(
            limits, me, self._view.fleet, (), 0.0, {}, self._ended
        )
        self._next_draw_at = _NEVER
        self._settle_at = 0.0
        self._arrived_at = 0.0
        self._drawn_at = 0.0
        self._imports = imports.Imports(limits, me, self._peers)
        self._adverts = adverts.Adverts(limits, self._imports_first)
        self._out: list[types_.Action] = []
        self._table: dict[type, Callable[[Any, float], None]] = {
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
            types_.Wanted: self._on_wanted,
            types_.Served: self._on_served,
            types_.Tick: self._on_tick,
        }

    def set_origin_rate(self, bytes_per_s: float) -> None:
        """Says how fast the origin sends; holds from the next plan on."""
        self._limits = dataclasses.replace(
            self._limits, origin_bytes_per_s=bytes_per_s
        )

    @property
    def digest(self) -> str:
        """The target manifest's digest; empty without a target."""
        return self._target.digest

    @property
    def have(self) -> int:
        """The chunks held, as an integer with a bit a chunk."""
        return self._target.have

    @property
    def complete(self) -> bool:
        """Whether there is a target and all its chunks are held."""
        return self._target.complete

    @property
    def unspread(self) -> int:
        """How many of the target's chunks lie neither here nor near.

        Near are the neighbours.
        """
        return self._peers.held_by_none(self._target.missing).bit_count()

    @property
    def outstanding(self) -> int:
        """How many requests are open."""
        return len(self._requests)

    @property
    def serving(self) -> int:
        """How many chunks are being sent."""
        return len(self._uploads)

    @property
    def peers(self) -> peers_lib.Neighbourhood:
        """The connected peers."""
        return self._peers

    @property
    def _settled(self) -> bool:
        """Whether every neighbour has told what it holds."""
        if any(not peer.known for peer in self._peers.all()):
            return False
        return self._chosen <= self._peers.names()

    def handle(self, event: types_.Event, now: float) -> list[types_.Action]:
        """Takes one event and returns what is to be done, in order."""
        if isinstance(event, types_.Progressed):
            # By far the most frequent event; nothing follows from it.
            self._on_progressed(event, now)
            return []
        self._out = []
        self._peers.take_back(now)
        self._table[type(event)](event, now)
        self._give_up_stalled(now)
        self._draw(now)
        self._fill(now)
        self._tell_gained(now)
        out, self._out = self._out, []
        return out

    def wake_at(self, now: float) -> float:
        """Returns when the next `Tick` is due, in monotonic seconds."""
        times = [self._next_draw_at, self._adverts.due_at]
        for request in self._requests.all():
            times.append(self._requests.give_up_at(request))
            times.append(self._requests.second_source_at(request))
        if not self.complete and len(self._requests) < self._limits.outstanding:
            times.append(now + self._requests.look_again_s)
            for peer in self._peers.all():
                times += (peer.busy_until, peer.aside_until)
        return min((t for t in times if t > now), default=_NEVER)

    # What was told.

    def _on_target_set(self, event: types_.TargetSet, now: float) -> None:
        if event.digest == self._target.digest:
            return
        self._tell_gained(now, last=True)
        self._abandon()
        self._keep_former(event.digest)
        have = int.from_bytes(event.held, "little")
        target = targets.Target(event.digest, event.chunks, have, now)
        self._target = target
        self._requests = requests.Requests(self._limits, target.largest)
        self._imports.reset()
        self._adverts.reset()
        self._peers.retarget(event.digest, len(event.chunks), now)
        self._choose_neighbours()
        self._plan(now)
        if event.is_new:
            # What neighbours would tell is known. Each moment counts while
            # the origin has the only copy.
            self._settle_at = now
        for peer in self._peers.all():
            self._tell_all(peer)
        if self.complete:
            self._out.append(types_.Completed(self._target.digest))

    def _on_fleet_changed(self, event: types_.FleetChanged, now: float) -> None:
        for name in [n for n in self._ended if n not in event.fleet]:
            del self._ended[name]
        if self._view.update(event.fleet, now):
            self._choose_neighbours()
            self._plan(now)

    def _on_peer_up(self, event: types_.PeerUp, now: float) -> None:
        gone = types_.CancelReason.PEER_GONE
        self._cancel_all_of(event.peer.instance_id, gone)
        peer = self._peers.add(event.peer)
        self._settle_at = max(self._settle_at, now + self._limits.settle_s)
        if self._target.digest:
            self._tell_all(peer)

    def _on_peer_down(self, event: types_.PeerDown, now: float) -> None:
        self._cancel_all_of(event.peer_id, types_.CancelReason.PEER_GONE)
        if event.by_peer:
            self._ended[event.peer_id] = now
        self._peers.remove(event.peer_id)
        self._uploads.forget(event.peer_id)

    def _on_peer_holds(self, event: types_.PeerHolds, now: float) -> None:
        bits = int.from_bytes(event.bits, "little")
        self._peers.holds(event.peer_id, event.digest, bits, now)
        if event.digest == self._target.digest:
            # It is at work again, and draws its chunks itself.
            self._ended.pop(event.peer_id, None)
        former = self._formers.get(event.digest)
        # Two agents that both went on would answer each other without an end.
        if former is not None and not event.answer:
            # It wants what this agent wanted before. Nobody else may hold the
            # last chunks: who came late would never be whole.
            held = former.held_bits
            self._out.append(
                types_.TellAll(event.peer_id, event.digest, held, answer=True)
            )

    def _on_peer_gained(self, event: types_.PeerGained, now: float) -> None:
        self._peers.gained(event.peer_id, event.digest, event.indices, now)

    # What came of requests.

    def _on_progressed(self, event: types_.Progressed, now: float) -> None:
        if event.digest == self._target.digest:
            self._requests.heard(event.index, event.source, now)

    def _on_arrived(self, event: types_.Arrived, now: float) -> None:
        if event.digest != self._target.digest:
            return
        request = self._end(event.index, event.source)
        if request is not None:
            self._requests.took(request, now)
        self._praise(event.source)
        for other in self._requests.of(event.index):
            self._cancel(other, types_.CancelReason.OTHER_WAS_FASTER)
        if self._target.holds(event.index):
            return
        self._target.have |= 1 << event.index
        self._arrived_at = now
        if event.source == types_.ORIGIN:
            self._drawn_at = now
        self._adverts.gained(event.index)
        if self.complete:
            self._out.append(types_.Completed(self._target.digest))

    def _praise(self, source: str) -> None:
        if source == types_.ORIGIN:
            self._draws.succeeded()
            return
        peer = self._peers.find(source)
        if peer is None:
            return
        peer.strikes = 0
        peer.taken += 1
        if not peer.local:
            self._imports.took()

    def _on_lost(self, event: types_.Lost, now: float) -> None:
        former = self._formers.get(event.digest)
        if former is not None:
            former.have &= ~(1 << event.index)
        if event.digest == self._target.digest:
            self._target.have &= ~(1 << event.index)
            for peer in self._peers.all():
                self._tell_all(peer)

    def _on_corrupt(self, event: types_.Corrupt, now: float) -> None:
        if event.digest != self._target.digest:
            return
        self._end(event.index, event.source)
        if event.source == types_.ORIGIN:
            self._draws.failed(now)
        else:
            self._put_aside(event.source, types_.AsideReason.CORRUPT, now)

    def _on_refused(self, event: types_.Refused, now: float) -> None:
        if event.digest != self._target.digest:
            return
        if self._end(event.index, event.source) is None:
            return
        if event.source == types_.ORIGIN:
            self._draws.failed(now, event.retry_after_s)
            return
        peer = self._peers.find(event.source)
        if peer is None:
            return
        peer.busy_until = now + event.retry_after_s
        if event.reason is not types_.RefuseReason.BUSY:
            self._peers.doubt(event.source)

    def _on_failed(self, event: types_.Failed, now: float) -> None:
        if event.digest != self._target.digest:
            return
        if self._end(event.index, event.source) is not None:
            self._strike(event.source, now)

    def _give_up_stalled(self, now: float) -> None:
        for request in self._requests.stalled(now):
            self._cancel(request, types_.CancelReason.STALLED)
            self._strike(request.source, now)

    def _strike(self, source: str, now: float) -> None:
        if source == types_.ORIGIN:
            self._draws.failed(now)
            return
        peer = self._peers.find(source)
        if peer is None:
            return
        peer.strikes += 1
        peer.busy_until = now + self._limits.stall_floor_s
        if peer.strikes >= _STRIKES:
            self._put_aside(source, types_.AsideReason.STALLED, now)

    def _put_aside(
        self, source: str, reason: types_.AsideReason, now: float
    ) -> None:
        if self._peers.find(source) is None:
            return
        seconds = self._limits.aside_s
        self._cancel_all_of(source, types_.CancelReason.PEER_ASIDE)
        self._peers.put_aside(source, now + seconds)
        self._out.append(types_.PutAside(source, reason, seconds))

    # What others ask.

    def _on_wanted(self, event: types_.Wanted, now: float) -> None:
        target = self._formers.get(event.digest, self._target)
        self._out.append(self._uploads.answer(event, target, now))

    def _on_served(self, event: types_.Served, now: float) -> None:
        self._uploads.free(event.peer_id, event.index)

    def _on_tick(self, event: types_.Tick, now: float) -> None:
        """Whatever depends on time runs after each event."""

    # What this agent does next.

    def _draw(self, now: float) -> None:
        self._next_draw_at = _NEVER
        wanted = self._peers.held_by_none(self._target.missing)
        # What comes from a peer has appeared there before; counted again as it
        # arrives here, a late copy would hide that drawers are silent.
        fresh_at = max(self._drawn_at, self._peers.fresh_at)
        self._draws.appeared(wanted, fresh_at)
        if self.complete or not self._target.chunks:
            return
        if self._requests.draws >= self._limits.draws:
            return
        if now < self._settle_at and not self._settled:
            # A neighbour may hold what this agent would draw: an agent that
            # was replaced would else draw its share a second time.
            self._next_draw_at = self._settle_at
            return
        until = self._view.leave_origin_until(self._peers.all(), now)
        if now < until:
            self._next_draw_at = until
            return
        index, self._next_draw_at = self._draws.due(
            wanted & ~self._requests.pending, now
        )
        if index is not None:
            self._draws.drawn(index)
            self._ask(index, types_.ORIGIN, now)

    def _fill(self, now: float) -> None:
        missing = self._target.missing
        while missing and len(self._requests) < self._limits.outstanding:
            able = self._peers.usable(now, self._limits.asks_a_peer)
            wanted = missing & ~self._requests.pending
            chosen = choice.choose(
                wanted,
                able,
                self._peers.holders,
                lambda index: self._may_import(index, now),
                self._rng,
            )
            if chosen is None and not wanted:
                chosen = choice.second_source(
                    self._requests, able, self._rng, now
                )
            if chosen is None:
                return
            index, peer = chosen
            peer.asked += 1
            self._ask(index, peer.member.instance_id, now)

    def _may_import(self, index: int, now: float) -> bool:
        return self._imports.allowed(
            index,
            self._target.digests,
            self._view.fleet,
            self._requests.mean_s,
            self._arrived_at,
            now,
        )

    def _tell_gained(self, now: float, last: bool = False) -> None:
        self._out += self._adverts.flush(
            self._target.digest, self._peers.all(), now, last
        )

    def _imports_first(self, index: int, peer: peers_lib.Peer) -> bool:
        """Returns whether a chunk enters a peer's failure domain through it."""
        digest = self._target.digests[index]
        domain = drawers.DrawPolicy.FAILURE_DOMAIN
        return not self._view.fleet.rank(digest, domain, peer.member)

    # Helpers.

    def _choose_neighbours(self) -> None:
        limits = self._limits
        chosen = peers_lib.neighbours(
            self._me,
            self._view.fleet,
            limits.local_neighbours,
            limits.remote_neighbours,
        )
        chosen += peers_lib.drawers_to_import_from(
            self._me,
            self._view.fleet,
            limits.draw_policy,
            self._target.digests,
            limits.import_neighbours,
        )
        wanted = {member.instance_id: member for member in chosen}
        for name in sorted(self._chosen - wanted.keys()):
            self._out.append(types_.Forget(name))
        for name, member in wanted.items():
            if name not in self._chosen:
                self._out.append(types_.Connect(member))
        self._chosen = set(wanted)

    def _plan(self, now: float) -> None:
        self._draws = draws.Draws(
            self._limits,
            self._me,
            self._view.fleet,
            self._target.chunks,
            self._target.began,
            self._view.absent,
            self._ended,
        )
        self._arrived_at = now
        self._drawn_at = now
        self._settle_at = now + self._limits.settle_s

    def _abandon(self) -> None:
        for request in self._requests.all():
            self._cancel(request, types_.CancelReason.ABANDONED)
        if self._limits.formers:
            return
        for name, index in self._uploads.clear():
            self._out.append(types_.StopServing(name, index))

    def _keep_former(self, digest: str) -> None:
        """Remembers the target that another one replaces."""
        self._formers.pop(digest, None)
        if self._target.digest:
            self._formers[self._target.digest] = self._target
        while len(self._formers) > self._limits.formers:
            del self._formers[next(iter(self._formers))]

    def _ask(self, index: int, source: str, now: float) -> None:
        self._requests.start(index, source, now)
        self._out.append(types_.Ask(self._target.digest, index, source))

    def _end(self, index: int, source: str) -> requests.Request | None:
        request = self._requests.end(index, source)
        peer = self._peers.find(source)
        if request is not None and peer is not None and peer.asked:
            peer.asked -= 1
        return request

    def _cancel(
        self, request: requests.Request, reason: types_.CancelReason
    ) -> None:
        self._end(request.index, request.source)
        digest, index = self._target.digest, request.index
        self._out.append(types_.Cancel(digest, index, request.source, reason))

    def _cancel_all_of(self, source: str, reason: types_.CancelReason) -> None:
        for request in self._requests.all():
            if request.source == source:
                self._cancel(request, reason)

    def _tell_all(self, peer: peers_lib.Peer) -> None:
        name = peer.member.instance_id
        bits = self._target.held_bits
        self._out.append(types_.TellAll(name, self._target.digest, bits))
