"""Checks that requests end with an answer and with a line in a log."""

import collections
import dataclasses
import json
import re

# The events that say how a request ended.
END_EVENTS = frozenset(
    {"request_done", "request_refused", "answer_broken_off", "request_failed"}
)
# Log fields that are shown with a violation.
_SHOWN_FIELDS = (
    *("timestamp", "event", "outcome", "reason", "cause", "status", "server"),
    *("sends", "runs", "events", "after_ms", "total_ms", "left_ms", "error"),
)
_ERRORS = re.compile(
    r"Task exception was never retrieved|Traceback \(most recent"
    r"|Exception in callback|\"event\": ?\"request_failed\""
)
# How late a close may be seen, and how long a line may be buffered, in seconds.
_SEEN_S = 0.2
_FLUSH_S = 0.5
# A request that nobody read may cross a close for this long, in seconds.
_CROSSING_S = 0.3


@dataclasses.dataclass
class Run:
    """A request that a server runs.

    Attributes:
      server: The server's name.
      at: When the request arrived there.
      end: How it ended: sending, answered, broken (by the server) or closed (by
        the entry).
      ended_at: When it ended.
    """

    server: str
    at: float
    end: str = "sending"
    ended_at: float = float("inf")


@dataclasses.dataclass
class Exchange:
    """A request on its caller's connection.

    Attributes:
      entry: The start of an entry that has the connection.
      kind: The kind of its route.
      manner: How its caller uses the connection.
      sent_at: When it was sent.
      limit_s: Its deadline or its route's timeout.
      ended_at: When its answer was complete or its connection closed.
      end: answered, closed, left (by the caller) or silent (no end at all).
      status: The status of its answer; 0 for none.
      bytes: The number of bytes received of the answer's body.
    """

    entry: tuple
    kind: str
    manner: str
    sent_at: float
    limit_s: float
    ended_at: float = float("inf")
    end: str = "left"
    status: int = 0
    bytes: int = 0


class Losses:
    """Records how requests ended and lists those that were lost.

    Times are in seconds since the soak began.

    Attributes:
      exchanges: Each request by its attempt id.
      runs: The runs of each request.
      link_faults: Faults of links to servers as server, start and end.
      killed: When each start of an entry was killed.
      terminated: When each start of an entry got SIGTERM.
      paused: Pauses of entries as start of the entry, start and end.
      stalls: Stalls of this process as start and end.
      ends: How often requests ended in each way.
    """

    def __init__(self, grace_s):
        self._grace_s = grace_s
        self._lines = collections.defaultdict(list)
        self.exchanges = {}
        self.runs = collections.defaultdict(list)
        self.link_faults = []
        self.killed = {}
        self.terminated = {}
        self.paused = []
        self.stalls = []
        self.ends = collections.Counter()

    def violations(self, logs):
        """Returns a line for each violation.

        Args:
          logs: The texts of all logs, by the entry's number.
        """
        found = []
        for number, text in logs.items():
            found += self._read_log(number, text)
        for attempt_id, exchange in self.exchanges.items():
            excuse = self._excuse(attempt_id, exchange)
            self.ends[excuse or "lost"] += 1
            if not excuse:
                found.append(self._describe("lost", attempt_id))
            if not self._has_line(attempt_id, exchange):
                found.append(self._describe("no line", attempt_id))
        return found

    def _read_log(self, number, text):
        found = []
        for line in text.splitlines():
            if _ERRORS.search(line):
                at = text.index(line)
                found.append(f"error: entry-{number}: {text[at : at + 900]}")
            if '"request"' not in line:
                continue
            fields = json.loads(line)
            self._lines[fields["request"]].append(
                (fields["event"], {f: fields.get(f) for f in _SHOWN_FIELDS})
            )
        return found

    def _excuse(self, attempt_id, exchange):
        """Returns why a request may end as it did; empty if it was lost."""
        if exchange.end in ("answered", "left"):
            return exchange.end
        if exchange.end == "silent":
            return ""
        sent_at, ended_at = exchange.sent_at, exchange.ended_at
        killed_at = self.killed.get(exchange.entry, float("inf"))
        term_at = self.terminated.get(exchange.entry, float("inf"))
        # A request that a silent link held may arrive after the end.
        runs = sorted(
            self.runs[attempt_id], key=lambda run: (run.at <= ended_at, run.at)
        )
        excuses = {
            "killed": ended_at >= killed_at,
            "grace": ended_at >= term_at + self._grace_s * 5 / 6,
            "deadline": ended_at >= sent_at + exchange.limit_s - _SEEN_S,
            "server": runs and self._is_broken(runs[-1], ended_at),
            "crossing": not runs
            and not exchange.status
            and not self._lines[attempt_id]
            and self._may_cross(exchange),
        }
        return next((name for name, holds in excuses.items() if holds), "")

    def _is_broken(self, run, until):
        return run.end == "broken" or any(
            server == run.server and start <= until and run.at <= end
            for server, start, end in self.link_faults
        )

    def _may_cross(self, exchange):
        unread_s = exchange.ended_at - exchange.sent_at - _CROSSING_S
        return unread_s <= 0 or any(
            entry == exchange.entry
            and start <= exchange.ended_at
            and exchange.sent_at <= end + _CROSSING_S
            for entry, start, end in self.paused
        )

    def _has_line(self, attempt_id, exchange):
        if not self.runs[attempt_id]:
            return True
        if any(event in END_EVENTS for event, _ in self._lines[attempt_id]):
            return True
        # Lines are buffered; those of the last moment die with the process.
        killed_at = self.killed.get(exchange.entry, float("inf"))
        worked_until = min(
            (
                start
                for entry, start, end in self.paused
                if entry == exchange.entry and start < killed_at <= end
            ),
            default=killed_at,
        )
        return exchange.ended_at >= worked_until - _FLUSH_S

    def _describe(self, kind, attempt_id):
        exchange = self.exchanges[attempt_id]
        runs = "; ".join(
            f"{run.server} at {run.at:.2f} {run.end} {run.ended_at:.2f}"
            for run in self.runs[attempt_id]
        )
        lines = [
            {k: v for k, v in fields.items() if v not in (None, "")}
            for _, fields in self._lines[attempt_id]
        ]
        marks = {
            "SIGTERM": self.terminated.get(exchange.entry),
            "SIGKILL": self.killed.get(exchange.entry),
            "paused": self._near(exchange, self.paused, exchange.entry),
            "harness stalled": self._near(exchange, self.stalls),
        }
        near = {name: mark for name, mark in marks.items() if mark}
        return (
            f"{kind}: {attempt_id} {exchange.kind} {exchange.manner} at "
            f"entry-{exchange.entry[0]} sent {exchange.sent_at:.2f} "
            f"{exchange.end} {exchange.ended_at:.2f} of {exchange.limit_s:.1f} "
            f"s, status {exchange.status}, {exchange.bytes} bytes; servers: "
            f"{runs or 'none'}; near: {near}; log: {lines or 'nothing'}"
        )

    def _near(self, exchange, spans, *prefix):
        return [
            tuple(round(at, 2) for at in span[len(prefix) :])
            for span in spans
            if span[: len(prefix)] == prefix
            and span[-2] <= exchange.ended_at
            and exchange.sent_at <= span[-1] + 1.0
        ]
