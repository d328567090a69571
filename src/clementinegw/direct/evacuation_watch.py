"""Tells which failure domains a process takes as evacuated."""

from collections.abc import Callable, Collection, Mapping

from clementinegw.direct import _events
from clementinegw.direct import topic_watch
from clementinegw.direct import types
from clementinegw.scheduling import evacuations
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs


class EvacuationWatch:
    """Follows the operators' evacuations and logs when they begin and end."""

    def __init__(
        self,
        regions: Callable[[], Mapping[str, str]],
        age_s: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Knows no evacuation.

        Args:
          regions: Returns the region of each failure domain.
          age_s: Returns the maximum age of the operators' records, in seconds.
          log: Takes the log events.
          counters: Holds the gauge of evacuated failure domains.
        """
        self._regions = regions
        self._age_s = age_s
        self._log = log
        self._counters = counters
        self._evacuations = evacuations.Evacuations()
        self._domains: frozenset[str] = frozenset()

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains whose servers get no requests."""
        return self._domains

    def apply(self, batch: topic_watch.Batch, is_snapshot: bool) -> None:
        """Applies the operators' records; `update` puts them into force."""
        self._evacuations.apply(
            {
                record.key: record.value.failure_domain
                if isinstance(record.value, types.Evacuation)
                else None
                for record in batch.records
            },
            is_snapshot,
            batch.next_position,
        )

    def update(self, reported: Collection[str] = ()) -> bool:
        """Finds out what is in force; returns whether it changed.

        Args:
          reported: The failure domains that agents report as evacuated.
        """
        before = self._domains
        self._domains = self._evacuations.in_force(self._age_s(), reported)
        if self._domains == before:
            return False
        for domain in sorted(self._domains - before):
            self._log_begun(domain)
        for domain in sorted(before - self._domains):
            self._log.write(_events.EVACUATION_ENDED, domain=domain)
        self._counters.gauge("direct.evacuated", len(self._domains))
        return True

    def _log_begun(self, domain: str) -> None:
        event = (
            _events.EVACUATION_BEGUN
            if domain in self._regions()
            else _events.EVACUATION_UNKNOWN
        )
        declared = domain in self._evacuations.domains
        self._log.write(event, domain=domain, declared=declared)
