"""`clementinegw bench NAME`: runs one benchmark."""

import importlib
import json
import types as python_types
from typing import Any

from clementinegw import exceptions

NAME = "bench"
HELP = """usage: clementinegw bench
       rollout|swap|requests|settings|control|report

Runs one benchmark on this machine over the loopback interface. Baselines run in
the same command with the same seed. The keys of the JSON line are stable.
`clementinegw bench NAME --help` shows the flags of one benchmark."""

BENCHES = (
    "rollout",
    "swap",
    "requests",
    "settings",
    "control",
    "report",
    "host",
)


class Bench:
    """Adapts a benchmark module to the command interface."""

    def __init__(self, name: str, module: python_types.ModuleType):
        """Initializes the command.

        Args:
          name: The benchmark's name on the command line.
          module: The benchmark, with `define(flag_values)` and
            `async run(flag_values)`.
        """
        self._module = module
        self.NAME = f"{NAME} {name}"
        self.HELP = (module.__doc__ or "").strip()

    def define(self, flag_values) -> None:
        """Defines the benchmark's flags."""
        self._module.define(flag_values)

    async def run(self, args: list[str], flag_values) -> int:
        """Runs the benchmark and prints its result."""
        if args:
            raise exceptions.UsageError(f"{self.NAME}: unexpected {args[0]!r}")
        result = await self._module.run(flag_values)
        print_result(result, flag_values.json)
        return 0


def choose(rest: list[str]) -> tuple[Any, list[str]]:
    """Returns the benchmark named by the first argument, and the rest.

    Raises:
      exceptions.UsageError: No benchmark is named, or the name is unknown.
    """
    if not rest or rest[0].startswith("-"):
        raise exceptions.UsageError(f"name a bench: {', '.join(BENCHES)}")
    if rest[0] not in BENCHES:
        raise exceptions.UsageError(
            f"no bench {rest[0]!r}; there are {', '.join(BENCHES)}"
        )
    module = importlib.import_module(f"clementinegw.bench.{rest[0]}")
    return Bench(rest[0], module), rest[1:]


def print_result(result: dict[str, Any], as_json: bool) -> None:
    """Prints a result as aligned lines or as one line of JSON."""
    if as_json:
        print(json.dumps(result))
        return
    width = max(len(key) for key in result)
    for key, value in result.items():
        print(f"{key:{width}}  {value}")
