"""Decides claims of idempotency keys from the records of a shard's stream.

The first claim for a key in append order wins, and its offset is the fencing
number. Every process that applies the same records finds the same winner, so it
does not matter which entry appends, or whether two entries own a shard at once.
See docs/design/claims.md.
"""

import dataclasses
import enum
import re
import struct

import blake3

from clementinegw.wire.gen.requests import ttypes

HASH_BYTES = 16
# Must never change and be the same at every entry: two entries that distribute
# keys over different numbers of streams would each find a key free that the
# other has claimed.
SHARDS = 8
KEY_TIME_HEADER = "clementine-key-time"
_UUID7 = re.compile(
    r"^([0-9a-f]{8})-?([0-9a-f]{4})-?7[0-9a-f]{3}-?[89ab][0-9a-f]{3}-?"
    r"[0-9a-f]{12}$",
    re.IGNORECASE,
)
_MS_PER_S = 1000.0


def hash_key(service: str, customer: str, key: str) -> bytes:
    """Returns a 16-byte hash of a customer's key at a service."""
    hasher = blake3.blake3()
    for part in (service, customer, key):
        data = part.encode()
        hasher.update(len(data).to_bytes(4, "big"))
        hasher.update(data)
    return hasher.digest(length=HASH_BYTES)


def shard_number(key: bytes, shard_count: int) -> int:
    """Returns the number of the shard that a hashed key belongs to."""
    return int.from_bytes(key[:8], "big") % shard_count


def stream_name(shard_number: int) -> str:
    """Returns the name of a shard's stream."""
    return f"claims-{shard_number}"


def parse_key_time_ms(key: str, headers: tuple[tuple[str, str], ...]) -> int:
    """Returns when a key was first used, according to its caller.

    The header `Clementine-Key-Time` gives the time in epoch seconds. Without
    it, a key that is a UUID of version 7 contains the time.

    Returns:
      Epoch milliseconds; 0 for an undated key.

    Raises:
      ValueError: The header is not a time; the message quotes its value.
    """
    for name, value in headers:
        if name.lower() == KEY_TIME_HEADER:
            return _parse_key_time_header(value)
    match = _UUID7.match(key)
    return int(match[1] + match[2], 16) if match else 0


def _parse_key_time_header(value: str) -> int:
    try:
        time_ms = int(float(value) * _MS_PER_S)
    except (ValueError, OverflowError):
        time_ms = -1
    if time_ms <= 0:
        raise ValueError(
            f"Clementine-Key-Time: expected epoch seconds, found {value!r}"
        )
    return time_ms


class ClaimStatus(enum.IntEnum):
    """How a claim ended, according to the log."""

    OPEN = 0
    RAN = 1
    UNKNOWN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class WinningClaim:
    """The winning claim of a key.

    Attributes:
      claim_id: The id of the claim.
      fingerprint: The fingerprint of the request that made the claim.
      offset: The offset of its record in the stream, the fencing number.
      time: When the log accepted the record, in epoch seconds.
      key_time_ms: When the key was first used, in epoch milliseconds; 0 for an
        undated key.
      use_ms: Within how many milliseconds of making the claim its holder hands
        the request over.
      lease: Whether the key is free again after that time.
      status: How the claim ended.
      holder: The name of the entry that may use the claim.
    """

    claim_id: bytes
    fingerprint: bytes
    offset: int
    time: float
    key_time_ms: int
    use_ms: int
    lease: bool
    status: ClaimStatus
    holder: str

    def has_lapsed(self, time: float, max_clock_skew_s: float) -> bool:
        """Returns whether the holder can no longer hand the request over."""
        return time > self.time + self.use_ms / _MS_PER_S + max_clock_skew_s


@dataclasses.dataclass(frozen=True, slots=True)
class Horizon:
    """How far back claims are remembered.

    Attributes:
      max_key_age_s: The age in seconds from which on keys are refused.
      max_clock_skew_s: By how many seconds the clocks of callers, entries and
        the log may differ.
    """

    max_key_age_s: float = 3600.0
    max_clock_skew_s: float = 60.0

    @property
    def retention_s(self) -> float:
        """For how many seconds, by the log's clock, a claim is remembered."""
        return self.max_key_age_s + 2 * self.max_clock_skew_s


