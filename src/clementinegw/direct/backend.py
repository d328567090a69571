"""One backend server as this entry knows it, and what it saw of it."""

import math
import random

from clementinegw.direct import client
from clementinegw.direct import rate_limit
from clementinegw.direct import reports
from clementinegw.direct import signals as signals_lib
from clementinegw.direct import types

# What a failure adds to the doubt about a server, what a good answer leaves
# of it, and the pause that a server gets after each of two failed connects.
_FAILURE_GAIN = 0.2
_MIN_COOLDOWN_S = 0.25
_MAX_COOLDOWN_S = 4.0
# Time in which what others had under way at a server has changed by 1/e.
_LOAD_DECAY_S = 0.7
# A report older than this says nothing of free slots, in seconds.
_MAX_REPORT_AGE_S = 0.5
# A server whose agent has told nothing for this long, and as many of its usual
# intervals, and that has sent nothing itself since, is taken for frozen or cut
# off. Found out from requests alone, each entry loses some of them to it. Lost
# datagrams come one or two in a row. After a while only
# requests tell: an agent may be gone for long beside a server that is well.
# Seconds.
_MIN_SILENCE_S = 0.4
_MIN_SILENCE_INTERVALS = 3.0
_MAX_SILENCE_S = 6.0
# How much the newest interval counts for the usual one.
_INTERVAL_GAIN = 0.3
# The longest time between two reports that counts, in seconds.
_MAX_INTERVAL_S = 0.5


