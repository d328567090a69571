"""What the stand-ins themselves saw, and how callers' outcomes fit to it.

The system's word counts for nothing here: runs are written down by the backend
servers' stand-ins, outcomes by the callers, and `check` compares the two.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum


class RunEnd(enum.StrEnum):
    """How a run ended at its backend server."""

    OPEN = "open"
    FINISHED = "finished"
    CANCELLED = "cancelled"  # by an order to cancel
    DROPPED = "dropped"  # the other side closed the connection
    CRASHED = "crashed"  # the server died with it
    FAILED = "failed"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of one request at one backend server.

    Attributes:
      request_id: The request, as its header says.
      key: Its idempotency key; empty without one.
      operation: Method and path.
      server: The stand-in's name.
      started: Monotonic seconds.
      resumed: Tokens the run went on from; 0 for a run from the start.
      incarnation: How often the server had died before.
      end: How it ended.
      finished: Monotonic seconds; None while it is open.
      answer: The whole body that was sent; empty when not kept.
      version: The version it ran on.
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
    """What a caller was told in the end."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NOTHING = "nothing"  # no outcome at all


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRecord:
    """One request as its caller saw it.

    Attributes:
      request_id: The request.
      outcome: The outcome.
      key: Its idempotency key; empty without one.
      idempotent: Whether it may run more than once.
      complete: Whether an answer came with its end.
      expected: What the answer must be; None takes the ledger's answers of
        this request and key.
      answer: What came.
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
    """Request ids (keys for `doubled`) by the promise that was broken.

    Attributes:
      doubled: Non-idempotent requests or keys that ran more than once.
      lost: Requests without an outcome, or answered without any run.
      crossed: Answers that belong to another request.
      cut_off: Answers told as whole that were not.
      false_not_run: Told "not run" although a run had begun.
    """

    doubled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    crossed: tuple[str, ...] = ()
    cut_off: tuple[str, ...] = ()
    false_not_run: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no promise was broken."""
        return not any(dataclasses.astuple(self))

    def counts(self) -> dict[str, int]:
        """Returns how many requests each promise was broken for."""
        return {
            field.name: len(getattr(self, field.name))
            for field in dataclasses.fields(self)
        }


class Ledger:
    """The runs that all stand-ins of one test saw."""

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
        """Writes down that a run begins, before any of its effects."""
        run = Run(request_id, key, operation, server, now, resumed, incarnation)
        self._runs.append(run)
        self._by_request[request_id].append(run)
        if key:
            self._by_key[key].append(run)
        return run

    def finish(
        self, run: Run, end: RunEnd, now: float, answer: bytes = b""
    ) -> None:
        """Writes down how a run ended; the first end counts."""
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
        """Returns how often each server crashed with at least one run."""
        crashes = {
            (run.server, run.incarnation)
            for run in self._runs
            if run.end is RunEnd.CRASHED
        }
        return collections.Counter(server for server, _ in crashes)

    def check(self, seen: Iterable[CallerRecord]) -> Violations:
        """Compares what callers saw with what ran.

        A request that the system told honestly as unknown breaks no promise by
        itself, whether it ran or not; running twice does.
        """
        seen = list(seen)
        return Violations(
            doubled=self._find_doubled(seen),
            lost=_matching_ids(seen, self._is_lost),
            crossed=_matching_ids(seen, self._is_crossed),
            cut_off=_matching_ids(seen, _is_cut_off),
            false_not_run=_matching_ids(seen, self._is_false_not_run),
        )

    def _find_doubled(self, seen: list[CallerRecord]) -> tuple[str, ...]:
        doubled = set()
        for one in seen:
            if one.idempotent:
                continue
            runs = self._by_request.get(one.request_id, ())
            if one.key:
                runs = self._by_key.get(one.key, ())
            # A stream that goes on from its tokens is the same run.
            if sum(not run.resumed for run in runs) > 1:
                doubled.add(one.key or one.request_id)
        return tuple(sorted(doubled))

    def _runs_for(self, one: CallerRecord) -> list[Run]:
        runs = self.runs_of_request(one.request_id)
        return runs or (self.runs_of_key(one.key) if one.key else [])

    def _is_lost(self, one: CallerRecord) -> bool:
        if one.outcome is CallerOutcome.NOTHING:
            return not one.client_closed
        return one.outcome is CallerOutcome.ANSWERED and not self._runs_for(one)

    def _is_crossed(self, one: CallerRecord) -> bool:
        if one.outcome is not CallerOutcome.ANSWERED or not one.complete:
            return False
        if one.expected is not None:
            return one.answer != one.expected
        answers = {run.answer for run in self._runs_for(one) if run.answer}
        return bool(answers) and one.answer not in answers

    def _is_false_not_run(self, one: CallerRecord) -> bool:
        return one.outcome is CallerOutcome.NOT_RUN and bool(
            self.runs_of_request(one.request_id)
        )


def _is_cut_off(one: CallerRecord) -> bool:
    return one.outcome is CallerOutcome.ANSWERED and not one.complete


def _matching_ids(seen: list[CallerRecord], broken) -> tuple[str, ...]:
    return tuple(one.request_id for one in seen if broken(one))
