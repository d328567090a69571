"""Tests that changes come into force on every process, by log or peers."""

import asyncio
import dataclasses
import random

import pytest
import settings_network

from clementinegw import exceptions
from clementinegw.settings import changes
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import exchange
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import knobs
from clementinegw.settings import publisher
from clementinegw.settings import records
from clementinegw.settings import relays
from clementinegw.settings import results

RATE = settings_network.RATE


def test_change_is_in_force_everywhere_through_few_polls():
    async def body(network):
        for number in range(12):
            await network.add(f"m{number}")
        await asyncio.sleep(60.0)
        before = network.log_reads()
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision, within_s=0.2)
        after = network.log_reads()
        direct = [name for name in after if after[name] > before[name]]
        assert len(direct) == knobs.Replication().relays

    settings_network.run_scenario(body)


def test_stalled_relay_is_replaced():
    # Some processes kept old settings for minutes while nothing was reported
    # down. The connection to the relay stalled without closing, and the poll
    # waited for as long as the connection seemed open.
    async def body(network):
        for number in range(8):
            await network.add(f"m{number}")
        stalled = relays.ranked(network.members.domains)[0]
        network.members.silent.add(stalled)
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision, within_s=10.0)

    settings_network.run_scenario(body)


def test_revision_from_gossip_ends_a_stalled_read():
    async def body(network):
        stalled = network.log.client()
        await network.add("m0", "one", stalled)
        await network.add("m1", "two")
        stalled.faults.stalled = True
        stalled.faults.timeout_s = 100.0
        follower = network.members.followers["m0"]
        await network.until(lambda: follower.fold is not None)
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision, within_s=2.0)
        assert network.counters["m0"].value("settings.log_reads_given_up") == 1

    settings_network.run_scenario(body)


@pytest.mark.parametrize("fault", ["answer_lost", "refused"])
def test_result_after_a_lost_append_answer_is_read_from_the_log(fault):
    # A change was in force twice or not at all, although the command reported
    # it as accepted. The answer to an append was lost, and the error was the
    # same whether the append had result effect or not.
    async def body(network):
        await network.add("m0")
        operator = network.log.client()
        setattr(operator.faults, fault, 1)
        change = publisher.new_change(
            0,
            "ana",
            "test",
            (changes.Set(RATE, 5.0),),
            network.clock,
        )
        result = await publisher.publish(
            operator, change, clock=network.clock, rng=random.Random(1)
        )
        assert result == results.Accepted(1)
        await network.converge(1)
        assert len(network.log.all(records.STREAM)) == 1

    settings_network.run_scenario(body)


def test_publisher_gives_up_when_the_log_stays_down():
    async def body(network):
        network.log.faults.down = True
        change = publisher.new_change(
            0,
            "ana",
            "test",
            (changes.Set(RATE, 5.0),),
            network.clock,
        )
        with pytest.raises(
            exceptions.PlatformUnavailable, match=change.change_id
        ):
            await publisher.publish(
                network.log, change, clock=network.clock, rng=random.Random(1)
            )

    settings_network.run_scenario(body)


@pytest.mark.parametrize(
    ("fields", "part"),
    [
        ({"change_id": "short"}, "$.id: expected"),
        ({"why": "w" * 5000}, "$.why: expected"),
        ({"operations": ()}, "$.operations: expected"),
        ({"base": -1, "who": "w" * 300}, "(and 1 more)"),
    ],
)
def test_unusable_change_fails_at_once_and_is_not_appended(fields, part):
    # The command hung for 30 s and the log had the same record many times. The
    # record of the published change was invalid, for example because its reason
    # was too long. The fold skipped it and never recorded its id, so the append
    # was taken to be lost.
    async def body(network):
        change = publisher.new_change(
            0, "ana", "test", (changes.Set(RATE, 5.0),), network.clock
        )
        change = dataclasses.replace(change, **fields)
        started_at = network.clock.now()
        with pytest.raises(exceptions.SettingsError) as caught:
            await publisher.publish(
                network.log, change, clock=network.clock, rng=random.Random(1)
            )
        assert part in caught.value.message
        assert "\n" not in caught.value.message
        assert network.clock.now() == started_at
        assert network.log.all(records.STREAM) == ()

    settings_network.run_scenario(body)


def test_process_starts_from_peers_while_the_log_is_down():
    async def body(network):
        await network.add("m0")
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision)
        network.log.faults.down = True
        for number in range(1, 6):
            await network.add(f"m{number}", domain=f"d{number}", wait=False)
        await network.converge(accepted.revision, within_s=10.0)

    settings_network.run_scenario(body)


def test_answer_of_a_peer_that_was_cut_off_is_refused():
    # A process that started ran with settings that were overridden an hour ago.
    # The log was down, and the process adopted the first answer, from a peer
    # that had been cut off before the last change.
    fold = fold_lib.Fold()
    change = changes.Change(
        "change-1", 0, "ana", "", 1.0, (changes.Set(RATE, 5.0),)
    )
    fold.apply(1, change.encode(), 1.0)
    answer = exchange.answer(fold, exchange.Tail(), exchange.make_pull(None))
    cursor = cursor_lib.Cursor()
    result, _ = exchange.apply_answer(cursor, answer, newest=2)
    assert (result, cursor.fold) == (exchange.PullResult.OLDER, None)
    result, _ = exchange.apply_answer(cursor, answer, newest=1)
    assert (result, cursor.fold.revision) == (exchange.PullResult.ADOPTED, 1)
