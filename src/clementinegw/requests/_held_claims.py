"""Stores the claims that this entry holds, and their kept answers."""

import asyncio
import collections
import dataclasses
import enum

from clementinegw import types


class HeldClaimState(enum.Enum):
    """The state of a claim that this entry holds."""

    OPEN = "open"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A claim that this entry holds.

    Attributes:
      key: The hashed key.
      claim_id: The id of the claim.
      request_id: The id of the request that made the claim.
      fingerprint: The fingerprint of that request.
      key_time_ms: When the key was first used, in epoch milliseconds; 0 for an
        undated key.
      done: Set once the request has ended.
      state: The state of the claim.
      answer: The answer; None if there is none or it was not kept.
    """

    key: bytes
    claim_id: bytes
    request_id: str
    fingerprint: bytes
    key_time_ms: int
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    state: HeldClaimState = HeldClaimState.OPEN
    answer: types.Answered | None = None

    def matches(self, fingerprint: bytes, key_time_ms: int) -> bool:
        """Returns whether another request with the key repeats this one."""
        return (
            self.fingerprint == fingerprint and self.key_time_ms == key_time_ms
        )


class HeldClaims:
    """Holds this entry's claims by key, with answers in bounded memory."""

    _CLAIM_OVERHEAD_BYTES = 1024

    def __init__(self, max_memory_bytes: int, max_answer_bytes: int):
        """Creates an empty store.

        Args:
          max_memory_bytes: The memory for ended claims and their answers
            together.
          max_answer_bytes: The size of the largest answer that is kept.
        """
        self._max_memory_bytes = max_memory_bytes
        self._max_answer_bytes = max_answer_bytes
        self._held: dict[bytes, HeldClaim] = {}
        self._by_request: dict[str, HeldClaim] = {}
        # The estimated memory of each ended claim, oldest first.
        self._ended_bytes: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """The estimated memory that ended claims take."""
        return self._used_bytes

    def resize(self, max_memory_bytes: int, max_answer_bytes: int) -> None:
        """Changes the bounds, which apply from the next answer on."""
        self._max_memory_bytes = max_memory_bytes
        self._max_answer_bytes = max_answer_bytes

    def get(self, key: bytes) -> HeldClaim | None:
        """Returns this entry's claim of a key; None if there is none."""
        return self._held.get(key)

    def add(self, held: HeldClaim) -> None:
        """Adds a claim before it is sent to the owner of its shard."""
        self._held[held.key] = held
        self._by_request[held.request_id] = held

    def discard(self, held: HeldClaim) -> None:
        """Removes a claim that was not won or whose request was not run."""
        held.state = HeldClaimState.NOT_RUN
        held.done.set()
        self._remove(held)

    def settle(
        self, request_id: str, outcome: types.Outcome
    ) -> HeldClaim | None:
        """Records how a claimed request ended.

        Returns:
          Its claim; None if this entry holds no open claim for the request.
        """
        held = self._by_request.get(request_id)
        if held is None or held.state is not HeldClaimState.OPEN:
            return None
        if isinstance(outcome, types.NotRun):
            self.discard(held)
            return held
        held.state = HeldClaimState.UNKNOWN
        if isinstance(outcome, types.Answered):
            held.state = HeldClaimState.ANSWERED
            if len(outcome.body) <= self._max_answer_bytes:
                held.answer = outcome
        self._retain(held)
        held.done.set()
        return held

    def _retain(self, held: HeldClaim) -> None:
        size = self._CLAIM_OVERHEAD_BYTES
        if held.answer is not None:
            size += len(held.answer.body)
        self._ended_bytes[held.key] = size
        self._used_bytes += size
        while (
            self._used_bytes > self._max_memory_bytes
            and len(self._ended_bytes) > 1
        ):
            oldest = next(iter(self._ended_bytes))
            self._remove(self._held[oldest])

    def _remove(self, held: HeldClaim) -> None:
        if self._held.get(held.key) is held:
            del self._held[held.key]
            self._used_bytes -= self._ended_bytes.pop(held.key, 0)
        self._by_request.pop(held.request_id, None)
