"""Brings the ends of this entry's claims into the log."""

import asyncio

from clementinegw.requests import _claim_owners
from clementinegw.requests import claim as claim_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.wire.gen.requests import ttypes


class EndQueue:
    """Ends that wait, until the owner of their shard has appended them."""

    def __init__(
        self,
        owner_client: _claim_owners.OwnerClient,
        counters: counters_lib.Counters,
        flush_interval_s: float,
        max_pending: int,
    ):
        """Starts empty.

        Args:
          owner_client: Append them.
          counters: Where delays are counted.
          flush_interval_s: How long an end may wait; releases do not.
          max_pending: How many wait at most.
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
        """Gives up a claim that may be in the log or get there later."""
        self.add(claim.key, claim.claim_id, ttypes.ClaimEndKind.RELEASED)

    def add(
        self, key: bytes, claim_id: bytes, kind: ttypes.ClaimEndKind
    ) -> None:
        """Takes the end of a claim."""
        if len(self._pending) >= self._max_pending:
            # The log has been away for long. The oldest ends are given up:
            # their keys stay taken until the horizon, and nothing runs twice.
            self._pending.pop(next(iter(self._pending)))
            self._counters.add("claims.ends_dropped")
        self._pending[claim_id] = ttypes.ClaimEnd(
            claim_id=claim_id, key=key, kind=kind
        )
        self._added.set()
        if kind == ttypes.ClaimEndKind.RELEASED:
            # Its caller may repeat the key at once, and finds it taken until
            # this has gone through the log.
            self._release_added.set()

    async def run(self) -> None:
        """Hands ends on, for ever."""
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
        """Hands on what waits; what is not appended goes on waiting."""
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
