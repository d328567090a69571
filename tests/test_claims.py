"""Tests claims of idempotency keys: who wins, and what failures cause."""

import asyncio

import claims_fleet
import pytest

from clementinegw import types
from clementinegw.requests import _claim_owners as claim_owners
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import types as request_types
from clementinegw.wire import codec
from clementinegw.wire.gen.requests import ttypes

reason = claims_fleet.reason
ANSWER = types.Answered(200, (("content-type", "text/plain"),), b"booked")


@claims_fleet.with_fleet("e1", "e2", "e3")
async def test_first_claim_wins_and_its_answer_is_kept_for_repetitions(fleet):
    first = fleet.request("r1")
    won = await fleet.entries["e1"].claims.claim(first)
    assert isinstance(won, request_types.ClaimWon)
    assert won.offset >= 1
    fleet.entries["e1"].claims.settle(first, ANSWER)
    for name in fleet.entries:
        again = await fleet.entries[name].claims.claim(fleet.request("r2"))
        assert again == request_types.KeptAnswer(ANSWER)


@claims_fleet.with_fleet("e1", "e2")
async def test_same_key_at_two_entries_at_once_has_one_winner(fleet):
    """Guards against running a booking twice.

    The caller sends the same key through entries of two failure domains at the
    same time. Each learns of the other request only from the log.
    """
    requests = {name: fleet.request(f"r-{name}") for name in fleet.entries}

    async def claim(name):
        result = await fleet.entries[name].claims.claim(requests[name])
        if isinstance(result, request_types.ClaimWon):
            await asyncio.sleep(0.5)
            fleet.entries[name].claims.settle(requests[name], ANSWER)
        return result

    results = await asyncio.gather(*(claim(name) for name in requests))
    kinds = sorted(type(result).__name__ for result in results)
    assert kinds == ["ClaimWon", "KeptAnswer"]


@claims_fleet.with_fleet("e1", "e2")
async def test_two_owners_in_a_network_partition_have_one_winner(fleet):
    """Guards against running a booking twice during a network partition.

    The entries cannot reach each other, but both reach the log, so each
    batches claims for the same shard.
    """
    fleet.partition("e1", "e2")
    results = await asyncio.gather(
        *(
            fleet.entries[name].claims.claim(fleet.request(f"r-{name}"))
            for name in ("e1", "e2")
        )
    )
    won = [r for r in results if isinstance(r, request_types.ClaimWon)]
    lost = [r for r in results if isinstance(r, request_types.ClaimRefused)]
    assert (len(won), len(lost)) == (1, 1)
    assert reason(lost[0]) == types.NotRunReason.CLAIM_LOST
    assert lost[0].outcome.retry_after_s > 0


@claims_fleet.with_fleet("e1")
async def test_lost_answer_to_an_append_is_resolved_by_reading_the_log(fleet):
    """Guards against refusing a key whose claim is in the log.

    The append takes effect and its answer is lost. The error is the same as
    that of an append that never arrived.
    """
    entry = fleet.entries["e1"]
    entry.log.faults.answer_lost = 1
    won = await entry.claims.claim(fleet.request("r1"))
    assert isinstance(won, request_types.ClaimWon)
    assert [r.offset for r in fleet.records()] == [won.offset]


@pytest.mark.parametrize("has_read", [True, False])
@claims_fleet.with_fleet("e1")
async def test_call_to_the_log_that_never_arrived_is_repeated(fleet, has_read):
    entry = fleet.entries["e1"]
    if has_read:
        await entry.claims.claim(fleet.request("r0", "k0"))
    entry.log.faults.refused = 1
    won = await entry.claims.claim(fleet.request("r1"))
    assert isinstance(won, request_types.ClaimWon)


