"""Entries before servers that report limits, leave, or ask for pauses.

Judged is what reaches a server from an entry that it has told, by the bounds of
the platform. A process that was paused or started again is not held to what was
said before: it may never have read it.
"""

import asyncio
import collections

import entries

LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 3.0
DRAIN_S = 2.0
REPORT_DELAY_S = 0.5
MAX_IN_BACKOFF = 2


class Signals:
    """What one start of a server says, and to whom it has said it."""

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
        found = []
        if self.limit is not None:
            found.append(f"Server-Limit: {self.limit}")
        if self.leaving:
            found.append("Server-Leaving: 1")
        return tuple(found)


class Soak(entries.Soak):
    """One seed."""

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
                mark = (_incarnation(entry), now, now + pause_s, [])
                signals.backoffs.append(mark)
            return
        if entry is not None and call.extra_headers:
            self._record_reported(signals, entry)
        await super()._serve(server, call)

    def _record_reported(self, signals, entry):
        told = _incarnation(entry)
        # Its answer leaves within a moment.
        if signals.limit is not None:
            signals.limit_reported_at.setdefault(told, self.now)
        if signals.leaving:
            signals.leaving_reported_at.setdefault(told, self.now)

    def _check_request(self, name, signals, entry, sent_at, now):
        told = _incarnation(entry)
        left_at = signals.leaving_reported_at.get(told)
        # A request is half a second under way at most, its answer too.
        if left_at is not None and sent_at > left_at + DRAIN_S + REPORT_DELAY_S:
            late_s = round(sent_at - left_at, 2)
            self.checker.violations.append(f"leaving: {name} {late_s} s after")
        for whom, began, end, got in signals.backoffs:
            if whom == told and began + REPORT_DELAY_S < now < end:
                got.append(now)
                if len(got) > MAX_IN_BACKOFF:
                    self.checker.violations.append(f"pause: {name} got {got}")
        if signals.limit is not None:
            self._check_limit(name, signals, told, now)

    def _check_limit(self, name, signals, told, now):
        if signals.limit_reported_at.get(told, now) <= now - REPORT_DELAY_S:
            signals.arrivals.append(now)
        if now < signals.limit_set_at + LIMIT_SETTLE_S + LIMIT_WINDOW_S:
            return
        count = sum(at > now - LIMIT_WINDOW_S for at in signals.arrivals)
        if count > 1.5 * signals.limit * LIMIT_WINDOW_S + 5:
            self.checker.violations.append(
                f"limit: {name} got {count} at {signals.limit} a second"
            )

    def _fault_actions(self, store_port):
        more = {
            "limit": self._fault_limit,
            "leave": self._fault_leave,
            "leave_unlisted": self._fault_leave_unlisted,
            "pause": self._fault_backoff,
        }
        return {**super()._fault_actions(store_port), **more}

    async def _fault_limit(self):
        """A server is in need for a while."""
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
        """A server says so itself, well before the list does."""
        server = self._rng.choice(self.servers)
        signals = self._signals[server.name]
        if signals.leaving:
            return
        signals.leaving = True
        await asyncio.sleep(self._rng.uniform(2.0, 5.0))
        if server in self.servers and self._signals[server.name] is signals:
            await self._replace_server(server)

    async def _fault_leave_unlisted(self):
        """A server leaves while the store answers nobody."""
        self.store_proxy.mode = "silence"
        await self._fault_leave()
        self.store_proxy.mode = "pass"

    async def _replace_server(self, server):
        former, server.name = server.name, f"{server.name}y"
        self.store.put("keyed.servers", former, None)
        self._put_record(server)

    async def _fault_backoff(self):
        """A server rejects all and asks for pauses."""
        signals = self._signals[self._rng.choice(self.servers).name]
        signals.backoff_until = self.now + self._rng.uniform(1.0, 3.0)


def _incarnation(entry):
    """Names one start of an entry, up to its last pause."""
    return (entry.number, entry.started_at, entry.pause_count)
