"""Requests that servers have not begun, and when each is taken back.

A timer of the loop alone would take them back too late: it stands still while
the machine is suspended, and keeps a moment that was computed before the
process learned how long ago a newer version was declared.
"""

import asyncio
from collections.abc import Callable
import math

from clementinegw.direct import version_policy

# By how much the two clocks may part without a look, in seconds.
_MAX_CLOCK_DRIFT_S = 0.02


class VersionTimeout:
    """One request at one server, until it has begun.

    Attributes:
      model: The model that it asks for.
      held: The version that its server has.
      timeout: What ends the attempt.
    """

    def __init__(
        self,
        timeouts: "VersionTimeouts",
        model: str,
        held: int,
        idempotent: bool,
    ):
        """Is watched only within `start` and `stop`."""
        self.model = model
        self.held = held
        self.timeout: asyncio.Timeout | None = None
        self._timeouts = timeouts
        self._idempotent = idempotent

    @property
    def outdated(self) -> bool:
        """Whether the server is too old for the request by now."""
        return self._timeouts.is_outdated(self)

    def start(self, timeout: asyncio.Timeout) -> None:
        """Ends an attempt in time; one that may not run again is left."""
        if self._idempotent:
            self.timeout = timeout
            self._timeouts.add(self)

    def stop(self) -> None:
        """Leaves the attempt alone: it has begun, or is over."""
        if self.timeout is not None:
            self._timeouts.remove(self)
            if not self.timeout.expired():
                self.timeout.reschedule(None)
            self.timeout = None


class VersionTimeouts:
    """All requests of one entry that have not begun."""

    def __init__(
        self, versions: version_policy.VersionPolicy, clock: Callable[[], float]
    ):
        """Starts without any.

        Args:
          versions: Say which server is too old, and from when.
          clock: The loop's seconds.
        """
        self._versions = versions
        self._clock = clock
        self._active: set[VersionTimeout] = set()
        self._boot_offset_s = self._current_boot_offset_s()

    def create(self, model: str, held: int, idempotent: bool) -> VersionTimeout:
        """Returns what takes one request back.

        Args:
          model: The model that it asks for.
          held: The version that its server has.
          idempotent: Whether it may run again elsewhere.
        """
        return VersionTimeout(self, model, held, idempotent)

    def is_outdated(self, version_timeout: VersionTimeout) -> bool:
        """Returns whether a server is too old for a request by now."""
        now = self._versions.now
        return (
            self._versions.required(version_timeout.model, now) or 0
        ) > version_timeout.held

    def add(self, version_timeout: VersionTimeout) -> None:
        """Takes a request back in time."""
        self._active.add(version_timeout)
        self._schedule(version_timeout)

    def remove(self, version_timeout: VersionTimeout) -> None:
        """Leaves a request alone."""
        self._active.discard(version_timeout)

    def reschedule_all(self) -> None:
        """Computes all moments anew; to be called at each change."""
        self._boot_offset_s = self._current_boot_offset_s()
        for version_timeout in self._active:
            self._schedule(version_timeout)

    def check_clock(self) -> None:
        """Computes all moments anew if the machine was suspended."""
        if (
            abs(self._current_boot_offset_s() - self._boot_offset_s)
            > _MAX_CLOCK_DRIFT_S
        ):
            self.reschedule_all()

    def _schedule(self, version_timeout: VersionTimeout) -> None:
        timeout = version_timeout.timeout
        if timeout is None or timeout.expired():
            return
        at = self._versions.withdraw_at(
            version_timeout.model, version_timeout.held
        )
        when = None if math.isinf(at) else at - self._current_boot_offset_s()
        timeout.reschedule(when)

    def _current_boot_offset_s(self) -> float:
        """Returns how far the boot clock is ahead of the loop's."""
        return self._versions.now - self._clock()
