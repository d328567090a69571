"""Aggregates samples, ledgers and counters into the figures of the bench."""

import collections
import dataclasses
from typing import Any

from clementinegw import types
from clementinegw.bench import _requests_load
from clementinegw.telemetry import counters as counters_lib
from clementinegw.testing import ledger as ledger_lib

_MS = 1000.0
_GUARANTEES = ("false_not_run", "doubled", "lost", "crossed", "cut_off")


@dataclasses.dataclass(slots=True)
class Result:
    """The figures of one run.

    Attributes:
      policy: The routing policy.
      offered: Requests that were sent in the measured period.
      answered: Offered requests that were answered.
      in_time: Offered requests that were answered before the deadline.
      capacity: Requests that the workers could answer in that period.
      seconds: Latencies of all answered requests, in seconds.
      seconds_high: Latencies of those with high priority.
      seconds_others: Latencies of all customers except the heavy one.
      not_run: Requests that were not run, by reason.
      not_run_others: Requests that were not run, of all customers except
        the heavy one.
      unknown: Requests with an unknown outcome.
      verdict: Violations of each guarantee, according to the ledger.
      hit_rate: Fraction of the prompt blocks that were cached.
      counters: Sums of the counters of entries and agents.
      sent: All requests, including the warm-up.
      not_run_seconds: Maximum time to an outcome "not run", in seconds.
    """

    policy: str
    offered: int
    answered: int
    in_time: int
    capacity: float
    seconds: list[float]
    seconds_high: list[float]
    seconds_others: list[float]
    not_run: dict[str, int]
    not_run_others: int
    unknown: int
    verdict: dict[str, int]
    hit_rate: float
    counters: collections.Counter
    sent: int
    not_run_seconds: float


def measure(
    plan,
    traffic: _requests_load.Traffic,
    generator: _requests_load.LoadGenerator,
    cluster,
    began: float,
) -> Result:
    """Returns the figures of one run in virtual time."""
    start = began + traffic.warm_up_s
    requested = sum(a.backend.requested_blocks for a in cluster.agents)
    hits = sum(a.backend.hit_blocks for a in cluster.agents)
    return result(
        plan.policy,
        [s for s in generator.samples if s.at >= start],
        generator.samples,
        traffic.deadline_s,
        traffic.rate / plan.load * (traffic.seconds - traffic.warm_up_s),
        plan.heavy_customer,
        cluster.ledger,
        [part.counters for part in (*cluster.entries, *cluster.agents)],
        hits / max(1, requested),
    )


def result(
    policy: str,
    samples: list[_requests_load.Sample],
    all_samples: list[_requests_load.Sample],
    deadline_s: float,
    capacity: float,
    heavy: int,
    ledger: ledger_lib.Ledger,
    counters: list[counters_lib.Counters],
    hit_rate: float,
) -> Result:
    """Returns the figures of one run.

    Args:
      policy: The routing policy.
      samples: The samples of the measured period.
      all_samples: All samples; the guarantees are checked against them.
      deadline_s: Deadline of the requests, in seconds.
      capacity: Requests that the workers could answer in that period.
      heavy: Index of the heavy customer.
      ledger: The runs that the backend servers recorded.
      counters: The counters of all entries and agents.
      hit_rate: Fraction of the prompt blocks that were cached.
    """
    answered = [s for s in samples if isinstance(s.outcome, types.Answered)]
    refused = [s for s in samples if isinstance(s.outcome, types.NotRun)]
    summed: collections.Counter = collections.Counter()
    for source in counters:
        summed.update(source.snapshot())
    return Result(
        policy=policy,
        offered=len(samples),
        answered=len(answered),
        in_time=sum(s.seconds <= deadline_s for s in answered),
        capacity=capacity,
        seconds=[s.seconds for s in answered],
        seconds_high=[
            s.seconds for s in answered if s.priority is types.Priority.HIGH
        ],
        seconds_others=[s.seconds for s in answered if s.customer != heavy],
        not_run=_requests_load.count_reasons(samples),
        not_run_others=sum(s.customer != heavy for s in refused),
        unknown=sum(isinstance(s.outcome, types.Unknown) for s in samples),
        verdict=ledger.check(s.seen for s in all_samples).counts(),
        hit_rate=hit_rate,
        counters=summed,
        sent=len(all_samples),
        not_run_seconds=max([s.call_s for s in refused], default=0.0),
    )


def combine(results: list[Result], cpu_s: float) -> dict[str, Any]:
    """Returns the printed figures for one or more runs."""

    def concatenated(name: str) -> list[float]:
        per_run = [getattr(r, name) for r in results]
        if isinstance(per_run[0], float):
            return per_run
        return [value for values in per_run for value in values]

    def total(name: str) -> float:
        return sum(getattr(r, name) for r in results)

    def summed(name: str) -> dict[str, int]:
        counter: collections.Counter = collections.Counter()
        for result in results:
            counter.update(getattr(result, name))
        return dict(sorted(counter.items()))

    def ms(name: str, share: float) -> float:
        value = _requests_load.percentile(concatenated(name), share)
        return round(value * _MS, 1)

    verdict = summed("verdict")
    counter_totals = summed("counters")
    return {
        "policy": results[0].policy,
        "offered": total("offered"),
        "answered": total("answered"),
        "goodput_ratio": round(total("in_time") / total("capacity"), 3),
        "p50_ms": ms("seconds", 0.5),
        "p99_ms": ms("seconds", 0.99),
        "p99_high_ms": ms("seconds_high", 0.99),
        "p99_others_ms": ms("seconds_others", 0.99),
        "not_run_by_reason": summed("not_run"),
        "not_run_others": total("not_run_others"),
        "not_run_max_ms": ms("not_run_seconds", 1.0),
        "unknown": total("unknown"),
        **{name: verdict[name] for name in _GUARANTEES},
        "prefix_hit_rate": round(total("hit_rate") / len(results), 3),
        "cpu_us_per_request": round(cpu_s * 1e6 / max(1, total("sent"))),
        "counters": {n: int(v) for n, v in counter_totals.items() if v},
    }
