"""Entries before engines in an overload, in virtual time and without sockets.

The entries' own decisions run unchanged: which server, what waits, who is
turned away. Engines are `testing.engine_model`; callers come as a schedule
says, return once when they are told to, and leave when nothing comes for long.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import math
import random
import statistics
import types as builtin_types

from clementinegw import types as shared_types
from clementinegw.direct import admit
from clementinegw.direct import attempt as attempts
from clementinegw.direct import balance
from clementinegw.direct import catalog
from clementinegw.direct import fleet as fleets
from clementinegw.direct import placement
from clementinegw.direct import queue
from clementinegw.direct import reports
from clementinegw.direct import subsetting
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.telemetry import logs
from clementinegw.testing import engine_model

SERVICE = "engine"
REPORT_S = 0.1
# What a server tells of its load is so many reports old.
LAG_REPORTS = 2
# An entry in another region gets one report of so many.
FAR_EVERY = 4
MOST_DOMAINS = 5
REGIONS = {f"d{n}": f"r{n}" for n in range(MOST_DOMAINS)}
DEADLINE_S = 6.0
# Callers differ in patience by up to this part of it.
PATIENCE_SPREAD = 0.15
# A caller leaves when nothing has come for so long.
PATIENCE_S = 3.2
LARGEST_GAP_S = 0.4
TRIP_S = 0.004
# The time of day at the start, in Unix seconds.
WALL_S = 1_790_000_000.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request; a second `per_s` of them come."""

    name: str
    per_s: float
    prompt: float
    events: float
    objective_s: float


KINDS = (
    Kind("large", 39.5, 1_330.0, 21.0, 0.5),
    Kind("middle", 30.1, 827.0, 21.0, 0.4),
    Kind("small", 28.4, 647.0, 14.0, 0.4),
)


@dataclasses.dataclass
class Caller:
    """One caller and what became of it."""

    kind: Kind
    arrived_at: float
    prompt: int
    events: int
    deadline_s: float = DEADLINE_S
    first_at: float = math.inf
    ended_at: float = math.inf
    gap_s: float = 0.0
    refusals: int = 0

    @property
    def served(self):
        return self.ended_at < math.inf

    @property
    def in_time(self):
        return (
            self.served
            and self.first_at - self.arrived_at <= self.kind.objective_s
            and self.gap_s <= LARGEST_GAP_S
        )


class Entry:
    """The decisions of one entry."""

    def __init__(self, site, number, seed, terms):
        rng = random.Random(seed)
        clock = asyncio.get_running_loop().time
        self.name = f"entry-{number}"
        self.fleet = fleets.Fleet(
            logs.Log(),
            lambda service: 274,
            rng,
            entry=self.name,
            wall_clock=lambda: WALL_S + clock(),
        )
        self.place = site.place(number)
        balancer = balance.Balancer(self.fleet, self.place, REGIONS, rng, clock)
        config_view = admit.ConfigView(
            catalog.Catalog(site.configuration), lambda: 0.0, 5.0, 3.0
        )
        self.caller_timeouts = admit.CallerTimeouts()
        more = {} if terms is None else {"engine_policy": terms}
        self.placer = placement.Placer(
            config_view,
            balancer,
            version_policy.VersionPolicy(8.0, clock),
            rng,
            clock,
            **more,
        )
        records = [
            topic_watch.Record(f"s{n}", site.server(n)) for n in site.engines
        ]
        batch = topic_watch.Batch(tuple(records), len(records))
        self.fleet.apply(batch, True, 10.0)

    def follow(self):
        """Follows some servers only, as the daemon does."""
        candidates = [
            subsetting.Candidate(
                backend.server.server_id,
                backend.server.failure_domain == self.place.failure_domain,
                True,
            )
            for backend in self.fleet.of(SERVICE)
        ]
        self.fleet.set_followed(
            subsetting.select_followed(self.name, candidates), 0.0
        )


