"""Failure detection: open probes, indirect pings and suspicions.

This module tracks deadlines by member id. `_probing` and `_receiving` decide
what is sent and which updates are applied.
"""

from collections.abc import Iterator
import dataclasses
import math
import random

from clementinegw import types
from clementinegw.membership import parameters


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet.

    Attributes:
      sequence: The sequence of the ping.
      instance_id: The member that was pinged; empty if only its address is
        known.
      incarnation: The incarnation that was pinged.
      address: The address that the ping was sent to.
      deadline: When the probe fails, in monotonic seconds.
      indirect_at: When helpers are asked for indirect pings, in monotonic
        seconds; infinite if they are not.
      is_confirmation: Whether it is the second probe, whose failure leads to a
        suspicion.
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
    """An indirect ping sent on behalf of another member.

    Attributes:
      requester: The address that the answer is forwarded to.
      sequence: The sequence of the requester's own probe.
      expires_at: When the relay is dropped, in monotonic seconds.
    """

    requester: types.Address
    sequence: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A member that will be declared dead unless it refutes.

    Attributes:
      incarnation: The incarnation that is suspected.
      deadline: When it is declared dead, in monotonic seconds.
      detected_here: Whether this process's own probes of it failed.
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
        """Stores a ping that was sent."""
        self._probes[probe.sequence] = probe

    def add_relay(self, sequence: int, relay: Relay) -> None:
        """Stores an indirect ping that was sent for another member."""
        self._relays[sequence] = relay

    def take_probe(self, sequence: int) -> Probe | None:
        """Removes and returns the open probe that an answer belongs to."""
        return self._probes.pop(sequence, None)

    def take_relay(self, sequence: int) -> Relay | None:
        """Removes and returns the relay that an answer belongs to."""
        return self._relays.pop(sequence, None)

    def has_open_probe(self, address: types.Address) -> bool:
        """Returns whether a probe of an address is open."""
        return any(p.address == address for p in self._probes.values())

    def take_indirect_due(self, now: float) -> list[Probe]:
        """Returns the probes that now need indirect pings, each only once."""
        due = [p for p in self._probes.values() if p.indirect_at <= now]
        for probe in due:
            probe.indirect_at = math.inf
        return due

    def take_failed_probes(self, now: float) -> list[Probe]:
        """Removes and returns the probes that were not answered in time.

        Expired relays are removed too.
        """
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
        """Starts a suspicion; returns False if there is one already."""
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
        """Removes and returns expired suspicions as (id, incarnation)."""
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
        """Extends the deadlines of open probes and suspicions.

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
        """Drops open probes and relays and restarts each suspicion's timeout.

        After a pause of the process every probe seems unanswered and every
        suspicion expired, because the answers are still unread in the socket.
        Without this reset the process would at once declare its peers dead.
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
    """Iterates over all members in random order, then shuffles again.

    Each member is probed once a round. With independent random choices some
    members would wait much longer than others.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._order: list[str] = []

    def next(self, present: list[str]) -> Iterator[str]:
        """Yields members until the caller stops at one that it can probe."""
        for _ in range(2):
            while self._order:
                yield self._order.pop()
            self._order = list(present)
            self._rng.shuffle(self._order)
