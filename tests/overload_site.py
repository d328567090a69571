"""Simulates entries and overloaded engines in virtual time without sockets.

The entries' decisions run unchanged: server selection, queueing and refusals.
Engines are `testing.engine_model`. Callers arrive on a schedule, retry once
after a refusal and leave if nothing arrives for a while.
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
from clementinegw.direct import balance
from clementinegw.direct import catalog
from clementinegw.direct import expiry
from clementinegw.direct import fleet as fleets
from clementinegw.direct import job as jobs
from clementinegw.direct import placement
from clementinegw.direct import queue
from clementinegw.direct import reports
from clementinegw.direct import subsetting
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.scheduling import server_memory
from clementinegw.scheduling import slot_shares
from clementinegw.telemetry import logs
from clementinegw.testing import engine_model

SERVICE = "engine"
REPORT_S = 0.1
RENEWAL_S = 1.0
# Age of the load in a report, in reports.
LAG_REPORTS = 2
# An entry in another region gets one of this many reports.
FAR_EVERY = 4
MAX_DOMAINS = 5
REGIONS = {f"d{n}": f"r{n}" for n in range(MAX_DOMAINS)}
DEADLINE_S = 6.0
# The callers' timeouts are shorter than DEADLINE_S by up to this fraction.
TIMEOUT_SPREAD = 0.15
# A caller leaves if nothing arrives for this time, in seconds.
IDLE_TIMEOUT_S = 3.2
MAX_GAP_S = 0.4
# How often a caller that does not wait after a refusal repeats its request.
REPEATS = 3
LATENCY_S = 0.004
# The time of day at the start, in Unix seconds.
WALL_S = 1_790_000_000.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request, of which `per_s` arrive per second.

    Attributes:
      name: Name of its route.
      per_s: Mean arrival rate, in requests per second.
      prompt: Mean number of prompt tokens.
      events: Mean number of events in the answer.
      objective_s: Objective for the time to the first event, in seconds.
      priority: The priority of its route.
    """

    name: str
    per_s: float
    prompt: float
    events: float
    objective_s: float
    priority: int = 1


KINDS = (
    Kind("large", 39.5, 1_330.0, 21.0, 0.5),
    Kind("middle", 30.1, 827.0, 21.0, 0.4),
    Kind("small", 28.4, 647.0, 14.0, 0.4),
)


@dataclasses.dataclass
class Caller:
    """A caller and the outcome of its request."""

    kind: Kind
    arrived_at: float
    prompt: int
    events: int
    deadline_s: float = DEADLINE_S
    customer: str = ""
    first_at: float = math.inf
    ended_at: float = math.inf
    gap_s: float = 0.0
    refusals: int = 0
    reasons: list = dataclasses.field(default_factory=list)

    @property
    def served(self):
        return self.ended_at < math.inf

    @property
    def in_time(self):
        return (
            self.served
            and self.first_at - self.arrived_at <= self.kind.objective_s
            and self.gap_s <= MAX_GAP_S
        )


class Entry:
    """The decision logic of one entry."""

    def __init__(self, site, number, seed, engine_policy):
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
        more = {} if engine_policy is None else {"engine_policy": engine_policy}
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
        """Follows a subset of the servers, as the daemon does."""
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


