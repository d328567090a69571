"""Measures settings: clementinegw bench settings [--faults=logdown,...].

Members follow a log stand-in while operators change settings, first at random
intervals and then in a concurrent burst. Without --virtual all members run in
this process over loopback TCP and share one processor core. With --virtual they
run in virtual time, with assumed delays of the network and the log.
"""

import asyncio
import time
from typing import Any

from absl import flags

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types
from clementinegw.bench import _settings_checker as checkers
from clementinegw.bench import _settings_faults as faults
from clementinegw.bench import _settings_hosts as hosts
from clementinegw.bench import _settings_run as runs
from clementinegw.bench import coordinator as coordinators
from clementinegw.testing import clock as virtual

_INTEGERS = (
    ("processes", 300, "Members that follow the settings."),
    ("domains", 4, "Failure domains that they are distributed over."),
    ("changes", 40, "Changes before the burst."),
    ("burst", 50, "Concurrent changes after those."),
    ("operators", 10, "Concurrent operators."),
    ("relays", 3, "Members per failure domain that follow the log; 0 for all."),
    ("seed", 1, "Seed of all random choices."),
    (
        "hosts",
        0,
        "Host processes that members are distributed over; 0 for none.",
    ),
    (
        "desk_port",
        7700,
        "Port that host processes connect to; see `bench host`.",
    ),
    (
        "seeds",
        1,
        "Runs, each with the next seed; the worst values are reported.",
    ),
)
_FLOATS = (
    ("interval_s", 0.25, "Mean seconds between two changes."),
    ("fault_s", 15.0, "Mean seconds of an outage or partition."),
)


def define(flag_values: flags.FlagValues) -> None:
    """Defines the flags of the bench."""
    for name, default, text in _INTEGERS:
        flags.DEFINE_integer(
            name, default, text, lower_bound=0, flag_values=flag_values
        )
    for name, value, text in _FLOATS:
        flags.DEFINE_float(
            name, value, text, lower_bound=0.001, flag_values=flag_values
        )
    flags.DEFINE_list(
        "faults",
        [],
        "Faults: logdown,lostack,truncate,partition,restart.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "virtual",
        False,
        "Run in virtual time, without sockets.",
        flag_values=flag_values,
    )


def _plan(values: Any, seed: int) -> runs.Plan:
    known = {fault.value: fault for fault in faults.Fault}
    for name in values.faults:
        if name not in known:
            raise exceptions.UsageError(
                f"--faults: expected {', '.join(known)}, found {name!r}"
            )
    if min(values.processes, values.domains, values.operators) < 1:
        raise exceptions.UsageError(
            "bench settings: expected at least one process, domain, operator"
        )
    return runs.Plan(
        values.processes,
        values.domains,
        values.changes,
        values.burst,
        values.operators,
        values.interval_s,
        values.relays,
        seed,
        frozenset(known[name] for name in values.faults),
        values.fault_s,
        values.virtual,
    )


async def run(flag_values: Any) -> dict[str, Any]:
    """Runs the bench and returns its figures.

    Returns:
      The printed keys of `bench settings`. With several seeds, counts are
      summed and the worst of the other values is taken.
    """
    results = []
    for seed in range(flag_values.seed, flag_values.seed + flag_values.seeds):
        plan = _plan(flag_values, seed)
        if plan.virtual:
            results.append(await asyncio.to_thread(_run_virtual, plan))
        else:
            count = 0 if plan.kinds else flag_values.hosts
            port = flag_values.desk_port
            results.append(await _run(plan, clocks.SystemClock(), count, port))
    return _combine(results)


def _run_virtual(plan: runs.Plan) -> dict[str, Any]:
    clock = virtual.VirtualClock()
    return virtual.run(_run(plan, clock), clock)


async def _run(
    plan: runs.Plan, clock: clocks.Clock, count: int = 0, desk_port: int = 0
) -> dict[str, Any]:
    cpu_start_s = time.process_time()
    coordinator = None
    bench_run = runs.Run(plan, clock)
    if count:
        coordinator = coordinators.Coordinator(
            types.Address("127.0.0.1", desk_port)
        )
        bench_run = hosts.HostedRun(plan, clock, count, coordinator)
    verdict = await bench_run.execute()
    if coordinator is not None:
        coordinator.close()
    cpu_s = time.process_time() - cpu_start_s
    if isinstance(bench_run, hosts.HostedRun):
        cpu_s = bench_run.cpu_s
    quantile = checkers.quantile
    appends = bench_run.usage.appends
    return {
        "processes": plan.processes,
        "hosts": count,
        "virtual": plan.virtual,
        "relays": plan.relays,
        "accepted": bench_run.change_counts.accepted,
        "rejected": bench_run.change_counts.rejected,
        "unknown": bench_run.change_counts.unknown,
        "unpublished": bench_run.change_counts.unpublished,
        "p50_in_force_s": round(quantile(verdict.in_force_s, 0.5), 4),
        "p99_in_force_s": round(quantile(verdict.in_force_s, 0.99), 4),
        "max_in_force_s": round(max(verdict.in_force_s, default=0.0), 4),
        "max_with_outages_s": round(
            max(verdict.raw_in_force_s, default=0.0), 4
        ),
        "reverted": verdict.reverted,
        "diverged": verdict.diverged,
        "missing": verdict.missing,
        "lost_by_log": verdict.lost_by_log,
        "log_appends": sum(appends.values()),
        "log_appends_per_s_peak": max(appends.values(), default=0),
        "log_reads_per_s": round(
            bench_run.usage.reads / bench_run.measured_s, 2
        ),
        "log_polls_peak": bench_run.usage.most_polls,
        "cpu_s": round(cpu_s, 2),
        "measured_s": round(bench_run.measured_s, 2),
    }


_SUMMED = frozenset(
    {
        "accepted",
        "rejected",
        "unknown",
        "unpublished",
        "reverted",
        "diverged",
        "missing",
        "lost_by_log",
        "log_appends",
        "cpu_s",
    }
)


def _combine(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the sums of the counts and the maximum of the other values."""
    combined = dict(results[0])
    for row in results[1:]:
        for key, value in row.items():
            if key in _SUMMED:
                combined[key] = round(combined[key] + value, 2)
            else:
                combined[key] = max(combined[key], value)
    return {"seeds": len(results), **combined}
