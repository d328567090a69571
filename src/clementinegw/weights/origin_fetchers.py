"""Ranking of the agents that fetch each chunk from the origin.

Agents are ranked by rendezvous hashing: every agent that knows the same members
computes the same rankings without communication, and a member that joins or
leaves affects only the chunks that it ranks first for.
"""

from collections.abc import Iterable
import dataclasses
import enum
import heapq

import xxhash

# Agents that rank lower never fetch a chunk from the origin. If this many
# agents ranked for one chunk were dead at once, they would have been removed
# from the members long before.
MAX_RANKED_FETCHERS = 6


class DrawPolicy(enum.StrEnum):
    """The group within which the origin sends each chunk once."""

    FLEET = "fleet"
    REGION = "region"
    FAILURE_DOMAIN = "failure_domain"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An agent that takes part in a rollout.

    Attributes:
      instance_id: An id that is unique among live processes.
      region: The agent's region.
      failure_domain: The agent's failure domain.
    """

    instance_id: str
    region: str
    failure_domain: str


class Fleet:
    """The agents of one rollout and their rankings; immutable."""

    def __init__(self, members: Iterable[Member]):
        """Sorts the members; of several with the same id, the last one counts.

        Args:
          members: The agents.
        """
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
        """All agents, sorted by id."""
        return tuple(self._members.values())

    def find(self, instance_id: str) -> Member | None:
        """Returns the agent with an id, or None."""
        return self._members.get(instance_id)

    def group(self, policy: DrawPolicy, name: str) -> tuple[Member, ...]:
        """Returns the agents of one group, sorted by id."""
        return tuple(self._groups.get((policy, name), ()))

    def ranked(
        self, chunk_digest: bytes, policy: DrawPolicy, group: str
    ) -> tuple[str, ...]:
        """Returns the ids of a chunk's `MAX_RANKED_FETCHERS` best agents.

        Args:
          chunk_digest: The chunk's digest.
          policy: The kind of group.
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
        """Returns an agent's rank for a chunk, counted from 0.

        The result is `MAX_RANKED_FETCHERS` if the agent is not ranked.

        Args:
          chunk_digest: The chunk's digest.
          policy: The kind of group.
          member: The agent.
        """
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
    # The largest score ranks first. This runs for each chunk and member while
    # it blocks the event loop, and there may be thousands of chunks.
    score = xxhash.xxh64_intdigest
    scored = [(score(chunk_digest + name), name) for name in ids]
    best = heapq.nlargest(MAX_RANKED_FETCHERS, scored)
    return tuple(name.decode() for _, name in best)
