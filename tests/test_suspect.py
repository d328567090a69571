"""Requests that crash backend servers: found soon, innocents go free."""

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


def test_second_crash_refuses_and_innocents_go_free():
    """Symptom: one request takes down server after server.

    Sequence: it crashes a server with three others in its batch; all four run
    alone from then on; the innocent ones complete, it crashes a second server.
    Cause: its caller, or a retry, sends it again.
    """
    known = suspect.Suspicions()
    batch = [b"poison", b"a", b"b", b"c"]
    known.crashed(crash("agent-1", 1, batch))
    assert {known.verdict(f) for f in batch} == {ALONE}
    known.cleared(cleared([b"a", b"b"], 101.0))
    known.crashed(crash("agent-2", 1, [b"poison"], 102.0))
    verdicts = [known.verdict(f) for f in batch]
    assert verdicts == [REFUSE, CLEAR, CLEAR, ALONE]


def test_one_crash_that_is_told_twice_counts_once():
    known = suspect.Suspicions()
    for _ in range(3):
        known.crashed(crash("agent-1", 1, [b"a"]))
    assert known.verdict(b"a") == ALONE
    known.crashed(crash("agent-1", 1, [b"a"], incarnation=2))
    assert known.verdict(b"a") == REFUSE


def test_crash_that_is_told_after_the_completion_does_not_accuse():
    known = suspect.Suspicions()
    known.cleared(cleared([b"a"], 101.0))
    known.crashed(crash("agent-1", 1, [b"a"], 100.0))
    assert known.verdict(b"a") == CLEAR
    known.crashed(crash("agent-1", 2, [b"a"], 102.0))
    assert known.verdict(b"a") == ALONE


def test_memory_is_bounded_and_forgets_the_refused_last():
    known = suspect.Suspicions(suspect.Limits(fingerprints=10))
    known.crashed(crash("agent-1", 1, [b"poison"], 1.0))
    known.crashed(crash("agent-2", 1, [b"poison"], 2.0))
    for number in range(100):
        name = b"%d" % number
        known.crashed(crash("agent-3", number, [name], 3.0 + number))
    assert len(known) == 10
    assert known.verdict(b"poison") == REFUSE
    known.crashed(crash("agent-4", 1, [], 90_000.0))
    assert known.verdict(b"poison") == CLEAR


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(strategies.integers(0, 1 << 32))
def test_records_in_any_order_and_number_end_the_same(seed):
    """Entries hear by notices and by the log, in different orders."""
    rng = random.Random(seed)
    names = [b"a", b"b", b"c"]
    records = [
        crash(f"agent-{n}", 1, rng.sample(names, 2), rng.randrange(100))
        for n in range(3)
    ]
    clears = [cleared([rng.choice(names)], rng.randrange(100))]
    verdicts = []
    for _ in range(4):
        known = suspect.Suspicions()
        steps = [(known.crashed, r) for r in records + records]
        steps += [(known.cleared, c) for c in clears]
        rng.shuffle(steps)
        for take, record in steps:
            take(record)
        verdicts.append([known.verdict(name) for name in names])
    assert all(verdict == verdicts[0] for verdict in verdicts)


class Endpoint(claims_fleet.Endpoint):
    """An endpoint that agents notify."""

    def on_notice(self, kind, handler):
        self.handlers[kind] = handler

    def connections(self):
        return []


class Site:
    """Entries and agents before servers that a poisonous request crashes."""

    def __init__(self, clock, entries):
        self.clock = clock
        self.fleet = claims_fleet.Fleet(clock)
        self.names = entries
        self.suspects = {}
        self.crashes = 0
        self.running = 0
        self.most_running = 0
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

    def tell(self, fingerprints, told):
        """Records a crash and notifies some entries, as an agent does."""
        self.crashes += 1
        record = ttypes.SuspectRecord(
            crash=crash(
                "agent-1", self.crashes, fingerprints, self.clock.wall()
            )
        )
        body = codec.encode(record)
        for name in told:
            handlers = self.suspects[name]._endpoint.handlers
            handlers[connection.Kind.CRASHED](None, body)
        self.fleet.log.put("suspects", body)

    async def run(self, name, request, innocent_with=()):
        """Runs a request as the pipeline does; returns its outcome."""
        service = self.suspects[name]
        turn = await service.acquire_lease(request, 2.0)
        if isinstance(turn, types.NotRun):
            return turn
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await asyncio.sleep(0.01)
        self.running -= 1
        if request.fingerprint == self.poison:
            alone = turn is not None
            others = [] if alone else list(innocent_with)
            self.tell([request.fingerprint, *others], [name])
            return types.Unknown(types.UnknownReason.BACKEND_CRASHED)
        if turn is not None:
            service.release_lease(turn)
        service.completed(request)
        return types.Answered(200, (), b"")


