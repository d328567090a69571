"""Runs one attempt: sends a request to a server and relays the answer."""

import asyncio
from collections.abc import Callable

from clementinegw.direct import backend as backend_lib
from clementinegw.direct import buffer_budget
from clementinegw.direct import client
from clementinegw.direct import header_codec
from clementinegw.direct import job as jobs
from clementinegw.direct import outcomes
from clementinegw.direct import sse
from clementinegw.direct import timeouts
from clementinegw.direct import types
from clementinegw.direct import version_timeouts

# Answers other than streams are buffered until they are complete, so that a
# caller never receives a truncated one. No event of a stream may be larger
# either. Bytes.
_MAX_BODY_BYTES = 16 << 20
# A server that owes an answer to a repeatable request, and has sent nothing on
# any connection for this long, counts as unreachable. The limit is a multiple
# of the route's objective or of its longest gap between events, and at least
# the minimum, in seconds.
_MIN_SILENCE_S = 0.6
_SILENCE_PER_OBJECTIVE = 2.0
_SILENCE_PER_GAP = 3.0
# An answer that was not read for this long may be broken off by its server
# because of that. Seconds.
_UNREAD_S = 1.0
# Interval between checks for a silent server, in seconds.
_SILENCE_CHECK_S = 0.2
# A connection that fails sooner was refused, which says nothing about the way
# to the server. Seconds.
_MIN_CONNECT_TIMEOUT_S = 0.2
# From how many events on an answer shows that its prompt is sound: a server may
# crash right behind the first one.
_ANSWERING_EVENTS = 2
_MISDIRECTED_REQUEST = 421
# Statuses that promise the caller that its request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class _ServerSilent(Exception):  # noqa: N818
    """The server sent nothing for too long and counts as unreachable."""


