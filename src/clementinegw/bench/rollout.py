"""Measures a rollout: clementinegw bench rollout [--policy=swarm|origin|tree].

Rolls a version out to replicas over loopback TCP with shaped links, under live
requests, and compares the time with the fluid bound of the same links. The
policies in `--compare` run afterwards on the same links.
"""

import dataclasses
import json
import math
from typing import Any

from absl import flags

from clementinegw import exceptions
from clementinegw.bench import _rollout_report as report
from clementinegw.bench import _rollout_run as runs
from clementinegw.bench import _rollout_types as types_

# Seconds of window per replica, so that one processor is not the limit.
_WINDOW_PER_REPLICA_S = 0.3
_MIN_WINDOW_S = 10.0
_VIRTUAL_WINDOW_S = 24.0
_ORIGIN_WINDOW_S = 2.0


def define(flag_values: flags.FlagValues) -> None:
    """Defines the measurement's flags."""
    define_integer = flags.DEFINE_integer
    define_float = flags.DEFINE_float
    for name, default, text in _INTEGERS:
        define_integer(name, default, text, flag_values=flag_values)
    for name, value, text in _FLOATS:
        define_float(name, value, text, flag_values=flag_values)
    flags.DEFINE_enum_class(
        "policy",
        types_.Policy.SWARM,
        types_.Policy,
        "How chunks are distributed to the replicas.",
        flag_values=flag_values,
    )
    flags.DEFINE_list(
        "faults",
        [],
        "Faults to inject: die,stall,corrupt,change,partition.",
        flag_values=flag_values,
    )
    flags.DEFINE_list(
        "compare",
        [],
        "Policies that run afterwards with the same seed and links.",
        flag_values=flag_values,
    )
    flags.DEFINE_enum(
        "clock",
        "virtual",
        ["real", "virtual"],
        "Real time, or time that jumps while nothing is ready: then the "
        "processor is never the limit.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "shared_directions",
        False,
        "Both directions of a machine share its link.",
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        "limits",
        "{}",
        "JSON object of swarm limits that replace the measurement's.",
        flag_values=flag_values,
    )


_INTEGERS = (
    ("replicas", 32, "Replicas that a version is rolled out to."),
    ("domains", 4, "Failure domains that the replicas are spread over."),
    ("chunks", 64, "Chunks of a version."),
    ("chunk_bytes", 32768, "The size of a chunk in bytes."),
    ("parts", 16, "Parts that a chunk is sent in."),
    ("seed", 1, "The seed of every random choice."),
)
_FLOATS = (
    (
        "window_s",
        0.0,
        "Seconds in which the origin's link carries --origin_link copies and "
        "a machine's --machine_link; 0 chooses by the number of replicas.",
    ),
    ("origin_link", 4.0, "Copies that the origin's link carries per window."),
    ("machine_link", 2.0, "Copies that a machine's link carries per window."),
    ("headroom", 0.0, "The share of a link that transfers leave unused."),
    ("live_share", 0.01, "The share of a link that live requests use."),
    ("live_per_s", 4.0, "Live requests per second to each replica."),
    ("warm_up_s", 4.0, "Seconds of live requests before the rollout."),
    ("timeout_bounds", 40.0, "Give up after this many fluid bounds."),
)


async def run(flag_values: Any) -> dict[str, Any]:
    """Runs the measurement.

    Args:
      flag_values: The parsed flags.

    Returns:
      The fields of the JSON line.
    """
    plan = make_plan(flag_values)
    virtual = flag_values.clock == "virtual"
    result = report.report(await runs.run(plan, virtual))
    result["clock"] = flag_values.clock
    for name in flag_values.compare:
        policy = _parse_enum(types_.Policy, name)
        other = dataclasses.replace(plan, policy=policy, faults=frozenset())
        baseline = report.report(await runs.run(other, virtual))
        result[policy.value] = baseline
        ratio = _ratio(baseline["seconds_to_all"], result["seconds_to_all"])
        result[f"times_faster_than_{policy.value}"] = ratio
    return result


def make_plan(values: Any) -> types_.Plan:
    """Returns the plan that the flags describe.

    Raises:
      exceptions.UsageError: A flag has an invalid value.
    """
    for name in ("replicas", "domains", "chunks", "chunk_bytes", "parts"):
        if getattr(values, name) < 1:
            raise exceptions.UsageError(f"--{name}: expected at least 1")
    faults = frozenset(
        _parse_enum(types_.Fault, name) for name in values.faults
    )
    plan = types_.Plan(
        policy=values.policy,
        replicas=values.replicas,
        domains=values.domains,
        chunks=values.chunks,
        chunk_bytes=values.chunk_bytes,
        parts=values.parts,
        window_s=values.window_s or _default_window_s(values),
        origin_copies=values.origin_link,
        link_copies=values.machine_link,
        shared=values.shared_directions,
        headroom=values.headroom,
        live_share=values.live_share,
        live_per_s=values.live_per_s,
        warm_up_s=values.warm_up_s,
        faults=faults,
        seed=values.seed,
        timeout_s=math.inf,
        swarm_overrides=_parse_overrides(values.limits),
    )
    timeout_s = values.timeout_bounds * plan.bound_s
    return dataclasses.replace(plan, timeout_s=timeout_s)


def _default_window_s(values: Any) -> float:
    if values.clock == "virtual":
        return _VIRTUAL_WINDOW_S
    if values.policy is types_.Policy.ORIGIN:
        return _ORIGIN_WINDOW_S
    return max(_MIN_WINDOW_S, _WINDOW_PER_REPLICA_S * values.replicas)


def _parse_overrides(text: str) -> dict[str, Any]:
    try:
        overrides = json.loads(text)
    except ValueError as error:
        raise exceptions.UsageError(f"--limits: {error}") from error
    if not isinstance(overrides, dict):
        raise exceptions.UsageError("--limits: expected a JSON object")
    return overrides


def _parse_enum(kind: Any, name: str) -> Any:
    try:
        return kind(name)
    except ValueError as error:
        known = ", ".join(kind)
        raise exceptions.UsageError(
            f"no {kind.__name__.lower()} {name!r}; there are {known}"
        ) from error


def _ratio(one: float | None, other: float | None) -> float | None:
    if one is None or other is None:
        return None
    return round(one / other, 2)
