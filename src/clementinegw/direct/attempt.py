"""One attempt at one backend server: send, await the answer, pass it on."""

import asyncio
from collections.abc import Callable
import dataclasses

from clementinegw.direct import backend as backend_lib
from clementinegw.direct import catalog
from clementinegw.direct import client
from clementinegw.direct import header_codec
from clementinegw.direct import outcomes
from clementinegw.direct import server as servers
from clementinegw.direct import sse
from clementinegw.direct import types
from clementinegw.direct import version_timeouts

# The most bytes of an answer that is kept until it is whole, so that a broken
# one never looks like an answer. Streams are passed on event by event.
_MAX_BODY_BYTES = 16 << 20
# A server that has sent nothing on any connection for so long, while it owes
# an answer, is taken for dark where the request may run again. In seconds; at
# least this, and a multiple of what is on time.
_MIN_SILENCE_S = 0.6
_SILENCE_PER_OBJECTIVE = 2.0
_SILENCE_PER_GAP = 3.0
# How often it is looked whether a server has fallen silent, in seconds.
_SILENCE_CHECK_S = 0.2
_MISDIRECTED_REQUEST = 421
# What promises a caller that a request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class _ServerSilent(Exception):  # noqa: N818
    """The server is taken for dark."""


@dataclasses.dataclass(slots=True)
class Job:
    """One request on its way.

    Attributes:
      request: As it came.
      metadata: What its head says.
      match: Its route and customer.
      service: The service that serves it.
      responder: Answers it.
      deadline: When its final answer is due, in monotonic seconds.
      spent_s: How long its caller has been at it before, in seconds.
      sends: Times that it was handed to a server.
      runs: Times that it may have begun to run.
      withdrawals: Times that it was given up right before it was handed over.
      last_event_id: The last event that the caller has got in this answer.
      first_event_at: When the caller got the first part of its answer.
      waited_s: How long it waited for room in the entry, in seconds.
      placed_at: When its last server was chosen, in monotonic seconds.
      permitted: Whether it has a slot of that server's rate limit.
      failed_connect_s: Time spent on connections that failed, in seconds.
      utilization: The part of the last server's slots that seemed taken.
      server_id: The last server that it was handed to.
    """

    request: servers.Request
    metadata: types.RequestMetadata
    match: catalog.RouteMatch
    service: str
    responder: servers.Responder
    deadline: float
    spent_s: float = 0.0
    sends: int = 0
    runs: int = 0
    withdrawals: int = 0
    last_event_id: str | None = None
    first_event_at: float | None = None
    waited_s: float = 0.0
    placed_at: float = 0.0
    permitted: bool = False
    failed_connect_s: float = 0.0
    utilization: float = 0.0
    server_id: str = ""
    tried: set[types.ServerStart] = dataclasses.field(default_factory=set)

    @property
    def customer_name(self) -> str:
        """The customer's name; empty for an anonymous caller."""
        return self.match.customer.name if self.match.customer else ""

    @property
    def streaming(self) -> bool:
        """Whether its answer is a stream."""
        return self.match.route.repeat_policy is types.RepeatPolicy.STREAM


