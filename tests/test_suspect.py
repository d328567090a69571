"""Tests that requests that crash servers are refused and others are not."""

import asyncio
import random

import claims_fleet
import hypothesis
from hypothesis import strategies
import pytest

from clementinegw import types
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import suspect
from clementinegw.requests import suspects_service
from clementinegw.requests import types as request_types
from clementinegw.testing import clock as clocks
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.requests import ttypes

CLEAR = request_types.Clear()
ALONE = request_types.RunAlone()
REFUSE = request_types.Refuse()


def crash(agent, sequence, fingerprints, time=100.0, incarnation=1):
    return ttypes.CrashReport(
        instance_id=agent,
        incarnation=incarnation,
        sequence=sequence,
        service_name="assistent",
        fingerprints=fingerprints,
        time_ms=int(time * 1000),
    )


def cleared(fingerprints, time):
    return ttypes.Cleared(fingerprints=fingerprints, time_ms=int(time * 1000))


def test_second_crash_refuses_and_completed_requests_are_cleared():
    """Guards against a request that crashes one server after another.

    The request crashes a server with three others in its batch, and all four
    run alone from then on. The others complete; the request is sent again by
    its caller or as a retry, and crashes a second server.
    """
    tracker = suspect.SuspectTracker()
    batch = [b"poison", b"a", b"b", b"c"]
    tracker.record_crash(crash("agent-1", 1, batch))
    assert {tracker.verdict(f) for f in batch} == {ALONE}
    tracker.record_completion(cleared([b"a", b"b"], 101.0))
    tracker.record_crash(crash("agent-2", 1, [b"poison"], 102.0))
    verdicts = [tracker.verdict(f) for f in batch]
    assert verdicts == [REFUSE, CLEAR, CLEAR, ALONE]


def test_crash_that_is_reported_twice_counts_once():
    tracker = suspect.SuspectTracker()
    for _ in range(3):
        tracker.record_crash(crash("agent-1", 1, [b"a"]))
    assert tracker.verdict(b"a") == ALONE
    tracker.record_crash(crash("agent-1", 1, [b"a"], incarnation=2))
    assert tracker.verdict(b"a") == REFUSE


def test_crash_reported_after_a_later_completion_is_ignored():
    tracker = suspect.SuspectTracker()
    tracker.record_completion(cleared([b"a"], 101.0))
    tracker.record_crash(crash("agent-1", 1, [b"a"], 100.0))
    assert tracker.verdict(b"a") == CLEAR
    tracker.record_crash(crash("agent-1", 2, [b"a"], 102.0))
    assert tracker.verdict(b"a") == ALONE


def test_memory_is_bounded_and_refused_requests_are_evicted_last():
    tracker = suspect.SuspectTracker(suspect.Limits(max_fingerprints=10))
    tracker.record_crash(crash("agent-1", 1, [b"poison"], 1.0))
    tracker.record_crash(crash("agent-2", 1, [b"poison"], 2.0))
    for number in range(100):
        name = b"%d" % number
        tracker.record_crash(crash("agent-3", number, [name], 3.0 + number))
    assert len(tracker) == 10
    assert tracker.verdict(b"poison") == REFUSE
    tracker.record_crash(crash("agent-4", 1, [], 90_000.0))
    assert tracker.verdict(b"poison") == CLEAR


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(strategies.integers(0, 1 << 32))
def test_order_and_repetition_of_records_do_not_change_the_verdicts(seed):
    """Entries receive notices and records of the log in different orders."""
    rng = random.Random(seed)
    names = [b"a", b"b", b"c"]
    records = [
        crash(f"agent-{n}", 1, rng.sample(names, 2), rng.randrange(100))
        for n in range(3)
    ]
    clears = [cleared([rng.choice(names)], rng.randrange(100))]
    verdicts = []
    for _ in range(4):
        tracker = suspect.SuspectTracker()
        steps = [(tracker.record_crash, r) for r in records + records]
        steps += [(tracker.record_completion, c) for c in clears]
        rng.shuffle(steps)
        for take, record in steps:
            take(record)
        verdicts.append([tracker.verdict(name) for name in names])
    assert all(verdict == verdicts[0] for verdict in verdicts)


class Endpoint(claims_fleet.Endpoint):
    """An endpoint that also receives notices of agents."""

    def on_notice(self, kind, handler):
        self.handlers[kind] = handler

    def connections(self):
        return []


