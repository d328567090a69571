"""Tests at-most-once under random schedules of faults, in virtual time."""

import asyncio
import collections
import random

import claims_fleet
import pytest

from clementinegw import exceptions
from clementinegw import types
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import types as gate_types
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import claims_service
from clementinegw.requests import types as request_types
from clementinegw.testing import clock as clocks

NAMES = ("e1", "e2", "e3")
SECONDS = 60.0
LIMITS = claims_service.Limits(
    horizon=claim_lib.Horizon(30.0, 2.0), call_timeout_s=1.0
)


class FaultSchedule:
    """Runs entries, agents and a log, and injects faults at random."""

    def __init__(self, clock, seed):
        self.clock = clock
        self.rng = random.Random(seed)
        self.fleet = claims_fleet.Fleet(clock, LIMITS)
        self.incarnations = collections.Counter()
        self.gates = {}
        self.runs = collections.defaultdict(list)
        self.ran_requests = set()
        self.outcomes = {}
        self.key_times = {}
        self.tasks = []

    async def start(self):
        for name in NAMES:
            await self.start_entry(name)
        for name in ("a1", "a2"):
            self.start_agent(name)

    async def start_entry(self, name):
        self.incarnations[name] += 1
        entry = await self.fleet.start(name, self.incarnations[name])
        self._delay_appends(entry)

    def start_agent(self, name):
        self.incarnations[name] += 1
        number = self.incarnations[name]
        limits = gate_types.Limits(retention_s=20.0)
        self.gates[name] = (gate_lib.Gate(limits, number), number)

    def _delay_appends(self, entry):
        """Makes some appends arrive long after they seemed to fail."""
        append = entry.log.append

        async def delayed(stream, value):
            if self.rng.random() < 0.05:
                self._spawn(self._append_later(stream, value))
                raise exceptions.PlatformUnavailable("no answer")
            return await append(stream, value)

        entry.log.append = delayed

    async def _append_later(self, stream, value):
        await asyncio.sleep(self.rng.choice([0.1, 1.0, 8.0]))
        self.fleet.log.put(stream, value)

    def _spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    # A caller's request, from its entry to an agent.

    async def call(self, number):
        await asyncio.sleep(self.rng.uniform(0, SECONDS))
        key = f"k{self.rng.randrange(12)}"
        body = b"other" if self.rng.random() < 0.05 else key.encode()
        first = self.key_times.setdefault(key, self.clock.wall())
        name = self.rng.choice(list(self.fleet.entries) or [None])
        if name is None:
            return
        entry = self.fleet.entries[name]
        request = self.fleet.request(
            f"r{number}",
            key,
            body,
            self.rng.choice([1.0, 5.0]),
            (("clementine-key-time", repr(first)),),
        )
        self.outcomes[request.request_id] = (
            key,
            await self.serve(entry, request),
        )

    async def serve(self, entry, request):
        """Serves a request as the pipeline does; None if the entry died."""
        result = await entry.claims.claim(request)
        if not entry.endpoint.up:
            return None
        if isinstance(result, request_types.KeptAnswer):
            return result.outcome
        if isinstance(result, request_types.ClaimRefused):
            return result.outcome
        if self.rng.random() < 0.2:
            # A paused process stops completely and then continues.
            await asyncio.sleep(self.rng.choice([0.5, 2.0, 40.0]))
        outcome = await self.send(request, result.offset)
        if not entry.endpoint.up:
            return None
        entry.claims.settle(request, outcome)
        return outcome

    async def send(self, request, offset):
        outcome = types.NotRun(types.NotRunReason.NO_BACKEND, 1.0)
        for number in (1, 2):
            if self.clock.now() >= request.deadline:
                return types.NotRun(types.NotRunReason.DEADLINE, 1.0)
            outcome = await self.attempt(request, number, offset)
            if not isinstance(outcome, types.NotRun):
                return outcome
        return outcome

    async def attempt(self, request, number, offset):
        """Sends one attempt as `send` does, over a link that may stall."""
        name = self.rng.choice(sorted(self.gates))
        target_incarnation = self.gates[name][1]
        sent_at = self.clock.now()
        attempt = gate_types.Attempt(
            gate_types.AttemptId(request.request_id, number),
            request.deadline,
            idempotent=False,
            key=request.key,
            claim_offset=offset,
            incarnation=target_incarnation,
            sent_at=sent_at,
        )
        self._spawn(self.deliver(name, attempt, request))
        wait_s = min(1.0, request.deadline - sent_at)
        until = sent_at + wait_s
        while self.clock.now() < until:
            await asyncio.sleep(0.05)
            done = self.answer_to(attempt.id)
            if done is not None:
                return done
        gate, _ = self.gates[name]
        proved, _ = gate.tombstone(
            attempt.id, False, target_incarnation, sent_at, self.clock.now()
        )
        if proved:
            return types.NotRun(types.NotRunReason.TOMBSTONED, 0.0)
        return types.Unknown(types.UnknownReason.CONNECTION_LOST)

    def answer_to(self, attempt_id):
        return self.answers.get(attempt_id)

    answers: dict

    async def deliver(self, name, attempt, request):
        await asyncio.sleep(self.rng.choice([0.001, 0.01, 0.5, 15.0]))
        gate, incarnation = self.gates[name]
        # A connection ends with the process that it was made to, but in some
        # cases a new one is made and the frames are sent again.
        if attempt.incarnation != incarnation and self.rng.random() < 0.5:
            return
        actions = gate.submit(attempt, self.clock.now())
        if gate_types.HandOver(attempt.id) not in actions:
            reason = types.NotRunReason.REFUSED_BY_AGENT
            self.answers[attempt.id] = types.NotRun(reason, 1.0)
            return
        self.runs[request.key].append(request.request_id)
        self.ran_requests.add(request.request_id)
        await asyncio.sleep(self.rng.choice([0.05, 0.3, 3.0]))
        gate.on_answered(attempt.id, self.clock.now())
        if self.rng.random() < 0.8:
            body = b"booked " + request.request_id.encode()
            self.answers[attempt.id] = types.Answered(200, (), body)

    # The faults.

    async def inject_faults(self):
        end = self.clock.now() + SECONDS
        while self.clock.now() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 4.0))
            await self.rng.choice(self._FAULTS)(self)
        self.heal()

    def heal(self):
        self.fleet.heal()
        for entry in self.fleet.entries.values():
            entry.log.faults.down = False
            entry.log.faults.stalled = False
            entry.log.faults.slow_s = 0.0

    async def _crash_entry(self):
        name = self.rng.choice(NAMES)
        if name in self.fleet.entries:
            await self.fleet.crash(name)
        await asyncio.sleep(self.rng.choice([0.0, 1.0]))
        await self.start_entry(name)

    async def _replace_agent(self):
        self.start_agent(self.rng.choice(sorted(self.gates)))

    async def _partition(self):
        self.fleet.partition(*self.rng.sample(NAMES, 2))

    async def _heal(self):
        self.heal()

    async def _log_fault(self):
        for entry in self.fleet.entries.values():
            faults = entry.log.faults
            faults.down = self.rng.random() < 0.3
            faults.stalled = self.rng.random() < 0.2
            faults.slow_s = self.rng.choice([0.0, 0.02, 0.4])
            faults.answer_lost = self.rng.randrange(3)
            faults.refused = self.rng.randrange(2)

    _FAULTS = (
        _crash_entry,
        _replace_agent,
        _partition,
        _heal,
        _heal,
        _log_fault,
    )

    def check(self):
        """Checks the outcomes of callers against the requests that ran."""
        repeated_runs = {k: r for k, r in self.runs.items() if len(r) > 1}
        assert not repeated_runs
        for request_id, (key, outcome) in self.outcomes.items():
            if isinstance(outcome, types.NotRun):
                assert request_id not in self.ran_requests
            if isinstance(outcome, types.Answered):
                runner = self.runs[key][0]
                assert outcome.body == b"booked " + runner.encode()


