"""Tests processes of a failure domain that share topics."""

import asyncio
import random

import pytest
import shared_domain

from clementinegw.direct import peer_queries
from clementinegw.testing import clock as clocks


async def max_ages(domain, seconds):
    """Returns the maximum age of each process's copy over a period."""
    max_ages_s = [0.0] * len(domain.processes)
    for _ in range(int(seconds * 100)):
        await asyncio.sleep(0.01)
        max_ages_s = [
            max(a, b) for a, b in zip(max_ages_s, domain.ages(), strict=True)
        ]
    return max_ages_s


def test_without_faults_one_process_reads_and_all_copies_are_fresh():
    async def scenario():
        async with shared_domain.Domain(6) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(5.0)
            reads = domain.store.reads
            max_ages_s = await max_ages(domain, 16.0)
            return domain.store.reads - reads, max(max_ages_s)

    reads, max_age_s = clocks.run(scenario())
    assert reads <= 13
    assert max_age_s < 1.9


def test_at_a_common_start_the_first_processes_wait_for_the_previous_readers():
    """Guards against many snapshots over a narrow link after a power loss.

    The list still has the previous readers. The processes that were up first
    could not connect to the first readers of the list and each read a snapshot
    from the store, over a link that is narrow even for one per failure domain.
    """

    async def scenario():
        domain = shared_domain.Domain(7)
        domain.store.put("a", b"1")
        domain.set_readers(range(7))
        first, rest = domain.processes[:4], domain.processes[4:]
        for process in first:
            process.gone = True
        for process in rest:
            await process.watcher.start()
        await asyncio.sleep(0.6)
        for process in first:
            process.gone = False
            await process.watcher.start()
        await asyncio.sleep(0.6)
        known = [process.known for process in domain.processes]
        for process in domain.processes:
            await process.watcher.stop()
        return known, domain.store.snapshots

    known, snapshots = clocks.run(scenario())
    assert known == [{"a": b"1"}] * 7
    assert snapshots <= 2


def test_a_process_that_starts_without_reachable_readers_reads_the_store():
    async def scenario():
        async with shared_domain.Domain(5) as domain:
            domain.store.put("a", b"1")
            for process in domain.processes[:4]:
                process.gone = True
            await asyncio.sleep(1.6)
            return domain.processes[4].known

    assert clocks.run(scenario()) == {"a": b"1"}


@pytest.mark.parametrize("dead", [3, 8, 12])
def test_processes_whose_first_readers_are_down_do_not_all_read_the_store(dead):
    """Guards against a link that is full after a reader has gone."""

    async def scenario():
        async with shared_domain.Domain(20) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(5.0)
            for process in domain.processes[:dead]:
                process.gone = True
                await process.watcher.stop()
            domain.store.bytes_per_s = 1e6
            domain.store.bytes_out = 0
            for number in range(10):
                domain.store.put("a", b"%d" % number * 100_000)
                await asyncio.sleep(0.4)
            await asyncio.sleep(2.0)
            known = {p.known["a"][:1] for p in domain.processes[dead:]}
            return known, domain.store.bytes_out

    known, bytes_out = clocks.run(scenario())
    assert known == {b"9"}
    # Two readers read every change; more would exceed the link's rate.
    assert bytes_out <= 2 * 10 * 100_000


def test_a_change_reaches_all_processes_and_ages_no_copy():
    async def scenario():
        async with shared_domain.Domain(4) as domain:
            await asyncio.sleep(5.0)
            domain.store.put("a", b"1")
            await asyncio.sleep(0.1)
            known = [process.known for process in domain.processes]
            lag = [process.lag_s for process in domain.processes]
            return known, max(domain.ages()), max(lag)

    known, max_age_s, lag = clocks.run(scenario())
    assert known == [{"a": b"1"}] * 4
    assert max_age_s < 0.2
    assert lag < 0.2