class Site:
    """Engines, entries and callers."""

    def __init__(
        self,
        engines,
        entries=8,
        seed=1,
        terms=None,
        *,
        domains=3,
        follow_all=True,
        figures=None,
        kinds=KINDS,
    ):
        """Starts the engines.

        Args:
          engines: How many there are, spread evenly over the domains.
          entries: How many entries there are, spread likewise.
          seed: Of callers and of the entries' draws.
          terms: How requests wait for engines; None for the product's.
          domains: How many failure domains, each a region of its own.
          follow_all: Whether each entry follows all engines.
          figures: What the engines' work takes; None for the usual engine.
          kinds: What is asked for.
        """
        self._domains = domains
        self.figures = figures or engine_model.Figures()
        self.kinds = kinds
        self.engines = {
            n: engine_model.Engine(self.figures) for n in range(engines)
        }
        self.configuration = _configuration(self.figures, kinds)
        self.rng = random.Random(seed)
        # Apart, so that the same callers come whatever is decided.
        self._arrivals = random.Random(seed)
        self.entries = [
            Entry(self, n, seed * 100 + n, terms) for n in range(entries)
        ]
        if not follow_all:
            for entry in self.entries:
                entry.follow()
        self.callers = []
        self.begun = dict.fromkeys(self.engines, 0)
        # When no engine may begin anything, in seconds from the start.
        self.gap = (math.inf, math.inf)
        # The rate limits that engines report, by number.
        self.limits = {}
        # Whether agents tell entries what others were told of them.
        self.relay = True
        self.arrived_at = {n: [] for n in self.engines}
        self._tasks = set()
        self._clock = asyncio.get_running_loop().time
        self._began = self._clock()
        for n in self.engines:
            self._spawn(self._report(n))

    @property
    def now(self):
        """Seconds since the start."""
        return self._clock() - self._began

    def place(self, number):
        """Returns where the entry or engine of a number stands."""
        domain = number % self._domains
        return shared_types.Place(f"r{domain}", f"d{domain}")

    def server(self, number):
        return types.Server(
            f"s{number}",
            SERVICE,
            shared_types.Address(f"10.0.{number // 250}.{number % 250}", 1_000),
            self.place(number).failure_domain,
            self.figures.slots,
            held=(types.HeldWeights("m", 1, 1),),
        )

    async def play(self, seconds, strength: Callable[[float], float]):
        """Lets callers come; `strength` says how many times the usual."""
        total = sum(kind.per_s for kind in self.kinds)
        while self.now < seconds:
            rate = total * strength(self.now)
            await asyncio.sleep(self._arrivals.expovariate(rate))
            self._spawn(self._call(self._caller()))

    def stop(self):
        for task in self._tasks:
            task.cancel()
        for engine in self.engines.values():
            engine.stop()

    def came(self, since, until):
        """Returns who came then, in seconds from the start."""
        return [c for c in self.callers if since <= c.arrived_at < until]

    def part_in_time(self, since, until):
        """Answers in time of who came then, as a part of what engines can."""
        found = self.came(since, until)
        can = self.part_that_engines_can(since, until)
        return sum(c.in_time for c in found) / len(found) / can

    def part_that_engines_can(self, since, until):
        """What engines can serve, as a part of who came then; 1 at most."""
        found = self.came(since, until)
        engine_s = statistics.fmean(self._engine_s(c) for c in found)
        can = len(self.engines) / engine_s * (until - since)
        return min(1.0, can / len(found))

    def _engine_s(self, caller):
        """Returns the time of a full engine that one request takes."""
        figures = self.figures
        reading_s = caller.prompt / figures.prefill_tokens_per_s
        event_s = figures.steps_per_pass * figures.step_at(figures.slots)
        return reading_s + caller.events * event_s / figures.slots

    def _caller(self):
        weights = [kind.per_s for kind in self.kinds]
        kind = self._arrivals.choices(self.kinds, weights)[0]
        prompt = _drawn(self._arrivals, kind.prompt, 1.0, 3 * kind.prompt)
        events = _drawn(self._arrivals, kind.events, 0.8, 2.5 * kind.events)
        patience = 1.0 - self._arrivals.uniform(0.0, PATIENCE_SPREAD)
        caller = Caller(
            kind,
            self.now,
            max(1, prompt),
            max(1, events),
            patience * DEADLINE_S,
        )
        self.callers.append(caller)
        return caller

    async def _call(self, caller):
        entry = self.rng.choice(self.entries)
        wait_s = await self._ask(caller, entry, caller.deadline_s)
        if wait_s is None:
            return
        caller.refusals += 1
        left_s = caller.deadline_s - (self.now - caller.arrived_at)
        await asyncio.sleep(min(wait_s, left_s / 3))
        left_s = caller.deadline_s - (self.now - caller.arrived_at)
        again = self.rng.choice([e for e in self.entries if e is not entry])
        if await self._ask(caller, again, left_s) is not None:
            caller.refusals += 1

    async def _ask(self, caller, entry, left_s):
        """Returns when to come back; None when that is no question."""
        now = self._clock()
        facts = types.RequestMetadata(
            timeout_s=left_s, prompt_tokens=caller.prompt
        )
        route = _route(caller.kind)
        job = attempts.Job(
            builtin_types.SimpleNamespace(arrived_at=now),
            facts,
            catalog.RouteMatch(route, None),
            SERVICE,
            None,
            now + left_s,
            entry.caller_timeouts.spent_s(route.name, left_s),
        )
        try:
            async with asyncio.timeout(min(left_s, PATIENCE_S)):
                place = await entry.placer.reserve(job)
        except TimeoutError:
            return None
        if not isinstance(place, queue.Reservation):
            return place.retry_after_s
        await self._run(caller, entry, job, place, left_s)
        return None

    async def _run(self, caller, entry, job, place, left_s):
        backend = place.backend
        backend.unread_tokens += caller.prompt
        number = int(backend.server.server_id[1:])
        engine = self.engines[number]
        self.begun[number] += 1
        self.arrived_at[number].append(self.now)
        sent_at = self._clock()
        heard = asyncio.Event()
        ended = asyncio.Event()
        last = [self.now]

        def on_event():
            if caller.first_at == math.inf:
                caller.first_at = self.now + TRIP_S
                backend.unread_tokens -= caller.prompt
                job.first_event_at = self._clock()
                entry.placer.record_first_event(job)
                facts = types.AnswerMetadata(
                    "a", True, False, limit_per_s=self.limits.get(number)
                )
                backend.signals.apply(facts, sent_at, self._clock())
            else:
                caller.gap_s = max(caller.gap_s, self.now - last[0])
            last[0] = self.now
            heard.set()

        work = engine_model.Work(
            caller.prompt, caller.events, on_event, ended.set
        )
        await asyncio.sleep(TRIP_S)
        engine.submit(work)
        try:
            async with asyncio.timeout(left_s):
                await self._hear(heard, ended)
            caller.ended_at = self.now
        except TimeoutError:
            engine.drop(work)
            if caller.first_at == math.inf:
                backend.unread_tokens -= caller.prompt
        place.release()

    async def _hear(self, heard, ended):
        while not ended.is_set():
            async with asyncio.timeout(PATIENCE_S):
                await heard.wait()
            heard.clear()

    async def _report(self, number):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.rng.random() * REPORT_S)
        told = self.rng.randrange(FAR_EVERY)
        # What an agent asks its server is answered as of a while ago.
        seen = collections.deque([(0, 0)] * LAG_REPORTS, maxlen=LAG_REPORTS)
        while True:
            engine = self.engines[number]
            running, waiting = seen[0]
            seen.append((engine.running, engine.waiting))
            observed = [
                limit
                for entry in self.entries
                if (
                    limit := entry.fleet.find(
                        f"s{number}"
                    ).signals.recent_observation(self._clock())
                )
            ]
            told_to = [
                entry
                for entry in self.entries
                if entry.fleet.find(f"s{number}").followed
            ]
            report = reports.Report(
                f"s{number}",
                running,
                waiting,
                self.figures.slots,
                "m",
                1,
                not self.gap[0] <= self.now < self.gap[1],
                entries=len(self.entries),
                followers=len(told_to),
                limit=max(observed, key=lambda limit: limit.at, default=None)
                if self.relay
                else None,
                ready_in_s=max(0.0, self.gap[1] - self.now)
                if self.gap[0] <= self.now < self.gap[1]
                else 0.0,
            )
            told += 1
            for rank, entry in enumerate(told_to):
                near = entry.place == self.place(number)
                if near or not told % FAR_EVERY:
                    report = dataclasses.replace(
                        report,
                        rank=self.entries.index(entry),
                        follower_rank=rank,
                    )
                    loop.call_later(TRIP_S, self._take, entry, number, report)
            await asyncio.sleep(REPORT_S)

    def _take(self, entry, number, report):
        reading_s = sum(k.prompt * k.per_s for k in self.kinds) / sum(
            k.per_s for k in self.kinds
        )
        reading_s /= self.figures.prefill_tokens_per_s
        backend = entry.fleet.find(f"s{number}")
        backend.apply_report(report, self._clock(), reading_s)
        entry.placer.dispatch_for(backend)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _drawn(rng, mean, sigma, most):
    value = rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return int(min(most, value))


def _route(kind):
    return types.Route(
        name=kind.name,
        host="h",
        prefix=f"/{kind.name}/",
        repeat_policy=types.RepeatPolicy.STREAM,
        targets=(types.Target(SERVICE, 1.0),),
        timeout_s=DEADLINE_S,
        objective_s=kind.objective_s,
        priority=1,
        max_attempts=2,
        resumable=True,
        max_gap_s=LARGEST_GAP_S,
    )


def _configuration(figures, kinds):
    engine = types.Engine(
        ("m",),
        figures.slots,
        figures.step_s,
        0.04e-3,
        figures.prefill_tokens_per_s,
        figures.steps_per_pass,
        1,
        96,
        24_576,
        typical_prompt_tokens=980.0,
        typical_answer_tokens=95.0,
    )
    service = types.Service(SERVICE, 274, engine)
    return types.Configuration(
        1, tuple(_route(kind) for kind in kinds), {SERVICE: service}, {}
    )
