"""A stand-in for a backend server, and the live requests it answers.

Each answer carries the digest of the chunks in place, computed from their
bytes when they were loaded; so whoever asked sees partial or mixed weights.
"""

import asyncio
import random

from clementinegw import types
from clementinegw.weights import manifest as manifests
from clementinegw.weights import pacing as pacing_lib

_DIGEST_BYTES = 32
_NUMBER_BYTES = 8
MIN_BODY_BYTES = _DIGEST_BYTES + _NUMBER_BYTES
_SERVICE_TIME_RANGE_S = (0.04, 0.08)


def content_digest(digests: list[bytes]) -> bytes:
    """Returns what an answer by exactly these chunks carries."""
    return manifests.digest_of(b"".join(digests))


class Replica:
    """Weights in place, chunk by chunk, and a server that answers by them."""

    def __init__(
        self,
        link: pacing_lib.Link,
        pacing: pacing_lib.Pacing | None,
        body_bytes: int,
        rng: random.Random,
    ):
        """Starts without weights.

        Args:
          link: The machine's link, which live requests pass as well.
          pacing: Is told of live bytes.
          body_bytes: The size of a request and of an answer.
          rng: Draws service times.
        """
        self._link = link
        self._pacing = pacing
        self._body_bytes = body_bytes
        self._rng = rng
        self._digests: list[bytes] = []
        self._server: asyncio.Server | None = None
        self._content = content_digest([])
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.out_of_service = False

    async def start(self) -> types.Address:
        """Listens on a port that the kernel chooses."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        return types.Address("127.0.0.1", port)

    async def stop(self) -> None:
        """Closes the port and the connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def load(self, chunks: list[bytes]) -> bytes:
        """Replaces the weights in place; returns the digest of the result."""
        self._digests = self._digests[: len(chunks)]
        for index, chunk in enumerate(chunks):
            digest = manifests.digest_of(chunk)
            if index < len(self._digests):
                self._digests[index] = digest
            else:
                self._digests.append(digest)
            self._content = content_digest(self._digests)
            await asyncio.sleep(0)
        return self._content

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                body = await reader.readexactly(self._body_bytes)
                task = asyncio.ensure_future(self._answer(body, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        if self._pacing is not None:
            self._pacing.record_live(self._body_bytes, self._body_bytes)
        await self._link.receive(self._body_bytes)
        await asyncio.sleep(self._rng.uniform(*_SERVICE_TIME_RANGE_S))
        # Read at the end: a request that ran while weights were replaced
        # would be answered by the mixture.
        content = bytes(_DIGEST_BYTES) if self.out_of_service else self._content
        await self._link.send(self._body_bytes)
        answer = content + body[:_NUMBER_BYTES]
        writer.write(answer.ljust(self._body_bytes, b"\0"))


class LoadGenerator:
    """Sends live requests to one replica and keeps what it saw."""

    def __init__(
        self,
        address: types.Address,
        body_bytes: int,
        requests_per_s: float,
        rng: random.Random,
    ):
        """Prepares the requests.

        Args:
          address: The replica's.
          body_bytes: The size of a request and of an answer.
          requests_per_s: Requests a second, at random times.
          rng: Draws the times.
        """
        self._address = address
        self._body_bytes = body_bytes
        self._requests_per_s = requests_per_s
        self._rng = rng
        self._sent_at: dict[bytes, float] = {}
        self.latencies: list[tuple[float, float]] = []
        self.counts_by_content: dict[bytes, int] = {}
        self.refused = 0

    async def run(self) -> None:
        """Sends until it is cancelled or the replica is gone."""
        loop = asyncio.get_running_loop()
        address = (self._address.host, self._address.port)
        reader, writer = await asyncio.open_connection(*address)
        receiving = asyncio.ensure_future(self._receive(reader))
        number = 0
        try:
            while not receiving.done():
                await asyncio.sleep(self._rng.expovariate(self._requests_per_s))
                number += 1
                head = number.to_bytes(_NUMBER_BYTES, "big")
                self._sent_at[head] = loop.time()
                writer.write(head.ljust(self._body_bytes, b"\0"))
        finally:
            receiving.cancel()
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                answer = await reader.readexactly(self._body_bytes)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            started_at = self._sent_at.pop(answer[_DIGEST_BYTES:MIN_BODY_BYTES])
            content = answer[:_DIGEST_BYTES]
            if content == bytes(_DIGEST_BYTES):
                self.refused += 1
                continue
            self.latencies.append((started_at, loop.time() - started_at))
            self.counts_by_content[content] = (
                self.counts_by_content.get(content, 0) + 1
            )
