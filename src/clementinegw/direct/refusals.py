"""How long something is refused that crashes servers, and when it is tried.

What is refused causes no more crashes, so that they are forgotten in the end.
While it still comes it stays refused, which every entry learns from others. One
request in a long while is let through, since what is refused by mistake can
prove itself sound in no other way.
"""

import dataclasses
import math

# A request is let through this long after the last crash, in seconds, and each
# time this many times as long.
_FIRST_PROBE_S = 20.0
_PROBE_FACTOR = 6.0
# The most probes for which that time grows.
_MAX_GROWTH = 8
# How often it is published that something is still refused, and for how long
# each time, in seconds: several datagrams.
_INTERVAL_S = 10.0
_PUBLISH_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalAges:
    """A refusal, as entries and agents exchange it.

    Attributes:
      refused_s: How long ago a request was last refused, in seconds.
      probes: How many requests were let through.
      probed_s: How long ago the last of them was, in seconds; None if there was
        none.
    """

    refused_s: float
    probes: int = 0
    probed_s: float | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the ages and the number make sense."""
        ages = (self.refused_s, self.probed_s)
        return self.probes >= 0 and all(
            age is None or 0.0 <= age < math.inf for age in ages
        )

    def older(self, by_s: float) -> "RefusalAges":
        """Returns it with ages that are greater by some seconds."""
        probed_s = None if self.probed_s is None else self.probed_s + by_s
        return RefusalAges(self.refused_s + by_s, self.probes, probed_s)


class Refusal:
    """What is known of the refusals for one request or one part.

    Attributes:
      refused_at: When any entry last refused a request, in monotonic seconds.
      probes: How many requests were let through.
      probed_at: When the last of them was, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.refused_at = -math.inf
        self.probes = 0
        self.probed_at = -math.inf
        self._published_at = -math.inf

    def record(self, now: float) -> None:
        """Records that this process refused a request."""
        self.refused_at = now
        if now - self._published_at >= _INTERVAL_S:
            self._published_at = now

    def take_probe(self, last_crash_at: float, now: float) -> bool:
        """Returns whether a request may be let through now, and records it.

        Args:
          last_crash_at: When the newest crash was, in monotonic seconds.
          now: Monotonic seconds.
        """
        growth = _PROBE_FACTOR ** min(self.probes, _MAX_GROWTH)
        due_at = max(last_crash_at, self.probed_at) + _FIRST_PROBE_S * growth
        if now < due_at:
            return False
        self.probes += 1
        self.probed_at = self._published_at = now
        return True

    def is_published(self, now: float) -> bool:
        """Returns whether this process publishes it at present."""
        return now - self._published_at < _PUBLISH_S

    def ages(self, now: float) -> RefusalAges | None:
        """Returns it for other processes; None if nothing was refused."""
        if self.refused_at == -math.inf:
            return None
        probed_s = now - self.probed_at if self.probes else None
        return RefusalAges(now - self.refused_at, self.probes, probed_s)

    def merge(self, ages: RefusalAges, now: float) -> None:
        """Merges what others know of it."""
        self.refused_at = max(self.refused_at, now - ages.refused_s)
        if ages.probed_s is not None:
            self.probes = max(self.probes, ages.probes)
            self.probed_at = max(self.probed_at, now - ages.probed_s)
