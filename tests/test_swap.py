"""The share of workers out for loading is never exceeded, whatever fails."""

import asyncio
import random

import pytest
import weights_site

from clementinegw.bench import swap as swap_bench
from clementinegw.platform import log as platform_log
from clementinegw.weights import swap as swaps

V1, V2, V3 = weights_site.V1, weights_site.V2, weights_site.V3


class Trouble:
    """Random faults for some minutes, then none."""

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
        agent.wake()

    async def kill(self, agent):
        agent.kill()

    async def crash_engine(self, agent):
        agent.crash_engine()

    async def lose_report(self, agent):
        agent.engine.faults.answers_lost += 1


@pytest.mark.parametrize("seed", range(20))
def test_share_holds_and_the_newest_version_wins_under_faults(seed):
    """Symptom: a service's counters wait because too many workers load.

    Sequence: the log loses answers, is slow or cut off for some; agents pause,
    also while they are out, and wake; they die while they hold a lease; engines
    crash; the declared version changes meanwhile. Cause sought: a lease that
    two hold, or that nobody holds any more and nobody ends.
    """

    async def story(site):
        rng = random.Random(seed)
        await site.start()
        trouble = asyncio.create_task(Trouble(site, rng).run(240.0))
        for revision in range(2, 8):
            site.declare(rng.choice((V1, V2, V3)), revision)
            await asyncio.sleep(rng.uniform(5.0, 60.0))
        await trouble
        target, _ = site.declared
        await site.wait_until_served(target.version)

    weights_site.run(story, count=6, checks_fencing=seed % 2 == 0, seed=seed)


class Log:
    """A log in which a test says when a record lands."""

    def __init__(self):
        self.records = []
        self.first = 1

    def land(self, value):
        offset = len(self.records) + 1
        self.records.append(platform_log.Record(offset, 0.0, value))

    def page(self, offset):
        records = tuple(self.records[max(offset, self.first) - 1 :])
        return platform_log.Page(records, self.first, len(self.records) + 1)


class Worker:
    """One worker's decisions and what it has sent and been told."""

    def __init__(self, name, log):
        self.log = log
        self.swap = swaps.Swap(name, random.Random(name))
        self.sent = []
        self.told = []

    def take(self, actions):
        for action in actions:
            sent = isinstance(action, swaps.Append)
            (self.sent if sent else self.told).append(action)

    def read(self, now):
        page = self.log.page(self.swap.next_offset)
        self.take(self.swap.on_page(now, page))

    def tick(self, now):
        self.take(self.swap.on_tick(now))

    def land_all(self, now):
        """All that was sent lands and is read back, until nothing is sent."""
        self.tick(now)
        while self.sent:
            self.log.land(self.sent.pop(0).value)
            self.read(now)

    def go_out(self, now, limit=1):
        self.swap.acquire(now, limit)
        self.land_all(now)
        return self.swap.held


def test_release_that_lands_late_does_not_end_the_next_lease():
    """Symptom: one worker too many is out, seconds after a quick return.

    Sequence: a worker serves again and sends its RELEASE over a slow log; it
    wants to be out once more and renews the lease, which is still there; the
    RELEASE lands, and the next worker is granted the place.
    """
    log = Log()
    first, second = Worker("first", log), Worker("second", log)
    assert first.go_out(0.0)
    assert not second.go_out(0.0)
    first.swap.release()
    first.tick(1.0)
    late = first.sent.pop()
    first.swap.acquire(2.0, 1)
    for now in (2.0, 3.0, 4.5, 7.0):
        first.land_all(now)
        assert not first.swap.held
        second.read(now)
        second.land_all(now)
    log.land(late.value)
    first.read(8.0)
    second.read(8.0)
    assert not (first.swap.held and second.swap.held)
    assert second.swap.held


def test_observer_that_was_paused_ends_no_renewed_lease():
    """Symptom: the lease of a live holder ends.

    Sequence: a worker that waits is paused past the lease, wakes and ends it by
    what it had read before; the holder has renewed it meanwhile.
    """
    log = Log()
    holder, observer = Worker("holder", log), Worker("observer", log)
    assert holder.go_out(0.0)
    observer.go_out(0.0)
    for now in range(1, 60):
        holder.land_all(float(now))
    observer.tick(60.0)
    log.land(observer.sent.pop().value)
    holder.read(60.0)
    assert holder.swap.held
    assert not any(isinstance(told, swaps.Lost) for told in holder.told)


