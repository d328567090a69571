"""What one entry knows of the claims it holds, answers among them."""

import asyncio
import collections
import dataclasses
import enum

from clementinegw import types


class HeldClaimState(enum.Enum):
    """Where a claim of this entry stands."""

    OPEN = "open"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """One claim of this entry.

    Attributes:
      key: The hashed key.
      claim_id: The claim.
      request_id: The request it was made for.
      fingerprint: Of that request.
      key_time_ms: The key's date; 0 for an undated key.
      done: Set once the request has ended.
      state: Where it stands.
      answer: The answer; None when there is none or it was not kept.
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
        """Whether another request with the key is a repetition."""
        return (
            self.fingerprint == fingerprint and self.key_time_ms == key_time_ms
        )


class HeldClaims:
    """This entry's claims by key; answers are kept in bounded memory."""

    _CLAIM_OVERHEAD_BYTES = 1024

    def __init__(self, max_memory_bytes: int, max_answer_bytes: int):
        """Starts empty.

        Args:
          max_memory_bytes: For ended claims and their answers together.
          max_answer_bytes: The largest answer that is kept.
        """
        self._max_memory_bytes = max_memory_bytes
        self._max_answer_bytes = max_answer_bytes
        self._held: dict[bytes, HeldClaim] = {}
        self._by_request: dict[str, HeldClaim] = {}
        # Ended claims, oldest first, and the memory each takes.
        self._ended_bytes: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Memory that ended claims take, by estimate."""
        return self._used_bytes

    def resize(self, max_memory_bytes: int, max_answer_bytes: int) -> None:
        """Takes other bounds from the next answer on."""
        self._max_memory_bytes = max_memory_bytes
        self._max_answer_bytes = max_answer_bytes

    def get(self, key: bytes) -> HeldClaim | None:
        """Returns this entry's claim of a key."""
        return self._held.get(key)

    def add(self, held: HeldClaim) -> None:
        """Enters a claim before it is asked for."""
        self._held[held.key] = held
        self._by_request[held.request_id] = held

    def discard(self, held: HeldClaim) -> None:
        """Forgets a claim that was not won."""
        held.state = HeldClaimState.NOT_RUN
        held.done.set()
        self._remove(held)

    def settle(
        self, request_id: str, outcome: types.Outcome
    ) -> HeldClaim | None:
        """Notes how a claimed request ended.

        Returns:
          Its claim; None when this entry holds none for the request.
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
