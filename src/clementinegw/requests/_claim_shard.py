"""Handles one shard of claims at the entry that batches its appends.

The owner of a shard caches its stream and batches appends, but does not decide
who wins: only the order of records in the log does. If two entries own a shard
at once, or an owner resumes after a pause, this costs additional appends and
does no other harm.
"""

import asyncio
import dataclasses

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw.platform import log as platform_log
from clementinegw.requests import _claim_events
from clementinegw.requests import _claim_stream
from clementinegw.requests import claim as claim_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire.gen.requests import ttypes

Verdict = ttypes.ClaimVerdict


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of a shard, all in seconds.

    Attributes:
      batch_interval_s: The minimum time between two appends.
      max_end_delay_s: How long the end of a claim waits for a claim to be
        appended with.
      append_timeout_s: The time after which the answer to an append counts as
        lost.
      lost_answer_timeout_s: For how long an append whose answer was lost is
        looked for in the log and retried.
      retry_interval_s: The time between two attempts of one append.
      recovery_poll_interval_s: The time between two reads of a log that
        failed.
    """

    batch_interval_s: float = 0.04
    max_end_delay_s: float = 0.25
    append_timeout_s: float = 1.0
    lost_answer_timeout_s: float = 1.0
    retry_interval_s: float = 0.05
    recovery_poll_interval_s: float = 0.5


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A claim without a verdict, and the future of its reply."""

    claim: ttypes.Claim
    reply: asyncio.Future[ttypes.ClaimReply]


@dataclasses.dataclass(slots=True)
class _PendingEnd:
    """An end that is not appended, and the future of its append."""

    end: ttypes.ClaimEnd
    appended: asyncio.Future[None]


