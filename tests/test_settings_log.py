"""Tests that a log which lost records does not revert settings."""

import asyncio

import pytest
import settings_network

from clementinegw import exceptions
from clementinegw.settings import changes
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import publisher
from clementinegw.settings import records
from clementinegw.settings import results

RATE = settings_network.RATE


@pytest.mark.parametrize("regrown", [0, 1, 5])
def test_rollback_of_the_log_reverts_no_settings(regrown):
    # An accepted change was lost some time after an outage of the log. The log
    # lost its last records and grew again, in some cases beyond its earlier
    # end. Offsets alone do not show that the records are different ones.
    async def body(network):
        for number in range(4):
            await network.add(f"m{number}")
        await network.publish(1.0)
        accepted = await network.publish(5.0)
        await network.publish(2, "defaults.retries.max_attempts")
        await network.converge(accepted.revision + 1)
        network.log.faults.down = True
        network.log.roll_back(records.STREAM, 2)
        for number in range(regrown):
            change = changes.Change(
                f"regrown-{number}",
                number + 1 if number else 1,
                "ben",
                "",
                1.0,
                (changes.Set("defaults.limits.max_concurrent", number + 1),),
            )
            network.log.put(records.STREAM, change.encode())
        await asyncio.sleep(3.0)
        network.log.faults.down = False
        await asyncio.sleep(20.0)
        late = await network.add("late", "other")
        await network.converge(accepted.revision + 1)
        for follower in network.members.followers.values():
            tree = follower.current.tree
            assert tree.defaults.limits.requests_per_s == 5.0
            assert tree.defaults.retries.max_attempts == 2
            if regrown:
                assert tree.defaults.limits.max_concurrent == regrown
        assert late.refused is None
        after = await network.publish(6.0)
        assert isinstance(after, results.Accepted)
        await network.converge(after.revision)

    settings_network.run_scenario(body)


def test_replacement_by_an_empty_log_reverts_no_settings():
    async def body(network):
        for number in range(3):
            await network.add(f"m{number}")
        await network.publish(1.0)
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision)
        network.log.roll_back(records.STREAM, 1)
        await asyncio.sleep(10.0)
        refused = sum(
            c.value("settings.log_refused.older")
            for c in network.counters.values()
        )
        assert refused >= 1
        fold = await publisher.read_fold(network.log)
        assert fold.revision == accepted.revision
        after = await network.publish(6.0)
        assert after.revision > accepted.revision
        await network.converge(after.revision)

    settings_network.run_scenario(body)


def test_start_after_a_rollback_of_the_log_pulls_from_peers_first():
    # An instance that was replaced ran for seconds with overridden settings, 3
    # to 16 times in three of four seeds. It started after the log had lost its
    # last records and before that was repaired. To a process that has just
    # started, the shortened log looks complete.
    async def body(network):
        await network.add("m0")
        for value in range(4):
            accepted = await network.publish(float(value))
        await network.converge(accepted.revision)
        network.log.faults.down = True
        network.log.roll_back(records.STREAM, 2)
        network.members.silent.add("m0")
        other = network.log.client()
        late = await network.add("late", "other", other, wait=False)
        seen = []
        late.subscribe(lambda state: seen.append(state.revision))
        await asyncio.sleep(3.0)
        network.members.silent.clear()
        await network.until(lambda: seen)
        assert seen[0] == accepted.revision

    settings_network.run_scenario(body)


def test_followers_get_their_position_after_a_rollback_of_the_log():
    # A core was busy with pulls, or all processes polled the log. After the log
    # had lost its last records and was repaired, the position of the relays was
    # later than that of the others, at the same revision. They answered pulls
    # at once without records or a snapshot, and were pulled from again at once.
    async def body(network):
        for number in range(8):
            await network.add(f"m{number}")
        for value in range(6):
            accepted = await network.publish(float(value))
        await network.converge(accepted.revision)
        network.log.roll_back(records.STREAM, 3)
        await asyncio.sleep(30.0)
        for number in range(4):
            network.log.put(records.STREAM, b"no change %d" % number)
        before = network.log_reads()
        pulls = network.total("settings.peer_pulls")
        await asyncio.sleep(60.0)
        after = network.log_reads()
        assert sum(after[name] > before[name] for name in after) == 3
        assert network.total("settings.peer_pulls") - pulls < 5 * 60

    settings_network.run_scenario(body)


