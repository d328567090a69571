"""Tests the gate with random events: proofs are true, nothing runs twice."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from clementinegw import types as shared
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import types

INCARNATION = 7
NOW = 1000.0
KEYS = strategies.sampled_from(["", "k1", "k2"])
REQUESTS = strategies.integers(0, 5).map(lambda n: f"r{n}")
NUMBERS = strategies.integers(1, 3)


class GateMachine(stateful.RuleBasedStateMachine):
    """Checks after any events that proofs are true and nothing runs twice."""

    def __init__(self):
        super().__init__()
        self.limits = types.Limits(
            capacity=2, max_queued=2, retention_s=10.0, max_records=4
        )
        self.gate = gate_lib.Gate(self.limits, INCARNATION)
        self.now = NOW
        self.at_server = {}
        self.begun = set()
        self.proved = set()
        self.tombstoned_at = {}
        self.keys = {}
        self.sent = {}
        self.left = False

    def apply(self, actions):
        for action in actions:
            if isinstance(action, types.HandOver):
                self.on_hand_over(action.id)
            elif isinstance(action, types.Refuse):
                assert action.id not in self.begun
                self.proved.add(action.id)
            elif isinstance(action, types.Fail):
                assert action.id in self.begun
                self.at_server.pop(action.id, None)

    def on_hand_over(self, attempt_id):
        attempt = self.sent[attempt_id]
        assert attempt_id not in self.proved
        assert attempt_id not in self.begun
        assert attempt.deadline > self.now
        assert not self.left
        if not attempt.idempotent:
            # Once the gate has dropped the key, a newer claim may be handed
            # over; the log prevents such claims. An old claim is never valid.
            assert attempt.claim_offset > self.keys.get(attempt.key, 0)
            self.keys[attempt.key] = attempt.claim_offset
        self.begun.add(attempt_id)
        self.at_server[attempt_id] = attempt

    @stateful.rule(
        request=REQUESTS,
        number=NUMBERS,
        key=KEYS,
        offset=strategies.integers(0, 4),
        priority=strategies.sampled_from(list(shared.Priority)),
        alone=strategies.booleans(),
        seconds=strategies.sampled_from([0.0, 1.0, 30.0]),
        delay=strategies.sampled_from([0.0, 0.5, 20.0]),
    )
    def submit(
        self, request, number, key, offset, priority, alone, seconds, delay
    ):
        attempt_id = types.AttemptId(request, number)
        if attempt_id in self.sent:
            return
        # An entry submits an attempt before it sends its tombstone.
        if self.now - delay > self.tombstoned_at.get(attempt_id, self.now):
            return
        attempt = types.Attempt(
            attempt_id,
            self.now - delay + seconds,
            priority,
            not key,
            alone,
            request.encode(),
            key,
            offset,
            incarnation=INCARNATION,
            sent_at=self.now - delay,
        )
        self.sent[attempt_id] = attempt
        self.apply(self.gate.submit(attempt, self.now))

    @stateful.rule(data=strategies.data())
    def submit_twice(self, data):
        submitted = sorted(self.sent, key=str)
        if not submitted:
            return
        attempt_id = data.draw(strategies.sampled_from(submitted))
        if attempt_id not in self.at_server:
            return
        actions = self.gate.submit(self.sent[attempt_id], self.now)
        assert actions == [types.FailDuplicate(attempt_id)]

    @stateful.rule(
        request=REQUESTS,
        number=NUMBERS,
        include_earlier=strategies.booleans(),
    )
    def tombstone(self, request, number, include_earlier):
        last = types.AttemptId(request, number)
        first = 1 if include_earlier else number
        named = [types.AttemptId(request, n) for n in range(first, number + 1)]
        times = [self.sent[i].sent_at for i in named if i in self.sent]
        proved, actions = self.gate.tombstone(
            last,
            include_earlier,
            INCARNATION,
            min(times, default=self.now),
            self.now,
        )
        self.apply(actions)
        for attempt_id in named:
            self.tombstoned_at.setdefault(attempt_id, self.now)
        if proved:
            assert not any(i in self.begun for i in named)
            self.proved.update(named)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 2.0, 50.0]))
    def wait(self, seconds):
        self.now += seconds
        self.apply(self.gate.on_tick(self.now))

    @stateful.rule(
        data=strategies.data(),
        end=strategies.sampled_from(
            ["answered", "failed", "not_begun", "cancelled"]
        ),
    )
    def end(self, data, end):
        if not self.at_server:
            return
        ids = sorted(self.at_server, key=str)
        attempt_id = data.draw(strategies.sampled_from(ids))
        attempt = self.at_server[attempt_id]
        if end == "cancelled":
            self.apply(self.gate.cancel(attempt_id, self.now))
            return
        del self.at_server[attempt_id]
        if end == "not_begun":
            # The server did not begin it, so it does not count as a run.
            self.begun.discard(attempt_id)
            if self.keys.get(attempt.key) == attempt.claim_offset:
                del self.keys[attempt.key]
            reason = types.RefusalReason.UNREACHABLE
            actions = self.gate.on_not_begun(attempt_id, reason, self.now)
        elif end == "failed":
            reason = types.FailureReason.LOST
            actions = self.gate.on_failed(attempt_id, reason, self.now)
        else:
            actions = self.gate.on_answered(attempt_id, self.now)
        self.apply(actions)

    @stateful.rule(
        event=strategies.sampled_from(["on_crash", "on_stall", "drain"])
    )
    def disturb(self, event):
        self.apply(getattr(self.gate, event)(self.now))

    @stateful.rule()
    def loaded(self):
        self.apply(self.gate.on_loaded(self.now))

    @stateful.precondition(lambda self: len(self.sent) > 8)
    @stateful.rule()
    def leave(self):
        self.apply(self.gate.leave(self.now))
        self.left = True

    @stateful.invariant()
    def stays_within_limits(self):
        assert set(self.gate.in_flight) == set(self.at_server)
        assert len(self.at_server) <= self.limits.capacity
        alone = [a for a in self.at_server.values() if a.alone]
        assert not alone or len(self.at_server) == 1
        assert self.gate.load.queued <= self.limits.max_queued


GateMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestGateMachine = GateMachine.TestCase
