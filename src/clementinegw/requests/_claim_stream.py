"""Reads one shard's stream of claims as far as it is needed."""

import asyncio

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw.platform import log as platform_log
from clementinegw.requests import _claim_events
from clementinegw.requests import claim as claim_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire.gen.requests import ttypes


class ClaimStream:
    """Reads a stream and applies its records to a table of winners.

    Attributes:
      table: The winners, as far as the stream was read.
    """

    _PAGE_RECORDS = 500

    def __init__(
        self,
        shard_number: int,
        log_client: platform_log.LogClient,
        horizon: claim_lib.Horizon,
        call_timeout_s: float,
        retry_interval_s: float,
        clock: clock_lib.Clock,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Initializes the stream, which is read on first use.

        Args:
          shard_number: The number of the shard.
          log_client: The platform's log.
          horizon: How far back claims are remembered.
          call_timeout_s: How long a call to the log may take, in seconds.
          retry_interval_s: The delay before a call is retried, in seconds.
          clock: The source of time.
          log: Receives events.
          counters: Counts streams that went back to an older state.
        """
        self.table = claim_lib.ClaimTable(horizon)
        self._shard_number = shard_number
        self._stream_name = claim_lib.stream_name(shard_number)
        self._log_client = log_client
        self._horizon = horizon
        self._call_timeout_s = call_timeout_s
        self._retry_interval_s = retry_interval_s
        self._clock = clock
        self._log = log
        self._counters = counters
        self._position = 0
        self._complete_since = 0.0

    @property
    def has_read(self) -> bool:
        """Whether any of the stream has been read."""
        return self._position > 0

    def verdict(self, claim: ttypes.Claim) -> ttypes.ClaimReply | None:
        """Returns the reply to a claim; None if its key is free."""
        return self.table.verdict(
            claim, self._clock.wall(), self._complete_since
        )

    async def apply_appended(
        self, offset: int, batch: ttypes.ClaimBatch
    ) -> None:
        """Applies the stream up to a record that this entry appended.

        Args:
          offset: The offset of the record.
          batch: The content of the record.

        Raises:
          exceptions.PlatformUnavailable: The records that others appended
            before it cannot be read.
        """
        if offset < self._position:
            self._handle_rollback(offset)
        if offset == self._position and not _has_leases(batch):
            # No other entry has appended since. The time of a lease must come
            # from the log, or two owners could disagree whether it has lapsed.
            self._apply(offset, self._clock.wall(), batch)
        else:
            await self.read(offset)

    async def read(self, offset: int | None = None) -> None:
        """Applies the stream up to its end, or up to an offset."""
        began = self._position == 0
        if began:
            await self._seek_start()
        while offset is None or self._position <= offset:
            page = await self._read_page(self._position)
            self._check_page(page)
            for record in page.records:
                self._apply_record(record)
            if not page.records:
                self._position = max(self._position, page.next_offset)
                break
        if began:
            self._log.write(
                _claim_events.SHARD_READ,
                shard=self._shard_number,
                claims=len(self.table),
            )

    async def _seek_start(self) -> None:
        page = await self._read_page(0)
        self._position = await self._find_start(page)
        if page.first_offset > 1:
            # Records have expired: whether a key older than the first kept
            # record was claimed is unknown.
            self._complete_since = self._page_complete_since(page)

    async def _find_start(self, page: platform_log.Page) -> int:
        """Returns the first offset that may be within the horizon.

        The log may keep records for days. If a new owner read the stream from
        its beginning, the shard would refuse claims until it was done.
        """
        oldest = self._clock.wall() - self._horizon.retention_s
        low, high = max(1, page.first_offset), page.next_offset
        while high - low > self._PAGE_RECORDS:
            middle = (low + high) // 2
            records = (await self._read_page(middle, 1)).records
            if not records or records[0].time >= oldest:
                high = middle
            else:
                low = records[0].offset + 1
        return low

    async def _read_page(
        self, offset: int, limit: int = _PAGE_RECORDS
    ) -> platform_log.Page:
        try:
            try:
                return await self._try_read_page(offset, limit)
            except exceptions.PlatformUnavailable:
                await asyncio.sleep(self._retry_interval_s)
                return await self._try_read_page(offset, limit)
        except TimeoutError as error:
            raise exceptions.PlatformUnavailable("no answer in time") from error

    async def _try_read_page(
        self, offset: int, limit: int
    ) -> platform_log.Page:
        async with asyncio.timeout(self._call_timeout_s):
            return await self._log_client.read(self._stream_name, offset, limit)

    def _page_complete_since(self, page: platform_log.Page) -> float:
        oldest = page.records[0].time if page.records else self._clock.wall()
        return oldest + self._horizon.max_clock_skew_s

    def _check_page(self, page: platform_log.Page) -> None:
        if page.next_offset < self._position:
            self._handle_rollback(page.next_offset)
        elif page.first_offset > self._position:
            self._complete_since = max(
                self._complete_since, self._page_complete_since(page)
            )
            self._position = page.first_offset

    def _handle_rollback(self, offset: int) -> None:
        # A log that was restored from an older state assigns offsets again.
        # Only those who read the lost part know its claims; a new owner would
        # let such a key run a second time.
        self._log.write(
            _claim_events.STREAM_WENT_BACK, shard=self._shard_number
        )
        self._counters.add("claims.stream_went_back")
        self._complete_since = (
            self._clock.wall() + self._horizon.max_clock_skew_s
        )
        self._position = offset

    def _apply_record(self, record: platform_log.Record) -> None:
        if record.offset < self._position:
            return
        try:
            batch = codec.decode(ttypes.ClaimBatch, record.value)
        except exceptions.DecodeError:
            self._log.write(
                _claim_events.CLAIM_RECORD_MALFORMED, offset=record.offset
            )
            self._position = record.offset + 1
            return
        self._apply(record.offset, record.time, batch)

    def _apply(
        self, offset: int, time: float, batch: ttypes.ClaimBatch
    ) -> None:
        self.table.apply(offset, time, batch)
        self._position = offset + 1


def _has_leases(batch: ttypes.ClaimBatch) -> bool:
    return any(claim.lease for claim in batch.claims)
