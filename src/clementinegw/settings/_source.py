"""Decides where a process takes the settings from, and how long it waits."""

import dataclasses
import random

from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import knobs
from clementinegw.settings import relays

RESTORE_JITTER_S = 0.5
REBASE_AFTER_S = 45.0
REFUSED_PAUSE_S = 1.0
PEER_PENALTY_S = 5.0
FOLLOW_LOG_S = 30.0


class Backoff:
    """Growing waits with jitter, so that a log that is back is not stormed."""

    def __init__(self, rng: random.Random):
        """Starts with no failure.

        Args:
          rng: The source of the jitter.
        """
        self._rng = rng
        self._failures = 0

    @property
    def failures(self) -> int:
        """Failures since the last success."""
        return self._failures

    def record_success(self) -> None:
        """Notes a success."""
        self._failures = 0

    def record_failure(self, settings: knobs.Replication) -> float:
        """Notes a failure and returns how long to wait, in seconds."""
        exponent = min(self._failures, 16)
        self._failures += 1
        longest = min(
            settings.backoff_base_s * 2**exponent, settings.backoff_max_s
        )
        return self._rng.uniform(longest / 2, longest)


class RepairSchedule:
    """Decides when to put a snapshot into a log that is not believed.

    The first refusals only start a wait, partly random: another process may
    come first, and its record is seen in the meantime.
    """

    def __init__(self, rng: random.Random):
        """Starts with nothing to mend.

        Args:
          rng: The source of the wait.
        """
        self._rng = rng
        self._repair = cursor_lib.Repair.NONE
        self._due_at = 0.0

    def on_refused(
        self, repair: cursor_lib.Repair, now: float
    ) -> tuple[float, cursor_lib.Repair]:
        """Takes a refusal.

        Returns:
          How long to wait before the log is read again, and what to append
          before that.
        """
        pause_s = self._rng.uniform(0.2, 1.0) * REFUSED_PAUSE_S
        if repair is not self._repair:
            self._repair = repair
            self._due_at = now + self._wait_s(repair)
        wait_s = self._due_at - now
        if repair is cursor_lib.Repair.NONE:
            return pause_s, repair
        if wait_s > 0:
            return min(wait_s, pause_s), cursor_lib.Repair.NONE
        self._repair = cursor_lib.Repair.NONE
        return pause_s, repair

    def _wait_s(self, repair: cursor_lib.Repair) -> float:
        if repair is cursor_lib.Repair.RESTORE:
            return self._rng.uniform(0.0, RESTORE_JITTER_S)
        # Someone who can follow the log puts an ordinary snapshot in sooner.
        return REBASE_AFTER_S * self._rng.uniform(1.0, 1.5)


@dataclasses.dataclass(slots=True)
class Sources:
    """Chooses between the log and the peers.

    Attributes:
      instance_id: This process.
      rng: The source of random choices.
    """

    instance_id: str
    rng: random.Random
    _avoided_until: dict[str, float] = dataclasses.field(default_factory=dict)
    _follow_log_until: float = 0.0

    def follow_log_directly(self, now: float) -> None:
        """Follows the log for a while, whatever the members say."""
        self._follow_log_until = now + FOLLOW_LOG_S

    def penalize(self, peer: str, now: float) -> None:
        """Avoids a peer that did not answer for a while."""
        self._avoided_until[peer] = now + PEER_PENALTY_S

    def follows_log(self, domain: list[str], count: int, now: float) -> bool:
        """Returns whether this process reads the log itself."""
        if now < self._follow_log_until:
            return True
        return relays.is_relay(self.instance_id, domain, count)

    def upstream(self, domain: list[str], count: int, now: float) -> str | None:
        """Returns the relay to ask; None when none answered lately."""
        for peer in relays.upstreams(self.instance_id, domain, count):
            if self._avoided_until.get(peer, 0.0) <= now:
                return peer
        return None

    def random_peer(self, others: list[str], now: float) -> str | None:
        """Returns any member that answered lately; None without one."""
        good = [p for p in others if self._avoided_until.get(p, 0.0) <= now]
        return self.rng.choice(good) if good else None