class Shard:
    """Reads one stream of claims and appends to it in batches."""

    _MAX_BATCH = 512

    def __init__(
        self,
        shard_number: int,
        log_client: platform_log.LogClient,
        horizon: claim_lib.Horizon,
        timing: Timing,
        clock: clock_lib.Clock,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Initializes the shard; its stream is read on first use.

        Args:
          shard_number: The number of the shard.
          log_client: The platform's log.
          horizon: How far back claims are remembered.
          timing: The intervals and timeouts.
          clock: The source of time.
          log: Receives events.
          counters: Counts appends and claims.
        """
        self._stream_name = claim_lib.stream_name(shard_number)
        self._shard_number = shard_number
        self._log_client = log_client
        self._timing = timing
        self._clock = clock
        self._log = log
        self._counters = counters
        self._stream = _claim_stream.ClaimStream(
            shard_number,
            log_client,
            horizon,
            timing.append_timeout_s,
            timing.retry_interval_s,
            clock,
            log,
            counters,
        )
        self._pending_claims: dict[bytes, _PendingClaim] = {}
        self._claim_added = asyncio.Event()
        self._pending_ends: dict[bytes, _PendingEnd] = {}
        self._task: asyncio.Task | None = None
        self._log_available = True
        self._last_append_at = float("-inf")
        self._append_started_at: float | None = None

    @property
    def winner_count(self) -> int:
        """The number of winning claims that are remembered."""
        return len(self._stream.table)

    async def claim(self, claim: ttypes.Claim) -> ttypes.ClaimReply:
        """Claims a key.

        A claim that is answered with LOG_UNAVAILABLE may nevertheless be in the
        log, or arrive there later; its holder releases it.

        Args:
          claim: The claim; it may be repeated with the same id.

        Returns:
          The reply with the verdict.
        """
        if self._is_log_down():
            return self._log_unavailable()
        pending = self._pending_claims.get(claim.claim_id)
        if pending is None:
            reply = asyncio.get_running_loop().create_future()
            pending = _PendingClaim(claim, reply)
            self._pending_claims[claim.claim_id] = pending
            self._claim_added.set()
            self._ensure_running()
        try:
            async with asyncio.timeout(self._timing.append_timeout_s):
                return await asyncio.shield(pending.reply)
        except TimeoutError:
            # The stream is still being read, or the log is slow. Without a
            # reply, the caller would consider this entry dead, and one entry
            # after the other would begin to read the stream.
            self._pending_claims.pop(claim.claim_id, None)
            return self._log_unavailable()

    async def append_ends(
        self, ends: list[ttypes.ClaimEnd]
    ) -> ttypes.ClaimReply:
        """Appends ends of claims with the next batch, and waits for it.

        The caller keeps them until then: if they were lost with an owner that
        dies, a released key would stay claimed until the horizon.

        Returns:
          VOID if they are in the log, else LOG_UNAVAILABLE.
        """
        if self._is_log_down():
            return self._log_unavailable()
        loop = asyncio.get_running_loop()
        appended = []
        for end in ends:
            pending_end = self._pending_ends.get(end.claim_id)
            if pending_end is None or pending_end.end.kind != end.kind:
                pending_end = _PendingEnd(end, loop.create_future())
                self._pending_ends[end.claim_id] = pending_end
            appended.append(asyncio.shield(pending_end.appended))
        self._ensure_running()
        try:
            async with asyncio.timeout(self._timing.append_timeout_s):
                await asyncio.gather(*appended)
        except TimeoutError:
            return self._log_unavailable()
        return ttypes.ClaimReply(verdict=Verdict.VOID)

    def close(self) -> None:
        """Stops appending."""
        if self._task is not None:
            self._task.cancel()

    def _is_log_down(self) -> bool:
        # For a waiting caller, a log that stalls is the same as one that is
        # down.
        stalled = (
            self._append_started_at is not None
            and self._clock.now() - self._append_started_at
            > self._timing.append_timeout_s
        )
        return stalled or not self._log_available

    def _log_unavailable(self) -> ttypes.ClaimReply:
        self._counters.add("claims.log_unavailable")
        return ttypes.ClaimReply(
            verdict=Verdict.LOG_UNAVAILABLE,
            retry_after_ms=int(
                2 * self._timing.recovery_poll_interval_s * 1000
            ),
        )

    def _ensure_running(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        """Appends until no claim and no end is pending."""
        while self._pending_claims or self._pending_ends:
            try:
                await self._append_pending()
            except exceptions.PlatformError:
                await self._wait_for_log()

    async def _append_pending(self) -> None:
        if not self._stream.has_read:
            await self._stream.read()
        await self._wait_for_batch()
        self._reply_decided()
        claims = [pending.claim for pending in self._pending_claims.values()][
            : self._MAX_BATCH
        ]
        pending_ends = list(self._pending_ends.values())[: self._MAX_BATCH]
        ends = [pending_end.end for pending_end in pending_ends]
        if not claims and not ends:
            return
        await self._append_batch(ttypes.ClaimBatch(claims=claims, ends=ends))
        for pending_end in pending_ends:
            pending_end.appended.set_result(None)
            if self._pending_ends.get(pending_end.end.claim_id) is pending_end:
                del self._pending_ends[pending_end.end.claim_id]
        self._reply_decided()

    async def _wait_for_batch(self) -> None:
        """Waits for claims and ends that can share the next append."""
        if not self._pending_claims:
            try:
                async with asyncio.timeout(self._timing.max_end_delay_s):
                    await self._claim_added.wait()
            except TimeoutError:
                pass
        self._claim_added.clear()
        wait_s = (
            self._last_append_at
            + self._timing.batch_interval_s
            - self._clock.now()
        )
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    async def _append_batch(self, batch: ttypes.ClaimBatch) -> None:
        """Appends a batch and applies the stream up to it.

        Raises:
          exceptions.PlatformError: The log does not answer; the batch may or
            may not be in it.
        """
        self._append_started_at = self._last_append_at = self._clock.now()
        until = self._append_started_at + self._timing.lost_answer_timeout_s
        try:
            while not await self._try_append(batch):
                if self._clock.now() >= until:
                    raise exceptions.PlatformUnavailable("no answer in time")
                await asyncio.sleep(self._timing.retry_interval_s)
        finally:
            self._append_started_at = None
        self._counters.add("claims.appends")
        self._counters.add("claims.claims", len(batch.claims))

    async def _try_append(self, batch: ttypes.ClaimBatch) -> bool:
        """Appends a batch once; returns whether it is in the log."""
        value = codec.encode(batch)
        try:
            async with asyncio.timeout(self._timing.append_timeout_s):
                offset = await self._log_client.append(self._stream_name, value)
        except TimeoutError as error:
            # The waiting callers are refused now. The holders release claims
            # that may be in the log, while this shard polls the log.
            raise exceptions.PlatformUnavailable("no answer in time") from error
        except exceptions.PlatformUnavailable:
            # The answer may be lost after the append took effect. If this
            # counted as a failure, the claim could win in the log without being
            # used; if it counted as a success, two entries could run one key.
            # Therefore the log is read: either it holds the claims of this
            # batch by now, or the same batch can safely be appended again.
            self._counters.add("claims.append_lost")
            await self._stream.read()
            return self._has_all_claims(batch)
        await self._stream.apply_appended(offset, batch)
        return True

    def _has_all_claims(self, batch: ttypes.ClaimBatch) -> bool:
        if not batch.claims:
            return False
        verdicts = (self._stream.verdict(claim) for claim in batch.claims)
        return all(verdict is not None for verdict in verdicts)

    def _reply_decided(self) -> None:
        """Replies to the pending claims that the stream has decided."""
        for pending in list(self._pending_claims.values()):
            reply = self._stream.verdict(pending.claim)
            if reply is not None:
                self._reply(pending, reply)

    def _reply(self, pending: _PendingClaim, reply: ttypes.ClaimReply) -> None:
        del self._pending_claims[pending.claim.claim_id]
        if not pending.reply.done():
            pending.reply.set_result(reply)

    async def _wait_for_log(self) -> None:
        """Refuses the pending claims and polls the log until it answers."""
        self._log_available = False
        self._log.write(_claim_events.LOG_DOWN, shard=self._shard_number)
        for pending in list(self._pending_claims.values()):
            self._reply(pending, self._log_unavailable())
        while not self._log_available:
            await asyncio.sleep(self._timing.recovery_poll_interval_s)
            try:
                await self._stream.read()
            except exceptions.PlatformError:
                continue
            self._log_available = True
        self._log.write(_claim_events.LOG_UP, shard=self._shard_number)