@pytest.mark.parametrize("fault", ["gone", "frozen", "refused", "silent"])
def test_no_copy_gets_too_old_when_a_reader_fails(fault):
    """Tests a reader that ends, freezes, or alone loses the store.

    The other processes must not stop accepting callers, which they do when
    their copy is older than 2.75 s. Only the reader itself may, and a reader
    that cannot reach the store gets its data from the others.
    """

    async def scenario():
        async with shared_domain.Domain(4) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(6.3)
            reader = domain.processes[0]
            setattr(
                reader if fault in ("gone", "frozen") else reader.topic,
                fault,
                True,
            )
            max_ages_s = await max_ages(domain, 12.0)
            domain.store.put("b", b"2")
            await asyncio.sleep(0.3)
            return max_ages_s, [process.known for process in domain.processes]

    max_ages_s, known = clocks.run(scenario())
    assert max(max_ages_s[1:]) < 2.75
    assert known[1:] == [{"a": b"1", "b": b"2"}] * 3
    if fault in ("refused", "silent"):
        assert known[0] == known[1]


CONFIGURATION_BYTES = 525_000
LINK_BYTES_PER_S = 13e6 / 8
IN_FORCE_S = 3.0


@pytest.mark.parametrize("cut_off", [1, 3, 5])
@pytest.mark.parametrize("moment", [0.0, 0.4, 0.8, 1.2])
def test_a_large_change_arrives_in_time_though_readers_are_cut_off(
    cut_off, moment
):
    """Guards against an outdated configuration 3.2 s after a change.

    The store silently cuts off some entries of a failure domain, including the
    first readers, and a large configuration is acknowledged at that moment. The
    others waited for one reader after the other to fail. Then each of them read
    the whole configuration over the one link to the store, and none queried the
    entry that had it first.
    """

    async def scenario():
        async with shared_domain.Domain(12) as domain:
            domain.store.bytes_per_s = LINK_BYTES_PER_S
            domain.store.put("config", b"1")
            await asyncio.sleep(6.0 + moment)
            for process in domain.processes[:cut_off]:
                process.topic.silent = True
            domain.store.put("config", b"2" * CONFIGURATION_BYTES)
            await asyncio.sleep(IN_FORCE_S)
            domain.check_ages()
            known = [p.known["config"][:1] for p in domain.processes]
            return known, domain.store.bytes_out / CONFIGURATION_BYTES

    known, transfers = clocks.run(scenario())
    assert known == [b"2"] * 12
    assert transfers < 4.0


def test_two_processes_that_query_each_other_both_read_the_store():
    """Guards against two processes that wait for each other forever.

    After a change of the readers, each may take the other one for the first
    reader. If a queried process waited for an answer of its peer, neither would
    ever get one.
    """

    async def scenario():
        async with shared_domain.Domain(2) as domain:
            domain.processes[0].selector.set_candidates(
                (shared_domain.address(1),)
            )
            domain.processes[1].selector.set_candidates(
                (shared_domain.address(0),)
            )
            await asyncio.sleep(6.0)
            max_ages_s = await max_ages(domain, 6.0)
            domain.store.put("a", b"1")
            await asyncio.sleep(0.2)
            return max(max_ages_s), [
                process.known for process in domain.processes
            ]

    max_age_s, known = clocks.run(scenario())
    assert max_age_s < 2.2
    assert known == [{"a": b"1"}] * 2


def test_all_processes_recover_soon_after_an_outage_of_the_store():
    async def scenario():
        async with shared_domain.Domain(5) as domain:
            await asyncio.sleep(5.0)
            domain.store.down = True
            await asyncio.sleep(8.0)
            min_age_s = min(domain.ages())
            available_s = max(p.watcher.available_s for p in domain.processes)
            domain.store.down = False
            domain.store.put("a", b"1")
            await asyncio.sleep(1.6)
            known = [process.known for process in domain.processes]
            return min_age_s, available_s, known, max(domain.ages())

    min_age_s, available_s, known, max_age_s = clocks.run(scenario())
    assert min_age_s > 7.9
    assert available_s == 0.0
    assert known == [{"a": b"1"}] * 5
    assert max_age_s < 2.0


