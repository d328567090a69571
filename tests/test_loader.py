"""The loader's decisions against an engine whose word is all there is."""

import loader_driver
import pytest

from clementinegw.backend import types as backend

Driver, Reason = loader_driver.Driver, loader_driver.Reason
V1, V2, V3 = loader_driver.V1, loader_driver.V2, loader_driver.V3
CONTENT = loader_driver.CONTENT


def out_for_version_2(**options):
    driver = Driver(**options).ready()
    driver.declare(V2, 2, V1)
    assert driver.permit_asked
    return driver.start_load()


def test_load_never_interrupts_and_ends_in_service():
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    assert driver.serves == CONTENT["1"], "served until the permit is there"
    driver.do(driver.loader.on_permit_granted(driver.now))
    assert driver.open_order is None, "no order while requests are in flight"
    driver.end_drain()
    assert driver.open_order is None, "no order before the permit covers it"
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    driver.take_effect()
    driver.report()
    assert driver.serves == CONTENT["2"]
    assert not driver.permit_asked
    assert driver.loader.reason is Reason.NONE


def test_lost_answer_of_an_order_that_took_effect_is_settled_by_asking():
    """Symptom: a worker loads the same version twice, out for twice as long.

    Sequence: the order takes effect, its answer is lost. Cause: the order is
    repeated without a question.
    """
    driver = out_for_version_2()
    driver.take_effect()
    driver.lose_answer()
    assert not driver.serves
    driver.pass_time(0.1)
    assert driver.serves == CONTENT["2"]
    assert len(driver.sent) == 1


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_in_the_accept_queue_is_waited_for(checks_fencing):
    """Symptom: answers by mixed weights some seconds after a lost order.

    Sequence: the connection of an order breaks, the engine still has the old
    version, so it is served again; then the engine takes the order from its
    accept queue and overwrites the weights in the midst of answers.
    """
    driver = out_for_version_2(checks_fencing=checks_fencing)
    driver.lose_answer()
    driver.pass_time(5.0)
    assert not driver.serves
    assert len(driver.sent) == 1
    driver.loading = "2"
    driver.pass_time(60.0)
    assert not driver.serves, "as long as the engine loads"
    driver.loading, driver.loaded = "", CONTENT["2"]
    driver.pass_time(1.0)
    assert driver.serves == CONTENT["2"]
    assert len(driver.sent) == 1


def test_order_that_never_arrived_is_sent_again_after_a_while():
    driver = out_for_version_2()
    driver.lose_answer()
    driver.pass_time(9.0)
    assert driver.open_drain is None, "not yet"
    driver.pass_time(2.0)
    driver.end_drain()
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    assert len(driver.sent) == 2


def test_newer_version_waits_for_the_outcome_of_the_order():
    """Two orders at once would leave the engine with a mixture."""
    driver = out_for_version_2()
    driver.declare(V3, 3, V2)
    assert len(driver.sent) == 1
    driver.take_effect()
    driver.report()
    assert not driver.serves, "the newest is ready: loaded while it is out"
    driver.end_drain()
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    driver.take_effect()
    driver.report()
    assert driver.serves == CONTENT["3"]
    assert [order.target.version for order in driver.sent] == ["2", "3"]


def test_superseded_version_is_served_until_the_newest_is_here():
    driver = out_for_version_2()
    driver.do(driver.loader.on_staged(driver.now, frozenset({V2.digest})))
    driver.declare(V3, 3, V2)
    driver.take_effect()
    driver.report()
    assert driver.serves == CONTENT["2"]
    assert driver.loader.reason is Reason.CHUNKS_MISSING


def test_settings_of_the_past_order_nothing():
    """Symptom: a version that was rolled back returns on one instance.

    Sequence: the agent is paused, wakes, and hands on settings that it had
    read before. Cause: an order that follows an older revision.
    """
    driver = Driver().ready()
    driver.declare(V1, 5)
    driver.declare(V2, 4)
    driver.pass_time(10.0)
    assert driver.serves == CONTENT["1"]
    assert not driver.sent
    assert driver.counters.value("weights.load.old_revision") == 1


def test_engine_that_has_seen_newer_settings_is_not_ordered_again():
    """Another agent, with newer settings, ordered the same engine meanwhile."""
    driver = out_for_version_2()
    driver.fencing, driver.loaded = 9, CONTENT["3"]
    driver.refuse(backend.OrderRefusal.FENCING)
    driver.pass_time(60.0)
    assert not driver.serves, "version 3 is not declared here yet"
    assert len(driver.sent) == 1
    assert driver.loader.reason is Reason.REFUSED_FENCING
    driver.declare(V3, 9, V2)
    driver.pass_time(5.0)
    assert driver.serves == CONTENT["3"]
    assert len(driver.sent) == 1


