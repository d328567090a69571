"""When an agent fetches a chunk from the weight store or the origin."""

from collections.abc import Mapping
import dataclasses
import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import manifest as manifests
from clementinegw.weights import origin_fetchers

# Additional deadlines that an agent waits after a failure of its own, until a
# new chunk appears. The first-ranked agents retry at least twice per deadline,
# so by then all of them have noticed that the store has recovered.
_EXTRA_DEADLINES_AFTER_FAILURE = 3
# A period without new chunks that a new chunk ends counts as a whole deadline
# from this share of one: peers see a chunk a few chunk times apart.
_SILENCE_SHARE = 0.9
# The share of the first-ranked agents that may be presumed dead at once.
_MAX_SILENT_SHARE = 0.1
# The origin's rate in multiples of a machine's link, if it is not configured.
# Fetches spread over half of a rollout's duration do not prolong it.
_DEFAULT_ORIGIN_LINKS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A chunk in whose ranking this agent is listed.

    Attributes:
      index: The chunk's index.
      earlier: The ids of the agents that rank before this one.
      turn_s: When the first-ranked agent fetches the chunk, in seconds after
        the start of the rollout.
    """

    index: int
    earlier: tuple[str, ...]
    turn_s: float


class OriginFetches:
    """The assignments of one agent for one manifest and fleet."""

    def __init__(
        self,
        limits: types_.Limits,
        me: origin_fetchers.Member,
        fleet: origin_fetchers.Fleet,
        chunks: tuple[manifests.Chunk, ...],
        now: float,
        absent_since: Mapping[str, float],
        ended_at: Mapping[str, float],
    ):
        """Computes the assignments.

        Args:
          limits: The draw policy, its deadline and the origin's rate.
          me: This agent.
          fleet: All agents.
          chunks: The manifest's chunks.
          now: When the rollout started at this agent, in monotonic seconds.
          absent_since: When each agent that is no longer visible vanished, in
            monotonic seconds by id.
          ended_at: When each agent whose process has ended did so, in monotonic
            seconds by id.
        """
        self._limits = limits
        self._started_at = now
        self._new_chunk_at = now
        self._failed_at = -math.inf
        self._absent_since = absent_since
        self._ended_at = ended_at
        self._silent_fetchers: set[str] = set()
        self._retry_at = 0.0
        self._retry_delay_s = limits.settle_s
        self._first_fetchers = _first_fetchers(limits, me, fleet, chunks)
        self._assignments = _assignments(
            limits, me, fleet, chunks, self._first_fetchers
        )

    def record_failure(self, now: float, retry_after_s: float = 0.0) -> None:
        """Delays the next fetch, longer after each consecutive failure.

        A store that is down explains why no chunk appears. If the first-ranked
        agents were still presumed dead, all agents in a ranking would fetch the
        same chunks as soon as the store has recovered.

        Args:
          now: The current time in monotonic seconds.
          retry_after_s: The minimum delay that the source requested, in
            seconds.
        """
        self._retry_at = now + max(retry_after_s, self._retry_delay_s)
        longest = self._limits.draw_deadline_s / 2
        self._retry_delay_s = min(2 * self._retry_delay_s, longest)
        self._failed_at = now
        self._silent_fetchers.clear()

    def record_success(self) -> None:
        """Ends the delay after failures."""
        self._retry_at = 0.0
        self._retry_delay_s = self._limits.settle_s

    def record_fetch(self, index: int) -> None:
        """Records that this agent fetches a chunk.

        The agents that rank before it have not fetched the chunk, so their
        other chunks do not wait for a deadline each. Otherwise a dead agent
        with many chunks would cost one deadline per chunk.
        """
        for assignment in self._assignments:
            if assignment.index == index:
                self._silent_fetchers.update(assignment.earlier)

    def due_at(self, assignment: Assignment) -> float:
        """Returns when an assignment is due, in monotonic seconds.

        A dead first-ranked agent can only be detected by its chunk not
        appearing. A chunk queued behind others at the origin does not appear
        either, and fetching it twice wastes the origin's bandwidth. The
        deadline therefore counts from the last time that any new chunk
        appeared: while the origin delivers, no other agent takes over.

        Args:
          assignment: The assignment.
        """
        deadline = self._limits.draw_deadline_s
        due_time = self._started_at + assignment.turn_s
        earlier = [
            name
            for name in assignment.earlier
            if name not in self._silent_fetchers
        ]
        out_of_sight = self._absent_since.keys() | self._ended_at.keys()
        silent = sum(1 for name in earlier if name not in out_of_sight)
        if silent:
            silent_since = max(due_time, self._new_chunk_at, self._failed_at)
            if self._failed_at > self._new_chunk_at:
                silent += _EXTRA_DEADLINES_AFTER_FAILURE
            due_time = silent_since + silent * deadline
        vanished_at = [
            self._absent_since[name]
            for name in earlier
            if name in self._absent_since
        ]
        if vanished_at:
            # It may have fetched the chunk before it vanished.
            due_time = max(due_time, max(vanished_at) + deadline)
        ended_at = [
            self._ended_at[name] for name in earlier if name in self._ended_at
        ]
        if ended_at:
            # By then every peer that holds what the ended agent fetched last
            # has advertised it, and an agent that only lost its connections has
            # reconnected. With a deadline instead, the origin became
            # unreachable before any agent fetched the chunks again.
            due_time = max(due_time, max(ended_at) + self._limits.settle_s)
        return max(due_time, self._retry_at)

    def record_appearance(self, wanted: int, new_chunk_at: float) -> None:
        """Records when a chunk that was new to this agent last appeared.

        A chunk that ends a period of almost a deadline without new chunks was
        probably fetched by a peer whose deadline expired slightly before this
        agent's. It must not restart the deadline: a dead agent with many chunks
        would then cost one deadline per chunk.

        Args:
          wanted: The chunks that neither this agent nor a neighbour holds.
          new_chunk_at: When it appeared, in monotonic seconds.
        """
        if new_chunk_at <= self._new_chunk_at:
            return
        silent_since = max(self._new_chunk_at, self._failed_at)
        latest = new_chunk_at - _SILENCE_SHARE * self._limits.draw_deadline_s
        if silent_since <= latest:
            self._silent_fetchers |= self._find_silent(wanted, latest)
        self._new_chunk_at = new_chunk_at

    def _find_silent(self, wanted: int, latest: float) -> set[str]:
        """Returns the first-ranked agents that missed their turn by then.

        If there are many, the origin is the probable cause and the result is
        empty.

        Args:
          wanted: The chunks that neither this agent nor a neighbour holds.
          latest: Turns up to this time count, in monotonic seconds.
        """
        silent = {
            name
            for index, (name, turn_s) in enumerate(self._first_fetchers)
            if wanted >> index & 1 and self._started_at + turn_s <= latest
        }
        fetcher_count = len({name for name, _ in self._first_fetchers})
        return (
            silent
            if len(silent) <= max(1, _MAX_SILENT_SHARE * fetcher_count)
            else set()
        )

    def due(self, wanted: int, now: float) -> tuple[int | None, float]:
        """Returns the chunk to fetch now and when the next assignment is due.

        Args:
          wanted: The chunks that neither this agent nor a neighbour holds and
            that are not requested.
          now: The current time in monotonic seconds.
        """
        next_at = math.inf
        for assignment in self._assignments:
            if wanted >> assignment.index & 1:
                due_time = self.due_at(assignment)
                if due_time <= now:
                    return assignment.index, now
                next_at = min(next_at, due_time)
        return None, next_at


def _first_fetchers(
    limits: types_.Limits,
    me: origin_fetchers.Member,
    fleet: origin_fetchers.Fleet,
    chunks: tuple[manifests.Chunk, ...],
) -> list[tuple[str, float]]:
    """Returns each chunk's first-ranked agent and its turn in seconds."""
    policy = limits.draw_policy
    groups = {origin_fetchers.group_of(m, policy) for m in fleet.members}
    group = origin_fetchers.group_of(me, policy)
    first_fetchers = []
    offset = 0
    for chunk in chunks:
        name = fleet.ranked(chunk.digest, policy, group)[0]
        first_fetchers.append((name, _send_time_s(limits, offset)))
        offset += chunk.size * len(groups)
    return first_fetchers


def _assignments(
    limits: types_.Limits,
    me: origin_fetchers.Member,
    fleet: origin_fetchers.Fleet,
    chunks: tuple[manifests.Chunk, ...],
    first_fetchers: list[tuple[str, float]],
) -> list[Assignment]:
    policy = limits.draw_policy
    group = origin_fetchers.group_of(me, policy)
    assignments = []
    for index, chunk in enumerate(chunks):
        names = fleet.ranked(chunk.digest, policy, group)
        if me.instance_id in names:
            earlier = names[: names.index(me.instance_id)]
            assignments.append(
                Assignment(index, earlier, first_fetchers[index][1])
            )
    return sorted(
        assignments,
        key=lambda assignment: (len(assignment.earlier), assignment.index),
    )


def _send_time_s(limits: types_.Limits, offset: int) -> float:
    rate = limits.origin_bytes_per_s
    if rate <= 0:
        rate = _DEFAULT_ORIGIN_LINKS * limits.link_bytes_per_s
    return offset / rate
