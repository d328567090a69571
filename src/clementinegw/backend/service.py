"""The client of a plain HTTP service."""

import aiohttp

from clementinegw.backend import _http
from clementinegw.backend import types

MAX_ANSWER_BYTES = 16 * 1024 * 1024


class PlainClient:
    """Forwards requests to one plain service, each exactly once.

    The client itself repeats nothing.
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float | None = None,
    ):
        """Uses a session that `sessions.create` made.

        Args:
          base_url: Scheme, address and port.
          session: Shared by the clients of one process.
          timeout_s: For a whole exchange; None leaves it to the caller.
        """
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout = _http.timeout(timeout_s)

    async def forward(
        self, method: str, path: str, headers: types.Headers, body: bytes
    ) -> types.PlainAnswer:
        """Sends one request and returns the whole answer.

        Args:
          method: The HTTP method.
          path: Path and query.
          headers: Those of the caller and of the request's identity.
          body: The whole body.

        Returns:
          The whole answer, of any status.

        Raises:
          exceptions.BackendUnreachable: Nothing was handed over.
          exceptions.BackendLost: It may have run.
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
