"""State of one backend server as known to this entry."""

import math
import random

from clementinegw.direct import client
from clementinegw.direct import rate_limit
from clementinegw.direct import reports
from clementinegw.direct import signals as signals_lib
from clementinegw.direct import transit as transits
from clementinegw.direct import types
from clementinegw.scheduling import machine_pace
from clementinegw.scheduling import server_memory
from clementinegw.scheduling import slot_shares

# Weight of the newest answer in the failure rate, and bounds on the cooldown
# after a failed connection, in seconds. The cooldown doubles with each failure.
_FAILURE_GAIN = 0.2
_MIN_COOLDOWN_S = 0.25
_MAX_COOLDOWN_S = 4.0
# A server has recovered once it has answered for this many times its next
# cooldown without a failed connection. One that goes down and up by turns
# answers in between, and each time requests would wait for connections to it.
_STEADY_COOLDOWNS = 4.0
# Decay time constant of the last known number of requests from other entries,
# in seconds.
_LOAD_DECAY_S = 0.7
# An older report says nothing about free slots, in seconds.
_MAX_REPORT_AGE_S = 0.5
# A server counts as frozen or cut off if its agent has been silent for this
# time, in seconds, and for this many of its usual report intervals, and if the
# server has sent nothing since. Without this check each entry would lose some
# requests before it notices. Lost datagrams come one or two in a row. After
# _MAX_SILENCE_S only requests decide, as an agent may send nothing for long
# while its server works.
_MIN_SILENCE_S = 0.4
_MIN_SILENCE_INTERVALS = 3.0
_MAX_SILENCE_S = 6.0
# Weight of the newest report interval in the usual one.
_INTERVAL_GAIN = 0.3
# Longer report intervals count as this one, in seconds.
_MAX_INTERVAL_S = 0.5


