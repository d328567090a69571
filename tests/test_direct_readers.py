"""Whom a process asks about topics, and what is kept for those who ask."""

import asyncio

import pytest

from clementinegw import types as places
from clementinegw.direct import choice as choices
from clementinegw.direct import follow
from clementinegw.direct import newest as newest_lib
from clementinegw.direct import raw
from clementinegw.direct import readers
from clementinegw.telemetry import counters
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks


def address(number):
    return places.Address("10.0.0.1", 7_000 + number)


def batch(offset, *pairs):
    items = [raw.Item(k, v, offset + n) for n, (k, v) in enumerate(pairs)]
    return raw.Batch(tuple(items), offset + len(items))


def test_a_storm_of_changes_is_told_as_the_newest_of_each_key():
    kept = newest_lib.Newest()
    kept.replace(batch(0, ("a", b"0")), 0.0)
    for number in range(1, 50):
        kept.add(batch(number, ("c", b"%d" % number)), 1.0)
    kept.add(batch(50, ("a", b"")), 2.0)
    found = [(i.key, i.value, i.offset) for i in kept.since(1)]
    assert found == [("c", b"49", 49), ("a", b"", 50)]
    assert kept.since(51) == ()
    assert [i.key for i in kept.all()] == ["c"]
    assert (kept.added_after(1), kept.added_after(50)) == (1.0, 2.0)


def test_who_is_too_far_behind_takes_everything():
    kept = newest_lib.Newest()
    kept.replace(batch(7, ("a", b"0")), 0.0)
    with pytest.raises(follow.HistoryLost):
        kept.since(7)
    for number in range(8, 5_008):
        kept.add(batch(number, (f"k{number}", b"")), 1.0)
    with pytest.raises(follow.HistoryLost):
        kept.since(8)
    assert len(kept.since(5_000)) == 8
    assert len(kept._kept) < 2_100


def test_few_are_asked_before_the_store_and_none_that_failed_just_now():
    now = [0.0]
    choice = choices.Choice(lambda: now[0])
    now[0] = 2.0
    assert choice.order(serving=False) == [None]
    choice.offer(tuple(address(n) for n in range(6)))
    choice.me = address(4)
    first = [address(0), address(1), address(2), None]
    assert choice.order(serving=False) == first
    assert choice.order(serving=True) == [None, *first[:3]]
    choice.failed(address(0))
    choice.failed(None)
    assert choice.order(serving=True) == first[1:3]
    assert choice.is_aside(None)
    now[0] = 4.5
    assert choice.order(serving=False) == first
    choice.failed(address(0))
    now[0] = 7.0
    assert address(0) not in choice.order(serving=False)
    choice.worked(address(0))
    assert choice.order(serving=False) == first


class Group:
    """The store's list of readers; what is not renewed runs out."""

    def __init__(self):
        self.calls = 0
        self.until = {}

    def members(self):
        now = asyncio.get_running_loop().time()
        return tuple(m for m, until in self.until.items() if until > now)


class Member:
    """One process's calls to that list."""

    def __init__(self, group, me):
        self.group = group
        self.me = me

    async def join(self):
        self.group.calls += 1
        now = asyncio.get_running_loop().time()
        self.group.until[self.me] = now + 6.0
        return hash(self.group.members())

    async def candidates(self):
        self.group.calls += 1
        return self.group.members()


def keepers(group, count):
    found = []
    for number in range(count):
        choice = choices.Choice(asyncio.get_running_loop().time)
        choice.me = address(number)
        found.append(
            readers.Keeper(
                Member(group, choice.me),
                True,
                choice,
                logs.Log(),
                counters.Counters(),
            )
        )
    return found


def test_few_of_many_entries_stay_on_the_list_of_readers():
    """Symptom: calls to the store grow with the entries of a failure domain.

    Sequence: none; it is so in the calm. Cause: each of 20 entries renewed its
    place among the readers each two seconds, though at most three are asked.
    """

    async def run():
        group = Group()
        found = keepers(group, 20)
        for keeper in found:
            await keeper.start()
        await asyncio.sleep(12.0)
        settled = len(group.members())
        calls = group.calls
        await asyncio.sleep(20.0)
        calm = group.calls - calls
        for keeper in found:
            await keeper.stop()
        return settled, calm

    settled, calm = clocks.run(run())
    assert settled == 4
    # Ten renewals of four, and two looks of each of the others.
    assert calm <= 4 * 10 + 16 * 2 + 4


def test_others_take_the_place_of_readers_that_are_gone():
    """A reader fails for those who ask it: they look, and join anew."""

    async def run():
        group = Group()
        found = keepers(group, 8)
        for keeper in found:
            await keeper.start()
        await asyncio.sleep(12.0)
        first = group.members()
        for keeper in found[:3]:
            await keeper.stop()
        await asyncio.sleep(7.0)
        for keeper in found[3:]:
            keeper.look_again()
        await asyncio.sleep(3.0)
        after = group.members()
        for keeper in found[3:]:
            await keeper.stop()
        return first, after

    first, after = clocks.run(run())
    assert first == tuple(address(n) for n in range(4))
    assert len(after) >= 4
    assert not set(after) & set(first[:3])
