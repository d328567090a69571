"""Keeps what entries refuse in the platform's store.

Entries and agents tell each other what is refused, but all may end at the same
moment. An entry reads it once there is a sign that servers crashed; one entry
writes for all.
"""

from collections.abc import Callable

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import crash_guard
from clementinegw.direct import raw
from clementinegw.direct import suspects
from clementinegw.direct import suspicion_codec
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

# How often a value is written anew while it is refused and the store has not
# been restored, in seconds.
_REFRESH_S = 300.0
# The pause after a call that failed, in seconds, and its maximum.
_MIN_PAUSE_S = 1.0
_MAX_PAUSE_S = 30.0


class RefusalArchive:
    """Reads and writes what one entry refuses."""

    def __init__(
        self,
        guard: crash_guard.CrashGuard,
        values: raw.Values,
        may_have_crashed: Callable[[], bool],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Reads nothing before `update`.

        Args:
          guard: Knows what is refused.
          values: The values in the platform's store.
          may_have_crashed: Returns whether servers may have crashed before this
            process started.
          clock: Returns monotonic seconds.
          wall_clock: Returns Unix time, in seconds.
          log: Takes what was read, and failures.
          counters: Count failures and values that cannot be read.
        """
        self._guard = guard
        self._values = values
        self._may_have_crashed = may_have_crashed
        self._clock = clock
        self._wall_clock = wall_clock
        self._log = log
        self._counters = counters
        self._loaded = False
        self._written_at: dict[str, float] = {}
        self._written_epoch = 0
        self._pause_s = 0.0
        self._due_at = clock()

    @property
    def _is_needed(self) -> bool:
        return (
            self._loaded or self._guard.has_crashes or self._may_have_crashed()
        )

    async def update(self) -> None:
        """Reads once, then writes what has changed; waits after failures.

        Nothing is read while no server is known to have crashed.
        """
        if self._clock() < self._due_at or not self._is_needed:
            return
        try:
            if not self._loaded:
                await self._load()
            if self._guard.acts_for_all:
                await self._save()
            self._pause_s = 0.0
        except exceptions.PlatformError as error:
            if not self._pause_s:
                self._log.write(_events.REFUSALS_FAILED, reason=error.message)
            self._counters.add("direct.refusals.failed")
            longer_s = max(_MIN_PAUSE_S, 2 * self._pause_s)
            self._pause_s = min(_MAX_PAUSE_S, longer_s)
            self._due_at = self._clock() + self._pause_s

    async def _load(self) -> None:
        values = await self._values.read()
        self._loaded = True
        now_ms = 1e3 * self._wall_clock()
        for value in values.values():
            try:
                refused = codec.decode(ttypes.Refused, value)
            except exceptions.DecodeError:
                self._counters.add("direct.refusals.malformed")
                continue
            self._guard.merge(
                suspicion_codec.refused_from_wire(refused, now_ms)
            )
        if values:
            self._log.write(_events.REFUSALS_READ, keys=sorted(values))

    async def _save(self) -> None:
        if self._values.epoch != self._written_epoch:
            self._written_epoch = self._values.epoch
            self._written_at.clear()
        refused = {
            _key(suspicion): suspicion for suspicion in self._guard.refused()
        }
        for key, suspicion in refused.items():
            written_at = self._written_at.get(key)
            now = self._clock()
            if written_at is None or now - written_at >= _REFRESH_S:
                written_ms = int(1e3 * self._wall_clock())
                item = suspicion_codec.refused_to_wire(suspicion, written_ms)
                await self._values.write(key, codec.encode(item))
                self._written_at[key] = now
        for key in self._written_at.keys() - refused.keys():
            await self._values.write(key, b"")
            del self._written_at[key]


def _key(suspicion: suspicion_codec.Suspicion) -> str:
    if isinstance(suspicion, suspects.Suspicion):
        return suspicion.fingerprint.hex()
    return suspicion.part.hex()
