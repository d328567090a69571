"""The platform in memory: its clients' Protocols without sockets.

For decision tests and the fault matrix. All waiting is `asyncio.sleep` and
all time comes from the clock, so that under `clock.run` nothing really waits.
Sockets and HTTP are in `testing.platform`, over the same `_records`.
"""

import asyncio
import dataclasses

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types
from clementinegw.platform import instances
from clementinegw.platform import log
from clementinegw.testing import _records


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong for one client; set and reset at any time.

    Attributes:
      down: Every call fails without effect.
      slow_s: Seconds that each call takes before it has its effect.
      answer_lost: The next n appends or puts take effect and then fail.
      refused: The next n calls fail without effect. Their caller cannot tell
        them from those of `answer_lost`.
      stalled: Calls wait until they time out, without effect.
      corrupt: The next n blob reads return a flipped byte.
      timeout_s: When a stalled or slow call is given up.
    """

    down: bool = False
    slow_s: float = 0.0
    answer_lost: int = 0
    refused: int = 0
    stalled: bool = False
    corrupt: int = 0
    timeout_s: float = 5.0


class _Client:
    """What all clients in memory share: the faults of a call."""

    def __init__(self, faults: Faults | None):
        self.faults = faults or Faults()
        self.calls = 0

    async def _before_call(self, what: str) -> None:
        """Fails or delays a call before it has its effect."""
        self.calls += 1
        faults = self.faults
        if faults.stalled or faults.slow_s >= faults.timeout_s:
            await asyncio.sleep(faults.timeout_s)
            raise exceptions.PlatformUnavailable(f"{what}: timeout")
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        self._check(what)

    def _check(self, what: str) -> None:
        if self.faults.down:
            raise exceptions.PlatformUnavailable(f"{what}: down")
        if self.faults.refused > 0:
            self.faults.refused -= 1
            raise exceptions.PlatformUnavailable(f"{what}: no answer")

    def _after_call(self, what: str) -> None:
        """Fails a call after it had its effect."""
        if self.faults.answer_lost > 0:
            self.faults.answer_lost -= 1
            raise exceptions.PlatformUnavailable(f"{what}: no answer")


class MemoryLog(_Client):
    """A `log.LogClient` over records in memory.

    `client()` gives another client of the same log with faults of its own:
    one per failure domain makes a partition between domain and platform.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        retention_s: float | None = None,
        faults: Faults | None = None,
        records: _records.Records | None = None,
    ):
        """Starts an empty log, or a client of an existing one.

        Args:
          clock: Gives the records their time.
          retention_s: Seconds that a record is kept; None keeps all.
          faults: What goes wrong for this client.
          records: The log to be a client of.
        """
        super().__init__(faults)
        self._clock = clock
        self._records = records or _records.Records(retention_s)

    def client(self) -> "MemoryLog":
        """Returns another client of this log, with faults of its own."""
        return MemoryLog(self._clock, records=self._records)

    async def append(self, stream: str, value: bytes) -> int:
        """Appends a record; see `log.LogClient`."""
        await self._before_call("append")
        offset = self.put(stream, value)
        self._after_call("append")
        return offset

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = 500,
        wait_s: float = 0.0,
    ) -> log.Page:
        """Reads records; see `log.LogClient`."""
        await self._before_call("read")
        if wait_s > 0:
            await self._wait(stream, offset, wait_s)
            self._check("read")
        return self._records.page(stream, offset, limit, self._clock.wall())

    def put(self, stream: str, value: bytes) -> int:
        """Appends at once and without faults, for the set-up of a test."""
        return self._records.append(stream, value, self._clock.wall())

    def all(self, stream: str) -> tuple[log.Record, ...]:
        """Returns every record kept, without faults, for a test's ledger."""
        wall = self._clock.wall()
        return self._records.page(stream, 0, 1 << 62, wall).records

    def truncate(self, stream: str, before: int | None = None) -> None:
        """Expires all records below an offset; all when it is None."""
        self._records.truncate(stream, before)

    def truncate_all(self) -> None:
        """Expires every record of every stream."""
        self._records.truncate_all()

    def roll_back(self, stream: str, next_offset: int) -> None:
        """Puts an older log in its place: records from there on are gone.

        The offsets are given again to other records.
        """
        self._records.roll_back(stream, next_offset)

    def skip(self, stream: str, count: int) -> None:
        """Leaves a gap of that many offsets before the next record."""
        self._records.skip(stream, count)

    async def _wait(self, stream: str, offset: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._records.wait(stream, offset)
        except TimeoutError:
            pass


class MemoryList(_Client):
    """An `instances.InstanceList` that lags behind what was announced."""

    def __init__(
        self,
        clock: clocks.Clock,
        lag_s: float = 0.0,
        faults: Faults | None = None,
    ):
        """Starts empty.

        Args:
          clock: The source of time.
          lag_s: Seconds until a change is listed.
          faults: What goes wrong.
        """
        super().__init__(faults)
        self._clock = clock
        self._delayed = _records.DelayedList(lag_s)

    async def fetch(self) -> list[instances.ListedInstance]:
        """Returns what was announced `lag_s` ago; see `InstanceList`."""
        await self._before_call("instances")
        return self._delayed.listed(self._clock.now())

    async def announce(
        self,
        instance: types.Instance,
        state: instances.State = instances.State.LIVE,
    ) -> None:
        """Tells the platform of an instance; see `InstanceList`."""
        await self._before_call("announce")
        self._delayed.announce(instance, state, self._clock.now())
        self._after_call("announce")

    def remove(self, instance_id: str) -> None:
        """Makes the platform notice that an instance is gone."""
        self._delayed.remove(instance_id, self._clock.now())


class MemoryStore(_Client):
    """A `blobs.BlobStore` in memory that counts the bytes served."""

    def __init__(self, faults: Faults | None = None):
        """Starts empty.

        Args:
          faults: What goes wrong.
        """
        super().__init__(faults)
        self.blobs: dict[str, bytes] = {}
        self.bytes_served = 0

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """Returns a part of a blob; see `blobs.BlobStore`."""
        await self._before_call("get")
        end = None if length is None else offset + length
        data = self._find(name)[offset:end]
        self.bytes_served += len(data)
        if self.faults.corrupt > 0:
            self.faults.corrupt -= 1
            return _records.flip_middle_bit(data)
        return data

    async def put(self, name: str, data: bytes) -> None:
        """Keeps a blob; see `blobs.BlobStore`."""
        await self._before_call("put")
        self.blobs[name] = data
        self._after_call("put")

    async def size(self, name: str) -> int:
        """Returns a blob's size in bytes; see `blobs.BlobStore`."""
        await self._before_call("size")
        return len(self._find(name))

    def _find(self, name: str) -> bytes:
        if name not in self.blobs:
            raise exceptions.BlobMissing(f"no blob {name!r}")
        return self.blobs[name]
