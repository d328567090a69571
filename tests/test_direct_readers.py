"""Whom a process asks about topics, and what is kept for those who ask."""

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import choice as choices
from clementinegw.direct import follow
from clementinegw.direct import newest as newest_lib
from clementinegw.direct import raw


def address(number):
    return shared_types.Address("10.0.0.1", 7_000 + number)


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


def orders_while_the_store_is_away(gone):
    """Returns whom the third reader asks at first, and a moment later."""
    now = [10.0]
    choice = choices.Choice(lambda: now[0])
    now[0] = 20.0
    choice.offer(tuple(address(n) for n in range(4)))
    choice.me = address(2)
    for number in (0, 1):
        choice.failed(address(number), gone=gone)
    choice.failed(address(3))
    choice.failed(None)
    first = choice.order(serving=False)
    now[0] = 20.5
    return first, choice.order(serving=False)


def test_a_store_that_is_back_is_found_though_the_first_readers_are_dead():
    """Recovery took seconds: only two dead readers were to go on trying it."""
    asked = [None, address(3)]
    assert orders_while_the_store_is_away(gone=True) == (asked, asked)


def test_the_first_readers_alone_try_a_store_that_is_away():
    others = [address(0), address(1)]
    found = orders_while_the_store_is_away(gone=False)
    assert found == ([None, *others], others)
