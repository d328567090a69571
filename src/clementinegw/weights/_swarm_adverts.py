"""Announcements of the chunks that an agent has gained.

In a rollout among dozens of agents with dozens of peers each, announcing every
chunk at once costs each agent several hundred messages a second, and most of
them announce chunks that the agent may not request. A chunk enters a failure
domain through one agent; the other agents of that domain fetch it from there.
"""

from collections.abc import Callable
import dataclasses
import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import peers as peers_lib


@dataclasses.dataclass(slots=True)
class _Batch:
    """Chunks that have not been announced to some of the peers yet."""

    interval_s: float
    indices: list[int] = dataclasses.field(default_factory=list)
    sent_at: float = -math.inf

    @property
    def due_at(self) -> float:
        if not self.indices:
            return math.inf
        return self.sent_at + self.interval_s

    def take(self, now: float, last: bool) -> list[int]:
        """Returns the chunks to announce now; none before the batch is due."""
        if now < self.due_at and not (last and self.indices):
            return []
        self.sent_at = now
        indices, self.indices = self.indices, []
        return indices


class Adverts:
    """Gained chunks that have not been announced yet, batched by time."""

    def __init__(
        self,
        limits: types_.Limits,
        is_importer: Callable[[int, peers_lib.Peer], bool],
    ):
        """Starts with nothing to announce.

        Args:
          limits: How often gained chunks are announced.
          is_importer: Whether a chunk enters a peer's failure domain through
            that peer.
        """
        self._is_importer = is_importer
        self._pending = _Batch(limits.advert_s)
        # Not announced yet to peers of other failure domains through which
        # these chunks do not enter their domain.
        self._pending_remote = _Batch(max(limits.advert_s, limits.far_advert_s))

    @property
    def due_at(self) -> float:
        """When the next announcement is due; infinity when none is pending."""
        return min(self._pending.due_at, self._pending_remote.due_at)

    def reset(self) -> None:
        """Discards pending chunks, which belong to another manifest."""
        self._pending.indices = []
        self._pending_remote.indices = []

    def add(self, index: int) -> None:
        """Adds a chunk to announce."""
        self._pending.indices.append(index)

    def flush(
        self,
        digest: str,
        peers: list[peers_lib.Peer],
        now: float,
        last: bool = False,
    ) -> list[types_.AdvertiseGained]:
        """Returns the announcements that are due.

        A peer that holds all of the gained chunks would request none of them,
        so nothing is announced to it.

        Args:
          digest: The manifest's digest.
          peers: The connected peers.
          now: The current time in monotonic seconds.
          last: Whether chunks that are not due yet are announced too, because
            there will be no later announcement.
        """
        indices = self._pending.take(now, last)
        self._pending_remote.indices += indices
        prompt_peers = [
            peer
            for peer in peers
            if peer.local
            or any(self._is_importer(index, peer) for index in indices)
        ]
        remote_indices = self._pending_remote.take(now, last)
        remote_peers = [peer for peer in peers if not peer.local]
        adverts = (
            _make_advert(digest, prompt_peers, indices),
            _make_advert(digest, remote_peers, remote_indices),
        )
        return [advert for advert in adverts if advert is not None]


def _make_advert(
    digest: str, peers: list[peers_lib.Peer], indices: list[int]
) -> types_.AdvertiseGained | None:
    bits = sum(1 << index for index in indices)
    peer_ids = tuple(
        peer.member.instance_id for peer in peers if bits & ~peer.bits
    )
    if not peer_ids:
        return None
    return types_.AdvertiseGained(peer_ids, digest, tuple(indices))