@claims_fleet.with_fleet("e1", "e2")
async def test_log_that_is_down_refuses_at_once_and_the_key_is_free_after(
    fleet,
):
    """Guards against keyed requests that wait for their deadline in an outage.

    The first request detects that the log is down; the following ones are
    refused at once with a retry delay. After the outage the key is free.
    """
    for entry in fleet.entries.values():
        entry.log.faults.down = True
    claims = fleet.entries["e1"].claims
    first = await claims.claim(fleet.request("r1"))
    assert reason(first) == types.NotRunReason.LOG_UNAVAILABLE
    start = fleet.clock.now()
    second = await claims.claim(fleet.request("r2"))
    assert fleet.clock.now() - start < 0.05
    assert reason(second) == types.NotRunReason.LOG_UNAVAILABLE
    assert 0 < second.outcome.retry_after_s <= 2.0
    for entry in fleet.entries.values():
        entry.log.faults.down = False
    await asyncio.sleep(2.0)
    won = await claims.claim(fleet.request("r3"))
    assert isinstance(won, request_types.ClaimWon)


@pytest.mark.parametrize("has_read", [True, False])
@claims_fleet.with_fleet("e1", "e2", "e3", "e4")
async def test_log_that_stalls_refuses_within_two_seconds(fleet, has_read):
    """Guards against keyed requests that wait long while the log stalls.

    The log keeps its connections open without answering, and each of the
    owners that are called in turn has to detect that.
    """
    if has_read:
        for entry in fleet.entries.values():
            await entry.claims.claim(fleet.request("r0", "k1"))
    for entry in fleet.entries.values():
        entry.log.faults.stalled = True
    for entry in fleet.entries.values():
        start = fleet.clock.now()
        request = fleet.request("r1", "other", seconds=60)
        result = await entry.claims.claim(request)
        assert reason(result) == types.NotRunReason.LOG_UNAVAILABLE
        assert fleet.clock.now() - start <= 1.7


@claims_fleet.with_fleet("e1")
async def test_claim_that_arrives_after_its_release_is_void(fleet):
    """Guards against refusing a key for an hour after a short outage.

    An append is delayed until its holder releases the claim and answers "not
    run"; then the record arrives. The claim would win in the log, but its
    request will never run.
    """
    entry = fleet.entries["e1"]
    delayed_appends = []

    original_append = entry.log.append

    async def delayed(stream, value):
        delayed_appends.append((stream, value))
        entry.log.append = original_append
        entry.log.faults.down = True
        raise claims_fleet.exceptions.PlatformUnavailable("no answer")

    entry.log.append = delayed
    result = await entry.claims.claim(fleet.request("r1"))
    assert reason(result) == types.NotRunReason.LOG_UNAVAILABLE
    entry.log.faults.down = False
    await asyncio.sleep(2.0)
    fleet.log.put(*delayed_appends[0])
    won = await entry.claims.claim(fleet.request("r2"))
    assert isinstance(won, request_types.ClaimWon)


@claims_fleet.with_fleet("e1", "e2")
async def test_entry_that_dies_after_its_claim_leaves_the_key_unknown(fleet):
    """Guards against a second run of a booking, or a false "not run".

    An entry dies after its claim, and only it knew whether it had handed the
    request over. The caller repeats the key at another entry.
    """
    won = await fleet.entries["e1"].claims.claim(
        fleet.request("r1", seconds=2.0)
    )
    assert isinstance(won, request_types.ClaimWon)
    await fleet.crash("e1")
    claims = fleet.entries["e2"].claims
    early = await claims.claim(fleet.request("r2"))
    assert reason(early) == types.NotRunReason.CLAIM_LOST
    await asyncio.sleep(120.0)
    late = await claims.claim(fleet.request("r3"))
    assert late.outcome == types.Unknown(
        types.UnknownReason.HOLDER_LOST, late.outcome.detail
    )


