"""The clock, which is injected so that tests can run in virtual time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic time for decisions and wall time for records."""

    def now(self) -> float:
        """Returns monotonic seconds."""

    def wall(self) -> float:
        """Returns seconds since the epoch."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()
