"""Sends attempts of requests to agents and determines their outcomes.

`NotRun` requires proof: nothing was sent, the agent refused the attempt, or the
agent recorded a tombstone for it. Without proof, the outcome of an attempt that
was not answered is `Unknown`.
"""

import asyncio
import dataclasses
from typing import Protocol

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw import types
from clementinegw.requests import _attempt
from clementinegw.requests import stream as stream_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
AttemptOptions = _attempt.AttemptOptions

# How long to ask an agent for proof. Agents answer from memory, so an answer
# that takes longer than this is lost, while the caller waits.
DEFAULT_PROOF_TIMEOUT_S = 1.0
_PROOF_RETRY_INTERVAL_S = 0.05
# Minimum time for proof, for attempts that end near or after the deadline.
_MIN_PROOF_TIMEOUT_S = 0.1


class Connector(Protocol):
    """Opens connections to agents."""

    async def connect(
        self, address: types.Address
    ) -> connection_lib.Connection:
        """Returns a new or existing connection.

        Raises:
          ConnectionLost: The connection could not be opened.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The agent that receives an attempt.

    Attributes:
      instance_id: The instance id of the agent.
      address: The address of the agent.
    """

    instance_id: str
    address: types.Address


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt.

    Attributes:
      outcome: The outcome of the attempt.
      version: The model version that answered; empty without an answer.
      tokens: Tokens used, as reported with the answer.
      reported_load: The agent's requests in flight and queued, as reported with
        the answer; None if they were not reported.
      detail: The agent's reason for a refusal or failure.
    """

    outcome: types.Outcome
    version: str = ""
    tokens: int = 0
    reported_load: int | None = None
    detail: str = ""


class Sender:
    """Sends attempts and asks for proof if an outcome is uncertain."""

    def __init__(
        self,
        connector: Connector,
        clock: clock_lib.Clock,
        counters: counters_lib.Counters,
        proof_timeout_s: float = DEFAULT_PROOF_TIMEOUT_S,
    ):
        """Prepares the sender.

        Args:
          connector: Opens connections to agents.
          clock: The source of time.
          counters: Counts the outcomes.
          proof_timeout_s: How long to ask an agent for proof, in seconds.
        """
        self._connector = connector
        self._clock = clock
        self._counters = counters
        self._proof_timeout_s = proof_timeout_s
        self._tasks: set[asyncio.Task] = set()

    async def send(
        self,
        target: Target,
        request: request_types.Request,
        options: AttemptOptions,
        answer: stream_lib.AnswerCollector,
    ) -> AttemptResult:
        """Sends one attempt and waits for its result.

        Cancelling this call also cancels the attempt at the agent.

        Args:
          target: The agent that receives the attempt.
          request: The request to run.
          options: How to run it.
          answer: Collects the answer, across attempts if a stream is resumed.

        Returns:
          The result of the attempt.

        Raises:
          CallerDisconnected: The caller disconnected during a streamed answer.
        """
        try:
            connection = await self._connector.connect(target.address)
            exchange = connection.open()
        except exceptions.ConnectionLost as error:
            return _not_run(types.NotRunReason.NO_BACKEND, error.message)
        if self._clock.now() >= request.deadline:
            # After a pause of the entry's process, its claim may have expired
            # here, and other entries already treat it as expired.
            exchange.close()
            return AttemptResult(types.NotRun(types.NotRunReason.DEADLINE, 1.0))
        call = _attempt.AttemptCall(
            self._clock,
            self._counters,
            request,
            options,
            answer,
            connection.peer.incarnation,
        )
        try:
            outcome = await self._collect(target, connection, exchange, call)
        except (asyncio.CancelledError, request_types.CallerDisconnected):
            self._counters.add("requests.cancelled")
            self._cancel(connection, call)
            raise
        finally:
            exchange.close()
        if isinstance(outcome, types.Unknown):
            # A request whose answer is no longer needed would delay others.
            self._cancel(connection, call)
        return AttemptResult(
            outcome, call.version, call.tokens, call.reported_load, call.detail
        )

    async def _collect(
        self,
        target: Target,
        connection: connection_lib.Connection,
        exchange: connection_lib.Exchange,
        call: _attempt.AttemptCall,
    ) -> types.Outcome:
        try:
            return await call.collect(exchange)
        except exceptions.DecodeError:
            # The connection itself is in order, as the message's frame was
            # decoded, and it carries the answers of other requests.
            self._counters.add("requests.frames_malformed")
        except exceptions.ConnectionLost:
            self._counters.add("requests.connection_lost")
        except TimeoutError:
            self._counters.add("requests.deadline_passed")
        return await self._prove_not_run(target, connection.peer, call)

    def _cancel(
        self, connection: connection_lib.Connection, call: _attempt.AttemptCall
    ) -> None:
        if connection.closed:
            return
        task = asyncio.ensure_future(
            _send_cancel(connection, call.encoded_id())
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _prove_not_run(
        self,
        target: Target,
        peer: connection_lib.Identity,
        call: _attempt.AttemptCall,
    ) -> types.Outcome:
        """Asks the agent for proof that an attempt did not run.

        The connection failed, or the deadline passed, after SUBMIT was sent.
        The agent may not have received it, may have it queued, or may have
        handed it to the backend server. If it were reported as not run without
        proof, a non-idempotent request could run twice. The symptom would be
        two bookings for one call.
        """
        now = self._clock.now()
        proof_deadline = min(now + self._proof_timeout_s, call.request.deadline)
        proof_deadline = max(proof_deadline, now + _MIN_PROOF_TIMEOUT_S)
        unknown = types.Unknown(call.unknown_reason(now))
        if call.started:
            # A part of an answer was received, so the request did run.
            return unknown
        while (remaining_s := proof_deadline - self._clock.now()) > 0:
            try:
                proved = await asyncio.wait_for(
                    self._request_tombstone(target, peer, call, remaining_s),
                    remaining_s,
                )
            except TimeoutError:
                break
            except exceptions.ConnectionLost:
                await asyncio.sleep(min(_PROOF_RETRY_INTERVAL_S, remaining_s))
                continue
            if proved:
                self._counters.add("requests.tombstone_proved")
                return call.not_run_outcome(self._clock.now())
            break
        self._counters.add("requests.unsettled")
        return unknown

    async def _request_tombstone(
        self,
        target: Target,
        peer: connection_lib.Identity,
        call: _attempt.AttemptCall,
        timeout: float,
    ) -> bool:
        connection = await self._connector.connect(target.address)
        if (
            connection.peer.instance_id != peer.instance_id
            or connection.peer.incarnation != peer.incarnation
        ):
            # Another process uses this address now. It never received the
            # attempt and would record a tombstone, although its predecessor may
            # have handed the attempt over. "Not run" could then be wrong.
            self._counters.add("requests.agent_replaced")
            return False
        frame = await connection_lib.call(
            connection, Kind.TOMBSTONE, call.encoded_id(), timeout
        )
        if frame.kind != Kind.TOMBSTONED:
            return False
        answer = codec.decode(ttypes.Tombstoned, frame.body)
        return bool(
            answer.proved
            and answer.request_id == call.request.request_id
            and answer.attempt == call.options.attempt
        )


async def _send_cancel(
    connection: connection_lib.Connection, encoded_id: bytes
) -> None:
    try:
        exchange = connection.open()
        await exchange.send(Kind.CANCEL, encoded_id)
        exchange.close()
    except exceptions.ConnectionLost:
        # The agent detects the lost connection and cancels the attempt itself.
        return


def _not_run(reason: types.NotRunReason, detail: str) -> AttemptResult:
    return AttemptResult(
        types.NotRun(reason, 1.0, detail), detail="not_connected"
    )
