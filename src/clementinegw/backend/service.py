"""HTTP client of a plain service."""

import aiohttp

from clementinegw.backend import _http
from clementinegw.backend import types

MAX_ANSWER_BYTES = 16 * 1024 * 1024


class PlainClient:
    """Forwards requests to one plain service, without retries."""

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float | None = None,
    ):
        """Initializes the client.

        Args:
          base_url: Scheme, address and port.
          session: A session from `sessions.create`, shared by the clients of
            one process.
          timeout_s: Timeout of a whole exchange, in seconds; None leaves the
            timeout to the caller.
        """
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout = _http.timeout(timeout_s)

    async def forward(
        self, method: str, path: str, headers: types.Headers, body: bytes
    ) -> types.PlainAnswer:
        """Sends one request and returns the complete answer.

        Args:
          method: The HTTP method.
          path: Path and query.
          headers: The caller's headers and those that identify the request.
          body: The complete body.

        Returns:
          The complete answer, whatever its status.

        Raises:
          exceptions.BackendUnreachable: Nothing was sent.
          exceptions.BackendStalled: The exchange timed out; the request may
            have run.
          exceptions.BackendLost: The request may have run.
        """
        with _http.translate_errors(f"{method} {self._base_url}"):
            async with self._session.request(
                method,
                self._base_url + path,
                headers=_http.outgoing_headers(headers),
                data=body or None,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                data = await response.read()
                return types.PlainAnswer(
                    response.status,
                    _http.end_to_end_headers(response.headers),
                    data,
                )
