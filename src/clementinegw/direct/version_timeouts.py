"""Timeouts that withdraw requests before a server's weights become too old.

They apply to requests that a server has not begun. A plain timer of the event
loop would withdraw them too late: it does not advance while the machine is
suspended, and it keeps the time that was computed before the process learned
how long ago a newer version was declared.
"""

import asyncio
from collections.abc import Callable
import math

from clementinegw.direct import version_policy

# How far the boot clock and the loop's clock may drift apart before all
# timeouts are rescheduled, in seconds.
_MAX_CLOCK_DRIFT_S = 0.02


class VersionTimeout:
    """The timeout of one request at one server, until the request begins.

    Attributes:
      model: The model that the request asks for.
      held: The version of the weights that the server holds.
      timeout: Ends the attempt; None while it is not watched.
    """

    def __init__(
        self,
        timeouts: "VersionTimeouts",
        model: str,
        held: int,
        idempotent: bool,
        transit_s: Callable[[], float],
    ):
        """Does nothing before `start`; see `VersionTimeouts.create`."""
        self.model = model
        self.held = held
        self.timeout: asyncio.Timeout | None = None
        self._timeouts = timeouts
        self._idempotent = idempotent
        self._transit_s = transit_s

    @property
    def outdated(self) -> bool:
        """Whether the weights are too old once the request reaches them."""
        return self._timeouts.is_outdated(self, self._transit_s())

    def start(self, timeout: asyncio.Timeout) -> None:
        """Watches an attempt; does nothing for one that may not be repeated.

        Args:
          timeout: Is rescheduled to the time when the request is withdrawn.
        """
        if self._idempotent:
            self.timeout = timeout
            self._timeouts.add(self)

    def stop(self) -> None:
        """Ends the watch: the request has begun, or the attempt is over."""
        if self.timeout is not None:
            self._timeouts.remove(self)
            if not self.timeout.expired():
                self.timeout.reschedule(None)
            self.timeout = None


class VersionTimeouts:
    """Schedules the timeouts of one entry's requests that have not begun."""

    def __init__(
        self, versions: version_policy.VersionPolicy, clock: Callable[[], float]
    ):
        """Starts without timeouts.

        Args:
          versions: Say which versions are too old, and from when on.
          clock: Returns the event loop's seconds.
        """
        self._versions = versions
        self._clock = clock
        self._active: set[VersionTimeout] = set()
        self._boot_offset_s = self._current_boot_offset_s()

    def create(
        self,
        model: str,
        held: int,
        idempotent: bool,
        transit_s: Callable[[], float] = lambda: 0.0,
    ) -> VersionTimeout:
        """Returns the timeout of one request; it is not started yet.

        Args:
          model: The model that the request asks for.
          held: The version of the weights that the server holds.
          idempotent: Whether the request may be repeated at another server.
          transit_s: Returns how much earlier it has to be sent than one that
            arrives and begins at once, in seconds.
        """
        return VersionTimeout(self, model, held, idempotent, transit_s)

    def is_outdated(
        self, version_timeout: VersionTimeout, after_s: float
    ) -> bool:
        """Returns whether a server's weights are too old in a while.

        Args:
          version_timeout: The timeout of a request to the server.
          after_s: The time from now on, in seconds.
        """
        at = self._versions.now + after_s
        return (
            self._versions.required(version_timeout.model, at) or 0
        ) > version_timeout.held

    def add(self, version_timeout: VersionTimeout) -> None:
        """Schedules a timeout and keeps it up to date until `remove`."""
        self._active.add(version_timeout)
        self._schedule(version_timeout)

    def remove(self, version_timeout: VersionTimeout) -> None:
        """Stops updating a timeout."""
        self._active.discard(version_timeout)

    def reschedule_all(self) -> None:
        """Reschedules all timeouts; to be called at each change of versions."""
        self._boot_offset_s = self._current_boot_offset_s()
        for version_timeout in self._active:
            self._schedule(version_timeout)

    def check_clock(self) -> None:
        """Reschedules all timeouts if the machine was suspended."""
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
        """Returns how far the boot clock is ahead of the loop's, in seconds."""
        return self._versions.now - self._clock()
