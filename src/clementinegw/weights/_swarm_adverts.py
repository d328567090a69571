"""What an agent tells its peers of the chunks it holds.

The load is that of a rollout among dozens of agents, each with dozens of
peers: told of each chunk at once, all of them take in several hundred messages
a second, most of which say nothing that they may act on. A chunk enters a
failure domain through one agent; the others of that domain take it from there.
"""

from collections.abc import Callable
import dataclasses
import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import peers as peers_lib


@dataclasses.dataclass(slots=True)
class _Batch:
    """Chunks that some peers have not been told of yet."""

    interval_s: float
    indices: list[int] = dataclasses.field(default_factory=list)
    sent_at: float = -math.inf

    @property
    def due_at(self) -> float:
        if not self.indices:
            return math.inf
        return self.sent_at + self.interval_s

    def take(self, now: float, last: bool) -> list[int]:
        """Returns the chunks that are told of now; none while none is due."""
        if now < self.due_at and not (last and self.indices):
            return []
        self.sent_at = now
        indices, self.indices = self.indices, []
        return indices


class Adverts:
    """Chunks that came and have not been announced, batched by time."""

    def __init__(
        self,
        limits: types_.Limits,
        is_importer: Callable[[int, peers_lib.Peer], bool],
    ):
        """Starts with nothing to tell.

        Args:
          limits: How often gained chunks are announced.
          is_importer: Whether a chunk enters a peer's failure domain through
            that peer.
        """
        self._is_importer = is_importer
        self._pending = _Batch(limits.advert_s)
        # Of these the peers elsewhere were not told that only help out.
        self._pending_remote = _Batch(max(limits.advert_s, limits.far_advert_s))

    @property
    def due_at(self) -> float:
        """When the next announcement is due; infinity without news."""
        return min(self._pending.due_at, self._pending_remote.due_at)

    def reset(self) -> None:
        """Forgets news of another manifest."""
        self._pending.indices = []
        self._pending_remote.indices = []

    def add(self, index: int) -> None:
        """Notes a chunk that came."""
        self._pending.indices.append(index)

    def flush(
        self,
        digest: str,
        peers: list[peers_lib.Peer],
        now: float,
        last: bool = False,
    ) -> list[types_.AdvertiseGained]:
        """Returns the announcements that are due.

        A peer that holds all that is new will ask for none of it and is not
        told.

        Args:
          digest: The manifest's digest.
          peers: Who is told.
          now: Monotonic seconds.
          last: Whether no later one will tell of what is not due yet.
        """
        indices = self._pending.take(now, last)
        self._pending_remote.indices += indices
        soon = [
            peer
            for peer in peers
            if peer.local
            or any(self._is_importer(index, peer) for index in indices)
        ]
        later = self._pending_remote.take(now, last)
        far = [peer for peer in peers if not peer.local]
        adverts = (
            _make_advert(digest, soon, indices),
            _make_advert(digest, far, later),
        )
        return [advert for advert in adverts if advert is not None]


def _make_advert(
    digest: str, peers: list[peers_lib.Peer], indices: list[int]
) -> types_.AdvertiseGained | None:
    bits = sum(1 << index for index in indices)
    names = tuple(
        peer.member.instance_id for peer in peers if bits & ~peer.bits
    )
    if not names:
        return None
    return types_.AdvertiseGained(names, digest, tuple(indices))
