"""Signals that backend servers send about themselves in their answers.

Signals belong to a start of a server, not to its address or its record in the
platform's list, since the list may be unavailable or shrink and recover.
"""

import collections
from collections.abc import Callable
import math

from clementinegw.direct import _events
from clementinegw.direct import rate_limit
from clementinegw.direct import types
from clementinegw.scheduling import cold_starts
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# How long the position at a cold server has to be unchanged before it counts,
# in seconds: longer than entries need to subscribe and to be told. While a
# server that came back gets its subscribers one by one, the positions of the
# first ones would be among few entries.
_SETTLED_S = 1.5
# How long an observation is relayed to other entries, in seconds: several
# subscription rounds.
_RELAY_FOR_S = 10.0
# Longest backoff that a server may ask for, in seconds, so that a faulty value
# does not disable it forever.
_MAX_BACKOFF_S = 300.0
# Number of remembered starts, including those no longer listed: several times
# the servers of a large deployment.
_MAX_STARTS = 4_096


class Signals:
    """Signals of one start of a server.

    Attributes:
      leaving: Whether the server reported that it is leaving; this is final.
      backoff_until: End of the backoff that it asked this entry for, in
        monotonic seconds.
      limited: Whether a rate limit is in force: one that the server reported,
        or that of a cold server.
      cold: Whether the server is cold.
      limiter: Limits this entry to its share of the stricter one.
      position: This entry's position among the entries that send to the server,
        as reported by the server's agent; None if unknown. Set it with
        `set_position`.
      entry_position: This entry's position among all entries, likewise.
    """

    def __init__(
        self,
        start: types.ServerStart,
        fleet_position: Callable[[], rate_limit.Position],
        wall_clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        self.start = start
        self.leaving = False
        self.backoff_until = -math.inf
        self.limited = False
        self.cold = False
        self.position: rate_limit.Position | None = None
        self.entry_position: rate_limit.Position | None = None
        self.limiter = rate_limit.Limiter(
            start.server_id,
            self._slot_position,
            wall_clock,
        )
        self._fleet_position = fleet_position
        self._wall_clock = wall_clock
        self._position_since = -math.inf
        self._log = log
        self._counters = counters
        self._observed: rate_limit.Observation | None = None
        self._limit_at = -math.inf
        self._reported_per_s: float | None = None
        self._cold_limit: cold_starts.Limit | None = None
        self._malformed: frozenset[str] = frozenset()

    def recent_observation(self, now: float) -> rate_limit.Observation | None:
        """Returns the last rate limit observed by this entry; None if old.

        Only this entry's own observations are relayed, as an observation that
        is relayed twice would seem newer each time.

        Args:
          now: Monotonic seconds.
        """
        if self._observed is None or now - self._observed.at > _RELAY_FOR_S:
            return None
        return self._observed

    def apply(
        self, metadata: types.AnswerMetadata, sent_at: float, now: float
    ) -> None:
        """Applies the signals of an answer.

        Args:
          metadata: Metadata of the answer.
          sent_at: When the request was sent, in monotonic seconds.
          now: Monotonic seconds.
        """
        self._log_malformed(metadata.malformed)
        if metadata.leaving:
            self._apply_leaving()
        if metadata.backoff_s:
            self._apply_backoff(min(metadata.backoff_s, _MAX_BACKOFF_S), now)
        if "limit_per_s" not in metadata.malformed:
            self._apply_limit(metadata.limit_per_s, sent_at, now)

    def _apply_leaving(self) -> None:
        if self.leaving:
            return
        self.leaving = True
        self._counters.add("direct.server_leaving")
        self._log.write(
            _events.SERVER_LEAVING,
            server=self.start.server_id,
            born=self.start.started_ms,
        )

    def _apply_backoff(self, backoff_s: float, now: float) -> None:
        if self.backoff_until <= now:
            self._counters.add("direct.server_backoff")
            self._log.write(
                _events.SERVER_BACKOFF,
                server=self.start.server_id,
                born=self.start.started_ms,
                pause_s=round(backoff_s, 3),
            )
        # Every answer asks for its own backoff, so a later, shorter one does
        # not end a longer one.
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def _apply_limit(
        self, per_s: float | None, sent_at: float, now: float
    ) -> None:
        if per_s is None and sent_at <= self._limit_at:
            # Answers on different connections may be reordered, so only a
            # request sent after the last report shows that the limit has ended.
            return
        if per_s is None and self._reported_per_s is None:
            return
        self._observed = rate_limit.Observation(self.start, per_s, now)
        self._set_limit(self._observed, "answer")

    def apply_relayed(self, observation: rate_limit.Observation) -> None:
        """Applies an observation of another entry, relayed by the agent."""
        same = self.start.matches(observation.start)
        if same and observation.at > self._limit_at:
            self._set_limit(observation, "agent")

    def set_position(self, position: rate_limit.Position) -> None:
        """Sets this entry's position among those that send to the server."""
        if position != self.position:
            self.position = position
            self._position_since = self._wall_clock()

    def _slot_position(self) -> rate_limit.Position:
        """Returns the position by which the entry takes its turns."""
        if self.position is None:
            return self._fleet_position()
        # The time of day may have been set back.
        age_s = abs(self._wall_clock() - self._position_since)
        if self.cold and age_s < _SETTLED_S:
            return self._fleet_position()
        return self.position

    def set_cold(self, limit: cold_starts.Limit | None) -> None:
        """Sets the limit while the server is cold; None once it is warm."""
        if limit == self._cold_limit:
            return
        self._cold_limit = limit
        self.cold = limit is not None
        self._update_limiter("cold")

    def _set_limit(
        self, observation: rate_limit.Observation, source: str
    ) -> None:
        self._limit_at = observation.at
        self._reported_per_s = observation.per_s
        self._update_limiter(source)

    def _update_limiter(self, source: str) -> None:
        """Applies the stricter one of the limits in force."""
        was = self.limiter.per_s
        per_s, cold = self._reported_per_s, self._cold_limit
        validity = rate_limit.Validity()
        if cold is not None:
            validity = rate_limit.Validity(
                cold.valid_s, cold_starts.VALID_SLOTS
            )
            per_s = cold.per_s if per_s is None else min(per_s, cold.per_s)
        self.limited = per_s is not None
        self.limiter.set_limit(per_s, validity)
        if self.limiter.per_s != was:
            self._counters.add("direct.server_limit.changed")
            self._log.write(
                _events.SERVER_LIMIT_CHANGED,
                server=self.start.server_id,
                born=self.start.started_ms,
                per_s=self.limiter.per_s,
                was=was,
                position=str(self.limiter.position),
                source=source,
            )

    def _log_malformed(self, fields: frozenset[str]) -> None:
        """Logs newly malformed fields, once until they are readable again."""
        for field in fields - self._malformed:
            self._log.write(
                _events.SERVER_SIGNAL_MALFORMED,
                server=self.start.server_id,
                born=self.start.started_ms,
                field=field,
            )
        for field in fields:
            self._counters.add(f"direct.server_signal.malformed.{field}")
        self._malformed = fields


class Registry:
    """Signals of all starts of servers."""

    def __init__(
        self,
        fleet_position: Callable[[], rate_limit.Position],
        wall_clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Initializes an empty registry.

        Args:
          fleet_position: Returns this entry's position among all entries.
          wall_clock: Returns the time of day in seconds.
          log: Log for events.
          counters: Counters for changed and malformed signals.
        """
        self._fleet_position = fleet_position
        self._wall_clock = wall_clock
        self._log = log
        self._counters = counters
        self._by_server: collections.OrderedDict[str, Signals]
        self._by_server = collections.OrderedDict()

    def get(self, start: types.ServerStart) -> Signals:
        """Returns the signals of a start, which are new for a new start."""
        signals = self._by_server.get(start.server_id)
        if signals is None or not signals.start.matches(start):
            signals = Signals(
                start,
                self._fleet_position,
                self._wall_clock,
                self._log,
                self._counters,
            )
            self._by_server[start.server_id] = signals
        elif start.started_ms:
            # The platform may list a start before its start time is known.
            signals.start = start
        self._by_server.move_to_end(start.server_id)
        while len(self._by_server) > _MAX_STARTS:
            self._by_server.popitem(last=False)
        return signals
