"""Failure detection: open probes, indirect pings, suspicions with a deadline.

Knows members by id only; what is sent and believed is decided by `swim`.
"""

from collections.abc import Iterator
import dataclasses
import math
import random

from clementinegw import types
from clementinegw.membership import parameters


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that waits for its answer.

    Attributes:
      sequence: The sequence of the ping.
      instance_id: The member that was pinged; empty for a bare address.
      incarnation: The incarnation that was pinged.
      address: Where the ping went.
      deadline: When it has failed, in monotonic seconds.
      indirect_at: When helpers are asked; infinite when they need not be.
      is_confirmation: Whether it is the second one, which leads to a suspicion.
    """

    sequence: int
    instance_id: str
    incarnation: int
    address: types.Address
    deadline: float
    indirect_at: float = math.inf
    is_confirmation: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A ping that was sent for somebody else.

    Attributes:
      requester: Where its answer is passed on to.
      sequence: The asker's own sequence.
      expires_at: Monotonic seconds.
    """

    requester: types.Address
    sequence: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A member that will be declared dead.

    Attributes:
      incarnation: The incarnation that is suspected.
      deadline: When it is declared dead, in monotonic seconds.
      detected_here: Whether this process found it silent itself.
    """

    incarnation: int
    deadline: float
    detected_here: bool = False


class Detector:
    """The probes, relays and suspicions of one process."""

    def __init__(self, options: parameters.Parameters):
        self._options = options
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._suspicions: dict[str, Suspicion] = {}

    @property
    def suspicions(self) -> dict[str, Suspicion]:
        """The suspicions by instance id."""
        return self._suspicions

    def add_probe(self, probe: Probe) -> None:
        """Remembers a ping that went out."""
        self._probes[probe.sequence] = probe

    def add_relay(self, sequence: int, relay: Relay) -> None:
        """Remembers a ping that went out for somebody else."""
        self._relays[sequence] = relay

    def take_probe(self, sequence: int) -> Probe | None:
        """Takes the open probe that an answer belongs to."""
        return self._probes.pop(sequence, None)

    def take_relay(self, sequence: int) -> Relay | None:
        """Takes the relay that an answer belongs to."""
        return self._relays.pop(sequence, None)

    def has_open_probe(self, address: types.Address) -> bool:
        """Returns whether a ping to an address is open."""
        return any(p.address == address for p in self._probes.values())

    def take_indirect_due(self, now: float) -> list[Probe]:
        """Returns the probes that now need helpers, each one once."""
        late = [p for p in self._probes.values() if p.indirect_at <= now]
        for probe in late:
            probe.indirect_at = math.inf
        return late

    def take_failed_probes(self, now: float) -> list[Probe]:
        """Takes the probes that were not answered in time."""
        failed = [p for p in self._probes.values() if p.deadline <= now]
        for probe in failed:
            del self._probes[probe.sequence]
        expired = [k for k, r in self._relays.items() if r.expires_at <= now]
        for sequence in expired:
            del self._relays[sequence]
        return failed

    def suspect(
        self,
        instance_id: str,
        incarnation: int,
        now: float,
        detected_here: bool,
    ) -> bool:
        """Starts a suspicion; returns False when there is one already."""
        known = self._suspicions.get(instance_id)
        if known is not None and known.incarnation >= incarnation:
            return False
        deadline = now + self._options.suspicion_s
        self._suspicions[instance_id] = Suspicion(
            incarnation, deadline, detected_here
        )
        return True

    def clear_suspicion(self, instance_id: str) -> None:
        """Ends a suspicion."""
        self._suspicions.pop(instance_id, None)

    def take_expired_suspicions(self, now: float) -> list[tuple[str, int]]:
        """Takes the suspicions that ran out, as (id, incarnation)."""
        if not self._suspicions:
            return []
        due = [
            (instance_id, suspicion.incarnation)
            for instance_id, suspicion in self._suspicions.items()
            if suspicion.deadline <= now
        ]
        for instance_id, _ in due:
            del self._suspicions[instance_id]
        return due

    def extend_deadlines(self, seconds: float) -> None:
        """Gives open probes and suspicions more time.

        Args:
          seconds: How long this process did not run.
        """
        for probe in self._probes.values():
            probe.deadline += seconds
            probe.indirect_at += seconds
        for instance_id, known in list(self._suspicions.items()):
            self._suspicions[instance_id] = Suspicion(
                known.incarnation, known.deadline + seconds, known.detected_here
            )

    def reset_deadlines(self, now: float) -> None:
        """Forgets open probes and gives each suspect its whole time again.

        A process that was paused finds every probe unanswered and every
        suspicion run out, and would declare its peers dead at once: their
        answers wait unread in its socket. Nothing that it timed before the
        pause counts.
        """
        self._probes.clear()
        self._relays.clear()
        for instance_id, known in list(self._suspicions.items()):
            self._suspicions[instance_id] = Suspicion(
                known.incarnation,
                now + self._options.suspicion_s,
                known.detected_here,
            )


class RandomRounds:
    """Goes through all members in random order, then shuffles again.

    Each member is probed once a round, so that none waits much longer than
    the others, as it would with independent draws.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._order: list[str] = []

    def next(self, present: list[str]) -> Iterator[str]:
        """Yields members until the caller takes one."""
        for _ in range(2):
            while self._order:
                yield self._order.pop()
            self._order = list(present)
            self._rng.shuffle(self._order)
