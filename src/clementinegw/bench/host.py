"""Runs one host process of a measurement: clementinegw bench host.

It connects to the measurement at --desk, runs the assigned function, and
exits. `make bench-settings` starts a measurement with all of its hosts.
"""

import asyncio
from typing import Any

from absl import flags

from clementinegw import exceptions
from clementinegw.bench import coordinator
from clementinegw.settings import model


def define(flag_values: flags.FlagValues) -> None:
    """Defines the host's flags."""
    flags.DEFINE_string(
        "desk",
        "127.0.0.1:7700",
        "Address at which the measurement waits for hosts.",
        flag_values=flag_values,
    )


async def run(flag_values: flags.FlagValues) -> dict[str, Any]:
    """Runs the function that the measurement assigns.

    Raises:
      exceptions.UsageError: `--desk` is not an address.
      exceptions.PlatformError: No measurement listens at the address.
    """
    try:
        address = model.parse_address(flag_values.desk)
    except ValueError as error:
        raise exceptions.UsageError(f"--desk: {error}") from None
    # The function runs an event loop of its own, and loops cannot nest.
    await asyncio.to_thread(coordinator.serve, address)
    return {"done": True}
