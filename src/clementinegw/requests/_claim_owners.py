"""Finds the entry that gathers a shard's claims, and asks it."""

import asyncio
from collections.abc import Callable, Sequence
import math
from typing import Protocol

import xxhash

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw import types
from clementinegw.requests import _claim_shard
from clementinegw.telemetry import counters as counters_lib
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind
_MS_PER_S = 1000.0
_MAX_CANDIDATES = 3
_CONNECTION_COOLDOWN_S = 5.0
_LOG_COOLDOWN_S = 1.0
_RANKING_REFRESH_S = 0.5
_LOG_RECHECK_TIMEOUT_S = 0.5
_CALL_ERRORS = (exceptions.ConnectionLost, exceptions.DecodeError, TimeoutError)


class Connector(Protocol):
    """Opens or returns the kept connection to another entry."""

    async def connect(
        self, address: types.Address
    ) -> connection_lib.Connection:
        """Returns the connection; raises `ConnectionLost`."""


def rank_entries(
    shard_number: int, entries: Sequence[types.Instance]
) -> list[types.Instance]:
    """Returns entries by their rank for a shard (rendezvous hashing)."""
    return sorted(
        entries,
        key=lambda entry: xxhash.xxh64_intdigest(
            f"{shard_number}\0{entry.instance_id}".encode()
        ),
        reverse=True,
    )


