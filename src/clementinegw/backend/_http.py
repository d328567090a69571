"""What both clients share: headers, and aiohttp's errors as our own."""

from collections.abc import Iterator
import contextlib

import aiohttp
import multidict

from clementinegw import exceptions
from clementinegw.backend import types

CONNECT_TIMEOUT_S = 2.0

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
    """Returns an answer's headers without those of the connection."""
    return tuple(
        (name.lower(), value)
        for name, value in headers.items()
        if name.lower() not in _HOP_BY_HOP
    )


def outgoing_headers(headers: types.Headers) -> "multidict.CIMultiDict[str]":
    """Returns a caller's headers without those of the connection."""
    result: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP:
            result.add(name, value)
    return result


def timeout(total_s: float | None, idle_s: float | None = None):
    """Returns the timeouts of one exchange, in seconds."""
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=CONNECT_TIMEOUT_S, sock_read=idle_s
    )


@contextlib.contextmanager
def translate_errors(operation: str) -> Iterator[None]:
    """Turns aiohttp's errors into ours.

    The difference between "no connection" and all others carries weight: only
    the first proves that nothing was handed to the backend server.

    Args:
      operation: The exchange, for the error's text.

    Raises:
      exceptions.BackendUnreachable: No connection could be made.
      exceptions.BackendStalled: Nothing came in time.
      exceptions.BackendLost: The connection broke, or bytes made no sense.
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