@pytest.mark.parametrize("seed", range(24))
def test_schedule_of_faults_runs_no_key_twice(seed):
    """Guards against bookings that run twice or ran in spite of "not run".

    Entries and agents die and are replaced, links between entries break, the
    log is down or slow, loses answers and accepts records late, holders of
    claims are paused and resume, and callers repeat keys at any entry. Any two
    of these together may cause the failure.
    """
    clock = clocks.VirtualClock()

    async def body():
        schedule = FaultSchedule(clock, seed)
        schedule.answers = {}
        await schedule.start()
        faults = asyncio.ensure_future(schedule.inject_faults())
        await asyncio.gather(*(schedule.call(number) for number in range(150)))
        await faults
        await asyncio.gather(*schedule.tasks)
        await asyncio.sleep(5.0)
        schedule.check()
        for name, entry in schedule.fleet.entries.items():
            fresh = schedule.fleet.request(f"fresh-{name}", f"fresh-{name}")
            won = await entry.claims.claim(fresh)
            assert isinstance(won, request_types.ClaimWon)
        await schedule.fleet.stop()
        return schedule

    schedule = clocks.run(body(), clock)
    outcomes = collections.Counter(
        type(outcome).__name__ for _, outcome in schedule.outcomes.values()
    )
    # Without any answer or refusal the schedule would not test anything.
    assert outcomes["Answered"] > 0
    assert outcomes["NotRun"] > 0
