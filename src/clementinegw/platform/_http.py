"""HTTP calls to the platform with timeout, size limit, retries and counters."""

import asyncio
from collections.abc import Mapping
import dataclasses
import enum
import random
from typing import Any, TypeVar

import aiohttp
import pydantic

from clementinegw import exceptions
from clementinegw.platform import _events
from clementinegw.platform import retries
from clementinegw.telemetry import counters as metrics
from clementinegw.telemetry import logs

M = TypeVar("M", bound=pydantic.BaseModel)

_MAX_BODY_BYTES = 256 * 1024 * 1024
_READ_BYTES = 256 * 1024
_STATUS_OK = range(200, 300)


class Reason(enum.StrEnum):
    """Why a call got no usable answer.

    Each reason has the counters `platform.PART.failed.REASON` for failed
    attempts and `platform.PART.retry.REASON` for retries.
    """

    NOT_REACHED = "not_reached"
    RATE_LIMITED = "rate_limited"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection_lost"
    SERVER_ERROR = "server_error"
    REJECTED = "rejected"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"


# For these the call certainly had no effect on the platform.
_NO_EFFECT_REASONS = frozenset(
    {Reason.NOT_REACHED, Reason.RATE_LIMITED, Reason.REJECTED}
)
# For these a retry cannot succeed.
_NOT_RETRIED_REASONS = frozenset({Reason.REJECTED, Reason.TOO_LARGE})
_STATUS_REASONS = {429: Reason.RATE_LIMITED}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer with a status below 300, or 404 or 416 for callers to handle.

    Attributes:
      status: The HTTP status.
      headers: The answer's headers.
      body: The whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """A failed attempt."""

    reason: Reason
    detail: str


class Client:
    """A client of one part of the platform."""

    def __init__(
        self,
        part: str,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float,
        counters: metrics.Counters | None = None,
        log: logs.Log | None = None,
        policy: retries.RetryPolicy | None = None,
        rng: random.Random | None = None,
    ):
        """Stores the settings of all calls; does not connect yet.

        Args:
          part: The name of the part in counters and errors.
          base_url: The base URL of the part.
          session: Sends the calls; closed by its owner.
          timeout_s: The timeout of a call in seconds, without the wait of a
            long poll.
          counters: Counts failures and retries.
          log: Receives the events of the part becoming unavailable and
            available.
          policy: The retry policy of idempotent calls.
          rng: The source of the jitter.
        """
        self._part = part
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout_s = timeout_s
        self._counters = counters or metrics.Counters()
        self._log = log or logs.Log()
        self._policy = policy or retries.RetryPolicy()
        self._rng = rng or random.Random()
        self._unavailable = False

    async def call(
        self,
        method: str,
        path: str,
        idempotent: bool,
        extra_s: float = 0.0,
        max_bytes: int = _MAX_BODY_BYTES,
        **options: Any,
    ) -> Reply:
        """Makes a call and retries it if it is idempotent.

        Args:
          method: The HTTP method.
          path: The path, relative to the base URL.
          idempotent: Whether a call without an answer may be sent again.
          extra_s: Added to the timeout of a long poll, in seconds.
          max_bytes: The maximum size of the answer's body, in bytes.
          **options: Passed to the session, such as `params`, `data` or
            `headers`.

        Returns:
          The reply.

        Raises:
          exceptions.PlatformRefused: There was no reply and no effect.
          exceptions.PlatformUnavailable: There was no usable reply; the call
            may have taken effect.
        """
        attempts = self._policy.attempts if idempotent else 1
        attempts_made = 0
        while True:
            result = await self._attempt(
                method, path, extra_s, max_bytes, options
            )
            attempts_made += 1
            if isinstance(result, Reply):
                self._log_recovery()
                return result
            self._count("failed", result.reason)
            if (
                attempts_made >= attempts
                or result.reason in _NOT_RETRIED_REASONS
            ):
                raise self._error(result)
            self._count("retry", result.reason)
            await asyncio.sleep(self._policy.pause_s(attempts_made, self._rng))

    def parse(self, model: type[M], body: bytes) -> M:
        """Returns a JSON body as an instance of its model.

        Raises:
          exceptions.PlatformUnavailable: The body does not fit the model. The
            call may have taken effect.
        """
        try:
            return model.model_validate_json(body)
        except pydantic.ValidationError as error:
            self._count("failed", Reason.MALFORMED)
            self._log.write(_events.PLATFORM_MALFORMED, part=self._part)
            first = error.errors(include_input=False)[0]
            where = ".".join(str(item) for item in first["loc"]) or "the body"
            raise exceptions.PlatformUnavailable(
                f"{self._part}: malformed answer at {where}: {first['msg']}",
                Reason.MALFORMED,
            ) from error

    def unexpected_status(self, reply: Reply) -> exceptions.PlatformUnavailable:
        """Returns the error for a status that the interface does not define."""
        return self._error(
            _Failure(
                Reason.REJECTED,
                f"status {reply.status}; check that this is the address of the "
                f"platform's {self._part}",
            )
        )

    async def _attempt(
        self,
        method: str,
        path: str,
        extra_s: float,
        max_bytes: int,
        options: dict[str, Any],
    ) -> Reply | _Failure:
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + extra_s)
        try:
            async with self._session.request(
                method, self._base_url + path, timeout=timeout, **options
            ) as response:
                return await _read(response, max_bytes)
        except aiohttp.ClientConnectorError as error:
            return _Failure(Reason.NOT_REACHED, str(error))
        except TimeoutError:
            return _Failure(
                Reason.TIMEOUT, "no complete answer before the timeout"
            )
        except aiohttp.ClientError as error:
            return _Failure(
                Reason.CONNECTION_LOST, str(error) or type(error).__name__
            )

    def _count(self, kind: str, reason: Reason) -> None:
        self._counters.add(f"platform.{self._part}.{kind}.{reason}")

    def _log_recovery(self) -> None:
        if self._unavailable:
            self._unavailable = False
            self._log.write(_events.PLATFORM_BACK, part=self._part)

    def _error(self, failure: _Failure) -> exceptions.PlatformUnavailable:
        message = f"{self._part}: {failure.reason}: {failure.detail}"
        if not self._unavailable:
            self._unavailable = True
            self._log.write(
                _events.PLATFORM_LOST, part=self._part, reason=failure.reason
            )
        if failure.reason in _NO_EFFECT_REASONS:
            return exceptions.PlatformRefused(message, failure.reason)
        return exceptions.PlatformUnavailable(message, failure.reason)


async def _read(
    response: aiohttp.ClientResponse, max_bytes: int
) -> Reply | _Failure:
    """Returns the whole answer, or why it cannot be used."""
    if response.status not in _STATUS_OK and response.status not in (404, 416):
        default = (
            Reason.SERVER_ERROR if response.status >= 500 else Reason.REJECTED
        )
        reason = _STATUS_REASONS.get(response.status, default)
        return _Failure(reason, f"status {response.status}")
    body = bytearray()
    async for data in response.content.iter_chunked(_READ_BYTES):
        body += data
        # An endless answer would exhaust the memory of this process.
        if len(body) > max_bytes:
            return _Failure(Reason.TOO_LARGE, f"over {max_bytes} bytes")
    return Reply(response.status, response.headers, bytes(body))
