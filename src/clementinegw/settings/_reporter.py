"""Counts and logs the results of folding records."""

from clementinegw.settings import _events
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import records
from clementinegw.settings import results
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs


class Reporter:
    """Writes the counters and log events of one process's fold."""

    def __init__(self, log: logs.Log, counters: counters_lib.Counters):
        """Initializes the reporter.

        Args:
          log: Receives the events.
          counters: Count the results.
        """
        self._log = log
        self._counters = counters

    def report_folded(self, folded: cursor_lib.Folded, revision: int) -> None:
        """Reports the result of a folded record.

        Args:
          folded: The record and its result.
          revision: The revision in force.
        """
        result = folded.result
        self._counters.add(f"settings.records.{type(result).__name__.lower()}")
        if isinstance(result, results.Rejected):
            self._counters.add(f"settings.rejected.{result.reason}")
            self._log.write(
                _events.CHANGE_REJECTED,
                offset=folded.offset,
                reason=result.reason,
                conflict=result.conflicting_revision,
            )
        elif isinstance(result, results.Skipped):
            self._report_skipped(folded.offset, result, revision)
        elif isinstance(result, results.Restored):
            self._log.write(
                _events.RESTORED,
                revision=result.revision,
                kept=result.kept,
                lost=result.lost,
            )
        elif isinstance(result, results.Halted):
            self._log.write(_events.HALTED, schema=result.schema)

    def report_divergence(self, source: str, revision: int) -> None:
        """Reports that another process has different settings at a revision."""
        self._counters.add("settings.diverged")
        self._log.write(_events.DIVERGED, source=source, revision=revision)

    def _report_skipped(
        self, offset: int, skipped: results.Skipped, revision: int
    ) -> None:
        self._counters.add(f"settings.skipped.{skipped.reason}")
        if skipped.reason is records.SkipReason.SNAPSHOT_DIVERGES:
            self.report_divergence("snapshot", revision)
        elif not skipped.reason.startswith("snapshot_"):
            self._log.write(
                _events.RECORD_SKIPPED, offset=offset, reason=skipped.reason
            )
