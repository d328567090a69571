"""`clementinegw matrix`: injects every fault at every step."""

import asyncio
import json

from absl import flags

from clementinegw import exceptions
from clementinegw import types
from clementinegw.bench import coordinator as coordinators
from clementinegw.matrix import engine
from clementinegw.matrix import paths
from clementinegw.matrix import players
from clementinegw.matrix import runner

NAME = "matrix"
HELP = """usage: clementinegw matrix [--paths=NAME,...] [--pairs=N]
       clementinegw matrix --cell=PATH:FAULT@STEP[:FAULT@STEP]

Injects each fault at each step of each path into the real decision code in
virtual time, then pairs of faults, then repeats cells with one guard broken at
a time: each broken guard must make a cell fail. Exit code 5 if an invariant was
violated or a broken guard was not detected.

By default one cell in --one_in runs, in this process. `make matrix` runs all of
them on ten host processes."""

_DEFAULT_PAIRS = 4
_DEFAULT_ONE_IN = 8


def define(flag_values) -> None:
    """Defines the command's flags."""
    flags.DEFINE_list(
        "paths",
        [],
        "The paths to run; all by default.",
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "pairs",
        _DEFAULT_PAIRS,
        "Pairs of faults to run per path, chosen by the seed; -1 for all.",
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "seed",
        1,
        "Seed for the choice of cells and pairs.",
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "one_in",
        _DEFAULT_ONE_IN,
        "Run one cell in this many, chosen by the seed; 1 for all.",
        lower_bound=1,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "hosts",
        0,
        "Number of host processes that run cells; see `bench host`. 0 runs"
        " them in this process.",
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "desk_port",
        7700,
        "Port on which host processes connect.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "guards",
        True,
        "Also run cells with each guard broken.",
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        "cell",
        None,
        "Run this one cell, PATH:FAULT@STEP[:FAULT@STEP].",
        flag_values=flag_values,
    )


async def run(args: list[str], flag_values) -> int:
    """Runs the matrix, or one cell, and prints the result."""
    if args:
        raise exceptions.UsageError(f"matrix: unexpected {args[0]!r}")
    if flag_values.cell:
        return await asyncio.to_thread(_run_cell, flag_values.cell)
    names = flag_values.paths or list(paths.all_paths())
    _check_names(names)
    report = await asyncio.to_thread(_run_matrix, names, flag_values)
    _print(report, flag_values.json)
    failed = bool(report.failed or report.uncaught)
    return exceptions.CheckFailed.exit_code if failed else 0


def _run_matrix(names: list[str], flag_values) -> runner.Report:
    def _run_with(player: players.Player) -> runner.Report:
        return runner.run(
            names,
            flag_values.pairs,
            flag_values.seed,
            player,
            flag_values.guards,
            flag_values.one_in,
        )

    if not flag_values.hosts:
        return _run_with(players.Here())
    coordinator = coordinators.Coordinator(
        types.Address("127.0.0.1", flag_values.desk_port)
    )
    hosts = players.Hosts(coordinator, flag_values.hosts)
    try:
        return _run_with(hosts)
    finally:
        hosts.close()
        coordinator.close()


def _check_names(names: list[str]) -> None:
    known = paths.all_paths()
    for name in names:
        if name not in known:
            raise exceptions.UsageError(
                f"--paths: expected one of {', '.join(known)}, found {name!r}"
            )


def _run_cell(text: str) -> int:
    cell = engine.parse(text)
    _check_names([cell.path])
    path = paths.all_paths()[cell.path]
    faults = {fault.name for fault in path.faults}
    for injection in cell.injections:
        if injection.step not in path.steps or injection.fault not in faults:
            raise exceptions.UsageError(
                f"--cell: {cell.path} has no {str(injection)!r}"
            )
    result = engine.play(cell)
    print(f"{cell}: {'held' if result.held else ', '.join(result.broken)}")
    return 0 if result.held else exceptions.CheckFailed.exit_code


def _print(report: runner.Report, as_json: bool) -> None:
    if as_json:
        print(json.dumps(report.to_json()))
        return
    print(
        f"{report.cells} of {report.cells_possible} cells,"
        f" {report.pairs} of {report.pairs_possible} pairs:"
        f" {report.held} held, {len(report.failed)} failed;"
        f" {len(report.impossible)} cannot occur"
    )
    for result in report.failed:
        print(f"  FAILED {result.cell}: {', '.join(result.broken)}")
    for caught in report.guards:
        verdict = (
            f"detected at {caught.cell}" if caught.cell else "NOT DETECTED"
        )
        print(f"  guard {caught.guard} broken: {verdict}")
