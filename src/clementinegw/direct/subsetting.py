"""Selects the subset of backend servers that an entry follows and sends to.

In a large fleet, if every entry got reports of every server, the number of
reports would be entries times servers regardless of the traffic, for instance
99 times 100 at ten per second. Processing them and choosing among all servers
was most of the work of an entry. So each entry follows the servers of its own
region and a few of other regions. The selection uses names only, by rendezvous
hashing (D. Thaler and C. Ravishankar, "Using name-based mappings to increase
hit rates", 1998): it needs no coordination, a server that is added or removed
does not affect the others, and all servers have about as many followers.
"""

from collections.abc import Collection, Sequence
import dataclasses
import hashlib

# Maximum number of servers of the own region. In a small fleet all servers are
# followed. An entry sends about ten requests per second, and 24 servers have
# one with capacity as often as 60.
_MAX_NEAR = 24
# Minimum number of servers of other regions, which take the excess load of a
# full region. With fewer, the entries that follow the same ones overload them.
_MIN_FAR = 8
# Minimum number of servers where a request may start. If few have the required
# version, all entries need those, in any region.
_MIN_SERVING = 8
# The same in each region that some requests are restricted to: these cannot
# use the servers of any other region.
_MIN_IN_REGION = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be followed.

    Attributes:
      server_id: Id of the server.
      near: Whether it is in the entry's region.
      serves: Whether a request may start there now.
      region: Its region.
    """

    server_id: str
    near: bool
    serves: bool
    region: str = ""


def select_followed(
    entry: str,
    candidates: Sequence[Candidate],
    restricting_regions: Collection[str] = (),
) -> frozenset[str]:
    """Returns the ids of the servers that an entry follows.

    Args:
      entry: Name of the entry.
      candidates: All servers of one service.
      restricting_regions: Regions that some requests are restricted to.
    """
    ranked = sorted(candidates, key=lambda c: _hash(entry, c.server_id))
    near = [c for c in ranked if c.near][:_MAX_NEAR]
    far = [c for c in ranked if not c.near]
    followed = near + far[: max(_MIN_FAR, _MAX_NEAR - len(near))]
    chosen = {c.server_id for c in followed}
    missing = _MIN_SERVING - sum(c.serves for c in followed)
    extra = [c for c in ranked if c.serves and c.server_id not in chosen]
    chosen.update(c.server_id for c in extra[: max(0, missing)])
    for region in restricting_regions:
        inside = [c for c in ranked if c.serves and c.region == region]
        chosen.update(c.server_id for c in inside[:_MIN_IN_REGION])
    return frozenset(chosen)


def _hash(entry: str, server_id: str) -> bytes:
    pair = f"{entry} {server_id}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
