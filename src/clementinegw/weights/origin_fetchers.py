"""Who draws a chunk from the origin: a ranked list for each chunk.

The lists come from rendezvous hashing, so that every agent that knows the same
members computes the same lists without a word to the others, and a member that
comes or goes moves only the chunks it ranked first for.
"""

from collections.abc import Iterable
import dataclasses
import enum
import heapq

import xxhash

# Below this rank an agent never draws: were so many drawers of one chunk dead
# at once, their members would have left the list long before.
MAX_RANKED_FETCHERS = 6


class DrawPolicy(enum.StrEnum):
    """Within what group the origin sends each chunk once."""

    FLEET = "fleet"
    REGION = "region"
    FAILURE_DOMAIN = "failure_domain"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An agent that takes part in a rollout.

    Attributes:
      instance_id: A name that no two live processes share.
      region: Where it stands.
      failure_domain: Where it stands.
    """

    instance_id: str
    region: str
    failure_domain: str


class Fleet:
    """The agents of one rollout and their ranks; never changes."""

    def __init__(self, members: Iterable[Member]):
        """Sorts the members; of two with one id the last one counts."""
        by_id = {member.instance_id: member for member in members}
        self._members = {name: by_id[name] for name in sorted(by_id)}
        self._groups: dict[tuple[DrawPolicy, str], list[Member]] = {}
        self._ids: dict[tuple[DrawPolicy, str], list[bytes]] = {}
        self._ranked: dict[tuple[DrawPolicy, str, bytes], tuple[str, ...]] = {}
        for member in self._members.values():
            for policy in DrawPolicy:
                key = (policy, group_of(member, policy))
                self._groups.setdefault(key, []).append(member)
                self._ids.setdefault(key, []).append(
                    member.instance_id.encode()
                )

    def __contains__(self, instance_id: str) -> bool:
        return instance_id in self._members

    def __len__(self) -> int:
        return len(self._members)

    @property
    def members(self) -> tuple[Member, ...]:
        """All agents in the order of their ids."""
        return tuple(self._members.values())

    def find(self, instance_id: str) -> Member | None:
        """Returns the agent of that id."""
        return self._members.get(instance_id)

    def group(self, policy: DrawPolicy, name: str) -> tuple[Member, ...]:
        """Returns the agents of one group in the order of their ids."""
        return tuple(self._groups.get((policy, name), ()))

    def ranked(
        self, chunk_digest: bytes, policy: DrawPolicy, group: str
    ) -> tuple[str, ...]:
        """Returns the ids of the first `RANKED` drawers of a chunk in a group.

        Args:
          chunk_digest: The chunk's digest.
          policy: What a group is.
          group: The group's name, from `group_of`.
        """
        key = (policy, group, chunk_digest)
        found = self._ranked.get(key)
        if found is None:
            found = _rank(chunk_digest, self._ids.get((policy, group), []))
            self._ranked[key] = found
        return found

    def rank(
        self, chunk_digest: bytes, policy: DrawPolicy, member: Member
    ) -> int:
        """Returns an agent's place in a chunk's list; `RANKED` if not on it."""
        names = self.ranked(chunk_digest, policy, group_of(member, policy))
        try:
            return names.index(member.instance_id)
        except ValueError:
            return MAX_RANKED_FETCHERS


def group_of(member: Member, policy: DrawPolicy) -> str:
    """Returns the name of the group that a member belongs to."""
    names = {
        DrawPolicy.FLEET: "",
        DrawPolicy.REGION: member.region,
        DrawPolicy.FAILURE_DOMAIN: member.failure_domain,
    }
    return names[policy]


def _rank(chunk_digest: bytes, ids: list[bytes]) -> tuple[str, ...]:
    # The largest score draws first. With thousands of chunks this runs for
    # each chunk and member while the event loop waits.
    score = xxhash.xxh64_intdigest
    scored = [(score(chunk_digest + name), name) for name in ids]
    best = heapq.nlargest(MAX_RANKED_FETCHERS, scored)
    return tuple(name.decode() for _, name in best)
