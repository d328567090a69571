"""The HTTP session that clients of backend servers share."""

import aiohttp

MAX_CONNECTIONS = 0  # no limit: the gate bounds what is in flight


def create() -> aiohttp.ClientSession:
    """Returns a session that sends each request exactly once.

    aiohttp repeats GET, PUT and DELETE by itself when a kept connection breaks
    before the answer. A backend server that did its work and then died would
    do it again: the caller's one booking by PUT shows up twice in the ledger
    although no part of this system retried. Whether to retry is decided by
    `requests.retry` alone, so the session's own repetition is turned off, as
    aiohttp's test client does it.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    session._retry_connection = False
    return session
