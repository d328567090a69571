"""Tests the loader's decisions, which rely on the engine's reports alone."""

import loader_driver
import pytest

from clementinegw.backend import types as backend

Driver, Reason = loader_driver.Driver, loader_driver.Reason
V1, V2, V3 = loader_driver.V1, loader_driver.V2, loader_driver.V3
CONTENT_DIGESTS = loader_driver.CONTENT_DIGESTS


def load_version_2(**options):
    driver = Driver(**options).ready()
    driver.declare(V2, 2, V1)
    assert driver.permit_requested
    return driver.start_load()


def test_load_interrupts_no_request_and_ends_in_service():
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    assert driver.serves == CONTENT_DIGESTS["1"], (
        "served until the permit is granted"
    )
    driver.do(driver.loader.on_permit_granted(driver.now))
    assert driver.open_order is None, "no order while requests are in flight"
    driver.end_drain()
    assert driver.open_order is None, "no order before the permit covers it"
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    driver.apply_order()
    driver.report()
    assert driver.serves == CONTENT_DIGESTS["2"]
    assert not driver.permit_requested
    assert driver.loader.reason is Reason.NONE


def test_lost_answer_of_an_order_that_took_effect_is_settled_by_a_query():
    """Guards against a worker that loads the same version twice.

    The order takes effect but its answer is lost. Repeating the order without
    querying the engine would keep the worker out of service twice as long.
    """
    driver = load_version_2()
    driver.apply_order()
    driver.lose_answer()
    assert not driver.serves
    driver.advance(0.1)
    assert driver.serves == CONTENT_DIGESTS["2"]
    assert len(driver.sent) == 1


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_in_the_accept_queue_is_waited_for(checks_fencing):
    """Guards against answers from mixed weights after a lost order.

    The connection of an order breaks while the engine still has the old
    version. If that were served again, the engine could take the order from its
    accept queue and overwrite the weights while it generates answers.
    """
    driver = load_version_2(checks_fencing=checks_fencing)
    driver.lose_answer()
    driver.advance(5.0)
    assert not driver.serves
    assert len(driver.sent) == 1
    driver.loading = "2"
    driver.advance(60.0)
    assert not driver.serves, "the engine is still loading"
    driver.loading, driver.loaded = "", CONTENT_DIGESTS["2"]
    driver.advance(1.0)
    assert driver.serves == CONTENT_DIGESTS["2"]
    assert len(driver.sent) == 1


def test_order_that_never_arrived_is_sent_again_later():
    driver = load_version_2()
    driver.lose_answer()
    driver.advance(9.0)
    assert driver.open_drain is None, "the lost order may still take effect"
    driver.advance(2.0)
    driver.end_drain()
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    assert len(driver.sent) == 2


def test_newer_version_waits_for_the_outcome_of_the_order():
    """Two concurrent orders would leave the engine with mixed weights."""
    driver = load_version_2()
    driver.declare(V3, 3, V2)
    assert len(driver.sent) == 1
    driver.apply_order()
    driver.report()
    assert not driver.serves, "the newest is staged and loaded while it is out"
    driver.end_drain()
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    driver.apply_order()
    driver.report()
    assert driver.serves == CONTENT_DIGESTS["3"]
    assert [order.target.version for order in driver.sent] == ["2", "3"]


def test_superseded_version_is_served_until_the_newest_is_staged():
    driver = load_version_2()
    driver.do(driver.loader.on_staged(driver.now, frozenset({V2.digest})))
    driver.declare(V3, 3, V2)
    driver.apply_order()
    driver.report()
    assert driver.serves == CONTENT_DIGESTS["2"]
    assert driver.loader.reason is Reason.CHUNKS_MISSING


def test_outdated_settings_order_nothing():
    """Guards against a rolled-back version that returns on one instance.

    The agent is paused, resumes, and passes on settings that it had read
    before. An order that follows the older revision would load that version.
    """
    driver = Driver().ready()
    driver.declare(V1, 5)
    driver.declare(V2, 4)
    driver.advance(10.0)
    assert driver.serves == CONTENT_DIGESTS["1"]
    assert not driver.sent
    assert driver.counters.value("weights.load.old_revision") == 1


def test_engine_that_has_seen_newer_settings_is_not_ordered_again():
    """Another agent with newer settings has sent the same engine an order."""
    driver = load_version_2()
    driver.fencing, driver.loaded = 9, CONTENT_DIGESTS["3"]
    driver.refuse(backend.OrderRefusal.FENCING)
    driver.advance(60.0)
    assert not driver.serves, "version 3 is not declared here yet"
    assert len(driver.sent) == 1
    assert driver.loader.reason is Reason.REFUSED_FENCING
    driver.declare(V3, 9, V2)
    driver.advance(5.0)
    assert driver.serves == CONTENT_DIGESTS["3"]
    assert len(driver.sent) == 1