def test_an_outage_seen_by_the_reader_alone_counts_for_its_peers():
    """Guards against dropping servers whose listings expired in an outage.

    The list is complete again within two seconds after an outage. Processes
    that query a reader see no failure themselves, and would drop servers that
    are only missing until then.
    """

    async def scenario():
        async with shared_domain.Domain(3) as domain:
            await asyncio.sleep(20.0)
            domain.store.down = True
            await asyncio.sleep(0.5)
            domain.store.down = False
            await asyncio.sleep(1.0)
            watchers = [process.watcher for process in domain.processes]
            return [(w.available_s, w.outage_s) for w in watchers]

    for available_s, outage_s in clocks.run(scenario()):
        assert available_s < 1.3
        assert 0.3 < outage_s < 1.0


@pytest.mark.parametrize("seed", range(12))
def test_no_process_claims_a_fresher_copy_than_it_has(seed):
    """Tests random changes of readers, faults and keys.

    A revoked key must be rejected everywhere in time, so no process may take
    its copy for fresher than it is.
    """

    async def scenario():
        rng = random.Random(seed)
        async with shared_domain.Domain(4) as domain:
            for _ in range(400):
                await asyncio.sleep(rng.uniform(0.0, 0.2))
                _inject_fault(rng, domain)
                domain.check_ages()
            _repair(domain)
            await asyncio.sleep(25.0)
            return (
                [process.known for process in domain.processes],
                max(domain.ages()),
                {k: v for k, v in dict(domain.store.log).items() if v},
            )

    known, max_age_s, expected = clocks.run(scenario())
    assert known == [expected] * 4
    assert max_age_s < 2.2


def _inject_fault(rng, domain):
    process = rng.choice(domain.processes)
    weights = {
        "put": 10,
        "drop": 4,
        "gone": 1,
        "frozen": 1,
        "refused": 1,
        "silent": 1,
        "down": 0.3,
        "set_readers": 1,
        "repair": 2,
    }
    action = rng.choices(list(weights), list(weights.values()))[0]
    if action in ("put", "drop"):
        value = b"%d" % len(domain.store.log) if action == "put" else b""
        domain.store.put(f"k{rng.randrange(5)}", value)
    elif action in ("gone", "frozen"):
        setattr(process, action, True)
    elif action in ("refused", "silent"):
        setattr(process.topic, action, True)
    elif action == "down":
        domain.store.down = True
    elif action == "set_readers":
        order = list(range(len(domain.processes)))
        rng.shuffle(order)
        domain.set_readers(order)
    else:
        _repair(domain)


def _repair(domain):
    domain.store.down = False
    for process in domain.processes:
        process.gone = process.frozen = False
        process.topic.refused = process.topic.silent = False


def test_a_reader_that_was_suspended_sends_no_stale_snapshot():
    """Guards against snapshots from a reader that has just resumed.

    A process that started learned of a server that had long been gone. Its
    reader had been suspended and answered the query for a snapshot from its
    old copy, whatever its age.
    """

    async def scenario():
        async with shared_domain.Domain(2) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(3.0)
            reader = domain.processes[0]
            await reader.watcher.stop()
            domain.store.put("a", b"")
            await asyncio.sleep(10.0)
            query = peer_queries.Query("t", None, None, 0.0)

            async def send_keep_alive():
                """Does nothing."""

            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await reader.shared_topic.answer(query, send_keep_alive)

    clocks.run(scenario())


def test_a_large_change_crosses_the_link_few_times_after_an_outage():
    """Guards against outdated routes 3 s after a configuration is in force.

    The store is unavailable for eight seconds, and a large configuration is
    declared when it returns. During the outage all entries queried each other,
    and a queried process reads for its peers. So all of them read the whole
    configuration from the store at the same time over one link.
    """

    async def scenario():
        async with shared_domain.Domain(12) as domain:
            domain.store.bytes_per_s = LINK_BYTES_PER_S
            domain.store.put("config", b"1")
            await asyncio.sleep(6.0)
            domain.store.down = True
            await asyncio.sleep(8.0)
            domain.store.put("config", b"2" * CONFIGURATION_BYTES)
            domain.store.down = False
            await asyncio.sleep(IN_FORCE_S)
            known = [p.known["config"][:1] for p in domain.processes]
            return known, domain.store.bytes_out / CONFIGURATION_BYTES

    known, transfers = clocks.run(scenario())
    assert known == [b"2"] * 12
    assert transfers < 4.0
