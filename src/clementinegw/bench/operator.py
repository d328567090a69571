"""Measures the cost of one run of the operator's command.

Run `python -m clementinegw.bench.operator COMMAND ARGUMENT...` with the
arguments of `clementinegw`, such as `settings set PATH=VALUE --log=URL` for a
log of `clementinegw standin`. The command alone runs in this process, so the
figures include the interpreter's start and the command's imports.
"""

import dataclasses
import json
import resource
import sys
import time

from clementinegw.commands import main as main_lib

_MS_PER_S = 1000.0
# Linux reports the peak memory in units of 1024 bytes.
_KIB_PER_MB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Resources that this process has used since its start.

    Attributes:
      exit_code: Exit code of the command.
      cpu_ms: Processor time, user and system, in milliseconds.
      memory_mb: Peak resident memory, in MB (2**20 bytes).
    """

    exit_code: int
    cpu_ms: float
    memory_mb: float


def measure(argv: list[str]) -> Cost:
    """Runs a command line and returns the resources that it used.

    Args:
      argv: The arguments after the program's name.
    """
    exit_code = main_lib.main(argv)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return Cost(
        exit_code,
        round(time.process_time() * _MS_PER_S, 1),
        round(peak / _KIB_PER_MB, 1),
    )


def main() -> None:
    """Runs the measurement and exits with the command's exit code."""
    cost = measure(sys.argv[1:])
    print(json.dumps(dataclasses.asdict(cost)))
    sys.exit(cost.exit_code)


if __name__ == "__main__":
    main()
