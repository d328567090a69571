"""`clementinegw scenario run FILE...`: runs scripted scenarios."""

import asyncio
import dataclasses
import json

from absl import flags

from clementinegw import exceptions
from clementinegw.scenario import parser
from clementinegw.scenario import play
from clementinegw.scenario import runner
from clementinegw.scenario import types

NAME = "scenario"
HELP = """usage: clementinegw scenario run FILE...
       clementinegw scenario check FILE...

`run` runs each file against a whole deployment in virtual time and reports the
expectations that did not hold; `check` only parses the files. The same file and
seed always give the same result. docs/scenarios.md describes the language."""

_ACTIONS = ("run", "check")


def define(flag_values) -> None:
    """Defines the command's flags."""
    flags.DEFINE_integer(
        "seed",
        None,
        "Run with this seed instead of those in the files.",
        flag_values=flag_values,
    )


async def run(args: list[str], flag_values) -> int:
    """Runs or checks the files.

    Raises:
      exceptions.UsageError: No action, no file, or an invalid file.
      exceptions.CheckFailed: An expectation did not hold.
    """
    if len(args) < 2 or args[0] not in _ACTIONS:
        raise exceptions.UsageError(
            "scenario: expected `run FILE...` or `check FILE...` "
            "(see `clementinegw scenario --help`)"
        )
    # All files are parsed first, so that an error in the last one is reported
    # before the others have run.
    scenarios = [parser.parse_file(path) for path in args[1:]]
    if flag_values.seed is not None:
        scenarios = [
            dataclasses.replace(scenario, seed=flag_values.seed)
            for scenario in scenarios
        ]
    if args[0] == "check":
        print(f"{len(scenarios)} scenarios fit the language")
        return 0
    return await _run_all(args[1:], scenarios, flag_values.json)


async def _run_all(
    paths: list[str], scenarios: list[types.Scenario], as_json: bool
) -> int:
    reports = []
    for path, scenario in zip(paths, scenarios, strict=True):
        # Virtual time needs its own event loop, and so its own thread.
        report = await asyncio.to_thread(play.play, scenario)
        reports.append(report)
        if not as_json:
            print(_format_report(path, report), flush=True)
    failures = [str(f) for report in reports for f in report.failures]
    held = sum(report.held for report in reports)
    if as_json:
        print(
            json.dumps({"ran": len(reports), "held": held, "failed": failures})
        )
    else:
        print(f"{held} of {len(reports)} scenarios held")
    if failures:
        raise exceptions.CheckFailed(
            f"{len(failures)} expectations did not hold"
        )
    return 0


def _format_report(path: str, report: runner.Report) -> str:
    word = "held" if report.held else "FAILED"
    lines = [
        f"{word:6} {path}: {report.title} ({report.expectations} expectations, "
        f"{report.offered} requests, {report.seconds:.0f} s of virtual time)"
    ]
    lines += [f"       {failure}" for failure in report.failures]
    if not report.held:
        lines += [f"       {n:5} {how}" for how, n in report.outcomes.items()]
    return "\n".join(lines)