@claims_fleet.with_fleet("e1", "e2")
async def test_replacement_with_the_holders_instance_id_is_not_the_holder(
    fleet,
):
    """Guards against claiming a key again whose request ran.

    A new process with the same instance id replaces the holder and knows
    nothing of the key. The instance id alone does not distinguish them.
    """
    first = fleet.request("r1")
    assert isinstance(
        await fleet.entries["e1"].claims.claim(first), request_types.ClaimWon
    )
    await fleet.crash("e1")
    await fleet.start("e1", incarnation=2)
    for name in ("e1", "e2"):
        result = await fleet.entries[name].claims.claim(fleet.request("r2"))
        assert reason(result) == types.UnknownReason.HOLDER_LOST


@claims_fleet.with_fleet("e1", "e2")
async def test_request_that_was_not_run_frees_its_key(fleet):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    won = await claims.claim(first)
    claims.settle(first, types.NotRun(types.NotRunReason.NO_BACKEND, 1.0))
    again = await fleet.entries["e2"].claims.claim(fleet.request("r2"))
    assert isinstance(again, request_types.ClaimWon)
    assert again.offset > won.offset


@claims_fleet.with_fleet("e1", "e2", "e3")
async def test_release_that_is_lost_with_an_owner_is_sent_again(fleet):
    """Guards against refusing a key for an hour whose request was not run.

    The holder sends the release to the owner of the shard, which dies before it
    has appended it.
    """
    first = fleet.request("r1")
    ranked = claim_owners.rank_entries(
        claims_fleet.shard_number("k1"), fleet.live_entries()
    )
    owner, holder = (ranked[rank].instance_id for rank in (0, 1))
    claims = fleet.entries[holder].claims
    assert isinstance(await claims.claim(first), request_types.ClaimWon)
    fleet.entries[owner].log.faults.stalled = True
    claims.settle(first, types.NotRun(types.NotRunReason.NO_BACKEND, 1.0))
    await asyncio.sleep(0.5)
    await fleet.crash(owner)
    await asyncio.sleep(5.0)
    again = await claims.claim(fleet.request("r2"))
    assert isinstance(again, request_types.ClaimWon)


@claims_fleet.with_fleet("e1", "e2", "e3", "e4", "e5")
async def test_outage_of_the_log_creates_no_new_owners(fleet):
    """Guards against every entry reading all claims after an outage.

    While the log is down, one owner after the other refuses the claims.
    """
    for entry in fleet.entries.values():
        entry.log.faults.down = True
    for number in range(40):
        for name, entry in fleet.entries.items():
            request = fleet.request(f"r-{name}-{number}", "k1", seconds=0.5)
            result = await entry.claims.claim(request)
            assert reason(result) == types.NotRunReason.LOG_UNAVAILABLE
        await asyncio.sleep(0.3)
    for entry in fleet.entries.values():
        entry.log.faults.down = False
    await asyncio.sleep(5.0)
    readers = [e for e in fleet.entries.values() if e.log.calls]
    assert len(readers) <= 3


@claims_fleet.with_fleet("e1", "e2", "e3", "e4", "e5")
async def test_owner_that_reads_slowly_is_not_considered_dead(fleet):
    """Guards against every entry reading all claims after an owner died.

    A new owner takes seconds to read the horizon while claims wait. Without a
    reply it would look like a dead owner.
    """
    stream = claim_lib.stream_name(claims_fleet.shard_number("k1"))
    batch = ttypes.ClaimBatch(claims=[], ends=[])
    for _ in range(10_000):
        fleet.log.put(stream, codec.encode(batch))
    for entry in fleet.entries.values():
        entry.log.faults.slow_s = 0.2
    results = await asyncio.gather(
        *(
            entry.claims.claim(fleet.request(f"r-{name}"))
            for name, entry in fleet.entries.items()
        )
    )
    assert {reason(r) for r in results} == {types.NotRunReason.LOG_UNAVAILABLE}
    await asyncio.sleep(10.0)
    won = await fleet.entries["e1"].claims.claim(fleet.request("r1"))
    assert isinstance(won, request_types.ClaimWon)
    readers = [e for e in fleet.entries.values() if e.log.calls]
    assert len(readers) <= 3