def test_paused_holder_gives_up_before_its_place_is_given_away():
    """A holder wakes after its lease was ended: it must not go on to load."""
    log = Log()
    holder, waiter = Worker("holder", log), Worker("waiter", log)
    assert holder.go_out(0.0)
    waiter.go_out(0.0)
    for now in range(1, 30):
        waiter.tick(float(now))
        waiter.land_all(float(now))
        if waiter.swap.held:
            break
    assert now >= 10
    holder.swap.cover()
    holder.tick(30.0)
    assert isinstance(holder.told[-1], swaps.Lost)
    holder.land_all(30.0)
    assert not any(isinstance(told, swaps.Covered) for told in holder.told)


def test_ask_whose_end_is_read_in_the_same_page_is_asked_anew():
    """Symptom: one worker keeps its old version for ever and fills the log.

    Sequence: a worker asks and is paused; its lease is granted, not renewed and
    ended by others; it wakes and reads all of that at once. Cause: its ASK is
    repeated under an id that has ended, which every reader ignores.
    """
    log = Log()
    paused, other = Worker("paused", log), Worker("other", log)
    paused.swap.acquire(0.0, 1)
    paused.tick(0.0)
    log.land(paused.sent.pop().value)
    other.swap.acquire(0.0, 1)
    for now in range(20):
        other.land_all(float(now))
    assert other.swap.held
    other.swap.release()
    other.land_all(20.0)
    paused.read(20.0)
    for now in range(21, 30):
        paused.land_all(float(now))
    assert paused.swap.held


def test_smallest_number_of_those_out_counts():
    """Workers with settings of two revisions: 2 may be out by the older one."""
    log = Log()
    workers = [Worker(f"worker-{n}", log) for n in range(3)]
    assert workers[0].go_out(0.0, limit=2)
    assert not workers[1].go_out(0.0, limit=1)
    assert not workers[2].go_out(0.0, limit=2), "in the order of asking"
    workers[0].swap.release()
    workers[0].land_all(1.0)
    for worker in workers[1:]:
        worker.read(1.0)
        worker.land_all(1.0)
    assert [worker.swap.held for worker in workers] == [False, True, False]


def test_holder_whose_ask_has_expired_from_the_log_is_counted():
    """Symptom: a worker that starts to read late goes out beside the others.

    Sequence: a load takes long, its lease is renewed; the log drops the record
    that opened it; an agent is started and reads what is left.
    """
    log = Log()
    holder, late = Worker("holder", log), Worker("late", log)
    assert holder.go_out(0.0)
    for now in range(1, 10):
        holder.land_all(float(now))
    log.first = len(log.records)
    assert not late.go_out(10.0)
    for now in range(11, 40):
        holder.land_all(float(now))
        late.read(float(now))
        late.land_all(float(now))
        assert holder.swap.held and not late.swap.held
    holder.swap.release()
    holder.land_all(40.0)
    late.read(40.0)
    late.land_all(40.0)
    assert late.swap.held


def test_log_that_was_set_back_grants_nothing_for_as_long_as_a_lease_lasts():
    """Symptom: after the log was restored from a copy too many are out.

    Sequence: the records of the leases are gone, their workers are not.
    """
    log = Log()
    holder, other = Worker("holder", log), Worker("other", log)
    assert holder.go_out(0.0)
    other.go_out(0.0)
    log.records.clear()
    other.read(1.0)
    longest = swaps.Timing().load_ttl_s
    for now in range(2, int(longest)):
        other.land_all(float(now))
        assert not other.swap.held
    other.land_all(longest + 2.0)
    assert other.swap.held


@pytest.mark.parametrize("dead", [0, 2])
def test_many_workers_swap_near_the_bound_with_few_appends(dead):
    """A dead holder's lease ends by itself; the others go on meanwhile."""
    plan = swap_bench.Plan(
        swap_bench.Policy.LEASES, 40, 0.25, 2.0, 20.0, 2.0, dead, 300.0, 1
    )
    found = swap_bench.measure(plan)
    assert found["most_out"] == found["max_out"] == 10
    assert found["ratio_to_bound"] < (1.5 if dead else 1.3)
    assert found["appends_per_worker"] < 6
