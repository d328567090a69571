"""Estimates how long work takes on a server's machine at present.

A machine shared with others turns slow for fractions of a second, before the
queue of its server has grown, and servers tell so in their answers.
"""

import dataclasses
import math

# Answers closer together than this are averaged, in seconds: the time of a few
# requests.
_SMOOTHING_S = 0.1
# Time constant with which a pace is forgotten, in seconds. Paces change several
# times within a second.
_FORGETTING_S = 0.5


@dataclasses.dataclass(slots=True)
class MachinePace:
    """The estimated pace of one machine, at first the usual one."""

    _excess: float = 0.0
    _recorded_at: float = -math.inf

    def record(self, pace: float, now: float) -> None:
        """Records a reported pace.

        Args:
          pace: How many times longer than usual work takes.
          now: Monotonic seconds.
        """
        known = self._excess_at(now)
        weight = 1.0 - math.exp((self._recorded_at - now) / _SMOOTHING_S)
        self._excess = known + weight * (pace - 1.0 - known)
        self._recorded_at = now

    def estimate(self, now: float) -> float:
        """Returns how many times longer than usual work is likely to take."""
        return 1.0 + self._excess_at(now)

    def _excess_at(self, now: float) -> float:
        if not self._excess:
            return 0.0
        age_s = now - self._recorded_at
        return self._excess * math.exp(-age_s / _FORGETTING_S)
