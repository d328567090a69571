"""Chooses where a process gets the settings from and how long it waits."""

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
    """Computes exponential waits with jitter after failed reads of the log.

    The jitter keeps processes from reading all at once when the log recovers.
    """

    def __init__(self, rng: random.Random):
        """Initializes the backoff without a failure.

        Args:
          rng: The source of the jitter.
        """
        self._rng = rng
        self._failures = 0

    @property
    def failures(self) -> int:
        """The number of failures since the last success."""
        return self._failures

    def record_success(self) -> None:
        """Resets the number of failures."""
        self._failures = 0

    def record_failure(self, settings: knobs.Replication) -> float:
        """Counts a failure and returns how long to wait, in seconds."""
        exponent = min(self._failures, 16)
        self._failures += 1
        max_wait_s = min(
            settings.backoff_base_s * 2**exponent, settings.backoff_max_s
        )
        return self._rng.uniform(max_wait_s / 2, max_wait_s)


class RepairSchedule:
    """Decides when to append a snapshot to a log that is refused.

    The first refusals only start a wait of partly random length: another
    process may repair the log first, and its record is read in the meantime.
    """

    def __init__(self, rng: random.Random):
        """Initializes the schedule without a repair.

        Args:
          rng: The source of the random wait.
        """
        self._rng = rng
        self._repair = cursor_lib.Repair.NONE
        self._due_at = 0.0

    def on_refused(
        self, repair: cursor_lib.Repair, now: float
    ) -> tuple[float, cursor_lib.Repair]:
        """Handles a refusal of the log.

        Args:
          repair: The repair that the refusal allows.
          now: The current time, monotonic seconds.

        Returns:
          How long to wait before the log is read again, in seconds, and which
          repair to do before that.
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
        # A process that can follow the log appends an ordinary snapshot sooner.
        return REBASE_AFTER_S * self._rng.uniform(1.0, 1.5)


@dataclasses.dataclass(slots=True)
class Sources:
    """Chooses between the log and the peers.

    Attributes:
      instance_id: The id of this process.
      rng: The source of random choices.
    """

    instance_id: str
    rng: random.Random
    _avoided_until: dict[str, float] = dataclasses.field(default_factory=dict)
    _follow_log_until: float = 0.0

    def follow_log_directly(self, now: float) -> None:
        """Makes this process follow the log for now, even if it is no relay."""
        self._follow_log_until = now + FOLLOW_LOG_S

    def penalize(self, peer: str, now: float) -> None:
        """Excludes a peer from the choice for `PEER_PENALTY_S`."""
        self._avoided_until[peer] = now + PEER_PENALTY_S

    def follows_log(self, domain: list[str], count: int, now: float) -> bool:
        """Returns whether this process reads the log itself.

        Args:
          domain: The live members of its failure domain.
          count: The number of relays in a failure domain.
          now: The current time, monotonic seconds.
        """
        if now < self._follow_log_until:
            return True
        return relays.is_relay(self.instance_id, domain, count)

    def upstream(self, domain: list[str], count: int, now: float) -> str | None:
        """Returns the relay to pull from; None if all are excluded."""
        for peer in relays.upstreams(self.instance_id, domain, count):
            if self._avoided_until.get(peer, 0.0) <= now:
                return peer
        return None

    def random_peer(self, others: list[str], now: float) -> str | None:
        """Returns a random member that is not excluded; None without one."""
        available = [
            p for p in others if self._avoided_until.get(p, 0.0) <= now
        ]
        return self.rng.choice(available) if available else None
