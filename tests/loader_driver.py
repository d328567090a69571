"""Drives a loader step by step against a simulated engine and gate."""

import random

import weights_fakes

from clementinegw.backend import types as backend
from clementinegw.telemetry import counters as metrics
from clementinegw.weights import loader as loaders

Phase, Reason = loaders.Phase, loaders.Reason
V1, V2, V3 = (
    weights_fakes.version_of(name, part)[0]
    for name, part in (("1", b"a"), ("2", b"b"), ("3", b"c"))
)
ALL_STAGED = frozenset(manifest.digest for manifest in (V1, V2, V3))
CONTENT_DIGESTS = {m.version: m.content_digest for m in (V1, V2, V3)}


class Driver:
    """A loader with the actual state of its engine and gate.

    Attributes:
      now: The current time, in monotonic seconds.
      loaded: The content digest that the engine has actually loaded.
      loading: The version that the engine is actually loading.
      open_query: The number of the open status query, if any.
      open_order: The open order, if any.
      open_drain: The number of the open drain, if any.
      serves: The content digest that the gate serves; empty if it is closed.
      sent: All orders so far.
    """

    def __init__(self, loaded=V1, checks_fencing=True):
        self.now = 100.0
        self.counters = metrics.Counters()
        self.loader = loaders.Loader(
            checks_fencing, random.Random(1), self.counters
        )
        self.loaded = loaded.content_digest if loaded else ""
        self.loading = ""
        self.fencing = 0
        self.open_query = self.open_order = self.open_drain = None
        self.permit_requested = self.cover_requested = False
        self.serves = ""
        self.sent = []
        self.lost_chunks = ()
        self.do(self.loader.start(self.now))

    def do(self, actions):
        """Performs actions and checks the invariants at each of them."""
        for action in actions:
            getattr(self, f"_do_{type(action).__name__}")(action)

    def _do_QueryStatus(self, action):  # noqa: N802
        self.open_query = action.number

    def _do_AcquirePermit(self, action):  # noqa: N802
        self.permit_requested = True

    def _do_CoverLoad(self, action):  # noqa: N802
        self.cover_requested = True

    def _do_ReleasePermit(self, action):  # noqa: N802
        self.permit_requested = self.cover_requested = False

    def _do_Drain(self, action):  # noqa: N802
        self.open_drain = action.number
        self.serves = ""

    def _do_SendOrder(self, action):  # noqa: N802
        assert self.open_order is None, "two open orders"
        assert not self.serves, "order sent while requests are accepted"
        self.open_order = action
        self.sent.append(action)

    def _do_Serve(self, action):  # noqa: N802
        assert self.open_order is None, "version served while an order is open"
        self.serves = action.target.content_digest

    def _do_StopServing(self, action):  # noqa: N802
        self.serves = ""

    def _do_ChunksLost(self, action):  # noqa: N802
        self.lost_chunks = action.digests

    def declare(self, manifest, revision, previous=None):
        target = loaders.Target(manifest, revision)
        previous_target = previous and loaders.Target(previous, revision)
        self.do(self.loader.on_declared(self.now, target, previous_target))

    def answer_status(self):
        number, self.open_query = self.open_query, None
        self.do(self.loader.on_status(self.now, number, self.status()))

    def status(self):
        return backend.EngineStatus(
            model="gear",
            version="",
            digest=self.loaded,
            adapters=(),
            role=backend.EngineRole.MIXED,
            fencing=self.fencing,
            load=0.0,
            running=0,
            waiting=0,
            capacity=8,
            loading=self.loading,
        )

    def advance(self, seconds):
        """Advances the time; every query is answered at once."""
        end = self.now + seconds
        while self.now < end:
            if self.open_query is not None:
                self.answer_status()
            self.now = min(end, max(self.loader.wake_at, self.now + 0.01))
            self.do(self.loader.on_tick(self.now))
        if self.open_query is not None:
            self.answer_status()

    def ready(self):
        """Declares version 1, which is loaded, and stages all versions."""
        self.declare(V1, 1)
        self.advance(0.1)
        self.do(self.loader.on_staged(self.now, ALL_STAGED))
        assert self.serves == CONTENT_DIGESTS["1"]
        return self

    def start_load(self):
        """Grants the permit and drains; afterwards an order is open."""
        self.do(self.loader.on_permit_granted(self.now))
        self.end_drain()
        if self.cover_requested:
            self.do(self.loader.on_covered(self.now, self.now + 1.0))
        assert self.open_order is not None
        return self

    def end_drain(self, clean=True):
        number, self.open_drain = self.open_drain, None
        self.do(self.loader.on_drained(self.now, number, clean))

    def apply_order(self):
        """Lets the engine carry out the open order."""
        self.loaded = self.open_order.target.content_digest
        self.fencing = self.open_order.target.revision

    def report(self, digest=None):
        """Delivers the engine's answer to the open order."""
        order, self.open_order = self.open_order, None
        digest = digest or self.loaded
        self.do(self.loader.on_report(self.now, order.number, digest))

    def lose_answer(self):
        """Loses the answer to the open order."""
        order, self.open_order = self.open_order, None
        self.do(self.loader.on_answer_lost(self.now, order.number))

    def refuse(self, reason, missing=()):
        """Lets the engine refuse the open order."""
        order, self.open_order = self.open_order, None
        refusal = backend.OrderRefused(reason, self.fencing, missing)
        self.do(self.loader.on_refusal(self.now, order.number, refusal))
