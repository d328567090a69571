"""Determines the share of a customer's limit that each entry may use.

There is no central coordinator. For each customer and service, rendezvous
hashing selects one entry, the owner, which adds up the demand of all entries.
The owner may lose this state at any time. Every entry reports its own demand to
the owner once per period and receives the sum. The share of an entry is its
part of the sum, with a floor for entries that receive their first requests:

    share = (1 - floor) * own / sum + floor / entries

The shares add up to one while the sum is current. If demand moves between
entries within a period, the shares of that period add up to at most 2 - floor.
Without a sum from the owner, because it died or is partitioned, an entry uses
one divided by the number of entries it knows.
"""

from collections.abc import Iterable
import dataclasses

import xxhash

from clementinegw.scheduling import slot_shares

PERIOD_S = 1.0
SHARE_FLOOR = slot_shares.FLOOR
_SMOOTHING_FACTOR = 0.5
_STALE_PERIODS = 3.5
_NEGLIGIBLE_RATE = slot_shares.NEGLIGIBLE_RATE

Key = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerDemand:
    """The demand of a customer for a service.

    Attributes:
      service: The name of the service.
      customer: The name of the customer.
      requests: Requests per second.
      tokens: Tokens per second.
    """

    service: str
    customer: str
    requests: float
    tokens: float

    @property
    def key(self) -> Key:
        """The service and the customer."""
        return self.service, self.customer


@dataclasses.dataclass(frozen=True, slots=True)
class UsageMessage:
    """Demands, or sums of demands, to send to another entry.

    Attributes:
      receiver: The instance id of the receiver.
      sums: Whether the demands are sums over all entries.
      demands: The demands.
    """

    receiver: str
    sums: bool
    demands: tuple[CustomerDemand, ...]


@dataclasses.dataclass(slots=True)
class _OwnDemand:
    requests: int = 0
    tokens: int = 0
    rate: float = 0.0
    token_rate: float = 0.0
    total: float = 0.0
    total_at: float = -1e9


class Shares:
    """Computes the shares of one entry, and the sums that it owns."""

    def __init__(self, me: str):
        """Starts as the only entry.

        Args:
          me: The instance id of this entry.
        """
        self._me = me
        self._entries: tuple[str, ...] = (me,)
        self._own: dict[Key, _OwnDemand] = {}
        self._sums: dict[Key, dict[str, tuple[CustomerDemand, float]]] = {}
        self._period_ended_at: float | None = None

    def set_entries(self, entries: Iterable[str]) -> None:
        """Sets the live entries, with or without this one."""
        self._entries = tuple(sorted({self._me, *entries}))

    def record_request(self, key: Key, tokens: int, now: float) -> None:
        """Records a request, whether or not it is within the limit."""
        own = self._own.get(key)
        if own is None:
            own = self._own[key] = _OwnDemand()
        own.requests += 1
        own.tokens += tokens

    def share(self, key: Key, now: float) -> float:
        """Returns the share of a limit that this entry may use, from 0 to 1."""
        count = len(self._entries)
        own = self._own.get(key)
        if count == 1:
            return 1.0
        if own is None or now - own.total_at > _STALE_PERIODS * PERIOD_S:
            return 1.0 / count
        return slot_shares.share(own.rate, own.total, count)

    def end_period(self, now: float) -> list[UsageMessage]:
        """Ends a period; returns the messages to the owners."""
        elapsed_s = PERIOD_S
        if self._period_ended_at is not None:
            elapsed_s = max(0.1 * PERIOD_S, now - self._period_ended_at)
        self._period_ended_at = now
        by_owner: dict[str, list[CustomerDemand]] = {}
        for key, own in list(self._own.items()):
            _smooth(own, elapsed_s)
            if own.rate < _NEGLIGIBLE_RATE:
                del self._own[key]
                continue
            demand = CustomerDemand(*key, own.rate, own.token_rate)
            by_owner.setdefault(self.owner(key), []).append(demand)
        own_demands = by_owner.pop(self._me, [])
        if own_demands:
            self.apply_sums(self._add(self._me, own_demands, now), now)
        self._expire(now)
        return [
            UsageMessage(entry, False, tuple(demands))
            for entry, demands in by_owner.items()
        ]

    def add_demands(
        self, entry: str, demands: Iterable[CustomerDemand], now: float
    ) -> UsageMessage:
        """Adds an entry's demands; returns the message with the sums."""
        return UsageMessage(entry, True, tuple(self._add(entry, demands, now)))

    def apply_sums(self, sums: Iterable[CustomerDemand], now: float) -> None:
        """Applies the sums received from an owner."""
        for demand in sums:
            own = self._own.get(demand.key)
            if own is not None:
                own.total = demand.requests
                own.total_at = now

    def owner(self, key: Key) -> str:
        """Returns the entry that adds up the demand for a key."""
        name = "\0".join(key).encode()
        return max(
            self._entries,
            key=lambda e: (xxhash.xxh64_intdigest(e.encode() + name), e),
        )

    def _add(
        self, entry: str, demands: Iterable[CustomerDemand], now: float
    ) -> list[CustomerDemand]:
        sums = []
        for demand in demands:
            known = self._sums.setdefault(demand.key, {})
            known[entry] = (demand, now)
            current = [
                d
                for d, at in known.values()
                if now - at <= _STALE_PERIODS * PERIOD_S
            ]
            sums.append(
                CustomerDemand(
                    *demand.key,
                    sum(d.requests for d in current),
                    sum(d.tokens for d in current),
                )
            )
        return sums

    def _expire(self, now: float) -> None:
        for key in list(self._sums):
            current = {
                entry: entry_demand
                for entry, entry_demand in self._sums[key].items()
                if now - entry_demand[1] <= _STALE_PERIODS * PERIOD_S
            }
            if current:
                self._sums[key] = current
            else:
                del self._sums[key]


def _smooth(own: _OwnDemand, elapsed_s: float) -> None:
    own.rate += _SMOOTHING_FACTOR * (own.requests / elapsed_s - own.rate)
    own.token_rate += _SMOOTHING_FACTOR * (
        own.tokens / elapsed_s - own.token_rate
    )
    own.requests = 0
    own.tokens = 0
