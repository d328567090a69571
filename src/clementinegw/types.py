"""Types that all parts of the system share.

The outcome of a request is a value: exactly one of `Answered`, `NotRun` and
`Unknown`. docs/why.md says what each of them guarantees.
"""

import dataclasses
import enum


class Role(enum.StrEnum):
    """The role of a process of the system."""

    ENTRY = "entry"
    AGENT = "agent"
    OPERATOR = "operator"


class Priority(enum.IntEnum):
    """The priority that a caller requests; larger values are served first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


class ServiceKind(enum.StrEnum):
    """The kind of service behind an agent."""

    MODEL_ENGINE = "model_engine"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port.

    Attributes:
      host: A numeric IP address.
      port: A TCP or UDP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The location of an instance.

    Attributes:
      region: The name of the region in the settings tree.
      failure_domain: The name of the failure domain in the settings tree.
    """

    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A process of the system as its peers know it.

    Attributes:
      instance_id: A name that is unique among the live processes.
      role: The role of the process.
      place: The location of the process.
      address: Where it accepts connections and datagrams from its peers.
      incarnation: Increases each time the process starts or refutes a
        suspicion.
      service: The service behind an agent; empty for an entry.
    """

    instance_id: str
    role: Role
    place: Place
    address: Address
    incarnation: int = 0
    service: str = ""


class NotRunReason(enum.StrEnum):
    """Why a request was not run.

    Each reason has a counter `requests.not_run.REASON`.
    """

    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    TOKEN_LIMITED = "token_limited"
    NO_BACKEND = "no_backend"
    LEAVING = "leaving"
    REFUSED_BY_AGENT = "refused_by_agent"
    TOMBSTONED = "tombstoned"
    SUSPECT = "suspect"
    LOG_UNAVAILABLE = "log_unavailable"
    CLAIM_LOST = "claim_lost"
    ALREADY_RUN = "already_run"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    NO_SETTINGS = "no_settings"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"


class UnknownReason(enum.StrEnum):
    """Why it is unknown whether a request ran.

    Each reason has a counter `requests.unknown.REASON`.
    """

    CONNECTION_LOST = "connection_lost"
    BACKEND_CRASHED = "backend_crashed"
    BACKEND_STALLED = "backend_stalled"
    DEADLINE = "deadline"
    ANSWER_TRUNCATED = "answer_truncated"
    HOLDER_LOST = "holder_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the backend server.

    Attributes:
      status: The HTTP status.
      headers: The end-to-end headers, with names in lower case.
      body: The whole body; for a stream, all events.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """States that the request was certainly not run.

    Attributes:
      reason: Why it was not run.
      retry_after_s: After how long the caller should retry, in seconds; None
        if a retry cannot help.
      detail: One line for the caller.
    """

    reason: NotRunReason
    retry_after_s: float | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """States that the request may or may not have run.

    Attributes:
      reason: Why this is unknown.
      detail: One line for the caller.
    """

    reason: UnknownReason
    detail: str = ""


Outcome = Answered | NotRun | Unknown
