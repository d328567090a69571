"""Refuses requests that would crash the servers that they are sent to."""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar

from clementinegw.direct import _events
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import crash_trackers
from clementinegw.direct import job as jobs
from clementinegw.direct import part_records
from clementinegw.direct import prompt_suspects
from clementinegw.direct import suspects
from clementinegw.direct import suspicion_codec
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# A server whose agent reports it within this long after a supposed crash, in
# seconds, goes on running; a crashed one takes longer to start again.
_MAX_REPORT_AGE_S = 1.2
# How old the state in an agent's report may be, besides its way, in seconds.
_REPORT_DELAY_S = 0.3
# How often it is found out whether a request that waits is suspected, in
# seconds.
_WAITING_INTERVAL_S = 0.2
# An entry that no agent has told its rank for this long, in seconds, takes
# itself for the only one. Agents tell none while all servers are down, and then
# every entry would let a request through.
_RANK_TIMEOUT_S = 120.0


_Subject = TypeVar("_Subject", contravariant=True)


class _Tracker(Protocol[_Subject]):
    """Tracks what requests are refused for."""

    def record_refusal(self, subject: _Subject, now: float, /) -> None:
        """Records that a request was refused."""

    def take_probe(self, subject: _Subject, now: float, /) -> bool:
        """Returns whether a request may be let through."""


