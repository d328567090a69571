"""Proves that what the platform's store says is current.

A store that was restored from a copy lacks what was written shortly before,
until its writers write it again. Whoever reads it meanwhile, as a process that
has just started does, would take an older configuration for the newest. An
entry that has seen an epoch of the store last for long enough marks it in the
store as settled, so that later starts need not wait.
"""

from collections.abc import Callable

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import raw
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# After this time writers have written again what a restored store lost, in
# seconds: two for them, and a rest for the way.
_SETTLE_S = 2.5
# The pause after a call that failed, in seconds.
_RETRY_PAUSE_S = 0.5
_KEY = "settled"


class EpochProof:
    """Knows whether the store's epoch has settled.

    Implements `topic_watch.Epochs`.
    """

    def __init__(
        self,
        values: raw.Values,
        clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Makes no calls before `update`.

        Args:
          values: Holds the mark in the platform's store.
          clock: Returns boot seconds.
          log: Receives the log events.
          counters: Count failed calls.
        """
        self._values = values
        self._clock = clock
        self._log = log
        self._counters = counters
        self._epoch: int | None = None
        self._seen_at = 0.0
        self._read_at: float | None = None
        self._marked: int | None = None

    def observe(self, epoch: int) -> None:
        """See `topic_watch.Epochs`."""
        if self._epoch is not None and epoch <= self._epoch:
            return
        if self._epoch is not None:
            # The mark is not of this epoch.
            self._read_at = None
        self._epoch = epoch
        self._seen_at = self._clock()

    def is_settled(self, epoch: int) -> bool:
        """See `topic_watch.Epochs`."""
        if epoch != self._epoch:
            return False
        return self._marked == epoch or self._has_lasted

    @property
    def _has_lasted(self) -> bool:
        return self._clock() - self._seen_at >= _SETTLE_S

    async def update(self) -> None:
        """Reads the mark in each epoch; writes it once the epoch has lasted."""
        epoch = self._epoch
        if self._is_pausing or (epoch is not None and epoch == self._marked):
            return
        self._read_at = self._clock()
        try:
            self._take(await self._values.read())
            if epoch is None or epoch == self._marked or not self._has_lasted:
                return
            await self._values.write(_KEY, str(epoch).encode())
        except exceptions.PlatformError:
            self._counters.add("platform.epochs.failed")
            return
        self._marked = epoch
        self._log.write(_events.EPOCH_SETTLED, epoch=epoch)

    @property
    def _is_pausing(self) -> bool:
        if self._read_at is None:
            return False
        return self._clock() - self._read_at < _RETRY_PAUSE_S

    def _take(self, values: dict[str, bytes]) -> None:
        mark = values.get(_KEY, b"")
        if mark.isdigit():
            self._marked = int(mark)
