"""Claims of idempotency keys: the fold of one shard's stream.

The first claim for a key in append order wins, and its offset is the fencing
number. Every process that folds the same records finds the same winner, so
that it does not matter who appends, or whether two think that it is their
turn. See docs/design/claims.md.
"""

import dataclasses
import enum
import re
import struct

import blake3

from clementinegw.wire.gen.requests import ttypes

HASH_BYTES = 16
# The same at every entry for ever: two entries that spread keys over different
# numbers of streams would each find a key free that the other has claimed.
SHARDS = 8
KEY_TIME_HEADER = "clementine-key-time"
_UUID7 = re.compile(
    r"^([0-9a-f]{8})-?([0-9a-f]{4})-?7[0-9a-f]{3}-?[89ab][0-9a-f]{3}-?"
    r"[0-9a-f]{12}$",
    re.IGNORECASE,
)
_MS_PER_S = 1000.0


def hash_key(service: str, customer: str, key: str) -> bytes:
    """Returns 16 bytes that stand for one customer's key at one service."""
    hasher = blake3.blake3()
    for part in (service, customer, key):
        data = part.encode()
        hasher.update(len(data).to_bytes(4, "big"))
        hasher.update(data)
    return hasher.digest(length=HASH_BYTES)


def shard_number(key: bytes, shard_count: int) -> int:
    """Returns the shard that a hashed key belongs to."""
    return int.from_bytes(key[:8], "big") % shard_count


def stream_name(shard_number: int) -> str:
    """Returns the name of a shard's stream."""
    return f"claims-{shard_number}"


def parse_key_time_ms(key: str, headers: tuple[tuple[str, str], ...]) -> int:
    """Returns when a key was first used, as its caller dates it.

    A key that is a UUID of version 7 carries the time; any other is dated by
    the header `Clementine-Key-Time`, epoch seconds.

    Returns:
      Epoch milliseconds; 0 for an undated key.

    Raises:
      ValueError: The header is no time; the text says what was found.
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
    """How a claim ended, as far as the log says."""

    OPEN = 0
    RAN = 1
    UNKNOWN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class WinningClaim:
    """The winning claim of a key.

    Attributes:
      claim_id: The claim.
      fingerprint: Of the request it was made for.
      offset: Its place in the stream, the fencing number.
      time: When the log took it, epoch seconds.
      key_time_ms: The key's date; 0 for an undated key.
      use_ms: Its holder hands over within this time of asking.
      lease: Whether it is free again after that time.
      status: How it ended.
      holder: Who may use it.
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
        """Whether its holder cannot hand anything over any more."""
        return time > self.time + self.use_ms / _MS_PER_S + max_clock_skew_s


@dataclasses.dataclass(frozen=True, slots=True)
class Horizon:
    """How far back claims are known.

    Attributes:
      max_key_age_s: Keys dated before this age are refused.
      max_clock_skew_s: How far clocks of callers, entries and the log differ.
    """

    max_key_age_s: float = 3600.0
    max_clock_skew_s: float = 60.0

    @property
    def retention_s(self) -> float:
        """How long a claim is remembered by the log's time."""
        return self.max_key_age_s + 2 * self.max_clock_skew_s


class ClaimTable:
    """The winners of one shard, folded from its records in order.

    A winner takes about 200 bytes: its fields are packed, because at the
    target size an owner knows tens of thousands of them.
    """

    _WINNER_FORMAT = struct.Struct(">16s16sqdqiBBH")

    def __init__(self, horizon: Horizon):
        """Starts empty.

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
        """Folds one record.

        Args:
          offset: Its place in the stream.
          time: When the log took it, epoch seconds.
          batch: The record.
        """
        self._prune(time)
        for end in batch.ends:
            self._apply_end(end, time)
        for claim in batch.claims:
            self._apply_claim(claim, offset, time)

    def find(self, key: bytes) -> WinningClaim | None:
        """Returns the winning claim of a key; None when it is free."""
        packed = self._winners.get(key)
        return None if packed is None else self._unpack(packed)

    def is_released(self, claim_id: bytes) -> bool:
        """Whether the claim's holder has given it up for good."""
        return claim_id in self._released

    def verdict(
        self, claim: ttypes.Claim, time: float, complete_since: float
    ) -> ttypes.ClaimReply | None:
        """Says what a claim meets.

        Args:
          claim: The claim, appended or not.
          time: Epoch seconds.
          complete_since: From when on every claim is known, epoch seconds.

        Returns:
          What its holder is told; None when its key is free.
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
            # The release may stand before the claim: an append whose answer
            # was lost can arrive after its holder has given up. Without this
            # mark such a late claim would block its key for the whole horizon
            # although nobody will ever run it.
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
        # Taken out first: the order of the table is the order of its times.
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
    # A caller that dates each repetition anew would walk past the horizon
    # unseen; the first repetition tells it.
    same = (
        winner.fingerprint == claim.fingerprint
        and winner.key_time_ms == claim.key_time_ms
    )
    return (
        _VERDICT_BY_STATUS[winner.status]
        if same
        else ttypes.ClaimVerdict.REUSED
    )
