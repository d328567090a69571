"""The retry policy of idempotent calls to the platform."""

import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """A bounded number of attempts with exponential backoff.

    Attributes:
      attempts: The number of attempts, including the first one.
      base_s: The longest pause before the second attempt, in seconds; it
        doubles with each further attempt.
      max_s: The maximum pause, in seconds.
    """

    attempts: int = 3
    base_s: float = 0.1
    max_s: float = 2.0

    def pause_s(self, attempts_made: int, rng: random.Random) -> float:
        """Returns the pause after `attempts_made` attempts, in seconds.

        The pause has jitter. Without it all processes would retry at the same
        time after an outage and exceed the log's rate limit together.
        """
        longest = min(self.max_s, self.base_s * 2.0 ** (attempts_made - 1))
        return rng.uniform(longest / 2, longest)
