"""Tells how long ago the kernel started this process."""

import os
import pathlib

# The time that a process takes to start if the kernel does not tell, in
# seconds.
TYPICAL_START_S = 0.5
# The kernel's figures are not used if its uptime differs from the process's own
# clock by more than this, in seconds: they come from another clock then.
_MAX_DIFFERENCE_S = 0.5
_PROC = pathlib.Path("/proc")
# The index of the start time among the fields behind the program's name.
_START_TIME_FIELD = 19


def age_s(boot_time_s: float, proc: pathlib.Path = _PROC) -> float:
    """Returns the age of this process; for a call while it starts.

    Args:
      boot_time_s: The present time since the machine was booted, in seconds.
      proc: Where the kernel tells about processes; see proc(5).

    Returns:
      The age in seconds; `TYPICAL_START_S` if the kernel does not tell.
    """
    try:
        # The name stands in parentheses and may contain any characters.
        text = (proc / "self/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[_START_TIME_FIELD])
        uptime_s = float((proc / "uptime").read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return TYPICAL_START_S
    if abs(uptime_s - boot_time_s) > _MAX_DIFFERENCE_S:
        return TYPICAL_START_S
    return max(0.0, boot_time_s - ticks / os.sysconf("SC_CLK_TCK"))