def test_digest_that_is_not_the_targets_is_never_served():
    """The engine read a chunk wrong, and goes on to do so."""
    driver = out_for_version_2()
    for _ in range(4):
        driver.loaded = "0" * 64
        driver.report()
        driver.pass_time(60.0)
        assert not driver.serves
        driver.end_drain()
        if driver.open_order is None:
            driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    assert driver.permit_asked, "its place stays taken: a bad version stops"
    mismatches = driver.counters.value("weights.load.digest_mismatch")
    assert mismatches == 4
    driver.loaded = "0" * 64
    driver.report()
    driver.declare(V1, 3, V2)
    driver.pass_time(0.1)
    driver.end_drain()
    driver.do(driver.loader.on_covered(driver.now, driver.now + 1.0))
    driver.take_effect()
    driver.report()
    assert driver.serves == CONTENT["1"], "a rollback waits for no pause"


def test_order_that_was_not_sent_in_time_puts_the_worker_back():
    """The process was paused between the decision and the sending."""
    driver = out_for_version_2()
    order, driver.open_order = driver.open_order, None
    driver.do(driver.loader.on_permit_lost(driver.now))
    driver.do(driver.loader.on_not_sent(driver.now, order.number))
    driver.pass_time(10.0)
    assert driver.serves == CONTENT["1"]
    assert len(driver.sent) == 1, "the lapsed permit is not used"
    assert driver.permit_asked


def test_permit_that_lapses_in_a_drain_puts_the_worker_back():
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    driver.do(driver.loader.on_permit_granted(driver.now))
    stale = driver.open_drain
    driver.do(driver.loader.on_permit_lost(driver.now))
    driver.pass_time(0.1)
    assert driver.serves == CONTENT["1"]
    driver.do(driver.loader.on_drained(driver.now, stale, True))
    assert not driver.sent


def test_permit_that_lapses_in_a_load_does_not_interrupt_it():
    driver = out_for_version_2()
    driver.do(driver.loader.on_permit_lost(driver.now))
    driver.take_effect()
    driver.report()
    assert driver.serves == CONTENT["2"]
    assert not driver.permit_asked


def test_requests_that_do_not_finish_are_not_cut_off():
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    driver.do(driver.loader.on_permit_granted(driver.now))
    driver.end_drain(clean=False)
    driver.pass_time(0.1)
    assert driver.serves == CONTENT["1"]
    assert not driver.sent
    driver.pass_time(10.0)
    assert driver.permit_asked, "and it is tried again"


def test_engine_that_crashed_in_a_drain_is_not_served_as_before():
    """Symptom: requests reach an engine without weights.

    Sequence: the worker drains, then waits for its permit to cover the load;
    the engine crashes and restarts; the permit lapses; the worker serves what
    it believes to be loaded.
    """
    driver = Driver().ready()
    driver.declare(V2, 2, V1)
    driver.do(driver.loader.on_permit_granted(driver.now))
    driver.end_drain()
    driver.loaded = ""
    driver.pass_time(15.0)
    assert not driver.serves
    assert driver.open_drain is not None, "it loads without a permit: it is out"


def test_weights_that_change_behind_the_agents_back_are_not_served():
    """A second agent, paused for long, wakes and orders the same engine."""
    driver = Driver(checks_fencing=False).ready()
    driver.loaded = CONTENT["3"]
    driver.pass_time(2.1)
    assert not driver.serves
    driver.pass_time(0.1)
    driver.end_drain()
    assert driver.open_order.target.version == "1"


def test_chunks_that_are_not_staged_any_more_are_fetched_anew():
    driver = out_for_version_2()
    driver.refuse(backend.OrderRefusal.CHUNK_MISSING, ("ab" * 32,))
    assert driver.lost_chunks == ("ab" * 32,)
    driver.pass_time(5.0)
    assert driver.serves == CONTENT["1"]
    assert driver.loader.reason is Reason.CHUNKS_MISSING


def test_agent_started_anew_serves_at_once_what_is_declared():
    """An agent is replaced: the engine has the version, nothing is loaded."""
    driver = Driver(loaded=V1)
    driver.pass_time(1.0)
    assert not driver.serves, "nothing is declared yet"
    driver.declare(V2, 7, V1)
    assert driver.serves == CONTENT["1"], "the previous version, until then"
    assert not driver.sent
