"""Checks guarantees from outside, by what callers and servers observe."""

import collections
import dataclasses


@dataclasses.dataclass
class SentRequest:
    """A request as its caller sent it.

    Attributes:
      kind: safe, once, stream, or stream_once for one that is not resumed.
      key: Its API key.
      sent_at: When it was sent, in seconds.
      status: The status of its complete answer; 0 for none.
    """

    kind: str
    key: str
    sent_at: float
    status: int = 0


class Checker:
    """Records what callers and servers observe and lists violations.

    Times are in seconds since the soak began.

    Attributes:
      sent: Each request, by attempt id.
      runs: How often servers began to run an attempt id.
      arrivals: How often an attempt id arrived at servers.
      retries: When an attempt id arrived again, a time for each arrival.
      violations: A line for each guarantee that was violated.
      revoked_at: When each revoked API key was revoked.
    """

    def __init__(self, ratio, slack):
        """Starts without records.

        Args:
          ratio: Retries allowed for each request.
          slack: Retries allowed in a window besides those.
        """
        self._ratio = ratio
        self._slack = slack
        self.sent = {}
        self.runs = collections.Counter()
        self.arrivals = collections.Counter()
        self.retries = []
        self.violations = []
        self.revoked_at = {}

    def record_sent(self, attempt_id, kind, key, sent_at):
        self.sent[attempt_id] = SentRequest(kind, key, sent_at)

    def record_arrival(self, attempt_id, at):
        if self.arrivals[attempt_id]:
            self.retries.append(at)
        self.arrivals[attempt_id] += 1

    def record_run(self, server, call):
        """Records that a server begins to run a request, and checks it."""
        attempt_id = call.attempt_id
        self.runs[attempt_id] += 1
        sent = self.sent.get(attempt_id)
        if sent is None:
            self._add_violation(
                "unknown request", f"{attempt_id} was never sent"
            )
            return
        if call.headers.get("x-clementinegw-expect-instance") != server.name:
            self._add_violation(
                "wrong server", f"{attempt_id} ran on {server.name}"
            )
        if sent.kind.endswith("once") and self.runs[attempt_id] > 1:
            self._add_violation("at most once", f"{attempt_id} ran again")
        revoked_at = self.revoked_at.get(sent.key)
        if revoked_at is not None and sent.sent_at > revoked_at + 5.0:
            late_s = round(sent.sent_at - revoked_at, 2)
            self._add_violation(
                "revoked key", f"{attempt_id} ran, sent {late_s} s after"
            )
        if "authorization" in call.headers:
            self._add_violation(
                "key forwarded", f"{attempt_id} reached a server with its key"
            )

    def record_answer(self, attempt_id, answer):
        """Records the answer that the caller received, and checks it."""
        sent = self.sent[attempt_id]
        sent.status = answer.status if answer.complete else 0
        if answer.status != 200 or not answer.complete:
            return
        if sent.kind.startswith("stream"):
            numbers = [
                int(line[4:])
                for line in answer.body.split(b"\n")
                if line.startswith(b"id: ")
            ]
            if numbers != list(range(1, len(numbers) + 1)) or not numbers:
                self._add_violation("event order", f"{attempt_id}: {numbers}")
            elif f"end {attempt_id}".encode() not in answer.body:
                self._add_violation(
                    "incomplete stream", f"{attempt_id} ends at {numbers[-1]}"
                )
        elif answer.body != f"answer to {attempt_id}".encode():
            self._add_violation(
                "wrong answer", f"{attempt_id}: {answer.body[:60]}"
            )

    def finish(self):
        """Checks what can be checked only at the end."""
        for attempt_id, sent in self.sent.items():
            if sent.status in (503, 429) and self.runs[attempt_id]:
                self._add_violation(
                    "false refusal", f"{attempt_id} got {sent.status} and ran"
                )
        self._check_retry_budget()
        if not any(sent.status == 200 for sent in self.sent.values()):
            self._add_violation("service", "no request was answered with 200")

    def _check_retry_budget(self):
        """Checks every window of ten seconds, in steps of one second."""
        sent_at = sorted(sent.sent_at for sent in self.sent.values())
        end = int(max([*sent_at, *self.retries], default=0)) + 1
        for start in range(-9, end):
            retries = _count_between(self.retries, start, start + 10)
            # Retries may be due to requests of the previous window or of one
            # that began half a window earlier; the largest count applies.
            requests = max(
                _count_between(sent_at, start - offset, start - offset + 10)
                for offset in (0, 5, 10)
            )
            if retries > self._ratio * requests + self._slack:
                self._add_violation(
                    "retry budget", f"{retries} retries, {requests} requests"
                )
                return

    def served_share_since(self, since):
        """Returns the share of requests sent since then that got a 200.

        Requests with a key that has been revoked are left out.
        """
        recent = [
            sent
            for sent in self.sent.values()
            if sent.sent_at >= since and sent.key not in self.revoked_at
        ]
        served = sum(sent.status == 200 for sent in recent)
        return served / max(1, len(recent))

    def _add_violation(self, kind, text):
        self.violations.append(f"{kind}: {text}")


def _count_between(times, start, end):
    return sum(start <= at < end for at in times)
