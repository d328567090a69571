"""Directory of all backend servers known to this entry."""

from collections.abc import Callable, Collection, Iterable
import math
import random
import time

from clementinegw.direct import _events
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import buffer_budget
from clementinegw.direct import client
from clementinegw.direct import log_position
from clementinegw.direct import outage
from clementinegw.direct import rate_limit
from clementinegw.direct import reports
from clementinegw.direct import server_records
from clementinegw.direct import signals as signals_lib
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.scheduling import cold_starts
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# Connection timeout in seconds: a few round trips between regions, and less
# than the objective of the shortest requests.
_CONNECT_TIMEOUT_S = 0.25
# Idle connections are closed after this, in seconds.
_MAX_IDLE_S = 8.0
# Fraction of a server's connection limit that one entry may use.
_CONNECTION_SHARE = 1 / 12
_MIN_CONNECTIONS = 4


class Fleet:
    """All backend servers, by service.

    Attributes:
      listing_expiry: How long servers are kept that are no longer listed.
      cold_bound: What operators allow a cold server to get in any second.
      buffers: Counts the bytes in buffers of new connections; None if they are
        not counted.
    """

    def __init__(
        self,
        log: logs.Log,
        max_connections: Callable[[str], int],
        rng: random.Random,
        listing_times: outage.ListingTimes | None = None,
        *,
        entry: str = "",
        wall_clock: Callable[[], float] = time.time,
        counters: counters_lib.Counters | None = None,
        cold_start: Callable[[str], types.ColdStart | None] = lambda _: None,
    ):
        """Initializes an empty fleet.

        Args:
          log: Log for events.
          max_connections: Returns the connection limit of a service's servers.
          rng: Rounds shares of free slots randomly.
          listing_times: How long servers are kept after they are no longer
            listed; None for as long as an outage may need.
          entry: Name of this entry.
          wall_clock: Returns the time of day in seconds; entries share rate
            limits based on it.
          counters: Counters for what servers report about themselves.
          cold_start: Returns what the cold servers of a service bear; None if
            they bear as much as warm ones.
        """
        self._position = rate_limit.Position.assumed(entry)
        self._signals = signals_lib.Registry(
            lambda: self._position,
            wall_clock,
            log,
            counters or counters_lib.Counters(),
        )
        self.listing_expiry = outage.ListingExpiry(
            listing_times or outage.ListingTimes()
        )
        self.cold_bound = cold_starts.Bound()
        self.buffers: buffer_budget.BufferBudget | None = None
        self._cold_start = cold_start
        self._log = log
        self._rng = rng
        self._max_connections = max_connections
        self._backends: dict[str, backend_lib.Backend] = {}
        self._of_service: dict[str, list[backend_lib.Backend]] = {}
        self._server_records = server_records.ServerRecords(log)

    def all(self) -> Iterable[backend_lib.Backend]:
        """Returns every backend server."""
        return self._backends.values()

    def of(self, service: str) -> list[backend_lib.Backend]:
        """Returns the backend servers of a service."""
        return self._of_service.get(service, [])

    def services(self) -> Iterable[str]:
        """Returns the services that have any backend server."""
        return self._of_service.keys()

    @property
    def cold(self) -> int:
        """Number of cold servers."""
        return sum(b.signals.cold for b in self._backends.values())

    @property
    def limited(self) -> int:
        """Number of servers with a rate limit in force."""
        return sum(b.signals.limited for b in self._backends.values())

    def find(self, server_id: str) -> backend_lib.Backend | None:
        """Returns the backend server with an id; None if unknown."""
        return self._backends.get(server_id)

    def match_report(
        self, report: reports.Report, host: str
    ) -> backend_lib.Backend | None:
        """Returns the backend that a report is about; None if not current.

        Args:
          report: An agent's report.
          host: IP address of its sender.
        """
        backend = self.find(report.server_id)
        # The address may have been reassigned to another server, so the id
        # decides.
        if backend is None or backend.server.address.host != host:
            return None
        if backend.server.start.matches(report.start):
            return backend
        # The agent queries the server directly, so it learns of a new start
        # before the list does. Late reports about a previous start are ignored.
        if report.started_ms > backend.server.started_ms:
            backend.gone = True
        return None

    def apply(
        self,
        batch: topic_watch.Batch,
        is_snapshot: bool,
        available_s: float,
        outage_s: float = math.inf,
        now: float = 0.0,
        restored_s: float = math.inf,
    ) -> None:
        """Applies records of the platform's server list.

        Args:
          batch: The records. A record without a value means that the server is
            gone; an unreadable one lists no server.
          is_snapshot: Whether the batch is complete, so that servers missing
            from it are gone.
          available_s: How long the platform has answered without failure, in
            seconds.
          outage_s: How long it did not answer before, in seconds.
          now: Monotonic seconds.
          restored_s: How long ago the platform was restored from a copy, which
            lacks servers that have been listed since, in seconds.
        """
        last = {record.key: record.value for record in batch.records}
        gone = {key for key, value in last.items() if value is None}
        unlisted = set(self._backends) - set(last) if is_snapshot else set()
        gone |= unlisted
        restored_left_s = self.listing_expiry.times.relist_s - restored_s
        left_s = self.listing_expiry.times.relist_s - available_s
        if not self.listing_expiry.likely_expired(
            gone, set(self._backends), left_s, outage_s
        ):
            left_s = 0.0
        epoch = log_position.epoch(batch.next_position)
        for record in batch.records:
            if isinstance(record.value, types.Server):
                server = self._server_records.accept(
                    record.value, epoch if is_snapshot else None
                )
                if server is not None:
                    self._apply_listed(record.key, server, now)
            elif record.value is not None and record.key in self._backends:
                # The record no longer lists a usable server.
                self._drop(record.key)
        for key in gone & set(self._backends):
            copy_left_s = restored_left_s if key in unlisted else 0.0
            self._apply_unlisted(key, now, max(left_s, copy_left_s), epoch)
        self._rebuild_index()

    def update_position(self) -> None:
        """Updates this entry's position among all entries.

        The report with the most entries is used: an agent that is cut off or
        has just started knows only a few entries, so shares computed from its
        report would be too large.
        """
        positions = [
            position
            for backend in self._backends.values()
            if (position := backend.signals.entry_position) is not None
        ]
        self._position = max(
            positions,
            key=lambda position: position.entries,
            default=self._position,
        )

    def set_followed(self, server_ids: Collection[str], now: float) -> None:
        """Sets which servers this entry gets reports of and may send to.

        Args:
          server_ids: Ids of these servers.
          now: Monotonic seconds.
        """
        for key, backend in self._backends.items():
            backend.set_followed(key in server_ids, now)

    def drop_missing(self, available_s: float, now: float = 0.0) -> None:
        """Drops servers still missing after the platform has recovered.

        Args:
          available_s: How long the platform has answered without failure, in
            seconds.
          now: Monotonic seconds.
        """
        recovered = available_s >= self.listing_expiry.times.relist_s
        for key, backend in list(self._backends.items()):
            if backend.missing and (recovered or now >= backend.missing_until):
                self._drop(key)
        self._rebuild_index()

    def update_cold(self, now: float) -> None:
        """Begins and ends the rate limits of cold servers.

        Args:
          now: Monotonic seconds.
        """
        for backend in self._backends.values():
            self.update_cold_of(backend, now)

    def update_cold_of(self, backend: backend_lib.Backend, now: float) -> None:
        """Begins or ends the rate limit of one server; see `update_cold`."""
        cold_start = self._cold_start(backend.server.service)
        if cold_start is None or backend.cold_until <= now:
            backend.signals.set_cold(None)
            return
        backend.signals.set_cold(
            cold_starts.limit(cold_start.requests_per_s, self.cold_bound)
        )

    def prune(self) -> None:
        """Closes idle connections that have expired."""
        for backend in self._backends.values():
            backend.pool.prune()

    def _apply_listed(self, key: str, server: types.Server, now: float) -> None:
        signals = self._signals.get(server.start)
        backend = self._backends.get(key)
        if backend is not None and not backend.server.start.matches(
            server.start
        ):
            # Observations of one start do not apply to the next. Requests in
            # flight stay with the start that they were sent to.
            self._drop(key)
            backend = None
        if backend is None:
            pool = self._pool(server)
            backend = backend_lib.Backend(server, pool, self._rng, signals)
            self._backends[key] = backend
            self._log_listed(server)
        elif backend.server.address != server.address:
            backend.pool.close()
            backend.pool = self._pool(server)
        self._apply_cold(backend, server, now)
        changed = backend.server != server
        if changed:
            self._log_listed(server)
            backend.weights_incomplete = False
            backend.replaced = False
            backend.version = 0
        backend.server = server
        backend.missing = False
        self.update_cold_of(backend, now)

    def _apply_cold(
        self, backend: backend_lib.Backend, server: types.Server, now: float
    ) -> None:
        """Updates until when a server is cold from a record."""
        if server.sequence <= backend.cold_sequence:
            # A record that is read again says nothing about the present.
            return
        backend.cold_sequence = server.sequence
        if server.cold_s is None:
            self._log.write(
                _events.SERVER_SIGNAL_MALFORMED,
                server=server.server_id,
                born=server.started_ms,
                field="cold_s",
            )
            return
        backend.cold_until = now + server.cold_s

    def _pool(self, server: types.Server) -> client.Pool:
        share = self._max_connections(server.service) * _CONNECTION_SHARE
        most = max(_MIN_CONNECTIONS, int(share))
        return client.Pool(
            server.address,
            most,
            _CONNECT_TIMEOUT_S,
            _MAX_IDLE_S,
            self.buffers,
        )

    def _apply_unlisted(
        self, key: str, now: float, left_s: float, epoch: int
    ) -> None:
        backend = self._backends[key]
        # A listing that expired during an outage of the platform says nothing
        # about the server. Without this case all servers would be dropped at
        # once.
        if left_s <= 0.0:
            self._server_records.record_removal(key, epoch)
            self._drop(key)
        elif not backend.missing:
            # Later failures do not extend this time. Otherwise an unstable
            # platform would keep a server that is gone forever.
            backend.missing = True
            backend.missing_until = now + left_s

    def _drop(self, key: str) -> None:
        backend = self._backends.pop(key)
        backend.gone = True
        backend.pool.close()
        server = backend.server
        self._log.write(_events.SERVER_GONE, server=key, service=server.service)

    def _rebuild_index(self) -> None:
        self._of_service = {}
        for backend in self._backends.values():
            service = backend.server.service
            self._of_service.setdefault(service, []).append(backend)

    def _log_listed(self, server: types.Server) -> None:
        self._log.write(
            _events.SERVER_LISTED,
            server=server.server_id,
            service=server.service,
            address=str(server.address),
            domain=server.failure_domain,
            leaving=server.leaving,
            held=[(h.version, h.layers) for h in server.held],
        )
