"""Choice of the next chunk and the peer to request it from.

Rarest chunks and local peers come first.
"""

from collections.abc import Callable
import random

from clementinegw.weights import _swarm_requests as requests_lib
from clementinegw.weights import peers as peers_lib


def choose(
    wanted: int,
    peers: list[peers_lib.Peer],
    holders: list[int],
    may_import: Callable[[int], bool],
    rng: random.Random,
) -> tuple[int, peers_lib.Peer] | None:
    """Chooses a chunk and the peer to request it from.

    A chunk that no local peer holds comes first if this agent may import it,
    because the whole failure domain waits for it. Otherwise the chunk that the
    fewest neighbours hold is requested from a local peer.

    Args:
      wanted: The chunks that are neither held nor requested.
      peers: The neighbours that accept requests now.
      holders: For each chunk, the number of neighbours that hold it.
      may_import: Whether a chunk may be fetched from another failure domain.
      rng: Breaks ties.

    Returns:
      The chunk's index and the peer; None when nothing can be requested.
    """
    local, remote = 0, 0
    for peer in peers:
        if peer.local:
            local |= peer.bits
        else:
            remote |= peer.bits
    remote_only = peers_lib.indices(remote & ~local & wanted)
    imports = [index for index in remote_only if may_import(index)]
    candidates = imports or peers_lib.indices(local & wanted)
    if not candidates:
        return None
    index = _rarest(candidates, holders, rng)
    holder = choose_holder(index, peers, rng)
    return None if holder is None else (index, holder)


def choose_holder(
    index: int, peers: list[peers_lib.Peer], rng: random.Random
) -> peers_lib.Peer | None:
    """Returns the holder to request a chunk from.

    Local holders come first, then those with the fewest outstanding requests,
    then those that have sent the fewest chunks.
    """
    candidates = [peer for peer in peers if peer.bits >> index & 1]
    return min(
        candidates,
        key=lambda peer: (
            not peer.local,
            peer.outstanding,
            peer.received,
            rng.random(),
        ),
        default=None,
    )


def second_source(
    requests: requests_lib.Requests,
    peers: list[peers_lib.Peer],
    rng: random.Random,
    now: float,
) -> tuple[int, peers_lib.Peer] | None:
    """Chooses another peer for an overdue chunk in the endgame.

    Without it, a stalled peer would delay the last chunks until the deadline
    of its request.

    Args:
      requests: The open requests, which cover all missing chunks.
      peers: The neighbours that accept requests now.
      rng: Breaks ties.
      now: The current time in monotonic seconds.
    """
    for request in requests.all():
        if len(requests.for_chunk(request.index)) > 1:
            continue
        if requests.second_source_at(request) > now:
            continue
        peer = choose_holder(request.index, peers, rng)
        if peer is not None:
            return request.index, peer
    return None


def _rarest(
    candidates: list[int], holders: list[int], rng: random.Random
) -> int:
    fewest = min(holders[index] for index in candidates)
    return rng.choice([i for i in candidates if holders[i] == fewest])