class SuspectFleet:
    """Entries and agents whose servers crash on the request `poison`."""

    def __init__(self, clock, entries):
        self.clock = clock
        self.fleet = claims_fleet.Fleet(clock)
        self.names = entries
        self.suspects = {}
        self.crashes = 0
        self.running = 0
        self.max_running = 0
        self.poison = request_types.fingerprint("s", "POST", "/", b"poison")

    async def __aenter__(self):
        for name in self.names:
            entry = await self.fleet.start(name)
            endpoint = Endpoint(self.fleet.network, name + "s", 1, 1)
            service = suspects_service.SuspectsService(
                endpoint, entry.log, entry.claims, clock=self.clock
            )
            await service.start()
            self.suspects[name] = service
        return self

    async def __aexit__(self, *error):
        for service in self.suspects.values():
            await service.stop()
        await self.fleet.stop()

    def report_crash(self, fingerprints, notified):
        """Records a crash and notifies some entries, as an agent does."""
        self.crashes += 1
        record = ttypes.SuspectRecord(
            crash=crash(
                "agent-1", self.crashes, fingerprints, self.clock.wall()
            )
        )
        body = codec.encode(record)
        for name in notified:
            handlers = self.suspects[name]._endpoint.handlers
            handlers[connection.Kind.CRASHED](None, body)
        self.fleet.log.put("suspects", body)

    async def run(self, name, request, batched_with=()):
        """Runs a request as the pipeline does; returns its outcome."""
        service = self.suspects[name]
        lease = await service.acquire_lease(request, 2.0)
        if isinstance(lease, types.NotRun):
            return lease
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await asyncio.sleep(0.01)
        self.running -= 1
        if request.fingerprint == self.poison:
            alone = lease is not None
            others = [] if alone else list(batched_with)
            self.report_crash([request.fingerprint, *others], [name])
            return types.Unknown(types.UnknownReason.BACKEND_CRASHED)
        if lease is not None:
            service.release_lease(lease)
        service.completed(request)
        return types.Answered(200, (), b"")


def request(suspect_fleet, body):
    made = suspect_fleet.fleet.request("r", body=body)
    made.fingerprint = request_types.fingerprint("s", "POST", "/", body)
    return made


@pytest.mark.parametrize("log_down", [False, True])
def test_crashing_request_at_many_entries_crashes_at_most_two_servers(log_down):
    """Guards against repetitions that crash one server after the other.

    The caller repeats the request through different entries, and no entry
    observes the crashes of the others itself. While the log is down, entries
    know of them only from notices.
    """
    clock = clocks.VirtualClock()

    async def body():
        async with SuspectFleet(clock, ["e1", "e2", "e3"]) as suspect_fleet:
            outcomes = [
                await suspect_fleet.run(
                    "e1", request(suspect_fleet, b"poison"), [b"x"]
                )
            ]
            await asyncio.sleep(0.5)
            for entry in suspect_fleet.fleet.entries.values():
                entry.log.faults.down = log_down
            for _ in range(4):
                results = await asyncio.gather(
                    *(
                        suspect_fleet.run(
                            name, request(suspect_fleet, b"poison")
                        )
                        for name in suspect_fleet.names
                        for _ in range(3)
                    )
                )
                outcomes += results
                await asyncio.sleep(1.0)
            assert suspect_fleet.crashes <= 2
            assert suspect_fleet.max_running == 1
            refused = [o for o in outcomes if isinstance(o, types.NotRun)]
            assert len(refused) == len(outcomes) - suspect_fleet.crashes
            assert {o.reason for o in refused} == {types.NotRunReason.SUSPECT}

    clocks.run(body(), clock)


def test_other_request_of_the_batch_is_cleared_everywhere_by_one_answer():
    clock = clocks.VirtualClock()

    async def body():
        async with SuspectFleet(clock, ["e1", "e2"]) as suspect_fleet:
            other = request(suspect_fleet, b"innocent")
            shared = [other.fingerprint]
            await suspect_fleet.run(
                "e1", request(suspect_fleet, b"poison"), shared
            )
            await asyncio.sleep(0.1)
            assert suspect_fleet.suspects["e2"].check(other, 0.0) == ALONE
            outcome = await suspect_fleet.run("e2", other)
            assert isinstance(outcome, types.Answered)
            await asyncio.sleep(0.1)
            assert suspect_fleet.suspects["e1"].check(other, 0.0) == CLEAR
            assert suspect_fleet.suspects["e2"].check(other, 0.0) == CLEAR

    clocks.run(body(), clock)


def test_refusal_outlives_the_entries_that_recorded_it():
    clock = clocks.VirtualClock()

    async def body():
        async with SuspectFleet(clock, ["e1"]) as suspect_fleet:
            for _ in range(2):
                await suspect_fleet.run("e1", request(suspect_fleet, b"poison"))
                await asyncio.sleep(70.0)
            assert suspect_fleet.crashes == 2
        async with SuspectFleet(clock, ["e9"]) as later:
            later.fleet.log = suspect_fleet.fleet.log
            service = suspects_service.SuspectsService(
                Endpoint(later.fleet.network, "e10", 2, 1),
                suspect_fleet.fleet.log.client(),
                later.fleet.entries["e9"].claims,
                clock=clock,
            )
            await service.start()
            await asyncio.sleep(0.1)
            assert service.check(request(later, b"poison"), 0.0) == REFUSE
            await service.stop()

    clocks.run(body(), clock)


def test_fingerprint_depends_on_the_request_and_not_on_its_caller():
    one = request_types.fingerprint("s", "POST", "/v1", b"body")
    assert one == request_types.fingerprint("s", "POST", "/v1", b"body")
    assert one != request_types.fingerprint("s", "POST", "/v", b"1body")
    assert len(one) == claim_lib.HASH_BYTES
