"""Measures requests under load and faults, by routing policy.

usage: clementinegw bench requests [--load=X] [--policy=NAME] [--json]

Sends requests of ten customers, three of them large, through entries to workers
and counts the outcomes. Guarantees are checked against the ledgers of the
workers.

--mode=virtual runs the real entries and agents over in-memory connections and
in virtual time, where only queueing affects latencies; use it to compare the
policies. --mode=loopback runs them over TCP with stand-ins for the backend
servers, in real time, where the processor of this machine matters as well.
"""

import asyncio
import dataclasses
import time
from typing import Any

from absl import flags

from clementinegw import exceptions
from clementinegw.bench import _requests_loopback
from clementinegw.bench import _requests_report
from clementinegw.bench import _requests_virtual

POLICIES = (
    "cache_aware",
    "round_robin",
    "least_in_flight",
    "power_of_two",
    "oracle",
)
FAULTS = ("crash", "drain", "stall", "poison", "logdown", "partition")


# Name, default, minimum, maximum, help text.
_INTEGERS = (
    ("entries", 8, 1, 64, "Entry instances."),
    ("workers", 12, 1, 200, "Workers of the service."),
    ("domains", 1, 1, 8, "Failure domains that both are distributed over."),
    ("seed", 1, 0, None, "Seed."),
    ("seeds", 1, 1, 100, "Runs with this and the following seeds."),
    (
        "heavy_customer",
        0,
        0,
        9,
        "Index of the heavy customer, from 0 (the largest) to 9 (small).",
    ),
    (
        "repeat",
        0,
        0,
        20,
        "Maximum retries of a request after a retryable outcome.",
    ),
)
_FLOATS = (
    ("load", 0.8, 0.01, 10.0, "Offered load; 1.0 is the workers' capacity."),
    ("seconds", 60.0, 1.0, 3600.0, "Duration of the load, in seconds."),
    (
        "heavy",
        1.0,
        0.1,
        100.0,
        "Factor on the request rate of the heavy customer.",
    ),
    ("slow", 1.0, 1.0, 100.0, "Factor on the processing times of one worker."),
)
# Seconds; in real time the default must finish in well under a minute.
_LOOPBACK_SECONDS = 20.0


def define(flag_values) -> None:
    """Defines the bench's flags."""
    for name, default, minimum, maximum, help_text in _INTEGERS:
        flags.DEFINE_integer(
            name, default, help_text, minimum, maximum, flag_values=flag_values
        )
    for name, value, minimum_value, maximum_value, help_text in _FLOATS:
        flags.DEFINE_float(
            name,
            value,
            help_text,
            minimum_value,
            maximum_value,
            flag_values=flag_values,
        )
    flags.DEFINE_enum(
        "mode",
        "virtual",
        ("virtual", "loopback"),
        "Clock and transport.",
        flag_values=flag_values,
    )
    flags.DEFINE_enum(
        "policy",
        "cache_aware",
        POLICIES,
        "Routing policy.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "hedging",
        False,
        "Send a second attempt when the first one is late.",
        flag_values=flag_values,
    )
    flags.DEFINE_list(
        "faults",
        [],
        f"Faults: {', '.join(FAULTS)}; in virtual time.",
        flag_values=flag_values,
    )


async def run(flag_values) -> dict[str, Any]:
    """Runs the bench and returns its figures."""
    unknown = sorted(set(flag_values.faults) - set(FAULTS))
    if unknown:
        raise exceptions.UsageError(
            f"--faults: expected some of {', '.join(FAULTS)},"
            f" found {unknown[0]}"
        )
    if flag_values.mode == "loopback":
        return await _run_loopback(flag_values)
    cpu_start_s = time.process_time()
    results = []
    for seed in range(flag_values.seed, flag_values.seed + flag_values.seeds):
        plan = _plan(flag_values, seed)
        # Runs in a thread with its own loop, because the loop of the command
        # runs in real time.
        results.append(await asyncio.to_thread(_requests_virtual.run, plan))
    return _requests_report.combine(results, time.process_time() - cpu_start_s)


async def _run_loopback(flag_values) -> dict[str, Any]:
    if flag_values.faults or flag_values.policy == "oracle":
        raise exceptions.UsageError(
            "--mode=loopback: expected no --faults and a policy other than"
            " oracle; those run with --mode=virtual"
        )
    plan = _plan(flag_values, flag_values.seed)
    seconds = min(plan.seconds, _LOOPBACK_SECONDS)
    plan = dataclasses.replace(plan, seconds=seconds)
    result, cpu_us = await _requests_loopback.run(plan)
    figures = _requests_report.combine([result], 0.0)
    figures["cpu_us_per_request"] = sum(cpu_us.values())
    return figures | cpu_us


def _plan(flag_values, seed: int) -> _requests_virtual.Plan:
    return _requests_virtual.Plan(
        entries=flag_values.entries,
        workers=flag_values.workers,
        domains=flag_values.domains,
        load=flag_values.load,
        policy=flag_values.policy,
        seed=seed,
        seconds=flag_values.seconds,
        faults=tuple(flag_values.faults),
        heavy=flag_values.heavy,
        heavy_customer=flag_values.heavy_customer,
        slow=flag_values.slow,
        repeat=flag_values.repeat,
        hedging=flag_values.hedging,
    )
