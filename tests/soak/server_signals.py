"""Entries before servers that report limits, leave, or ask for pauses.

Judged is what reaches a server from an entry that it has told, by the bounds of
the platform. A process that was paused or started again is not held to what was
said before: it may never have read it.
"""

import asyncio
import collections

import entries

SPAN_S = 4.0
SETTLED_S = 3.0
DRAIN_S = 2.0
NOTICE_S = 0.5
MOST_IN_PAUSE = 2


class Said:
    """What one start of a server says, and to whom it has said it."""

    def __init__(self):
        self.limit = None
        self.limit_since = 0.0
        self.leaving = False
        self.pause_until = 0.0
        self.told_limit = {}
        self.told_leaving = {}
        self.pauses = []
        self.arrived = []

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
        self._said = collections.defaultdict(Said)

    async def _serve(self, server, call):
        said, now = self._said[server.name], self.now
        sent = self.judge.sent.get(call.attempt_id)
        entry = self.asked_at.get(call.attempt_id)
        if sent is not None and entry is not None:
            self._judge(server.name, said, entry, sent.at, now)
        call.extra_headers = said.headers()
        if now < said.pause_until:
            self.judge.arrived(call.attempt_id, now)
            pause_s = round(said.pause_until - now, 2)
            call.extra_headers += (f"Retry-After: {pause_s}",)
            call.reject()
            if entry is not None:
                mark = (_incarnation(entry), now, now + pause_s, [])
                said.pauses.append(mark)
            return
        if entry is not None and call.extra_headers:
            self._tell(said, entry)
        await super()._serve(server, call)

    def _tell(self, said, entry):
        told = _incarnation(entry)
        # Its answer leaves within a moment.
        if said.limit is not None:
            said.told_limit.setdefault(told, self.now)
        if said.leaving:
            said.told_leaving.setdefault(told, self.now)

    def _judge(self, name, said, entry, asked_at, now):
        told = _incarnation(entry)
        left_at = said.told_leaving.get(told)
        # A request is half a second under way at most, its answer too.
        if left_at is not None and asked_at > left_at + DRAIN_S + NOTICE_S:
            late_s = round(asked_at - left_at, 2)
            self.judge.broken.append(f"leaving: {name} {late_s} s after")
        for whom, began, end, got in said.pauses:
            if whom == told and began + NOTICE_S < now < end:
                got.append(now)
                if len(got) > MOST_IN_PAUSE:
                    self.judge.broken.append(f"pause: {name} got {got}")
        if said.limit is not None:
            self._judge_limit(name, said, told, now)

    def _judge_limit(self, name, said, told, now):
        if said.told_limit.get(told, now) <= now - NOTICE_S:
            said.arrived.append(now)
        if now < said.limit_since + SETTLED_S + SPAN_S:
            return
        count = sum(at > now - SPAN_S for at in said.arrived)
        if count > 1.5 * said.limit * SPAN_S + 5:
            self.judge.broken.append(
                f"limit: {name} got {count} at {said.limit} a second"
            )

    def _table(self, store_port):
        more = {
            "limit": self._fault_limit,
            "leave": self._fault_leave,
            "leave_unlisted": self._fault_leave_unlisted,
            "pause": self._fault_pause,
        }
        return {**super()._table(store_port), **more}

    async def _fault_limit(self):
        """A server is in need for a while."""
        said = self._said[self._rng.choice(self.servers).name]
        if said.limit is not None:
            return
        said.arrived.clear()
        said.told_limit.clear()
        said.limit, said.limit_since = self._rng.choice((0.5, 1, 2.4)), self.now
        await asyncio.sleep(self._rng.uniform(4.0, 9.0))
        said.limit = None

    async def _fault_leave(self):
        """A server says so itself, well before the list does."""
        server = self._rng.choice(self.servers)
        said = self._said[server.name]
        if said.leaving:
            return
        said.leaving = True
        await asyncio.sleep(self._rng.uniform(2.0, 5.0))
        if server in self.servers and self._said[server.name] is said:
            await self._fault_server_of(server)

    async def _fault_leave_unlisted(self):
        """A server leaves while the store answers nobody."""
        self.store_proxy.mode = "silence"
        await self._fault_leave()
        self.store_proxy.mode = "pass"

    async def _fault_server_of(self, server):
        former, server.name = server.name, f"{server.name}y"
        self.store.put("keyed.servers", former, None)
        self._list(server)

    async def _fault_pause(self):
        """A server rejects all and asks for pauses."""
        said = self._said[self._rng.choice(self.servers).name]
        said.pause_until = self.now + self._rng.uniform(1.0, 3.0)


def _incarnation(entry):
    """Names one start of an entry, up to its last pause."""
    return (entry.number, entry.started_at, entry.paused)
