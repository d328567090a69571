"""Random walks of the loader: what is served was always proved."""

import hypothesis
from hypothesis import strategies as st
import loader_driver

from clementinegw.backend import types as backend
from clementinegw.weights import loader as loaders

V1, V2, V3 = loader_driver.V1, loader_driver.V2, loader_driver.V3
ALL_STAGED, CONTENT = loader_driver.ALL_STAGED, loader_driver.CONTENT

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
    "lose",
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
    """Lets anything happen in any order that is possible."""

    def __init__(self, checks_fencing):
        super().__init__(V1, checks_fencing)
        self.revision = 1
        self.late = None
        self.late_until = 0.0
        self.known = self.loaded

    def _do_Serve(self, action):  # noqa: N802
        super()._do_Serve(action)
        # No report or status since may have said otherwise.
        assert action.target.content_digest == self.known
        assert self.late is None or self.now >= self.late_until

    def step(self, event, choice):
        getattr(self, f"on_{event}")(choice)

    def on_declare(self, choice):
        self.revision += 1
        self.declare((V1, V2, V3)[choice], self.revision, V1)
        self.do(self.loader.on_staged(self.now, ALL_STAGED))

    def on_status(self, choice):
        if self.open_query is not None:
            self.known = self.loaded
            self.answer_status()

    def on_no_status(self, choice):
        if self.open_query is not None:
            number, self.open_query = self.open_query, None
            self.do(self.loader.on_no_status(self.now, number))

    def on_permit(self, choice):
        if self.permit_asked:
            self.do(self.loader.on_permit_granted(self.now))

    def on_permit_lost(self, choice):
        self.do(self.loader.on_permit_lost(self.now))

    def on_covered(self, choice):
        if self.cover_asked:
            self.cover_asked = False
            self.do(self.loader.on_covered(self.now, self.now + 1.0))

    def on_drained(self, choice):
        if self.open_drain is not None:
            self.end_drain()

    def on_drain_timeout(self, choice):
        if self.open_drain is not None:
            self.end_drain(clean=False)

    def on_effect(self, choice):
        if self.open_order is not None:
            self.take_effect()

    def on_report(self, choice):
        if self.open_order is not None:
            self.take_effect()
            self.known = self.loaded
            self.report()

    def on_mismatch(self, choice):
        if self.open_order is not None:
            self.known = self.loaded = "0" * 64
            self.report()

    def on_lose(self, choice):
        if self.open_order is not None:
            # The engine takes it late, but not later than it is waited for.
            if self.loaded != self.open_order.target.content_digest:
                self.late = self.open_order
                self.late_until = self.now + loaders.Timing().settle_s
            self.lose_answer()

    def on_late_effect(self, choice):
        if self.late is not None and self.now < self.late_until:
            self.loaded = self.late.target.content_digest
            self.late = None

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
        self.known = ""
        self.open_order = self.open_query = None
        self.do(self.loader.on_crash(self.now))

    def on_crash_unseen(self, choice):
        if self.open_order is None:
            self.loaded = ""
            self.late = None

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
def test_any_sequence_serves_only_what_the_engine_proved(checks_fencing, steps):
    """Nothing is served against the engine's last word or an open order.

    Afterwards, once faults end, the newest version is served.
    """
    walk = Walk(checks_fencing)
    for event, choice in steps:
        walk.step(event, choice)
    walk.on_declare(1)
    for _ in range(400):
        for event in ("long_time", "status", "permit", "drained", "covered"):
            walk.step(event, 0)
        walk.step("report", 0)
        if walk.serves == CONTENT["2"]:
            break
    assert walk.serves == walk.loaded == CONTENT["2"]
    assert walk.loader.reason is loaders.Reason.NONE
