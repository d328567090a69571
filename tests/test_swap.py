"""The share of workers out of service is never exceeded, whatever fails."""

import asyncio
import random

import pytest
import weights_site

from clementinegw.bench import swap as swap_bench
from clementinegw.platform import log as platform_log
from clementinegw.weights import swap as swaps

V1, V2, V3 = weights_site.V1, weights_site.V2, weights_site.V3


class FaultInjector:
    """Injects random faults for some time."""

    def __init__(self, site, rng):
        self.site = site
        self.rng = rng
        self.kinds = (
            self.lose_appends,
            self.cut_log,
            self.slow_log,
            self.pause,
            self.kill,
            self.crash_engine,
            self.lose_report,
        )

    async def run(self, seconds):
        end = self.site.clock.now() + seconds
        async with asyncio.TaskGroup() as group:
            while self.site.clock.now() < end:
                await asyncio.sleep(self.rng.expovariate(0.5))
                agent = self.rng.choice(self.site.agents)
                kind = self.rng.choice(self.kinds)
                if not agent.paused:
                    group.create_task(kind(agent))

    async def lose_appends(self, agent):
        agent.log.faults.answer_lost += self.rng.randint(1, 3)
        agent.log.faults.refused += self.rng.randint(0, 2)

    async def cut_log(self, agent):
        faults = agent.log.faults
        faults.down = True
        await asyncio.sleep(self.rng.expovariate(1 / 20))
        faults.down = False

    async def slow_log(self, agent):
        faults = agent.log.faults
        faults.slow_s = self.rng.uniform(0.1, 4.0)
        await asyncio.sleep(self.rng.expovariate(1 / 10))
        faults.slow_s = 0.0

    async def pause(self, agent):
        agent.pause()
        await asyncio.sleep(self.rng.choice((0.5, 5.0, 15.0, 60.0)))
        agent.resume()

    async def kill(self, agent):
        agent.kill()

    async def crash_engine(self, agent):
        agent.crash_engine()

    async def lose_report(self, agent):
        agent.engine.faults.answers_lost += 1


@pytest.mark.parametrize("seed", range(20))
def test_share_holds_and_the_newest_version_is_served_under_faults(seed):
    """Guards against too many workers that load at the same time.

    The log loses answers, is slow or unreachable for some agents. Agents pause
    and resume, also while they are out, and die while they hold a lease.
    Engines crash, and the declared version changes meanwhile. The test looks
    for a lease with two holders, or one without a holder that nobody ends.
    """

    async def scenario(site):
        rng = random.Random(seed)
        await site.start()
        faults = asyncio.create_task(FaultInjector(site, rng).run(240.0))
        for revision in range(2, 8):
            site.declare(rng.choice((V1, V2, V3)), revision)
            await asyncio.sleep(rng.uniform(5.0, 60.0))
        await faults
        target, _ = site.declared
        await site.wait_until_served(target.version)

    weights_site.run(scenario, count=6, checks_fencing=seed % 2 == 0, seed=seed)


class Log:
    """A log in which the test decides when a record is appended."""

    def __init__(self):
        self.records = []
        self.first = 1

    def append(self, value):
        offset = len(self.records) + 1
        self.records.append(platform_log.Record(offset, 0.0, value))

    def page(self, offset):
        records = tuple(self.records[max(offset, self.first) - 1 :])
        return platform_log.Page(records, self.first, len(self.records) + 1)


class Worker:
    """One worker's swap with its appends and the actions it reported."""

    def __init__(self, name, log):
        self.log = log
        self.swap = swaps.Swap(name, random.Random(name))
        self.sent = []
        self.reported = []

    def take(self, actions):
        for action in actions:
            sent = isinstance(action, swaps.Append)
            (self.sent if sent else self.reported).append(action)

    def read(self, now):
        page = self.log.page(self.swap.next_offset)
        self.take(self.swap.on_page(now, page))

    def tick(self, now):
        self.take(self.swap.on_tick(now))

    def append_all(self, now):
        """Appends and reads back all records until no more are sent."""
        self.tick(now)
        while self.sent:
            self.log.append(self.sent.pop(0).value)
            self.read(now)

    def acquire(self, now, limit=1):
        self.swap.acquire(now, limit)
        self.append_all(now)
        return self.swap.held


def test_release_that_is_appended_late_does_not_end_the_next_lease():
    """Guards against one worker too many that is out after a quick return.

    A worker serves again and sends its RELEASE over a slow log. It needs to
    leave service once more and renews the lease, which still exists. Then the
    RELEASE is appended, and the place is granted to the next worker.
    """
    log = Log()
    first, second = Worker("first", log), Worker("second", log)
    assert first.acquire(0.0)
    assert not second.acquire(0.0)
    first.swap.release()
    first.tick(1.0)
    late = first.sent.pop()
    first.swap.acquire(2.0, 1)
    for now in (2.0, 3.0, 4.5, 7.0):
        first.append_all(now)
        assert not first.swap.held
        second.read(now)
        second.append_all(now)
    log.append(late.value)
    first.read(8.0)
    second.read(8.0)
    assert not (first.swap.held and second.swap.held)
    assert second.swap.held


