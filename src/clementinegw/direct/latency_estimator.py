"""How long a service takes to begin an answer, learned from its answers.

The load that this answers: engines that are full. There a prompt waits for the
pass under way and for the prompts before it, twice as long as at one that is
half full. A constant holds for one kind of engine at one load; what is sent by
one that is too short comes just too late, and by one that is too long is not
sent at all.
"""

# Learned is what this part of the answers stays below: a request that is held
# to be on time should be so as a rule.
_QUANTILE = 0.9
# What an answer moves the estimate by, in seconds, times the part above when it
# was longer and times the rest when it was shorter. Some ten long answers move
# it to a full engine's time, a hundred short ones back.
_STEP_S = 0.01


class LatencyEstimator:
    """An upper estimate of the time to the first event."""

    def __init__(self, initial_s: float, max_s: float):
        """Believes in a time before the first answer.

        Args:
          initial_s: That time, in seconds.
          max_s: The longest that is believed, in seconds. Beyond it, what is
            learned from requests that should not have been sent would make
            every request too late from the start.
        """
        self._estimate_s = initial_s
        self._max_s = max_s

    @property
    def estimate_s(self) -> float:
        """From the send to the first event beside reading the own prompt."""
        return self._estimate_s

    def record(self, seconds: float) -> None:
        """Learns from one answer."""
        # Each answer moves the estimate up or down so that it rests where the
        # wanted part of the answers is below it; how far off one is does not
        # matter, so a server that hangs moves it no more than any other.
        longer = seconds > self._estimate_s
        move_s = _QUANTILE if longer else _QUANTILE - 1.0
        self._estimate_s += _STEP_S * move_s
        self._estimate_s = min(max(self._estimate_s, 0.0), self._max_s)
