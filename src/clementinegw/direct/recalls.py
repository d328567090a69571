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
_SLEPT_S = 0.02


class Recall:
    """One request at one server, until it has begun.

    Attributes:
      model: The model that it asks for.
      held: The version that its server has.
      waiting: What ends the attempt.
    """

    def __init__(
        self, owner: "Recalls", model: str, held: int, idempotent: bool
    ):
        """Is watched only within `watch` and `end`."""
        self.model = model
        self.held = held
        self.waiting: asyncio.Timeout | None = None
        self._owner = owner
        self._idempotent = idempotent

    @property
    def late(self) -> bool:
        """Whether the server is too old for the request by now."""
        return self._owner.late(self)

    def watch(self, waiting: asyncio.Timeout) -> None:
        """Ends an attempt in time; one that may not run again is left."""
        if self._idempotent:
            self.waiting = waiting
            self._owner.add(self)

    def end(self) -> None:
        """Leaves the attempt alone: it has begun, or is over."""
        if self.waiting is not None:
            self._owner.remove(self)
            if not self.waiting.expired():
                self.waiting.reschedule(None)
            self.waiting = None


class Recalls:
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
        self._open: set[Recall] = set()
        self._ahead_s = self._boot_ahead_s()

    def new(self, model: str, held: int, idempotent: bool) -> Recall:
        """Returns what takes one request back.

        Args:
          model: The model that it asks for.
          held: The version that its server has.
          idempotent: Whether it may run again elsewhere.
        """
        return Recall(self, model, held, idempotent)

    def late(self, recall: Recall) -> bool:
        """Returns whether a server is too old for a request by now."""
        now = self._versions.now
        return (self._versions.required(recall.model, now) or 0) > recall.held

    def add(self, recall: Recall) -> None:
        """Takes a request back in time."""
        self._open.add(recall)
        self._schedule(recall)

    def remove(self, recall: Recall) -> None:
        """Leaves a request alone."""
        self._open.discard(recall)

    def look(self) -> None:
        """Computes all moments anew; to be called at each change."""
        self._ahead_s = self._boot_ahead_s()
        for recall in self._open:
            self._schedule(recall)

    def check(self) -> None:
        """Computes all moments anew if the machine was suspended."""
        if abs(self._boot_ahead_s() - self._ahead_s) > _SLEPT_S:
            self.look()

    def _schedule(self, recall: Recall) -> None:
        waiting = recall.waiting
        if waiting is None or waiting.expired():
            return
        at = self._versions.withdraw_at(recall.model, recall.held)
        when = None if math.isinf(at) else at - self._boot_ahead_s()
        waiting.reschedule(when)

    def _boot_ahead_s(self) -> float:
        """Returns how far the boot clock is ahead of the loop's."""
        return self._versions.now - self._clock()
