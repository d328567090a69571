"""What one process asks another about a topic, and the answer."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import raw

# What a receiver may take beyond the wait of a question for proofs, in
# seconds: the asker's knowledge grows old meanwhile.
_FRESHNESS_GRACE_S = 0.5
# And of another question.
_GRACE_S = 1.5


class Unable(exceptions.PlatformUnavailable):
    """The process that was asked cannot answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """What one process asks another one.

    Attributes:
      topic: The topic's name.
      offset: Where the asker is; None when it knows nothing yet.
      freshness_id: The newest proof of the receiver that the asker has;
        None when it asks for news only.
      wait_s: For how long the receiver may wait for something to say.
    """

    topic: str
    offset: int | None
    freshness_id: int | None
    wait_s: float

    @property
    def grace_s(self) -> float:
        """How long the receiver may say nothing beyond the wait."""
        if self.freshness_id is None or self.offset is None:
            return _GRACE_S
        return _FRESHNESS_GRACE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """The answer.

    Attributes:
      items: The newest value of each key that changed; of all keys when the
        query had no offset.
      next_offset: The offset to go on from.
      freshness_id: The number of the proof that nothing else is new.
      age_s: How old that proof is at the moment of the answer.
      held_s: How long the question was held.
      lag_s: How long the oldest of the items may have lain in the store; None
        when that is not known.
      available_s: How long the store has answered without failure.
      outage_s: How long it had given no answer before that.
      readers: Who reads for the failure domain.
    """

    items: tuple[raw.Item, ...]
    next_offset: int
    freshness_id: int
    age_s: float
    held_s: float
    lag_s: float | None
    available_s: float
    outage_s: float = 0.0
    readers: tuple[types.Address, ...] = ()


class Peers(Protocol):
    """Other processes."""

    async def ask(
        self,
        reader: types.Address,
        query: Query,
        on_progress: Callable[[], None],
    ) -> Update:
        """Asks one.

        Args:
          reader: Whom.
          query: What.
          on_progress: Is told from time to time that a large answer is coming.

        Raises:
          topic_watch.HistoryLost: It no longer knows what the asker lacks.
          exceptions.PlatformUnavailable: It cannot answer, or did not.
        """
