"""How an attempt at a server, and a request, can end."""

import dataclasses
import enum

from clementinegw.direct import client


class NotRunReason(enum.StrEnum):
    """Why an attempt is proved not to have run."""

    UNREACHABLE = "unreachable"
    SHED = "shed"
    WRONG_SERVER = "wrong_server"
    LEFT = "left"
    LIMITED = "limited"
    BACKOFF = "backoff"
    TOO_OLD = "too_old"


class LostReason(enum.StrEnum):
    """Why nobody knows whether an attempt ran, or it ran in vain."""

    BROKEN = "broken"
    SILENT = "silent"
    CROSSED = "crossed"
    UNSEALED = "unsealed"
    FALSE_PROMISE = "false_promise"
    OUTDATED = "outdated"


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the whole answer.

    Attributes:
      status: The server's status.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server has not run the request and never will."""

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The server ran the request and answered with a failure of its own.

    Attributes:
      head: The answer's head.
      body: The whole body.
    """

    head: client.Head
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run; there is no whole answer."""

    reason: LostReason


AttemptOutcome = Delivered | NotRun | Failed | Lost


class RefusalReason(enum.StrEnum):
    """Why a request is answered by the entry itself.

    Each has a counter `direct.refused.REASON`.
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
    TIMEOUT = "timeout"
    MAY_HAVE_RUN = "may_have_run"
    CRASHES_SERVERS = "crashes_servers"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The entry's own answer.

    Attributes:
      status: The HTTP status; 503 and 429 promise that it was not run.
      reason: Why.
      retry_after_s: When to come back, in seconds; None when it cannot help.
    """

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None
