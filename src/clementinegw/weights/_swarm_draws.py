"""When an agent draws a chunk from the weight store or the origin."""

from collections.abc import Mapping
import dataclasses
import math

from clementinegw.weights import _swarm_types as types_
from clementinegw.weights import drawers
from clementinegw.weights import manifest as manifests

# More deadlines that an agent waits after a failure of its own, until some
# chunk appears: by then the first drawers, who try at least twice a deadline,
# have all found the store to be back.
_WARY_DEADLINES = 3
# The share of a deadline after which a silence is taken for a whole one, if a
# chunk ends it. Peers see a chunk a few chunk times apart.
_NEARLY = 0.9
# The share of the first drawers that may be taken for dead at once.
_FEW = 0.1
# The origin's rate in machines' links, where it is not set. Draws that are
# spread over half the time of a rollout do not make it longer.
_ORIGIN_LINKS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """A chunk that this agent is on the list for.

    Attributes:
      index: The chunk.
      before: The ids of those that rank before this agent.
      start: Its first drawer's turn, in seconds after the rollout's start.
    """

    index: int
    before: tuple[str, ...]
    start: float


class Draws:
    """The duties of one agent for one manifest and fleet."""

    def __init__(
        self,
        limits: types_.Limits,
        me: drawers.Member,
        fleet: drawers.Fleet,
        chunks: tuple[manifests.Chunk, ...],
        now: float,
        absent: Mapping[str, float],
        ended: Mapping[str, float],
    ):
        """Computes the duties.

        Args:
          limits: The policy, its deadline and the origin's rate.
          me: This agent.
          fleet: All agents.
          chunks: The manifest's chunks.
          now: When the rollout started here, in monotonic seconds.
          absent: When each agent that is out of sight vanished, by id.
          ended: When each agent whose process is over ended, by id.
        """
        self._limits = limits
        self._began = now
        self._fresh_at = now
        self._failed_at = -math.inf
        self._absent = absent
        self._ended = ended
        self._late: set[str] = set()
        self._retry_at = 0.0
        self._backoff = limits.settle_s
        self._firsts = _firsts(limits, me, fleet, chunks)
        self._duties = _duties(limits, me, fleet, chunks, self._firsts)

    def failed(self, now: float, retry_after_s: float = 0.0) -> None:
        """Waits before the next draw, longer after each failure.

        A store that is down explains why no chunk appears. Were the first
        drawers still taken for dead, all in rank would draw the same chunks
        the moment the store is back.
        """
        self._retry_at = now + max(retry_after_s, self._backoff)
        longest = self._limits.draw_deadline_s / 2
        self._backoff = min(2 * self._backoff, longest)
        self._failed_at = now
        self._late.clear()

    def succeeded(self) -> None:
        """Ends the waiting after failures."""
        self._retry_at = 0.0
        self._backoff = self._limits.settle_s

    def drawn(self, index: int) -> None:
        """Notes that this agent draws a chunk.

        Those before it on the list did not. Their other chunks need not wait
        for a deadline of their own: of a drawer with many chunks that died
        each would else cost one.
        """
        for duty in self._duties:
            if duty.index == index:
                self._late.update(duty.before)

    def due_at(self, duty: Duty) -> float:
        """Returns when a duty falls due, in monotonic seconds.

        A dead first drawer shows only in that its chunk does not appear. But
        a chunk that is merely late behind others at the origin does not
        appear either, and drawing that one twice wastes the origin's link.
        So the deadline counts from the last time that any new chunk appeared:
        while the origin delivers, nobody steps in.

        Args:
          duty: The duty.
        """
        deadline = self._limits.draw_deadline_s
        turn = self._began + duty.start
        before = [name for name in duty.before if name not in self._late]
        out_of_sight = self._absent.keys() | self._ended.keys()
        silent = sum(1 for name in before if name not in out_of_sight)
        if silent:
            quiet_from = max(turn, self._fresh_at, self._failed_at)
            if self._failed_at > self._fresh_at:
                silent += _WARY_DEADLINES
            turn = quiet_from + silent * deadline
        gone = [self._absent[name] for name in before if name in self._absent]
        if gone:
            # It may have drawn the chunk before it vanished.
            turn = max(turn, max(gone) + deadline)
        ended = [self._ended[name] for name in before if name in self._ended]
        if ended:
            # Whoever has what it drew last has told so by then, and one that
            # lost its connections alone is back. With a deadline in place of
            # this the origin was gone before anybody drew the pieces anew.
            turn = max(turn, max(ended) + self._limits.settle_s)
        return max(turn, self._retry_at)

    def appeared(self, wanted: int, fresh_at: float) -> None:
        """Notes when a chunk that was new to this agent last appeared.

        One that ends a silence of nearly a deadline is likely to come from a
        peer whose deadline ran out a little earlier than this agent's. It must
        not begin the deadline anew: a dead drawer of many chunks would cost
        one for each of them.

        Args:
          wanted: The chunks that are neither held nor held by a neighbour.
          fresh_at: When it appeared, in monotonic seconds.
        """
        if fresh_at <= self._fresh_at:
            return
        quiet_from = max(self._fresh_at, self._failed_at)
        latest = fresh_at - _NEARLY * self._limits.draw_deadline_s
        if quiet_from <= latest:
            self._late |= self._silent(wanted, latest)
        self._fresh_at = fresh_at

    def _silent(self, wanted: int, latest: float) -> set[str]:
        """Returns the first drawers whose turn came by then in vain.

        When they are many, the origin is to blame rather than they.
        """
        silent = {
            name
            for index, (name, start) in enumerate(self._firsts)
            if wanted >> index & 1 and self._began + start <= latest
        }
        everyone = len({name for name, _ in self._firsts})
        return silent if len(silent) <= max(1, _FEW * everyone) else set()

    def due(self, wanted: int, now: float) -> tuple[int | None, float]:
        """Returns the chunk to draw now and when the next duty falls due.

        Args:
          wanted: The chunks that no neighbour holds either.
          now: Monotonic seconds.
        """
        next_at = math.inf
        for duty in self._duties:
            if wanted >> duty.index & 1:
                at = self.due_at(duty)
                if at <= now:
                    return duty.index, now
                next_at = min(next_at, at)
        return None, next_at


