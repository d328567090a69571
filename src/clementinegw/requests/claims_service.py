"""Claims of idempotency keys at one entry: the filter before hand-over."""

import asyncio
from collections.abc import Callable, Sequence
import dataclasses
import secrets

import mode

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.platform import log as platform_log
from clementinegw.requests import _claim_ends
from clementinegw.requests import _claim_holders
from clementinegw.requests import _claim_kept
from clementinegw.requests import _claim_outcomes as outcomes
from clementinegw.requests import _claim_owners
from clementinegw.requests import _claim_shard
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
_MS = 1000.0
_LEASE_PREFIX = "lease\0"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The bounds of claims.

    Attributes:
      horizon: How far back claims are remembered.
      kept_bytes: Memory for kept answers.
      answer_bytes: The largest answer that is kept.
      ask_s: How long one owner of a shard may take, in seconds.
      again_s: Between two tries of a claim whose holder released it.
      follow_s: How long the log may take to tell of that release.
      flush_s: Within which ends of claims are handed on; releases at once.
      stop_s: How long a service that stops may take to hand on ends.
      ends: Ends of claims that wait at most.
    """

    horizon: claim_lib.Horizon = claim_lib.Horizon()
    kept_bytes: int = 8 << 20
    answer_bytes: int = 65_536
    ask_s: float = 1.3
    again_s: float = 0.1
    follow_s: float = 1.0
    flush_s: float = 0.25
    stop_s: float = 2.0
    ends: int = 10_000


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
        """Registers its handler at the endpoint.

        Args:
          endpoint: This entry's connections.
          log_client: The platform's log.
          entries: The entries that seem alive, this one among them or not.
          limits: The bounds.
          timing: How shards wait.
          clock: The source of time.
          log: Where events go.
          counters: Where verdicts are counted.
          new_id: Makes claim ids that no other process makes.
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
        self._held = _claim_kept.HeldClaims(
            self._limits.kept_bytes, self._limits.answer_bytes
        )
        self._wire(endpoint, entries)

    def _wire(
        self,
        endpoint: connection_lib.Endpoint,
        entries: Callable[[], Sequence[types.Instance]],
    ) -> None:
        self._owners = _claim_owners.Owners(
            endpoint.identity.instance_id,
            entries,
            endpoint,
            self._shard,
            self._clock,
            self._counters,
            self._limits.ask_s,
        )
        self._holders = _claim_holders.Holders(
            endpoint.identity,
            self._held,
            self._owners,
            self._clock,
            self._limits.ask_s,
        )
        self._ends = _claim_ends.Ends(
            self._owners,
            self._counters,
            self._limits.flush_s,
            self._limits.ends,
        )
        endpoint.on_call(Kind.CLAIM_ASK, self._on_ask)

    def apply(self, limits: Limits, timing: Timing) -> None:
        """Takes over changed bounds from the settings."""
        if limits == self._limits and timing == self._timing:
            return
        self._limits = limits
        self._timing = timing
        self._held.resize(limits.kept_bytes, limits.answer_bytes)
        # A longer horizon needs claims that were forgotten: each shard is read
        # anew when it is next asked; the old readers finish what they have.
        self._shards = {}

    async def on_stop(self) -> None:
        """Hands on what has ended; a key whose end is lost stays taken."""
        try:
            async with asyncio.timeout(self._limits.stop_s):
                await self._ends.flush()
        except TimeoutError:
            self._counters.add("claims.ends_dropped", len(self._ends))
        for shard in self._shards.values():
            shard.close()

    async def claim(
        self, request: request_types.Request
    ) -> request_types.ClaimResult:
        """Claims the request's key; see `requests.types.Claims`."""
        try:
            key_time_ms = claim_lib.key_time_ms(request.key, request.headers)
        except ValueError as error:
            return outcomes.refused(
                types.NotRunReason.BAD_REQUEST, None, str(error)
            )
        latest = self._clock.wall() + self._limits.horizon.margin_s
        if key_time_ms > latest * _MS:
            return outcomes.refused(
                types.NotRunReason.BAD_REQUEST,
                None,
                "Clementine-Key-Time: expected a time that is not in the"
                " future",
            )
        # Callers that the settings do not name share one customer; their keys
        # must not meet, or one would be given another's kept answer.
        caller = request.caller or request.customer
        key = claim_lib.key_hash(request.service, caller, request.key)
        until = min(request.deadline, self._clock.now() + self._limits.follow_s)
        while True:
            held = self._held.find(key)
            if held is not None:
                result = await self._holders.join(held, request, key_time_ms)
            else:
                result = await self._claim(request, key, key_time_ms)
            if result is not None:
                return result
            if self._clock.now() + self._limits.again_s >= until:
                return outcomes.claim_lost()
            await asyncio.sleep(self._limits.again_s)

    def settle(
        self, request: request_types.Request, outcome: types.Outcome
    ) -> None:
        """Tells how a claimed request ended; see `requests.types.Claims`."""
        held = self._held.settle(request.request_id, outcome)
        if held is not None:
            self._counters.add(f"claims.settled.{held.state.value}")
            self._ends.add(held.key, held.claim_id, outcomes.ENDS[held.state])

    async def turn(
        self, name: bytes, use_s: float
    ) -> request_types.Lease | None:
        """Takes the only turn in the fleet for something, for a while.

        Args:
          name: What the turn is for.
          use_s: After which it is over by itself, in seconds.

        Returns:
          The turn; None when another entry has it or the log is down.
        """
        key = claim_lib.key_hash("", "", _LEASE_PREFIX + name.hex())
        claim = ttypes.Claim(
            claim_id=self._new_id(),
            key=key,
            fingerprint=name,
            holder=self._holders.name,
            key_time_ms=0,
            use_ms=int(use_s * _MS),
            lease=True,
        )
        until = self._clock.now() + use_s
        reply = await self._ask_owner(claim, until)
        if reply.verdict == Verdict.WON and self._clock.now() < until:
            return request_types.Lease(key, claim.claim_id, until)
        if reply.verdict not in _DECIDED:
            self._ends.release(claim)
        return None

    def end_turn(self, turn: request_types.Lease) -> None:
        """Gives a turn back."""
        self._ends.add(turn.key, turn.claim_id, ttypes.ClaimEndKind.RELEASED)

    async def _claim(
        self, request: request_types.Request, key: bytes, key_time_ms: int
    ) -> request_types.ClaimResult | None:
        """Claims a key that this entry does not hold; None to try again."""
        # The time of use runs from before the append: a holder that is paused
        # in between, and then wakes, finds its claim lapsed by its own clock.
        left_s = request.deadline - self._clock.now()
        if left_s <= 0:
            return outcomes.refused(types.NotRunReason.DEADLINE, None)
        claim = ttypes.Claim(
            claim_id=self._new_id(),
            key=key,
            fingerprint=request.fingerprint,
            holder=self._holders.name,
            key_time_ms=key_time_ms,
            use_ms=int(left_s * _MS),
            lease=False,
        )
        held = _claim_kept.Held(
            key,
            claim.claim_id,
            request.request_id,
            request.fingerprint,
            key_time_ms,
        )
        self._held.open(held)
        won = False
        verdict = None
        try:
            reply = await self._ask_owner(claim, request.deadline)
            verdict = reply.verdict
            in_time = self._clock.now() < request.deadline
            won = verdict == Verdict.WON and in_time
        finally:
            # Also when the caller went away meanwhile.
            if not won:
                self._held.drop(held)
            if not won and verdict not in _DECIDED:
                self._ends.release(claim)
        if won:
            return request_types.ClaimWon(reply.offset)
        if reply.verdict == Verdict.WON:
            return outcomes.refused(types.NotRunReason.DEADLINE, None)
        return await self._lost(request, claim, reply)

    async def _ask_owner(
        self, claim: ttypes.Claim, deadline: float
    ) -> ttypes.ClaimReply:
        number = claim_lib.shard_of(claim.key, claim_lib.SHARDS)
        reply = await self._owners.claim(number, claim, deadline)
        self._counters.add(f"claims.verdict.{_name(reply.verdict)}")
        return reply

    async def _lost(
        self,
        request: request_types.Request,
        claim: ttypes.Claim,
        reply: ttypes.ClaimReply,
    ) -> request_types.ClaimResult | None:
        refusal = outcomes.REFUSALS.get(reply.verdict)
        if refusal is not None:
            reason, detail = refusal
            retry_after_s = (reply.retry_after_ms or 0) / _MS or None
            return outcomes.refused(reason, retry_after_s, detail)
        if reply.verdict == Verdict.VOID:
            return None
        return await self._holders.follow(request, claim, reply)

    def _shard(self, number: int) -> _claim_shard.Shard:
        shard = self._shards.get(number)
        if shard is None:
            shard = _claim_shard.Shard(
                number,
                self._log_client,
                self._limits.horizon,
                self._timing,
                self._clock,
                self._log,
                self._counters,
            )
            self._shards[number] = shard
        return shard

    async def _on_ask(
        self,
        connection: connection_lib.Connection,
        exchange: connection_lib.Exchange,
        frame: connection_lib.Frame,
    ) -> None:
        del connection
        ask = codec.decode(ttypes.ClaimAsk, frame.body)
        reply = await _OPERATIONS[ask.operation](self, ask)
        await exchange.send(Kind.CLAIM_REPLY, codec.encode(reply))

    async def _on_claim(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        return await self._shard(ask.shard).claim(ask.claim)

    async def _on_end(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        return await self._shard(ask.shard).end(ask.ends or [])

    async def _on_kept(self, ask: ttypes.ClaimAsk) -> ttypes.ClaimReply:
        return await self._holders.tell(ask)

    @mode.Service.task
    async def _hand_on_ends(self) -> None:
        """Brings ends of claims to the owners of their shards."""
        await self._ends.run()


# The log has decided against the claim: it will never be used.
_DECIDED = frozenset(
    {
        Verdict.HELD,
        Verdict.RAN,
        Verdict.UNKNOWN,
        Verdict.EXPIRED,
        Verdict.REUSED,
        Verdict.VOID,
    }
)

_OPERATIONS = {
    ttypes.ClaimOperation.CLAIM: ClaimsService._on_claim,
    ttypes.ClaimOperation.END: ClaimsService._on_end,
    ttypes.ClaimOperation.KEPT: ClaimsService._on_kept,
}


def _name(verdict: ttypes.ClaimVerdict) -> str:
    return Verdict(verdict).name.lower()
