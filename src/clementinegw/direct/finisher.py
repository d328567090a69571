"""Finishes requests: sends refusals and records outcomes."""

from collections.abc import Callable
import json

from clementinegw.direct import _events
from clementinegw.direct import admit
from clementinegw.direct import channel
from clementinegw.direct import client
from clementinegw.direct import header_codec
from clementinegw.direct import job as jobs
from clementinegw.direct import outcomes
from clementinegw.direct import part_records
from clementinegw.direct import server as servers
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import errors
from clementinegw.telemetry import histograms as histograms_lib
from clementinegw.telemetry import logs

Reason = outcomes.RefusalReason

# Refusals whose cause lies in this process or its network: another entry may
# serve the request. They close the connection, because the load balancer picks
# another entry only for a new one. Without this an entry that was cut off from
# the platform received 20 requests a second on persistent connections for as
# long as it was cut off.
_LOCAL_REASONS = frozenset(
    {
        Reason.STOPPING,
        Reason.STALE_KEYS,
        Reason.STALE_ROUTES,
        Reason.NO_CONFIGURATION,
        Reason.OUT_OF_REACH,
    }
)
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class RequestFinisher:
    """Sends refusals and records how each request ended."""

    def __init__(
        self,
        codec: header_codec.HeaderCodec,
        config_view: admit.ConfigView,
        clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
        histograms: histograms_lib.Histograms,
    ):
        """Stores its collaborators.

        Args:
          codec: Translates the platform's headers.
          config_view: Says how old the process's configuration is.
          clock: Returns monotonic seconds.
          log: Takes the log events.
          counters: Count refusals by reason and answers by outcome.
          histograms: Take the times of answers.
        """
        self._codec = codec
        self._config_view = config_view
        self._clock = clock
        self._log = log
        self._counters = counters
        self._histograms = histograms

    async def refuse(
        self,
        request: servers.Request,
        responder: servers.Responder,
        refusal: outcomes.Refusal,
        job: jobs.Job | None,
    ) -> None:
        """Refuses a request and records the refusal.

        An answer that has already begun is broken off instead.

        Args:
          request: The caller's request.
          responder: Sends the answer to the caller.
          refusal: The status, the reason and when to retry.
          job: The request's state; None if it was not admitted.
        """
        if job is not None and responder.begun:
            self._break_off(job, refusal)
            return
        self._counters.add(f"direct.refused.{refusal.reason}")
        self._log.write(
            _events.REQUEST_REFUSED,
            request=self._id_of(request, job),
            target=request.target[:120],
            status=refusal.status,
            reason=refusal.reason.value,
            cause=(refusal.cause or refusal.reason).value,
            sends=job.sends if job else 0,
            runs=job.runs if job else 0,
            proofs=[proof.value for proof in job.proofs] if job else [],
            **_suspect_fields(job),
            spent_ms=round(job.spent_s * 1e3) if job else 0,
            rank=str(job.rank) if job else None,
            customer=job.customer_name if job else "",
            age_s=round(min(self._config_view.age_s(), 9_999.0), 3),
            after_ms=round((self._clock() - request.arrived_at) * 1000, 1),
            **_place_fields(job),
        )
        if responder.begun:
            responder.abort()
            return
        headers: client.Headers = [(b"content-type", b"application/json")]
        if refusal.retry_after_s is not None:
            text = f"{refusal.retry_after_s:.2f}"
            headers.append((b"retry-after", text.encode()))
        body = json.dumps({"reason": refusal.reason.value}).encode()
        try:
            await responder.answer(
                refusal.status, headers, body, refusal.reason in _LOCAL_REASONS
            )
        except channel.ChannelClosed:
            responder.abort()

    async def refuse_unfinished(
        self,
        request: servers.Request,
        responder: servers.Responder,
        reason: outcomes.RefusalReason,
        job: jobs.Job | None,
    ) -> None:
        """Refuses a request whose handling ended early.

        Args:
          request: The caller's request.
          responder: Sends the answer to the caller.
          reason: Why its handling ended.
          job: The request's state; None if it was not admitted.
        """
        status = _BAD_GATEWAY if job and job.sends else _UNAVAILABLE
        refusal = outcomes.Refusal(status, reason)
        await self.refuse(request, responder, refusal, job)

    async def fail(
        self,
        request: servers.Request,
        responder: servers.Responder,
        error: Exception,
        job: jobs.Job | None,
    ) -> None:
        """Ends a request after an unexpected error and records the error.

        Args:
          request: The caller's request.
          responder: Sends the answer to the caller.
          error: The error.
          job: The request's state; None if it was not admitted.
        """
        self._counters.add("direct.request_failed")
        self._log.write(
            _events.REQUEST_FAILED,
            request=self._id_of(request, job),
            target=request.target[:120],
            begun=responder.begun,
            ended=responder.ended,
            sends=job.sends if job else 0,
            runs=job.runs if job else 0,
            **errors.describe(error),
        )
        if not responder.ended:
            await self.refuse_unfinished(
                request, responder, Reason.INTERNAL_ERROR, job
            )

    def _break_off(self, job: jobs.Job, refusal: outcomes.Refusal) -> None:
        """Ends an answer that has begun, so that it counts as incomplete."""
        cause = refusal.cause or refusal.reason
        self._counters.add(f"direct.broken_off.{cause}")
        now = self._clock()
        self._log.write(
            _events.ANSWER_BROKEN_OFF,
            request=job.metadata.attempt_id,
            route=job.match.route.name,
            reason=refusal.reason.value,
            cause=cause.value,
            events=job.events,
            sends=job.sends,
            runs=job.runs,
            server=job.server_id,
            after_ms=round((now - job.request.arrived_at) * 1e3, 1),
            left_ms=round((job.deadline - now) * 1e3, 1),
            age_s=round(min(self._config_view.age_s(), 9_999.0), 3),
            **_place_fields(job),
        )
        job.responder.abort()

    def _id_of(self, request: servers.Request, job: jobs.Job | None) -> str:
        return job.metadata.attempt_id if job else self._attempt_id(request)

    def _attempt_id(self, request: servers.Request) -> str:
        """Returns the attempt id that a request names; empty if unreadable."""
        try:
            return self._codec.request_metadata(request.headers).attempt_id
        except ValueError:
            return ""

    def record_done(
        self, job: jobs.Job, outcome: str, status: int, cause: str = ""
    ) -> None:
        """Records how an admitted request ended.

        Args:
          job: The request.
          outcome: The outcome.
          status: The HTTP status; 0 if the caller got none.
          cause: How the caller's connection ended, if the caller left.
        """
        now = self._clock()
        first = job.first_event_at
        arrived = job.request.arrived_at
        self._counters.add(f"direct.done.{outcome}")
        self._histograms.add("direct.answer", now - arrived)
        self._histograms.add("direct.waited", job.waited_s)
        if first is not None:
            self._histograms.add("direct.first_event", first - arrived)
        self._log.write(
            _events.REQUEST_DONE,
            request=job.metadata.attempt_id,
            route=job.match.route.name,
            rank=str(job.rank),
            customer=job.customer_name,
            outcome=outcome,
            cause=cause,
            status=status,
            sends=job.sends,
            server=job.server_id,
            busy=round(job.utilization, 2),
            spent_ms=round(job.spent_s * 1e3),
            waited_ms=round(job.waited_s * 1e3),
            first_ms=None if first is None else round((first - arrived) * 1e3),
            total_ms=round((now - arrived) * 1e3),
            age_s=round(min(self._config_view.age_s(), 9_999.0), 3),
            **(job.send_fields(now) if cause else {}),
        )


def _suspect_fields(job: jobs.Job | None) -> dict[str, str]:
    """Returns the log fields of a request that is refused for its prompt."""
    if job is None or not job.suspect:
        return {}
    digest = part_records.digest_part(job.suspect)
    return {"suspect": job.suspect, "part": digest.hex()}


def _place_fields(job: jobs.Job | None) -> dict[str, list[str]]:
    """Returns the log field of a request that few regions may serve."""
    if job is None or job.regions is None:
        return {}
    return {"regions": sorted(job.regions)}
