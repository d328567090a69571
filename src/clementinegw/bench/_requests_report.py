"""From what callers, ledgers and counters saw to the keys of the bench."""

import collections
import dataclasses
from typing import Any

from clementinegw import types
from clementinegw.bench import _requests_load
from clementinegw.telemetry import counters as counters_lib
from clementinegw.testing import ledger as ledger_lib

_MS = 1000.0
_PROMISES = ("false_not_run", "doubled", "lost", "crossed", "cut_off")


@dataclasses.dataclass(slots=True)
class Result:
    """One run.

    Attributes:
      policy: The routing policy.
      offered: Requests that were sent in the measured time.
      answered: Of these, answered.
      in_time: Of these, answered before the deadline.
      capacity: Requests that the workers could have answered.
      seconds: Latencies of all that were answered.
      seconds_high: Latencies of high priority.
      seconds_others: Latencies of all customers but the heavy one.
      not_run: Not run, by reason.
      not_run_others: Not run, of all customers but the heavy one.
      unknown: Outcomes that could not be known.
      verdict: Promises broken, by the ledgers.
      hit_rate: Part of the prompt blocks that were found in a cache.
      counters: The entries' and agents' counters.
      sent: All requests, the warm-up included.
      not_run_seconds: The longest time to a refusal.
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
    callers: _requests_load.Callers,
    world,
    began: float,
) -> Result:
    """Returns the figures of one run in virtual time."""
    start = began + traffic.warm_up_s
    asked = sum(a.backend.asked_blocks for a in world.agents)
    hits = sum(a.backend.hit_blocks for a in world.agents)
    return result(
        plan.policy,
        [s for s in callers.samples if s.at >= start],
        callers.samples,
        traffic.deadline_s,
        traffic.rate / plan.load * (traffic.seconds - traffic.warm_up_s),
        plan.heavy_customer,
        world.ledger,
        [part.counters for part in (*world.entries, *world.agents)],
        hits / max(1, asked),
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
      samples: What callers saw in the measured time.
      all_samples: What they saw at all; promises are judged by it.
      deadline_s: What callers waited.
      capacity: Requests that the workers could have answered.
      heavy: The customer that may send more than its share.
      ledger: What the workers wrote down.
      counters: Of all entries and agents.
      hit_rate: Part of the prompt blocks that were found in a cache.
    """
    answered = [s for s in samples if isinstance(s.outcome, types.Answered)]
    refused = [s for s in samples if isinstance(s.outcome, types.NotRun)]
    summed: collections.Counter = collections.Counter()
    for one in counters:
        summed.update(one.snapshot())
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
        not_run=_requests_load.reasons(samples),
        not_run_others=sum(s.customer != heavy for s in refused),
        unknown=sum(isinstance(s.outcome, types.Unknown) for s in samples),
        verdict=ledger.check(s.seen for s in all_samples).counts(),
        hit_rate=hit_rate,
        counters=summed,
        sent=len(all_samples),
        not_run_seconds=max([s.call_seconds for s in refused], default=0.0),
    )


def combine(results: list[Result], cpu_s: float) -> dict[str, Any]:
    """Returns the bench's keys for one or several runs."""

    def joined(name: str) -> list[float]:
        found = [getattr(r, name) for r in results]
        if isinstance(found[0], float):
            return found
        return [value for values in found for value in values]

    def total(name: str) -> float:
        return sum(getattr(r, name) for r in results)

    def summed(name: str) -> dict[str, int]:
        counter: collections.Counter = collections.Counter()
        for result in results:
            counter.update(getattr(result, name))
        return dict(sorted(counter.items()))

    def ms(name: str, share: float) -> float:
        value = _requests_load.percentile(joined(name), share)
        return round(value * _MS, 1)

    verdict = summed("verdict")
    counted = summed("counters")
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
        **{name: verdict[name] for name in _PROMISES},
        "prefix_hit_rate": round(total("hit_rate") / len(results), 3),
        "cpu_us_per_request": round(cpu_s * 1e6 / max(1, total("sent"))),
        "counters": {n: int(v) for n, v in counted.items() if v},
    }
