"""Parses and validates callers' HTTP requests."""

import asyncio
from collections.abc import Mapping
import json
import re
from typing import Any
import urllib.parse

from aiohttp import web

from clementinegw import types
from clementinegw.backend import prefixes
from clementinegw.requests import claim
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import types as request_types

_PRIORITIES = {p.name.lower(): p for p in types.Priority}
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "accept-encoding",
    }
)
_PROJECT_HEADER_PREFIX = "clementine-"
_KEY_HEADER = "idempotency-key"
_MAX_KEY_CHARS = 255
_DOT_SEGMENTS = frozenset({".", ".."})
_MAX_NAME_CHARS = 64
_TIMEOUT_MS = re.compile(r"[0-9]{1,15}")
_MAX_TOKENS = 1 << 20
_MAX_PREFIX_BLOCKS = 64
_BAD_REQUEST = 400
_NOT_FOUND = 404
_TIMEOUT = 408
_TOO_LARGE = 413
# The longest wait for the next part of a body, in seconds. The reader of a body
# with a malformed chunk gets neither a part nor an error from aiohttp.
_MAX_BODY_SILENCE_S = 20.0


class BadRequest(Exception):  # noqa: N818
    """The caller's request is invalid; the message names the invalid part.

    Attributes:
      status: The HTTP status of the response.
      reason: The reason reported to the caller.
    """

    def __init__(
        self,
        message: str,
        status: int = _BAD_REQUEST,
        reason: types.NotRunReason = types.NotRunReason.BAD_REQUEST,
    ):
        super().__init__(message)
        self.status = status
        self.reason = reason


async def read_body(http: web.Request, limit: int) -> bytes:
    """Returns the body of a request.

    Args:
      http: The caller's HTTP request.
      limit: The maximum size, in bytes.

    Raises:
      BadRequest: The body is larger than the limit, or its next part does not
        arrive in time.
    """
    if (http.content_length or 0) > limit:
        raise _too_large(limit)
    chunks = []
    size = 0
    while chunk := await _read_part(http):
        size += len(chunk)
        if size > limit:
            raise _too_large(limit)
        chunks.append(chunk)
    return b"".join(chunks)


async def _read_part(http: web.Request) -> bytes:
    try:
        async with asyncio.timeout(_MAX_BODY_SILENCE_S):
            return await http.content.readany()
    except TimeoutError:
        raise BadRequest("body: not received in time", _TIMEOUT) from None


def parse_completion(
    http: web.Request,
    body: bytes,
    request_id: str,
    source: rules_lib.RulesSource,
    now: float,
) -> request_types.Request:
    """Returns the request of a completion call.

    Args:
      http: The caller's HTTP request.
      body: Its body.
      request_id: The id of the new request.
      source: The settings in force.
      now: The current time, in monotonic seconds.

    Raises:
      BadRequest: The caller's request is invalid.
    """
    data = _parse_json(body)
    service = _text_field(data, "model")
    rules = _rules(source, service, http, types.ServiceKind.MODEL_ENGINE)
    if len(body) > rules.max_body_bytes:
        raise _too_large(rules.max_body_bytes)
    try:
        prompt = prefixes.prompt_text(data)
        hashes = prefixes.block_hashes(prompt, _MAX_PREFIX_BLOCKS)
    except UnicodeEncodeError:
        raise BadRequest("body: expected Unicode text") from None
    except ValueError as error:
        raise BadRequest(str(error)) from None
    request = _build_request(
        http, request_id, service, http.path, body, source, now
    )
    request.stream = _bool_field(data, "stream")
    request.tokens = _count_field(data, "max_tokens", rules.max_tokens)
    request.prefixes = hashes
    return request


async def parse_plain_call(
    http: web.Request,
    request_id: str,
    source: rules_lib.RulesSource,
    now: float,
    max_body_bytes: int,
) -> request_types.Request:
    """Returns the request of a call to a plain service.

    Args:
      http: The caller's HTTP request.
      request_id: The id of the new request.
      source: The settings in force.
      now: The current time, in monotonic seconds.
      max_body_bytes: The maximum size of the body for any service.

    Raises:
      BadRequest: The caller's request is invalid.
    """
    service = http.match_info["service"]
    rules = _rules(source, service, http, types.ServiceKind.PLAIN)
    path = http.rel_url.raw_path_qs.removeprefix(f"/services/{service}") or "/"
    if path.startswith("?"):
        path = "/" + path
    _reject_dot_segments(path)
    body = await read_body(http, min(max_body_bytes, rules.max_body_bytes))
    # The settings may have changed while the body was received.
    _rules(source, service, http, types.ServiceKind.PLAIN)
    return _build_request(http, request_id, service, path, body, source, now)


