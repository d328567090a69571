"""A caller's request, and the values that the filters pass to each other."""

import dataclasses
from typing import Protocol

import blake3

from clementinegw import types

FINGERPRINT_BYTES = 16


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller, parsed and bounded.

    Attributes:
      request_id: Unique over all entries and their restarts.
      customer: The customer's name in the settings tree.
      service: The service's name in the settings tree.
      method: The HTTP method for the backend server.
      path: The path, with query, for the backend server.
      headers: End-to-end headers, names in lower case.
      body: The whole body.
      priority: The urgency the caller asked for.
      deadline: Monotonic seconds after which an answer is of no use.
      idempotent: Whether it may run more than once.
      key: The caller's idempotency key; empty without one.
      fingerprint: Equal for equal requests, whoever sends them.
      stream: Whether the answer goes to the caller piece by piece.
      caller: The customer's name as the caller gave it, declared or not; keys
        of one caller never meet those of another.
      tokens: Tokens the answer is allowed to take; 0 for a plain service.
      prefixes: Hashes of the prompt's prefixes, shortest first.
    """

    request_id: str
    customer: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: types.Priority
    deadline: float
    idempotent: bool
    key: str = ""
    caller: str = ""
    fingerprint: bytes = b""
    stream: bool = False
    tokens: int = 0
    prefixes: tuple[int, ...] = ()


def fingerprint(service: str, method: str, path: str, body: bytes) -> bytes:
    """Returns 16 bytes that are equal for equal requests.

    The customer, the key and the headers are left out: the same body that
    crashes a backend server for one caller crashes it for another.
    """
    hasher = blake3.blake3()
    for part in (service, method, path):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(body)
    return hasher.digest(length=FINGERPRINT_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The start of a streamed answer.

    Attributes:
      status: The HTTP status of the backend server.
      headers: End-to-end headers, names in lower case.
      version: The model version that answers; empty for a plain service.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    version: str


class CallerDisconnected(Exception):  # noqa: N818
    """The caller has gone away; nobody takes the answer any more."""


class Sink(Protocol):
    """Where a streamed answer goes, piece by piece."""

    async def head(self, head: Head) -> None:
        """Starts the answer; called once, before any data."""

    async def data(self, data: bytes) -> None:
        """Passes on the next bytes, whole events only.

        Raises:
          CallerDisconnected: The caller has gone away.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWon:
    """The request may run; nobody else may run this key.

    Attributes:
      offset: The claim's offset in its stream, the fencing number.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The request may not run.

    Attributes:
      outcome: What its caller is told; Unknown when an earlier request with
        the key may have run.
    """

    outcome: types.NotRun | types.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The key ran before, and its answer was kept.

    Attributes:
      outcome: The answer of the first run.
    """

    outcome: types.Answered


ClaimResult = ClaimWon | ClaimRefused | StoredAnswer


class Claims(Protocol):
    """Claims of idempotency keys, through the platform's log."""

    async def claim(self, request: Request) -> ClaimResult:
        """Claims the request's key; only for keyed, non-idempotent ones."""

    def settle(self, request: Request, outcome: types.Outcome) -> None:
        """Tells how a claimed request ended; called once a won claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Clear:
    """Nothing is known against the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAlone:
    """The request may have crashed a backend server: nothing runs beside it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request crashed backend servers and runs nowhere any more."""


SuspectVerdict = Clear | RunAlone | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The only turn in the fleet for something, which this entry has.

    Attributes:
      key: The hashed name of what it is for.
      claim_id: The claim in the log that took it.
      until: Monotonic seconds at which it is over by itself.
    """

    key: bytes
    claim_id: bytes
    until: float


class Suspects(Protocol):
    """Requests that were in flight when backend servers crashed."""

    def check(self, request: Request, now: float) -> SuspectVerdict:
        """Says how the request may run."""

    async def acquire_lease(
        self, request: Request, wait_s: float
    ) -> Lease | types.NotRun | None:
        """Waits until a suspect may run, for at most `wait_s` seconds.

        Returns:
          A turn to give back by `release_lease`; None when nothing is held
          against the request any more; NotRun when it may not run, or not yet.
        """

    def release_lease(self, lease: Lease) -> None:
        """Gives a turn back."""

    def completed(self, request: Request) -> None:
        """Takes that a request was answered whole: that clears it."""
