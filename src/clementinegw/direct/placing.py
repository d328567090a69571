"""Which server a request goes to, and what it waits for until then."""

from collections.abc import Callable
import dataclasses
import random

from clementinegw.direct import admit
from clementinegw.direct import attempt as attempts
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import foresight
from clementinegw.direct import outcomes
from clementinegw.direct import queue
from clementinegw.direct import types
from clementinegw.direct import version_policy

Reason = outcomes.RefusalReason

# What room a server must have, as a part of its slots. An engine runs as many
# as it has slots, and what waits behind them is late soon; plain servers take
# turns so quickly that a few may wait there. Late ones take what is left over.
_ENGINE_TERMS = queue.Terms(
    most_busy=1.0, most_busy_late=0.9, least_busy_late=0.3
)
_PLAIN_TERMS = queue.Terms(
    most_busy=3.0, most_busy_late=2.0, least_busy_late=1.0
)
# What is believed of the time to a first event before any has come, and the
# longest that is believed, in passes of a full engine: the pass under way, its
# own and what is read beside take that long at one that is half full, and at
# one that is full.
_FIRST_EVENT_PASSES = 4.0
_MOST_FIRST_EVENT_PASSES = 6.0
# A new request counts as one that can be on time for at least this part of its
# objective: a large prompt would else be late from the start whenever engines
# are full, and be passed over for all smaller ones.
_FRESH_SHARE = 0.1
# How long a request that came back waits for room, and any one for connections
# that do not come up, as a part of its time.
_LATE_SHARE = 0.3
# A request whose server will serve within this part of its time waits for it.
_SOON_SHARE = 0.4
# The longest that one waits for such a server and for room there, as a part of
# its time: beyond it the answer itself would not be whole in time.
_LONGEST_SHARE = 0.5
# When to come back, as a part of the caller's time: when servers have no room,
# and when none serves.
# Callers wait for a third of their time at most; what is refused twice is lost.
_RETRY_FULL = (admit.LEAST_RETURN_SHARE, 0.3)
_RETRY_NONE = (0.27, 0.33)
# What crashes servers does so again: its caller gets no second chance.
_RETRY_NEVER = (1.0, 1.0)
_RETRY_SHARES = {
    Reason.BUSY: _RETRY_FULL,
    Reason.LIMITED: _RETRY_FULL,
    Reason.NO_BUDGET: _RETRY_FULL,
    Reason.ATTEMPTS_USED: _RETRY_FULL,
    Reason.CRASHES_SERVERS: _RETRY_NEVER,
}
_BAD_GATEWAY = 502


