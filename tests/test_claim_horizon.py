"""How long a key is remembered, and what is refused after that."""

import asyncio

import claims_fleet
import pytest

from clementinegw import types
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import types as request_types
from clementinegw.wire import codec
from clementinegw.wire.gen.requests import ttypes

reason = claims_fleet.reason
ANSWER = types.Answered(200, (("content-type", "text/plain"),), b"booked")


def keys_of_one_shard(count):
    """Returns keys whose claims stand in the same stream."""
    found = {}
    for number in range(1000):
        key = f"key-{number}"
        shard = claims_fleet.shard_number(key)
        found.setdefault(shard, []).append(key)
        if len(found[shard]) == count:
            return found[shard]
    raise AssertionError("hashes are not spread")


def dated(seconds):
    return (("clementine-key-time", str(seconds)),)


@claims_fleet.in_fleet("e1")
async def test_dated_key_is_refused_beyond_the_horizon(fleet):
    """Symptom: a booking repeated the next day is made a second time.

    Sequence: a keyed request runs; after the horizon its claim is forgotten;
    the caller repeats it. Cause: a forgotten key looks like a new one.
    """
    claims = fleet.entries["e1"].claims
    first = fleet.request("r1", headers=dated(fleet.clock.wall()))
    assert isinstance(await claims.claim(first), request_types.ClaimWon)
    claims.settle(first, ANSWER)
    await asyncio.sleep(3000.0)
    again = fleet.request("r2", headers=first.headers)
    assert isinstance(await claims.claim(again), request_types.StoredAnswer)
    await asyncio.sleep(30_000.0)
    await fleet.crash("e1")
    claims = (await fleet.start("e1", 2)).claims
    late = fleet.request("r3", headers=first.headers)
    assert reason(await claims.claim(late)) == types.NotRunReason.KEY_EXPIRED
    new = fleet.request("r4", "k2", headers=dated(fleet.clock.wall()))
    assert isinstance(await claims.claim(new), request_types.ClaimWon)


@claims_fleet.in_fleet("e1", retention_s=600.0)
async def test_log_that_keeps_less_than_the_horizon_shortens_it(fleet):
    claims = fleet.entries["e1"].claims
    first = fleet.request("r1", headers=dated(fleet.clock.wall()))
    await claims.claim(first)
    claims.settle(first, ANSWER)
    await asyncio.sleep(900.0)
    await fleet.crash("e1")
    claims = (await fleet.start("e1", 2)).claims
    late = fleet.request("r2", headers=first.headers)
    assert reason(await claims.claim(late)) == types.NotRunReason.KEY_EXPIRED


@claims_fleet.in_fleet("e1")
async def test_log_that_goes_back_refuses_keys_from_before(fleet):
    """Symptom: after the log was restored from a copy, bookings run again.

    Sequence: claims are appended, the log goes back to an older state, a new
    owner reads it. Cause: the claims in between are gone.
    """
    claims = fleet.entries["e1"].claims
    same = keys_of_one_shard(3)
    first = fleet.request("r1", same[0], headers=dated(fleet.clock.wall()))
    await claims.claim(first)
    claims.settle(first, ANSWER)
    await asyncio.sleep(1.0)
    for shard in range(claim_lib.SHARDS):
        fleet.log.roll_back(claim_lib.stream_of(shard), 1)
    assert isinstance(await claims.claim(first), request_types.StoredAnswer)
    for key in same[1:]:
        late = fleet.request(f"r-{key}", key, headers=first.headers)
        assert (
            reason(await claims.claim(late)) == types.NotRunReason.KEY_EXPIRED
        )


@claims_fleet.in_fleet("e1")
async def test_repetition_that_is_dated_anew_is_found_out(fleet):
    claims = fleet.entries["e1"].claims
    first = fleet.request("r1", headers=dated(fleet.clock.wall() - 10))
    await claims.claim(first)
    claims.settle(first, ANSWER)
    again = fleet.request("r2", headers=dated(fleet.clock.wall()))
    assert reason(await claims.claim(again)) == types.NotRunReason.KEY_REUSED


@pytest.mark.parametrize("time", ["soon", "-5", "nan", "99999999999"])
@claims_fleet.in_fleet("e1")
async def test_time_that_is_none_is_the_callers_mistake(fleet, time):
    result = await fleet.entries["e1"].claims.claim(
        fleet.request("r1", headers=dated(time))
    )
    assert reason(result) == types.NotRunReason.BAD_REQUEST


def test_version_7_uuid_carries_its_time():
    key = "018f3c1e-5d2a-7b3c-9d4e-5f6a7b8c9d0e"
    assert claim_lib.key_time_ms(key, ()) == 0x018F3C1E5D2A
    assert claim_lib.key_time_ms("order-77", ()) == 0


def claim_of(claim_id, key=b"k", **changes):
    fields = {
        "claim_id": claim_id,
        "key": key,
        "fingerprint": b"f" * 16,
        "holder": "e1@1",
        "key_time_ms": 0,
        "use_ms": 1000,
        "lease": False,
    }
    return ttypes.Claim(**(fields | changes))


@claims_fleet.in_fleet("e1")
async def test_new_owner_reads_the_horizon_and_not_the_whole_log(fleet):
    """Symptom: keyed requests are refused for long after an owner has died.

    Sequence: the log keeps far more than the horizon; a new owner takes over.
    Cause: it reads the stream from its beginning.
    """
    key = claim_lib.key_hash("magazijn", "werkplaats", "k1")
    stream = claim_lib.stream_of(claim_lib.shard_of(key, claim_lib.SHARDS))
    for number in range(40_000):
        old = claim_of(number.to_bytes(16, "big"), b"old%d" % number)
        batch = ttypes.ClaimBatch(claims=[old], ends=[])
        fleet.log.put(stream, codec.encode(batch))
    await asyncio.sleep(10_000.0)
    first = claim_of(b"c" * 16, key, fingerprint=b"other")
    batch = ttypes.ClaimBatch(claims=[first], ends=[])
    fleet.log.put(stream, codec.encode(batch))
    entry = fleet.entries["e1"]
    result = await entry.claims.claim(fleet.request("r1"))
    assert reason(result) == types.NotRunReason.KEY_REUSED
    assert entry.log.calls <= 12


def test_fold_forgets_what_is_past_the_horizon():
    horizon = claim_lib.Horizon(100.0, 10.0)
    fold = claim_lib.Fold(horizon)
    for number in range(1000):
        claim = claim_of(number.to_bytes(16, "big"), b"k%d" % number)
        batch = ttypes.ClaimBatch(claims=[claim], ends=[])
        fold.apply(number + 1, float(number), batch)
    assert len(fold) == 121
