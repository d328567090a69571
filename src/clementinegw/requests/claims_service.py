"""Claims idempotency keys at one entry, before requests are handed over."""

import asyncio
from collections.abc import Callable, Sequence
import dataclasses
import secrets

import mode

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.platform import log as platform_log
from clementinegw.requests import _claim_end_queue
from clementinegw.requests import _claim_outcome_resolver
from clementinegw.requests import _claim_outcomes as outcomes
from clementinegw.requests import _claim_owners
from clementinegw.requests import _claim_shard
from clementinegw.requests import _held_claims
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import types as request_types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
Timing = _claim_shard.Timing
Verdict = ttypes.ClaimVerdict
_MS_PER_S = 1000.0
_LEASE_PREFIX = "lease\0"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits and timeouts of claims.

    Attributes:
      horizon: How far back claims are remembered.
      max_memory_bytes: The memory for ended claims and their kept answers.
      max_answer_bytes: The size of the largest answer that is kept.
      call_timeout_s: How long one owner of a shard may take to reply, in
        seconds.
      claim_retry_interval_s: The time between two attempts to claim a key whose
        holder released it, in seconds.
      release_wait_s: How long such a release may take to appear in the log, in
        seconds.
      flush_interval_s: The time within which ends of claims are sent, in
        seconds; releases are sent at once.
      stop_timeout_s: How long a stopping service may take to send the pending
        ends, in seconds.
      max_pending_ends: The maximum number of pending ends.
    """

    horizon: claim_lib.Horizon = claim_lib.Horizon()
    max_memory_bytes: int = 8 << 20
    max_answer_bytes: int = 65_536
    call_timeout_s: float = 1.3
    claim_retry_interval_s: float = 0.1
    release_wait_s: float = 1.0
    flush_interval_s: float = 0.25
    stop_timeout_s: float = 2.0
    max_pending_ends: int = 10_000


class ClaimsService(mode.Service):
    """Claims keys, keeps answers, and owns shards for other entries."""

    def __init__(
        self,
        endpoint: connection_lib.Endpoint,
        log_client: platform_log.LogClient,
        entries: Callable[[], Sequence[types.Instance]],
        limits: Limits | None = None,
        timing: Timing | None = None,
        clock: clock_lib.Clock | None = None,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
        new_id: Callable[[], bytes] | None = None,
    ):
        """Initializes the service and registers its handler at the endpoint.

        Args:
          endpoint: The connections of this entry.
          log_client: The platform's log.
          entries: Returns the entries that seem alive, with or without this
            one.
          limits: The limits and timeouts of claims.
          timing: The intervals and timeouts of shards.
          clock: The source of time.
          log: Receives events.
          counters: Counts verdicts.
          new_id: Returns claim ids that are unique in the fleet.
        """
        super().__init__()
        self._log_client = log_client
        self._limits = limits or Limits()
        self._timing = timing or Timing()
        self._clock = clock or clock_lib.SystemClock()
        self._log = log or logs.Log(instance=endpoint.identity.instance_id)
        self._counters = counters or counters_lib.Counters()
        self._new_id = new_id or (
            lambda: secrets.token_bytes(claim_lib.HASH_BYTES)
        )
        self._shards: dict[int, _claim_shard.Shard] = {}
        self._held_claims = _held_claims.HeldClaims(
            self._limits.max_memory_bytes, self._limits.max_answer_bytes
        )
        self._set_up(endpoint, entries)

    def _set_up(
        self,
        endpoint: connection_lib.Endpoint,
        entries: Callable[[], Sequence[types.Instance]],
    ) -> None:
        self._owner_client = _claim_owners.OwnerClient(
            endpoint.identity.instance_id,
            entries,
            endpoint,
            self._get_shard,
            self._clock,
            self._counters,
            self._limits.call_timeout_s,
        )
        self._outcome_resolver = _claim_outcome_resolver.OutcomeResolver(
            endpoint.identity,
            self._held_claims,
            self._owner_client,
            self._clock,
            self._limits.call_timeout_s,
        )
        self._end_queue = _claim_end_queue.EndQueue(
            self._owner_client,
            self._counters,
            self._limits.flush_interval_s,
            self._limits.max_pending_ends,
        )
        endpoint.on_call(Kind.CLAIM_ASK, self._on_call)

    def apply(self, limits: Limits, timing: Timing) -> None:
        """Applies changed limits from the settings."""
        if limits == self._limits and timing == self._timing:
            return
        self._limits = limits
        self._timing = timing
        self._held_claims.resize(
            limits.max_memory_bytes, limits.max_answer_bytes
        )
        # A longer horizon needs claims that have been dropped. Therefore each
        # shard is read anew when it is next called; the old shards finish their
        # pending claims.
        self._shards = {}

    async def on_stop(self) -> None:
        """Sends the pending ends; a key whose end is lost stays claimed."""
        try:
            async with asyncio.timeout(self._limits.stop_timeout_s):
                await self._end_queue.flush()
        except TimeoutError:
            self._counters.add("claims.ends_dropped", len(self._end_queue))
        for shard in self._shards.values():
            shard.close()

    async def claim(
        self, request: request_types.Request
    ) -> request_types.ClaimResult:
        """Claims the request's key; see `requests.types.Claims`."""
        try:
            key_time_ms = claim_lib.parse_key_time_ms(
                request.key, request.headers
            )
        except ValueError as error:
            return outcomes.refused(
                types.NotRunReason.BAD_REQUEST, None, str(error)
            )
        latest = self._clock.wall() + self._limits.horizon.max_clock_skew_s
        if key_time_ms > latest * _MS_PER_S:
            return outcomes.refused(
                types.NotRunReason.BAD_REQUEST,
                None,
                "Clementine-Key-Time: expected a time that is not in the"
                " future",
            )
        # Callers that the settings do not name share one customer. Their keys
        # must stay separate, or one would receive another's kept answer.
        caller = request.caller or request.customer
        key = claim_lib.hash_key(request.service, caller, request.key)
        until = min(
            request.deadline, self._clock.now() + self._limits.release_wait_s
        )
        while True:
            held = self._held_claims.get(key)
            if held is not None:
                result = await self._outcome_resolver.resolve_local(
                    held, request, key_time_ms
                )
            else:
                result = await self._claim(request, key, key_time_ms)
            if result is not None:
                return result
            if self._clock.now() + self._limits.claim_retry_interval_s >= until:
                return outcomes.claim_lost()
            await asyncio.sleep(self._limits.claim_retry_interval_s)

    def settle(
        self, request: request_types.Request, outcome: types.Outcome
    ) -> None:
        """Records how a claimed request ended; see `requests.types.Claims`."""
        held = self._held_claims.settle(request.request_id, outcome)
        if held is not None:
            self._counters.add(f"claims.settled.{held.state.value}")
            self._end_queue.add(
                held.key, held.claim_id, outcomes.END_KIND_BY_STATE[held.state]
            )

    async def acquire_lease(
        self, name: bytes, use_s: float
    ) -> request_types.Lease | None:
        """Acquires a lease that only one entry of the fleet holds at a time.

        Args:
          name: What the lease is for.
          use_s: The time after which the lease expires, in seconds.

        Returns:
          The lease; None if another entry holds it or the log is down.
        """
        key = claim_lib.hash_key("", "", _LEASE_PREFIX + name.hex())
        claim = ttypes.Claim(
            claim_id=self._new_id(),
            key=key,
            fingerprint=name,
            holder=self._outcome_resolver.holder_name,
            key_time_ms=0,
            use_ms=int(use_s * _MS_PER_S),
            lease=True,
        )
        until = self._clock.now() + use_s
        reply = await self._call_owner(claim, until)
        if reply.verdict == Verdict.WON and self._clock.now() < until:
            return request_types.Lease(key, claim.claim_id, until)
        if reply.verdict not in _FINAL_VERDICTS:
            self._end_queue.release(claim)
        return None

    def release_lease(self, lease: request_types.Lease) -> None:
        """Releases a lease."""
        self._end_queue.add(
            lease.key, lease.claim_id, ttypes.ClaimEndKind.RELEASED
        )

    async def _claim(
        self, request: request_types.Request, key: bytes, key_time_ms: int
    ) -> request_types.ClaimResult | None:
        """Claims a key that this entry does not hold; None to claim again."""
        # The time of use starts before the append: a holder that is paused in
        # between finds by its own clock that its claim has lapsed.
        remaining_s = request.deadline - self._clock.now()
        if remaining_s <= 0:
            return outcomes.refused(types.NotRunReason.DEADLINE, None)
        claim = ttypes.Claim(
            claim_id=self._new_id(),
            key=key,
            fingerprint=request.fingerprint,
            holder=self._outcome_resolver.holder_name,
            key_time_ms=key_time_ms,
            use_ms=int(remaining_s * _MS_PER_S),
            lease=False,
        )
        held = _held_claims.HeldClaim(
            key,
            claim.claim_id,
            request.request_id,
            request.fingerprint,
            key_time_ms,
        )
        self._held_claims.add(held)
        won = False
        verdict = None
        try:
            reply = await self._call_owner(claim, request.deadline)
            verdict = reply.verdict
            in_time = self._clock.now() < request.deadline
            won = verdict == Verdict.WON and in_time
        finally:
            # Also reached if the caller disconnected meanwhile.
            if not won:
                self._held_claims.discard(held)
            if not won and verdict not in _FINAL_VERDICTS:
                self._end_queue.release(claim)
        if won:
            return request_types.ClaimWon(reply.offset)
        if reply.verdict == Verdict.WON:
            return outcomes.refused(types.NotRunReason.DEADLINE, None)
        return await self._resolve_loss(request, claim, reply)

    async def _call_owner(
        self, claim: ttypes.Claim, deadline: float
    ) -> ttypes.ClaimReply:
        shard_number = claim_lib.shard_number(claim.key, claim_lib.SHARDS)
        reply = await self._owner_client.claim(shard_number, claim, deadline)
        self._counters.add(f"claims.verdict.{_verdict_name(reply.verdict)}")
        return reply

    async def _resolve_loss(
        self,
        request: request_types.Request,
        claim: ttypes.Claim,
        reply: ttypes.ClaimReply,
    ) -> request_types.ClaimResult | None:
        refusal = outcomes.REFUSAL_BY_VERDICT.get(reply.verdict)
        if refusal is not None:
            reason, detail = refusal
            retry_after_s = (reply.retry_after_ms or 0) / _MS_PER_S or None
            return outcomes.refused(reason, retry_after_s, detail)
        if reply.verdict == Verdict.VOID:
            return None
        return await self._outcome_resolver.resolve_winner(
            request, claim, reply
        )

    def _get_shard(self, shard_number: int) -> _claim_shard.Shard:
        shard = self._shards.get(shard_number)
        if shard is None:
            shard = _claim_shard.Shard(
                shard_number,
                self._log_client,
                self._limits.horizon,
                self._timing,
                self._clock,
                self._log,
                self._counters,
            )
            self._shards[shard_number] = shard
        return shard

    async def _on_call(
        self,
        connection: connection_lib.Connection,
        exchange: connection_lib.Exchange,
        frame: connection_lib.Frame,
    ) -> None:
        del connection
        ask = codec.decode(ttypes.ClaimAsk, frame.body)
        reply = await _HANDLERS[ask.operation](self, ask)
        await exchange.send(Kind.CLAIM_REPLY, codec.encode(reply))

    async def _on_claim(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        return await self._get_shard(ask.shard).claim(ask.claim)

    async def _on_end(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        return await self._get_shard(ask.shard).append_ends(ask.ends or [])

    async def _on_kept(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        return await self._outcome_resolver.answer_query(ask)

    @mode.Service.task
    async def _send_ends(self) -> None:
        """Sends ends of claims to the owners of their shards."""
        await self._end_queue.run()


# Verdicts by which the log has decided against the claim for good.
_FINAL_VERDICTS = frozenset(
    {
        Verdict.HELD,
        Verdict.RAN,
        Verdict.UNKNOWN,
        Verdict.EXPIRED,
        Verdict.REUSED,
        Verdict.VOID,
    }
)

_HANDLERS = {
    ttypes.ClaimOperation.CLAIM: ClaimsService._on_claim,
    ttypes.ClaimOperation.END: ClaimsService._on_end,
    ttypes.ClaimOperation.KEPT: ClaimsService._on_kept,
}


def _verdict_name(verdict: ttypes.ClaimVerdict) -> str:
    return Verdict(verdict).name.lower()
