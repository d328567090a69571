"""How many requests a cold server gets from all entries together.

It answers servers that come back at once, after a failure domain lost them or
was evacuated: an empty server seems the best choice to every entry, and one
that gets many more requests than it bears while cold fails again.

No process hands out the allowance, so that it holds for entries that are cut
off, too: `direct.rate_limit` divides it by time slots that the entries take in
turns.
"""

import dataclasses

# An unused slot of a cold server stays valid for this many slots and for as
# many seconds as the bound allows. Requests arrive at any time: the longer the
# slots are valid, the fewer expire unused.
VALID_SLOTS = 2.0
_MAX_VALID_S = 1.0
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


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """How entries send to a cold server together.

    In any second they send at most `per_s * (1 + valid_s) + VALID_SLOTS + 1`
    requests, see `direct.rate_limit`.

    Attributes:
      per_s: Requests per second; never more than the server bears.
      valid_s: How long an unused slot stays valid, in seconds.
    """

    per_s: float
    valid_s: float


def limit(requests_per_s: float, bound: Bound) -> Limit:
    """Returns the limit with which entries stay within the bound.

    Args:
      requests_per_s: The requests per second that the server bears.
      bound: What operators allow in any second.
    """
    most = requests_per_s * bound.ratio + bound.slack - VALID_SLOTS - 1.0
    per_s = max(_MIN_PER_S, min(requests_per_s, most))
    return Limit(per_s, min(_MAX_VALID_S, max(0.0, most / per_s - 1.0)))
