"""Random sequences of events for the loader, which serves verified weights."""

import hypothesis
from hypothesis import strategies as st
import loader_driver

from clementinegw.backend import types as backend
from clementinegw.weights import loader as loaders

V1, V2, V3 = loader_driver.V1, loader_driver.V2, loader_driver.V3
ALL_STAGED, CONTENT_DIGESTS = (
    loader_driver.ALL_STAGED,
    loader_driver.CONTENT_DIGESTS,
)

EVENTS = (
    "declare",
    "status",
    "no_status",
    "permit",
    "permit_lost",
    "covered",
    "drained",
    "drain_timeout",
    "effect",
    "report",
    "mismatch",
    "lose_answer",
    "late_effect",
    "refuse_fencing",
    "refuse_chunk",
    "not_sent",
    "crash",
    "crash_unseen",
    "time",
    "long_time",
)


class Walk(loader_driver.Driver):
    """Applies events in any possible order."""

    def __init__(self, checks_fencing):
        super().__init__(V1, checks_fencing)
        self.revision = 1
        self.late_order = None
        self.late_order_until = 0.0
        self.reported = self.loaded

    def _do_Serve(self, action):  # noqa: N802
        super()._do_Serve(action)
        # The latest report or status must agree.
        assert action.target.content_digest == self.reported
        assert self.late_order is None or self.now >= self.late_order_until

    def step(self, event, choice):
        getattr(self, f"on_{event}")(choice)

    def on_declare(self, choice):
        self.revision += 1
        self.declare((V1, V2, V3)[choice], self.revision, V1)
        self.do(self.loader.on_staged(self.now, ALL_STAGED))

    def on_status(self, choice):
        if self.open_query is not None:
            self.reported = self.loaded
            self.answer_status()

    def on_no_status(self, choice):
        if self.open_query is not None:
            number, self.open_query = self.open_query, None
            self.do(self.loader.on_no_status(self.now, number))

    def on_permit(self, choice):
        if self.permit_requested:
            self.do(self.loader.on_permit_granted(self.now))

    def on_permit_lost(self, choice):
        self.do(self.loader.on_permit_lost(self.now))

    def on_covered(self, choice):
        if self.cover_requested:
            self.cover_requested = False
            self.do(self.loader.on_covered(self.now, self.now + 1.0))

    def on_drained(self, choice):
        if self.open_drain is not None:
            self.end_drain()

    def on_drain_timeout(self, choice):
        if self.open_drain is not None:
            self.end_drain(clean=False)

    def on_effect(self, choice):
        if self.open_order is not None:
            self.apply_order()

    def on_report(self, choice):
        if self.open_order is not None:
            self.apply_order()
            self.reported = self.loaded
            self.report()

    def on_mismatch(self, choice):
        if self.open_order is not None:
            self.reported = self.loaded = "0" * 64
            self.report()

    def on_lose_answer(self, choice):
        if self.open_order is not None:
            # The engine may carry the order out late, but within `settle_s`.
            if self.loaded != self.open_order.target.content_digest:
                self.late_order = self.open_order
                self.late_order_until = self.now + loaders.Timing().settle_s
            self.lose_answer()

    def on_late_effect(self, choice):
        if self.late_order is not None and self.now < self.late_order_until:
            self.loaded = self.late_order.target.content_digest
            self.late_order = None

    def on_refuse_fencing(self, choice):
        if self.open_order is not None:
            self.fencing = self.revision + 1
            self.refuse(backend.OrderRefusal.FENCING)
            self.fencing = 0

    def on_refuse_chunk(self, choice):
        if self.open_order is not None:
            self.refuse(backend.OrderRefusal.CHUNK_MISSING, ("ab" * 32,))
            self.do(self.loader.on_staged(self.now, ALL_STAGED))

    def on_not_sent(self, choice):
        if self.open_order is not None:
            order, self.open_order = self.open_order, None
            self.do(self.loader.on_not_sent(self.now, order.number))

    def on_crash(self, choice):
        self.on_crash_unseen(choice)
        self.reported = ""
        self.open_order = self.open_query = None
        self.do(self.loader.on_crash(self.now))

    def on_crash_unseen(self, choice):
        if self.open_order is None:
            self.loaded = ""
            self.late_order = None

    def on_time(self, choice):
        self.now += 0.3
        self.do(self.loader.on_tick(self.now))

    def on_long_time(self, choice):
        self.now += 12.0
        self.do(self.loader.on_tick(self.now))


@hypothesis.given(
    st.booleans(),
    st.lists(
        st.tuples(st.sampled_from(EVENTS), st.integers(0, 2)),
        min_size=10,
        max_size=80,
    ),
)
@hypothesis.settings(deadline=None, max_examples=400, derandomize=True)
def test_any_sequence_serves_only_what_the_engine_reported(
    checks_fencing, steps
):
    """Serving never contradicts the engine's last report or an open order.

    Once the faults end, the newest version is served.
    """
    walk = Walk(checks_fencing)
    for event, choice in steps:
        walk.step(event, choice)
    walk.on_declare(1)
    for _ in range(400):
        for event in ("long_time", "status", "permit", "drained", "covered"):
            walk.step(event, 0)
        walk.step("report", 0)
        if walk.serves == CONTENT_DIGESTS["2"]:
            break
    assert walk.serves == walk.loaded == CONTENT_DIGESTS["2"]
    assert walk.loader.reason is loaders.Reason.NONE
