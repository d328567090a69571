"""Tracks suspects at one entry, from the log and the agents' notices."""

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
STREAM_NAME = "suspects"
_POLL_WAIT_S = 30.0
_RETRY_INTERVAL_S = 1.0
_LEASE_RETRY_INTERVAL_S = 0.25
_MS_PER_S = 1000.0
_MAX_PENDING = 256


class LeaseManager(Protocol):
    """Manages leases that only one entry of the fleet holds at a time."""

    async def acquire_lease(self, name: bytes, use_s: float) -> Lease | None:
        """Returns the lease; None if another holds it or the log is down."""

    def release_lease(self, lease: Lease) -> None:
        """Releases a lease."""


class SuspectsService(mode.Service):
    """Tracks suspects and lets one run at a time in the fleet."""

    def __init__(
        self,
        endpoint: connection_lib.Endpoint,
        log_client: platform_log.LogClient,
        lease_manager: LeaseManager,
        limits: suspect.Limits | None = None,
        clock: clock_lib.Clock | None = None,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
    ):
        """Initializes the service and registers its handler at the endpoint.

        Args:
          endpoint: The connections of this entry.
          log_client: The platform's log.
          lease_manager: Grants the leases under which suspects run.
          limits: How long and how many requests are remembered.
          clock: The source of time.
          log: Receives events.
          counters: Counts crashes, refusals and turns.
        """
        super().__init__()
        self._endpoint = endpoint
        self._log_client = log_client
        self._lease_manager = lease_manager
        self._clock = clock or clock_lib.SystemClock()
        self._log = log or logs.Log(instance=endpoint.identity.instance_id)
        self._counters = counters or counters_lib.Counters()
        self._tracker = suspect.SuspectTracker(limits)
        self._position = 0
        self._pending: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_PENDING
        )
        self._added = asyncio.Event()
        endpoint.on_notice(Kind.CRASHED, self._on_notice)

    @property
    def suspect_count(self) -> int:
        """The number of requests that are suspects or refused."""
        return len(self._tracker)

    def check(
        self, request: request_types.Request, now: float
    ) -> request_types.SuspectVerdict:
        """Returns how the request may run; see `requests.types.Suspects`."""
        del now
        if not len(self._tracker):
            return _CLEAR
        return self._tracker.verdict(request.fingerprint)

    async def acquire_lease(
        self, request: request_types.Request, wait_s: float
    ) -> Lease | types.NotRun | None:
        """Waits until a request may run.

        Args:
          request: The request.
          wait_s: How long to wait for a lease, in seconds.

        Returns:
          A lease to be released by `release_lease`; None if the request is no
          suspect; NotRun if it may not run, or not yet.
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
            remaining_s = request.deadline - self._clock.now()
            lease = await self._lease_manager.acquire_lease(
                request.fingerprint, remaining_s
            )
            if lease is not None:
                self._counters.add("suspects.turns")
                return lease
            if self._clock.now() + _LEASE_RETRY_INTERVAL_S >= until:
                self._counters.add("suspects.deferred")
                return types.NotRun(
                    types.NotRunReason.SUSPECT, 1.0, "it may run alone only"
                )
            await asyncio.sleep(_LEASE_RETRY_INTERVAL_S)

    def release_lease(self, lease: Lease) -> None:
        """Releases a lease."""
        self._lease_manager.release_lease(lease)

    def completed(self, request: request_types.Request) -> None:
        """Clears a request that was answered completely."""
        if not self._tracker.is_suspected(request.fingerprint):
            return
        message = ttypes.Cleared(
            fingerprints=[request.fingerprint],
            time_ms=int(self._clock.wall() * _MS_PER_S),
        )
        self._tracker.record_completion(message)
        self._pending.append(
            codec.encode(ttypes.SuspectRecord(cleared=message))
        )
        self._added.set()

    def _on_notice(
        self, connection: connection_lib.Connection, body: bytes
    ) -> None:
        record = codec.decode(ttypes.SuspectRecord, body)
        if not self._apply(record):
            return
        # Other entries are notified before the log informs them: the caller may
        # repeat the request at any of them, and the log may be down.
        for other in self._endpoint.connections():
            if other is not connection and other.peer.role is types.Role.ENTRY:
                other.notify(Kind.CRASHED, body)

    def _apply(self, record: ttypes.SuspectRecord) -> bool:
        """Applies a record; returns whether it reported a new crash."""
        if record.cleared is not None:
            self._tracker.record_completion(record.cleared)
        if record.crash is None:
            return False
        new_fingerprints = self._tracker.record_crash(record.crash)
        if not new_fingerprints:
            return False
        self._counters.add("suspects.crashes")
        self._log.write(
            _claim_events.SUSPECT_FOUND,
            agent=record.crash.instance_id,
            service=record.crash.service_name,
            requests=len(new_fingerprints),
        )
        refused = [f for f in new_fingerprints if self._is_refused(f)]
        if refused:
            self._counters.add("suspects.found", len(refused))
            self._log.write(
                _claim_events.SUSPECT_REFUSED,
                fingerprints=[f.hex() for f in refused],
            )
        return True

    def _is_refused(self, fingerprint: bytes) -> bool:
        verdict = self._tracker.verdict(fingerprint)
        return isinstance(verdict, request_types.Refuse)

    @mode.Service.task
    async def _follow_stream(self) -> None:
        """Reads the stream until the service stops."""
        while not self.should_stop:
            try:
                await self._read_page()
            except exceptions.PlatformError:
                await self.sleep(_RETRY_INTERVAL_S)

    async def _read_page(self) -> None:
        page = await self._log_client.read(
            STREAM_NAME, self._position, wait_s=_POLL_WAIT_S
        )
        if page.next_offset < self._position:
            # The log went back to an older state; what was read stays known.
            self._position = page.next_offset
        for record in page.records:
            self._apply_record(record)
            self._position = record.offset + 1
        if not page.records:
            self._position = max(self._position, page.next_offset)

    def _apply_record(self, record: platform_log.Record) -> None:
        try:
            self._apply(codec.decode(ttypes.SuspectRecord, record.value))
        except exceptions.DecodeError:
            self._log.write(
                _claim_events.CLAIM_RECORD_MALFORMED, offset=record.offset
            )

    @mode.Service.task
    async def _publish_completions(self) -> None:
        """Appends the completions of this entry to the log."""
        while not self.should_stop:
            await self._added.wait()
            self._added.clear()
            while self._pending:
                await self._append(self._pending[0])

    async def _append(self, body: bytes) -> None:
        try:
            await self._log_client.append(STREAM_NAME, body)
        except exceptions.PlatformError:
            await self.sleep(_RETRY_INTERVAL_S)
            return
        if self._pending and self._pending[0] is body:
            self._pending.popleft()


_CLEAR = request_types.Clear()
