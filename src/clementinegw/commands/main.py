"""The `clementinegw` command: parses the command line and runs a subcommand.

A subcommand is a module with `NAME`, `HELP`, `define(flag_values)` and
`async run(args, flag_values) -> int`. A module with `choose(rest)` returns one
of several such commands, selected by the next argument. A module is imported
only when it is run, so that `settings get` does not load the daemons.
"""

import asyncio
import dataclasses
import difflib
import importlib
import sys
import types as python_types

from absl import flags

from clementinegw import exceptions
from clementinegw.telemetry import events
from clementinegw.telemetry import logs

PROGRAM = "clementinegw"
_MAX_SUGGESTIONS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A subcommand in the overview.

    Attributes:
      module: The module in `clementinegw.commands` that implements it.
      summary: One line of help.
    """

    module: str
    summary: str


COMMANDS = {
    "entry": Command("daemons_entry", "Run an entry daemon."),
    "agent": Command("daemons_agent", "Run an agent beside a backend server."),
    "standin": Command(
        "standin", "Run the platform's and back ends' stand-ins."
    ),
    "settings": Command("settings", "Read and change the settings tree."),
    "weights": Command("weights", "Publish a model version."),
    "rollout": Command("rollout", "Show the progress of a rollout."),
    "demo": Command("demo", "Run a whole deployment and roll out a version."),
    "bench": Command("bench", "Measure rollouts, requests, settings, control."),
    "matrix": Command("matrix", "Inject every fault at every step."),
    "scenario": Command("scenario", "Run scripted scenarios."),
    "capacity": Command("capacity", "Compute each role's load at given sizes."),
}

EXIT_CODES = (
    (0, "done"),
    (1, "failed for the reason in the message"),
    (2, "a flag or argument is invalid"),
    (3, "an instance file or settings value is invalid"),
    (4, "the platform or a peer could not be reached"),
    (5, "a check, cell or expectation did not hold"),
    (70, "an internal error"),
)


def overview() -> str:
    """Returns the text of `clementinegw --help`."""
    lines = [f"usage: {PROGRAM} COMMAND [ARGUMENT...] [--flag=VALUE...]", ""]
    width = max(len(name) for name in COMMANDS)
    lines += [f"  {name:{width}}  {c.summary}" for name, c in COMMANDS.items()]
    lines += ["", f"{PROGRAM} COMMAND --help shows a command's flags.", ""]
    lines.append("exit codes:")
    lines += [f"  {code:2}  {meaning}" for code, meaning in EXIT_CODES]
    return "\n".join(lines)


def command_help(module: python_types.ModuleType, values) -> str:
    """Returns the text of `clementinegw COMMAND --help`."""
    rows = []
    for name in sorted(values):
        flag = values[name]
        default = "" if flag.default is None else f" (default: {flag.default})"
        rows.append(f"  --{name}: {flag.help}{default}")
    return "\n".join([module.HELP.strip(), "", "flags:", *rows])


def run() -> None:
    """Runs the command line of this process and exits with its exit code."""
    sys.exit(main(sys.argv[1:]))


def main(argv: list[str]) -> int:
    """Runs one command line.

    Args:
      argv: The arguments after the program's name.

    Returns:
      The exit code; see `EXIT_CODES`.
    """
    if not argv or argv[0] in ("--help", "-h", "help"):
        print(overview())
        return 0
    try:
        return _dispatch(argv[0], argv[1:])
    except exceptions.ClementineError as error:
        print(f"{PROGRAM}: {error.message}", file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return 130


def _dispatch(name: str, rest: list[str]) -> int:
    command = COMMANDS.get(name)
    if command is None:
        raise exceptions.UsageError(_unknown_command_message(name))
    module = importlib.import_module(f"clementinegw.commands.{command.module}")
    if hasattr(module, "choose") and not _is_help_request(rest):
        module, rest = module.choose(rest)
    if not hasattr(module, "define"):
        print(module.HELP)
        return 0
    values = flags.FlagValues()
    module.define(values)
    _define_common(values)
    args = parse(values, name, rest)
    if values.help:
        print(command_help(module, values))
        return 0
    logs.configure(events.Level(values.log_level))
    return asyncio.run(module.run(args, values))


def parse(values, name: str, rest: list[str]) -> list[str]:
    """Parses flags and returns the remaining arguments.

    Args:
      values: The defined flags, which receive the parsed values.
      name: The command's name.
      rest: The arguments after the name.

    Raises:
      exceptions.UsageError: A flag is unknown or its value is invalid.
    """
    try:
        return list(values([name, *rest]))[1:]
    except flags.Error as error:
        line = str(error).splitlines()[0]
        raise exceptions.UsageError(
            f"{line} (see `{PROGRAM} {name} --help`)"
        ) from error


def _is_help_request(rest: list[str]) -> bool:
    return rest in (["--help"], ["-h"])


def _define_common(values) -> None:
    if "json" not in values:
        flags.DEFINE_boolean(
            "json",
            False,
            "Print a JSON object as the last line.",
            flag_values=values,
        )
    if "log_level" not in values:
        flags.DEFINE_enum(
            "log_level",
            "warning",
            [level.value for level in events.Level],
            "The minimum level of log lines on standard error.",
            flag_values=values,
        )
    flags.DEFINE_boolean(
        "help", False, "Show this help.", short_name="h", flag_values=values
    )


def _unknown_command_message(name: str) -> str:
    matches = difflib.get_close_matches(name, COMMANDS, _MAX_SUGGESTIONS)
    hint = f"; did you mean {' or '.join(matches)}?" if matches else ""
    return f"no command {name!r}{hint} (see `{PROGRAM} --help`)"
