"""Tests the selection of readers and the copy kept for queries of peers."""

import pytest

from clementinegw import types as shared_types
from clementinegw.direct import compacted_log
from clementinegw.direct import raw
from clementinegw.direct import reader_selector
from clementinegw.direct import topic_watch


def address(number):
    return shared_types.Address("10.0.0.1", 7_000 + number)


def batch(offset, *pairs):
    items = [raw.Item(k, v, offset + n) for n, (k, v) in enumerate(pairs)]
    return raw.Batch(tuple(items), offset + len(items))


def test_many_changes_are_compacted_to_the_newest_of_each_key():
    compacted = compacted_log.CompactedLog()
    compacted.replace(batch(0, ("a", b"0")), 0.0)
    for number in range(1, 50):
        compacted.add(batch(number, ("c", b"%d" % number)), 1.0)
    compacted.add(batch(50, ("a", b"")), 2.0)
    items = [(i.key, i.value, i.position) for i in compacted.since(1)]
    assert items == [("c", b"49", 49), ("a", b"", 50)]
    assert compacted.since(51) == ()
    assert [i.key for i in compacted.all()] == ["c"]
    assert (compacted.added_after(1), compacted.added_after(50)) == (1.0, 2.0)


def test_history_is_lost_for_peers_that_are_too_far_behind():
    compacted = compacted_log.CompactedLog()
    compacted.replace(batch(7, ("a", b"0")), 0.0)
    with pytest.raises(topic_watch.HistoryLost):
        compacted.since(7)
    for number in range(8, 5_008):
        compacted.add(batch(number, (f"k{number}", b"")), 1.0)
    with pytest.raises(topic_watch.HistoryLost):
        compacted.since(8)
    assert len(compacted.since(5_000)) == 8
    assert len(compacted._log) < 2_100


def test_few_peers_precede_the_store_and_none_in_backoff_is_queried():
    now = [0.0]
    selector = reader_selector.ReaderSelector(lambda: now[0])
    now[0] = 2.0
    assert selector.order(serving=False) == [None]
    selector.set_candidates(tuple(address(n) for n in range(6)))
    selector.own_address = address(4)
    first = [address(0), address(1), address(2), None]
    assert selector.order(serving=False) == first
    assert selector.order(serving=True) == [None, *first[:3]]
    selector.record_failure(address(0))
    selector.record_failure(None)
    assert selector.order(serving=True) == first[1:3]
    assert selector.is_backed_off(None)
    now[0] = 4.5
    assert selector.order(serving=False) == first
    selector.record_failure(address(0))
    now[0] = 7.0
    assert address(0) not in selector.order(serving=False)
    selector.record_success(address(0))
    assert selector.order(serving=False) == first


def orders_during_an_outage(unreachable):
    """Returns the first order of the third reader, and that 0.5 s later."""
    now = [10.0]
    selector = reader_selector.ReaderSelector(lambda: now[0])
    now[0] = 20.0
    selector.set_candidates(tuple(address(n) for n in range(4)))
    selector.own_address = address(2)
    for number in (0, 1):
        selector.record_failure(address(number), unreachable=unreachable)
    selector.record_failure(address(3))
    selector.record_failure(None)
    first = selector.order(serving=False)
    now[0] = 20.5
    return first, selector.order(serving=False)


def test_a_store_that_is_back_is_found_though_the_first_readers_are_dead():
    """Guards against a recovery that takes seconds.

    Only the first two readers kept trying the store, and both were dead.
    """
    order = [None, address(3)]
    assert orders_during_an_outage(unreachable=True) == (order, order)


def test_only_the_first_readers_keep_trying_an_unavailable_store():
    peers = [address(0), address(1)]
    orders = orders_during_an_outage(unreachable=False)
    assert orders == ([None, *peers], peers)
