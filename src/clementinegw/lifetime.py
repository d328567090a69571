"""Runs a daemon until it is told to stop, and lets it finish what it has."""

import asyncio
from collections.abc import Callable
import signal
from typing import Protocol

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon(Protocol):
    """What `run_until_signal` needs of a daemon."""

    async def start(self) -> None:
        """Starts it."""

    async def drain(self) -> None:
        """Takes nothing new and finishes what is there."""

    async def stop(self) -> None:
        """Ends it."""


async def run_until_signal(
    daemon: Daemon, reload: Callable[[], None] = lambda: None
) -> int:
    """Runs a daemon until SIGTERM or SIGINT, then drains and stops it.

    A second signal ends it at once.

    Args:
      daemon: What to run.
      reload: Called at SIGHUP, which would else end the process.

    Returns:
      The exit code.
    """
    stopping = asyncio.Event()
    second_signal = asyncio.Event()

    def on_signal() -> None:
        if stopping.is_set():
            second_signal.set()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in _SIGNALS:
        loop.add_signal_handler(number, on_signal)
    loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        await daemon.start()
        await stopping.wait()
        await _wait_for_first(daemon.drain(), second_signal.wait())
        await daemon.stop()
    finally:
        for number in _SIGNALS:
            loop.remove_signal_handler(number)
        loop.remove_signal_handler(signal.SIGHUP)
    return 0


async def _wait_for_first(*coroutines) -> None:
    tasks = [asyncio.ensure_future(c) for c in coroutines]
    done, pending = await asyncio.wait(
        tasks, return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    for task in done:
        task.result()
