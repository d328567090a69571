"""When a server may leave service to load: a turn that nobody has to grant.

Every agent knows the same servers and the same declaration, and so computes
the same order. The first group loads as soon as it has the weights, the others
a step later each, so that most servers serve at any time. A turn comes in any
case, whatever is cut off: waiting longer would leave a server on weights that
nothing may begin on any more.
"""

from collections.abc import Iterable
import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How a swap is spread.

    Attributes:
      groups: Parts of the servers that load one after the other.
      first_s: When the first group may load, in seconds after the declaration.
      step_s: How much later each further group may, in seconds.
    """

    groups: int = 3
    first_s: float = 0.0
    step_s: float = 0.9


def delay_s(
    me: str, servers: Iterable[str], version: int, terms: Terms
) -> float:
    """Returns when a server may load, in seconds after the first may.

    Args:
      me: The server's id.
      servers: All servers' ids.
      version: The version, so that another one goes first each time.
      terms: How the swap is spread.
    """
    ranked = sorted({me, *servers}, key=lambda name: _score(name, version))
    place = ranked.index(me)
    group = place * terms.groups // len(ranked)
    return terms.first_s + group * terms.step_s


def _score(name: str, version: int) -> bytes:
    return hashlib.blake2b(f"{version}/{name}".encode()).digest()
