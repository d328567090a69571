"""Judges promises from what callers and servers saw, not from the system."""

import collections
import dataclasses


@dataclasses.dataclass
class SentRequest:
    """A request as its caller sent it.

    Attributes:
      kind: safe, once or stream.
      key: Its API key.
      sent_at: When it was sent, in seconds.
      status: What it was told; 0 for no answer.
    """

    kind: str
    key: str
    sent_at: float
    status: int = 0


class Checker:
    """Collects what was seen and lists the promises that were broken."""

    def __init__(self, ratio, slack):
        self._ratio = ratio
        self._slack = slack
        self.sent = {}
        self.runs = collections.Counter()
        self.arrivals = collections.Counter()
        self.retries = []
        self.violations = []
        self.revoked_at = {}

    def record_sent(self, attempt_id, kind, key, at):
        self.sent[attempt_id] = SentRequest(kind, key, at)

    def record_arrival(self, attempt_id, at):
        if self.arrivals[attempt_id]:
            self.retries.append(at)
        self.arrivals[attempt_id] += 1

    def record_run(self, server, call):
        """Takes a run, as the server sees it begin."""
        attempt_id = call.attempt_id
        self.runs[attempt_id] += 1
        sent = self.sent.get(attempt_id)
        if sent is None:
            self._add_violation("asked for", f"{attempt_id} was never sent")
            return
        if call.headers.get("x-clementinegw-expect-instance") != server.name:
            self._add_violation(
                "own server", f"{attempt_id} ran at {server.name}"
            )
        if sent.kind == "once" and self.runs[attempt_id] > 1:
            self._add_violation("at most once", f"{attempt_id} ran again")
        at = self.revoked_at.get(sent.key)
        if at is not None and sent.sent_at > at + 5.0:
            late = round(sent.sent_at - at, 2)
            self._add_violation("keys gone", f"{attempt_id} ran {late} s after")
        if "authorization" in call.headers:
            self._add_violation(
                "key kept", f"{attempt_id}: the key was passed on"
            )

    def record_answer(self, attempt_id, answer):
        """Takes what the caller got."""
        sent = self.sent[attempt_id]
        sent.status = answer.status if answer.complete else 0
        if answer.status != 200 or not answer.complete:
            return
        if sent.kind == "stream":
            numbers = [
                int(line[4:])
                for line in answer.body.split(b"\n")
                if line.startswith(b"id: ")
            ]
            if numbers != list(range(1, len(numbers) + 1)) or not numbers:
                self._add_violation("order", f"{attempt_id}: {numbers}")
            elif f"end {attempt_id}".encode() not in answer.body:
                self._add_violation(
                    "whole", f"{attempt_id} ends at {numbers[-1]}"
                )
        elif answer.body != f"answer to {attempt_id}".encode():
            self._add_violation(
                "own answer", f"{attempt_id}: {answer.body[:60]}"
            )

    def finish(self):
        """Judges what can be judged at the end only."""
        for attempt_id, sent in self.sent.items():
            if sent.status in (503, 429) and self.runs[attempt_id]:
                self._add_violation(
                    "not run", f"{attempt_id} was told {sent.status}"
                )
        self._check_retry_budget()
        if not any(sent.status == 200 for sent in self.sent.values()):
            self._add_violation("service", "nothing was served")

    def _check_retry_budget(self):
        """Judges every window of ten seconds, a step of one second each."""
        asked = sorted(sent.sent_at for sent in self.sent.values())
        end = int(max([*asked, *self.retries], default=0)) + 1
        for start in range(-9, end):
            retries = _count_between(self.retries, start, start + 10)
            # What is asked in the window before, or half a window before,
            # counts where it is more.
            requests = max(
                _count_between(asked, start - back, start - back + 10)
                for back in (0, 5, 10)
            )
            if retries > self._ratio * requests + self._slack:
                self._add_violation(
                    "budget", f"{retries} repeats of {requests}"
                )
                return

    def served_share_since(self, at):
        """Returns the share of what was sent since then that was served."""
        late = [
            sent
            for sent in self.sent.values()
            if sent.sent_at >= at and sent.key not in self.revoked_at
        ]
        good = sum(sent.status == 200 for sent in late)
        return good / max(1, len(late))

    def _add_violation(self, promise, text):
        self.violations.append(f"{promise}: {text}")


def _count_between(times, start, end):
    return sum(start <= at < end for at in times)
