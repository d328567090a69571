"""When an agent draws a chunk from the weight store or the origin."""

from collections.abc import Mapping
import dataclasses
import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import manifest as manifests
from clementinegw.weights import origin_fetchers

# More deadlines that an agent waits after a failure of its own, until some
# chunk appears: by then the first drawers, who try at least twice a deadline,
# have all found the store to be back.
_EXTRA_DEADLINES_AFTER_FAILURE = 3
# The share of a deadline after which a silence is taken for a whole one, if a
# chunk ends it. Peers see a chunk a few chunk times apart.
_SILENCE_SHARE = 0.9
# The share of the first drawers that may be taken for dead at once.
_MAX_SILENT_SHARE = 0.1
# The origin's rate in machines' links, where it is not set. Draws that are
# spread over half the time of a rollout do not make it longer.
_DEFAULT_ORIGIN_LINKS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A chunk that this agent is on the list for.

    Attributes:
      index: The chunk.
      earlier: The ids of those that rank before this agent.
      turn_s: Its first drawer's turn, in seconds after the rollout's start.
    """

    index: int
    earlier: tuple[str, ...]
    turn_s: float


class OriginFetches:
    """The duties of one agent for one manifest and fleet."""

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
        """Computes the duties.

        Args:
          limits: The policy, its deadline and the origin's rate.
          me: This agent.
          fleet: All agents.
          chunks: The manifest's chunks.
          now: When the rollout started here, in monotonic seconds.
          absent_since: When each agent that is out of sight vanished, by id.
          ended_at: When each agent whose process is over ended, by id.
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
        """Waits before the next draw, longer after each failure.

        A store that is down explains why no chunk appears. Were the first
        drawers still taken for dead, all in rank would draw the same chunks
        the moment the store is back.
        """
        self._retry_at = now + max(retry_after_s, self._retry_delay_s)
        longest = self._limits.draw_deadline_s / 2
        self._retry_delay_s = min(2 * self._retry_delay_s, longest)
        self._failed_at = now
        self._silent_fetchers.clear()

    def record_success(self) -> None:
        """Ends the waiting after failures."""
        self._retry_at = 0.0
        self._retry_delay_s = self._limits.settle_s

    def record_fetch(self, index: int) -> None:
        """Notes that this agent draws a chunk.

        Those before it on the list did not. Their other chunks need not wait
        for a deadline of their own: of a drawer with many chunks that died
        each would else cost one.
        """
        for assignment in self._assignments:
            if assignment.index == index:
                self._silent_fetchers.update(assignment.earlier)

    def due_at(self, assignment: Assignment) -> float:
        """Returns when a duty falls due, in monotonic seconds.

        A dead first drawer shows only in that its chunk does not appear. But
        a chunk that is merely late behind others at the origin does not
        appear either, and drawing that one twice wastes the origin's link.
        So the deadline counts from the last time that any new chunk appeared:
        while the origin delivers, nobody steps in.

        Args:
          assignment: The assignment.
        """
        deadline = self._limits.draw_deadline_s
        turn = self._started_at + assignment.turn_s
        earlier = [
            name
            for name in assignment.earlier
            if name not in self._silent_fetchers
        ]
        out_of_sight = self._absent_since.keys() | self._ended_at.keys()
        silent = sum(1 for name in earlier if name not in out_of_sight)
        if silent:
            quiet_from = max(turn, self._new_chunk_at, self._failed_at)
            if self._failed_at > self._new_chunk_at:
                silent += _EXTRA_DEADLINES_AFTER_FAILURE
            turn = quiet_from + silent * deadline
        gone = [
            self._absent_since[name]
            for name in earlier
            if name in self._absent_since
        ]
        if gone:
            # It may have drawn the chunk before it vanished.
            turn = max(turn, max(gone) + deadline)
        ended_at = [
            self._ended_at[name] for name in earlier if name in self._ended_at
        ]
        if ended_at:
            # Whoever has what it drew last has told so by then, and one that
            # lost its connections alone is back. With a deadline in place of
            # this the origin was gone before anybody drew the pieces anew.
            turn = max(turn, max(ended_at) + self._limits.settle_s)
        return max(turn, self._retry_at)

    def record_appearance(self, wanted: int, new_chunk_at: float) -> None:
        """Notes when a chunk that was new to this agent last appeared.

        One that ends a silence of nearly a deadline is likely to come from a
        peer whose deadline ran out a little earlier than this agent's. It must
        not begin the deadline anew: a dead drawer of many chunks would cost
        one for each of them.

        Args:
          wanted: The chunks that are neither held nor held by a neighbour.
          new_chunk_at: When it appeared, in monotonic seconds.
        """
        if new_chunk_at <= self._new_chunk_at:
            return
        quiet_from = max(self._new_chunk_at, self._failed_at)
        latest = new_chunk_at - _SILENCE_SHARE * self._limits.draw_deadline_s
        if quiet_from <= latest:
            self._silent_fetchers |= self._find_silent(wanted, latest)
        self._new_chunk_at = new_chunk_at

    def _find_silent(self, wanted: int, latest: float) -> set[str]:
        """Returns the first drawers whose turn came by then in vain.

        When they are many, the origin is to blame rather than they.
        """
        silent = {
            name
            for index, (name, turn_s) in enumerate(self._first_fetchers)
            if wanted >> index & 1 and self._started_at + turn_s <= latest
        }
        everyone = len({name for name, _ in self._first_fetchers})
        return (
            silent
            if len(silent) <= max(1, _MAX_SILENT_SHARE * everyone)
            else set()
        )

    def due(self, wanted: int, now: float) -> tuple[int | None, float]:
        """Returns the chunk to draw now and when the next duty falls due.

        Args:
          wanted: The chunks that no neighbour holds either.
          now: Monotonic seconds.
        """
        next_at = math.inf
        for assignment in self._assignments:
            if wanted >> assignment.index & 1:
                at = self.due_at(assignment)
                if at <= now:
                    return assignment.index, now
                next_at = min(next_at, at)
        return None, next_at


def _first_fetchers(
    limits: types_.Limits,
    me: origin_fetchers.Member,
    fleet: origin_fetchers.Fleet,
    chunks: tuple[manifests.Chunk, ...],
) -> list[tuple[str, float]]:
    """Returns each chunk's first drawer and its turn after the start."""
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
