"""`clementinegw demo`: runs a whole deployment with embedded stand-ins."""

import functools
import json
import pathlib

from absl import flags

from clementinegw import exceptions
from clementinegw.demo import run as demo_lib
from clementinegw.testing import sizes

NAME = "demo"
HELP = """usage: clementinegw demo [--weights=PATH] [--stay]

Starts a whole deployment on the loopback interface, publishes a model version,
serves requests, declares the next version under load, waits until every replica
serves it, and checks each answer. Exit code 5 if a check failed."""

_CHECK_FAILED_EXIT_CODE = exceptions.CheckFailed.exit_code


def define(flag_values) -> None:
    """Defines the command's flags."""
    flags.DEFINE_string(
        "weights",
        None,
        "A file or directory to roll out as the new version.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "stay", False, "Keep it running afterwards.", flag_values=flag_values
    )
    flags.DEFINE_enum(
        "size",
        "cooperative",
        sorted(sizes.SIZES),
        "Which deployment to run.",
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "callers",
        24,
        "Number of concurrent callers.",
        lower_bound=1,
        upper_bound=512,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "seed", 1, "Seed of the request mix.", flag_values=flag_values
    )


async def run(args: list[str], flag_values) -> int:
    """Runs the demo and prints its progress and results."""
    if args:
        raise exceptions.UsageError(f"demo: unexpected {args[0]!r}")
    weights = None
    if flag_values.weights is not None:
        weights = pathlib.Path(flag_values.weights)
    plan = demo_lib.Plan(
        size=sizes.SIZES[flag_values.size],
        weights=weights,
        callers=flag_values.callers,
        seed=flag_values.seed,
    )
    # Flushed, so that a reader of a pipe sees each line at once.
    print_line = functools.partial(print, flush=True)
    demo = demo_lib.Demo(plan, print_line)
    try:
        result = await demo.run()
        if flag_values.json:
            print_line(json.dumps(result))
        if flag_values.stay:
            await demo_lib.stay(demo, print_line)
    finally:
        await demo.stop()
    return _CHECK_FAILED_EXIT_CODE if result["checks_failed"] else 0