class ClaimTable:
    """Holds the winners of one shard; its records are applied in order.

    The fields of a winner are packed, so that it takes about 200 bytes: at the
    target size an owner holds tens of thousands of winners.
    """

    _WINNER_FORMAT = struct.Struct(">16s16sqdqiBBH")

    def __init__(self, horizon: Horizon):
        """Creates an empty table.

        Args:
          horizon: How far back claims are remembered.
        """
        self._horizon = horizon
        self._winners: dict[bytes, bytes] = {}
        self._released: dict[bytes, float] = {}
        self._holders: list[str] = []
        self._holder_numbers: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._winners)

    def apply(self, offset: int, time: float, batch: ttypes.ClaimBatch) -> None:
        """Applies one record.

        Args:
          offset: The offset of the record in the stream.
          time: When the log accepted the record, in epoch seconds.
          batch: The content of the record.
        """
        self._prune(time)
        for end in batch.ends:
            self._apply_end(end, time)
        for claim in batch.claims:
            self._apply_claim(claim, offset, time)

    def find(self, key: bytes) -> WinningClaim | None:
        """Returns the winning claim of a key; None if the key is free."""
        packed = self._winners.get(key)
        return None if packed is None else self._unpack(packed)

    def is_released(self, claim_id: bytes) -> bool:
        """Returns whether the holder of a claim has released it for good."""
        return claim_id in self._released

    def verdict(
        self, claim: ttypes.Claim, time: float, complete_since: float
    ) -> ttypes.ClaimReply | None:
        """Returns the reply to a claim.

        Args:
          claim: The claim, appended or not.
          time: The current time, in epoch seconds.
          complete_since: The time since which all claims are known, in epoch
            seconds.

        Returns:
          The reply to the holder; None if the key is free.
        """
        verdicts = ttypes.ClaimVerdict
        if claim.claim_id in self._released:
            return ttypes.ClaimReply(verdict=verdicts.VOID)
        if _is_dated_before(claim, complete_since):
            return ttypes.ClaimReply(verdict=verdicts.EXPIRED)
        winner = self.find(claim.key)
        if winner is not None and winner.claim_id == claim.claim_id:
            return ttypes.ClaimReply(verdict=verdicts.WON, offset=winner.offset)
        if _is_dated_before(claim, time - self._horizon.max_key_age_s):
            return ttypes.ClaimReply(verdict=verdicts.EXPIRED)
        if winner is None:
            return None
        if claim.lease and winner.has_lapsed(
            time, self._horizon.max_clock_skew_s
        ):
            return None
        return ttypes.ClaimReply(
            verdict=_losing_verdict(claim, winner),
            offset=winner.offset,
            holder=winner.holder,
            retry_after_ms=self._retry_after_ms(winner, time),
        )

    def _retry_after_ms(self, winner: WinningClaim, time: float) -> int:
        until = (
            winner.time
            + winner.use_ms / _MS_PER_S
            + self._horizon.max_clock_skew_s
        )
        return max(0, int((until - time) * _MS_PER_S))

    def _apply_end(self, end: ttypes.ClaimEnd, time: float) -> None:
        winner = self.find(end.key)
        matches = winner is not None and winner.claim_id == end.claim_id
        if end.kind == ttypes.ClaimEndKind.RELEASED:
            # The release may precede the claim: an append whose answer was lost
            # can arrive after its holder has released the claim. If the release
            # were not remembered, such a late claim would block its key for the
            # whole horizon although its request will never run.
            self._released[end.claim_id] = time
            if matches:
                del self._winners[end.key]
        elif winner is not None and matches:
            ended = dataclasses.replace(
                winner, status=_STATUS_BY_END_KIND[end.kind]
            )
            self._winners[end.key] = self._pack(ended)

    def _apply_claim(
        self, claim: ttypes.Claim, offset: int, time: float
    ) -> None:
        if claim.claim_id in self._released:
            return
        winner = self.find(claim.key)
        if winner is not None and not (
            winner.lease
            and claim.lease
            and winner.has_lapsed(time, self._horizon.max_clock_skew_s)
        ):
            return
        new_winner = WinningClaim(
            claim.claim_id,
            claim.fingerprint,
            offset,
            time,
            claim.key_time_ms,
            claim.use_ms,
            bool(claim.lease),
            ClaimStatus.OPEN,
            claim.holder,
        )
        # Removed first, so that the table stays in order of time.
        self._winners.pop(claim.key, None)
        self._winners[claim.key] = self._pack(new_winner)

    def _prune(self, time: float) -> None:
        oldest = time - self._horizon.retention_s
        while self._winners:
            key = next(iter(self._winners))
            if self._unpack(self._winners[key]).time >= oldest:
                break
            del self._winners[key]
        while self._released:
            claim_id = next(iter(self._released))
            if self._released[claim_id] >= oldest:
                break
            del self._released[claim_id]

    def _pack(self, winner: WinningClaim) -> bytes:
        return self._WINNER_FORMAT.pack(
            winner.claim_id,
            winner.fingerprint,
            winner.offset,
            winner.time,
            winner.key_time_ms,
            winner.use_ms,
            winner.lease,
            winner.status,
            self._holder_number(winner.holder),
        )

    def _unpack(self, packed: bytes) -> WinningClaim:
        claim_id, fingerprint, offset, time, key_time_ms, use_ms, *rest = (
            self._WINNER_FORMAT.unpack(packed)
        )
        lease, status, holder_number = rest
        return WinningClaim(
            claim_id,
            fingerprint,
            offset,
            time,
            key_time_ms,
            use_ms,
            bool(lease),
            ClaimStatus(status),
            self._holders[holder_number],
        )

    def _holder_number(self, holder: str) -> int:
        number = self._holder_numbers.get(holder)
        if number is None:
            number = len(self._holders)
            self._holders.append(holder)
            self._holder_numbers[holder] = number
        return number


_STATUS_BY_END_KIND = {
    ttypes.ClaimEndKind.RAN: ClaimStatus.RAN,
    ttypes.ClaimEndKind.UNKNOWN: ClaimStatus.UNKNOWN,
}

_VERDICT_BY_STATUS = {
    ClaimStatus.OPEN: ttypes.ClaimVerdict.HELD,
    ClaimStatus.RAN: ttypes.ClaimVerdict.RAN,
    ClaimStatus.UNKNOWN: ttypes.ClaimVerdict.UNKNOWN,
}


def _is_dated_before(claim: ttypes.Claim, time: float) -> bool:
    return 0 < claim.key_time_ms < time * _MS_PER_S


def _losing_verdict(
    claim: ttypes.Claim, winner: WinningClaim
) -> ttypes.ClaimVerdict:
    # A caller that gives each repetition a new time would evade the horizon;
    # the first repetition with another time reveals it.
    same = (
        winner.fingerprint == claim.fingerprint
        and winner.key_time_ms == claim.key_time_ms
    )
    return (
        _VERDICT_BY_STATUS[winner.status]
        if same
        else ttypes.ClaimVerdict.REUSED
    )
