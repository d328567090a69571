"""The peers that an agent exchanges chunks with and what they hold.

No agent connects to all others: with 560 agents that would be 156,520
connections, and each chunk would be announced 559 times. Instead, each agent
has a bounded set of neighbours, most of them in its own failure domain.
"""

from collections.abc import Sequence
import dataclasses

import xxhash

from clementinegw.weights import origin_fetchers


@dataclasses.dataclass(slots=True)
class Peer:
    """A neighbour.

    Attributes:
      member: The peer's id and place.
      local: Whether it is in the same failure domain as this agent.
      known: Whether the chunks of the target that it holds are known.
      bits: The chunks it holds, as an integer with one bit per chunk.
      outstanding: The number of chunks requested from it that have not arrived.
      received: The number of chunks received from it.
      busy_until: No requests are sent to it until then, after a refusal or a
        failure, in monotonic seconds.
      excluded_until: When its exclusion ends, in monotonic seconds.
      consecutive_failures: The number of failed or stalled requests since the
        last success.
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
        """Returns whether a chunk can be requested from the peer now.

        Args:
          now: The current time in monotonic seconds.
          max_outstanding: The maximum number of chunks requested from it at
            once.
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
          domain: This agent's failure domain.
          manifests_per_peer: The number of manifests for which each peer's
            advertised chunks are kept.
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
        """For each chunk, the number of peers that hold it."""
        return self._holders

    @property
    def new_chunk_at(self) -> float:
        """When a peer last advertised a chunk that no other peer held.

        In monotonic seconds.
        """
        return self._new_chunk_at

    def all(self) -> list[Peer]:
        """Returns the peers."""
        return list(self._peers.values())

    def names(self) -> set[str]:
        """Returns the ids of the peers."""
        return set(self._peers)

    def find(self, peer_id: str) -> Peer | None:
        """Returns the peer with an id, or None."""
        return self._peers.get(peer_id)

    def usable(self, now: float, max_outstanding: int) -> list[Peer]:
        """Returns the peers that a chunk can be requested from now.

        Args:
          now: The current time in monotonic seconds.
          max_outstanding: The maximum number of chunks requested from one peer
            at once.
        """
        return [
            p for p in self._peers.values() if p.usable(now, max_outstanding)
        ]

    def held_by_none(self, bits: int) -> int:
        """Returns the subset of the chunks that no peer holds."""
        for peer in self._peers.values():
            bits &= ~peer.bits
        return bits

    def held_locally(self, index: int) -> bool:
        """Returns whether a peer of this failure domain holds a chunk."""
        same_domain = (peer for peer in self._peers.values() if peer.local)
        return any(peer.bits >> index & 1 for peer in same_domain)

    def first_seen_remote_at(self, index: int, now: float) -> float:
        """Returns when a peer of another domain first advertised a chunk.

        Args:
          index: The chunk's index.
          now: The current time, returned if no such peer has advertised it, in
            monotonic seconds.
        """
        return self._first_seen_remote.get(index, now)

    def set_target(self, digest: str, count: int, now: float) -> None:
        """Switches to another manifest and applies earlier advertisements.

        Args:
          digest: The manifest's digest.
          count: The number of its chunks.
          now: The current time in monotonic seconds.
        """
        self._digest = digest
        self._all_chunks = (1 << count) - 1
        self._holders = [0] * count
        self._first_seen_remote = {}
        self._new_chunk_at = now
        for name, peer in self._peers.items():
            peer.bits, peer.known, peer.outstanding = 0, False, 0
            self._apply_advertised(name, peer, now)

    def add(self, member: origin_fetchers.Member) -> Peer:
        """Adds a peer that has just connected."""
        self.remove(member.instance_id)
        peer = Peer(member, member.failure_domain == self._domain)
        self._peers[member.instance_id] = peer
        return peer

    def remove(self, peer_id: str) -> None:
        """Removes a peer whose connection ended."""
        peer = self._peers.pop(peer_id, None)
        self._advertised.pop(peer_id, None)
        if peer is not None:
            self._clear_held(peer)

    def record_held(
        self, peer_id: str, digest: str, bits: int, now: float
    ) -> None:
        """Records all chunks that a peer holds of a manifest."""
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
        """Records chunks that a peer holds in addition to those advertised."""
        peer = self._peers.get(peer_id)
        advertised = self._advertised.get(peer_id)
        if peer is None or advertised is None or digest not in advertised:
            return
        for index in indices:
            advertised[digest] |= 1 << index
        if peer.known:
            self._apply_advertised(peer_id, peer, now)

    def invalidate(self, peer_id: str) -> None:
        """Discards a peer's advertisements until it advertises all again."""
        self._advertised.pop(peer_id, None)
        self._clear_held(self._peers[peer_id])

    def exclude(self, peer_id: str, until: float) -> None:
        """Excludes a peer for a while.

        The chunks it holds do not count meanwhile. Otherwise a chunk that no
        other peer holds would seem available, and no agent would fetch it from
        the origin.

        Args:
          peer_id: The peer's id.
          until: When the exclusion ends, in monotonic seconds.
        """
        peer = self._peers[peer_id]
        peer.excluded_until = until
        peer.consecutive_failures = 0
        self._clear_held(peer)

    def readmit(self, now: float) -> None:
        """Readmits the peers whose exclusion has ended."""
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
    """Returns the positions of the set bits in ascending order."""
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
    """Chooses the peers that an agent opens connections to.

    Both ends use a connection, so an agent has about twice as many neighbours
    as it chooses. The successor by id in the failure domain is always chosen,
    which keeps the graph of a domain connected.

    Args:
      me: The agent.
      fleet: All agents.
      local: The number of peers to choose in the same failure domain.
      remote: The number of peers to choose in other failure domains.

    Returns:
      The chosen members, in no particular order.
    """
    same_domain: list[origin_fetchers.Member] = []
    other_domains: list[origin_fetchers.Member] = []
    for member in fleet.members:
        if member.instance_id == me.instance_id:
            continue
        same = member.failure_domain == me.failure_domain
        (same_domain if same else other_domains).append(member)
    chosen = _successor(me, same_domain)
    for group, count in ((same_domain, local), (other_domains, remote)):
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
    """Chooses the peers that an agent imports chunks from.

    The agent that ranks first for a chunk in a failure domain imports it from
    the agent that fetches it from the origin, as soon as it has arrived there.
    Without a direct connection between these two, the importer would learn of
    the chunk only after it had spread in the other domain.

    Args:
      me: The agent.
      fleet: All agents.
      policy: The group within which a chunk is fetched once.
      digests: The chunks' digests.
      limit: The maximum number of peers.
    """
    domain_policy = origin_fetchers.DrawPolicy.FAILURE_DOMAIN
    group = origin_fetchers.group_of(me, policy)
    chosen: dict[str, origin_fetchers.Member] = {}
    for digest in digests:
        if len(chosen) >= limit:
            break
        if fleet.rank(digest, domain_policy, me):
            continue
        fetcher = fleet.find(fleet.ranked(digest, policy, group)[0])
        if fetcher and fetcher.failure_domain != me.failure_domain:
            chosen[fetcher.instance_id] = fetcher
    return list(chosen.values())


def _successor(
    me: origin_fetchers.Member, same_domain: list[origin_fetchers.Member]
) -> list[origin_fetchers.Member]:
    later = [m for m in same_domain if m.instance_id > me.instance_id]
    return (later or same_domain)[:1]


def _pair_score(
    one: origin_fetchers.Member, other: origin_fetchers.Member
) -> int:
    first, second = sorted((one.instance_id, other.instance_id))
    return xxhash.xxh64_intdigest(f"{first}\0{second}".encode())
