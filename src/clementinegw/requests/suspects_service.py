"""Suspects at one entry: follows the log, hears agents, takes turns."""

import asyncio
import collections
from typing import Protocol

import mode

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw import types
from clementinegw.platform import log as platform_log
from clementinegw.requests import _claim_events
from clementinegw.requests import suspect
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
Lease = request_types.Lease
STREAM = "suspects"
_POLL_S = 30.0
_RETRY_S = 1.0
_TURN_PAUSE_S = 0.25
_MS = 1000.0
_KEPT = 256


class Turns(Protocol):
    """Gives turns of which there is one in the fleet at a time."""

    async def turn(self, name: bytes, use_s: float) -> Lease | None:
        """Takes the turn; None when another has it or the log is down."""

    def end_turn(self, turn: Lease) -> None:
        """Gives a turn back."""


class SuspectsService(mode.Service):
    """Knows what is held against requests, and runs suspects in turn."""

    def __init__(
        self,
        endpoint: connection_lib.Endpoint,
        log_client: platform_log.LogClient,
        turns: Turns,
        limits: suspect.Limits | None = None,
        clock: clock_lib.Clock | None = None,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
    ):
        """Registers its handler at the endpoint.

        Args:
          endpoint: This entry's connections.
          log_client: The platform's log.
          turns: Lets one suspect run at a time.
          limits: How much is remembered.
          clock: The source of time.
          log: Where events go.
          counters: Where findings are counted.
        """
        super().__init__()
        self._endpoint = endpoint
        self._log_client = log_client
        self._turns = turns
        self._clock = clock or clock_lib.SystemClock()
        self._log = log or logs.Log(instance=endpoint.identity.instance_id)
        self._counters = counters or counters_lib.Counters()
        self._suspicions = suspect.Suspicions(limits)
        self._position = 0
        self._waiting: collections.deque[bytes] = collections.deque(
            maxlen=_KEPT
        )
        self._added = asyncio.Event()
        endpoint.on_notice(Kind.CRASHED, self._on_notice)

    @property
    def known(self) -> int:
        """How many fingerprints something is held against."""
        return len(self._suspicions)

    def check(
        self, request: request_types.Request, now: float
    ) -> request_types.SuspectVerdict:
        """Says how the request may run; see `requests.types.Suspects`."""
        del now
        if not len(self._suspicions):
            return _CLEAR
        return self._suspicions.verdict(request.fingerprint)

    async def acquire_lease(
        self, request: request_types.Request, wait_s: float
    ) -> Lease | types.NotRun | None:
        """Waits until a request may run.

        Args:
          request: The request.
          wait_s: How long to wait for its turn, in seconds.

        Returns:
          A turn to give back by `release_lease`; None when nothing is held
          against the request; NotRun when it may not run, or not yet.
        """
        until = min(self._clock.now() + wait_s, request.deadline)
        while True:
            verdict = self.check(request, self._clock.now())
            if isinstance(verdict, request_types.Clear):
                return None
            if isinstance(verdict, request_types.Refuse):
                self._counters.add("suspects.refused")
                return types.NotRun(
                    types.NotRunReason.SUSPECT, None, "it crashed two servers"
                )
            left_s = request.deadline - self._clock.now()
            turn = await self._turns.turn(request.fingerprint, left_s)
            if turn is not None:
                self._counters.add("suspects.turns")
                return turn
            if self._clock.now() + _TURN_PAUSE_S >= until:
                self._counters.add("suspects.deferred")
                return types.NotRun(
                    types.NotRunReason.SUSPECT, 1.0, "it may run alone only"
                )
            await asyncio.sleep(_TURN_PAUSE_S)

    def release_lease(self, turn: Lease) -> None:
        """Gives a turn back."""
        self._turns.end_turn(turn)

    def completed(self, request: request_types.Request) -> None:
        """Takes that a request was answered whole: that clears it."""
        if not self._suspicions.knows(request.fingerprint):
            return
        message = ttypes.Cleared(
            fingerprints=[request.fingerprint],
            time_ms=int(self._clock.wall() * _MS),
        )
        self._suspicions.cleared(message)
        self._waiting.append(
            codec.encode(ttypes.SuspectRecord(cleared=message))
        )
        self._added.set()

    def _on_notice(
        self, connection: connection_lib.Connection, body: bytes
    ) -> None:
        record = codec.decode(ttypes.SuspectRecord, body)
        if not self._take(record):
            return
        # Other entries hear of it before the log tells them: the caller's
        # repetition may come through any of them, and the log may be down.
        for other in self._endpoint.connections():
            if other is not connection and other.peer.role is types.Role.ENTRY:
                other.notify(Kind.CRASHED, body)

    def _take(self, record: ttypes.SuspectRecord) -> bool:
        """Takes a record; returns whether it was news of a crash."""
        if record.cleared is not None:
            self._suspicions.cleared(record.cleared)
        if record.crash is None:
            return False
        news = self._suspicions.crashed(record.crash)
        if not news:
            return False
        self._counters.add("suspects.crashes")
        self._log.write(
            _claim_events.SUSPECT_FOUND,
            agent=record.crash.instance_id,
            service=record.crash.service_name,
            requests=len(news),
        )
        refused = [f for f in news if self._is_refused(f)]
        if refused:
            self._counters.add("suspects.found", len(refused))
            self._log.write(
                _claim_events.SUSPECT_REFUSED,
                fingerprints=[f.hex() for f in refused],
            )
        return True

    def _is_refused(self, fingerprint: bytes) -> bool:
        verdict = self._suspicions.verdict(fingerprint)
        return isinstance(verdict, request_types.Refuse)

    @mode.Service.task
    async def _follow(self) -> None:
        """Reads the stream for ever."""
        while not self.should_stop:
            try:
                await self._read()
            except exceptions.PlatformError:
                await self.sleep(_RETRY_S)

    async def _read(self) -> None:
        page = await self._log_client.read(
            STREAM, self._position, wait_s=_POLL_S
        )
        if page.next_offset < self._position:
            # The log went back; what it told is known and stays so.
            self._position = page.next_offset
        for record in page.records:
            self._take_record(record)
            self._position = record.offset + 1
        if not page.records:
            self._position = max(self._position, page.next_offset)

    def _take_record(self, record: platform_log.Record) -> None:
        try:
            self._take(codec.decode(ttypes.SuspectRecord, record.value))
        except exceptions.DecodeError:
            self._log.write(
                _claim_events.CLAIM_RECORD_MALFORMED, offset=record.offset
            )

    @mode.Service.task
    async def _publish(self) -> None:
        """Brings what was cleared here into the log."""
        while not self.should_stop:
            await self._added.wait()
            self._added.clear()
            while self._waiting:
                await self._append(self._waiting[0])

    async def _append(self, body: bytes) -> None:
        try:
            await self._log_client.append(STREAM, body)
        except exceptions.PlatformError:
            await self.sleep(_RETRY_S)
            return
        if self._waiting and self._waiting[0] is body:
            self._waiting.popleft()


_CLEAR = request_types.Clear()
