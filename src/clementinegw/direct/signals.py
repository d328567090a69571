"""What backend servers report about themselves in their answers.

It is attached to a start of a server, not to its address or its record in the
platform's list: the list may be away, shrink and come back meanwhile.
"""

import collections
from collections.abc import Callable
import math

from clementinegw.direct import _events
from clementinegw.direct import rate_limit
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# How long an observation is relayed to other entries, in seconds: some rounds
# of subscriptions.
_RELAY_FOR_S = 10.0
# The longest pause that a server may ask for, in seconds: a faulty value must
# not take it out for ever.
_MAX_BACKOFF_S = 300.0
# Starts that are remembered, also after they are gone from the list: some
# times the servers of a large deployment.
_MAX_STARTS = 4_096


class Signals:
    """What one start of a server has reported.

    Attributes:
      leaving: Whether it has said that it leaves; it never takes that back.
      backoff_until: The end of the pause that it asked this entry for, in
        monotonic seconds.
      limited: Whether a rate limit is in force.
      limiter: Keeps this entry's part of the server's rate limit.
      position: This entry's position among those that send to the server, as
        the agent beside it reports; None while none does.
      entry_position: The same among all entries.
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
        self.position: rate_limit.Position | None = None
        self.entry_position: rate_limit.Position | None = None
        self.limiter = rate_limit.Limiter(
            start.server_id,
            lambda: self.position or fleet_position(),
            wall_clock,
        )
        self._log = log
        self._counters = counters
        self._observed: rate_limit.Observation | None = None
        self._limit_at = -math.inf
        self._malformed: frozenset[str] = frozenset()

    def recent_observation(self, now: float) -> rate_limit.Observation | None:
        """Returns what answers to this entry reported of the rate limit.

        Only own observations are relayed: relayed twice, an observation would
        seem newer each time. None when there is no recent one.
        """
        if self._observed is None or now - self._observed.at > _RELAY_FOR_S:
            return None
        return self._observed

    def apply(
        self, facts: types.AnswerMetadata, sent_at: float, now: float
    ) -> None:
        """Takes in what an answer reports.

        Args:
          facts: What the answer's head says.
          sent_at: When its request was sent, in monotonic seconds.
          now: Monotonic seconds.
        """
        self._log_malformed(facts.malformed)
        if facts.leaving:
            self._apply_leaving()
        if facts.backoff_s:
            self._apply_backoff(min(facts.backoff_s, _MAX_BACKOFF_S), now)
        if "limit_per_s" not in facts.malformed:
            self._apply_limit(facts.limit_per_s, sent_at, now)

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
        # Each answer asks for a pause of its own: a shorter one that comes
        # later does not end a longer one.
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def _apply_limit(
        self, per_s: float | None, sent_at: float, now: float
    ) -> None:
        if per_s is None and sent_at <= self._limit_at:
            # Answers overtake each other on their connections: only a request
            # that was sent after the last report shows that the limit ended.
            return
        if per_s is None and self.limiter.per_s is None:
            return
        self._observed = rate_limit.Observation(self.start, per_s, now)
        self._set_limit(self._observed, "answer")

    def apply_relayed(self, observation: rate_limit.Observation) -> None:
        """Takes in an observation of another entry, relayed by the agent."""
        same = self.start.matches(observation.start)
        if same and observation.at > self._limit_at:
            self._set_limit(observation, "agent")

    def _set_limit(
        self, observation: rate_limit.Observation, source: str
    ) -> None:
        self._limit_at = observation.at
        was = self.limiter.per_s
        self.limiter.set_limit(observation.per_s)
        self.limited = observation.per_s is not None
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
        """Logs fields that cannot be read, once until they can be."""
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
    """The signals of all starts."""

    def __init__(
        self,
        fleet_position: Callable[[], rate_limit.Position],
        wall_clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Starts empty.

        Args:
          fleet_position: Returns this entry's position among all entries.
          wall_clock: The time of day, in seconds.
          log: Where events go.
          counters: Counts changes, and what cannot be read.
        """
        self._fleet_position = fleet_position
        self._wall_clock = wall_clock
        self._log = log
        self._counters = counters
        self._by_server: collections.OrderedDict[str, Signals]
        self._by_server = collections.OrderedDict()

    def get(self, start: types.ServerStart) -> Signals:
        """Returns the signals of a start; new ones for one not seen before."""
        found = self._by_server.get(start.server_id)
        if found is None or not found.start.matches(start):
            found = Signals(
                start,
                self._fleet_position,
                self._wall_clock,
                self._log,
                self._counters,
            )
            self._by_server[start.server_id] = found
        elif start.started_ms:
            # The platform's list may name a start before its birth is known.
            found.start = start
        self._by_server.move_to_end(start.server_id)
        while len(self._by_server) > _MAX_STARTS:
            self._by_server.popitem(last=False)
        return found