class CrashGuard:
    """Learns at one entry which requests crash servers, and refuses them."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Starts without any suspicion.

        Args:
          clock: Returns monotonic seconds.
          log: Takes a line for each part that is refused, or no longer.
          counters: Count these by their cause, and probes.
        """
        self._clock = clock
        self._log = log
        self._counters = counters
        self._jobs: dict[int, jobs.Job] = {}
        self._trackers = crash_trackers.Trackers(
            prompt_suspects.PartTracker(self._on_verdict, self._begun_parts)
        )
        self._is_first = False
        self._ranked_at = clock()

    @property
    def acts_for_all(self) -> bool:
        """Whether this entry does what one entry is to do for all."""
        alone = self._clock() - self._ranked_at >= _RANK_TIMEOUT_S
        return self._is_first or alone

    @property
    def has_crashes(self) -> bool:
        """Whether any server crashed, as far as is known."""
        trackers = self._trackers
        return trackers.parts.has_crashes or not trackers.requests.idle

    def add_job(self, job: jobs.Job) -> None:
        """Adds a request that is in progress."""
        self._jobs[id(job)] = job

    def remove_job(self, job: jobs.Job) -> None:
        """Removes a request that has ended."""
        del self._jobs[id(job)]

    def record_rank(self, rank: int) -> None:
        """Records this entry's rank among all, from 0; negative if unknown."""
        if rank >= 0:
            self._is_first = not rank
            self._ranked_at = self._clock()

    # Observations.

    def record_crash(self, job: jobs.Job, backend: backend_lib.Backend) -> None:
        """Records a connection that broke while a request ran."""
        start, now = backend.server.start.text, self._clock()
        self._trackers.requests.record_crash(
            job.request, job.customer_name, start, now
        )
        self._trackers.parts.record_crash(
            job.metadata.shared_parts, start, now, job.answering
        )

    def record_answering(
        self, job: jobs.Job, backend: backend_lib.Backend
    ) -> None:
        """Records that a server answers a request."""
        now = self._clock()
        began_at = now if job.first_event_at is None else job.first_event_at
        parts = self._trackers.parts
        if job.sent_at is not None:
            parts.record_survival(backend.server.start.text, job.sent_at, now)
        parts.record_answer(job.metadata.shared_parts, began_at, now)

    def record_completion(
        self, job: jobs.Job, backend: backend_lib.Backend, sent_at: float
    ) -> None:
        """Records a whole answer.

        Args:
          job: The request.
          backend: The server.
          sent_at: When the request was sent, in monotonic seconds.
        """
        if not job.answering:
            self.record_answering(job, backend)
        requests = self._trackers.requests
        requests.record_survival(backend.server.start.text, sent_at)
        requests.record_completion(
            job.request, job.customer_name, self._clock()
        )

    def record_report(self, backend: backend_lib.Backend) -> None:
        """Records that an agent has reported on a running server."""
        if not self._trackers.parts.has_crashes:
            return
        now = self._clock()
        delay_s = _REPORT_DELAY_S + backend.transit.estimate_s(now)
        self._trackers.parts.refute_crashes(
            backend.server.start.text,
            now - _MAX_REPORT_AGE_S,
            now - delay_s,
            now,
        )

    # Verdicts.

    def refuses(self, job: jobs.Job) -> bool:
        """Returns whether a request is refused, and records it.

        One that is let through as a probe may be sent once.
        """
        now = self._clock()
        parts, requests = self._trackers.parts, self._trackers.requests
        shared_parts = () if job.answering else job.metadata.shared_parts
        job.suspect = parts.refused_part(shared_parts, now) or ""
        if job.suspect:
            return not self._is_probe(job, parts, job.suspect, now)
        if requests.idle:
            return False
        if not job.fingerprint:
            job.fingerprint = suspects.fingerprint(
                job.request, job.customer_name
            )
        if not requests.is_refused(job.fingerprint, now):
            return False
        return not self._is_probe(job, requests, job.fingerprint, now)

    def refuses_waiting(self, job: jobs.Job) -> bool:
        """Returns the same for a request in a queue, which asks often."""
        now = self._clock()
        if now < job.suspect_check_at:
            return False
        job.suspect_check_at = now + _WAITING_INTERVAL_S
        return self.refuses(job)

    def _is_probe(
        self,
        job: jobs.Job,
        tracker: _Tracker[_Subject],
        subject: _Subject,
        now: float,
    ) -> bool:
        """Returns whether a request is let through; else records its refusal.

        Args:
          job: The request.
          tracker: Tracks what it is refused for.
          subject: What it is refused for.
          now: Monotonic seconds.
        """
        if job.probe and not job.sends:
            return True
        may_probe = not job.sends and self.acts_for_all
        if may_probe and tracker.take_probe(subject, now):
            job.probe = True
            self._counters.add("direct.suspect.probed")
            return True
        tracker.record_refusal(subject, now)
        return False

    def _on_verdict(self, verdict: part_records.Verdict) -> None:
        change = "refused" if verdict.refused else "cleared"
        self._counters.add(f"direct.suspect.{change}.{verdict.cause}")
        event = (
            _events.PART_REFUSED if verdict.refused else _events.PART_CLEARED
        )
        self._log.write(
            event,
            part=verdict.part.hex(),
            cause=verdict.cause.value,
            crashes={
                start.hex(): age_s
                for start, age_s in verdict.crash_ages_s.items()
            },
        )

    def _begun_parts(self) -> Iterable[tuple[Sequence[str], float]]:
        return [
            (job.metadata.shared_parts, job.first_event_at)
            for job in self._jobs.values()
            if job.answering and job.first_event_at is not None
        ]

    # Exchange with other entries.

    def take_news(self) -> bool:
        """Returns whether there is something new to publish at once."""
        now = self._clock()
        self._trackers.parts.update(now)
        return self._trackers.parts.take_news(now)

    def suspicions(self) -> tuple[suspicion_codec.Suspicion, ...]:
        """Returns what this entry observed recently."""
        return self._trackers.local_suspicions(self._clock())

    def refused(self) -> tuple[suspicion_codec.Suspicion, ...]:
        """Returns what this entry refuses."""
        return self._trackers.refused_suspicions(self._clock())

    def merge(self, suspicions: tuple[suspicion_codec.Suspicion, ...]) -> None:
        """Merges what other entries observed."""
        self._trackers.merge(suspicions, self._clock())
