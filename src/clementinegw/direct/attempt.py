"""One attempt at one backend server: send, await the answer, pass it on."""

import asyncio
from collections.abc import Callable
import dataclasses

from clementinegw.direct import backend as backend_lib
from clementinegw.direct import catalog
from clementinegw.direct import client
from clementinegw.direct import dialect as dialects
from clementinegw.direct import events
from clementinegw.direct import outcomes
from clementinegw.direct import recalls
from clementinegw.direct import server as servers
from clementinegw.direct import types

# The most bytes of an answer that is kept until it is whole, so that a broken
# one never looks like an answer. Streams are passed on event by event.
_MAX_BODY_BYTES = 16 << 20
# A server that has sent nothing on any connection for so long, while it owes
# an answer, is taken for dark where the request may run again. In seconds; at
# least this, and a multiple of what is on time.
_LEAST_SILENCE_S = 0.6
_SILENT_OBJECTIVES = 2.0
_SILENT_GAPS = 3.0
# How often it is looked whether a server has fallen silent, in seconds.
_LOOK_S = 0.2
_MISDIRECTED = 421
# What promises a caller that a request was not run.
_PROMISES = frozenset({408, 421, 429, 503})


class _Silent(Exception):  # noqa: N818
    """The server is taken for dark."""


@dataclasses.dataclass(slots=True)
class Job:
    """One request on its way.

    Attributes:
      request: As it came.
      facts: What its head says.
      match: Its route and customer.
      service: The service that serves it.
      responder: Answers it.
      deadline: When its final answer is due, in monotonic seconds.
      spent_s: How long its caller has been at it before, in seconds.
      sends: Times that it was handed to a server.
      runs: Times that it may have begun to run.
      unsent: Times that it was given up right before it was handed over.
      last_event: The last event that the caller has got in this answer.
      first_answer_at: When the caller got the first part of its answer.
      waited_s: How long it waited for room in the entry, in seconds.
      placed_at: When its last server was chosen, in monotonic seconds.
      permitted: Whether it has a slot of that server's rate limit.
      unreached_s: How long connections took that did not come up, in seconds.
      busy: The part of the last server's slots that seemed taken.
      server_id: The last server that it was handed to.
    """

    request: servers.Request
    facts: types.RequestMetadata
    match: catalog.Match
    service: str
    responder: servers.Responder
    deadline: float
    spent_s: float = 0.0
    sends: int = 0
    runs: int = 0
    unsent: int = 0
    last_event: str | None = None
    first_answer_at: float | None = None
    waited_s: float = 0.0
    placed_at: float = 0.0
    permitted: bool = False
    unreached_s: float = 0.0
    busy: float = 0.0
    server_id: str = ""
    tried: set[types.ServerStart] = dataclasses.field(default_factory=set)

    @property
    def caller(self) -> str:
        """The customer's name; empty for an anonymous caller."""
        return self.match.customer.name if self.match.customer else ""

    @property
    def streaming(self) -> bool:
        """Whether its answer is a stream."""
        return self.match.route.repeat_policy is types.RepeatPolicy.STREAM


