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
class SwapPolicy:
    """How a swap is spread.

    Attributes:
      groups: Parts of the servers that load one after the other.
      step_s: How much later each further group loads, in seconds.
      drain_s: How long a server yields before it loads, in seconds.
      min_drain_s: The same where there is little time left.
    """

    groups: int
    step_s: float
    drain_s: float
    min_drain_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SwapTimes:
    """One server's turn.

    Attributes:
      yield_at: From when on others are preferred, in monotonic seconds.
      load_at: When it loads, whatever still runs.
    """

    yield_at: float
    load_at: float


def swap_times(
    server_id: str,
    servers: Iterable[str],
    version: int,
    complete_at: float,
    latest_at: float,
    policy: SwapPolicy,
) -> SwapTimes:
    """Returns a server's turn.

    The first group yields while the last pieces come, so that its requests
    have ended when they are there. Where the pieces come late, the groups move
    together and yield for less: all of them yielding for the whole time left
    no server for a second.

    Args:
      server_id: The server's id.
      servers: All servers' ids.
      version: The version, so that another one goes first each time.
      complete_at: When every piece is here, in monotonic seconds.
      latest_at: When the last group must load to serve in time.
      policy: How the swap is spread.
    """
    ranked = sorted(
        {server_id, *servers}, key=lambda name: _score(name, version)
    )
    group = ranked.index(server_id) * policy.groups // len(ranked)
    first_at = min(complete_at, latest_at)
    max_step_s = (latest_at - first_at) / max(1, policy.groups - 1)
    step_s = min(policy.step_s, max_step_s)
    load_at = first_at + group * step_s
    drain_s = policy.drain_s
    if step_s < policy.step_s:
        drain_s = max(step_s, policy.min_drain_s)
    return SwapTimes(load_at - drain_s, load_at)


def _score(name: str, version: int) -> bytes:
    return hashlib.blake2b(f"{version}/{name}".encode()).digest()
