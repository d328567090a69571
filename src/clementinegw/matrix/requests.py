"""The paths of requests: look-up, booking, keyed booking, stream, leaving."""

import asyncio
import dataclasses

from clementinegw import types
from clementinegw.matrix import backends
from clementinegw.matrix import fleet as fleets
from clementinegw.matrix import network as networks
from clementinegw.matrix import types as matrix_types
from clementinegw.matrix import world as worlds
from clementinegw.requests import types as request_types
from clementinegw.testing import ledger as ledgers
from clementinegw.wire.gen.frame import ttypes

TRACKED = "tracked"
# Enough that each agent has the tracked request or one of them beside it.
NEIGHBOURS = 3
DEADLINE_S = 3.0
# A caller waits longer than any pause of an entry lasts.
PATIENCE_S = 30.0
# A leaving instance receives no new work after this long.
LEAVING_S = 1.0
TRAFFIC_S = 0.1
_REPETITIONS = 3
_REPEAT_S = 0.7
_MAX_CRASHES = 2

_SENT = {
    ttypes.Kind.SUBMIT: "submit_sent",
    ttypes.Kind.ANSWER_HEAD: "head_sent",
    ttypes.Kind.ANSWER_END: "end_sent",
}
_ARRIVED = {
    ttypes.Kind.SUBMIT: "submit_arrived",
    ttypes.Kind.ANSWER_END: "end_arrived",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What a path's tracked request is like.

    Attributes:
      server: What the backend servers are.
      idempotent: Whether it may run more than once.
      key: Its idempotency key; empty without one.
      stream: Whether its answer is streamed.
    """

    server: types.ServiceKind
    idempotent: bool
    key: str = ""
    stream: bool = False


class RequestScene:
    """One tracked request, an innocent neighbour, and what befalls them."""

    def __init__(
        self,
        kind: Kind,
        path: matrix_types.Path,
        injections: tuple[matrix_types.Injection, ...],
    ):
        """Prepares the processes; see `types.Path.scene`."""
        self.world = worlds.World(path, injections)
        self.kind = kind
        self.poisoned = any(i.fault == "poison_request" for i in injections)
        self.fleet = self._make_fleet()
        self.cross_refusals = False
        self.treatment: networks.Treatment | None = None
        self._seen: list[ledgers.CallerRecord] = []
        self._calls: list[asyncio.Task] = []
        self._tracked_call: asyncio.Task | None = None
        self._agents_used: list[str] = []
        self.world.network.on_send = self._on_send
        self.world.network.on_arrival = self._on_arrival

    @property
    def struck(self) -> int:
        """How many faults have struck."""
        return self.world.struck

    @property
    def entry(self) -> fleets.Entry:
        """The entry that has the tracked request."""
        return self.fleet.entries[0]

    @property
    def agent(self) -> fleets.Agent:
        """The agent that the tracked request went to last."""
        for agent in self.fleet.agents:
            if self._agents_used and agent.host.name == self._agents_used[-1]:
                return agent
        return self.fleet.agents[0]

    def __repr__(self) -> str:
        return f"{self._seen} {self.world.ledger.runs}"

    def play(self) -> tuple[str, ...]:
        """Plays it; returns the promises broken."""
        return self.world.run(self, self._play())

    def repeat_elsewhere(self) -> None:
        """The caller sends the same request again, to the other entry."""
        self._calls.append(
            asyncio.ensure_future(
                self._call(self.fleet.entries[1], "elsewhere", self._tracked())
            )
        )

    def abandon(self) -> None:
        """The caller goes away."""
        if self._tracked_call is not None:
            self._tracked_call.cancel()

    def _make_fleet(self) -> fleets.Fleet:
        return fleets.Fleet(self.world, self.kind.server, TRACKED)

    async def _play(self) -> tuple[str, ...]:
        await self.fleet.start()
        tracked = asyncio.ensure_future(self._tracked_caller())
        await asyncio.sleep(0.005)
        for number in range(NEIGHBOURS):
            name = f"neighbour-{number}"
            neighbour = self._request(
                name, name.encode(), self.kind.idempotent, ""
            )
            self._calls.append(
                asyncio.ensure_future(self._call(self.entry, name, neighbour))
            )
        await tracked
        await asyncio.gather(*self._calls)
        await asyncio.sleep(DEADLINE_S)
        return self._verdict()

    async def _tracked_caller(self) -> None:
        """Sends the tracked request, and again while it is not answered."""
        request = self._tracked()
        seen = await self._call(self.entry, TRACKED, request)
        for number in range(_REPETITIONS):
            if (
                seen.outcome is ledgers.CallerOutcome.ANSWERED
                or seen.client_closed
            ):
                return
            if not self.kind.key and not self.poisoned:
                return
            await asyncio.sleep(_REPEAT_S)
            again = dataclasses.replace(
                request,
                request_id=f"again-{number}",
                deadline=self.world.clock.now() + DEADLINE_S,
            )
            entry = self.fleet.entries[(number + 1) % 2]
            seen = await self._call(entry, again.request_id, again)

    def _tracked(self) -> request_types.Request:
        body = b"six hides"
        if self.poisoned:
            body += backends.POISON
        return self._request(TRACKED, body, self.kind.idempotent, self.kind.key)

    def _request(
        self, request_id: str, body: bytes, idempotent: bool, key: str
    ) -> request_types.Request:
        path = "/v1/completions" if self.kind.stream else "/bookings"
        return request_types.Request(
            request_id=request_id,
            customer="werkplaats",
            service=fleets.SERVICE,
            method="POST",
            path=path,
            headers=(),
            body=body,
            priority=types.Priority.NORMAL,
            deadline=self.world.clock.now() + DEADLINE_S,
            idempotent=idempotent,
            key=key,
            fingerprint=request_types.fingerprint(
                fleets.SERVICE, "POST", path, body
            ),
            stream=self.kind.stream,
            tokens=backends.TOKENS if self.kind.stream else 0,
        )

    async def _call(
        self,
        entry: fleets.Entry,
        request_id: str,
        request: request_types.Request,
    ) -> ledgers.CallerRecord:
        """Sends one request to one entry as a caller does."""
        request = dataclasses.replace(request, request_id=request_id)
        sink = fleets.Collected() if self.kind.stream else None
        if entry.host.dead or entry.requests is None:
            return self._note(request, ledgers.CallerOutcome.UNKNOWN)
        call = self.world.start(
            entry.host, entry.requests.pipeline.run(request, sink)
        )
        if request_id == TRACKED:
            self._tracked_call = call
        until = self.world.clock.now() + PATIENCE_S
        while not call.done() and not entry.host.dead:
            if self.world.clock.now() >= until:
                return self._note(request, ledgers.CallerOutcome.NOTHING)
            await asyncio.wait({call}, timeout=0.1)
        if not call.done():
            # The connection to the entry broke: the caller knows nothing.
            return self._note(request, ledgers.CallerOutcome.UNKNOWN)
        if call.cancelled():
            return self._note(
                request, ledgers.CallerOutcome.NOTHING, client_closed=True
            )
        error = call.exception()
        if error is not None:
            self.world.defects.append(repr(error))
            return self._note(request, ledgers.CallerOutcome.NOTHING)
        return self._note_outcome(request, call.result(), sink)

    def _note_outcome(
        self,
        request: request_types.Request,
        outcome: types.Outcome,
        sink: fleets.Collected | None,
    ) -> ledgers.CallerRecord:
        if isinstance(outcome, types.NotRun):
            return self._note(request, ledgers.CallerOutcome.NOT_RUN)
        if isinstance(outcome, types.Unknown):
            return self._note(request, ledgers.CallerOutcome.UNKNOWN)
        expected, answer = None, outcome.body
        if sink is not None:
            expected = backends.stream_of(request.body, sink.version)
            answer = sink.body
        return self._note(
            request,
            ledgers.CallerOutcome.ANSWERED,
            answer=answer,
            expected=expected,
        )

    def _note(
        self,
        request: request_types.Request,
        told: ledgers.CallerOutcome,
        answer: bytes = b"",
        expected: bytes | None = None,
        client_closed: bool = False,
    ) -> ledgers.CallerRecord:
        seen = ledgers.CallerRecord(
            request.request_id,
            told,
            request.key,
            request.idempotent,
            expected=expected,
            answer=answer,
            client_closed=client_closed,
        )
        self._seen.append(seen)
        return seen

    def _verdict(self) -> tuple[str, ...]:
        counts = self.world.ledger.check(self._seen).counts()
        broken = [name for name, count in counts.items() if count]
        broken += ["defect"] if self.world.defective else []
        if self.world.calm and not all(
            seen.outcome is ledgers.CallerOutcome.ANSWERED
            for seen in self._seen
        ):
            broken.append("cut_off_by_operation")
        if self._new_work_at_leaving():
            broken.append("new_work_at_leaving")
        crashes = sum(agent.backend.poisoned for agent in self.fleet.agents)
        if self.poisoned and crashes > _MAX_CRASHES:
            broken.append("too_many_crashes")
        return tuple(broken)

    def _new_work_at_leaving(self) -> bool:
        for agent in self.fleet.agents:
            if agent.left_at is None:
                continue
            limit = agent.left_at + LEAVING_S
            for run in self.world.ledger.runs:
                late = run.started > limit
                if late and run.server == agent.backend.host.name:
                    return True
        return False

    def _on_send(self, passage: networks.Passage) -> networks.Treatment | None:
        if passage.kind == ttypes.Kind.SUBMIT:
            self._agents_used.append(passage.target.name)
        step = _SENT.get(passage.kind)
        if step is not None:
            self.world.reached(step)
        if self.cross_refusals and passage.kind == ttypes.Kind.REFUSED:
            return networks.Treatment(crossed=True)
        treatment, self.treatment = self.treatment, None
        return treatment

    def _on_arrival(
        self, passage: networks.Passage
    ) -> networks.Treatment | None:
        step = _ARRIVED.get(passage.kind)
        if step is not None:
            self.world.reached(step)
        return None


class LeaveScene(RequestScene):
    """An agent leaves while requests keep coming."""

    async def _play(self) -> tuple[str, ...]:
        await self.fleet.start()
        traffic = asyncio.ensure_future(self._send_traffic())
        await asyncio.sleep(TRAFFIC_S * 3)
        agent = self.agent
        self.fleet.leave(agent)
        self.world.reached("leave_told")
        while agent.left_at is not None and not agent.host.dead:
            await asyncio.sleep(TRAFFIC_S)
            if self.world.clock.now() > agent.left_at + 4 * LEAVING_S:
                break
        self.world.reached("left")
        await traffic
        await asyncio.gather(*self._calls)
        await asyncio.sleep(DEADLINE_S)
        return self._verdict()

    async def _send_traffic(self) -> None:
        """Sends a long request, and others for as long as it runs."""
        end = self.world.clock.now() + 3 * LEAVING_S
        number = 0
        while self.world.clock.now() < end:
            name = TRACKED if number == 0 else f"traffic-{number}"
            body = backends.LONG if number == 0 else name.encode()
            request = self._request(name, body, self.kind.idempotent, "")
            entry = self.fleet.entries[number % 2]
            if entry.host.dead:
                entry = self.fleet.entries[1 - number % 2]
            self._calls.append(
                asyncio.ensure_future(self._call(entry, name, request))
            )
            number += 1
            await asyncio.sleep(TRAFFIC_S)


def leave_scene(
    path: matrix_types.Path,
    injections: tuple[matrix_types.Injection, ...],
) -> LeaveScene:
    """Makes a scene in which an agent leaves."""
    kind = Kind(types.ServiceKind.PLAIN, False)
    return LeaveScene(kind, path, injections)


def scene_of(kind: Kind):
    """Returns what makes scenes with such a request."""

    def make(
        path: matrix_types.Path,
        injections: tuple[matrix_types.Injection, ...],
    ) -> RequestScene:
        return RequestScene(kind, path, injections)

    return make
