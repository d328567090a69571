"""What became of a key's claim: asked of its holder, and told as one."""

import asyncio

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw.requests import _claim_kept
from clementinegw.requests import _claim_outcomes as outcomes
from clementinegw.requests import _claim_owners
from clementinegw.requests import types as request_types
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Verdict = ttypes.ClaimVerdict
_MS = 1000.0


class Holders:
    """Asks the entries that hold claims, and answers for this one."""

    def __init__(
        self,
        identity: connection_lib.Identity,
        held: _claim_kept.HeldClaims,
        owners: _claim_owners.Owners,
        clock: clock_lib.Clock,
        ask_s: float,
    ):
        """Prepares the asker.

        Args:
          identity: This entry's.
          held: Its own claims.
          owners: Reaches other entries.
          clock: The source of time.
          ask_s: How long a holder may take to find an answer, in seconds.
        """
        self._identity = identity
        self._held = held
        self._owners = owners
        self._clock = clock
        self._ask_s = ask_s

    @property
    def name(self) -> str:
        """This entry's name as a holder.

        The incarnation tells a holder that was replaced under its old name.
        """
        return f"{self._identity.instance_id}@{self._identity.incarnation}"

    async def join(
        self,
        held: _claim_kept.Held,
        request: request_types.Request,
        key_time_ms: int,
    ) -> request_types.ClaimResult | None:
        """Takes part in the outcome of a claim that this entry holds.

        Returns:
          The result; None when the claim was given up and the key is free.
        """
        if not held.fits(request.fingerprint, key_time_ms):
            return outcomes.key_reused()
        await _wait(held, request.deadline - self._clock.now())
        if held.answer is not None:
            return request_types.StoredAnswer(held.answer)
        return outcomes.JOINED[held.state]()

    async def follow(
        self,
        request: request_types.Request,
        claim: ttypes.Claim,
        reply: ttypes.ClaimReply,
    ) -> request_types.ClaimResult | None:
        """Gets the outcome of the claim that has won the key.

        Args:
          request: The request whose claim has lost.
          claim: That claim.
          reply: What it met.

        Returns:
          The result; None when the winner was given up and the key is free,
          or will be as soon as the log says so.
        """
        kept = await self._ask(request, claim, reply)
        verdict = reply.verdict
        if kept is None:
            if verdict == Verdict.HELD and not reply.retry_after_ms:
                verdict = Verdict.UNKNOWN
            return outcomes.HELD_ELSEWHERE[verdict]()
        if kept.answer is not None:
            return request_types.StoredAnswer(outcomes.answer(kept.answer))
        if kept.verdict == Verdict.NOT_KEPT:
            # The holder lives and has no such claim: its word on how it
            # ended is on its way through the log.
            return outcomes.FORGOTTEN[verdict]()
        if kept.verdict == Verdict.VOID:
            return None
        return outcomes.HELD_ELSEWHERE[kept.verdict]()

    async def tell(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        """Tells another entry what became of a claim of this one."""
        claim = ask.claim
        if ask.incarnation != self._identity.incarnation:
            return ttypes.ClaimReply(verdict=Verdict.UNKNOWN)
        held = self._held.find(claim.key)
        if held is None:
            return ttypes.ClaimReply(verdict=Verdict.NOT_KEPT)
        if not held.fits(claim.fingerprint, claim.key_time_ms):
            return ttypes.ClaimReply(verdict=Verdict.REUSED)
        await _wait(held, (ask.wait_ms or 0) / _MS)
        if held.answer is None:
            return ttypes.ClaimReply(verdict=outcomes.KEPT_VERDICTS[held.state])
        return ttypes.ClaimReply(
            verdict=Verdict.KEPT,
            answer=outcomes.kept_answer(held.answer),
        )

    async def _ask(
        self,
        request: request_types.Request,
        claim: ttypes.Claim,
        reply: ttypes.ClaimReply,
    ) -> ttypes.ClaimReply | None:
        """Returns the holder's word; None when it cannot be had."""
        holder = reply.holder or ""
        instance_id, _, incarnation = holder.rpartition("@")
        if holder == self.name:
            return ttypes.ClaimReply(verdict=Verdict.NOT_KEPT)
        if instance_id == self._identity.instance_id:
            # An earlier process under this name; what it knew is gone.
            return ttypes.ClaimReply(verdict=Verdict.UNKNOWN)
        entry = self._owners.entry(instance_id)
        if entry is None:
            return None
        wait_s = max(0.0, request.deadline - self._clock.now())
        if reply.verdict != Verdict.HELD:
            wait_s = min(wait_s, self._ask_s)
        ask = ttypes.ClaimAsk(
            operation=ttypes.ClaimOperation.KEPT,
            shard=0,
            claim=claim,
            wait_ms=int(wait_s * _MS),
            incarnation=int(incarnation or 0),
        )
        try:
            async with asyncio.timeout(wait_s):
                return await self._owners.ask(entry, ask)
        except (
            exceptions.ConnectionLost,
            exceptions.DecodeError,
            TimeoutError,
        ):
            return None


async def _wait(held: _claim_kept.Held, seconds: float) -> None:
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await held.done.wait()
    except TimeoutError:
        return
