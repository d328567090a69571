"""The peers that an agent sends chunks to, and retry times for the others."""

import random

from clementinegw.weights import _swarm_target as targets
from clementinegw.weights import _swarm_types as types_


class Uploads:
    """The upload slots of one agent."""

    def __init__(self, limits: types_.Limits, rng: random.Random):
        """Starts with every slot free.

        Args:
          limits: The number of slots and the link's rate.
          rng: Spreads the times at which refused peers retry.
        """
        self._limits = limits
        self._rng = rng
        self._started_at: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._started_at)

    def answer(
        self, event: types_.ChunkRequested, target: targets.Target, now: float
    ) -> types_.Serve | types_.Refuse:
        """Returns the answer to a request; reserves a slot to serve it."""
        peer_id, index = event.peer_id, event.index
        retry_after_s = self._limits.settle_s
        if event.digest != target.digest:
            reason = types_.RefuseReason.OTHER_TARGET
        elif not target.holds(index):
            reason = types_.RefuseReason.NOT_HELD
        elif not self._reserve(peer_id, index, now):
            reason = types_.RefuseReason.BUSY
            retry_after_s = self._retry_after(target.chunks[index].size, now)
        else:
            return types_.Serve(peer_id, event.digest, index)
        return types_.Refuse(peer_id, index, reason, retry_after_s)

    def free(self, peer_id: str, index: int) -> None:
        """Frees the slot of a chunk that a peer requested, if it has one."""
        self._started_at.pop((peer_id, index), None)

    def free_all(self, peer_id: str) -> None:
        """Frees all slots of a peer."""
        for key in [key for key in self._started_at if key[0] == peer_id]:
            del self._started_at[key]

    def clear(self) -> list[tuple[str, int]]:
        """Frees all slots and returns the peers and chunks that held them."""
        reserved = list(self._started_at)
        self._started_at.clear()
        return reserved

    def _retry_after(self, chunk_bytes: int, now: float) -> float:
        """Returns in how many seconds a slot will probably be free."""
        chunk_s = chunk_bytes / self._limits.link_bytes_per_s
        oldest = min(self._started_at.values(), default=now)
        remaining_s = max(0.0, chunk_s - (now - oldest))
        # Without the random part, all refused peers would retry at the same
        # moment and all but one would be refused again.
        return remaining_s + chunk_s * self._rng.random()

    def _reserve(self, peer_id: str, index: int, now: float) -> bool:
        peer_uploads = sum(1 for name, _ in self._started_at if name == peer_id)
        full = len(self._started_at) >= self._limits.upload_slots
        if full or peer_uploads >= self._limits.asks_a_peer:
            return False
        self._started_at[peer_id, index] = now
        return True
