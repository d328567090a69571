"""Estimates when a server begins a request that cannot be withdrawn.

A request that may not be repeated and waits at its server while newer weights
become due would begin on older ones. It is only sent where it is expected to
begin before that.
"""

import dataclasses
import math

from clementinegw.direct import backend as backend_lib
from clementinegw.direct import types
from clementinegw.direct import version_policy

# Passes of a full engine until the first event besides reading prompts.
_FIRST_EVENT_PASSES = 3.0
# The estimate is raised by this factor: other entries' prompts that a server
# has begun to read are not reported, and a pace is known with a lag.
_ROOM = 1.25
# The share of requests that begin within the corrected estimate, the step of
# the correction, and its largest value.
_QUANTILE = 0.99
_CORRECTION_STEP = 0.1
_MAX_CORRECTION = 4.0
# The usual interval between an agent's reports, in seconds.
_REPORT_INTERVAL_S = 0.1
# Prompts are rounded up to this many tokens, so that requests share
# requirements.
_TOKENS_STEP = 256


class Correction:
    """Corrects the estimates of a service by how long requests really took.

    Servers may be slower than they report, and get requests that no report
    shows yet.

    Attributes:
      factor: The factor that most requests begin within; 1 at least.
    """

    def __init__(self) -> None:
        self.factor = 1.0

    def record(self, expected_s: float, measured_s: float) -> None:
        """Updates the factor by one request, with times in seconds."""
        # The step depends on whether the request was later, not on by how much,
        # so that one that hangs counts like any other.
        later = measured_s > self.factor * expected_s
        move = _QUANTILE if later else _QUANTILE - 1.0
        factor = self.factor + _CORRECTION_STEP * move
        self.factor = min(max(factor, 1.0), _MAX_CORRECTION)


@dataclasses.dataclass(frozen=True, slots=True)
class Ahead:
    """What a server does before it begins a request.

    Attributes:
      unread_tokens: This entry's prompt tokens that it has yet to read.
      requests: The estimated requests of all entries.
    """

    unread_tokens: float
    requests: float


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What is known of a request's begin before a server is chosen.

    Attributes:
      tokens: The tokens of its prompt.
      first_event_s: The time until the first event besides reading prompts, at
        the usual pace, in seconds.
      tokens_per_s: The rate at which prompts are read at the usual pace.
      typical_tokens: The tokens of a typical prompt.
      answer_s: The time that a typical answer holds a slot, at the usual pace,
        in seconds.
      slots: The slots of a server.
      unseen: How many requests of other entries a busy server may have got
        since it reported its load.
      correction: The factor by which requests were later than estimated.
    """

    tokens: int
    first_event_s: float
    tokens_per_s: float
    typical_tokens: float
    answer_s: float
    slots: int
    unseen: float
    correction: float = 1.0

    def begins_in_s(
        self, backend: backend_lib.Backend, ahead: Ahead, now: float
    ) -> float:
        """Returns the estimated time from arrival to the first event.

        Args:
          backend: The server.
          ahead: What the server does before it.
          now: Monotonic seconds.
        """
        waiting_tokens = backend.waiting(now) * self.typical_tokens
        tokens = self.tokens + max(ahead.unread_tokens, waiting_tokens)
        usual_s = self.first_event_s + tokens / self.tokens_per_s
        usual_s += self._slot_wait_s(ahead.requests)
        return usual_s * max(1.0, backend.estimated_pace(now))

    def _slot_wait_s(self, requests: float) -> float:
        """Returns the wait for a slot at the usual pace, in seconds.

        Slots that are taken for certain may all be freed at the end of an
        answer. Those that others may have taken are freed one by one.
        """
        slots = max(1, self.slots)
        rounds = int(requests) // slots
        if rounds:
            return rounds * self.answer_s
        excess = requests + self.unseen + 1.0 - slots
        return max(0.0, excess) / slots * self.answer_s

    def lead_s(
        self, backend: backend_lib.Backend, ahead: Ahead, now: float
    ) -> float:
        """Returns how much earlier than others it must arrive, in seconds.

        The time until a version is required allows for a begin that takes as
        long as at a fast server.
        """
        begins_in_s = self.correction * self.begins_in_s(backend, ahead, now)
        if begins_in_s <= version_policy.DISPATCH_MARGIN_S:
            return 0.0
        return _ROOM * begins_in_s - version_policy.DISPATCH_MARGIN_S


def prompt_of(
    tokens: int, engine: types.Engine, correction: float = 1.0
) -> Prompt:
    """Returns the prompt of a request with a number of tokens.

    Args:
      tokens: The tokens, as its caller says.
      engine: The engine of its service.
      correction: The factor by which requests were later than estimated.
    """
    first_event_s = _FIRST_EVENT_PASSES * engine.pass_s
    passes = engine.typical_answer_tokens / engine.steps_per_pass
    answer_s = passes * engine.pass_s
    busy_s = first_event_s + answer_s
    # Operators need not say how long a step takes.
    busiest_per_s = engine.slots / busy_s if busy_s else 0.0
    return Prompt(
        math.ceil(tokens / _TOKENS_STEP) * _TOKENS_STEP,
        first_event_s,
        engine.prefill_tokens_per_s,
        engine.typical_prompt_tokens,
        answer_s,
        engine.slots,
        busiest_per_s * (engine.report_lag_s + _REPORT_INTERVAL_S),
        # Rounded, so that requests share requirements.
        round(correction, 1),
    )