class OwnerClient:
    """Asks the owner of a shard; the next in rank when it does not answer."""

    def __init__(
        self,
        own_id: str,
        get_entries: Callable[[], Sequence[types.Instance]],
        connector: Connector,
        get_shard: Callable[[int], _claim_shard.Shard],
        clock: clock_lib.Clock,
        counters: counters_lib.Counters,
        call_timeout_s: float,
    ):
        """Prepares the asker.

        Args:
          own_id: This entry's instance id.
          get_entries: Returns the entries that seem alive.
          connector: Connects to them.
          get_shard: Returns this entry's own reader of a shard.
          clock: The source of time.
          counters: Where failed owners are counted.
          call_timeout_s: How long one owner may take, in seconds.
        """
        self._own_id = own_id
        self._get_entries = get_entries
        self._connector = connector
        self._get_shard = get_shard
        self._clock = clock
        self._counters = counters
        self._call_timeout_s = call_timeout_s
        self._candidates_by_shard: dict[int, list[types.Instance | None]] = {}
        self._ranking_expires_at = -math.inf
        self._connection_cooldowns = _Cooldowns(clock, _CONNECTION_COOLDOWN_S)
        self._log_cooldowns = _Cooldowns(clock, _LOG_COOLDOWN_S)

    async def claim(
        self, shard_number: int, claim: ttypes.Claim, deadline: float
    ) -> ttypes.ClaimReply:
        """Claims a key at the shard's owner.

        Asking several owners is safe: they append the same claim id, and its
        first record counts.

        Args:
          shard_number: The shard.
          claim: The claim.
          deadline: Monotonic seconds until which to try.

        Returns:
          The verdict; LOG_UNAVAILABLE when nobody could say.
        """
        ask = ttypes.ClaimAsk(
            operation=ttypes.ClaimOperation.CLAIM,
            shard=shard_number,
            claim=claim,
        )
        return await self._call_by_rank(shard_number, ask, deadline)

    async def append_ends(
        self, shard_number: int, ends: list[ttypes.ClaimEnd]
    ) -> bool:
        """Hands ends of claims to the shard's owner.

        Returns:
          Whether they are in the log.
        """
        ask = ttypes.ClaimAsk(
            operation=ttypes.ClaimOperation.END, shard=shard_number, ends=ends
        )
        deadline = self._clock.now() + _MAX_CANDIDATES * self._call_timeout_s
        reply = await self._call_by_rank(shard_number, ask, deadline)
        return reply.verdict == ttypes.ClaimVerdict.VOID

    async def call(
        self, entry: types.Instance, ask: ttypes.ClaimAsk
    ) -> ttypes.ClaimReply:
        """Asks another entry.

        Raises:
          exceptions.ConnectionLost: It cannot be reached.
          TimeoutError: It does not answer.
        """
        connection = await self._connector.connect(entry.address)
        wait_s = self._call_timeout_s + (ask.wait_ms or 0) / _MS_PER_S
        frame = await connection_lib.call(
            connection, Kind.CLAIM_ASK, codec.encode(ask), wait_s
        )
        return codec.decode(ttypes.ClaimReply, frame.body)

    def find_entry(self, instance_id: str) -> types.Instance | None:
        """Returns an entry that seems alive by its id."""
        for entry in self._get_entries():
            if entry.instance_id == instance_id:
                return entry
        return None

    async def _call_by_rank(
        self, shard_number: int, ask: ttypes.ClaimAsk, deadline: float
    ) -> ttypes.ClaimReply:
        """Asks those that rank first for a shard until one can say.

        Few are asked, also in an outage of the log: were every entry to try
        for itself, each would read the whole horizon once the log is back.
        """
        log_is_down = False
        for owner in self._candidates(shard_number):
            remaining_s = deadline - self._clock.now()
            if remaining_s <= 0:
                break
            name = self._own_id if owner is None else owner.instance_id
            if self._log_cooldowns.is_active(name):
                log_is_down = True
                continue
            if self._connection_cooldowns.is_active(name):
                continue
            reply = await self._call_owner(owner, name, ask, remaining_s)
            if reply is None:
                continue
            if reply.verdict != ttypes.ClaimVerdict.LOG_UNAVAILABLE:
                return reply
            # The owner may be cut off from the platform in a failure domain
            # of its own while others are not. More often the log is down for
            # all: the others get little time, since a caller waits.
            log_is_down = True
            self._log_cooldowns.start(name)
            deadline = min(deadline, self._clock.now() + _LOG_RECHECK_TIMEOUT_S)
        remaining_s = deadline - self._clock.now()
        if not log_is_down and remaining_s > 0:
            # Cut off from all others, an entry may still reach the log.
            reply = await self._call_owner(None, self._own_id, ask, remaining_s)
            if reply is not None:
                return reply
        return ttypes.ClaimReply(
            verdict=ttypes.ClaimVerdict.LOG_UNAVAILABLE,
            retry_after_ms=int(_LOG_COOLDOWN_S * _MS_PER_S),
        )

    async def _call_owner(
        self,
        owner: types.Instance | None,
        name: str,
        ask: ttypes.ClaimAsk,
        remaining_s: float,
    ) -> ttypes.ClaimReply | None:
        """Asks one owner; None stands for this entry, and for no answer."""
        timeout_s = min(self._call_timeout_s, remaining_s)
        try:
            async with asyncio.timeout(timeout_s):
                if owner is not None:
                    return await self.call(owner, ask)
                shard = self._get_shard(ask.shard)
                if ask.operation == ttypes.ClaimOperation.END:
                    return await shard.append_ends(ask.ends)
                return await shard.claim(ask.claim)
        except _CALL_ERRORS as error:
            self._counters.add("claims.owner_failed")
            cut_short = (
                isinstance(error, TimeoutError)
                and timeout_s < self._call_timeout_s
            )
            if not cut_short:
                self._connection_cooldowns.start(name)
            return None

    def _candidates(self, shard_number: int) -> list[types.Instance | None]:
        """Returns whom to ask in turn; None stands for this entry itself."""
        now = self._clock.now()
        if now >= self._ranking_expires_at:
            # Ranking hundreds of entries for each claim would cost more than
            # the claim; who has died since is found out by asking.
            self._ranking_expires_at = now + _RANKING_REFRESH_S
            self._candidates_by_shard.clear()
        if shard_number not in self._candidates_by_shard:
            first = rank_entries(shard_number, self._get_entries())[
                :_MAX_CANDIDATES
            ]
            self._candidates_by_shard[shard_number] = [
                None if entry.instance_id == self._own_id else entry
                for entry in first
            ]
        return self._candidates_by_shard[shard_number]


class _Cooldowns:
    """Entries that are not asked for a while."""

    def __init__(self, clock: clock_lib.Clock, seconds: float):
        self._clock = clock
        self._duration_s = seconds
        self._expires_at: dict[str, float] = {}

    def start(self, name: str) -> None:
        now = self._clock.now()
        self._expires_at = {
            n: t for n, t in self._expires_at.items() if t > now
        }
        self._expires_at[name] = now + self._duration_s

    def is_active(self, name: str) -> bool:
        return self._expires_at.get(name, 0.0) > self._clock.now()