def _reject_dot_segments(path: str) -> None:
    """Rejects a path that the backend server could resolve differently.

    `/search/../bookings` matches an operation that is declared idempotent and
    may therefore be retried, but the backend server resolves it to a booking.
    The symptom would be two bookings for one request.
    """
    decoded_path = urllib.parse.unquote(path.partition("?")[0])
    if _DOT_SEGMENTS.intersection(decoded_path.replace("\\", "/").split("/")):
        raise BadRequest("path: expected no `.` or `..` segments")


def _reject_undecodable(headers: Mapping[str, str]) -> None:
    """Rejects headers other than UTF-8, which messages cannot contain."""
    for name, value in headers.items():
        try:
            value.encode()
        except UnicodeEncodeError:
            raise BadRequest(f"{name}: expected UTF-8") from None


def _build_request(
    http: web.Request,
    request_id: str,
    service: str,
    path: str,
    body: bytes,
    source: rules_lib.RulesSource,
    now: float,
) -> request_types.Request:
    headers = http.headers
    _reject_undecodable(headers)
    customer = headers.get("Clementine-Customer", "")
    if len(customer) > _MAX_NAME_CHARS:
        raise BadRequest("Clementine-Customer: expected at most 64 characters")
    rules = source.rules(service, customer)
    assert rules is not None
    key = headers.get("Idempotency-Key", "")
    if len(key) > _MAX_KEY_CHARS:
        raise BadRequest("Idempotency-Key: expected at most 255 characters")
    return request_types.Request(
        request_id=request_id,
        customer=source.customer(customer),
        service=service,
        method=http.method,
        path=path,
        headers=_end_to_end(http),
        body=body,
        priority=_priority(headers.get("Clementine-Priority", "normal")),
        deadline=now + _timeout_s(headers, rules),
        idempotent=rules.idempotent(http.method, path),
        key=key,
        caller=customer,
        fingerprint=request_types.fingerprint(service, http.method, path, body),
    )


def _rules(
    source: rules_lib.RulesSource,
    service: str,
    http: web.Request,
    kind: types.ServiceKind,
) -> rules_lib.Rules:
    if not source.ready():
        raise BadRequest(
            "this entry has no settings yet",
            503,
            types.NotRunReason.NO_SETTINGS,
        )
    rules = source.rules(service, http.headers.get("Clementine-Customer", ""))
    if rules is None or rules.kind is not kind:
        raise BadRequest(
            f'no service "{service[:_MAX_NAME_CHARS]}" of this kind',
            _NOT_FOUND,
            types.NotRunReason.UNKNOWN_SERVICE,
        )
    return rules


def _end_to_end(http: web.Request) -> tuple[tuple[str, str], ...]:
    listed = http.headers.get("Connection", "").lower()
    dropped = {part.strip() for part in listed.split(",")} | _HOP_BY_HOP
    return tuple(
        (name.lower(), value)
        for name, value in http.headers.items()
        if name.lower() not in dropped
        and name.lower() != _KEY_HEADER
        and (
            name.lower() == claim.KEY_TIME_HEADER
            or not name.lower().startswith(_PROJECT_HEADER_PREFIX)
        )
    )


def _priority(text: str) -> types.Priority:
    priority = _PRIORITIES.get(text.strip().lower())
    if priority is None:
        raise BadRequest("Clementine-Priority: expected low, normal or high")
    return priority


def _timeout_s(headers, rules: rules_lib.Rules) -> float:
    text = headers.get("Clementine-Timeout-Ms")
    if text is None:
        return rules.deadline_s
    if not _TIMEOUT_MS.fullmatch(text) or not int(text):
        raise BadRequest("Clementine-Timeout-Ms: expected a number above 0")
    return min(int(text) / 1000.0, rules.max_deadline_s)


def _parse_json(body: bytes) -> dict[str, Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequest(f"body: expected JSON: {error}") from None
    if not isinstance(data, dict):
        raise BadRequest("body: expected an object")
    return data


def _text_field(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise BadRequest(f"body.{name}: expected text")
    return value


def _bool_field(data: dict[str, Any], name: str) -> bool:
    value = data.get(name, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise BadRequest(f"body.{name}: expected true or false")
    return value


def _count_field(data: dict[str, Any], name: str, default: int) -> int:
    value = data.get(name)
    if value is None:
        return default
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 < value <= _MAX_TOKENS:
        raise BadRequest(f"body.{name}: expected a whole number above 0")
    return value


def _too_large(limit: int) -> BadRequest:
    return BadRequest(
        f"body: expected at most {limit} bytes",
        _TOO_LARGE,
        types.NotRunReason.TOO_LARGE,
    )