class AttemptRunner:
    """Runs attempts; the caller decides on the server and on retries."""

    def __init__(
        self,
        codec: header_codec.HeaderCodec,
        clock: Callable[[], float],
        on_first_event: Callable[[jobs.Job], None] = lambda job: None,
        withdrawal_reason: Callable[
            [jobs.Job, backend_lib.Backend], outcomes.NotRunReason | None
        ] = lambda job, backend: None,
        on_answering: Callable[[jobs.Job, backend_lib.Backend], None] = (
            lambda job, backend: None
        ),
    ):
        """Stores its collaborators; `run` makes the attempts.

        Args:
          codec: Translates the platform's headers.
          clock: Returns monotonic seconds.
          on_first_event: Called when a request's first event has arrived.
          withdrawal_reason: Returns why operators no longer want a request at
            its server; None if they allow it.
          on_answering: Called once a server sends the answer to a request.
        """
        self._codec = codec
        self._clock = clock
        self._on_first_event = on_first_event
        self._operators_reason = withdrawal_reason
        self._on_answering = on_answering

    async def run(
        self,
        job: jobs.Job,
        backend: backend_lib.Backend,
        forward_metadata: types.ForwardMetadata,
        take_over: Callable[[], bool],
        version_timeout: version_timeouts.VersionTimeout,
    ) -> outcomes.AttemptOutcome:
        """Makes one attempt and returns its outcome.

        Args:
          job: The request.
          backend: The server.
          forward_metadata: What the entry adds to the request.
          take_over: Reserves another server for the request; returns False if
            none may take it over now. Until then a silent server is waited
            for.
          version_timeout: Withdraws the request before the server's weights
            become too old for it.

        Raises:
          channel.ChannelClosed: The caller has left.
        """
        sends = job.sends
        job.exchange = None
        backend.unread_tokens += job.metadata.prompt_tokens
        unread = _UnreadTokens(
            backend, job.metadata.prompt_tokens, version_timeout
        )
        try:
            receiver = _AnswerReceiver(backend, take_over, self._clock)
            async with asyncio.timeout(None) as timeout:
                version_timeout.start(timeout)
                try:
                    return await self._run(
                        job, receiver, forward_metadata, unread
                    )
                finally:
                    version_timeout.stop()
        except TimeoutError:
            if job.sends == sends:
                # The connection was still being opened: nothing was sent.
                return outcomes.NotRun(outcomes.NotRunReason.TOO_OLD)
            return outcomes.Lost(outcomes.LostReason.OUTDATED)
        finally:
            unread.release()

    async def _run(
        self,
        job: jobs.Job,
        receiver: "_AnswerReceiver",
        forward_metadata: types.ForwardMetadata,
        unread: "_UnreadTokens",
    ) -> outcomes.AttemptOutcome:
        backend = receiver.backend
        # A server that moves gets another pool.
        pool = backend.pool
        began = self._clock()
        try:
            connection, reused = await pool.acquire(job.may_be_sent_on)
        except client.ConnectFailed:
            failed_after_s = self._clock() - began
            job.failed_connect_s += failed_after_s
            if failed_after_s >= _MIN_CONNECT_TIMEOUT_S:
                backend.transit.record_round_trip(failed_after_s, self._clock())
            receiver.record_unreachable()
            return outcomes.NotRun(outcomes.NotRunReason.UNREACHABLE)
        job.connect_s = 0.0 if reused else self._clock() - began
        if not reused:
            backend.transit.record_round_trip(job.connect_s, self._clock())
        reason = self._withdrawal_reason(job, backend, unread.version_timeout)
        if reason is not None:
            pool.discard(connection)
            return outcomes.NotRun(reason)
        complete = False
        try:
            outcome = await self._call(
                job, receiver, forward_metadata, connection, unread
            )
            complete = job.is_answered_by_name and not isinstance(
                outcome, outcomes.Lost
            )
            return outcome
        except client.AnswerBroken:
            if receiver.unread:
                return outcomes.Lost(outcomes.LostReason.UNREAD)
            if not backend.yielding:
                backend.record_failure()
            return outcomes.Lost(outcomes.LostReason.BROKEN)
        except buffer_budget.OutOfMemory:
            return outcomes.Lost(outcomes.LostReason.NO_MEMORY)
        except _ServerSilent:
            receiver.record_unreachable()
            return outcomes.Lost(outcomes.LostReason.SILENT)
        finally:
            # Closing also tells the server that the caller has left.
            if complete:
                pool.release(connection)
            else:
                pool.discard(connection)

    def _withdrawal_reason(
        self,
        job: jobs.Job,
        backend: backend_lib.Backend,
        version_timeout: version_timeouts.VersionTimeout,
    ) -> outcomes.NotRunReason | None:
        """Returns why a request is not sent after all; None if it may be sent.

        Between the choice of the server and now the connection had to be
        opened, or the machine was suspended. Without this check a server that
        has meanwhile reported that it leaves, limits or backs off would get
        requests all the same.
        """
        checks = (
            (backend.retired, outcomes.NotRunReason.LEFT),
            (backend.in_backoff(self._clock()), outcomes.NotRunReason.BACKOFF),
            (
                backend.signals.limited and not job.permitted,
                outcomes.NotRunReason.LIMITED,
            ),
            (version_timeout.outdated, outcomes.NotRunReason.TOO_OLD),
            (job.expiry.expired, outcomes.NotRunReason.EXPIRED),
        )
        return next(
            (reason for holds, reason in checks if holds),
            self._operators_reason(job, backend),
        )

    async def _call(
        self,
        job: jobs.Job,
        receiver: "_AnswerReceiver",
        forward_metadata: types.ForwardMetadata,
        connection: client.Connection,
        unread: "_UnreadTokens",
    ) -> outcomes.AttemptOutcome:
        backend = receiver.backend
        request = job.request
        headers = self._codec.to_server_headers(
            request.headers, forward_metadata
        )
        sent_at = self._clock()
        exchange = job.record_send(connection, sent_at)
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
        exchange.status = head.status
        exchange.identity = job.identify(metadata.attempt_id)
        exchange.unread_bytes = connection.unread_bytes
        if exchange.mismatch is not None:
            return outcomes.Lost(exchange.mismatch)
        job.record_reached()
        connection.keep_alive_s = metadata.keep_alive_s
        now = self._clock()
        if metadata.load is not None:
            backend.update_load(metadata.load, now)
        if head.status != _MISDIRECTED_REQUEST:
            # That status may come from another start of the server.
            backend.signals.apply(metadata, sent_at, now)
        if metadata.not_run or head.status == _MISDIRECTED_REQUEST:
            if head.status == _MISDIRECTED_REQUEST and metadata.server_id:
                backend.record_identity(metadata.server_id)
            return await self._read_not_run(job, connection, backend, head)
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
            # Relayed, it would promise that the request was not run, which
            # this server did not say.
            return outcomes.Lost(outcomes.LostReason.FALSE_PROMISE)
        body = await _read_body(job, connection)
        if head.status >= 500:
            backend.record_failure()
        return outcomes.Failed(head, body)

    async def _read_not_run(
        self,
        job: jobs.Job,
        connection: client.Connection,
        backend: backend_lib.Backend,
        head: client.Head,
    ) -> outcomes.NotRun:
        await _read_body(job, connection)
        backend.heard_at = self._clock()
        reason = outcomes.NotRunReason.SHED
        if head.status == _MISDIRECTED_REQUEST:
            reason = outcomes.NotRunReason.WRONG_SERVER
        job.proofs.append(reason)
        return outcomes.NotRun(reason)

    async def _deliver_body(
        self,
        job: jobs.Job,
        receiver: "_AnswerReceiver",
        connection: client.Connection,
        head: client.Head,
    ) -> None:
        body = await receiver.receive(lambda: _read_body(job, connection), None)
        await job.responder.answer(
            head.status, self._codec.to_caller_headers(head), body
        )

    async def _deliver_stream(
        self,
        job: jobs.Job,
        receiver: "_AnswerReceiver",
        connection: client.Connection,
        head: client.Head,
        unread: "_UnreadTokens",
    ) -> None:
        """Relays complete events as they arrive.

        A server may fail in the middle of an event. Only complete events are
        relayed, so that another server can resume after the last one.
        """
        splitter = sse.Splitter()
        route = job.match.route
        silence_s = max(_MIN_SILENCE_S, _SILENCE_PER_GAP * route.max_gap_s)
        silence_limit_s = silence_s if route.idempotent else None
        received = 0
        while True:
            data = await receiver.receive(connection.data, silence_limit_s)
            if data is None:
                break
            events = splitter.feed(data)
            if splitter.unended_bytes > _MAX_BODY_BYTES:
                raise client.AnswerBroken("an event without end")
            received += len(events)
            new_events = [e for e in events if _is_new(e, job.last_event_id)]
            if not new_events:
                continue
            unread.release()
            if job.first_event_at is None:
                job.first_event_at = self._clock()
                self._on_first_event(job)
            await self._begin_answer(job, head)
            began_at = self._clock()
            await job.responder.send(b"".join(e.data for e in new_events))
            receiver.record_pause(self._clock() - began_at)
            job.events += len(new_events)
            if new_events[-1].event_id is not None:
                job.last_event_id = new_events[-1].event_id
            if not job.answering and job.events >= _ANSWERING_EVENTS:
                job.answering = True
                self._on_answering(job, receiver.backend)
        if splitter.remainder.strip():
            raise client.AnswerBroken("stream ends in the middle of an event")
        if not received and not head.framed:
            # A server that crashes behind the head ends the connection too.
            raise client.AnswerBroken("stream ends before its first event")
        await self._begin_answer(job, head)
        await job.responder.end()

    async def _begin_answer(self, job: jobs.Job, head: client.Head) -> None:
        # A stream resumed at another server keeps the head of the first one.
        if not job.responder.begun:
            await job.responder.begin(
                head.status, self._codec.to_caller_headers(head)
            )


