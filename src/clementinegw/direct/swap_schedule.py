"""Computes when each server drains and loads a version.

Every agent knows the same servers and the same declaration, so all of them
compute the same order without any coordination. The first group loads as soon
as it has the weights, and each further group one step later, so that most
servers serve at any time. A server loads at its time even if other processes
are unreachable: waiting longer would leave it on weights that may no longer
start requests.
"""

from collections.abc import Iterable
import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class SwapPolicy:
    """How the loads of all servers are spread over time.

    Attributes:
      groups: The number of groups that load one after the other.
      step_s: The time between two groups' loads, in seconds.
      drain_s: How long a server gets no new requests before it loads, in
        seconds.
      min_drain_s: The same if there is little time left, in seconds.
    """

    groups: int
    step_s: float
    drain_s: float
    min_drain_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SwapTimes:
    """When one server swaps weights.

    Attributes:
      yield_at: When other servers become preferred, in boot seconds.
      load_at: When it loads even if requests are running, in boot seconds.
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
    """Returns when a server drains and loads.

    The first group drains while its last chunks arrive, so that its requests
    have ended by then. If chunks arrive late, the groups load at shorter
    intervals and drain for a shorter time: when all groups drained for the
    whole time, no server was left for a second.

    Args:
      server_id: The server's id.
      servers: The ids of all servers.
      version: The version; the order of the servers differs between versions.
      complete_at: When the server has every chunk, in boot seconds.
      latest_at: When the last group must load to serve in time, in boot
        seconds.
      policy: How the loads are spread over time.
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
