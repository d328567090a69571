"""Computes the figures of one rollout."""

from typing import Any

from clementinegw.bench import _rollout_node as nodes
from clementinegw.bench import _rollout_run as runs
from clementinegw.weights import transfer

_P95_SHARE = 0.95
_COUNTERS = (
    "weights.ask",
    "weights.draw",
    "weights.draw_failed",
    "weights.cancelled.stalled",
    "weights.cancelled.other_was_faster",
    "weights.cancelled.abandoned",
    "weights.cancelled.peer_gone",
    "weights.cancelled.peer_aside",
    "weights.corrupt",
    "weights.refused.busy",
    "weights.put_aside.corrupt",
    "weights.put_aside.stalled",
)


def report(result: runs.Result) -> dict[str, Any]:
    """Returns the fields of the JSON line."""
    plan = result.plan
    live = result.live
    serve_times = sorted(
        node.served_at[result.digest] - result.started_at
        for node in live
        if result.digest in node.served_at
    )
    to_all = serve_times[-1] if len(serve_times) == len(live) and live else None
    elapsed_s = result.ended_at - result.started_at
    return {
        "policy": plan.policy.value,
        "replicas": plan.replicas,
        "seconds_to_half": _time_at_share(serve_times, len(live), 0.5),
        "seconds_to_95": _time_at_share(serve_times, len(live), _P95_SHARE),
        "seconds_to_all": _rounded(to_all),
        "bound_seconds": _rounded(plan.bound_s),
        "ratio_to_bound": _rounded(to_all and to_all / plan.bound_s),
        "origin_copies": _copies(result, result.origin_bytes),
        "max_sent_copies": _copies(
            result, max(node.chunk_link.sent for node in result.machines)
        ),
        "cross_domain_copies": _copies(
            result, sum(_imported(node) for node in result.machines)
        ),
        "mixed_serves": _mixed_serves(result),
        "live_replicas": len(live),
        "serving_newest": len(serve_times),
        **_heal_figures(result),
        **_latencies(result),
        "cpu_share": _rounded(result.cpu_s / elapsed_s),
        "window_s": plan.window_s,
        "seed": plan.seed,
        "faults": sorted(plan.faults),
        "events": result.events,
        "counters": _counters(result.machines),
    }


def _heal_figures(result: runs.Result) -> dict[str, Any]:
    if result.healed_at is None:
        return {}
    bytes_after_heal = result.origin_bytes - result.origin_bytes_at_heal
    return {
        "seconds_after_heal": _rounded(result.ended_at - result.healed_at),
        "origin_copies_after_heal": _copies(result, bytes_after_heal),
    }


def _time_at_share(
    serve_times: list[float], count: int, share: float
) -> float | None:
    position = max(1, round(share * count)) - 1
    return (
        _rounded(serve_times[position]) if position < len(serve_times) else None
    )


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)


def _copies(result: runs.Result, count: int) -> float:
    return round(count / result.plan.total_bytes, 3)


def _imported(node: nodes.Node) -> int:
    if isinstance(node.fetcher, transfer.Transfer):
        return node.fetcher.counters.value("weights.cross_domain_bytes")
    return node.imported_bytes


def _mixed_serves(result: runs.Result) -> int:
    return sum(
        count
        for node in result.machines
        if node.load_generator is not None
        for content, count in node.load_generator.counts_by_content.items()
        if content not in result.contents
    )


def _latencies(result: runs.Result) -> dict[str, Any]:
    before: list[float] = []
    during: list[float] = []
    answered = refused = 0
    for node in result.machines:
        if node.load_generator is None:
            continue
        refused += node.load_generator.refused
        for started_at, latency_s in node.load_generator.latencies:
            answered += 1
            (before if started_at < result.started_at else during).append(
                latency_s
            )
    p99_before, p99_during = _p99(before), _p99(during)
    return {
        "live_answers": answered,
        "live_refused": refused,
        "live_p99_ms_without": _rounded(p99_before and 1000 * p99_before),
        "live_p99_ms_during": _rounded(p99_during and 1000 * p99_during),
        "live_p99_ratio": _rounded(
            p99_during / p99_before if p99_before and p99_during else None
        ),
    }


def _p99(values: list[float]) -> float | None:
    if not values:
        return None
    return sorted(values)[int(0.99 * (len(values) - 1))]


def _counters(machines: list[nodes.Node]) -> dict[str, int]:
    total = dict.fromkeys(_COUNTERS, 0)
    for node in machines:
        if isinstance(node.fetcher, transfer.Transfer):
            for name in _COUNTERS:
                total[name] += node.fetcher.counters.value(name)
    return total
