"""Sends the ends of this entry's claims to the owners of their shards."""

import asyncio

from clementinegw.requests import _claim_owners
from clementinegw.requests import claim as claim_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.wire.gen.requests import ttypes


class EndQueue:
    """Holds ends of claims until the owner of their shard appended them."""

    def __init__(
        self,
        owner_client: _claim_owners.OwnerClient,
        counters: counters_lib.Counters,
        flush_interval_s: float,
        max_pending: int,
    ):
        """Creates an empty queue.

        Args:
          owner_client: Sends the ends to the owners.
          counters: Counts delayed and dropped ends.
          flush_interval_s: How long an end may wait for others to be sent with
            it, in seconds; releases are sent at once.
          max_pending: The most ends in the queue.
        """
        self._owner_client = owner_client
        self._counters = counters
        self._flush_interval_s = flush_interval_s
        self._max_pending = max_pending
        self._pending: dict[bytes, ttypes.ClaimEnd] = {}
        self._added = asyncio.Event()
        self._release_added = asyncio.Event()

    def __len__(self) -> int:
        return len(self._pending)

    def release(self, claim: ttypes.Claim) -> None:
        """Releases a claim that is in the log or may still arrive there."""
        self.add(claim.key, claim.claim_id, ttypes.ClaimEndKind.RELEASED)

    def add(
        self, key: bytes, claim_id: bytes, kind: ttypes.ClaimEndKind
    ) -> None:
        """Adds the end of a claim to the queue."""
        if len(self._pending) >= self._max_pending:
            # The log has been unavailable for long. The oldest end is dropped:
            # its key stays claimed until the horizon, so nothing runs twice.
            self._pending.pop(next(iter(self._pending)))
            self._counters.add("claims.ends_dropped")
        self._pending[claim_id] = ttypes.ClaimEnd(
            claim_id=claim_id, key=key, kind=kind
        )
        self._added.set()
        if kind == ttypes.ClaimEndKind.RELEASED:
            # The caller may repeat the key at once, and the key stays claimed
            # until the release is in the log.
            self._release_added.set()

    async def run(self) -> None:
        """Sends ends until it is cancelled."""
        while True:
            await self._added.wait()
            try:
                async with asyncio.timeout(self._flush_interval_s):
                    await self._release_added.wait()
            except TimeoutError:
                pass
            self._added.clear()
            self._release_added.clear()
            await self.flush()
            if self._pending:
                await asyncio.sleep(self._flush_interval_s)
                self._added.set()

    async def flush(self) -> None:
        """Sends all pending ends; those that are not appended stay pending."""
        by_shard: dict[int, list[ttypes.ClaimEnd]] = {}
        for end in self._pending.values():
            shard_number = claim_lib.shard_number(end.key, claim_lib.SHARDS)
            by_shard.setdefault(shard_number, []).append(end)
        await asyncio.gather(*(self._send(*item) for item in by_shard.items()))

    async def _send(
        self, shard_number: int, ends: list[ttypes.ClaimEnd]
    ) -> None:
        if not await self._owner_client.append_ends(shard_number, ends):
            self._counters.add("claims.ends_delayed")
            return
        for end in ends:
            if self._pending.get(end.claim_id) is end:
                del self._pending[end.claim_id]