class AttemptRunner:
    """Makes attempts; knows nothing of when and where to."""

    def __init__(
        self,
        codec: header_codec.HeaderCodec,
        clock: Callable[[], float],
        on_first_event: Callable[[Job], None] = lambda job: None,
    ):
        """Makes none before `run`.

        Args:
          codec: Knows the platform's headers.
          clock: Monotonic seconds.
          on_first_event: Told of each request whose first event has come.
        """
        self._codec = codec
        self._clock = clock
        self._on_first_event = on_first_event

    async def run(
        self,
        job: Job,
        backend: backend_lib.Backend,
        sending: types.ForwardMetadata,
        has_alternative: Callable[[], bool],
        version_timeout: version_timeouts.VersionTimeout,
    ) -> outcomes.AttemptOutcome:
        """Makes one attempt.

        Args:
          job: The request.
          backend: The server.
          sending: What it is told besides the request.
          has_alternative: Returns whether another server could take the request
            over now. While none can, a silent server is waited for.
          version_timeout: Takes it back before the server is too old for it.

        Raises:
          channel.ChannelClosed: The caller has left.
        """
        sends = job.sends
        backend.unread_tokens += job.metadata.prompt_tokens
        unread = _UnreadTokens(
            backend, job.metadata.prompt_tokens, version_timeout
        )
        try:
            receiver = _AnswerReceiver(backend, has_alternative, self._clock)
            async with asyncio.timeout(None) as timeout:
                version_timeout.start(timeout)
                try:
                    return await self._run(job, receiver, sending, unread)
                finally:
                    version_timeout.stop()
        except TimeoutError:
            if job.sends == sends:
                # Its connection was still coming up: nobody may have run it.
                return outcomes.NotRun(outcomes.NotRunReason.TOO_OLD)
            return outcomes.Lost(outcomes.LostReason.OUTDATED)
        finally:
            unread.release()

    async def _run(
        self,
        job: Job,
        receiver: "_AnswerReceiver",
        sending: types.ForwardMetadata,
        unread: "_UnreadTokens",
    ) -> outcomes.AttemptOutcome:
        backend = receiver.backend
        began = self._clock()
        try:
            connection, _ = await backend.pool.acquire()
        except client.ConnectFailed:
            job.failed_connect_s += self._clock() - began
            receiver.record_unreachable()
            return outcomes.NotRun(outcomes.NotRunReason.UNREACHABLE)
        reason = self._withdrawal_reason(job, backend, unread.version_timeout)
        if reason is not None:
            backend.pool.discard(connection)
            return outcomes.NotRun(reason)
        whole = False
        try:
            outcome = await self._call(
                job, receiver, sending, connection, unread
            )
            whole = not isinstance(outcome, outcomes.Lost)
            return outcome
        except client.AnswerBroken:
            if not backend.yielding:
                backend.record_failure()
            return outcomes.Lost(outcomes.LostReason.BROKEN)
        except _ServerSilent:
            receiver.record_unreachable()
            return outcomes.Lost(outcomes.LostReason.SILENT)
        finally:
            # Closing is also how a server learns that its caller has left.
            if whole:
                backend.pool.release(connection)
            else:
                backend.pool.discard(connection)

    def _withdrawal_reason(
        self,
        job: Job,
        backend: backend_lib.Backend,
        version_timeout: version_timeouts.VersionTimeout,
    ) -> outcomes.NotRunReason | None:
        """Returns why a request that was placed is not sent after all.

        Its connection took time to come up, or the machine was suspended.
        Without this a server that has reported something of itself meanwhile
        would get requests against it.
        """
        checks = (
            (backend.retired, outcomes.NotRunReason.LEFT),
            (backend.in_backoff(self._clock()), outcomes.NotRunReason.BACKOFF),
            (
                backend.signals.limited and not job.permitted,
                outcomes.NotRunReason.LIMITED,
            ),
            (version_timeout.outdated, outcomes.NotRunReason.TOO_OLD),
        )
        return next((reason for holds, reason in checks if holds), None)

    async def _call(
        self,
        job: Job,
        receiver: "_AnswerReceiver",
        sending: types.ForwardMetadata,
        connection: client.Connection,
        unread: "_UnreadTokens",
    ) -> outcomes.AttemptOutcome:
        backend = receiver.backend
        request = job.request
        headers = self._codec.to_server_headers(request.headers, sending)
        job.sends += 1
        sent_at = self._clock()
        await connection.send(
            request.method, request.target, headers, request.body
        )
        route = job.match.route
        silence_s = max(
            _MIN_SILENCE_S, _SILENCE_PER_OBJECTIVE * route.objective_s
        )
        silence_limit_s = silence_s if route.idempotent else None
        head = await receiver.receive_head(connection, silence_limit_s)
        metadata = self._codec.answer_metadata(head)
        connection.keep_alive_s = metadata.keep_alive_s
        now = self._clock()
        if metadata.load is not None:
            backend.update_load(metadata.load, now)
        if (
            metadata.attempt_id
            and metadata.attempt_id != job.metadata.attempt_id
        ):
            return outcomes.Lost(outcomes.LostReason.CROSSED)
        if head.status != _MISDIRECTED_REQUEST:
            # Another start of a server may answer with that status.
            backend.signals.apply(metadata, sent_at, now)
        if metadata.not_run or head.status == _MISDIRECTED_REQUEST:
            if head.status == _MISDIRECTED_REQUEST and metadata.server_id:
                backend.record_identity(metadata.server_id)
            return await self._read_not_run(connection, backend, head)
        if metadata.version is not None:
            backend.set_version(metadata.version)
        if 200 <= head.status < 300:
            if not metadata.sealed:
                return outcomes.Lost(outcomes.LostReason.UNSEALED)
            if job.streaming:
                await self._deliver_stream(
                    job, receiver, connection, head, unread
                )
            else:
                await self._deliver_body(job, receiver, connection, head)
            backend.record_success(self._clock())
            return outcomes.Delivered(head.status)
        if head.status in _NOT_RUN_STATUSES:
            # Passed on, it would promise what this server did not.
            return outcomes.Lost(outcomes.LostReason.FALSE_PROMISE)
        body = await connection.body(_MAX_BODY_BYTES)
        if head.status >= 500:
            backend.record_failure()
        return outcomes.Failed(head, body)

    async def _read_not_run(
        self,
        connection: client.Connection,
        backend: backend_lib.Backend,
        head: client.Head,
    ) -> outcomes.NotRun:
        await connection.body(_MAX_BODY_BYTES)
        backend.heard_at = self._clock()
        if head.status == _MISDIRECTED_REQUEST:
            return outcomes.NotRun(outcomes.NotRunReason.WRONG_SERVER)
        return outcomes.NotRun(outcomes.NotRunReason.SHED)

    async def _deliver_body(
        self,
        job: Job,
        receiver: "_AnswerReceiver",
        connection: client.Connection,
        head: client.Head,
    ) -> None:
        async def read() -> bytes:
            return await connection.body(_MAX_BODY_BYTES)

        body = await receiver.receive(read, None)
        await job.responder.answer(
            head.status, self._codec.to_caller_headers(head), body
        )

    async def _deliver_stream(
        self,
        job: Job,
        receiver: "_AnswerReceiver",
        connection: client.Connection,
        head: client.Head,
        unread: "_UnreadTokens",
    ) -> None:
        """Passes events on as they come, whole ones only.

        A server may break off inside an event. Only whole ones are passed on,
        so that another server can go on behind the last of them.
        """
        splitter = sse.Splitter()
        route = job.match.route
        silence_s = max(_MIN_SILENCE_S, _SILENCE_PER_GAP * route.max_gap_s)
        silence_limit_s = silence_s if route.idempotent else None
        while True:
            data = await receiver.receive(connection.data, silence_limit_s)
            if data is None:
                break
            whole = [
                e for e in splitter.feed(data) if _is_new(e, job.last_event_id)
            ]
            if not whole:
                continue
            unread.release()
            if job.first_event_at is None:
                job.first_event_at = self._clock()
                self._on_first_event(job)
            await self._begin_answer(job, head)
            await job.responder.send(b"".join(e.data for e in whole))
            if whole[-1].event_id is not None:
                job.last_event_id = whole[-1].event_id
        if splitter.remainder.strip():
            raise client.AnswerBroken("ends inside an event")
        await self._begin_answer(job, head)
        await job.responder.end()

    async def _begin_answer(self, job: Job, head: client.Head) -> None:
        # A stream that goes on at another server keeps the head of its first.
        if not job.responder.begun:
            await job.responder.begin(
                head.status, self._codec.to_caller_headers(head)
            )


