"""Estimates how long a request takes on its way to a server.

A link on the way may be full for seconds. A request that is sent into it
arrives late: after its caller has left, or when the server's weights have
become too old. It cannot be withdrawn then, since whatever is sent after it
arrives after it.
"""

import dataclasses
import math

# A round trip says nothing about the way after this time, in seconds: two
# rounds of subscriptions and the wait for a report.
_MAX_AGE_S = 2.5
# A subscription that was not answered for this long was lost or is still on its
# way, in seconds: one round and the wait for a report.
_MAX_UNANSWERED_S = 1.5
# The part of that time that an agent waits for its next report, in seconds.
_REPORT_WAIT_S = 0.5
# After this time the agent itself is taken to be gone, in seconds. No estimate
# is longer.
MAX_ESTIMATE_S = 6.0


@dataclasses.dataclass(slots=True)
class Transit:
    """The way to one server, as this entry last observed it.

    Attributes:
      round_trip_s: The last round trip to its machine, in seconds.
      observed_at: When that was observed, in monotonic seconds.
      asked_at: When its agent was first sent what it has not answered yet, in
        monotonic seconds.
      answers: Whether the agent has answered before.
    """

    round_trip_s: float = 0.0
    observed_at: float = -math.inf
    asked_at: float = math.inf
    answers: bool = False

    def record_round_trip(self, seconds: float, now: float) -> None:
        """Records the time of a round trip to the server's machine.

        Args:
          seconds: The time, without the time at the other end.
          now: Monotonic seconds.
        """
        self.round_trip_s = min(seconds, MAX_ESTIMATE_S)
        self.observed_at = now

    def record_question(self, now: float) -> None:
        """Records that the agent was sent a subscription, which it answers."""
        self.asked_at = min(self.asked_at, now)

    def record_answer(self, seconds: float, now: float) -> None:
        """Records an agent's answer; see `record_round_trip`."""
        self.answers = True
        self.asked_at = math.inf
        self.record_round_trip(seconds, now)

    def estimate_s(self, now: float) -> float:
        """Returns the estimated time to the server, in seconds.

        This is 0 if nothing is known of the way.
        """
        estimate_s = 0.0
        if now - self.observed_at <= _MAX_AGE_S:
            estimate_s = self.round_trip_s
        unanswered_s = now - self.asked_at
        if self.answers and _MAX_UNANSWERED_S < unanswered_s < MAX_ESTIMATE_S:
            estimate_s = max(estimate_s, unanswered_s - _REPORT_WAIT_S)
        return estimate_s
