"""Runs a daemon until it is told to stop, then drains it."""

import asyncio
from collections.abc import Callable
import signal
from typing import Protocol

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon(Protocol):
    """A daemon that `run_until_signal` can run."""

    async def start(self) -> None:
        """Starts the daemon."""

    async def drain(self) -> None:
        """Accepts no new work and finishes the work in progress."""

    async def stop(self) -> None:
        """Stops the daemon."""


async def run_until_signal(
    daemon: Daemon, reload: Callable[[], None] = lambda: None
) -> int:
    """Runs a daemon until SIGTERM or SIGINT, then drains and stops it.

    A second signal stops it at once.

    Args:
      daemon: The daemon to run.
      reload: Called at SIGHUP, which would otherwise end the process.

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
