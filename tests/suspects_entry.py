"""A test double of an entry that tracks requests that crash servers."""

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
        self.suspects = suspects.SuspectTracker()
        self.clock_s = clock_s

    def record_crash(self, body, start, at, parts=()):
        self.suspects.record_crash(request(body), "c", start, self.clock_s + at)

    def record_completion(self, body, at):
        self.suspects.record_completion(request(body), "c", self.clock_s + at)

    def is_refused(self, body, at, customer_name="c", parts=()):
        return self.suspects.is_refused(
            request(body), customer_name, self.clock_s + at
        )

    def local_suspicions(self, at):
        return self.suspects.local_suspicions(self.clock_s + at)

    def confirmed_suspicions(self, at):
        return self.suspects.confirmed_suspicions(self.clock_s + at)

    def merge(self, suspicions, at):
        self.suspects.merge(suspicions, self.clock_s + at)
