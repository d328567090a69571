"""What an agent tells its peers of the chunks it holds."""

import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import peers as peers_lib


class Adverts:
    """Chunks that came and have not been announced, batched by time."""

    def __init__(self, limits: types_.Limits):
        """Starts with nothing to tell.

        Args:
          limits: How often gained chunks are announced.
        """
        self._limits = limits
        self._gained: list[int] = []
        self._told_at = -math.inf

    @property
    def due_at(self) -> float:
        """When the next announcement is due; infinity without news."""
        if not self._gained:
            return math.inf
        return self._told_at + self._limits.advert_s

    def reset(self) -> None:
        """Forgets news of another manifest."""
        self._gained = []

    def gained(self, index: int) -> None:
        """Notes a chunk that came."""
        self._gained.append(index)

    def flush(
        self,
        digest: str,
        peers: list[peers_lib.Peer],
        now: float,
        last: bool = False,
    ) -> types_.TellGained | None:
        """Returns the announcement that is due, if any.

        A peer that holds all that is new will ask for none of it and is not
        told.

        Args:
          digest: The manifest's digest.
          peers: Who is told.
          now: Monotonic seconds.
          last: Whether no later one will tell of what is not due yet.
        """
        if now < self.due_at and not (last and self._gained):
            return None
        self._told_at = now
        gained, self._gained = self._gained, []
        bits = sum(1 << index for index in gained)
        names = tuple(
            peer.member.instance_id for peer in peers if bits & ~peer.bits
        )
        if not names:
            return None
        return types_.TellGained(names, digest, tuple(gained))