async def _read_body(job: jobs.Job, connection: client.Connection) -> bytes:
    """Returns a complete body, whose memory the request then holds.

    Raises:
      client.AnswerBroken: It is incomplete or too large.
      buffer_budget.OutOfMemory: There is no memory for it.
    """
    held = 0

    def reserve(received: int) -> None:
        nonlocal held
        job.answer_memory.add(received - held)
        held = received

    return await connection.body(_MAX_BODY_BYTES, reserve)


class _AnswerReceiver:
    """Receives the answer of one server and detects when it stops sending.

    Attributes:
      backend: The server.
      unread: Whether the answer was left unread because the caller accepted
        nothing. A server breaks off such an answer, which is no failure of the
        server.
    """

    def __init__(
        self,
        backend: backend_lib.Backend,
        take_over: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self.backend = backend
        self._take_over = take_over
        self._clock = clock
        self._probing = backend.cooldown_until > clock()
        self.unread = False

    def record_pause(self, pause_s: float) -> None:
        """Records for how long the caller kept the answer from being read."""
        self.unread = self.unread or pause_s >= _UNREAD_S

    async def receive_head(
        self, connection: client.Connection, silence_limit_s: float | None
    ) -> client.Head:
        """Returns the answer's head; ends the cooldown of a probed server.

        Args:
          connection: The connection that the request was sent on.
          silence_limit_s: As in `receive`.

        Raises:
          _ServerSilent: As in `receive`.
          client.AnswerBroken: No valid head arrived.
        """
        head = await self.receive(connection.head, silence_limit_s)
        if self._probing:
            now = self._clock()
            self.backend.cooldown_until = min(self.backend.cooldown_until, now)
        return head

    def record_unreachable(self) -> None:
        """Records a failure to reach the server.

        An attempt that began before the server's current cooldown does not
        prolong it: ten connections that fail together would raise the cooldown
        to its maximum.
        """
        now = self._clock()
        if self._probing or self.backend.cooldown_until <= now:
            self.backend.record_unreachable(now)
        else:
            self.backend.record_failure()

    async def receive(self, read, silence_limit_s: float | None):
        """Returns the result of `read`, which reads from the server.

        Args:
          read: Reads a part of the answer; may be cancelled and called again.
          silence_limit_s: For how long the server may send nothing on any
            connection, in seconds; None waits without a limit.

        Raises:
          _ServerSilent: The server exceeded the limit, or it and its agent are
            both silent, and another server is reserved.
        """
        if silence_limit_s is None:
            result = await read()
            self.backend.heard_at = self._clock()
            return result
        checked_at = silent_since = self._clock()
        check_interval_s = min(silence_limit_s, _SILENCE_CHECK_S)
        stalled = False
        while True:
            try:
                async with asyncio.timeout(check_interval_s):
                    result = await read()
                self.backend.heard_at = self._clock()
                return result
            except TimeoutError as error:
                now = self._clock()
                lag_s = now - checked_at - check_interval_s
                checked_at = now
                # Bytes and reports that arrived while the event loop stood
                # still are read before the server is judged.
                silent_since = max(silent_since, self.backend.heard_at) + lag_s
                lagged = lag_s > timeouts.MAX_LAG_S
                stalled = lagged and not stalled
                if stalled:
                    continue
                silent = now - silent_since >= silence_limit_s
                if not lagged:
                    silent = silent or self.backend.is_silent(now)
                if silent and self._take_over():
                    raise _ServerSilent from error


class _UnreadTokens:
    """Counts a request's prompt tokens as unread until its first event.

    Attributes:
      version_timeout: Withdraws the request as long as it has not begun.
    """

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
        """Counts the tokens as read and stops the timeout; may be repeated."""
        self._backend.unread_tokens -= self._tokens
        self._tokens = 0
        self.version_timeout.stop()


def _is_new(event: sse.Event, last_event_id: str | None) -> bool:
    """Returns whether the caller has not received an event yet."""
    if event.event_id is None or last_event_id is None:
        return True
    try:
        return int(event.event_id) > int(last_event_id)
    except ValueError:
        return event.event_id != last_event_id
