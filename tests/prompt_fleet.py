"""A simulation of entries that find a part of prompts that crashes servers.

The trackers are the real ones; servers, requests and datagrams are simulated.
`python tests/prompt_fleet.py FIRST COUNT` runs drawn loads and prints those
that send the part too often or refuse many sound requests.
"""

import dataclasses
import heapq
import itertools
import random
import sys

from clementinegw.direct import crash_trackers
from clementinegw.direct import part_records
from clementinegw.direct import prompt_suspects

BAD = "bad"
PUBLISH_S = 1.0
NEWS_S = 0.2
RELAY_S = 0.5
SETTLED_S = 3.0
CRASHES = 5
# From when on the part crashes servers.
BAD_FROM_S = 5.0
# How many requests with the part may reach servers late.
MAX_LATE = 3


@dataclasses.dataclass
class Load:
    """What the fleet serves, and what goes wrong.

    Attributes:
      entries: The number of entries.
      servers: The number of servers.
      slots: How many requests a server runs at once.
      sound_per_s: The sound requests a second.
      bad_per_s: The requests a second with the part that crashes servers.
      crashes_per_s: The crashes a second for other reasons.
      mass_crash: The share of the servers that crash every ten seconds.
      resets: The share of an entry's requests whose connections are reset every
        five seconds while their servers go on.
      begin_s: The shortest and the longest time to the first event, in seconds.
      seconds: How long the run lasts.
      loss: The share of the datagrams that are lost.
      routes: The number of routes whose prompts begin with a part that all of
        the route share; 0 for prompts of two parts without routes.
      bad_first: Whether the part that crashes servers is in the place of that
        first part, not behind it.
      bad_was_sound: Whether it was answered before it began to crash servers.
    """

    entries: int = 8
    servers: int = 6
    slots: int = 16
    sound_per_s: float = 94.0
    bad_per_s: float = 0.0
    crashes_per_s: float = 0.0
    mass_crash: float = 0.0
    resets: float = 0.0
    begin_s: tuple[float, float] = (0.1, 0.5)
    seconds: float = 60.0
    loss: float = 0.05
    routes: int = 0
    bad_first: bool = False
    bad_was_sound: bool = False


@dataclasses.dataclass(eq=False)
class Request:
    """A request in progress."""

    parts: tuple[str, ...]
    entry: int
    attempts: int = 0
    sent_at: float = 0.0
    began_at: float = 0.0
    answering: bool = False


class Server:
    """A server; each start has a name of its own."""

    numbers = itertools.count()

    def __init__(self):
        self.restart()

    def restart(self):
        self.start = f"i-{next(self.numbers)}"
        self.running = True
        self.requests = {}


