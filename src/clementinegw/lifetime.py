"""Runs a daemon until it is told to stop or fails, then drains it."""

import asyncio
from collections.abc import Callable, Coroutine
import signal
from typing import Any, Protocol

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon(Protocol):
    """A daemon that `run_until_signal` can run, such as a `mode.Service`."""

    @property
    def crash_reason(self) -> BaseException | None:
        """The error that ended one of its services; None if there is none."""

    async def start(self) -> None:
        """Starts the daemon."""

    async def wait_until_stopped(self) -> None:
        """Returns once the daemon is stopped or one of its services crashed."""

    async def drain(self) -> None:
        """Accepts no new work and finishes the work in progress."""

    async def stop(self) -> None:
        """Stops the daemon."""


async def run_until_signal(
    daemon: Daemon,
    reload: Callable[[], None] = lambda: None,
    on_failure: Callable[[BaseException], None] = lambda error: None,
) -> int:
    """Runs a daemon until SIGTERM, SIGINT or a crash, then drains and stops it.

    A second signal stops it at once. If a signal arrives while the daemon is
    starting, it is stopped without being drained.

    Args:
      daemon: The daemon to run.
      reload: Called at SIGHUP, which would otherwise end the process.
      on_failure: Called with the error if the daemon fails, before it is
        drained and stopped.

    Returns:
      The exit code: 1 if a service of the daemon crashed.

    Raises:
      Exception: The daemon could not be started or drained; it is stopped.
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
    crash_reason = None
    try:
        try:
            if await _finishes_before(daemon.start(), stopping.wait()):
                await _finishes_before(
                    daemon.wait_until_stopped(), stopping.wait()
                )
                crash_reason = daemon.crash_reason
                if crash_reason is not None:
                    on_failure(crash_reason)
                await _finishes_before(daemon.drain(), second_signal.wait())
        except Exception as error:
            on_failure(error)
            raise
        finally:
            await daemon.stop()
        if crash_reason is None and daemon.crash_reason is not None:
            crash_reason = daemon.crash_reason
            on_failure(crash_reason)
    finally:
        for number in _SIGNALS:
            loop.remove_signal_handler(number)
        loop.remove_signal_handler(signal.SIGHUP)
    return 0 if crash_reason is None else 1


async def _finishes_before(
    awaited: Coroutine[Any, Any, Any], end: Coroutine[Any, Any, Any]
) -> bool:
    """Returns whether a coroutine finishes first; cancels the other one."""
    task, end_task = (asyncio.ensure_future(c) for c in (awaited, end))
    await asyncio.wait({task, end_task}, return_when=asyncio.FIRST_COMPLETED)
    finished = task.done()
    end_task.cancel()
    if not finished:
        task.cancel()
    await asyncio.gather(task, end_task, return_exceptions=True)
    if finished:
        task.result()
    return finished
