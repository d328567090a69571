"""The gate under schedules of events: no proof is untrue, nothing doubles."""

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
    """Whatever happens, proof is true and nothing runs twice."""

    def __init__(self):
        super().__init__()
        self.limits = types.Limits(
            capacity=2, max_queued=2, retention_s=10.0, max_records=4
        )
        self.gate = gate_lib.Gate(self.limits, INCARNATION)
        self.now = NOW
        self.at_server = {}
        self.began = set()
        self.proved = set()
        self.entombed_at = {}
        self.keys = {}
        self.sent = {}
        self.left = False

    def take(self, actions):
        for action in actions:
            if isinstance(action, types.HandOver):
                self.begin(action.id)
            elif isinstance(action, types.Refuse):
                assert action.id not in self.began
                self.proved.add(action.id)
            elif isinstance(action, types.Fail):
                assert action.id in self.began
                self.at_server.pop(action.id, None)

    def begin(self, attempt_id):
        attempt = self.sent[attempt_id]
        assert attempt_id not in self.proved
        assert attempt_id not in self.began
        assert attempt.deadline > self.now
        assert not self.left
        if not attempt.idempotent:
            # Beyond the gate's memory a newer claim of the key may come; that
            # there is none is the log's matter. An old claim never counts.
            assert attempt.claim_offset > self.keys.get(attempt.key, 0)
            self.keys[attempt.key] = attempt.claim_offset
        self.began.add(attempt_id)
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
        # An entry sends first and asks for proof later.
        if self.now - delay > self.entombed_at.get(attempt_id, self.now):
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
        self.take(self.gate.submit(attempt, self.now))

    @stateful.rule(data=strategies.data())
    def submit_twice(self, data):
        open_here = sorted(self.sent, key=str)
        if not open_here:
            return
        attempt_id = data.draw(strategies.sampled_from(open_here))
        if attempt_id not in self.at_server:
            return
        actions = self.gate.submit(self.sent[attempt_id], self.now)
        assert actions == [types.FailDuplicate(attempt_id)]

    @stateful.rule(
        request=REQUESTS, number=NUMBERS, whole=strategies.booleans()
    )
    def tombstone(self, request, number, whole):
        last = types.AttemptId(request, number)
        first = 1 if whole else number
        named = [types.AttemptId(request, n) for n in range(first, number + 1)]
        times = [self.sent[i].sent_at for i in named if i in self.sent]
        proved, actions = self.gate.tombstone(
            last, whole, INCARNATION, min(times, default=self.now), self.now
        )
        self.take(actions)
        for attempt_id in named:
            self.entombed_at.setdefault(attempt_id, self.now)
        if proved:
            assert not any(i in self.began for i in named)
            self.proved.update(named)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 2.0, 50.0]))
    def wait(self, seconds):
        self.now += seconds
        self.take(self.gate.on_tick(self.now))

    @stateful.rule(
        data=strategies.data(),
        end=strategies.sampled_from(
            ["answered", "failed", "not_taken", "gone"]
        ),
    )
    def end(self, data, end):
        if not self.at_server:
            return
        ids = sorted(self.at_server, key=str)
        attempt_id = data.draw(strategies.sampled_from(ids))
        attempt = self.at_server[attempt_id]
        if end == "gone":
            self.take(self.gate.cancel(attempt_id, self.now))
            return
        del self.at_server[attempt_id]
        if end == "not_taken":
            # The server did not begin it: that is no run.
            self.began.discard(attempt_id)
            if self.keys.get(attempt.key) == attempt.claim_offset:
                del self.keys[attempt.key]
            reason = types.RefusalReason.UNREACHABLE
            actions = self.gate.on_not_begun(attempt_id, reason, self.now)
        elif end == "failed":
            reason = types.FailureReason.LOST
            actions = self.gate.on_failed(attempt_id, reason, self.now)
        else:
            actions = self.gate.on_answered(attempt_id, self.now)
        self.take(actions)

    @stateful.rule(
        event=strategies.sampled_from(["on_crash", "on_stall", "drain"])
    )
    def trouble(self, event):
        self.take(getattr(self.gate, event)(self.now))

    @stateful.rule()
    def loaded(self):
        self.take(self.gate.on_loaded(self.now))

    @stateful.precondition(lambda self: len(self.sent) > 8)
    @stateful.rule()
    def leave(self):
        self.take(self.gate.leave(self.now))
        self.left = True

    @stateful.invariant()
    def holds_its_bounds(self):
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
