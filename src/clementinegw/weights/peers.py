"""What an agent knows of the peers it exchanges chunks with.

No agent talks to all others: at 560 agents that would be 156,520 connections,
and each chunk would be announced 559 times. Each has a bounded set of
neighbours instead, most of them in its own failure domain.
"""

from collections.abc import Sequence
import dataclasses

import xxhash

from clementinegw.weights import origin_fetchers


@dataclasses.dataclass(slots=True)
class Peer:
    """A neighbour.

    Attributes:
      member: Who it is.
      local: Whether it stands in the same failure domain.
      known: Whether what it holds of the target is known.
      bits: The chunks it holds, as an integer with a bit a chunk.
      outstanding: Chunks that were asked of it and have not arrived.
      received: Chunks that it sent.
      busy_until: It refuses until then.
      excluded_until: It is not asked until then.
      consecutive_failures: Timeouts in a row.
    """

    member: origin_fetchers.Member
    local: bool
    known: bool = False
    bits: int = 0
    outstanding: int = 0
    received: int = 0
    busy_until: float = 0.0
    excluded_until: float = 0.0
    consecutive_failures: int = 0

    def usable(self, now: float, max_outstanding: int) -> bool:
        """Whether it can be asked for a chunk now.

        Args:
          now: Monotonic seconds.
          max_outstanding: Chunks that may be asked of it at once.
        """
        return (
            self.known
            and self.outstanding < max_outstanding
            and self.busy_until <= now
            and self.excluded_until <= now
        )


class Neighbourhood:
    """The connected peers of one agent and which chunks they hold."""

    def __init__(self, domain: str, manifests_per_peer: int = 1):
        """Starts without peers.

        Args:
          domain: The failure domain of the agent itself.
          manifests_per_peer: How many manifests' advertised chunks are kept
            for each peer.
        """
        self._manifests_per_peer = manifests_per_peer
        self._domain = domain
        self._peers: dict[str, Peer] = {}
        self._advertised: dict[str, dict[str, int]] = {}
        self._digest = ""
        self._all_chunks = 0
        self._holders: list[int] = []
        self._first_seen_remote: dict[int, float] = {}
        self._new_chunk_at = 0.0

    @property
    def holders(self) -> list[int]:
        """For each chunk how many peers hold it."""
        return self._holders

    @property
    def new_chunk_at(self) -> float:
        """When a peer last told of a chunk that no peer had told of."""
        return self._new_chunk_at

    def all(self) -> list[Peer]:
        """Returns the peers."""
        return list(self._peers.values())

    def names(self) -> set[str]:
        """Returns the ids of the peers."""
        return set(self._peers)

    def find(self, peer_id: str) -> Peer | None:
        """Returns the peer of that id."""
        return self._peers.get(peer_id)

    def usable(self, now: float, max_outstanding: int) -> list[Peer]:
        """Returns the peers that can be asked for a chunk now.

        Args:
          now: Monotonic seconds.
          max_outstanding: Chunks that may be asked of one of them at once.
        """
        return [
            p for p in self._peers.values() if p.usable(now, max_outstanding)
        ]

    def held_by_none(self, bits: int) -> int:
        """Returns those of the chunks that no peer holds."""
        for peer in self._peers.values():
            bits &= ~peer.bits
        return bits

    def held_locally(self, index: int) -> bool:
        """Whether a peer of the own failure domain holds a chunk."""
        near = (peer for peer in self._peers.values() if peer.local)
        return any(peer.bits >> index & 1 for peer in near)

    def first_seen_remote_at(self, index: int, now: float) -> float:
        """Returns when a peer of another domain first held a chunk."""
        return self._first_seen_remote.get(index, now)

    def set_target(self, digest: str, count: int, now: float) -> None:
        """Follows another manifest, with what peers have told of it already."""
        self._digest = digest
        self._all_chunks = (1 << count) - 1
        self._holders = [0] * count
        self._first_seen_remote = {}
        self._new_chunk_at = now
        for name, peer in self._peers.items():
            peer.bits, peer.known, peer.outstanding = 0, False, 0
            self._apply_advertised(name, peer, now)

    def add(self, member: origin_fetchers.Member) -> Peer:
        """Adds a peer that has just been connected."""
        self.remove(member.instance_id)
        peer = Peer(member, member.failure_domain == self._domain)
        self._peers[member.instance_id] = peer
        return peer

    def remove(self, peer_id: str) -> None:
        """Forgets a peer whose connection ended."""
        peer = self._peers.pop(peer_id, None)
        self._advertised.pop(peer_id, None)
        if peer is not None:
            self._clear_held(peer)

    def record_held(
        self, peer_id: str, digest: str, bits: int, now: float
    ) -> None:
        """Takes the whole of what a peer holds."""
        peer = self._peers.get(peer_id)
        if peer is None:
            return
        advertised = self._advertised.setdefault(peer_id, {})
        advertised.pop(digest, None)
        advertised[digest] = bits
        while len(advertised) > self._manifests_per_peer:
            del advertised[next(iter(advertised))]
        self._clear_held(peer)
        self._apply_advertised(peer_id, peer, now)

    def record_gained(
        self, peer_id: str, digest: str, indices: tuple[int, ...], now: float
    ) -> None:
        """Takes what a peer holds besides what it told before."""
        peer = self._peers.get(peer_id)
        advertised = self._advertised.get(peer_id)
        if peer is None or advertised is None or digest not in advertised:
            return
        for index in indices:
            advertised[digest] |= 1 << index
        if peer.known:
            self._apply_advertised(peer_id, peer, now)

    def invalidate(self, peer_id: str) -> None:
        """Disregards what a peer told until it tells all again."""
        self._advertised.pop(peer_id, None)
        self._clear_held(self._peers[peer_id])

    def exclude(self, peer_id: str, until: float) -> None:
        """Disregards a peer for a while.

        What it holds does not count meanwhile: it would make a chunk look safe
        that nobody else has, and nobody would draw it from the origin.
        """
        peer = self._peers[peer_id]
        peer.excluded_until = until
        peer.consecutive_failures = 0
        self._clear_held(peer)

    def readmit(self, now: float) -> None:
        """Regards the peers again whose time aside is over."""
        for name, peer in self._peers.items():
            if not peer.known and 0.0 < peer.excluded_until <= now:
                peer.excluded_until = 0.0
                self._apply_advertised(name, peer, now)

    def _apply_advertised(self, name: str, peer: Peer, now: float) -> None:
        advertised = self._advertised.get(name, {})
        if self._digest not in advertised or peer.excluded_until > now:
            return
        bits = advertised[self._digest] & self._all_chunks
        fresh = bits & ~peer.bits
        peer.bits = bits
        peer.known = True
        for index in indices(fresh):
            if not self._holders[index]:
                self._new_chunk_at = now
            if not peer.local:
                self._first_seen_remote.setdefault(index, now)
            self._holders[index] += 1

    def _clear_held(self, peer: Peer) -> None:
        for index in indices(peer.bits):
            self._holders[index] -= 1
        peer.bits = 0
        peer.known = False


