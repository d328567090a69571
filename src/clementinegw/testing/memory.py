"""An in-memory platform: its client Protocols without sockets.

For decision tests and the fault matrix. All waits use `asyncio.sleep` and all
times come from the clock, so that waits take no real time under `clock.run`.
`testing.platform` serves the same `_records` over HTTP.
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
    """The faults injected for one client; may be changed at any time.

    Attributes:
      down: Every call fails without effect.
      slow_s: Delay of each call before it takes effect, in seconds.
      answer_lost: The next n appends or puts take effect and then fail.
      refused: The next n calls fail without effect. The caller cannot
        distinguish them from those of `answer_lost`.
      stalled: Calls wait until they time out, without effect.
      corrupt: The next n blob reads return data with one flipped bit.
      timeout_s: Time after which a stalled or slow call fails, in seconds.
    """

    down: bool = False
    slow_s: float = 0.0
    answer_lost: int = 0
    refused: int = 0
    stalled: bool = False
    corrupt: int = 0
    timeout_s: float = 5.0


class _Client:
    """Base class of the in-memory clients: fault injection for each call."""

    def __init__(self, faults: Faults | None):
        self.faults = faults or Faults()
        self.calls = 0

    async def _before_call(self, what: str) -> None:
        """Fails or delays a call before it takes effect."""
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
        """Fails a call after it took effect."""
        if self.faults.answer_lost > 0:
            self.faults.answer_lost -= 1
            raise exceptions.PlatformUnavailable(f"{what}: no answer")


class MemoryLog(_Client):
    """A `log.LogClient` over records in memory.

    `client()` returns another client of the same log with its own faults. With
    one client per failure domain, a test can partition a domain from the
    platform.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        retention_s: float | None = None,
        faults: Faults | None = None,
        records: _records.Records | None = None,
    ):
        """Creates an empty log, or a client of an existing one.

        Args:
          clock: The source of the records' times.
          retention_s: Seconds that a record is kept; None keeps all.
          faults: The faults of this client; none by default.
          records: The records of an existing log; new ones by default.
        """
        super().__init__(faults)
        self._clock = clock
        self._records = records or _records.Records(retention_s)

    def client(self) -> "MemoryLog":
        """Returns another client of this log, with its own faults."""
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
        """Appends immediately and without faults, for the setup of a test."""
        return self._records.append(stream, value, self._clock.wall())

    def all(self, stream: str) -> tuple[log.Record, ...]:
        """Returns all retained records, without faults, for a test's checks."""
        wall = self._clock.wall()
        return self._records.page(stream, 0, 1 << 62, wall).records

    def truncate(self, stream: str, before: int | None = None) -> None:
        """Removes all records below an offset; all when it is None."""
        self._records.truncate(stream, before)

    def truncate_all(self) -> None:
        """Removes every record of every stream."""
        self._records.truncate_all()

    def roll_back(self, stream: str, next_offset: int) -> None:
        """Restores an older log: removes the records from an offset on.

        The offsets are assigned again to later records.
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
    """An `instances.InstanceList` that shows changes after a delay."""

    def __init__(
        self,
        clock: clocks.Clock,
        lag_s: float = 0.0,
        faults: Faults | None = None,
    ):
        """Creates an empty list.

        Args:
          clock: The source of time.
          lag_s: Seconds until a change is listed.
          faults: The faults; none by default.
        """
        super().__init__(faults)
        self._clock = clock
        self._delayed = _records.DelayedList(lag_s)

    async def fetch(self) -> list[instances.ListedInstance]:
        """Returns the list as it was `lag_s` ago; see `InstanceList`."""
        await self._before_call("instances")
        return self._delayed.listed(self._clock.now())

    async def announce(
        self,
        instance: types.Instance,
        state: instances.State = instances.State.LIVE,
    ) -> None:
        """Announces an instance to the platform; see `InstanceList`."""
        await self._before_call("announce")
        self._delayed.announce(instance, state, self._clock.now())
        self._after_call("announce")

    def remove(self, instance_id: str) -> None:
        """Removes an instance, as the platform does when it has gone."""
        self._delayed.remove(instance_id, self._clock.now())


class MemoryStore(_Client):
    """A `blobs.BlobStore` in memory that counts the bytes served."""

    def __init__(self, faults: Faults | None = None):
        """Creates an empty store.

        Args:
          faults: The faults; none by default.
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
        """Stores a blob; see `blobs.BlobStore`."""
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
