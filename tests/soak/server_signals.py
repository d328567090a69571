"""A soak of entries with servers that report limits, leave, or ask for backoff.

Requests that reach a server from an entry that has received its report are
checked against the platform's bounds. Reports from before an entry was paused
or restarted do not count: the entry may never have read them.
"""

import asyncio
import collections

import entries

LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 3.0
DRAIN_S = 2.0
REPORT_DELAY_S = 0.5
# Requests of one incarnation of an entry that may arrive during a backoff.
MAX_IN_BACKOFF = 2


class Signals:
    """What one start of a server reports, and which entries received it.

    Times are in seconds since the soak began.

    Attributes:
      limit: The rate limit in requests per second; None for none.
      limit_set_at: When the limit was set.
      leaving: Whether the server leaves.
      backoff_until: Until when the server rejects all requests.
      limit_reported_at: When the limit was first reported, by incarnation.
      leaving_reported_at: When leaving was first reported, by incarnation.
      backoffs: The backoffs asked for, each as an incarnation, the start, the
        end, and the arrivals in between.
      arrivals: When requests arrived from incarnations with a reported limit.
    """

    def __init__(self):
        self.limit = None
        self.limit_set_at = 0.0
        self.leaving = False
        self.backoff_until = 0.0
        self.limit_reported_at = {}
        self.leaving_reported_at = {}
        self.backoffs = []
        self.arrivals = []

    def headers(self):
        """Returns the headers of an answer that report the signals."""
        found = []
        if self.limit is not None:
            found.append(f"Server-Limit: {self.limit}")
        if self.leaving:
            found.append("Server-Leaving: 1")
        return tuple(found)


class Soak(entries.Soak):
    """Runs one seed against entries whose servers report signals."""

    def __init__(self, *args):
        super().__init__(*args)
        self._signals = collections.defaultdict(Signals)

    async def _serve(self, server, call):
        signals, now = self._signals[server.name], self.now
        sent = self.checker.sent.get(call.attempt_id)
        entry = self.entry_of.get(call.attempt_id)
        if sent is not None and entry is not None:
            self._check_request(server.name, signals, entry, sent.sent_at, now)
        call.extra_headers = signals.headers()
        if now < signals.backoff_until:
            self.checker.record_arrival(call.attempt_id, now)
            pause_s = round(signals.backoff_until - now, 2)
            call.extra_headers += (f"Retry-After: {pause_s}",)
            call.reject()
            if entry is not None:
                backoff = (_incarnation(entry), now, now + pause_s, [])
                signals.backoffs.append(backoff)
            return
        if entry is not None and call.extra_headers:
            self._record_reported(signals, entry)
        await super()._serve(server, call)

    def _record_reported(self, signals, entry):
        incarnation = _incarnation(entry)
        # The answer with the report is sent within milliseconds.
        if signals.limit is not None:
            signals.limit_reported_at.setdefault(incarnation, self.now)
        if signals.leaving:
            signals.leaving_reported_at.setdefault(incarnation, self.now)

    def _check_request(self, name, signals, entry, sent_at, now):
        incarnation = _incarnation(entry)
        reported_at = signals.leaving_reported_at.get(incarnation)
        # A request takes at most half a second to arrive, as does its answer.
        if (
            reported_at is not None
            and sent_at > reported_at + DRAIN_S + REPORT_DELAY_S
        ):
            late_s = round(sent_at - reported_at, 2)
            self.checker.violations.append(
                f"leaving: {name} {late_s} s after report"
            )
        for receiver, began, end, arrivals in signals.backoffs:
            if receiver == incarnation and began + REPORT_DELAY_S < now < end:
                arrivals.append(now)
                if len(arrivals) > MAX_IN_BACKOFF:
                    self.checker.violations.append(
                        f"backoff: {name} got {arrivals}"
                    )
        if signals.limit is not None:
            self._check_limit(name, signals, incarnation, now)

    def _check_limit(self, name, signals, incarnation, now):
        if (
            signals.limit_reported_at.get(incarnation, now)
            <= now - REPORT_DELAY_S
        ):
            signals.arrivals.append(now)
        if now < signals.limit_set_at + LIMIT_SETTLE_S + LIMIT_WINDOW_S:
            return
        count = sum(at > now - LIMIT_WINDOW_S for at in signals.arrivals)
        if count > 1.5 * signals.limit * LIMIT_WINDOW_S + 5:
            self.checker.violations.append(
                f"limit: {name} got {count} at {signals.limit} per second"
            )

    def _fault_actions(self, store_port):
        actions = {
            "limit": self._fault_limit,
            "leave": self._fault_leave,
            "leave_unlisted": self._fault_leave_unlisted,
            "pause": self._fault_backoff,
        }
        return {**super()._fault_actions(store_port), **actions}

    async def _fault_limit(self):
        """A server reports a rate limit for a while."""
        signals = self._signals[self._rng.choice(self.servers).name]
        if signals.limit is not None:
            return
        signals.arrivals.clear()
        signals.limit_reported_at.clear()
        signals.limit, signals.limit_set_at = (
            self._rng.choice((0.5, 1, 2.4)),
            self.now,
        )
        await asyncio.sleep(self._rng.uniform(4.0, 9.0))
        signals.limit = None

    async def _fault_leave(self):
        """A server reports that it leaves, well before the list shows it."""
        server = self._rng.choice(self.servers)
        signals = self._signals[server.name]
        if signals.leaving:
            return
        signals.leaving = True
        await asyncio.sleep(self._rng.uniform(2.0, 5.0))
        if server in self.servers and self._signals[server.name] is signals:
            await self._replace_server(server)

    async def _fault_leave_unlisted(self):
        """A server leaves while the store is unreachable."""
        self.store_proxy.mode = "silence"
        await self._fault_leave()
        self.store_proxy.mode = "pass"

    async def _replace_server(self, server):
        former, server.name = server.name, f"{server.name}y"
        self.store.put("keyed.servers", former, None)
        self._put_record(server)

    async def _fault_backoff(self):
        """A server rejects all requests and asks for backoff."""
        signals = self._signals[self._rng.choice(self.servers).name]
        signals.backoff_until = self.now + self._rng.uniform(1.0, 3.0)


def _incarnation(entry):
    """Identifies a start of an entry and the span since its last pause."""
    return (entry.number, entry.started_at, entry.pause_count)