def indices(bits: int) -> list[int]:
    """Returns the positions of the bits that are set, lowest first."""
    found = []
    while bits:
        lowest = bits & -bits
        found.append(lowest.bit_length() - 1)
        bits ^= lowest
    return found


def neighbours(
    me: origin_fetchers.Member,
    fleet: origin_fetchers.Fleet,
    local: int,
    remote: int,
) -> list[origin_fetchers.Member]:
    """Chooses whom an agent opens connections to.

    Both ends use a connection, so an agent has about twice as many neighbours
    as it chooses. The successor by id in the domain is always among them,
    which keeps the graph of a domain in one piece.

    Args:
      me: The agent.
      fleet: All agents.
      local: How many to choose in the own failure domain.
      remote: How many to choose elsewhere.

    Returns:
      The chosen members, in no particular order.
    """
    near: list[origin_fetchers.Member] = []
    far: list[origin_fetchers.Member] = []
    for member in fleet.members:
        if member.instance_id == me.instance_id:
            continue
        same = member.failure_domain == me.failure_domain
        (near if same else far).append(member)
    chosen = _successor(me, near)
    for group, count in ((near, local), (far, remote)):
        scored = sorted(group, key=lambda other: _pair_score(me, other))
        chosen += [m for m in scored[:count] if m not in chosen]
    return chosen


def import_sources(
    me: origin_fetchers.Member,
    fleet: origin_fetchers.Fleet,
    policy: origin_fetchers.DrawPolicy,
    digests: Sequence[bytes],
    limit: int,
) -> list[origin_fetchers.Member]:
    """Chooses connections by which chunks enter an agent's failure domain.

    The first in a domain's list of a chunk takes it from the chunk's first
    drawer, the moment it is there. Without a connection between just these
    two it would hear of the chunk only after it had spread in the other domain.

    Args:
      me: The agent.
      fleet: All agents.
      policy: Within what group a chunk is drawn once.
      digests: The chunks.
      limit: The most connections.
    """
    near = origin_fetchers.DrawPolicy.FAILURE_DOMAIN
    group = origin_fetchers.group_of(me, policy)
    chosen: dict[str, origin_fetchers.Member] = {}
    for digest in digests:
        if len(chosen) >= limit:
            break
        if fleet.rank(digest, near, me):
            continue
        drawer = fleet.find(fleet.ranked(digest, policy, group)[0])
        if drawer and drawer.failure_domain != me.failure_domain:
            chosen[drawer.instance_id] = drawer
    return list(chosen.values())


def _successor(
    me: origin_fetchers.Member, near: list[origin_fetchers.Member]
) -> list[origin_fetchers.Member]:
    later = [m for m in near if m.instance_id > me.instance_id]
    return (later or near)[:1]


def _pair_score(
    one: origin_fetchers.Member, other: origin_fetchers.Member
) -> int:
    first, second = sorted((one.instance_id, other.instance_id))
    return xxhash.xxh64_intdigest(f"{first}\0{second}".encode())