@claims_fleet.with_fleet("e1", "e2")
async def test_unknown_outcome_stays_unknown_for_repetitions(fleet):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    await claims.claim(first)
    claims.settle(first, types.Unknown(types.UnknownReason.BACKEND_CRASHED))
    for name in fleet.entries:
        result = await fleet.entries[name].claims.claim(fleet.request("r2"))
        assert reason(result) == types.UnknownReason.HOLDER_LOST


@claims_fleet.with_fleet("e1")
async def test_same_key_of_two_callers_is_claimed_separately(fleet):
    claims = fleet.entries["e1"].claims
    for caller in ("zadelmaker", "wagenmaker"):
        request = fleet.request(f"r-{caller}")
        request.customer, request.caller = "", caller
        assert isinstance(await claims.claim(request), request_types.ClaimWon)


@pytest.mark.parametrize("name", ["e1", "e2"])
@claims_fleet.with_fleet("e1", "e2")
async def test_key_with_another_body_is_refused(fleet, name):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    await claims.claim(first)
    claims.settle(first, ANSWER)
    result = await fleet.entries[name].claims.claim(
        fleet.request("r2", body=b"more leather")
    )
    assert reason(result) == types.NotRunReason.KEY_REUSED


@claims_fleet.with_fleet("e1")
async def test_answer_too_large_to_keep_is_refused_as_already_run(fleet):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    await claims.claim(first)
    claims.settle(first, types.Answered(200, (), b"x" * 100_000))
    result = await claims.claim(fleet.request("r2"))
    assert reason(result) == types.NotRunReason.ALREADY_RUN
    assert result.outcome.retry_after_s is None


@claims_fleet.with_fleet("e1", "e2", "e3")
async def test_owner_that_dies_is_replaced_by_the_next_in_rank(fleet):
    await fleet.entries["e1"].claims.claim(fleet.request("r0", "k0"))
    readers = [
        name
        for name, entry in fleet.entries.items()
        if entry.counters.value("claims.appends")
    ]
    assert len(readers) == 1
    asker = next(name for name in fleet.entries if name != readers[0])
    fleet.entries[readers[0]].endpoint.up = False
    result = await fleet.entries[asker].claims.claim(fleet.request("r1"))
    assert isinstance(result, request_types.ClaimWon)


@claims_fleet.with_fleet("e1", "e2")
async def test_claims_are_appended_in_batches(fleet):
    """Checks that 410 claims per second do not cause one append each."""

    async def claim(number):
        await asyncio.sleep(number / 410)
        name = f"e{number % 2 + 1}"
        request = fleet.request(f"r{number}", f"k{number}")
        result = await fleet.entries[name].claims.claim(request)
        assert isinstance(result, request_types.ClaimWon)
        fleet.entries[name].claims.settle(request, ANSWER)

    await asyncio.gather(*(claim(number) for number in range(820)))
    appends = claim_lib.SHARDS * 2.0 / fleet.timing.batch_interval_s
    assert len(fleet.records()) <= 1.1 * appends


@claims_fleet.with_fleet("e1", "e2")
async def test_lease_is_held_by_one_entry_until_it_ends(fleet):
    e1, e2 = fleet.entries["e1"].claims, fleet.entries["e2"].claims
    lease = await e1.acquire_lease(b"f" * 16, 5.0)
    assert lease is not None
    assert await e2.acquire_lease(b"f" * 16, 5.0) is None
    e1.release_lease(lease)
    await asyncio.sleep(fleet.timing.max_end_delay_s + 0.2)
    assert await e2.acquire_lease(b"f" * 16, 5.0) is not None
    await fleet.crash("e2")
    await asyncio.sleep(30.0)
    assert await e1.acquire_lease(b"f" * 16, 5.0) is None
    await asyncio.sleep(60.0)
    assert await e1.acquire_lease(b"f" * 16, 5.0) is not None