class Simulation:
    """Engines, entries and callers."""

    def __init__(
        self,
        engines,
        entries=8,
        seed=1,
        engine_policy=None,
        *,
        domains=3,
        follow_all=True,
        figures=None,
        kinds=KINDS,
        customers=None,
        entry_weights=None,
        repeating=frozenset(),
        memory_tokens=0,
        tell_demand=True,
        know_lag=True,
    ):
        """Starts the engines.

        Args:
          engines: Number of engines, spread evenly over the domains.
          entries: Number of entries, spread likewise.
          seed: Seed of the callers and of the entries' random choices.
          engine_policy: Queueing policy for engines; None for the default.
          domains: Number of failure domains, each a region of its own.
          follow_all: Whether each entry follows all engines.
          figures: Parameters of the engines; None for the default.
          kinds: The kinds of requests.
          customers: Weight of each customer's callers, by name; None for
            anonymous callers.
          entry_weights: Weight of each entry's callers; None for equal ones.
          repeating: Names of the customers whose callers repeat a refused
            request at once.
          memory_tokens: Tokens that an engine's memory holds, as entries know
            it; 0 if they do not.
          tell_demand: Whether entries tell agents their demand.
          know_lag: Whether the configuration tells how old reported loads are.
        """
        self._domains = domains
        self.figures = figures or engine_model.EngineParameters()
        self.kinds = kinds
        self.customers = customers or {"": 1.0}
        self.entry_weights = entry_weights
        self.repeating = repeating
        self._known_lag_s = LAG_REPORTS * REPORT_S if know_lag else 0.0
        self.engines = {
            n: engine_model.Engine(self.figures) for n in range(engines)
        }
        self.configuration = _configuration(self.figures, kinds, memory_tokens)
        self.memory_tokens = memory_tokens
        self.held_tokens = dict.fromkeys(self.engines, 0)
        self.peak_tokens = 0
        self.rng = random.Random(seed)
        # A separate generator, so that callers do not depend on decisions.
        self._arrivals = random.Random(seed)
        self._renewals = random.Random(seed)
        self.entries = [
            Entry(self, n, seed * 100 + n, engine_policy)
            for n in range(entries)
        ]
        if not follow_all:
            for entry in self.entries:
                entry.follow()
        self.callers = []
        self.started = dict.fromkeys(self.engines, 0)
        # Period in which no engine may start requests, in seconds from the
        # start.
        self.outage = (math.inf, math.inf)
        # The rate limits that engines report, by engine number.
        self.limits = {}
        # Whether agents relay observed rate limits between entries.
        self.relay_limits = True
        self.arrived_at = {n: [] for n in self.engines}
        self._tasks = set()
        self._clock = asyncio.get_running_loop().time
        self._began = self._clock()
        for n in self.engines:
            self._spawn(self._report(n))
        if tell_demand:
            for entry in self.entries:
                self._spawn(self._renew(entry))

    @property
    def now(self):
        """Seconds since the start."""
        return self._clock() - self._began

    def place(self, number):
        """Returns the location of the entry or engine with a number."""
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

    async def play(
        self,
        seconds,
        load_factor: Callable[[float], float],
        kind_factor: Callable[[Kind, float], float] = lambda kind, now: 1.0,
    ):
        """Generates callers.

        Args:
          seconds: How long, from the start.
          load_factor: Scales the usual rate over time.
          kind_factor: Scales the usual rate of a kind over time.
        """
        while self.now < seconds:
            weights = [
                kind.per_s * kind_factor(kind, self.now) for kind in self.kinds
            ]
            rate = sum(weights) * load_factor(self.now)
            await asyncio.sleep(self._arrivals.expovariate(rate))
            self._spawn(self._call(self._caller(weights)))

    def stop(self):
        for task in self._tasks:
            task.cancel()
        for engine in self.engines.values():
            engine.stop()

    def callers_between(self, since, until):
        """Returns the callers that arrived then, in seconds from the start."""
        return [c for c in self.callers if since <= c.arrived_at < until]

    def share_in_time(self, since, until):
        """Returns the fraction of serviceable callers that were in time."""
        callers = self.callers_between(since, until)
        share = self.serviceable_share(since, until)
        return sum(c.in_time for c in callers) / len(callers) / share

    def serviceable_share(self, since, until):
        """Returns the fraction of callers that engines can serve."""
        callers = self.callers_between(since, until)
        engine_s = statistics.fmean(self._engine_s(c) for c in callers)
        servable = len(self.engines) / engine_s * (until - since)
        return min(1.0, servable / len(callers))

    def _engine_s(self, caller):
        """Returns the time that a request takes of a full engine."""
        figures = self.figures
        reading_s = caller.prompt / figures.prefill_tokens_per_s
        event_s = figures.steps_per_pass * figures.step_duration_s(
            figures.slots
        )
        return reading_s + caller.events * event_s / figures.slots

    def _caller(self, weights):
        kind = self._arrivals.choices(self.kinds, weights)[0]
        prompt = _draw_lognormal(
            self._arrivals, kind.prompt, 1.0, 3 * kind.prompt
        )
        events = _draw_lognormal(
            self._arrivals, kind.events, 0.8, 2.5 * kind.events
        )
        timeout_factor = 1.0 - self._arrivals.uniform(0.0, TIMEOUT_SPREAD)
        caller = Caller(
            kind,
            self.now,
            max(1, prompt),
            max(1, events),
            timeout_factor * DEADLINE_S,
            self._customer(),
        )
        self.callers.append(caller)
        return caller

    def _customer(self):
        names = list(self.customers)
        if len(names) == 1:
            return names[0]
        return self._arrivals.choices(names, list(self.customers.values()))[0]

    def _entry(self):
        if self.entry_weights is None:
            return self.rng.choice(self.entries)
        return self.rng.choices(self.entries, self.entry_weights)[0]

    async def _call(self, caller):
        entry = self._entry()
        wait_s = await self._ask(caller, entry, caller.deadline_s)
        if wait_s is None:
            return
        caller.refusals += 1
        if caller.customer in self.repeating:
            await self._repeat(caller, entry)
            return
        left_s = caller.deadline_s - (self.now - caller.arrived_at)
        await asyncio.sleep(min(wait_s, left_s / 3))
        left_s = caller.deadline_s - (self.now - caller.arrived_at)
        other_entry = self.rng.choice(
            [e for e in self.entries if e is not entry]
        )
        if await self._ask(caller, other_entry, left_s) is not None:
            caller.refusals += 1

    async def _repeat(self, caller, entry):
        for _ in range(REPEATS):
            left_s = caller.deadline_s - (self.now - caller.arrived_at)
            if await self._ask(caller, entry, left_s) is None:
                return
            caller.refusals += 1

    async def _ask(self, caller, entry, left_s):
        """Sends a request; returns the retry delay, or None if not refused."""
        now = self._clock()
        metadata = types.RequestMetadata(
            timeout_s=left_s,
            prompt_tokens=caller.prompt,
            output_tokens=caller.events,
        )
        route = _route(caller.kind)
        job = jobs.Job(
            builtin_types.SimpleNamespace(arrived_at=now),
            metadata,
            catalog.RouteMatch(
                route,
                types.Customer(caller.customer) if caller.customer else None,
            ),
            SERVICE,
            builtin_types.SimpleNamespace(begun=False),
            now + left_s,
            expiry.Expiry(now + left_s, self._clock),
            entry.caller_timeouts.spent_s(route.name, left_s),
        )
        try:
            async with asyncio.timeout(min(left_s, IDLE_TIMEOUT_S)):
                reservation = await entry.placer.reserve(job)
        except TimeoutError:
            return None
        if not isinstance(reservation, queue.Reservation):
            caller.reasons.append(reservation.reason)
            return reservation.retry_after_s
        await self._run(caller, entry, job, reservation, left_s)
        return None

    async def _run(self, caller, entry, job, reservation, left_s):
        backend = reservation.backend
        backend.unread_tokens += caller.prompt
        number = int(backend.server.server_id[1:])
        engine = self.engines[number]
        self.started[number] += 1
        self.arrived_at[number].append(self.now)
        sent_at = self._clock()
        event_received = asyncio.Event()
        ended = asyncio.Event()
        last = [self.now]

        def on_event():
            if caller.first_at == math.inf:
                caller.first_at = self.now + LATENCY_S
                backend.unread_tokens -= caller.prompt
                job.first_event_at = self._clock()
                entry.placer.record_first_event(job)
                metadata = types.AnswerMetadata(
                    "a", True, False, limit_per_s=self.limits.get(number)
                )
                backend.signals.apply(metadata, sent_at, self._clock())
            else:
                caller.gap_s = max(caller.gap_s, self.now - last[0])
            last[0] = self.now
            event_received.set()

        priority = entry.placer.server_priority(job)
        work = engine_model.Request(
            caller.prompt,
            caller.events,
            on_event,
            ended.set,
            engine_model.DEFAULT_PRIORITY if priority is None else priority,
        )
        tokens = caller.prompt + caller.events
        self._hold(number, tokens)
        await asyncio.sleep(LATENCY_S)
        engine.submit(work)
        try:
            async with asyncio.timeout(left_s):
                await self._await_events(event_received, ended)
            caller.ended_at = self.now
        except TimeoutError:
            engine.cancel(work)
            if caller.first_at == math.inf:
                backend.unread_tokens -= caller.prompt
        self._hold(number, -tokens)
        reservation.release()

    def _hold(self, number, tokens):
        """Counts tokens of requests at an engine, all as if written at once."""
        self.held_tokens[number] += tokens
        self.peak_tokens = max(self.peak_tokens, self.held_tokens[number])

    async def _await_events(self, event_received, ended):
        while not ended.is_set():
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                await event_received.wait()
            event_received.clear()

    async def _report(self, number):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.rng.random() * REPORT_S)
        report_count = self.rng.randrange(FAR_EVERY)
        # The load that a server reports to its agent is slightly outdated.
        past_loads = collections.deque(
            [(0, 0, 0)] * LAG_REPORTS, maxlen=LAG_REPORTS
        )
        while True:
            engine = self.engines[number]
            running, waiting, tokens = past_loads[0]
            past_loads.append(
                (engine.running, engine.waiting, self.held_tokens[number])
            )
            observed = [
                limit
                for entry in self.entries
                if (
                    limit := entry.fleet.find(
                        f"s{number}"
                    ).signals.recent_observation(self._clock())
                )
            ]
            followers = [
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
                not self.outage[0] <= self.now < self.outage[1],
                entries=len(self.entries),
                followers=len(followers),
                demand=slot_shares.total_demand(
                    entry.fleet.find(f"s{number}").demand for entry in followers
                ),
                limit=max(observed, key=lambda limit: limit.at, default=None)
                if self.relay_limits
                else None,
                ready_in_s=max(0.0, self.outage[1] - self.now)
                if self.outage[0] <= self.now < self.outage[1]
                else 0.0,
                memory_used=tokens / self.memory_tokens
                if self.memory_tokens
                else 0.0,
            )
            report_count += 1
            for rank, entry in enumerate(followers):
                near = entry.place == self.place(number)
                if near or not report_count % FAR_EVERY:
                    report = dataclasses.replace(
                        report,
                        rank=self.entries.index(entry),
                        follower_rank=rank,
                    )
                    loop.call_later(
                        LATENCY_S, self._deliver_report, entry, number, report
                    )
            await asyncio.sleep(REPORT_S)

    async def _renew(self, entry):
        """Tells agents the entry's demand, as its subscriptions do."""
        await asyncio.sleep(self._renewals.random() * RENEWAL_S)
        while True:
            arrivals = entry.placer.arrivals
            arrivals.end_period(self._clock())
            followed = [b for b in entry.fleet.of(SERVICE) if b.followed]
            for backend in followed:
                rate = arrivals.rate(SERVICE)
                backend.demand = None if rate is None else rate / len(followed)
            await asyncio.sleep(RENEWAL_S)

    def _deliver_report(self, entry, number, report):
        reading_s = sum(k.prompt * k.per_s for k in self.kinds) / sum(
            k.per_s for k in self.kinds
        )
        reading_s /= self.figures.prefill_tokens_per_s
        backend = entry.fleet.find(f"s{number}")
        engine = self.configuration.services[SERVICE].engine
        memory_requests = server_memory.typical_requests(
            engine.memory_tokens,
            engine.typical_prompt_tokens,
            engine.typical_answer_tokens,
        )
        backend.apply_report(
            report,
            self._clock(),
            reading_s,
            self._known_lag_s,
            memory_requests,
        )
        entry.placer.dispatch_for(backend)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _draw_lognormal(rng, mean, sigma, max_value):
    value = rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return int(min(max_value, value))


def _route(kind):
    return types.Route(
        name=kind.name,
        host="h",
        prefix=f"/{kind.name}/",
        repeat_policy=types.RepeatPolicy.STREAM,
        targets=(types.Target(SERVICE, 1.0),),
        timeout_s=DEADLINE_S,
        objective_s=kind.objective_s,
        priority=kind.priority,
        max_attempts=2,
        resumable=True,
        max_gap_s=MAX_GAP_S,
    )


def _configuration(figures, kinds, memory_tokens):
    total = sum(kind.per_s for kind in kinds)
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
        typical_prompt_tokens=sum(k.prompt * k.per_s for k in kinds) / total,
        typical_answer_tokens=95.0,
        memory_tokens=memory_tokens,
    )
    service = types.Service(SERVICE, 274, engine)
    return types.Configuration(
        1, tuple(_route(kind) for kind in kinds), {SERVICE: service}, {}
    )
