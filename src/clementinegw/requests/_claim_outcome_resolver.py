"""Finds out what became of a key's claim, here or at the entry holding it."""

import asyncio

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw.requests import _claim_outcomes as outcomes
from clementinegw.requests import _claim_owners
from clementinegw.requests import _held_claims
from clementinegw.requests import types as request_types
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Verdict = ttypes.ClaimVerdict
_MS_PER_S = 1000.0


class OutcomeResolver:
    """Queries the entries that hold claims; answers for claims held here."""

    def __init__(
        self,
        identity: connection_lib.Identity,
        held_claims: _held_claims.HeldClaims,
        owner_client: _claim_owners.OwnerClient,
        clock: clock_lib.Clock,
        call_timeout_s: float,
    ):
        """Initializes the resolver.

        Args:
          identity: The identity of this entry.
          held_claims: The claims that this entry holds.
          owner_client: Calls other entries.
          clock: The source of time.
          call_timeout_s: How long a holder may take to find the outcome of a
            claim, in seconds.
        """
        self._identity = identity
        self._held_claims = held_claims
        self._owner_client = owner_client
        self._clock = clock
        self._call_timeout_s = call_timeout_s

    @property
    def holder_name(self) -> str:
        """The name under which this entry holds claims.

        The incarnation distinguishes an entry from an earlier process with the
        same instance id.
        """
        return f"{self._identity.instance_id}@{self._identity.incarnation}"

    async def resolve_local(
        self,
        held: _held_claims.HeldClaim,
        request: request_types.Request,
        key_time_ms: int,
    ) -> request_types.ClaimResult | None:
        """Waits for the outcome of a claim that this entry holds.

        Returns:
          The result; None if the claim was released and the key is free.
        """
        if not held.matches(request.fingerprint, key_time_ms):
            return outcomes.key_reused()
        await _wait_settled(held, request.deadline - self._clock.now())
        if held.answer is not None:
            return request_types.KeptAnswer(held.answer)
        return outcomes.RESULT_BY_STATE[held.state]()

    async def resolve_winner(
        self,
        request: request_types.Request,
        claim: ttypes.Claim,
        reply: ttypes.ClaimReply,
    ) -> request_types.ClaimResult | None:
        """Returns the result of a claim that lost, from the winner's outcome.

        Args:
          request: The request whose claim lost.
          claim: The claim that lost.
          reply: The reply to that claim, which names the winner's holder.

        Returns:
          The result; None if the winner was released and the key is free, or
          becomes free as soon as the release is in the log.
        """
        holder_reply = await self._query_holder(request, claim, reply)
        verdict = reply.verdict
        if holder_reply is None:
            if verdict == Verdict.HELD and not reply.retry_after_ms:
                verdict = Verdict.UNKNOWN
            return outcomes.RESULT_BY_VERDICT[verdict]()
        if holder_reply.answer is not None:
            return request_types.KeptAnswer(
                outcomes.answer_from_wire(holder_reply.answer)
            )
        if holder_reply.verdict == Verdict.NOT_KEPT:
            # The holder is alive and has no such claim: the end of the claim
            # is on its way to the log.
            return outcomes.RESULT_IF_NOT_KEPT[verdict]()
        if holder_reply.verdict == Verdict.VOID:
            return None
        return outcomes.RESULT_BY_VERDICT[holder_reply.verdict]()

    async def answer_query(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        """Answers another entry's query for a claim that this entry holds."""
        claim = ask.claim
        if ask.incarnation != self._identity.incarnation:
            return ttypes.ClaimReply(verdict=Verdict.UNKNOWN)
        held = self._held_claims.get(claim.key)
        if held is None:
            return ttypes.ClaimReply(verdict=Verdict.NOT_KEPT)
        if not held.matches(claim.fingerprint, claim.key_time_ms):
            return ttypes.ClaimReply(verdict=Verdict.REUSED)
        await _wait_settled(held, (ask.wait_ms or 0) / _MS_PER_S)
        if held.answer is None:
            return ttypes.ClaimReply(
                verdict=outcomes.VERDICT_BY_STATE[held.state]
            )
        return ttypes.ClaimReply(
            verdict=Verdict.KEPT,
            answer=outcomes.answer_to_wire(held.answer),
        )

    async def _query_holder(
        self,
        request: request_types.Request,
        claim: ttypes.Claim,
        reply: ttypes.ClaimReply,
    ) -> ttypes.ClaimReply | None:
        """Returns the reply of the holder; None if it cannot be reached."""
        holder = reply.holder or ""
        instance_id, _, incarnation = holder.rpartition("@")
        if holder == self.holder_name:
            return ttypes.ClaimReply(verdict=Verdict.NOT_KEPT)
        if instance_id == self._identity.instance_id:
            # An earlier process of this instance held it; its state is lost.
            return ttypes.ClaimReply(verdict=Verdict.UNKNOWN)
        entry = self._owner_client.find_entry(instance_id)
        if entry is None:
            return None
        wait_s = max(0.0, request.deadline - self._clock.now())
        if reply.verdict != Verdict.HELD:
            wait_s = min(wait_s, self._call_timeout_s)
        ask = ttypes.ClaimAsk(
            operation=ttypes.ClaimOperation.KEPT,
            shard=0,
            claim=claim,
            wait_ms=int(wait_s * _MS_PER_S),
            incarnation=int(incarnation or 0),
        )
        try:
            async with asyncio.timeout(wait_s):
                return await self._owner_client.call(entry, ask)
        except (
            exceptions.ConnectionLost,
            exceptions.DecodeError,
            TimeoutError,
        ):
            return None


async def _wait_settled(held: _held_claims.HeldClaim, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            await held.done.wait()
    except TimeoutError:
        return