def request(site, body):
    made = site.fleet.request("r", body=body)
    made.fingerprint = request_types.fingerprint("s", "POST", "/", body)
    return made


@pytest.mark.parametrize("log_down", [False, True])
def test_poison_from_many_entries_crashes_two_servers_at_most(log_down):
    """Symptom: a caller's repetitions walk through the fleet, crash by crash.

    Sequence: the caller sends the request again and again, each time through
    another entry; with the log down the entries only have the notices. Cause:
    no entry sees the crashes of the others by itself.
    """
    clock = clocks.VirtualClock()

    async def body():
        async with Site(clock, ["e1", "e2", "e3"]) as site:
            outcomes = [await site.run("e1", request(site, b"poison"), [b"x"])]
            await asyncio.sleep(0.5)
            for entry in site.fleet.entries.values():
                entry.log.faults.down = log_down
            for _ in range(4):
                results = await asyncio.gather(
                    *(
                        site.run(name, request(site, b"poison"))
                        for name in site.names
                        for _ in range(3)
                    )
                )
                outcomes += results
                await asyncio.sleep(1.0)
            assert site.crashes <= 2
            assert site.most_running == 1
            refused = [o for o in outcomes if isinstance(o, types.NotRun)]
            assert len(refused) == len(outcomes) - site.crashes
            assert {o.reason for o in refused} == {types.NotRunReason.SUSPECT}

    clocks.run(body(), clock)


def test_innocent_of_the_same_batch_is_free_everywhere_after_one_answer():
    clock = clocks.VirtualClock()

    async def body():
        async with Site(clock, ["e1", "e2"]) as site:
            innocent = request(site, b"innocent")
            shared = [innocent.fingerprint]
            await site.run("e1", request(site, b"poison"), shared)
            await asyncio.sleep(0.1)
            assert site.suspects["e2"].check(innocent, 0.0) == ALONE
            outcome = await site.run("e2", innocent)
            assert isinstance(outcome, types.Answered)
            await asyncio.sleep(0.1)
            assert site.suspects["e1"].check(innocent, 0.0) == CLEAR
            assert site.suspects["e2"].check(innocent, 0.0) == CLEAR

    clocks.run(body(), clock)


def test_finding_outlives_every_entry_that_made_it():
    clock = clocks.VirtualClock()

    async def body():
        async with Site(clock, ["e1"]) as site:
            for _ in range(2):
                await site.run("e1", request(site, b"poison"))
                await asyncio.sleep(70.0)
            assert site.crashes == 2
        async with Site(clock, ["e9"]) as later:
            later.fleet.log = site.fleet.log
            service = suspects_service.SuspectsService(
                Endpoint(later.fleet.network, "e10", 2, 1),
                site.fleet.log.client(),
                later.fleet.entries["e9"].claims,
                clock=clock,
            )
            await service.start()
            await asyncio.sleep(0.1)
            assert service.check(request(later, b"poison"), 0.0) == REFUSE
            await service.stop()

    clocks.run(body(), clock)


def test_fingerprint_is_of_the_request_and_not_of_its_caller():
    one = request_types.fingerprint("s", "POST", "/v1", b"body")
    assert one == request_types.fingerprint("s", "POST", "/v1", b"body")
    assert one != request_types.fingerprint("s", "POST", "/v", b"1body")
    assert len(one) == claim_lib.HASH_BYTES
