"""Claims of idempotency keys: who wins, and every way to lose track."""

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


@claims_fleet.in_fleet("e1", "e2", "e3")
async def test_first_claim_wins_and_its_answer_is_kept_for_repetitions(fleet):
    first = fleet.request("r1")
    won = await fleet.entries["e1"].claims.claim(first)
    assert isinstance(won, request_types.ClaimWon)
    assert won.offset >= 1
    fleet.entries["e1"].claims.settle(first, ANSWER)
    for name in fleet.entries:
        again = await fleet.entries[name].claims.claim(fleet.request("r2"))
        assert again == request_types.StoredAnswer(ANSWER)


@claims_fleet.in_fleet("e1", "e2")
async def test_same_key_at_two_entries_at_once_has_one_winner(fleet):
    """Symptom: one booking is made twice.

    Sequence: the caller's software sends the same key through two entries of
    two failure domains at the same moment. Cause: neither can know of the
    other but through the log.
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
    assert kinds == ["ClaimWon", "StoredAnswer"]


@claims_fleet.in_fleet("e1", "e2")
async def test_two_owners_that_do_not_see_each_other_are_safe(fleet):
    """Symptom: one booking is made twice during a network partition.

    Sequence: the entries are cut off from each other and both reach the log,
    so that each gathers claims for the same shard. Cause: views differ.
    """
    fleet.cut("e1", "e2")
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


@claims_fleet.in_fleet("e1")
async def test_lost_append_answer_is_settled_by_reading(fleet):
    """Symptom: a key is refused although its claim stands in the log.

    Sequence: the append takes effect, its answer is lost. Cause: the error is
    the same as that of an append that never arrived.
    """
    entry = fleet.entries["e1"]
    entry.log.faults.answer_lost = 1
    won = await entry.claims.claim(fleet.request("r1"))
    assert isinstance(won, request_types.ClaimWon)
    assert [r.offset for r in fleet.records()] == [won.offset]


@pytest.mark.parametrize("has_read", [True, False])
@claims_fleet.in_fleet("e1")
async def test_call_that_never_arrived_is_repeated(fleet, has_read):
    entry = fleet.entries["e1"]
    if has_read:
        await entry.claims.claim(fleet.request("r0", "k0"))
    entry.log.faults.refused = 1
    won = await entry.claims.claim(fleet.request("r1"))
    assert isinstance(won, request_types.ClaimWon)


@claims_fleet.in_fleet("e1", "e2")
async def test_log_that_is_down_refuses_at_once_and_the_key_is_free_after(
    fleet,
):
    """Symptom: keyed requests hang until their deadline during an outage.

    Sequence: the log goes down; the first request finds it out, and the
    following ones are told at once when to come back. The log returns.
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
@claims_fleet.in_fleet("e1", "e2", "e3", "e4")
async def test_log_that_stalls_refuses_within_two_seconds(fleet, has_read):
    """Symptom: keyed requests hang while the log answers nothing.

    Sequence: the log keeps its connections and stalls; each of the owners that
    are asked in turn has yet to find that out.
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


@claims_fleet.in_fleet("e1")
async def test_claim_that_arrives_after_it_was_given_up_is_void(fleet):
    """Symptom: after a short outage a key is refused for a whole hour.

    Sequence: an append is on its way so long that its holder gives up and
    tells its caller "not run"; then the record arrives after all. Cause: the
    claim wins in the log, and nobody will ever use it.
    """
    entry = fleet.entries["e1"]
    late = []

    real = entry.log.append

    async def delayed(stream, value):
        late.append((stream, value))
        entry.log.append = real
        entry.log.faults.down = True
        raise claims_fleet.exceptions.PlatformUnavailable("no answer")

    entry.log.append = delayed
    result = await entry.claims.claim(fleet.request("r1"))
    assert reason(result) == types.NotRunReason.LOG_UNAVAILABLE
    entry.log.faults.down = False
    await asyncio.sleep(2.0)
    fleet.log.put(*late[0])
    won = await entry.claims.claim(fleet.request("r2"))
    assert isinstance(won, request_types.ClaimWon)


@claims_fleet.in_fleet("e1", "e2")
async def test_entry_that_dies_after_its_claim_leaves_the_key_unknown(fleet):
    """Symptom: a booking runs twice, or its key says "not run" untruly.

    Sequence: an entry dies after its claim; whether it handed the request over
    nobody can say. The caller repeats the key at another entry. Cause: the
    only one that knew is gone.
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


