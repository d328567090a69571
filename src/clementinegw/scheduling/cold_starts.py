"""How many requests a cold server gets from all entries together.

It answers servers that come back at once, after a failure domain lost them or
was evacuated: an empty server seems the best choice to every entry, and one
that gets many more requests than it bears while cold fails again.

No process hands out the allowance, so that it holds for entries that are cut
off, too: `direct.rate_limit` divides it by time slots that the entries take in
turns.
"""

import dataclasses

# How long an unused slot of a cold server stays valid: this many seconds plus
# this many slots. The bound holds for each second, so that they cannot be
# saved up for longer.
VALID_S = 0.25
VALID_SLOTS = 2.0
# The rate never falls below this, in requests per second: a server that bears
# nothing would never be seen to have warmed up.
_MIN_PER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """What operators allow a cold server to get in any second.

    Attributes:
      ratio: The factor of the requests per second that it bears.
      slack: The requests in addition.
    """

    ratio: float = 1.0
    slack: float = 0.0


def rate(requests_per_s: float, bound: Bound) -> float:
    """Returns the rate at which entries send to a cold server together.

    In any second they send at most `rate * (1 + VALID_S) + VALID_SLOTS + 1`
    requests, see `direct.rate_limit`. That stays within the bound.

    Args:
      requests_per_s: The requests per second that the server bears.
      bound: What operators allow in any second.

    Returns:
      Requests per second; never more than the server bears.
    """
    most = requests_per_s * bound.ratio + bound.slack
    allowed = (most - VALID_SLOTS - 1.0) / (1.0 + VALID_S)
    return max(_MIN_PER_S, min(requests_per_s, allowed))
