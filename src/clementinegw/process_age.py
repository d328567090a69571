"""Tells how long ago the kernel started this process."""

import os
import pathlib

# The time that a process takes to start if the kernel does not tell, in
# seconds.
TYPICAL_START_S = 0.5
# A process that computes its age takes no longer than this to start, in
# seconds. A larger figure comes from another clock than the process's own.
_MAX_START_S = 30.0
_STAT_PATH = pathlib.Path("/proc/self/stat")
# The index of the start time among the fields behind the program's name.
_START_TIME_FIELD = 19


def age_s(boot_time_s: float, path: pathlib.Path = _STAT_PATH) -> float:
    """Returns the age of this process; for a call while it starts.

    Args:
      boot_time_s: The present time since the machine was booted, in seconds.
      path: The kernel's file about this process.

    Returns:
      The age in seconds; `TYPICAL_START_S` if the kernel does not tell.
    """
    try:
        # The name stands in parentheses and may contain any characters.
        fields = path.read_text().rpartition(")")[2].split()
        ticks = int(fields[_START_TIME_FIELD])
    except (OSError, ValueError, IndexError):
        return TYPICAL_START_S
    found_s = boot_time_s - ticks / os.sysconf("SC_CLK_TCK")
    return found_s if 0.0 <= found_s <= _MAX_START_S else TYPICAL_START_S