def _firsts(
    limits: types_.Limits,
    me: drawers.Member,
    fleet: drawers.Fleet,
    chunks: tuple[manifests.Chunk, ...],
) -> list[tuple[str, float]]:
    """Returns each chunk's first drawer and its turn after the start."""
    policy = limits.draw_policy
    groups = {drawers.group_of(m, policy) for m in fleet.members}
    group = drawers.group_of(me, policy)
    firsts = []
    offset = 0
    for chunk in chunks:
        name = fleet.ranked(chunk.digest, policy, group)[0]
        firsts.append((name, _seconds(limits, offset)))
        offset += chunk.size * len(groups)
    return firsts


def _duties(
    limits: types_.Limits,
    me: drawers.Member,
    fleet: drawers.Fleet,
    chunks: tuple[manifests.Chunk, ...],
    firsts: list[tuple[str, float]],
) -> list[Duty]:
    policy = limits.draw_policy
    group = drawers.group_of(me, policy)
    duties = []
    for index, chunk in enumerate(chunks):
        names = fleet.ranked(chunk.digest, policy, group)
        if me.instance_id in names:
            before = names[: names.index(me.instance_id)]
            duties.append(Duty(index, before, firsts[index][1]))
    return sorted(duties, key=lambda duty: (len(duty.before), duty.index))


def _seconds(limits: types_.Limits, offset: int) -> float:
    rate = limits.origin_bytes_per_s
    if rate <= 0:
        rate = _ORIGIN_LINKS * limits.link_bytes_per_s
    return offset / rate
