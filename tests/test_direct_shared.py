"""Processes of one failure domain that read topics for each other."""

import asyncio
import random

import pytest
import shared_domain

from clementinegw.direct import peer_queries
from clementinegw.testing import clock as clocks


async def oldest_of(domain, seconds):
    """Returns each process's greatest age over a time."""
    oldest = [0.0] * len(domain.processes)
    for _ in range(int(seconds * 100)):
        await asyncio.sleep(0.01)
        oldest = [max(a, b) for a, b in zip(oldest, domain.ages(), strict=True)]
    return oldest


def test_in_the_calm_one_process_reads_and_all_are_as_young():
    async def play():
        async with shared_domain.Domain(6) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(5.0)
            reads = domain.store.reads
            oldest = await oldest_of(domain, 16.0)
            return domain.store.reads - reads, max(oldest)

    reads, oldest = clocks.run(play())
    assert reads <= 13
    assert oldest < 1.9


def test_at_a_start_of_all_early_ones_wait_for_the_readers_of_before():
    """All lost power; the list still names who read before.

    Those who were up first were refused by all that stand first on the list,
    and read everything from the store themselves, over a link that is narrow
    for one reading a failure domain.
    """

    async def play():
        domain = shared_domain.Domain(7)
        domain.store.put("a", b"1")
        domain.elect(range(7))
        first, others = domain.processes[:4], domain.processes[4:]
        for process in first:
            process.gone = True
        for process in others:
            await process.follower.start()
        await asyncio.sleep(0.6)
        for process in first:
            process.gone = False
            await process.follower.start()
        await asyncio.sleep(0.6)
        known = [process.known for process in domain.processes]
        for process in domain.processes:
            await process.follower.stop()
        return known, domain.store.wholes

    known, wholes = clocks.run(play())
    assert known == [{"a": b"1"}] * 7
    assert wholes <= 2


def test_one_that_starts_while_the_first_readers_are_gone_reads_by_itself():
    async def play():
        async with shared_domain.Domain(5) as domain:
            domain.store.put("a", b"1")
            for process in domain.processes[:4]:
                process.gone = True
            await asyncio.sleep(1.6)
            return domain.processes[4].known

    assert clocks.run(play()) == {"a": b"1"}


def test_a_change_reaches_everyone_and_makes_nobody_old():
    async def play():
        async with shared_domain.Domain(4) as domain:
            await asyncio.sleep(5.0)
            domain.store.put("a", b"1")
            await asyncio.sleep(0.1)
            known = [process.known for process in domain.processes]
            lag = [process.lag_s for process in domain.processes]
            return known, max(domain.ages()), max(lag)

    known, oldest, lag = clocks.run(play())
    assert known == [{"a": b"1"}] * 4
    assert oldest < 0.2
    assert lag < 0.2


@pytest.mark.parametrize("harm", ["gone", "frozen", "refused", "silent"])
def test_a_reader_that_falls_out_makes_nobody_too_old(harm):
    """The reader ends, freezes, or loses its way to the store alone.

    The others must not stop to take callers, which they do when their
    knowledge is older than 2.75 s; only the reader itself may, and a reader
    that the store turns away is served by the others.
    """

    async def play():
        async with shared_domain.Domain(4) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(6.3)
            reader = domain.processes[0]
            setattr(
                reader if harm in ("gone", "frozen") else reader.topic,
                harm,
                True,
            )
            oldest = await oldest_of(domain, 12.0)
            domain.store.put("b", b"2")
            await asyncio.sleep(0.3)
            return oldest, [process.known for process in domain.processes]

    oldest, known = clocks.run(play())
    assert max(oldest[1:]) < 2.75
    assert known[1:] == [{"a": b"1", "b": b"2"}] * 3
    if harm in ("refused", "silent"):
        assert known[0] == known[1]


CONFIGURATION_BYTES = 525_000
LINK_BYTES_PER_S = 13e6 / 8
IN_FORCE_S = 3.0


@pytest.mark.parametrize("turned_away", [1, 3, 5])
@pytest.mark.parametrize("moment", [0.0, 0.4, 0.8, 1.2])
def test_a_large_change_is_known_in_time_though_its_readers_are_turned_away(
    turned_away, moment
):
    """Symptom: an entry serves an older configuration 3.2 s after a newer one.

    Sequence: the store turns some entries of a failure domain away without a
    word, the first readers among them; a large configuration is acknowledged
    at that moment. Cause: the others waited for the readers to fail one after
    the other, then each read the whole of it over the one link to the store,
    and nobody asked the entry that had it first.
    """

    async def play():
        async with shared_domain.Domain(12) as domain:
            domain.store.bytes_per_s = LINK_BYTES_PER_S
            domain.store.put("config", b"1")
            await asyncio.sleep(6.0 + moment)
            for process in domain.processes[:turned_away]:
                process.topic.silent = True
            domain.store.put("config", b"2" * CONFIGURATION_BYTES)
            await asyncio.sleep(IN_FORCE_S)
            domain.prove()
            known = [p.known["config"][:1] for p in domain.processes]
            return known, domain.store.bytes_out / CONFIGURATION_BYTES

    known, crossed = clocks.run(play())
    assert known == [b"2"] * 12
    assert crossed < 4.0


