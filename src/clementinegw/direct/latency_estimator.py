"""Estimates the time to the first event of an answer from past answers.

At a full engine a prompt waits for the current pass and for the prompts before
it, twice as long as at a half-full one. A constant would only fit one kind of
engine at one load: with a constant that is too short, requests are sent and
miss their objective slightly; with one that is too long, they are not sent.
"""

# The estimate converges to this quantile, so that most requests expected to be
# on time are.
_QUANTILE = 0.9
# Step in seconds, multiplied by the quantile after an answer slower than the
# estimate and by its complement after a faster one. About ten slow answers
# raise the estimate to the time of a full engine; a hundred fast ones lower it
# again.
_STEP_S = 0.01


class LatencyEstimator:
    """Upper estimate of the time to the first event."""

    def __init__(self, initial_s: float, max_s: float):
        """Initializes the estimate.

        Args:
          initial_s: Estimate before the first answer, in seconds.
          max_s: Upper bound, in seconds. Without it, answers to requests that
            should not have been sent could raise the estimate until every
            request is too late on arrival.
        """
        self._estimate_s = initial_s
        self._max_s = max_s

    @property
    def estimate_s(self) -> float:
        """Estimated time from sending to the first event, in seconds.

        It excludes the time to read the request's own prompt.
        """
        return self._estimate_s

    def record(self, seconds: float) -> None:
        """Updates the estimate with the latency of one answer, in seconds."""
        # Stochastic quantile estimation: the step depends on whether the answer
        # was slower, not on by how much, so a hanging server has no more effect
        # than any other slow answer.
        longer = seconds > self._estimate_s
        move_s = _QUANTILE if longer else _QUANTILE - 1.0
        self._estimate_s += _STEP_S * move_s
        self._estimate_s = min(max(self._estimate_s, 0.0), self._max_s)