class Attempts:
    """Makes attempts; knows nothing of when and where to."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        clock: Callable[[], float],
        began: Callable[[Job], None] = lambda job: None,
    ):
        """Makes none before `run`.

        Args:
          dialect: Knows the platform's headers.
          clock: Monotonic seconds.
          began: Told of each request whose first event has come.
        """
        self._dialect = dialect
        self._clock = clock
        self._began = began

    async def run(
        self,
        job: Job,
        backend: backend_lib.Backend,
        sending: types.ForwardMetadata,
        elsewhere: Callable[[], bool],
        recall: recalls.Recall,
    ) -> outcomes.Attempt:
        """Makes one attempt.

        Args:
          job: The request.
          backend: The server.
          sending: What it is told besides the request.
          elsewhere: Returns whether another server could take the request
            over now. While none can, a silent server is waited for.
          recall: Takes it back before the server is too old for it.

        Raises:
          channel.ChannelClosed: The caller has left.
        """
        sends = job.sends
        backend.unread_tokens += job.facts.prompt_tokens
        unread = _Unread(backend, job.facts.prompt_tokens, recall)
        try:
            hearing = _Hearing(backend, elsewhere, self._clock)
            async with asyncio.timeout(None) as waiting:
                recall.watch(waiting)
                try:
                    return await self._run(job, hearing, sending, unread)
                finally:
                    recall.end()
        except TimeoutError:
            if job.sends == sends:
                # Its connection was still coming up: nobody may have run it.
                return outcomes.NotRun(outcomes.NotRunReason.TOO_OLD)
            return outcomes.Lost(outcomes.LostReason.OUTDATED)
        finally:
            unread.done()

    async def _run(
        self,
        job: Job,
        hearing: "_Hearing",
        sending: types.ForwardMetadata,
        unread: "_Unread",
    ) -> outcomes.Attempt:
        backend = hearing.backend
        began = self._clock()
        try:
            connection, _ = await backend.pool.take()
        except client.ConnectFailed:
            job.unreached_s += self._clock() - began
            hearing.unreachable()
            return outcomes.NotRun(outcomes.NotRunReason.UNREACHABLE)
        reason = self._withdrawn(job, backend, unread.recall)
        if reason is not None:
            backend.pool.discard(connection)
            return outcomes.NotRun(reason)
        whole = False
        try:
            outcome = await self._call(
                job, hearing, sending, connection, unread
            )
            whole = not isinstance(outcome, outcomes.Lost)
            return outcome
        except client.AnswerBroken:
            if not backend.yielding:
                backend.failed()
            return outcomes.Lost(outcomes.LostReason.BROKEN)
        except _Silent:
            hearing.unreachable()
            return outcomes.Lost(outcomes.LostReason.SILENT)
        finally:
            # Closing is also how a server learns that its caller has left.
            if whole:
                backend.pool.give_back(connection)
            else:
                backend.pool.discard(connection)

    def _withdrawn(
        self, job: Job, backend: backend_lib.Backend, recall: recalls.Recall
    ) -> outcomes.NotRunReason | None:
        """Returns why a request that was placed is not sent after all.

        Its connection took time to come up, or the machine was suspended.
        Without this a server that has reported something of itself meanwhile
        would get requests against it.
        """
        checks = (
            (backend.left, outcomes.NotRunReason.LEFT),
            (backend.backs_off(self._clock()), outcomes.NotRunReason.BACKOFF),
            (
                backend.signals.limited and not job.permitted,
                outcomes.NotRunReason.LIMITED,
            ),
            (recall.late, outcomes.NotRunReason.TOO_OLD),
        )
        return next((reason for holds, reason in checks if holds), None)

    async def _call(
        self,
        job: Job,
        hearing: "_Hearing",
        sending: types.ForwardMetadata,
        connection: client.Connection,
        unread: "_Unread",
    ) -> outcomes.Attempt:
        backend = hearing.backend
        request = job.request
        headers = self._dialect.sent_on(request.headers, sending)
        job.sends += 1
        sent_at = self._clock()
        await connection.send(
            request.method, request.target, headers, request.body
        )
        route = job.match.route
        silence_s = max(
            _LEAST_SILENCE_S, _SILENT_OBJECTIVES * route.objective_s
        )
        patience = silence_s if route.idempotent else None
        head = await hearing.head(connection, patience)
        facts = self._dialect.answer_facts(head)
        connection.keep_s = facts.keep_alive_s
        now = self._clock()
        if facts.load is not None:
            backend.take_load(facts.load, now)
        if facts.attempt_id and facts.attempt_id != job.facts.attempt_id:
            return outcomes.Lost(outcomes.LostReason.CROSSED)
        if head.status != _MISDIRECTED:
            # Another start of a server may answer with that status.
            backend.signals.take(facts, sent_at, now)
        if facts.not_run or head.status == _MISDIRECTED:
            if head.status == _MISDIRECTED and facts.server_id:
                backend.met(facts.server_id)
            return await self._not_run(connection, backend, head)
        if facts.version is not None:
            backend.take_version(facts.version)
        if 200 <= head.status < 300:
            if not facts.sealed:
                return outcomes.Lost(outcomes.LostReason.UNSEALED)
            if job.streaming:
                await self._stream(job, hearing, connection, head, unread)
            else:
                await self._whole(job, hearing, connection, head)
            backend.answered(self._clock())
            return outcomes.Delivered(head.status)
        if head.status in _PROMISES:
            # Passed on, it would promise what this server did not.
            return outcomes.Lost(outcomes.LostReason.FALSE_PROMISE)
        body = await connection.body(_MAX_BODY_BYTES)
        if head.status >= 500:
            backend.failed()
        return outcomes.Failed(head, body)

    async def _not_run(
        self,
        connection: client.Connection,
        backend: backend_lib.Backend,
        head: client.Head,
    ) -> outcomes.NotRun:
        await connection.body(_MAX_BODY_BYTES)
        backend.heard_at = self._clock()
        if head.status == _MISDIRECTED:
            return outcomes.NotRun(outcomes.NotRunReason.WRONG_SERVER)
        return outcomes.NotRun(outcomes.NotRunReason.SHED)

    async def _whole(
        self,
        job: Job,
        hearing: "_Hearing",
        connection: client.Connection,
        head: client.Head,
    ) -> None:
        async def read() -> bytes:
            return await connection.body(_MAX_BODY_BYTES)

        body = await hearing.hear(read, None)
        await job.responder.answer(
            head.status, self._dialect.handed_back(head), body
        )

    async def _stream(
        self,
        job: Job,
        hearing: "_Hearing",
        connection: client.Connection,
        head: client.Head,
        unread: "_Unread",
    ) -> None:
        """Passes events on as they come, whole ones only.

        A server may break off inside an event. Only whole ones are passed on,
        so that another server can go on behind the last of them.
        """
        splitter = events.Splitter()
        route = job.match.route
        silence_s = max(_LEAST_SILENCE_S, _SILENT_GAPS * route.max_gap_s)
        patience = silence_s if route.idempotent else None
        while True:
            data = await hearing.hear(connection.data, patience)
            if data is None:
                break
            whole = [e for e in splitter.feed(data) if _new(e, job.last_event)]
            if not whole:
                continue
            unread.done()
            if job.first_answer_at is None:
                job.first_answer_at = self._clock()
                self._began(job)
            await self._begin(job, head)
            await job.responder.send(b"".join(e.data for e in whole))
            if whole[-1].event_id is not None:
                job.last_event = whole[-1].event_id
        if splitter.rest.strip():
            raise client.AnswerBroken("ends inside an event")
        await self._begin(job, head)
        await job.responder.end()

    async def _begin(self, job: Job, head: client.Head) -> None:
        # A stream that goes on at another server keeps the head of its first.
        if not job.responder.begun:
            await job.responder.begin(
                head.status, self._dialect.handed_back(head)
            )


class _Hearing:
    """Awaits bytes of one server, for as long as it is worth while."""

    def __init__(
        self,
        backend: backend_lib.Backend,
        elsewhere: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self.backend = backend
        self._elsewhere = elsewhere
        self._clock = clock
        self._trying = backend.rest_until > clock()

    async def head(
        self, connection: client.Connection, silence_s: float | None
    ) -> client.Head:
        """Returns an answer's head; ends the rest of a server that was tried.

        Raises:
          _Silent: See `hear`.
          client.AnswerBroken: None came.
        """
        head = await self.hear(connection.head, silence_s)
        if self._trying:
            now = self._clock()
            self.backend.rest_until = min(self.backend.rest_until, now)
        return head

    def unreachable(self) -> None:
        """Counts a failure to reach the server.

        What began before the server went to rest tells nothing new: ten
        connections that fail together would make it rest for the longest time.
        """
        now = self._clock()
        if self._trying or self.backend.rest_until <= now:
            self.backend.unreachable(now)
        else:
            self.backend.failed()

    async def hear(self, receive, silence_s: float | None):
        """Returns what `receive` does.

        Raises:
          _Silent: The server sent nothing on any connection for `silence_s`,
            or the agent beside it is silent too, and another server can take
            over.
        """
        since = self._clock()
        look_s = None if silence_s is None else min(silence_s, _LOOK_S)
        while True:
            try:
                async with asyncio.timeout(look_s):
                    result = await receive()
                self.backend.heard_at = self._clock()
                return result
            except TimeoutError as error:
                if self._is_silent(since, silence_s) and self._elsewhere():
                    raise _Silent from error

    def _is_silent(self, since: float, silence_s: float | None) -> bool:
        now = self._clock()
        heard_at = max(since, self.backend.heard_at)
        late = silence_s is not None and now - heard_at >= silence_s
        return late or self.backend.silent(now)


class _Unread:
    """The tokens that a server still has to read, until its first event."""

    def __init__(
        self, backend: backend_lib.Backend, tokens: int, recall: recalls.Recall
    ):
        self.recall = recall
        self._backend = backend
        self._tokens = tokens

    def done(self) -> None:
        """Counts them as read, once."""
        self._backend.unread_tokens -= self._tokens
        self._tokens = 0
        self.recall.end()


def _new(event: events.Event, last_event: str | None) -> bool:
    """Returns whether the caller has not got an event yet."""
    if event.event_id is None or last_event is None:
        return True
    try:
        return int(event.event_id) > int(last_event)
    except ValueError:
        return event.event_id != last_event
