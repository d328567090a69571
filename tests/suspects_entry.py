"""A test double of an entry that tracks requests that crash servers."""

from clementinegw.direct import crash_trackers
from clementinegw.direct import server as servers
from clementinegw.direct import suspects


def request(body=b"", target="/safe/x"):
    """Returns a request with a body."""
    return servers.Request("POST", target, "h", (), body, 0.0)


class Entry:
    """A suspect tracker on a clock of its own.

    The methods are those of the tracker, with times relative to `clock_s`.
    """

    def __init__(self, clock_s=1_000.0):
        self.trackers = crash_trackers.Trackers()
        self.suspects = self.trackers.requests
        self.parts = self.trackers.parts
        self.clock_s = clock_s

    def record_crash(self, body, start, at, parts=()):
        now = self.clock_s + at
        self.suspects.record_crash(request(body), "c", start, now)
        self.parts.record_crash(parts, start, now, False)

    def record_answer(self, at, parts):
        now = self.clock_s + at
        self.parts.record_answer(parts, now, now)

    def record_refusal(self, body, at):
        key = suspects.fingerprint(request(body), "c")
        self.suspects.record_refusal(key, self.clock_s + at)

    def take_probe(self, body, at):
        key = suspects.fingerprint(request(body), "c")
        return self.suspects.take_probe(key, self.clock_s + at)

    def record_completion(self, body, at):
        self.suspects.record_completion(request(body), "c", self.clock_s + at)

    def is_refused(self, body, at, customer_name="c", parts=()):
        now = self.clock_s + at
        if self.parts.refused_part(parts, now) is not None:
            return True
        key = suspects.fingerprint(request(body), customer_name)
        return self.suspects.is_refused(key, now)

    def local_suspicions(self, at):
        return self.trackers.local_suspicions(self.clock_s + at)

    def confirmed_suspicions(self, at):
        return self.trackers.confirmed_suspicions(self.clock_s + at)

    def merge(self, suspicions, at):
        self.trackers.merge(suspicions, self.clock_s + at)
