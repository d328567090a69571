"""Memory of backend servers: which requests fit beside those they hold.

Load pattern: long prompts arrive together, or servers have little memory. A
server that gets more tokens than it has memory for puts back what it began, or
fails with all that it holds, while its slots are still free.
"""

import dataclasses
import math

# The share of the memory that requests fill together. What other entries sent
# since the last report is not known.
_FILL_SHARE = 0.9
# Callers state the most tokens of an answer, often far too many. More than this
# many typical answers are not expected.
_MAX_TYPICAL_ANSWERS = 4.0
# Needs are rounded up to this fraction of the memory, so that most waiting
# requests have the same requirements.
_ROUNDING_STEPS = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """The memory that a request needs, of a server's.

    Attributes:
      tokens: The tokens that it will hold.
      capacity_tokens: The tokens that the server's memory holds.
      typical_tokens: The tokens that another request holds.
    """

    tokens: int
    capacity_tokens: int
    typical_tokens: float

    @property
    def too_large(self) -> bool:
        """Whether it exceeds the memory of an empty server."""
        return self.tokens > self.capacity_tokens

    def fits(
        self,
        held_tokens: int,
        other_requests: float,
        other_tokens: float = 0.0,
    ) -> bool:
        """Returns whether the request fits beside others.

        An empty server takes any request that is not too large.

        Args:
          held_tokens: Tokens of this entry's requests at the server.
          other_requests: Number of requests of other entries at the server.
          other_tokens: Tokens of these requests as reported; 0 if unknown.
        """
        typical = round(other_requests) * self.typical_tokens
        taken = held_tokens + max(typical, other_tokens)
        if not taken:
            return not self.too_large
        return taken + self.tokens <= _FILL_SHARE * self.capacity_tokens

    def fits_share(
        self, taken_tokens: float, followers: int, sent_tokens: int, draw: float
    ) -> bool:
        """Returns whether the request fits into one entry's share.

        All entries see the same free memory. Each uses its share of it until
        the next report; for a request larger than that, as many entries are
        drawn as the free memory suffices for.

        Args:
          taken_tokens: Tokens at the server by the last report.
          followers: Number of entries that send requests to the server.
          sent_tokens: Tokens that this entry has sent since then.
          draw: A random number from 0 to 1 for this report.
        """
        free = _FILL_SHARE * self.capacity_tokens - taken_tokens
        share = free / max(1, followers) - sent_tokens
        return share >= draw * self.tokens


def need_of(
    prompt_tokens: int,
    max_answer_tokens: int,
    capacity_tokens: int,
    typical_prompt_tokens: float,
    typical_answer_tokens: float,
) -> Need | None:
    """Returns the memory that a request needs; None if servers tell no memory.

    Args:
      prompt_tokens: The tokens of its prompt.
      max_answer_tokens: The most tokens of its answer; 0 if unknown.
      capacity_tokens: The tokens that a server's memory holds; 0 if unknown.
      typical_prompt_tokens: The tokens of a typical prompt; 0 if unknown.
      typical_answer_tokens: The tokens of a typical answer; 0 if unknown.
    """
    if not capacity_tokens:
        return None
    answer_tokens: float = max_answer_tokens or typical_answer_tokens
    if typical_answer_tokens:
        most = _MAX_TYPICAL_ANSWERS * typical_answer_tokens
        answer_tokens = min(answer_tokens, most)
    tokens = prompt_tokens + math.ceil(answer_tokens)
    step = max(1, capacity_tokens // _ROUNDING_STEPS)
    rounded = -(-tokens // step) * step
    if tokens <= capacity_tokens:
        rounded = min(rounded, capacity_tokens)
    typical = typical_prompt_tokens + typical_answer_tokens
    return Need(rounded, capacity_tokens, typical or rounded)


def typical_requests(
    capacity_tokens: int,
    typical_prompt_tokens: float,
    typical_answer_tokens: float,
) -> float:
    """Returns how many typical requests fit; infinite if that is unknown.

    Args:
      capacity_tokens: The tokens that a server's memory holds; 0 if unknown.
      typical_prompt_tokens: The tokens of a typical prompt; 0 if unknown.
      typical_answer_tokens: The tokens of a typical answer; 0 if unknown.
    """
    typical = typical_prompt_tokens + typical_answer_tokens
    if not capacity_tokens or not typical:
        return math.inf
    return max(1.0, _FILL_SHARE * capacity_tokens / typical)