@claims_fleet.in_fleet("e1", "e2")
async def test_replaced_holder_under_its_old_name_is_not_believed(fleet):
    """Symptom: a key is claimed again although it ran.

    Sequence: the holder is replaced by a new process of the same name, which
    knows nothing of the key. Cause: the name alone does not tell them apart.
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


@claims_fleet.in_fleet("e1", "e2")
async def test_proved_not_run_frees_the_key(fleet):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    won = await claims.claim(first)
    claims.settle(first, types.NotRun(types.NotRunReason.NO_BACKEND, 1.0))
    again = await fleet.entries["e2"].claims.claim(fleet.request("r2"))
    assert isinstance(again, request_types.ClaimWon)
    assert again.offset > won.offset


@claims_fleet.in_fleet("e1", "e2", "e3")
async def test_release_that_dies_with_its_owner_is_handed_on_again(fleet):
    """Symptom: a key that was proved not run is refused for an hour.

    Sequence: its holder tells the owner of the shard that it is free; the
    owner dies before it has appended that.
    """
    first = fleet.request("r1")
    names = claim_owners.ranked(claims_fleet.shard_number("k1"), fleet.alive())
    owner, holder = (names[rank].instance_id for rank in (0, 1))
    claims = fleet.entries[holder].claims
    assert isinstance(await claims.claim(first), request_types.ClaimWon)
    fleet.entries[owner].log.faults.stalled = True
    claims.settle(first, types.NotRun(types.NotRunReason.NO_BACKEND, 1.0))
    await asyncio.sleep(0.5)
    await fleet.crash(owner)
    await asyncio.sleep(5.0)
    again = await claims.claim(fleet.request("r2"))
    assert isinstance(again, request_types.ClaimWon)


@claims_fleet.in_fleet("e1", "e2", "e3", "e4", "e5")
async def test_outage_makes_nobody_an_owner_who_was_none(fleet):
    """Symptom: after an outage every entry reads every claim of the hour.

    Sequence: the log is down; claims are refused by one owner after another.
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


@claims_fleet.in_fleet("e1", "e2", "e3", "e4", "e5")
async def test_owner_that_reads_for_long_is_not_taken_for_dead(fleet):
    """Symptom: after an owner's death every entry reads every claim.

    Sequence: a new owner takes seconds to read the horizon; claims wait for
    it. Cause: an owner that is silent looks like one that is dead.
    """
    stream = claim_lib.stream_of(claims_fleet.shard_number("k1"))
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


@claims_fleet.in_fleet("e1", "e2")
async def test_unknown_end_stays_unknown_for_repetitions(fleet):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    await claims.claim(first)
    claims.settle(first, types.Unknown(types.UnknownReason.BACKEND_CRASHED))
    for name in fleet.entries:
        result = await fleet.entries[name].claims.claim(fleet.request("r2"))
        assert reason(result) == types.UnknownReason.HOLDER_LOST


@claims_fleet.in_fleet("e1")
async def test_same_key_of_two_callers_is_two_keys(fleet):
    claims = fleet.entries["e1"].claims
    for caller in ("zadelmaker", "wagenmaker"):
        request = fleet.request(f"r-{caller}")
        request.customer, request.caller = "", caller
        assert isinstance(await claims.claim(request), request_types.ClaimWon)


@pytest.mark.parametrize("name", ["e1", "e2"])
@claims_fleet.in_fleet("e1", "e2")
async def test_key_with_another_body_is_refused(fleet, name):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    await claims.claim(first)
    claims.settle(first, ANSWER)
    result = await fleet.entries[name].claims.claim(
        fleet.request("r2", body=b"more leather")
    )
    assert reason(result) == types.NotRunReason.KEY_REUSED


@claims_fleet.in_fleet("e1")
async def test_answer_too_large_to_keep_is_told_as_already_run(fleet):
    first = fleet.request("r1")
    claims = fleet.entries["e1"].claims
    await claims.claim(first)
    claims.settle(first, types.Answered(200, (), b"x" * 100_000))
    result = await claims.claim(fleet.request("r2"))
    assert reason(result) == types.NotRunReason.ALREADY_RUN
    assert result.outcome.retry_after_s is None


@claims_fleet.in_fleet("e1", "e2", "e3")
async def test_owner_that_dies_is_followed_by_the_next_in_rank(fleet):
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


@claims_fleet.in_fleet("e1", "e2")
async def test_claims_are_appended_in_groups(fleet):
    """At 410 claims a second the log must not get an append for each."""

    async def claim(number):
        await asyncio.sleep(number / 410)
        name = f"e{number % 2 + 1}"
        request = fleet.request(f"r{number}", f"k{number}")
        result = await fleet.entries[name].claims.claim(request)
        assert isinstance(result, request_types.ClaimWon)
        fleet.entries[name].claims.settle(request, ANSWER)

    await asyncio.gather(*(claim(number) for number in range(820)))
    appends = claim_lib.SHARDS * 2.0 / fleet.timing.group_s
    assert len(fleet.records()) <= 1.1 * appends


@claims_fleet.in_fleet("e1", "e2")
async def test_turn_is_taken_by_one_entry_until_it_is_over(fleet):
    e1, e2 = fleet.entries["e1"].claims, fleet.entries["e2"].claims
    turn = await e1.turn(b"f" * 16, 5.0)
    assert turn is not None
    assert await e2.turn(b"f" * 16, 5.0) is None
    e1.end_turn(turn)
    await asyncio.sleep(fleet.timing.end_s + 0.2)
    assert await e2.turn(b"f" * 16, 5.0) is not None
    await fleet.crash("e2")
    await asyncio.sleep(30.0)
    assert await e1.turn(b"f" * 16, 5.0) is None
    await asyncio.sleep(60.0)
    assert await e1.turn(b"f" * 16, 5.0) is not None
