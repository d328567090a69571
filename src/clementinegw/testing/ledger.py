"""Records of actual runs, compared with the outcomes that callers received.

Nothing that the system under test reports is used: the backend servers'
stand-ins record the runs, the callers record the outcomes, and `Ledger.check`
compares the two.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum


class RunEnd(enum.StrEnum):
    """How a run ended at its backend server."""

    OPEN = "open"
    FINISHED = "finished"
    CANCELLED = "cancelled"  # by a cancel request
    DROPPED = "dropped"  # the client closed the connection
    CRASHED = "crashed"  # the server crashed during the run
    FAILED = "failed"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of one request at one backend server.

    Attributes:
      request_id: The request ID from the header.
      key: Its idempotency key; empty when it has none.
      operation: Method and path.
      server: The stand-in's name.
      started: Start time, in monotonic seconds.
      resumed: Tokens that the run continued from; 0 for a run from the start.
      incarnation: How often the server had crashed before.
      end: How it ended.
      finished: End time, in monotonic seconds; None while it is open.
      answer: The complete body that was sent; empty when not recorded.
      version: The version that the run used.
    """

    request_id: str
    key: str
    operation: str
    server: str
    started: float
    resumed: int = 0
    incarnation: int = 0
    end: RunEnd = RunEnd.OPEN
    finished: float | None = None
    answer: bytes = b""
    version: str = ""


class CallerOutcome(enum.StrEnum):
    """The final outcome that a caller received."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NOTHING = "nothing"  # no outcome at all


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRecord:
    """One request as observed by its caller.

    Attributes:
      request_id: The request ID.
      outcome: The outcome that the caller received.
      key: Its idempotency key; empty when it has none.
      idempotent: Whether it may run more than once.
      complete: Whether an answer was received to its end.
      expected: The expected answer; None compares with the ledger's answers
        of this request and key.
      answer: The received answer.
      client_closed: The caller closed the connection itself.
    """

    request_id: str
    outcome: CallerOutcome
    key: str = ""
    idempotent: bool = True
    complete: bool = True
    expected: bytes | None = None
    answer: bytes = b""
    client_closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Violations:
    """Request IDs (keys for `doubled`) by the guarantee that was violated.

    Attributes:
      doubled: Non-idempotent requests or keys that ran more than once.
      lost: Requests without an outcome, or answered without any run.
      crossed: Answers that belong to another request.
      cut_off: Answers reported as complete that were truncated.
      false_not_run: Requests reported as not run although a run had begun.
    """

    doubled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    crossed: tuple[str, ...] = ()
    cut_off: tuple[str, ...] = ()
    false_not_run: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no guarantee was violated."""
        return not any(dataclasses.astuple(self))

    def counts(self) -> dict[str, int]:
        """Returns the number of violations of each guarantee."""
        return {
            field.name: len(getattr(self, field.name))
            for field in dataclasses.fields(self)
        }


class Ledger:
    """The runs recorded by all stand-ins of one test."""

    def __init__(self) -> None:
        self._runs: list[Run] = []
        self._by_request: dict[str, list[Run]] = collections.defaultdict(list)
        self._by_key: dict[str, list[Run]] = collections.defaultdict(list)

    @property
    def runs(self) -> list[Run]:
        """All runs in the order in which they began."""
        return self._runs

    def start(
        self,
        request_id: str,
        key: str,
        operation: str,
        server: str,
        now: float,
        resumed: int = 0,
        incarnation: int = 0,
    ) -> Run:
        """Records the start of a run, before any of its effects."""
        run = Run(request_id, key, operation, server, now, resumed, incarnation)
        self._runs.append(run)
        self._by_request[request_id].append(run)
        if key:
            self._by_key[key].append(run)
        return run

    def finish(
        self, run: Run, end: RunEnd, now: float, answer: bytes = b""
    ) -> None:
        """Records how a run ended; only the first call has an effect."""
        if run.end is not RunEnd.OPEN:
            return
        run.end = end
        run.finished = now
        run.answer = answer

    def runs_of_request(self, request_id: str) -> list[Run]:
        """Returns the runs of a request."""
        return list(self._by_request.get(request_id, ()))

    def runs_of_key(self, key: str) -> list[Run]:
        """Returns the runs under an idempotency key."""
        return list(self._by_key.get(key, ()))

    def crashed_servers(self) -> collections.Counter[str]:
        """Returns how often each server crashed during at least one run."""
        crashes = {
            (run.server, run.incarnation)
            for run in self._runs
            if run.end is RunEnd.CRASHED
        }
        return collections.Counter(server for server, _ in crashes)

    def check(self, records: Iterable[CallerRecord]) -> Violations:
        """Returns the violations found by comparing callers' records with runs.

        An outcome of unknown is no violation by itself, whether the request
        ran or not; running a non-idempotent request twice is one.
        """
        records = list(records)
        return Violations(
            doubled=self._find_doubled(records),
            lost=_matching_ids(records, self._is_lost),
            crossed=_matching_ids(records, self._is_crossed),
            cut_off=_matching_ids(records, _is_cut_off),
            false_not_run=_matching_ids(records, self._is_false_not_run),
        )

    def _find_doubled(self, records: list[CallerRecord]) -> tuple[str, ...]:
        doubled = set()
        for record in records:
            if record.idempotent:
                continue
            runs = self._by_request.get(record.request_id, ())
            if record.key:
                runs = self._by_key.get(record.key, ())
            # A stream that resumes from its tokens counts as the same run.
            if sum(not run.resumed for run in runs) > 1:
                doubled.add(record.key or record.request_id)
        return tuple(sorted(doubled))

    def _runs_for(self, record: CallerRecord) -> list[Run]:
        runs = self.runs_of_request(record.request_id)
        return runs or (self.runs_of_key(record.key) if record.key else [])

    def _is_lost(self, record: CallerRecord) -> bool:
        if record.outcome is CallerOutcome.NOTHING:
            return not record.client_closed
        return record.outcome is CallerOutcome.ANSWERED and not self._runs_for(
            record
        )

    def _is_crossed(self, record: CallerRecord) -> bool:
        if record.outcome is not CallerOutcome.ANSWERED or not record.complete:
            return False
        if record.expected is not None:
            return record.answer != record.expected
        answers = {run.answer for run in self._runs_for(record) if run.answer}
        return bool(answers) and record.answer not in answers

    def _is_false_not_run(self, record: CallerRecord) -> bool:
        return record.outcome is CallerOutcome.NOT_RUN and bool(
            self.runs_of_request(record.request_id)
        )


def _is_cut_off(record: CallerRecord) -> bool:
    return record.outcome is CallerOutcome.ANSWERED and not record.complete


def _matching_ids(records: list[CallerRecord], is_violation) -> tuple[str, ...]:
    return tuple(
        record.request_id for record in records if is_violation(record)
    )