def test_gap_is_refused_and_reported():
    # One process permanently lacked a change. The log returned records with a
    # gap in the offsets, and the process folded the record after the gap.
    async def body(network):
        follower = await network.add("m0")
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision)
        network.log.skip(records.STREAM, 2)
        lost = changes.Change(
            "after-gap",
            1,
            "ben",
            "",
            1.0,
            (changes.Set(RATE, 6.0),),
        )
        network.log.put(records.STREAM, lost.encode())
        await asyncio.sleep(5.0)
        assert follower.revision == accepted.revision
        assert follower.refused is cursor_lib.RefuseReason.GAP
        # No process can fold past the gap. After some time a process appends a
        # snapshot to start from. Changes published in between were not reported
        # as accepted to any operator.
        await asyncio.sleep(120.0)
        assert follower.refused is None
        assert follower.revision == accepted.revision
        after = await network.publish(7.0)
        assert isinstance(after, results.Accepted)
        await network.add("late", "other")
        await network.converge(after.revision)

    settings_network.run_scenario(body)


def test_expired_log_that_was_rolled_back_is_rebased():
    # Every process refused the log, and none could start. Old records had
    # expired, then the log lost its last records including the only snapshot,
    # so it had no record to start from.
    async def body(network):
        for number in range(3):
            await network.add(f"m{number}")
        for value in range(6):
            accepted = await network.publish(float(value))
        await network.converge(accepted.revision)
        network.log.truncate(records.STREAM, 5)
        network.log.roll_back(records.STREAM, 6)
        await asyncio.sleep(120.0)
        fresh = await network.add("fresh", "other")
        await network.converge(accepted.revision)
        assert fresh.current.tree.defaults.limits.requests_per_s == 5.0
        after = await network.publish(9.0)
        await network.converge(after.revision)

    settings_network.run_scenario(body)


def test_snapshot_is_appended_before_records_expire():
    # After a restart of all processes, none had settings. Without changes for a
    # week, all records of the settings expired, and then all processes were
    # replaced.
    async def body(network):
        for number in range(5):
            await network.add(f"m{number}")
        slow = {"poll_wait_s": 900.0, "peer_period_s": 900.0}
        accepted = await network.publish(slow, "defaults.replication")
        await network.converge(accepted.revision)
        await asyncio.sleep(10 * 86_400)
        appended = sum(
            c.value("settings.snapshots_appended")
            for c in network.counters.values()
        )
        assert 30 <= appended <= 60
        for follower in network.members.followers.values():
            await follower.stop()
        network.members = settings_network.Members()
        await network.add("fresh")
        await network.converge(accepted.revision)
        after = await network.publish(6.0)
        assert isinstance(after, results.Accepted)

    settings_network.run_scenario(
        body, retention_s=86_400.0, check_interval_s=900.0
    )


def test_concurrent_snapshots_change_no_settings():
    async def body(network):
        first = await network.add("m0", "one")
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision)
        stale = first.fold.snapshot()
        accepted = await network.publish(6.0)
        for value in (stale, first.fold.snapshot(), stale):
            network.log.put(records.STREAM, value)
        await network.add("m1", "two")
        accepted = await network.publish(7.0)
        await network.converge(accepted.revision)

    settings_network.run_scenario(body)


def test_expired_log_without_peers_is_reported():
    async def body(network):
        await network.publish(5.0)
        network.log.truncate(records.STREAM)
        follower = await network.add("m0", wait=False)
        await asyncio.sleep(5.0)
        assert follower.current is None
        assert follower.refused is cursor_lib.RefuseReason.NO_SNAPSHOT

    settings_network.run_scenario(body)


def test_halted_process_keeps_its_settings():
    async def body(network):
        follower = await network.add("m0")
        accepted = await network.publish(5.0)
        await network.converge(accepted.revision)
        later = changes.Change(
            "later-00",
            1,
            "ben",
            "",
            1.0,
            (changes.Set(RATE, 6.0),),
            2,
        )
        network.log.put(records.STREAM, later.encode())
        await asyncio.sleep(60.0)
        assert follower.revision == accepted.revision
        assert follower.fold.halted == 2
        with pytest.raises(exceptions.PlatformError, match="schema 2"):
            await publisher.read_fold(network.log)
        assert network.counters["m0"].value("settings.log_reads") < 30

    settings_network.run_scenario(body)