class Backend:
    """One start of a backend server.

    Attributes:
      server: The server's record.
      pool: Connections to the server.
      signals: What this start reported about itself.
      in_flight: Requests of this entry at the server.
      held_tokens: Tokens that these requests hold, as far as they are known.
      unread_tokens: Prompt tokens of this entry that it has yet to read.
      gone: Whether this start is no longer listed, or was succeeded by another.
      missing: Whether it is no longer listed, but perhaps only because of an
        outage of the platform.
      missing_until: When a missing server is dropped, in monotonic seconds.
      heard_at: When it last sent bytes, in monotonic seconds.
      failure_rate: Moving average of failed answers, from 0 to 1.
      cooldown_until: End of its cooldown, in monotonic seconds.
      full_until: It reported to be full and is skipped until then, in monotonic
        seconds.
      version: Version of its weights; 0 if unknown or incomplete.
      pace: How many times slower than usual its engine works.
      loading: Whether it accepts no requests because it loads weights.
      yielding: Whether it is about to load weights.
      entries: Number of entries as reported by its agent; 0 if unknown.
      followed: Whether this entry receives its load reports and may send to it.
      ready_at: When it is predicted to be ready, in monotonic seconds.
      weights_incomplete: Whether its agent reported that layers are missing.
      replaced: Whether another start answers at its address.
      evacuated: Whether its agent reported that the operators want no requests
        in its failure domain.
      cold_until: When it stops being cold, in monotonic seconds.
      cold_sequence: The record from which `cold_until` was learned last.
      demand: The requests per second that this entry told its agent to want to
        send to it; None if it told none.
      transit: How long requests take to reach it.
    """

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
        self.held_tokens = 0
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
        self._free_slots = 0.0
        self._readable_prompts = math.inf
        self._part = 1.0
        self._unreported_requests = 0.0
        self._offered = 1.0
        self._draw = 0.0
        self._unreported = slot_shares.UnreportedRequests()
        self._rng = rng
        self.weights_incomplete = False
        self.replaced = False
        self.evacuated = False
        self.cold_until = -math.inf
        self.cold_sequence = -1
        self._answering_since = math.inf
        self._last_report: reports.Report | None = None
        self._held_at_report = 0
        self._sent_tokens = 0
        self._memory_draw: float | None = None
        self.demand: float | None = None
        self.transit = transits.Transit()
        self._cooldown_s = _MIN_COOLDOWN_S
        self._machine_pace = machine_pace.MachinePace()
        self._other_requests = 0.0
        self._load_at = -math.inf
        self._last_report_at = -math.inf
        self._first_report_due_at = -math.inf
        self._report_interval_s = 0.0

    @property
    def retired(self) -> bool:
        """Whether this start gets no more requests: it is leaving or over."""
        return (
            self.gone
            or self.replaced
            or self.server.leaving
            or self.signals.leaving
        )

    def in_backoff(self, now: float) -> bool:
        """Returns whether a backoff that it asked this entry for is active."""
        return self.signals.backoff_until > now

    def accepts(self, now: float) -> bool:
        """Returns whether its signals allow this entry to send a request."""
        signals = self.signals
        if signals.backoff_until > now:
            return False
        return not signals.limited or signals.limiter.is_open()

    def available_at(self, now: float) -> float:
        """Returns when it is available again; `now` if it already is."""
        return max(now, self.cooldown_until, self.signals.backoff_until)

    def set_followed(self, followed: bool, now: float) -> None:
        """Sets whether this entry receives its reports and may send to it."""
        if followed and not self.followed:
            # Reports received before are outdated: they say nothing about
            # silence or about free slots.
            self._last_report_at = -math.inf
            self._first_report_due_at = now + _MAX_REPORT_AGE_S
        self.followed = followed

    def is_silent(self, now: float) -> bool:
        """Returns whether neither the server nor its agent sends anything."""
        if not self.followed:
            return False
        silence_s = max(
            _MIN_SILENCE_S, _MIN_SILENCE_INTERVALS * self._report_interval_s
        )
        if not silence_s < now - self._last_report_at < _MAX_SILENCE_S:
            return False
        return self.heard_at < self._last_report_at + silence_s / 2

    def update_load(self, load: types.Load, now: float) -> None:
        """Updates the load that the server reported in an answer."""
        total = load.running + load.waiting
        self._other_requests = max(0.0, total - self.in_flight)
        self._load_at = now
        if load.pace is not None:
            self._machine_pace.record(load.pace, now)

    def estimated_pace(self, now: float) -> float:
        """Returns how many times slower than usual it works now, estimated."""
        machine_pace_now = self._machine_pace.estimate(now)
        if self.pace <= 1.0:
            return machine_pace_now
        # An engine may be slow because its machine is.
        return max(self.pace, machine_pace_now)

    def apply_report(
        self,
        report: reports.Report,
        now: float,
        reading_s: float = 0.0,
        lag_s: float = 0.0,
        memory_requests: float = math.inf,
    ) -> None:
        """Applies a report from the server's agent.

        Args:
          report: The report.
          now: Monotonic seconds.
          reading_s: Time the engine takes to read a typical prompt, in seconds;
            0 if unknown.
          lag_s: How old the load in the report is, in seconds; 0 if unknown.
          memory_requests: Number of typical requests that its memory holds.
        """
        interval_s = min(now - self._last_report_at, _MAX_INTERVAL_S)
        self._last_report_at = now
        self._last_report = report
        self._held_at_report = self.held_tokens
        self._unreported.set_lag(lag_s)
        self._sent_tokens = self._unreported.tokens(now)
        self._memory_draw = None
        self._report_interval_s += _INTERVAL_GAIN * (
            interval_s - self._report_interval_s
        )
        self.update_load(
            types.Load(report.running, report.waiting, report.slots), now
        )
        self.loading = report.loading
        self.yielding = report.yielding
        self.entries = report.entries
        self.evacuated = report.evacuated
        if report.cold_s:
            self.cold_until = max(self.cold_until, now + report.cold_s)
        self.ready_at = math.inf
        if report.ready_in_s >= 0.0:
            self.ready_at = now + report.ready_in_s
        readable_prompts = interval_s / reading_s if reading_s else math.inf
        self._update_share(
            report, min(readable_prompts, memory_requests - report.running)
        )
        if report.limit is not None:
            self.signals.apply_relayed(report.limit)
        if 0 <= report.follower_rank < report.followers:
            self.signals.set_position(
                rate_limit.Position(report.follower_rank, report.followers)
            )
        if 0 <= report.rank < report.entries:
            self.signals.entry_position = rate_limit.Position(
                report.rank, report.entries
            )
        self.pace = max(1.0, report.pace)
        if report.round_trip_s is not None:
            self.transit.record_answer(report.round_trip_s, now)
        self.set_version(report.version if report.whole else 0)
        self.weights_incomplete = not report.whole

    def has_share(self, now: float, kept: float = 0.0) -> bool:
        """Returns whether this entry may use one more of the free slots.

        While no agent reports, each entry lets the server read one prompt at a
        time: after a power failure, nine servers once received 109 requests
        within 250 ms, all of which were late. When a server becomes followed,
        its first report is awaited, as many entries may start to follow it at
        the same time.

        Args:
          now: Monotonic seconds.
          kept: Part of its slots that is kept for more urgent requests.
        """
        if not self.followed:
            return False
        if now - self._last_report_at > _MAX_REPORT_AGE_S or not self.entries:
            return now >= self._first_report_due_at and not self.unread_tokens
        if not kept or self._share < 1.0:
            return self._share >= 1.0
        free = self._free_slots - kept * self.server.slots
        used = self._offered - self._share
        slots = min(free, self._readable_prompts)
        return self._round_share(slots) - used >= 1.0

    def has_memory(self, need: server_memory.Need, now: float) -> bool:
        """Returns whether a request fits into the server's memory."""
        others = self.estimated_requests(now) - self.in_flight
        report = self._last_report
        if report is None or now - self._last_report_at > _MAX_REPORT_AGE_S:
            return need.fits(self.held_tokens, others)
        used = report.memory_used * need.capacity_tokens
        if not need.fits(
            self.held_tokens, others, max(0.0, used - self._held_at_report)
        ):
            return False
        taken = max(
            used, (report.running + report.waiting) * need.typical_tokens
        )
        followers = report.followers or report.entries
        if need.fits_share(taken, followers, self._sent_tokens, 1.0):
            return True
        if self._memory_draw is None:
            self._memory_draw = self._rng.random()
        return need.fits_share(
            taken, followers, self._sent_tokens, self._memory_draw
        )

    def begin_request(self, tokens: int = 0) -> None:
        """Counts a request that is sent to the server, and its tokens."""
        self.in_flight += 1
        self.held_tokens += tokens
        self._sent_tokens += tokens
        self._share -= 1.0

    def end_request(self, tokens: int = 0) -> None:
        """Counts a request that has ended; this entry may reuse its slot."""
        self.in_flight -= 1
        self.held_tokens -= tokens
        self._sent_tokens -= tokens
        self._share += 1.0

    def record_sent(self, now: float, tokens: int = 0) -> None:
        """Records when a request is sent to the server, and its tokens."""
        self._unreported.record(now, tokens)

    def _update_share(
        self, report: reports.Report, readable_prompts: float
    ) -> None:
        """Computes this entry's share of the slots reported free.

        All entries see the same free slots at the same time. If each used all
        of them, a server with one free slot would get a request from every
        entry, and all but one would be late. So free slots, bounded by what
        the engine can read until the next report, are divided among entries by
        their demand: under overload any further prompt would be read in vain,
        and late. Slots that this entry used since the load was observed are
        reported free, too.

        Args:
          report: The report of the server's agent.
          readable_prompts: Prompts that the engine reads between two reports.
        """
        free = report.slots - report.running - report.waiting
        # A server that has just loaded reports all of its slots free; the last
        # of 16 requests would wait until the prompts of all others are read.
        capacity = min(free, readable_prompts - report.waiting)
        entries = max(1, report.followers or report.entries)
        self._part = 1.0 / entries
        if self._unreported.known:
            # Else entries with a larger part would use more slots twice.
            self._part *= slot_shares.relative_share(
                self.demand, report.demand, entries
            )
        self._unreported_requests = self._unreported.count(self._last_report_at)
        self._free_slots = free
        self._readable_prompts = readable_prompts - report.waiting
        self._draw = self._rng.random()
        self._offered = self._round_share(capacity)
        self._share = self._offered

    def _round_share(self, slots: float) -> float:
        """Returns this entry's part of slots, rounded by this report's draw."""
        share = max(0.0, slots * self._part - self._unreported_requests)
        whole_slots = int(share)
        return float(whole_slots + (self._draw < share - whole_slots))

    def estimated_requests(self, now: float) -> float:
        """Returns the estimated number of requests at the server."""
        age = now - self._load_at
        return self.in_flight + self._other_requests * math.exp(
            -age / _LOAD_DECAY_S
        )

    def waiting(self, now: float) -> int:
        """Returns the requests in its queue; 0 if its agent is silent."""
        report = self._last_report
        if report is None or now - self._last_report_at > _MAX_REPORT_AGE_S:
            return 0
        return report.waiting

    def record_identity(self, server_id: str) -> None:
        """Records which start answered at the server's address.

        A start that is over never returns. The platform still lists it until
        its listing expires, so requests would be sent to it again.
        """
        self.replaced = server_id != self.server.server_id

    def record_success(self, now: float) -> None:
        """Records a complete answer."""
        self.heard_at = now
        self._answering_since = min(self._answering_since, now)
        steady_s = now - self._answering_since
        if steady_s >= _STEADY_COOLDOWNS * self._cooldown_s:
            self._cooldown_s = _MIN_COOLDOWN_S
        self.failure_rate *= 1.0 - _FAILURE_GAIN

    def record_failure(self) -> None:
        """Records a failed or interrupted answer."""
        self.failure_rate += _FAILURE_GAIN * (1.0 - self.failure_rate)

    def record_unreachable(self, now: float) -> None:
        """Records a failed or reset connection and starts a cooldown."""
        self.record_failure()
        self._answering_since = math.inf
        self.cooldown_until = now + self._cooldown_s
        self._cooldown_s = min(2 * self._cooldown_s, _MAX_COOLDOWN_S)

    def set_version(self, version: int) -> None:
        """Sets the version of the weights that it answers with."""
        self.version = version

    def held_version(self, layers: int) -> int:
        """Returns the version that it holds completely; 0 if none.

        Args:
          layers: Number of layers of the model.
        """
        if self.weights_incomplete:
            return 0
        return self.version or self.server.version(layers)

    def serves(self, min_version: int, layers: int) -> bool:
        """Returns whether it holds all layers of at least a given version."""
        return self.held_version(layers) >= min_version
