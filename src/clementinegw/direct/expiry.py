"""Facts that must not be acted on after a certain time.

A process may be stopped, or its machine suspended, between a check and the act
that relies on it. So an act takes an `Expiry` and asks it at the last moment.
"""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Expiry:
    """The time from which a fact is no longer valid.

    Attributes:
      at: That time, in boot seconds.
      clock: Returns boot seconds, which also count while the machine is
        suspended.
    """

    at: float
    clock: Callable[[], float]

    @property
    def left_s(self) -> float:
        """For how long the fact is still valid, in seconds; 0 if it is not."""
        return max(0.0, self.at - self.clock())

    @property
    def expired(self) -> bool:
        """Whether the fact is no longer valid."""
        return not self.left_s
