"""State of one request in the pipeline."""

import dataclasses

from clementinegw import types
from clementinegw.requests import dispatcher as dispatcher_lib
from clementinegw.requests import fair_queue
from clementinegw.requests import route
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import send
from clementinegw.requests import stream
from clementinegw.requests import types as request_types

Request = request_types.Request


class RequestState:
    """The state of one request in the pipeline.

    Attributes:
      request: The request.
      rules: The settings that apply to it.
      dispatcher: Assigns requests of its service to workers.
      answer: Collects the answer.
      attempt: The number of attempts sent so far.
      alone: Whether the next attempt must be the only request at its agent.
      claim_offset: The fencing number of its claim; 0 without one.
      tokens: The largest number of tokens that an attempt reported.
      avoid: Names of the workers where an attempt failed.
    """

    def __init__(
        self,
        request: Request,
        rules: rules_lib.Rules,
        dispatcher: dispatcher_lib.Dispatcher,
        ticket: fair_queue.Ticket,
        answer: stream.AnswerCollector,
    ):
        self.request = request
        self.rules = rules
        self.dispatcher = dispatcher
        self.answer = answer
        self.attempt = 0
        self.alone = False
        self.claim_offset = 0
        self.tokens = 0
        self.avoid: set[str] = set()
        self._ticket = ticket
        self._unknown_outcome: types.Unknown | None = None

    @property
    def retryable(self) -> bool:
        """Whether it may be sent to a worker again.

        If the caller has received the start of a stream, another attempt must
        resume it at the engine; otherwise the two parts would not match.
        """
        if not self.request.idempotent:
            return False
        return not self.answer.begun or self.answer.resumable

    @property
    def may_hedge(self) -> bool:
        """Whether a second attempt may run while the first one is late."""
        return (
            self.rules.hedging
            and self.request.idempotent
            and not self.request.stream
            and not self.alone
            and self.attempt == 0
        )

    def make_job(self) -> dispatcher_lib.Job:
        """Returns the job for the next attempt."""
        return dispatcher_lib.Job(
            self.request.request_id, self._ticket, self._query()
        )

    def make_hedge_job(self, first_worker: str) -> dispatcher_lib.Job:
        """Returns the job for a second attempt while the first one is late.

        Args:
          first_worker: The name of the worker of the first attempt.
        """
        query = self._query()
        query.avoid |= {first_worker}
        ticket = dataclasses.replace(self._ticket, waiting=False, skipped=0)
        return dispatcher_lib.Job(f"{self.request.request_id}#", ticket, query)

    def attempt_options(self) -> send.AttemptOptions:
        """Returns the options for the current attempt."""
        return send.AttemptOptions(
            attempt=self.attempt,
            revision=self.rules.revision,
            claim_offset=self.claim_offset,
            alone=self.alone,
            max_silence_s=self.rules.attempt_timeout_s,
        )

    def record_outcome(self, outcome: types.Outcome) -> None:
        """Records an outcome that a later one must not replace."""
        if isinstance(outcome, types.Unknown):
            self._unknown_outcome = outcome

    def combined_outcome(self, outcome: types.Outcome) -> types.Outcome:
        """Returns the outcome of all attempts, given that of the last one.

        An earlier attempt may have run even if the last one certainly did not.
        "Not run" would then be wrong for the request as a whole.
        """
        if (
            isinstance(outcome, types.NotRun)
            and self._unknown_outcome is not None
        ):
            return self._unknown_outcome
        return outcome

    def _query(self) -> route.RoutingQuery:
        return route.RoutingQuery(
            prefixes=self.request.prefixes,
            version=self.answer.version,
            avoid=frozenset(self.avoid),
            idempotent=self.request.idempotent,
            urgent=self.answer.begun,
        )