class Backend:
    """One start of one backend server."""

    def __init__(
        self,
        server: types.Server,
        pool: client.Pool,
        rng: random.Random,
        signals: signals_lib.Signals,
    ):
        self.server = server
        self.pool = pool
        self.signals = signals
        self.in_flight = 0
        self.unread_tokens = 0
        self.gone = False
        self.missing = False
        self.missing_until = math.inf
        self.heard_at = -math.inf
        self.failure_rate = 0.0
        self.cooldown_until = -math.inf
        self.full_until = -math.inf
        self.version = 0
        self.pace = 1.0
        self.loading = False
        self.yielding = False
        self.entries = 0
        self.followed = True
        self.ready_at = math.inf
        self._share = 1.0
        self._rng = rng
        self.weights_incomplete = False
        self.replaced = False
        self._cooldown_s = _MIN_COOLDOWN_S
        self._other_requests = 0.0
        self._load_at = -math.inf
        self._last_report_at = -math.inf
        self._first_report_due_at = -math.inf
        self._report_interval_s = 0.0

    @property
    def retired(self) -> bool:
        """Whether this start gets nothing more: it leaves, or is over."""
        return (
            self.gone
            or self.replaced
            or self.server.leaving
            or self.signals.leaving
        )

    def in_backoff(self, now: float) -> bool:
        """Returns whether it has asked this entry for a pause that lasts."""
        return self.signals.backoff_until > now

    def accepts(self, now: float) -> bool:
        """Returns whether what it reported allows this entry a request now."""
        signals = self.signals
        if signals.backoff_until > now:
            return False
        return not signals.limited or signals.limiter.is_open()

    def available_at(self, now: float) -> float:
        """Returns when it is available again; `now` where it is."""
        return max(now, self.cooldown_until, self.signals.backoff_until)

    def set_followed(self, followed: bool, now: float) -> None:
        """Says whether this entry is told of its load, and may send to it."""
        if followed and not self.followed:
            # What was heard while it was not followed says nothing of silence,
            # and nothing of free slots.
            self._last_report_at = -math.inf
            self._first_report_due_at = now + _MAX_REPORT_AGE_S
        self.followed = followed

    def is_silent(self, now: float) -> bool:
        """Returns whether the server and the agent beside it fell silent."""
        if not self.followed:
            return False
        silence_s = max(
            _MIN_SILENCE_S, _MIN_SILENCE_INTERVALS * self._report_interval_s
        )
        if not silence_s < now - self._last_report_at < _MAX_SILENCE_S:
            return False
        return self.heard_at < self._last_report_at + silence_s / 2

    def update_load(self, load: types.Load, now: float) -> None:
        """Takes in what the server says of its load."""
        total = load.running + load.waiting
        self._other_requests = max(0.0, total - self.in_flight)
        self._load_at = now

    def apply_report(
        self,
        report: reports.Report,
        now: float,
        reading_s: float = 0.0,
    ) -> None:
        """Takes in what the agent beside the server tells of it.

        Args:
          report: What it tells.
          now: Monotonic seconds.
          reading_s: How long the engine reads a usual prompt; 0 when unknown.
        """
        interval_s = min(now - self._last_report_at, _MAX_INTERVAL_S)
        self._last_report_at = now
        self._report_interval_s += _INTERVAL_GAIN * (
            interval_s - self._report_interval_s
        )
        self.update_load(
            types.Load(report.running, report.waiting, report.slots), now
        )
        self.loading = report.loading
        self.yielding = report.yielding
        self.entries = report.entries
        self.ready_at = math.inf
        if report.ready_in_s >= 0.0:
            self.ready_at = now + report.ready_in_s
        reads = interval_s / reading_s if reading_s else math.inf
        self._update_share(report, reads)
        if report.limit is not None:
            self.signals.apply_relayed(report.limit)
        if 0 <= report.follower_rank < report.followers:
            self.signals.position = rate_limit.Position(
                report.follower_rank, report.followers
            )
        if 0 <= report.rank < report.entries:
            self.signals.entry_position = rate_limit.Position(
                report.rank, report.entries
            )
        self.pace = max(1.0, report.pace)
        self.set_version(report.version if report.whole else 0)
        self.weights_incomplete = not report.whole

    def has_share(self, now: float) -> bool:
        """Returns whether this entry may take one more of the free slots.

        While no agent tells, each entry has one prompt read there at a time:
        nine servers that came back after a loss of power got 109 requests in a
        quarter of a second, and all of them were late. From the moment at which
        a server is followed its first report is awaited: many entries may have
        begun with it at the same time.
        """
        if not self.followed:
            return False
        if now - self._last_report_at > _MAX_REPORT_AGE_S or not self.entries:
            return now >= self._first_report_due_at and not self.unread_tokens
        return self._share >= 1.0

    def begin_request(self) -> None:
        """Counts a request that is sent to the server."""
        self.in_flight += 1
        self._share -= 1.0

    def end_request(self) -> None:
        """Counts a request that has left the server; its slot is ours again."""
        self.in_flight -= 1
        self._share += 1.0

    def _update_share(self, report: reports.Report, reads: float) -> None:
        """Takes this entry's part of the slots that a report shows free.

        All entries see the same free slots at the same moment. With each
        taking what it wants, a server that has one slot free gets a request
        from every entry, and all but one of them are late. What is free, and
        what the engine can read until the next report, is given out once: in an
        overload a second one is read for nothing, and late.
        """
        free = report.slots - report.running - report.waiting
        # A server that has just loaded shows all its slots free; the last of 16
        # requests would wait for the prompts of all others.
        room = min(free, reads - report.waiting)
        part = max(0.0, room / max(1, report.followers or report.entries))
        whole = int(part)
        more = self._rng.random() < part - whole
        self._share = float(whole + more)

    def estimated_requests(self, now: float) -> float:
        """Returns about how many requests are at the server."""
        age = now - self._load_at
        return self.in_flight + self._other_requests * math.exp(
            -age / _LOAD_DECAY_S
        )

    def record_identity(self, server_id: str) -> None:
        """Takes in who answers at the server's address.

        A start that is gone never comes back; the platform lists it until it
        runs out, and every request would be sent to it once more.
        """
        self.replaced = server_id != self.server.server_id

    def record_success(self, now: float) -> None:
        """Counts a whole answer."""
        self.heard_at = now
        self._cooldown_s = _MIN_COOLDOWN_S
        self.failure_rate *= 1.0 - _FAILURE_GAIN

    def record_failure(self) -> None:
        """Counts a failed or broken answer."""
        self.failure_rate += _FAILURE_GAIN * (1.0 - self.failure_rate)

    def record_unreachable(self, now: float) -> None:
        """Counts a connection that did not come up, or was reset."""
        self.record_failure()
        self.cooldown_until = now + self._cooldown_s
        self._cooldown_s = min(2 * self._cooldown_s, _MAX_COOLDOWN_S)

    def set_version(self, version: int) -> None:
        """Takes in which version's weights it answers with."""
        self.version = version

    def held_version(self, layers: int) -> int:
        """Returns the version of which it has all layers; 0 for none."""
        if self.weights_incomplete:
            return 0
        return self.version or self.server.version(layers)

    def serves(self, least_version: int, layers: int) -> bool:
        """Returns whether it has all layers of at least a version."""
        return self.held_version(layers) >= least_version
