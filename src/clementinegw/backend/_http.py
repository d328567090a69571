"""Header filtering, timeouts and error translation for both clients."""

from collections.abc import Iterator
import contextlib

import aiohttp
import multidict

from clementinegw import exceptions
from clementinegw.backend import types

CONNECT_TIMEOUT_S = 2.0

# Headers of a single connection, which are never forwarded.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(
    headers: "multidict.CIMultiDictProxy[str]",
) -> types.Headers:
    """Returns an answer's headers without the hop-by-hop ones."""
    return tuple(
        (name.lower(), _to_text(value))
        for name, value in headers.items()
        if name.lower() not in _HOP_BY_HOP
    )


def _to_text(value: str) -> str:
    """Returns a header's value as text that can be encoded.

    aiohttp keeps bytes that are not UTF-8 as lone surrogates. The value is then
    read as Latin-1, the former encoding of headers.
    """
    if value.isascii():
        return value
    data = value.encode("utf-8", "surrogateescape")
    try:
        return data.decode()
    except UnicodeDecodeError:
        return data.decode("latin-1")


def outgoing_headers(headers: types.Headers) -> "multidict.CIMultiDict[str]":
    """Returns a caller's headers without the hop-by-hop ones."""
    result: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP:
            result.add(name, value)
    return result


def timeout(total_s: float | None, idle_s: float | None = None):
    """Returns the timeouts of one exchange.

    Args:
      total_s: Limit for the whole exchange, in seconds; None for no limit.
      idle_s: Limit for the time without a received byte, in seconds; None for
        no limit.
    """
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=CONNECT_TIMEOUT_S, sock_read=idle_s
    )


@contextlib.contextmanager
def translate_errors(operation: str) -> Iterator[None]:
    """Translates aiohttp's errors into those of `exceptions`.

    Only a failed connection proves that nothing was sent to the backend
    server; after any other error the request may have run.

    Args:
      operation: Describes the exchange in the error message.

    Raises:
      exceptions.BackendUnreachable: The connection could not be
        established.
      exceptions.BackendStalled: The exchange timed out.
      exceptions.BackendLost: The connection broke, or the answer could not
        be parsed.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
        raise exceptions.BackendUnreachable(f"{operation}: {e}") from e
    except TimeoutError as e:
        raise exceptions.BackendStalled(
            f"{operation}: no answer in time"
        ) from e
    except (aiohttp.ClientError, OSError, ValueError, KeyError) as e:
        raise exceptions.BackendLost(
            f"{operation}: {e or type(e).__name__}"
        ) from e
