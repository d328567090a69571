"""Callers' requests and the types shared by the filters."""

import dataclasses
from typing import Protocol

import blake3

from clementinegw import types

FINGERPRINT_BYTES = 16


@dataclasses.dataclass(slots=True)
class Request:
    """A validated request of a caller.

    Attributes:
      request_id: An id that is unique over all entries and their restarts.
      customer: The customer's name in the settings tree.
      service: The service's name in the settings tree.
      method: The HTTP method for the backend server.
      path: The path, with the query, for the backend server.
      headers: The end-to-end headers, with names in lower case.
      body: The whole body.
      priority: The priority that the caller requested.
      deadline: When an answer becomes useless, in monotonic seconds.
      idempotent: Whether it may run more than once.
      key: The caller's idempotency key; empty without one.
      caller: The customer's name as sent by the caller, declared or not. It
        separates the idempotency keys of different callers.
      fingerprint: A hash that is equal for equal requests of any caller.
      stream: Whether the answer is streamed to the caller.
      tokens: The maximum number of tokens of the answer; 0 for a plain service.
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
    """Returns a 16-byte hash that is equal for equal requests.

    The customer, the key and the headers are excluded, because a body that
    crashes a backend server for one caller also crashes it for another.
    """
    hasher = blake3.blake3()
    for part in (service, method, path):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(body)
    return hasher.digest(length=FINGERPRINT_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer.

    Attributes:
      status: The HTTP status of the backend server.
      headers: The end-to-end headers, with names in lower case.
      version: The model version that answers; empty for a plain service.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    version: str


class CallerDisconnected(Exception):  # noqa: N818
    """The caller has disconnected, so nothing receives the answer any more."""


class Sink(Protocol):
    """Receives a streamed answer in parts."""

    async def head(self, head: Head) -> None:
        """Starts the answer; called once, before any data.

        Raises:
          CallerDisconnected: The caller has disconnected.
        """

    async def data(self, data: bytes) -> None:
        """Sends the next part of the body, in complete events.

        Raises:
          CallerDisconnected: The caller has disconnected.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWon:
    """The request may run, and no other request with its key may.

    Attributes:
      offset: The offset of the claim in its stream, used as the fencing number.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The request may not run.

    Attributes:
      outcome: The outcome reported to its caller; Unknown if an earlier request
        with the key may have run.
    """

    outcome: types.NotRun | types.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A request with the key ran before, and its answer was kept.

    Attributes:
      outcome: The kept answer.
    """

    outcome: types.Answered


ClaimResult = ClaimWon | ClaimRefused | KeptAnswer


class Claims(Protocol):
    """Claims idempotency keys through the platform's log."""

    async def claim(self, request: Request) -> ClaimResult:
        """Claims the key of a keyed request that is not idempotent."""

    def settle(self, request: Request, outcome: types.Outcome) -> None:
        """Records the outcome of a request; called once per won claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Clear:
    """The request is not suspected."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAlone:
    """The request may have crashed a backend server and must run alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request crashed backend servers and must not run again."""


SuspectVerdict = Clear | RunAlone | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """An exclusive lease in the fleet, held by this entry.

    Attributes:
      key: The hash of the lease's name.
      claim_id: The id of the claim in the log that acquired it.
      until: When it expires, in monotonic seconds.
    """

    key: bytes
    claim_id: bytes
    until: float


class Suspects(Protocol):
    """Tracks requests that were in flight when backend servers crashed."""

    def check(self, request: Request, now: float) -> SuspectVerdict:
        """Returns how the request may run."""

    async def acquire_lease(
        self, request: Request, wait_s: float
    ) -> Lease | types.NotRun | None:
        """Waits until a suspect may run, for at most `wait_s` seconds.

        Returns:
          A lease to return by `release_lease`; None if the request is no longer
          suspected; NotRun if it may not run, or not yet.
        """

    def release_lease(self, lease: Lease) -> None:
        """Releases a lease."""

    def completed(self, request: Request) -> None:
        """Records that a request was answered, which clears suspicions."""