def test_two_that_ask_each_other_both_read_the_store():
    """After a change among the readers each takes the other for the first.

    Neither would ever hear anything if an answer could wait for the other's.
    """

    async def play():
        async with shared_domain.Domain(2) as domain:
            domain.processes[0].selector.set_candidates(
                (shared_domain.address(1),)
            )
            domain.processes[1].selector.set_candidates(
                (shared_domain.address(0),)
            )
            await asyncio.sleep(6.0)
            oldest = await oldest_of(domain, 6.0)
            domain.store.put("a", b"1")
            await asyncio.sleep(0.2)
            return max(oldest), [process.known for process in domain.processes]

    oldest, known = clocks.run(play())
    assert oldest < 2.2
    assert known == [{"a": b"1"}] * 2


def test_when_the_store_returns_everyone_knows_soon():
    async def play():
        async with shared_domain.Domain(5) as domain:
            await asyncio.sleep(5.0)
            domain.store.down = True
            await asyncio.sleep(8.0)
            young = min(domain.ages())
            settled = max(p.follower.available_s for p in domain.processes)
            domain.store.down = False
            domain.store.put("a", b"1")
            await asyncio.sleep(1.6)
            known = [process.known for process in domain.processes]
            return young, settled, known, max(domain.ages())

    young, settled, known, oldest = clocks.run(play())
    assert young > 7.9
    assert settled == 0.0
    assert known == [{"a": b"1"}] * 5
    assert oldest < 2.0


def test_an_outage_seen_by_the_reader_alone_counts_for_those_who_ask():
    """A list that lapsed in an outage fills again within two seconds.

    Who asked the reader saw no failure, and would have taken servers that are
    only missing for gone.
    """

    async def play():
        async with shared_domain.Domain(3) as domain:
            await asyncio.sleep(20.0)
            domain.store.down = True
            await asyncio.sleep(0.5)
            domain.store.down = False
            await asyncio.sleep(1.0)
            followers = [process.follower for process in domain.processes]
            return [(f.available_s, f.outage_s) for f in followers]

    for available_s, outage_s in clocks.run(play()):
        assert available_s < 1.3
        assert 0.3 < outage_s < 1.0


@pytest.mark.parametrize("seed", range(12))
def test_nobody_claims_to_know_more_than_he_knows(seed):
    """Readers change, fall out and come back while keys come and go.

    A key that was taken away must stop everywhere in time, so no process may
    take its knowledge for younger than it is.
    """

    async def play():
        rng = random.Random(seed)
        async with shared_domain.Domain(4) as domain:
            for _ in range(400):
                await asyncio.sleep(rng.uniform(0.0, 0.2))
                _disturb(rng, domain)
                domain.prove()
            heal(domain)
            await asyncio.sleep(25.0)
            return (
                [process.known for process in domain.processes],
                max(domain.ages()),
                {k: v for k, v in dict(domain.store.log).items() if v},
            )

    known, oldest, truth = clocks.run(play())
    assert known == [truth] * 4
    assert oldest < 2.2


def _disturb(rng, domain):
    process = rng.choice(domain.processes)
    acts = {
        "put": 10,
        "drop": 4,
        "gone": 1,
        "frozen": 1,
        "refused": 1,
        "silent": 1,
        "down": 0.3,
        "elect": 1,
        "heal": 2,
    }
    act = rng.choices(list(acts), list(acts.values()))[0]
    if act in ("put", "drop"):
        value = b"%d" % len(domain.store.log) if act == "put" else b""
        domain.store.put(f"k{rng.randrange(5)}", value)
    elif act in ("gone", "frozen"):
        setattr(process, act, True)
    elif act in ("refused", "silent"):
        setattr(process.topic, act, True)
    elif act == "down":
        domain.store.down = True
    elif act == "elect":
        order = list(range(len(domain.processes)))
        rng.shuffle(order)
        domain.elect(order)
    else:
        heal(domain)


def heal(domain):
    domain.store.down = False
    for process in domain.processes:
        process.gone = process.frozen = False
        process.topic.refused = process.topic.silent = False


def test_a_reader_that_stood_still_answers_nobody_from_before():
    """A process that started was told of a server that was gone for long.

    Its reader had been suspended. On waking it answered the question for
    everything from what it had read before, whatever its age.
    """

    async def play():
        async with shared_domain.Domain(2) as domain:
            domain.store.put("a", b"1")
            await asyncio.sleep(3.0)
            reader = domain.processes[0]
            await reader.follower.stop()
            domain.store.put("a", b"")
            await asyncio.sleep(10.0)
            question = peer_queries.Query("t", None, None, 0.0)

            async def say():
                """Says nothing: the asker waits."""

            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await reader.shared.answer(question, say)

    clocks.run(play())


def test_a_large_change_crosses_the_link_few_times_when_the_store_returns():
    """Symptom: older routes are served 3 s after a configuration is in force.

    Sequence: the store is away for eight seconds, and a large configuration is
    declared as it returns. Cause: while it was away all entries asked each
    other, and who is asked reads for others; so all read the whole of it at
    the same time over the one link to the store.
    """

    async def play():
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

    known, crossed = clocks.run(play())
    assert known == [b"2"] * 12
    assert crossed < 4.0