class Fleet:
    """One run of a load.

    Attributes:
      crashed_at: When servers crashed under the bad part.
      late: How many requests with it reached servers too late.
      sound: How many sound requests there were.
      sound_refused: How many of them were refused for their prompts.
      sound_parts_refused: The sound parts that any entry refused.
      known_at: When each entry first refused the bad part.
    """

    def __init__(self, load, seed):
        self._load = load
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events = []
        self._order = itertools.count()
        self.crashed_at = []
        self.late = 0
        self.sound = 0
        self.sound_refused = 0
        self.sound_parts_refused = set()
        self.known_at = {}
        self._names = {}
        self._running = [{} for _ in range(load.entries)]
        self._entries = [self._tracker(n) for n in range(load.entries)]
        self._agents = [crash_trackers.Trackers() for _ in range(load.servers)]
        self._servers = [Server() for _ in range(load.servers)]

    def run(self):
        """Runs the load and returns the fleet."""
        load = self._load
        self._at(0.0, self._arrive, False)
        if load.bad_per_s:
            began_s = 0.5 if load.bad_was_sound else BAD_FROM_S
            self._at(began_s, self._arrive, True)
        if load.crashes_per_s:
            self._at(5.0, self._crash_one)
        if load.mass_crash:
            self._at(10.0, self._crash_many)
        if load.resets:
            self._at(5.0, self._reset)
        for number in range(load.entries):
            self._at(self._rng.random(), self._publish, number)
            self._at(self._rng.random(), self._publish_news, number)
        for agent in self._agents:
            self._at(self._rng.random(), self._relay, agent)
        while self._events and self._events[0][0] < load.seconds:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self

    @property
    def spread_s(self):
        """From the fifth crash until the last entry refused, in seconds."""
        if len(self.crashed_at) < CRASHES or not self.known_at:
            return 0.0
        return max(self.known_at.values()) - self.crashed_at[CRASHES - 1]

    def _at(self, after_s, function, *arguments):
        heapq.heappush(
            self._events,
            (self._now + after_s, next(self._order), function, arguments),
        )

    def _tracker(self, number):
        def on_verdict(verdict):
            if not verdict.refused:
                return
            name = self._names[verdict.part]
            if name == BAD:
                self.known_at.setdefault(number, self._now)
            else:
                self.sound_parts_refused.add(name)

        def running():
            return [
                (r.parts, r.began_at)
                for r in self._running[number]
                if r.answering
            ]

        return crash_trackers.Trackers(
            prompt_suspects.PartTracker(on_verdict, running)
        )

    # Requests.

    def _arrive(self, bad):
        load = self._load
        per_s = load.bad_per_s if bad else load.sound_per_s
        self._at(self._rng.expovariate(per_s), self._arrive, bad)
        parts = self._draw_route_parts(bad) if load.routes else self._draw(bad)
        for part in parts:
            self._names[part_records.digest_part(part)] = part
        entry = self._rng.randrange(load.entries)
        self.sound += not bad
        self._send(Request(tuple(parts), entry))

    def _draw(self, bad):
        parts = [
            f"a{min(2, int(self._rng.expovariate(1.0)))}",
            f"b{int(self._rng.paretovariate(0.7)) % 400}",
        ]
        if bad:
            parts[self._rng.randrange(2)] = BAD
        return parts

    def _draw_route_parts(self, bad):
        rng = self._rng
        route = int(rng.expovariate(1.0)) % self._load.routes
        parts = [f"route {route}", f"c{int(rng.paretovariate(0.7)) % 60}"]
        if rng.random() < 0.7:
            parts.append(f"d{int(rng.paretovariate(0.5)) % 2000}")
        if bad and self._load.bad_first:
            parts[0] = BAD
        elif bad:
            parts.insert(rng.randrange(1, len(parts) + 1), BAD)
        return parts

    def _send(self, request):
        tracker = self._entries[request.entry].parts
        part = tracker.refused_part(request.parts, self._now)
        if part is not None and not self._is_probe(request, part):
            tracker.record_refusal(part, self._now)
            self.sound_refused += BAD not in request.parts
            return
        free = [
            server
            for server in self._servers
            if server.running and len(server.requests) < self._load.slots
        ]
        if not free:
            return
        server = self._rng.choice(free)
        request.attempts += 1
        request.sent_at = self._now
        server.requests[request] = None
        self._running[request.entry][request] = None
        if BAD in request.parts and len(self.crashed_at) >= CRASHES:
            due_at = self.crashed_at[CRASHES - 1] + SETTLED_S
            self.late += self._now > due_at
        begin_s = self._rng.uniform(*self._load.begin_s)
        self._at(begin_s, self._begin, request, server, server.start)

    def _is_probe(self, request, part):
        """Returns whether the first entry lets a refused request through."""
        tracker = self._entries[request.entry].parts
        return (
            not request.entry
            and not request.attempts
            and tracker.take_probe(part, self._now)
        )

    def _begin(self, request, server, start):
        if server.start != start or request not in server.requests:
            return
        if BAD in request.parts and self._now >= BAD_FROM_S:
            self.crashed_at.append(self._now)
            self._crash(server)
            return
        request.began_at = self._now
        self._at(0.05, self._answer, request, server, start)
        self._at(1.5, self._end, request, server, start)

    def _answer(self, request, server, start):
        if server.start != start or request not in server.requests:
            return
        request.answering = True
        tracker = self._entries[request.entry].parts
        tracker.record_survival(start, request.sent_at, self._now)
        tracker.record_answer(request.parts, request.began_at, self._now)

    def _end(self, request, server, start):
        if server.start == start:
            server.requests.pop(request, None)
            self._running[request.entry].pop(request, None)

    # Faults.

    def _crash(self, server):
        if not server.running:
            return
        server.running = False
        requests, server.requests = server.requests, {}
        for request in requests:
            self._break(request, server.start)
        server.start = ""
        self._at(self._rng.uniform(3.0, 5.0), server.restart)

    def _break(self, request, start):
        self._running[request.entry].pop(request, None)
        tracker = self._entries[request.entry].parts
        tracker.record_crash(request.parts, start, self._now, request.answering)
        if request.attempts < 2:
            self._at(0.01, self._send, request)

    def _crash_one(self):
        self._at(
            self._rng.expovariate(self._load.crashes_per_s), self._crash_one
        )
        self._crash(self._rng.choice(self._servers))

    def _crash_many(self):
        self._at(10.0, self._crash_many)
        count = round(self._load.mass_crash * len(self._servers))
        for server in self._rng.sample(self._servers, count):
            self._crash(server)

    def _reset(self):
        self._at(5.0, self._reset)
        number = self._rng.randrange(self._load.entries)
        for server in self._servers:
            for request in [*server.requests]:
                if (
                    request.entry == number
                    and self._rng.random() < self._load.resets
                ):
                    server.requests.pop(request, None)
                    self._break(request, server.start)

    # Datagrams.

    def _publish(self, number):
        self._at(PUBLISH_S, self._publish, number)
        self._publish_now(number)

    def _publish_news(self, number):
        self._at(NEWS_S, self._publish_news, number)
        self._entries[number].parts.update(self._now)
        if self._entries[number].parts.take_news(self._now):
            self._publish_now(number)

    def _publish_now(self, number):
        suspicions = self._entries[number].local_suspicions(self._now)
        for agent in self._agents:
            self._deliver(agent, suspicions)

    def _relay(self, agent):
        self._at(RELAY_S, self._relay, agent)
        suspicions = agent.confirmed_suspicions(self._now)
        for entry in self._entries:
            if self._rng.random() < 6.0 / len(self._agents):
                self._deliver(entry, suspicions)

    def _deliver(self, receiver, suspicions):
        if suspicions and self._rng.random() >= self._load.loss:
            delay_s = self._rng.uniform(0.001, 0.1)
            self._at(delay_s, self._merge, receiver, suspicions)

    def _merge(self, receiver, suspicions):
        receiver.merge(suspicions, self._now)


