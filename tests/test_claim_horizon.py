"""Tests how long keys are remembered and what is refused after that."""

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
    """Returns keys whose claims are in the same stream."""
    keys_by_shard = {}
    for number in range(1000):
        key = f"key-{number}"
        shard = claims_fleet.shard_number(key)
        keys_by_shard.setdefault(shard, []).append(key)
        if len(keys_by_shard[shard]) == count:
            return keys_by_shard[shard]
    raise AssertionError("the keys are not distributed over shards")


def key_time_headers(seconds):
    return (("clementine-key-time", str(seconds)),)


@claims_fleet.with_fleet("e1")
async def test_dated_key_is_refused_beyond_the_horizon(fleet):
    """Guards against running a booking again that is repeated a day later.

    After the horizon the claim is dropped, and a dropped key looks like a new
    one when the caller repeats it.
    """
    claims = fleet.entries["e1"].claims
    first = fleet.request("r1", headers=key_time_headers(fleet.clock.wall()))
    assert isinstance(await claims.claim(first), request_types.ClaimWon)
    claims.settle(first, ANSWER)
    await asyncio.sleep(3000.0)
    again = fleet.request("r2", headers=first.headers)
    assert isinstance(await claims.claim(again), request_types.KeptAnswer)
    await asyncio.sleep(30_000.0)
    await fleet.crash("e1")
    claims = (await fleet.start("e1", 2)).claims
    late = fleet.request("r3", headers=first.headers)
    assert reason(await claims.claim(late)) == types.NotRunReason.KEY_EXPIRED
    new = fleet.request(
        "r4", "k2", headers=key_time_headers(fleet.clock.wall())
    )
    assert isinstance(await claims.claim(new), request_types.ClaimWon)


@claims_fleet.with_fleet("e1", retention_s=600.0)
async def test_log_retention_below_the_horizon_shortens_the_horizon(fleet):
    claims = fleet.entries["e1"].claims
    first = fleet.request("r1", headers=key_time_headers(fleet.clock.wall()))
    await claims.claim(first)
    claims.settle(first, ANSWER)
    await asyncio.sleep(900.0)
    await fleet.crash("e1")
    claims = (await fleet.start("e1", 2)).claims
    late = fleet.request("r2", headers=first.headers)
    assert reason(await claims.claim(late)) == types.NotRunReason.KEY_EXPIRED


@claims_fleet.with_fleet("e1")
async def test_restored_log_refuses_keys_from_before_the_restore(fleet):
    """Guards against running bookings again after the log was restored.

    The log goes back to an older state without the latest claims, and a new
    owner reads it.
    """
    claims = fleet.entries["e1"].claims
    same = keys_of_one_shard(3)
    first = fleet.request(
        "r1", same[0], headers=key_time_headers(fleet.clock.wall())
    )
    await claims.claim(first)
    claims.settle(first, ANSWER)
    await asyncio.sleep(1.0)
    for shard in range(claim_lib.SHARDS):
        fleet.log.roll_back(claim_lib.stream_name(shard), 1)
    assert isinstance(await claims.claim(first), request_types.KeptAnswer)
    for key in same[1:]:
        late = fleet.request(f"r-{key}", key, headers=first.headers)
        assert (
            reason(await claims.claim(late)) == types.NotRunReason.KEY_EXPIRED
        )


@claims_fleet.with_fleet("e1")
async def test_repetition_with_another_key_time_is_refused(fleet):
    claims = fleet.entries["e1"].claims
    first = fleet.request(
        "r1", headers=key_time_headers(fleet.clock.wall() - 10)
    )
    await claims.claim(first)
    claims.settle(first, ANSWER)
    again = fleet.request("r2", headers=key_time_headers(fleet.clock.wall()))
    assert reason(await claims.claim(again)) == types.NotRunReason.KEY_REUSED


@pytest.mark.parametrize("time", ["soon", "-5", "nan", "99999999999"])
@claims_fleet.with_fleet("e1")
async def test_malformed_key_time_is_a_bad_request(fleet, time):
    result = await fleet.entries["e1"].claims.claim(
        fleet.request("r1", headers=key_time_headers(time))
    )
    assert reason(result) == types.NotRunReason.BAD_REQUEST


def test_version_7_uuid_contains_the_key_time():
    key = "018f3c1e-5d2a-7b3c-9d4e-5f6a7b8c9d0e"
    assert claim_lib.parse_key_time_ms(key, ()) == 0x018F3C1E5D2A
    assert claim_lib.parse_key_time_ms("order-77", ()) == 0


def make_claim(claim_id, key=b"k", **changes):
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


@claims_fleet.with_fleet("e1")
async def test_new_owner_reads_only_the_horizon_of_the_log(fleet):
    """Guards against refusing keyed requests for long after an owner died.

    The log keeps far more than the horizon. A new owner that reads the stream
    from its beginning cannot answer until it is done.
    """
    key = claim_lib.hash_key("magazijn", "werkplaats", "k1")
    stream = claim_lib.stream_name(
        claim_lib.shard_number(key, claim_lib.SHARDS)
    )
    for number in range(40_000):
        old = make_claim(number.to_bytes(16, "big"), b"old%d" % number)
        batch = ttypes.ClaimBatch(claims=[old], ends=[])
        fleet.log.put(stream, codec.encode(batch))
    await asyncio.sleep(10_000.0)
    first = make_claim(b"c" * 16, key, fingerprint=b"other")
    batch = ttypes.ClaimBatch(claims=[first], ends=[])
    fleet.log.put(stream, codec.encode(batch))
    entry = fleet.entries["e1"]
    result = await entry.claims.claim(fleet.request("r1"))
    assert reason(result) == types.NotRunReason.KEY_REUSED
    assert entry.log.calls <= 12


def test_claim_table_drops_claims_older_than_the_horizon():
    horizon = claim_lib.Horizon(100.0, 10.0)
    table = claim_lib.ClaimTable(horizon)
    for number in range(1000):
        claim = make_claim(number.to_bytes(16, "big"), b"k%d" % number)
        batch = ttypes.ClaimBatch(claims=[claim], ends=[])
        table.apply(number + 1, float(number), batch)
    assert len(table) == 121
