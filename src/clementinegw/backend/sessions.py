"""Creates the HTTP session that clients of backend servers share."""

import aiohttp

MAX_CONNECTIONS = 0  # Unlimited: the gate limits requests in flight.


def create() -> aiohttp.ClientSession:
    """Returns a session that sends each request exactly once.

    By default aiohttp retries GET, PUT and DELETE when a kept-alive connection
    breaks before the answer. If a backend server completes a request and then
    crashes, that retry runs it a second time: one booking by PUT appears twice
    in the ledger although no part of this system retried. Only `requests.retry`
    decides on retries, so aiohttp's own are disabled, in the same way as in
    aiohttp's test client.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    session._retry_connection = False
    return session