def test_digest_that_is_not_the_targets_is_never_served():
    """The engine reads a chunk wrongly, each time it loads."""
    driver = load_version_2()
    for _ in range(4):
        driver.loaded = "0" * 64
        driver.report()
        driver.advance(60.0)
        assert not driver.serves
        driver.end_drain()
        if driver.open_order is None:
            driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    assert driver.permit_requested, "keeps its place, so a bad version stops"
    mismatches = driver.counters.value("weights.load.digest_mismatch")
    assert mismatches == 4
    driver.loaded = "0" * 64
    driver.report()
    driver.declare(V1, 3, V2)
    driver.advance(0.1)
    driver.end_drain()
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    driver.apply_order()
    driver.report()
    assert driver.serves == CONTENT_DIGESTS["1"], (
        "a rollback waits for no retry delay"
    )


def test_order_that_was_not_sent_in_time_returns_the_worker_to_service():
    """The process was paused between deciding on the order and sending it."""
    driver = load_version_2()
    order, driver.open_order = driver.open_order, None
    driver.do(driver.loader.on_permit_lost(driver.now))
    driver.do(driver.loader.on_not_sent(driver.now, order.number))
    driver.advance(10.0)
    assert driver.serves == CONTENT_DIGESTS["1"]
    assert len(driver.sent) == 1, "the expired permit is not used"
    assert driver.permit_requested


def test_permit_that_expires_in_a_drain_returns_the_worker_to_service():
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    driver.do(driver.loader.on_permit_granted(driver.now))
    stale = driver.open_drain
    driver.do(driver.loader.on_permit_lost(driver.now))
    driver.advance(0.1)
    assert driver.serves == CONTENT_DIGESTS["1"]
    driver.do(driver.loader.on_drained(driver.now, stale, True))
    assert not driver.sent


def test_permit_that_expires_in_a_load_does_not_interrupt_it():
    driver = load_version_2()
    driver.do(driver.loader.on_permit_lost(driver.now))
    driver.apply_order()
    driver.report()
    assert driver.serves == CONTENT_DIGESTS["2"]
    assert not driver.permit_requested


def test_requests_that_do_not_finish_are_not_interrupted():
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    driver.do(driver.loader.on_permit_granted(driver.now))
    driver.end_drain(clean=False)
    driver.advance(0.1)
    assert driver.serves == CONTENT_DIGESTS["1"]
    assert not driver.sent
    driver.advance(10.0)
    assert driver.permit_requested, "it is tried again"


def test_engine_that_crashed_in_a_drain_is_not_served():
    """Guards against requests that reach an engine without weights.

    The worker drains and waits for its permit to cover the load. The engine
    crashes and restarts, and the permit expires. The worker must not serve the
    version that was loaded before.
    """
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    driver.do(driver.loader.on_permit_granted(driver.now))
    driver.end_drain()
    driver.loaded = ""
    driver.advance(15.0)
    assert not driver.serves
    assert driver.open_drain is not None, "out anyway, so no permit is needed"


def test_weights_changed_by_another_agent_are_not_served():
    """A second agent resumes after a long pause and orders the same engine."""
    driver = Driver(checks_fencing=False).ready()
    driver.loaded = CONTENT_DIGESTS["3"]
    driver.advance(2.1)
    assert not driver.serves
    driver.advance(0.1)
    driver.end_drain()
    assert driver.open_order.target.version == "1"


def test_chunks_that_are_no_longer_staged_are_fetched_again():
    driver = load_version_2()
    driver.refuse(backend.OrderRefusal.CHUNK_MISSING, ("ab" * 32,))
    assert driver.lost_chunks == ("ab" * 32,)
    driver.advance(5.0)
    assert driver.serves == CONTENT_DIGESTS["1"]
    assert driver.loader.reason is Reason.CHUNKS_MISSING


def test_restarted_agent_serves_the_declared_version_at_once():
    """The engine already has the declared version, so nothing is loaded."""
    driver = Driver(loaded=V1)
    driver.advance(1.0)
    assert not driver.serves, "nothing is declared yet"
    driver.declare(V2, 7, V1)
    assert driver.serves == CONTENT_DIGESTS["1"], (
        "the previous version in the meantime"
    )
    assert not driver.sent