def draw_load(seed, loss=0.05):
    """Returns a load that is drawn from a seed."""
    rng = random.Random(f"load {seed}")
    servers = rng.choice((2, 3, 4, 6, 8, 12, 24))
    begin_s = rng.choice(((0.02, 0.1), (0.1, 0.5), (0.3, 1.0), (1.0, 3.0)))
    sound_per_s = rng.choice((1.0, 3.0, 5.0, 10.0, 20.0, 50.0, 94.0))
    return Load(
        entries=rng.choice((1, 2, 4, 8, 16, 32)),
        servers=servers,
        slots=rng.choice((4, 16, 32)),
        sound_per_s=min(6.0 * servers, sound_per_s),
        bad_per_s=rng.choice((0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 6.0)),
        crashes_per_s=rng.choice((0.0, 0.0, 0.1, 0.3)),
        mass_crash=rng.choice((0.0, 0.0, 0.3, 1.0)),
        resets=rng.choice((0.0, 0.0, 0.3, 1.0)),
        begin_s=begin_s,
        loss=loss,
        routes=rng.choice((0, 1, 3)),
        bad_first=rng.random() < 0.3,
    )


def main():
    """Runs the loads of some seeds; the third argument is the loss."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    loss = float(sys.argv[3]) if len(sys.argv) > 3 else 0.05
    crashed = 0
    for seed in range(first, first + count):
        fleet = Fleet(draw_load(seed, loss), seed).run()
        crashed += len(fleet.crashed_at) >= CRASHES
        if fleet.late > MAX_LATE or fleet.sound_refused > 0.05 * fleet.sound:
            print(
                f"seed {seed}: {len(fleet.crashed_at)} crashes,"
                f" {fleet.late} late, {fleet.sound_refused} of"
                f" {fleet.sound} sound requests refused"
            )
    print(f"{count} runs, {crashed} of them with {CRASHES} crashes")


if __name__ == "__main__":
    main()