class Placing:
    """Finds servers for requests."""

    def __init__(
        self,
        knowledge: admit.Knowledge,
        balancer: balance.Balancer,
        versions: version_policy.VersionPolicy,
        rng: random.Random,
        clock: Callable[[], float],
        engine_terms: queue.Terms = _ENGINE_TERMS,
    ):
        """Places nothing before a request comes.

        Args:
          knowledge: How engines work.
          balancer: Ranks servers.
          versions: Which weights may serve.
          rng: Spreads the times to come back.
          clock: Monotonic seconds.
          engine_terms: How requests wait for engines.
        """
        self._engine_terms = engine_terms
        self._foresights: dict[str, foresight.Foresight] = {}
        self._knowledge = knowledge
        self._balancer = balancer
        self._versions = versions
        self._rng = rng
        self._clock = clock
        self._queues: dict[str, queue.Queue] = {}

    async def choose(self, job: attempts.Job) -> queue.Place | outcomes.Refusal:
        """Returns a place at a server, or why there is none."""
        arrived = job.request.arrived_at
        time_s = job.deadline - arrived
        on_time_until = self._on_time_until(job)
        # Who is late comes back in a while and costs nothing meanwhile; who
        # has come back is not sent away again while there is hope.
        until = max(arrived, on_time_until)
        if job.spent_s or job.sends:
            until = arrived + _LATE_SHARE * time_s
        if not self._balancer.candidates(self._wanted(job)):
            ready_in_s = self._balancer.ready_in_s(job.service)
            if ready_in_s > _SOON_SHARE * time_s:
                return self._none_serves(job, Reason.NO_SERVER, ready_in_s)
            # Turned away, it would come back before the server does, and be
            # lost; a server that is nearly there still serves it, if late.
            until = self._clock() + ready_in_s + _SOON_SHARE * time_s
            until = min(until, arrived + _LONGEST_SHARE * time_s)
        began = self._clock()
        place = await self._queue(job.service).place(
            lambda: self._wanted(job),
            frozenset(job.tried),
            on_time_until,
            until,
        )
        now = self._clock()
        job.waited_s += now - began
        if place is None:
            if self._balancer.rested_in_s(self._wanted(job)):
                return self.out_of_reach(job)
            backoff_in_s = self._balancer.backoff_in_s(self._wanted(job))
            if backoff_in_s:
                return self._none_serves(job, Reason.BACKOFF, backoff_in_s)
            if self._balancer.is_limited(self._wanted(job)):
                return self.unserved(job, Reason.LIMITED)
            return self.unserved(job, Reason.BUSY)
        job.placed_at = now
        job.permitted = place.permitted
        job.busy = self._balancer.busy(place.backend, now)
        job.server_id = place.backend.server.server_id
        return place

    def look(self) -> None:
        """Looks for room for those who wait; servers told of their load."""
        for waiting in self._queues.values():
            waiting.look()

    def look_at(self, backend: backend_lib.Backend) -> None:
        """Looks for room for those who wait; one server told of its load.

        Full servers tell so some hundred times a second. A report that leaves
        this entry no share makes room for nobody; what else it changes is seen
        by the queue's own looks soon.
        """
        if backend.has_share(self._clock()):
            self._queue(backend.server.service).look()

    def elsewhere(
        self, job: attempts.Job, backend: backend_lib.Backend
    ) -> bool:
        """Returns whether another server could take a request over now."""
        if job.runs + 1 >= job.match.route.max_attempts:
            return False
        wanted = dataclasses.replace(
            self._wanted(job), most_busy=1.0, resting=False
        )
        tried = {backend.server.start, *job.tried}
        return self._balancer.choose(wanted, tried) is not None

    def began(self, job: attempts.Job) -> None:
        """Learns from the first event of a request's answer.

        Args:
          job: The request; its place was found by `choose`.
        """
        engine = self._knowledge.engine(job.service)
        if engine is None or job.first_answer_at is None:
            return
        reading_s = job.facts.prompt_tokens / engine.prefill_tokens_per_s
        took_s = job.first_answer_at - job.placed_at - reading_s
        self._foresight(job.service, engine).took(took_s)

    def layers(self, service: str) -> int:
        """Returns the layers of a service's model; 0 for a plain one."""
        engine = self._knowledge.engine(service)
        return engine.layers if engine else 0

    def model(self, job: attempts.Job) -> str:
        """Returns the model whose versions a request is held to.

        Empty for a plain service, which holds none: a model that a caller names
        there would make each of its servers too old for ever. A request that
        names none is for the model of its service.
        """
        engine = self._knowledge.engine(job.service)
        if engine is None or not engine.models:
            return ""
        return job.facts.model or engine.models[0]

    def unserved(self, job: attempts.Job, reason: Reason) -> outcomes.Refusal:
        """Returns the answer to a request without one."""
        return self._refusal(job, reason, self._share(_RETRY_SHARES[reason]))

    def out_of_reach(self, job: attempts.Job) -> outcomes.Refusal:
        """Returns the answer where no connection to a server comes up."""
        rested_in_s = self._balancer.rested_in_s(self._wanted(job))
        return self._none_serves(job, Reason.OUT_OF_REACH, rested_in_s)

    def may_try(self, job: attempts.Job) -> bool:
        """Returns whether another connection may be tried for a request.

        One that is refused costs no time, and its server rests; a request that
        loses its time with connections that time out could not come back.
        """
        time_s = job.deadline - job.request.arrived_at
        return job.unreached_s < _LATE_SHARE * time_s

    def _none_serves(
        self, job: attempts.Job, reason: Reason, ready_in_s: float
    ) -> outcomes.Refusal:
        """Returns the answer where a server serves in a while only."""
        left_s = max(0.001, job.deadline - self._clock())
        most = self._share(_RETRY_NONE)
        share = min(most, max(_RETRY_FULL[0], ready_in_s / left_s))
        return self._refusal(job, reason, share)

    def _refusal(
        self, job: attempts.Job, reason: Reason, share: float
    ) -> outcomes.Refusal:
        """Returns a refusal.

        Only a request that no server may have begun is told "not run".

        Args:
          job: The request.
          reason: Why.
          share: When to come back, as a part of the time that is left.
        """
        if job.runs:
            return outcomes.Refusal(_BAD_GATEWAY, Reason.MAY_HAVE_RUN)
        left_s = max(0.0, job.deadline - self._clock())
        return admit.later(reason, share * left_s)

    def _on_time_until(self, job: attempts.Job) -> float:
        """Returns when a request must begin to be answered on time."""
        at = job.request.arrived_at - job.spent_s
        at += job.match.route.objective_s
        engine = self._knowledge.engine(job.service)
        if engine is None:
            return at
        at -= self._foresight(job.service, engine).usual_s
        at -= job.facts.prompt_tokens / engine.prefill_tokens_per_s
        if job.spent_s or job.sends:
            return at
        fresh_s = _FRESH_SHARE * job.match.route.objective_s
        return max(at, job.request.arrived_at + fresh_s)

    def _foresight(
        self, service: str, engine: types.Engine
    ) -> foresight.Foresight:
        found = self._foresights.get(service)
        if found is None:
            pass_s = engine.pass_s
            found = foresight.Foresight(
                _FIRST_EVENT_PASSES * pass_s, _MOST_FIRST_EVENT_PASSES * pass_s
            )
            self._foresights[service] = found
        return found

    def _wanted(self, job: attempts.Job) -> balance.Wanted:
        """Returns what a request needs of a server that it is sent to now."""
        now = self._versions.now
        model = self.model(job)
        least = self._versions.required(model, now) or 0
        if job.runs:
            least = max(least, self._versions.stable(model, now))
        return balance.Wanted(
            job.service,
            self.layers(job.service),
            least,
            self._versions.preferred(model, now),
        )

    def _queue(self, service: str) -> queue.Queue:
        found = self._queues.get(service)
        if found is None:
            terms = (
                self._engine_terms
                if self._knowledge.engine(service)
                else _PLAIN_TERMS
            )
            found = queue.Queue(service, self._balancer, terms, self._clock)
            self._queues[service] = found
        return found

    def _share(self, span: tuple[float, float]) -> float:
        """Returns a part of the caller's time, spread over a span."""
        return self._rng.uniform(*span)
