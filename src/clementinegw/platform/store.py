"""A client of the weight store and of the origin of weights.

Both hold named blobs. Callers check the digest of what they read before they
use it.
"""

import http
import random
from urllib import parse

import aiohttp

from clementinegw import exceptions
from clementinegw.platform import _http
from clementinegw.platform import retries
from clementinegw.telemetry import counters as metrics
from clementinegw.telemetry import logs

_MAX_BLOB_BYTES = 256 * 1024 * 1024


class HttpStore:
    """An HTTP client of the weight store or of the origin."""

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = 60.0,
        part: str = "store",
        counters: metrics.Counters | None = None,
        log: logs.Log | None = None,
        policy: retries.RetryPolicy | None = None,
        rng: random.Random | None = None,
    ):
        """Creates the client; it connects with the first call.

        Args:
          base_url: The base URL of the store.
          session: Sends the calls; closed by its owner.
          timeout_s: The timeout of a call, in seconds. Only this timeout
            detects a stalled transfer, so a caller with its own deadline sets
            it.
          part: The name in counters and errors: `store` or `origin`.
          counters: Counts failures and retries.
          log: Receives the events of the store becoming unavailable and
            available.
          policy: The retry policy; three attempts by default.
          rng: The source of the jitter between retries.
        """
        self._part = part
        self._client = _http.Client(
            part, base_url, session, timeout_s, counters, log, policy, rng
        )

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """Returns a range of a blob, unchecked; see `blobs.BlobStore`."""
        if length == 0:
            return b""
        end = "" if length is None else str(offset + length - 1)
        # A store that ignores the range sends the whole blob, so the size limit
        # is that of a blob and not that of the range.
        reply = await self._client.call(
            "GET",
            _path(name),
            idempotent=True,
            max_bytes=_MAX_BLOB_BYTES,
            headers={"Range": f"bytes={offset}-{end}"},
        )
        if reply.status == http.HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE:
            return b""
        self._check(reply, name)
        if reply.status == http.HTTPStatus.PARTIAL_CONTENT:
            return reply.body
        stop = None if length is None else offset + length
        return reply.body[offset:stop]

    async def put(self, name: str, data: bytes) -> None:
        """Stores a blob; see `blobs.BlobStore`."""
        reply = await self._client.call(
            "PUT", _path(name), idempotent=True, data=data
        )
        self._check(reply, name)

    async def size(self, name: str) -> int:
        """Returns a blob's size in bytes; see `blobs.BlobStore`."""
        reply = await self._client.call("HEAD", _path(name), idempotent=True)
        self._check(reply, name)
        try:
            return int(reply.headers["Content-Length"])
        except (KeyError, ValueError) as error:
            raise exceptions.PlatformError(
                f"{self._part}: no valid Content-Length for blob {name!r}"
            ) from error

    def _check(self, reply: _http.Reply, name: str) -> None:
        if reply.status == http.HTTPStatus.NOT_FOUND:
            raise exceptions.BlobMissing(f"{self._part}: no blob {name!r}")


def _path(name: str) -> str:
    return "/blobs/" + parse.quote(name)
