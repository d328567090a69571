"""One attempt of a request over the connection to one agent.

The outcome of an attempt is tagged. `NotRun` needs proof: nothing was sent, or
the agent refused, or it put a tombstone on the attempt. All else is `Unknown`.
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

# Answers to a tombstone come from the agent's memory; one that takes longer
# than this is lost, and the caller is waiting.
DEFAULT_PROOF_TIMEOUT_S = 1.0
_PROOF_RETRY_INTERVAL_S = 0.05
# After the deadline there is only this long to prove that nothing ran.
_MIN_PROOF_TIMEOUT_S = 0.1


class Connector(Protocol):
    """Opens or returns the kept connection to an agent."""

    async def connect(
        self, address: types.Address
    ) -> connection_lib.Connection:
        """Returns the connection; raises `ConnectionLost`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where an attempt goes.

    Attributes:
      instance_id: The agent.
      address: Its address.
    """

    instance_id: str
    address: types.Address


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    Attributes:
      outcome: The tagged outcome.
      version: The model version that answered; empty when none did.
      tokens: Tokens that the answer says it took.
      reported_load: The agent's own requests in flight and in its queue, as the
        answer told them; None when it did not.
      detail: The agent's word for why it refused or failed.
    """

    outcome: types.Outcome
    version: str = ""
    tokens: int = 0
    reported_load: int | None = None
    detail: str = ""


class Sender:
    """Sends attempts and settles those whose connection broke."""

    def __init__(
        self,
        connector: Connector,
        clock: clock_lib.Clock,
        counters: counters_lib.Counters,
        proof_timeout_s: float = DEFAULT_PROOF_TIMEOUT_S,
    ):
        """Prepares the sender.

        Args:
          connector: Connects to agents.
          clock: The source of time.
          counters: Where outcomes are counted.
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
        """Sends one attempt and waits for its end.

        Args:
          target: The agent that gets it.
          request: What to run.
          options: How to run it.
          answer: Collects the answer; it lives on when a stream is resumed.

        Returns:
          How it ended. Cancellation cancels the attempt at the agent too.
        """
        try:
            connection = await self._connector.connect(target.address)
            exchange = connection.open()
        except exceptions.ConnectionLost as error:
            return _not_run(types.NotRunReason.NO_BACKEND, error.message)
        if self._clock.now() >= request.deadline:
            # An entry that was paused wakes here with its claim lapsed. Others
            # have been told that the claim's use is over.
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
            # Work whose answer nobody takes any more holds up others.
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
            # What else stands on this connection cannot be trusted either.
            self._counters.add("requests.frames_malformed")
            connection.abort()
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
        """Asks the agent for proof that an attempt has not run.

        The connection broke, or the deadline came, after SUBMIT had left. The
        agent may not have got it, may hold it in its queue, or may have handed
        it over. To call it not run on a guess would let a non-idempotent
        request run twice; one would notice it as two bookings for one call.
        """
        now = self._clock.now()
        proof_deadline = min(now + self._proof_timeout_s, call.request.deadline)
        proof_deadline = max(proof_deadline, now + _MIN_PROOF_TIMEOUT_S)
        unknown = types.Unknown(call.unknown_reason(now))
        if call.started:
            # Part of an answer has come: it runs, whatever an agent says now.
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
            # Another process answers at that address now. It never saw the
            # attempt and would put a tombstone on it gladly, while its
            # predecessor may have handed it over: a "not run" that is untrue.
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
        # The agent notices the lost connection and cancels by itself.
        return


def _not_run(reason: types.NotRunReason, detail: str) -> AttemptResult:
    return AttemptResult(
        types.NotRun(reason, 1.0, detail), detail="not_connected"
    )
