"""Which backend servers an entry follows closely, and sends requests to.

The load is that of a large fleet in the calm: with every entry told of every
server, reports grow with entries times servers whatever the traffic, 99 times
100 at ten a second. Taking them in, and choosing among all, was most of what an
entry ran. So each follows the servers of its own region and a few of others.
Which ones is computed from names alone, by rendezvous hashing (D. Thaler and
C. Ravishankar, "Using name-based mappings to increase hit rates", 1998): nobody
has to agree, a server that comes or goes moves no other, and each server has
about as many followers as the next.
"""

from collections.abc import Sequence
import dataclasses
import hashlib

# Up to so many servers are followed, all of them in a fleet that is no larger:
# an entry sends ten requests a second or so, and among 24 servers there is one
# with room as often as among 60.
_MAX_NEAR = 24
# So many servers of other regions at least: where the own region is full, load
# leaves it; with fewer, entries that follow the same ones crowd there.
_MIN_FAR = 8
# So many that may begin a request at least. Where few have the version that is
# demanded, all entries need those, wherever they are.
_MIN_SERVING = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could be followed.

    Attributes:
      server_id: The server.
      near: Whether it stands in the entry's region.
      serves: Whether a request may begin there now.
    """

    server_id: str
    near: bool
    serves: bool


def select_followed(
    entry: str, candidates: Sequence[Candidate]
) -> frozenset[str]:
    """Returns the servers that an entry follows.

    Args:
      entry: The entry's name.
      candidates: The servers of one service.
    """
    ranked = sorted(candidates, key=lambda c: _rank(entry, c.server_id))
    near = [c for c in ranked if c.near][:_MAX_NEAR]
    far = [c for c in ranked if not c.near]
    found = near + far[: max(_MIN_FAR, _MAX_NEAR - len(near))]
    chosen = {c.server_id for c in found}
    missing = _MIN_SERVING - sum(c.serves for c in found)
    more = [c for c in ranked if c.serves and c.server_id not in chosen]
    chosen.update(c.server_id for c in more[: max(0, missing)])
    return frozenset(chosen)


def _rank(entry: str, server_id: str) -> bytes:
    pair = f"{entry} {server_id}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
