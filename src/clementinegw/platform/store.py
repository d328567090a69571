"""The weight store and the origin of weights: blobs by name.

Nothing that comes from here is trusted before its digest was checked.
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
    """The weight store, or the origin, over HTTP."""

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
        """Keeps the address; connects with the first call.

        Args:
          base_url: Where the store is.
          session: Sends the calls; closed by its owner.
          timeout_s: How long a call may take. A stalled transfer shows only
            by this, so that a caller with a deadline of its own sets it.
          part: The name in counters and errors: `store` or `origin`.
          counters: Counts failures and retries.
          log: Takes the events of the store going and coming back.
          policy: How a call is tried again; three tries by default.
          rng: The source of the pauses' jitter.
        """
        self._part = part
        self._client = _http.Client(
            part, base_url, session, timeout_s, counters, log, policy, rng
        )

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """Returns a part of a blob, unverified; see `BlobStore`."""
        if length == 0:
            return b""
        end = "" if length is None else str(offset + length - 1)
        # A store that ignores the range sends the whole blob, so the bound
        # is the blob's, not the part's.
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
        """Keeps a blob; see `BlobStore`."""
        reply = await self._client.call(
            "PUT", _path(name), idempotent=True, data=data
        )
        self._check(reply, name)

    async def size(self, name: str) -> int:
        """Returns a blob's size in bytes; see `BlobStore`."""
        reply = await self._client.call("HEAD", _path(name), idempotent=True)
        self._check(reply, name)
        try:
            return int(reply.headers["Content-Length"])
        except (KeyError, ValueError) as error:
            raise exceptions.PlatformError(
                f"{self._part}: no size for {name!r}"
            ) from error

    def _check(self, reply: _http.Reply, name: str) -> None:
        if reply.status == http.HTTPStatus.NOT_FOUND:
            raise exceptions.BlobMissing(f"{self._part}: no blob {name!r}")


def _path(name: str) -> str:
    return "/blobs/" + parse.quote(name)
