"""Finds and calls the entry that owns a shard of claims."""

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
    """Opens a connection to another entry or returns the existing one."""

    async def connect(
        self, address: types.Address
    ) -> connection_lib.Connection:
        """Returns the connection.

        Raises:
          exceptions.ConnectionLost: The entry cannot be reached.
        """


def rank_entries(
    shard_number: int, entries: Sequence[types.Instance]
) -> list[types.Instance]:
    """Returns entries by their rank for a shard, by rendezvous hashing."""
    return sorted(
        entries,
        key=lambda entry: xxhash.xxh64_intdigest(
            f"{shard_number}\0{entry.instance_id}".encode()
        ),
        reverse=True,
    )


class OwnerClient:
    """Calls the owner of a shard, or the next in rank if it does not answer."""

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
        """Initializes the client.

        Args:
          own_id: The instance id of this entry.
          get_entries: Returns the entries that seem alive.
          connector: Connects to other entries.
          get_shard: Returns this entry's own shard by its number.
          clock: The source of time.
          counters: Counts owners that failed.
          call_timeout_s: How long one owner may take to reply, in seconds.
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
        """Claims a key at the owner of its shard.

        Calling several owners is safe: they append the same claim id, of which
        the first record counts.

        Args:
          shard_number: The number of the shard.
          claim: The claim.
          deadline: When to stop trying, in monotonic seconds.

        Returns:
          The reply with the verdict; LOG_UNAVAILABLE if no entry decided.
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
        """Sends ends of claims to the owner of their shard.

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
        """Calls another entry and returns its reply.

        Raises:
          exceptions.ConnectionLost: The entry cannot be reached.
          exceptions.DecodeError: The reply is malformed.
          TimeoutError: The entry does not reply in time.
        """
        connection = await self._connector.connect(entry.address)
        wait_s = self._call_timeout_s + (ask.wait_ms or 0) / _MS_PER_S
        frame = await connection_lib.call(
            connection, Kind.CLAIM_ASK, codec.encode(ask), wait_s
        )
        return codec.decode(ttypes.ClaimReply, frame.body)

    def find_entry(self, instance_id: str) -> types.Instance | None:
        """Returns an entry that seems alive, by its instance id."""
        for entry in self._get_entries():
            if entry.instance_id == instance_id:
                return entry
        return None

    async def _call_by_rank(
        self, shard_number: int, ask: ttypes.ClaimAsk, deadline: float
    ) -> ttypes.ClaimReply:
        """Calls the entries that rank first for a shard until one decides.

        Only a few are called, also while the log is unavailable: if every entry
        tried on its own, each would read the whole horizon once the log is
        back.
        """
        log_is_down = False
        for owner in self._candidates(shard_number):
            remaining_s = deadline - self._clock.now()
            if remaining_s <= 0:
                break
            instance_id = self._own_id if owner is None else owner.instance_id
            if self._log_cooldowns.is_active(instance_id):
                log_is_down = True
                continue
            if self._connection_cooldowns.is_active(instance_id):
                continue
            reply = await self._call_owner(owner, instance_id, ask, remaining_s)
            if reply is None:
                continue
            if reply.verdict != ttypes.ClaimVerdict.LOG_UNAVAILABLE:
                return reply
            # The failure domain of the owner may be cut off from the platform
            # while others are not. More often the log is down for all entries,
            # so the others get little time, since a caller waits.
            log_is_down = True
            self._log_cooldowns.start(instance_id)
            deadline = min(deadline, self._clock.now() + _LOG_RECHECK_TIMEOUT_S)
        remaining_s = deadline - self._clock.now()
        if not log_is_down and remaining_s > 0:
            # An entry that is cut off from all others may still reach the log.
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
        instance_id: str,
        ask: ttypes.ClaimAsk,
        remaining_s: float,
    ) -> ttypes.ClaimReply | None:
        """Returns the reply of an owner, or None if the call failed.

        An owner of None stands for this entry.
        """
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
                self._connection_cooldowns.start(instance_id)
            return None

    def _candidates(self, shard_number: int) -> list[types.Instance | None]:
        """Returns the entries to call in order; None stands for this entry."""
        now = self._clock.now()
        if now >= self._ranking_expires_at:
            # Ranking hundreds of entries for each claim would cost more than
            # the claim. Calls detect entries that have died since.
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
    """Entries that are not called for a while after a failure."""

    def __init__(self, clock: clock_lib.Clock, duration_s: float):
        self._clock = clock
        self._duration_s = duration_s
        self._expires_at: dict[str, float] = {}

    def start(self, instance_id: str) -> None:
        now = self._clock.now()
        self._expires_at = {
            n: t for n, t in self._expires_at.items() if t > now
        }
        self._expires_at[instance_id] = now + self._duration_s

    def is_active(self, instance_id: str) -> bool:
        return self._expires_at.get(instance_id, 0.0) > self._clock.now()
