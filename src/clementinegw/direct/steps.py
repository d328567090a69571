"""Keeps unexpected errors of periodic work to the step that raised them."""

from collections.abc import Iterator
import contextlib

from clementinegw.direct import _events
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import errors
from clementinegw.telemetry import logs


class Steps:
    """Periodic steps that are repeated after an unexpected error.

    Without it, an odd value that one step cannot handle would end all loops of
    the process, and those of all other processes that know the value.
    """

    def __init__(self, log: logs.Log, counters: counters_lib.Counters):
        """Starts without any failed step.

        Args:
          log: Receives an event for each error, once until it changes.
          counters: Counts the errors.
        """
        self._log = log
        self._counters = counters
        self._failed: dict[str, dict[str, str]] = {}

    @contextlib.contextmanager
    def guard(self, step: str) -> Iterator[None]:
        """Ends the enclosed code, and nothing else, at an unexpected error.

        Args:
          step: The name of the step in the log.
        """
        try:
            yield
        except Exception as error:
            self._counters.add("direct.step_failed")
            found = errors.describe(error)
            if self._failed.get(step) != found:
                self._failed[step] = found
                self._log.write(_events.STEP_FAILED, step=step, **found)
        else:
            self._failed.pop(step, None)
