"""An entry's knowledge of requests that crash servers, for tests."""

from clementinegw.direct import server as servers
from clementinegw.direct import suspects


def asked(body=b"", target="/safe/x"):
    return servers.Request("POST", target, "h", (), body, 0.0)


class Entry:
    """An entry's knowledge, on a clock of its own."""

    def __init__(self, clock_s=1_000.0):
        self.known = suspects.Suspects()
        self.clock_s = clock_s

    def crashed(self, body, start, at):
        self.known.crashed(asked(body), "c", start, self.clock_s + at)

    def completed(self, body, at):
        self.known.completed(asked(body), "c", self.clock_s + at)

    def refused(self, body, at, caller="c"):
        return self.known.refused(asked(body), caller, self.clock_s + at)

    def told(self, at):
        return self.known.told(self.clock_s + at)

    def proved(self, at):
        return self.known.proved(self.clock_s + at)

    def take(self, told, at):
        self.known.take(told, self.clock_s + at)
