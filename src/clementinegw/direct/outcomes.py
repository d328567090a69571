"""The possible outcomes of an attempt at a server and of a request."""

import dataclasses
import enum

from clementinegw.direct import client


class NotRunReason(enum.StrEnum):
    """Why the request of an attempt has certainly not run."""

    UNREACHABLE = "unreachable"
    SHED = "shed"
    WRONG_SERVER = "wrong_server"
    LEFT = "left"
    LIMITED = "limited"
    BACKOFF = "backoff"
    TOO_OLD = "too_old"
    EVACUATED = "evacuated"
    NOT_ALLOWED = "not_allowed"
    SUSPECT = "suspect"
    EXPIRED = "expired"


class LostReason(enum.StrEnum):
    """Why an attempt may have run but produced no usable answer."""

    BROKEN = "broken"
    SILENT = "silent"
    CROSSED = "crossed"
    UNIDENTIFIED = "unidentified"
    UNSEALED = "unsealed"
    FALSE_PROMISE = "false_promise"
    OUTDATED = "outdated"
    UNREAD = "unread"
    NO_MEMORY = "no_memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller received the complete answer.

    Attributes:
      status: The HTTP status of the server's answer.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server has not run the request and will not run it.

    Attributes:
      reason: Why.
    """

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The server ran the request and answered with an error of its own.

    Attributes:
      head: The head of the answer.
      body: The complete body.
    """

    head: client.Head
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, but there is no usable answer.

    Attributes:
      reason: Why.
    """

    reason: LostReason


AttemptOutcome = Delivered | NotRun | Failed | Lost


class RefusalReason(enum.StrEnum):
    """Why the entry refuses a request itself.

    Each reason has a counter `direct.refused.REASON`.
    """

    NO_CONFIGURATION = "no_configuration"
    STALE_KEYS = "stale_keys"
    STALE_ROUTES = "stale_routes"
    NO_ROUTE = "no_route"
    NO_KEY = "no_key"
    MALFORMED = "malformed"
    NO_SERVER = "no_server"
    OUT_OF_REACH = "out_of_reach"
    BUSY = "busy"
    LIMITED = "limited"
    BACKOFF = "backoff"
    NO_BUDGET = "no_budget"
    ATTEMPTS_USED = "attempts_used"
    NOT_RESUMABLE = "not_resumable"
    NOT_REPEATABLE = "not_repeatable"
    TIMEOUT = "timeout"
    MAY_HAVE_RUN = "may_have_run"
    FAILED_AT_SERVER = "failed_at_server"
    CRASHES_SERVERS = "crashes_servers"
    NO_ALLOWED_SERVER = "no_allowed_server"
    EVACUATED = "evacuated"
    COLD = "cold"
    OUTRANKED = "outranked"
    OVER_SHARE = "over_share"
    TOO_LARGE = "too_large"
    STOPPING = "stopping"
    INTERNAL_ERROR = "internal_error"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The entry's own answer to a request.

    Attributes:
      status: The HTTP status; 503 and 429 promise that the request was not run.
      reason: Why it is refused.
      retry_after_s: When to retry, in seconds; None if that cannot help.
      cause: Why no other server was asked, if a server may have run the request
        and `reason` says only that.
    """

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None
    cause: RefusalReason | None = None
