"""Queries about topics between the processes of a failure domain."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import raw

# How long a peer may be silent after the wait of a query, in seconds. It is
# shorter for a query for freshness, as the copy of the asking process ages
# meanwhile.
_FRESHNESS_GRACE_S = 0.5
_GRACE_S = 1.5


class Unable(exceptions.PlatformUnavailable):
    """A queried process cannot answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A query of one process to another one, which may hold it.

    Attributes:
      topic: The topic's name.
      position: The first position to return; None to get a snapshot.
      freshness_id: The newest `freshness_id` that the receiver sent before, so
        that it also answers when its copy is fresher; None to get an answer
        without changes only at the end of the wait.
      wait_s: How long the receiver may hold the query, in seconds.
    """

    topic: str
    position: int | None
    freshness_id: int | None
    wait_s: float

    @property
    def grace_s(self) -> float:
        """How long the receiver may be silent after the wait, in seconds."""
        if self.freshness_id is None or self.position is None:
            return _GRACE_S
        return _FRESHNESS_GRACE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """The answer to a query.

    Attributes:
      items: The newest item of each key that changed; of all keys if the query
        had no position.
      next_position: The position at which the next query starts.
      freshness_id: A number of the sender that grows whenever its copy of the
        topic is shown to be current at a later time.
      age_s: The age of the sender's copy when it answered, in seconds.
      held_s: How long the query was held, in seconds.
      lag_s: The maximum time the items lay unread in the store, in seconds;
        None if it is not known.
      available_s: How long the store has answered without a failure, in
        seconds.
      outage_s: The length of the outage before that, in seconds.
      readers: The reader candidates of the failure domain.
    """

    items: tuple[raw.Item, ...]
    next_position: int
    freshness_id: int
    age_s: float
    held_s: float
    lag_s: float | None
    available_s: float
    outage_s: float = 0.0
    readers: tuple[types.Address, ...] = ()


class Peers(Protocol):
    """The other processes of a failure domain."""

    async def ask(
        self,
        reader: types.Address,
        query: Query,
        on_progress: Callable[[], None],
    ) -> Update:
        """Sends a query to a process and returns the answer.

        Args:
          reader: The address of the process.
          query: The query.
          on_progress: Called repeatedly while a large answer is arriving.

        Raises:
          topic_watch.HistoryLost: The process does not know all changes since
            the position.
          exceptions.PlatformUnavailable: The process cannot answer or did not.
        """