def test_waiting_worker_that_was_paused_ends_no_renewed_lease():
    """Guards against ending the lease of a live holder.

    A waiting worker is paused for longer than the lease lasts and ends it when
    it resumes, by what it had read before. Meanwhile the holder has renewed it.
    """
    log = Log()
    holder, observer = Worker("holder", log), Worker("observer", log)
    assert holder.acquire(0.0)
    observer.acquire(0.0)
    for now in range(1, 60):
        holder.append_all(float(now))
    observer.tick(60.0)
    log.append(observer.sent.pop().value)
    holder.read(60.0)
    assert holder.swap.held
    assert not any(isinstance(action, swaps.Lost) for action in holder.reported)


def test_paused_holder_does_not_use_a_lease_that_was_ended():
    """A holder that resumes after its lease was ended must not load."""
    log = Log()
    holder, waiter = Worker("holder", log), Worker("waiter", log)
    assert holder.acquire(0.0)
    waiter.acquire(0.0)
    for now in range(1, 30):
        waiter.tick(float(now))
        waiter.append_all(float(now))
        if waiter.swap.held:
            break
    assert now >= 10
    holder.swap.cover()
    holder.tick(30.0)
    assert isinstance(holder.reported[-1], swaps.Lost)
    holder.append_all(30.0)
    assert not any(
        isinstance(action, swaps.Covered) for action in holder.reported
    )


def test_ask_whose_end_is_read_in_the_same_page_is_replaced():
    """Guards against a worker that keeps its old version and fills the log.

    A worker asks and is paused. Its lease is granted, not renewed and ended by
    others, and it reads all of that at once when it resumes. If it repeated its
    ASK with the id of the ended lease, every reader would ignore it.
    """
    log = Log()
    paused, other = Worker("paused", log), Worker("other", log)
    paused.swap.acquire(0.0, 1)
    paused.tick(0.0)
    log.append(paused.sent.pop().value)
    other.swap.acquire(0.0, 1)
    for now in range(20):
        other.append_all(float(now))
    assert other.swap.held
    other.swap.release()
    other.append_all(20.0)
    paused.read(20.0)
    for now in range(21, 30):
        paused.append_all(float(now))
    assert paused.swap.held


def test_lowest_limit_among_the_workers_that_are_out_applies():
    """The workers have settings of two revisions; the older allows two out."""
    log = Log()
    workers = [Worker(f"worker-{n}", log) for n in range(3)]
    assert workers[0].acquire(0.0, limit=2)
    assert not workers[1].acquire(0.0, limit=1)
    assert not workers[2].acquire(0.0, limit=2), "granted in queue order"
    workers[0].swap.release()
    workers[0].append_all(1.0)
    for worker in workers[1:]:
        worker.read(1.0)
        worker.append_all(1.0)
    assert [worker.swap.held for worker in workers] == [False, True, False]


def test_holder_whose_ask_has_expired_from_the_log_is_counted():
    """Guards against a worker that starts to read late and misses a lease.

    A load takes long and its lease is renewed, until the log drops the record
    that opened it. An agent that starts then reads only the remaining records.
    """
    log = Log()
    holder, late = Worker("holder", log), Worker("late", log)
    assert holder.acquire(0.0)
    for now in range(1, 10):
        holder.append_all(float(now))
    log.first = len(log.records)
    assert not late.acquire(10.0)
    for now in range(11, 40):
        holder.append_all(float(now))
        late.read(float(now))
        late.append_all(float(now))
        assert holder.swap.held and not late.swap.held
    holder.swap.release()
    holder.append_all(40.0)
    late.read(40.0)
    late.append_all(40.0)
    assert late.swap.held


def test_log_that_was_rolled_back_grants_nothing_while_a_lease_may_last():
    """Guards against too many workers out after the log was restored.

    The records of leases are missing from the restored copy while their workers
    are still out.
    """
    log = Log()
    holder, other = Worker("holder", log), Worker("other", log)
    assert holder.acquire(0.0)
    other.acquire(0.0)
    log.records.clear()
    other.read(1.0)
    longest = swaps.Timing().load_ttl_s
    for now in range(2, int(longest)):
        other.append_all(float(now))
        assert not other.swap.held
    other.append_all(longest + 2.0)
    assert other.swap.held


@pytest.mark.parametrize("dead", [0, 2])
def test_many_workers_swap_in_near_minimal_time_with_few_appends(dead):
    """A dead holder's lease expires; the others continue meanwhile."""
    plan = swap_bench.Plan(
        swap_bench.Policy.LEASES, 40, 0.25, 2.0, 20.0, 2.0, dead, 300.0, 1
    )
    result = swap_bench.measure(plan)
    assert result["most_out"] == result["max_out"] == 10
    assert result["ratio_to_bound"] < (1.5 if dead else 1.3)
    assert result["appends_per_worker"] < 6