class _AnswerReceiver:
    """Awaits bytes of one server, for as long as it is worth while."""

    def __init__(
        self,
        backend: backend_lib.Backend,
        has_alternative: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self.backend = backend
        self._has_alternative = has_alternative
        self._clock = clock
        self._probing = backend.cooldown_until > clock()

    async def receive_head(
        self, connection: client.Connection, silence_s: float | None
    ) -> client.Head:
        """Returns an answer's head; ends the rest of a server that was tried.

        Raises:
          _ServerSilent: See `receive`.
          client.AnswerBroken: None came.
        """
        head = await self.receive(connection.head, silence_s)
        if self._probing:
            now = self._clock()
            self.backend.cooldown_until = min(self.backend.cooldown_until, now)
        return head

    def record_unreachable(self) -> None:
        """Counts a failure to reach the server.

        What began before the server went to rest tells nothing new: ten
        connections that fail together would make it rest for the longest time.
        """
        now = self._clock()
        if self._probing or self.backend.cooldown_until <= now:
            self.backend.record_unreachable(now)
        else:
            self.backend.record_failure()

    async def receive(self, read, silence_s: float | None):
        """Returns what `read` does.

        Raises:
          _ServerSilent: The server sent nothing on any connection for
            `silence_s`, or the agent beside it is silent too, and another
            server can take over.
        """
        since = self._clock()
        check_interval_s = (
            None if silence_s is None else min(silence_s, _SILENCE_CHECK_S)
        )
        while True:
            try:
                async with asyncio.timeout(check_interval_s):
                    result = await read()
                self.backend.heard_at = self._clock()
                return result
            except TimeoutError as error:
                if (
                    self._is_silent(since, silence_s)
                    and self._has_alternative()
                ):
                    raise _ServerSilent from error

    def _is_silent(self, since: float, silence_s: float | None) -> bool:
        now = self._clock()
        heard_at = max(since, self.backend.heard_at)
        late = silence_s is not None and now - heard_at >= silence_s
        return late or self.backend.is_silent(now)


class _UnreadTokens:
    """The tokens that a server still has to read, until its first event."""

    def __init__(
        self,
        backend: backend_lib.Backend,
        tokens: int,
        version_timeout: version_timeouts.VersionTimeout,
    ):
        self.version_timeout = version_timeout
        self._backend = backend
        self._tokens = tokens

    def release(self) -> None:
        """Counts them as read, once."""
        self._backend.unread_tokens -= self._tokens
        self._tokens = 0
        self.version_timeout.stop()


def _is_new(event: sse.Event, last_event_id: str | None) -> bool:
    """Returns whether the caller has not got an event yet."""
    if event.event_id is None or last_event_id is None:
        return True
    try:
        return int(event.event_id) > int(last_event_id)
    except ValueError:
        return event.event_id != last_event_id
