"""Sends crash reports to connected entries and appends them to the log."""

import asyncio
import collections

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw import types as shared
from clementinegw.gate import _events
from clementinegw.gate import types
from clementinegw.platform import log as platform_log
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

STREAM_NAME = "suspects"
_MAX_UNSENT = 256
_RETRY_INTERVAL_S = 1.0
_MS = 1000.0


class CrashReporter:
    """Reports the requests that were in flight when the server crashed.

    A record may be appended twice if a response of the log was lost. Readers
    identify crashes by agent, incarnation and sequence.
    """

    def __init__(
        self,
        endpoint: connection_lib.Endpoint,
        service_name: str,
        clock: clock_lib.Clock,
        log: logs.Log,
        log_client: platform_log.LogClient | None,
    ):
        """Initializes the reporter.

        Args:
          endpoint: The connections to entries.
          service_name: The service's name in the settings tree.
          clock: The source of time.
          log: Receives the events.
          log_client: The platform's log; None appends nothing.
        """
        self._endpoint = endpoint
        self._service_name = service_name
        self._clock = clock
        self._log = log
        self._log_client = log_client
        self._unsent: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_UNSENT
        )
        self._added = asyncio.Event()

    def report_crash(self, report: types.ReportCrash) -> None:
        """Reports the requests that were in flight at a crash."""
        identity = self._endpoint.identity
        message = ttypes.CrashReport(
            instance_id=identity.instance_id,
            incarnation=identity.incarnation,
            sequence=report.sequence,
            service_name=self._service_name,
            fingerprints=list(report.fingerprints),
            time_ms=int(self._clock.wall() * _MS),
        )
        self._publish(ttypes.SuspectRecord(crash=message))

    def report_cleared(self, report: types.ReportCleared) -> None:
        """Reports requests that completed after a crash."""
        message = ttypes.Cleared(
            fingerprints=list(report.fingerprints),
            time_ms=int(self._clock.wall() * _MS),
        )
        self._publish(ttypes.SuspectRecord(cleared=message))

    def _publish(self, record: ttypes.SuspectRecord) -> None:
        body = codec.encode(record)
        # A caller's retry may be faster than the log, so connected entries
        # are notified of the crash before its attempts fail.
        for connection in self._endpoint.connections():
            if connection.peer.role is shared.Role.ENTRY:
                connection.notify(connection_lib.Kind.CRASHED, body)
        if self._log_client is not None:
            self._unsent.append(body)
            self._added.set()

    async def run(self) -> None:
        """Appends unsent records until cancelled; retries failed appends."""
        while self._log_client is not None:
            await self._added.wait()
            self._added.clear()
            while self._unsent:
                await self._append(self._log_client)

    async def _append(self, log_client: platform_log.LogClient) -> None:
        record = self._unsent[0]
        try:
            await log_client.append(STREAM_NAME, record)
        except exceptions.PlatformError:
            self._log.write(_events.CRASH_NOT_RECORDED)
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        if self._unsent and self._unsent[0] is record:
            self._unsent.popleft()
